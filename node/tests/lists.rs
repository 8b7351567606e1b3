//! The server list: how the node applies it and how it follows discovery.

use birchswitch_standin::scripted::*;
use serde_json::json;

/// A complete list removes servers it does not name, an incremental one removes those marked as left, and
/// an address may change under the same id.
#[tokio::test]
async fn requests_follow_the_list() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, mut watch) = Node::serving(&[("one", &one)]).await;
    let mut client = node.client().await;
    let (mut at_one, mut at_two);

    client.send("unsafe", "20000m").await;
    (at_one, _) = one.request().await;
    at_one.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);

    watch.list(2, true, &[member("two", two.address(), "active")]).await;
    at_one.expect_closed().await; // Connections to a removed server are closed.
    client.send("unsafe", "20000m").await;
    (at_two, _) = two.request().await;
    at_two.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);

    watch.list(3, false, &[member("two", one.address(), "active")]).await;
    at_two.expect_closed().await;
    client.send("unsafe", "20000m").await;
    (at_one, _) = one.request().await;
    at_one.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);

    watch.list(4, false, &[json!({"id": "two", "phase": "left"})]).await;
    at_one.expect_closed().await;
    assert_eq!(client.round_trip("unsafe").await.expect("an answer").status(), 503);
}

/// A restart under the same id closes all connections to the server, since those to a crashed machine still
/// look open.
#[tokio::test]
async fn a_restart_abandons_connections() {
    let server = Peer::new().await;
    let (node, _discovery, mut watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut old, _) = server.request().await;
    old.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    let mut entry = member("s", server.address(), "active");
    entry["up_since_ms"] = json!(1_700_000_000_000u64);
    watch.list(2, false, &[entry.clone()]).await;
    old.expect_closed().await;
    client.send("unsafe", "20000m").await;
    let (mut new, _) = server.request().await;
    new.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    // The same start time again is not a restart.
    watch.list(3, true, &[entry]).await;
    node.wait_for_list(3).await;
    tokio::time::sleep(std::time::Duration::from_millis(50)).await; // Let the connection return to the pool.
    client.send("unsafe", "20000m").await;
    new.read().await.expect("the next request on the same connection");
}

