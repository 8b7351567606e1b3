//! How a server works, without I/O: cores, a bounded queue, a cold start, freezes, slow spells, crowding.
//!
//! A model is told the time with every call, as the time since an origin that its owner chooses, and never runs
//! backwards. Work is counted in seconds on one warm core.

use std::collections::VecDeque;
use std::time::Duration;

/// Longest step over which a speed that changes is taken for constant.
const STEP: Duration = Duration::from_millis(5);

/// What a server is able to do.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Requests worked on at a time.
    pub cores: usize,
    /// Requests that may wait; more are turned away unseen.
    pub queue: usize,
    /// A warm core's speed, 1 where it is that of the yardstick.
    pub speed: f64,
    /// How much longer work takes at an empty server, as a part; evenly less up to one that is busy on all cores.
    pub cold_cache: f64,
    /// What holding many requests costs; None: nothing.
    pub contention: Option<Contention>,
    /// The part of its speed that it starts with, above 0 and at most 1.
    pub cold_from: f64,
    /// How long it takes to reach all of it, evenly.
    pub warm_up: Duration,
    /// A cold server that is given more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this long is pushed over, and stays down.
    pub fall_time: Duration,
}

/// How a crowded server loses speed: evenly, from `from` requests held on, down to the rest at twice as many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contention {
    /// Requests held from which it is crowded.
    pub from: usize,
    /// The part of its speed that it has lost at twice as many, below 1.
    pub loss: f64,
}

/// A request's name at its server.
pub type Job = u64;

/// What becomes of a request that is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It will be worked on, at once or later.
    Accepted,
    /// It never ran and won't.
    Rejected,
}

/// What happened to a request inside the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Work on it has begun: from here on it may have had its effect.
    Started(Job),
    /// It is done.
    Completed(Job),
}

/// A server's word on its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests in hand, those that wait included.
    pub held: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Busy part of its cores since the last report, from 0 to 1.
    pub busy: f64,
}

/// See the module's own words.
#[derive(Debug)]
pub struct ServerModel {
    capacity: Capacity,
    now: Duration,
    /// When it started cold; None: it has been warm for ever.
    started: Option<Duration>,
    frozen_until: Duration,
    /// A factor on its speed, and until when.
    slow: (f64, Duration),
    draining: bool,
    fallen: bool,
    /// Those worked on, with what is left to do.
    running: Vec<(Job, f64)>,
    waiting: VecDeque<(Job, f64)>,
    /// What came while it was cold, for as long as it counts towards pushing it over.
    recent: VecDeque<(Duration, f64)>,
    /// Core-seconds busy and available since the last report.
    used: (f64, f64),
    busy: f64,
    /// The most that ever waited.
    most_waiting: usize,
    /// The most of what a cold server bears that it was ever given.
    most_borne: f64,
}

impl ServerModel {
    /// Starts at `now`; a server that is not `cold` has all its speed.
    pub fn new(capacity: Capacity, now: Duration, cold: bool) -> Self {
        ServerModel {
            capacity,
            now,
            started: cold.then_some(now),
            frozen_until: Duration::ZERO,
            slow: (1.0, Duration::ZERO),
            draining: false,
            fallen: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
            recent: VecDeque::new(),
            used: (0.0, 0.0),
            busy: 0.0,
            most_waiting: 0,
            most_borne: 0.0,
        }
    }

    /// Another of the same kind, from nothing.
    pub fn fresh(&self, now: Duration, cold: bool) -> Self {
        ServerModel::new(self.capacity.clone(), now, cold)
    }

    /// Offers a request with this much work, in seconds.
    pub fn offer(&mut self, now: Duration, job: Job, work: f64, out: &mut Vec<Progress>) -> Admission {
        self.advance(now, out);
        self.count_towards_fall(work);
        if !self.has_room() {
            return Admission::Rejected;
        }
        self.waiting.push_back((job, work));
        self.begin(out);
        self.most_waiting = self.most_waiting.max(self.waiting.len());
        Admission::Accepted
    }

    /// Takes it no further until then: it neither works nor speaks.
    pub fn freeze(&mut self, now: Duration, length: Duration, out: &mut Vec<Progress>) {
        self.advance(now, out);
        self.frozen_until = self.frozen_until.max(now + length);
    }

    /// Works at a part of its speed for a while.
    pub fn slow(&mut self, now: Duration, factor: f64, length: Duration, out: &mut Vec<Progress>) {
        self.advance(now, out);
        self.slow = (factor, now + length);
    }

    /// Takes nothing new from now on, or does again.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Takes in a probe that costs this much work, in seconds: what runs is delayed by it.
    pub fn probe(&mut self, now: Duration, cost: f64, out: &mut Vec<Progress>) {
        self.advance(now, out);
        let each = cost / self.capacity.cores as f64;
        self.running.iter_mut().for_each(|(_, left)| *left += each);
    }

