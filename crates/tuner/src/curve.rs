//! The fraction of a server's requests that are slow, as a function of its load.

/// Weight of the prior on the slope, in requests: without data the line rises as a queue's would.
const SLOPE_PRIOR: f64 = 200.0;
/// The prior slope: the fraction rises with the square of the load, close to a busy queue.
const PRIOR_EXPONENT: f64 = 2.0;
/// Weight of the prior on the fraction, in requests: without data a server is like the mean of all.
const MEAN_PRIOR: f64 = 1000.0;

/// What was measured at a server in one interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Requests a second that it received.
    pub rate: f64,
    /// Requests that were measured.
    pub requests: f64,
    /// Those that took longer than the threshold.
    pub slow: f64,
}

/// A straight line through `slow_fraction` at `rate`, with a slope of at least 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadCurve {
    /// The mean rate of the samples, in requests a second.
    pub rate: f64,
    /// The fraction of slow requests at that rate.
    pub slow_fraction: f64,
    /// By how much the fraction rises as the rate doubles from `rate`.
    pub slope: f64,
}

impl LoadCurve {
    /// The fraction at another rate.
    pub fn at(&self, rate: f64) -> f64 {
        (self.slow_fraction + self.slope * (rate / self.rate.max(1e-9) - 1.0)).clamp(0.0, 1.0)
    }
}

/// Fits a line to a server's samples by least squares, weighted by requests. With few samples it tends to `mean`, the fraction of all
/// servers, and to the slope of a queue. The slope of a server that is slower at lower load is 0, since the line may not fall.
pub fn fit(samples: &[LoadSample], mean: f64) -> Option<LoadCurve> {
    let requests: f64 = samples.iter().map(|s| s.requests).sum();
    let rate = samples.iter().map(|s| s.rate * s.requests).sum::<f64>() / requests.max(1e-9);
    if requests < 1.0 || rate <= 0.0 {
        return None;
    }
    let slow: f64 = samples.iter().map(|s| s.slow).sum();
    let slow_fraction = (slow + mean * MEAN_PRIOR) / (requests + MEAN_PRIOR);
    let (mut covariance, mut variance) = (SLOPE_PRIOR * PRIOR_EXPONENT * slow_fraction, SLOPE_PRIOR);
    for s in samples.iter().filter(|s| s.requests > 0.0) {
        let x = s.rate / rate - 1.0;
        covariance += s.requests * x * (s.slow / s.requests - slow / requests);
        variance += s.requests * x * x;
    }
    Some(LoadCurve { rate, slow_fraction, slope: (covariance / variance).max(0.0) })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn samples(all: &[(f64, f64)]) -> Vec<LoadSample> {
        all.iter()
            .map(|(rate, slow_fraction)| LoadSample {
                rate: *rate,
                requests: 5000.0,
                slow: 5000.0 * slow_fraction,
            })
            .collect()
    }

    #[test]
    fn the_line_follows_the_samples_and_never_falls() {
        let rising = fit(&samples(&[(8.0, 0.01), (10.0, 0.03), (12.0, 0.05)]), 0.02).expect("a fit");
        assert!((rising.at(11.0) - 0.04).abs() < 0.004, "{rising:?}");
        let cold_cache = fit(&samples(&[(8.0, 0.05), (10.0, 0.03), (12.0, 0.01)]), 0.02).expect("a fit");
        assert_eq!(cold_cache.slope, 0.0);
        assert_eq!(fit(&[], 0.1), None);
    }

    #[test]
    fn with_few_samples_the_fit_tends_to_the_mean_of_all_servers() {
        let few = [LoadSample { rate: 1.0, requests: 3.0, slow: 3.0 }];
        let curve = fit(&few, 0.01).expect("a fit");
        assert!(curve.slow_fraction < 0.12 && curve.slope > curve.slow_fraction, "{curve:?}");
    }
}
