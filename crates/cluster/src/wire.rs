//! Datagram format: a checksum, the format version, the cluster's name, and a message encoded with
//! postcard.
//!
//! Compatible changes: fields appended to [`Message`] and to records are skipped by programs that
//! do not know them, and a record's extra fields are forwarded; unknown kinds of updates are
//! skipped one by one. Any other change needs a new [`VERSION`].

use crate::member::{Generation, MemberId, Record, State, MAX_RECORD_BYTES};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Version of the format.
pub const VERSION: u8 = 1;
/// Size limit of datagrams that are sent or accepted.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Bytes of the checksum: the low half of XXH3 over everything after it, little endian.
const CHECKSUM: usize = 4;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DecodeError {
    /// The datagram ends before the message.
    #[error("datagram is truncated")]
    Truncated,
    /// Longer than any datagram that members send.
    #[error("datagram is longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// Corrupted in transit, or not a datagram of this protocol.
    #[error("checksum mismatch")]
    Checksum,
    /// Another version of the format.
    #[error("unsupported format version")]
    Version,
    /// Another cluster.
    #[error("datagram of another cluster")]
    WrongCluster,
    /// Not a message of this version.
    #[error("unknown message")]
    UnknownMessage,
}

/// The sender of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Id of the sender's name.
    pub id: MemberId,
    /// The sending process.
    pub generation: Generation,
    /// The sender's incarnation when it sent the message.
    pub incarnation: u64,
}

/// What a sender knows about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// The known generation.
    pub generation: Generation,
    /// The known incarnation.
    pub incarnation: u64,
    /// The member's state.
    pub state: State,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an `Ack` with the same number.
    Ping {
        /// Identifies the round.
        seq: u32,
        /// The probed member.
        target: MemberId,
        /// What the sender knows about the target.
        known: KnownState,
    },
    /// The answer to a `Ping`.
    Ack {
        /// The number of the ping.
        seq: u32,
    },
    /// Requests that the receiver ping the target on behalf of the sender.
    Relay {
        /// Identifies the round.
        seq: u32,
        /// The probed member.
        target: MemberId,
        /// The target's address.
        address: SocketAddr,
        /// What the sender knows about the target.
        known: KnownState,
        /// Earlier rounds failed, too: a relay that gets no answer starts an investigation of its
        /// own.
        retry: bool,
    },
    /// The relayed ping was answered.
    RelayAck {
        /// The number of the ping request.
        seq: u32,
        /// The generation that answered.
        generation: Generation,
        /// The incarnation that answered.
        incarnation: u64,
    },
    /// The relayed ping was not answered.
    RelayNack {
        /// The number of the ping request.
        seq: u32,
    },
    /// Requests to join; the updates contain the sender's record. Padded, so that the answer is
    /// never longer than the request.
    Join {
        /// Zeros.
        padding: Vec<u8>,
    },
    /// Some of the members, in the updates.
    Welcome,
    /// Checksums of the sender's table, one per bucket of the id space. The receiver answers with
    /// the entries of the buckets that differ.
    Digest {
        /// 256 bytes: 64 checksums of four bytes, little endian.
        checksums: Vec<u8>,
        /// Sent in answer to a digest; not to be answered with another one.
        reply: bool,
    },
    /// Entries in which the tables differ, in the updates.
    Records,
    /// A payload for another component of the program; not interpreted here.
    Payload {
        /// The component that receives it.
        lane: u8,
        /// The payload.
        bytes: Vec<u8>,
    },
}

/// A message. Updates are encoded separately, so that an update of an unknown kind can be skipped
/// alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub sender: Sender,
    /// The content.
    pub body: Body,
    /// Updates, each encoded by [`Update::encode`].
    pub updates: Vec<Vec<u8>>,
}

/// Information about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The member's own record.
    Alive(Record),
    /// A report by others.
    Report(Report),
}

/// A report about a member by others, or the member's own announcement that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The member.
    pub id: MemberId,
    /// The generation that the report is about.
    pub generation: Generation,
    /// The latest incarnation that the report covers.
    pub incarnation: u64,
    /// The reported state; never alive.
    pub state: State,
    /// Short ids of the witnesses.
    pub witnesses: Vec<u32>,
}

#[derive(Serialize, Deserialize)]
enum Item {
    Alive(Record),
    Report(Report),
}

impl Update {
    /// Encodes the update.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing these types to memory cannot fail.
        match self {
            Update::Alive(record) => {
                let mut bytes = postcard::to_stdvec(&Item::Alive(record.clone())).unwrap_or_default();
                bytes.extend_from_slice(&record.tail);
                bytes
            }
            Update::Report(report) => postcard::to_stdvec(&Item::Report(report.clone())).unwrap_or_default(),
        }
    }

    /// Decodes an update. Returns `None` if its kind is unknown or its content invalid.
    pub fn decode(bytes: &[u8]) -> Option<Update> {
        let (piece, rest) = postcard::take_from_bytes(bytes).ok()?;
        match piece {
            Item::Alive(mut record) if bytes.len() <= MAX_RECORD_BYTES => {
                record.tail = rest.to_vec();
                record.is_valid().then_some(Update::Alive(record))
            }
            Item::Report(report) if report.state != State::Alive && report.witnesses.len() <= 16 => {
                Some(Update::Report(report))
            }
            _ => None,
        }
    }
}

fn checksum(rest: &[u8]) -> [u8; CHECKSUM] {
    (xxh3_64(rest) as u32).to_le_bytes()
}

/// Bytes before the message.
fn header_len(cluster: &str) -> usize {
    CHECKSUM + 2 + cluster.len()
}

/// Encodes a datagram.
pub fn encode(cluster: &str, message: &Message) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    bytes.extend_from_slice(&[0; CHECKSUM]);
    bytes.extend_from_slice(&[VERSION, cluster.len() as u8]);
    bytes.extend_from_slice(cluster.as_bytes());
    let mut bytes = postcard::to_extend(message, bytes).unwrap_or_default();
    let sum = checksum(bytes.get(CHECKSUM..).unwrap_or_default());
    bytes.iter_mut().zip(sum).for_each(|(byte, s)| *byte = s);
    bytes
}

/// How many bytes of updates still fit into a datagram with this message.
pub(crate) fn remaining_bytes(cluster: &str, message: &Message) -> usize {
    let size = postcard::experimental::serialized_size(message).unwrap_or(MAX_DATAGRAM_BYTES);
    MAX_DATAGRAM_BYTES.saturating_sub(header_len(cluster) + size + 2)
}

/// Decodes a datagram. Trailing bytes come from newer programs and are ignored.
pub fn decode(cluster: &str, bytes: &[u8]) -> Result<Message, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::TooLong);
    }
    let (sum, rest) = bytes.split_at_checked(CHECKSUM).ok_or(DecodeError::Truncated)?;
    let [version, length, rest @ ..] = rest else { return Err(DecodeError::Truncated) };
    if sum != checksum(&bytes[CHECKSUM..]) {
        return Err(DecodeError::Checksum);
    }
    if *version != VERSION {
        return Err(DecodeError::Version);
    }
    let (name, rest) = rest.split_at_checked(usize::from(*length)).ok_or(DecodeError::Truncated)?;
    if name != cluster.as_bytes() {
        return Err(DecodeError::WrongCluster);
    }
    postcard::take_from_bytes(rest).map(|(message, _)| message).map_err(|_| DecodeError::UnknownMessage)
}