    /// When a request with this much work would be done if it were offered now and nothing else came, at the speed
    /// that it has now; for whoever may see what no node sees. Changes nothing.
    pub fn foresee(&self, now: Duration, work: f64) -> Duration {
        let frozen = self.frozen_until.saturating_sub(now);
        let passed =
            (now - self.now).saturating_sub(self.frozen_until.saturating_sub(self.now)).as_secs_f64();
        let speed = self.pace(now).max(1e-6);
        let held: f64 = self.running.iter().chain(&self.waiting).map(|r| r.1).sum();
        let busy = (self.running.len() as f64).min(self.capacity.cores as f64);
        let ahead = (held - passed * speed * busy).max(0.0) / self.capacity.cores as f64;
        frozen + Duration::from_secs_f64((ahead + work) / speed)
    }

    /// The part of a warm core's speed that each core has when it isn't frozen.
    pub fn pace(&self, now: Duration) -> f64 {
        let slow = if now < self.slow.1 { self.slow.0 } else { 1.0 };
        let crowded = self.capacity.contention.map_or(1.0, |c| {
            let beyond = self.held().saturating_sub(c.from) as f64 / c.from.max(1) as f64;
            1.0 - c.loss * beyond.min(1.0)
        });
        let idle = 1.0 - self.running.len().min(self.capacity.cores) as f64 / self.capacity.cores as f64;
        self.capacity.speed * self.warmth(now) * slow * crowded / (1.0 + self.capacity.cold_cache * idle)
    }

