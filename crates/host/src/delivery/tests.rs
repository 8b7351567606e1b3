//! Estimates of the time that a server needs to read what it was sent, and what its machine has received.

use super::*;
use tokio::net::TcpSocket;

const MS: Duration = Duration::from_millis(1);

fn state(acknowledged: u64, peer_window: u64) -> SendState {
    SendState { acknowledged, all_acknowledged: true, peer_window }
}

fn estimate(start: Instant) -> DeliveryEstimate {
    DeliveryEstimate::new(start, Some(state(1_000, 60_000)))
}

#[test]
fn what_is_unread_is_read_at_the_rate_so_far() {
    let start = Instant::now();
    // 240,000 bytes were sent in 200 ms and 40,000 of them are unread: 1,000 bytes a millisecond.
    let time = estimate(start).time_to_read(start + 200 * MS, &state(241_000, 20_000)).expect("a rate");
    assert_eq!(time.as_millis(), 40);
    assert_eq!(estimate(start).time_to_read(start + 200 * MS, &state(241_000, 60_000)), Some(Duration::ZERO));
}

#[test]
fn a_server_that_has_read_nothing_has_no_rate() {
    let start = Instant::now();
    assert_eq!(estimate(start).time_to_read(start + 200 * MS, &state(41_000, 20_000)), None);
    assert_eq!(estimate(start).time_to_read(start + 200 * MS, &state(900_000, 0)), None, "no space");
    let unacknowledged = SendState { all_acknowledged: false, ..state(900_000, 60_000) };
    assert_eq!(estimate(start).time_to_read(start + 200 * MS, &unacknowledged), None);
}

#[test]
fn the_largest_window_counts() {
    let start = Instant::now();
    let mut estimate = estimate(start);
    estimate.observe(&state(100_000, 120_000));
    estimate.observe(&state(200_000, 10_000));
    // 60,000 of 301,000 - 1,000 bytes are unread after 240 ms.
    let time = estimate.time_to_read(start + 240 * MS, &state(301_000, 60_000)).expect("a rate");
    assert_eq!(time.as_millis(), 60);
}

/// A connection whose peer has little space, and the peer's end of it.
async fn connection() -> (TcpStream, TcpStream) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(1).expect("a port");
    let sender = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    (sender, listener.accept().await.expect("a connection").0)
}

/// Reads this many bytes.
async fn read(socket: &TcpStream, bytes: usize) {
    let (mut buffer, mut read) = ([0; 4096], 0);
    while read < bytes {
        socket.readable().await.expect("an open socket");
        read += socket.try_read(&mut buffer).unwrap_or_default();
    }
}

/// Guards against a call that lies in the system's send buffer and counts as delivered, since writing it succeeded.
#[tokio::test]
async fn what_the_peer_has_no_space_for_is_not_delivered() {
    let (sender, peer) = connection().await;
    let written = sender.try_write(&[0; 60_000]).expect("space in the send buffer");
    let soon = Instant::now() + 50 * MS;
    assert!(!delivered(&sender, soon).await, "{written} bytes");
    undelivered(&sender, soon).await;
    let later = Instant::now() + 10_000 * MS;
    let (is_delivered, ()) = tokio::join!(delivered(&sender, later), read(&peer, written));
    assert!(is_delivered && Instant::now() < later);
}
