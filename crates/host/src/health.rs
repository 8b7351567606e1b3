//! What this node met at its servers, for those who ask on behalf of a whole fleet, and which of its own questions are spared.

use birchswitch_health::{Short, Spare};
use finchvale::{Outcome, ServerEntry, ServerId, ServerState};
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::Duration;
use tokio::time::Instant;

/// See the module's words.
pub(crate) struct Health {
    began: Instant,
    spare: Spare,
    /// Servers that take new requests, by id and by the hash of their names.
    names: FxHashMap<ServerId, u64>,
    ids: FxHashMap<u64, ServerId>,
    /// Takes the name of a server that fell silent.
    report: Box<dyn Fn(u64)>,
    /// Questions spared.
    pub(crate) spared: u64,
}

impl Health {
    pub(crate) fn new(report: Box<dyn Fn(u64)>) -> Self {
        let (names, ids) = (FxHashMap::default(), FxHashMap::default());
        Health { began: Instant::now(), spare: Spare::default(), names, ids, report, spared: 0 }
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub(crate) fn list(&mut self, whole: bool, entries: &[ServerEntry]) {
        if whole {
            self.names.clear();
        }
        for e in entries {
            match e.state {
                ServerState::Ready => drop(self.names.insert(e.server, e.name)),
                _ => drop(self.names.remove(&e.server)),
            }
        }
        self.ids = self.names.iter().map(|(id, name)| (*name, *id)).collect();
        self.spare.list(&self.listed());
    }

    /// Hashes of the names of all servers that take new requests.
    pub(crate) fn listed(&self) -> FxHashSet<u64> {
        self.ids.keys().copied().collect()
    }

    pub(crate) fn id(&self, name: u64) -> Option<ServerId> {
        self.ids.get(&name).copied()
    }

    /// Returns whom to ask by oneself, since they are said to be back.
    pub(crate) fn told(&mut self, silent: &[Short]) -> Vec<ServerId> {
        let back = self.spare.told(silent.iter().copied());
        back.iter().filter_map(|name| self.id(*name)).collect()
    }

    pub(crate) fn spares(&mut self, server: ServerId) -> bool {
        let now = self.now();
        let spares = self.names.get(&server).is_some_and(|name| self.spare.spares(now, *name));
        self.spared += u64::from(spares);
        spares
    }

    pub(crate) fn met(&mut self, server: ServerId, outcome: Outcome) {
        // What ended before it reached the server, or turned it away, says nothing of its silence.
        let Some(name) = self.names.get(&server).copied().filter(|_| outcome.silent() || outcome.spoken())
        else {
            return;
        };
        if self.spare.met(self.now(), name, outcome.spoken()) {
            (self.report)(name);
        }
    }
}
