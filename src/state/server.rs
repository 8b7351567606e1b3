//! What the balancer knows of one server.

use super::OutcomeHistory;
use crate::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// Factor by which the next report lowers the weight of earlier counts of running requests.
const COUNT_DECAY: f64 = 0.96;

/// A server, from its first listing until it is gone.
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
