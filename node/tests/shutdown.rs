//! Shutdown of a node with work in progress in every state of a connection.
//!
//! Races are forced by stopping the node's process: everything that happens meanwhile reaches it at once.

use birchswitch_standin::scripted::*;
use serde_json::json;
use std::time::Duration;

/// The text of a request, for tests that send it in parts.
fn request(id: &str, class: &str, body: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An idle client connection on which one request was answered. The server's connection is closed after
/// that answer; otherwise the node would reuse it for the next request.
async fn idle_connection(node: &Node, server: &Peer) -> Connection {
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "Connection: close\r\n", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    client
}

/// Waits until the node refuses connections.
async fn wait_until_refusing(node: &Node) {
    let refused = async { while tokio::net::TcpStream::connect(node.address).await.is_ok() {} };
    within("a closed listener", refused).await;
}

/// Pipelined requests that were already read are answered in order before the connection closes.
#[tokio::test]
async fn pipelined_requests_are_answered_at_shutdown() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    let three = ["a", "b", "c"].map(|id| request(id, "unsafe", "")).concat();
    client.write(&three).await;
    let (mut wire, first) = server.request().await;
    assert_eq!(first.header("x-request-id"), Some("a"));
    node.signal("TERM").await;
    wait_until_refusing(&node).await;
    wire.answer("200 OK", "Connection: close\r\n", "a").await;
    for id in ["b", "c"] {
        let (mut wire, next) = server.request().await;
        assert_eq!(next.header("x-request-id"), Some(id));
        wire.answer("200 OK", "Connection: close\r\n", id).await;
    }
    for (id, connection) in [("a", None), ("b", None), ("c", Some("close"))] {
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, id.as_bytes()));
        assert_eq!(answer.header("connection"), connection, "{id}");
    }
    client.expect_closed().await;
    assert!(node.wait_for_exit().await.success());
}

/// Half of a request has arrived at SIGTERM, the rest while the node still accepts.
#[tokio::test]
async fn a_request_completed_in_time_is_answered() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut idle = idle_connection(&node, &server).await;
    let mut fresh = node.client().await;
    let whole = [request("kept", "unsafe", "12345678"), request("new", "unsafe", "12345678")];
    let cut = whole[0].len() - 4;
    idle.write(&whole[0][..cut]).await;
    fresh.write(&whole[1][..40]).await;
    node.signal("TERM").await;
    node.wait_for_log("leaving").await;
    idle.write(&whole[0][cut..]).await;
    fresh.write(&whole[1][40..]).await;
    let (one, two) = (server.request().await, server.request().await);
    for (mut wire, _) in [one, two] {
        wire.answer("200 OK", "Connection: close\r\n", "").await;
    }
    for mut client in [idle, fresh] {
        assert_eq!(client.read().await.expect("an answer").status(), 200);
        client.expect_closed().await;
    }
    assert!(node.wait_for_exit().await.success());
}

/// The rest of a request never arrives: its client gets 503 wherever the request stopped.
#[tokio::test]
async fn an_incomplete_request_is_refused_at_shutdown() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut in_head = idle_connection(&node, &server).await;
    let mut in_body = idle_connection(&node, &server).await;
    let whole = request("half", "unsafe", "12345678");
    in_head.write(&whole[..20]).await;
    in_body.write(&whole[..whole.len() - 3]).await;
    let mut first_head = node.client().await;
    first_head.write(&whole[..20]).await;
    node.get("/health/live").await; // By now the node has read all of it.
    node.signal("TERM").await;
    for client in [&mut in_head, &mut in_body, &mut first_head] {
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
        client.expect_closed().await;
    }
    assert!(node.wait_for_exit().await.success());
    assert!(server.has_no_connection().await, "forwarded");
}

/// A complete request and SIGTERM reach the node at once.
#[tokio::test]
async fn a_request_that_arrives_with_the_signal_is_answered() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = idle_connection(&node, &server).await;
    node.signal("STOP").await;
    client.send("unsafe", "20000m").await;
    let mut fresh = node.client().await; // In the listen backlog; not yet accepted by the node.
    fresh.send("unsafe", "20000m").await;
    node.signal("TERM").await;
    node.signal("CONT").await;
    let (one, two) = (server.request().await, server.request().await);
    for (mut wire, _) in [one, two] {
        wire.answer("200 OK", "Connection: close\r\n", "").await;
    }
    for client in [&mut client, &mut fresh] {
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    assert!(node.wait_for_exit().await.success());
}

