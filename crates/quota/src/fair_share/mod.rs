//! Divides a limit among nodes: fairly by demand within each worth, the higher worth first, and in whole units where a fraction is of no
//! use.

mod apportion;
mod max_min;

pub use apportion::apportion;
pub use max_min::{max_min_fair, max_min_fair_by_worth};

use crate::{Allocation, DemandAtWorth};

/// Each node's allocation of a rate with a capacity, or of a capacity alone. `priorities` decides who gets one where there are fewer units
/// than nodes.
pub fn divide(
    total: Allocation,
    demands: &[&[DemandAtWorth]],
    priorities: &[RotationPriority],
) -> Vec<Allocation> {
    let has_rate = total.rate > 0.0;
    let shares = max_min_fair_by_worth(if has_rate { total.rate } else { total.capacity }, demands);
    let capacities = apportion(total.capacity as u32, &shares, priorities);
    let usable: f64 = shares.iter().zip(&capacities).filter(|s| *s.1 > 0).map(|s| s.0).sum();
    let allocations = shares.iter().zip(&capacities).map(|(share, capacity)| {
        // A rate without capacity admits no request: it goes to the nodes that have capacity.
        let rate = if has_rate && *capacity > 0 { share / usable.max(1e-12) * total.rate } else { 0.0 };
        Allocation { rate, capacity: f64::from(*capacity) }
    });
    allocations.collect()
}

/// A node's priority while there are fewer units than nodes. The earlier variant comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RotationPriority {
    /// It got its unit a short while ago, and keeps it.
    Retain,
    /// It has been without a unit for long.
    Overdue,
    /// Neither.
    Normal,
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn demands(amounts: &[(f32, f32)]) -> Vec<Vec<DemandAtWorth>> {
        amounts.iter().map(|(worth, amount)| vec![DemandAtWorth { worth: *worth, amount: *amount }]).collect()
    }

    #[test]
    fn a_node_without_a_unit_gets_no_rate() {
        let all = demands(&[(1.0, 50.0), (1.0, 50.0), (1.0, 1.0)]);
        let all: Vec<&[DemandAtWorth]> = all.iter().map(Vec::as_slice).collect();
        let parts = divide(Allocation { rate: 60.0, capacity: 2.0 }, &all, &[RotationPriority::Normal; 3]);
        assert_eq!(parts[2], Allocation::NONE);
        assert!((parts[0].rate - 30.0).abs() < 1e-9 && parts[0].capacity == 1.0, "{parts:?}");
        let priorities = [RotationPriority::Normal, RotationPriority::Normal, RotationPriority::Overdue];
        let parts = divide(Allocation { rate: 60.0, capacity: 2.0 }, &all, &priorities);
        assert!(parts[2].capacity == 1.0 && parts[2].rate > 0.0, "it was overdue: {parts:?}");
    }

    proptest! {
        #[test]
        fn never_exceeds_the_total_and_divides_all_of_the_rate(
            rate in 0.0..1000.0f64, capacity in 0u32..60,
            amounts in prop::collection::vec((0.0..4.0f32, 0.0..500.0f32), 1..20),
        ) {
            let all = demands(&amounts);
            let all: Vec<&[DemandAtWorth]> = all.iter().map(Vec::as_slice).collect();
            let total = Allocation { rate, capacity: f64::from(capacity) };
            let parts = divide(total, &all, &vec![RotationPriority::Normal; all.len()]);
            let sum = parts.iter().fold(Allocation::NONE, |s, p| s.plus(*p));
            prop_assert!(sum.rate <= rate * (1.0 + 1e-9) + 1e-9 && sum.capacity <= total.capacity);
            if capacity > 0 && rate > 0.0 {
                prop_assert!(sum.rate > rate * (1.0 - 1e-9), "some of the rate is left: {sum:?}");
            }
        }
    }
}
