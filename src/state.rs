//! State of the balancer and its bookkeeping. It makes no decisions.

use crate::interface::*;
use crate::policy::LoadHistory;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Factor by which the next report lowers the weight of earlier counts of running requests.
const COUNT_DECAY: f64 = 0.96;

/// A uniformly distributed number in [0, 1).
pub(crate) fn uniform(rng: &mut Xoshiro256PlusPlus) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// An exponentially decaying rate.
pub(crate) struct Rate {
    count: f64,
    started_at: Time,
    at: Time,
    window: f64,
}

impl Rate {
    pub(crate) fn new(now: Time, window: f64) -> Self {
        Rate { count: 0.0, started_at: now, at: now, window }
    }

    /// The rate per second, corrected for a window that has not filled up yet.
    pub(crate) fn corrected(&mut self, now: Time) -> f64 {
        let rate = self.add(now, 0.0);
        let seen = (now - self.started_at).as_secs_f64().max(1.0) / self.window;
        rate / (1.0 - (-seen).exp())
    }

    /// Counts `amount` and returns the rate per second.
    pub(crate) fn add(&mut self, now: Time, amount: f64) -> f64 {
        self.count = self.count * (-(now - self.at).as_secs_f64() / self.window).exp() + amount;
        self.at = now;
        self.count / self.window
    }
}

/// Exponentially decaying counts of all attempts and of those that were rejected or failed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutcomeHistory {
    /// Attempts, weighted by age.
    pub count: f64,
    /// Attempts rejected without having run, weighted by age.
    pub rejected: f64,
    /// Attempts that failed otherwise, weighted by age.
    pub failed: f64,
    pub at: Time,
}

impl OutcomeHistory {
    /// The counts as of `now`, decayed with time constant `time` in seconds.
    pub(crate) fn decayed(self, now: Time, time: f64) -> Self {
        let left = decay_factor(now, self.at, time);
        OutcomeHistory {
            count: self.count * left,
            rejected: self.rejected * left,
            failed: self.failed * left,
            at: now,
        }
    }

    /// Adds one attempt.
    pub(crate) fn with(self, rejected: f64, failed: f64) -> Self {
        let (rejected, failed) = (self.rejected + rejected, self.failed + failed);
        OutcomeHistory { count: self.count + 1.0, rejected, failed, ..self }
    }
}

/// The factor by which a value decays from `then` to `now`, with time constant `time` in seconds.
pub(crate) fn decay_factor(now: Time, then: Time, time: f64) -> f64 {
    (-(now - then).as_secs_f64() / time).exp()
}

pub(crate) struct Server {
    pub id: ServerId,
    /// Position on the ring of servers, the same at every node.
    pub ring_hash: u64,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub state: ServerState,
    /// Smoothed listed weight.
    pub weight: f64,
    /// Weight in the latest list.
    pub listed_weight: f64,
    /// When it was first listed.
    pub first_listed: Time,
    pub started: Option<Time>,
    /// Price of its load: φ of `docs/design/core.md`, divided by the number of ready servers.
    pub price: f64,
    /// Time up to which price steps have been applied.
    pub price_updated: Time,
    /// Load according to the latest report.
    pub load: Option<f64>,
    /// When that report arrived.
    pub reported_at: Time,
    /// Requests per second according to that report.
    pub rate: f64,
    /// Concurrency inferred from its reports; 0 while unknown.
    pub slots: f64,
    /// Decaying sums of the running requests and of the rates in its reports.
    pub load_sums: (f64, f64),
    /// Smoothed capacity in requests per second, or inverse latency if rates are not reported.
    pub speed: f64,
    /// Effective number of samples in `speed`.
    pub samples: f64,
    /// When `speed` was last updated.
    pub speed_updated: Time,
    /// Decaying sum of the shares solved for this server, each class weighted by its part of the arrivals. Only
    /// its ratio to the sum over all ready servers is meaningful.
    pub recent_share: f64,
    /// When this node last had a connection to it.
    pub last_connected: Option<Time>,
    /// When the server last responded.
    pub last_response: Time,
    /// Send times of the attempts in flight.
    pub in_flight: Vec<Time>,
    /// Requests in the server: the latest known number, plus this node's sends and minus its answers since
    /// then.
    pub held: Option<f64>,
    /// Time to which that number applies.
    pub held_at: Time,
    /// When the probe in flight was sent.
    pub probe_sent_at: Option<Time>,
    /// Upper bound on its share relative to the mean share, from [`ServerAdjustment`]; 1: no bound.
    pub share_limit: f64,
    /// Weight correction from [`ServerAdjustment`], and the exponent that limits its effect.
    pub weight_factor: f64,
    pub weight_confidence: f64,
    /// How attempts at this server ended.
    pub outcomes: OutcomeHistory,
    /// Seconds by which answers exceeded the latency expected from its reports.
    pub excess_latency: f64,
}

