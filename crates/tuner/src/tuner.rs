//! One look after the other: what servers did, what their weights should be, and a small way there.

use crate::curve::{fit, LoadCurve, LoadSample};
use crate::regression::{GuardResult, RegressionGuard};
use crate::sketch::LatencySketch;
use crate::split::optimal_split;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Looks that a server's line is fitted to.
const LOOKS: usize = 60;
/// Looks without weights at the beginning, and after they were taken back.
const FIRST: u32 = 4;
const AFTER: u32 = 15;
/// A server that got fewer requests in a look is left as it is.
const FEWEST: f64 = 10.0;
/// Weights stay within these.
const WEIGHTS: (f64, f64) = (0.2, 5.0);
/// How much of what a load lacks goes into its weight at a look.
const GAIN: f64 = 0.5;
/// Looks of which the mean is a server's rate: one look's is all chance where requests are few.
const RATES: usize = 5;
/// A step has to be foreseen to spare this part of `trust` of what is over the threshold: chance alone promises less.
const WORTH: f64 = 0.5;

/// What an operator settled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TunerSettings {
    /// Between two looks, and two reports of a node.
    pub interval: Duration,
    /// For how long weights count, by the node's clock from before it asked.
    pub ttl: Duration,
    /// The part of requests that the percentile leaves over: 0.01 for p99.
    pub tail_fraction: f64,
    /// How far a server's load may move in one look, as a part of it.
    pub trust_region: f64,
    /// Only in drills: the fit is turned over, so that every step makes it worse.
    pub inverted_fit: bool,
}

impl TunerSettings {
    /// Where an operator's file says nothing.
    pub const DEFAULT: TunerSettings = TunerSettings {
        interval: Duration::from_secs(2),
        ttl: Duration::from_secs(10),
        tail_fraction: 0.01,
        trust_region: 0.1,
        inverted_fit: false,
    };
}

/// A server as the tuner sees it.
#[derive(Clone, Debug)]
struct Server {
    looks: VecDeque<LoadSample>,
    weight: f64,
}

/// See the module's words.
#[derive(Debug)]
pub struct Tuner {
    terms: TunerSettings,
    servers: BTreeMap<u64, Server>,
    guard: RegressionGuard,
    /// Looks without weights that are still to come.
    rests: u32,
    threshold: f64,
    predicted: f64,
}

impl Tuner {
    /// One that has seen nothing.
    pub fn new(terms: TunerSettings) -> Self {
        Tuner {
            terms,
            servers: BTreeMap::new(),
            guard: RegressionGuard::default(),
            rests: FIRST,
            threshold: 0.0,
            predicted: 0.0,
        }
    }

    /// The part over the threshold without weights and with, and what was predicted for the next look.
    pub fn slow_fractions(&self) -> [f64; 3] {
        let [without, with] = self.guard.slow_fractions();
        [without, with, self.predicted]
    }

    /// Takes in what all nodes' requests took in the last so many seconds, by server; says the weights from now on, mean 1. True: they were
    /// taken back.
    pub fn look(&mut self, seconds: f64, spans: BTreeMap<u64, LatencySketch>) -> (Vec<(u64, f64)>, bool) {
        let mut all = LatencySketch::default();
        for span in spans.values() {
            let _ = all.0.add(&span.0);
        }
        let tries = all.0.len() as f64;
        if tries < FEWEST * 5.0 {
            return (self.weights(), false);
        }
        let rests = self.rests > 0 || self.threshold <= 0.0;
        if rests {
            // The threshold is the percentile as it is without weights.
            let now = all.0.value_at_quantile(1.0 - self.terms.tail_fraction) as f64 / 1e6;
            self.threshold =
                if self.threshold > 0.0 { self.threshold + (now - self.threshold) * 0.3 } else { now };
        }
        self.take(seconds, &spans);
        let over = all.over(self.threshold);
        if rests {
            self.guard.without(over.0 as f64, over.1 as f64);
            self.rests = self.rests.saturating_sub(1);
            return (Vec::new(), false);
        }
        if self.guard.with(over.0 as f64, over.1 as f64) == GuardResult::Regressed {
            self.servers.values_mut().for_each(|s| s.weight = 1.0);
            self.rests = AFTER;
            return (Vec::new(), true);
        }
        self.step(over.1 as f64 / over.0.max(1) as f64);
        (self.weights(), false)
    }

    /// Keeps what each server's requests came to beside the threshold.
    fn take(&mut self, seconds: f64, spans: &BTreeMap<u64, LatencySketch>) {
        for (server, span) in spans {
            let (tries, over) = span.over(self.threshold);
            let (rate, tries, over) = (tries as f64 / seconds.max(1e-3), tries as f64, over as f64);
            let new = || Server { looks: VecDeque::new(), weight: 1.0 };
            let looks = &mut self.servers.entry(*server).or_insert_with(new).looks;
            looks.push_back(LoadSample { rate, tries, over });
            if looks.len() > LOOKS {
                looks.pop_front();
            }
        }
    }

    fn step(&mut self, mean: f64) {
        let terms = self.terms;
        let mut fitted: Vec<(u64, f64, LoadCurve)> = Vec::new();
        for (server, s) in &self.servers {
            let samples: Vec<LoadSample> = s.looks.iter().copied().collect();
            if samples.last().is_none_or(|s| s.tries < FEWEST) {
                continue;
            }
            let last: Vec<f64> = samples.iter().rev().take(RATES).map(|s| s.rate).collect();
            let now = last.iter().sum::<f64>() / last.len() as f64;
            if let Some(mut curve) = fit(&samples, mean) {
                if terms.inverted_fit {
                    (curve.part, curve.rise) = (1e-4 / (1e-4 + curve.part), 1e-6);
                }
                fitted.push((*server, now, curve));
            }
        }
        let curves: Vec<LoadCurve> = fitted.iter().map(|f| f.2).collect();
        let bounds: Vec<(f64, f64)> = fitted
            .iter()
            .map(|f| (f.1 * (1.0 - terms.trust_region), f.1 * (1.0 + terms.trust_region)))
            .collect();
        let sum: f64 = fitted.iter().map(|f| f.1).sum();
        let rates = optimal_split(&curves, &bounds, sum);
        let over =
            |rates: &[f64]| curves.iter().zip(rates).map(|(c, r)| c.at(*r) * r).sum::<f64>() / sum.max(1e-9);
        let as_is: Vec<f64> = fitted.iter().map(|f| f.1).collect();
        self.predicted = over(&rates);
        if self.predicted > (1.0 - WORTH * terms.trust_region) * over(&as_is) {
            return;
        }
        for ((server, now, _), rate) in fitted.iter().zip(&rates) {
            if let Some(s) = self.servers.get_mut(server) {
                s.weight = (s.weight * (rate / now.max(1e-9)).powf(GAIN)).clamp(WEIGHTS.0, WEIGHTS.1);
            }
        }
    }

    fn weights(&self) -> Vec<(u64, f64)> {
        if self.rests > 0 {
            return Vec::new();
        }
        let mean = self.servers.values().map(|s| s.weight).sum::<f64>() / self.servers.len().max(1) as f64;
        self.servers.iter().map(|(server, s)| (*server, s.weight / mean.max(1e-9))).collect()
    }

    /// Servers that no node lists any more are forgotten.
    pub fn keep(&mut self, listed: impl Fn(u64) -> bool) {
        self.servers.retain(|server, _| listed(*server));
    }
}
