//! How long grants last, and what of a limit is parted so that clocks and ways may be off.

use crate::{Allocation, Limit, Measure};
use birchswitch_mesh::Clock;
use std::time::Duration;

/// The same on all nodes; it goes into every limit's id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTiming {
    /// Between two asks of a node.
    pub renew: Duration,
    /// For how long a grant holds, by its node's clock, from before that asked.
    pub ttl: Duration,
    /// Longest time from a request's admission to its server.
    pub transit: Duration,
    /// For how long a server may work on a request after it was sent, at the most.
    pub longest_request: Duration,
    /// Thousandths by which clocks may be off.
    pub drift: u32,
    /// All on but in tests that show what each is for.
    pub safeguards: Safeguards,
}

/// What the bound rests on, each to be taken away by tests alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Grants end.
    pub expiry: bool,
    /// A new keeper waits for the last one's grants.
    pub quarantine: bool,
    /// Lower numbers than the highest heard are refused.
    pub reject_stale: bool,
}

impl Safeguards {
    /// All of them.
    pub const ALL: Safeguards = Safeguards { expiry: true, quarantine: true, reject_stale: true };
}

impl QuotaTiming {
    /// What of a limit is parted: a fast clock makes more of a rate, and what was on its way may come together.
    pub fn whole(&self, limit: &Limit) -> Allocation {
        match limit.measure {
            Measure::Rate { per_s, burst } => {
                let drift = f64::from(self.drift) / 1000.0;
                let capacity = burst - per_s * self.transit.as_secs_f64();
                Allocation { rate: per_s / (1.0 + drift), capacity: (capacity + 1e-9).floor().max(0.0) }
            }
            Measure::InFlight { most } => Allocation { rate: 0.0, capacity: f64::from(most) },
        }
    }

    /// For how long the keeper counts a grant as held after it gave it.
    pub fn held(&self, limit: &Limit, clock: &Clock) -> Duration {
        let use_ends = clock.max_elapsed(self.ttl);
        match limit.measure {
            Measure::Rate { .. } => use_ends,
            // What was let in at the last moment still runs.
            Measure::InFlight { .. } => use_ends + clock.max_elapsed(self.longest_request),
        }
    }
}
