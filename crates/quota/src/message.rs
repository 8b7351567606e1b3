//! Messages between nodes and the leader, in postcard's encoding.

use crate::Allocation;
use serde::{Deserialize, Serialize};

/// Demand for requests of one worth.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandAtWorth {
    /// The worth of one request.
    pub worth: f32,
    /// Requests a second, or in flight.
    pub amount: f32,
}

/// A grant that a node holds, or held last.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// The fencing token of the leader that issued it.
    pub token: u64,
    /// Its number among that leader's grants.
    pub number: u64,
    /// What it allows.
    pub allocation: Allocation,
}

/// What a node requests of one limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The limit's id.
    pub limit: u64,
    /// Demand by worth.
    pub demand: Vec<DemandAtWorth>,
    /// The grant that the node may be using now.
    pub held: Option<HeldGrant>,
    /// Requests that it has admitted and that have not ended.
    pub in_flight: u32,
}

/// A node's renewal of all its grants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// The highest fencing token that the node has seen.
    pub highest_token: u64,
    /// One for each limit.
    pub limits: Vec<LimitRequest>,
}

/// A grant as the leader issues it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IssuedGrant {
    /// The limit's id.
    pub limit: u64,
    /// Its number among this leader's grants.
    pub number: u64,
    /// What it allows.
    pub allocation: Allocation,
}

/// The leader's response to a renewal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RenewalResponse {
    /// The leader's fencing token.
    pub token: u64,
    /// At most one for each limit.
    pub grants: Vec<IssuedGrant>,
}

impl RenewalRequest {
    /// Whether all numbers are in the range that a peer may send.
    pub fn is_valid(&self) -> bool {
        self.limits.iter().all(|l| {
            let demand_valid = l
                .demand
                .iter()
                .all(|w| w.worth.is_finite() && w.amount.is_finite() && w.worth >= 0.0 && w.amount >= 0.0);
            demand_valid && l.held.is_none_or(|h| h.allocation.is_valid())
        })
    }
}
