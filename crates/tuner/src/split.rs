//! The split of a load with the fewest slow requests, each server within its bounds.

use crate::curve::LoadCurve;

/// The rate of each server, in requests a second, with the given sum where the bounds allow it. Minimises the sum of
/// rate·slow_fraction(rate), a convex problem: at the optimum all servers within their bounds have the same marginal cost, which rises with
/// the rate. Found by bisection on that cost.
pub fn optimal_split(curves: &[LoadCurve], bounds: &[(f64, f64)], sum: f64) -> Vec<f64> {
    let marginal_cost =
        |c: &LoadCurve, rate: f64| c.slow_fraction - c.slope + 2.0 * c.slope * rate / c.rate.max(1e-9);
    let rate_at = |c: &LoadCurve, (least, most): (f64, f64), cost_level: f64| {
        let slope = 2.0 * c.slope / c.rate.max(1e-9);
        // A flat server's marginal cost is constant: it gets its upper or its lower bound.
        if slope < 1e-12 {
            return if cost_level >= c.slow_fraction { most } else { least };
        }
        ((cost_level - c.slow_fraction + c.slope) / slope).clamp(least, most)
    };
    let rates = |cost_level: f64| -> Vec<f64> {
        curves.iter().zip(bounds).map(|(c, b)| rate_at(c, *b, cost_level)).collect()
    };
    let (mut low, mut high) = (0.0f64, 1.0f64);
    for (c, b) in curves.iter().zip(bounds) {
        low = low.min(marginal_cost(c, b.0) - 1e-9);
        high = high.max(marginal_cost(c, b.1) + 1e-9);
    }
    for _ in 0..80 {
        let middle = (low + high) / 2.0;
        *(if rates(middle).iter().sum::<f64>() < sum { &mut low } else { &mut high }) = middle;
    }
    // A flat server's rate jumps at its marginal cost: the two ends are mixed to reach the sum.
    let (under, over) = (rates(low), rates(high));
    let (less, more): (f64, f64) = (under.iter().sum(), over.iter().sum());
    let mix = if more - less > 1e-12 { ((sum - less) / (more - less)).clamp(0.0, 1.0) } else { 0.0 };
    under.iter().zip(&over).map(|(u, o)| u + (o - u) * mix).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn cost(curves: &[LoadCurve], rates: &[f64]) -> f64 {
        curves.iter().zip(rates).map(|(c, r)| r * (c.slow_fraction + c.slope * (r / c.rate - 1.0))).sum()
    }

    #[test]
    fn load_moves_from_a_slow_server_to_the_fast_ones() {
        let slow = LoadCurve { rate: 10.0, slow_fraction: 0.05, slope: 0.1 };
        let fast = LoadCurve { rate: 10.0, slow_fraction: 0.005, slope: 0.01 };
        let rates = optimal_split(&[slow, fast, fast], &[(8.5, 11.5); 3], 30.0);
        assert_eq!(rates[0], 8.5);
        assert!(
            (rates[1] - 10.75).abs() < 1e-6 && (rates.iter().sum::<f64>() - 30.0).abs() < 1e-6,
            "{rates:?}"
        );
    }

    proptest! {
        #[test]
        fn no_small_shift_of_load_is_better(
            all in prop::collection::vec((1.0..50.0f64, 0.0..0.2f64, 0.0..0.5f64), 2..12), part in 0.0..1.0f64,
        ) {
            let curves: Vec<LoadCurve> = all
                .iter()
                .map(|(rate, slow_fraction, slope)| LoadCurve { rate: *rate, slow_fraction: *slow_fraction, slope: *slope })
                .collect();
            let bounds: Vec<(f64, f64)> = curves.iter().map(|c| (0.85 * c.rate, 1.15 * c.rate)).collect();
            let [least, most] = [0, 1].map(|n| bounds.iter().map(|b| if n == 0 { b.0 } else { b.1 }).sum::<f64>());
            let sum = least + (most - least) * part;
            let rates = optimal_split(&curves, &bounds, sum);
            prop_assert!((rates.iter().sum::<f64>() - sum).abs() < 1e-4 * sum);
            prop_assert!(rates.iter().zip(&bounds).all(|(r, b)| (b.0 - 1e-9..=b.1 + 1e-9).contains(r)));
            for from in 0..rates.len() {
                for to in 0..rates.len() {
                    let mut other = rates.clone();
                    let shifted = 0.01f64.min(rates[from] - bounds[from].0).min(bounds[to].1 - rates[to]);
                    if from != to && shifted > 0.0 {
                        other[from] -= shifted;
                        other[to] += shifted;
                        prop_assert!(cost(&curves, &other) >= cost(&curves, &rates) - 1e-6);
                    }
                }
            }
        }
    }
}
