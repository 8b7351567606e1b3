//! How a limit is parted among nodes: by worth first, then evenly by demand; whole units where only whole ones are of use.

mod apportion;
mod max_min;

pub use apportion::apportion;
pub use max_min::{max_min_fair, max_min_fair_by_worth};

use crate::{Allocation, DemandAtWorth};

/// What each node should have, of a rate with a capacity or of a capacity alone. `turns` puts nodes whose turn it is first where units do not reach.
pub fn divide(whole: Allocation, wants: &[&[DemandAtWorth]], turns: &[RotationPriority]) -> Vec<Allocation> {
    let flows = whole.rate > 0.0;
    let shares = max_min_fair_by_worth(if flows { whole.rate } else { whole.capacity }, wants);
    let stocks = apportion(whole.capacity as u32, &shares, turns);
    let with: f64 = shares.iter().zip(&stocks).filter(|s| *s.1 > 0).map(|s| s.0).sum();
    let each = shares.iter().zip(&stocks).map(|(share, capacity)| {
        // A rate without a capacity can let nobody in: it goes to those that have one.
        let rate = if flows && *capacity > 0 { share / with.max(1e-12) * whole.rate } else { 0.0 };
        Allocation { rate, capacity: f64::from(*capacity) }
    });
    each.collect()
}

/// Whose turn it is where there are fewer units than nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RotationPriority {
    /// It has had a unit for a short while only.
    Retain,
    /// It has gone without for long.
    Overdue,
    /// Neither.
    Normal,
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn wants(amounts: &[(f32, f32)]) -> Vec<Vec<DemandAtWorth>> {
        amounts.iter().map(|(worth, amount)| vec![DemandAtWorth { worth: *worth, amount: *amount }]).collect()
    }

    #[test]
    fn a_part_is_no_use_without_a_unit() {
        let all = wants(&[(1.0, 50.0), (1.0, 50.0), (1.0, 1.0)]);
        let all: Vec<&[DemandAtWorth]> = all.iter().map(Vec::as_slice).collect();
        let parts = divide(Allocation { rate: 60.0, capacity: 2.0 }, &all, &[RotationPriority::Normal; 3]);
        assert_eq!(parts[2], Allocation::NONE);
        assert!((parts[0].rate - 30.0).abs() < 1e-9 && parts[0].capacity == 1.0, "{parts:?}");
        let turns = [RotationPriority::Normal, RotationPriority::Normal, RotationPriority::Overdue];
        let parts = divide(Allocation { rate: 60.0, capacity: 2.0 }, &all, &turns);
        assert!(parts[2].capacity == 1.0 && parts[2].rate > 0.0, "its turn: {parts:?}");
    }

    proptest! {
        #[test]
        fn never_more_than_the_whole_and_all_of_a_flow_that_is_wanted(
            rate in 0.0..1000.0f64, capacity in 0u32..60,
            amounts in prop::collection::vec((0.0..4.0f32, 0.0..500.0f32), 1..20),
        ) {
            let all = wants(&amounts);
            let all: Vec<&[DemandAtWorth]> = all.iter().map(Vec::as_slice).collect();
            let whole = Allocation { rate, capacity: f64::from(capacity) };
            let parts = divide(whole, &all, &vec![RotationPriority::Normal; all.len()]);
            let sum = parts.iter().fold(Allocation::NONE, |s, p| s.plus(*p));
            prop_assert!(sum.rate <= rate * (1.0 + 1e-9) + 1e-9 && sum.capacity <= whole.capacity);
            if capacity > 0 && rate > 0.0 {
                prop_assert!(sum.rate > rate * (1.0 - 1e-9), "nothing is kept back: {sum:?}");
            }
        }
    }
}
