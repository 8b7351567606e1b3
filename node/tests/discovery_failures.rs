//! Discovery that goes silent, fails or recovers at each point of a call.

use birchswitch_standin::scripted::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A change counts as announced this long after discovery had it and was reachable.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(6);

/// Answers the next watch request with a complete list without servers, and waits until the node has
/// applied it.
async fn send_empty_list(node: &Node, discovery: &Peer, revision: u64) -> Watch {
    let (mut watch, _) = discovery.watch().await;
    watch.list(revision, true, &[]).await;
    node.wait_for_list(revision).await;
    watch
}

async fn expect_refused(node: &Node, server: &Peer) {
    assert_eq!(node.client().await.round_trip("unsafe").await.expect("an answer").status(), 503);
    assert!(server.has_no_connection().await, "sent to a removed server");
}

/// Breaks a watch in some way and checks that it is reopened in time.
async fn expect_reopened(registry_mode: Value, break_watch: impl AsyncFnOnce(&Peer, Watch)) {
    let server = Peer::new().await;
    let mut settings = settings();
    settings["registry_mode"] = registry_mode;
    let (node, discovery, watch) = Node::serving_with_settings(settings, &[("s", &server)]).await;
    let began = Instant::now();
    break_watch(&discovery, watch).await;
    let _watch = send_empty_list(&node, &discovery, 2).await;
    println!("reopened after {:?}", began.elapsed());
    assert!(began.elapsed() < ANNOUNCED_AFTER, "applied after {:?}", began.elapsed());
    // A server missing from a complete list is removed, though it still answers.
    expect_refused(&node, &server).await;
}

/// The list is pushed to an agent, or requested.
const MODES: [&str; 2] = ["automatic", "subscribe"];

#[tokio::test]
async fn a_watch_that_goes_silent_at_once() {
    for mode in MODES {
        expect_reopened(json!(mode), async |_, mut watch| watch.0.expect_closed().await).await;
    }
}

