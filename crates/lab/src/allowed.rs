//! A limit of the whole fleet in virtual time, kept in three ways: grants by demand from a keeper, as nodes do it with the functions of
//! `birchswitch-quota`; a fixed part of 1/n at each node; a counter that is asked about each request.
//!
//! Each node's clients come by chance, one node in eight a hundred times as often as the others, and which moves every ten seconds. What is
//! let in is counted by true time, in every window.

use crate::rng::Rng;
use birchswitch_cluster::{Generation, MemberId};
use birchswitch_mesh::{Clock, ProcessId, Time};
use birchswitch_quota::bound::max_excess;
use birchswitch_quota::{
    Allocator, Counters, DemandEstimator, Grant, HeldGrant, Limit, LimitRequest, LocalQuota, Measure,
    QuotaTiming, RenewalRequest, RenewalResponse, Safeguards, Scope, WhenCut,
};
use std::time::{Duration, Instant};

/// How the limit is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Grants by demand.
    Grants,
    /// A fixed 1/n at each node.
    Even,
    /// A counter asked about each request; without an answer it is turned away.
    Counter,
}

/// What goes wrong from the twentieth second on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// A third of the nodes hears nobody for ten seconds.
    Cut,
    /// Whoever keeps the limit dies; another begins three seconds later.
    Death,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Nodes.
    pub nodes: usize,
    /// What clients ask for, as a part of the limit.
    pub demand: f64,
    /// One way between two nodes, in seconds.
    pub way: f64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Came {
    /// By how many requests the worst window went over L·W + B; at most 0 keeps the limit.
    pub over: f64,
    /// Let in, of what both clients and limit allow.
    pub used: f64,
    /// The same from three seconds after each move on, before the trouble and after it, and the first ten seconds left out.
    pub settled: f64,
    /// The same in the ten seconds of the trouble.
    pub meanwhile: f64,
    /// Seconds that a request waits for word of the limit.
    pub added: f64,
    /// Messages a second and node, both ways.
    pub messages: f64,
    /// Their content a second and node, in bytes.
    pub bytes: f64,
    /// The same at the keeper or counter.
    pub keeper_bytes: f64,
    /// Processor time of the keeper's books, in seconds for each that asked.
    pub ask: f64,
}

/// Requests a second for each node that the limit allows, and at once.
const PER_NODE: (f64, f64) = (8.0, 2.0);
const STEP: f64 = 0.005;
const SECONDS: f64 = 50.0;
/// When the trouble begins, and how long it lasts at most.
const TROUBLE: (f64, f64) = (20.0, 10.0);
/// Until another keeper begins.
const GAP: f64 = 3.0;
/// One in so many is loud, so many times.
const LOUD: (usize, f64) = (8, 100.0);
const MOVES: f64 = 10.0;
/// From then on after each, what is used is *settled*.
const SETTLES: f64 = 3.0;
const DRIFT: u32 = 50;
/// A question of the counter and its answer: a limit, a number, yes or no.
const COUNTED: f64 = 12.0;

struct Node {
    allowance: LocalQuota,
    counts: Counters,
    demand: DemandEstimator,
    held: Option<(HeldGrant, Time)>,
    heard: u64,
    next: f64,
    /// Answers on their way: when they arrive, when they were asked for, and what they say.
    word: Option<(f64, Time, RenewalResponse)>,
    clock: f64,
}

/// A bucket that true time fills.
struct Bucket {
    level: f64,
    at: f64,
    part: (f64, f64),
}

impl Bucket {
    fn takes(&mut self, now: f64) -> bool {
        self.level = (self.level + self.part.0 * (now - self.at)).min(self.part.1);
        self.at = now;
        let takes = self.level >= 1.0;
        self.level -= f64::from(u8::from(takes));
        takes
    }
}

fn terms() -> QuotaTiming {
    let ms = Duration::from_millis;
    let (renew, ttl, transit, longest_request) = (ms(400), ms(4500), Duration::ZERO, ms(1000));
    QuotaTiming { renew, ttl, transit, longest_request, drift: DRIFT, safeguards: Safeguards::ALL }
}

