//! Fleet-wide ejections and weights: one failure detector per zone and one tuner, wired as in nodes. Their leases are
//! simulated as always held, by a process that is not a node; an exchange takes two one-way delays between zones, or
//! fails.

use super::World;
use crate::event_queue::SimEvent;
use crate::pool::{since_origin, Lifecycle};
use crate::scenario::{seconds, NodeSpec};
use birchswitch_engine::AttemptId;
use birchswitch_tuner as tuner;
use birchswitch_verdict as verdict;
use birchswitch_verdict::AttemptObservation;
use finchvale::{Outcome, ServerAdjustment, ServerId, Time};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::time::Duration;

/// The defaults of `[verdicts]` in the operator's file.
const VERDICTS: verdict::VerdictSettings = verdict::VerdictSettings::DEFAULT;
/// The defaults of `[tuner]` in the operator's file.
const TUNER: tuner::TunerSettings = tuner::TunerSettings::DEFAULT;
/// The fencing token of their leases.
const TOKEN: u64 = 1;

/// What a node reports and receives.
#[derive(Default)]
pub(super) struct Adjustments {
    outcomes: verdict::OutcomeWindow,
    active_ejections: verdict::ActiveEjections,
    sketches: tuner::ServerSketches,
    weights: tuner::AppliedWeights,
    /// Server and send time of each attempt.
    attempt_sent: FxHashMap<AttemptId, (usize, Time)>,
    /// When it last reported to the tuner.
    last_tuner_report: Duration,
    current: Vec<ServerAdjustment>,
}

/// The failure detectors and the tuner.
pub(super) struct Coordinators {
    detectors: Vec<verdict::Detector<usize>>,
    tuner: Option<tuner::TuningSession>,
}

impl Coordinators {
    pub(super) fn new(nodes: &NodeSpec, zones: u8) -> Self {
        let detectors =
            (0..zones).filter(|_| nodes.verdicts).map(|_| verdict::Detector::new(TOKEN)).collect();
        let tuner = nodes.tuned.then(|| tuner::TuningSession::new(TUNER, TOKEN, Duration::ZERO));
        Coordinators { detectors, tuner }
    }
}

impl World {
    /// Schedules a started node's first report at a random phase.
    pub(super) fn schedule_reports(&mut self, node: usize) {
        let nodes = &self.scenario.nodes;
        if nodes.verdicts || nodes.tuned {
            let at = self.now + VERDICTS.renew.mul_f64(self.rng.unit());
            self.queue.schedule(at, SimEvent::SendReport(node));
        }
    }

    pub(super) fn attempt_sent(&mut self, node: usize, attempt: AttemptId, server: usize) {
        if self.scenario.nodes.verdicts || self.scenario.nodes.tuned {
            self.nodes[node].adjustments.attempt_sent.insert(attempt, (server, self.now));
        }
    }

    /// Records the end of an attempt.
    pub(super) fn record_attempt_end(&mut self, node: usize, attempt: AttemptId, outcome: Outcome) {
        let now = self.now;
        let warm = |s: usize| self.pool.borrow().servers[s].model.warmth(since_origin(now)) >= 1.0;
        let adjustments = &mut self.nodes[node].adjustments;
        let Some((server, sent)) = adjustments.attempt_sent.remove(&attempt) else { return };
        let took = (now - sent).as_secs_f64();
        let observation = match outcome {
            // A server that has just started is slow without being faulty.
            Outcome::Served if !warm(server) => return,
            Outcome::Served => AttemptObservation::Answered(took),
            Outcome::Error | Outcome::Broken | Outcome::TimedOut | Outcome::Unreachable => {
                AttemptObservation::Failed
            }
            Outcome::Rejected | Outcome::NotSent | Outcome::Cancelled => return,
        };
        adjustments.outcomes.record(since_origin(now), server as u64, observation);
        if outcome == Outcome::Served {
            adjustments.sketches.record(server as u64, took);
        }
    }

