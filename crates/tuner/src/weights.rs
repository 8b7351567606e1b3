//! The weights in effect at a node: never of a stale version, phased in and out without jumps, and phased out once they expire.

use crate::message::WeightList;
use birchswitch_mesh::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Seconds over which weights are phased in, and out.
const FADE_SECONDS: f64 = 5.0;

/// The weights that a node applied last, and how far they count.
#[derive(Debug, Default)]
pub struct AppliedWeights {
    version: (u64, u64),
    expires: Time,
    weights: BTreeMap<u64, f64>,
    influence: f64,
    updated_at: Time,
}

impl AppliedWeights {
    /// The highest version that the node has seen.
    pub fn version(&self) -> (u64, u64) {
        self.version
    }

    /// Applies weights that were requested at that time. False: they are ignored, as an earlier list had a higher version.
    pub fn apply(&mut self, ttl: Duration, requested_at: Time, list: &WeightList) -> bool {
        if list.version < self.version {
            return false;
        }
        self.version = list.version;
        if list.weights.is_empty() {
            // Withdrawn weights are phased out too.
            self.expires = Time::ZERO;
            return true;
        }
        self.expires = requested_at + ttl;
        let valid = |w: f32| w.is_finite() && (0.01..=100.0).contains(&w);
        let weights = list.weights.iter().filter(|w| valid(w.weight));
        self.weights = weights.map(|w| (w.server, f64::from(w.weight))).collect();
        true
    }

    /// Each server's weight, and its influence now, from 0 to 1.
    pub fn current(&mut self, now: Time) -> Vec<(u64, f64, f64)> {
        let change = now.saturating_sub(std::mem::replace(&mut self.updated_at, now)).as_secs_f64().min(1.0)
            / FADE_SECONDS;
        self.influence = (self.influence + if now < self.expires { change } else { -change }).clamp(0.0, 1.0);
        if self.influence <= 0.0 {
            return Vec::new();
        }
        self.weights.iter().map(|(server, weight)| (*server, *weight, self.influence)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::Weight;

    #[test]
    fn weights_are_phased_in_and_out_and_stale_versions_are_ignored() {
        let (s, ttl) = (Time::from_secs, Duration::from_secs(4));
        let list = |version, weight| WeightList { version, weights: vec![Weight { server: 1, weight }] };
        let mut weights = AppliedWeights::default();
        weights.current(s(9));
        assert!(weights.apply(ttl, s(10), &list((3, 1), 2.0)));
        assert_eq!(weights.current(s(10)), [(1, 2.0, 0.2)]);
        (11..14).for_each(|t| drop(weights.current(s(t))));
        assert!(!weights.apply(ttl, s(13), &list((2, 9), 0.5)));
        let after = weights.current(s(15));
        assert!(after[0].1 == 2.0 && after[0].2 < 0.8, "it fades after its expiry: {after:?}");
        (16..20).for_each(|t| drop(weights.current(s(t))));
        assert_eq!(weights.current(s(21)), []);
        assert!(weights.apply(ttl, s(21), &list((4, 0), f32::NAN)) && weights.current(s(22)).is_empty());
    }
}
