//! The policies that decide in a node: birchswitch's own decisions, peers from the literature, and oracles.
//!
//! Peers are written from public descriptions and not tuned. They choose a server for each attempt, retry where the
//! rules surely allow it, and refuse nothing while a server is listed:
//!
//! - [`Peer::Random`]: uniformly among the listed servers.
//! - [`Peer::LeastOutstanding`]: the fewest outstanding attempts of this node, ties at random.
//! - [`Peer::PeakEwma`]: the better of two by peak-sensitive moving latency times outstanding attempts (Finagle's
//!   "power of two choices with peak EWMA"; decay 10 s, its default).
//! - [`Peer::Subset`]: weighted round robin over a subset of [`SUBSET`] servers, weights by served answers over
//!   latency (after "Load Balancing in the Datacenter", Beyer et al., Site Reliability Engineering, chapter 20).
//! - [`Peer::Aperture`]: the fewest outstanding attempts out of two drawn from the [`APERTURE`] servers that follow the
//!   node's position on a ring that all nodes share (Finagle's deterministic aperture; its minimum size).
//! - [`Peer::Bounded`]: an oracle limited to the nodes' own observations, which all nodes share: it tracks everything
//!   that all nodes sent and received, sends each request where the least work is outstanding, does not know the
//!   servers' speeds or freezes, and refuses what that bound predicts to be late. A node cannot be expected to do better.
//! - [`Peer::Oracle`]: it sees the current queues, freezes and speeds, and chooses the server that completes first. It
//!   refuses what no server can complete in time.

use crate::pool::ServerPool;
use crate::rng::Rng;
use birchswitch_engine::Policy;
use finchvale::{
    Action, Arrival, Balancer, Effect, Event, ListKind, Outcome, Refusal, RequestId, ServerEntry, ServerId,
    ServerState, Settings, SettingsError, Time,
};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Servers in the subset of a node.
pub const SUBSET: usize = 20;
/// Servers in a deterministic aperture.
pub const APERTURE: usize = 12;
/// How late a request may be by its hint for an oracle to admit it, as a fraction of its work: when no server has
/// queued requests, and when all have.
const ORACLE_SLACK: [f64; 2] = [0.33, -0.8];
/// Decay time of the peak EWMA latency, in seconds.
const DECAY: f64 = 10.0;

/// The policies under comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// birchswitch's own decisions.
    Own,
    /// See the module documentation.
    Random,
    /// See the module documentation.
    LeastOutstanding,
    /// See the module documentation.
    PeakEwma,
    /// See the module documentation.
    Subset,
    /// See the module documentation.
    Aperture,
    /// See the module documentation.
    Bounded,
    /// See the module documentation.
    Oracle,
}

impl Peer {
    /// All policies.
    pub const ALL: [Peer; 8] = [
        Peer::Own,
        Peer::Random,
        Peer::LeastOutstanding,
        Peer::PeakEwma,
        Peer::Subset,
        Peer::Aperture,
        Peer::Bounded,
        Peer::Oracle,
    ];

