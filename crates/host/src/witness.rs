//! What a host tells of its attempts' ends, and takes of what others met, by the servers' names' hashes.

use crate::{Host, Upstream};
use finchvale::{Outcome, ServerAdjustment, ServerEntry, ServerId, ServerState, Time};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// How an attempt ended at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The hash of the server's name.
    pub name: u64,
    /// How.
    pub outcome: Outcome,
    /// After how long.
    pub latency: Duration,
    /// It had not just started.
    pub warm: bool,
}

/// Told of an end.
pub type Tell = dyn Fn(AttemptRecord);

/// What is said of a server: its name's hash, and the rest as in [`ServerAdjustment`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedServerAdjustment {
    /// The hash of its name.
    pub name: u64,
    /// See [`ServerAdjustment::share_limit`].
    pub share_limit: f64,
    /// See [`ServerAdjustment::weight_factor`].
    pub weight_factor: f64,
    /// See [`ServerAdjustment::confidence`].
    pub confidence: f64,
}

/// Names of servers, both ways.
pub(crate) struct Witness {
    pub tell: Box<Tell>,
    names: FxHashMap<ServerId, u64>,
    ids: FxHashMap<u64, ServerId>,
    /// From when on those that have just started are warm.
    warm: FxHashMap<u64, Time>,
    warm_up: Duration,
    ready: usize,
}

impl Witness {
    pub(crate) fn new(tell: Box<Tell>, warm_up: Duration) -> Self {
        let (names, ids, warm) = (FxHashMap::default(), FxHashMap::default(), FxHashMap::default());
        Witness { tell, names, ids, warm, warm_up, ready: 0 }
    }

    pub(crate) fn list(&mut self, whole: bool, entries: &[ServerEntry]) {
        if whole {
            self.names.clear();
            self.ids.clear();
            self.warm.clear();
        }
        for entry in entries {
            if entry.state == ServerState::Ready {
                self.names.insert(entry.server, entry.name);
                self.ids.insert(entry.name, entry.server);
                if let Some(started) = entry.started {
                    self.warm.insert(entry.name, started + self.warm_up);
                }
            } else if let Some(name) = self.names.remove(&entry.server) {
                self.ids.remove(&name);
                self.warm.remove(&name);
            }
        }
        self.ready = self.names.len();
    }

    /// Tells of an end, where the server is still listed.
    pub(crate) fn ended(&self, now: Time, server: ServerId, outcome: Outcome, latency: Duration) {
        if let Some(&name) = self.names.get(&server) {
            (self.tell)(AttemptRecord { name, outcome, latency, warm: self.warm(name, now) });
        }
    }

    pub(crate) fn knows(&self, name: u64) -> bool {
        self.ids.contains_key(&name)
    }

    pub(crate) fn warm(&self, name: u64, now: Time) -> bool {
        self.knows(name) && self.warm.get(&name).is_none_or(|from| now >= *from)
    }

    pub(crate) fn ready(&self) -> usize {
        self.ready
    }

    pub(crate) fn advice(&self, said: &[NamedServerAdjustment]) -> Vec<ServerAdjustment> {
        let each = said.iter().filter_map(|s| {
            let server = *self.ids.get(&s.name)?;
            Some(ServerAdjustment {
                server,
                share_limit: s.share_limit,
                weight_factor: s.weight_factor,
                confidence: s.confidence,
            })
        });
        each.collect()
    }
}

impl<U: Upstream> Host<U> {
    /// From now on the end of each attempt is told. To be called before any list comes.
    pub fn on_attempt_end(&self, tell: impl Fn(AttemptRecord) + 'static) {
        self.engine.borrow_mut().record_attempt_ends();
        *self.witness.borrow_mut() = Some(Witness::new(Box::new(tell), self.warm_up));
    }

    /// What the whole fleet knows of servers, in the place of all that was said so before; only where [`Host::on_attempt_end`] was called.
    pub fn advise(&self, said: &[NamedServerAdjustment]) {
        let advice = self.witness.borrow().as_ref().map(|w| w.advice(said));
        advice.into_iter().for_each(|advice| self.with(|engine, now| engine.set_adjustments(now, advice)));
    }

    /// Whether a server of that name's hash takes new requests, and how many do; only where [`Host::on_attempt_end`] was called.
    pub fn is_ready_server(&self, name: u64) -> bool {
        self.witness.borrow().as_ref().is_some_and(|w| w.knows(name))
    }

    /// Whether it does, and is warm by now.
    pub fn is_warm_server(&self, name: u64) -> bool {
        let now = self.now();
        self.witness.borrow().as_ref().is_some_and(|w| w.warm(name, now))
    }

    /// Servers that take new requests; none unless [`Host::on_attempt_end`] was called.
    pub fn ready_server_count(&self) -> usize {
        self.witness.borrow().as_ref().map_or(0, Witness::ready)
    }
}
