//! Limits of the whole fleet: the door on this node's thread, asking and keeping on the mesh's.

use super::reign::Reigning;
use crate::operations::Part;
use birchswitch_figures::Metrics;
use birchswitch_lease::Task;
use birchswitch_lease_host::Tasks;
use birchswitch_mesh::Mesh;
use birchswitch_operations::Call;
use birchswitch_quota::{renew_grants, Leader, Limiter, QuotaSettings, TASK};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Nodes beside the first that stand ready to keep them.
const STANDBYS: usize = 2;

/// What a node has of them.
pub struct Limits {
    compiled: QuotaSettings,
    door: Rc<Limiter>,
}

impl Limits {
    /// With nothing granted yet.
    pub fn open(compiled: &QuotaSettings, worths: &[f64], mesh: &Mesh) -> Self {
        let door = Limiter::new(&compiled.limits, compiled.timing, worths, mesh.clock());
        Limits { compiled: compiled.clone(), door }
    }

    /// What requests pass.
    pub fn door(&self) -> Rc<Limiter> {
        self.door.clone()
    }

    /// Asks, and keeps them whenever the lease is this node's.
    pub fn run(&self, mesh: &Mesh, tasks: &Rc<Tasks>) {
        let QuotaSettings { limits, timing } = &self.compiled;
        let (apply, mut grants) = mpsc::unbounded_channel();
        mesh.spawn(renew_grants(mesh.clone(), limits.clone(), *timing, self.door.counters(), apply));
        let door = self.door.clone();
        spawn_local(async move {
            while let Some(grants) = grants.recv().await {
                door.apply_grants(grants);
            }
        });
        let task = Task { name: TASK.to_owned(), zone: String::new(), standbys: STANDBYS };
        tasks.register(task, Reigning::over(mesh, Leader::serve(mesh, limits, *timing)));
    }
}

/// They, for operators.
pub struct Asked(pub Rc<Limiter>);

impl Part for Asked {
    fn metrics(&self, metrics: &Metrics) {
        let all = || self.0.limits().map(|l| l.name.clone()).zip(self.0.counters());
        let of = |n: usize| all().map(move |(name, counts)| (name, counts.totals()[n] as f64));
        metrics
            .set_gauges(("limit_let_in", "Requests that a limit of the fleet let in here.", "limit"), of(0));
        metrics.set_gauges(
            ("limit_turned_away", "Requests that a limit of the fleet turned away here.", "limit"),
            of(1),
        );
        let held = self.0.limits().map(|l| l.name.clone()).zip(self.0.granted_rates());
        metrics
            .set_gauges(("limit_per_s", "Requests a second that this node holds of a limit.", "limit"), held);
    }

    fn answers(&self, call: &Call) -> Option<Result<String, String>> {
        (*call == Call::Limits).then(|| Ok(self.0.status_table()))
    }
}