    /// The name on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Peer::Own => "own",
            Peer::Random => "random",
            Peer::LeastOutstanding => "least-out",
            Peer::PeakEwma => "peak-ewma",
            Peer::Subset => "subset",
            Peer::Aperture => "aperture",
            Peer::Bounded => "bounded",
            Peer::Oracle => "oracle",
        }
    }

    /// Whether it uses information that no node has.
    pub fn is_oracle(self) -> bool {
        matches!(self, Peer::Bounded | Peer::Oracle)
    }

    /// Creates the policy of one node.
    pub fn build_policy(
        self,
        settings: Settings,
        seed: u64,
        now: Time,
        pool: &Rc<RefCell<ServerPool>>,
        shared: &Rc<RefCell<SharedView>>,
    ) -> Result<Box<dyn Policy>, SettingsError> {
        settings.check()?;
        let rng = Rng::new(seed, 77);
        let selector: Box<dyn Selector> = match self {
            Peer::Own => return Ok(Box::new(Balancer::new(settings, seed, now)?)),
            Peer::Random => Box::new(Random),
            Peer::LeastOutstanding => Box::new(LeastOutstanding::default()),
            Peer::PeakEwma => Box::new(PeakEwma::default()),
            Peer::Subset => Box::new(Subset { rank: seed, known: FxHashMap::default() }),
            Peer::Aperture => Box::new(Aperture {
                ring_position: f64::from(settings.node_index.unwrap_or(0)) / f64::from(settings.nodes),
                out: LeastOutstanding::default(),
            }),
            Peer::Bounded => Box::new(Bounded { shared: shared.clone(), pool: pool.clone() }),
            Peer::Oracle => Box::new(Oracle { pool: pool.clone() }),
        };
        Ok(Box::new(PeerPolicy {
            settings,
            rng,
            selector,
            ready: Vec::new(),
            requests: FxHashMap::default(),
        }))
    }
}

/// A request in progress.
struct PendingRequest {
    arrival: Arrival,
    arrived: Time,
    tried: Vec<(ServerId, Time)>,
    out: bool,
    may_have_run: bool,
}

impl PendingRequest {
    /// Hinted work in seconds; 0.1 without a hint.
    fn work(&self) -> f64 {
        self.arrival.work.map_or(0.1, |w| w.as_secs_f64())
    }
}

/// The servers that an attempt may use, and the time by which it has to complete.
struct Candidates<'a> {
    now: Time,
    servers: &'a [ServerEntry],
    request: &'a PendingRequest,
    aim: Time,
}

/// A server selection algorithm.
trait Selector {
    /// Returns an index into `candidates.servers`, which is not empty; None refuses the request.
    fn select(&mut self, candidates: &Candidates, rng: &mut Rng) -> Option<usize>;
    /// An attempt was sent.
    fn sent(&mut self, _: Time, _: ServerId, _: f64) {}
    /// An attempt ended after this latency.
    fn ended(&mut self, _: Time, _: ServerId, _: f64, _: Outcome, _: Duration) {}
}

/// The bookkeeping that all peers share: listed servers, requests in progress, and when another attempt is safe.
struct PeerPolicy {
    settings: Settings,
    rng: Rng,
    selector: Box<dyn Selector>,
    ready: Vec<ServerEntry>,
    requests: FxHashMap<RequestId, PendingRequest>,
}

impl PeerPolicy {
    fn dispatch(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let open: Vec<ServerEntry> =
            self.ready.iter().filter(|s| request.tried.iter().all(|t| t.0 != s.server)).cloned().collect();
        let class = &self.settings.classes[usize::from(request.arrival.class.0)];
        let candidates = Candidates { now, servers: &open, request, aim: request.arrived + class.aim };
        let picked = (!open.is_empty()).then(|| self.selector.select(&candidates, &mut self.rng)).flatten();
        let work = request.work();
        match (picked, self.requests.get_mut(&id)) {
            (Some(i), Some(request)) => {
                let server = open[i].server;
                request.tried.push((server, now));
                request.out = true;
                self.selector.sent(now, server, work);
                actions.push(Action::Send { request: id, server, limit: None });
            }
            _ => self.give_up(id, actions),
        }
    }

    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        let class = &self.settings.classes[usize::from(request.arrival.class.0)];
        let safe_to_retry = matches!(class.effect, Effect::Safe) || !request.may_have_run;
        let wait = self.settings.max_retry_after;
        actions.push(if safe_to_retry {
            Action::Refuse { request: id, wait, why: Refusal::NoServer }
        } else {
            Action::Fail { request: id }
        });
    }
}

