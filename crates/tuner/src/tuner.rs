//! The tuner: fits the servers' latencies at each interval, solves for the best split, and moves the weights a small step towards it.

use crate::curve::{fit, LoadCurve, LoadSample};
use crate::regression::{GuardResult, RegressionGuard};
use crate::sketch::LatencySketch;
use crate::split::optimal_split;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The number of intervals to which a server's line is fitted.
const MAX_SAMPLES: usize = 60;
/// Intervals without weights at the beginning, and after a rollback.
const INITIAL_BASELINE_INTERVALS: u32 = 4;
const ROLLBACK_BASELINE_INTERVALS: u32 = 15;
/// The weight of a server with fewer requests in an interval is left as it is.
const MIN_REQUESTS: f64 = 10.0;
/// The bounds of a weight.
const WEIGHT_BOUNDS: (f64, f64) = (0.2, 5.0);
/// How much of the relative change of a server's load goes into its weight at each step, as an exponent.
const GAIN: f64 = 0.5;
/// A server's rate is the mean of this many intervals: with few requests the rate of one interval is mostly noise.
const RATE_SAMPLES: usize = 5;
/// A step is taken only if it is predicted to reduce slow requests by this fraction of `trust_region`: noise alone predicts less.
const MIN_GAIN: f64 = 0.5;

/// The operator's settings, validated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TunerSettings {
    /// The interval between tuning steps, and between a node's reports.
    pub interval: Duration,
    /// How long weights are valid by the node's clock, counted from before the node sent its request.
    pub ttl: Duration,
    /// The fraction of requests above the percentile: 0.01 for p99.
    pub tail_fraction: f64,
    /// How far a server's load may change in one step, as a fraction of it.
    pub trust_region: f64,
    /// Only in drills: the fit is inverted, so that every step makes the tail worse.
    pub inverted_fit: bool,
}

impl TunerSettings {
    /// The defaults of the `[tuner]` table.
    pub const DEFAULT: TunerSettings = TunerSettings {
        interval: Duration::from_secs(2),
        ttl: Duration::from_secs(10),
        tail_fraction: 0.01,
        trust_region: 0.1,
        inverted_fit: false,
    };
}

/// A server's latest samples, and its weight.
#[derive(Clone, Debug)]
struct Server {
    samples: VecDeque<LoadSample>,
    weight: f64,
}

/// The tuner's state, without I/O.
#[derive(Debug)]
pub struct Tuner {
    settings: TunerSettings,
    servers: BTreeMap<u64, Server>,
    guard: RegressionGuard,
    /// Intervals without weights that are still to come.
    baseline_intervals: u32,
    /// Requests that take longer, in seconds, are slow.
    threshold: f64,
    predicted: f64,
}

impl Tuner {
    /// A tuner without samples.
    pub fn new(settings: TunerSettings) -> Self {
        Tuner {
            settings,
            servers: BTreeMap::new(),
            guard: RegressionGuard::default(),
            baseline_intervals: INITIAL_BASELINE_INTERVALS,
            threshold: 0.0,
            predicted: 0.0,
        }
    }

    /// The fractions of slow requests without weights and with them, and the prediction for the next interval.
    pub fn slow_fractions(&self) -> [f64; 3] {
        let [without, with] = self.guard.slow_fractions();
        [without, with, self.predicted]
    }

    /// Runs a step on the latencies of all nodes in the last `seconds`, by server. Returns the weights from now on, with mean 1, and
    /// whether they were withdrawn.
    pub fn step(&mut self, seconds: f64, sketches: BTreeMap<u64, LatencySketch>) -> (Vec<(u64, f64)>, bool) {
        let mut all = LatencySketch::default();
        for sketch in sketches.values() {
            let _ = all.0.add(&sketch.0);
        }
        let requests = all.0.len() as f64;
        if requests < MIN_REQUESTS * 5.0 {
            return (self.weights(), false);
        }
        let measures_baseline = self.baseline_intervals > 0 || self.threshold <= 0.0;
        if measures_baseline {
            // The threshold is the percentile without weights.
            let percentile = all.0.value_at_quantile(1.0 - self.settings.tail_fraction) as f64 / 1e6;
            self.threshold = if self.threshold > 0.0 {
                self.threshold + (percentile - self.threshold) * 0.3
            } else {
                percentile
            };
        }
        self.add_samples(seconds, &sketches);
        let counts = all.count_above(self.threshold);
        if measures_baseline {
            self.guard.record_baseline(counts.0 as f64, counts.1 as f64);
            self.baseline_intervals = self.baseline_intervals.saturating_sub(1);
            return (Vec::new(), false);
        }
        if self.guard.check(counts.0 as f64, counts.1 as f64) == GuardResult::Regressed {
            self.servers.values_mut().for_each(|s| s.weight = 1.0);
            self.baseline_intervals = ROLLBACK_BASELINE_INTERVALS;
            return (Vec::new(), true);
        }
        self.move_weights(counts.1 as f64 / counts.0.max(1) as f64);
        (self.weights(), false)
    }

