//! How a message arrives from a client: how long more of it has been awaited, and how far it lags behind the minimum rate.
//!
//! A message may come slowly and in pieces. A client whose message lags too far behind makes room for others where
//! connections run short.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum rate in bytes per second at which a message has to arrive.
pub const MIN_RATE: f64 = 32.0 * 1024.0;
/// A message that lags by this much may be given up for another ...
const MAX_LAG: Duration = Duration::from_millis(400);
/// ... if it also lags by this many times its longest pause so far: messages may come in pieces.
const PAUSE_FACTOR: u32 = 2;

/// How far a message lags behind the minimum rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// The time that was spent waiting for the message, less the time that its bytes may take. Bytes that came faster
    /// give no credit for later ones.
    pub behind: Duration,
    /// The longest wait after which more of it came.
    pub longest_pause: Duration,
}

impl Lag {
    /// Whether the message may be given up where its connection is needed for another client.
    pub fn is_excessive(&self) -> bool {
        self.behind >= MAX_LAG.max(self.longest_pause * PAUSE_FACTOR)
    }
}

/// Progress of the message that is being received on a connection.
#[derive(Debug, Default)]
pub struct InputProgress {
    /// Since when more of the message has been awaited: everything that was received has been passed on.
    awaited_since: Cell<Option<Instant>>,
    /// See [`Lag::behind`], at the latest reception.
    behind: Cell<Duration>,
    longest_pause: Cell<Duration>,
}

impl InputProgress {
    /// Starts with the next message.
    pub fn start(&self) {
        self.behind.set(Duration::ZERO);
        self.longest_pause.set(Duration::ZERO);
    }

    /// Records that more of the message is awaited.
    pub fn set_awaited(&self, now: Instant) {
        if !self.is_awaited() {
            self.awaited_since.set(Some(now));
        }
    }

    /// Whether more of the message is awaited, so that its last byte has not been received.
    pub fn is_awaited(&self) -> bool {
        self.awaited_since.get().is_some()
    }

    /// Records that more was received.
    pub fn received(&self, bytes: usize, now: Instant) {
        let pause = self.pause(now);
        self.awaited_since.set(None);
        self.longest_pause.set(self.longest_pause.get().max(pause));
        let allowed = Duration::from_secs_f64(bytes as f64 / MIN_RATE);
        self.behind.set((self.behind.get() + pause).saturating_sub(allowed));
    }

    /// How long more has been awaited: zero while something that was received is to be passed on.
    pub fn pause(&self, now: Instant) -> Duration {
        self.awaited_since.get().map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// How far the message lags behind the minimum rate. `None` while no more of it is awaited.
    pub fn lag(&self, now: Instant) -> Option<Lag> {
        self.awaited_since.get()?;
        let behind = self.behind.get() + self.pause(now);
        Some(Lag { behind, longest_pause: self.longest_pause.get() })
    }
}

#[cfg(test)]
mod tests;
