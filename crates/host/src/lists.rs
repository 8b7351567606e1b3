//! Lists of servers, as they come from discovery and as operators change them by hand.

use crate::{Host, Upstream};
use birchswitch_membership::list::ServerList;
use finchvale::{ListKind, ServerEntry};

impl<U: Upstream> Host<U> {
    /// Takes in the list as last known before the start. The decisions are owed one, be it empty.
    pub fn load_cached_list(&self, list: Option<&ServerList>) {
        let entries = list.map(|l| self.take(l)).unwrap_or_default();
        self.told(ListKind::Cached, entries);
    }

    /// Takes in what discovery says.
    pub fn apply_list(&self, list: &ServerList) {
        self.figures.lists.inc();
        let kind = if list.complete { ListKind::Full } else { ListKind::Changes };
        let first = !self.ready();
        let entries = self.take(list);
        let servers = entries.len();
        self.told(kind, entries);
        if first && self.ready() {
            self.log(format_args!("holds a list of {servers} servers"));
        }
    }

    /// A watch that the decisions asked for came to nothing, or ended.
    pub fn watch_failed(&self) {
        self.told(ListKind::Failed, Vec::new());
    }

    /// Whether a server of this name is listed, or was taken out by hand.
    pub fn knows_server(&self, server: &str) -> bool {
        self.directory.borrow().knows(server)
    }

    /// Takes a server out by hand, or lets it in again, whatever lists say of it meanwhile.
    pub fn set_suspended(&self, server: &str, out: bool) {
        let update = self.directory.borrow_mut().set_out(server, out);
        if !update.entries.is_empty() {
            self.upstream.update_servers(&update.targets);
            self.told(ListKind::Changes, update.entries);
        }
    }

    /// Where this node stands among those that live: the part of the ring of servers at which it begins, and nodes as last
    /// agreed.
    pub fn set_ring_position(&self, begins: f64, nodes: u32) {
        self.with(|engine, now| engine.set_ring_position(now, begins, nodes));
    }

    /// Servers listed, and how many of them were taken out by hand.
    pub fn server_counts(&self) -> (usize, usize) {
        self.directory.borrow().count()
    }

    fn take(&self, list: &ServerList) -> Vec<ServerEntry> {
        self.revision.set(list.revision);
        let update = self.directory.borrow_mut().take(list);
        self.upstream.update_servers(&update.targets);
        self.servers_listed.set(self.servers_listed.get() || !update.entries.is_empty());
        if self.ready() {
            self.listed.notify_waiters();
        }
        update.entries
    }

    pub(crate) fn told(&self, kind: ListKind, entries: Vec<ServerEntry>) {
        if let Some(health) = self.health.borrow_mut().as_mut() {
            health.list(matches!(kind, ListKind::Full | ListKind::Cached), &entries);
        }
        if let Some(witness) = self.witness.borrow_mut().as_mut() {
            witness.list(matches!(kind, ListKind::Full | ListKind::Cached), &entries);
        }
        self.with(|engine, now| engine.update_servers(now, kind, entries));
    }
}
