//! State of the balancer and its bookkeeping. It makes no decisions.
//!
//! This file holds the balancer itself; `server`, `request` and `market` hold its parts, `rates` what decays with time.

mod market;
mod rates;
mod request;
mod server;

use crate::interface::*;
use crate::policy::LoadHistory;
pub(crate) use market::{Market, ShareInput};
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
pub(crate) use rates::{decay_factor, OutcomeHistory, Rate};
pub(crate) use request::{Attempt, EndedAttempt, ProbeState, Request};
use rustc_hash::FxHashMap;
pub(crate) use server::{Server, UnsaturatedLoad};
use std::collections::VecDeque;
use std::time::Duration;

/// A uniformly distributed number in [0, 1).
pub(crate) fn uniform(rng: &mut Xoshiro256PlusPlus) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
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
