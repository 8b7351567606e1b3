//! What the operating system knows about the sending direction of a TCP connection.

#![allow(unsafe_code)]

use std::mem::{offset_of, size_of, MaybeUninit};
use std::os::fd::AsRawFd;
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

/// Queries the state of a connection. `None`: the system does not tell it, or the connection can't send.
pub(crate) fn send_state(socket: &TcpStream) -> Option<SendState> {
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
    let window_end = offset_of!(libc::tcp_info, tcpi_snd_wnd) + size_of::<u32>();
    if result != 0 || (length as usize) < window_end {
        return None;
    }
    // SAFETY: all fields are integers, for which every bit pattern is valid, and were initialized with zeros.
    let info = unsafe { info.assume_init() };
    SENDING_STATES.contains(&info.tcpi_state).then_some(SendState {
        acknowledged: info.tcpi_bytes_acked,
        all_acknowledged: info.tcpi_unacked == 0 && info.tcpi_notsent_bytes == 0,
        peer_window: info.tcpi_snd_wnd.into(),
    })
}
