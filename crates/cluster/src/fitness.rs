//! Doubt of oneself: whether this node's silence about others is worth anything.

use crate::Time;
use std::time::Duration;

/// Worst score.
const WORST: u32 = 8;
/// After being suspected or held up a node condemns nobody for so many suspicion times.
const ABSTAIN: u32 = 1;

/// How far this node trusts what it does not hear (Lifeguard's local health, and what it leaves open: being accused).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fitness {
    score: u32,
    abstains: Time,
    heard: Time,
    /// Rounds that ended without a word from anybody since then.
    silent: u32,
    cut_off: bool,
}

impl Fitness {
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    pub(crate) fn cut_off(&self) -> bool {
        self.cut_off
    }

    /// Whether a probe in vain says something about its subject.
    pub(crate) fn fit(&self, now: Time) -> bool {
        !self.cut_off && now >= self.abstains
    }

    /// A timeout, longer the worse this node has been of late.
    pub(crate) fn stretch(&self, timeout: Duration) -> Duration {
        timeout + timeout * self.score / 4
    }

    pub(crate) fn good(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A round in which nobody at all confirmed anything.
    pub(crate) fn unheard(&mut self) {
        self.score = (self.score + 1).min(WORST);
        self.silent += 1;
    }

    /// Others suspect this node, or it was held up.
    pub(crate) fn doubted(&mut self, now: Time, suspicion: Duration, by: u32) {
        self.score = (self.score + by).min(WORST);
        self.abstains = self.abstains.max(now + suspicion * ABSTAIN);
    }

    /// Something came from a member. True: this node was cut off until now.
    pub(crate) fn hears(&mut self, now: Time) -> bool {
        self.heard = now;
        self.silent = 0;
        std::mem::take(&mut self.cut_off)
    }

    /// Whether this node has to find that it is cut off, for the first time: it asked and heard nobody for so long.
    pub(crate) fn falls_silent(&mut self, now: Time, patience: Duration) -> bool {
        let now_cut = !self.cut_off && self.silent >= 3 && now > self.heard + patience;
        self.cut_off |= now_cut;
        now_cut
    }
}
