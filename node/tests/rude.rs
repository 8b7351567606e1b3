//! Clients that send what they should not, or nothing, and what that costs others.

use birchswitch_standin::scripted::*;

const HEAD: &str = "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Timeout: 60000m\r\nX-Tenant-Id: one\r\n";

/// Writes something, and expects this answer and then the connection's end.
async fn turned_down(node: &Node, text: &str, status: u16) {
    let mut client = node.client().await;
    client.write_until_closed(text).await;
    let answer = client.read().await.unwrap_or_else(|| panic!("no answer to {text:.200}"));
    assert_eq!(answer.status(), status, "{text:.200}");
    assert_eq!(answer.header("connection"), Some("close"), "{text:.200}");
    client.wait_closed().await;
}

/// With both headers a node and a server may differ on where the body ends, and the rest of it would be a request that
/// nobody here has looked at. Neither of the two may go on, whichever header comes first.
#[tokio::test]
async fn no_request_hides_in_a_body() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let hidden = format!("{HEAD}X-Request-ID: hidden\r\nContent-Length: 0\r\n\r\n");
    let body = format!("0\r\n\r\n{hidden}");
    let length = format!("Content-Length: {}\r\n", body.len());
    let chunked = "Transfer-Encoding: chunked\r\n";
    for headers in [format!("{length}{chunked}"), format!("{chunked}{length}")] {
        turned_down(&node, &format!("{HEAD}X-Request-ID: r\r\n{headers}\r\n{body}"), 400).await;
    }
    let differing = "Content-Length: 0\r\nContent-Length: 5\r\n";
    turned_down(&node, &format!("{HEAD}X-Request-ID: r\r\n{differing}\r\n{hidden}"), 400).await;
    assert!(server.has_no_connection().await, "passed on");
}

/// Chunks alone are fine. What comes behind them is not read as a request: the connection ends.
#[tokio::test]
async fn a_chunked_body_is_the_last_of_its_connection() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    let chunked = "X-Request-ID: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    client.write(&format!("{HEAD}{chunked}{HEAD}X-Request-ID: behind\r\n\r\n")).await;
    let (mut wire, request) = server.request().await;
    assert_eq!(request.body, b"abc");
    wire.answer("200 OK", "", "served").await;
    assert_eq!(client.read().await.expect("an answer").body, b"served");
    client.wait_closed().await;
    assert!(server.has_no_connection().await, "read on");
}

/// A length that is no number, that does not fit what has come, or that is more than a node takes is answered as soon as
/// the head is there: nobody has to send 60 MB to be told.
#[tokio::test]
async fn lengths_that_make_no_sense_are_turned_down_at_once() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for (length, status) in [("-5", 400), ("5x", 400), ("99999999999999999999999", 400), ("60000000", 413)] {
        let text = format!("{HEAD}X-Request-ID: r\r\nContent-Length: {length}\r\n\r\n");
        turned_down(&node, &text, status).await;
    }
    let text = format!("{HEAD}X-Request-ID: r\r\nContent-Length: 3\r\n\r\nabcdef");
    turned_down(&node, &text, 400).await;
    turned_down(&node, &format!("{HEAD}X-Long: {}", "a".repeat(1 << 20)), 431).await;
    turned_down(&node, &format!("{HEAD}{}", "X-Many: 1\r\n".repeat(500)), 431).await;
    assert!(server.has_no_connection().await, "passed on");
}

/// The id of a request that is open, or that a server may still be working on, is no new request's: the server would take
/// it for a repeat, or run it twice. The first one is not disturbed.
#[tokio::test]
async fn an_open_id_is_not_passed_on_again() {
    let server = Peer::new().await;
    // Without probes, each connection brings a request of the test's own, and each request a connection of its own.
    let mut settings = settings();
    settings["limits"]["may_probe"] = false.into();
    let (node, _discovery, _watch) = Node::serving_with_settings(settings, &[("s", &server)]).await;
    let mut first = node.client().await;
    first.send_with_id("same", "unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    let second = format!("{HEAD}X-Request-ID: same\r\nContent-Length: 0\r\n\r\n");
    turned_down(&node, &second, 409).await;
    wire.answer("200 OK", "Connection: close\r\n", "first").await;
    assert_eq!(first.read().await.expect("an answer").body, b"first");

    let mut leaving = node.client().await;
    leaving.send_with_id("left", "unsafe", "20000m").await;
    let (mut wire, request) = server.request().await;
    assert_eq!(request.header("x-request-id"), Some("left"));
    // It may have run: so it is told.
    let told = leaving.shutdown_and_read().await;
    assert!(told.starts_with("HTTP/1.1 504 "), "{told}");
    turned_down(&node, &second.replace("same", "left"), 409).await;
    wire.answer("200 OK", "", "").await;
}

/// Who says nothing, begins a head or begins a body is not waited for as long as it likes.
#[tokio::test]
async fn slow_clients_are_sent_away() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut silent = node.client().await;
    let mut kept = node.client().await;
    kept.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(kept.read().await.expect("an answer").status(), 200);
    let body = format!("{HEAD}X-Request-ID: r\r\nContent-Length: 9\r\n\r\nhalf");
    tokio::join!(
        silent.expect_closed(),
        kept.expect_closed(),
        turned_down(&node, "POST /unsafe HTT", 408),
        turned_down(&node, &body, 408),
    );
}

