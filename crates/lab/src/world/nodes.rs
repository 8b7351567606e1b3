//! Nodes: execution of their engines' commands, and the network between nodes and servers.

use super::adjustments::Adjustments;
use super::{Node, World};
use crate::event_queue::SimEvent;
use crate::rng::Rng;
use crate::scenario::{seconds, IDLE};
use crate::stats::LossCause;
use birchswitch_engine::{Answer, AttemptId, AttemptResult, Command, Engine, SendPermit};
use birchswitch_health::ProbeSuppressor;
use finchvale::{Outcome, ServerId, SettingsError};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// Fraction of the servers' idle timeout for which a node reuses an idle connection.
const IDLE_REUSE: f64 = 0.75;

impl World {
    /// Starts a node without state at a place in the fleet.
    pub(super) fn start_node(&mut self, place: usize) -> Result<usize, SettingsError> {
        let node = self.nodes.len();
        let settings = self.scenario.settings(self.size, place as u32);
        let seed = Rng::new(self.seed, 1000 + node as u64).bits();
        let policy = self.peer.build_policy(settings.clone(), seed, self.now, &self.pool, &self.shared)?;
        self.nodes.push(Node {
            engine: Engine::new(policy, &settings),
            zone: settings.zone.0,
            wake: None,
            requests: FxHashMap::default(),
            draining_since: FxHashMap::default(),
            idle: FxHashMap::default(),
            dead: false,
            suppressor: ProbeSuppressor::default(),
            pending_probes: FxHashMap::default(),
            adjustments: Adjustments::default(),
        });
        self.schedule_reports(node);
        Ok(node)
    }

    /// Kills the node at a place, with all its requests.
    pub(super) fn kill_node(&mut self, place: usize) {
        let node = &mut self.nodes[self.places[place]];
        node.dead = true;
        for try_index in std::mem::take(&mut node.requests).into_values() {
            let t = &mut self.tries[try_index];
            t.lost = true;
            self.client_requests[t.request].ended = Some(Err(LossCause::NodeGone));
        }
    }

    /// Starts a killed node again at its place.
    pub(super) fn restart_node(&mut self, place: usize) {
        // The same settings were accepted at the start of the run.
        if let Ok(node) = self.start_node(place) {
            self.places[place] = node;
            self.send_full_list(node);
        }
    }

    /// Takes an idle connection to a server or opens one; returns the time that takes.
    fn take_connection(&mut self, node: usize, server: usize) -> Duration {
        let started = self.pool.borrow().servers[server].started;
        let n = &mut self.nodes[node];
        let idle = n.idle.entry(server).or_default();
        let reusable = seconds(IDLE * IDLE_REUSE);
        idle.retain(|since| self.now < *since + reusable && started.is_none_or(|at| at <= *since));
        if idle.pop().is_some() {
            return Duration::ZERO;
        }
        self.stats.handshakes += 1;
        let zone = n.zone;
        match self.scenario.network.connect {
            true => 2 * self.one_way_delay(zone, server),
            false => Duration::ZERO,
        }
    }