    pub(super) fn send_report(&mut self, node: usize) {
        if self.nodes[node].dead {
            return;
        }
        self.queue.schedule(self.now + VERDICTS.renew, SimEvent::SendReport(node));
        let (at, round_trip) = (since_origin(self.now), 2 * seconds(self.scenario.network.cross));
        let listed = self.pool.borrow().servers.iter().filter(|m| m.lifecycle == Lifecycle::Up).count();
        let adjustments = &mut self.nodes[node].adjustments;
        let counts = adjustments.outcomes.counts(at);
        let report = verdict::Report {
            known_version: adjustments.active_ejections.version(),
            listed: listed as u32,
            counts,
        };
        let delivered = self.rng.unit() >= self.scenario.nodes.unheard;
        let zone = usize::from(self.nodes[node].zone);
        if let Some(detector) = self.coordinators.detectors.get_mut(zone).filter(|_| delivered) {
            let (response, ejected) = detector.receive(&VERDICTS, at, node, report);
            let pool = self.pool.borrow();
            // An ejection is right if the server was unhealthy.
            let is_healthy =
                |s: u64| pool.servers.get(s as usize).is_some_and(|m| m.is_healthy(at, VERDICTS.ttl));
            self.stats.ejected += ejected.len() as u64;
            self.stats.wrongly_ejected += ejected.iter().filter(|s| is_healthy(s.server)).count() as u64;
            drop(pool);
            self.queue.schedule(self.now + round_trip, SimEvent::EjectionsReceived(node, at, response));
        }
        let due = at >= self.nodes[node].adjustments.last_tuner_report + TUNER.interval;
        if self.coordinators.tuner.is_some() && due && delivered {
            let sketches = self.warm_sketches(node);
            let adjustments = &mut self.nodes[node].adjustments;
            adjustments.last_tuner_report = at;
            let report = tuner::Report { known_version: adjustments.weights.version(), sketches };
            if let Some((response, evaluation)) =
                self.coordinators.tuner.as_mut().map(|t| t.receive(at, &report))
            {
                self.stats.rollbacks += u64::from(evaluation.is_some_and(|l| l.rolled_back));
                self.queue.schedule(self.now + round_trip, SimEvent::WeightsReceived(node, at, response));
            }
        }
        self.update_adjustments(node);
    }

    /// Latencies of servers that are warm and not ejected.
    fn warm_sketches(&mut self, node: usize) -> Vec<(u64, Vec<u8>)> {
        let at = since_origin(self.now);
        let adjustments = &mut self.nodes[node].adjustments;
        let withheld: Vec<u64> = adjustments
            .current
            .iter()
            .filter(|a| a.share_limit < 1.0)
            .map(|a| u64::from(a.server.0))
            .collect();
        let pool = self.pool.borrow();
        let warm = |s: u64| pool.servers.get(s as usize).is_some_and(|m| m.model.warmth(at) >= 1.0);
        adjustments.sketches.take().into_iter().filter(|s| warm(s.0) && !withheld.contains(&s.0)).collect()
    }

    pub(super) fn receive_ejections(
        &mut self,
        node: usize,
        requested_at: Duration,
        response: &verdict::EjectionList,
    ) {
        self.nodes[node].adjustments.active_ejections.apply(&VERDICTS, requested_at, response);
        self.update_adjustments(node);
    }

    pub(super) fn receive_weights(
        &mut self,
        node: usize,
        requested_at: Duration,
        response: &tuner::WeightList,
    ) {
        self.nodes[node].adjustments.weights.apply(TUNER.ttl, requested_at, response);
        self.update_adjustments(node);
    }

    /// Combines ejections and weights, and passes them to the engine if they changed.
    fn update_adjustments(&mut self, node: usize) {
        if self.nodes[node].dead {
            return;
        }
        let at = since_origin(self.now);
        let none = |server: u64| ServerAdjustment {
            server: ServerId(server as u32),
            share_limit: 1.0,
            weight_factor: 1.0,
            confidence: 0.0,
        };
        let mut all: BTreeMap<u64, ServerAdjustment> = BTreeMap::new();
        let pool = self.pool.borrow();
        let listed = |s: u64| pool.servers.get(s as usize).is_some_and(|m| m.lifecycle == Lifecycle::Up);
        let ready = pool.servers.iter().filter(|m| m.lifecycle == Lifecycle::Up).count();
        let adjustments = &mut self.nodes[node].adjustments;
        for (server, share_limit) in adjustments.active_ejections.current(&VERDICTS, at, &listed, ready) {
            all.entry(server).or_insert_with(|| none(server)).share_limit = share_limit;
        }
        for (server, weight, confidence) in adjustments.weights.current(at) {
            let a = all.entry(server).or_insert_with(|| none(server));
            (a.weight_factor, a.confidence) = (weight, confidence);
        }
        drop(pool);
        let all: Vec<ServerAdjustment> = all.into_values().collect();
        if adjustments.current != all {
            adjustments.current = all.clone();
            self.nodes[node].engine.set_adjustments(self.now, all);
            self.run_commands(node);
        }
    }
}
