//! One node of each hall asks silent servers for all of that hall's, where a scenario wants it: `birchswitch_health` as nodes wire it.

use super::World;
use crate::agenda::Happening;
use crate::hall::{since_origin, Life};
use crate::scenario::seconds;
use birchswitch_health::{ProbeIntervals, ProbeScheduler, ShortId};
use finchvale::Outcome;
use std::rc::Rc;
use std::time::Duration;

/// Between looks at who is due.
const LOOK: Duration = Duration::from_millis(250);
/// Until a member's value is known to all of a fleet of 300: `birchswitch-lab members value`.
const SPREAD: Duration = Duration::from_millis(2100);
/// Nodes that are told of a return ask within this time, each at its own moment.
const BACK: Duration = Duration::from_millis(500);

/// A server's name, as hashes of names are: told apart by their upper half.
fn name(server: usize) -> u64 {
    (server as u64) << 32
}

fn server(name: u64) -> usize {
    (name >> 32) as usize
}

impl World {
    pub(super) fn begin_rounds(&mut self) {
        if !self.scenario.nodes.health {
            return;
        }
        for hall in 0..self.scenario.network.halls {
            self.rounds.push(ProbeScheduler::new(ProbeIntervals::default()));
            self.agenda.put(self.now, Happening::Rounds(hall));
        }
    }

    /// Whether a question from that hall would get no answer now.
    pub(super) fn mute(&self, zone: u8, server: usize) -> bool {
        let m = &self.hall.borrow().machines[server];
        self.severed(zone, server)
            || matches!(m.life, Life::Dead { .. })
            || m.model.frozen(since_origin(self.now))
    }

    pub(super) fn round(&mut self, hall: u8) {
        self.agenda.put(self.now + LOOK, Happening::Rounds(hall));
        let at = since_origin(self.now);
        let mut changed = false;
        for asked in self.rounds[usize::from(hall)].due(at) {
            self.book.probes += 1;
            let mute = self.mute(hall, server(asked));
            self.book.unheard += u64::from(mute);
            // What comes back within a look comes at once here.
            changed |= self.rounds[usize::from(hall)].record_answer(asked, !mute);
        }
        if changed {
            let silent = Rc::new(self.rounds[usize::from(hall)].silent().collect());
            self.agenda.put(self.now + SPREAD, Happening::Silent(hall, silent));
        }
    }

    pub(super) fn told_silent(&mut self, hall: u8, silent: &[ShortId]) {
        for n in 0..self.nodes.len() {
            let node = &mut self.nodes[n];
            if node.zone != hall || node.dead {
                continue;
            }
            for name in node.spare.update_silent(silent.iter().copied()) {
                let at = self.now + seconds(self.chance.unit() * BACK.as_secs_f64());
                self.agenda.put(at, Happening::AskBack(n, name));
            }
        }
    }

    /// A node's own question to a server that is said to be back.
    pub(super) fn ask_back(&mut self, node: usize, name: u64) {
        if !self.nodes[node].dead {
            self.nodes[node].engine.probe_server(self.now, finchvale::ServerId(server(name) as u32));
            self.pump(node);
        }
    }

    pub(super) fn met(&mut self, node: usize, server: usize, outcome: Outcome) {
        if !self.scenario.nodes.health || !outcome.server_responded() && !outcome.server_unresponsive() {
            return;
        }
        let now = since_origin(self.now);
        let n = &mut self.nodes[node];
        if n.spare.record_outcome(now, name(server), outcome.server_responded()) {
            let hall = n.zone;
            self.agenda
                .put(self.now + seconds(self.scenario.network.same), Happening::Reported(hall, name(server)));
        }
    }

    /// Whether a node spares a question.
    pub(super) fn spares(&mut self, node: usize, server: usize) -> bool {
        let spares = self.scenario.nodes.health
            && self.nodes[node].spare.should_suppress(since_origin(self.now), name(server));
        self.book.spared += u64::from(spares);
        spares
    }
}
