//! Messages between nodes and the leader, in postcard's encoding.

use serde::{Deserialize, Serialize};

/// A node's report: the latencies of its requests at each server since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The highest version of the weights that the node has seen.
    pub known_version: (u64, u64),
    /// Encoded latency sketches, keyed by the hashes of the servers' names. Only servers that accept new requests, have warmed up and are
    /// not ejected are included.
    pub sketches: Vec<(u64, Vec<u8>)>,
}

/// One server's weight.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weight {
    /// The hash of the server's name.
    pub server: u64,
    /// The weight, relative to the mean.
    pub weight: f32,
}

/// The leader's response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightList {
    /// The leader's fencing token, and a count of lists under that token.
    pub version: (u64, u64),
    /// If empty, nodes use their own estimates.
    pub weights: Vec<Weight>,
}
