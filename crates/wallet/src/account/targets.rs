//! How many units of an account each node should hold: enough for a while ahead, and fewer as the balance falls.

use crate::price::Prices;
use birchswitch_quota::fair_share::max_min_fair;
use std::time::Duration;

/// The terms of one account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountTerms {
    /// The tenant's name.
    pub account: String,
    /// Prices of requests.
    pub prices: Prices,
    /// Units that may be spent beyond what was prepaid.
    pub overdraft: u64,
    /// Operators are warned below so many units.
    pub low: u64,
    /// A paused account resumes from so many units.
    pub resume: u64,
    /// For how long a node's allotment should last.
    pub ahead: Duration,
}

/// What a node needs of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeDemand {
    /// Units a second that requests ask for.
    pub units_per_s: f64,
    /// The price of the dearest request that was rejected for want of units since the last renewal.
    pub largest_rejected: u64,
    /// Units that it holds and has not spent.
    pub holds: u64,
}

/// The fraction of all units that targets add up to at the most, so that allotments shrink as the balance does.
const ALLOTTED_FRACTION: f64 = 0.5;
/// A node that is asked for fewer units a second has no traffic.
const IDLE_UNITS_PER_S: f64 = 1e-3;

/// What each node should hold. `free` are the units that no node holds, overdraft included.
pub fn targets(terms: &AccountTerms, free: u64, nodes: &[NodeDemand]) -> Vec<u64> {
    let pool = nodes.iter().map(|node| node.holds).fold(free, u64::saturating_add);
    let mut targets = fair_targets(terms, pool, nodes);
    let mut left = pool - targets.iter().sum::<u64>().min(pool);
    // Where a fair share is less than a request's price, the last units go whole to nodes that can use them.
    let mut rejecting: Vec<usize> = (0..nodes.len()).filter(|n| nodes[*n].largest_rejected > 0).collect();
    rejecting.sort_by(|a, b| nodes[*b].holds.cmp(&nodes[*a].holds).then(a.cmp(b)));
    for n in rejecting {
        let missing = nodes[n].largest_rejected.saturating_sub(targets[n]);
        if missing <= left {
            targets[n] += missing;
            left -= missing;
        }
    }
    targets
}

/// Max-min fair shares of the part of the pool that may be allotted.
fn fair_targets(terms: &AccountTerms, pool: u64, nodes: &[NodeDemand]) -> Vec<u64> {
    let ahead = terms.ahead.as_secs_f64();
    let wanted = |node: &NodeDemand| (node.units_per_s * ahead).ceil().max(node.largest_rejected as f64);
    let wanted: Vec<f64> = nodes.iter().map(wanted).collect();
    let shares = max_min_fair(pool as f64 * ALLOTTED_FRACTION, &wanted);
    shares.iter().map(|share| share.floor() as u64).collect()
}

/// How many units a node keeps of what it holds: all, unless it has no traffic or others lack units.
pub fn units_to_keep(target: u64, node: &NodeDemand, others_lack: bool) -> u64 {
    if others_lack || node.units_per_s < IDLE_UNITS_PER_S {
        node.holds.min(target)
    } else {
        node.holds
    }
}

#[cfg(test)]
mod tests;