/// Requests arrive on an idle connection and on one in the listen backlog just as the node closes idle
/// connections and stops accepting: each is answered.
#[tokio::test]
async fn a_request_that_arrives_as_connections_close_is_answered() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = idle_connection(&node, &server).await;
    node.signal("TERM").await;
    node.wait_for_log("leaving").await;
    node.signal("STOP").await;
    client.send("unsafe", "20000m").await;
    let mut fresh = node.client().await;
    fresh.send("unsafe", "20000m").await;
    // Longer than the accept period: both are present in the event-loop turn that ends it.
    tokio::time::sleep(Duration::from_millis(600)).await;
    node.signal("CONT").await;
    let (one, two) = (server.request().await, server.request().await);
    for (mut wire, _) in [one, two] {
        wire.answer("200 OK", "Connection: close\r\n", "").await;
    }
    for client in [&mut client, &mut fresh] {
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    }
    assert!(node.wait_for_exit().await.success());
}

/// A server hangs with a request whose deadline lies beyond the grace period of the platform: the client is
/// answered before the process would be killed.
#[tokio::test]
async fn a_request_at_a_hung_server_is_answered_before_the_kill() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    let signalled = std::time::Instant::now();
    node.signal("TERM").await;
    let answer = client.read().await.expect("an answer");
    // The platform kills by wall-clock time, so a slow machine gets no allowance.
    assert!(signalled.elapsed() < Duration::from_millis(3700), "after {:?}", signalled.elapsed());
    assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    wire.expect_closed().await;
    assert!(node.wait_for_exit().await.success());
}

/// A response that is half forwarded at SIGTERM is completed.
#[tokio::test]
async fn a_half_forwarded_response_is_completed() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    let half = "x".repeat(100_000);
    wire.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", 2 * half.len())).await;
    assert_eq!(client.first_byte().await, b'H'); // It is being forwarded.
    node.signal("TERM").await;
    wait_until_refusing(&node).await;
    wire.write(&half).await;
    let rest = client.read_to_end().await;
    assert!(rest.ends_with(half.as_bytes()) && rest.len() > 2 * half.len(), "{} bytes", rest.len());
    assert!(node.wait_for_exit().await.success());
}

/// A client keeps sending on its connection until that closes: the server sees exactly the requests that
/// were answered.
#[tokio::test]
async fn every_request_sent_during_shutdown_is_answered_or_unread() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let serving = tokio::spawn(async move {
        let mut served = 0;
        while let Ok((mut wire, _)) = tokio::time::timeout(Duration::from_secs(6), server.request()).await {
            served += 1;
            wire.answer("200 OK", "Connection: close\r\n", "").await;
        }
        served
    });
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    node.signal("TERM").await;
    let (mut answered, mut sent) = (1, 1);
    loop {
        sent += 1;
        client.write_until_closed(&request(&format!("n{sent}"), "unsafe", "")).await;
        let Some(answer) = client.read().await else { break };
        assert_eq!(answer.status(), 200);
        answered += 1;
    }
    assert!(node.wait_for_exit().await.success());
    assert_eq!(serving.await.expect("a server"), answered, "of {sent} sent");
}

/// Idle clients and clients that never sent anything are closed; neither delays the exit.
#[tokio::test]
async fn silent_clients_do_not_delay_shutdown() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut idle = idle_connection(&node, &server).await;
    let mut silent = node.client().await;
    node.get("/health/live").await;
    let signalled = std::time::Instant::now();
    node.signal("TERM").await;
    idle.expect_closed().await;
    silent.expect_closed().await;
    drop((idle, silent));
    assert!(node.wait_for_exit().await.success());
    assert!(signalled.elapsed() < Duration::from_secs(3), "exited after {:?}", signalled.elapsed());
}

/// A SIGHUP after SIGTERM loses no request, even with an invalid file.
#[tokio::test]
async fn a_reload_during_shutdown_loses_nothing() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    node.signal("TERM").await;
    node.wait_for_log("leaving").await;
    node.reconfigure("settings", json!({})).await;
    node.wait_for_log("the configuration stays as it is").await;
    wire.answer("200 OK", "Connection: close\r\n", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    assert!(node.wait_for_exit().await.success());
}
