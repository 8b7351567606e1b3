//! The best split of a load: the fewest requests over the threshold, each server within its bounds.

use crate::curve::LoadCurve;

/// Requests a second for each server, of the given sum where the bounds allow it: the minimum of the sum of rate·part(rate), in which all
/// servers that are at no bound cost the same at the margin (a convex problem: each margin rises with its rate).
pub fn optimal_split(curves: &[LoadCurve], bounds: &[(f64, f64)], sum: f64) -> Vec<f64> {
    let margin = |c: &LoadCurve, rate: f64| c.part - c.rise + 2.0 * c.rise * rate / c.rate.max(1e-9);
    let at = |c: &LoadCurve, (least, most): (f64, f64), price: f64| {
        let slope = 2.0 * c.rise / c.rate.max(1e-9);
        // One that is flat is full or empty: it costs the same whatever it gets.
        if slope < 1e-12 {
            return if price >= c.part { most } else { least };
        }
        ((price - c.part + c.rise) / slope).clamp(least, most)
    };
    let rates =
        |price: f64| -> Vec<f64> { curves.iter().zip(bounds).map(|(c, b)| at(c, *b, price)).collect() };
    let (mut low, mut high) = (0.0f64, 1.0f64);
    for (c, b) in curves.iter().zip(bounds) {
        low = low.min(margin(c, b.0) - 1e-9);
        high = high.max(margin(c, b.1) + 1e-9);
    }
    for _ in 0..80 {
        let middle = (low + high) / 2.0;
        *(if rates(middle).iter().sum::<f64>() < sum { &mut low } else { &mut high }) = middle;
    }
    // Where a flat server's step makes the difference the two ends are mixed.
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
        curves.iter().zip(rates).map(|(c, r)| r * (c.part + c.rise * (r / c.rate - 1.0))).sum()
    }

    #[test]
    fn load_moves_from_a_server_with_a_tail_to_those_without() {
        let slow = LoadCurve { rate: 10.0, part: 0.05, rise: 0.1 };
        let fast = LoadCurve { rate: 10.0, part: 0.005, rise: 0.01 };
        let rates = optimal_split(&[slow, fast, fast], &[(8.5, 11.5); 3], 30.0);
        assert_eq!(rates[0], 8.5);
        assert!(
            (rates[1] - 10.75).abs() < 1e-6 && (rates.iter().sum::<f64>() - 30.0).abs() < 1e-6,
            "{rates:?}"
        );
    }

    proptest! {
        #[test]
        fn no_small_move_is_better(
            all in prop::collection::vec((1.0..50.0f64, 0.0..0.2f64, 0.0..0.5f64), 2..12), part in 0.0..1.0f64,
        ) {
            let curves: Vec<LoadCurve> =
                all.iter().map(|(rate, part, rise)| LoadCurve { rate: *rate, part: *part, rise: *rise }).collect();
            let bounds: Vec<(f64, f64)> = curves.iter().map(|c| (0.85 * c.rate, 1.15 * c.rate)).collect();
            let [least, most] = [0, 1].map(|n| bounds.iter().map(|b| if n == 0 { b.0 } else { b.1 }).sum::<f64>());
            let sum = least + (most - least) * part;
            let rates = optimal_split(&curves, &bounds, sum);
            prop_assert!((rates.iter().sum::<f64>() - sum).abs() < 1e-4 * sum);
            prop_assert!(rates.iter().zip(&bounds).all(|(r, b)| (b.0 - 1e-9..=b.1 + 1e-9).contains(r)));
            for from in 0..rates.len() {
                for to in 0..rates.len() {
                    let mut other = rates.clone();
                    let moved = 0.01f64.min(rates[from] - bounds[from].0).min(bounds[to].1 - rates[to]);
                    if from != to && moved > 0.0 {
                        other[from] -= moved;
                        other[to] += moved;
                        prop_assert!(cost(&curves, &other) >= cost(&curves, &rates) - 1e-6);
                    }
                }
            }
        }
    }
}
