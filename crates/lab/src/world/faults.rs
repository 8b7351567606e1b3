//! Faults: when they begin, go on and end.

use super::World;
use crate::agenda::Happening;
use crate::hall::{at, since_origin, Life, Machine};
use crate::scenario::{seconds, Deed, Fault};
use finchvale::Outcome;
use std::collections::VecDeque;
use std::time::Duration;

impl World {
    /// So many of the servers that are up, by chance.
    pub(super) fn choose(&mut self, part: f64, hall: Option<u8>) -> Vec<usize> {
        let up = |m: &Machine| m.life == Life::Up && hall.is_none_or(|h| m.zone == h);
        let mut up: Vec<usize> = {
            let hall = self.hall.borrow();
            (0..hall.machines.len()).filter(|&s| up(&hall.machines[s])).collect()
        };
        let count = (part * up.len() as f64).round() as usize;
        for k in 0..count.min(up.len()) {
            let other = k + self.chance.below(up.len() - k);
            up.swap(k, other);
        }
        up.truncate(count);
        up
    }

    pub(super) fn begin(&mut self, fault: usize) {
        let deed = self.scenario.fault[fault].deed.clone();
        let flag = |world: &mut World, part: f64, set: &dyn Fn(&mut Machine)| {
            let chosen = world.choose(part, None);
            for &s in &chosen {
                world.look(s);
                set(&mut world.hall.borrow_mut().machines[s]);
            }
            world.struck[fault] = chosen;
        };
        match deed {
            Deed::Freeze { part, every, .. } => {
                self.struck[fault] = self.choose(part, None);
                for server in self.struck[fault].clone() {
                    let at = self.now + seconds(every * self.chance.unit());
                    self.agenda.put(at, Happening::Again { fault, server });
                }
            }
            Deed::Neighbour { part, spell, .. } => {
                self.struck[fault] = self.choose(part, None);
                for server in self.struck[fault].clone() {
                    let at = self.now + seconds(2.0 * spell * self.chance.unit());
                    self.agenda.put(at, Happening::Again { fault, server });
                }
            }
            Deed::Die { part, back, hall, silent } => {
                let chosen = self.choose(part, hall);
                for &server in &chosen {
                    self.kill(server, silent);
                }
                if back.is_finite() {
                    self.agenda.put(self.now + seconds(back), Happening::Start(chosen.clone()));
                }
                self.changed(&chosen);
            }
            Deed::Release { part, .. } => {
                let left = self.choose(part, None).into();
                self.batch(fault, left);
            }
            Deed::Drain { part } => {
                self.struck[fault] = self.choose(part, None);
                self.drain(self.struck[fault].clone(), true);
            }
            Deed::Refuse { part } => flag(self, part, &|m| m.refuses = true),
            Deed::Fail { part } => flag(self, part, &|m| m.fails = true),
            Deed::Stuck { part } => flag(self, part, &|m| m.stuck = true),
            Deed::Lie { part, factor } => flag(self, part, &|m| m.lie = factor),
            Deed::Late { delay } => self.late = delay,
            Deed::Heavy { part, factor } => self.heavy = (part, factor),
            Deed::Tenant { factor } => self.tenant = factor,
            Deed::Rate { factor } => self.rate = factor,
            Deed::Loud { factor } => self.loud = factor,
            Deed::Registry {} => self.silent = true,
            Deed::Restart { part, .. } => {
                let mut places: Vec<usize> = (0..self.places.len()).collect();
                let count = (part * places.len() as f64).round() as usize;
                for k in 0..count {
                    let other = k + self.chance.below(places.len() - k);
                    places.swap(k, other);
                }
                places.truncate(count);
                self.restart(fault, places.into());
            }
            Deed::Cut { hall } => self.cut = Some(hall),
            Deed::Lose { part, reset } => self.lost = (part, reset),
        }
    }

    pub(super) fn end(&mut self, fault: usize) {
        match self.scenario.fault[fault].deed {
            Deed::Late { .. } => self.late = 0.0,
            Deed::Heavy { .. } => self.heavy = (0.0, 1.0),
            Deed::Tenant { .. } => self.tenant = 1.0,
            Deed::Rate { .. } => self.rate = 1.0,
            Deed::Loud { .. } => self.loud = 1.0,
            Deed::Cut { .. } => self.cut = None,
            Deed::Lose { .. } => self.lost = (0.0, 0.0),
            Deed::Drain { .. } => {
                let back = std::mem::take(&mut self.struck[fault]);
                self.drain(back, false);
            }
            Deed::Registry {} => {
                self.silent = false;
                let entries = std::mem::take(&mut self.held_back);
                self.noticed(entries);
            }
            _ => {
                for s in std::mem::take(&mut self.struck[fault]) {
                    let m = &mut self.hall.borrow_mut().machines[s];
                    (m.refuses, m.fails, m.stuck, m.lie) = (false, false, false, 1.0);
                    m.mended = Some(self.now);
                }
            }
        }
    }

