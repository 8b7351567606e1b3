//! The list of servers, as the registry tells it.

use super::World;
use crate::agenda::Happening;
use crate::hall::Life;
use crate::scenario::seconds;
use finchvale::{CellId, KindId, ServerEntry, ServerId, ServerState, ZoneId};
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
            weight: 1.0,
            started: m.started,
        }
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
        for node in 0..self.nodes.len() {
            let at = self.now + seconds(self.scenario.network.spread * self.chance.unit());
            self.agenda.put(at, Happening::List { node, entries: entries.clone() });
        }
    }
}
