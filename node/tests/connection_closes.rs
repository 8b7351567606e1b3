//! Connections closed by either side while data is in transit.

use birchswitch_standin::scripted::*;
use serde_json::json;
use std::time::Duration;

/// Closing a socket with unread bytes resets the connection: the answer sent before has to arrive all the
/// same.
#[tokio::test]
async fn an_answer_is_not_lost_to_a_reset() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for head in ["NONSENSE\r\n\r\n", "POST /unsafe HTTP/1.1\r\nContent-Length: x\r\n\r\n"] {
        let mut client = node.client().await;
        client.write_until_closed(&format!("{head}{}", "x".repeat(100_000))).await;
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (400, Some("close")));
        client.write_until_closed(&"y".repeat(10_000)).await; // Read and discarded.
        client.expect_closed().await;
    }
}

/// The node shuts down its sending side first: a client that is still writing is not reset as it gets the
/// last answer.
#[tokio::test]
async fn the_sending_side_is_closed_first() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.write("NONSENSE\r\n\r\n").await;
    assert_eq!(client.read().await.expect("an answer").status(), 400);
    client.expect_closed().await; // The sending side is shut down; the node still reads.
    client.write_bytes(b"late").await;
    client.write_bytes(b"later").await; // This write would fail after a reset.
}

/// The same after an answer that the node marks as the last of its connection.
#[tokio::test]
async fn the_sending_side_is_closed_first_after_a_last_answer() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client
        .write(
            "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Request-ID: last\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\
             Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        )
        .await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    client.expect_closed().await;
    client.write_bytes(b"late").await;
    client.write_bytes(b"later").await;
}

/// A client that writes one byte at a time is served and delays no other.
#[tokio::test]
async fn a_client_may_write_byte_by_byte() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut slow = node.client().await;
    let text =
        "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Request-ID: slow\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\
                Content-Length: 4\r\n\r\nbody";
    let (last, rest) = text.as_bytes().split_last().expect("a text");
    for byte in rest {
        slow.write_bytes(&[*byte]).await;
        tokio::task::yield_now().await;
    }
    let mut other = node.client().await;
    other.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "Connection: close\r\n", "").await;
    assert_eq!(other.read().await.expect("an answer").status(), 200);
    slow.write_bytes(&[*last]).await;
    let (mut wire, request) = server.request().await;
    assert_eq!((request.header("x-request-id"), request.body.as_slice()), (Some("slow"), &b"body"[..]));
    wire.answer("200 OK", "", "").await;
    assert_eq!(slow.read().await.expect("an answer").status(), 200);
}

/// The server connection breaks before the last byte of the request was sent: even an unsafe request cannot
/// have run and is retried at another server.
#[tokio::test]
async fn an_unsafe_request_cut_before_its_end_is_retried() {
    let (narrow, other) = (Peer::with_small_buffer(), Peer::new().await);
    let mut settings = settings();
    settings["limits"]["second_copies"] = json!(false);
    let (node, _discovery, mut watch) = Node::serving_with_settings(settings, &[("narrow", &narrow)]).await;
    // More than the socket buffers hold while the server does not read.
    let body = "x".repeat(8 << 20);
    let head = format!(
        "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Request-ID: cut\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let (mut reading, mut writing) = node.client().await.split();
    let upload = tokio::spawn(async move {
        writing.write_bytes(head.as_bytes()).await;
        writing.write_bytes(body.as_bytes()).await;
        writing
    });
    let mut wire = narrow.accept().await;
    assert_eq!(wire.first_byte().await, b'P');
    watch.list(2, false, &[member("other", other.address(), "active")]).await;
    node.wait_for_list(2).await;
    wire.reset();
    let (mut wire, request) = other.request().await;
    assert_eq!(request.header("x-request-id"), Some("cut"));
    wire.answer("200 OK", "", "served").await;
    let status = within("an answer", reading.line()).await.expect("an answer");
    assert!(status.contains("200"), "{status}");
    drop(within("the upload", upload).await);
}

/// Once the last byte was sent the request may have run: it is not sent again, and the client gets 504.
#[tokio::test]
async fn an_unsafe_request_cut_after_its_end_fails() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let ((wire, _), other) = tokio::select! {
        got = one.request() => (got, &two),
        got = two.request() => (got, &one),
    };
    wire.reset();
    assert_eq!(client.read().await.expect("an answer").status(), 504);
    assert!(other.has_no_connection().await, "sent again");
}

/// A response without a length ends when its connection is closed; a reset is not an end, and the client
/// can tell that the forwarded part is incomplete.
#[tokio::test]
async fn a_reset_does_not_complete_a_response_without_a_length() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for (ends, whole) in [(true, true), (false, false)] {
        let mut client = node.client().await;
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = server.request().await;
        wire.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nso far").await;
        // A body without a length is streamed unless it ends at once.
        assert_eq!(client.first_byte().await, b'H');
        match ends {
            true => drop(wire),
            false => wire.reset(),
        }
        let answer = client.read_chunked().await;
        assert_eq!(answer.is_some_and(|a| a.body == b"so far"), whole, "ended in order: {ends}");
    }
}

/// An endless response is cut off after the deadline, even though data keeps arriving.
#[tokio::test]
async fn an_endless_response_is_cut_off() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "1000m").await;
    let (mut wire, _) = server.request().await;
    wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
    let (_reading, mut writing) = wire.split();
    let endless = tokio::spawn(async move {
        loop {
            writing.write_bytes(b"4\r\nmore\r\n").await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(client.read_chunked().await.is_none(), "it has no end");
    endless.abort();
}

/// A server closes a pooled connection just as it is reused: a safe request is retried, and an unsafe one
/// gets one final answer and is repeated only if it certainly did not run.
#[tokio::test]
async fn a_pooled_connection_closed_as_it_is_reused_loses_no_request() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for class in ["safe", "unsafe"] {
        let mut client = node.client().await;
        client.send(class, "20000m").await;
        let (mut wire, _) = server.request().await;
        wire.answer("200 OK", "", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
        // Both reach the node at once.
        node.signal("STOP").await;
        client.send(class, "20000m").await;
        drop(wire);
        node.signal("CONT").await;
        let answered = async {
            let (mut wire, _) = server.request().await;
            wire.answer("200 OK", "Connection: close\r\n", "").await;
            client.read().await.expect("an answer").status()
        };
        // The node detected the close before sending anything.
        assert_eq!(answered.await, 200, "{class}");
    }
}

/// The idle timeout expires and a request arrives while the node's process is stopped, on a new connection
/// and on a used one.
#[tokio::test]
async fn a_request_that_arrives_at_the_idle_timeout_is_answered() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut used = node.client().await;
    used.send("safe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "Connection: close\r\n", "").await;
    assert_eq!(used.read().await.expect("an answer").status(), 200);
    let new = node.client().await;
    // The earlier connection has been accepted by now.
    assert_eq!(node.get("/health/live").await.status(), 200);
    node.signal("STOP").await;
    // Longer than either idle timeout; any longer time does as well.
    tokio::time::sleep(Duration::from_millis(5200)).await;
    let mut clients = [used, new];
    for client in &mut clients {
        client.send("safe", "20000m").await;
    }
    node.signal("CONT").await;
    for _ in 0..clients.len() {
        let (mut wire, _) = server.request().await;
        wire.answer("200 OK", "Connection: close\r\n", "").await;
    }
    for client in &mut clients {
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    }
}
