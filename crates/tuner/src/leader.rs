//! The tuner's side: while this node holds the lease, whoever reports is told the weights.

use crate::message::{Report, WeightList};
use crate::session::{TuningSession, TuningStep};
use crate::tuner::TunerSettings;
use birchswitch_mesh::{LeasedService, Mesh, ProcessId, TermHandler, Time};
use std::sync::Arc;

/// The mesh's lane for weights.
pub const LANE: u8 = 5;
/// The task's name, and its lease's.
pub const TASK: &str = "tuner";

/// Serves on the mesh from now on, whenever it is tuner.
pub fn serve(mesh: &Mesh, terms: TunerSettings) -> Arc<LeasedService<TuningSession>> {
    LeasedService::serve(mesh, LANE, move |token, now| {
        tracing::info!(target: "tuner", kind = "tunes", token);
        TuningSession::new(terms, token, now)
    })
}

impl TermHandler for TuningSession {
    type Request = Report;
    type Response = WeightList;

    fn highest_token(report: &Report) -> Option<u64> {
        Some(report.known_version.0)
    }

    fn handle(&mut self, now: Time, _: ProcessId, report: Report) -> WeightList {
        let (word, looked) = self.receive(now, &report);
        if let Some(TuningStep {
            rolled_back,
            toggled,
            servers,
            slow_fractions: [without, with, predicted],
        }) = looked
        {
            if rolled_back {
                tracing::warn!(target: "tuner", kind = "taken_back", without, with, predicted);
            } else if toggled {
                tracing::info!(target: "tuner", kind = "weighs", servers, without);
            }
        }
        word
    }
}
