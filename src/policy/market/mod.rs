//! Prices and shares: what each server's load costs, and which part of the requests it gets for that.
//!
//! Prices move by a projected dual step on reported load; shares maximise speed-valued concave utility less
//! price (symbols: `docs/design/core.md`). Prices, shares and speeds are kept relative to the number n of
//! ready servers: price = φ/n, lambda = λ/n, speed = ζ/n (mean 1) and share = η·n (sum n), so that no
//! constant depends on the size of the fleet.

mod prices;
mod shares;

pub(crate) use prices::{answered, failed, report, step};
pub(crate) use shares::trade;

use super::cold;
use crate::interface::Time;
use crate::state::{Balancer, Line};
use std::cell::LazyCell;
use std::time::Duration;

// Seconds are s, loads are in capacities, prices and speeds relative to the fleet's mean.
const TICK: f64 = 0.05; // s between price steps: well under the age of any report, finer changes nothing
pub(crate) const REPORT_LIFE: f64 = 0.5; // s for which a report moves the price, where reports are frequent
const DRIFT: f64 = 6.0; // s in which an unreported price drifts to the going one, a speed to the mean
const WEIGHTS: f64 = 12.0; // s over which listed weights are smoothed
const FAILED_PRICE: f64 = 0.5; // price of one failure: it closes a server of mean price and speed
const OWN: f64 = 1.0; // price of own attempts out at a server, relative to those usual there
const FLOOR: f64 = 0.1; // least price + lambda: keeps failing servers nearly closed when bounds leave no room
pub(crate) const OVERDUE: f64 = 2.5; // usual latencies after which an unanswered send counts as load
pub(crate) const EXCESS: f64 = 0.5; // ... and the load beyond it that all busy, full or timed out counts for
const PRIOR: [f64; 2] = [8.0, 0.3]; // trust in the mean speed, likewise
const ADMIT: f64 = 0.72; // part of its measured capacity that a server is asked for; reports miss the rest
const UNKNOWN: f64 = 0.4; // part of the mean capacity that a server not heard of yet is trusted with
const FORGET: f64 = 24.0; // s in which failed connections are forgotten by themselves
pub(crate) const RATE_WINDOW: f64 = 1.0; // s over which rates of arrivals and sends are measured
pub(crate) const PART_WINDOW: f64 = 10.0; // s over which this node's part of all traffic is learnt

/// What new shares leave over.
pub(crate) struct Solved {
    /// For each class that leads a placement: the part of its arrivals that no server has room for.
    pub unplaced: Vec<f64>,
    /// Seconds since the shares before.
    pub dt: f64,
    /// Servers' capacities are measured, and shares bounded by them.
    pub known: bool,
}

/// Brings prices and shares up to date; `None` where that was done within the tick.
pub(crate) fn solve(b: &mut Balancer, now: Time) -> Option<Solved> {
    let dt = b.solved.map_or(TICK, |at| (now - at).as_secs_f64());
    if dt < TICK || b.ready.is_empty() {
        return None;
    }
    b.solved = Some(now);
    b.refused.iter_mut().for_each(|part| *part *= 1.0 - (dt / FORGET).min(1.0));
    let n = b.ready.len() as f64;
    let [mut price, mut load, mut loads, mut speed, mut speeds, mut weight] = [0.0; 6];
    for k in 0..b.ready.len() {
        let i = b.ready[k];
        step(b, i, now);
        let s = &mut b.servers[i];
        // Weights that follow load come late: what they say lies in their mean.
        s.weight +=
            (s.listed - s.weight) * (dt / (now - s.since).as_secs_f64().min(WEIGHTS).max(dt)).min(1.0);
        price += s.price / n;
        weight += s.weight / n;
        // Old reports fade out of the fleet's mean load: a fleet that refuses much hears little news.
        if let Some(l) = s.load {
            let trust = (b.report_life - (now - s.reported).as_secs_f64()).min(0.0).exp();
            load += l * trust;
            loads += trust;
        }
        if (now - s.answered).as_secs_f64() > DRIFT / 2.0 {
            s.evidence *= 1.0 - (dt / DRIFT).min(1.0);
        }
        speed += s.speed * s.evidence;
        speeds += s.evidence;
    }
    b.mean_price = price;
    b.mean_load = if loads > 0.01 { load / loads } else { 0.0 };
    b.mean_speed = if speeds > 0.0 { speed / speeds } else { 1.0 };
    let flows: Vec<f64> = b.markets.iter_mut().map(|m| m.arrivals.add(now, 0.0)).collect();
    let asked = flows.iter().sum::<f64>().max(1e-9);
    let known = b.settings.reports_rate && speeds > 0.0;
    let prior = PRIOR[usize::from(b.settings.reports_rate)];
    let own_price = if b.settings.reports_rate { 0.0 } else { OWN };
    let own = b.ready.iter().map(|&i| &b.servers[i]);
    let (out, shares) = own.fold((0.0, 1e-9), |sum, s| (sum.0 + s.out.len() as f64, sum.1 + s.share));
    // Works are sorted for it: only where a server is cold.
    let budget = LazyCell::new(|| {
        let longest = b.settings.classes.iter().map(|c| c.aim.as_secs_f64()).fold(0.0, f64::max);
        cold::Budget::new(&b.settings.rules, b.mean_load, &b.works, longest)
    });
    let patience = Duration::from_secs_f64(OVERDUE * b.latency);
    let narrow = b.markets.iter().any(|m| m.narrow);
    let lines = b.ready.iter().map(|&i| {
        let s = &b.servers[i];
        let own = if b.settings.use_listed_weights {
            s.weight / weight
        } else {
            (s.speed / b.mean_speed * s.evidence + prior) / (s.evidence + prior)
        };
        let speed = own * s.tuned.powf(s.sure);
        // No node asks more of a server than its part of what that can do (the paper's local constraint,
        // eq. 10): else shares gather on one cheap server and break it.
        let mut most = if s.open < 1.0 { s.open } else { f64::INFINITY };
        if known {
            let capacity = if s.evidence > 0.0 { s.speed } else { b.mean_speed * UNKNOWN };
            most = most.min(ADMIT * capacity * b.part * n / asked);
        }
        // A cold server falls over when all nodes together rush it: its share stays within a part of
        // what the rule allows it, measured by what a warm peer takes.
        let warmth = s.warmth(&b.settings.rules, now);
        if warmth < 1.0 {
            most = most.min(budget.most(warmth));
        }
        // Reports lag; what this node itself has out beyond the usual is known at once.
        let usual = out * s.share / shares;
        let price = s.price + own_price * (s.out.len() as f64 - usual) / (usual + 1.0);
        // Where new connections fail, a server without an open one is dearer.
        let shut = if known { 0.0 } else { b.shut(s, now) };
        // One that has fallen silent is closed at once, where requests don't ask afresh: time-outs come late.
        let silent = if narrow && s.silent(now, patience) { FAILED_PRICE } else { 0.0 };
        Line { price: price + shut + silent, speed: speed.max(0.01), most }
    });
    let lines: Vec<Line> = lines.collect();
    let floor = if known { FLOOR } else { 0.0 };
    let unplaced = trade(b, &lines, &flows, floor, (now, dt));
    Some(Solved { unplaced, dt, known })
}

#[cfg(test)]
#[path = "../tests/market.rs"]
mod tests;