impl Policy for PeerPolicy {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => {
                if matches!(kind, ListKind::Full | ListKind::Cached) {
                    self.ready.clear();
                }
                for e in entries {
                    self.ready.retain(|s| s.server != e.server);
                    if e.state == ServerState::Ready {
                        self.ready.push(e);
                    }
                }
                self.ready.sort_by_key(|s| s.server);
            }
            Event::Arrival(arrival) => {
                let (tried, out) = (Vec::new(), false);
                let request = PendingRequest { arrival, arrived: now, tried, out, may_have_run: false };
                self.requests.insert(arrival.request, request);
                self.dispatch(now, arrival.request, actions);
            }
            Event::AttemptEnded(end) => {
                let Some(request) = self.requests.get_mut(&end.request) else { return };
                request.out = false;
                request.may_have_run |= !end.outcome.never_ran();
                let (ran, tries, work) = (request.may_have_run, request.tried.len(), request.work());
                self.selector.ended(now, end.server, work, end.outcome, end.latency);
                if end.closed || end.outcome == Outcome::Served {
                    self.requests.remove(&end.request);
                } else if ran || tries as u32 >= self.settings.max_attempts {
                    self.give_up(end.request, actions);
                } else {
                    self.dispatch(now, end.request, actions);
                }
            }
            Event::ClientGone { request } => {
                // An attempt that is out still counts until it ends.
                if self.requests.get(&request).is_some_and(|w| !w.out) {
                    self.requests.remove(&request);
                }
            }
            // Peers do not use these events; their position on the ring is fixed by the settings.
            Event::ResponseStarted { .. }
            | Event::RequestWritten { .. }
            | Event::Timer { .. }
            | Event::ProbeEnded(_)
            | Event::Adjustments(_)
            | Event::RingPosition { .. } => {}
        }
    }
}

struct Random;

impl Selector for Random {
    fn select(&mut self, candidates: &Candidates, rng: &mut Rng) -> Option<usize> {
        Some(rng.below(candidates.servers.len()))
    }
}

#[derive(Default)]
struct LeastOutstanding {
    out: FxHashMap<ServerId, u32>,
}

impl Selector for LeastOutstanding {
    fn select(&mut self, candidates: &Candidates, rng: &mut Rng) -> Option<usize> {
        let out = |s: &ServerEntry| self.out.get(&s.server).copied().unwrap_or(0);
        let least = candidates.servers.iter().map(out).min()?;
        let ties: Vec<usize> =
            (0..candidates.servers.len()).filter(|&i| out(&candidates.servers[i]) == least).collect();
        Some(ties[rng.below(ties.len())])
    }

    fn sent(&mut self, _: Time, server: ServerId, _: f64) {
        *self.out.entry(server).or_default() += 1;
    }

    fn ended(&mut self, _: Time, server: ServerId, _: f64, _: Outcome, _: Duration) {
        let out = self.out.entry(server).or_default();
        *out = out.saturating_sub(1);
    }
}

#[derive(Default)]
struct PeakEwma {
    /// Smoothed latency in seconds, when it was updated, and outstanding attempts.
    known: FxHashMap<ServerId, (f64, Time, u32)>,
}

impl Selector for PeakEwma {
    fn select(&mut self, candidates: &Candidates, rng: &mut Rng) -> Option<usize> {
        let n = candidates.servers.len();
        let a = rng.below(n);
        let b = if n > 1 { (a + 1 + rng.below(n - 1)) % n } else { a };
        let cost = |i: usize| {
            let (latency, at, out) =
                self.known.get(&candidates.servers[i].server).copied().unwrap_or((0.0, candidates.now, 0));
            latency * (-(candidates.now - at).as_secs_f64() / DECAY).exp() * f64::from(out + 1)
        };
        Some(if cost(a) <= cost(b) { a } else { b })
    }

    fn sent(&mut self, now: Time, server: ServerId, _: f64) {
        self.known.entry(server).or_insert((0.0, now, 0)).2 += 1;
    }

