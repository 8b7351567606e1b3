//! A model of a server without I/O: cores, a bounded queue, a cold start, freezes, temporary slowdowns and contention.
//!
//! Every call passes the time since an origin that the caller chooses; it never goes backwards. Work is in seconds on
//! one warm core of reference speed.

use std::collections::VecDeque;
use std::time::Duration;

/// Longest step over which a changing speed is treated as constant.
const STEP: Duration = Duration::from_millis(5);

/// The capacity of a server.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Requests processed concurrently.
    pub cores: usize,
    /// Queue capacity; requests beyond it are rejected without being processed.
    pub queue: usize,
    /// Speed of a warm core, relative to the reference core.
    pub speed: f64,
    /// Extra work on an idle server, as a fraction; falls linearly to 0 when all cores are busy.
    pub cold_cache: f64,
    /// Loss of speed while many requests are held; None for no loss.
    pub contention: Option<Contention>,
    /// Fraction of the full speed after a start, above 0 and at most 1.
    pub cold_from: f64,
    /// Time to reach full speed, linearly.
    pub warm_up: Duration,
    /// A cold server collapses if it receives more than this multiple of its current capacity ...
    pub fall_multiple: f64,
    /// ... within this time, and does not recover.
    pub fall_time: Duration,
}

/// Loss of speed under contention: grows linearly from `from` held requests to `loss` at twice as many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contention {
    /// Held requests at which the loss begins.
    pub from: usize,
    /// Fraction of the speed lost at twice as many, below 1.
    pub loss: f64,
}

/// Identifies a request at its server.
pub type Job = u64;

/// The response to an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It will be processed, now or after queueing.
    Accepted,
    /// It was not processed and never will be.
    Rejected,
}

/// Progress of a request inside the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Processing has started; from here on the request may have had its effect.
    Started(Job),
    /// Processing has completed.
    Completed(Job),
}

/// A load report of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests held, including queued ones.
    pub held: usize,
    /// Queued requests.
    pub waiting: usize,
    /// Fraction of its cores' time, from 0 to 1, that requests occupied since the value was last measured. Time in a
    /// freeze counts. The previous value is kept until 10 ms have passed.
    pub busy: f64,
}

/// The state of a simulated server; see the module documentation.
#[derive(Debug)]
pub struct ServerModel {
    capacity: Capacity,
    now: Duration,
    /// When it started cold; None if it has always been warm.
    started: Option<Duration>,
    frozen_until: Duration,
    /// A factor on its speed, and when it expires.
    slow: (f64, Duration),
    draining: bool,
    collapsed: bool,
    /// Requests in progress with their remaining work.
    running: Vec<(Job, f64)>,
    waiting: VecDeque<(Job, f64)>,
    /// Work received while cold, within the collapse window.
    recent: VecDeque<(Duration, f64)>,
    /// Core-seconds busy and available since the last report.
    core_time: (f64, f64),
    busy: f64,
    /// The maximum queue length so far.
    max_queued: usize,
    /// The maximum load while cold, relative to the collapse limit.
    peak_cold_load: f64,
}

impl ServerModel {
    /// Starts at `now`; a server that is not `cold` runs at full speed.
    pub fn new(capacity: Capacity, now: Duration, cold: bool) -> Self {
        ServerModel {
            capacity,
            now,
            started: cold.then_some(now),
            frozen_until: Duration::ZERO,
            slow: (1.0, Duration::ZERO),
            draining: false,
            collapsed: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
            recent: VecDeque::new(),
            core_time: (0.0, 0.0),
            busy: 0.0,
            max_queued: 0,
            peak_cold_load: 0.0,
        }
    }

    /// A new instance with the same capacity and no state.
    pub fn new_instance(&self, now: Duration, cold: bool) -> Self {
        ServerModel::new(self.capacity.clone(), now, cold)
    }

