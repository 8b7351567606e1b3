//! The ejections in effect at a node, by its own clock, its own list of servers and the versions that it has seen.

use crate::detection::{max_ejected, VerdictSettings};
use crate::message::{Ejection, EjectionList};
use birchswitch_mesh::Time;

/// The ejection list that a node applied last.
#[derive(Debug, Default)]
pub struct ActiveEjections {
    version: (u64, u64),
    expires: Time,
    ejections: Vec<Ejection>,
}

impl ActiveEjections {
    /// The highest version that the node has seen.
    pub fn version(&self) -> (u64, u64) {
        self.version
    }

    /// Applies a list that was requested at that time. False: it is ignored, as an earlier one had a higher version.
    pub fn apply(&mut self, settings: &VerdictSettings, requested_at: Time, list: &EjectionList) -> bool {
        if list.version < self.version && settings.safeguards.reject_stale {
            return false;
        }
        (self.version, self.expires) = (list.version, requested_at + settings.ttl);
        self.ejections = list.ejections.clone();
        true
    }

    /// The servers ejected now, each with the most that it gets, as a fraction of a mean share. Only servers on the node's list count, and
    /// at most as many as the settings allow.
    pub fn current(
        &self,
        settings: &VerdictSettings,
        now: Time,
        listed: &dyn Fn(u64) -> bool,
        all: usize,
    ) -> Vec<(u64, f64)> {
        if now >= self.expires {
            return Vec::new();
        }
        let most = if settings.safeguards.ejection_cap {
            max_ejected(settings.max_ejected_fraction, all)
        } else {
            all
        };
        let known = self.ejections.iter().filter(|s| listed(s.server) && s.open < 1000);
        let open = |s: &Ejection| f64::from(s.open.max(settings.trickle)) / 1000.0;
        known.take(most).map(|s| (s.server, open(s))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::detection::Safeguards;

    #[test]
    fn expired_lists_stale_versions_and_excess_ejections_are_ignored_and_a_trickle_remains() {
        let settings = VerdictSettings { max_ejected_fraction: 0.3, ..VerdictSettings::DEFAULT };
        let s = Time::from_secs;
        let list = |version, servers: std::ops::Range<u64>| EjectionList {
            version,
            ejections: servers.map(|server| Ejection { server, open: 0 }).collect(),
        };
        let mut active = ActiveEjections::default();
        assert!(active.apply(&settings, s(10), &list((5, 2), 0..8)));
        let now = |o: &ActiveEjections, t| o.current(&settings, s(t), &|server| server != 1, 10);
        assert_eq!(now(&active, 12), [(0, 0.05), (2, 0.05), (3, 0.05)]);
        assert_eq!(now(&active, 13), []);
        assert!(
            !active.apply(&settings, s(12), &list((5, 1), 0..8))
                && !active.apply(&settings, s(12), &list((4, 9), 0..8))
        );
        assert_eq!(now(&active, 13), []);
        assert!(active.apply(&settings, s(12), &list((6, 0), 7..8)));
        assert_eq!(now(&active, 13), [(7, 0.05)]);
        // Applying a stale version would restore ejections that were lifted.
        let unguarded =
            VerdictSettings { safeguards: Safeguards { reject_stale: false, ..Safeguards::ALL }, ..settings };
        assert!(active.apply(&unguarded, s(12), &list((5, 1), 0..2)));
    }
}
