//! A rate with a capacity: what a limit allows, and what each grant allows of it.

use serde::{Deserialize, Serialize};

/// Requests a second with a burst, or a number of requests in flight, which has no rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Allocation {
    /// Requests a second.
    pub rate: f64,
    /// The burst, or the number in flight; a whole number.
    pub capacity: f64,
}

impl Allocation {
    /// Allows no request.
    pub const NONE: Allocation = Allocation { rate: 0.0, capacity: 0.0 };

    fn zip_with(self, other: Allocation, combine: impl Fn(f64, f64) -> f64) -> Allocation {
        Allocation { rate: combine(self.rate, other.rate), capacity: combine(self.capacity, other.capacity) }
    }

    /// The sum of both.
    pub fn plus(self, other: Allocation) -> Allocation {
        self.zip_with(other, |a, b| a + b)
    }

    /// The difference, each part at least 0.
    pub fn saturating_sub(self, other: Allocation) -> Allocation {
        self.zip_with(other, |a, b| (a - b).max(0.0))
    }

    /// The lower rate and the lower capacity.
    pub fn min(self, other: Allocation) -> Allocation {
        self.zip_with(other, f64::min)
    }

    /// The higher rate and the higher capacity.
    pub fn max(self, other: Allocation) -> Allocation {
        self.zip_with(other, f64::max)
    }

    /// Whether both values are in the range that a peer may send.
    pub fn is_valid(self) -> bool {
        let in_range = |v: f64| v.is_finite() && (0.0..1e12).contains(&v);
        in_range(self.rate) && in_range(self.capacity)
    }
}
