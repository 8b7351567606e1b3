//! What decides in a node: birchswitch's own decisions, peers from the literature, and oracles.
//!
//! Peers are written from public descriptions and tuned to nothing here. They choose a server for each attempt, try
//! again where the rules surely allow it, and refuse nothing while a server is listed:
//!
//! - [`Peer::Random`]: evenly among the listed servers.
//! - [`Peer::LeastOutstanding`]: the fewest of this node's own attempts out, ties by chance.
//! - [`Peer::PeakEwma`]: the better of two by peak-sensitive moving latency times own attempts out (Finagle's "power of
//!   two choices with peak EWMA"; decay 10 s, its default).
//! - [`Peer::Subset`]: weighted round robin over a subset of [`SUBSET`] servers, weights by served answers over
//!   latency (after "Load Balancing in the Datacenter", Beyer et al., Site Reliability Engineering, chapter 20).
//! - [`Peer::Aperture`]: the fewest own attempts out of two drawn from the [`APERTURE`] servers that follow the node's
//!   place on a ring that all nodes share (Finagle's deterministic aperture; its least size).
//! - [`Peer::Bounded`]: an oracle with no more than the reports, shared by all nodes: it keeps what all nodes have sent
//!   and heard in one place and sends each request where the least is in hand, knows no server's speed or freeze, and
//!   refuses what that bound says is late. What it reaches no node can be blamed for missing.
//! - [`Peer::Oracle`]: it sees every queue, freeze and speed at the moment, and chooses whoever is done first. It
//!   refuses what nobody can do in time.

use crate::hall::Hall;
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

/// Servers to which a subset balancer of a node keeps.
pub const SUBSET: usize = 20;
/// Servers in a deterministic aperture.
pub const APERTURE: usize = 12;
/// What an oracle allows a request to be late by its hint, as a part of its work: where nobody waits, and where all do.
const ORACLE_SLACK: [f64; 2] = [0.33, -0.8];
/// Seconds over which the latency of a peak EWMA is forgotten.
const DECAY: f64 = 10.0;

/// Whatever may decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// birchswitch's own decisions.
    Own,
    /// See the module's words.
    Random,
    /// See the module's words.
    LeastOutstanding,
    /// See the module's words.
    PeakEwma,
    /// See the module's words.
    Subset,
    /// See the module's words.
    Aperture,
    /// See the module's words.
    Bounded,
    /// See the module's words.
    Oracle,
}

impl Peer {
    /// All of them.
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

    /// Its name on the command line and in tables.
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

    /// Whether it sees what no node sees.
    pub fn sees_all(self) -> bool {
        matches!(self, Peer::Bounded | Peer::Oracle)
    }

    /// What decides in one node.
    pub fn decide(
        self,
        settings: Settings,
        seed: u64,
        now: Time,
        hall: &Rc<RefCell<Hall>>,
        together: &Rc<RefCell<Together>>,
    ) -> Result<Box<dyn Policy>, SettingsError> {
        settings.check()?;
        let chance = Rng::new(seed, 77);
        let pick: Box<dyn Pick> = match self {
            Peer::Own => return Ok(Box::new(Balancer::new(settings, seed, now)?)),
            Peer::Random => Box::new(Random),
            Peer::LeastOutstanding => Box::new(LeastOutstanding::default()),
            Peer::PeakEwma => Box::new(PeakEwma::default()),
            Peer::Subset => Box::new(Subset { rank: seed, known: FxHashMap::default() }),
            Peer::Aperture => Box::new(Aperture {
                begins: f64::from(settings.node_index.unwrap_or(0)) / f64::from(settings.nodes),
                out: LeastOutstanding::default(),
            }),
            Peer::Bounded => Box::new(Bounded { together: together.clone(), hall: hall.clone() }),
            Peer::Oracle => Box::new(Oracle { hall: hall.clone() }),
        };
        Ok(Box::new(Chooser { settings, chance, pick, ready: Vec::new(), requests: FxHashMap::default() }))
    }
}

