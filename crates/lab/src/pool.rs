//! The simulated servers with their faults, and the exact state that oracles may query.

use crate::model::{Job, ServerModel};
use crate::scenario::seconds;
use birchswitch_engine::AttemptId;
use finchvale::{LoadReport, Rules, ServerId, Time};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Start of the simulated clock; above 0 so that servers can have started before the run.
pub(crate) const ORIGIN: u64 = 1_000_000_000_000;

/// Lifecycle state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    Up,
    Draining,
    /// It died; if `silent`, connections to it hang instead of breaking.
    Dead {
        silent: bool,
    },
}

/// A simulated server and its active faults.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) model: ServerModel,
    pub(crate) speed: f64,
    pub(crate) zone: u8,
    pub(crate) cell: u16,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) started: Option<Time>,
    pub(crate) jobs: FxHashMap<Job, (usize, AttemptId, usize)>,
    /// When its model is advanced next.
    pub(crate) wake: Option<Time>,
    /// Load reports by the time of measurement; older ones are kept while reports are delayed.
    pub(crate) reports: VecDeque<(Time, LoadReport)>,
    /// Busy fraction of its cores and when it was measured.
    pub(crate) busy: (f64, Time),
    /// Requests served per second at the last measurement, and requests completed since.
    pub(crate) rate: f64,
    pub(crate) completed: u64,
    /// Intervals in which it was frozen.
    pub(crate) freezes: Vec<(Time, Time)>,
    pub(crate) refuses: bool,
    pub(crate) fails: bool,
    pub(crate) stuck: bool,
    pub(crate) report_factor: f64,
    /// When its last fault ended.
    pub(crate) repaired_at: Option<Time>,
}

/// All servers.
#[derive(Debug)]
pub struct ServerPool {
    pub(crate) servers: Vec<Server>,
    pub(crate) rules: Rules,
}

impl ServerPool {
    /// The fraction of running servers that have queued requests.
    pub(crate) fn queued_fraction(&self) -> f64 {
        let up = self.servers.iter().filter(|m| m.lifecycle == Lifecycle::Up);
        let (up_count, waiting) = up.fold((0, 0), |n, m| (n.0 + 1, n.1 + usize::from(m.model.has_queue())));
        waiting as f64 / f64::from(up_count.max(1))
    }

    /// When the server would complete this much work if it arrived now; None if it would not serve it.
    pub(crate) fn completion_time(&self, now: Time, server: ServerId, work: f64) -> Option<Time> {
        let m = self.servers.get(server.0 as usize)?;
        let since = since_origin(now);
        let can_serve = m.lifecycle == Lifecycle::Up
            && !m.refuses
            && !m.fails
            && !m.model.collapsed()
            && m.model.can_absorb(since, work);
        let at = now + m.model.completion_delay(since, work);
        (can_serve && m.model.has_room()).then_some(at)
    }
}

pub(crate) fn since_origin(at: Time) -> Duration {
    at - Time(ORIGIN)
}

pub(crate) fn at(s: f64) -> Time {
    Time(ORIGIN) + seconds(s.min(1e7))
}

impl Server {
    /// Whether it is up, warm, at full speed and reports truthfully, and has done so for `long`.
    pub(crate) fn is_healthy(&self, now: Duration, duration: Duration) -> bool {
        let honest = !self.stuck && self.report_factor == 1.0;
        let unimpaired = !self.fails && !self.refuses && !self.model.frozen(now) && !self.model.slowed(now);
        let recovered = self.repaired_at.is_none_or(|at| now >= since_origin(at) + duration);
        self.lifecycle == Lifecycle::Up && recovered && honest && unimpaired && self.model.warmth(now) >= 1.0
    }

    pub(crate) fn new(model: ServerModel, speed: f64, zone: u8, cell: u16, started: Option<Time>) -> Self {
        Server {
            model,
            speed,
            zone,
            cell,
            lifecycle: Lifecycle::Up,
            started,
            jobs: FxHashMap::default(),
            wake: None,
            reports: VecDeque::new(),
            busy: (0.0, Time(ORIGIN)),
            rate: 0.0,
            completed: 0,
            freezes: Vec::new(),
            refuses: false,
            fails: false,
            stuck: false,
            report_factor: 1.0,
            repaired_at: None,
        }
    }
}