    /// Whether somebody waits.
    pub fn waits(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether it would take one more.
    pub fn has_room(&self) -> bool {
        !self.draining && !self.fallen && self.waiting.len() < self.capacity.queue
    }

    /// Whether it may be given this much more work without being pushed over, were it cold.
    pub fn bears(&self, now: Duration, work: f64) -> bool {
        if self.warmth(now) >= 1.0 {
            return true;
        }
        let window = self.capacity.fall_time;
        let given: f64 = self.recent.iter().filter(|r| r.0 + window >= now).map(|r| r.1).sum();
        let able = self.capacity.speed * self.warmth(now) * self.capacity.cores as f64 * window.as_secs_f64();
        given + work <= self.capacity.fall_multiple * able
    }

    /// Whether it works at less than its usual speed for a reason of its machine.
    pub fn slowed(&self, now: Duration) -> bool {
        now < self.slow.1
    }

    /// Whether it neither works nor speaks at this time.
    pub fn frozen(&self, now: Duration) -> bool {
        now < self.frozen_until
    }

    /// When it will thaw, or thawed last.
    pub fn frozen_until(&self) -> Duration {
        self.frozen_until
    }

    /// Whether it was pushed over while it was cold.
    pub fn collapsed(&self) -> bool {
        self.fallen
    }

    /// The most of what a cold server bears that it was ever given: above 1 it was pushed over.
    pub fn most_borne(&self) -> f64 {
        self.most_borne
    }

    /// The most that ever waited.
    pub fn max_queued(&self) -> usize {
        self.most_waiting
    }

    /// Requests in hand.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Its load, as it would report it now.
    pub fn load(&mut self, now: Duration, out: &mut Vec<Progress>) -> Load {
        self.advance(now, out);
        let (used, available) = self.used;
        // Too short a time says nothing: the last word stands.
        if available >= self.capacity.cores as f64 * 2.0 * STEP.as_secs_f64() {
            (self.busy, self.used) = ((used / available).min(1.0), (0.0, 0.0));
        }
        Load { held: self.held(), waiting: self.waiting.len(), busy: self.busy }
    }

    /// Works up to `now` and says what came of it, in order.
    pub fn advance(&mut self, now: Duration, out: &mut Vec<Progress>) {
        while self.now < now {
            let step = self.step().min(now - self.now);
            let work = self.speed() * step.as_secs_f64();
            self.used.0 += self.running.len() as f64 * step.as_secs_f64();
            self.used.1 += self.capacity.cores as f64 * step.as_secs_f64();
            self.now += step;
            let done = |left: f64| left <= 1e-9;
            self.running.iter_mut().for_each(|(_, left)| *left -= work);
            out.extend(self.running.iter().filter(|r| done(r.1)).map(|r| Progress::Completed(r.0)));
            self.running.retain(|r| !done(r.1));
            self.begin(out);
        }
    }

    /// When it should be looked at next, if nothing else happens; None: it has nothing to do.
    pub fn next_event(&self) -> Option<Duration> {
        match (self.frozen(self.now), self.held()) {
            (_, 0) => None,
            (true, _) => Some(self.frozen_until),
            (false, _) => Some(self.now + self.step()),
        }
    }

    /// The part of a warm core's speed that each core has now.
    fn speed(&self) -> f64 {
        if self.frozen(self.now) {
            return 0.0;
        }
        self.pace(self.now)
    }

    /// The part of its speed that it has after a start, from its coldest to 1.
    pub fn warmth(&self, now: Duration) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started).as_secs_f64() / self.capacity.warm_up.as_secs_f64().max(1e-9);
        (self.capacity.cold_from + (1.0 - self.capacity.cold_from) * age).min(1.0)
    }

    /// How long its speed holds and nothing is done.
    fn step(&self) -> Duration {
        let until = |at: Duration| at.checked_sub(self.now).filter(|d| !d.is_zero());
        if self.frozen(self.now) {
            return self.frozen_until - self.now;
        }
        let soonest = self.running.iter().map(|r| r.1).fold(f64::INFINITY, f64::min) / self.speed();
        // Rounded up, so that what is due is done then.
        let mut step = match soonest.is_finite() {
            true => Duration::from_secs_f64(soonest.max(0.0)) + Duration::from_nanos(1),
            false => Duration::MAX,
        };
        step = until(self.slow.1).map_or(step, |d| step.min(d));
        if self.warmth(self.now) < 1.0 {
            step = step.min(STEP);
        }
        step.max(Duration::from_nanos(1))
    }

    fn begin(&mut self, out: &mut Vec<Progress>) {
        if self.frozen(self.now) {
            return;
        }
        while self.running.len() < self.capacity.cores {
            let Some(next) = self.waiting.pop_front() else { return };
            out.push(Progress::Started(next.0));
            self.running.push(next);
        }
    }

    fn count_towards_fall(&mut self, work: f64) {
        if self.warmth(self.now) >= 1.0 {
            return self.recent.clear();
        }
        let window = self.capacity.fall_time;
        self.recent.push_back((self.now, work));
        while self.recent.front().is_some_and(|r| r.0 + window < self.now) {
            self.recent.pop_front();
        }
        let given: f64 = self.recent.iter().map(|r| r.1).sum();
        let able =
            self.capacity.speed * self.warmth(self.now) * self.capacity.cores as f64 * window.as_secs_f64();
        let borne = given / (self.capacity.fall_multiple * able).max(1e-12);
        self.most_borne = self.most_borne.max(borne);
        self.fallen |= borne > 1.0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Duration = Duration::from_millis(1);

    fn capacity(cores: usize, queue: usize) -> Capacity {
        Capacity {
            cores,
            queue,
            speed: 1.0,
            contention: None,
            cold_cache: 0.0,
            cold_from: 0.25,
            warm_up: 1000 * MS,
            fall_multiple: 3.0,
            fall_time: 200 * MS,
        }
    }

    #[test]
    fn works_on_so_many_at_a_time_and_turns_the_rest_away() {
        let mut model = ServerModel::new(capacity(2, 1), Duration::ZERO, false);
        let mut out = Vec::new();
        let taken: Vec<_> = (0..4).map(|j| model.offer(Duration::ZERO, j, 0.010, &mut out)).collect();
        use Admission::*;
        assert_eq!(taken, [Accepted, Accepted, Accepted, Rejected]);
        assert_eq!(out, [Progress::Started(0), Progress::Started(1)]);
        out.clear();
        model.advance(11 * MS, &mut out);
        assert_eq!(out, [Progress::Completed(0), Progress::Completed(1), Progress::Started(2)]);
        out.clear();
        model.advance(21 * MS, &mut out);
        assert_eq!(out, [Progress::Completed(2)]);
        assert_eq!(model.next_event(), None);
    }

    #[test]
    fn a_freeze_begins_and_ends_nothing() {
        let mut model = ServerModel::new(capacity(1, 4), Duration::ZERO, false);
        let mut out = Vec::new();
        model.offer(Duration::ZERO, 1, 0.010, &mut out);
        model.freeze(5 * MS, 100 * MS, &mut out);
        out.clear();
        model.offer(6 * MS, 2, 0.010, &mut out);
        model.advance(104 * MS, &mut out);
        assert!(out.is_empty(), "{out:?}");
        assert_eq!(model.next_event(), Some(105 * MS));
        model.advance(111 * MS, &mut out);
        assert_eq!(out, [Progress::Completed(1), Progress::Started(2)]);
    }

    #[test]
    fn a_cold_server_is_slow_at_first() {
        let time = |cold| {
            let mut model = ServerModel::new(capacity(1, 4), Duration::ZERO, cold);
            let mut out = Vec::new();
            model.offer(Duration::ZERO, 1, 0.020, &mut out);
            let mut now = Duration::ZERO;
            while !out.contains(&Progress::Completed(1)) {
                now += MS;
                model.advance(now, &mut out);
            }
            now.as_secs_f64()
        };
        // At a quarter of its speed 20 ms would take 80; it gains three quarters a second meanwhile.
        assert!((0.070..0.080).contains(&time(true)), "{}", time(true));
        assert!((0.020..0.022).contains(&time(false)));
    }

    #[test]
    fn a_cold_server_is_pushed_over_by_too_much_and_only_then() {
        let mut out = Vec::new();
        let mut offer = |model: &mut ServerModel, times| {
            (0..times).for_each(|job| {
                model.offer(Duration::ZERO, job, 0.010, &mut out);
            });
            model.collapsed()
        };
        // 3 x 0.25 x 200 ms = 150 ms of work within 200 ms.
        let mut model = ServerModel::new(capacity(1, 100), Duration::ZERO, true);
        assert!(!offer(&mut model, 14));
        assert!(offer(&mut model, 2));
        let mut warm = ServerModel::new(capacity(1, 100), Duration::ZERO, false);
        assert!(!offer(&mut warm, 50));
        assert_eq!(model.offer(2000 * MS, 50, 0.010, &mut out), Admission::Rejected);
    }

    /// What is foreseen is what comes to pass where nothing else does, over a freeze and a crowd too.
    #[test]
    fn foresight_is_right_where_nothing_comes_between() {
        let mut model = ServerModel::new(Capacity { speed: 0.5, ..capacity(1, 9) }, Duration::ZERO, false);
        let mut out = Vec::new();
        model.offer(Duration::ZERO, 1, 0.010, &mut out);
        model.freeze(5 * MS, 30 * MS, &mut out);
        let foreseen = 8 * MS + model.foresee(8 * MS, 0.004);
        model.offer(8 * MS, 2, 0.004, &mut out);
        while let Some(next) = model.next_event() {
            model.advance(next, &mut out);
        }
        // 20 ms of the first, 30 of the freeze, 8 of the second.
        assert!(
            foreseen.abs_diff(58 * MS) < MS && model.now.abs_diff(58 * MS) < MS,
            "{foreseen:?} {:?}",
            model.now
        );
    }

    #[test]
    fn a_crowded_server_loses_speed_and_probes_delay_what_runs() {
        let took = |held: u64, probes: usize| {
            let contention = Some(Contention { from: 4, loss: 0.5 });
            let mut model =
                ServerModel::new(Capacity { contention, ..capacity(1, 9) }, Duration::ZERO, false);
            let mut out = Vec::new();
            (0..held).for_each(|job| {
                model.offer(Duration::ZERO, job, 0.010, &mut out);
            });
            (0..probes).for_each(|_| model.probe(MS, 0.001, &mut out));
            while !out.contains(&Progress::Completed(0)) {
                model.advance(model.now + MS / 10, &mut out);
            }
            model.now.as_secs_f64()
        };
        assert!((took(4, 0) - 0.010).abs() < 2e-4);
        assert!((took(8, 0) - 0.020).abs() < 2e-4, "half of its speed: {}", took(8, 0));
        assert!((took(1, 3) - 0.013).abs() < 2e-4);
    }

    proptest! {
        /// Whatever comes, each request that is taken is begun once and done once, never more run than there are cores,
        /// and no more is done than time and cores allow.
        #[test]
        fn all_that_is_taken_is_done_once(
            cores in 1usize..4,
            cold: bool,
            events in prop::collection::vec((0u64..20, 0u8..6, 1u64..30), 1..80),
        ) {
            let mut model = ServerModel::new(capacity(cores, 8), Duration::ZERO, cold);
            let (mut now, mut out, mut taken, mut work) = (Duration::ZERO, Vec::new(), Vec::new(), 0.0);
            for (job, (wait, kind, size)) in events.into_iter().enumerate() {
                now += wait as u32 * MS;
                match kind {
                    0 => model.freeze(now, size as u32 * MS, &mut out),
                    1 => model.slow(now, 0.5, size as u32 * MS, &mut out),
                    _ => {
                        if model.offer(now, job as u64, size as f64 / 1e3, &mut out) == Admission::Accepted {
                            taken.push(job as u64);
                            work += size as f64 / 1e3;
                        }
                    }
                }
                prop_assert!(model.running.len() <= cores);
            }
            let mut looks = 0;
            while let Some(next) = model.next_event() {
                model.advance(next, &mut out);
                looks += 1;
                prop_assert!(looks < 100_000, "it never ends");
            }
            for job in &taken {
                let at = |p| out.iter().position(|o| *o == p);
                prop_assert_eq!(out.iter().filter(|o| **o == Progress::Started(*job)).count(), 1);
                prop_assert_eq!(out.iter().filter(|o| **o == Progress::Completed(*job)).count(), 1);
                prop_assert!(at(Progress::Started(*job)) < at(Progress::Completed(*job)));
            }
            prop_assert!(model.now.as_secs_f64() * cores as f64 >= work - 1e-6);
        }
    }
}
