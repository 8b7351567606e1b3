//! Tuner weights: this node reports its requests' latencies to the tuner and moves gradually to the weights it gets back.

use super::adjustments::ServerAdjustments;
use super::leadership::LeadershipTask;
use birchswitch_host::{Host, Upstream};
use birchswitch_lease::{task_id, Task};
use birchswitch_lease_host::Tasks;
use birchswitch_mesh::{report_periodically, Mesh, ReportSettings, ReportStep};
use birchswitch_tuner::{serve, AppliedWeights, Report, ServerSketches, TunerSettings, LANE, TASK};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Standby nodes for the tuner.
const STANDBYS: usize = 2;
/// Interval between two steps towards new weights.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// The tuner's state at this node.
pub struct Tuner {
    settings: TunerSettings,
    sketches: Rc<RefCell<ServerSketches>>,
    mesh: Mesh,
}

impl Tuner {
    /// Starts with empty latency sketches.
    pub fn open(settings: TunerSettings, mesh: &Mesh) -> Self {
        Tuner { settings, sketches: Rc::default(), mesh: mesh.clone() }
    }

    /// Records the latency of a served attempt.
    pub fn record_latency(&self, name: u64, latency: Duration) {
        self.sketches.borrow_mut().record(name, latency.as_secs_f64());
    }

    /// Reports latencies, applies weights, and leads the tuning while this node holds the lease.
    pub fn run<U: Upstream>(
        &self,
        tasks: &Rc<Tasks>,
        host: &Rc<Host<U>>,
        adjustments: &Rc<ServerAdjustments>,
    ) {
        let (settings, mesh) = (self.settings, self.mesh.clone());
        let task = Task { name: TASK.to_owned(), zone: String::new(), standbys: STANDBYS };
        tasks.register(task, LeadershipTask::for_service(&mesh, serve(&mesh, settings)));
        let (steps, mut next_steps) = mpsc::unbounded_channel();
        let report_settings = ReportSettings {
            task: task_id(TASK),
            lane: LANE,
            interval: settings.interval,
            timeout: settings.interval,
        };
        mesh.spawn(report_periodically(mesh.clone(), report_settings, steps));
        let (sketches, host, adjustments) = (self.sketches.clone(), host.clone(), adjustments.clone());
        spawn_local(async move {
            let mut weights = AppliedWeights::default();
            let mut every = tokio::time::interval(STEP_INTERVAL);
            loop {
                tokio::select! {
                    step = next_steps.recv() => match step {
                        Some(ReportStep::Collect(reply)) => {
                            let mut sketches = sketches.borrow_mut().take();
                            sketches.retain(|(name, _)| host.is_warm_server(*name) && !adjustments.is_ejected(*name));
                            // The receiver may have ended with the mesh.
                            let _ = reply.send((mesh.clock().now(), Report { known_version: weights.version(), sketches }));
                        }
                        Some(ReportStep::Apply(prepared_at, response)) => {
                            if !weights.apply(settings.ttl, prepared_at, &response) {
                                tracing::warn!(target: "tuner", kind = "lower", token = response.version.0, count = response.version.1);
                            }
                        }
                        None => return,
                    },
                    _ = every.tick() => adjustments.set_weights(weights.current(mesh.clock().now())),
                }
            }
        });
    }
}
