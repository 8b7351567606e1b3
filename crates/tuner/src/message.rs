//! What nodes and the tuner say to each other, in postcard's encoding.

use serde::{Deserialize, Serialize};

/// What a node says: what its requests took at each server since it last said so.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The highest number that it has heard.
    pub known_version: (u64, u64),
    /// By the servers' names' hashes: only those that take new requests, are warm and are not withheld.
    pub sketches: Vec<(u64, Vec<u8>)>,
}

/// One server's weight.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weight {
    /// Its name's hash.
    pub server: u64,
    /// Relative to the mean.
    pub weight: f32,
}

/// What the tuner answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightList {
    /// Token, and count under it.
    pub version: (u64, u64),
    /// None: nodes go by their own estimates.
    pub weights: Vec<Weight>,
}
