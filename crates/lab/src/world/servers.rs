//! Servers: processing of requests and probes, and load reports.

use super::World;
use crate::event_queue::SimEvent;
use crate::model::{Admission, Progress};
use crate::pool::{since_origin, Lifecycle, Server, ORIGIN};
use crate::scenario::{seconds, EffectSpec};
use birchswitch_engine::{AttemptId, ProbeId};
use finchvale::{LoadReport, Outcome, Time};
use std::time::Duration;

/// Minimum interval for measuring the busy fraction, in seconds.
const BUSY_INTERVAL: f64 = 0.1;

impl World {
    /// Runs `call` on a server and handles the progress that results.
    pub(super) fn with_server<T>(
        &mut self,
        server: usize,
        call: impl FnOnce(&mut Server, Duration, &mut Vec<Progress>) -> T,
    ) -> T {
        let now = since_origin(self.now);
        let mut out = std::mem::take(&mut self.progress);
        let pool = self.pool.clone();
        let mut pool = pool.borrow_mut();
        let m = &mut pool.servers[server];
        let had_fallen = m.model.collapsed();
        let value = call(m, now, &mut out);
        if m.model.collapsed() && !had_fallen {
            self.stats.violations.cold += 1;
        }
        self.stats.peak_cold_load = self.stats.peak_cold_load.max(m.model.peak_cold_load());
        let next = m.model.next_event().map(|d| Time(ORIGIN) + d);
        if let Some(next) = next.filter(|n| m.wake.is_none_or(|w| *n < w || w < self.now)) {
            m.wake = Some(next.max(self.now));
            self.queue.schedule(next.max(self.now), SimEvent::ServerWake(server));
        } else if m.wake.is_some_and(|w| w <= self.now) {
            m.wake = next;
            if let Some(next) = next {
                self.queue.schedule(next, SimEvent::ServerWake(server));
            }
        }
        let cell = m.cell;
        let mut done = Vec::new();
        for progress in out.drain(..) {
            match progress {
                Progress::Started(job) => {
                    if let Some((_, _, try_index)) = m.jobs.get(&job) {
                        let o = &mut self.client_requests[self.tries[*try_index].request];
                        let again = match self.classes[usize::from(o.class)].effect {
                            EffectSpec::Unsafe => !o.started_cells.is_empty() || o.refused,
                            EffectSpec::KeyedCell => o.started_cells.iter().any(|c| *c != cell),
                            EffectSpec::KeyedAll | EffectSpec::Safe => false,
                        };
                        if again && !std::mem::replace(&mut o.violated, true) {
                            self.stats.violations.effects += 1;
                        }
                        o.started_cells.push(cell);
                    }
                }
                Progress::Completed(job) => {
                    m.completed += 1;
                    done.extend(m.jobs.remove(&job));
                }
            }
        }
        drop(pool);
        self.progress = out;
        for sender in done {
            self.finish_attempt(server, sender, Outcome::Served);
        }
        value
    }

    pub(super) fn attempt_arrived(
        &mut self,
        node: usize,
        attempt: AttemptId,
        server: usize,
        try_index: usize,
        work: f64,
    ) {
        let sender = (node, attempt, try_index);
        let (lifecycle, refuses, fails) = {
            let m = &self.pool.borrow().servers[server];
            (m.lifecycle, m.refuses, m.fails)
        };
        match lifecycle {
            Lifecycle::Dead { silent: true } => return,
            Lifecycle::Dead { silent: false } => {
                return self.finish_attempt(server, sender, Outcome::Unreachable)
            }
            _ if refuses => return self.finish_attempt(server, sender, Outcome::Rejected),
            _ if fails => return self.finish_attempt(server, sender, Outcome::Error),
            _ => {}
        }
        let job = self.next_job;
        self.next_job += 1;
        let admission = self.with_server(server, |m, now, out| {
            m.jobs.insert(job, sender);
            let admission = m.model.offer(now, job, work, out);
            if admission == Admission::Rejected {
                m.jobs.remove(&job);
            }
            admission
        });
        match admission {
            Admission::Rejected => self.finish_attempt(server, sender, Outcome::Rejected),
            Admission::Accepted => {
                let o = &mut self.client_requests[self.tries[try_index].request];
                let first = *o.first_accepted.get_or_insert(self.now);
                // A key is remembered for the window only; a repeat after it runs again.
                let class = &self.classes[usize::from(o.class)];
                let (keyed, window) = (class.effect.is_keyed(), seconds(class.window()));
                if keyed && self.now > first + window && !std::mem::replace(&mut o.violated, true) {
                    self.stats.violations.effects += 1;
                }
            }
        }
        self.record_report(server);
    }

