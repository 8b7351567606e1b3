//! The list of servers, as the registry tells it.

use super::World;
use crate::agenda::Happening;
use crate::hall::Life;
use crate::scenario::seconds;
use finchvale::{CellId, KindId, ListKind, ServerEntry, ServerId, ServerState, ZoneId};
use std::rc::Rc;

impl World {
    pub(super) fn entry(&self, server: usize) -> ServerEntry {
        let m = &self.hall.borrow().machines[server];
        ServerEntry {
            server: ServerId(server as u32),
            name: server as u64,
            zone: ZoneId(m.zone),
            kind: KindId(0),
            cell: CellId(m.cell),
            state: match m.life {
                Life::Up => ServerState::Ready,
                Life::Draining => ServerState::Draining,
                Life::Dead { .. } => ServerState::Gone,
            },
            weight: self.scenario.weight_of(server),
            started: m.started,
        }
    }

    /// A node that has just started is told the list as it stands.
    pub(super) fn tell_all(&mut self, node: usize) {
        let servers = self.hall.borrow().machines.len();
        let listed = (0..servers).map(|s| self.entry(s)).filter(|e| e.state != ServerState::Gone);
        let entries = listed.collect();
        self.nodes[node].engine.update_servers(self.now, ListKind::Full, entries);
        self.pump(node);
    }

    /// Some servers have changed: the registry will notice.
    pub(super) fn changed(&mut self, servers: &[usize]) {
        let entries = servers.iter().map(|&s| self.entry(s)).collect();
        let at = self.now + seconds(self.scenario.network.notice);
        self.agenda.put(at, Happening::Noticed(entries));
    }

    pub(super) fn noticed(&mut self, entries: Vec<ServerEntry>) {
        if self.silent {
            return self.held_back.extend(entries);
        }
        let entries = Rc::new(entries);
        for node in self.places.clone() {
            let at = self.now + seconds(self.scenario.network.spread * self.chance.unit());
            self.agenda.put(at, Happening::List { node, entries: entries.clone() });
        }
    }
}
