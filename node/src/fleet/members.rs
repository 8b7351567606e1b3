//! This node among the others: what it tells them, and its place on the ring of servers.

use crate::operations::Part;
use birchswitch_cluster::{State, Topic};
use birchswitch_cluster_host::{Cluster, ClusterSettings, Identity};
use birchswitch_figures::{ClusterMetrics, Metrics};
use birchswitch_host::{Host, Upstream};
use birchswitch_operations::Call;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How often the revision of the list of servers is told, where it changed: every such change goes to all members.
const TELL: Duration = Duration::from_secs(10);

/// Binds the member's socket.
pub fn open(compiled: &ClusterSettings, name: &str, seed: u64) -> Result<Rc<Cluster>, Box<dyn Error>> {
    let who = Identity { name, program: env!("CARGO_PKG_VERSION"), seed };
    Ok(Cluster::open(compiled, &who)?)
}

/// Takes part for good; the node's place goes to all that send to servers.
pub fn run<U: Upstream>(cluster: &Rc<Cluster>, host: &Rc<Host<U>>, placed: Vec<Rc<dyn Placed>>) {
    spawn_local(cluster.clone().run(move |begins, nodes| placed.iter().for_each(|p| p.place(begins, nodes))));
    let (cluster, host) = (cluster.clone(), host.clone());
    spawn_local(async move {
        let mut every = tokio::time::interval(TELL);
        let mut told = None;
        loop {
            every.tick().await;
            let revision = host.revision();
            if told != Some(revision) && host.ready() {
                told = Some(revision);
                cluster.publish(Topic::ServerList, revision.to_le_bytes().to_vec());
            }
        }
    });
}

/// What has a place on the ring of servers.
pub trait Placed {
    /// Takes it up.
    fn place(&self, begins: f64, nodes: u32);
}

impl<U: Upstream> Placed for Host<U> {
    fn place(&self, begins: f64, nodes: u32) {
        Host::set_ring_position(self, begins, nodes);
    }
}

/// What figures tell of it.
fn metrics(cluster: &Cluster) -> ClusterMetrics {
    let core = cluster.core();
    let counts = core.counts();
    ClusterMetrics {
        members: [State::Alive, State::Suspect, State::Dead, State::Left].map(|s| core.count(s)),
        sent: counts.sent,
        received: counts.received,
        dropped: counts.dropped,
        detection_counts: [counts.suspicions, counts.refutations, counts.verdicts],
        health: core.health_score(),
    }
}

/// It, for operators.
pub struct Asked(pub Rc<Cluster>);

impl Part for Asked {
    fn metrics(&self, all: &Metrics) {
        all.set_cluster(&metrics(&self.0));
    }

    fn answers(&self, call: &Call) -> Option<Result<String, String>> {
        match call {
            Call::Members => Some(Ok(self.0.members_text())),
            Call::Leave if self.0.leave() => Some(Ok("left".to_owned())),
            Call::Leave => Some(Err("this node is no member any more".to_owned())),
            _ => None,
        }
    }
}
