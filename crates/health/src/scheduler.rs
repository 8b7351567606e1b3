//! The one node's side: whom to ask when, and who is silent.

use crate::{ShortId, Time};
use rustc_hash::FxHashSet;
use std::collections::BTreeMap;
use std::time::Duration;

/// How often a silent server is asked: after the first time, doubling up to the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeIntervals {
    /// First.
    pub least: Duration,
    /// In the end.
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
    /// It was asked in vain.
    silent: bool,
}

/// Questions to servers that others found silent, each by the hash of its name.
#[derive(Default)]
pub struct ProbeScheduler {
    intervals: ProbeIntervals,
    servers: BTreeMap<u64, Server>,
}

impl ProbeScheduler {
    /// Nobody to ask yet.
    pub fn new(intervals: ProbeIntervals) -> Self {
        ProbeScheduler { intervals, servers: BTreeMap::new() }
    }

    /// From now on there are just these servers.
    pub fn retain_listed(&mut self, names: &FxHashSet<u64>) {
        self.servers.retain(|name, _| names.contains(name));
    }

    /// Somebody heard nothing of a server that is listed: it is asked at once.
    pub fn report(&mut self, now: Time, name: u64) {
        let new = Server { next: now, pause: self.intervals.least, silent: false };
        self.servers.entry(name).or_insert(new);
    }

    /// Whom to ask now; each is owed [`ProbeScheduler::record_answer`].
    pub fn due(&mut self, now: Time) -> Vec<u64> {
        let (most, mut due) = (self.intervals.most, Vec::new());
        for (name, server) in self.servers.iter_mut().filter(|(_, s)| now >= s.next) {
            server.next = now + server.pause;
            server.pause = (server.pause * 2).min(most);
            due.push(*name);
        }
        due
    }

    /// What came of a question. True: who is silent has changed.
    pub fn record_answer(&mut self, name: u64, answered: bool) -> bool {
        if answered {
            return self.servers.remove(&name).is_some_and(|s| s.silent);
        }
        self.servers.get_mut(&name).is_some_and(|s| !std::mem::replace(&mut s.silent, true))
    }

    /// Who is silent.
    pub fn silent(&self) -> impl Iterator<Item = ShortId> + '_ {
        self.servers.iter().filter(|(_, s)| s.silent).map(|(name, _)| ShortId::of(*name))
    }

    /// When [`ProbeScheduler::due`] has somebody again.
    pub fn next_due(&self) -> Option<Time> {
        self.servers.values().map(|s| s.next).min()
    }
}
