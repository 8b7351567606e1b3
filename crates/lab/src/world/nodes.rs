//! Nodes: what their engines want, and the way to the servers and back.

use super::World;
use crate::agenda::Happening;
use crate::chance::Chance;
use crate::scenario::seconds;
use birchswitch_engine::{Answer, AttemptId, Clearance, Command, Ended};
use finchvale::{Outcome, ServerId};
use std::time::Duration;

impl World {
    /// Carries out what an engine wants, until it wants nothing more.
    pub(super) fn pump(&mut self, node: usize) {
        while let Some(command) = self.nodes[node].engine.command() {
            match command {
                Command::Start { attempt, server, request } => self.send(node, attempt, server, *request),
                Command::Answer { request, answer } => {
                    if let Some(of) = self.nodes[node].requests.remove(&request) {
                        self.book.note(of as u64 ^ u64::from(matches!(answer, Answer::Served(()))) << 40);
                        self.answered(of, &answer);
                    }
                }
                Command::Probe { probe, server } => {
                    self.book.probes += 1;
                    let way = self.way(self.nodes[node].zone, server.0 as usize);
                    let server = server.0 as usize;
                    self.agenda.put(self.now + way, Happening::Probe { node, probe, server });
                }
                Command::Cancel(_) | Command::CancelProbe(_) | Command::Watch | Command::Log(_) => {}
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
        let Clearance::Go(_) = self.nodes[node].engine.clear(self.now, attempt) else {
            return self.nodes[node].engine.ended(self.now, attempt, Ended::bare(Outcome::NotSent));
        };
        let grace = self.hall.borrow().rules.drain_grace;
        let zone = self.nodes[node].zone;
        if self.nodes[node].told.get(&server).is_some_and(|told| self.now > *told + grace) {
            self.book.broken.drains += 1;
        }
        let s = server.0 as usize;
        let way = self.way(zone, s);
        self.book.attempts += 1;
        self.book.crossed += u64::from(self.hall.borrow().machines[s].zone != zone);
        self.book.note(of as u64 ^ u64::from(server.0) << 32);
        let t = &mut self.tries[of];
        // The same try at its n-th attempt is the same work, whatever decides.
        let order = &self.orders[t.order];
        let mut noise =
            Chance::new(self.seed, (1 << 40) + t.order as u64 * 16 + u64::from(t.attempts.min(15)));
        let work = order.work * noise.lognormal(1.0, self.scenario.attempt_noise);
        t.attempts += 1;
        t.sent = Some((s, self.now, work));
        t.outcome = None;
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
        self.book.turned_away += u64::from(outcome == Outcome::TurnedAway);
        if outcome != Outcome::Served {
            self.tries[of].outcome = Some(outcome);
        }
        self.agenda.put(self.now + way, Happening::Told { node, attempt, outcome, report });
    }
}
