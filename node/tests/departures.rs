//! Clients that go while a request of theirs is under way: no attempt begins for them any more.

use birchswitch_standin::scripted::*;
use serde_json::json;
use std::time::Duration;

/// More than the node reads behind a request in hand.
const FLOOD: usize = 400_000;

fn request(id: &str) -> String {
    format!(
        "GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\r\n"
    )
}

/// A client's first request has reached one of two servers.
struct Asked {
    node: Node,
    client: Connection,
    wire: Connection,
    /// The one that it has not reached.
    other: Peer,
    _listening: Peer,
    _discovery: (Peer, Watch),
}

/// Sends `text`, which begins with a request, to a node with two servers.
async fn asked(text: &str) -> Asked {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, discovery, watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
    let mut client = node.client().await;
    client.write(text).await;
    let (wire, first) = tokio::select! {
        (wire, _) = one.request() => (wire, true),
        (wire, _) = two.request() => (wire, false),
    };
    let (listening, other) = if first { (one, two) } else { (two, one) };
    Asked { node, client, wire, other, _listening: listening, _discovery: (discovery, watch) }
}

impl Asked {
    /// The server turns the request away unseen, which would be followed by a further attempt. None comes.
    async fn no_attempt_follows(mut self) {
        self.wire.answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "").await;
        assert!(self.other.has_no_connection().await, "sent again");
        self.node.get("/health/live").await;
        assert!(self.other.has_no_connection().await, "sent again");
    }
}

/// Waits until the node has noticed the close, as the connection's end shows.
async fn gone(mut client: Connection) {
    client.shutdown_write().await;
    client.wait_closed().await;
}

/// What was sent behind the request hides the connection's end from whoever reads only up to it.
#[tokio::test]
async fn a_client_that_left_pipelined_requests_behind_has_gone() {
    let asked_for = asked(&[request("a"), request("b"), request("c")].concat()).await;
    let Asked { client, .. } = asked_for;
    gone(client).await;
    let left = Asked { client: Connection::connect(asked_for.node.address).await, ..asked_for };
    left.no_attempt_follows().await;
}

/// So does a flood that is larger than what is read ahead.
#[tokio::test]
async fn a_client_that_flooded_and_went_has_gone() {
    let mut left = asked(&request("a")).await;
    let flood = (0..FLOOD / 100).map(|n| request(&format!("f{n}"))).collect::<String>();
    // The system holds some of it; the rest is never taken.
    let _ = tokio::time::timeout(Duration::from_millis(300), left.client.write_bytes(flood.as_bytes())).await;
    left.client.reset();
    left.client = Connection::connect(left.node.address).await;
    tokio::time::sleep(Duration::from_millis(100)).await; // The bound of the terms.
    left.no_attempt_follows().await;
}

/// Whoever only ends its sending cannot be told from one that has gone: its request is given up, and it is told so at once.
#[tokio::test]
async fn a_client_that_ends_its_sending_is_answered_at_once() {
    let mut left = asked(&request("a")).await;
    left.client.shutdown_write().await;
    let answer = left.client.read().await.expect("an answer");
    assert_eq!(answer.status(), 503, "harmless to repeat, since the class is safe");
    left.client.expect_closed().await;
    left.client = Connection::connect(left.node.address).await;
    left.no_attempt_follows().await;
}

/// The same for one that may have run and must not be repeated.
#[tokio::test]
async fn an_unsafe_request_of_a_client_that_ended_its_sending_has_failed() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (_wire, _) = server.request().await;
    client.shutdown_write().await;
    assert_eq!(client.read().await.expect("an answer").status(), 504);
}

/// A client leaves while its request waits for a connection to come up: nothing is sent over that.
#[tokio::test]
async fn nothing_is_sent_over_a_connection_that_comes_up_after_the_client_went() {
    let (listener, address, filling) = full_listener().await;
    let (node, _discovery, _watch) = Node::serving_at(1024, settings(), &[("s", address)]).await;
    let mut client = node.client().await;
    client.write(&[request("a"), request("b")].concat()).await;
    node.get("/health/live").await; // The request has been read, and its connection is under way.
    gone(client).await;
    accept_backlog(&listener, &filling).await;
    let (stream, _) = within("the node's connection", listener.accept()).await.expect("a connection");
    drop(node);
    let sent = read_all(stream).await;
    assert!(sent.is_empty(), "sent for nobody: {sent:?}");
}

