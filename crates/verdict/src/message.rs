//! Messages between nodes and the zone's leader, in postcard's encoding.

use crate::outcomes::AttemptCounts;
use serde::{Deserialize, Serialize};

/// A node's report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The highest version of the ejection list that the node has seen.
    pub known_version: (u64, u64),
    /// The number of servers on the node's list.
    pub listed: u32,
    /// Outcomes of its attempts, keyed by the hashes of the servers' names.
    pub counts: Vec<(u64, AttemptCounts)>,
}

/// A server that gets a reduced share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ejection {
    /// The hash of the server's name.
    pub server: u64,
    /// The most that it gets, in thousandths of a mean share.
    pub open: u16,
}

/// The leader's response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectionList {
    /// The leader's fencing token, and a count of lists under that token. The higher version counts.
    pub version: (u64, u64),
    /// The server with the strongest evidence first.
    pub ejections: Vec<Ejection>,
}
