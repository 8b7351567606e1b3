//! What the fleet holds in common of its servers, as nodes wire it: each hall's judge, and the tuner. Their leases are taken for held all
//! the time by what is no node; an exchange takes two ways between halls, or comes to nothing.

use super::World;
use crate::agenda::Happening;
use crate::hall::{since_origin, Life};
use crate::scenario::{seconds, NodesOf};
use birchswitch_engine::AttemptId;
use birchswitch_tuner as tuner;
use birchswitch_verdict as verdict;
use birchswitch_verdict::AttemptObservation;
use finchvale::{Outcome, ServerAdjustment, ServerId, Time};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::time::Duration;

/// As an operator's file has them that says nothing.
const JUDGED: verdict::VerdictSettings = verdict::VerdictSettings::DEFAULT;
/// Likewise.
const TUNED: tuner::TunerSettings = tuner::TunerSettings::DEFAULT;
/// The number under which they hold their leases.
const TOKEN: u64 = 1;

/// What a node tells and is told.
#[derive(Default)]
pub(super) struct Common {
    tally: verdict::OutcomeWindow,
    obeyed: verdict::ActiveEjections,
    sketches: tuner::ServerSketches,
    weights: tuner::AppliedWeights,
    /// When each attempt went to which server.
    went: FxHashMap<AttemptId, (usize, Time)>,
    /// When it told the tuner last.
    told: Duration,
    advice: Vec<ServerAdjustment>,
}

/// What judges and weighs for all.
pub(super) struct Seats {
    judges: Vec<verdict::Detector<usize>>,
    tuner: Option<tuner::TuningSession>,
}

impl Seats {
    pub(super) fn new(nodes: &NodesOf, halls: u8) -> Self {
        let judges = (0..halls).filter(|_| nodes.verdicts).map(|_| verdict::Detector::new(TOKEN)).collect();
        let tuner = nodes.tuned.then(|| tuner::TuningSession::new(TUNED, TOKEN, Duration::ZERO));
        Seats { judges, tuner }
    }
}

impl World {
    /// A node that has just started reports from its own moment on.
    pub(super) fn begin_reports(&mut self, node: usize) {
        let of = &self.scenario.nodes;
        if of.verdicts || of.tuned {
            let at = self.now + JUDGED.renew.mul_f64(self.chance.unit());
            self.agenda.put(at, Happening::Report(node));
        }
    }

    pub(super) fn went(&mut self, node: usize, attempt: AttemptId, server: usize) {
        if self.scenario.nodes.verdicts || self.scenario.nodes.tuned {
            self.nodes[node].common.went.insert(attempt, (server, self.now));
        }
    }

    /// An attempt ended.
    pub(super) fn came_to(&mut self, node: usize, attempt: AttemptId, outcome: Outcome) {
        let now = self.now;
        let warm = |s: usize| self.hall.borrow().machines[s].model.warmth(since_origin(now)) >= 1.0;
        let common = &mut self.nodes[node].common;
        let Some((server, sent)) = common.went.remove(&attempt) else { return };
        let took = (now - sent).as_secs_f64();
        let met = match outcome {
            // One that has just started is slow by itself.
            Outcome::Served if !warm(server) => return,
            Outcome::Served => AttemptObservation::Answered(took),
            Outcome::Error | Outcome::Broken | Outcome::TimedOut | Outcome::Unreachable => {
                AttemptObservation::Failed
            }
            Outcome::Rejected | Outcome::NotSent | Outcome::Cancelled => return,
        };
        common.tally.record(since_origin(now), server as u64, met);
        if outcome == Outcome::Served {
            common.sketches.record(server as u64, took);
        }
    }

