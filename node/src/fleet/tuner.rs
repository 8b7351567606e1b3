//! Tuned weights: what this node's requests took is told to the tuner, whose weights go to the decisions by degrees.

use super::advice::Advised;
use super::reign::Reigning;
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

/// Nodes beside the first that stand ready to tune.
const STANDBYS: usize = 2;
/// Between two degrees.
const LOOK: Duration = Duration::from_millis(250);

/// What a node has of them.
pub struct Tuned {
    terms: TunerSettings,
    sketches: Rc<RefCell<ServerSketches>>,
    mesh: Mesh,
}

impl Tuned {
    /// With nothing seen yet.
    pub fn open(terms: TunerSettings, mesh: &Mesh) -> Self {
        Tuned { terms, sketches: Rc::default(), mesh: mesh.clone() }
    }

    /// A server answered.
    pub fn served(&self, name: u64, latency: Duration) {
        self.sketches.borrow_mut().record(name, latency.as_secs_f64());
    }

    /// Reports, weighs, and tunes whenever the lease is this node's.
    pub fn run<U: Upstream>(&self, tasks: &Rc<Tasks>, host: &Rc<Host<U>>, advised: &Rc<Advised>) {
        let (terms, mesh) = (self.terms, self.mesh.clone());
        let task = Task { name: TASK.to_owned(), zone: String::new(), standbys: STANDBYS };
        tasks.register(task, Reigning::over(&mesh, serve(&mesh, terms)));
        let (errands, mut todo) = mpsc::unbounded_channel();
        let to = ReportSettings {
            task: task_id(TASK),
            lane: LANE,
            interval: terms.interval,
            timeout: terms.interval,
        };
        mesh.spawn(report_periodically(mesh.clone(), to, errands));
        let (sketches, host, advised) = (self.sketches.clone(), host.clone(), advised.clone());
        spawn_local(async move {
            let mut weights = AppliedWeights::default();
            let mut every = tokio::time::interval(LOOK);
            loop {
                tokio::select! {
                    errand = todo.recv() => match errand {
                        Some(ReportStep::Collect(tell)) => {
                            let mut sketches = sketches.borrow_mut().take();
                            sketches.retain(|(name, _)| host.is_warm_server(*name) && !advised.withholds(*name));
                            // Whoever asked is gone with the mesh.
                            let _ = tell.send((mesh.clock().now(), Report { known_version: weights.version(), sketches }));
                        }
                        Some(ReportStep::Apply(asked, word)) => {
                            if !weights.apply(terms.ttl, asked, &word) {
                                tracing::warn!(target: "tuner", kind = "lower", token = word.version.0, count = word.version.1);
                            }
                        }
                        None => return,
                    },
                    _ = every.tick() => advised.weighed(weights.current(mesh.clock().now())),
                }
            }
        });
    }
}
