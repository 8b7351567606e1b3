//! Detects whether the tail latency is worse with weights than without. If so all weights are withdrawn.

use birchswitch_verdict::wilson::interval;

/// The confidence, in standard deviations.
const CONFIDENCE_Z: f64 = 3.0;
/// The decay at each interval of what was measured without weights, and with them.
const DECAY: [f64; 2] = [0.9, 0.75];

/// The result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardResult {
    /// No regression within the confidence.
    Acceptable,
    /// The tail is worse: the weights have to be withdrawn.
    Regressed,
}

/// Compares the fractions of slow requests without weights and with them.
#[derive(Clone, Debug, Default)]
pub struct RegressionGuard {
    /// Requests and slow requests without weights.
    baseline: (f64, f64),
    /// The same of the latest intervals with weights.
    weighted: (f64, f64),
}

impl RegressionGuard {
    /// Records an interval without weights.
    pub fn record_baseline(&mut self, requests: f64, slow: f64) {
        self.baseline = (self.baseline.0 * DECAY[0] + requests, self.baseline.1 * DECAY[0] + slow);
        self.weighted = (0.0, 0.0);
    }

    /// Records an interval with weights, and checks it against the baseline.
    pub fn check(&mut self, requests: f64, slow: f64) -> GuardResult {
        self.weighted = (self.weighted.0 * DECAY[1] + requests, self.weighted.1 * DECAY[1] + slow);
        let (lower, _) = interval(self.weighted.1, self.weighted.0, CONFIDENCE_Z);
        let (_, baseline_upper) = interval(self.baseline.1, self.baseline.0, CONFIDENCE_Z);
        if self.baseline.0 > 0.0 && lower > baseline_upper {
            GuardResult::Regressed
        } else {
            GuardResult::Acceptable
        }
    }

    /// The fractions of slow requests without weights and with them.
    pub fn slow_fractions(&self) -> [f64; 2] {
        [self.baseline, self.weighted]
            .map(|(requests, slow)| if requests > 0.0 { slow / requests } else { 0.0 })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_regression_beyond_noise_is_detected_at_once_and_noise_is_not() {
        let mut guard = RegressionGuard::default();
        (0..5).for_each(|_| guard.record_baseline(1000.0, 10.0));
        for slow in [8.0, 14.0, 11.0, 16.0, 9.0] {
            assert_eq!(guard.check(1000.0, slow), GuardResult::Acceptable, "{slow}");
        }
        assert_eq!(guard.check(1000.0, 60.0), GuardResult::Regressed);
    }
}
