//! Reports attempt ends to fleet-wide parts and applies the server adjustments they return. Both identify
//! servers by the hash of their names, since ids differ between nodes.

use crate::{Host, Upstream};
use finchvale::{Outcome, ServerAdjustment, ServerEntry, ServerId, ServerState, Time};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The hash of the server's name.
    pub name: u64,
    /// The outcome.
    pub outcome: Outcome,
    /// Time until the end.
    pub latency: Duration,
    /// Whether the server had completed its warm-up.
    pub warm: bool,
}

/// Called with the end of each attempt.
pub type AttemptCallback = dyn Fn(AttemptRecord);

/// A [`ServerAdjustment`] for a server identified by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedServerAdjustment {
    /// The hash of the server's name.
    pub name: u64,
    /// See [`ServerAdjustment::share_limit`].
    pub share_limit: f64,
    /// See [`ServerAdjustment::weight_factor`].
    pub weight_factor: f64,
    /// See [`ServerAdjustment::confidence`].
    pub confidence: f64,
}

/// Maps between ids and name hashes of ready servers, and tracks their warm-up.
pub(crate) struct ServerObserver {
    pub callback: Box<AttemptCallback>,
    names: FxHashMap<ServerId, u64>,
    ids: FxHashMap<u64, ServerId>,
    /// When the warm-up of recently started servers ends.
    warm_from: FxHashMap<u64, Time>,
    warm_up: Duration,
    ready: usize,
}

impl ServerObserver {
    pub(crate) fn new(callback: Box<AttemptCallback>, warm_up: Duration) -> Self {
        let (names, ids, warm_from) = (FxHashMap::default(), FxHashMap::default(), FxHashMap::default());
        ServerObserver { callback, names, ids, warm_from, warm_up, ready: 0 }
    }

    pub(crate) fn update_servers(&mut self, complete: bool, entries: &[ServerEntry]) {
        if complete {
            self.names.clear();
            self.ids.clear();
            self.warm_from.clear();
        }
        for entry in entries {
            if entry.state == ServerState::Ready {
                self.names.insert(entry.server, entry.name);
                self.ids.insert(entry.name, entry.server);
                if let Some(started) = entry.started {
                    self.warm_from.insert(entry.name, started + self.warm_up);
                }
            } else if let Some(name) = self.names.remove(&entry.server) {
                self.ids.remove(&name);
                self.warm_from.remove(&name);
            }
        }
        self.ready = self.names.len();
    }

    /// Reports the end of an attempt if its server is still listed and ready.
    pub(crate) fn attempt_ended(&self, now: Time, server: ServerId, outcome: Outcome, latency: Duration) {
        if let Some(&name) = self.names.get(&server) {
            (self.callback)(AttemptRecord { name, outcome, latency, warm: self.is_warm(name, now) });
        }
    }

    pub(crate) fn is_ready(&self, name: u64) -> bool {
        self.ids.contains_key(&name)
    }

    pub(crate) fn is_warm(&self, name: u64, now: Time) -> bool {
        self.is_ready(name) && self.warm_from.get(&name).is_none_or(|from| now >= *from)
    }

    pub(crate) fn ready_count(&self) -> usize {
        self.ready
    }

    pub(crate) fn resolve(&self, adjustments: &[NamedServerAdjustment]) -> Vec<ServerAdjustment> {
        let each = adjustments.iter().filter_map(|s| {
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
    /// Enables reports of attempt ends. Has to be called before the first list is applied.
    pub fn on_attempt_end(&self, callback: impl Fn(AttemptRecord) + 'static) {
        self.engine.borrow_mut().record_attempt_ends();
        *self.observer.borrow_mut() = Some(ServerObserver::new(Box::new(callback), self.warm_up));
    }

    /// Replaces all fleet-wide adjustments of servers. Has no effect unless [`Host::on_attempt_end`] was
    /// called.
    pub fn set_server_adjustments(&self, adjustments: &[NamedServerAdjustment]) {
        let resolved = self.observer.borrow().as_ref().map(|o| o.resolve(adjustments));
        resolved
            .into_iter()
            .for_each(|resolved| self.with_engine(|engine, now| engine.set_adjustments(now, resolved)));
    }

    /// Returns whether the server with this name hash is ready; false unless [`Host::on_attempt_end`] was
    /// called.
    pub fn is_ready_server(&self, name: u64) -> bool {
        self.observer.borrow().as_ref().is_some_and(|o| o.is_ready(name))
    }

    /// Returns whether the server with this name hash is ready and has completed its warm-up.
    pub fn is_warm_server(&self, name: u64) -> bool {
        let now = self.now();
        self.observer.borrow().as_ref().is_some_and(|o| o.is_warm(name, now))
    }

    /// Returns the number of ready servers; 0 unless [`Host::on_attempt_end`] was called.
    pub fn ready_server_count(&self) -> usize {
        self.observer.borrow().as_ref().map_or(0, ServerObserver::ready_count)
    }
}
