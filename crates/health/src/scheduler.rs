//! The probing node's side: which servers to probe when, and which of them are silent.

use crate::{ShortId, Time};
use rustc_hash::FxHashSet;
use std::collections::BTreeMap;
use std::time::Duration;

/// Intervals between probes of a silent server: `least` after the first probe, doubling up to
/// `most`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeIntervals {
    /// The first interval.
    pub least: Duration,
    /// The longest interval.
    pub most: Duration,
}

impl Default for ProbeIntervals {
    fn default() -> Self {
        ProbeIntervals { least: Duration::from_secs(1), most: Duration::from_secs(8) }
    }
}

struct Server {
    next: Time,
    pause: Duration,
    /// A probe was not answered.
    silent: bool,
}

/// Schedules probes of servers that nodes reported as silent, by the hashes of their names.
#[derive(Default)]
pub struct ProbeScheduler {
    intervals: ProbeIntervals,
    servers: BTreeMap<u64, Server>,
}

impl ProbeScheduler {
    /// A scheduler without servers.
    pub fn new(intervals: ProbeIntervals) -> Self {
        ProbeScheduler { intervals, servers: BTreeMap::new() }
    }

    /// Replaces the list of servers: unlisted ones are no longer probed.
    pub fn retain_listed(&mut self, names: &FxHashSet<u64>) {
        self.servers.retain(|name, _| names.contains(name));
    }

    /// Records that a server did not answer some node. Unless it is scheduled already, its probe is due at
    /// once. The name is not checked: [`ProbeScheduler::retain_listed`] has to remove unlisted servers before
    /// [`ProbeScheduler::due`] is called.
    pub fn report(&mut self, now: Time, name: u64) {
        let new = Server { next: now, pause: self.intervals.least, silent: false };
        self.servers.entry(name).or_insert(new);
    }

    /// The servers to probe now. The result of each has to be passed to
    /// [`ProbeScheduler::record_answer`].
    pub fn due(&mut self, now: Time) -> Vec<u64> {
        let (most, mut due) = (self.intervals.most, Vec::new());
        for (name, server) in self.servers.iter_mut().filter(|(_, s)| now >= s.next) {
            server.next = now + server.pause;
            server.pause = (server.pause * 2).min(most);
            due.push(*name);
        }
        due
    }

    /// Records the result of a probe. Returns true if the set of silent servers changed.
    pub fn record_answer(&mut self, name: u64, answered: bool) -> bool {
        if answered {
            return self.servers.remove(&name).is_some_and(|s| s.silent);
        }
        self.servers.get_mut(&name).is_some_and(|s| !std::mem::replace(&mut s.silent, true))
    }

    /// The silent servers.
    pub fn silent(&self) -> impl Iterator<Item = ShortId> + '_ {
        self.servers.iter().filter(|(_, s)| s.silent).map(|(name, _)| ShortId::of(*name))
    }

    /// When [`ProbeScheduler::due`] returns servers again.
    pub fn next_due(&self) -> Option<Time> {
        self.servers.values().map(|s| s.next).min()
    }
}
