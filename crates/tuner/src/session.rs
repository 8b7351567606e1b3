//! Tuning during one leadership term, without I/O: reports in, weights out.

use crate::message::{Report, Weight, WeightList};
use crate::sketch::LatencySketch;
use crate::tuner::{Tuner, TunerSettings};
use birchswitch_mesh::Time;
use std::collections::BTreeMap;

/// The most servers whose latencies are kept.
const MAX_SERVERS: usize = 4096;

/// The result of one tuning step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TuningStep {
    /// The weights were withdrawn, since the tail was worse with them.
    pub rolled_back: bool,
    /// Weights are published from now on, or no longer.
    pub toggled: bool,
    /// The number of servers that have a weight.
    pub servers: usize,
    /// Fractions of slow requests: without weights, with them, and as predicted.
    pub slow_fractions: [f64; 3],
}

/// The latencies reported in the current interval, and the weights in effect.
#[derive(Debug)]
pub struct TuningSession {
    settings: TunerSettings,
    token: u64,
    list_count: u64,
    stepped_at: Time,
    sketches: BTreeMap<u64, LatencySketch>,
    tuner: Tuner,
    weights: Vec<Weight>,
}

impl TuningSession {
    /// A session without reports.
    pub fn new(settings: TunerSettings, token: u64, now: Time) -> Self {
        let (sketches, weights) = (BTreeMap::new(), Vec::new());
        TuningSession {
            settings,
            token,
            list_count: 0,
            stepped_at: now,
            sketches,
            tuner: Tuner::new(settings),
            weights,
        }
    }

    /// Records a node's report. Returns the weights to send to the node, and the result of a tuning step if one was due.
    pub fn receive(&mut self, now: Time, report: &Report) -> (WeightList, Option<TuningStep>) {
        for (server, bytes) in &report.sketches {
            let Some(sketch) = LatencySketch::decode(bytes) else { continue };
            if self.sketches.len() < MAX_SERVERS || self.sketches.contains_key(server) {
                let _ = self.sketches.entry(*server).or_default().0.add(&sketch.0);
            }
        }
        let step = (now >= self.stepped_at + self.settings.interval).then(|| self.step(now));
        (WeightList { version: (self.token, self.list_count), weights: self.weights.clone() }, step)
    }

    fn step(&mut self, now: Time) -> TuningStep {
        let seconds = now.saturating_sub(std::mem::replace(&mut self.stepped_at, now)).as_secs_f64();
        let sketches = std::mem::take(&mut self.sketches);
        let had_weights = !self.weights.is_empty();
        let (weights, rolled_back) = self.tuner.step(seconds, sketches);
        self.weights =
            weights.iter().map(|(server, w)| Weight { server: *server, weight: *w as f32 }).collect();
        self.list_count += 1;
        let toggled = had_weights == self.weights.is_empty();
        TuningStep {
            rolled_back,
            toggled,
            servers: self.weights.len(),
            slow_fractions: self.tuner.slow_fractions(),
        }
    }
}
