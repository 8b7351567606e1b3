//! The clock of the engine and its policy.

use finchvale::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Starts at Unix time when the process starts and is monotonic from there.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix }
    }

    pub(crate) fn time(&self, at: Instant) -> Time {
        Time(0) + self.unix + at.saturating_duration_since(self.started)
    }

    pub(crate) fn instant(&self, at: Time) -> Instant {
        self.started + (at - (Time(0) + self.unix))
    }
}
