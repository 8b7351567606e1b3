//! One tuner's time under one token, without I/O: reports in, words out.

use crate::message::{Report, Weight, WeightList};
use crate::sketch::LatencySketch;
use crate::tuner::{Tuner, TunerSettings};
use birchswitch_mesh::Time;
use std::collections::BTreeMap;

/// Servers of which looks are kept.
const SERVERS: usize = 4096;

/// What a look came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TuningStep {
    /// The weights were taken back, since the tail was worse with them.
    pub rolled_back: bool,
    /// Weights are told from now on, or none any more.
    pub toggled: bool,
    /// Servers that have a weight.
    pub servers: usize,
    /// Parts of requests over the threshold: without weights, with them, and as foreseen.
    pub slow_fractions: [f64; 3],
}

/// What a tuner knows.
#[derive(Debug)]
pub struct TuningSession {
    terms: TunerSettings,
    token: u64,
    count: u64,
    looked: Time,
    spans: BTreeMap<u64, LatencySketch>,
    tuner: Tuner,
    weights: Vec<Weight>,
}

impl TuningSession {
    /// With no report heard yet.
    pub fn new(terms: TunerSettings, token: u64, now: Time) -> Self {
        let (spans, weights) = (BTreeMap::new(), Vec::new());
        TuningSession { terms, token, count: 0, looked: now, spans, tuner: Tuner::new(terms), weights }
    }

    /// Takes in a node's report, and says what is to be told to it, and what came of a look, where one was due.
    pub fn receive(&mut self, now: Time, report: &Report) -> (WeightList, Option<TuningStep>) {
        for (server, bytes) in &report.sketches {
            let Some(span) = LatencySketch::decode(bytes) else { continue };
            if self.spans.len() < SERVERS || self.spans.contains_key(server) {
                let _ = self.spans.entry(*server).or_default().0.add(&span.0);
            }
        }
        let looked = (now >= self.looked + self.terms.interval).then(|| self.look(now));
        (WeightList { version: (self.token, self.count), weights: self.weights.clone() }, looked)
    }

    fn look(&mut self, now: Time) -> TuningStep {
        let seconds = now.saturating_sub(std::mem::replace(&mut self.looked, now)).as_secs_f64();
        let spans = std::mem::take(&mut self.spans);
        let had = !self.weights.is_empty();
        let (weights, rolled_back) = self.tuner.look(seconds, spans);
        self.weights =
            weights.iter().map(|(server, w)| Weight { server: *server, weight: *w as f32 }).collect();
        self.count += 1;
        let toggled = had == self.weights.is_empty();
        TuningStep {
            rolled_back,
            toggled,
            servers: self.weights.len(),
            slow_fractions: self.tuner.slow_fractions(),
        }
    }
}
