//! Messages between candidates and voters.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Longest name of a lease, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Identifies a candidate by a number drawn at random when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CandidateId(pub u64);

/// The key of a lease: a name and one of its slots. Each slot is a lease of its own, so a name with
/// k slots has at most k holders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    name: String,
    slot: u16,
}

/// An invalid lease name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a lease's name has to be 1 to {MAX_NAME_BYTES} visible ASCII characters")]
pub struct KeyError;

impl Key {
    /// The key of a slot, counted from 0.
    pub fn new(name: &str, slot: u16) -> Result<Self, KeyError> {
        let key = Key { name: name.to_owned(), slot };
        key.is_valid().then_some(key).ok_or(KeyError)
    }

    /// The name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The slot.
    pub fn slot(&self) -> u16 {
        self.slot
    }

    fn is_valid(&self) -> bool {
        (1..=MAX_NAME_BYTES).contains(&self.name.len()) && self.name.bytes().all(|b| b.is_ascii_graphic())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.slot)
    }
}

/// A ballot, as in Paxos. Its number becomes the token of the lease it is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases; no two grants of a key have the same number.
    pub number: u64,
    /// The candidate that owns the ballot.
    pub candidate: CandidateId,
}

/// The operations that a candidate requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Promise to accept no lower ballot from now on.
    Prepare,
    /// Grant the lease for [`Terms::ttl`](crate::Terms::ttl) from now on. Also renews it.
    Propose,
    /// The lease is released, or no longer wanted.
    Release,
    /// An attempt found no majority and is withdrawn; its candidate keeps waiting.
    Yield,
}

/// A request to a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// The requested lease.
    pub key: Key,
    /// The candidate's ballot.
    pub ballot: Ballot,
    /// Tells the responses to a renewal from those to an earlier one.
    pub sequence: u32,
    /// The requested operation.
    pub op: Op,
}

/// A voter's reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// `Prepare` succeeded.
    Promised,
    /// `Propose` succeeded.
    Accepted,
    /// Another candidate holds the lease or is about to, for this long on the voter's clock.
    Busy(Duration),
    /// Only ballots above this number are considered.
    BallotTooLow(u64),
    /// The voter started recently and abstains for this long.
    Abstaining(Duration),
    /// The voter uses other terms; this is their checksum.
    TermsMismatch(u64),
    /// The voter has no room for more leases.
    Full,
    /// A lease that the candidate waits for is available: retry now.
    Available,
}

/// A voter's response.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Response {
    /// The requested lease.
    pub key: Key,
    /// The ballot of the request.
    pub ballot: Ballot,
    /// The sequence number of the request.
    pub sequence: u32,
    /// The operation of the request.
    pub op: Op,
    /// The reply.
    pub reply: Reply,
}

/// A message between candidates and voters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// From a candidate to a voter, with the checksum of the candidate's terms.
    Request(u64, Request),
    /// From a voter to a candidate.
    Response(Response),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing these types to memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` if it is invalid. Trailing bytes come from newer programs and are
    /// ignored.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (message, _): (Message, _) = postcard::take_from_bytes(bytes).ok()?;
        let (Message::Request(_, Request { key, .. }) | Message::Response(Response { key, .. })) = &message;
        key.is_valid().then_some(message)
    }
}
