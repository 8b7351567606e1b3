//! The leader's side: while this node holds the lease, it answers reports with the servers' weights.

use crate::message::{Report, WeightList};
use crate::session::{TuningSession, TuningStep};
use crate::tuner::TunerSettings;
use birchswitch_mesh::{LeasedService, Mesh, ProcessId, TermHandler, Time};
use std::sync::Arc;

/// The mesh's lane for weights.
pub const LANE: u8 = 5;
/// The name of the task, and of its lease.
pub const TASK: &str = "tuner";

/// Registers the service on the mesh. It answers whenever this node holds the lease.
pub fn serve(mesh: &Mesh, settings: TunerSettings) -> Arc<LeasedService<TuningSession>> {
    LeasedService::serve(mesh, LANE, move |token, now| {
        tracing::info!(target: "tuner", kind = "tunes", token);
        TuningSession::new(settings, token, now)
    })
}

impl TermHandler for TuningSession {
    type Request = Report;
    type Response = WeightList;

    fn highest_token(report: &Report) -> Option<u64> {
        Some(report.known_version.0)
    }

    fn handle(&mut self, now: Time, _: ProcessId, report: Report) -> WeightList {
        let (list, step) = self.receive(now, &report);
        if let Some(TuningStep {
            rolled_back,
            toggled,
            servers,
            slow_fractions: [without, with, predicted],
        }) = step
        {
            if rolled_back {
                tracing::warn!(target: "tuner", kind = "taken_back", without, with, predicted);
            } else if toggled {
                tracing::info!(target: "tuner", kind = "weighs", servers, without);
            }
        }
        list
    }
}
