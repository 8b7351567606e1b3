//! One node per zone probes silent servers for all nodes of the zone, if the scenario enables it; wires
//! `birchswitch_health` as nodes do.

use super::World;
use crate::event_queue::SimEvent;
use crate::pool::{since_origin, Lifecycle};
use crate::scenario::seconds;
use birchswitch_health::{ProbeIntervals, ProbeScheduler, ShortId};
use finchvale::Outcome;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks for probes that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time until all members of a fleet of 300 know a published value: measured by `birchswitch-lab members value`.
const PUBLISH_DELAY: Duration = Duration::from_millis(2100);
/// Nodes that learn of a server's return probe it at a random moment within this time.
const REPROBE_WITHIN: Duration = Duration::from_millis(500);

/// A server's name as a hash, which is distinguished by its upper half.
fn name(server: usize) -> u64 {
    (server as u64) << 32
}

fn server(name: u64) -> usize {
    (name >> 32) as usize
}

impl World {
    pub(super) fn start_probe_rounds(&mut self) {
        if !self.scenario.nodes.health {
            return;
        }
        for zone in 0..self.scenario.network.halls {
            self.probe_schedulers.push(ProbeScheduler::new(ProbeIntervals::default()));
            self.queue.schedule(self.now, SimEvent::ProbeRound(zone));
        }
    }

    /// Whether a probe from that zone would get no answer now.
    pub(super) fn is_unresponsive(&self, zone: u8, server: usize) -> bool {
        let m = &self.pool.borrow().servers[server];
        self.is_partitioned(zone, server)
            || matches!(m.lifecycle, Lifecycle::Dead { .. })
            || m.model.frozen(since_origin(self.now))
    }

    pub(super) fn probe_round(&mut self, zone: u8) {
        self.queue.schedule(self.now + CHECK_INTERVAL, SimEvent::ProbeRound(zone));
        let at = since_origin(self.now);
        let mut any_changed = false;
        for name in self.probe_schedulers[usize::from(zone)].due(at) {
            self.stats.probes += 1;
            let unresponsive = self.is_unresponsive(zone, server(name));
            self.stats.unanswered_probes += u64::from(unresponsive);
            // Answers that arrive within one check interval are simulated as immediate.
            any_changed |= self.probe_schedulers[usize::from(zone)].record_answer(name, !unresponsive);
        }
        if any_changed {
            let silent = Rc::new(self.probe_schedulers[usize::from(zone)].silent().collect());
            self.queue.schedule(self.now + PUBLISH_DELAY, SimEvent::SilentServers(zone, silent));
        }
    }

    pub(super) fn apply_silent_servers(&mut self, zone: u8, silent: &[ShortId]) {
        for n in 0..self.nodes.len() {
            let node = &mut self.nodes[n];
            if node.zone != zone || node.dead {
                continue;
            }
            for name in node.suppressor.update_silent(silent.iter().copied()) {
                let at = self.now + seconds(self.rng.unit() * REPROBE_WITHIN.as_secs_f64());
                self.queue.schedule(at, SimEvent::ReprobeServer(n, name));
            }
        }
    }

    /// A node's own probe to a server that was reported to respond again.
    pub(super) fn reprobe(&mut self, node: usize, name: u64) {
        if !self.nodes[node].dead {
            self.nodes[node].engine.probe_server(self.now, finchvale::ServerId(server(name) as u32));
            self.run_commands(node);
        }
    }

    pub(super) fn record_contact(&mut self, node: usize, server: usize, outcome: Outcome) {
        if !self.scenario.nodes.health || !outcome.server_responded() && !outcome.server_unresponsive() {
            return;
        }
        let now = since_origin(self.now);
        let n = &mut self.nodes[node];
        if n.suppressor.record_outcome(now, name(server), outcome.server_responded()) {
            let zone = n.zone;
            self.queue.schedule(
                self.now + seconds(self.scenario.network.same),
                SimEvent::SilenceReported(zone, name(server)),
            );
        }
    }

    /// Whether a node suppresses a probe.
    pub(super) fn suppresses_probe(&mut self, node: usize, server: usize) -> bool {
        let suppressed = self.scenario.nodes.health
            && self.nodes[node].suppressor.should_suppress(since_origin(self.now), name(server));
        self.stats.suppressed_probes += u64::from(suppressed);
        suppressed
    }
}
