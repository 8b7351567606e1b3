//! The operator address: metrics, servers suspended by hand, and callers that hold connections.

use birchswitch_standin::scripted::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A configuration with an operator address.
fn config(discovery: &Peer) -> Value {
    json!({
        "name": "n", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "discovery": discovery.address().to_string(),
        "seed": "1f", "settings": settings(),
    })
}

/// A node that has applied a list of these servers, and its operator address.
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

async fn expect_served_by(client: &mut Connection, server: &Peer) {
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "Connection: close\r\n", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// Each request is counted once, by class and outcome, and each attempt that was sent.
#[tokio::test]
async fn metrics_count_requests_by_outcome() {
    let server = Peer::new().await;
    let (node, operators, _discovery, mut watch) = serving(&[("s", &server)], &[]).await;
    let mut client = node.client().await;
    expect_served_by(&mut client, &server).await;
    client.send("safe", "20000m").await;
    let (mut wire, _) = server.request().await;
    let metrics = call(operators, "METRICS").await;
    let expect_line =
        |metrics: &str, line: &str| assert!(metrics.lines().any(|l| l == line), "{line}: {metrics}");
    expect_line(&metrics, "app_results{disposition=\"succeeded\",service=\"unsafe\"} 1");
    expect_line(&metrics, "app_outstanding 1");
    expect_line(&metrics, "app_forwards 2");
    expect_line(&metrics, "app_discovered 1");
    // The server closed the first connection. Load is reported in answers here, so no probes are sent.
    expect_line(&metrics, "app_handshakes 2");
    expect_line(&metrics, "app_lists 1");
    expect_line(&metrics, "app_probes 0");
    assert_eq!(metrics.lines().last(), Some("EOT"));
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    // Without a server requests are refused; nothing stays outstanding.
    watch.list(2, true, &[]).await;
    node.wait_for_list(2).await;
    assert_eq!(client.round_trip("keyed").await.expect("an answer").status(), 503);
    let metrics = call(operators, "METRICS").await;
    expect_line(&metrics, "app_results{disposition=\"succeeded\",service=\"safe\"} 1");
    expect_line(&metrics, "app_results{disposition=\"declined\",service=\"keyed\"} 1");
    expect_line(&metrics, "app_outstanding 0");
    expect_line(&metrics, "app_discovered 0");
}

/// A suspended server gets no new requests, whatever the list says of it, until it is restored.
#[tokio::test]
async fn a_suspended_server_stays_out_until_it_is_restored() {
    let (kept, out) = (Peer::new().await, Peer::new().await);
    let (node, operators, _discovery, mut watch) = serving(&[("out", &out)], &[]).await;
    assert!(call(operators, "SUSPEND nobody").await.starts_with("FAILURE "));
    assert!(call(operators, "SUSPEND out").await.starts_with("SUCCESS "));
    assert!(call(operators, "SUSPEND out").await.starts_with("SUCCESS "), "the second call");
    let mut client = node.client().await;
    assert_eq!(
        client.round_trip("unsafe").await.expect("an answer").status(),
        503,
        "no other server is listed"
    );
    // It restarts, leaves, and comes back.
    let mut entry = member("out", out.address(), "active");
    entry["up_since_ms"] = json!(1_700_000_000_000u64);
    watch.list(2, true, &[entry.clone(), member("kept", kept.address(), "active")]).await;
    node.wait_for_list(2).await;
    watch.list(3, false, &[json!({"id": "out", "phase": "left"})]).await;
    watch.list(4, false, &[entry]).await;
    node.wait_for_list(4).await;
    for _ in 0..8 {
        expect_served_by(&mut client, &kept).await;
    }
    assert!(out.has_no_connection().await);
    assert!(call(operators, "METRICS").await.lines().any(|l| l == "app_ejected 1"));
    watch.list(5, false, &[json!({"id": "kept", "phase": "left"})]).await;
    node.wait_for_list(5).await;
    assert!(call(operators, "RESTORE out").await.starts_with("SUCCESS "), "one call undoes both");
    expect_served_by(&mut client, &out).await;
}

/// A stored ban applies in the next process before its first list, and a disk error changes nothing.
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
    expect_served_by(&mut node.client().await, &server).await;
    std::fs::remove_dir_all(state.path().join("birchswitch")).expect("removed");
    assert!(call(operators, "SUSPEND s").await.starts_with("FAILURE nothing was changed"));
    expect_served_by(&mut node.client().await, &server).await;
}

/// Callers that send nothing block no other caller, and invalid calls get a one-line FAILURE.
#[tokio::test]
async fn silent_callers_block_no_other_caller() {
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