    /// Returns the connection to the idle ones if it is intact.
    pub(super) fn return_connection(&mut self, node: usize, server: usize, outcome: Outcome) {
        if matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Rejected) {
            self.nodes[node].idle.entry(server).or_default().push(self.now);
        }
    }

    /// Whether a zone and a server's zone are partitioned.
    pub(super) fn is_partitioned(&self, zone: u8, server: usize) -> bool {
        let other = self.pool.borrow().servers[server].zone;
        self.cut_zone.is_some_and(|cut| (zone == cut) != (other == cut))
    }

    /// Executes an engine's commands until there are none left.
    pub(super) fn run_commands(&mut self, node: usize) {
        while let Some(command) = self.nodes[node].engine.next_command() {
            match command {
                Command::Start { attempt, server, request } => self.send(node, attempt, server, *request),
                Command::Answer { request, answer } => {
                    if let Some(try_index) = self.nodes[node].requests.remove(&request) {
                        self.stats.update_digest(
                            try_index as u64 ^ u64::from(matches!(answer, Answer::Served(()))) << 40,
                        );
                        self.answered(try_index, &answer);
                    }
                }
                Command::Probe { probe, server } => {
                    let server = server.0 as usize;
                    let zone = self.nodes[node].zone;
                    if self.suppresses_probe(node, server) {
                        self.nodes[node].engine.probe_ended(self.now, probe, Outcome::Unreachable, None);
                        continue;
                    }
                    self.stats.probes += 1;
                    self.stats.unanswered_probes += u64::from(self.is_unresponsive(zone, server));
                    self.nodes[node].pending_probes.insert(probe, server);
                    if self.is_partitioned(zone, server) {
                        continue;
                    }
                    let delay = self.take_connection(node, server) + self.one_way_delay(zone, server);
                    self.queue.schedule(self.now + delay, SimEvent::ProbeArrived { node, probe, server });
                }
                Command::CancelProbe(probe) => {
                    if let Some(server) = self.nodes[node].pending_probes.remove(&probe) {
                        self.record_contact(node, server, Outcome::TimedOut);
                    }
                }
                Command::Cancel(attempt) => self.record_attempt_end(node, attempt, Outcome::TimedOut),
                Command::Watch | Command::Log(_) | Command::Completed { .. } => {}
            }
        }
        let n = &mut self.nodes[node];
        if let Some(at) = n.engine.next_wake().filter(|at| n.wake.is_none_or(|w| *at < w)) {
            let at = at.max(self.now);
            n.wake = Some(at);
            self.queue.schedule(at, SimEvent::NodeWake(node));
        }
    }

    pub(super) fn send(&mut self, node: usize, attempt: AttemptId, server: ServerId, try_index: usize) {
        let SendPermit::Granted { .. } = self.nodes[node].engine.permit_send(self.now, attempt) else {
            return self.nodes[node].engine.attempt_ended(
                self.now,
                attempt,
                AttemptResult::from_outcome(Outcome::NotSent),
            );
        };
        let grace = self.pool.borrow().rules.drain_grace;
        let zone = self.nodes[node].zone;
        if self.nodes[node].draining_since.get(&server).is_some_and(|told| self.now > *told + grace) {
            self.stats.violations.drains += 1;
        }
        let s = server.0 as usize;
        let delay = self.take_connection(node, s) + self.one_way_delay(zone, s);
        self.stats.attempts += 1;
        self.attempt_sent(node, attempt, s);
        self.stats.cross_zone += u64::from(self.pool.borrow().servers[s].zone != zone);
        self.stats.update_digest(try_index as u64 ^ u64::from(server.0) << 32);
        let t = &mut self.tries[try_index];
        // The n-th attempt of a request has the same work under every policy.
        let request = &self.client_requests[t.request];
        let mut noise =
            Rng::new(self.seed, (1 << 40) + t.request as u64 * 16 + u64::from(t.attempts.min(15)));
        let work = request.work * noise.lognormal(1.0, self.scenario.attempt_noise);
        t.attempts += 1;
        t.sent = Some((s, self.now, work));
        t.outcome = None;
        if self.is_partitioned(zone, s) {
            return;
        }
        self.queue.schedule(
            self.now + delay,
            SimEvent::AttemptArrived { node, attempt, server: s, try_index, work },
        );
    }

    /// Random one-way delay between a zone and a server.
    pub(super) fn one_way_delay(&mut self, zone: u8, server: usize) -> Duration {
        let net = &self.scenario.network;
        let same = self.pool.borrow().servers[server].zone == zone;
        seconds(if same { net.same } else { net.cross } * (1.0 + 0.2 * self.rng.unit()))
    }

    pub(super) fn finish_attempt(
        &mut self,
        server: usize,
        (node, attempt, try_index): (usize, AttemptId, usize),
        outcome: Outcome,
    ) {
        let delay = self.one_way_delay(self.nodes[node].zone, server);
        let with_answers = !self.scenario.reports.by_probe;
        let report = (with_answers && matches!(outcome, Outcome::Served | Outcome::Error))
            .then(|| self.load_report(server));
        self.stats.turned_away += u64::from(outcome == Outcome::Rejected);
        // Drawn only if answers get lost, so that other scenarios keep their random sequence.
        let lost = self.answer_loss.0 > 0.0 && self.rng.unit() < self.answer_loss.0;
        let reset = lost && self.rng.unit() < self.answer_loss.1;
        if lost && !reset || self.is_partitioned(self.nodes[node].zone, server) {
            return;
        }
        let outcome = if reset { Outcome::Broken } else { outcome };
        if outcome != Outcome::Served {
            self.tries[try_index].outcome = Some(outcome);
        }
        self.queue
            .schedule(self.now + delay, SimEvent::AttemptEnded { node, attempt, server, outcome, report });
    }
}
