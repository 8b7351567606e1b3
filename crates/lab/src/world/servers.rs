//! Servers: what becomes of requests and probes there, and what they say of their load.

use super::World;
use crate::agenda::Happening;
use crate::hall::{since_origin, Life, Machine, ORIGIN};
use crate::model::{Admission, Progress};
use crate::scenario::{seconds, EffectOf};
use birchswitch_engine::{AttemptId, ProbeId};
use finchvale::{LoadReport, Outcome, Time};
use std::time::Duration;

/// Shortest time over which a server's busy part is told, in seconds.
const BUSY_OVER: f64 = 0.1;

impl World {
    /// Does something with a server and tells what came of it.
    pub(super) fn with<T>(
        &mut self,
        server: usize,
        call: impl FnOnce(&mut Machine, Duration, &mut Vec<Progress>) -> T,
    ) -> T {
        let now = since_origin(self.now);
        let mut out = std::mem::take(&mut self.progress);
        let hall = self.hall.clone();
        let mut hall = hall.borrow_mut();
        let m = &mut hall.machines[server];
        let had_fallen = m.model.collapsed();
        let value = call(m, now, &mut out);
        if m.model.collapsed() && !had_fallen {
            self.book.broken.cold += 1;
        }
        self.book.borne = self.book.borne.max(m.model.most_borne());
        let next = m.model.next_event().map(|d| Time(ORIGIN) + d);
        if let Some(next) = next.filter(|n| m.wake.is_none_or(|w| *n < w || w < self.now)) {
            m.wake = Some(next.max(self.now));
            self.agenda.put(next.max(self.now), Happening::Serve(server));
        } else if m.wake.is_some_and(|w| w <= self.now) {
            m.wake = next;
            if let Some(next) = next {
                self.agenda.put(next, Happening::Serve(server));
            }
        }
        let cell = m.cell;
        let mut done = Vec::new();
        for progress in out.drain(..) {
            match progress {
                Progress::Started(job) => {
                    if let Some((_, _, of)) = m.jobs.get(&job) {
                        let o = &mut self.orders[self.tries[*of].order];
                        let again = match self.classes[usize::from(o.class)].effect {
                            EffectOf::Unsafe => !o.begun.is_empty() || o.refused,
                            EffectOf::KeyedCell => o.begun.iter().any(|c| *c != cell),
                            EffectOf::KeyedAll | EffectOf::Safe => false,
                        };
                        if again && !std::mem::replace(&mut o.broken, true) {
                            self.book.broken.effects += 1;
                        }
                        o.begun.push(cell);
                    }
                }
                Progress::Completed(job) => {
                    m.done += 1;
                    done.extend(m.jobs.remove(&job));
                }
            }
        }
        drop(hall);
        self.progress = out;
        for whose in done {
            self.tell(server, whose, Outcome::Served);
        }
        value
    }

    pub(super) fn take(&mut self, node: usize, attempt: AttemptId, server: usize, of: usize, work: f64) {
        let whose = (node, attempt, of);
        let (life, refuses, fails) = {
            let m = &self.hall.borrow().machines[server];
            (m.life, m.refuses, m.fails)
        };
        match life {
            Life::Dead { silent: true } => return,
            Life::Dead { silent: false } => return self.tell(server, whose, Outcome::Unreachable),
            _ if refuses => return self.tell(server, whose, Outcome::Rejected),
            _ if fails => return self.tell(server, whose, Outcome::Error),
            _ => {}
        }
        let job = self.next_job;
        self.next_job += 1;
        let admission = self.with(server, |m, now, out| {
            m.jobs.insert(job, whose);
            let admission = m.model.offer(now, job, work, out);
            if admission == Admission::Rejected {
                m.jobs.remove(&job);
            }
            admission
        });
        match admission {
            Admission::Rejected => self.tell(server, whose, Outcome::Rejected),
            Admission::Accepted => {
                let o = &mut self.orders[self.tries[of].order];
                let first = *o.taken.get_or_insert(self.now);
                // A key is remembered for so long; a repeat after that runs again.
                let class = &self.classes[usize::from(o.class)];
                let (keyed, window) = (class.effect.is_keyed(), seconds(class.window()));
                if keyed && self.now > first + window && !std::mem::replace(&mut o.broken, true) {
                    self.book.broken.effects += 1;
                }
            }
        }
        self.remember(server);
    }

