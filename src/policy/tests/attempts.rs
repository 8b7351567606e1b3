//! Draws follow shares, and only where the rules let them.

use super::super::admission;
use super::super::helpers::*;
use super::*;
use crate::interface::*;

#[test]
fn draws_follow_shares() {
    let mut b = balancer(4);
    b.markets[0].shares = vec![0.4, 0.8, 1.2, 1.6];
    b.markets[0].open = 4.0;
    b.solved = Some(at(1));
    let mut counts = [0.0; 4];
    let asked = Vec::new();
    let (class, attempts) = (ClassId(0), Vec::new());
    let r = Request {
        body_complete: true,
        class,
        arrived: at(1),
        ends: at(900),
        work: None,
        open: true,
        begun: false,
        attempts,
        worth: 1.0,
        why: Refusal::NoServer,
        asked,
    };
    b.requests.insert(RequestId(1), r);
    for _ in 0..40_000 {
        counts[draw(&mut b, at(1), RequestId(1), false).expect("all are ready")] += 1.0;
    }
    for (i, count) in counts.iter().enumerate() {
        assert!((count / 40_000.0 - share(&b, 0, i as u32) / 4.0).abs() < 0.01, "{counts:?}");
    }
}

/// Placement: shares are solved over the open servers only, and nothing else is drawn, also when all of those are
/// down or were tried.
#[test]
fn bound_classes_keep_to_their_servers() {
    let mut b = Balancer::new(bound(), 7, at(0)).expect("sound settings");
    b.handle(at(0), list(9), &mut vec![]);
    admission::refresh(&mut b, at(0));
    let m = &b.markets[1];
    assert_eq!(m.open, 6.0);
    assert!((m.shares.iter().sum::<f64>() - 6.0).abs() < 1e-3, "{:?}", m.shares);
    let open = (0..9).filter(|&s| share(&b, 1, s) > 0.0);
    assert_eq!(open.filter(|s| s % 3 != 1).count(), 6, "{:?}", m.shares);
    // Class 2 has server 4 only: once that has turned it away nothing is left, and it is refused.
    let mut actions = vec![];
    b.handle(at(1), arrival(1, 2), &mut actions);
    assert!(matches!(actions[..], [Action::Send { server: ServerId(4), .. }]), "{actions:?}");
    actions.clear();
    b.handle(at(2), ended(1, 0, ServerId(4), Outcome::Rejected, None), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
    // Class 3 is open nowhere.
    actions.clear();
    b.handle(at(3), arrival(2, 3), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
    // The last gate holds whatever chose the server.
    actions.clear();
    b.handle(at(4), arrival(3, 1), &mut vec![]);
    let request = b.requests.get_mut(&RequestId(3)).expect("held");
    request.attempts.clear();
    let wrong = b.index[&ServerId(1)];
    send(&mut b, at(4), RequestId(3), Some(wrong), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
}
