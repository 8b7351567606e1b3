//! The handshake: each side first sends its cluster, name, generation and protocol version.

use crate::frame::{codec, write, Disconnect, Reader, Writer};
use crate::membership::ProcessId;
use birchswitch_cluster::{Generation, MemberId};
use futures_util::StreamExt;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The protocol's version. Connections of another version are refused.
pub(crate) const VERSION: u16 = 1;
/// Most time for a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest name that is accepted, in bytes.
const MAX_NAME_LEN: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub magic: [u8; 4],
    pub version: u16,
    pub cluster: String,
    pub name: String,
    pub generation: Generation,
}

/// Why no connection to a peer was established.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error(transparent)]
    Disconnected(#[from] Disconnect),
    #[error("it could not be connected to: {0}")]
    Connect(std::io::Error),
    #[error("no greeting came in time")]
    Timeout,
    #[error("it does not speak this protocol")]
    UnknownProtocol,
    #[error("it speaks version {0}, and this node {VERSION}")]
    Version(u16),
    #[error("it belongs to the cluster {0:?}")]
    Cluster(String),
    #[error("it is {0:?}, who was not meant")]
    UnexpectedPeer(String),
    #[error("membership tells no address of its mesh")]
    NoAddress,
    #[error("as many connections as may be are open")]
    TooManyConnections,
}

impl Hello {
    pub(crate) fn new(cluster: &str, name: &str, generation: Generation) -> Self {
        Hello { magic: *b"bsm\n", version: VERSION, cluster: cluster.into(), name: name.into(), generation }
    }

    /// Checks the other side's hello, and returns its process.
    pub(crate) fn check(&self, other: &Hello) -> Result<ProcessId, ConnectError> {
        if other.magic != self.magic || other.name.len() > MAX_NAME_LEN {
            return Err(ConnectError::UnknownProtocol);
        }
        if other.version != self.version {
            return Err(ConnectError::Version(other.version));
        }
        if other.cluster != self.cluster {
            return Err(ConnectError::Cluster(other.cluster.chars().take(MAX_NAME_LEN).collect()));
        }
        if other.name == self.name {
            return Err(ConnectError::UnexpectedPeer(other.name.clone()));
        }
        Ok(ProcessId { id: MemberId::of(&other.name), generation: other.generation })
    }
}

/// A connection whose handshake is complete.
#[derive(Debug)]
pub(crate) struct Connection {
    pub reader: Reader<OwnedReadHalf>,
    pub writer: Writer<OwnedWriteHalf>,
    pub process: ProcessId,
    /// Whether this node dialed it.
    pub dialed: bool,
    /// Counts the connection against the limit of open ones.
    pub _permit: tokio::sync::OwnedSemaphorePermit,
}

/// Exchanges hellos on a socket.
pub(crate) async fn handshake(
    stream: TcpStream,
    own: &Hello,
    dialed: bool,
    permit: tokio::sync::OwnedSemaphorePermit,
) -> Result<Connection, ConnectError> {
    stream.set_nodelay(true).map_err(Disconnect::from)?;
    let (read, write_half) = stream.into_split();
    let (mut reader, mut writer) = (Reader::new(read, codec()), Writer::new(write_half, codec()));
    let exchange = async {
        write(&mut writer, own).await?;
        let frame = reader.next().await.ok_or(Disconnect::Closed)?.map_err(Disconnect::from)?;
        let other: Hello = postcard::from_bytes(&frame).map_err(|_| ConnectError::UnknownProtocol)?;
        own.check(&other)
    };
    let process = timeout(HANDSHAKE_TIMEOUT, exchange).await.map_err(|_| ConnectError::Timeout)??;
    Ok(Connection { reader, writer, process, dialed, _permit: permit })
}