    /// Offers a request with this much work, in seconds.
    pub fn offer(&mut self, now: Duration, job: Job, work: f64, out: &mut Vec<Progress>) -> Admission {
        self.advance(now, out);
        self.track_cold_load(work);
        if !self.has_room() {
            return Admission::Rejected;
        }
        self.waiting.push_back((job, work));
        self.start_queued(out);
        self.max_queued = self.max_queued.max(self.waiting.len());
        Admission::Accepted
    }

    /// Stops processing and responding for `length`.
    pub fn freeze(&mut self, now: Duration, length: Duration, out: &mut Vec<Progress>) {
        self.advance(now, out);
        self.frozen_until = self.frozen_until.max(now + length);
    }

    /// Runs at a fraction of its speed for a while.
    pub fn slow(&mut self, now: Duration, factor: f64, length: Duration, out: &mut Vec<Progress>) {
        self.advance(now, out);
        self.slow = (factor, now + length);
    }

    /// Stops or resumes accepting requests.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Processes a probe that costs this much work, in seconds; it delays the requests in progress.
    pub fn probe(&mut self, now: Duration, cost: f64, out: &mut Vec<Progress>) {
        self.advance(now, out);
        let each = cost / self.capacity.cores as f64;
        self.running.iter_mut().for_each(|(_, left)| *left += each);
    }

    /// The time until a request with this much work would complete if it were offered now, nothing else arrived and the
    /// current speed lasted. Used by oracles; changes nothing.
    pub fn completion_delay(&self, now: Duration, work: f64) -> Duration {
        let frozen = self.frozen_until.saturating_sub(now);
        let passed =
            (now - self.now).saturating_sub(self.frozen_until.saturating_sub(self.now)).as_secs_f64();
        let speed = self.unfrozen_speed(now).max(1e-6);
        let held: f64 = self.running.iter().chain(&self.waiting).map(|r| r.1).sum();
        let busy = (self.running.len() as f64).min(self.capacity.cores as f64);
        let ahead = (held - passed * speed * busy).max(0.0) / self.capacity.cores as f64;
        frozen + Duration::from_secs_f64((ahead + work) / speed)
    }

    /// Speed of each core relative to a warm core, ignoring a freeze.
    pub fn unfrozen_speed(&self, now: Duration) -> f64 {
        let slow = if now < self.slow.1 { self.slow.0 } else { 1.0 };
        let crowded = self.capacity.contention.map_or(1.0, |c| {
            let beyond = self.held().saturating_sub(c.from) as f64 / c.from.max(1) as f64;
            1.0 - c.loss * beyond.min(1.0)
        });
        let idle = 1.0 - self.running.len().min(self.capacity.cores) as f64 / self.capacity.cores as f64;
        self.capacity.speed * self.warmth(now) * slow * crowded / (1.0 + self.capacity.cold_cache * idle)
    }

