//! Rate limits of the whole fleet: the limiter runs on this node's thread, renewal of grants and leadership on the mesh's thread.

use super::leadership::LeadershipTask;
use crate::operations::Subsystem;
use birchswitch_figures::Metrics;
use birchswitch_lease::Task;
use birchswitch_lease_host::Tasks;
use birchswitch_mesh::Mesh;
use birchswitch_operations::Call;
use birchswitch_quota::{renew_grants, Leader, Limiter, QuotaSettings, TASK};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Standby nodes for the leader of the limits.
const STANDBYS: usize = 2;

/// The fleet's limits at this node.
pub struct Limits {
    settings: QuotaSettings,
    limiter: Rc<Limiter>,
}

impl Limits {
    /// Creates a limiter without grants. `worths` holds the worth of each class.
    pub fn open(settings: &QuotaSettings, worths: &[f64], mesh: &Mesh) -> Self {
        let limiter = Limiter::new(&settings.limits, settings.timing, worths, mesh.clock());
        Limits { settings: settings.clone(), limiter }
    }

    /// The limiter that admits requests.
    pub fn limiter(&self) -> Rc<Limiter> {
        self.limiter.clone()
    }

    /// Renews this node's grants, and leads the limits while this node holds the lease.
    pub fn run(&self, mesh: &Mesh, tasks: &Rc<Tasks>) {
        let QuotaSettings { limits, timing } = &self.settings;
        let (apply, mut grants) = mpsc::unbounded_channel();
        mesh.spawn(renew_grants(mesh.clone(), limits.clone(), *timing, self.limiter.counters(), apply));
        let limiter = self.limiter.clone();
        spawn_local(async move {
            while let Some(grants) = grants.recv().await {
                limiter.apply_grants(grants);
            }
        });
        let task = Task { name: TASK.to_owned(), zone: String::new(), standbys: STANDBYS };
        tasks.register(task, LeadershipTask::for_service(mesh, Leader::serve(mesh, limits, *timing)));
    }
}

/// Metrics and status of the limits.
pub struct LimitOperations(pub Rc<Limiter>);

impl Subsystem for LimitOperations {
    fn metrics(&self, metrics: &Metrics) {
        let counters = || self.0.limits().map(|l| l.name.clone()).zip(self.0.counters());
        let totals = |n: usize| counters().map(move |(name, counts)| (name, counts.totals()[n] as f64));
        metrics.set_gauges(
            ("limit_let_in", "Requests that a limit of the fleet let in here.", "limit"),
            totals(0),
        );
        metrics.set_gauges(
            ("limit_turned_away", "Requests that a limit of the fleet turned away here.", "limit"),
            totals(1),
        );
        let held = self.0.limits().map(|l| l.name.clone()).zip(self.0.granted_rates());
        metrics
            .set_gauges(("limit_per_s", "Requests a second that this node holds of a limit.", "limit"), held);
    }

    fn answer(&self, call: &Call) -> Option<Result<String, String>> {
        (*call == Call::Limits).then(|| Ok(self.0.status_table()))
    }
}
