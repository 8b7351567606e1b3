//! How the current request of a connection arrives: how much of it, how fast, and whether all of it has.

use crate::body::MIN_RATE;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Progress of the request that is being received on a connection.
#[derive(Debug)]
pub(super) struct InputProgress {
    /// When the request's first bytes were seen.
    started: Cell<Instant>,
    /// When anything was received last.
    latest: Cell<Instant>,
    /// The longest time between two receptions.
    longest_pause: Cell<Duration>,
    /// Bytes of the request that were received.
    bytes: Cell<u64>,
    /// Whether the end of the request was received.
    complete: Cell<bool>,
}

impl InputProgress {
    pub(super) fn new(now: Instant) -> Self {
        InputProgress {
            started: Cell::new(now),
            latest: Cell::new(now),
            longest_pause: Cell::new(Duration::ZERO),
            bytes: Cell::new(0),
            complete: Cell::new(false),
        }
    }

    /// Records that more was received.
    pub(super) fn received(&self, bytes: usize, now: Instant) {
        self.bytes.set(self.bytes.get() + bytes as u64);
        self.longest_pause.set(self.longest_pause.get().max(self.silence(now)));
        self.latest.set(now);
    }

    /// Records that the request was passed on, and that `bytes` bytes behind it were received.
    pub(super) fn passed_on(&self, bytes: usize) {
        self.bytes.set(bytes as u64);
    }

    /// Starts with the next request.
    pub(super) fn start(&self, now: Instant) {
        self.started.set(now);
        self.longest_pause.set(Duration::ZERO);
        self.complete.set(false);
    }

    /// Records that the end of the request was received.
    pub(super) fn set_complete(&self) {
        self.complete.set(true);
    }

    /// Whether the end of the request was received.
    pub(super) fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// The longest pause after which more of the request was received.
    pub(super) fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }

    /// Time since anything was received.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.latest.get())
    }

    /// Whether less than the minimum rate was received so far.
    pub(super) fn is_behind(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.started.get());
        (self.bytes.get() as f64) < elapsed.as_secs_f64() * MIN_RATE
    }
}