impl Server {
    pub(crate) fn new(entry: &ServerEntry, price: f64, now: Time) -> Self {
        let weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        Server {
            id: entry.server,
            ring_hash: Xoshiro256PlusPlus::seed_from_u64(entry.name).next_u64(),
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            state: entry.state,
            weight,
            listed_weight: weight,
            first_listed: now,
            started: entry.started,
            price,
            price_updated: now,
            load: None,
            reported_at: now,
            rate: 0.0,
            slots: 0.0,
            load_sums: (0.0, 0.0),
            speed: 0.0,
            samples: 0.0,
            speed_updated: now,
            recent_share: 0.0,
            last_connected: None,
            last_response: now,
            in_flight: Vec::new(),
            held: None,
            held_at: now,
            probe_sent_at: None,
            share_limit: 1.0,
            weight_factor: 1.0,
            weight_confidence: 0.0,
            outcomes: OutcomeHistory::default(),
            excess_latency: 0.0,
        }
    }

    /// Lower bound on the fraction of its capacity that it has by now.
    pub(crate) fn warmth(&self, rules: &Rules, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now - started).as_secs_f64() / rules.warm_up.as_secs_f64().max(1e-9);
        (rules.cold_from + (1.0 - rules.cold_from) * age).min(1.0)
    }

    /// Whether the class's placement, by zone and kind, allows this server.
    pub(crate) fn may_serve(&self, class: &Class) -> bool {
        class.zones.as_ref().is_none_or(|open| open.contains(&self.zone))
            && class.kinds.as_ref().is_none_or(|open| open.contains(&self.kind))
    }

    /// Whether a connection is certainly still open.
    pub(crate) fn connected(&self, now: Time, idle: Duration) -> bool {
        self.last_connected.is_some_and(|at| now < at + idle)
    }

    /// Whether an attempt has been in flight longer than `limit` without any response from the server
    /// since.
    pub(crate) fn unresponsive(&self, now: Time, limit: Duration) -> bool {
        self.in_flight
            .iter()
            .find(|sent| **sent >= self.last_response)
            .is_some_and(|sent| now > *sent + limit)
    }

    /// Utilization according to counts of running and waiting requests. While requests wait, all slots are in
    /// use; before any have waited, one more slot than the running requests is assumed. Rates are smoother
    /// than counts: utilization is the rate times the mean time in service (Little's law), divided by the
    /// slots.
    pub(crate) fn busy_from_counts(&mut self, running: f64, waiting: f64, rate: Option<f64>) -> f64 {
        self.slots = match waiting >= 1.0 {
            true if self.slots > 0.0 => self.slots + (running - self.slots) / 4.0,
            true => running,
            false if self.slots == 0.0 => running + 1.0,
            false => self.slots.max(running),
        };
        self.slots = self.slots.max(1.0);
        let Some(rate) = rate else { return running / self.slots };
        self.load_sums = (self.load_sums.0 * COUNT_DECAY + running, self.load_sums.1 * COUNT_DECAY + rate);
        (rate * self.load_sums.0 / self.load_sums.1.max(1e-9) / self.slots).min(1.0)
    }

    pub(crate) fn learn_speed(&mut self, now: Time, sample: f64, memory: f64) {
        self.samples = (self.samples + 1.0).min(memory);
        self.speed += (sample - self.speed) / self.samples;
        self.speed_updated = now;
    }
}

