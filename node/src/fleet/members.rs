//! Cluster membership of this node: what it publishes, and its position on the ring of servers.

use crate::operations::Subsystem;
use birchswitch_cluster::{State, Topic};
use birchswitch_cluster_host::{Cluster, ClusterSettings, Identity};
use birchswitch_figures::{ClusterMetrics, Metrics};
use birchswitch_host::{Host, Upstream};
use birchswitch_operations::Call;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How often a changed revision of the list of servers is published. It is limited because each change is sent to all members.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(10);

/// Binds the member's socket.
pub fn open(settings: &ClusterSettings, name: &str, seed: u64) -> Result<Rc<Cluster>, Box<dyn Error>> {
    let identity = Identity { name, program: env!("CARGO_PKG_VERSION"), seed };
    Ok(Cluster::open(settings, &identity)?)
}

/// Starts the membership protocol and the publishing of list revisions. Every host in `hosts` gets the node's ring position.
pub fn run<U: Upstream>(cluster: &Rc<Cluster>, host: &Rc<Host<U>>, hosts: Vec<Rc<dyn RingPositioned>>) {
    spawn_local(
        cluster.clone().run(move |start, nodes| hosts.iter().for_each(|h| h.set_position(start, nodes))),
    );
    let (cluster, host) = (cluster.clone(), host.clone());
    spawn_local(async move {
        let mut every = tokio::time::interval(PUBLISH_INTERVAL);
        let mut published = None;
        loop {
            every.tick().await;
            let revision = host.revision();
            if published != Some(revision) && host.ready() {
                published = Some(revision);
                cluster.publish(Topic::ServerList, revision.to_le_bytes().to_vec());
            }
        }
    });
}

/// A host with a position on the ring of servers.
pub trait RingPositioned {
    /// Sets where the node's part of the ring starts, and the number of nodes.
    fn set_position(&self, start: f64, nodes: u32);
}

impl<U: Upstream> RingPositioned for Host<U> {
    fn set_position(&self, start: f64, nodes: u32) {
        Host::set_ring_position(self, start, nodes);
    }
}

/// Collects the metrics of the cluster.
fn cluster_metrics(cluster: &Cluster) -> ClusterMetrics {
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

/// Metrics and calls for membership.
pub struct MembershipOperations(pub Rc<Cluster>);

impl Subsystem for MembershipOperations {
    fn metrics(&self, metrics: &Metrics) {
        metrics.set_cluster(&cluster_metrics(&self.0));
    }

    fn answer(&self, call: &Call) -> Option<Result<String, String>> {
        match call {
            Call::Members => Some(Ok(self.0.members_text())),
            Call::Leave if self.0.leave() => Some(Ok("left".to_owned())),
            Call::Leave => Some(Err("this node is no member any more".to_owned())),
            _ => None,
        }
    }
}