/// A drain announced while the connection is being established stops the request. It was never sent, so
/// even an unsafe one may be refused.
#[tokio::test]
async fn a_drain_announced_while_connecting_stops_the_request() {
    let (listener, address, filling) = full_listener().await;
    let (node, _discovery, mut watch) = Node::serving_at(1024, settings(), &[("s", address)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    node.get("/health/live").await; // The request has been read and its connection is being established.
    watch.list(2, false, &[member("s", address, "leaving")]).await;
    node.wait_for_list(2).await;
    accept_backlog(&listener, &filling).await;
    let answer = client.read().await.expect("an answer");
    assert_eq!(answer.status(), 503);
    let (stream, _) = within("the node's connection", listener.accept()).await.expect("a connection");
    drop(client);
    drop(node);
    let sent = read_all(stream).await;
    assert!(sent.is_empty(), "sent to a draining server: {sent:?}");
}

/// The server moves to another address while the connection is being established: whatever listens at the
/// old address is no longer that server.
#[tokio::test]
async fn a_move_announced_while_connecting_sends_nothing_to_the_old_address() {
    let new = Peer::new().await;
    let (listener, address, filling) = full_listener().await;
    let (node, _discovery, mut watch) = Node::serving_at(1024, settings(), &[("s", address)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    node.get("/health/live").await; // The request has been read and its connection is being established.
    watch.list(2, false, &[member("s", new.address(), "active")]).await;
    node.wait_for_list(2).await;
    accept_backlog(&listener, &filling).await;
    let (old, _) = within("the node's connection", listener.accept()).await.expect("a connection");
    // The balancer may either send it to the new address or refuse it.
    let answer = tokio::select! {
        answer = client.read() => answer,
        (mut wire, _) = new.request() => {
            wire.answer("200 OK", "", "").await;
            client.read().await
        }
    };
    assert!([200, 503].contains(&answer.expect("an answer").status()));
    drop(node);
    let sent = read_all(old).await;
    assert!(sent.is_empty(), "sent to the old address: {sent:?}");
}

/// List entries and load reports may be well-formed but hold extreme values: every request still gets an
/// answer, and service recovers with sane values.
#[tokio::test]
async fn extreme_values_do_not_stop_service() {
    let server = Peer::new().await;
    let discovery = Peer::new().await;
    let mut settings = settings();
    settings["report"] = json!({"how": "pull", "fields": ["outstanding", "utilization"]});
    let node = Node::start(&discovery, settings, 1024).await;
    let (mut watch, _) = discovery.watch().await;
    let mut revision = 0;
    let mut request_with = async |key: &str, value: &serde_json::Value, report: &str| {
        revision += 1;
        let mut entry = member("s", server.address(), "active");
        entry[key] = value.clone();
        // A duplicate entry, a sane one, and an unknown one that has left.
        let left = json!({"id": "", "phase": "left"});
        watch
            .list(revision, true, &[entry.clone(), entry, member("t", server.address(), "active"), left])
            .await;
        node.wait_for_list(revision).await;
        let mut client = node.client().await;
        client.send("safe", "20000m").await;
        let answering = async {
            let mut serving = tokio::task::JoinSet::new();
            loop {
                let (mut wire, report) = (server.accept().await, report.to_owned());
                serving.spawn(async move {
                    while let Some(request) = wire.read().await {
                        let body = if request.start.starts_with("GET /stats") { &report } else { "served" };
                        wire.answer("200 OK", &format!("X-Server-Load: {report}\r\n"), body).await;
                    }
                });
            }
        };
        tokio::select! {
            answer = client.read() => answer.expect("an answer").status(),
            () = answering => unreachable!("the server loop never ends"),
        }
    };
    for (key, value) in [
        ("size", json!(-1.0)),
        ("size", json!(0)),
        ("size", json!(1e308)),
        ("size", json!(5e-324)),
        ("cell", json!(65_535)),
        ("locality", json!("nowhere")),
        ("flavor", json!("")),
        ("up_since_ms", json!(u64::MAX)),
        ("up_since_ms", json!(1)),
    ] {
        for report in [
            r#"{"outstanding":-9,"utilization":-1e308}"#,
            r#"{"outstanding":1e308,"utilization":1e308}"#,
            r#"{"outstanding":5e-324,"utilization":0.0}"#,
            r#"{"outstanding":{},"utilization":"high"}"#,
            "[1,2",
        ] {
            let status = request_with(key, &value, report).await;
            assert!([200, 503, 504].contains(&status), "{status} for {key} {value} {report}");
        }
    }
    let recovered = async {
        while request_with("size", &json!(1.0), r#"{"outstanding":0,"utilization":0.1}"#).await != 200 {}
    };
    within("service", recovered).await;
}

/// Servers drop duplicates only within the repeat window: a connection established after it must not carry
/// a repeat.
#[tokio::test]
async fn no_repeat_is_sent_after_the_repeat_window() {
    let first = Peer::new().await;
    let (listener, address, filling) = full_listener().await;
    let discovery = Peer::new().await;
    let window = std::time::Duration::from_secs(2); // Ample for all the steps before the repeat.
    let mut settings = settings();
    settings["profiles"][1]["repeat_window_ns"] = json!(window.as_nanos() as u64);
    let node = Node::start(&discovery, settings, 1024).await;
    let (mut watch, _) = discovery.watch().await;
    watch.list(1, true, &[member("first", first.address(), "active")]).await;
    node.wait_until_ready().await;
    let mut client = node.client().await;
    client.send("keyed", "20000m").await;
    let (mut wire, _) = first.request().await;
    watch.list(2, false, &[member("second", address, "active")]).await;
    node.wait_for_list(2).await;
    wire.answer("500 Internal Server Error", "", "").await;
    tokio::time::sleep(window).await;
    accept_backlog(&listener, &filling).await;
    assert_eq!(client.read().await.expect("an answer").status(), 504);
    let (stream, _) = within("the node's connection", listener.accept()).await.expect("a connection");
    drop(client);
    drop(node);
    let sent = read_all(stream).await;
    assert!(sent.is_empty(), "sent after the window: {sent:?}");
}

/// An invalid line is logged and changes nothing; the node asks again for all changes since the last valid
/// revision.
#[tokio::test]
async fn an_invalid_line_leaves_the_list_unchanged() {
    let server = Peer::new().await;
    let bad = [
        "not json".to_owned(),
        r#"{"revision":9,"complete":true,"members":[{"id":"s","phase":"active"}]}"#.to_owned(),
        r#"{"revision":9,"complete":true,"members":[{"id":"s","host_port":"nowhere","phase":"active"}]}"#
            .to_owned(),
        r#"{"revision":-1,"complete":true,"members":[]}"#.to_owned(),
    ];
    let (mut node, discovery, mut watch) = Node::serving(&[("s", &server)]).await;
    for line in bad {
        watch.line(&line).await;
        node.wait_for_log("unusable line").await;
        let (next, request) = discovery.watch().await;
        assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
        watch = next;
        let mut client = node.client().await;
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = server.request().await;
        wire.answer("200 OK", "Connection: close\r\n", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    }
}

/// An empty line is due every 2 s. A silent watch may have been cut off, and a change counts as announced
/// even if the node misses it, so the node has to reconnect.
#[tokio::test]
async fn a_silent_watch_is_opened_again() {
    let server = Peer::new().await;
    let (_node, discovery, mut watch) = Node::serving(&[("s", &server)]).await;
    let (_next, request) = discovery.watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
    watch.0.expect_closed().await;
}

#[tokio::test]
async fn a_failed_or_broken_watch_is_opened_again() {
    let server = Peer::new().await;
    let (node, discovery, watch) = Node::serving(&[("s", &server)]).await;
    drop(watch);
    let (mut wire, _) = discovery.request().await;
    wire.answer("503 Service Unavailable", "", "").await;
    let (mut watch, _) = discovery.watch().await;
    // A list may arrive in several chunks.
    let list = json!({"revision": 2, "complete": true, "members": []}).to_string();
    let (a, b) = list.split_at(11);
    watch.0.write(&format!("{:x}\r\n{a}\r\n", a.len())).await;
    watch.0.write(&format!("1\r\n\n\r\n{:x}\r\n{b}\n\r\n", b.len() + 1).replacen("1\r\n\n\r\n", "", 1)).await;
    drop(server);
    assert_eq!(node.client().await.round_trip("unsafe").await.expect("an answer").status(), 503);
}

/// In `subscribe` mode the balancer decides when to query discovery; the end of a watch counts as a failed
/// call.
#[tokio::test]
async fn subscribed_discovery_is_queried_when_the_balancer_decides() {
    let server = Peer::new().await;
    let discovery = Peer::new().await;
    let mut settings = settings();
    settings["registry_mode"] = json!("subscribe");
    let node = Node::start(&discovery, settings, 1024).await;
    assert_eq!(node.get("/health/ready").await.status(), 503);
    let (mut wire, _) = discovery.request().await;
    wire.answer("503 Service Unavailable", "", "").await;
    let (mut watch, request) = discovery.watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=0 HTTP/1.1");
    watch.list(1, true, &[member("s", server.address(), "active")]).await;
    node.wait_until_ready().await;
}
