//! Verdicts on servers: what this node's attempts met is told to its zone's judge, whose word goes to the decisions.

use super::advice::Advised;
use super::reign::Reigning;
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

/// Nodes of the zone beside the first that stand ready to judge.
const STANDBYS: usize = 2;
/// Between looks at whether a word has ended.
const LOOK: Duration = Duration::from_millis(200);

/// What a node has of them.
pub struct Verdicts {
    terms: VerdictSettings,
    tally: Rc<RefCell<OutcomeWindow>>,
    mesh: Mesh,
}

impl Verdicts {
    /// With nothing met yet.
    pub fn open(terms: VerdictSettings, mesh: &Mesh) -> Self {
        Verdicts { terms, tally: Rc::default(), mesh: mesh.clone() }
    }

    /// An attempt ended.
    pub fn met(&self, AttemptRecord { name, outcome, latency, warm }: AttemptRecord) {
        let met = match outcome {
            // One that has just started is slow by itself.
            Outcome::Served if !warm => return,
            Outcome::Served => AttemptObservation::Answered(latency.as_secs_f64()),
            Outcome::Error | Outcome::Broken | Outcome::TimedOut | Outcome::Unreachable => {
                AttemptObservation::Failed
            }
            // Full is no failure, and the others say nothing of the server.
            Outcome::Rejected | Outcome::NotSent | Outcome::Cancelled => return,
        };
        self.tally.borrow_mut().record(self.mesh.clock().now(), name, met);
    }

    /// Reports, obeys, and judges whenever its zone's lease is this node's.
    pub fn run<U: Upstream>(&self, zone: &str, tasks: &Rc<Tasks>, host: &Rc<Host<U>>, advised: &Rc<Advised>) {
        let (terms, mesh) = (self.terms, self.mesh.clone());
        let name = format!("verdict/{zone}");
        let task = Task { name: name.clone(), zone: zone.to_owned(), standbys: STANDBYS };
        tasks.register(task, Reigning::over(&mesh, Leader::serve(&mesh, terms)));
        let (errands, mut todo) = mpsc::unbounded_channel();
        let to = ReportSettings {
            task: task_id(&name),
            lane: LANE,
            interval: terms.renew,
            timeout: terms.ttl / 2,
        };
        mesh.spawn(report_periodically(mesh.clone(), to, errands));
        let (tally, host, advised) = (self.tally.clone(), host.clone(), advised.clone());
        spawn_local(async move {
            let mut obeyed = ActiveEjections::default();
            let mut every = tokio::time::interval(LOOK);
            loop {
                tokio::select! {
                    errand = todo.recv() => match errand {
                        Some(ReportStep::Collect(tell)) => {
                            let now = mesh.clock().now();
                            let counts = tally.borrow_mut().counts(now);
                            let report = Report { known_version: obeyed.version(), listed: host.ready_server_count() as u32, counts };
                            // Whoever asked is gone with the mesh.
                            let _ = tell.send((now, report));
                        }
                        Some(ReportStep::Apply(asked, word)) => {
                            if !obeyed.apply(&terms, asked, &word) {
                                tracing::warn!(target: "verdict", kind = "lower", token = word.version.0, count = word.version.1);
                            }
                        }
                        None => return,
                    },
                    _ = every.tick() => {}
                }
                let open = obeyed.current(
                    &terms,
                    mesh.clock().now(),
                    &|name| host.is_ready_server(name),
                    host.ready_server_count(),
                );
                advised.withheld(open);
            }
        });
    }
}
