//! Configuration reload in a running node.

use birchswitch_standin::scripted::*;
use serde_json::json;

/// The request for a complete list.
const COMPLETE_LIST: &str = "GET /registry/instances HTTP/1.1";

/// Answers the request for a complete list and accepts the watch that follows it.
async fn serve_complete_list(discovery: &Peer, revision: u64, members: &[serde_json::Value]) -> Watch {
    let (mut wire, request) = discovery.request().await;
    assert_eq!(request.start, COMPLETE_LIST);
    let list = json!({"revision": revision, "complete": true, "members": members});
    wire.answer("200 OK", "", &list.to_string()).await;
    let (watch, request) = discovery.watch().await;
    assert_eq!(request, format!("GET /registry/instances?follow=1&since={revision} HTTP/1.1"));
    watch
}

/// SIGHUP must not end the node; from then on the discovery address in the file overrides the environment
/// variable. The old watch is closed at once. Revisions of the two sources are unrelated: watching the new
/// address from the old revision would bring changes to a list that the node does not have.
#[tokio::test]
async fn a_new_discovery_address_is_followed_from_its_complete_list() {
    let (kept, gone, new) = (Peer::new().await, Peer::new().await, Peer::new().await);
    let (first, second, third) = (Peer::new().await, Peer::new().await, Peer::new().await);
    let config = json!({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "settings": settings(),
    });
    let mut node = Node::with_config(config, &[("GW_DISCOVERY", &first.address().to_string())]).await;
    let (mut watch, _) = first.watch().await;
    let listed = [member("kept", kept.address(), "active"), member("gone", gone.address(), "active")];
    watch.list(70, true, &listed).await;
    node.wait_until_ready().await;

    node.reconfigure("discovery", json!(second.address().to_string())).await;
    watch.0.expect_closed().await;
    let mut watch = serve_complete_list(&second, 7, &listed[..1]).await;
    node.wait_for_list(7).await;
    watch
        .list(8, false, &[member("new", new.address(), "active"), member("kept", kept.address(), "left")])
        .await;
    node.wait_for_list(8).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = new.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);

    // Reloading an unchanged file keeps the watch; then the address changes once more.
    node.signal("HUP").await;
    node.wait_for_log("configuration read again").await;
    node.reconfigure("discovery", json!(third.address().to_string())).await;
    watch.0.expect_closed().await;
    let _watch = serve_complete_list(&third, 1, &[]).await;
    node.wait_for_list(1).await;
    assert!(second.has_no_connection().await);
}

/// A file with any error in it is rejected as a whole.
#[tokio::test]
async fn an_invalid_file_changes_nothing() {
    let server = Peer::new().await;
    let other = Peer::new().await;
    let (mut node, _discovery, mut watch) = Node::serving(&[("s", &server)]).await;
    let good = json!({
        "listen": "127.0.0.1:0", "discovery": other.address().to_string(), "seed": "1f", "settings": settings(),
    });
    let mut texts = vec![String::new(), good.to_string().split_at(200).0.to_owned()];
    for (key, value) in [("seed", json!("none")), ("discovery", json!("here")), ("settings", json!({}))] {
        let mut bad = good.clone();
        bad[key] = value;
        texts.push(bad.to_string());
    }
    let mut bad = good.clone();
    bad["settings"]["zone"] = json!(9);
    texts.push(bad.to_string());
    for (k, text) in texts.iter().enumerate() {
        node.replace_config(text).await;
        node.wait_for_log("the configuration stays as it is").await;
        watch.list(2 + k as u64, false, &[]).await;
        node.wait_for_list(2 + k as u64).await;
    }
    assert!(other.has_no_connection().await);
    node.replace_config(&good.to_string()).await;
    watch.0.expect_closed().await;
}

/// The new address may fail to answer or return an error at first. It is queried until it sends a complete
/// list.
#[tokio::test]
async fn a_complete_list_is_requested_until_it_arrives() {
    let server = Peer::new().await;
    let other = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    node.reconfigure("discovery", json!(other.address().to_string())).await;
    let changes = json!({"revision": 5, "complete": false, "members": []}).to_string();
    for (status, body) in [("503 Service Unavailable", ""), ("200 OK", "[]"), ("200 OK", &changes)] {
        let (mut wire, request) = other.request().await;
        assert_eq!(request.start, COMPLETE_LIST);
        wire.answer(status, "", body).await;
    }
    let _watch = serve_complete_list(&other, 3, &[]).await;
    node.wait_for_list(3).await;
}

/// In `subscribe` mode the new address is queried at once as well, since the balancer has no reason of its
/// own to do so.
#[tokio::test]
async fn subscribed_discovery_moves_too() {
    let server = Peer::new().await;
    let (first, second) = (Peer::new().await, Peer::new().await);
    let mut settings = settings();
    settings["registry_mode"] = json!("subscribe");
    let mut node = Node::start(&first, settings, 1024).await;
    let (mut watch, _) = first.watch().await;
    watch.list(9, true, &[]).await;
    node.wait_for_list(9).await;
    node.reconfigure("discovery", json!(second.address().to_string())).await;
    watch.0.expect_closed().await;
    let _watch = serve_complete_list(&second, 2, &[member("s", server.address(), "active")]).await;
    node.wait_until_ready().await;
}

/// SIGHUP may arrive while the node shuts down: it still finishes its requests and exits normally.
#[tokio::test]
async fn a_leaving_node_tolerates_reloads() {
    let server = Peer::new().await;
    let other = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    node.signal("TERM").await;
    node.wait_for_log("leaving").await;
    for _ in 0..3 {
        node.signal("HUP").await;
    }
    node.reconfigure("discovery", json!(other.address().to_string())).await;
    let _watch = serve_complete_list(&other, 2, &[member("s", server.address(), "active")]).await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    assert!(node.wait_for_exit().await.success());
}
