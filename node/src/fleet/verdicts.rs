//! Verdicts on servers: this node reports the outcomes of its attempts to its zone's leader and applies the leader's ejections.

use super::adjustments::ServerAdjustments;
use super::leadership::LeadershipTask;
use birchswitch_host::{AttemptRecord, Host, Upstream};
use birchswitch_lease::{task_id, Task};
use birchswitch_lease_host::Tasks;
use birchswitch_mesh::{report_periodically, Mesh, ReportSettings, ReportStep};
use birchswitch_verdict::{
    ActiveEjections, AttemptObservation, Leader, OutcomeWindow, Report, VerdictSettings, LANE,
};
use finchvale::Outcome;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Standby nodes of the zone for its leader.
const STANDBYS: usize = 2;
/// Interval between checks for ejections that have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The verdicts' state at this node.
pub struct Verdicts {
    settings: VerdictSettings,
    outcomes: Rc<RefCell<OutcomeWindow>>,
    mesh: Mesh,
}

impl Verdicts {
    /// Starts with an empty window of outcomes.
    pub fn open(settings: VerdictSettings, mesh: &Mesh) -> Self {
        Verdicts { settings, outcomes: Rc::default(), mesh: mesh.clone() }
    }

    /// Records the outcome of an attempt.
    pub fn record_attempt(&self, AttemptRecord { name, outcome, latency, warm }: AttemptRecord) {
        let observation = match outcome {
            // A server in slow start is slower than usual without being at fault.
            Outcome::Served if !warm => return,
            Outcome::Served => AttemptObservation::Answered(latency.as_secs_f64()),
            Outcome::Error | Outcome::Broken | Outcome::TimedOut | Outcome::Unreachable => {
                AttemptObservation::Failed
            }
            // A server at capacity has not failed, and the other outcomes say nothing about the server.
            Outcome::Rejected | Outcome::NotSent | Outcome::Cancelled => return,
        };
        self.outcomes.borrow_mut().record(self.mesh.clock().now(), name, observation);
    }

    /// Reports outcomes, applies ejections, and leads while this node holds its zone's lease.
    pub fn run<U: Upstream>(
        &self,
        zone: &str,
        tasks: &Rc<Tasks>,
        host: &Rc<Host<U>>,
        adjustments: &Rc<ServerAdjustments>,
    ) {
        let (settings, mesh) = (self.settings, self.mesh.clone());
        let name = format!("verdict/{zone}");
        let task = Task { name: name.clone(), zone: zone.to_owned(), standbys: STANDBYS };
        tasks.register(task, LeadershipTask::for_service(&mesh, Leader::serve(&mesh, settings)));
        let (steps, mut next_steps) = mpsc::unbounded_channel();
        let report_settings = ReportSettings {
            task: task_id(&name),
            lane: LANE,
            interval: settings.renew,
            timeout: settings.ttl / 2,
        };
        mesh.spawn(report_periodically(mesh.clone(), report_settings, steps));
        let (outcomes, host, adjustments) = (self.outcomes.clone(), host.clone(), adjustments.clone());
        spawn_local(async move {
            let mut ejections = ActiveEjections::default();
            let mut every = tokio::time::interval(POLL_INTERVAL);
            loop {
                tokio::select! {
                    step = next_steps.recv() => match step {
                        Some(ReportStep::Collect(reply)) => {
                            let now = mesh.clock().now();
                            let counts = outcomes.borrow_mut().counts(now);
                            let report = Report { known_version: ejections.version(), listed: host.ready_server_count() as u32, counts };
                            // The receiver may have ended with the mesh.
                            let _ = reply.send((now, report));
                        }
                        Some(ReportStep::Apply(prepared_at, response)) => {
                            if !ejections.apply(&settings, prepared_at, &response) {
                                tracing::warn!(target: "verdict", kind = "lower", token = response.version.0, count = response.version.1);
                            }
                        }
                        None => return,
                    },
                    _ = every.tick() => {}
                }
                let share_limits = ejections.current(
                    &settings,
                    mesh.clock().now(),
                    &|name| host.is_ready_server(name),
                    host.ready_server_count(),
                );
                adjustments.set_ejections(share_limits);
            }
        });
    }
}
