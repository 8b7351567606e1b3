//! A node's own clock: the system's since boot, which goes on while the process or the machine stands still.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Time by a node's own clock: only differences on one node mean anything.
pub type Time = Duration;

/// See the module's words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// Thousandths of true time at which it runs: 1000 but in drills.
    rate: u32,
    /// Thousandths by which any clock of the fleet may be off.
    drift: u32,
}

impl Clock {
    /// One that runs at so many thousandths of true time, in a fleet whose clocks are right to so many.
    pub fn new(rate: u32, drift: u32) -> Self {
        Clock { rate, drift }
    }

    /// Now.
    pub fn now(&self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        Duration::new(now.tv_sec as u64, now.tv_nsec as u32) * self.rate / 1000
    }

    /// What another node's `length` may last here at the most: its clock may be the slowest, and this one the fastest.
    pub fn max_elapsed(&self, length: Duration) -> Duration {
        max_elapsed(length, self.drift)
    }

    /// How long to sleep until a time, by the system's timers.
    pub fn until(&self, at: Time) -> Duration {
        at.saturating_sub(self.now()) * 1000 / self.rate
    }

    /// The time so long after now, as long is by the system's timers.
    pub fn after(&self, length: Duration) -> Time {
        self.now() + length * self.rate / 1000
    }

    /// Thousandths by which any clock of the fleet may be off.
    pub fn drift(&self) -> u32 {
        self.drift
    }
}

/// What a length by the slowest clock lasts by the fastest, where each is right to so many thousandths.
pub fn max_elapsed(length: Duration, drift: u32) -> Duration {
    length * (1000 + drift) / (1000 - drift)
}
