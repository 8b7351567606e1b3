//! The registry's list of servers.

use super::World;
use crate::event_queue::SimEvent;
use crate::pool::Lifecycle;
use crate::scenario::seconds;
use finchvale::{CellId, KindId, ListKind, ServerEntry, ServerId, ServerState, ZoneId};
use std::rc::Rc;

impl World {
    pub(super) fn entry(&self, server: usize) -> ServerEntry {
        let m = &self.pool.borrow().servers[server];
        ServerEntry {
            server: ServerId(server as u32),
            name: server as u64,
            zone: ZoneId(m.zone),
            kind: KindId(0),
            cell: CellId(m.cell),
            state: match m.lifecycle {
                Lifecycle::Up => ServerState::Ready,
                Lifecycle::Draining => ServerState::Draining,
                Lifecycle::Dead { .. } => ServerState::Gone,
            },
            weight: self.scenario.weight_of(server),
            started: m.started,
        }
    }

    /// Sends the full list to a node that has just started.
    pub(super) fn send_full_list(&mut self, node: usize) {
        let servers = self.pool.borrow().servers.len();
        let listed = (0..servers).map(|s| self.entry(s)).filter(|e| e.state != ServerState::Gone);
        let entries = listed.collect();
        self.nodes[node].engine.update_servers(self.now, ListKind::Full, entries);
        self.run_commands(node);
    }

    /// Schedules the registry's detection of changed servers.
    pub(super) fn servers_changed(&mut self, servers: &[usize]) {
        let entries = servers.iter().map(|&s| self.entry(s)).collect();
        let at = self.now + seconds(self.scenario.network.notice);
        self.queue.schedule(at, SimEvent::RegistryChanged(entries));
    }

    pub(super) fn registry_changed(&mut self, entries: Vec<ServerEntry>) {
        if self.silent {
            return self.withheld.extend(entries);
        }
        let entries = Rc::new(entries);
        for node in self.places.clone() {
            let at = self.now + seconds(self.scenario.network.spread * self.rng.unit());
            self.queue.schedule(at, SimEvent::ListDelivered { node, entries: entries.clone() });
        }
    }
}
