//! A rate and a capacity: what a limit is, and what each grant of it is a part of.

use serde::{Deserialize, Serialize};

/// Requests a second, and requests at once. A number in flight has no rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Allocation {
    /// Requests a second.
    pub rate: f64,
    /// A burst, or a number in flight; whole.
    pub capacity: f64,
}

impl Allocation {
    /// Nothing.
    pub const NONE: Allocation = Allocation { rate: 0.0, capacity: 0.0 };

    fn each(self, other: Allocation, with: impl Fn(f64, f64) -> f64) -> Allocation {
        Allocation { rate: with(self.rate, other.rate), capacity: with(self.capacity, other.capacity) }
    }

    /// Both together.
    pub fn plus(self, other: Allocation) -> Allocation {
        self.each(other, |a, b| a + b)
    }

    /// What is left of it without another.
    pub fn less(self, other: Allocation) -> Allocation {
        self.each(other, |a, b| (a - b).max(0.0))
    }

    /// The lesser of each.
    pub fn min(self, other: Allocation) -> Allocation {
        self.each(other, f64::min)
    }

    /// The greater of each.
    pub fn max(self, other: Allocation) -> Allocation {
        self.each(other, f64::max)
    }

    /// Whether it is one that a peer may have meant.
    pub fn is_valid(self) -> bool {
        let is_valid = |v: f64| v.is_finite() && (0.0..1e12).contains(&v);
        is_valid(self.rate) && is_valid(self.capacity)
    }
}