    /// Keeps what a server would say of itself, while reports are late.
    pub(super) fn remember(&mut self, server: usize) {
        if self.late + self.scenario.reports.delay > 0.0 {
            let report = self.measure(server);
            let mut hall = self.hall.borrow_mut();
            let looks = &mut hall.machines[server].looks;
            looks.push_back((self.now, report));
            let old = self.now - Time(ORIGIN);
            let oldest = old.saturating_sub(seconds(self.late + self.scenario.reports.delay));
            while looks.len() > 1 && since_origin(looks[1].0) <= oldest {
                looks.pop_front();
            }
        }
    }

    pub(super) fn measure(&mut self, server: usize) -> LoadReport {
        let (now, counts) = (self.now, self.scenario.reports.counts);
        let over = BUSY_OVER.max(self.scenario.reports.period);
        self.with(server, |m, at, out| {
            let since = (now - m.busy.1).as_secs_f64();
            if since >= over {
                m.busy = (m.model.load(at, out).busy, now);
                m.rate = std::mem::take(&mut m.done) as f64 / since;
            }
            m.model.advance(at, out);
            let held = if m.refuses || m.fails { 0.0 } else { m.model.held() as f64 * m.lie };
            let busy = if m.refuses || m.fails { 0.0 } else { m.busy.0 * m.lie };
            if counts {
                let waiting = Some(held.min(m.model.waiting() as f64 * m.lie));
                let rate = Some(if m.refuses || m.fails { 0.0 } else { m.rate });
                return LoadReport { held: Some(held), waiting, rate, ..LoadReport::default() };
            }
            LoadReport { busy: Some(busy), held: Some(held), ..LoadReport::default() }
        })
    }

    /// A server's word on its load, as old as words are.
    pub(super) fn look(&mut self, server: usize) -> LoadReport {
        let period = seconds(self.scenario.reports.period);
        let age = seconds(self.scenario.reports.delay + self.late);
        let (stuck, last) = {
            let m = &self.hall.borrow().machines[server];
            (m.stuck, m.looks.back().copied())
        };
        if let Some((_, report)) = last.filter(|l| stuck || age.is_zero() && self.now < l.0 + period) {
            return report;
        }
        let report = self.measure(server);
        let told = Time(self.now.0.saturating_sub(age.as_nanos() as u64));
        let mut hall = self.hall.borrow_mut();
        let looks = &mut hall.machines[server].looks;
        if age.is_zero() {
            looks.clear();
        }
        looks.push_back((self.now, report));
        looks.iter().rev().find(|l| l.0 <= told).or(looks.front()).map_or(report, |l| l.1)
    }

    pub(super) fn probe(&mut self, node: usize, probe: ProbeId, server: usize) {
        let cost = self.scenario.reports.probe_work;
        let (life, frozen) = {
            let m = &self.hall.borrow().machines[server];
            (m.life, m.model.frozen(since_origin(self.now)).then(|| m.model.frozen_until()))
        };
        let (outcome, report) = match life {
            Life::Dead { silent: true } => return,
            Life::Dead { silent: false } => (Outcome::Unreachable, None),
            _ => {
                if let Some(until) = frozen {
                    let until = Time(ORIGIN) + until;
                    return self.agenda.put(until.max(self.now), Happening::Probe { node, probe, server });
                }
                self.with(server, |m, now, out| m.model.probe(now, cost, out));
                (Outcome::Served, Some(self.look(server)))
            }
        };
        let way = self.way(self.nodes[node].zone, server);
        if !self.severed(self.nodes[node].zone, server) {
            self.agenda.put(self.now + way, Happening::Probed { node, probe, server, outcome, report });
        }
    }
}
