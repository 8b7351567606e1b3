//! What a node may use of a limit while it has no grant.

use crate::{Allocation, Grant, WhenCut};

/// A grant without expiry, used until the leader issues one; none: the node has nothing. `nodes` is the fleet size last agreed, or 0 while
/// it is unknown: a share is withheld then, because nodes that start together would each use the whole limit.
pub fn fallback_grant(when_cut: WhenCut, allocatable: Allocation, nodes: u32) -> Option<Grant> {
    match when_cut {
        // Open limits admit without a grant: `limiter.rs` doesn't consult the local quota for them.
        WhenCut::Strict | WhenCut::Open => None,
        WhenCut::Share if nodes == 0 => None,
        WhenCut::Share => {
            let nodes = f64::from(nodes);
            // With a share of less than one request a bucket would never admit any, whatever its rate: it gets one.
            let capacity = (allocatable.capacity / nodes).floor().max(allocatable.capacity.min(1.0));
            Some(Grant { allocation: Allocation { rate: allocatable.rate / nodes, capacity }, expires: None })
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_share_limits_fall_back_to_an_equal_share() {
        let whole = Allocation { rate: 120.0, capacity: 30.0 };
        let share = fallback_grant(WhenCut::Share, whole, 12).expect("a share");
        assert_eq!(share, Grant { allocation: Allocation { rate: 10.0, capacity: 2.0 }, expires: None });
        let share =
            fallback_grant(WhenCut::Share, Allocation { rate: 12.0, capacity: 3.0 }, 12).expect("a share");
        assert_eq!(share.allocation.capacity, 1.0);
        assert_eq!(fallback_grant(WhenCut::Share, whole, 0), None, "unknown fleet size");
        assert_eq!(fallback_grant(WhenCut::Strict, whole, 12), None);
        assert_eq!(fallback_grant(WhenCut::Open, whole, 12), None);
    }
}
