//! What the operating system knows about a TCP connection beyond what was read from it.

#![allow(unsafe_code)]

use std::mem::{offset_of, size_of, MaybeUninit};
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::net::TcpStream;

/// `tcpi_state` of a connection that may still send: established, or closed by the peer only.
const SENDING_STATES: [u8; 2] = [1, 8];

/// State of a connection's sending direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SendState {
    /// Bytes that the peer's machine has acknowledged since the connection was opened.
    pub(crate) acknowledged: u64,
    /// Whether it has acknowledged everything that was written.
    pub(crate) all_acknowledged: bool,
    /// Bytes that it had space for when it last acknowledged something.
    pub(crate) peer_window: u64,
}

/// `tcpi_state` of a connection that the peer has closed or reset: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING.
const CLOSED_STATES: [u8; 5] = [6, 7, 8, 9, 11];

/// State of a connection's receiving direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReceiveState {
    /// Whether the peer has closed or reset the connection, as far as its machine has told.
    pub(crate) closed: bool,
    /// Time since the latest data came, in whole milliseconds.
    pub(crate) since_last_data: Duration,
}

/// Queries the state of a connection's receiving direction. `None`: the system does not tell it.
pub(crate) fn receive_state(socket: &TcpStream) -> Option<ReceiveState> {
    let (info, _) = tcp_info(socket)?;
    Some(ReceiveState {
        closed: CLOSED_STATES.contains(&info.tcpi_state),
        since_last_data: Duration::from_millis(info.tcpi_last_data_recv.into()),
    })
}

/// Returns the number of bytes that were received and not read. `None`: the system does not tell it.
pub(crate) fn unread(socket: &TcpStream) -> Option<usize> {
    let mut unread: libc::c_int = 0;
    // SAFETY: the descriptor is open while `socket` is borrowed, and FIONREAD writes one integer.
    let result = unsafe { libc::ioctl(socket.as_raw_fd(), libc::FIONREAD, &mut unread) };
    if result != 0 {
        return None;
    }
    usize::try_from(unread).ok()
}

/// Queries the state of a connection's sending direction. `None`: the system does not tell it, or the connection can't
/// send.
pub(crate) fn send_state(socket: &TcpStream) -> Option<SendState> {
    let (info, length) = tcp_info(socket)?;
    let window_end = offset_of!(libc::tcp_info, tcpi_snd_wnd) + size_of::<u32>();
    if length < window_end {
        return None;
    }
    SENDING_STATES.contains(&info.tcpi_state).then_some(SendState {
        acknowledged: info.tcpi_bytes_acked,
        all_acknowledged: info.tcpi_unacked == 0 && info.tcpi_notsent_bytes == 0,
        peer_window: info.tcpi_snd_wnd.into(),
    })
}

/// Returns what the system tells about a connection, and how many bytes of it the system filled in.
fn tcp_info(socket: &TcpStream) -> Option<(libc::tcp_info, usize)> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while `socket` is borrowed, and the system writes at most `length` bytes to `info`.
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut length,
        )
    };
    if result != 0 {
        return None;
    }
    // SAFETY: all fields are integers, for which every bit pattern is valid, and were initialized with zeros.
    Some((unsafe { info.assume_init() }, length as usize))
}
