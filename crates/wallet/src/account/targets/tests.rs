use super::*;
use proptest::prelude::*;

fn terms() -> AccountTerms {
    let prices = Prices { classes: vec![1, 5], per_ms: 0 };
    let ahead = Duration::from_secs(2);
    AccountTerms { account: "t".into(), prices, overdraft: 0, low: 100, resume: 50, ahead }
}

fn demand(units_per_s: f64, largest_rejected: u64, holds: u64) -> NodeDemand {
    NodeDemand { units_per_s, largest_rejected, holds }
}

#[test]
fn targets_last_ahead_and_shrink_with_the_balance() {
    let nodes = [demand(10.0, 0, 0), demand(1.0, 0, 0), demand(0.0, 0, 0)];
    assert_eq!(targets(&terms(), 10_000, &nodes), [20, 2, 0]);
    assert_eq!(targets(&terms(), 20, &nodes), [8, 2, 0]);
    assert_eq!(targets(&terms(), 2, &nodes), [0, 0, 0]);
}

#[test]
fn the_last_units_go_whole_to_nodes_that_can_use_them() {
    let wants = demand(5.0, 1, 0);
    assert_eq!(targets(&terms(), 3, &[wants; 12]).iter().sum::<u64>(), 3);
    assert_eq!(targets(&terms(), 0, &[demand(5.0, 5, 0), demand(5.0, 1, 4)]), [1, 1]);
    assert_eq!(targets(&terms(), 5, &[demand(5.0, 5, 0), demand(0.0, 0, 0)]), [5, 0]);
}

#[test]
fn idle_nodes_return_units_and_busy_ones_only_where_others_lack_them() {
    assert_eq!(units_to_keep(0, &demand(0.0, 0, 9), false), 0);
    assert_eq!(units_to_keep(3, &demand(2.0, 0, 9), false), 9);
    assert_eq!(units_to_keep(3, &demand(2.0, 0, 9), true), 3);
}

proptest! {
    #[test]
    fn targets_never_exceed_the_pool(
        free in 0u64..1000,
        nodes in prop::collection::vec((0.0..50.0f64, 0u64..6, 0u64..100), 1..15),
    ) {
        let nodes: Vec<NodeDemand> = nodes.into_iter().map(|(p, o, h)| demand(p, o, h)).collect();
        let pool = free + nodes.iter().map(|n| n.holds).sum::<u64>();
        let targets = targets(&terms(), free, &nodes);
        prop_assert!(targets.iter().sum::<u64>() <= pool);
        // If half the pool covers a rejected request, some node gets enough for one.
        let fits = nodes.iter().any(|n| n.largest_rejected > 0 && n.largest_rejected <= pool / 2);
        prop_assert!(!fits || nodes.iter().zip(&targets).any(|(n, t)| n.largest_rejected > 0 && *t >= n.largest_rejected));
    }
}
