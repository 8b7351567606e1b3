//! This node's place on the ring of servers, from the living membership.
//!
//! Members that count stand at even distances in the order of their ids. A node goes to its place by degrees: what it
//! learnt of servers is worth something, and members that hear of a change at different times stay even meanwhile.

use crate::Time;
use std::time::Duration;

/// What is left of the way to its place falls to 1/e in this time: to a hundredth within 5 s.
const APPROACH: Duration = Duration::from_millis(1000);
/// Nearer than this it is there.
const THERE: f64 = 1e-4;

/// A place on the ring, in parts of it from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RingPosition {
    at: f64,
    stepped: Time,
}

impl RingPosition {
    /// Begins where a node stands among so many, counted from 0.
    pub fn new(now: Time, (index, of): (usize, usize)) -> Self {
        RingPosition { at: index as f64 / of.max(1) as f64, stepped: now }
    }

    /// Where it is.
    pub fn fraction(&self) -> f64 {
        self.at
    }

    /// Moves towards where the node stands now, the shorter way round. True: it moved.
    pub fn advance(&mut self, now: Time, (index, of): (usize, usize)) -> bool {
        let part = 1.0 - (-now.saturating_sub(self.stepped).as_secs_f64() / APPROACH.as_secs_f64()).exp();
        self.stepped = now;
        let target = index as f64 / of.max(1) as f64;
        let way = (target - self.at + 1.5).rem_euclid(1.0) - 0.5;
        if way == 0.0 {
            return false;
        }
        self.at = if way.abs() < THERE { target } else { (self.at + way * part).rem_euclid(1.0) };
        true
    }
}
