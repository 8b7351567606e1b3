//! Max-min fairness by water-filling (Bertsekas and Gallager 1992, section 6.5.2), the higher worth first.

use crate::DemandAtWorth;

/// Max-min fair shares: a node that demands less than an equal share gets its demand, and the others divide what is left equally.
pub fn max_min_fair(total: f64, demands: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let (mut left, mut shares) = (total, vec![0.0; demands.len()]);
    for (n, node) in order.iter().enumerate() {
        shares[*node] = demands[*node].min(left / (order.len() - n) as f64).max(0.0);
        left -= shares[*node];
    }
    shares
}

/// Max-min fair shares of the demand of the highest worth, then of the next, and so on. What remains is divided equally, for requests to
/// come.
pub fn max_min_fair_by_worth(total: f64, demands: &[&[DemandAtWorth]]) -> Vec<f64> {
    let mut worths: Vec<f32> = demands.iter().flat_map(|w| w.iter().map(|w| w.worth)).collect();
    worths.sort_by(|a, b| b.total_cmp(a));
    worths.dedup();
    let mut shares = vec![0.0; demands.len()];
    let mut left = total;
    for worth in worths {
        let amount =
            |w: &&[DemandAtWorth]| w.iter().filter(|w| w.worth == worth).map(|w| f64::from(w.amount)).sum();
        let amounts: Vec<f64> = demands.iter().map(amount).collect();
        for (share, more) in shares.iter_mut().zip(max_min_fair(left, &amounts)) {
            *share += more;
            left -= more;
        }
    }
    let equal = left.max(0.0) / demands.len().max(1) as f64;
    shares.iter_mut().for_each(|p| *p += equal);
    shares
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_small_demand_is_met_and_the_rest_is_divided_equally() {
        assert_eq!(max_min_fair(10.0, &[1.0, 20.0, 20.0]), [1.0, 4.5, 4.5]);
        assert_eq!(max_min_fair(10.0, &[1.0, 2.0]), [1.0, 2.0]);
        assert_eq!(max_min_fair(0.0, &[1.0]), [0.0]);
        assert_eq!(max_min_fair(1.0, &[]), [0.0; 0]);
    }

    #[test]
    fn the_higher_worth_comes_first() {
        let demand = |worth, amount| DemandAtWorth { worth, amount };
        let (one, other) = ([demand(4.0, 6.0), demand(1.0, 10.0)], [demand(1.0, 10.0)]);
        assert_eq!(max_min_fair_by_worth(10.0, &[&one, &other]), [8.0, 2.0]);
        assert_eq!(max_min_fair_by_worth(30.0, &[&one, &other]), [18.0, 12.0], "the rest is divided equally");
    }

    proptest! {
        #[test]
        fn no_share_can_grow_but_at_the_cost_of_one_that_is_no_larger(
            total in 0.0..100.0f64, demands in prop::collection::vec(0.0..50.0f64, 1..12),
        ) {
            let shares = max_min_fair(total, &demands);
            let sum: f64 = shares.iter().sum();
            prop_assert!(sum <= total + 1e-9);
            let most = shares.iter().copied().fold(0.0, f64::max);
            for (share, demand) in shares.iter().zip(&demands) {
                prop_assert!(*share <= *demand);
                prop_assert!(*share >= *demand - 1e-9 || *share >= most - 1e-9);
            }
            prop_assert!(sum >= total.min(demands.iter().sum()) - 1e-9);
        }
    }
}
