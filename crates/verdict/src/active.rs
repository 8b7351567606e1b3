//! What a node makes of the judge's word: by its own clock, its own list, and the numbers that it has heard.

use crate::detection::{max_ejected, VerdictSettings};
use crate::message::{Ejection, EjectionList};
use birchswitch_mesh::Time;

/// See the module's words.
#[derive(Debug, Default)]
pub struct ActiveEjections {
    version: (u64, u64),
    until: Time,
    ejections: Vec<Ejection>,
}

impl ActiveEjections {
    /// The highest number that it has heard.
    pub fn version(&self) -> (u64, u64) {
        self.version
    }

    /// Takes up a word that was asked for at that time. False: it is lower than one before, and counts for nothing.
    pub fn apply(&mut self, terms: &VerdictSettings, asked: Time, word: &EjectionList) -> bool {
        if word.version < self.version && terms.safeguards.reject_stale {
            return false;
        }
        (self.version, self.until) = (word.version, asked + terms.ttl);
        self.ejections = word.ejections.clone();
        true
    }

    /// Servers that are withheld now, and how far each stays open: those that it lists, and no more of them than may be.
    pub fn current(
        &self,
        terms: &VerdictSettings,
        now: Time,
        listed: &dyn Fn(u64) -> bool,
        all: usize,
    ) -> Vec<(u64, f64)> {
        if now >= self.until {
            return Vec::new();
        }
        let most =
            if terms.safeguards.ejection_cap { max_ejected(terms.max_ejected_fraction, all) } else { all };
        let known = self.ejections.iter().filter(|s| listed(s.server) && s.open < 1000);
        let open = |s: &Ejection| f64::from(s.open.max(terms.trickle)) / 1000.0;
        known.take(most).map(|s| (s.server, open(s))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::detection::Safeguards;

    #[test]
    fn nothing_old_nothing_lower_nothing_beyond_the_ration_and_always_a_trickle() {
        let terms = VerdictSettings { max_ejected_fraction: 0.3, ..VerdictSettings::DEFAULT };
        let s = Time::from_secs;
        let word = |version, servers: std::ops::Range<u64>| EjectionList {
            version,
            ejections: servers.map(|server| Ejection { server, open: 0 }).collect(),
        };
        let mut obeyed = ActiveEjections::default();
        assert!(obeyed.apply(&terms, s(10), &word((5, 2), 0..8)));
        let now = |o: &ActiveEjections, t| o.current(&terms, s(t), &|server| server != 1, 10);
        assert_eq!(now(&obeyed, 12), [(0, 0.05), (2, 0.05), (3, 0.05)]);
        assert_eq!(now(&obeyed, 13), []);
        assert!(
            !obeyed.apply(&terms, s(12), &word((5, 1), 0..8))
                && !obeyed.apply(&terms, s(12), &word((4, 9), 0..8))
        );
        assert_eq!(now(&obeyed, 13), []);
        assert!(obeyed.apply(&terms, s(12), &word((6, 0), 7..8)));
        assert_eq!(now(&obeyed, 13), [(7, 0.05)]);
        // A lower number obeyed would bring back what was lifted.
        let careless =
            VerdictSettings { safeguards: Safeguards { reject_stale: false, ..Safeguards::ALL }, ..terms };
        assert!(obeyed.apply(&careless, s(12), &word((5, 1), 0..2)));
    }
}