    /// Records the load a server would report, while reports are delayed.
    pub(super) fn record_report(&mut self, server: usize) {
        if self.report_delay + self.scenario.reports.delay > 0.0 {
            let report = self.measure_load(server);
            let mut pool = self.pool.borrow_mut();
            let reports = &mut pool.servers[server].reports;
            reports.push_back((self.now, report));
            let old = self.now - Time(ORIGIN);
            let oldest = old.saturating_sub(seconds(self.report_delay + self.scenario.reports.delay));
            while reports.len() > 1 && since_origin(reports[1].0) <= oldest {
                reports.pop_front();
            }
        }
    }

    pub(super) fn measure_load(&mut self, server: usize) -> LoadReport {
        let (now, counts) = (self.now, self.scenario.reports.counts);
        let over = BUSY_INTERVAL.max(self.scenario.reports.period);
        self.with_server(server, |m, at, out| {
            let since = (now - m.busy.1).as_secs_f64();
            if since >= over {
                m.busy = (m.model.load(at, out).busy, now);
                m.rate = std::mem::take(&mut m.completed) as f64 / since;
            }
            m.model.advance(at, out);
            let held = if m.refuses || m.fails { 0.0 } else { m.model.held() as f64 * m.report_factor };
            let busy = if m.refuses || m.fails { 0.0 } else { m.busy.0 * m.report_factor };
            if counts {
                let waiting = Some(held.min(m.model.waiting() as f64 * m.report_factor));
                let rate = Some(if m.refuses || m.fails { 0.0 } else { m.rate });
                return LoadReport { held: Some(held), waiting, rate, ..LoadReport::default() };
            }
            LoadReport { busy: Some(busy), held: Some(held), ..LoadReport::default() }
        })
    }

    /// The load report of a server, with the configured delay.
    pub(super) fn load_report(&mut self, server: usize) -> LoadReport {
        let period = seconds(self.scenario.reports.period);
        let age = seconds(self.scenario.reports.delay + self.report_delay);
        let (stuck, last) = {
            let m = &self.pool.borrow().servers[server];
            (m.stuck, m.reports.back().copied())
        };
        if let Some((_, report)) = last.filter(|l| stuck || age.is_zero() && self.now < l.0 + period) {
            return report;
        }
        let report = self.measure_load(server);
        let told = Time(self.now.0.saturating_sub(age.as_nanos() as u64));
        let mut pool = self.pool.borrow_mut();
        let reports = &mut pool.servers[server].reports;
        if age.is_zero() {
            reports.clear();
        }
        reports.push_back((self.now, report));
        reports.iter().rev().find(|l| l.0 <= told).or(reports.front()).map_or(report, |l| l.1)
    }

    pub(super) fn probe_arrived(&mut self, node: usize, probe: ProbeId, server: usize) {
        let cost = self.scenario.reports.probe_work;
        let (lifecycle, frozen) = {
            let m = &self.pool.borrow().servers[server];
            (m.lifecycle, m.model.frozen(since_origin(self.now)).then(|| m.model.frozen_until()))
        };
        let (outcome, report) = match lifecycle {
            Lifecycle::Dead { silent: true } => return,
            Lifecycle::Dead { silent: false } => (Outcome::Unreachable, None),
            _ => {
                if let Some(until) = frozen {
                    let until = Time(ORIGIN) + until;
                    return self
                        .queue
                        .schedule(until.max(self.now), SimEvent::ProbeArrived { node, probe, server });
                }
                self.with_server(server, |m, now, out| m.model.probe(now, cost, out));
                (Outcome::Served, Some(self.load_report(server)))
            }
        };
        let delay = self.one_way_delay(self.nodes[node].zone, server);
        if !self.is_partitioned(self.nodes[node].zone, server) {
            self.queue
                .schedule(self.now + delay, SimEvent::ProbeEnded { node, probe, server, outcome, report });
        }
    }
}
