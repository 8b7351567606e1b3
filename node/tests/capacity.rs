//! What memory and processor time of a node depend on. Slow, and only meaningful on an otherwise idle
//! machine: `cargo test --release -p birchswitch --test capacity -- --ignored --nocapture --test-threads
//! 1`.

use birchswitch_standin::scripted::*;
use serde_json::{json, Value};
use std::time::Duration;

/// Numbers of servers in a list.
const BACKENDS: [usize; 3] = [200, 800, 1600];
/// Numbers of idle clients.
const IDLE_CLIENTS: [usize; 3] = [0, 100, 400];

fn members(count: usize) -> Vec<Value> {
    let address = |n: usize| ([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 9).into();
    (0..count).map(|n| member(&format!("s-{n:08x}"), address(n), "active")).collect()
}

/// A node with a thousand descriptors and enough memory for clients in every slot.
async fn node(discovery: &Peer) -> Node {
    let config = json!({
        "name": "n", "listen": "127.0.0.1:0", "discovery": discovery.address().to_string(), "seed": "1f",
        "limits": {"sockets": 1024, "memory_mb": 192}, "settings": settings(),
    });
    Node::with_config(config, &[]).await
}

/// Memory and processor time of complete lists, and processor time of a change.
#[tokio::test]
#[ignore = "measures; nothing is asserted"]
async fn lists() {
    for count in BACKENDS {
        let discovery = Peer::new().await;
        let node = node(&discovery).await;
        let (mut watch, _) = discovery.watch().await;
        let members = members(count);
        watch.list(1, true, &members).await;
        node.wait_for_list(1).await;
        let (memory, before) = (node.memory_peak(), node.cpu_time());
        const LISTS: u64 = 20;
        for revision in 2..2 + LISTS {
            watch.list(revision, true, &members).await;
            node.wait_for_list(revision).await;
        }
        let complete = (node.cpu_time() - before) / LISTS as u32;
        let before = node.cpu_time();
        for revision in 100..100 + LISTS {
            watch.list(revision, false, &members[..1]).await;
            node.wait_for_list(revision).await;
        }
        let change = (node.cpu_time() - before) / LISTS as u32;
        let bytes = json!({"revision": 1, "complete": true, "members": members}).to_string().len();
        println!(
            "{count} backends: {memory} KiB at the most, a whole list of {bytes} bytes {complete:?}, a change {change:?}"
        );
    }
}

/// Memory of idle connections, and processor time while they are idle.
#[tokio::test]
#[ignore = "measures; nothing is asserted"]
async fn connections() {
    for count in IDLE_CLIENTS {
        let server = Peer::new().await;
        let discovery = Peer::new().await;
        let node = node(&discovery).await;
        let (mut watch, _) = discovery.watch().await;
        watch.list(1, true, &[member("s", server.address(), "active")]).await;
        node.wait_for_list(1).await;
        let mut clients = Vec::new();
        for _ in 0..count {
            clients.push(node.client().await);
        }
        node.get("/health/live").await;
        let (memory, before) = (node.memory_peak(), node.cpu_time());
        tokio::time::sleep(Duration::from_secs(2)).await;
        println!("{count} connections: {memory} KiB, {:?} a second", (node.cpu_time() - before) / 2);
    }
}
