//! The judge's side: while this node holds its zone's lease, whoever reports is told how open each server stays.

use crate::detection::VerdictSettings;
use crate::detector::Detector;
use crate::message::{EjectionList, Report};
use birchswitch_mesh::{LeasedService, Mesh, ProcessId, TermHandler, Time};
use std::sync::Arc;

/// The mesh's lane for verdicts.
pub const LANE: u8 = 4;

/// A judge, under one token.
pub struct Leader {
    terms: VerdictSettings,
    session: Detector<ProcessId>,
}

impl Leader {
    /// Serves on the mesh from now on, whenever it is judge.
    pub fn serve(mesh: &Mesh, terms: VerdictSettings) -> Arc<LeasedService<Leader>> {
        LeasedService::serve(mesh, LANE, move |token, _| {
            tracing::info!(target: "verdict", kind = "judges", token);
            Leader { terms, session: Detector::new(token) }
        })
    }
}

impl TermHandler for Leader {
    type Request = Report;
    type Response = EjectionList;

    fn highest_token(report: &Report) -> Option<u64> {
        Some(report.known_version.0)
    }

    fn handle(&mut self, now: Time, who: ProcessId, report: Report) -> EjectionList {
        let (word, condemned) = self.session.receive(&self.terms, now, who, report);
        for s in condemned {
            tracing::warn!(target: "verdict", kind = "condemned", server = s.server, open = s.open);
        }
        word
    }
}
