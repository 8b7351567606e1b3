//! The first thing that either side says: who it is, of which fleet, and in which version it speaks.

use crate::frame::{codec, write, Ended, Reader, Writer};
use crate::membership::ProcessId;
use birchswitch_cluster::{Generation, MemberId};
use futures_util::StreamExt;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What this program speaks. Whoever speaks another version is left alone.
pub(crate) const VERSION: u16 = 1;
/// For a greeting to come.
const GREET: Duration = Duration::from_secs(2);
/// Longest name that is believed.
const NAME_MOST: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Greeting {
    pub magic: [u8; 4],
    pub version: u16,
    pub cluster: String,
    pub name: String,
    pub generation: Generation,
}

/// Why a connection came to nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Unfit {
    #[error(transparent)]
    Ended(#[from] Ended),
    #[error("it could not be connected to: {0}")]
    Connect(std::io::Error),
    #[error("no greeting came in time")]
    Late,
    #[error("it does not speak this protocol")]
    Foreign,
    #[error("it speaks version {0}, and this node {VERSION}")]
    Version(u16),
    #[error("it belongs to the cluster {0:?}")]
    Cluster(String),
    #[error("it is {0:?}, who was not meant")]
    Another(String),
    #[error("membership tells no address of its mesh")]
    Nowhere,
    #[error("as many connections as may be are open")]
    Full,
}

impl Greeting {
    pub(crate) fn new(cluster: &str, name: &str, generation: Generation) -> Self {
        Greeting {
            magic: *b"bsm\n",
            version: VERSION,
            cluster: cluster.into(),
            name: name.into(),
            generation,
        }
    }

    /// Whether somebody who greets so is to be spoken with.
    pub(crate) fn fits(&self, other: &Greeting) -> Result<ProcessId, Unfit> {
        if other.magic != self.magic || other.name.len() > NAME_MOST {
            return Err(Unfit::Foreign);
        }
        if other.version != self.version {
            return Err(Unfit::Version(other.version));
        }
        if other.cluster != self.cluster {
            return Err(Unfit::Cluster(other.cluster.chars().take(NAME_MOST).collect()));
        }
        if other.name == self.name {
            return Err(Unfit::Another(other.name.clone()));
        }
        Ok(ProcessId { id: MemberId::of(&other.name), generation: other.generation })
    }
}

/// A connection on which both have greeted.
#[derive(Debug)]
pub(crate) struct Connection {
    pub reader: Reader<OwnedReadHalf>,
    pub writer: Writer<OwnedWriteHalf>,
    pub who: ProcessId,
    /// Whether this node dialed it.
    pub dialed: bool,
    /// Its place among those that may be open.
    pub _place: tokio::sync::OwnedSemaphorePermit,
}

/// Greets on a socket and reads the other's greeting.
pub(crate) async fn greet(
    stream: TcpStream,
    own: &Greeting,
    dialed: bool,
    place: tokio::sync::OwnedSemaphorePermit,
) -> Result<Connection, Unfit> {
    stream.set_nodelay(true).map_err(Ended::from)?;
    let (read, write_half) = stream.into_split();
    let (mut reader, mut writer) = (Reader::new(read, codec()), Writer::new(write_half, codec()));
    let exchange = async {
        write(&mut writer, own).await?;
        let frame = reader.next().await.ok_or(Ended::Closed)?.map_err(Ended::from)?;
        let other: Greeting = postcard::from_bytes(&frame).map_err(|_| Unfit::Foreign)?;
        own.fits(&other)
    };
    let who = timeout(GREET, exchange).await.map_err(|_| Unfit::Late)??;
    Ok(Connection { reader, writer, who, dialed, _place: place })
}
