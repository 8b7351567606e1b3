//! What a node uses of a limit while it has no grant.

use crate::{Allocation, Grant, WhenCut};

/// The part, for good until a grant comes; none: nothing. `nodes` is the fleet as last agreed, 0 where nothing is known of it: nodes that
/// start all at once would use the whole each.
pub fn fallback_grant(when_cut: WhenCut, whole: Allocation, nodes: u32) -> Option<Grant> {
    match when_cut {
        // What is open is not counted: `door.rs` asks no allowance.
        WhenCut::Strict | WhenCut::Open => None,
        WhenCut::Share if nodes == 0 => None,
        WhenCut::Share => {
            let nodes = f64::from(nodes);
            // A node's part of a capacity may be less than one: then it has one all the same, or its rate would let nobody in.
            let capacity = (whole.capacity / nodes).floor().max(whole.capacity.min(1.0));
            Some(Grant { allocation: Allocation { rate: whole.rate / nodes, capacity }, expires: None })
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_share_is_a_part_of_the_fleet_and_the_others_have_none() {
        let whole = Allocation { rate: 120.0, capacity: 30.0 };
        let share = fallback_grant(WhenCut::Share, whole, 12).expect("a part");
        assert_eq!(share, Grant { allocation: Allocation { rate: 10.0, capacity: 2.0 }, expires: None });
        let share =
            fallback_grant(WhenCut::Share, Allocation { rate: 12.0, capacity: 3.0 }, 12).expect("a part");
        assert_eq!(share.allocation.capacity, 1.0);
        assert_eq!(fallback_grant(WhenCut::Share, whole, 0), None, "a fleet that is not known");
        assert_eq!(fallback_grant(WhenCut::Strict, whole, 12), None);
        assert_eq!(fallback_grant(WhenCut::Open, whole, 12), None);
    }
}
