//! A node's clock: the system's time since boot, which advances while the process is stopped or the machine is suspended.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Time by a node's own clock. Only differences between times of the same node are meaningful.
pub type Time = Duration;

/// A clock with its rate and the fleet's drift bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// The clock's speed in thousandths of real time: 1000, except in drills.
    rate: u32,
    /// Thousandths by which the speed of any clock in the fleet may be off.
    drift: u32,
}

impl Clock {
    /// A clock that runs at `rate` thousandths of real time, in a fleet whose clocks are off by at most `drift` thousandths.
    pub fn new(rate: u32, drift: u32) -> Self {
        Clock { rate, drift }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        Duration::new(now.tv_sec as u64, now.tv_nsec as u32) * self.rate / 1000
    }

    /// The most time that may pass on this clock while `length` passes on another node's: that clock may be the slowest of the fleet,
    /// and this one the fastest.
    pub fn max_elapsed(&self, length: Duration) -> Duration {
        max_elapsed(length, self.drift)
    }

    /// How long to sleep until a time, in the time of the system's timers.
    pub fn until(&self, at: Time) -> Duration {
        at.saturating_sub(self.now()) * 1000 / self.rate
    }

    /// The time when `length` has passed from now on the system's timers.
    pub fn after(&self, length: Duration) -> Time {
        self.now() + length * self.rate / 1000
    }

    /// Thousandths by which the speed of any clock in the fleet may be off.
    pub fn drift(&self) -> u32 {
        self.drift
    }
}

/// The time that passes on the fastest clock while `length` passes on the slowest, if each is off by at most `drift` thousandths.
pub fn max_elapsed(length: Duration, drift: u32) -> Duration {
    length * (1000 + drift) / (1000 - drift)
}