/// A crowd that says nothing does not delay those that have something to say, nor take their kept connections from them.
#[tokio::test]
async fn a_silent_crowd_pushes_nobody_out() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving_with_sockets(64, settings(), &[("s", &server)]).await;
    let serving = tokio::spawn(async move {
        let mut wires = tokio::task::JoinSet::new();
        loop {
            let mut wire = server.accept().await;
            wires.spawn(async move {
                while wire.read().await.is_some() {
                    wire.answer("200 OK", "", "").await;
                }
            });
        }
    });
    // Kept from before the crowd. In it, a connection is given up after each answer.
    let mut usual = node.client().await;
    let began = std::time::Instant::now();
    assert_eq!(usual.round_trip("unsafe").await.expect("an answer").status(), 200);
    let mut crowd = Vec::new();
    for k in 0..200 {
        crowd.push(node.client().await);
        if k % 20 == 0 {
            assert_eq!(node.client().await.round_trip("unsafe").await.expect("an answer").status(), 200);
        }
    }
    // A machine too busy to come here within the time for which it is kept shows nothing.
    if began.elapsed().as_millis() < 1500 {
        assert_eq!(usual.round_trip("unsafe").await.expect("its connection is kept").status(), 200);
    }
    assert!(node.descriptors() <= 64);
    serving.abort();
}

/// Clients that ask once and keep their connection for good fill all places, and may not be closed for a while: there
/// would be no room for anyone else until then.
#[tokio::test]
async fn clients_that_ask_once_keep_nobody_out() {
    let discovery = Peer::new().await;
    let node = Node::start(&discovery, settings(), 64).await;
    let (mut watch, _) = discovery.watch().await;
    watch.list(1, true, &[]).await;
    node.wait_for_list(1).await;
    let mut kept = Vec::new();
    let began = std::time::Instant::now();
    for _ in 0..400 {
        let mut client = node.client().await;
        assert_eq!(client.round_trip("unsafe").await.expect("an answer").status(), 503);
        kept.push(client);
    }
    // Closing only what has been idle for two seconds would let in 16 in that time: 50 s for all.
    assert!(began.elapsed().as_secs() < 25);
}

/// More than one request may lie on a connection. Each is answered, in order, and what is no good among them ends it.
#[tokio::test]
async fn requests_in_a_row_are_answered_in_order() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    let request = |id: &str| format!("{HEAD}X-Request-ID: {id}\r\nContent-Length: 2\r\n\r\n{id}");
    client.write(&format!("{}{}GET nonsense\r\n\r\n{}", request("r1"), request("r2"), request("r3"))).await;
    for id in ["r1", "r2"] {
        let (mut wire, request) = server.request().await;
        assert_eq!(request.header("x-request-id"), Some(id));
        wire.answer("200 OK", "Connection: close\r\n", id).await;
        assert_eq!(client.read().await.expect("an answer").body, id.as_bytes());
    }
    assert_eq!(client.read().await.expect("an answer").status(), 400);
    client.wait_closed().await;
    assert!(server.has_no_connection().await, "read on");
}

/// Two headers of a kind that counts once, figures that are none and methods that don't go with the class are malformed.
#[tokio::test]
async fn heads_must_be_clear() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for (lines, status) in [
        ("X-Request-ID: a\r\nX-Request-ID: b\r\n", 400),
        ("X-Request-ID: a\r\nX-Timeout: 9m\r\n", 400),
        ("X-Request-ID: a\r\nX-Cost: much\r\n", 400),
        ("X-Request-ID: a\r\nX-Cost: -1\r\n", 400),
    ] {
        turned_down(&node, &format!("{HEAD}{lines}\r\n"), status).await;
    }
    for (from, to, status) in
        [("POST", "GET", 405), ("POST", "DELETE", 405), ("unsafe", "safe", 405), ("unsafe", "none", 404)]
    {
        turned_down(&node, &format!("{}X-Request-ID: a\r\n\r\n", HEAD.replacen(from, to, 1)), status).await;
    }
    assert!(server.has_no_connection().await, "passed on");
    let answer = node.get("/health/live").await;
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
}