    pub(super) fn report(&mut self, node: usize) {
        if self.nodes[node].dead {
            return;
        }
        self.agenda.put(self.now + JUDGED.renew, Happening::Report(node));
        let (at, back) = (since_origin(self.now), 2 * seconds(self.scenario.network.cross));
        let listed = self.hall.borrow().machines.iter().filter(|m| m.life == Life::Up).count();
        let common = &mut self.nodes[node].common;
        let counts = common.tally.counts(at);
        let report =
            verdict::Report { known_version: common.obeyed.version(), listed: listed as u32, counts };
        let heard = self.chance.unit() >= self.scenario.nodes.unheard;
        let zone = usize::from(self.nodes[node].zone);
        if let Some(judge) = self.seats.judges.get_mut(zone).filter(|_| heard) {
            let (word, condemned) = judge.receive(&JUDGED, at, node, report);
            let hall = self.hall.borrow();
            // A server is rightly condemned that does not do what others do.
            let sound = |s: u64| hall.machines.get(s as usize).is_some_and(|m| m.sound(at, JUDGED.ttl));
            self.book.condemned += condemned.len() as u64;
            self.book.wrongly += condemned.iter().filter(|s| sound(s.server)).count() as u64;
            drop(hall);
            self.agenda.put(self.now + back, Happening::Judged(node, at, word));
        }
        let due = at >= self.nodes[node].common.told + TUNED.interval;
        if self.seats.tuner.is_some() && due && heard {
            let sketches = self.warm_spans(node);
            let common = &mut self.nodes[node].common;
            common.told = at;
            let report = tuner::Report { known_version: common.weights.version(), sketches };
            if let Some((word, looked)) = self.seats.tuner.as_mut().map(|t| t.receive(at, &report)) {
                self.book.taken_back += u64::from(looked.is_some_and(|l| l.rolled_back));
                self.agenda.put(self.now + back, Happening::Weighed(node, at, word));
            }
        }
        self.advise(node);
    }

    /// What requests took at servers that are warm and not withheld.
    fn warm_spans(&mut self, node: usize) -> Vec<(u64, Vec<u8>)> {
        let at = since_origin(self.now);
        let common = &mut self.nodes[node].common;
        let withheld: Vec<u64> =
            common.advice.iter().filter(|a| a.share_limit < 1.0).map(|a| u64::from(a.server.0)).collect();
        let hall = self.hall.borrow();
        let warm = |s: u64| hall.machines.get(s as usize).is_some_and(|m| m.model.warmth(at) >= 1.0);
        common.sketches.take().into_iter().filter(|s| warm(s.0) && !withheld.contains(&s.0)).collect()
    }

    pub(super) fn judged(&mut self, node: usize, asked: Duration, word: &verdict::EjectionList) {
        self.nodes[node].common.obeyed.apply(&JUDGED, asked, word);
        self.advise(node);
    }

    pub(super) fn weighed(&mut self, node: usize, asked: Duration, word: &tuner::WeightList) {
        self.nodes[node].common.weights.apply(TUNED.ttl, asked, word);
        self.advise(node);
    }

    /// Puts together what a node is told, and tells it where that has changed.
    fn advise(&mut self, node: usize) {
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
        let hall = self.hall.borrow();
        let listed = |s: u64| hall.machines.get(s as usize).is_some_and(|m| m.life == Life::Up);
        let ready = hall.machines.iter().filter(|m| m.life == Life::Up).count();
        let common = &mut self.nodes[node].common;
        for (server, open) in common.obeyed.current(&JUDGED, at, &listed, ready) {
            all.entry(server).or_insert_with(|| none(server)).share_limit = open;
        }
        for (server, weight, sure) in common.weights.current(at) {
            let a = all.entry(server).or_insert_with(|| none(server));
            (a.weight_factor, a.confidence) = (weight, sure);
        }
        drop(hall);
        let all: Vec<ServerAdjustment> = all.into_values().collect();
        if common.advice != all {
            common.advice = all.clone();
            self.nodes[node].engine.set_adjustments(self.now, all);
            self.pump(node);
        }
    }
}
