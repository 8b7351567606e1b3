//! What nodes and the keeper say to each other, in postcard's encoding.

use crate::Allocation;
use serde::{Deserialize, Serialize};

/// So much at one worth.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandAtWorth {
    /// Of one request.
    pub worth: f32,
    /// Requests a second, or at once.
    pub amount: f32,
}

/// A grant that a node holds, or held last.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// Its keeper's.
    pub token: u64,
    /// Which of that keeper's.
    pub number: u64,
    /// How much.
    pub allocation: Allocation,
}

/// What a node needs of one limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The limit's id.
    pub limit: u64,
    /// By worth.
    pub demand: Vec<DemandAtWorth>,
    /// What it may be using now; none: nothing.
    pub held: Option<HeldGrant>,
    /// Requests that it has let in and that have not ended.
    pub in_flight: u32,
}

/// A node's question.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// The highest token that it has heard.
    pub highest_token: u64,
    /// One each limit.
    pub limits: Vec<LimitRequest>,
}

/// One grant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IssuedGrant {
    /// The limit's id.
    pub limit: u64,
    /// Which of this keeper's.
    pub number: u64,
    /// How much.
    pub allocation: Allocation,
}

/// The keeper's answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RenewalResponse {
    /// The keeper's.
    pub token: u64,
    /// At most one each limit.
    pub grants: Vec<IssuedGrant>,
}

impl RenewalRequest {
    /// Whether a peer may have meant it.
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
