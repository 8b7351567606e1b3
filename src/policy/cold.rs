//! Cold starts: what a server that has just started may be given, by this node's part of all.
//!
//! A server starts with a part of its capacity and gains the rest evenly. Given more than a stated multiple
//! of what it can do, over a stated time, it falls over. Nodes don't talk to each other: each keeps its share
//! of the requests so low that all together stay inside the budget, chance included.

use crate::interface::Rules;

const COLD_PART: f64 = 0.2; // part of a cold server's budget that all nodes spend; the rest is for chance
const HEAVY_PART: f64 = 0.25; // part of it that one request may take

/// The most of the requests that a server this warm may get, relative to the mean share; unbounded once warm.
pub(crate) fn most(rules: &Rules, warmth: f64) -> f64 {
    if warmth < 1.0 {
        warmth * rules.fall_multiple * COLD_PART
    } else {
        f64::INFINITY
    }
}

/// Whether one request with this much work, in seconds, could spend a server's whole budget by itself.
pub(crate) fn too_heavy(rules: &Rules, warmth: f64, work: f64) -> bool {
    warmth < 1.0 && work >= HEAVY_PART * rules.fall_multiple * rules.fall_time.as_secs_f64() * warmth
}

#[cfg(test)]
#[path = "tests/cold.rs"]
mod tests;
