//! Discovery that falls silent, breaks off or comes back, at each point of a call.

use birchswitch_standin::scripted::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// Answers the next call that opens a watch with a whole list that names no servers, and waits until it has been taken.
async fn drops_all(node: &Node, discovery: &Peer, revision: u64) -> Watch {
    let (mut watch, _) = discovery.watch().await;
    watch.list(revision, true, &[]).await;
    node.wait_for_list(revision).await;
    watch
}

async fn is_refused(node: &Node, server: &Peer) {
    assert_eq!(node.client().await.round_trip("unsafe").await.expect("an answer").status(), 503);
    assert!(server.has_no_connection().await, "sent to a server that is gone");
}

/// A watch that breaks in some way, and is opened anew in time.
async fn is_opened_anew(told: Value, breaks: impl AsyncFnOnce(&Peer, Watch)) {
    let server = Peer::new().await;
    let mut settings = settings();
    settings["registry_mode"] = told;
    let (node, discovery, watch) = Node::serving_with_settings(settings, &[("s", &server)]).await;
    let began = Instant::now();
    breaks(&discovery, watch).await;
    let _watch = drops_all(&node, &discovery, 2).await;
    println!("opened after {:?}", began.elapsed());
    assert!(began.elapsed() < TOLD, "told after {:?}", began.elapsed());
    // What a whole list leaves out is gone, though it still answers.
    is_refused(&node, &server).await;
}

/// The list is pushed to an agent, or asked for.
const MODES: [&str; 2] = ["automatic", "subscribe"];

#[tokio::test]
async fn a_watch_that_falls_silent_at_once() {
    for mode in MODES {
        is_opened_anew(json!(mode), async |_, mut watch| watch.0.expect_closed().await).await;
    }
}

