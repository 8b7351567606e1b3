//! Nodes: what their engines want, and the way to the servers and back.

use super::common::Common;
use super::{Node, World};
use crate::agenda::Happening;
use crate::book::Cause;
use crate::rng::Rng;
use crate::scenario::{seconds, IDLE};
use birchswitch_engine::{Answer, AttemptId, AttemptResult, Command, Engine, SendPermit};
use birchswitch_health::ProbeSuppressor;
use finchvale::{Outcome, ServerId, SettingsError};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The part of the time after which a server closes an idle connection for which a node uses it.
const USED: f64 = 0.75;

impl World {
    /// A node from nothing, at one of the fleet's places.
    pub(super) fn begin_node(&mut self, place: usize) -> Result<usize, SettingsError> {
        let node = self.nodes.len();
        let settings = self.scenario.settings(self.size, place as u32);
        let seed = Rng::new(self.seed, 1000 + node as u64).bits();
        let decide = self.peer.decide(settings.clone(), seed, self.now, &self.hall, &self.together)?;
        self.nodes.push(Node {
            engine: Engine::new(decide, &settings),
            zone: settings.zone.0,
            wake: None,
            requests: FxHashMap::default(),
            told: FxHashMap::default(),
            idle: FxHashMap::default(),
            dead: false,
            spare: ProbeSuppressor::default(),
            asked: FxHashMap::default(),
            common: Common::default(),
        });
        self.begin_reports(node);
        Ok(node)
    }

    /// Kills the node at a place, with all that it holds.
    pub(super) fn kill_node(&mut self, place: usize) {
        let node = &mut self.nodes[self.places[place]];
        node.dead = true;
        for of in std::mem::take(&mut node.requests).into_values() {
            let t = &mut self.tries[of];
            t.lost = true;
            self.orders[t.order].ended = Some(Err(Cause::NodeGone));
        }
    }

    /// A node that was killed is back, under its place's name.
    pub(super) fn back(&mut self, place: usize) {
        // Its settings were sound at the start.
        if let Ok(node) = self.begin_node(place) {
            self.places[place] = node;
            self.tell_all(node);
        }
    }

    /// Takes a connection to a server, and says how long that takes.
    fn connection(&mut self, node: usize, server: usize) -> Duration {
        let started = self.hall.borrow().machines[server].started;
        let n = &mut self.nodes[node];
        let idle = n.idle.entry(server).or_default();
        let lives = seconds(IDLE * USED);
        idle.retain(|since| self.now < *since + lives && started.is_none_or(|at| at <= *since));
        if idle.pop().is_some() {
            return Duration::ZERO;
        }
        self.book.handshakes += 1;
        let zone = n.zone;
        match self.scenario.network.connect {
            true => 2 * self.way(zone, server),
            false => Duration::ZERO,
        }
    }