/// Plays it.
pub fn play(plan: Plan, way: Way, trouble: Trouble, seed: u64) -> Came {
    let (per_s, burst) = (PER_NODE.0 * plan.nodes as f64, PER_NODE.1 * plan.nodes as f64);
    let (mut chance, terms) = (Rng::new(seed, 9), terms());
    let measure = Measure::Rate { per_s, burst };
    let scope = Scope { tenant: Some(0), class: None };
    let limit = Limit { name: "l".into(), scope, measure, when_cut: WhenCut::Strict, id: 1 };
    let clock = Clock::new(1000, DRIFT);
    let node = |_| {
        let counts = Counters::new(&[1.0]);
        let demand = DemandEstimator::new(&counts);
        let (next, rate) = (chance.unit() * terms.renew.as_secs_f64(), 0.96 + 0.08 * chance.unit());
        let (allowance, held, heard, word) = (LocalQuota::default(), None, 0, None);
        Node { allowance, counts, demand, held, heard, next, word, clock: rate }
    };
    let mut nodes: Vec<Node> = (0..plan.nodes).map(node).collect();
    let mut even: Vec<Bucket> = (0..plan.nodes)
        .map(|_| Bucket { level: 0.0, at: 0.0, part: (per_s / plan.nodes as f64, burst / plan.nodes as f64) })
        .collect();
    let mut counter = Bucket { level: 0.0, at: 0.0, part: (per_s, burst) };
    let (mut token, mut keeper) = (1, Some(Allocator::new(&limit, &terms, clock, 1, Time::ZERO)));
    let (mut let_in, mut came, mut quiet) = (Vec::new(), [0u64; 2], 0u64);
    let (mut messages, mut bytes, mut asks, mut took) = (0u64, 0.0, 0u64, Duration::ZERO);
    let troubled = |now: f64| (TROUBLE.0..TROUBLE.0 + TROUBLE.1).contains(&now);
    let settled = |now: f64| now >= MOVES && now % MOVES >= SETTLES && !troubled(now);
    for step in 0..(SECONDS / STEP) as u64 {
        let now = step as f64 * STEP;
        let dead = trouble == Trouble::Death && (TROUBLE.0..TROUBLE.0 + GAP).contains(&now);
        if trouble == Trouble::Death && keeper.is_some() && token == 1 && dead {
            keeper = None;
        } else if keeper.is_none() && !dead {
            token += 1;
            keeper = Some(Allocator::new(&limit, &terms, clock, token, Time::from_secs_f64(now)));
        }
        let loud = (now / MOVES) as usize;
        let loud_ones = (0..plan.nodes).filter(|n| (n + loud) % LOUD.0 == 0).count() as f64;
        let sum = loud_ones * LOUD.1 + plan.nodes as f64 - loud_ones;
        for (n, node) in nodes.iter_mut().enumerate() {
            let cut = trouble == Trouble::Cut && troubled(now) && n % 3 == 0;
            let time = Time::from_secs_f64(now * node.clock);
            if let Some((_, asked, word)) = node.word.take_if(|w| now >= w.0) {
                if word.token >= node.heard && !cut {
                    node.heard = word.token;
                    let until = asked + terms.ttl;
                    for issue in &word.grants {
                        node.allowance.set_grant(
                            time,
                            Some(Grant { allocation: issue.allocation, expires: Some(until) }),
                        );
                        let held = HeldGrant {
                            token: word.token,
                            number: issue.number,
                            allocation: issue.allocation,
                        };
                        node.held = Some((held, until));
                    }
                }
            }
            if way == Way::Grants && now >= node.next {
                node.next = now + terms.renew.as_secs_f64();
                let held = node.held.filter(|(_, until)| time < *until).map(|(held, _)| held);
                let demand = node.demand.update(&node.counts, terms.renew.as_secs_f64(), false);
                let need = RenewalRequest {
                    highest_token: node.heard,
                    limits: vec![LimitRequest { limit: 1, demand, held, in_flight: 0 }],
                };
                if let (Some(books), false) = (&mut keeper, cut) {
                    let who = ProcessId { id: MemberId(n as u64), generation: Generation::default() };
                    let began = Instant::now();
                    let issue =
                        books.renew(Time::from_secs_f64(now), who, need.highest_token, &need.limits[0]);
                    (took, asks) = (took + began.elapsed(), asks + 1);
                    let word = RenewalResponse { token, grants: issue.into_iter().collect() };
                    let size = |bytes: Result<Vec<u8>, _>| bytes.map_or(0, |b| b.len()) as f64;
                    bytes += size(postcard::to_stdvec(&need)) + size(postcard::to_stdvec(&word));
                    messages += 2;
                    node.word = Some((now + 2.0 * plan.way, time, word));
                }
            }
            let weight = if (n + loud) % LOUD.0 == 0 { LOUD.1 } else { 1.0 };
            let mut tries = plan.demand * per_s * weight / sum * STEP;
            while tries > chance.unit() {
                tries -= 1.0;
                came[usize::from(troubled(now))] += 1;
                quiet += u64::from(settled(now));
                let enters = match way {
                    Way::Grants => node.allowance.check(time, false).is_ok(),
                    Way::Even => even[n].takes(now),
                    Way::Counter => {
                        let heard = !cut && !dead;
                        messages += 2 * u64::from(heard);
                        bytes += 2.0 * COUNTED * f64::from(u8::from(heard));
                        heard && counter.takes(now)
                    }
                };
                if way == Way::Grants {
                    node.counts.record(1.0, enters);
                    if enters {
                        node.allowance.consume();
                    }
                }
                if enters {
                    let_in.push(now);
                }
            }
        }
    }
    let within = |when: &dyn Fn(f64) -> bool| let_in.iter().filter(|at| when(**at)).count() as f64;
    let quiet_seconds =
        (0..(SECONDS / STEP) as u64).filter(|s| settled(*s as f64 * STEP)).count() as f64 * STEP;
    let may = |came: u64, seconds: f64| (came as f64).min(per_s * seconds);
    let each = SECONDS * plan.nodes as f64;
    Came {
        over: max_excess(let_in.iter().copied(), per_s, burst),
        used: within(&|_| true) / may(came[0] + came[1], SECONDS),
        settled: within(&settled) / may(quiet, quiet_seconds),
        meanwhile: within(&troubled) / may(came[1], TROUBLE.1),
        added: if way == Way::Counter { 2.0 * plan.way } else { 0.0 },
        messages: messages as f64 / each,
        bytes: bytes / each,
        keeper_bytes: bytes / SECONDS,
        ask: took.as_secs_f64() / asks.max(1) as f64,
    }
}
