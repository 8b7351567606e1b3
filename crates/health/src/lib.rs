//! Health checks of servers, made by one node on behalf of its fleet. No I/O, no clock and no
//! global state.
//!
//! Without this crate, every node that uses a server keeps probing it after it falls silent. Here
//! one node probes for all ([`ProbeScheduler`]) and reports the silent servers; the others suppress
//! their own probes of those ([`ProbeSuppressor`]).
//!
//! Guarantees:
//!
//! 1. **A node's own observations take precedence.** A probe is suppressed only if the server was
//!    silent when this node last contacted it. Servers that only the probing node cannot reach stay
//!    in use by the others.
//! 2. **Reports do not hold forever.** A node probes a server itself at the latest after
//!    [`MAX_SUPPRESSION`], whatever was reported.
//! 3. **Only silence is ever assumed**: a suppressed probe ends as unanswered, like the last one
//!    did.
//! 4. **Memory is bounded** by the list of servers, and reports by [`MAX_REPORTED`].

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod scheduler;
mod suppressor;

pub use scheduler::{ProbeIntervals, ProbeScheduler};
pub use suppressor::ProbeSuppressor;

use std::time::Duration;

/// A point in time on a monotonic clock that the caller provides, relative to any origin.
pub type Time = Duration;

/// Most servers in a report, limited by the size of a member's values. Further servers are probed
/// by all nodes, as without this crate.
pub const MAX_REPORTED: usize = 44;
/// A node probes a server itself after this time, whatever was reported.
pub const MAX_SUPPRESSION: Duration = Duration::from_secs(30);

/// Identifies a server in reports by a part of the hash of its name, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShortId(pub u32);

impl ShortId {
    /// The short id for a name's hash. Two servers rarely share one, and then only a probe is
    /// suppressed, for which guarantee 2 makes up.
    pub fn of(name: u64) -> Self {
        ShortId((name >> 32) as u32)
    }
}

/// Encodes a report of silent servers.
pub fn encode(silent: impl Iterator<Item = ShortId>) -> Vec<u8> {
    let list: Vec<[u8; 4]> = silent.take(MAX_REPORTED).map(|s| s.0.to_le_bytes()).collect();
    // A list of at most [`MAX_REPORTED`] four-byte values: encoding cannot fail.
    postcard::to_stdvec(&list).unwrap_or_default()
}

/// Decodes another node's report; empty if it is invalid.
pub fn decode(bytes: &[u8]) -> Vec<ShortId> {
    let list: Vec<[u8; 4]> = postcard::from_bytes(bytes).unwrap_or_default();
    list.into_iter().take(MAX_REPORTED).map(|s| ShortId(u32::from_le_bytes(s))).collect()
}
