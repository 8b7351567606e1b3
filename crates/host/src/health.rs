//! Tracks unresponsive servers. One node of the zone probes them for all: the others report them to it and
//! skip their own probes of them.

use crate::handles::ProbeOrigin;
use crate::{Host, ProbeHandle, Upstream};
use birchswitch_health::{ProbeSuppressor, ShortId};
use finchvale::{Outcome, ServerEntry, ServerId, ServerState};
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Reports servers that become unresponsive and suppresses probes of servers that another node probes.
pub(crate) struct SilenceTracker {
    started: Instant,
    suppressor: ProbeSuppressor,
    /// Ready servers, by id and by the hash of their names.
    names: FxHashMap<ServerId, u64>,
    ids: FxHashMap<u64, ServerId>,
    /// Called with the name hash of a server that became unresponsive.
    on_silent: Box<dyn Fn(u64)>,
    /// Number of suppressed probes.
    pub(crate) suppressed_probes: u64,
}

impl SilenceTracker {
    pub(crate) fn new(on_silent: Box<dyn Fn(u64)>) -> Self {
        let (names, ids) = (FxHashMap::default(), FxHashMap::default());
        SilenceTracker {
            started: Instant::now(),
            suppressor: ProbeSuppressor::default(),
            names,
            ids,
            on_silent,
            suppressed_probes: 0,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn update_servers(&mut self, complete: bool, entries: &[ServerEntry]) {
        if complete {
            self.names.clear();
        }
        for e in entries {
            match e.state {
                ServerState::Ready => drop(self.names.insert(e.server, e.name)),
                _ => drop(self.names.remove(&e.server)),
            }
        }
        self.ids = self.names.iter().map(|(id, name)| (*name, *id)).collect();
        self.suppressor.retain_listed(&self.ready_names());
    }

    /// Returns the name hashes of all ready servers.
    pub(crate) fn ready_names(&self) -> FxHashSet<u64> {
        self.ids.keys().copied().collect()
    }

    pub(crate) fn server_id(&self, name: u64) -> Option<ServerId> {
        self.ids.get(&name).copied()
    }

    /// Replaces the set of silent servers. Returns the servers that are no longer in it, which this node has
    /// to probe itself.
    pub(crate) fn update_silent(&mut self, silent: &[ShortId]) -> Vec<ServerId> {
        let recovered = self.suppressor.update_silent(silent.iter().copied());
        recovered.iter().filter_map(|name| self.server_id(*name)).collect()
    }

    pub(crate) fn suppresses(&mut self, server: ServerId) -> bool {
        let now = self.now();
        let suppressed =
            self.names.get(&server).is_some_and(|name| self.suppressor.should_suppress(now, *name));
        self.suppressed_probes += u64::from(suppressed);
        suppressed
    }

    pub(crate) fn record_outcome(&mut self, server: ServerId, outcome: Outcome) {
        // Attempts that never reached the server or were cancelled by this node do not show whether it
        // responds.
        let Some(name) = self
            .names
            .get(&server)
            .copied()
            .filter(|_| outcome.server_unresponsive() || outcome.server_responded())
        else {
            return;
        };
        if self.suppressor.record_outcome(self.now(), name, outcome.server_responded()) {
            (self.on_silent)(name);
        }
    }
}

impl<U: Upstream> Host<U> {
    /// Enables reports of servers that become unresponsive, by the hashes of their names, and suppresses
    /// probes of the servers passed to [`Host::set_silent_servers`]. Has to be called before the first list
    /// is applied.
    pub fn on_server_silent(&self, on_silent: impl Fn(u64) + 'static) {
        *self.silence.borrow_mut() = Some(SilenceTracker::new(Box::new(on_silent)));
    }

    /// Sets the servers that another node probes on behalf of this one and that do not respond to it. Servers
    /// removed from the set are probed once.
    pub fn set_silent_servers(&self, silent: &[ShortId]) {
        let recovered =
            self.silence.borrow_mut().as_mut().map(|h| h.update_silent(silent)).unwrap_or_default();
        for server in recovered {
            self.with_engine(|engine, now| engine.probe_server(now, server));
        }
    }

    /// Returns the name hashes of all ready servers; empty unless [`Host::on_server_silent`] was called.
    pub fn servers_to_probe(&self) -> FxHashSet<u64> {
        self.silence.borrow().as_ref().map(SilenceTracker::ready_names).unwrap_or_default()
    }

    /// Probes a server on behalf of other nodes and returns whether it responds within the timeout. Returns
    /// `None` if the server is not ready or the probe could not be sent, for instance for lack of a
    /// connection slot.
    pub async fn probe_for_others(&self, name: u64, timeout: Duration) -> Option<bool> {
        let server = self.silence.borrow().as_ref()?.server_id(name)?;
        let (sender, receiver) = oneshot::channel();
        self.metrics.probes.inc();
        let handle = ProbeHandle { host: self.this.clone(), origin: ProbeOrigin::Peers(sender) };
        let probe = tokio::time::timeout(timeout, self.upstream.clone().probe(server, handle));
        match probe.await {
            Ok(()) => match receiver.await.ok()? {
                Outcome::NotSent => None,
                outcome => Some(outcome.server_responded()),
            },
            Err(_) => Some(false),
        }
    }

    /// Returns the number of suppressed probes, or `None` unless [`Host::on_server_silent`] was called.
    pub fn spared_probes(&self) -> Option<u64> {
        self.silence.borrow().as_ref().map(|h| h.suppressed_probes)
    }

    pub(crate) fn record_outcome(&self, server: ServerId, outcome: Outcome) {
        if let Some(silence) = self.silence.borrow_mut().as_mut() {
            silence.record_outcome(server, outcome);
        }
    }
}
