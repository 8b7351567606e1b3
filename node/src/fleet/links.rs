//! The mesh between nodes, fed with the live members and their addresses.

use crate::operations::Subsystem;
use birchswitch_cluster::{Record, Standing, Topic};
use birchswitch_cluster_host::Cluster;
use birchswitch_figures::Metrics;
use birchswitch_lease_host::running_tasks;
use birchswitch_mesh::{Clock, Identity, Member, MembershipView, Mesh, MeshError, MeshSettings};
use birchswitch_operations::Call;
use birchswitch_quota::Limiter;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Interval between checks for changes of membership.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the mesh under the member's name, and publishes its address to the other members.
pub fn open(settings: &MeshSettings, cluster: &Cluster, clock: Clock) -> Result<Mesh, MeshError> {
    let (name, generation) = {
        let core = cluster.core();
        (core.own().name.clone(), core.own().generation)
    };
    let mesh = Mesh::start(settings, &Identity { cluster: cluster.name(), name: &name, generation, clock })?;
    cluster.publish(Topic::Mesh, mesh.address().to_string().into_bytes());
    Ok(mesh)
}

/// Keeps the mesh's view of the membership and the limiter's fleet size up to date.
pub fn follow(cluster: &Rc<Cluster>, mesh: &Mesh, limiter: Option<Rc<Limiter>>) {
    let (cluster, mesh) = (cluster.clone(), mesh.clone());
    spawn_local(async move {
        let mut every = tokio::time::interval(POLL_INTERVAL);
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut current = MembershipView::default();
        loop {
            every.tick().await;
            let now = membership_view(&cluster);
            if now != current {
                limiter.iter().for_each(|limiter| limiter.set_fleet_size(now.agreed));
                mesh.set_membership(now.clone());
                current = now;
            }
        }
    });
}

fn membership_view(cluster: &Cluster) -> MembershipView {
    let core = cluster.core();
    let member = |record: &Record| {
        let address = record.value(Topic::Mesh).and_then(|b| std::str::from_utf8(b).ok()?.parse().ok());
        let (name, zone) = (record.name.clone(), record.zone.clone());
        (
            record.id(),
            Member { name, zone, generation: record.generation, address, tasks: running_tasks(record) },
        )
    };
    let others = core.members().filter(|(_, m)| m.state.is_live()).map(|(_, m)| member(&m.record));
    // A node with seeds that has not met another member yet does not know the fleet's size.
    let unknown = core.standing() == Standing::Alone && core.seed_count() > 0;
    let agreed = if unknown { 0 } else { core.agreed_size() as u32 };
    MembershipView { members: others.chain([member(core.own())]).collect(), agreed }
}

/// Metrics and status of the mesh.
pub struct MeshOperations(pub Mesh);

impl Subsystem for MeshOperations {
    fn metrics(&self, metrics: &Metrics) {
        let ([open, total], [asked, heard, told, replaced, unreached]) =
            (self.0.counters().connections(), self.0.counters().messages());
        let values = [
            ("open", open),
            ("connected", total),
            ("asked", asked),
            ("heard", heard),
            ("told", told),
            ("replaced", replaced),
            ("unreached", unreached),
        ];
        let values = values.map(|(of, value)| (of.to_owned(), value as f64));
        metrics.set_gauges(("mesh", "Connections to other nodes, and what goes over them.", "of"), values);
    }

    fn answer(&self, call: &Call) -> Option<Result<String, String>> {
        if *call != Call::Mesh {
            return None;
        }
        let [open, total] = self.0.counters().connections();
        let mut text = format!("# {open} connections are open, {total} were\n# name zone address tasks\n");
        for member in self.0.membership().members.values() {
            let address = member.address.map_or("-".to_owned(), |a| a.to_string());
            // Writing to a string never fails.
            let _ = writeln!(text, "{} {} {address} {}", member.name, member.zone, member.tasks.len());
        }
        Some(Ok(text))
    }
}
