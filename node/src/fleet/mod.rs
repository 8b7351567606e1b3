//! What this node has in common with the others: membership, leases, and what rests on them.
//!
//! ```text
//!   members ── who lives ──┐
//!   leases  ── who may ────┼── links: the mesh, told who lives ─┬─ limits: the door's grants
//!   health                 │                                    ├─ wallet: allotments
//!                          │                                    └─ verdicts, tuner ── advice: one input of the decisions
//!   gate: what each request passes, on the node's own thread
//! ```

mod advice;
mod gate;
pub mod health;
pub mod leases;
mod limits;
mod links;
pub mod members;
mod reign;
mod tuner;
mod verdicts;
mod wallet;

use crate::operations::Part;
use birchswitch_cluster_host::Cluster;
use birchswitch_host::{Host, Upstream};
use birchswitch_lease_host::{Leases, Tasks};
use birchswitch_mesh::{Clock, Mesh, MeshError};
use birchswitch_quota as quota;
use finchvale::{Effect, Outcome};
use gate::Gate;
use std::rc::Rc;
use std::time::Duration;

/// Thousandths by which clocks may be off, where no lease says it.
const DRIFT: u32 = 50;

/// What is wanted of it, checked.
pub struct Wanted<'a> {
    /// `[mesh]`.
    pub mesh: Option<&'a birchswitch_mesh::MeshSettings>,
    /// `[[limits]]`.
    pub limits: Option<&'a quota::QuotaSettings>,
    /// `[[wallet]]`.
    pub wallet: Option<&'a birchswitch_wallet::WalletSettings>,
    /// `[verdicts]`.
    pub verdicts: Option<birchswitch_verdict::VerdictSettings>,
    /// `[tuner]`.
    pub tuner: Option<birchswitch_tuner::TunerSettings>,
    /// The settings' classes.
    pub classes: &'a [finchvale::Class],
    /// The settings' tenants.
    pub tenants: &'a [String],
    /// The clock's rate in drills, and its drift.
    pub clock: Option<(u32, u32)>,
}

/// What is on of it.
pub struct Common {
    cluster: Rc<Cluster>,
    mesh: Mesh,
    tasks: Option<Rc<Tasks>>,
    limits: Option<limits::Limits>,
    wallet: Option<wallet::Wallet>,
    verdicts: Option<Rc<verdicts::Verdicts>>,
    tuned: Option<Rc<tuner::Tuned>>,
}

impl Common {
    /// Takes up the mesh and what rests on it; none: nothing is wanted.
    pub fn open(
        wanted: &Wanted,
        cluster: Option<&Rc<Cluster>>,
        leases: Option<&Rc<Leases>>,
    ) -> Result<Option<Common>, MeshError> {
        let (Some(compiled), Some(cluster)) = (wanted.mesh, cluster) else { return Ok(None) };
        let (rate, drift) = wanted.clock.unwrap_or((1000, DRIFT));
        let mesh = links::open(compiled, cluster, Clock::new(rate, drift))?;
        let worths: Vec<f64> = wanted.classes.iter().map(|c| c.worth).collect();
        let limits = wanted.limits.map(|compiled| limits::Limits::open(compiled, &worths, &mesh));
        let windows = wanted.classes.iter().map(|c| match c.effect {
            Effect::Keyed { window, .. } => window,
            Effect::Safe | Effect::Unsafe => Duration::ZERO,
        });
        let windows: Vec<Duration> = windows.collect();
        let hold = wanted.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let open = |compiled| wallet::Wallet::open(compiled, wanted.tenants, &windows, hold, &mesh);
        let wallet = wanted.wallet.map(open);
        let verdicts = wanted.verdicts.map(|terms| Rc::new(verdicts::Verdicts::open(terms, &mesh)));
        let tuned = wanted.tuner.map(|terms| Rc::new(tuner::Tuned::open(terms, &mesh)));
        let tasks = leases.map(|leases| Tasks::new(leases, cluster));
        Ok(Some(Common { cluster: cluster.clone(), mesh, tasks, limits, wallet, verdicts, tuned }))
    }

    /// What each request passes; none: nothing that is on wants to.
    pub fn gate(&self) -> Option<Rc<Gate>> {
        let limits = self.limits.as_ref().map(limits::Limits::door);
        let accounts = self.wallet.as_ref().map(wallet::Wallet::guard);
        (limits.is_some() || accounts.is_some()).then(|| Rc::new(Gate { limits, accounts }))
    }

    /// Hears how a host's attempts end. To be called before any list comes.
    pub fn watch<U: Upstream>(&self, host: &Host<U>) {
        let (verdicts, tuned) = (self.verdicts.clone(), self.tuned.clone());
        if verdicts.is_none() && tuned.is_none() {
            return;
        }
        host.on_attempt_end(move |end| {
            verdicts.iter().for_each(|v| v.met(end));
            if end.outcome == Outcome::Served {
                tuned.iter().for_each(|t| t.served(end.name, end.latency));
            }
        });
    }

    /// Takes part from now on, for good.
    pub fn run<U: Upstream>(&self, host: &Rc<Host<U>>) {
        links::follow(&self.cluster, &self.mesh, self.limits.as_ref().map(limits::Limits::door));
        if let (Some(limits), Some(tasks)) = (&self.limits, &self.tasks) {
            limits.run(&self.mesh, tasks);
        }
        if let (Some(wallet), Some(tasks)) = (&self.wallet, &self.tasks) {
            wallet.run(tasks);
        }
        let advised = Rc::new(advice::Advised::default());
        advised.add(host);
        if let (Some(tuned), Some(tasks)) = (&self.tuned, &self.tasks) {
            tuned.run(tasks, host, &advised);
        }
        if let (Some(verdicts), Some(tasks)) = (&self.verdicts, &self.tasks) {
            let zone = self.cluster.core().own().zone.clone();
            verdicts.run(&zone, tasks, host, &advised);
        }
    }

    /// Gives back what others could use, before the node ends.
    pub async fn leave(&self) {
        if let Some(wallet) = &self.wallet {
            wallet.return_allotments().await;
        }
        self.mesh.stop();
    }

    /// For operators.
    pub fn parts(&self) -> Vec<Rc<dyn Part>> {
        let mut parts: Vec<Rc<dyn Part>> = vec![Rc::new(links::Asked(self.mesh.clone()))];
        parts.extend(self.limits.iter().map(|l| Rc::new(limits::Asked(l.door())) as Rc<dyn Part>));
        parts.extend(self.wallet.iter().map(|w| Rc::new(w.operations()) as Rc<dyn Part>));
        parts
    }
}

/// Lets what is on stand before a host's decisions.
pub fn guard<U: Upstream>(host: &Host<U>, gate: Option<&Rc<Gate>>) {
    gate.iter().for_each(|gate| host.set_admission((*gate).clone()));
}
