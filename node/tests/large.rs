//! Bodies too large to be held whole, both ways.

use birchswitch_standin::scripted::*;
use std::time::Duration;

/// Bytes of which none stands where another could.
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

/// The first bytes reach the client while the server still writes; what the client does not take holds up no server, which
/// is free for the next request.
#[tokio::test]
async fn a_large_answer_passes_as_it_comes_and_frees_its_server() {
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
    // Nobody has read it yet. The node may still be reading, or let the connection rest: those before go over another one.
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
    let answer = client.read().await.expect("all of it"); // Its first letter was read above.
    assert_eq!((answer.start.as_str(), answer.body), ("TTP/1.1 200 OK", large.into_bytes()));
    client.send("unsafe", "20000m").await; // Clients keep their connection too.
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

/// A client can tell that an answer is not whole.
#[tokio::test]
async fn an_answer_that_breaks_off_ends_its_connection() {
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

/// Its time counts from the last byte, however long the body took, and the server gets what was sent while more comes.
#[tokio::test]
async fn a_large_body_passes_as_it_comes() {
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

/// Even an unsafe request goes again where its last byte was not out or the server says that it did not run: from the start, with
/// every byte.
#[tokio::test]
async fn a_body_that_is_kept_goes_to_another_server() {
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

/// Of one too large to be kept a second attempt has nothing to send. It did not run, so that the client may try again.
#[tokio::test]
async fn a_body_that_is_not_kept_is_refused_and_not_sent_in_part() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
    let mut client = node.client().await;
    let large = body(12 << 20); // Of 64 MB an eighth is for what is kept.
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
    // A connection may have been made for the attempt that came to nothing; no request may have come over it.
    if let Ok(mut wire) = tokio::time::timeout(Duration::from_millis(50), other.accept()).await {
        let heard = tokio::time::timeout(Duration::from_millis(50), wire.first_byte()).await;
        assert!(heard.is_err(), "part of it was sent");
    }
    assert!(node.memory_peak() < MEMORY_MB << 10);
}

/// A client that stops in the midst gets an answer, and its server the connection's end in place of the rest.
#[tokio::test]
async fn a_body_that_stops_coming_is_given_up() {
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

/// Nothing is held back of an answer whose length nobody knows: it may be large, and then its first bytes count.
#[tokio::test]
async fn an_answer_of_unknown_length_is_not_held_back() {
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

/// An answer may end with its connection, if it says so.
#[tokio::test]
async fn an_answer_that_says_so_ends_with_its_connection() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end").await;
    drop(wire);
    assert_eq!(client.read().await.expect("an answer").body, b"until the end");
}
