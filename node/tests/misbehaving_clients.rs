//! Clients that send invalid requests, or nothing, and the effect on others.

use birchswitch_standin::scripted::*;

const HEAD: &str = "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Timeout: 60000m\r\nX-Tenant-Id: one\r\n";

/// Sends a text, and expects this status and then the end of the connection.
async fn expect_rejected(node: &Node, text: &str, status: u16) {
    let mut client = node.client().await;
    client.write_until_closed(text).await;
    let answer = client.read().await.unwrap_or_else(|| panic!("no answer to {text:.200}"));
    assert_eq!(answer.status(), status, "{text:.200}");
    assert_eq!(answer.header("connection"), Some("close"), "{text:.200}");
    client.wait_closed().await;
}

/// Request smuggling: with both headers a node and a server may disagree on where the body ends, and the
/// rest of it would be a request that the node has not checked. Neither order of the headers may be
/// forwarded.
#[tokio::test]
async fn no_request_is_smuggled_in_a_body() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let smuggled = format!("{HEAD}X-Request-ID: hidden\r\nContent-Length: 0\r\n\r\n");
    let body = format!("0\r\n\r\n{smuggled}");
    let length = format!("Content-Length: {}\r\n", body.len());
    let chunked = "Transfer-Encoding: chunked\r\n";
    for headers in [format!("{length}{chunked}"), format!("{chunked}{length}")] {
        expect_rejected(&node, &format!("{HEAD}X-Request-ID: r\r\n{headers}\r\n{body}"), 400).await;
    }
    let differing = "Content-Length: 0\r\nContent-Length: 5\r\n";
    expect_rejected(&node, &format!("{HEAD}X-Request-ID: r\r\n{differing}\r\n{smuggled}"), 400).await;
    assert!(server.has_no_connection().await, "forwarded");
}

/// A chunked request is served. Data behind it is not read as a request: the connection ends.
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

/// A length that is not a number, does not match the data received, or exceeds the limit is rejected as
/// soon as the head has arrived: no client has to send 60 MB to find out.
#[tokio::test]
async fn invalid_lengths_are_rejected_at_once() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for (length, status) in [("-5", 400), ("5x", 400), ("99999999999999999999999", 400), ("60000000", 413)] {
        let text = format!("{HEAD}X-Request-ID: r\r\nContent-Length: {length}\r\n\r\n");
        expect_rejected(&node, &text, status).await;
    }
    let text = format!("{HEAD}X-Request-ID: r\r\nContent-Length: 3\r\n\r\nabcdef");
    expect_rejected(&node, &text, 400).await;
    expect_rejected(&node, &format!("{HEAD}X-Long: {}", "a".repeat(1 << 20)), 431).await;
    expect_rejected(&node, &format!("{HEAD}{}", "X-Many: 1\r\n".repeat(500)), 431).await;
    assert!(server.has_no_connection().await, "forwarded");
}

/// A new request may not use the id of one that is open or that a server may still be working on: the
/// server would take it for a repeat, or run it twice. The first request is not affected.
#[tokio::test]
async fn an_open_id_is_not_forwarded_again() {
    let server = Peer::new().await;
    // Without probes, connections and requests of the test correspond one to one.
    let mut settings = settings();
    settings["limits"]["may_probe"] = false.into();
    let (node, _discovery, _watch) = Node::serving_with_settings(settings, &[("s", &server)]).await;
    let mut first = node.client().await;
    first.send_with_id("same", "unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    let second = format!("{HEAD}X-Request-ID: same\r\nContent-Length: 0\r\n\r\n");
    expect_rejected(&node, &second, 409).await;
    wire.answer("200 OK", "Connection: close\r\n", "first").await;
    assert_eq!(first.read().await.expect("an answer").body, b"first");

    let mut leaving = node.client().await;
    leaving.send_with_id("left", "unsafe", "20000m").await;
    let (mut wire, request) = server.request().await;
    assert_eq!(request.header("x-request-id"), Some("left"));
    // It may have run, so the answer is 504.
    let answer = leaving.shutdown_and_read().await;
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    expect_rejected(&node, &second.replace("same", "left"), 409).await;
    wire.answer("200 OK", "", "").await;
}

/// A client that sends nothing, or only part of a head or body, is not waited for indefinitely.
#[tokio::test]
async fn slow_clients_are_disconnected() {
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
        expect_rejected(&node, "POST /unsafe HTT", 408),
        expect_rejected(&node, &body, 408),
    );
}

/// Many silent clients neither delay active clients nor cost them their kept connections.
#[tokio::test]
async fn silent_clients_displace_no_other_client() {
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
    // Kept from before the silent clients connect. Among them, a connection is closed after each answer.
    let mut regular = node.client().await;
    let began = std::time::Instant::now();
    assert_eq!(regular.round_trip("unsafe").await.expect("an answer").status(), 200);
    let mut silent_clients = Vec::new();
    for k in 0..200 {
        silent_clients.push(node.client().await);
        if k % 20 == 0 {
            assert_eq!(node.client().await.round_trip("unsafe").await.expect("an answer").status(), 200);
        }
    }
    // Checked only if the machine was fast enough to get here within the keep-alive time.
    if began.elapsed().as_millis() < 1500 {
        assert_eq!(regular.round_trip("unsafe").await.expect("its connection is kept").status(), 200);
    }
    assert!(node.descriptors() <= 64);
    serving.abort();
}

/// Clients that send one request and keep their connection open fill all slots. If those could not be
/// closed for a while, no other client would get in until then.
#[tokio::test]
async fn clients_with_one_request_block_no_other_client() {
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
    // Closing only connections idle for two seconds would admit 16 clients in that time: 50 s for all.
    assert!(began.elapsed().as_secs() < 25);
}

/// Pipelined requests are each answered, in order; an invalid one ends the connection.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
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

/// Duplicates of single-valued headers, invalid numbers and methods that do not match the class are
/// malformed.
#[tokio::test]
async fn ambiguous_heads_are_rejected() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for (lines, status) in [
        ("X-Request-ID: a\r\nX-Request-ID: b\r\n", 400),
        ("X-Request-ID: a\r\nX-Timeout: 9m\r\n", 400),
        ("X-Request-ID: a\r\nX-Cost: much\r\n", 400),
        ("X-Request-ID: a\r\nX-Cost: -1\r\n", 400),
    ] {
        expect_rejected(&node, &format!("{HEAD}{lines}\r\n"), status).await;
    }
    for (from, to, status) in
        [("POST", "GET", 405), ("POST", "DELETE", 405), ("unsafe", "safe", 405), ("unsafe", "none", 404)]
    {
        expect_rejected(&node, &format!("{}X-Request-ID: a\r\n\r\n", HEAD.replacen(from, to, 1)), status)
            .await;
    }
    assert!(server.has_no_connection().await, "forwarded");
    let answer = node.get("/health/live").await;
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
}
