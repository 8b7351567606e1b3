//! Draws follow the shares and the rules.

use super::super::admission;
use super::super::helpers::*;
use super::*;
use crate::interface::*;
use std::time::Duration;

#[test]
fn draws_follow_shares() {
    let mut b = balancer(4);
    b.markets[0].shares = vec![0.4, 0.8, 1.2, 1.6];
    b.markets[0].open_count = 4.0;
    b.solved_at = Some(at(1));
    let mut counts = [0.0; 4];
    let candidates = Vec::new();
    let (class, attempts) = (ClassId(0), Vec::new());
    let r = Request {
        body_complete: true,
        transfer: Duration::ZERO,
        class,
        arrived: at(1),
        deadline: at(900),
        work: None,
        answer_due: true,
        response_started: false,
        attempts,
        worth: 1.0,
        why: Refusal::NoServer,
        candidates,
    };
    b.requests.insert(RequestId(1), r);
    for _ in 0..40_000 {
        counts[draw(&mut b, at(1), RequestId(1), false).expect("all servers are ready")] += 1.0;
    }
    for (i, count) in counts.iter().enumerate() {
        assert!((count / 40_000.0 - share(&b, 0, i as u32) / 4.0).abs() < 0.01, "{counts:?}");
    }
}

/// Shares are solved over the servers of a class's placement only, and no other server is drawn, even if all
/// of those are down or were tried.
#[test]
fn classes_use_only_their_placement() {
    let mut b = Balancer::new(restricted_settings(), 7, at(0)).expect("valid settings");
    b.handle(at(0), list(9), &mut vec![]);
    admission::refresh(&mut b, at(0));
    let m = &b.markets[1];
    assert_eq!(m.open_count, 6.0);
    assert!((m.shares.iter().sum::<f64>() - 6.0).abs() < 1e-3, "{:?}", m.shares);
    let open = (0..9).filter(|&s| share(&b, 1, s) > 0.0);
    assert_eq!(open.filter(|s| s % 3 != 1).count(), 6, "{:?}", m.shares);
    // Class 2 may use server 4 only: once that has rejected the request, it is refused.
    let mut actions = vec![];
    b.handle(at(1), arrival(1, 2), &mut actions);
    assert!(matches!(actions[..], [Action::Send { server: ServerId(4), .. }]), "{actions:?}");
    actions.clear();
    b.handle(at(2), ended(1, 0, ServerId(4), Outcome::Rejected, None), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
    // No server is available to class 3.
    actions.clear();
    b.handle(at(3), arrival(2, 3), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
    // The check before sending applies however the server was chosen.
    actions.clear();
    b.handle(at(4), arrival(3, 1), &mut vec![]);
    let request = b.requests.get_mut(&RequestId(3)).expect("request exists");
    request.attempts.clear();
    let wrong = b.index[&ServerId(1)];
    send(&mut b, at(4), RequestId(3), Some(wrong), &mut actions);
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
}

/// Guards against a repeat that takes the server megabytes and can't be complete while the pod remembers the key: the first
/// attempt showed how long the request takes to be accepted. A client's slowness is not part of that.
#[test]
fn a_repeat_that_takes_longer_than_the_window_does_not_begin() {
    for (transfer, begins) in [(ms(100), true), (ms(10_000), false)] {
        let mut b = balancer(8);
        let keyed = b.settings.classes.iter().position(|c| matches!(c.effect, Effect::Keyed { .. }));
        let class = ClassId(keyed.expect("a keyed class") as u8);
        let Event::Arrival(a) = arrival(1, class.0) else { unreachable!("not an arrival") };
        let mut actions = vec![];
        let remaining = ms(60_000);
        b.handle(at(1), Event::Arrival(Arrival { body_complete: false, remaining, ..a }), &mut actions);
        let [Action::Send { server, .. }] = actions[..] else { panic!("not sent: {actions:?}") };
        actions.clear();
        let (request, attempt) = (RequestId(1), 0);
        b.handle(at(20), Event::RequestWritten { request, attempt, transfer }, &mut actions);
        b.handle(at(40), ended(1, 0, server, Outcome::Broken, None), &mut actions);
        let sent = actions.iter().any(|action| matches!(action, Action::Send { .. }));
        assert_eq!(sent, begins, "{transfer:?}: {actions:?}");
    }
}
