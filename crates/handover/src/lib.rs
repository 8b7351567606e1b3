//! Takes up a listening socket that the process was started with.
//!
//! Whoever starts the process holds the socket and lets every process in turn inherit it: what has connected waits in one
//! queue, whoever takes it, and nobody is turned away while one process takes over from another.
//!
//! This is the one package of the workspace with `unsafe` in it, one call of it.

#![deny(missing_docs, unsafe_op_in_unsafe_fn)]

use rustix::net::sockopt;
use std::net::TcpListener;
use std::os::fd::{AsFd, BorrowedFd, RawFd};

/// Why a descriptor can't be taken up. One line each.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// 0 to 2 are the standard streams.
    #[error("descriptor {0} is not one that a socket can be handed over as: it has to be above 2")]
    Standard(RawFd),
    /// Nothing was inherited under the number, or something else than a socket.
    #[error("descriptor {number} is no socket: {source}")]
    NoSocket {
        /// The descriptor.
        number: RawFd,
        /// What the system says.
        source: std::io::Error,
    },
    /// A socket, but none that listens for TCP.
    #[error("descriptor {0} is not a TCP socket that listens")]
    NotListening(RawFd),
}

/// A listener over the socket that this process has inherited under this number. It is a copy: the number stays taken, so that
/// asking twice, or closing one copy, closes nobody else's.
///
/// Errors: [`HandoverError`], where there is no such socket, or it does not listen.
pub fn inherited_listener(number: RawFd) -> Result<TcpListener, HandoverError> {
    if number <= 2 {
        return Err(HandoverError::Standard(number));
    }
    // SAFETY: the descriptor is only borrowed, and only for the calls in this function. If nothing is open under the
    // number, they fail with EBADF and touch nothing.
    let inherited = unsafe { BorrowedFd::borrow_raw(number) };
    let no_socket = |e: rustix::io::Errno| HandoverError::NoSocket { number, source: e.into() };
    let kind = sockopt::socket_type(inherited).map_err(no_socket)?;
    let listens = sockopt::socket_acceptconn(inherited).map_err(no_socket)?;
    let domain = sockopt::socket_domain(inherited).map_err(no_socket)?;
    let internet = domain == rustix::net::AddressFamily::INET || domain == rustix::net::AddressFamily::INET6;
    if kind != rustix::net::SocketType::STREAM || !listens || !internet {
        return Err(HandoverError::NotListening(number));
    }
    let own = inherited.as_fd().try_clone_to_owned();
    own.map(TcpListener::from).map_err(|source| HandoverError::NoSocket { number, source })
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::{TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;

    #[test]
    fn what_connected_before_is_taken_after() {
        let held = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut client = TcpStream::connect(held.local_addr().expect("bound")).expect("connected");
        client.write_all(b"early").expect("written");
        let first = inherited_listener(held.as_raw_fd()).expect("it listens");
        drop(first);
        let second = inherited_listener(held.as_raw_fd()).expect("closing a copy closes no other");
        let mut heard = [0; 5];
        second.accept().expect("it waited").0.read_exact(&mut heard).expect("sent before");
        assert_eq!(&heard, b"early");
    }

    #[test]
    fn what_is_no_listening_socket_is_told() {
        let udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let file = std::fs::File::open("/dev/null").expect("a file");
        let silent =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        assert!(matches!(inherited_listener(udp.as_raw_fd()), Err(HandoverError::NotListening(_))));
        assert!(matches!(inherited_listener(silent.as_raw_fd()), Err(HandoverError::NotListening(_))));
        assert!(matches!(inherited_listener(file.as_raw_fd()), Err(HandoverError::NoSocket { .. })));
        assert!(matches!(inherited_listener(1 << 20), Err(HandoverError::NoSocket { .. })));
        assert!(matches!(inherited_listener(2), Err(HandoverError::Standard(2))));
    }
}
