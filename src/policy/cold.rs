//! Cold starts: the load that a recently started server may receive from this node.
//!
//! A server starts with a fraction of its capacity and gains the rest linearly. It fails if it receives more
//! than a configured multiple of its current capacity for a configured time. Nodes do not coordinate on this:
//! each node keeps its share low enough that all together stay within the budget, random variation included.

use crate::interface::Rules;
use std::collections::VecDeque;

/// Fraction of a cold server's budget that all nodes together may use.
const BUDGET_FRACTION: f64 = 0.5;
/// Standard deviations of random variation in the arriving work that are kept free within the budget.
const ARRIVAL_DEVIATIONS: f64 = 5.0;
/// Minimum load assumed for a warm server, because reports miss some of it.
const MIN_WARM_LOAD: f64 = 0.5;
/// Fraction of the latency target that a request's work may take on a cold server.
const LIGHT_FRACTION: f64 = 0.75;
/// Minimum fraction of all work that light requests are assumed to bring.
const MIN_LIGHT_WORK: f64 = 0.1;
/// Maximum number of cold servers among a request's candidates.
pub(crate) const MAX_COLD_PROBES: usize = 3;
/// Fraction of the budget that a single request may take.
const HEAVY_FRACTION: f64 = 0.25;

/// Whether a request with this work can be in time at a server of this warmth; others are not sent to cold
/// servers.
pub(crate) fn light(work: f64, aim: f64, warmth: f64) -> bool {
    warmth >= 1.0 || work <= LIGHT_FRACTION * aim * warmth
}

/// The current limit for what all nodes together may send to cold servers.
pub(crate) struct ColdBudget<'a> {
    rules: &'a Rules,
    /// Load of a warm server, relative to its capacity.
    load: f64,
    /// Works of recent requests in ascending order, each with the cumulative sum, in seconds.
    works: Vec<(f64, f64)>,
    /// Longest latency target of any class, in seconds.
    aim: f64,
}

impl<'a> ColdBudget<'a> {
    /// Computes the limit from the fleet's mean load and the works of recent requests; there may be none.
    pub(crate) fn new(rules: &'a Rules, mean_load: f64, works: &VecDeque<f64>, aim: f64) -> Self {
        let mut works: Vec<(f64, f64)> = works.iter().map(|w| (*w, 0.0)).collect();
        works.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut sum = 0.0;
        for w in &mut works {
            sum += w.0;
            w.1 = sum;
        }
        // Without reports, warm servers may be fully loaded.
        let load = if mean_load > 0.0 { mean_load.clamp(MIN_WARM_LOAD, 1.0) } else { 1.0 };
        ColdBudget { rules, load, works, aim }
    }

    /// Upper bound for a server's share relative to the mean share; infinite once it is warm.
    pub(crate) fn max_share(&self, warmth: f64) -> f64 {
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let budget = warmth * self.rules.fall_multiple;
        let Some(&(_, all)) = self.works.last() else { return budget * BUDGET_FRACTION / self.load };
        // The number of mean requests that fit into the budget. Arrivals are random: m expected ones can
        // become m + z √m.
        let mean_work = all / self.works.len() as f64;
        let fit = budget * self.rules.fall_time.as_secs_f64() / mean_work.max(1e-6);
        let mean =
            ((ARRIVAL_DEVIATIONS * ARRIVAL_DEVIATIONS / 4.0 + fit).sqrt() - ARRIVAL_DEVIATIONS / 2.0).powi(2);
        // Only light requests are sent there, which bring less work.
        let light_count = self.works.partition_point(|w| light(w.0, self.aim, warmth));
        let work_fraction = light_count.checked_sub(1).map_or(0.0, |k| self.works[k].1) / all.max(1e-9);
        budget * (mean / fit.max(1e-9)).min(BUDGET_FRACTION) / self.load / work_fraction.max(MIN_LIGHT_WORK)
    }
}

/// Whether one request with this work, in seconds, would use up too much of a cold server's budget.
pub(crate) fn too_heavy(rules: &Rules, warmth: f64, work: f64) -> bool {
    warmth < 1.0 && work >= HEAVY_FRACTION * rules.fall_multiple * rules.fall_time.as_secs_f64() * warmth
}

#[cfg(test)]
#[path = "tests/cold.rs"]
mod tests;
