//! Lists of servers from discovery, and their changes by operators.

use crate::{Host, Upstream};
use birchswitch_membership::list::ServerList;
use finchvale::{ListKind, ServerEntry};

impl<U: Upstream> Host<U> {
    /// Applies the list cached before the start. Has to be called once, with `None` if there is none, since
    /// the policy needs a list before anything else.
    pub fn load_cached_list(&self, list: Option<&ServerList>) {
        let entries = list.map(|l| self.apply(l)).unwrap_or_default();
        self.update_engine_servers(ListKind::Cached, entries);
    }

    /// Applies a list from discovery.
    pub fn apply_list(&self, list: &ServerList) {
        self.metrics.lists.inc();
        let kind = if list.complete { ListKind::Full } else { ListKind::Changes };
        let first = !self.ready();
        let entries = self.apply(list);
        let servers = entries.len();
        self.update_engine_servers(kind, entries);
        if first && self.ready() {
            self.log(format_args!("holds a list of {servers} servers"));
        }
    }

    /// Reports that a watch requested by the policy failed or ended.
    pub fn watch_failed(&self) {
        self.update_engine_servers(ListKind::Failed, Vec::new());
    }

    /// Returns whether a server of this name is listed or suspended.
    pub fn knows_server(&self, server: &str) -> bool {
        self.directory.borrow().knows(server)
    }

    /// Suspends or restores a server on behalf of an operator. A suspension persists whatever later lists
    /// contain.
    pub fn set_suspended(&self, server: &str, suspended: bool) {
        let update = self.directory.borrow_mut().set_suspended(server, suspended);
        if !update.entries.is_empty() {
            self.upstream.update_servers(&update.targets);
            self.update_engine_servers(ListKind::Changes, update.entries);
        }
    }

    /// Sets this node's position among the live nodes: the point on the ring of servers where its share
    /// starts, and the agreed number of nodes.
    pub fn set_ring_position(&self, start: f64, nodes: u32) {
        self.with_engine(|engine, now| engine.set_ring_position(now, start, nodes));
    }

    /// Returns the number of listed servers and how many of them are suspended.
    pub fn server_counts(&self) -> (usize, usize) {
        self.directory.borrow().counts()
    }

    fn apply(&self, list: &ServerList) -> Vec<ServerEntry> {
        self.revision.set(list.revision);
        let update = self.directory.borrow_mut().apply(list);
        self.upstream.update_servers(&update.targets);
        self.has_servers.set(self.has_servers.get() || !update.entries.is_empty());
        if self.ready() {
            self.servers_available.notify_waiters();
        }
        update.entries
    }

    pub(crate) fn update_engine_servers(&self, kind: ListKind, entries: Vec<ServerEntry>) {
        if let Some(silence) = self.silence.borrow_mut().as_mut() {
            silence.update_servers(matches!(kind, ListKind::Full | ListKind::Cached), &entries);
        }
        if let Some(observer) = self.observer.borrow_mut().as_mut() {
            observer.update_servers(matches!(kind, ListKind::Full | ListKind::Cached), &entries);
        }
        self.with_engine(|engine, now| engine.update_servers(now, kind, entries));
    }
}
