//! The market: the price of each server's load, and the share of the requests that each server gets for it.
//!
//! Prices move by a projected dual step on reported load; shares maximise concave utility, weighted by speed,
//! less price (symbols: `docs/design/core.md`). All values are scaled by the number n of ready servers:
//! price = φ/n, lambda = λ/n, speed = ζ/n (mean 1) and share = η·n (sum n). Constants therefore do not depend
//! on the size of the fleet.

mod prices;
mod shares;

pub(crate) use prices::{record_failure, record_latency, record_report, step};
pub(crate) use shares::solve_classes;

use super::cold;
use crate::interface::Time;
use crate::state::{Balancer, ShareInput};
use std::cell::LazyCell;
use std::time::Duration;

// Units: time in seconds, loads in server capacities, prices and speeds relative to the fleet's mean.
/// Time between price steps: well below the age of any report, so that shorter steps make no difference.
const TICK: f64 = 0.05;
/// Time for which a report moves the price, if reports are frequent.
pub(crate) const REPORT_LIFE: f64 = 0.5;
/// Time constant with which the price of a server without reports drifts to the market price, and its speed
/// to the mean.
const DRIFT: f64 = 6.0;
/// Time over which listed weights are smoothed.
const WEIGHT_SMOOTHING: f64 = 12.0;
/// Price increase per failure: enough to close a server of mean price and speed.
const FAILED_PRICE: f64 = 0.5;
/// Price per own attempt in flight at a server, relative to the number usual there.
const OWN_ATTEMPT_PRICE: f64 = 1.0;
/// Minimum of price + lambda: keeps failing servers nearly closed when bounds leave no capacity.
const MIN_PRICE: f64 = 0.1;
/// Typical latencies after which an unanswered attempt counts as load ...
pub(crate) const OVERDUE_LATENCIES: f64 = 2.5;
/// ... and the load above 1 that a saturated, full or timed-out server counts for.
pub(crate) const EXCESS_LOAD: f64 = 0.5;
/// Weight of the fleet's mean speed, in samples, without and with reported rates.
const SPEED_PRIOR: [f64; 2] = [8.0, 0.3];
/// Fraction of its measured capacity that is requested of a server; reports miss the rest.
const ADMITTED_CAPACITY: f64 = 0.72;
/// Fraction of the mean capacity assumed for a server without reports.
const UNKNOWN_CAPACITY: f64 = 0.4;
/// Time constant with which connection failures are forgotten.
const CONNECT_FAILURE_MEMORY: f64 = 24.0;
/// Window for the rates of arrivals and sends.
pub(crate) const RATE_WINDOW: f64 = 1.0;
/// Window for this node's share of the fleet's traffic.
pub(crate) const FLEET_SHARE_WINDOW: f64 = 10.0;

/// Result of updating the shares.
pub(crate) struct Solved {
    /// By class that stands for a placement: the fraction of arrivals for which no server has capacity.
    pub unplaced: Vec<f64>,
    /// Seconds since the previous update.
    pub dt: f64,
    /// Whether the capacities of servers are measured, so that they bound the shares.
    pub known: bool,
}