/// One request as choosers see it.
struct Wanted {
    arrival: Arrival,
    arrived: Time,
    tried: Vec<(ServerId, Time)>,
    out: bool,
    may_have_run: bool,
}

impl Wanted {
    /// Work as hinted, in seconds; 0.1 where no hint came.
    fn work(&self) -> f64 {
        self.arrival.work.map_or(0.1, |w| w.as_secs_f64())
    }
}

/// What an attempt may go to, and by when it would be in time.
struct Choice<'a> {
    now: Time,
    servers: &'a [ServerEntry],
    wanted: &'a Wanted,
    aim: Time,
}

/// How a peer chooses.
trait Pick {
    /// A place in `choice.servers`, which is not empty; None: the request is refused.
    fn pick(&mut self, choice: &Choice, chance: &mut Rng) -> Option<usize>;
    /// An attempt went out.
    fn sent(&mut self, _: Time, _: ServerId, _: f64) {}
    /// An attempt ended after this long.
    fn ended(&mut self, _: Time, _: ServerId, _: f64, _: Outcome, _: Duration) {}
}

/// The ledger that all peers share: what is listed, what is out, and when another attempt is surely allowed.
struct Chooser {
    settings: Settings,
    chance: Rng,
    pick: Box<dyn Pick>,
    ready: Vec<ServerEntry>,
    requests: FxHashMap<RequestId, Wanted>,
}

impl Chooser {
    fn place(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(wanted) = self.requests.get(&id) else { return };
        let open: Vec<ServerEntry> =
            self.ready.iter().filter(|s| wanted.tried.iter().all(|t| t.0 != s.server)).cloned().collect();
        let class = &self.settings.classes[usize::from(wanted.arrival.class.0)];
        let choice = Choice { now, servers: &open, wanted, aim: wanted.arrived + class.aim };
        let picked = (!open.is_empty()).then(|| self.pick.pick(&choice, &mut self.chance)).flatten();
        let work = wanted.work();
        match (picked, self.requests.get_mut(&id)) {
            (Some(i), Some(wanted)) => {
                let server = open[i].server;
                wanted.tried.push((server, now));
                wanted.out = true;
                self.pick.sent(now, server, work);
                actions.push(Action::Send { request: id, server, limit: None });
            }
            _ => self.give_up(id, actions),
        }
    }

    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(wanted) = self.requests.remove(&id) else { return };
        let class = &self.settings.classes[usize::from(wanted.arrival.class.0)];
        let harmless = matches!(class.effect, Effect::Safe) || !wanted.may_have_run;
        let wait = self.settings.max_retry_after;
        actions.push(if harmless {
            Action::Refuse { request: id, wait, why: Refusal::NoServer }
        } else {
            Action::Fail { request: id }
        });
    }
}

impl Policy for Chooser {
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
                let wanted = Wanted { arrival, arrived: now, tried, out, may_have_run: false };
                self.requests.insert(arrival.request, wanted);
                self.place(now, arrival.request, actions);
            }
            Event::AttemptEnded(end) => {
                let Some(wanted) = self.requests.get_mut(&end.request) else { return };
                wanted.out = false;
                wanted.may_have_run |= !end.outcome.never_ran();
                let (ran, tries, work) = (wanted.may_have_run, wanted.tried.len(), wanted.work());
                self.pick.ended(now, end.server, work, end.outcome, end.latency);
                if end.closed || end.outcome == Outcome::Served {
                    self.requests.remove(&end.request);
                } else if ran || tries as u32 >= self.settings.max_attempts {
                    self.give_up(end.request, actions);
                } else {
                    self.place(now, end.request, actions);
                }
            }
            Event::ClientGone { request } => {
                // What is out still counts until its end is told.
                if self.requests.get(&request).is_some_and(|w| !w.out) {
                    self.requests.remove(&request);
                }
            }
            // Peers stay where they were told that they stand.
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

impl Pick for Random {
    fn pick(&mut self, choice: &Choice, chance: &mut Rng) -> Option<usize> {
        Some(chance.below(choice.servers.len()))
    }
}

#[derive(Default)]
struct LeastOutstanding {
    out: FxHashMap<ServerId, u32>,
}

