//! Faults: their begin, recurrence and end.

use super::World;
use crate::event_queue::SimEvent;
use crate::pool::{at, since_origin, Lifecycle, Server};
use crate::scenario::{seconds, Fault, FaultKind};
use finchvale::Outcome;
use std::collections::VecDeque;
use std::time::Duration;

impl World {
    /// Chooses a random fraction of the servers that are up.
    pub(super) fn choose_servers(&mut self, part: f64, zone: Option<u8>) -> Vec<usize> {
        let up = |m: &Server| m.lifecycle == Lifecycle::Up && zone.is_none_or(|z| m.zone == z);
        let mut up: Vec<usize> = {
            let pool = self.pool.borrow();
            (0..pool.servers.len()).filter(|&s| up(&pool.servers[s])).collect()
        };
        let count = (part * up.len() as f64).round() as usize;
        for k in 0..count.min(up.len()) {
            let other = k + self.rng.below(up.len() - k);
            up.swap(k, other);
        }
        up.truncate(count);
        up
    }

    pub(super) fn begin_fault(&mut self, fault: usize) {
        let kind = self.scenario.fault[fault].kind.clone();
        let mark = |world: &mut World, part: f64, set: &dyn Fn(&mut Server)| {
            let chosen = world.choose_servers(part, None);
            for &s in &chosen {
                world.load_report(s);
                set(&mut world.pool.borrow_mut().servers[s]);
            }
            world.affected[fault] = chosen;
        };
        match kind {
            FaultKind::Freeze { part, every, .. } => {
                self.affected[fault] = self.choose_servers(part, None);
                for server in self.affected[fault].clone() {
                    let at = self.now + seconds(every * self.rng.unit());
                    self.queue.schedule(at, SimEvent::FaultRepeats { fault, server });
                }
            }
            FaultKind::Neighbour { part, spell, .. } => {
                self.affected[fault] = self.choose_servers(part, None);
                for server in self.affected[fault].clone() {
                    let at = self.now + seconds(2.0 * spell * self.rng.unit());
                    self.queue.schedule(at, SimEvent::FaultRepeats { fault, server });
                }
            }
            FaultKind::Die { part, back, hall, silent } => {
                let chosen = self.choose_servers(part, hall);
                for &server in &chosen {
                    self.kill_server(server, silent);
                }
                if back.is_finite() {
                    self.queue.schedule(self.now + seconds(back), SimEvent::StartServers(chosen.clone()));
                }
                self.servers_changed(&chosen);
            }
            FaultKind::Release { part, .. } => {
                let left = self.choose_servers(part, None).into();
                self.release_batch(fault, left);
            }
            FaultKind::Drain { part } => {
                self.affected[fault] = self.choose_servers(part, None);
                self.drain_servers(self.affected[fault].clone(), true);
            }
            FaultKind::Refuse { part } => mark(self, part, &|m| m.refuses = true),
            FaultKind::Fail { part } => mark(self, part, &|m| m.fails = true),
            FaultKind::Stuck { part } => mark(self, part, &|m| m.stuck = true),
            FaultKind::Lie { part, factor } => mark(self, part, &|m| m.report_factor = factor),
            FaultKind::Late { delay } => self.report_delay = delay,
            FaultKind::Heavy { part, factor } => self.heavy = (part, factor),
            FaultKind::Tenant { factor } => self.tenant = factor,
            FaultKind::Rate { factor } => self.rate = factor,
            FaultKind::Loud { factor } => self.loud = factor,
            FaultKind::Registry {} => self.silent = true,
            FaultKind::Restart { part, .. } => {
                let mut places: Vec<usize> = (0..self.places.len()).collect();
                let count = (part * places.len() as f64).round() as usize;
                for k in 0..count {
                    let other = k + self.rng.below(places.len() - k);
                    places.swap(k, other);
                }
                places.truncate(count);
                self.restart_batch(fault, places.into());
            }
            FaultKind::Cut { hall } => self.cut_zone = Some(hall),
            FaultKind::Lose { part, reset } => self.answer_loss = (part, reset),
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        match self.scenario.fault[fault].kind {
            FaultKind::Late { .. } => self.report_delay = 0.0,
            FaultKind::Heavy { .. } => self.heavy = (0.0, 1.0),
            FaultKind::Tenant { .. } => self.tenant = 1.0,
            FaultKind::Rate { .. } => self.rate = 1.0,
            FaultKind::Loud { .. } => self.loud = 1.0,
            FaultKind::Cut { .. } => self.cut_zone = None,
            FaultKind::Lose { .. } => self.answer_loss = (0.0, 0.0),
            FaultKind::Drain { .. } => {
                let back = std::mem::take(&mut self.affected[fault]);
                self.drain_servers(back, false);
            }
            FaultKind::Registry {} => {
                self.silent = false;
                let entries = std::mem::take(&mut self.withheld);
                self.registry_changed(entries);
            }
            _ => {
                for s in std::mem::take(&mut self.affected[fault]) {
                    let m = &mut self.pool.borrow_mut().servers[s];
                    (m.refuses, m.fails, m.stuck, m.report_factor) = (false, false, false, 1.0);
                    m.repaired_at = Some(self.now);
                }
            }
        }
    }

    pub(super) fn repeat_fault(&mut self, fault: usize, server: usize) {
        let Fault { until, ref kind, .. } = self.scenario.fault[fault];
        let kind = kind.clone();
        if self.now >= at(until) || self.pool.borrow().servers[server].lifecycle != Lifecycle::Up {
            return;
        }
        let next = match kind {
            FaultKind::Freeze { length, every, .. } => {
                let (length, thaw) = (seconds(length), self.now + seconds(length));
                self.with_server(server, |m, now, out| m.model.freeze(now, length, out));
                self.pool.borrow_mut().servers[server].freezes.push((self.now, thaw));
                every
            }
            FaultKind::Neighbour { left, spell, .. } => {
                self.with_server(server, |m, now, out| m.model.slow(now, left, seconds(spell), out));
                2.0 * spell
            }
            _ => return,
        };
        self.queue.schedule(self.now + seconds(next), SimEvent::FaultRepeats { fault, server });
    }

    /// Kills a batch of nodes and schedules their restart.
    pub(super) fn restart_batch(&mut self, fault: usize, mut left: VecDeque<usize>) {
        let FaultKind::Restart { batch, every, down, .. } = self.scenario.fault[fault].kind else { return };
        let count = ((batch * self.places.len() as f64).round() as usize).clamp(1, left.len().max(1));
        for place in left.drain(..count.min(left.len())).collect::<Vec<_>>() {
            self.kill_node(place);
            self.queue.schedule(self.now + seconds(down), SimEvent::NodeBack(place));
        }
        if !left.is_empty() && every.is_finite() {
            self.queue.schedule(self.now + seconds(every), SimEvent::RestartBatch { fault, left });
        }
    }

    /// Drains a batch and schedules its replacement by cold successors with their own ids.
    pub(super) fn release_batch(&mut self, fault: usize, mut left: VecDeque<usize>) {
        let FaultKind::Release { batch, every, drain, .. } = self.scenario.fault[fault].kind else { return };
        let count = ((batch * f64::from(self.size.servers)).round() as usize).clamp(1, left.len().max(1));
        let old: Vec<usize> = left.drain(..count.min(left.len())).collect();
        if old.is_empty() {
            return;
        }
        let mut successors = Vec::new();
        for &server in &old {
            let successor = {
                let m = &mut self.pool.borrow_mut().servers[server];
                m.lifecycle = Lifecycle::Draining;
                m.model.set_draining(true);
                let model = m.model.new_instance(Duration::ZERO, false);
                let mut successor = Server::new(model, m.speed, m.zone, self.next_cell, None);
                successor.lifecycle = Lifecycle::Dead { silent: false };
                successor
            };
            let mut pool = self.pool.borrow_mut();
            successors.push(pool.servers.len());
            pool.servers.push(successor);
        }
        self.next_cell += 1;
        self.servers_changed(&old);
        let gone = self.now + seconds(drain);
        for server in old {
            self.queue.schedule(gone, SimEvent::KillServer { server, silent: false });
        }
        self.queue.schedule(gone, SimEvent::StartServers(successors));
        self.queue.schedule(self.now + seconds(every), SimEvent::ReleaseBatch { fault, left });
    }

    /// Starts or ends the draining of servers.
    fn drain_servers(&mut self, servers: Vec<usize>, draining: bool) {
        for &server in &servers {
            let m = &mut self.pool.borrow_mut().servers[server];
            m.model.set_draining(draining);
            m.lifecycle = if draining { Lifecycle::Draining } else { Lifecycle::Up };
        }
        self.servers_changed(&servers);
    }

    pub(super) fn kill_server(&mut self, server: usize, silent: bool) {
        let drained = {
            let m = &mut self.pool.borrow_mut().servers[server];
            let drained = m.lifecycle == Lifecycle::Draining;
            m.lifecycle = Lifecycle::Dead { silent };
            m.wake = None;
            drained
        };
        let lost: Vec<_> = {
            let m = &mut self.pool.borrow_mut().servers[server];
            m.model = m.model.new_instance(since_origin(self.now), true);
            let mut lost: Vec<_> = std::mem::take(&mut m.jobs).into_iter().collect();
            lost.sort_by_key(|l| l.0);
            lost.into_iter().map(|l| l.1).collect()
        };
        if !silent {
            lost.into_iter().for_each(|whose| self.finish_attempt(server, whose, Outcome::Broken));
        }
        if drained {
            self.servers_changed(&[server]);
        }
    }

    pub(super) fn start_servers(&mut self, servers: Vec<usize>) {
        for &server in &servers {
            let m = &mut self.pool.borrow_mut().servers[server];
            m.model = m.model.new_instance(since_origin(self.now), true);
            m.lifecycle = Lifecycle::Up;
            m.started = Some(self.now);
            m.reports.clear();
            m.busy = (0.0, self.now);
        }
        self.servers_changed(&servers);
    }
}
