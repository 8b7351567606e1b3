//! The judge's side: while this node holds its zone's lease, whoever reports is told how open each server stays.

use crate::judge::Terms;
use crate::message::{Report, Word};
use crate::session::Session;
use birchswitch_mesh::{LeasedService, Mesh, ProcessId, TermHandler, Time};
use std::sync::Arc;

/// The mesh's lane for verdicts.
pub const LANE: u8 = 4;

/// A judge, under one token.
pub struct Bench {
    terms: Terms,
    session: Session<ProcessId>,
}

impl Bench {
    /// Serves on the mesh from now on, whenever it is judge.
    pub fn serve(mesh: &Mesh, terms: Terms) -> Arc<LeasedService<Bench>> {
        LeasedService::serve(mesh, LANE, move |token, _| {
            tracing::info!(target: "verdict", kind = "judges", token);
            Bench { terms, session: Session::new(token) }
        })
    }
}

impl TermHandler for Bench {
    type Request = Report;
    type Response = Word;

    fn highest_token(report: &Report) -> Option<u64> {
        Some(report.heard.0)
    }

    fn handle(&mut self, now: Time, who: ProcessId, report: Report) -> Word {
        let (word, condemned) = self.session.hear(&self.terms, now, who, report);
        for s in condemned {
            tracing::warn!(target: "verdict", kind = "condemned", server = s.server, open = s.open);
        }
        word
    }
}
