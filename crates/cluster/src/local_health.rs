//! Local health: whether this node's failure to hear from others says anything about them.

use crate::Time;
use std::time::Duration;

/// Highest score.
const MAX_SCORE: u32 = 8;
/// After being suspected or stalled, a node accuses nobody for this many suspicion periods.
const ABSTAIN_FACTOR: u32 = 1;

/// How far this node trusts its own probe failures. Extends Lifeguard's local health by being
/// accused as a reason for doubt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
    abstain_until: Time,
    last_heard: Time,
    /// Consecutive rounds without a message from any member.
    silent_rounds: u32,
    cut_off: bool,
}

impl LocalHealth {
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    pub(crate) fn cut_off(&self) -> bool {
        self.cut_off
    }

    /// Whether a failed probe may be held against its target.
    pub(crate) fn can_accuse(&self, now: Time) -> bool {
        !self.cut_off && now >= self.abstain_until
    }

    /// Scales a timeout by the score: the worse the local health, the longer the timeout.
    pub(crate) fn scale_timeout(&self, timeout: Duration) -> Duration {
        timeout + timeout * self.score / 4
    }

    pub(crate) fn record_success(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A probe round ended without a confirmation from anybody.
    pub(crate) fn record_silent_round(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
        self.silent_rounds += 1;
    }

    /// Others suspect this node, or it was stalled.
    pub(crate) fn record_self_doubt(&mut self, now: Time, suspicion: Duration, increase: u32) {
        self.score = (self.score + increase).min(MAX_SCORE);
        self.abstain_until = self.abstain_until.max(now + suspicion * ABSTAIN_FACTOR);
    }

    /// A message arrived from a member. Returns true if this node was cut off until now.
    pub(crate) fn record_heard(&mut self, now: Time) -> bool {
        self.last_heard = now;
        self.silent_rounds = 0;
        std::mem::take(&mut self.cut_off)
    }

    /// Whether this node has just become cut off: several rounds without any message, and nothing
    /// heard for longer than `grace`.
    pub(crate) fn check_cut_off(&mut self, now: Time, grace: Duration) -> bool {
        let newly_cut_off = !self.cut_off && self.silent_rounds >= 3 && now > self.last_heard + grace;
        self.cut_off |= newly_cut_off;
        newly_cut_off
    }
}
