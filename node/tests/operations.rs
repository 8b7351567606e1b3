//! Where operators call: figures that are true, servers taken out by hand, and callers that hold connections.

use birchswitch_standin::scripted::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A configuration with an address for operators.
fn config(discovery: &Peer) -> Value {
    json!({
        "name": "n", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "discovery": discovery.address().to_string(),
        "seed": "1f", "settings": settings(),
    })
}

/// A node that has taken a list of these servers, and where operators call it.
async fn serving(servers: &[(&str, &Peer)], variables: &[(&str, &str)]) -> (Node, SocketAddr, Peer, Watch) {
    let discovery = Peer::new().await;
    let mut node = Node::with_config(config(&discovery), variables).await;
    let operators = node.ops_address().await;
    let (mut watch, _) = discovery.watch().await;
    let members: Vec<Value> = servers.iter().map(|s| member(s.0, s.1.address(), "active")).collect();
    watch.list(1, true, &members).await;
    node.wait_until_ready().await;
    (node, operators, discovery, watch)
}

async fn served_by(client: &mut Connection, server: &Peer) {
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "Connection: close\r\n", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// Counts each request once, by its class and end, and each attempt that was written.
#[tokio::test]
async fn figures_tell_what_became_of_requests() {
    let server = Peer::new().await;
    let (node, operators, _discovery, mut watch) = serving(&[("s", &server)], &[]).await;
    let mut client = node.client().await;
    served_by(&mut client, &server).await;
    client.send("safe", "20000m").await;
    let (mut wire, _) = server.request().await;
    let figures = call(operators, "METRICS").await;
    let has = |figures: &str, line: &str| assert!(figures.lines().any(|l| l == line), "{line}: {figures}");
    has(&figures, "app_results{disposition=\"succeeded\",service=\"unsafe\"} 1");
    has(&figures, "app_outstanding 1");
    has(&figures, "app_forwards 2");
    has(&figures, "app_discovered 1");
    // The first connection was closed by its server. Load comes with answers here: nobody is asked for it.
    has(&figures, "app_handshakes 2");
    has(&figures, "app_lists 1");
    has(&figures, "app_probes 0");
    assert_eq!(figures.lines().last(), Some("EOT"));
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    // Without a server requests are refused; one whose client leaves is not in hand any more.
    watch.list(2, true, &[]).await;
    node.wait_for_list(2).await;
    assert_eq!(client.round_trip("keyed").await.expect("an answer").status(), 503);
    let figures = call(operators, "METRICS").await;
    has(&figures, "app_results{disposition=\"succeeded\",service=\"safe\"} 1");
    has(&figures, "app_results{disposition=\"declined\",service=\"keyed\"} 1");
    has(&figures, "app_outstanding 0");
    has(&figures, "app_discovered 0");
}

/// Nothing new reaches a server that is out, whatever the list says of it, until the call back.
#[tokio::test]
async fn a_server_taken_out_by_hand_stays_out_until_the_call_back() {
    let (kept, out) = (Peer::new().await, Peer::new().await);
    let (node, operators, _discovery, mut watch) = serving(&[("out", &out)], &[]).await;
    assert!(call(operators, "SUSPEND nobody").await.starts_with("FAILURE "));
    assert!(call(operators, "SUSPEND out").await.starts_with("SUCCESS "));
    assert!(call(operators, "SUSPEND out").await.starts_with("SUCCESS "), "said twice");
    let mut client = node.client().await;
    assert_eq!(client.round_trip("unsafe").await.expect("an answer").status(), 503, "nobody else is there");
    // It restarts, goes, and comes back.
    let mut entry = member("out", out.address(), "active");
    entry["up_since_ms"] = json!(1_700_000_000_000u64);
    watch.list(2, true, &[entry.clone(), member("kept", kept.address(), "active")]).await;
    node.wait_for_list(2).await;
    watch.list(3, false, &[json!({"id": "out", "phase": "left"})]).await;
    watch.list(4, false, &[entry]).await;
    node.wait_for_list(4).await;
    for _ in 0..8 {
        served_by(&mut client, &kept).await;
    }
    assert!(out.has_no_connection().await);
    assert!(call(operators, "METRICS").await.lines().any(|l| l == "app_ejected 1"));
    watch.list(5, false, &[json!({"id": "kept", "phase": "left"})]).await;
    node.wait_for_list(5).await;
    assert!(call(operators, "RESTORE out").await.starts_with("SUCCESS "), "once undoes both");
    served_by(&mut client, &out).await;
}

/// A ban that was kept counts in the next process before its first list, and an error of the disk changes nothing.
#[tokio::test]
async fn a_ban_outlives_the_process() {
    let state = tempfile::tempdir().expect("a folder");
    let kept = [("TMPDIR", state.path().to_str().expect("a path"))];
    let server = Peer::new().await;
    let (node, operators, ..) = serving(&[("s", &server)], &kept).await;
    assert!(call(operators, "SUSPEND s").await.starts_with("SUCCESS "));
    drop(node);
    let (node, operators, ..) = serving(&[("s", &server)], &kept).await;
    assert_eq!(node.client().await.round_trip("unsafe").await.expect("an answer").status(), 503);
    assert!(call(operators, "RESTORE s").await.starts_with("SUCCESS "));
    served_by(&mut node.client().await, &server).await;
    std::fs::remove_dir_all(state.path().join("birchswitch")).expect("removed");
    assert!(call(operators, "SUSPEND s").await.starts_with("FAILURE nothing was changed"));
    served_by(&mut node.client().await, &server).await;
}

/// Callers that say nothing, or half a line, are in nobody's way, and bad calls are told so.
#[tokio::test]
async fn silent_callers_keep_nobody_out() {
    let discovery = Peer::new().await;
    let mut node = Node::with_config(config(&discovery), &[]).await;
    let operators = node.ops_address().await;
    assert!(call(operators, "STATUS").await.starts_with("FAILURE "), "no list names a server");
    let mut silent = Vec::new();
    for _ in 0..40 {
        silent.push(TcpStream::connect(operators).await.expect("a connection"));
    }
    for line in ["SUSPEND", "EXPLODE", "", "STATUS now", &"x".repeat(5000)] {
        let answer = call(operators, line).await;
        assert!(answer.starts_with("FAILURE ") && answer.lines().count() == 1, "{line:?}: {answer:?}");
    }
    let before = node.descriptors();
    assert!(before < 64, "{before} descriptors");
    node.signal("TERM").await;
    assert!(node.wait_for_exit().await.success());
}
