//! One final answer for each request, whatever else happens in its moment.
//!
//! The node's process is stopped, so that both events reach it in one turn of its loop.

use birchswitch_standin::scripted::*;
use std::time::Duration;

/// Sends a request that a server answers at once, and checks that the client's next answer is that one.
async fn next_answer_is_its_own(
    client: &mut Connection,
    class: &str,
    servers: &mut Connection,
    server: &Peer,
) {
    client.send_with_id(&format!("next-{class}"), class, "20000m").await;
    let answered = tokio::select! {
        Some(request) = servers.read() => {
            servers.answer("200 OK", "", "next").await;
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

/// A server's answer and the end of the client's time.
#[tokio::test]
async fn an_answer_in_the_moment_of_the_deadline_is_the_only_one() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for class in ["safe", "keyed", "unsafe"] {
        let mut client = node.client().await;
        client.send(class, "300m").await;
        let (mut wire, _) = server.request().await;
        node.signal("STOP").await;
        wire.answer("200 OK", "", "late").await;
        // Any longer time does as well: it has passed when the process goes on.
        tokio::time::sleep(Duration::from_millis(400)).await;
        node.signal("CONT").await;
        let answer = client.read().await.expect("an answer");
        assert!([200, 503, 504].contains(&answer.status()), "{class}: {}", answer.start);
        next_answer_is_its_own(&mut client, class, &mut wire, &server).await;
    }
}

/// A server's answer and its client's leaving: the answer reaches nobody else.
#[tokio::test]
async fn an_answer_in_the_moment_in_which_its_client_leaves_reaches_nobody_else() {
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
        next_answer_is_its_own(&mut staying, class, &mut wire, &server).await;
    }
}

/// A connection that breaks and the end of the client's time: no further attempt begins.
#[tokio::test]
async fn a_break_in_the_moment_of_the_deadline_is_followed_by_no_attempt() {
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
        assert!(other.has_no_connection().await, "{class}: sent again after its time");
    }
}

/// A second attempt's answer and the client's leaving, after a first attempt that broke.
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
        // A part of an answer, then its end: the rest never comes.
        first.write("HTTP/1.1 200 OK\r\nContent-Le").await;
        first.shutdown_write().await;
        let (mut second, _) = other.request().await;
        node.signal("STOP").await;
        first.write_until_closed("ngth: 5\r\n\r\nfirst").await;
        second.answer("200 OK", "", "second").await;
        node.signal("CONT").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"second"[..]), "{class}");
        next_answer_is_its_own(&mut client, class, &mut second, other).await;
    }
}
