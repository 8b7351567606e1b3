//! The one node's side: whom to ask when, and who is silent.

use crate::{Short, Time};
use rustc_hash::FxHashSet;
use std::collections::BTreeMap;
use std::time::Duration;

/// How often a silent server is asked: after the first time, doubling up to the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// First.
    pub least: Duration,
    /// In the end.
    pub most: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Times { least: Duration::from_secs(1), most: Duration::from_secs(8) }
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
pub struct Rounds {
    times: Times,
    servers: BTreeMap<u64, Server>,
}

impl Rounds {
    /// Nobody to ask yet.
    pub fn new(times: Times) -> Self {
        Rounds { times, servers: BTreeMap::new() }
    }

    /// From now on there are just these servers.
    pub fn list(&mut self, names: &FxHashSet<u64>) {
        self.servers.retain(|name, _| names.contains(name));
    }

    /// Somebody heard nothing of a server that is listed: it is asked at once.
    pub fn reported(&mut self, now: Time, name: u64) {
        let new = Server { next: now, pause: self.times.least, silent: false };
        self.servers.entry(name).or_insert(new);
    }

    /// Whom to ask now; each is owed [`Rounds::answered`].
    pub fn due(&mut self, now: Time) -> Vec<u64> {
        let (most, mut due) = (self.times.most, Vec::new());
        for (name, server) in self.servers.iter_mut().filter(|(_, s)| now >= s.next) {
            server.next = now + server.pause;
            server.pause = (server.pause * 2).min(most);
            due.push(*name);
        }
        due
    }

    /// What came of a question. True: who is silent has changed.
    pub fn answered(&mut self, name: u64, spoke: bool) -> bool {
        if spoke {
            return self.servers.remove(&name).is_some_and(|s| s.silent);
        }
        self.servers.get_mut(&name).is_some_and(|s| !std::mem::replace(&mut s.silent, true))
    }

    /// Who is silent.
    pub fn silent(&self) -> impl Iterator<Item = Short> + '_ {
        self.servers.iter().filter(|(_, s)| s.silent).map(|(name, _)| Short::of(*name))
    }

    /// When [`Rounds::due`] has somebody again.
    pub fn next(&self) -> Option<Time> {
        self.servers.values().map(|s| s.next).min()
    }
}
