//! Datagrams: a checksum, the format's version, the cluster's name, and a message in postcard's format.
//!
//! What may change: fields appended to [`Message`]'s end and to a record's are skipped by programs that don't know them, and
//! a record's are passed on; new kinds of news are skipped one by one. Anything else is a new [`VERSION`].

use crate::member::{Generation, MemberId, Record, State, RECORD_MOST};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Version of the format.
pub const VERSION: u8 = 1;
/// Longest datagram that is sent or read.
pub const LONGEST: usize = 1200;
/// Bytes of the checksum, the low half of XXH3 over what follows it, little endian.
const CHECKSUM: usize = 4;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Dropped {
    /// Empty, or cut before the message.
    #[error("cut short")]
    Short,
    /// Longer than any that members send.
    #[error("longer than {LONGEST} bytes")]
    Long,
    /// Changed on its way, or never one of ours.
    #[error("wrong checksum")]
    Checksum,
    /// Of another version of the format.
    #[error("another version")]
    Version,
    /// Of another cluster.
    #[error("another cluster")]
    Foreign,
    /// None of the messages of this version.
    #[error("no known message")]
    Unknown,
}

/// Who sends, with each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Its name's id.
    pub id: MemberId,
    /// Which process under that name.
    pub generation: Generation,
    /// Its incarnation as it speaks.
    pub incarnation: u64,
}

/// How a sender holds whom it writes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The life it knows.
    pub generation: Generation,
    /// The incarnation it knows.
    pub incarnation: u64,
    /// In which state.
    pub state: State,
}

/// What a message wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Answer with an `Ack` of the same number.
    Ping {
        /// Names the round.
        seq: u32,
        /// Who is meant.
        target: MemberId,
        /// How the sender holds it.
        held: Held,
    },
    /// The answer to a `Ping`.
    Ack {
        /// The ping's.
        seq: u32,
    },
    /// Ping that one for me.
    Relay {
        /// Names the round.
        seq: u32,
        /// Who is meant.
        target: MemberId,
        /// Where it is.
        address: SocketAddr,
        /// How the sender holds it.
        held: Held,
        /// It was in vain before: whoever finds it silent too goes on looking.
        again: bool,
    },
    /// I did, and it answered.
    Vouch {
        /// The relay's.
        seq: u32,
        /// Which process answered.
        generation: Generation,
        /// With which incarnation.
        incarnation: u64,
    },
    /// I did, and heard nothing.
    Nack {
        /// The relay's.
        seq: u32,
    },
    /// Take me in; the record is in the news. Padded, so that the answer is no longer than the question.
    Join {
        /// Nothing.
        padding: Vec<u8>,
    },
    /// Some of the members, in the news.
    Welcome,
    /// What I hold, in sums over parts of all ids; tell me where you differ.
    Digest {
        /// 256 bytes: 64 sums of four bytes, little endian.
        sums: Vec<u8>,
        /// Sent for a digest, and wants none back.
        back: bool,
    },
    /// What I hold where we differ, in the news.
    Records,
    /// For another part of the program: membership reads none of it.
    Payload {
        /// Which part.
        lane: u8,
        /// Its own.
        bytes: Vec<u8>,
    },
}

/// A message. News are separate pieces, so that one of an unknown kind costs that one alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub sender: Sender,
    /// What it wants.
    pub body: Body,
    /// Pieces of news, each as [`Update::encode`] makes it.
    pub updates: Vec<Vec<u8>>,
}

/// One statement on a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// It says of itself that it lives.
    Alive(Record),
    /// Somebody says so of it.
    Report(Report),
}

/// A statement on a member by others, or its farewell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Of whom.
    pub id: MemberId,
    /// Of which life.
    pub generation: Generation,
    /// Up to which incarnation.
    pub incarnation: u64,
    /// What; never alive.
    pub state: State,
    /// Who witnessed it, in short.
    pub witnesses: Vec<u32>,
}

#[derive(Serialize, Deserialize)]
enum Piece {
    Alive(Record),
    Report(Report),
}

impl Update {
    /// As it travels.
    pub fn encode(&self) -> Vec<u8> {
        // Nothing in these types can fail to be written to memory.
        match self {
            Update::Alive(record) => {
                let mut bytes = postcard::to_stdvec(&Piece::Alive(record.clone())).unwrap_or_default();
                bytes.extend_from_slice(&record.tail);
                bytes
            }
            Update::Report(said) => postcard::to_stdvec(&Piece::Report(said.clone())).unwrap_or_default(),
        }
    }

    /// Reads a piece; none if it is of no kind that this version knows or makes no sense.
    pub fn decode(bytes: &[u8]) -> Option<Update> {
        let (piece, rest) = postcard::take_from_bytes(bytes).ok()?;
        match piece {
            Piece::Alive(mut record) if bytes.len() <= RECORD_MOST => {
                record.tail = rest.to_vec();
                record.sound().then_some(Update::Alive(record))
            }
            Piece::Report(said) if said.state != State::Alive && said.witnesses.len() <= 16 => {
                Some(Update::Report(said))
            }
            _ => None,
        }
    }
}

fn checksum(rest: &[u8]) -> [u8; CHECKSUM] {
    (xxh3_64(rest) as u32).to_le_bytes()
}

/// Bytes before the message.
fn front(cluster: &str) -> usize {
    CHECKSUM + 2 + cluster.len()
}

/// A datagram.
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

/// How many bytes of news still go into a datagram beside this body.
pub(crate) fn room(cluster: &str, message: &Message) -> usize {
    let size = postcard::experimental::serialized_size(message).unwrap_or(LONGEST);
    LONGEST.saturating_sub(front(cluster) + size + 2)
}

/// Reads a datagram; what follows the message is a newer program's and skipped.
pub fn decode(cluster: &str, bytes: &[u8]) -> Result<Message, Dropped> {
    if bytes.len() > LONGEST {
        return Err(Dropped::Long);
    }
    let (sum, rest) = bytes.split_at_checked(CHECKSUM).ok_or(Dropped::Short)?;
    let [version, length, rest @ ..] = rest else { return Err(Dropped::Short) };
    if sum != checksum(&bytes[CHECKSUM..]) {
        return Err(Dropped::Checksum);
    }
    if *version != VERSION {
        return Err(Dropped::Version);
    }
    let (name, rest) = rest.split_at_checked(usize::from(*length)).ok_or(Dropped::Short)?;
    if name != cluster.as_bytes() {
        return Err(Dropped::Foreign);
    }
    postcard::take_from_bytes(rest).map(|(message, _)| message).map_err(|_| Dropped::Unknown)
}
