//! Obtains a connection to a peer: by dialing it, or because the peer dials in the meantime.

use crate::handshake::{handshake, ConnectError, Connection};
use crate::mesh::Inner;
use birchswitch_cluster::MemberId;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Most time for a TCP connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether the connection of `dialer` is kept if both sides dialed: the one of the member with the lower id is.
pub(super) fn dialer_wins(dialer: MemberId, other: MemberId) -> bool {
    dialer < other
}

/// Dials the peer. A connection that the peer dialed in the meantime is used at once if it would win anyway, and otherwise if
/// dialing fails.
pub(super) async fn connect(
    mesh: &Inner,
    to: MemberId,
    incoming: &mut mpsc::Receiver<Connection>,
) -> Result<Connection, ConnectError> {
    let mut fallback = None;
    let mut dialing = std::pin::pin!(dial(mesh, to));
    loop {
        tokio::select! {
            dialed = &mut dialing => return dialed.or_else(|why| fallback.ok_or(why)),
            Some(connection) = incoming.recv() => {
                if dialer_wins(to, mesh.own.id) {
                    return Ok(connection);
                }
                fallback = Some(connection);
            }
        }
    }
}

async fn dial(mesh: &Inner, to: MemberId) -> Result<Connection, ConnectError> {
    let address = mesh.address(to).ok_or(ConnectError::NoAddress)?;
    let permit =
        mesh.connection_permits.clone().try_acquire_owned().map_err(|_| ConnectError::TooManyConnections)?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.map_err(ConnectError::Connect)?;
    // Dial from the IP that the mesh listens on, so that others can tell which node connects.
    if mesh.bind.is_ipv4() == address.is_ipv4() && !mesh.bind.ip().is_unspecified() {
        socket.bind(SocketAddr::new(mesh.bind.ip(), 0)).map_err(ConnectError::Connect)?;
    }
    let connecting = timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
    let stream = connecting.unwrap_or_else(|elapsed| Err(elapsed.into())).map_err(ConnectError::Connect)?;
    let connection = handshake(stream, &mesh.hello, true, permit).await?;
    match connection.process.id == to {
        true => Ok(connection),
        false => Err(ConnectError::UnexpectedPeer(mesh.name(connection.process.id))),
    }
}