/// A request whose body is too large to be held whole.
fn upload(id: &str) -> (String, String) {
    let body = "0123456789".repeat(20_000);
    let head = format!(
        "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    (head, body)
}

/// The same for a client that leaves behind a large body, or in the midst of it: nobody reads on while the connection comes up.
#[tokio::test]
async fn nothing_is_sent_of_a_large_body_whose_client_went() {
    for part in [1, 2] {
        let (listener, address, filling) = full_listener().await;
        let (node, _discovery, _watch) = Node::serving_at(1024, settings(), &[("s", address)]).await;
        let mut client = node.client().await;
        let (head, body) = upload("a");
        client.write(&head).await;
        client.write(&body[..body.len() / part]).await;
        node.get("/health/live").await; // Its beginning has been read, and its connection is under way.
        client.shutdown_write().await;
        tokio::time::sleep(Duration::from_millis(100)).await; // The bound of the terms.
        accept_backlog(&listener, &filling).await;
        let (stream, _) = within("the node's connection", listener.accept()).await.expect("a connection");
        // The connection is up for the node too, and what it had to write is on its way.
        node.get("/health/live").await;
        drop(node);
        let sent = read_all(stream).await;
        assert!(sent.is_empty(), "sent for nobody: {} bytes, one in {part} parts was sent", sent.len());
    }
}

/// Nor is a large body followed by a further attempt once its client has gone.
#[tokio::test]
async fn a_large_body_is_not_sent_again_for_a_client_that_went() {
    let (head, body) = upload("a");
    let mut left = asked(&(head + &body)).await;
    left.client.shutdown_write().await;
    tokio::time::sleep(Duration::from_millis(100)).await; // The bound of the terms.
    left.no_attempt_follows().await;
}

/// A client waits for a place, sends its request and leaves before it gets one.
#[tokio::test]
async fn a_client_that_left_the_queue_is_not_served() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving_with_sockets(64, settings(), &[("s", &server)]).await;
    let mut busy = Vec::new();
    for _ in 0..16 {
        let mut client = node.client().await;
        client.send("unsafe", "20000m").await;
        busy.push((client, server.request().await.0));
    }
    let mut waiting = node.client().await;
    waiting.write(&request("left")).await;
    waiting.shutdown_write().await;
    for (client, wire) in &mut busy {
        wire.answer("200 OK", "Connection: close\r\n", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    }
    waiting.wait_closed().await;
    assert!(server.has_no_request().await, "sent for nobody");
}

/// A request that waited behind another has less time left: that is what its server is told.
#[tokio::test]
async fn time_spent_behind_another_request_is_not_told_to_servers() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.write(&[request("first"), request("second")].concat()).await;
    let (mut wire, _) = server.request().await;
    let waits = Duration::from_millis(700);
    tokio::time::sleep(waits).await;
    wire.answer("200 OK", "Connection: close\r\n", "").await;
    let (_wire, second) = server.request().await;
    let told = second.header("x-timeout").and_then(|t| t.strip_suffix('u')).expect("microseconds");
    let told = Duration::from_micros(told.parse().expect("a number"));
    assert!(told <= Duration::from_secs(20) - waits, "told {told:?}");
}

/// Requests that have waited out their time behind another are answered at once, and never sent on.
#[tokio::test]
async fn requests_whose_time_passed_behind_another_are_answered_at_once() {
    let server = Peer::new().await;
    let mut settings = settings();
    settings["limits"]["try_limit"] = json!(1);
    let (node, _discovery, _watch) = Node::serving_with_settings(settings, &[("s", &server)]).await;
    let mut client = node.client().await;
    let all = ["a", "b", "c", "d"].map(|id| request(id).replace("20000m", "500m")).concat();
    let began = std::time::Instant::now();
    client.write(&all).await;
    let (_wire, _) = server.request().await;
    for _ in 0..4 {
        client.read().await.expect("an answer");
    }
    // Each in its own time, not one after another.
    assert!(began.elapsed() < Duration::from_millis(1000), "after {:?}", began.elapsed());
    assert!(server.has_no_connection().await, "sent on after its time");
}
