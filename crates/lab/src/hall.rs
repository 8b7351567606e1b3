//! The servers with all that befalls them, and what those may ask of them who see everything.

use crate::model::{Job, ServerModel};
use crate::scenario::seconds;
use birchswitch_engine::AttemptId;
use finchvale::{LoadReport, Rules, ServerId, Time};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The run's clock begins here, so that a server may have started before.
pub(crate) const ORIGIN: u64 = 1_000_000_000_000;

/// Where a server stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    Up,
    Draining,
    /// It died; connections to it hang, where it went without a word.
    Dead {
        silent: bool,
    },
}

/// A server with all that befalls it.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(crate) model: ServerModel,
    pub(crate) speed: f64,
    pub(crate) zone: u8,
    pub(crate) cell: u16,
    pub(crate) life: Life,
    pub(crate) started: Option<Time>,
    pub(crate) jobs: FxHashMap<Job, (usize, AttemptId, usize)>,
    /// When it is looked at next.
    pub(crate) wake: Option<Time>,
    /// Its words on its load, by when it looked at itself; the older ones while reports are late.
    pub(crate) looks: VecDeque<(Time, LoadReport)>,
    /// Its busy part, and when it was measured.
    pub(crate) busy: (f64, Time),
    /// Requests served a second, measured with it, and those served since.
    pub(crate) rate: f64,
    pub(crate) done: u64,
    /// When it stood still.
    pub(crate) freezes: Vec<(Time, Time)>,
    pub(crate) refuses: bool,
    pub(crate) fails: bool,
    pub(crate) stuck: bool,
    pub(crate) lie: f64,
    /// When a fault of its own ended.
    pub(crate) mended: Option<Time>,
}

/// All servers, for those that may see them.
#[derive(Debug)]
pub struct Hall {
    pub(crate) machines: Vec<Machine>,
    pub(crate) rules: Rules,
}

impl Hall {
    /// The part of the servers up at which somebody waits.
    pub(crate) fn crowded(&self) -> f64 {
        let up = self.machines.iter().filter(|m| m.life == Life::Up);
        let (all, waits) = up.fold((0, 0), |n, m| (n.0 + 1, n.1 + usize::from(m.model.waits())));
        waits as f64 / f64::from(all.max(1))
    }

    /// When this server would be done with so much work if it came now; None: it would not be served there.
    pub(crate) fn done(&self, now: Time, server: ServerId, work: f64) -> Option<Time> {
        let m = self.machines.get(server.0 as usize)?;
        let since = since_origin(now);
        let able = m.life == Life::Up
            && !m.refuses
            && !m.fails
            && !m.model.collapsed()
            && m.model.bears(since, work);
        let at = now + m.model.foresee(since, work);
        (able && m.model.has_room()).then_some(at)
    }
}

pub(crate) fn since_origin(at: Time) -> Duration {
    at - Time(ORIGIN)
}

pub(crate) fn at(s: f64) -> Time {
    Time(ORIGIN) + seconds(s.min(1e7))
}

impl Machine {
    /// Whether it does what it should, warm and unslowed, and says what is so, and has for so long.
    pub(crate) fn sound(&self, now: Duration, long: Duration) -> bool {
        let honest = !self.stuck && self.lie == 1.0;
        let well = !self.fails && !self.refuses && !self.model.frozen(now) && !self.model.slowed(now);
        let still = self.mended.is_none_or(|at| now >= since_origin(at) + long);
        self.life == Life::Up && still && honest && well && self.model.warmth(now) >= 1.0
    }

    pub(crate) fn new(model: ServerModel, speed: f64, zone: u8, cell: u16, started: Option<Time>) -> Self {
        Machine {
            model,
            speed,
            zone,
            cell,
            life: Life::Up,
            started,
            jobs: FxHashMap::default(),
            wake: None,
            looks: VecDeque::new(),
            busy: (0.0, Time(ORIGIN)),
            rate: 0.0,
            done: 0,
            freezes: Vec::new(),
            refuses: false,
            fails: false,
            stuck: false,
            lie: 1.0,
            mended: None,
        }
    }
}
