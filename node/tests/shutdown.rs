//! A node's end, with something under way at every point of a connection.
//!
//! Crossings are forced by stopping the node's process: what happens while it stands still reaches it in one moment.

use birchswitch_standin::scripted::*;
use serde_json::json;
use std::time::Duration;

/// A request as it is written, for tests that cut it.
fn request(id: &str, class: &str, body: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client's connection on which one request was answered. The server's own connection ends with that answer: one that
/// stays would be used again for the next request, instead of a new one.
async fn resting(node: &Node, server: &Peer) -> Connection {
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "Connection: close\r\n", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    client
}

/// Waits until the node takes no connections any more.
async fn takes_no_more(node: &Node) {
    let refused = async { while tokio::net::TcpStream::connect(node.address).await.is_ok() {} };
    within("a closed listener", refused).await;
}

/// Requests that were read behind the one in hand are answered before the connection closes, each in its turn.
#[tokio::test]
async fn requests_read_before_the_end_are_answered() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    let three = ["a", "b", "c"].map(|id| request(id, "unsafe", "")).concat();
    client.write(&three).await;
    let (mut wire, first) = server.request().await;
    assert_eq!(first.header("x-request-id"), Some("a"));
    node.signal("TERM").await;
    takes_no_more(&node).await;
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

/// Half of a request has come when the node is told to end, the rest while it still accepts.
#[tokio::test]
async fn a_request_that_comes_whole_in_time_is_answered() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut rested = resting(&node, &server).await;
    let mut fresh = node.client().await;
    let whole = [request("kept", "unsafe", "12345678"), request("new", "unsafe", "12345678")];
    let cut = whole[0].len() - 4;
    rested.write(&whole[0][..cut]).await;
    fresh.write(&whole[1][..40]).await;
    node.signal("TERM").await;
    node.wait_for_log("leaving").await;
    rested.write(&whole[0][cut..]).await;
    fresh.write(&whole[1][40..]).await;
    let (one, two) = (server.request().await, server.request().await);
    for (mut wire, _) in [one, two] {
        wire.answer("200 OK", "Connection: close\r\n", "").await;
    }
    for mut client in [rested, fresh] {
        assert_eq!(client.read().await.expect("an answer").status(), 200);
        client.expect_closed().await;
    }
    assert!(node.wait_for_exit().await.success());
}

/// The rest of a request never comes: its client is told that the node ends, wherever it stopped.
#[tokio::test]
async fn a_request_that_stays_half_is_refused_at_the_end() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut in_head = resting(&node, &server).await;
    let mut in_body = resting(&node, &server).await;
    let whole = request("half", "unsafe", "12345678");
    in_head.write(&whole[..20]).await;
    in_body.write(&whole[..whole.len() - 3]).await;
    let mut first_head = node.client().await;
    first_head.write(&whole[..20]).await;
    node.get("/health/live").await; // All of that has been read.
    node.signal("TERM").await;
    for client in [&mut in_head, &mut in_body, &mut first_head] {
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
        client.expect_closed().await;
    }
    assert!(node.wait_for_exit().await.success());
    assert!(server.has_no_connection().await, "sent on");
}

/// A whole request and the signal reach the node in the same moment.
#[tokio::test]
async fn a_request_in_the_moment_of_the_signal_is_answered() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = resting(&node, &server).await;
    node.signal("STOP").await;
    client.send("unsafe", "20000m").await;
    let mut fresh = node.client().await; // The system takes the connection; the node has not.
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

/// Requests on a resting connection and on one that waits to be accepted come in the moment in which the node closes what
/// rests and stops accepting: each is answered.
#[tokio::test]
async fn a_request_in_the_moment_of_the_closing_is_answered() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = resting(&node, &server).await;
    node.signal("TERM").await;
    node.wait_for_log("leaving").await;
    node.signal("STOP").await;
    client.send("unsafe", "20000m").await;
    let mut fresh = node.client().await;
    fresh.send("unsafe", "20000m").await;
    // Past the time in which it accepts: both are there in the turn in which that ends.
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

/// A server hangs with a request whose deadline lies beyond what the platform waits: the client is answered before the
/// process would be killed.
#[tokio::test]
async fn a_request_at_a_server_that_hangs_is_answered_before_the_kill() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    let signalled = std::time::Instant::now();
    node.signal("TERM").await;
    let answer = client.read().await.expect("an answer");
    // Were the machine slower than that, nothing would be shown: the platform's clock is what counts.
    assert!(signalled.elapsed() < Duration::from_millis(3700), "after {:?}", signalled.elapsed());
    assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    wire.expect_closed().await;
    assert!(node.wait_for_exit().await.success());
}

/// An answer of which half was passed on goes on to its end.
#[tokio::test]
async fn an_answer_half_passed_on_is_finished() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    let half = "x".repeat(100_000);
    wire.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", 2 * half.len())).await;
    assert_eq!(client.first_byte().await, b'H'); // It is being passed on.
    node.signal("TERM").await;
    takes_no_more(&node).await;
    wire.write(&half).await;
    let rest = client.read_to_end().await;
    assert!(rest.ends_with(half.as_bytes()) && rest.len() > 2 * half.len(), "{} bytes", rest.len());
    assert!(node.wait_for_exit().await.success());
}

/// A client goes on sending on its connection for as long as that stays open: what the server sees is what was answered.
#[tokio::test]
async fn whatever_is_sent_until_the_end_is_answered_or_unread() {
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

/// Clients that rest, and clients that have never said anything, are closed; none of them keeps the node from its end.
#[tokio::test]
async fn those_that_say_nothing_do_not_delay_the_end() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut rested = resting(&node, &server).await;
    let mut silent = node.client().await;
    node.get("/health/live").await;
    let signalled = std::time::Instant::now();
    node.signal("TERM").await;
    rested.expect_closed().await;
    silent.expect_closed().await;
    drop((rested, silent));
    assert!(node.wait_for_exit().await.success());
    assert!(signalled.elapsed() < Duration::from_secs(3), "it waited {:?}", signalled.elapsed());
}

/// A SIGHUP after the signal changes nothing of that, also with a bad file.
#[tokio::test]
async fn a_reload_at_the_end_loses_nothing() {
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
