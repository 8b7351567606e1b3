//! How long grants last, and the margins that a limit keeps for clock drift and network delay.

use crate::{Allocation, Limit, Measure};
use birchswitch_mesh::Clock;
use std::time::Duration;

/// Times and margins. They must be the same on all nodes, and are part of every limit's id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTiming {
    /// The interval between a node's renewals.
    pub renew: Duration,
    /// How long a grant is valid by its node's clock, counted from before the node sent its request.
    pub ttl: Duration,
    /// The longest time from a request's admission until a server receives it.
    pub transit: Duration,
    /// The longest time that a server may work on a request after it was sent.
    pub longest_request: Duration,
    /// The largest clock error, in thousandths.
    pub drift: u32,
    /// All are on except in tests that show what each is for.
    pub safeguards: Safeguards,
}

/// The rules on which the bound rests. Only tests turn them off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Grants expire.
    pub expiry: bool,
    /// A new leader waits until grants of the previous one have expired.
    pub quarantine: bool,
    /// Nodes reject responses with a lower token than the highest that they have seen.
    pub reject_stale: bool,
}

impl Safeguards {
    /// All safeguards on.
    pub const ALL: Safeguards = Safeguards { expiry: true, quarantine: true, reject_stale: true };
}

impl QuotaTiming {
    /// What the leader may allocate of a limit. A fast clock refills a bucket faster than its rate, and requests admitted over `transit`
    /// may reach the servers together: both are subtracted from what the operator allows.
    pub fn allocatable(&self, limit: &Limit) -> Allocation {
        match limit.measure {
            Measure::Rate { per_s, burst } => {
                let drift = f64::from(self.drift) / 1000.0;
                let capacity = burst - per_s * self.transit.as_secs_f64();
                Allocation { rate: per_s / (1.0 + drift), capacity: (capacity + 1e-9).floor().max(0.0) }
            }
            Measure::InFlight { most } => Allocation { rate: 0.0, capacity: f64::from(most) },
        }
    }

    /// How long the leader counts a grant as held after it issued it.
    pub fn hold_time(&self, limit: &Limit, clock: &Clock) -> Duration {
        let until_expiry = clock.max_elapsed(self.ttl);
        match limit.measure {
            Measure::Rate { .. } => until_expiry,
            // Requests admitted just before the grant expired may still be running.
            Measure::InFlight { .. } => until_expiry + clock.max_elapsed(self.longest_request),
        }
    }
}
