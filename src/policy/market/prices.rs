//! Prices: how each server's moves with its reported load, its failures, and what is overdue there.

use super::{DRIFT, EXCESS, FAILED_PRICE, OVERDUE, REPORT_LIFE, TICK};
use crate::interface::{LoadReport, Outcome, ServerId, Time};
use crate::state::Balancer;
use std::time::Duration;

pub(super) const STEP: [f64; 2] = [0.15, 0.08]; // price per s and unit of excess load (ν), last: old news
pub(super) const LOAD_FACTOR: f64 = 0.7; // part of its capacity a server advertises (ρ), or less
const REPORT_LONGEST: f64 = 4.0; // the same where they are rare: the mean time between them, at most this
const PRICE_MOST: f64 = 1.0; // above the going price: so that no server is avoided for long
const LOAD_MOST: f64 = 4.0; // the highest that anything counts for
const SATURATED: f64 = 0.85; // busy part above which a report says only "at least" ...
const LEAST_BUSY: f64 = 0.05; // busy part from which a report tells capacity
const MEMORY: f64 = 6.0; // latencies over which a speed is smoothed

/// Moves a server's price by the ticks since it was last looked at.
pub(crate) fn step(b: &mut Balancer, i: usize, now: Time) {
    let load_factor = LOAD_FACTOR.min(b.mean_load);
    let s = &mut b.servers[i];
    let ticks = ((now - s.stepped).as_secs_f64() / TICK).floor();
    if ticks < 1.0 {
        return;
    }
    let since = (s.stepped - s.reported).as_secs_f64();
    s.stepped = s.stepped + Duration::from_secs_f64(ticks * TICK);
    let mut live = s.load.map_or(0.0, |_| (b.report_life - since).clamp(0.0, ticks * TICK));
    let mut load = s.load.unwrap_or(0.0);
    // A hung server reports nothing: its oldest unanswered send speaks for it.
    let overdue = s.out.first().map_or(0.0, |&t| (now - t).as_secs_f64() / (OVERDUE * b.latency));
    if overdue > 1.0 {
        (live, load) = (ticks * TICK, overdue.min(LOAD_MOST));
    }
    s.price = (s.price + STEP[usize::from(b.blind)] * live * (load - load_factor))
        .clamp(0.0, b.going_price + PRICE_MOST);
    // A server that gets nothing reports nothing: without a way back it would be avoided for ever.
    s.price += (b.going_price - s.price) * ((ticks * TICK - live) / DRIFT).min(1.0);
}

/// Takes in a server's word on its load.
pub(crate) fn report(b: &mut Balancer, now: Time, server: ServerId, report: &LoadReport) {
    let Some(&i) = b.index.get(&server) else { return };
    let usable = |v: Option<f64>| v.filter(|v| v.is_finite() && *v >= 0.0);
    let [waiting, all, told, rate] = [report.waiting, report.held, report.busy, report.rate].map(usable);
    let waits = waiting.unwrap_or(0.0);
    let counted = all.filter(|_| told.is_none() && waiting.is_some());
    let counted = counted.map(|all| b.servers[i].count((all - waits).max(0.0), waits, rate));
    let Some(busy) = told.or(counted).map(|busy| busy.min(LOAD_MOST)) else { return };
    step(b, i, now);
    let s = &mut b.servers[i];
    // What waits grows for as long as a server has too much, whatever it is: such a price would swing.
    let mut load = busy + if counted.is_some() { EXCESS * waits / (waits + 4.0 * s.slots) } else { waits };
    // Held beyond what goes with its busy part waits.
    if let (Some(held), None) = (all, waiting) {
        b.usual_held.learn(busy > LEAST_BUSY && busy < SATURATED, held, busy);
        load = load.max(b.usual_held.load(held));
    }
    let excess = EXCESS * ((busy - SATURATED) / (1.0 - SATURATED)).clamp(0.0, 1.0);
    s.load = Some((load + if counted.is_some() { 0.0 } else { excess }).min(LOAD_MOST));
    s.rate = rate.unwrap_or(0.0);
    if s.rate > 0.0 && busy > LEAST_BUSY {
        s.learn(now, s.rate / busy, 1.0); // The latest says more than all before it.
    }
    let gap = (now - std::mem::replace(&mut s.reported, now)).as_secs_f64();
    if b.blind {
        b.report_life += (gap.clamp(REPORT_LIFE, REPORT_LONGEST) - b.report_life) / 64.0;
    }
}

pub(crate) fn answered(b: &mut Balancer, now: Time, server: ServerId, latency: f64) {
    let latency = latency.max(1e-6);
    // A quantile, not a mean: answers of servers in trouble must not pass for usual.
    b.latency *= if latency > b.latency { 1.012 } else { 0.992 };
    if let (Some(&i), false) = (b.index.get(&server), b.settings.reports_rate) {
        b.servers[i].learn(now, 1.0 / latency, MEMORY);
    }
}

/// Failures cost: failing fast would look idle. To a blind node full or timed out is at the limit.
pub(crate) fn failed(b: &mut Balancer, now: Time, server: ServerId, outcome: Outcome) {
    let Some(&i) = b.index.get(&server) else { return };
    step(b, i, now);
    let s = &mut b.servers[i];
    let full = b.blind && outcome == Outcome::Rejected;
    if !full {
        s.price = (s.price + FAILED_PRICE).min(b.going_price + PRICE_MOST);
        b.solved = None;
    }
    let spent = full || b.blind && outcome == Outcome::TimedOut;
    s.load = spent.then(|| s.load.unwrap_or(0.0).max(1.0 + EXCESS));
    s.reported = if spent { now } else { s.reported };
}
