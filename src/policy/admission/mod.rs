//! Admission control: when servers are full, requests worth less per unit of work than a threshold are
//! rejected.

mod shedding;
mod threshold;

pub(crate) use shedding::record_outcome;

use super::estimate;
use super::market::{self, Solved};
use crate::interface::{Arrival, ClassId, Refusal, Time};
use crate::state::Balancer;

/// Window of tenants' rates in seconds: at low rates a shorter window would measure only noise.
pub(crate) const TENANT_WINDOW: f64 = 5.0;
/// Mean loads up to which servers have spare capacity, and from which they have none.
const SCARCITY_LOADS: [f64; 2] = [0.8, 1.5];
/// Minimum chance of an answer in time at the first of these loads and at the second.
const MIN_CHANCE: [f64; 2] = [0.3, 0.6];
/// Number of recent arrivals whose work determines which requests are light.
const RECENT_WORKS: usize = 64;

/// Updates prices, shares and admission thresholds; at most once per tick, before a draw.
pub(crate) fn refresh(b: &mut Balancer, now: Time) {
    let Some(Solved { unplaced, dt, known }) = market::solve(b, now) else { return };
    for (c, unplaced) in unplaced.into_iter().enumerate() {
        if c == b.markets[c].representative {
            let shed = shedding::shed(b, now, c, dt);
            threshold::set(b, c, shed.max(unplaced));
        }
    }
    if known {
        b.learn_fleet_share(now, dt, market::FLEET_SHARE_WINDOW);
    }
}

/// Whether a request is rejected on arrival: it cannot be answered in time, or its worth is below the
/// threshold.
pub(crate) fn rejects(b: &mut Balancer, now: Time, a: &Arrival, class: ClassId) -> bool {
    let (worth, expected_work) = threshold::worth(b, now, class, a.tenant);
    refresh(b, now);
    let threshold = b.markets[b.markets[usize::from(class.0)].representative].threshold;
    // Work longer than the latency target can only be late and takes capacity from requests that can be in
    // time.
    let work = a.work.map(|w| w.as_secs_f64());
    let idle = |w| estimate::idle_estimate(w).chance_in_time(w, b.aim(class, work));
    let infeasible = work.is_some_and(|w| idle(w) < min_chance(b));
    b.record_work(class, work, infeasible, RECENT_WORKS);
    let total_worth =
        worth * if b.settings.worth_by_work { work.unwrap_or(b.mean_work) } else { expected_work };
    b.mean_worth += (total_worth - b.mean_worth) * if b.mean_worth > 0.0 { 1.0 / 64.0 } else { 1.0 };
    let below_threshold = a.remaining.is_zero() || b.random() * worth < threshold;
    if let Some(r) = b.requests.get_mut(&a.request) {
        r.worth = total_worth / b.mean_worth.max(1e-9);
        r.why = [Refusal::NoServer, Refusal::BelowThreshold, Refusal::Infeasible]
            [usize::from(below_threshold).max(2 * usize::from(infeasible))];
    }
    infeasible || below_threshold
}

/// The minimum chance of an answer in time for a request to be sent: low while servers are idle, and high
/// when they are full.
pub(crate) fn min_chance(b: &Balancer) -> f64 {
    let scarcity =
        ((b.mean_load - SCARCITY_LOADS[0]) / (SCARCITY_LOADS[1] - SCARCITY_LOADS[0])).clamp(0.0, 1.0);
    MIN_CHANCE[0] + (MIN_CHANCE[1] - MIN_CHANCE[0]) * scarcity
}

#[cfg(test)]
#[path = "../tests/admission.rs"]
mod tests;
