//! A node with a given memory limit, its servers, and orders of other clients beside a crowd.

use super::clients::{self, Order, Outcome};
use super::shop::{Pace, Shop};
use birchswitch_standin::scripted::{member, settings, Node, Peer, Watch};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// The least memory and descriptors that a node is given.
pub const LEAST_MEMORY_MB: u64 = 32;
pub const LEAST_SOCKETS: u32 = 1024;
/// Clients may hold a third of the descriptors with requests.
pub const MOST_REQUESTS: usize = LEAST_SOCKETS as usize / 3;

/// Limits of a node, and its servers.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub memory_mb: u64,
    pub sockets: u32,
    pub servers: usize,
    pub pace: Pace,
}

impl Default for Plan {
    fn default() -> Self {
        Plan { memory_mb: LEAST_MEMORY_MB, sockets: LEAST_SOCKETS, servers: 6, pace: Pace::default() }
    }
}

/// A running node and its servers.
pub struct Deployment {
    pub node: Node,
    _shops: Vec<Shop>,
    _discovery: (Peer, Watch),
}

/// What became of the orders beside a crowd.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderCounts {
    pub all: usize,
    pub served: usize,
    pub late: usize,
    pub closed: usize,
}

impl Deployment {
    pub async fn start(plan: Plan) -> Self {
        let shops: Vec<_> = (0..plan.servers).map(|_| Shop::start(plan.pace)).collect();
        let discovery = Peer::new().await;
        let mut site = settings();
        site["limits"]["may_probe"] = json!(false);
        let config = json!({
            "name": "n", "listen": "127.0.0.1:0", "discovery": discovery.address().to_string(), "seed": "1f",
            "limits": {"sockets": plan.sockets, "memory_mb": plan.memory_mb}, "settings": site,
        });
        let node = Node::with_config(config, &[]).await;
        let (mut watch, _) = discovery.watch().await;
        watch.list(1, true, &members(&shops)).await;
        node.wait_until_ready().await;
        Deployment { node, _shops: shops, _discovery: (discovery, watch) }
    }

    pub fn address(&self) -> SocketAddr {
        self.node.address
    }

    /// Sends small orders on connections of their own, 20 a second.
    pub async fn play_orders(&self, duration: Duration) -> OrderCounts {
        let started = Instant::now();
        let mut orders = JoinSet::new();
        while started.elapsed() < duration {
            orders.spawn(clients::order(self.address(), Order::small("unsafe", Duration::from_millis(879))));
            sleep(Duration::from_millis(50)).await;
        }
        let outcomes = orders.join_all().await;
        let count = |outcome| outcomes.iter().filter(|o| **o == outcome).count();
        OrderCounts {
            all: outcomes.len(),
            served: count(Outcome::Answered(200)),
            late: count(Outcome::Late),
            closed: count(Outcome::Closed),
        }
    }
}

/// The servers' entries in a list.
fn members(shops: &[Shop]) -> Vec<Value> {
    let entry = |(n, shop): (usize, &Shop)| member(&format!("s{n}"), shop.address, "active");
    shops.iter().enumerate().map(entry).collect()
}
