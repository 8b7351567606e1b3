//! What candidates ask and voters answer.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Longest name of a lease, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A process, told apart from all others by a random draw at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CandidateId(pub u64);

/// What a lease is on: a name, and one of its slots. Slots are leases of their own: of k no more than k are held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    name: String,
    slot: u16,
}

/// Why a name is none.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a lease's name has to be 1 to {MAX_NAME_BYTES} visible ASCII characters")]
pub struct KeyError;

impl Key {
    /// A slot of a name, counted from 0.
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

/// A try for a lease. Its number is the token of what it is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Rises; no two grants of a key have the same.
    pub number: u64,
    /// Whose.
    pub candidate: CandidateId,
}

/// What a candidate wants of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Take no ballot of a lower number from now on.
    Prepare,
    /// Hold the lease to be mine for [`Terms::ttl`](crate::Terms::ttl) from now on. Also extends it.
    Propose,
    /// It is over, and no longer wanted.
    Release,
    /// A try is over without a majority; its candidate waits on.
    Yield,
}

/// A question to a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Of which lease.
    pub key: Key,
    /// Which try.
    pub ballot: Ballot,
    /// Tells an extension's answers from those to the one before it.
    pub sequence: u32,
    /// What.
    pub op: Op,
}

/// A voter's word on a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// To `Prepare`: so be it.
    Promised,
    /// To `Propose`: so be it.
    Accepted,
    /// Somebody else has it, or is about to, for so long by the voter's clock.
    Busy(Duration),
    /// Only ballots of higher numbers than this.
    BallotTooLow(u64),
    /// It started not long ago and grants nothing for so long.
    Abstaining(Duration),
    /// It belongs to another electorate or has other terms, whose sum this is.
    TermsMismatch(u64),
    /// It keeps as many leases as it may.
    Full,
    /// What was waited for is free: try now.
    Available,
}

/// A voter's answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Response {
    /// Of which lease.
    pub key: Key,
    /// To which try.
    pub ballot: Ballot,
    /// As asked.
    pub sequence: u32,
    /// To which wish of it.
    pub op: Op,
    /// What.
    pub reply: Reply,
}

/// What travels.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a voter, by a candidate that goes by terms of this sum.
    Request(u64, Request),
    /// Back.
    Response(Response),
}

impl Message {
    /// As it travels.
    pub fn encode(&self) -> Vec<u8> {
        // Nothing in these types can fail to be written to memory.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads one; none: it makes no sense. What follows it is a newer program's and skipped.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (message, _): (Message, _) = postcard::take_from_bytes(bytes).ok()?;
        let (Message::Request(_, Request { key, .. }) | Message::Response(Response { key, .. })) = &message;
        key.is_valid().then_some(message)
    }
}
