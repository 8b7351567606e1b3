//! More clients than the node has slots for: who makes room, and who is answered all the same.

use birchswitch_standin::scripted::*;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// How long a client waits, and how much later its answer may come.
const WAIT: Duration = Duration::from_millis(900);
const OVERTIME: Duration = Duration::from_millis(500);

/// Answers every request that arrives at a server.
async fn serve(server: Peer) {
    let mut connections = JoinSet::new();
    loop {
        let mut connection = server.accept().await;
        connections.spawn(async move {
            while connection.read_chunked().await.is_some() {
                connection.answer("200 OK", "", "served").await;
            }
        });
    }
}

async fn node_with_sockets(sockets: u32) -> (Node, (Peer, Watch)) {
    let server = Peer::new().await;
    let (node, discovery, watch) = Node::serving_with_sockets(sockets, settings(), &[("s", &server)]).await;
    tokio::spawn(serve(server));
    (node, (discovery, watch))
}

fn head(id: &str, length: usize) -> String {
    format!(
        "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Tenant-Id: one\r\nX-Timeout: {}m\r\n\
         Content-Length: {length}\r\n\r\n",
        WAIT.as_millis()
    )
}

/// Clients that send a part of a request and stay, as many as there are slots and some more.
async fn stopped_clients(node: &Node, sockets: u32, part: impl Fn(u32) -> String) -> Vec<Connection> {
    let mut stopped = Vec::new();
    for n in 0..sockets / 2 + 12 {
        let mut client = node.client().await;
        client.write(&part(n)).await;
        stopped.push(client);
    }
    stopped
}

/// The first `part` bytes of a body of `length` bytes, behind its head.
fn part_of_body(length: usize, part: usize) -> impl Fn(u32) -> String {
    move |n| head(&format!("stopped{n}"), length) + &"x".repeat(part)
}

