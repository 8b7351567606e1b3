//! How the price of a server moves with its reported load, its failures, and its overdue attempts.

use super::{DRIFT, EXCESS_LOAD, FAILED_PRICE, OVERDUE_LATENCIES, REPORT_LIFE, TICK};
use crate::interface::{LoadReport, Outcome, ServerId, Time};
use crate::state::Balancer;
use std::time::Duration;

/// Price step per second and unit of excess load (ν), with measured and with unknown capacity. The second is
/// smaller because reports are older then.
pub(super) const STEP: [f64; 2] = [0.15, 0.08];
/// Upper bound of the target utilization (ρ); the fleet's mean load if that is lower.
pub(super) const LOAD_FACTOR: f64 = 0.7;
/// Upper bound of the report lifetime if reports are rare; otherwise it is the mean time between them.
const MAX_REPORT_LIFE: f64 = 4.0;
/// Largest amount by which a price may exceed the market price, so that no server is avoided for long.
const MAX_PRICE_EXCESS: f64 = 1.0;
/// Largest load that a report or an overdue attempt can count for.
const MAX_LOAD: f64 = 4.0;
/// Utilization above which a report is only a lower bound of the load.
const SATURATED: f64 = 0.85;
/// Minimum utilization from which a report tells capacity.
const MIN_BUSY: f64 = 0.05;
/// Number of samples over which a speed is smoothed if it is derived from latencies.
const MEMORY: f64 = 6.0;

/// Applies the price steps since the last update to a server.
pub(crate) fn step(b: &mut Balancer, i: usize, now: Time) {
    let load_factor = LOAD_FACTOR.min(b.mean_load);
    let s = &mut b.servers[i];
    let ticks = ((now - s.price_updated).as_secs_f64() / TICK).floor();
    if ticks < 1.0 {
        return;
    }
    let since = (s.price_updated - s.reported_at).as_secs_f64();
    s.price_updated = s.price_updated + Duration::from_secs_f64(ticks * TICK);
    let mut live = s.load.map_or(0.0, |_| (b.report_life - since).clamp(0.0, ticks * TICK));
    let mut load = s.load.unwrap_or(0.0);
    // A hung server reports nothing: its load is derived from its oldest unanswered attempt.
    let overdue =
        s.in_flight.first().map_or(0.0, |&t| (now - t).as_secs_f64() / (OVERDUE_LATENCIES * b.latency));
    if overdue > 1.0 {
        (live, load) = (ticks * TICK, overdue.min(MAX_LOAD));
    }
    s.price = (s.price + STEP[usize::from(b.capacity_unknown)] * live * (load - load_factor))
        .clamp(0.0, b.market_price + MAX_PRICE_EXCESS);
    // A server without requests sends no reports: unless its price drifted back, it would be avoided for
    // ever.
    s.price += (b.market_price - s.price) * ((ticks * TICK - live) / DRIFT).min(1.0);
}

/// Applies a load report from a server.
pub(crate) fn record_report(b: &mut Balancer, now: Time, server: ServerId, report: &LoadReport) {
    let Some(&i) = b.index.get(&server) else { return };
    let usable = |v: Option<f64>| v.filter(|v| v.is_finite() && *v >= 0.0);
    let [waiting, all, reported_busy, rate] =
        [report.waiting, report.held, report.busy, report.rate].map(usable);
    let waits = waiting.unwrap_or(0.0);
    let counted_busy = all.filter(|_| reported_busy.is_none() && waiting.is_some());
    let counted_busy =
        counted_busy.map(|all| b.servers[i].busy_from_counts((all - waits).max(0.0), waits, rate));
    let Some(busy) = reported_busy.or(counted_busy).map(|busy| busy.min(MAX_LOAD)) else { return };
    step(b, i, now);
    let s = &mut b.servers[i];
    // The queue grows as long as there is any overload, however small: a price proportional to it would
    // oscillate.
    let mut load =
        busy + if counted_busy.is_some() { EXCESS_LOAD * waits / (waits + 4.0 * s.slots) } else { waits };
    // Requests beyond the number typical for the utilization are counted as waiting.
    if let (Some(held), None) = (all, waiting) {
        b.unsaturated_load.learn(busy > MIN_BUSY && busy < SATURATED, held, busy);
        load = load.max(b.unsaturated_load.load(held));
    }
    let excess = EXCESS_LOAD * ((busy - SATURATED) / (1.0 - SATURATED)).clamp(0.0, 1.0);
    s.load = Some((load + if counted_busy.is_some() { 0.0 } else { excess }).min(MAX_LOAD));
    s.rate = rate.unwrap_or(0.0);
    if s.rate > 0.0 && busy > MIN_BUSY {
        // The latest report is more accurate than the mean of earlier ones.
        s.learn_speed(now, s.rate / busy, 1.0);
    }
    let gap = (now - std::mem::replace(&mut s.reported_at, now)).as_secs_f64();
    if b.capacity_unknown {
        b.report_life += (gap.clamp(REPORT_LIFE, MAX_REPORT_LIFE) - b.report_life) / 64.0;
    }
}

/// Updates the typical latency and, if rates are not reported, the server's speed.
pub(crate) fn record_latency(b: &mut Balancer, now: Time, server: ServerId, latency: f64) {
    let latency = latency.max(1e-6);
    // Tracks a quantile instead of the mean, so that answers of failing servers don't pass as typical.
    b.latency *= if latency > b.latency { 1.012 } else { 0.992 };
    if let (Some(&i), false) = (b.index.get(&server), b.settings.reports_rate) {
        b.servers[i].learn_speed(now, 1.0 / latency, MEMORY);
    }
}

/// Raises the price after a failure; without this, a server that fails fast would look idle. If the capacity
/// is unknown, a rejection or timeout means that the server is at its limit.
pub(crate) fn record_failure(b: &mut Balancer, now: Time, server: ServerId, outcome: Outcome) {
    let Some(&i) = b.index.get(&server) else { return };
    step(b, i, now);
    let s = &mut b.servers[i];
    let full = b.capacity_unknown && outcome == Outcome::Rejected;
    if !full {
        s.price = (s.price + FAILED_PRICE).min(b.market_price + MAX_PRICE_EXCESS);
        b.solved_at = None;
    }
    let at_limit = full || b.capacity_unknown && outcome == Outcome::TimedOut;
    s.load = at_limit.then(|| s.load.unwrap_or(0.0).max(1.0 + EXCESS_LOAD));
    s.reported_at = if at_limit { now } else { s.reported_at };
}
