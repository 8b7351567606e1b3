//! What a node's own attempts met at each server, over the last seconds. Used by the node's thread alone.

use birchswitch_mesh::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is kept is kept in so many pieces ...
const PIECES: usize = 12;
/// ... of this length each.
const PIECE: Duration = Duration::from_millis(500);
/// An answer counts as late from so many usual ones on.
const LATE: f64 = 4.0;

/// How an attempt ended, as far as a server answers for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptObservation {
    /// It answered after so many seconds.
    Answered(f64),
    /// It failed, answered senselessly, or not at all.
    Failed,
}

/// AttemptCounts that add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Attempts that ended.
    pub attempts: u32,
    /// Of these, failed.
    pub failed: u32,
    /// Of these, answered late beside what is usual.
    pub late: u32,
}

impl AttemptCounts {
    /// Both together.
    pub fn plus(self, other: AttemptCounts) -> AttemptCounts {
        AttemptCounts {
            attempts: self.attempts.saturating_add(other.attempts),
            failed: self.failed.saturating_add(other.failed),
            late: self.late.saturating_add(other.late),
        }
    }
}

/// See the module's words.
#[derive(Debug, Default)]
pub struct OutcomeWindow {
    servers: BTreeMap<u64, [AttemptCounts; PIECES]>,
    piece: u64,
    /// A usual answer's time, in seconds: a median, moved by each answer.
    usual: f64,
}

impl OutcomeWindow {
    fn turn(&mut self, now: Time) {
        let piece = (now.as_nanos() / PIECE.as_nanos()) as u64;
        for gone in self.piece + 1..=piece.min(self.piece + PIECES as u64) {
            self.servers.values_mut().for_each(|c| c[gone as usize % PIECES] = AttemptCounts::default());
        }
        if piece > self.piece {
            self.piece = piece;
            self.servers.retain(|_, c| c.iter().any(|c| c.attempts > 0));
        }
    }

    /// An attempt at a server ended.
    pub fn record(&mut self, now: Time, server: u64, met: AttemptObservation) {
        self.turn(now);
        let (failed, late) = match met {
            AttemptObservation::Failed => (true, false),
            AttemptObservation::Answered(seconds) => {
                let late = self.usual > 0.0 && seconds > LATE * self.usual;
                self.usual *= if seconds > self.usual { 1.01 } else { 1.0 / 1.01 };
                if self.usual <= 0.0 {
                    self.usual = seconds;
                }
                (false, late)
            }
        };
        let counts = &mut self.servers.entry(server).or_default()[self.piece as usize % PIECES];
        *counts =
            counts.plus(AttemptCounts { attempts: 1, failed: u32::from(failed), late: u32::from(late) });
    }

    /// What there is, by server.
    pub fn counts(&mut self, now: Time) -> Vec<(u64, AttemptCounts)> {
        self.turn(now);
        let sum =
            |c: &[AttemptCounts; PIECES]| c.iter().fold(AttemptCounts::default(), |sum, c| sum.plus(*c));
        self.servers.iter().map(|(server, c)| (*server, sum(c))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_older_than_the_window_is_gone() {
        let ms = Time::from_millis;
        let mut tally = OutcomeWindow::default();
        (0..10).for_each(|n| tally.record(ms(10_000 + n * 10), 1, AttemptObservation::Answered(0.01)));
        tally.record(ms(10_100), 1, AttemptObservation::Answered(0.2));
        tally.record(ms(11_000), 2, AttemptObservation::Failed);
        assert_eq!(
            tally.counts(ms(12_000)),
            [
                (1, AttemptCounts { attempts: 11, failed: 0, late: 1 }),
                (2, AttemptCounts { attempts: 1, failed: 1, late: 0 })
            ]
        );
        assert_eq!(tally.counts(ms(16_600)).len(), 1);
        assert_eq!(tally.counts(ms(99_000)), []);
    }
}