impl Pick for LeastOutstanding {
    fn pick(&mut self, choice: &Choice, chance: &mut Rng) -> Option<usize> {
        let out = |s: &ServerEntry| self.out.get(&s.server).copied().unwrap_or(0);
        let least = choice.servers.iter().map(out).min()?;
        let ties: Vec<usize> =
            (0..choice.servers.len()).filter(|&i| out(&choice.servers[i]) == least).collect();
        Some(ties[chance.below(ties.len())])
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
    /// Smoothed seconds, when they were last moved, and attempts out.
    known: FxHashMap<ServerId, (f64, Time, u32)>,
}

impl Pick for PeakEwma {
    fn pick(&mut self, choice: &Choice, chance: &mut Rng) -> Option<usize> {
        let n = choice.servers.len();
        let a = chance.below(n);
        let b = if n > 1 { (a + 1 + chance.below(n - 1)) % n } else { a };
        let cost = |i: usize| {
            let (latency, at, out) =
                self.known.get(&choice.servers[i].server).copied().unwrap_or((0.0, choice.now, 0));
            latency * (-(choice.now - at).as_secs_f64() / DECAY).exp() * f64::from(out + 1)
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
        // A peak is believed at once, a better time by and by.
        *cost = if latency > *cost { latency } else { *cost * keep + latency * (1.0 - keep) };
        (*at, *out) = (now, out.saturating_sub(1));
    }
}

struct Subset {
    rank: u64,
    /// Answers served and their seconds, both fading, and the credit of the round robin.
    known: FxHashMap<ServerId, (f64, f64, f64)>,
}

impl Pick for Subset {
    fn pick(&mut self, choice: &Choice, _: &mut Rng) -> Option<usize> {
        let rank = |s: &ServerEntry| Rng::new(self.rank, u64::from(s.server.0)).bits();
        let mut own: Vec<usize> = (0..choice.servers.len()).collect();
        own.sort_by_key(|&i| rank(&choice.servers[i]));
        own.truncate(SUBSET);
        // Smooth weighted round robin: each gains its weight, the richest is taken and pays for all.
        let mut all = 0.0;
        for &i in &own {
            let known = self.known.entry(choice.servers[i].server).or_insert((1.0, 0.1, 0.0));
            let weight = known.0 / known.1.max(1e-3);
            known.2 += weight;
            all += weight;
        }
        let credit = |i: &usize| self.known[&choice.servers[*i].server].2;
        let best = own.iter().copied().max_by(|a, b| credit(a).total_cmp(&credit(b)).then(b.cmp(a)))?;
        self.known.entry(choice.servers[best].server).and_modify(|k| k.2 -= all);
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
    /// The node's place on the ring.
    begins: f64,
    out: LeastOutstanding,
}

impl Pick for Aperture {
    fn pick(&mut self, choice: &Choice, chance: &mut Rng) -> Option<usize> {
        let n = choice.servers.len();
        let mut ring: Vec<usize> = (0..n).collect();
        ring.sort_by_key(|&i| Rng::new(choice.servers[i].name, 0).bits());
        ring.rotate_left(((self.begins * n as f64) as usize).min(n));
        ring.truncate(APERTURE);
        let out = |i: &usize| self.out.out.get(&choice.servers[*i].server).copied().unwrap_or(0);
        let two = [(); 2].map(|()| ring[chance.below(ring.len())]);
        two.into_iter().min_by_key(out)
    }

    fn sent(&mut self, now: Time, server: ServerId, work: f64) {
        self.out.sent(now, server, work);
    }

