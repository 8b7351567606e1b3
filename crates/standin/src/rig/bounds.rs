//! Checks of rate and concurrency bounds against what servers recorded: every window counts, and there is no margin.

use super::history::Nanos;
use birchswitch_quota::bound;

/// Over all windows W, the most requests beyond `per_s`·W + `burst`. `at` is sorted; a result of 0 or less means that
/// the bound holds.
pub fn max_rate_excess(at: &[Nanos], per_s: f64, burst: f64) -> f64 {
    let Some(first) = at.first() else { return f64::NEG_INFINITY };
    bound::max_excess(at.iter().map(|at| (at - first) as f64 / 1e9), per_s, burst)
}

/// The largest number of overlapping spans. A span without an end never ends.
pub fn max_concurrent(spans: impl Iterator<Item = (Nanos, Option<Nanos>)>) -> usize {
    let mut edges: Vec<(Nanos, i64)> =
        spans.flat_map(|(from, to)| [Some((from, 1)), to.map(|to| (to, -1))]).flatten().collect();
    // At equal times ends sort before beginnings, so a span that ends as another begins does not overlap it.
    edges.sort_unstable();
    let mut sum = 0;
    edges
        .iter()
        .map(|m| {
            sum += m.1;
            sum
        })
        .max()
        .unwrap_or(0) as usize
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bursts_within_a_window_exceed_the_rate() {
        let ms = |all: &[u64]| all.iter().map(|ms| ms * 1_000_000).collect::<Vec<_>>();
        // One request each tenth of a second.
        let even: Vec<Nanos> = (0..100).map(|n| n * 100_000_000).collect();
        assert!(max_rate_excess(&even, 10.0, 1.0).abs() < 1e-9);
        assert!(max_rate_excess(&even, 9.0, 1.0) > 8.0);
        let burst = ms(&[0, 1000, 2000, 2001, 2002, 2003]);
        assert!(
            (max_rate_excess(&burst, 1.0, 3.0) - 0.997).abs() < 1e-9,
            "{}",
            max_rate_excess(&burst, 1.0, 3.0)
        );
        assert!(max_rate_excess(&burst, 1.0, 4.0) <= 0.0);
        assert_eq!(max_rate_excess(&[], 1.0, 1.0), f64::NEG_INFINITY);
    }

    #[test]
    fn overlapping_spans_are_counted() {
        let spans = [(0, Some(10)), (5, Some(15)), (10, Some(20)), (12, None)];
        assert_eq!(max_concurrent(spans.into_iter()), 3);
        assert_eq!(max_concurrent(std::iter::empty()), 0);
    }
}