    /// Adds a sample to each server.
    fn add_samples(&mut self, seconds: f64, sketches: &BTreeMap<u64, LatencySketch>) {
        for (server, sketch) in sketches {
            let (requests, slow) = sketch.count_above(self.threshold);
            let (rate, requests, slow) = (requests as f64 / seconds.max(1e-3), requests as f64, slow as f64);
            let new = || Server { samples: VecDeque::new(), weight: 1.0 };
            let samples = &mut self.servers.entry(*server).or_insert_with(new).samples;
            samples.push_back(LoadSample { rate, requests, slow });
            if samples.len() > MAX_SAMPLES {
                samples.pop_front();
            }
        }
    }

    /// Fits all servers, and moves their weights towards the best split. `mean` is the fraction of slow requests at all servers together.
    fn move_weights(&mut self, mean: f64) {
        let settings = self.settings;
        let mut fitted: Vec<(u64, f64, LoadCurve)> = Vec::new();
        for (server, s) in &self.servers {
            let samples: Vec<LoadSample> = s.samples.iter().copied().collect();
            if samples.last().is_none_or(|s| s.requests < MIN_REQUESTS) {
                continue;
            }
            let recent: Vec<f64> = samples.iter().rev().take(RATE_SAMPLES).map(|s| s.rate).collect();
            let rate = recent.iter().sum::<f64>() / recent.len() as f64;
            if let Some(mut curve) = fit(&samples, mean) {
                if settings.inverted_fit {
                    (curve.slow_fraction, curve.slope) = (1e-4 / (1e-4 + curve.slow_fraction), 1e-6);
                }
                fitted.push((*server, rate, curve));
            }
        }
        let curves: Vec<LoadCurve> = fitted.iter().map(|f| f.2).collect();
        let bounds: Vec<(f64, f64)> = fitted
            .iter()
            .map(|f| (f.1 * (1.0 - settings.trust_region), f.1 * (1.0 + settings.trust_region)))
            .collect();
        let sum: f64 = fitted.iter().map(|f| f.1).sum();
        let rates = optimal_split(&curves, &bounds, sum);
        let slow_fraction =
            |rates: &[f64]| curves.iter().zip(rates).map(|(c, r)| c.at(*r) * r).sum::<f64>() / sum.max(1e-9);
        let current: Vec<f64> = fitted.iter().map(|f| f.1).collect();
        self.predicted = slow_fraction(&rates);
        if self.predicted > (1.0 - MIN_GAIN * settings.trust_region) * slow_fraction(&current) {
            return;
        }
        for ((server, current_rate, _), rate) in fitted.iter().zip(&rates) {
            if let Some(s) = self.servers.get_mut(server) {
                s.weight = (s.weight * (rate / current_rate.max(1e-9)).powf(GAIN))
                    .clamp(WEIGHT_BOUNDS.0, WEIGHT_BOUNDS.1);
            }
        }
    }

    fn weights(&self) -> Vec<(u64, f64)> {
        if self.baseline_intervals > 0 {
            return Vec::new();
        }
        let mean = self.servers.values().map(|s| s.weight).sum::<f64>() / self.servers.len().max(1) as f64;
        self.servers.iter().map(|(server, s)| (*server, s.weight / mean.max(1e-9))).collect()
    }

    /// Drops servers that no node lists any more.
    pub fn retain_listed(&mut self, listed: impl Fn(u64) -> bool) {
        self.servers.retain(|server, _| listed(*server));
    }
}
