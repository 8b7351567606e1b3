//! Socket state according to the operating system, and closing a connection without losing written data.

use crate::tcp_info::{receive_state, unread};

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

/// Interval between checks whether the peer has closed a socket that is not being read.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// How long to read and discard remaining data before closing.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of bytes that the system holds for a peer beyond what it has sent.
const MAX_UNSENT_BYTES: u32 = 128 << 10;
/// Maximum amount of data discarded before closing.
const MAX_LINGER_BYTES: usize = 256 << 10;

/// Limits the bytes that the system holds for a peer beyond what it has sent. Without the limit it takes megabytes for a
/// peer that reads slowly.
pub fn limit_unsent(socket: &TcpStream) {
    let _ = SockRef::from(socket).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
}

/// Returns whether a socket is open and has no unread data. Queries the operating system, since the runtime's
/// readiness may be out of date.
pub fn is_open_and_idle(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(socket).peek(&mut byte).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// Returns whether the peer has closed its sending side, even if unread data precedes that.
pub async fn is_read_closed(socket: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = socket.ready(Interest::READABLE) => ready.is_ok_and(|r| r.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}

/// Waits until the peer closes its sending side. For sockets that are not being read.
pub async fn wait_read_closed(socket: &TcpStream) {
    while !is_read_closed(socket).await {
        sleep(CLOSE_POLL_INTERVAL).await;
    }
}

/// Returns the number of bytes that were received and not read. `None`: the system does not tell it.
pub fn unread_bytes(socket: &TcpStream) -> Option<usize> {
    unread(socket)
}

/// Returns whether the peer has closed or reset the connection, according to the operating system: the runtime may not
/// have heard of it yet.
pub fn is_closed_by_peer(socket: &TcpStream) -> bool {
    receive_state(socket).is_some_and(|state| state.closed)
}

/// Returns when the latest data was received, according to the operating system.
pub fn last_data_received(socket: &TcpStream, now: Instant) -> Option<Instant> {
    now.checked_sub(receive_state(socket)?.since_last_data)
}

/// Makes the close of a socket discard what the peer's machine has not received.
pub fn discard_unsent(socket: &TcpStream) {
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Reads and discards remaining data on a socket whose sending side is closed, up to a limit. Closing a
/// socket with unread data resets the connection, which can destroy the last answer before the peer reads it.
pub async fn linger(socket: &TcpStream) {
    let _ = timeout(LINGER_TIMEOUT, discard(socket)).await;
}

async fn discard(socket: &TcpStream) {
    let (mut buffer, mut read) = ([0; 4096], 0);
    while read < MAX_LINGER_BYTES && socket.readable().await.is_ok() {
        match socket.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => read += n,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Accepts the connections that the operating system has queued for a listener, regardless of the runtime's
/// readiness, then closes the listener.
pub fn queued_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || Some(listener.as_ref()?.accept().ok()?.0))
        .filter_map(|stream| stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)).ok())
}
