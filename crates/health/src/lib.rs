//! Whether servers answer, asked by one node for all of its fleet. No I/O, no clock, no globals.
//!
//! A server that fell silent is asked again and again by every node that deals with it. Here one node asks for all
//! ([`ProbeScheduler`]) and tells who is silent; the others spare their own questions to those ([`ProbeSuppressor`]).
//!
//! What it claims:
//!
//! 1. **Nobody believes a word against its own eyes.** A question is spared only to a server whose last sign to this node was
//!    silence. Whom the one node can't reach and others can, they go on using.
//! 2. **No word holds for ever.** A node asks by itself at the latest every [`OWN`], whatever it was told.
//! 3. **No answer is made up but silence**: a spared question ends as one that met nobody, as it last did.
//! 4. **Memory is bounded** by the list of servers, and what is told by [`TOLD`].

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod scheduler;
mod suppressor;

pub use scheduler::{ProbeIntervals, ProbeScheduler};
pub use suppressor::ProbeSuppressor;

use std::time::Duration;

/// A point on a monotonic clock of the caller's, from any origin.
pub type Time = Duration;

/// Most servers that are told of: what a member's values have room for. Of more the rest is asked by all, as without this.
pub const MAX_REPORTED: usize = 44;
/// A node asks a server by itself after this time, whatever it was told.
pub const MAX_SUPPRESSION: Duration = Duration::from_secs(30);

/// A server as it is told of: a part of the hash of its name, the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShortId(pub u32);

impl ShortId {
    /// Of a name's hash. Two servers share one in so few fleets, and then only a question is spared that claim 2 makes up for.
    pub fn of(name: u64) -> Self {
        ShortId((name >> 32) as u32)
    }
}

/// What is told of silent servers, as bytes.
pub fn encode(silent: impl Iterator<Item = ShortId>) -> Vec<u8> {
    let list: Vec<[u8; 4]> = silent.take(MAX_REPORTED).map(|s| s.0.to_le_bytes()).collect();
    // Four bytes each and their number: it can't fail.
    postcard::to_stdvec(&list).unwrap_or_default()
}

/// What another told; nothing where that can't be read.
pub fn decode(bytes: &[u8]) -> Vec<ShortId> {
    let list: Vec<[u8; 4]> = postcard::from_bytes(bytes).unwrap_or_default();
    list.into_iter().take(MAX_REPORTED).map(|s| ShortId(u32::from_le_bytes(s))).collect()
}