/// Updates prices and shares; `None` if that was done within the current tick.
pub(crate) fn solve(b: &mut Balancer, now: Time) -> Option<Solved> {
    let dt = b.solved_at.map_or(TICK, |at| (now - at).as_secs_f64());
    if dt < TICK || b.ready.is_empty() {
        return None;
    }
    b.solved_at = Some(now);
    b.connect_failures.iter_mut().for_each(|part| *part *= 1.0 - (dt / CONNECT_FAILURE_MEMORY).min(1.0));
    let n = b.ready.len() as f64;
    let [mut price, mut load, mut loads, mut speed, mut speeds, mut weight] = [0.0; 6];
    for k in 0..b.ready.len() {
        let i = b.ready[k];
        step(b, i, now);
        let s = &mut b.servers[i];
        // Weights that follow load are outdated when they arrive; only their mean is informative.
        s.weight += (s.listed_weight - s.weight)
            * (dt / (now - s.first_listed).as_secs_f64().min(WEIGHT_SMOOTHING).max(dt)).min(1.0);
        price += s.price / n;
        weight += s.weight / n;
        // Old reports lose weight in the fleet's mean load, because a fleet that rejects much gets few
        // reports.
        if let Some(l) = s.load {
            let recency = (b.report_life - (now - s.reported_at).as_secs_f64()).min(0.0).exp();
            load += l * recency;
            loads += recency;
        }
        if (now - s.speed_updated).as_secs_f64() > DRIFT / 2.0 {
            s.samples *= 1.0 - (dt / DRIFT).min(1.0);
        }
        speed += s.speed * s.samples;
        speeds += s.samples;
    }
    b.mean_price = price;
    b.mean_load = if loads > 0.01 { load / loads } else { 0.0 };
    b.mean_speed = if speeds > 0.0 { speed / speeds } else { 1.0 };
    let flows: Vec<f64> = b.markets.iter_mut().map(|m| m.arrivals.add(now, 0.0)).collect();
    let total_flow = flows.iter().sum::<f64>().max(1e-9);
    let known = b.settings.reports_rate && speeds > 0.0;
    let prior = SPEED_PRIOR[usize::from(b.settings.reports_rate)];
    let own_price = if b.settings.reports_rate { 0.0 } else { OWN_ATTEMPT_PRICE };
    let ready = b.ready.iter().map(|&i| &b.servers[i]);
    let (in_flight, shares) =
        ready.fold((0.0, 1e-9), |sum, s| (sum.0 + s.in_flight.len() as f64, sum.1 + s.recent_share));
    // Sorts the recent works, so it is computed only if a server is cold.
    let budget = LazyCell::new(|| {
        let longest = b.settings.classes.iter().map(|c| c.aim.as_secs_f64()).fold(0.0, f64::max);
        cold::ColdBudget::new(&b.settings.rules, b.mean_load, &b.works, longest)
    });
    let silence_limit = Duration::from_secs_f64(OVERDUE_LATENCIES * b.latency);
    let aperture_active = b.markets.iter().any(|m| m.aperture_active);
    let inputs = b.ready.iter().map(|&i| {
        let s = &b.servers[i];
        let relative_speed = if b.settings.use_listed_weights {
            s.weight / weight
        } else {
            (s.speed / b.mean_speed * s.samples + prior) / (s.samples + prior)
        };
        let speed = relative_speed * s.weight_factor.powf(s.weight_confidence);
        // A node requests no more of a server than its own part of the server's capacity (the paper's local
        // constraint, eq. 10). Otherwise shares concentrate on one cheap server and overload it.
        let mut max_share = if s.share_limit < 1.0 { s.share_limit } else { f64::INFINITY };
        if known {
            let capacity = if s.samples > 0.0 { s.speed } else { b.mean_speed * UNKNOWN_CAPACITY };
            max_share = max_share.min(ADMITTED_CAPACITY * capacity * b.fleet_share * n / total_flow);
        }
        // A cold server fails if all nodes send to it at once: its share stays within a fraction of what the
        // rules allow, relative to the load of a warm server.
        let warmth = s.warmth(&b.settings.rules, now);
        if warmth < 1.0 {
            max_share = max_share.min(budget.max_share(warmth));
        }
        // Reports lag; the node's own attempts in flight beyond the usual number are known at once.
        let usual = in_flight * s.recent_share / shares;
        let price = s.price + own_price * (s.in_flight.len() as f64 - usual) / (usual + 1.0);
        // While new connections fail, a server without an open one costs more.
        let connect_failure = if known { 0.0 } else { b.connect_failure(s, now) };
        // Without fresh probes, an unresponsive server is closed at once: timeouts come too late.
        let silence_price =
            if aperture_active && s.unresponsive(now, silence_limit) { FAILED_PRICE } else { 0.0 };
        ShareInput { price: price + connect_failure + silence_price, speed: speed.max(0.01), max_share }
    });
    let inputs: Vec<ShareInput> = inputs.collect();
    let floor = if known { MIN_PRICE } else { 0.0 };
    let unplaced = solve_classes(b, &inputs, &flows, floor, (now, dt));
    Some(Solved { unplaced, dt, known })
}

#[cfg(test)]
#[path = "../tests/market.rs"]
mod tests;
