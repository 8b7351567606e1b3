//! Max-min fairness by water-filling (Bertsekas and Gallager 1992, section 6.5.2), worth first.

use crate::DemandAtWorth;

/// The max-min fair parts of a whole: whoever wants less than an even part gets what it wants, the others even parts of what is left.
pub fn max_min_fair(whole: f64, wanted: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by(|a, b| wanted[*a].total_cmp(&wanted[*b]));
    let (mut left, mut parts) = (whole, vec![0.0; wanted.len()]);
    for (n, at) in order.iter().enumerate() {
        parts[*at] = wanted[*at].min(left / (order.len() - n) as f64).max(0.0);
        left -= parts[*at];
    }
    parts
}

/// The same for the requests of most worth first, then for the next; what nobody wants is parted evenly, for what may come.
pub fn max_min_fair_by_worth(whole: f64, wants: &[&[DemandAtWorth]]) -> Vec<f64> {
    let mut worths: Vec<f32> = wants.iter().flat_map(|w| w.iter().map(|w| w.worth)).collect();
    worths.sort_by(|a, b| b.total_cmp(a));
    worths.dedup();
    let mut parts = vec![0.0; wants.len()];
    let mut left = whole;
    for worth in worths {
        let at =
            |w: &&[DemandAtWorth]| w.iter().filter(|w| w.worth == worth).map(|w| f64::from(w.amount)).sum();
        let wanted: Vec<f64> = wants.iter().map(at).collect();
        for (part, more) in parts.iter_mut().zip(max_min_fair(left, &wanted)) {
            *part += more;
            left -= more;
        }
    }
    let even = left.max(0.0) / wants.len().max(1) as f64;
    parts.iter_mut().for_each(|p| *p += even);
    parts
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn who_wants_little_gets_it_and_the_rest_is_even() {
        assert_eq!(max_min_fair(10.0, &[1.0, 20.0, 20.0]), [1.0, 4.5, 4.5]);
        assert_eq!(max_min_fair(10.0, &[1.0, 2.0]), [1.0, 2.0]);
        assert_eq!(max_min_fair(0.0, &[1.0]), [0.0]);
        assert_eq!(max_min_fair(1.0, &[]), [0.0; 0]);
    }

    #[test]
    fn worth_comes_first_when_short() {
        let want = |worth, amount| DemandAtWorth { worth, amount };
        let (one, other) = ([want(4.0, 6.0), want(1.0, 10.0)], [want(1.0, 10.0)]);
        assert_eq!(max_min_fair_by_worth(10.0, &[&one, &other]), [8.0, 2.0]);
        assert_eq!(max_min_fair_by_worth(30.0, &[&one, &other]), [18.0, 12.0], "what is left over is even");
    }

    proptest! {
        #[test]
        fn nobody_could_have_more_but_from_one_that_has_no_more(
            whole in 0.0..100.0f64, wanted in prop::collection::vec(0.0..50.0f64, 1..12),
        ) {
            let parts = max_min_fair(whole, &wanted);
            let sum: f64 = parts.iter().sum();
            prop_assert!(sum <= whole + 1e-9);
            let most = parts.iter().copied().fold(0.0, f64::max);
            for (part, wanted) in parts.iter().zip(&wanted) {
                prop_assert!(*part <= *wanted);
                prop_assert!(*part >= *wanted - 1e-9 || *part >= most - 1e-9);
            }
            prop_assert!(sum >= whole.min(wanted.iter().sum()) - 1e-9);
        }
    }
}
