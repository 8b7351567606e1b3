//! The tuner's side: while this node holds the lease, whoever reports is told the weights.

use crate::message::{Report, Word};
use crate::session::{Looked, Session};
use crate::step::Terms;
use birchswitch_mesh::{LeasedService, Mesh, ProcessId, TermHandler, Time};
use std::sync::Arc;

/// The mesh's lane for weights.
pub const LANE: u8 = 5;
/// The task's name, and its lease's.
pub const TASK: &str = "tuner";

/// Serves on the mesh from now on, whenever it is tuner.
pub fn serve(mesh: &Mesh, terms: Terms) -> Arc<LeasedService<Session>> {
    LeasedService::serve(mesh, LANE, move |token, now| {
        tracing::info!(target: "tuner", kind = "tunes", token);
        Session::new(terms, token, now)
    })
}

impl TermHandler for Session {
    type Request = Report;
    type Response = Word;

    fn highest_token(report: &Report) -> Option<u64> {
        Some(report.heard.0)
    }

    fn handle(&mut self, now: Time, _: ProcessId, report: Report) -> Word {
        let (word, looked) = self.hear(now, &report);
        if let Some(Looked { back, turned, servers, parts: [without, with, predicted] }) = looked {
            if back {
                tracing::warn!(target: "tuner", kind = "taken_back", without, with, predicted);
            } else if turned {
                tracing::info!(target: "tuner", kind = "weighs", servers, without);
            }
        }
        word
    }
}
