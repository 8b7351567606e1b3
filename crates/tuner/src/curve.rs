//! How the part of a server's requests that take too long rises with its load.

/// Requests' worth of doubt that the slope rises as it does in a queue.
const PRIOR: f64 = 200.0;
/// How steeply: the part rises with the square of the load, near what a busy queue does.
const STEEP: f64 = 2.0;
/// Requests' worth of doubt that the server is like the mean of all.
const ALIKE: f64 = 1000.0;

/// One look at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Requests a second that it got.
    pub rate: f64,
    /// Requests that were counted.
    pub tries: f64,
    /// Of these, longer than the threshold.
    pub over: f64,
}

/// A straight line: `part` at `rate`, and what it rises by as the rate doubles; never falling.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadCurve {
    /// Requests a second about which it was fitted.
    pub rate: f64,
    /// Part of the requests over the threshold there.
    pub part: f64,
    /// Rise by a rate more of `rate`.
    pub rise: f64,
}

impl LoadCurve {
    /// The part at another rate.
    pub fn at(&self, rate: f64) -> f64 {
        (self.part + self.rise * (rate / self.rate.max(1e-9) - 1.0)).clamp(0.0, 1.0)
    }
}

/// Fits a server's looks, the latest last, by least squares weighted by tries. What it lacks in looks it takes from the mean part of all
/// servers, and from what a queue would do. A server that is the slower the emptier it is comes out flat: its line may not fall.
pub fn fit(samples: &[LoadSample], mean: f64) -> Option<LoadCurve> {
    let tries: f64 = samples.iter().map(|s| s.tries).sum();
    let rate = samples.iter().map(|s| s.rate * s.tries).sum::<f64>() / tries.max(1e-9);
    if tries < 1.0 || rate <= 0.0 {
        return None;
    }
    let over: f64 = samples.iter().map(|s| s.over).sum();
    let part = (over + mean * ALIKE) / (tries + ALIKE);
    let (mut across, mut along) = (PRIOR * STEEP * part, PRIOR);
    for s in samples.iter().filter(|s| s.tries > 0.0) {
        let x = s.rate / rate - 1.0;
        across += s.tries * x * (s.over / s.tries - over / tries);
        along += s.tries * x * x;
    }
    Some(LoadCurve { rate, part, rise: (across / along).max(0.0) })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn looks(all: &[(f64, f64)]) -> Vec<LoadSample> {
        all.iter()
            .map(|(rate, part)| LoadSample { rate: *rate, tries: 5000.0, over: 5000.0 * part })
            .collect()
    }

    #[test]
    fn a_line_follows_what_was_seen_and_never_falls() {
        let rising = fit(&looks(&[(8.0, 0.01), (10.0, 0.03), (12.0, 0.05)]), 0.02).expect("a fit");
        assert!((rising.at(11.0) - 0.04).abs() < 0.004, "{rising:?}");
        let cold_cache = fit(&looks(&[(8.0, 0.05), (10.0, 0.03), (12.0, 0.01)]), 0.02).expect("a fit");
        assert_eq!(cold_cache.rise, 0.0);
        assert_eq!(fit(&[], 0.1), None);
    }

    #[test]
    fn few_looks_say_what_all_are_like() {
        let few = [LoadSample { rate: 1.0, tries: 3.0, over: 3.0 }];
        let curve = fit(&few, 0.01).expect("a fit");
        assert!(curve.part < 0.12 && curve.rise > curve.part, "{curve:?}");
    }
}