/// The silence timeout counts from the last line, even an empty one: a watch that worked for a long time is
/// given up just as soon.
#[tokio::test]
async fn a_watch_that_goes_silent_after_13_s() {
    let server = Peer::new().await;
    let (node, discovery, mut watch) = Node::serving(&[("s", &server)]).await;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(13) {
        watch.line("").await;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    assert!(discovery.has_no_connection().await, "a working watch was reopened");
    let silent = Instant::now();
    watch.0.expect_closed().await;
    let _watch = send_empty_list(&node, &discovery, 2).await;
    assert!(silent.elapsed() < ANNOUNCED_AFTER, "applied after {:?}", silent.elapsed());
    expect_refused(&node, &server).await;
}

#[tokio::test]
async fn a_watch_that_goes_silent_in_the_middle_of_a_line() {
    for mode in MODES {
        expect_reopened(json!(mode), async |_, mut watch| {
            watch.0.write("1e\r\n{\"revision\":2,\"complete\":tr\r\n").await;
            watch.0.expect_closed().await;
        })
        .await;
    }
}

/// Bytes keep arriving, but no list is completed.
#[tokio::test]
async fn a_watch_whose_line_never_ends() {
    expect_reopened(json!("automatic"), async |_, mut watch| {
        watch.0.write("e\r\n{\"revision\":2,\r\n").await;
        tokio::spawn(async move {
            loop {
                watch.0.write_until_closed("1\r\n \r\n").await;
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        });
    })
    .await;
}

#[tokio::test]
async fn a_watch_that_is_reset_and_calls_that_are_refused() {
    for mode in MODES {
        expect_reopened(json!(mode), async |discovery, watch| {
            watch.0.reset();
            let (mut wire, _) = discovery.request().await;
            wire.answer("503 Service Unavailable", "", "").await;
            drop(wire);
            let (wire, _) = discovery.request().await;
            wire.reset();
        })
        .await;
    }
}

/// A watch that goes silent, followed by two refused calls.
#[tokio::test]
async fn a_watch_that_goes_silent_and_calls_that_are_refused() {
    for mode in MODES {
        expect_reopened(json!(mode), async |discovery, mut watch| {
            watch.0.expect_closed().await;
            for _ in 0..2 {
                let (mut wire, _) = discovery.request().await;
                wire.answer("503 Service Unavailable", "", "").await;
            }
        })
        .await;
    }
}

/// A silent agent never answers calls made during its silence: the node calls again soon, so that the list
/// is known within the drain grace once the agent is back.
#[tokio::test]
async fn a_recovered_agent_is_heard_within_a_second() {
    let server = Peer::new().await;
    let (node, discovery, watch) = Node::serving(&[("s", &server)]).await;
    drop(watch);
    // These calls are accepted and never answered.
    let mut unanswered = Vec::new();
    for _ in 0..3 {
        unanswered.push(discovery.request().await);
    }
    let recovered = Instant::now();
    let _watch = send_empty_list(&node, &discovery, 2).await;
    assert!(recovered.elapsed() < Duration::from_secs(1), "heard after {:?}", recovered.elapsed());
    expect_refused(&node, &server).await;
}

/// A list may be indented over many lines.
#[tokio::test]
async fn lists_may_be_indented() {
    let server = Peer::new().await;
    let discovery = Peer::new().await;
    let node = Node::start(&discovery, settings(), 1024).await;
    let (mut watch, _) = discovery.watch().await;
    let list = json!({"revision": 1, "complete": true, "members": [member("s", server.address(), "active")]});
    let text = serde_json::to_string_pretty(&list).expect("a list");
    for line in text.lines() {
        watch.line(line).await;
    }
    node.wait_for_list(1).await;
    assert_eq!(node.get("/health/ready").await.status(), 200);
}

/// The new source reports a draining server; a late line of the old source must not undo that.
#[tokio::test]
async fn a_late_line_of_the_old_source_does_not_undo_a_drain() {
    let (server, new) = (Peer::new().await, Peer::new().await);
    let (mut node, _old, mut watch) = Node::serving(&[("s", &server)]).await;
    node.reconfigure("discovery", json!(new.address().to_string())).await;
    let (mut wire, _) = new.request().await;
    let draining = [member("s", server.address(), "leaving")];
    let list = json!({"revision": 3, "complete": true, "members": draining});
    // Both reach the node at once.
    node.signal("STOP").await;
    wire.answer("200 OK", "", &list.to_string()).await;
    let late = json!({"revision": 9, "complete": true, "members": [member("s", server.address(), "active")]});
    let late = late.to_string();
    watch.0.write_until_closed(&format!("{:x}\r\n{late}\n\r\n", late.len() + 1)).await;
    node.signal("CONT").await;
    node.wait_for_list(3).await;
    expect_refused(&node, &server).await;
}

/// The new source is silent after a change of address: it is queried again, and the old one is ignored
/// meanwhile.
#[tokio::test]
async fn a_silent_new_source_is_queried_again() {
    let (server, new) = (Peer::new().await, Peer::new().await);
    let (mut node, _old, watch) = Node::serving(&[("s", &server)]).await;
    node.reconfigure("discovery", json!(new.address().to_string())).await;
    let moved = Instant::now();
    let (_silent, _) = new.request().await;
    let (mut wire, _) = new.request().await;
    wire.answer("200 OK", "", "{\"revision\":5,\"complete\":true,\"members\":[]}").await;
    node.wait_for_list(5).await;
    assert!(moved.elapsed() < Duration::from_secs(4), "applied after {:?}", moved.elapsed());
    expect_refused(&node, &server).await;
    drop(watch);
}

/// Idle clients hold all descriptors available to clients while discovery is down. Discovery recovers and
/// announces a drain, and the node must still be able to call it.
#[tokio::test]
async fn idle_clients_leave_room_for_calls_to_discovery() {
    clients_leave_room_for_calls_to_discovery(|_| String::new()).await;
}

/// The same for clients that stop in the middle of a body.
#[tokio::test]
async fn stopped_clients_leave_room_for_calls_to_discovery() {
    clients_leave_room_for_calls_to_discovery(|n| {
        let part = "x".repeat(20_000);
        format!(
            "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Request-ID: stopped{n}\r\nX-Tenant-Id: one\r\n\
             X-Timeout: 900m\r\nContent-Length: 60000\r\n\r\n{part}"
        )
    })
    .await;
}

/// More clients than the node has descriptors send a part of a request while discovery is down.
async fn clients_leave_room_for_calls_to_discovery(part: impl Fn(u32) -> String) {
    let server = Peer::new().await;
    let (node, discovery, watch) = Node::serving_with_sockets(64, settings(), &[("s", &server)]).await;
    drop(watch);
    let mut clients = Vec::new();
    for n in 0..120 {
        let mut client = node.client().await;
        client.write(&part(n)).await;
        clients.push(client);
    }
    for _ in 0..3 {
        let (wire, _) = discovery.request().await;
        drop(wire);
    }
    let (mut watch, _) = discovery.watch().await;
    watch.list(2, false, &[member("s", server.address(), "leaving")]).await;
    node.wait_for_list(2).await;
    expect_refused(&node, &server).await;
}

/// A process that starts while discovery is silent, refuses calls or is unreachable serves with the last
/// known list.
#[tokio::test]
async fn a_restart_is_ready_whatever_discovery_does() {
    let server = Peer::new().await;
    for mode in MODES {
        for behavior in ["silent", "refusing", "gone"] {
            let discovery = if behavior == "gone" { Peer::unreachable().await } else { Peer::new().await };
            let mut settings = settings();
            settings["registry_mode"] = json!(mode);
            let known = json!({"revision": 4, "complete": true,
                               "members": [member("s", server.address(), "active")]});
            let config = json!({
                "name": "n", "listen": "127.0.0.1:0", "discovery": discovery.address().to_string(), "seed": "1f",
                "limits": {"sockets": 256, "memory_mb": MEMORY_MB}, "settings": settings, "known": known,
            });
            let node = Node::with_config(config, &[]).await;
            assert_eq!(node.get("/health/ready").await.status(), 200, "{mode}, {behavior}");
            let calls = async {
                if behavior != "gone" {
                    let (mut wire, _) = discovery.request().await;
                    if behavior == "refusing" {
                        wire.answer("503 Service Unavailable", "", "").await;
                    }
                    return Some(wire);
                }
                None
            };
            let _wire = calls.await;
            let mut client = node.client().await;
            client.send("unsafe", "20000m").await;
            let (mut wire, _) = server.request().await;
            wire.answer("200 OK", "Connection: close\r\n", "").await;
            assert_eq!(client.read().await.expect("an answer").status(), 200, "{mode}, {behavior}");
        }
    }
}
