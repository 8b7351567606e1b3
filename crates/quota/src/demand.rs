//! Counters that the node's thread writes and the renewal task reads without locks, and the demand estimated from them.

use crate::DemandAtWorth;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Counters of one limit.
#[derive(Debug)]
pub struct Counters {
    /// Requests admitted or rejected, by worth.
    arrivals: Vec<(f32, AtomicU64)>,
    admitted: AtomicU64,
    /// The most requests in flight since the last estimate.
    peak: AtomicU32,
    rejected: AtomicU64,
    in_flight: AtomicU32,
}

impl Counters {
    /// Counters at zero, for requests of these worths.
    pub fn new(worths: &[f64]) -> Self {
        let mut worths: Vec<f32> = worths.iter().map(|w| *w as f32).collect();
        worths.sort_by(f32::total_cmp);
        worths.dedup();
        let arrivals = worths.into_iter().map(|w| (w, AtomicU64::new(0))).collect();
        Counters {
            arrivals,
            admitted: AtomicU64::default(),
            peak: AtomicU32::default(),
            rejected: AtomicU64::default(),
            in_flight: AtomicU32::default(),
        }
    }

    /// Counts a request that was admitted or rejected.
    pub fn record(&self, worth: f64, admitted: bool) {
        if let Some((_, arrivals)) = self.arrivals.iter().find(|c| c.0 == worth as f32) {
            arrivals.fetch_add(1, Ordering::Relaxed);
        }
        let counter = if admitted { &self.admitted } else { &self.rejected };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn set_in_flight(&self, in_flight: u32) {
        self.in_flight.store(in_flight, Ordering::Release);
        self.peak.fetch_max(in_flight, Ordering::Relaxed);
    }

    /// Requests admitted and rejected since the start, and in flight now.
    pub fn totals(&self) -> [u64; 3] {
        let in_flight = u64::from(self.in_flight.load(Ordering::Acquire));
        [self.admitted.load(Ordering::Relaxed), self.rejected.load(Ordering::Relaxed), in_flight]
    }
}

/// Estimates the demand for a limit from its counters, with exponential smoothing.
#[derive(Debug)]
pub struct DemandEstimator {
    arrivals: Vec<u64>,
    rejected: u64,
    smoothed: Vec<f64>,
}

/// The smoothing time spans about this many requests, so that one request at a quiet node doesn't count as high demand.
const SMOOTHING_REQUESTS: f64 = 4.0;
/// The shortest and the longest smoothing time, in seconds.
const SMOOTHING_SECONDS: [f64; 2] = [0.15, 1.0];

impl DemandEstimator {
    /// An estimator that has seen no requests yet.
    pub fn new(counters: &Counters) -> Self {
        DemandEstimator {
            arrivals: vec![0; counters.arrivals.len()],
            rejected: 0,
            smoothed: vec![0.0; counters.arrivals.len()],
        }
    }

    /// Updates the estimate, `seconds` after the last update, and returns the demand: requests a second, or in flight.
    pub fn update(&mut self, counters: &Counters, seconds: f64, in_flight: bool) -> Vec<DemandAtWorth> {
        let rejected = counters.rejected.load(Ordering::Relaxed);
        let newly_rejected = rejected - std::mem::replace(&mut self.rejected, rejected);
        let now: Vec<u64> = counters.arrivals.iter().map(|c| c.1.load(Ordering::Relaxed)).collect();
        let arrived: Vec<f64> =
            now.iter().zip(&self.arrivals).map(|(now, then)| (now - then) as f64).collect();
        self.arrivals = now;
        let all: f64 = arrived.iter().sum();
        // In flight, the demand is the peak plus the rejected requests, split among worths as the arrivals were.
        let peak = counters.peak.swap(counters.in_flight.load(Ordering::Acquire), Ordering::Relaxed);
        let factor = match (in_flight, all > 0.0) {
            (true, true) => (f64::from(peak) + newly_rejected as f64) / all,
            (true, false) => 0.0,
            (false, _) => 1.0 / seconds.max(1e-3),
        };
        let demand = self.smoothed.iter_mut().zip(&arrived).zip(&counters.arrivals).map(
            |((smoothed, arrived), (worth, _))| {
                let time = (SMOOTHING_REQUESTS / smoothed.max(1e-9))
                    .clamp(SMOOTHING_SECONDS[0], SMOOTHING_SECONDS[1]);
                *smoothed += (arrived * factor - *smoothed) * (1.0 - (-seconds / time).exp());
                DemandAtWorth { worth: *worth, amount: *smoothed as f32 }
            },
        );
        demand.filter(|w| w.amount > 1e-3).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn demand_follows_arrivals_within_seconds() {
        let counters = Counters::new(&[1.0, 4.0, 1.0]);
        let mut estimator = DemandEstimator::new(&counters);
        (0..50).for_each(|n| counters.record(1.0, n % 2 == 0));
        (0..5).for_each(|_| counters.record(4.0, true));
        let demand = estimator.update(&counters, 0.5, false);
        let amount = |demand: &[DemandAtWorth], worth| {
            demand.iter().find(|w| w.worth == worth).map_or(0.0, |w| w.amount)
        };
        let fraction = 1.0 - (-0.5f64 / SMOOTHING_SECONDS[1]).exp() as f32;
        assert!((amount(&demand, 1.0) - 100.0 * fraction).abs() < 1e-3);
        assert!((amount(&demand, 4.0) - 10.0 * fraction).abs() < 1e-3);
        (0..3).for_each(|_| drop(estimator.update(&counters, 0.5, false)));
        assert!(amount(&estimator.update(&counters, 0.5, false), 1.0) < 8.0, "no more requests arrive");
        assert_eq!(counters.totals(), [30, 25, 0]);
    }
}
