//! Rates and counts that decay with time.

use crate::interface::Time;

/// An exponentially decaying rate.
pub(crate) struct Rate {
    count: f64,
    started_at: Time,
    at: Time,
    /// Time constant in seconds.
    pub(super) window: f64,
}

impl Rate {
    pub(crate) fn new(now: Time, window: f64) -> Self {
        Rate { count: 0.0, started_at: now, at: now, window }
    }

    /// The rate per second, corrected for a window that has not filled up yet.
    pub(crate) fn corrected(&mut self, now: Time) -> f64 {
        let rate = self.add(now, 0.0);
        let seen = (now - self.started_at).as_secs_f64().max(1.0) / self.window;
        rate / (1.0 - (-seen).exp())
    }

    /// Counts `amount` and returns the rate per second.
    pub(crate) fn add(&mut self, now: Time, amount: f64) -> f64 {
        self.count = self.count * (-(now - self.at).as_secs_f64() / self.window).exp() + amount;
        self.at = now;
        self.count / self.window
    }
}

/// Exponentially decaying counts of all attempts and of those that were rejected or failed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutcomeHistory {
    /// Attempts, weighted by age.
    pub count: f64,
    /// Attempts rejected without having run, weighted by age.
    pub rejected: f64,
    /// Attempts that failed otherwise, weighted by age.
    pub failed: f64,
    pub at: Time,
}

impl OutcomeHistory {
    /// The counts as of `now`, decayed with time constant `time` in seconds.
    pub(crate) fn decayed(self, now: Time, time: f64) -> Self {
        let left = decay_factor(now, self.at, time);
        OutcomeHistory {
            count: self.count * left,
            rejected: self.rejected * left,
            failed: self.failed * left,
            at: now,
        }
    }

    /// Adds one attempt.
    pub(crate) fn with(self, rejected: f64, failed: f64) -> Self {
        let (rejected, failed) = (self.rejected + rejected, self.failed + failed);
        OutcomeHistory { count: self.count + 1.0, rejected, failed, ..self }
    }
}

/// The factor by which a value decays from `then` to `now`, with time constant `time` in seconds.
pub(crate) fn decay_factor(now: Time, then: Time, time: f64) -> f64 {
    (-(now - then).as_secs_f64() / time).exp()
}
