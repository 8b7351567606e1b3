//! What the operating system knows of a socket, and how a connection is closed without losing what was written to it.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// How often it is looked whether the other side has gone, on a socket that is not read meanwhile.
const LOOK: Duration = Duration::from_millis(25);
/// For what is still to be read and thrown away.
const LINGER: Duration = Duration::from_millis(300);
/// Most that is thrown away.
const MOST_LINGERING: usize = 256 << 10;

/// Whether a socket is open and nothing has come on it. Asks the system itself: what the runtime knows may be older.
pub fn is_open_and_idle(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(socket).peek(&mut byte).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the system has told that the other side ended its sending, be there unread bytes before that or not.
pub async fn is_read_closed(socket: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = socket.ready(Interest::READABLE) => ready.is_ok_and(|r| r.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}

/// Waits until the other side has ended its sending, on a socket that nobody reads meanwhile.
pub async fn wait_read_closed(socket: &TcpStream) {
    while !is_read_closed(socket).await {
        sleep(LOOK).await;
    }
}

/// Reads what still comes on a socket whose sending side is closed, up to a bound: closing it on unread bytes would reset
/// the connection, and might take the last answer from the other side.
pub async fn linger(socket: &TcpStream) {
    let _ = timeout(LINGER, discard(socket)).await;
}

async fn discard(socket: &TcpStream) {
    let (mut buffer, mut read) = ([0; 4096], 0);
    while read < MOST_LINGERING && socket.readable().await.is_ok() {
        match socket.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => read += n,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// The connections that the system has queued for a listener by now, whatever the runtime knows of that. The listener closes
/// after the last.
pub fn queued_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || Some(listener.as_ref()?.accept().ok()?.0))
        .filter_map(|stream| stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)).ok())
}
