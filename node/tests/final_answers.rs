//! Each request gets one final answer, whatever else happens at the same moment.
//!
//! The node's process is stopped, so that both events reach it in one turn of its event loop.

use birchswitch_standin::scripted::*;
use std::time::Duration;

/// Sends a request that a server answers at once, and checks that the next answer to the client belongs to
/// it.
async fn expect_own_answer(
    client: &mut Connection,
    class: &str,
    server_connection: &mut Connection,
    server: &Peer,
) {
    client.send_with_id(&format!("next-{class}"), class, "20000m").await;
    let answered = tokio::select! {
        Some(request) = server_connection.read() => {
            server_connection.answer("200 OK", "", "next").await;
            request
        }
        (mut wire, request) = server.request() => {
            wire.answer("200 OK", "Connection: close\r\n", "next").await;
            request
        }
    };
    assert_eq!(answered.header("x-request-id"), Some(&*format!("next-{class}")));
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"next"[..]), "{class}");
}

/// A server answers as the deadline passes.
#[tokio::test]
async fn an_answer_at_the_deadline_is_the_only_one() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for class in ["safe", "keyed", "unsafe"] {
        let mut client = node.client().await;
        client.send(class, "300m").await;
        let (mut wire, _) = server.request().await;
        node.signal("STOP").await;
        wire.answer("200 OK", "", "late").await;
        // Any longer time does as well: the deadline has passed when the process resumes.
        tokio::time::sleep(Duration::from_millis(400)).await;
        node.signal("CONT").await;
        let answer = client.read().await.expect("an answer");
        assert!([200, 503, 504].contains(&answer.status()), "{class}: {}", answer.start);
        expect_own_answer(&mut client, class, &mut wire, &server).await;
    }
}

/// A server answers as its client leaves: the answer reaches no other client.
#[tokio::test]
async fn an_answer_to_a_leaving_client_reaches_no_other() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for class in ["safe", "keyed", "unsafe"] {
        let mut leaving = node.client().await;
        let mut staying = node.client().await;
        leaving.send(class, "20000m").await;
        let (mut wire, _) = server.request().await;
        node.signal("STOP").await;
        wire.answer("200 OK", "", "for one that left").await;
        drop(leaving);
        node.signal("CONT").await;
        expect_own_answer(&mut staying, class, &mut wire, &server).await;
    }
}

/// A connection breaks as the deadline passes: no further attempt begins.
#[tokio::test]
async fn a_connection_broken_at_the_deadline_is_followed_by_no_attempt() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
    for class in ["safe", "keyed", "unsafe"] {
        let mut client = node.client().await;
        client.send(class, "300m").await;
        let ((wire, _), other) = tokio::select! {
            got = one.request() => (got, &two),
            got = two.request() => (got, &one),
        };
        node.signal("STOP").await;
        wire.reset();
        tokio::time::sleep(Duration::from_millis(400)).await;
        node.signal("CONT").await;
        let answer = client.read().await.expect("an answer");
        assert!([503, 504].contains(&answer.status()), "{class}: {}", answer.start);
        assert!(other.has_no_connection().await, "{class}: sent again after its deadline");
    }
}

/// The rest of a broken first answer arrives together with the answer to the second attempt.
#[tokio::test]
async fn a_second_attempts_answer_is_the_only_one() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
    for class in ["safe", "keyed"] {
        let mut client = node.client().await;
        client.send(class, "20000m").await;
        let ((mut first, _), other) = tokio::select! {
            got = one.request() => (got, &two),
            got = two.request() => (got, &one),
        };
        // Part of an answer, then the end of the connection: the answer stays incomplete.
        first.write("HTTP/1.1 200 OK\r\nContent-Le").await;
        first.shutdown_write().await;
        let (mut second, _) = other.request().await;
        node.signal("STOP").await;
        first.write_until_closed("ngth: 5\r\n\r\nfirst").await;
        second.answer("200 OK", "", "second").await;
        node.signal("CONT").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"second"[..]), "{class}");
        expect_own_answer(&mut client, class, &mut second, other).await;
    }
}
