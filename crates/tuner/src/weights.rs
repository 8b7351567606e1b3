//! What a node makes of weights: nothing lower than it has heard, nothing beyond its end, and no jumps.

use crate::message::WeightList;
use birchswitch_mesh::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// In so long weights come to count whole, or not at all any more.
const FADE: f64 = 5.0;

/// See the module's words.
#[derive(Debug, Default)]
pub struct AppliedWeights {
    version: (u64, u64),
    until: Time,
    weights: BTreeMap<u64, f64>,
    sure: f64,
    at: Time,
}

impl AppliedWeights {
    /// The highest number that it has heard.
    pub fn version(&self) -> (u64, u64) {
        self.version
    }

    /// Takes up a word that was asked for at that time. False: it is lower than one before.
    pub fn apply(&mut self, ttl: Duration, asked: Time, word: &WeightList) -> bool {
        if word.version < self.version {
            return false;
        }
        self.version = word.version;
        if word.weights.is_empty() {
            // Taken back: by degrees as well.
            self.until = Time::ZERO;
            return true;
        }
        self.until = asked + ttl;
        let sound = |w: f32| w.is_finite() && (0.01..=100.0).contains(&w);
        let weights = word.weights.iter().filter(|w| sound(w.weight));
        self.weights = weights.map(|w| (w.server, f64::from(w.weight))).collect();
        true
    }

    /// Each server's weight, and how far it counts now.
    pub fn current(&mut self, now: Time) -> Vec<(u64, f64, f64)> {
        let time = now.saturating_sub(std::mem::replace(&mut self.at, now)).as_secs_f64().min(1.0) / FADE;
        self.sure = (self.sure + if now < self.until { time } else { -time }).clamp(0.0, 1.0);
        if self.sure <= 0.0 {
            return Vec::new();
        }
        self.weights.iter().map(|(server, weight)| (*server, *weight, self.sure)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::Weight;

    #[test]
    fn weights_come_and_go_by_degrees_and_never_by_a_lower_number() {
        let (s, ttl) = (Time::from_secs, Duration::from_secs(4));
        let word = |version, weight| WeightList { version, weights: vec![Weight { server: 1, weight }] };
        let mut weights = AppliedWeights::default();
        weights.current(s(9));
        assert!(weights.apply(ttl, s(10), &word((3, 1), 2.0)));
        assert_eq!(weights.current(s(10)), [(1, 2.0, 0.2)]);
        (11..14).for_each(|t| drop(weights.current(s(t))));
        assert!(!weights.apply(ttl, s(13), &word((2, 9), 0.5)));
        let after = weights.current(s(15));
        assert!(after[0].1 == 2.0 && after[0].2 < 0.8, "beyond its end it fades: {after:?}");
        (16..20).for_each(|t| drop(weights.current(s(t))));
        assert_eq!(weights.current(s(21)), []);
        assert!(weights.apply(ttl, s(21), &word((4, 0), f32::NAN)) && weights.current(s(22)).is_empty());
    }
}