    /// What came back leaves its connection, where that is whole.
    pub(super) fn released(&mut self, node: usize, server: usize, outcome: Outcome) {
        if matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Rejected) {
            self.nodes[node].idle.entry(server).or_default().push(self.now);
        }
    }

    /// Whether nothing passes between a hall and a server's.
    pub(super) fn severed(&self, zone: u8, server: usize) -> bool {
        let other = self.hall.borrow().machines[server].zone;
        self.cut.is_some_and(|cut| (zone == cut) != (other == cut))
    }

    /// Carries out what an engine wants, until it wants nothing more.
    pub(super) fn pump(&mut self, node: usize) {
        while let Some(command) = self.nodes[node].engine.next_command() {
            match command {
                Command::Start { attempt, server, request } => self.send(node, attempt, server, *request),
                Command::Answer { request, answer } => {
                    if let Some(of) = self.nodes[node].requests.remove(&request) {
                        self.book.note(of as u64 ^ u64::from(matches!(answer, Answer::Served(()))) << 40);
                        self.answered(of, &answer);
                    }
                }
                Command::Probe { probe, server } => {
                    let server = server.0 as usize;
                    let zone = self.nodes[node].zone;
                    if self.spares(node, server) {
                        self.nodes[node].engine.probe_ended(self.now, probe, Outcome::Unreachable, None);
                        continue;
                    }
                    self.book.probes += 1;
                    self.book.unheard += u64::from(self.mute(zone, server));
                    self.nodes[node].asked.insert(probe, server);
                    if self.severed(zone, server) {
                        continue;
                    }
                    let way = self.connection(node, server) + self.way(zone, server);
                    self.agenda.put(self.now + way, Happening::Probe { node, probe, server });
                }
                Command::CancelProbe(probe) => {
                    if let Some(server) = self.nodes[node].asked.remove(&probe) {
                        self.met(node, server, Outcome::TimedOut);
                    }
                }
                Command::Cancel(attempt) => self.came_to(node, attempt, Outcome::TimedOut),
                Command::Watch | Command::Log(_) | Command::Completed { .. } => {}
            }
        }
        let n = &mut self.nodes[node];
        if let Some(at) = n.engine.next_wake().filter(|at| n.wake.is_none_or(|w| *at < w)) {
            let at = at.max(self.now);
            n.wake = Some(at);
            self.agenda.put(at, Happening::Wake(node));
        }
    }

    pub(super) fn send(&mut self, node: usize, attempt: AttemptId, server: ServerId, of: usize) {
        let SendPermit::Granted(_) = self.nodes[node].engine.permit_send(self.now, attempt) else {
            return self.nodes[node].engine.attempt_ended(
                self.now,
                attempt,
                AttemptResult::from_outcome(Outcome::NotSent),
            );
        };
        let grace = self.hall.borrow().rules.drain_grace;
        let zone = self.nodes[node].zone;
        if self.nodes[node].told.get(&server).is_some_and(|told| self.now > *told + grace) {
            self.book.broken.drains += 1;
        }
        let s = server.0 as usize;
        let way = self.connection(node, s) + self.way(zone, s);
        self.book.attempts += 1;
        self.went(node, attempt, s);
        self.book.crossed += u64::from(self.hall.borrow().machines[s].zone != zone);
        self.book.note(of as u64 ^ u64::from(server.0) << 32);
        let t = &mut self.tries[of];
        // The same try at its n-th attempt is the same work, whatever decides.
        let order = &self.orders[t.order];
        let mut noise = Rng::new(self.seed, (1 << 40) + t.order as u64 * 16 + u64::from(t.attempts.min(15)));
        let work = order.work * noise.lognormal(1.0, self.scenario.attempt_noise);
        t.attempts += 1;
        t.sent = Some((s, self.now, work));
        t.outcome = None;
        if self.severed(zone, s) {
            return;
        }
        self.agenda.put(self.now + way, Happening::Take { node, attempt, server: s, of, work });
    }

    /// One way between a node's hall and a server.
    pub(super) fn way(&mut self, zone: u8, server: usize) -> Duration {
        let net = &self.scenario.network;
        let same = self.hall.borrow().machines[server].zone == zone;
        seconds(if same { net.same } else { net.cross } * (1.0 + 0.2 * self.chance.unit()))
    }

    pub(super) fn tell(
        &mut self,
        server: usize,
        (node, attempt, of): (usize, AttemptId, usize),
        outcome: Outcome,
    ) {
        let way = self.way(self.nodes[node].zone, server);
        let with_answers = !self.scenario.reports.by_probe;
        let report =
            (with_answers && matches!(outcome, Outcome::Served | Outcome::Error)).then(|| self.look(server));
        self.book.turned_away += u64::from(outcome == Outcome::Rejected);
        // Drawn only where answers get lost, so that other scenarios play as without.
        let lost = self.lost.0 > 0.0 && self.chance.unit() < self.lost.0;
        let reset = lost && self.chance.unit() < self.lost.1;
        if lost && !reset || self.severed(self.nodes[node].zone, server) {
            return;
        }
        let outcome = if reset { Outcome::Broken } else { outcome };
        if outcome != Outcome::Served {
            self.tries[of].outcome = Some(outcome);
        }
        self.agenda.put(self.now + way, Happening::Told { node, attempt, server, outcome, report });
    }
}
