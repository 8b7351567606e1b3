//! Takes over a listening socket inherited from the parent process.
//!
//! The supervisor keeps the socket open and passes it to each process in turn. Connections wait in the same kernel
//! queue no matter which process accepts them, so none is refused while one process takes over from another.
//!
//! This is the only package of the workspace that contains `unsafe` code: a single call.

#![deny(missing_docs, unsafe_op_in_unsafe_fn)]

use rustix::net::sockopt;
use std::net::TcpListener;
use std::os::fd::{AsFd, BorrowedFd, RawFd};

/// Why a descriptor can't be used as a listener. Each message is one line.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// Descriptors 0 to 2 are the standard streams.
    #[error("descriptor {0} is not one that a socket can be handed over as: it has to be above 2")]
    StandardStream(RawFd),
    /// The descriptor is not open, or is not a socket.
    #[error("descriptor {number} is no socket: {source}")]
    NotASocket {
        /// The descriptor.
        number: RawFd,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The descriptor is a socket, but not a listening TCP socket.
    #[error("descriptor {0} is not a TCP socket that listens")]
    NotListening(RawFd),
}

/// Returns a listener for the socket that this process has inherited under this descriptor number. The descriptor is
/// duplicated and stays open, so this can be called again, and closing one listener does not affect another.
///
/// # Errors
///
/// Returns a [`HandoverError`] if the descriptor is not a listening TCP socket.
pub fn inherited_listener(number: RawFd) -> Result<TcpListener, HandoverError> {
    if number <= 2 {
        return Err(HandoverError::StandardStream(number));
    }
    // SAFETY: the descriptor is only borrowed, and only for the system calls in this function. If it is not open, they
    // fail with EBADF and have no effect.
    let inherited = unsafe { BorrowedFd::borrow_raw(number) };
    let not_a_socket = |e: rustix::io::Errno| HandoverError::NotASocket { number, source: e.into() };
    let kind = sockopt::socket_type(inherited).map_err(not_a_socket)?;
    let listening = sockopt::socket_acceptconn(inherited).map_err(not_a_socket)?;
    let domain = sockopt::socket_domain(inherited).map_err(not_a_socket)?;
    let internet = domain == rustix::net::AddressFamily::INET || domain == rustix::net::AddressFamily::INET6;
    if kind != rustix::net::SocketType::STREAM || !listening || !internet {
        return Err(HandoverError::NotListening(number));
    }
    let duplicate = inherited.as_fd().try_clone_to_owned();
    duplicate.map(TcpListener::from).map_err(|source| HandoverError::NotASocket { number, source })
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::{TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;

    #[test]
    fn connections_made_before_the_takeover_are_accepted() {
        let original = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut client = TcpStream::connect(original.local_addr().expect("bound")).expect("connected");
        client.write_all(b"early").expect("written");
        let first = inherited_listener(original.as_raw_fd()).expect("socket is listening");
        drop(first);
        let second =
            inherited_listener(original.as_raw_fd()).expect("closing one listener does not close the socket");
        let mut received = [0; 5];
        second
            .accept()
            .expect("accept the queued connection")
            .0
            .read_exact(&mut received)
            .expect("read what was sent before");
        assert_eq!(&received, b"early");
    }

    #[test]
    fn other_descriptors_are_errors() {
        let udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let file = std::fs::File::open("/dev/null").expect("a file");
        let not_listening =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        assert!(matches!(inherited_listener(udp.as_raw_fd()), Err(HandoverError::NotListening(_))));
        assert!(matches!(inherited_listener(not_listening.as_raw_fd()), Err(HandoverError::NotListening(_))));
        assert!(matches!(inherited_listener(file.as_raw_fd()), Err(HandoverError::NotASocket { .. })));
        assert!(matches!(inherited_listener(1 << 20), Err(HandoverError::NotASocket { .. })));
        assert!(matches!(inherited_listener(2), Err(HandoverError::StandardStream(2))));
    }
}