/// The clock runs from the last line heard, be it an empty one: a watch that has been well for long is given up as soon.
#[tokio::test]
async fn a_watch_that_falls_silent_after_13_s() {
    let server = Peer::new().await;
    let (node, discovery, mut watch) = Node::serving(&[("s", &server)]).await;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(13) {
        watch.line("").await;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    assert!(discovery.has_no_connection().await, "it is well, and was opened anew");
    let silent = Instant::now();
    watch.0.expect_closed().await;
    let _watch = drops_all(&node, &discovery, 2).await;
    assert!(silent.elapsed() < TOLD, "told after {:?}", silent.elapsed());
    is_refused(&node, &server).await;
}

#[tokio::test]
async fn a_watch_that_falls_silent_in_the_middle_of_a_line() {
    for mode in MODES {
        is_opened_anew(json!(mode), async |_, mut watch| {
            watch.0.write("1e\r\n{\"revision\":2,\"complete\":tr\r\n").await;
            watch.0.expect_closed().await;
        })
        .await;
    }
}

/// Bytes go on coming, but no list comes to its end.
#[tokio::test]
async fn a_watch_whose_line_never_ends() {
    is_opened_anew(json!("automatic"), async |_, mut watch| {
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
        is_opened_anew(json!(mode), async |discovery, watch| {
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

/// A watch that falls silent, and two refused calls after it.
#[tokio::test]
async fn a_watch_that_falls_silent_and_calls_that_are_refused() {
    for mode in MODES {
        is_opened_anew(json!(mode), async |discovery, mut watch| {
            watch.0.expect_closed().await;
            for _ in 0..2 {
                let (mut wire, _) = discovery.request().await;
                wire.answer("503 Service Unavailable", "", "").await;
            }
        })
        .await;
    }
}

/// An agent that is silent answers nothing that it was asked meanwhile: it is asked again soon, so that what it has once it
/// is back is known within the grace of a drain.
#[tokio::test]
async fn an_agent_that_comes_back_is_heard_within_a_second() {
    let server = Peer::new().await;
    let (node, discovery, watch) = Node::serving(&[("s", &server)]).await;
    drop(watch);
    // Calls come up and are never answered.
    let mut unanswered = Vec::new();
    for _ in 0..3 {
        unanswered.push(discovery.request().await);
    }
    let back = Instant::now();
    let _watch = drops_all(&node, &discovery, 2).await;
    assert!(back.elapsed() < Duration::from_secs(1), "heard after {:?}", back.elapsed());
    is_refused(&node, &server).await;
}

/// Lists may be indented over many lines.
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

/// The new source says that a server drains; what the old one still had to say comes later, and undoes nothing.
#[tokio::test]
async fn a_late_line_of_the_old_source_undoes_no_drain_of_the_new_one() {
    let (server, new) = (Peer::new().await, Peer::new().await);
    let (mut node, _old, mut watch) = Node::serving(&[("s", &server)]).await;
    node.reconfigure("discovery", json!(new.address().to_string())).await;
    let (mut wire, _) = new.request().await;
    let draining = [member("s", server.address(), "leaving")];
    let list = json!({"revision": 3, "complete": true, "members": draining});
    // Both reach the node in one moment.
    node.signal("STOP").await;
    wire.answer("200 OK", "", &list.to_string()).await;
    let late = json!({"revision": 9, "complete": true, "members": [member("s", server.address(), "active")]});
    let late = late.to_string();
    watch.0.write_until_closed(&format!("{:x}\r\n{late}\n\r\n", late.len() + 1)).await;
    node.signal("CONT").await;
    node.wait_for_list(3).await;
    is_refused(&node, &server).await;
}

/// The new source falls silent over the move: it is asked again, and the old one is not listened to meanwhile.
#[tokio::test]
async fn a_new_source_that_is_silent_is_asked_again() {
    let (server, new) = (Peer::new().await, Peer::new().await);
    let (mut node, _old, watch) = Node::serving(&[("s", &server)]).await;
    node.reconfigure("discovery", json!(new.address().to_string())).await;
    let moved = Instant::now();
    let (_silent, _) = new.request().await;
    let (mut wire, _) = new.request().await;
    wire.answer("200 OK", "", "{\"revision\":5,\"complete\":true,\"members\":[]}").await;
    node.wait_for_list(5).await;
    assert!(moved.elapsed() < Duration::from_secs(4), "told after {:?}", moved.elapsed());
    is_refused(&node, &server).await;
    drop(watch);
}

/// All descriptors that clients may hold are taken by some that say nothing, and discovery is down. It comes back with a drain,
/// and finds the node able to call.
#[tokio::test]
async fn idle_clients_leave_room_for_calls_to_discovery() {
    let server = Peer::new().await;
    let (node, discovery, watch) = Node::serving_with_sockets(64, settings(), &[("s", &server)]).await;
    drop(watch);
    let mut idle = Vec::new();
    for _ in 0..120 {
        idle.push(node.client().await);
    }
    for _ in 0..3 {
        let (wire, _) = discovery.request().await;
        drop(wire);
    }
    let (mut watch, _) = discovery.watch().await;
    watch.list(2, false, &[member("s", server.address(), "leaving")]).await;
    node.wait_for_list(2).await;
    is_refused(&node, &server).await;
}

/// A process that starts while discovery says nothing, answers slowly or refuses serves by the list that it last had.
#[tokio::test]
async fn a_restart_is_ready_whatever_discovery_does() {
    let server = Peer::new().await;
    for mode in MODES {
        for deed in ["silent", "refusing", "gone"] {
            let discovery = if deed == "gone" { Peer::unreachable().await } else { Peer::new().await };
            let mut settings = settings();
            settings["registry_mode"] = json!(mode);
            let known = json!({"revision": 4, "complete": true,
                               "members": [member("s", server.address(), "active")]});
            let config = json!({
                "name": "n", "listen": "127.0.0.1:0", "discovery": discovery.address().to_string(), "seed": "1f",
                "limits": {"sockets": 256, "memory_mb": MEMORY_MB}, "settings": settings, "known": known,
            });
            let node = Node::with_config(config, &[]).await;
            assert_eq!(node.get("/health/ready").await.status(), 200, "{mode}, {deed}");
            let calls = async {
                if deed != "gone" {
                    let (mut wire, _) = discovery.request().await;
                    if deed == "refusing" {
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
            assert_eq!(client.read().await.expect("an answer").status(), 200, "{mode}, {deed}");
        }
    }
}
