//! Bodies too large to be buffered whole, in both directions.

use birchswitch_standin::scripted::*;
use std::time::Duration;

/// Text of `bytes` bytes in which every block differs, so that reordering or loss shows.
fn body(bytes: usize) -> String {
    (0..bytes / 8).map(|n| format!("{n:07}.")).collect()
}

fn head(class: &str, id: &str, length: usize, wait: &str) -> String {
    let key = if class == "keyed" { "Idempotency-Key: k\r\n" } else { "" };
    format!(
        "POST /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Tenant-Id: one\r\nX-Timeout: {wait}\r\n\
         {key}Content-Length: {length}\r\n\r\n"
    )
}

/// The first bytes reach the client while the server still writes. A client that does not read does not
/// hold up the server, which is free for the next request.
#[tokio::test]
async fn a_large_response_is_streamed_and_frees_its_server() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let (mut client, mut other) = (node.client().await, node.client().await);
    let large = body(6 << 20);
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", large.len())).await;
    wire.write(&large[..200_000]).await;
    assert_eq!(client.first_byte().await, b'H', "nothing more has been written yet");
    within("the rest", wire.write(&large[200_000..])).await;
    // The client has read nothing yet. Until the node has read all and pooled the connection,
    // requests go over another one.
    let again = async {
        loop {
            other.send("unsafe", "20000m").await;
            tokio::select! {
                request = wire.read() => break assert!(request.is_some()),
                (mut fresh, _) = server.request() => {
                    fresh.answer("200 OK", "Connection: close\r\n", "").await;
                    assert_eq!(other.read().await.expect("an answer").status(), 200);
                }
            }
        }
    };
    within("the next request on the same connection", again).await;
    wire.answer("200 OK", "", "small").await;
    assert_eq!(other.read().await.expect("an answer").body, b"small");
    let answer = client.read().await.expect("all of it"); // Its first byte was read above.
    assert_eq!((answer.start.as_str(), answer.body), ("TTP/1.1 200 OK", large.into_bytes()));
    client.send("unsafe", "20000m").await; // The client connection is kept too.
    let (mut wire, _) = within("its next request", async {
        tokio::select! {
            request = wire.read() => (wire, request),
            (fresh, request) = server.request() => (fresh, Some(request)),
        }
    })
    .await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// The client can tell that a truncated response is incomplete.
#[tokio::test]
async fn a_truncated_response_ends_its_connection() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for head in ["Content-Length: 300000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n493e0\r\n"] {
        let mut client = node.client().await;
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = server.request().await;
        wire.write(&format!("HTTP/1.1 200 OK\r\n{head}{}", body(200_000))).await;
        assert_eq!(client.first_byte().await, b'H');
        drop(wire);
        let rest = client.read_to_end().await;
        assert!(!rest.ends_with(b"0\r\n\r\n") && rest.len() < 300_000, "{} bytes", rest.len());
    }
}

/// The timeout counts from the last byte, however long the body took, and the server receives the first
/// part before the rest arrives.
#[tokio::test]
async fn a_large_body_is_streamed() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    let large = body(800_000);
    client.write(&head("unsafe", "r1", large.len(), "2000m")).await;
    client.write(&large[..400_000]).await;
    let mut wire = server.accept().await;
    assert_eq!(wire.first_byte().await, b'P', "half of it is still to come");
    tokio::time::sleep(Duration::from_millis(2300)).await; // Longer than the client waits for an answer.
    client.write(&large[400_000..]).await;
    let request = wire.read().await.expect("all of it");
    assert_eq!(request.body, large.as_bytes());
    assert_eq!(request.header("x-request-id"), Some("r1"));
    wire.answer("200 OK", "", "done").await;
    assert_eq!(client.read().await.expect("an answer").body, b"done");
}

/// Even an unsafe request is retried, with its whole body, if its last byte was not sent or the server
/// reports that it did not run.
#[tokio::test]
async fn a_kept_body_is_retried_at_another_server() {
    for broken in [false, true] {
        let (one, two) = (Peer::new().await, Peer::new().await);
        let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
        let mut client = node.client().await;
        let large = body(1 << 20);
        client.write(&head("unsafe", "r", large.len(), "20000m")).await;
        client.write(&large[..600_000]).await;
        let (mut wire, other) = within("a first attempt", async {
            tokio::select! { wire = one.accept() => (wire, &two), wire = two.accept() => (wire, &one) }
        })
        .await;
        if broken {
            wire.first_byte().await;
            drop(wire);
            client.write(&large[600_000..]).await;
        } else {
            client.write(&large[600_000..]).await;
            wire.read().await.expect("all of it");
            wire.answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "").await;
        }
        let (mut wire, request) = other.request().await;
        assert_eq!(request.body, large.as_bytes(), "broken: {broken}");
        wire.answer("200 OK", "", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    }
}

/// A body too large to be kept cannot be sent in a second attempt. The request did not run, so the client
/// may try again.
#[tokio::test]
async fn a_body_that_is_not_kept_is_refused_and_not_resent() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
    let mut client = node.client().await;
    let large = body(12 << 20); // An eighth of 64 MB is reserved for kept bodies.
    client.write(&head("unsafe", "r", large.len(), "20000m")).await;
    let writing = async {
        client.write(&large).await;
        client.read().await.expect("an answer").status()
    };
    let serving = async {
        let (mut wire, other) = tokio::select! {
            wire = one.accept() => (wire, &two),
            wire = two.accept() => (wire, &one),
        };
        assert_eq!(wire.read().await.expect("all of it").body.len(), large.len());
        wire.answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "").await;
        other
    };
    let (status, other) = within("both", async { tokio::join!(writing, serving) }).await;
    assert_eq!(status, 503);
    // The abandoned attempt may have opened a connection, but must not have sent a request over it.
    if let Ok(mut wire) = tokio::time::timeout(Duration::from_millis(50), other.accept()).await {
        let first_byte = tokio::time::timeout(Duration::from_millis(50), wire.first_byte()).await;
        assert!(first_byte.is_err(), "part of it was sent");
    }
    assert!(node.memory_peak() < MEMORY_MB << 10);
}

/// A client that stalls in the middle of a body gets an answer, and the server connection is closed without
/// the rest.
#[tokio::test]
async fn a_stalled_body_is_abandoned() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.write(&head("unsafe", "r", 800_000, "20000m")).await;
    client.write(&body(100_000)).await;
    let mut wire = server.accept().await;
    assert_eq!(wire.first_byte().await, b'P');
    let status = client.read().await.expect("an answer").status();
    assert!(matches!(status, 503 | 504), "{status}");
    wire.wait_closed().await;
}

/// A response of unknown length is forwarded without buffering: it may be large, and its first bytes must
/// not wait.
#[tokio::test]
async fn a_response_of_unknown_length_is_not_buffered() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n").await;
    assert_eq!(client.first_byte().await, b'H', "its end has not been written");
    wire.write("4\r\nlast\r\n0\r\n\r\n").await;
    drop(wire);
    client.read_until("0\r\n\r\n").await;
}

/// A response with `Connection: close` and no length ends with the connection.
#[tokio::test]
async fn a_response_may_end_with_its_connection() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end").await;
    drop(wire);
    assert_eq!(client.read().await.expect("an answer").body, b"until the end");
}