    fn ended(&mut self, now: Time, server: ServerId, _: f64, _: Outcome, latency: Duration) {
        let (cost, at, out) = self.known.entry(server).or_insert((0.0, now, 0));
        let latency = latency.as_secs_f64();
        let keep = (-(now - *at).as_secs_f64() / DECAY).exp();
        // A higher latency is adopted immediately, a lower one gradually.
        *cost = if latency > *cost { latency } else { *cost * keep + latency * (1.0 - keep) };
        (*at, *out) = (now, out.saturating_sub(1));
    }
}

struct Subset {
    rank: u64,
    /// Smoothed success rate, smoothed latency in seconds, and round-robin credit.
    known: FxHashMap<ServerId, (f64, f64, f64)>,
}

impl Selector for Subset {
    fn select(&mut self, candidates: &Candidates, _: &mut Rng) -> Option<usize> {
        let rank = |s: &ServerEntry| Rng::new(self.rank, u64::from(s.server.0)).bits();
        let mut own: Vec<usize> = (0..candidates.servers.len()).collect();
        own.sort_by_key(|&i| rank(&candidates.servers[i]));
        own.truncate(SUBSET);
        // Smooth weighted round robin: each server gains its weight, and the one with the most credit is chosen and
        // pays the sum.
        let mut all = 0.0;
        for &i in &own {
            let known = self.known.entry(candidates.servers[i].server).or_insert((1.0, 0.1, 0.0));
            let weight = known.0 / known.1.max(1e-3);
            known.2 += weight;
            all += weight;
        }
        let credit = |i: &usize| self.known[&candidates.servers[*i].server].2;
        let best = own.iter().copied().max_by(|a, b| credit(a).total_cmp(&credit(b)).then(b.cmp(a)))?;
        self.known.entry(candidates.servers[best].server).and_modify(|k| k.2 -= all);
        Some(best)
    }

    fn ended(&mut self, _: Time, server: ServerId, _: f64, outcome: Outcome, latency: Duration) {
        let known = self.known.entry(server).or_insert((1.0, 0.1, 0.0));
        let served = f64::from(u8::from(outcome == Outcome::Served));
        known.0 += (served - known.0) / 16.0;
        known.1 += (latency.as_secs_f64() - known.1) / 16.0;
    }
}

struct Aperture {
    /// The node's position on the ring.
    ring_position: f64,
    out: LeastOutstanding,
}

impl Selector for Aperture {
    fn select(&mut self, candidates: &Candidates, rng: &mut Rng) -> Option<usize> {
        let n = candidates.servers.len();
        let mut ring: Vec<usize> = (0..n).collect();
        ring.sort_by_key(|&i| Rng::new(candidates.servers[i].name, 0).bits());
        ring.rotate_left(((self.ring_position * n as f64) as usize).min(n));
        ring.truncate(APERTURE);
        let out = |i: &usize| self.out.out.get(&candidates.servers[*i].server).copied().unwrap_or(0);
        let two = [(); 2].map(|()| ring[rng.below(ring.len())]);
        two.into_iter().min_by_key(out)
    }

    fn sent(&mut self, now: Time, server: ServerId, work: f64) {
        self.out.sent(now, server, work);
    }

    fn ended(&mut self, now: Time, server: ServerId, work: f64, outcome: Outcome, latency: Duration) {
        self.out.ended(now, server, work, outcome, latency);
    }
}

/// State that the nodes of a bounded oracle share.
#[derive(Debug, Default)]
pub struct SharedView {
    /// Hinted work and requests outstanding at each server, and the time of its last answer or of the first request
    /// since.
    out: FxHashMap<ServerId, (f64, u32, Time)>,
    /// Servers that rejected or failed a request, and when.
    failed: FxHashMap<ServerId, Time>,
}

struct Bounded {
    shared: Rc<RefCell<SharedView>>,
    pool: Rc<RefCell<ServerPool>>,
}

/// Seconds for which the bounded oracle avoids a server after a failure.
const FAILURE_AVOIDANCE: f64 = 1.0;

