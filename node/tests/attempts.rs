//! What is forwarded to servers, and how their answers are interpreted.

use birchswitch_standin::scripted::*;
use std::time::Duration;

#[tokio::test]
async fn a_request_and_its_answer_are_forwarded_unchanged() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client
        .write(
            "POST /keyed/a%20b;c?x=1&y=%2F HTTP/1.1\r\nHost: shop\r\nX-Request-ID: 9b1f\r\nX-Timeout: 9000m\r\n\
             X-Tenant-Id: one\r\nIdempotency-Key: 5c0f\r\nCookie: obj=7\r\nContent-Length: 5\r\n\r\nhello",
        )
        .await;
    let (mut wire, request) = server.request().await;
    assert_eq!(request.start, "POST /keyed/a%20b;c?x=1&y=%2F HTTP/1.1");
    assert_eq!(request.body, b"hello");
    for (name, value) in [("x-request-id", "9b1f"), ("idempotency-key", "5c0f"), ("cookie", "obj=7")] {
        assert_eq!(request.header(name), Some(value));
    }
    let timeout = request.header("x-timeout").and_then(|v| v.strip_suffix('u')).expect("microseconds");
    assert!(
        timeout.parse::<u64>().expect("a number") < 9_000_000,
        "the remaining time is shorter than the original timeout"
    );
    wire.answer("200 OK", "X-More: 1\r\n", "bye").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"bye"[..]));
}

/// Only the X-Not-Processed header proves that a request did not run: a bare 503 may be sent after the work
/// was done.
#[tokio::test]
async fn a_bare_503_fails_an_unsafe_request() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
    for headers in ["", "X-Not-Processed: 0\r\n"] {
        let mut client = node.client().await;
        client.send("unsafe", "20000m").await;
        let ((mut wire, _), other) = tokio::select! {
            got = one.request() => (got, &two),
            got = two.request() => (got, &one),
        };
        wire.answer("503 Service Unavailable", headers, "").await;
        let status = client.read().await.expect("an answer").status();
        assert!(![200, 429, 503].contains(&status), "answered {status}, which promises that it did not run");
        assert!(other.has_no_connection().await, "sent again");
    }
}

#[tokio::test]
async fn an_unsafe_request_is_retried_when_it_did_not_run() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let ((mut wire, first), other) = tokio::select! {
        got = one.request() => (got, &two),
        got = two.request() => (got, &one),
    };
    wire.answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "").await;
    let (mut wire, second) = other.request().await;
    assert_eq!(first.header("x-request-id"), second.header("x-request-id"));
    wire.answer("200 OK", "", "done").await;
    assert_eq!(client.read().await.expect("an answer").body, b"done");
}

/// If the connection breaks after the request was sent, even in the middle of the answer, the request may
/// have run.
#[tokio::test]
async fn a_request_on_a_broken_connection_may_have_run() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
    for begun in ["", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"] {
        let mut client = node.client().await;
        client.send("unsafe", "20000m").await;
        let ((mut wire, _), other) = tokio::select! {
            got = one.request() => (got, &two),
            got = two.request() => (got, &one),
        };
        wire.write(begun).await;
        drop(wire);
        assert_eq!(client.read().await.expect("an answer").status(), 504);
        assert!(other.has_no_connection().await, "sent again");
    }
}

/// Nothing was sent over a refused connection, so even an unsafe request may be refused: the client may
/// retry.
#[tokio::test]
async fn a_request_on_a_refused_connection_never_ran() {
    let (node, _discovery, _watch) = Node::serving(&[("s", &Peer::unreachable().await)]).await;
    let answer = node.client().await.round_trip("unsafe").await.expect("an answer");
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.header("retry-after"), Some("1.500"));
}

/// Unless the node checks the socket first, the request is written to a connection that the server has
/// closed, and is lost.
#[tokio::test]
async fn a_connection_closed_while_idle_is_not_reused() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    for _ in 0..20 {
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = server.request().await;
        wire.answer("200 OK", "", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
        wire.close().await;
    }
}

#[tokio::test]
async fn a_connection_is_reused() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    for _ in 0..3 {
        wire.answer("200 OK", "", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
        // Let the connection return to the pool: the node first waits for excess bytes behind the answer.
        tokio::time::sleep(Duration::from_millis(50)).await;
        client.send("unsafe", "20000m").await;
        wire.read().await.expect("the next request on the same connection");
    }
}

/// Excess bytes behind an answer would be taken for the answer to the next request on that connection: one
/// client would get another client's answer.
#[tokio::test]
async fn bytes_behind_an_answer_end_the_connection() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    for (k, (with, later)) in
        [(answer("x"), ""), ("noise".into(), ""), (String::new(), "n"), (String::new(), "HTTP/1.1 2")]
            .into_iter()
            .enumerate()
    {
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = server.request().await;
        wire.write(&(answer(&k.to_string()) + &with)).await;
        assert_eq!(client.read().await.expect("an answer").body, k.to_string().as_bytes());
        wire.write(later).await; // By now the connection is back in the pool.
        wire.expect_closed().await;
    }
}

