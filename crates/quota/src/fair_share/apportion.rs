//! Whole units by shares: one for each node that has a share, and the rest by the largest-remainder method.

use super::RotationPriority;

/// Apportions `total` units. Where there are fewer units than nodes with a share, the order is by priority, then by the greater share.
pub fn apportion(total: u32, shares: &[f64], priorities: &[RotationPriority]) -> Vec<u32> {
    let mut order: Vec<usize> = (0..shares.len()).filter(|n| shares[*n] > 0.0).collect();
    order.sort_by(|a, b| priorities[*a].cmp(&priorities[*b]).then(shares[*b].total_cmp(&shares[*a])));
    let mut units = vec![0; shares.len()];
    let first = order.len().min(total as usize);
    order[..first].iter().for_each(|n| units[*n] = 1);
    let left = total as usize - first;
    let sum: f64 = shares.iter().sum();
    if left == 0 || sum <= 0.0 {
        return units;
    }
    let exact = |n: usize| shares[n] / sum * left as f64;
    let mut remaining = left;
    for n in &order {
        let more = exact(*n).floor() as usize;
        units[*n] += more as u32;
        remaining -= more.min(remaining);
    }
    order.sort_by(|a, b| exact(*b).fract().total_cmp(&exact(*a).fract()).then(a.cmp(b)));
    order.iter().take(remaining).for_each(|n| units[*n] += 1);
    units
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn each_gets_one_before_any_gets_more() {
        assert_eq!(apportion(10, &[100.0, 1.0, 0.0], &[RotationPriority::Normal; 3]), [9, 1, 0]);
        assert_eq!(apportion(1, &[1.0, 2.0], &[RotationPriority::Normal; 2]), [0, 1]);
        assert_eq!(apportion(1, &[1.0, 2.0], &[RotationPriority::Overdue, RotationPriority::Normal]), [1, 0]);
        assert_eq!(apportion(0, &[1.0], &[RotationPriority::Normal]), [0]);
    }

    proptest! {
        #[test]
        fn all_units_are_given_if_any_node_has_a_share(
            total in 0u32..500, shares in prop::collection::vec(0.0..10.0f64, 1..30),
        ) {
            let given: u32 = apportion(total, &shares, &vec![RotationPriority::Normal; shares.len()]).iter().sum();
            let any = shares.iter().any(|s| *s > 0.0);
            prop_assert_eq!(given, if any { total } else { 0 });
        }
    }
}