/// Mean number of requests and mean utilization of servers that are not saturated.
#[derive(Default)]
pub(crate) struct UnsaturatedLoad {
    held: f64,
    busy: f64,
}

impl UnsaturatedLoad {
    pub(crate) fn learn(&mut self, unsaturated: bool, held: f64, busy: f64) {
        if unsaturated {
            self.held += (held - self.held) / 64.0;
            self.busy += (busy - self.busy) / 64.0;
        }
    }

    /// The utilization typical for `held` requests.
    pub(crate) fn load(&self, held: f64) -> f64 {
        held * self.busy / self.held.max(1.0)
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Time,
    pub ended: bool,
    pub may_have_run: bool,
    /// Whether it needed a new connection.
    pub new_connection: bool,
    /// Requests in the server when it was chosen, if that was known and recent.
    pub held_when_sent: Option<f64>,
    /// Whether the server was cold at the time.
    pub cold: bool,
}

impl Attempt {
    /// Whether it may have run or may still run.
    pub(crate) fn uncertain(&self) -> bool {
        !self.ended || self.may_have_run
    }
}

pub(crate) struct Request {
    pub class: ClassId,
    pub arrived: Time,
    pub deadline: Time,
    pub work: Option<f64>,
    /// Whether a final answer is still due.
    pub answer_due: bool,
    /// Whether a streamed answer has started.
    pub response_started: bool,
    /// Whether the request has been received completely, so that a server can start as soon as it is sent.
    pub body_complete: bool,
    /// Time that a server took to accept a request that arrived incomplete; zero for others.
    pub transfer: Duration,
    pub attempts: Vec<Attempt>,
    /// Its worth relative to that of a mean request.
    pub worth: f64,
    /// Reason to give if the request is refused now.
    pub why: Refusal,
    /// Servers considered for its next attempt.
    pub candidates: Vec<(ServerId, ProbeState)>,
}

/// State of the probe to a candidate server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeState {
    /// Not probed.
    NotSent,
    /// Waiting for the answer.
    Pending,
    /// Answered.
    Answered,
    /// Failed.
    Failed,
}

impl Request {
    /// A request that has just arrived.
    pub(crate) fn new(now: Time, class: ClassId, a: &Arrival) -> Self {
        let (attempts, candidates, work) = (Vec::new(), Vec::new(), a.work.map(|w| w.as_secs_f64()));
        let (arrived, deadline, body_complete) = (now, now + a.remaining, a.body_complete);
        let (answer_due, response_started, worth, why) = (true, false, 1.0, Refusal::NoServer);
        Request {
            class,
            arrived,
            deadline,
            work,
            answer_due,
            response_started,
            body_complete,
            transfer: Duration::ZERO,
            attempts,
            worth,
            why,
            candidates,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.attempts.iter().all(|a| a.ended)
    }
}

/// An attempt that ended, with the relevant properties of its request.
pub(crate) struct EndedAttempt {
    pub attempt: Attempt,
    pub class: ClassId,
    pub work: Option<f64>,
    pub body_complete: bool,
    /// Whether a streamed answer has started.
    pub streamed: bool,
    /// Whether the end of this attempt calls for no decision: no answer is due, or another attempt is in
    /// flight.
    pub finished: bool,
}

/// Input of the share solver for one server.
pub(crate) struct ShareInput {
    pub price: f64,
    pub speed: f64,
    pub max_share: f64,
}

/// Per-class state: the shares from which servers are drawn, and the load shedding.
pub(crate) struct Market {
    /// Shares of the ready servers, with a sum of at most `open_count`; 0 where the class may not go.
    pub shares: Vec<f64>,
    /// Number of ready servers within the class's placement and this node's aperture.
    pub open_count: f64,
    /// Whether the aperture excludes some of the ready servers.
    pub aperture_active: bool,
    /// Number of servers in the aperture, counted on the ring from where it starts.
    pub aperture_size: f64,
    /// Multiplier of the last solution, from which the next one starts.
    pub lambda: f64,
    /// When `shed_fraction` was last updated from an attempt.
    pub shed_updated: Time,
    /// Arrivals per second of all classes with this placement when shares were last solved; kept like
    /// `worths`.
    pub arrival_rate: f64,
    /// Mean work of a request.
    pub work: f64,
    /// Fraction of the arrivals shed because of the load of these servers.
    pub shed_fraction: f64,
    /// Worth per unit of work below which a part of the arrivals is rejected; kept like `worths`.
    pub threshold: f64,
    /// Worths of recent arrivals per unit of work, with that work. The first class with the same placement
    /// keeps them for all of these classes.
    pub worths: VecDeque<(f64, f64)>,
    /// Index of the first class with the same placement.
    pub representative: usize,
    pub arrivals: Rate,
    /// Attempts sent per second over a longer window; unlike `arrivals`, it counts each retry.
    pub slow_arrivals: Rate,
}

impl Market {
    /// A market whose arrival rates use a window of `window` seconds and whose sends use one of `long`
    /// seconds.
    pub(crate) fn new(now: Time, representative: usize, [window, long]: [f64; 2]) -> Self {
        let (shares, worths, arrivals) = (Vec::new(), VecDeque::new(), Rate::new(now, window));
        Market {
            shares,
            open_count: 0.0,
            aperture_active: false,
            aperture_size: 0.0,
            lambda: 0.5,
            shed_updated: now,
            arrival_rate: 0.0,
            work: 0.0,
            shed_fraction: 0.0,
            threshold: 0.0,
            worths,
            representative,
            arrivals,
            slow_arrivals: Rate::new(now, long),
        }
    }

