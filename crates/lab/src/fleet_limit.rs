//! Simulates a fleet-wide limit enforced by one of three schemes: grants by demand from an allocator, using the
//! functions of `birchswitch-quota` as nodes do; a fixed share of 1/n per node; a central counter that is queried for
//! each request.
//!
//! Clients arrive at random. One node in eight receives a hundred times the traffic of the others, and the loud nodes
//! change every ten seconds. Admitted requests are counted by true time over every window.

use crate::rng::Rng;
use birchswitch_cluster::{Generation, MemberId};
use birchswitch_mesh::{Clock, ProcessId, Time};
use birchswitch_quota::bound::max_excess;
use birchswitch_quota::{
    Allocator, Counters, DemandEstimator, Grant, HeldGrant, Limit, LimitRequest, LocalQuota, Measure,
    QuotaTiming, RenewalRequest, RenewalResponse, Safeguards, Scope, WhenCut,
};
use std::time::{Duration, Instant};

/// How the limit is enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheme {
    /// Grants by demand.
    Grants,
    /// A fixed 1/n per node.
    Even,
    /// A counter queried for each request; without an answer the request is rejected.
    Counter,
}

/// The fault that begins at 20 s.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A third of the nodes can neither send nor receive messages for ten seconds.
    Cut,
    /// The allocator dies; another takes over three seconds later.
    Death,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct LimitSetup {
    /// Number of nodes.
    pub nodes: usize,
    /// Client demand, as a fraction of the limit.
    pub demand: f64,
    /// One-way delay between two nodes, in seconds.
    pub one_way_s: f64,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitResults {
    /// Requests by which the worst window exceeded L·W + B, where W is its length in seconds, L the limit in requests per
    /// second and B the burst; at most 0 if the limit held.
    pub excess: f64,
    /// Admitted requests, as a fraction of the smaller of the requests offered and the limit's rate times the duration.
    pub used: f64,
    /// `used` without the fault, the first ten seconds and the three seconds after each change of the loud nodes.
    pub settled_use: f64,
    /// `used` during the ten seconds of the fault.
    pub use_during_fault: f64,
    /// Seconds that a request waits for a decision on the limit.
    pub added_wait_s: f64,
    /// Messages per second and node, both directions.
    pub messages: f64,
    /// Payload bytes per second and node.
    pub bytes: f64,
    /// Payload bytes per second at the allocator or counter.
    pub allocator_bytes: f64,
    /// CPU time of the allocator in seconds per renewal.
    pub cpu_per_renewal: f64,
}

/// Requests per second, and burst, that the limit allows per node.
const PER_NODE: (f64, f64) = (8.0, 2.0);
const STEP: f64 = 0.005;
const SECONDS: f64 = 50.0;
/// Start of the fault and its maximum duration.
const FAULT: (f64, f64) = (20.0, 10.0);
/// Time until another allocator takes over.
const TAKEOVER: f64 = 3.0;
/// One node in `.0` receives `.1` times the traffic of the others.
const LOUD_NODES: (usize, f64) = (8, 100.0);
const LOUD_PERIOD: f64 = 10.0;
/// Time after each change of the loud nodes from which the use counts as settled.
const SETTLE_TIME: f64 = 3.0;
const DRIFT: u32 = 50;
/// Bytes of a query to the counter or of its answer: a limit, a number, yes or no.
const COUNTER_MESSAGE_BYTES: f64 = 12.0;

struct Node {
    quota: LocalQuota,
    counts: Counters,
    demand: DemandEstimator,
    held: Option<(HeldGrant, Time)>,
    highest_token: u64,
    next: f64,
    /// A response in transit: arrival time, request time and content.
    response: Option<(f64, Time, RenewalResponse)>,
    clock: f64,
}

/// A token bucket that fills by true time.
struct Bucket {
    level: f64,
    at: f64,
    rate_and_burst: (f64, f64),
}

impl Bucket {
    fn try_take(&mut self, now: f64) -> bool {
        self.level = (self.level + self.rate_and_burst.0 * (now - self.at)).min(self.rate_and_burst.1);
        self.at = now;
        let has_token = self.level >= 1.0;
        self.level -= f64::from(u8::from(has_token));
        has_token
    }
}

fn timing() -> QuotaTiming {
    let ms = Duration::from_millis;
    let (renew, ttl, transit, longest_request) = (ms(400), ms(4500), Duration::ZERO, ms(1000));
    QuotaTiming { renew, ttl, transit, longest_request, drift: DRIFT, safeguards: Safeguards::ALL }
}

/// Simulates one run.
pub fn play(setup: LimitSetup, scheme: Scheme, fault: Fault, seed: u64) -> LimitResults {
    let (per_s, burst) = (PER_NODE.0 * setup.nodes as f64, PER_NODE.1 * setup.nodes as f64);
    let (mut rng, timing) = (Rng::new(seed, 9), timing());
    let measure = Measure::Rate { per_s, burst };
    let scope = Scope { tenant: Some(0), class: None };
    let limit = Limit { name: "l".into(), scope, measure, when_cut: WhenCut::Strict, id: 1 };
    let clock = Clock::new(1000, DRIFT);
    let node = |_| {
        let counts = Counters::new(&[1.0]);
        let demand = DemandEstimator::new(&counts);
        let (next, rate) = (rng.unit() * timing.renew.as_secs_f64(), 0.96 + 0.08 * rng.unit());
        let (quota, held, highest_token, response) = (LocalQuota::default(), None, 0, None);
        Node { quota, counts, demand, held, highest_token, next, response, clock: rate }
    };
    let mut nodes: Vec<Node> = (0..setup.nodes).map(node).collect();
    let mut fixed_shares: Vec<Bucket> = (0..setup.nodes)
        .map(|_| Bucket {
            level: 0.0,
            at: 0.0,
            rate_and_burst: (per_s / setup.nodes as f64, burst / setup.nodes as f64),
        })
        .collect();
    let mut counter = Bucket { level: 0.0, at: 0.0, rate_and_burst: (per_s, burst) };
    let (mut token, mut allocator) = (1, Some(Allocator::new(&limit, &timing, clock, 1, Time::ZERO)));
    let (mut admitted, mut offered, mut settled_offered) = (Vec::new(), [0u64; 2], 0u64);
    let (mut messages, mut bytes, mut renewals, mut allocator_time) = (0u64, 0.0, 0u64, Duration::ZERO);
    let faulty = |now: f64| (FAULT.0..FAULT.0 + FAULT.1).contains(&now);
    let is_settled = |now: f64| now >= LOUD_PERIOD && now % LOUD_PERIOD >= SETTLE_TIME && !faulty(now);
    for step in 0..(SECONDS / STEP) as u64 {
        let now = step as f64 * STEP;
        let dead = fault == Fault::Death && (FAULT.0..FAULT.0 + TAKEOVER).contains(&now);
        if fault == Fault::Death && allocator.is_some() && token == 1 && dead {
            allocator = None;
        } else if allocator.is_none() && !dead {
            token += 1;
            allocator = Some(Allocator::new(&limit, &timing, clock, token, Time::from_secs_f64(now)));
        }
        let loud_index = (now / LOUD_PERIOD) as usize;
        let loud_nodes = (0..setup.nodes).filter(|n| (n + loud_index) % LOUD_NODES.0 == 0).count() as f64;
        let sum = loud_nodes * LOUD_NODES.1 + setup.nodes as f64 - loud_nodes;
        for (n, node) in nodes.iter_mut().enumerate() {
            let cut = fault == Fault::Cut && faulty(now) && n % 3 == 0;
            let time = Time::from_secs_f64(now * node.clock);
            if let Some((_, requested_at, response)) = node.response.take_if(|w| now >= w.0) {
                if response.token >= node.highest_token && !cut {
                    node.highest_token = response.token;
                    let until = requested_at + timing.ttl;
                    for grant in &response.grants {
                        node.quota.set_grant(
                            time,
                            Some(Grant { allocation: grant.allocation, expires: Some(until) }),
                        );
                        let held = HeldGrant {
                            token: response.token,
                            number: grant.number,
                            allocation: grant.allocation,
                        };
                        node.held = Some((held, until));
                    }
                }
            }
            if scheme == Scheme::Grants && now >= node.next {
                node.next = now + timing.renew.as_secs_f64();
                let held = node.held.filter(|(_, until)| time < *until).map(|(held, _)| held);
                let demand = node.demand.update(&node.counts, timing.renew.as_secs_f64(), false);
                let request = RenewalRequest {
                    highest_token: node.highest_token,
                    limits: vec![LimitRequest { limit: 1, demand, held, in_flight: 0 }],
                };
                if let (Some(active), false) = (&mut allocator, cut) {
                    let process = ProcessId { id: MemberId(n as u64), generation: Generation::default() };
                    let started = Instant::now();
                    let grant = active.renew(
                        Time::from_secs_f64(now),
                        process,
                        request.highest_token,
                        &request.limits[0],
                    );
                    (allocator_time, renewals) = (allocator_time + started.elapsed(), renewals + 1);
                    let response = RenewalResponse { token, grants: grant.into_iter().collect() };
                    let size = |bytes: Result<Vec<u8>, _>| bytes.map_or(0, |b| b.len()) as f64;
                    bytes += size(postcard::to_stdvec(&request)) + size(postcard::to_stdvec(&response));
                    messages += 2;
                    node.response = Some((now + 2.0 * setup.one_way_s, time, response));
                }
            }
            let weight = if (n + loud_index) % LOUD_NODES.0 == 0 { LOUD_NODES.1 } else { 1.0 };
            let mut tries = setup.demand * per_s * weight / sum * STEP;
            while tries > rng.unit() {
                tries -= 1.0;
                offered[usize::from(faulty(now))] += 1;
                settled_offered += u64::from(is_settled(now));
                let admits = match scheme {
                    Scheme::Grants => node.quota.check(time, false).is_ok(),
                    Scheme::Even => fixed_shares[n].try_take(now),
                    Scheme::Counter => {
                        let answered = !cut && !dead;
                        messages += 2 * u64::from(answered);
                        bytes += 2.0 * COUNTER_MESSAGE_BYTES * f64::from(u8::from(answered));
                        answered && counter.try_take(now)
                    }
                };
                if scheme == Scheme::Grants {
                    node.counts.record(1.0, admits);
                    if admits {
                        node.quota.consume();
                    }
                }
                if admits {
                    admitted.push(now);
                }
            }
        }
    }
    let count = |when: &dyn Fn(f64) -> bool| admitted.iter().filter(|at| when(**at)).count() as f64;
    let settled_seconds =
        (0..(SECONDS / STEP) as u64).filter(|s| is_settled(*s as f64 * STEP)).count() as f64 * STEP;
    let allowed = |offered: u64, seconds: f64| (offered as f64).min(per_s * seconds);
    let each = SECONDS * setup.nodes as f64;
    LimitResults {
        excess: max_excess(admitted.iter().copied(), per_s, burst),
        used: count(&|_| true) / allowed(offered[0] + offered[1], SECONDS),
        settled_use: count(&is_settled) / allowed(settled_offered, settled_seconds),
        use_during_fault: count(&faulty) / allowed(offered[1], FAULT.1),
        added_wait_s: if scheme == Scheme::Counter { 2.0 * setup.one_way_s } else { 0.0 },
        messages: messages as f64 / each,
        bytes: bytes / each,
        allocator_bytes: bytes / SECONDS,
        cpu_per_renewal: allocator_time.as_secs_f64() / renewals.max(1) as f64,
    }
}