/// A malformed or incomplete answer counts as none. Its request may have run, and its connection is closed
/// at once and not only at the deadline: an endless answer would keep growing.
#[tokio::test]
async fn malformed_answers_fail_the_attempt() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let endless =
        |head: &str, part: &str| format!("HTTP/1.1 200 OK\r\n{head}{}", part.repeat(200_000 / part.len()));
    let malformed = [
        "no HTTP at all\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\n\r\nuntil the end".to_owned(),
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n".to_owned(),
        endless("Content-Length: 3000000000\r\n\r\n", "more "),
        endless("X-Long: ", "more "),
        endless("", "X-Many: 1\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n".repeat(5000),
    ];
    for answer in malformed {
        let mut client = node.client().await;
        client.send("unsafe", "60000m").await;
        let (mut wire, _) = server.request().await;
        wire.write_until_closed(&answer).await;
        let status = client.read().await.expect("an answer").status();
        assert_eq!(status, 504, "{answer:.80}");
        wire.wait_closed().await;
    }
    assert!(node.memory_peak() < MEMORY_MB << 10);
}

/// Interim responses are skipped and unreadable load reports ignored: neither invalidates the answer.
#[tokio::test]
async fn interim_answers_and_invalid_load_reports_are_ignored() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n").await;
    wire.answer("200 OK", "X-Server-Load: {\"inflight\":[,\r\n", "served").await;
    assert_eq!(client.read().await.expect("an answer").body, b"served");
}

/// With a silent server the client still gets an answer before its deadline, and the attempt's connection
/// is closed.
#[tokio::test]
async fn a_silent_server_fails_the_request_in_time() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "400m").await;
    let (mut wire, _) = server.request().await;
    assert_eq!(client.read().await.expect("an answer").status(), 504);
    wire.expect_closed().await;
}

/// Once a client has left, nothing more is sent for its request.
#[tokio::test]
async fn nothing_more_is_sent_for_a_client_that_left() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
    let mut client = node.client().await;
    client.send("safe", "20000m").await;
    let ((mut wire, first), other) = tokio::select! {
        got = one.request() => (got, &two),
        got = two.request() => (got, &one),
    };
    // A half-closed client is answered that its request was abandoned.
    let answer = client.shutdown_and_read().await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    wire.answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "").await;
    assert!(other.has_no_connection().await, "sent again");
    let mut client = node.client().await;
    client.send("safe", "20000m").await;
    let next = tokio::select! {
        next = wire.read() => next.expect("a request"),
        (_, next) = other.request() => next,
    };
    assert_ne!(first.header("x-request-id"), next.header("x-request-id"));
}

/// Load reports use the field names from the settings, beside unknown fields.
#[tokio::test]
async fn probes_choose_the_idle_server() {
    let (busy, idle) = (Peer::new().await, Peer::new().await);
    let discovery = Peer::new().await;
    let mut settings = settings();
    settings["report"] = serde_json::json!({"how": "pull", "fields": ["outstanding", "utilization"]});
    let node = Node::start(&discovery, settings, 1024).await;
    let (mut watch, _) = discovery.watch().await;
    let members = [member("busy", busy.address(), "active"), member("idle", idle.address(), "active")];
    watch.list(1, true, &members).await;
    node.wait_until_ready().await;
    let (served, mut served_by) = tokio::sync::mpsc::unbounded_channel();
    let reports = [
        (busy, "busy", r#"{"outstanding":9,"utilization":1.0,"spare":null}"#),
        (idle, "idle", r#"{"spare":"x","outstanding":0,"utilization":0.0}"#),
    ];
    for (server, name, report) in reports {
        let served = served.clone();
        tokio::spawn(async move {
            loop {
                let (mut wire, served) = (server.accept().await, served.clone());
                tokio::spawn(async move {
                    while let Some(request) = wire.read().await {
                        if request.start == "GET /stats HTTP/1.1" {
                            wire.answer("200 OK", "", report).await;
                        } else {
                            wire.answer("200 OK", "", "").await;
                            let _ = served.send(name);
                        }
                    }
                });
            }
        });
    }
    // On a busy machine a report may arrive too late to be used. Without reports such a run has a chance of 1 in 10^6.
    let consecutive = async {
        let mut run = 0;
        while run < 20 {
            let answer = node.client().await.round_trip("unsafe").await.expect("an answer");
            if answer.status() == 200 {
                run = if served_by.recv().await == Some("idle") { run + 1 } else { 0 };
            }
        }
    };
    within("a run of requests at the idle server", consecutive).await;
}