    pub(super) fn again(&mut self, fault: usize, server: usize) {
        let Fault { until, ref deed, .. } = self.scenario.fault[fault];
        let deed = deed.clone();
        if self.now >= at(until) || self.hall.borrow().machines[server].life != Life::Up {
            return;
        }
        let next = match deed {
            Deed::Freeze { length, every, .. } => {
                let (length, thaw) = (seconds(length), self.now + seconds(length));
                self.with(server, |m, now, out| m.model.freeze(now, length, out));
                self.hall.borrow_mut().machines[server].freezes.push((self.now, thaw));
                every
            }
            Deed::Neighbour { left, spell, .. } => {
                self.with(server, |m, now, out| m.model.slow(now, left, seconds(spell), out));
                2.0 * spell
            }
            _ => return,
        };
        self.agenda.put(self.now + seconds(next), Happening::Again { fault, server });
    }

    /// A batch of nodes is killed, and will be back.
    pub(super) fn restart(&mut self, fault: usize, mut left: VecDeque<usize>) {
        let Deed::Restart { batch, every, down, .. } = self.scenario.fault[fault].deed else { return };
        let count = ((batch * self.places.len() as f64).round() as usize).clamp(1, left.len().max(1));
        for place in left.drain(..count.min(left.len())).collect::<Vec<_>>() {
            self.kill_node(place);
            self.agenda.put(self.now + seconds(down), Happening::Back(place));
        }
        if !left.is_empty() && every.is_finite() {
            self.agenda.put(self.now + seconds(every), Happening::Restart { fault, left });
        }
    }

    /// A batch drains and is replaced by cold successors with names of their own.
    pub(super) fn batch(&mut self, fault: usize, mut left: VecDeque<usize>) {
        let Deed::Release { batch, every, drain, .. } = self.scenario.fault[fault].deed else { return };
        let count = ((batch * f64::from(self.size.servers)).round() as usize).clamp(1, left.len().max(1));
        let old: Vec<usize> = left.drain(..count.min(left.len())).collect();
        if old.is_empty() {
            return;
        }
        let mut successors = Vec::new();
        for &server in &old {
            let successor = {
                let m = &mut self.hall.borrow_mut().machines[server];
                m.life = Life::Draining;
                m.model.set_draining(true);
                let model = m.model.fresh(Duration::ZERO, false);
                let mut successor = Machine::new(model, m.speed, m.zone, self.next_cell, None);
                successor.life = Life::Dead { silent: false };
                successor
            };
            let mut hall = self.hall.borrow_mut();
            successors.push(hall.machines.len());
            hall.machines.push(successor);
        }
        self.next_cell += 1;
        self.changed(&old);
        let gone = self.now + seconds(drain);
        for server in old {
            self.agenda.put(gone, Happening::Kill { server, silent: false });
        }
        self.agenda.put(gone, Happening::Start(successors));
        self.agenda.put(self.now + seconds(every), Happening::Batch { fault, left });
    }

    /// Servers drain, or take work again.
    fn drain(&mut self, servers: Vec<usize>, drains: bool) {
        for &server in &servers {
            let m = &mut self.hall.borrow_mut().machines[server];
            m.model.set_draining(drains);
            m.life = if drains { Life::Draining } else { Life::Up };
        }
        self.changed(&servers);
    }

    pub(super) fn kill(&mut self, server: usize, silent: bool) {
        let drained = {
            let m = &mut self.hall.borrow_mut().machines[server];
            let drained = m.life == Life::Draining;
            m.life = Life::Dead { silent };
            m.wake = None;
            drained
        };
        let lost: Vec<_> = {
            let m = &mut self.hall.borrow_mut().machines[server];
            m.model = m.model.fresh(since_origin(self.now), true);
            let mut lost: Vec<_> = std::mem::take(&mut m.jobs).into_iter().collect();
            lost.sort_by_key(|l| l.0);
            lost.into_iter().map(|l| l.1).collect()
        };
        if !silent {
            lost.into_iter().for_each(|whose| self.tell(server, whose, Outcome::Broken));
        }
        if drained {
            self.changed(&[server]);
        }
    }

    pub(super) fn start(&mut self, servers: Vec<usize>) {
        for &server in &servers {
            let m = &mut self.hall.borrow_mut().machines[server];
            m.model = m.model.fresh(since_origin(self.now), true);
            m.life = Life::Up;
            m.started = Some(self.now);
            m.looks.clear();
            m.busy = (0.0, self.now);
        }
        self.changed(&servers);
    }
}
