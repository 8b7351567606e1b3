//! This node's position on the ring of servers, derived from the live membership.
//!
//! Live members are evenly spaced in the order of their ids. A node moves to its target position
//! gradually, because what it has learned about servers is still useful, and because members that
//! learn of a change at different times then stay evenly spaced meanwhile.

use crate::Time;
use std::time::Duration;

/// Time constant of the exponential approach: the remaining distance falls to 1/e in this time, and
/// to a hundredth within 5 s.
const TIME_CONSTANT: Duration = Duration::from_millis(1000);
/// Below this distance, the position snaps to the target.
const SNAP_DISTANCE: f64 = 1e-4;

/// A position on the ring, as a fraction from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RingPosition {
    fraction: f64,
    updated_at: Time,
}

impl RingPosition {
    /// Starts at the target position of the node with the given index, counted from 0, among `of`
    /// nodes.
    pub fn new(now: Time, (index, of): (usize, usize)) -> Self {
        RingPosition { fraction: index as f64 / of.max(1) as f64, updated_at: now }
    }

    /// The current position.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Moves towards the target position along the shorter direction. Returns true if the position
    /// changed.
    pub fn advance(&mut self, now: Time, (index, of): (usize, usize)) -> bool {
        let portion =
            1.0 - (-now.saturating_sub(self.updated_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.updated_at = now;
        let target = index as f64 / of.max(1) as f64;
        let distance = (target - self.fraction + 1.5).rem_euclid(1.0) - 0.5;
        if distance == 0.0 {
            return false;
        }
        self.fraction = if distance.abs() < SNAP_DISTANCE {
            target
        } else {
            (self.fraction + distance * portion).rem_euclid(1.0)
        };
        true
    }
}
