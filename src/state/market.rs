//! The state of one class's market: shares of the servers, arrivals, and load shedding.

use super::Rate;
use crate::interface::Time;
use std::collections::VecDeque;

/// Input of the share solver for one server.
pub(crate) struct ShareInput {
    pub price: f64,
    pub speed: f64,
    pub max_share: f64,
}

/// Per-class state: the shares from which servers are drawn, and the load shedding.
pub(crate) struct Market {
    /// Shares of the ready servers, with a sum of at most `open_count`; 0 where the class may not go.
    pub shares: Vec<f64>,
    /// Number of ready servers within the class's placement and this node's aperture.
    pub open_count: f64,
    /// Whether the aperture excludes some of the ready servers.
    pub aperture_active: bool,
    /// Number of servers in the aperture, counted on the ring from where it starts.
    pub aperture_size: f64,
    /// Multiplier of the last solution, from which the next one starts.
    pub lambda: f64,
    /// When `shed_fraction` was last updated from an attempt.
    pub shed_updated: Time,
    /// Arrivals per second of all classes with this placement when shares were last solved; kept like
    /// `worths`.
    pub arrival_rate: f64,
    /// Mean work of a request.
    pub work: f64,
    /// Fraction of the arrivals shed because of the load of these servers.
    pub shed_fraction: f64,
    /// Worth per unit of work below which a part of the arrivals is rejected; kept like `worths`.
    pub threshold: f64,
    /// Worths of recent arrivals per unit of work, with that work. The first class with the same placement
    /// keeps them for all of these classes.
    pub worths: VecDeque<(f64, f64)>,
    /// Index of the first class with the same placement.
    pub representative: usize,
    pub arrivals: Rate,
    /// Attempts sent per second over a longer window; unlike `arrivals`, it counts each retry.
    pub slow_arrivals: Rate,
}

impl Market {
    /// A market whose arrival rates use a window of `window` seconds and whose sends use one of `long`
    /// seconds.
    pub(crate) fn new(now: Time, representative: usize, [window, long]: [f64; 2]) -> Self {
        let (shares, worths, arrivals) = (Vec::new(), VecDeque::new(), Rate::new(now, window));
        Market {
            shares,
            open_count: 0.0,
            aperture_active: false,
            aperture_size: 0.0,
            lambda: 0.5,
            shed_updated: now,
            arrival_rate: 0.0,
            work: 0.0,
            shed_fraction: 0.0,
            threshold: 0.0,
            worths,
            representative,
            arrivals,
            slow_arrivals: Rate::new(now, long),
        }
    }

    /// Updates the mean work of a request from a hint or, without hints, from the time to answer.
    pub(crate) fn learn_work(&mut self, sample: f64) {
        self.work += (sample - self.work) * if self.work > 0.0 { 1.0 / 64.0 } else { 1.0 };
    }

    /// Records an arrival's worth among the latest `most`.
    pub(crate) fn record_worth(&mut self, worth: (f64, f64), most: usize) {
        if self.worths.len() == most {
            self.worths.pop_front();
        }
        self.worths.push_back(worth);
    }
}