    /// Updates the mean work of a request from a hint or, without hints, from the time to answer.
    pub(crate) fn learn_work(&mut self, sample: f64) {
        self.work += (sample - self.work) * if self.work > 0.0 { 1.0 / 64.0 } else { 1.0 };
    }

    /// Records an arrival's worth among the latest `most`.
    pub(crate) fn record_worth(&mut self, worth: (f64, f64), most: usize) {
        if self.worths.len() == most {
            self.worths.pop_front();
        }
        self.worths.push_back(worth);
    }
}

/// Initial values and time constants, defined by the deciding modules.
pub(crate) struct InitialParameters {
    /// Window in seconds for the rates of arrivals and sends.
    pub rate_window: f64,
    /// Window in seconds for this node's share of the fleet's traffic.
    pub fleet_share_window: f64,
    /// Window in seconds for the rates of tenants.
    pub tenant_window: f64,
    /// Seconds for which a load report affects the price.
    pub report_life: f64,
    /// Initial number of retry tokens.
    pub retry_tokens: f64,
}

/// The balancer of one node: takes [`Event`]s and returns [`Action`]s.
pub struct Balancer {
    pub(crate) settings: Settings,
    /// Where this node's aperture starts on the ring of servers, as a fraction of the ring.
    pub(crate) ring_start: f64,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) servers: Vec<Server>,
    /// Index in `servers` of each server.
    pub(crate) index: FxHashMap<ServerId, usize>,
    /// Indices of the ready servers, in ring order.
    pub(crate) ready: Vec<usize>,
    /// One market per class.
    pub(crate) markets: Vec<Market>,
    /// Mean price of the ready servers.
    pub(crate) mean_price: f64,
    /// Mean price weighted by the requests that servers get.
    pub(crate) market_price: f64,
    /// Mean reported load; old reports count less.
    pub(crate) mean_load: f64,
    /// Mean speed, weighted by the number of samples.
    pub(crate) mean_speed: f64,
    /// When shares were last solved; `None` requests a new solution.
    pub(crate) solved_at: Option<Time>,
    pub(crate) requests: FxHashMap<RequestId, Request>,
    /// Requests waiting for probe answers, each with its timer.
    pub(crate) pending_choices: Vec<(RequestId, TimerId)>,
    pub(crate) next_timer: u32,
    /// Timer of the next list call.
    pub(crate) list_timer: Option<TimerId>,
    /// Typical time to answer in seconds, a quantile.
    pub(crate) latency: f64,
    /// Mean time to answer a probe, in seconds.
    pub(crate) probe_latency: f64,
    /// Recent fraction of new connections that failed, by zone.
    pub(crate) connect_failures: Vec<f64>,
    /// Seconds for which a load report affects the price.
    pub(crate) report_life: f64,
    /// Mean number of requests and mean utilization of servers that are not saturated.
    pub(crate) unsaturated_load: UnsaturatedLoad,
    /// Whether neither probes nor measured capacity tell how much load the servers can take.
    pub(crate) capacity_unknown: bool,
    /// Mean hinted work, in seconds.
    pub(crate) mean_work: f64,
    /// Hinted work of recent requests, in seconds.
    pub(crate) works: VecDeque<f64>,
    pub(crate) sends: Rate,
    /// This node's estimated share of the fleet's traffic.
    pub(crate) fleet_share: f64,
    pub(crate) started_at: Time,
    /// Balance of the retry budget.
    pub(crate) retry_tokens: f64,
    /// How attempts ended at servers that seemed idle, at busy servers, and at cold servers.
    pub(crate) outcome_history: [OutcomeHistory; 3],
    /// Distribution of the requests in a server, and how long a report stays valid; for warm and cold
    /// servers.
    pub(crate) loads: [LoadHistory; 2],
    /// Smoothed worth of a request.
    pub(crate) mean_worth: f64,
    /// Seconds by which answers exceeded the latency expected from reports, over all servers.
    pub(crate) excess_latency: f64,
    pub(crate) tenants: Vec<Rate>,
}

