//! Large keyed requests whose first attempt may have run: servers recognize a repeat only within the replay window, and
//! run a request once they have its last byte.

use birchswitch_standin::scripted::*;
use serde_json::{json, Value};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Kept whole by the node, and larger than a small receive buffer of a server.
const SMALL: usize = 60_000;
/// Fits into the system's send buffer / is too large for it / does not fit into all of the system's buffers together.
const SIZES: [usize; 3] = [100_000, 200_000, 6 << 20];

fn settings_with_window(window: Duration) -> Value {
    let mut settings = settings();
    // Without probes, connections of the test and requests correspond one to one.
    settings["limits"]["may_probe"] = false.into();
    settings["profiles"][1]["repeat_window_ns"] = json!(window.as_nanos() as u64);
    settings
}

/// A keyed request with a body of `bytes` bytes, as it is written by a client that knows its length or not.
fn keyed_request(bytes: usize, chunked: bool) -> (String, String) {
    let body: String = (0..bytes / 8).map(|n| format!("{n:07}.")).collect();
    let (framing, wire_body) = match chunked {
        true => ("Transfer-Encoding: chunked".to_owned(), format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())),
        false => (format!("Content-Length: {}", body.len()), body.clone()),
    };
    let head = format!(
        "POST /keyed HTTP/1.1\r\nHost: a\r\nX-Request-ID: r\r\nX-Tenant-Id: one\r\nX-Timeout: 20000m\r\n\
         Idempotency-Key: k\r\n{framing}\r\n\r\n"
    );
    (head + &wire_body, body)
}

/// Reads a whole request, of either framing, and returns its body without the framing.
async fn read_body(wire: &mut Connection, chunked: bool) -> Option<Vec<u8>> {
    let message = if chunked { wire.read_chunked().await } else { wire.read().await };
    message.map(|message| message.body)
}

/// Waits for the first attempt at one of two servers, and returns its connection and the other server.
async fn accept_attempt<'a>(one: &'a Peer, two: &'a Peer) -> (Connection, &'a Peer) {
    within("a first attempt", async {
        tokio::select! { wire = one.accept() => (wire, two), wire = two.accept() => (wire, one) }
    })
    .await
}

/// Runs the first attempt of a request: one of two servers reads all of it, and its connection is reset. Returns the other
/// server's connection.
async fn run_and_reset(one: &Peer, two: &Peer, chunked: bool) -> Connection {
    let (mut wire, other) = accept_attempt(one, two).await;
    read_body(&mut wire, chunked).await.expect("all of it");
    wire.reset();
    other.accept().await
}

/// Guards against a repeat that begins within the window and ends after it: the second server reads nothing until the
/// window has passed, and may not get the last byte then. What of it lay in the node's or the system's buffers does not
/// count as sent, whether the body is streamed or kept whole.
#[tokio::test]
async fn no_last_byte_of_a_repeat_arrives_after_the_window() {
    let sizes = [SMALL].into_iter().chain(SIZES);
    for (bytes, chunked) in sizes.flat_map(|bytes| [(bytes, false), (bytes, true)]) {
        let window = Duration::from_millis(1500);
        let (one, two) = (Peer::with_small_buffer(), Peer::with_small_buffer());
        let (node, _discovery, _watch) =
            Node::serving_with_settings(settings_with_window(window), &[("one", &one), ("two", &two)]).await;
        let mut client = node.client().await;
        let (request, body) = keyed_request(bytes, chunked);
        let sending = client.write(&request);
        let ((), mut wire) = tokio::join!(sending, run_and_reset(&one, &two, chunked));
        let ran = Instant::now();
        assert_eq!(wire.first_byte().await, b'P', "the repeat has begun");
        assert!(ran.elapsed() < window, "{bytes} bytes: the machine is too slow for this test");
        tokio::time::sleep_until(ran + window).await;
        let received = wire.read_to_end().await;
        assert!(received.len() < body.len(), "{bytes} bytes: {} arrived after the window", received.len());
        assert_eq!(client.read().await.expect("an answer").status(), 504, "the first attempt may have run");
    }
}

/// Guards against holding back too much: a repeat that a slow server can read within the window is run, whole, however much
/// of it the system can receive before the server reads.
#[tokio::test]
async fn a_slow_repeat_within_the_window_is_run() {
    for bytes in SIZES {
        for chunked in [false, true] {
            runs_in_time(Peer::with_small_buffer(), Peer::with_small_buffer(), bytes, chunked).await;
            runs_in_time(Peer::new().await, Peer::new().await, bytes, chunked).await;
        }
    }
}

async fn runs_in_time(one: Peer, two: Peer, bytes: usize, chunked: bool) {
    let settings = settings_with_window(Duration::from_secs(8));
    let (node, _discovery, _watch) =
        Node::serving_with_settings(settings, &[("one", &one), ("two", &two)]).await;
    let mut client = node.client().await;
    let (request, body) = keyed_request(bytes, chunked);
    let sending = client.write(&request);
    let ((), mut wire) = tokio::join!(sending, run_and_reset(&one, &two, chunked));
    sleep(Duration::from_millis(300)).await; // The server is busy.
    let received = read_body(&mut wire, chunked).await.expect("all of it");
    assert_eq!(String::from_utf8(received).expect("text"), body, "{bytes} bytes, chunked: {chunked}");
    wire.answer("200 OK", "", "run").await;
    assert_eq!(client.read().await.expect("an answer").body, b"run");
}

/// Guards against counting the window from an upload's first byte: a client that sends for longer than the window has its
/// request repeated, since no server can have run it before its last byte.
#[tokio::test]
async fn the_window_counts_from_the_last_byte_of_the_first_attempt() {
    let window = Duration::from_millis(1500);
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) =
        Node::serving_with_settings(settings_with_window(window), &[("one", &one), ("two", &two)]).await;
    let mut client = node.client().await;
    let (request, body) = keyed_request(SIZES[1], false);
    let slow_client = async {
        client.write(&request[..150_000]).await;
        sleep(window).await;
        client.write(&request[150_000..]).await;
    };
    let ((), mut wire) = tokio::join!(slow_client, run_and_reset(&one, &two, false));
    assert_eq!(wire.read().await.expect("a repeat").body, body.as_bytes());
    wire.answer("200 OK", "", "run").await;
    assert_eq!(client.read().await.expect("an answer").body, b"run");
}

/// Guards against counting the window while the first attempt's end still lies in the node's machine: its server can't have
/// run it before. Both servers read late, together later than the window, and each within it.
#[tokio::test]
async fn the_window_does_not_count_while_the_first_attempt_waits_to_be_sent() {
    let window = Duration::from_millis(1500);
    let pause = window * 3 / 5;
    let (one, two) = (Peer::with_small_buffer(), Peer::with_small_buffer());
    let (node, _discovery, _watch) =
        Node::serving_with_settings(settings_with_window(window), &[("one", &one), ("two", &two)]).await;
    let mut client = node.client().await;
    let (request, body) = keyed_request(1_000_000, false);
    let slow_server = async {
        let (mut wire, other) = accept_attempt(&one, &two).await;
        sleep(pause).await;
        wire.read().await.expect("all of it");
        wire.reset();
        other.accept().await
    };
    let ((), mut wire) = tokio::join!(client.write(&request), slow_server);
    sleep(pause).await;
    assert_eq!(wire.read().await.expect("a repeat").body, body.as_bytes());
    wire.answer("200 OK", "", "run").await;
    assert_eq!(client.read().await.expect("an answer").body, b"run");
}