    fn ended(&mut self, now: Time, server: ServerId, work: f64, outcome: Outcome, latency: Duration) {
        self.out.ended(now, server, work, outcome, latency);
    }
}

/// What the nodes of a bounded oracle know together.
#[derive(Debug, Default)]
pub struct Together {
    /// Hinted work in hand at each server, and since when nothing was heard of it while it had some.
    out: FxHashMap<ServerId, (f64, u32, Time)>,
    /// Servers that turned away or failed, and when.
    shut: FxHashMap<ServerId, Time>,
}

struct Bounded {
    together: Rc<RefCell<Together>>,
    hall: Rc<RefCell<Hall>>,
}

/// Seconds for which a server that failed somebody is left alone by the bounded oracle.
const SHUT: f64 = 1.0;

impl Pick for Bounded {
    fn pick(&mut self, choice: &Choice, chance: &mut Rng) -> Option<usize> {
        let together = self.together.borrow();
        let hall = self.hall.borrow();
        let from = chance.below(choice.servers.len());
        let wait = |i: usize| {
            let s = &choice.servers[i];
            let age = s.started.map_or(1.0, |at| {
                let rules = &hall.rules;
                let age = (choice.now - at).as_secs_f64() / rules.warm_up.as_secs_f64();
                (rules.cold_from + (1.0 - rules.cold_from) * age).min(1.0)
            });
            let shut = together.shut.get(&s.server).is_some_and(|t| (choice.now - *t).as_secs_f64() < SHUT);
            let (work, count, heard) = together.out.get(&s.server).copied().unwrap_or((0.0, 0, choice.now));
            // Silence for longer than what it holds takes is a freeze, as far as anybody can tell.
            let silent = (choice.now - heard).as_secs_f64();
            let overdue = if count > 0 { (silent - 2.0 * work).max(0.0) } else { 0.0 };
            // What is being worked on is done in part.
            let left = (work - silent.min(0.5 * work)).max(0.0);
            (left + choice.wanted.work()) / age + overdue + if shut { 1e3 } else { 0.0 }
        };
        let n = choice.servers.len();
        let best = (0..n).map(|k| (from + k) % n).min_by(|a, b| wait(*a).total_cmp(&wait(*b)))?;
        let held: u32 = together.out.values().map(|o| o.1).sum();
        let crowded = (f64::from(held) / n as f64 - 1.0).clamp(0.0, 1.0);
        let done = choice.now + Duration::from_secs_f64(wait(best).min(1e6));
        worth_it(done, choice, crowded).then_some(best)
    }

    fn sent(&mut self, now: Time, server: ServerId, work: f64) {
        let mut together = self.together.borrow_mut();
        let out = together.out.entry(server).or_insert((0.0, 0, now));
        if out.1 == 0 {
            out.2 = now;
        }
        (out.0, out.1) = (out.0 + work, out.1 + 1);
    }

    fn ended(&mut self, now: Time, server: ServerId, work: f64, outcome: Outcome, _: Duration) {
        let mut together = self.together.borrow_mut();
        let out = together.out.entry(server).or_insert((0.0, 0, now));
        (out.0, out.1, out.2) = ((out.0 - work).max(0.0), out.1.saturating_sub(1), now);
        if !matches!(outcome, Outcome::Served | Outcome::NotSent | Outcome::Cancelled) {
            together.shut.insert(server, now);
        }
    }
}

struct Oracle {
    hall: Rc<RefCell<Hall>>,
}

impl Pick for Oracle {
    fn pick(&mut self, choice: &Choice, _: &mut Rng) -> Option<usize> {
        let hall = self.hall.borrow();
        let done = |i: usize| hall.done(choice.now, choice.servers[i].server, choice.wanted.work());
        let all = (0..choice.servers.len()).filter_map(|i| Some((done(i)?, i)));
        let (at, best) = all.min()?;
        worth_it(at, choice, hall.crowded()).then_some(best)
    }
}

/// Whether an oracle lets a request in that should be done then. Work is a hint that may be too high or too low: while
/// there is room, what should be late by a third of it is tried still; where many wait, only what surely makes it.
fn worth_it(done: Time, choice: &Choice, crowded: f64) -> bool {
    let margin = choice.wanted.work() * (ORACLE_SLACK[0] + (ORACLE_SLACK[1] - ORACLE_SLACK[0]) * crowded);
    if margin >= 0.0 {
        done <= choice.aim + Duration::from_secs_f64(margin)
    } else {
        done + Duration::from_secs_f64(-margin) <= choice.aim
    }
}