impl Balancer {
    /// Starts without servers and requests, with the given initial values.
    pub(crate) fn start(
        settings: Settings,
        seed: u64,
        now: Time,
        initial: InitialParameters,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let aims = settings.classes.iter().map(|c| c.aim.as_secs_f64());
        let shortest = aims.fold(f64::MAX, f64::min);
        let same_placement = |a: &Class, b: &Class| a.zones == b.zones && a.kinds == b.kinds;
        let placement =
            |c: &Class| settings.classes.iter().position(|other| same_placement(other, c)).unwrap_or(0);
        Ok(Balancer {
            // Without an index a node starts at a random position, which is even enough for many nodes.
            ring_start: match settings.node_index {
                Some(index) => f64::from(index % settings.nodes) / f64::from(settings.nodes),
                None => uniform(&mut Xoshiro256PlusPlus::seed_from_u64(!seed)),
            },
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            servers: Vec::new(),
            index: FxHashMap::default(),
            ready: Vec::new(),
            markets: settings
                .classes
                .iter()
                .map(|c| Market::new(now, placement(c), [initial.rate_window, initial.fleet_share_window]))
                .collect(),
            mean_price: 0.0,
            market_price: 0.0,
            mean_load: 0.0,
            mean_speed: 1.0,
            solved_at: None,
            requests: FxHashMap::default(),
            pending_choices: Vec::new(),
            next_timer: 0,
            list_timer: None,
            latency: (shortest / 2.0).max(1e-3),
            probe_latency: 0.003,
            connect_failures: vec![0.0; usize::from(settings.zones)],
            report_life: initial.report_life,
            unsaturated_load: UnsaturatedLoad::default(),
            capacity_unknown: !settings.reports_rate && settings.reports != Reports::ByProbe,
            mean_work: 0.0,
            works: VecDeque::new(),
            sends: Rate::new(now, initial.rate_window),
            fleet_share: 1.0 / f64::from(settings.nodes),
            started_at: now,
            retry_tokens: initial.retry_tokens,
            outcome_history: Default::default(),
            excess_latency: 0.0,
            loads: [LoadHistory::new(shortest), LoadHistory::new(shortest)],
            mean_worth: 0.0,
            tenants: settings.tenants.iter().map(|_| Rate::new(now, initial.tenant_window)).collect(),
            settings,
        })
    }

