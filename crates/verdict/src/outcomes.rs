//! Outcomes of a node's attempts at each server over a sliding window. Used by the node's thread alone.

use birchswitch_mesh::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The window consists of this many buckets ...
const BUCKETS: usize = 12;
/// ... of this length each.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);
/// A response is late if it takes more than this many times the median.
const LATE_RATIO: f64 = 4.0;

/// The outcome of an attempt, as far as the server is responsible for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptObservation {
    /// The server responded, after this many seconds.
    Answered(f64),
    /// The attempt failed, or the response was invalid or missing.
    Failed,
}

/// Counts of outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Attempts that ended.
    pub attempts: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those with a late response, compared with the median.
    pub late: u32,
}

impl AttemptCounts {
    /// The sum of both.
    pub fn plus(self, other: AttemptCounts) -> AttemptCounts {
        AttemptCounts {
            attempts: self.attempts.saturating_add(other.attempts),
            failed: self.failed.saturating_add(other.failed),
            late: self.late.saturating_add(other.late),
        }
    }
}

/// A sliding window of outcomes, by the hash of the server's name.
#[derive(Debug, Default)]
pub struct OutcomeWindow {
    servers: BTreeMap<u64, [AttemptCounts; BUCKETS]>,
    bucket: u64,
    /// The median response time in seconds, estimated by a small step with each response.
    median: f64,
}

impl OutcomeWindow {
    fn advance(&mut self, now: Time) {
        let bucket = (now.as_nanos() / BUCKET_LENGTH.as_nanos()) as u64;
        for expired in self.bucket + 1..=bucket.min(self.bucket + BUCKETS as u64) {
            self.servers.values_mut().for_each(|c| c[expired as usize % BUCKETS] = AttemptCounts::default());
        }
        if bucket > self.bucket {
            self.bucket = bucket;
            self.servers.retain(|_, c| c.iter().any(|c| c.attempts > 0));
        }
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: Time, server: u64, observation: AttemptObservation) {
        self.advance(now);
        let (failed, late) = match observation {
            AttemptObservation::Failed => (true, false),
            AttemptObservation::Answered(seconds) => {
                let late = self.median > 0.0 && seconds > LATE_RATIO * self.median;
                self.median *= if seconds > self.median { 1.01 } else { 1.0 / 1.01 };
                if self.median <= 0.0 {
                    self.median = seconds;
                }
                (false, late)
            }
        };
        let counts = &mut self.servers.entry(server).or_default()[self.bucket as usize % BUCKETS];
        *counts =
            counts.plus(AttemptCounts { attempts: 1, failed: u32::from(failed), late: u32::from(late) });
    }

    /// The counts over the window, by server.
    pub fn counts(&mut self, now: Time) -> Vec<(u64, AttemptCounts)> {
        self.advance(now);
        let sum =
            |c: &[AttemptCounts; BUCKETS]| c.iter().fold(AttemptCounts::default(), |sum, c| sum.plus(*c));
        self.servers.iter().map(|(server, c)| (*server, sum(c))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn outcomes_older_than_the_window_are_dropped() {
        let ms = Time::from_millis;
        let mut window = OutcomeWindow::default();
        (0..10).for_each(|n| window.record(ms(10_000 + n * 10), 1, AttemptObservation::Answered(0.01)));
        window.record(ms(10_100), 1, AttemptObservation::Answered(0.2));
        window.record(ms(11_000), 2, AttemptObservation::Failed);
        assert_eq!(
            window.counts(ms(12_000)),
            [
                (1, AttemptCounts { attempts: 11, failed: 0, late: 1 }),
                (2, AttemptCounts { attempts: 1, failed: 1, late: 0 })
            ]
        );
        assert_eq!(window.counts(ms(16_600)).len(), 1);
        assert_eq!(window.counts(ms(99_000)), []);
    }
}