/// Checks that other clients are answered in their time.
async fn check_others_are_answered(node: &Node, sockets: u32) {
    for n in 0..10 {
        let mut client = node.client().await;
        client.write(&head(&format!("r{n}"), 0)).await;
        let answer = timeout(WAIT + OVERTIME, client.read()).await;
        let answer = answer.unwrap_or_else(|_| panic!("{sockets} descriptors: no answer to r{n}"));
        assert!(answer.is_some(), "{sockets} descriptors: closed without an answer to r{n}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Checks that a client gets an error in words.
async fn check_error(client: &mut Connection) {
    let answer = client.read().await.expect("an error in words");
    assert!(matches!(answer.status(), 408 | 503), "{}", answer.start);
    assert_eq!(answer.header("connection"), Some("close"));
}

/// Guards against clients that stop in the middle of a request and hold all slots, so that others are neither accepted nor
/// answered in their time. Those that stop get an error in words.
async fn stopped_clients_displace_no_request(sockets: u32, part: impl Fn(u32) -> String) {
    let (node, _discovery) = node_with_sockets(sockets).await;
    let stopped = stopped_clients(&node, sockets, part).await;
    check_others_are_answered(&node, sockets).await;
    for mut client in stopped {
        check_error(&mut client).await;
    }
}

#[tokio::test]
async fn clients_that_stop_in_a_head_displace_no_request() {
    for sockets in [64, 128, 1024] {
        stopped_clients_displace_no_request(sockets, |n| head(&format!("stopped{n}"), 0)[..60].to_owned())
            .await;
    }
}

#[tokio::test]
async fn clients_that_stop_in_a_chunked_body_displace_no_request() {
    let head = |n| head(&format!("stopped{n}"), 0).replace("Content-Length: 0", "Transfer-Encoding: chunked");
    for sockets in [64, 128, 1024] {
        stopped_clients_displace_no_request(sockets, |n| head(n) + "100\r\nhalf of it").await;
    }
}

/// The first 100 kB of a body whose length is not known, and a part of its next chunk.
fn part_of_chunked_body(n: u32) -> String {
    let head = head(&format!("stopped{n}"), 0).replace("Content-Length: 0", "Transfer-Encoding: chunked");
    format!("{head}{:x}\r\n{}\r\n100\r\nhalf of it", 100_000, "x".repeat(100_000))
}

#[tokio::test]
async fn clients_that_stop_in_a_large_chunked_body_displace_no_request() {
    for sockets in [64, 128, 1024] {
        stopped_clients_displace_no_request(sockets, part_of_chunked_body).await;
    }
}

/// Guards against clients that hold all slots by sending a byte now and then: some from the start, others after a part of
/// their body, which is still more than the minimum rate in the mean.
#[tokio::test]
async fn clients_below_the_minimum_rate_displace_no_request() {
    for (length, part) in [(60_000, 0), (60_000, 20_000), (300_000, 100_000)] {
        let (node, _discovery) = node_with_sockets(128).await;
        let mut trickling = JoinSet::new();
        for mut client in stopped_clients(&node, 128, part_of_body(length, part)).await {
            trickling.spawn(async move {
                client.trickle("x", Duration::from_millis(100)).await;
                check_error(&mut client).await;
            });
        }
        check_others_are_answered(&node, 128).await;
        while let Some(checked) = trickling.join_next().await {
            checked.unwrap_or_else(|error| panic!("{part} of {length} bytes: {error}"));
        }
    }
}

#[tokio::test]
async fn clients_that_stop_in_a_small_body_displace_no_request() {
    for sockets in [64, 128, 1024] {
        stopped_clients_displace_no_request(sockets, part_of_body(60_000, 20_000)).await;
    }
}

#[tokio::test]
async fn clients_that_stop_before_the_last_byte_displace_no_request() {
    for sockets in [64, 128, 1024] {
        stopped_clients_displace_no_request(sockets, part_of_body(60_000, 59_999)).await;
    }
}

#[tokio::test]
async fn clients_that_stop_in_a_large_body_displace_no_request() {
    for sockets in [64, 128, 1024] {
        stopped_clients_displace_no_request(sockets, part_of_body(300_000, 100_000)).await;
    }
}

/// Guards against a client that is owed its error within 3 s and waits longer because it sent much before it stopped.
#[tokio::test]
async fn a_client_that_stops_gets_its_error_within_three_seconds() {
    let (node, _discovery) = node_with_sockets(1024).await;
    let parts =
        [part_of_body(60_000, 50_000)(0), part_of_body(2_000_000, 1_000_000)(1), part_of_chunked_body(2)];
    for part in parts {
        let mut client = node.client().await;
        client.write(&part).await;
        let stopped = Instant::now();
        check_error(&mut client).await;
        assert!(stopped.elapsed() < Duration::from_secs(3), "{} bytes: {:?}", part.len(), stopped.elapsed());
        client.wait_closed().await;
    }
}

/// Guards against making room at the cost of clients that are slow and go on: more of them than there are slots, in pieces
/// at one and a half times the minimum rate, among others that stop.
#[tokio::test]
async fn slow_uploads_keep_their_slots() {
    const SOCKETS: u32 = 64;
    const PIECE: usize = 16 << 10;
    const PIECES: usize = 12;
    let pause = Duration::from_secs_f64(PIECE as f64 / (48.0 * 1024.0));
    let (node, _discovery) = node_with_sockets(SOCKETS).await;
    let mut uploads = JoinSet::new();
    for n in 0..SOCKETS / 2 {
        let mut client = node.client().await;
        uploads.spawn(async move {
            client.write(&head(&format!("slow{n}"), PIECE * PIECES)).await;
            for _ in 0..PIECES {
                client.write(&"x".repeat(PIECE)).await;
                sleep(pause).await;
            }
            client.read().await.map(|answer| answer.status())
        });
    }
    let stopped = stopped_clients(&node, SOCKETS, part_of_body(60_000, 20_000)).await;
    while let Some(status) = uploads.join_next().await {
        assert_eq!(status.expect("no panic"), Some(200));
    }
    drop(stopped);
}

/// Guards against dropping a request whose last byte arrives at the moment in which its connection is to make room.
#[tokio::test]
async fn a_body_completed_at_the_moment_of_eviction_is_answered() {
    const SOCKETS: u32 = 64;
    let (node, _discovery) = node_with_sockets(SOCKETS).await;
    let stopped = stopped_clients(&node, SOCKETS, part_of_body(60_000, 59_999)).await;
    sleep(Duration::from_millis(100)).await; // The node has read what they sent.
    node.signal("STOP").await;
    // Long enough for all of them to be evicted, once the node runs again and others wait.
    sleep(Duration::from_millis(1000)).await;
    let mut clients = stopped;
    for client in &mut clients {
        client.write("x").await;
    }
    node.signal("CONT").await;
    for client in &mut clients {
        let answer = client.read().await.expect("a final answer");
        assert!(matches!(answer.status(), 200 | 503 | 504), "{}", answer.start);
    }
}