impl Selector for Bounded {
    fn select(&mut self, candidates: &Candidates, rng: &mut Rng) -> Option<usize> {
        let shared = self.shared.borrow();
        let pool = self.pool.borrow();
        let from = rng.below(candidates.servers.len());
        let wait = |i: usize| {
            let s = &candidates.servers[i];
            let age = s.started.map_or(1.0, |at| {
                let rules = &pool.rules;
                let age = (candidates.now - at).as_secs_f64() / rules.warm_up.as_secs_f64();
                (rules.cold_from + (1.0 - rules.cold_from) * age).min(1.0)
            });
            let failed = shared
                .failed
                .get(&s.server)
                .is_some_and(|t| (candidates.now - *t).as_secs_f64() < FAILURE_AVOIDANCE);
            let (work, count, last_answer) =
                shared.out.get(&s.server).copied().unwrap_or((0.0, 0, candidates.now));
            // Silence for longer than the outstanding work takes indicates a freeze.
            let silent = (candidates.now - last_answer).as_secs_f64();
            let overdue = if count > 0 { (silent - 2.0 * work).max(0.0) } else { 0.0 };
            // Part of the outstanding work is already done.
            let left = (work - silent.min(0.5 * work)).max(0.0);
            (left + candidates.request.work()) / age + overdue + if failed { 1e3 } else { 0.0 }
        };
        let n = candidates.servers.len();
        let best = (0..n).map(|k| (from + k) % n).min_by(|a, b| wait(*a).total_cmp(&wait(*b)))?;
        let held: u32 = shared.out.values().map(|o| o.1).sum();
        let queued = (f64::from(held) / n as f64 - 1.0).clamp(0.0, 1.0);
        let done = candidates.now + Duration::from_secs_f64(wait(best).min(1e6));
        admits(done, candidates, queued).then_some(best)
    }

    fn sent(&mut self, now: Time, server: ServerId, work: f64) {
        let mut shared = self.shared.borrow_mut();
        let out = shared.out.entry(server).or_insert((0.0, 0, now));
        if out.1 == 0 {
            out.2 = now;
        }
        (out.0, out.1) = (out.0 + work, out.1 + 1);
    }

    fn ended(&mut self, now: Time, server: ServerId, work: f64, outcome: Outcome, _: Duration) {
        let mut shared = self.shared.borrow_mut();
        let out = shared.out.entry(server).or_insert((0.0, 0, now));
        (out.0, out.1, out.2) = ((out.0 - work).max(0.0), out.1.saturating_sub(1), now);
        if !matches!(outcome, Outcome::Served | Outcome::NotSent | Outcome::Cancelled) {
            shared.failed.insert(server, now);
        }
    }
}

struct Oracle {
    pool: Rc<RefCell<ServerPool>>,
}

impl Selector for Oracle {
    fn select(&mut self, candidates: &Candidates, _: &mut Rng) -> Option<usize> {
        let pool = self.pool.borrow();
        let done = |i: usize| {
            pool.completion_time(candidates.now, candidates.servers[i].server, candidates.request.work())
        };
        let all = (0..candidates.servers.len()).filter_map(|i| Some((done(i)?, i)));
        let (at, best) = all.min()?;
        admits(at, candidates, pool.queued_fraction()).then_some(best)
    }
}

/// Whether an oracle admits a request that is predicted to complete at `done`. The hinted work may be too high or too
/// low: without queues a request is admitted even if it is predicted to be late by a third of its work; with many
/// queues only if it completes well before the aim.
fn admits(done: Time, candidates: &Candidates, queued: f64) -> bool {
    let margin = candidates.request.work() * (ORACLE_SLACK[0] + (ORACLE_SLACK[1] - ORACLE_SLACK[0]) * queued);
    if margin >= 0.0 {
        done <= candidates.aim + Duration::from_secs_f64(margin)
    } else {
        done + Duration::from_secs_f64(-margin) <= candidates.aim
    }
}
