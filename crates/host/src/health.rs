//! What this node met at its servers, for those who ask on behalf of a whole fleet, and which of its own questions are spared.

use crate::tickets::Asker;
use crate::{Host, ProbeHandle, Upstream};
use birchswitch_health::{ProbeSuppressor, ShortId};
use finchvale::{Outcome, ServerEntry, ServerId, ServerState};
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// See the module's words.
pub(crate) struct Health {
    began: Instant,
    spare: ProbeSuppressor,
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
        Health { began: Instant::now(), spare: ProbeSuppressor::default(), names, ids, report, spared: 0 }
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
        self.spare.retain_listed(&self.listed());
    }

    /// Hashes of the names of all servers that take new requests.
    pub(crate) fn listed(&self) -> FxHashSet<u64> {
        self.ids.keys().copied().collect()
    }

    pub(crate) fn id(&self, name: u64) -> Option<ServerId> {
        self.ids.get(&name).copied()
    }

    /// Returns whom to ask by oneself, since they are said to be back.
    pub(crate) fn told(&mut self, silent: &[ShortId]) -> Vec<ServerId> {
        let back = self.spare.update_silent(silent.iter().copied());
        back.iter().filter_map(|name| self.id(*name)).collect()
    }

    pub(crate) fn spares(&mut self, server: ServerId) -> bool {
        let now = self.now();
        let spares = self.names.get(&server).is_some_and(|name| self.spare.should_suppress(now, *name));
        self.spared += u64::from(spares);
        spares
    }

    pub(crate) fn met(&mut self, server: ServerId, outcome: Outcome) {
        // What ended before it reached the server, or turned it away, says nothing of its silence.
        let Some(name) = self
            .names
            .get(&server)
            .copied()
            .filter(|_| outcome.server_unresponsive() || outcome.server_responded())
        else {
            return;
        };
        if self.spare.record_outcome(self.now(), name, outcome.server_responded()) {
            (self.report)(name);
        }
    }
}

impl<U: Upstream> Host<U> {
    /// From now on servers that fall silent are reported, by the hashes of their names, and questions to those that are
    /// [told of](Host::set_silent_servers) as silent are spared. To be called before any list comes.
    pub fn on_server_silent(&self, report: impl Fn(u64) + 'static) {
        *self.health.borrow_mut() = Some(Health::new(Box::new(report)));
    }

    /// Another node asks these for this one, and they do not answer it. Servers of which that was said and is no more are asked once.
    pub fn set_silent_servers(&self, silent: &[ShortId]) {
        let back = self.health.borrow_mut().as_mut().map(|h| h.told(silent)).unwrap_or_default();
        for server in back {
            self.with(|engine, now| engine.probe_server(now, server));
        }
    }

    /// Servers that take new requests, by the hashes of their names; none unless [`Host::on_server_silent`] was called.
    pub fn servers_to_probe(&self) -> FxHashSet<u64> {
        self.health.borrow().as_ref().map(Health::listed).unwrap_or_default()
    }

    /// Asks a server on behalf of others: whether it says anything within that time. None: it takes no new requests, or this
    /// node has no room.
    pub async fn probe_for_others(&self, name: u64, patience: Duration) -> Option<bool> {
        let server = self.health.borrow().as_ref()?.id(name)?;
        let (tell, told) = oneshot::channel();
        self.figures.probes.inc();
        let ticket = ProbeHandle { host: self.me.clone(), asker: Asker::Others(tell) };
        let asking = tokio::time::timeout(patience, self.upstream.clone().probe(server, ticket));
        match asking.await {
            Ok(()) => match told.await.ok()? {
                Outcome::NotSent => None,
                outcome => Some(outcome.server_responded()),
            },
            Err(_) => Some(false),
        }
    }

    /// Questions spared so far; none: nobody asks for this node.
    pub fn spared_probes(&self) -> Option<u64> {
        self.health.borrow().as_ref().map(|h| h.spared)
    }

    pub(crate) fn met(&self, server: ServerId, outcome: Outcome) {
        if let Some(health) = self.health.borrow_mut().as_mut() {
            health.met(server, outcome);
        }
    }
}
