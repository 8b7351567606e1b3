//! What nodes and the judge say to each other, in postcard's encoding.

use crate::outcomes::AttemptCounts;
use serde::{Deserialize, Serialize};

/// What a node says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The highest number that it has heard.
    pub known_version: (u64, u64),
    /// Servers on its list.
    pub listed: u32,
    /// What its attempts met, by the servers' names' hashes.
    pub counts: Vec<(u64, AttemptCounts)>,
}

/// How far a server stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ejection {
    /// Its name's hash.
    pub server: u64,
    /// Thousandths of a mean share.
    pub open: u16,
}

/// What the judge answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectionList {
    /// Token, and count under it: of two words the greater counts.
    pub version: (u64, u64),
    /// The worst first.
    pub ejections: Vec<Ejection>,
}
