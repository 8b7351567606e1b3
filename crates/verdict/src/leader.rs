//! The leader's side: while this node holds its zone's lease, it answers reports with the list of ejected servers.

use crate::detection::VerdictSettings;
use crate::detector::Detector;
use crate::message::{EjectionList, Report};
use birchswitch_mesh::{LeasedService, Mesh, ProcessId, TermHandler, Time};
use std::sync::Arc;

/// The mesh's lane for verdicts.
pub const LANE: u8 = 4;

/// The zone's outlier detection during one leadership term.
pub struct Leader {
    settings: VerdictSettings,
    detector: Detector<ProcessId>,
}

impl Leader {
    /// Registers the service on the mesh. It answers whenever this node holds the zone's lease.
    pub fn serve(mesh: &Mesh, settings: VerdictSettings) -> Arc<LeasedService<Leader>> {
        LeasedService::serve(mesh, LANE, move |token, _| {
            tracing::info!(target: "verdict", kind = "judges", token);
            Leader { settings, detector: Detector::new(token) }
        })
    }
}

impl TermHandler for Leader {
    type Request = Report;
    type Response = EjectionList;

    fn highest_token(report: &Report) -> Option<u64> {
        Some(report.known_version.0)
    }

    fn handle(&mut self, now: Time, process: ProcessId, report: Report) -> EjectionList {
        let (list, ejected) = self.detector.receive(&self.settings, now, process, report);
        for s in ejected {
            tracing::warn!(target: "verdict", kind = "condemned", server = s.server, open = s.open);
        }
        list
    }
}