    /// Whether requests are queued.
    pub fn has_queue(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether it would accept another request.
    pub fn has_room(&self) -> bool {
        !self.draining && !self.collapsed && self.waiting.len() < self.capacity.queue
    }

    /// Whether it can receive this much more work without collapsing; always true once warm.
    pub fn can_absorb(&self, now: Duration, work: f64) -> bool {
        if self.warmth(now) >= 1.0 {
            return true;
        }
        let window = self.capacity.fall_time;
        let received: f64 = self.recent.iter().filter(|r| r.0 + window >= now).map(|r| r.1).sum();
        let capacity_in_window =
            self.capacity.speed * self.warmth(now) * self.capacity.cores as f64 * window.as_secs_f64();
        received + work <= self.capacity.fall_multiple * capacity_in_window
    }

    /// Whether it is slowed down by another program on its machine.
    pub fn slowed(&self, now: Duration) -> bool {
        now < self.slow.1
    }

    /// Whether it is frozen, that is neither processes nor responds, at this time.
    pub fn frozen(&self, now: Duration) -> bool {
        now < self.frozen_until
    }

    /// When the current freeze ends, or the last one ended.
    pub fn frozen_until(&self) -> Duration {
        self.frozen_until
    }

    /// Whether it collapsed under load while it was cold.
    pub fn collapsed(&self) -> bool {
        self.collapsed
    }

    /// The maximum load while cold, relative to the collapse limit; above 1 it collapsed.
    pub fn peak_cold_load(&self) -> f64 {
        self.peak_cold_load
    }

    /// The maximum queue length so far.
    pub fn max_queued(&self) -> usize {
        self.max_queued
    }

    /// Requests held, including queued ones.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The load it would report now.
    pub fn load(&mut self, now: Duration, out: &mut Vec<Progress>) -> Load {
        self.advance(now, out);
        let (core_time, available) = self.core_time;
        // Keeps the last busy value if the interval is too short to measure.
        if available >= self.capacity.cores as f64 * 2.0 * STEP.as_secs_f64() {
            (self.busy, self.core_time) = ((core_time / available).min(1.0), (0.0, 0.0));
        }
        Load { held: self.held(), waiting: self.waiting.len(), busy: self.busy }
    }

    /// Advances to `now` and appends the progress made, in order.
    pub fn advance(&mut self, now: Duration, out: &mut Vec<Progress>) {
        while self.now < now {
            let step = self.step().min(now - self.now);
            let work = self.speed() * step.as_secs_f64();
            self.core_time.0 += self.running.len() as f64 * step.as_secs_f64();
            self.core_time.1 += self.capacity.cores as f64 * step.as_secs_f64();
            self.now += step;
            let done = |left: f64| left <= 1e-9;
            self.running.iter_mut().for_each(|(_, left)| *left -= work);
            out.extend(self.running.iter().filter(|r| done(r.1)).map(|r| Progress::Completed(r.0)));
            self.running.retain(|r| !done(r.1));
            self.start_queued(out);
        }
    }

    /// When to advance it next if nothing else happens; None if it is idle.
    pub fn next_event(&self) -> Option<Duration> {
        match (self.frozen(self.now), self.held()) {
            (_, 0) => None,
            (true, _) => Some(self.frozen_until),
            (false, _) => Some(self.now + self.step()),
        }
    }

    /// Current speed of each core relative to a warm core; 0 during a freeze.
    fn speed(&self) -> f64 {
        if self.frozen(self.now) {
            return 0.0;
        }
        self.unfrozen_speed(self.now)
    }

    /// Fraction of the full speed reached since the start, from `cold_from` to 1.
    pub fn warmth(&self, now: Duration) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started).as_secs_f64() / self.capacity.warm_up.as_secs_f64().max(1e-9);
        (self.capacity.cold_from + (1.0 - self.capacity.cold_from) * age).min(1.0)
    }

    /// The time for which the speed is constant and no request completes.
    fn step(&self) -> Duration {
        let until = |at: Duration| at.checked_sub(self.now).filter(|d| !d.is_zero());
        if self.frozen(self.now) {
            return self.frozen_until - self.now;
        }
        let soonest = self.running.iter().map(|r| r.1).fold(f64::INFINITY, f64::min) / self.speed();
        // Rounded up, so that a request that is due completes within the step.
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

    fn start_queued(&mut self, out: &mut Vec<Progress>) {
        if self.frozen(self.now) {
            return;
        }
        while self.running.len() < self.capacity.cores {
            let Some(next) = self.waiting.pop_front() else { return };
            out.push(Progress::Started(next.0));
            self.running.push(next);
        }
    }

    fn track_cold_load(&mut self, work: f64) {
        if self.warmth(self.now) >= 1.0 {
            return self.recent.clear();
        }
        let window = self.capacity.fall_time;
        self.recent.push_back((self.now, work));
        while self.recent.front().is_some_and(|r| r.0 + window < self.now) {
            self.recent.pop_front();
        }
        let received: f64 = self.recent.iter().map(|r| r.1).sum();
        let capacity_in_window =
            self.capacity.speed * self.warmth(self.now) * self.capacity.cores as f64 * window.as_secs_f64();
        let cold_load = received / (self.capacity.fall_multiple * capacity_in_window).max(1e-12);
        self.peak_cold_load = self.peak_cold_load.max(cold_load);
        self.collapsed |= cold_load > 1.0;
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
    fn processes_up_to_cores_and_rejects_beyond_the_queue() {
        let mut model = ServerModel::new(capacity(2, 1), Duration::ZERO, false);
        let mut out = Vec::new();
        let accepted: Vec<_> = (0..4).map(|j| model.offer(Duration::ZERO, j, 0.010, &mut out)).collect();
        use Admission::*;
        assert_eq!(accepted, [Accepted, Accepted, Accepted, Rejected]);
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
    fn no_request_starts_or_completes_during_a_freeze() {
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
        // At a constant quarter of the speed 20 ms of work would take 80 ms; the speed rises by 0.75 per second.
        assert!((0.070..0.080).contains(&time(true)), "{}", time(true));
        assert!((0.020..0.022).contains(&time(false)));
    }

    #[test]
    fn a_cold_server_collapses_only_above_the_limit() {
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

    /// The predicted completion is exact if nothing else happens, also across a freeze and under contention.
    #[test]
    fn predicted_completion_is_exact_without_other_events() {
        let mut model = ServerModel::new(Capacity { speed: 0.5, ..capacity(1, 9) }, Duration::ZERO, false);
        let mut out = Vec::new();
        model.offer(Duration::ZERO, 1, 0.010, &mut out);
        model.freeze(5 * MS, 30 * MS, &mut out);
        let predicted = 8 * MS + model.completion_delay(8 * MS, 0.004);
        model.offer(8 * MS, 2, 0.004, &mut out);
        while let Some(next) = model.next_event() {
            model.advance(next, &mut out);
        }
        // 20 ms for the first request, 30 ms frozen, 8 ms for the second request.
        assert!(
            predicted.abs_diff(58 * MS) < MS && model.now.abs_diff(58 * MS) < MS,
            "{predicted:?} {:?}",
            model.now
        );
    }

    #[test]
    fn contention_and_probes_slow_down_requests() {
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
        /// For any sequence of events: each accepted request starts once and completes once, no more requests run than
        /// there are cores, and the total work does not exceed the available core time.
        #[test]
        fn every_accepted_request_completes_once(
            cores in 1usize..4,
            cold: bool,
            events in prop::collection::vec((0u64..20, 0u8..6, 1u64..30), 1..80),
        ) {
            let mut model = ServerModel::new(capacity(cores, 8), Duration::ZERO, cold);
            let (mut now, mut out, mut accepted, mut work) = (Duration::ZERO, Vec::new(), Vec::new(), 0.0);
            for (job, (wait, kind, size)) in events.into_iter().enumerate() {
                now += wait as u32 * MS;
                match kind {
                    0 => model.freeze(now, size as u32 * MS, &mut out),
                    1 => model.slow(now, 0.5, size as u32 * MS, &mut out),
                    _ => {
                        if model.offer(now, job as u64, size as f64 / 1e3, &mut out) == Admission::Accepted {
                            accepted.push(job as u64);
                            work += size as f64 / 1e3;
                        }
                    }
                }
                prop_assert!(model.running.len() <= cores);
            }
            let mut steps = 0;
            while let Some(next) = model.next_event() {
                model.advance(next, &mut out);
                steps += 1;
                prop_assert!(steps < 100_000, "the model does not become idle");
            }
            for job in &accepted {
                let at = |p| out.iter().position(|o| *o == p);
                prop_assert_eq!(out.iter().filter(|o| **o == Progress::Started(*job)).count(), 1);
                prop_assert_eq!(out.iter().filter(|o| **o == Progress::Completed(*job)).count(), 1);
                prop_assert!(at(Progress::Started(*job)) < at(Progress::Completed(*job)));
            }
            prop_assert!(model.now.as_secs_f64() * cores as f64 >= work - 1e-6);
        }
    }
}