    /// Applies a server list or changes to it.
    pub(crate) fn take_list(&mut self, now: Time, kind: ListKind, entries: &[ServerEntry]) {
        if kind != ListKind::Changes {
            self.servers.iter_mut().for_each(|s| s.state = ServerState::Gone);
        }
        for e in entries {
            let new = Server::new(e, self.mean_price, now);
            match self.index.get(&e.server) {
                None => {
                    self.index.insert(e.server, self.servers.len());
                    self.servers.push(new);
                }
                Some(&i) => {
                    // A restarted process keeps only its attempts in flight; any other server keeps its
                    // state.
                    let s = &mut self.servers[i];
                    if e.started > s.started {
                        *s = Server { in_flight: std::mem::take(&mut s.in_flight), ..new };
                    } else {
                        (s.state, s.listed_weight) = (e.state, new.listed_weight);
                        (s.zone, s.kind, s.cell) = (e.zone, e.kind, e.cell);
                    }
                }
            }
        }
        self.servers.retain(|s| s.state != ServerState::Gone || !s.in_flight.is_empty());
        self.index = self.servers.iter().enumerate().map(|(i, s)| (s.id, i)).collect();
        self.ready =
            (0..self.servers.len()).filter(|&i| self.servers[i].state == ServerState::Ready).collect();
        self.order_ring();
    }

    /// Replaces all earlier adjustments by these; invalid values are ignored.
    pub(crate) fn apply_adjustments(&mut self, adjustments: &[ServerAdjustment]) {
        self.servers
            .iter_mut()
            .for_each(|s| (s.share_limit, s.weight_factor, s.weight_confidence) = (1.0, 1.0, 0.0));
        for a in adjustments {
            let valid =
                [a.share_limit, a.weight_factor, a.confidence].iter().all(|v| v.is_finite() && *v >= 0.0);
            let Some(&i) = self.index.get(&a.server).filter(|_| valid) else { continue };
            let s = &mut self.servers[i];
            (s.share_limit, s.weight_factor, s.weight_confidence) =
                (a.share_limit, a.weight_factor.max(0.01), a.confidence.min(1.0));
        }
        self.solved_at = None;
    }

    /// Changes the position on the ring in a fleet of `nodes` nodes. This can only lower the node's assumed
    /// share of the fleet's traffic.
    pub(crate) fn set_ring_position(&mut self, ring_start: f64, nodes: u32) {
        self.fleet_share = self.fleet_share.min(1.0 / f64::from(nodes.max(1)));
        let before = self.ready.first().copied();
        self.ring_start = ring_start.clamp(0.0, 1.0);
        self.order_ring();
        if self.ready.first().copied() != before {
            self.solved_at = None;
        }
    }

    /// Sorts the ready servers in ring order, starting at this node's position.
    fn order_ring(&mut self) {
        self.ready.sort_by_key(|&i| (self.servers[i].ring_hash, self.servers[i].id));
        let first = (self.ring_start * self.ready.len() as f64) as usize;
        let first = first.min(self.ready.len());
        self.ready.rotate_left(first);
    }

    /// For each class, the ready servers within its placement, as indices into `ready`.
    pub(crate) fn open_by_class(&self) -> Vec<Vec<usize>> {
        let open = |c| (0..self.ready.len()).filter(|&k| self.servers[self.ready[k]].may_serve(c)).collect();
        self.settings.classes.iter().map(open).collect()
    }

    /// Records that a streamed answer has started and returns its server.
    pub(crate) fn response_started(&mut self, id: RequestId, attempt: u32) -> Option<ServerId> {
        let r = self.requests.get_mut(&id)?;
        let (server, sent) = r.attempts.get(attempt as usize).map(|a| (a.server, a.sent))?;
        r.response_started = true;
        self.remove_in_flight(server, sent);
        Some(server)
    }

    /// Updates from an attempt when the server was last connected and how often new connections fail in its
    /// zone.
    pub(crate) fn learn_connection(
        &mut self,
        now: Time,
        server: ServerId,
        new_connection: bool,
        outcome: Outcome,
    ) {
        if outcome == Outcome::NotSent {
            return;
        }
        let Some(&i) = self.index.get(&server) else { return };
        if let (true, Some(failure_rate)) =
            (new_connection, self.connect_failures.get_mut(usize::from(self.servers[i].zone.0)))
        {
            let failed = f64::from(u8::from(outcome == Outcome::Unreachable));
            *failure_rate += (failed - *failure_rate) / 8.0;
        }
        let responded = outcome.server_responded();
        self.servers[i].last_connected = responded.then_some(now).or(self.servers[i].last_connected);
    }

