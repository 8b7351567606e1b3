//! How many units of an account each node should hold: enough for some time ahead, and fewer as the balance falls.

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
    /// Units that may be spent beyond the prepaid balance.
    pub overdraft: u64,
    /// The account is shown as low below so many units.
    pub low: u64,
    /// A paused account resumes from so many units.
    pub resume: u64,
    /// For how long a node's allotment should last.
    pub ahead: Duration,
}

/// What a node needs of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeDemand {
    /// The demand of requests in units a second.
    pub units_per_s: f64,
    /// The highest price of a request that was rejected for lack of units since the last renewal.
    pub largest_rejected: u64,
    /// Units that it holds and has not spent.
    pub holds: u64,
}

/// Targets add up to at most this fraction of all units, so that allotments shrink with the balance.
const ALLOTTED_FRACTION: f64 = 0.5;
/// A node with a lower demand in units a second counts as idle.
const IDLE_UNITS_PER_S: f64 = 1e-3;

/// How many units each node should hold. `free` are the units that no node holds, overdraft included.
pub fn targets(terms: &AccountTerms, free: u64, nodes: &[NodeDemand]) -> Vec<u64> {
    let pool = nodes.iter().map(|node| node.holds).fold(free, u64::saturating_add);
    let mut targets = fair_targets(terms, pool, nodes);
    let mut left = pool - targets.iter().sum::<u64>().min(pool);
    // If fair shares are smaller than a request's price, give the last units whole to nodes that can use them.
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

/// How many of its units a node keeps: all, unless it has no traffic or others lack units.
pub fn units_to_keep(target: u64, node: &NodeDemand, others_lack: bool) -> u64 {
    if others_lack || node.units_per_s < IDLE_UNITS_PER_S {
        node.holds.min(target)
    } else {
        node.holds
    }
}

#[cfg(test)]
mod tests;
