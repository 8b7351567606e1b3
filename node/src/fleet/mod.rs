//! Subsystems shared by all nodes of the fleet: membership, leases and the services built on them.
//!
//! ```text
//!   members ── live nodes ───────┐
//!   leases  ── task leadership ──┼── links: mesh, fed with live nodes ─┬─ limits: grants for the limiter
//!   health                       │                                     ├─ wallet: allotments
//!                                │                                     └─ verdicts, tuner ── adjustments: input of the engine
//!   gate: admission control for each request, on the node's own thread
//! ```

mod adjustments;
mod gate;
pub mod health;
mod leadership;
pub mod leases;
mod limits;
mod links;
pub mod members;
mod tuner;
mod verdicts;
mod wallet;

use crate::operations::Subsystem;
use birchswitch_cluster_host::Cluster;
use birchswitch_host::{Host, Upstream};
use birchswitch_lease_host::{Leases, Tasks};
use birchswitch_mesh::{Clock, Mesh, MeshError};
use birchswitch_quota as quota;
use finchvale::{Effect, Outcome};
use gate::Gate;
use std::rc::Rc;
use std::time::Duration;

/// Clock drift, in thousandths, that is assumed without a `[lease]` table.
const DEFAULT_DRIFT: u32 = 50;

/// Checked settings of the fleet's subsystems.
pub struct FleetSettings<'a> {
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
    /// Classes of requests from the site's settings.
    pub classes: &'a [finchvale::Class],
    /// Tenants from the site's settings.
    pub tenants: &'a [String],
    /// The clock's rate, other than 1000 only in drills, and its drift.
    pub clock: Option<(u32, u32)>,
}

/// The fleet's subsystems that are enabled at this node.
pub struct Fleet {
    cluster: Rc<Cluster>,
    mesh: Mesh,
    tasks: Option<Rc<Tasks>>,
    limits: Option<limits::Limits>,
    wallet: Option<wallet::Wallet>,
    verdicts: Option<Rc<verdicts::Verdicts>>,
    tuner: Option<Rc<tuner::Tuner>>,
}

impl Fleet {
    /// Opens the mesh and the subsystems that use it. Returns `None` without a `[mesh]` table or a cluster.
    pub fn open(
        settings: &FleetSettings,
        cluster: Option<&Rc<Cluster>>,
        leases: Option<&Rc<Leases>>,
    ) -> Result<Option<Fleet>, MeshError> {
        let (Some(compiled), Some(cluster)) = (settings.mesh, cluster) else { return Ok(None) };
        let (rate, drift) = settings.clock.unwrap_or((1000, DEFAULT_DRIFT));
        let mesh = links::open(compiled, cluster, Clock::new(rate, drift))?;
        let worths: Vec<f64> = settings.classes.iter().map(|c| c.worth).collect();
        let limits = settings.limits.map(|compiled| limits::Limits::open(compiled, &worths, &mesh));
        let windows = settings.classes.iter().map(|c| match c.effect {
            Effect::Keyed { window, .. } => window,
            Effect::Safe | Effect::Unsafe => Duration::ZERO,
        });
        let windows: Vec<Duration> = windows.collect();
        let longest_deadline = settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let open =
            |compiled| wallet::Wallet::open(compiled, settings.tenants, &windows, longest_deadline, &mesh);
        let wallet = settings.wallet.map(open);
        let verdicts = settings.verdicts.map(|settings| Rc::new(verdicts::Verdicts::open(settings, &mesh)));
        let tuner = settings.tuner.map(|settings| Rc::new(tuner::Tuner::open(settings, &mesh)));
        let tasks = leases.map(|leases| Tasks::new(leases, cluster));
        Ok(Some(Fleet { cluster: cluster.clone(), mesh, tasks, limits, wallet, verdicts, tuner }))
    }

    /// Returns the admission control, or `None` if neither limits nor prepaid accounts are enabled.
    pub fn gate(&self) -> Option<Rc<Gate>> {
        let limits = self.limits.as_ref().map(limits::Limits::limiter);
        let accounts = self.wallet.as_ref().map(wallet::Wallet::account_guard);
        (limits.is_some() || accounts.is_some()).then(|| Rc::new(Gate { limits, accounts }))
    }

    /// Records the outcomes of a host's attempts. Must be called before the host gets its first list of servers.
    pub fn observe_attempts<U: Upstream>(&self, host: &Host<U>) {
        let (verdicts, tuner) = (self.verdicts.clone(), self.tuner.clone());
        if verdicts.is_none() && tuner.is_none() {
            return;
        }
        host.on_attempt_end(move |end| {
            verdicts.iter().for_each(|v| v.record_attempt(end));
            if end.outcome == Outcome::Served {
                tuner.iter().for_each(|t| t.record_latency(end.name, end.latency));
            }
        });
    }

    /// Starts the background tasks of all enabled subsystems.
    pub fn run<U: Upstream>(&self, host: &Rc<Host<U>>) {
        links::follow(&self.cluster, &self.mesh, self.limits.as_ref().map(limits::Limits::limiter));
        if let (Some(limits), Some(tasks)) = (&self.limits, &self.tasks) {
            limits.run(&self.mesh, tasks);
        }
        if let (Some(wallet), Some(tasks)) = (&self.wallet, &self.tasks) {
            wallet.run(tasks);
        }
        let adjustments = Rc::new(adjustments::ServerAdjustments::default());
        adjustments.add_host(host);
        if let (Some(tuner), Some(tasks)) = (&self.tuner, &self.tasks) {
            tuner.run(tasks, host, &adjustments);
        }
        if let (Some(verdicts), Some(tasks)) = (&self.verdicts, &self.tasks) {
            let zone = self.cluster.core().own().zone.clone();
            verdicts.run(&zone, tasks, host, &adjustments);
        }
    }

    /// Returns unspent allotments to the fleet and stops the mesh. Called before the node ends.
    pub async fn leave(&self) {
        if let Some(wallet) = &self.wallet {
            wallet.return_allotments().await;
        }
        self.mesh.stop();
    }

    /// Returns the subsystems that operators can query.
    pub fn subsystems(&self) -> Vec<Rc<dyn Subsystem>> {
        let mut subsystems: Vec<Rc<dyn Subsystem>> = vec![Rc::new(links::MeshOperations(self.mesh.clone()))];
        subsystems.extend(
            self.limits.iter().map(|l| Rc::new(limits::LimitOperations(l.limiter())) as Rc<dyn Subsystem>),
        );
        subsystems.extend(self.wallet.iter().map(|w| Rc::new(w.operations()) as Rc<dyn Subsystem>));
        subsystems
    }
}

/// Installs the admission control, if there is one, on a host.
pub fn install_gate<U: Upstream>(host: &Host<U>, gate: Option<&Rc<Gate>>) {
    gate.iter().for_each(|gate| host.set_admission((*gate).clone()));
}