    /// The load distribution of similar servers, and the chance that the known load of this one is still
    /// valid.
    pub(crate) fn load_knowledge(&self, s: &Server, now: Time) -> (&LoadHistory, f64) {
        let loads = &self.loads[usize::from(s.warmth(&self.settings.rules, now) < 1.0)];
        (loads, s.held.map_or(0.0, |_| loads.validity((now - s.held_at).as_secs_f64())))
    }

    /// The chance that no connection to a server can be established.
    pub(crate) fn connect_failure(&self, s: &Server, now: Time) -> f64 {
        match s.connected(now, self.settings.conn_idle) {
            true => 0.0,
            false => self.connect_failures.get(usize::from(s.zone.0)).copied().unwrap_or(0.0),
        }
    }

    /// Marks an attempt as ended; `None` if it is not in flight.
    pub(crate) fn end_attempt(&mut self, now: Time, end: &AttemptEnded) -> Option<EndedAttempt> {
        let r = self.requests.get_mut(&end.request)?;
        let a = r.attempts.get_mut(end.attempt as usize).filter(|a| !a.ended)?;
        a.ended = true;
        a.may_have_run = !end.outcome.never_ran();
        let attempt = *a;
        r.answer_due &= !end.closed;
        let (streamed, finished) = (r.response_started, !r.answer_due || !r.is_idle());
        let (class, work, body_complete) = (r.class, r.work, r.body_complete);
        if body_complete {
            self.remove_in_flight(attempt.server, attempt.sent);
        }
        self.learn_connection(now, attempt.server, attempt.new_connection, end.outcome);
        if let (Outcome::Served, None, true) = (end.outcome, work, body_complete) {
            self.markets[usize::from(class.0)].learn_work(end.latency.as_secs_f64());
        }
        if let (true, Some(&i)) = (end.outcome.server_responded(), self.index.get(&attempt.server)) {
            self.servers[i].last_response = now;
        }
        Some(EndedAttempt { attempt, class, work, body_complete, streamed, finished })
    }

    /// Records the hinted work of an arrival among the latest `most`; infeasible requests don't affect the
    /// means.
    pub(crate) fn record_work(&mut self, class: ClassId, work: Option<f64>, infeasible: bool, most: usize) {
        let Some(work) = work else { return };
        self.works.truncate(most - 1);
        self.works.push_front(work);
        if !infeasible {
            self.markets[usize::from(class.0)].learn_work(work);
            self.mean_work += (work - self.mean_work) * if self.mean_work > 0.0 { 1.0 / 32.0 } else { 1.0 };
        }
    }

    /// Estimates this node's share of the fleet's traffic over `window` seconds, from its own sends and the
    /// rates that servers report.
    pub(crate) fn learn_fleet_share(&mut self, now: Time, dt: f64, window: f64) {
        let typical_rate = self.mean_speed * self.mean_load.min(1.0);
        let rates = self.ready.iter().map(|&i| self.servers[i].rate);
        let served: f64 = rates.map(|r| if r > 0.0 { r } else { typical_rate }).sum();
        let sent = self.sends.add(now, 0.0);
        // Sends and reported rates describe the same traffic only while nothing is rejected.
        let window_filled = (now - self.started_at).as_secs_f64() > 4.0 * self.sends.window;
        if window_filled && served > 0.0 && self.markets.iter().all(|m| m.threshold == 0.0) {
            self.fleet_share += (sent / served - self.fleet_share) * (dt / window).min(1.0);
        }
    }

    /// Records the end of a probe. If it needed a new connection, a timeout counts as a failed connection.
    pub(crate) fn probe_ended(&mut self, now: Time, p: &ProbeEnded) {
        let Some(&i) = self.index.get(&p.server) else { return };
        let new_connection = !self.servers[i].connected(now, self.settings.conn_idle);
        // Connecting takes longer to fail than the wait for a probe's answer.
        let outcome = if p.outcome == Outcome::TimedOut { Outcome::Unreachable } else { p.outcome };
        self.learn_connection(now, p.server, new_connection, outcome);
        let s = &mut self.servers[i];
        s.probe_sent_at = None;
        s.last_response = if outcome.server_responded() { now } else { s.last_response };
    }

