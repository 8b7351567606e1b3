//! What is let in: each request's worth against a toll that turns away the least worth when servers are full.

mod shedding;
mod threshold;

pub(crate) use shedding::met;

use super::estimate;
use super::market::{self, Solved};
use crate::interface::{Arrival, ClassId, Refusal, Time};
use crate::state::Balancer;

pub(crate) const TENANT_WINDOW: f64 = 5.0; // s for tenants: at low rates a shorter one is all chance
const SPARE: [f64; 2] = [0.8, 1.5]; // mean load up to which servers have room, and from which they have none
const LEAST_CHANCE: [f64; 2] = [0.3, 0.6]; // least chance up to there, and where all servers are full
const WORKS: usize = 64; // recent arrivals whose works tell what is light

/// Brings prices, shares and the tolls that follow from them up to date, once a tick, when a draw is due.
pub(crate) fn refresh(b: &mut Balancer, now: Time) {
    let Some(Solved { unplaced, dt, known }) = market::solve(b, now) else { return };
    for (c, unplaced) in unplaced.into_iter().enumerate() {
        if c == b.markets[c].leader {
            let shed = shedding::shed(b, now, c, dt);
            threshold::clear(b, c, shed.max(unplaced));
        }
    }
    if known {
        b.learn_part(now, dt, market::PART_WINDOW);
    }
}

/// Whether a request is turned away at the door: it can't be in time, or its worth is not worth a place now.
pub(crate) fn turned_away(b: &mut Balancer, now: Time, a: &Arrival, class: ClassId) -> bool {
    let (worth, takes) = threshold::worth(b, now, class, a.tenant);
    refresh(b, now);
    let toll = b.markets[b.markets[usize::from(class.0)].leader].toll;
    // Work beyond the aim can only be late, and takes room from work that can be in time.
    let work = a.work.map(|w| w.as_secs_f64());
    let idle = |w| estimate::alone(w).in_time(w, b.aim(class, work));
    let hopeless = work.is_some_and(|w| idle(w) < least_chance(b));
    b.note(class, work, hopeless, WORKS);
    let whole = worth * if b.settings.worth_by_work { work.unwrap_or(b.mean_work) } else { takes };
    b.mean_worth += (whole - b.mean_worth) * if b.mean_worth > 0.0 { 1.0 / 64.0 } else { 1.0 };
    let tolled = a.remaining.is_zero() || b.random() * worth < toll;
    if let Some(r) = b.requests.get_mut(&a.request) {
        r.worth = whole / b.mean_worth.max(1e-9);
        r.why = [Refusal::NoServer, Refusal::BelowThreshold, Refusal::Infeasible]
            [usize::from(tolled).max(2 * usize::from(hopeless))];
    }
    hopeless || tolled
}

/// The least chance of being in time for which a request is given a server: whatever has any while servers
/// stand idle, and only what surely makes it when they are full.
pub(crate) fn least_chance(b: &Balancer) -> f64 {
    let scarce = ((b.mean_load - SPARE[0]) / (SPARE[1] - SPARE[0])).clamp(0.0, 1.0);
    LEAST_CHANCE[0] + (LEAST_CHANCE[1] - LEAST_CHANCE[0]) * scarce
}

#[cfg(test)]
#[path = "../tests/admission.rs"]
mod tests;