    /// Records an attempt at the server with index `at`. Returns the server and the remaining time.
    pub(crate) fn record_send(
        &mut self,
        now: Time,
        id: RequestId,
        at: usize,
        report_is_fresh: bool,
    ) -> Option<(ServerId, Duration)> {
        let r = self.requests.get_mut(&id)?;
        let s = &mut self.servers[at];
        let new_connection = !s.connected(now, self.settings.conn_idle);
        let held_when_sent = s.held.filter(|_| r.body_complete && report_is_fresh);
        let cold = s.warmth(&self.settings.rules, now) < 1.0;
        if r.body_complete {
            s.in_flight.push(now);
            s.held = s.held.map(|held| held + 1.0);
        }
        self.sends.add(now, 1.0);
        self.markets[usize::from(r.class.0)].slow_arrivals.add(now, 1.0);
        let (server, zone, cell) = (s.id, s.zone, s.cell);
        let (sent, ended, may_have_run) = (now, false, false);
        r.attempts.push(Attempt {
            server,
            zone,
            cell,
            sent,
            ended,
            may_have_run,
            new_connection,
            held_when_sent,
            cold,
        });
        Some((server, r.deadline - now))
    }

    /// Removes an attempt from those in flight.
    pub(crate) fn remove_in_flight(&mut self, server: ServerId, sent: Time) {
        let Some(&i) = self.index.get(&server) else { return };
        let s = &mut self.servers[i];
        if let Some(at) = s.in_flight.iter().position(|t| *t == sent) {
            s.in_flight.remove(at);
            s.held = s.held.map(|held| (held - 1.0).max(0.0));
        }
    }

    /// Records that a server had `held` requests at time `then`, unless later information is known.
    pub(crate) fn record_held(&mut self, server: usize, then: Time, held: f64) {
        let cold = self.servers[server].warmth(&self.settings.rules, then) < 1.0;
        let s = &mut self.servers[server];
        if s.held.is_some() && then < s.held_at {
            return;
        }
        self.loads[usize::from(cold)]
            .observe(held, s.held.map(|before| (before, (then - s.held_at).as_secs_f64())));
        let sent_since = s.in_flight.iter().filter(|sent| **sent > then).count() as f64;
        (s.held, s.held_at) = (Some(held + sent_since), then);
    }

    /// Records that the server has received the whole request: the attempt counts as sent now.
    pub(crate) fn request_written(&mut self, now: Time, id: RequestId, attempt: u32, transfer: Duration) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.body_complete) else { return };
        let Some(a) = r.attempts.get_mut(attempt as usize).filter(|a| !a.ended) else { return };
        r.body_complete = true;
        r.transfer = transfer;
        a.sent = now;
        let Some(&i) = self.index.get(&a.server) else { return };
        let s = &mut self.servers[i];
        a.held_when_sent = s.held;
        s.in_flight.push(now);
        s.held = s.held.map(|held| held + 1.0);
    }

    /// Removes a request that has its final answer and no attempt in flight.
    pub(crate) fn remove_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.answer_due && r.is_idle()) {
            self.requests.remove(&id);
            self.pending_choices.retain(|c| c.0 != id);
        }
    }

    /// Records that the client disconnected: no answer is due any more.
    pub(crate) fn client_gone(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.answer_due = false;
            self.remove_finished(id);
        }
    }

    /// Seconds in which an answer earns the full worth.
    pub(crate) fn aim(&self, class: ClassId, work: Option<f64>) -> f64 {
        let class = &self.settings.classes[usize::from(class.0)];
        class.aim.as_secs_f64() + class.aim_stretch * work.unwrap_or(0.0)
    }

    /// Asks for a timer after `wait` seconds.
    pub(crate) fn set_timer(&mut self, now: Time, wait: f64, actions: &mut Vec<Action>) -> TimerId {
        self.next_timer = self.next_timer.wrapping_add(1);
        let timer = TimerId(self.next_timer);
        actions.push(Action::SetTimer { at: now + Duration::from_secs_f64(wait), timer });
        timer
    }

    /// Uniform in [0, 1).
    pub(crate) fn random(&mut self) -> f64 {
        uniform(&mut self.rng)
    }
}
