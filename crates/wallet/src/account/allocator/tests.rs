use super::*;
use crate::account::{AllotmentReport, Report};
use crate::price::Prices;
use birchswitch_cluster::{Generation, MemberId};

const RULES: AllocatorSettings = AllocatorSettings {
    ttl: Duration::from_secs(2),
    expiry: Duration::from_secs(4),
    keep_in_doubt: true,
    unique_top_ups: true,
};

fn terms() -> Vec<AccountTerms> {
    let prices = Prices { classes: vec![1, 5], per_ms: 0 };
    let ahead = Duration::from_secs(2);
    vec![AccountTerms { account: "t".into(), prices, overdraft: 0, low: 100, resume: 10, ahead }]
}

fn who(n: u64) -> ProcessId {
    ProcessId { id: MemberId(n), generation: Generation::default() }
}

fn s(s: u64) -> Time {
    Time::from_secs(s)
}

fn renewal(
    sequence: u64,
    units_per_s: f32,
    largest_rejected: u64,
    holds: &[(u64, u64)],
    allotments: &[(u64, u64, u64)],
) -> RenewalRequest {
    let report = |(number, spent, returned): &(u64, u64, u64)| AllotmentReport {
        account: "t".into(),
        number: *number,
        spent: *spent,
        returned: *returned,
        closed: false,
    };
    let report =
        Report { number: sequence, allotments: allotments.iter().map(report).collect(), keys: Vec::new() };
    let demand = Demand { account: "t".into(), units_per_s, largest_rejected, holds: holds.to_vec() };
    RenewalRequest { sequence, highest_token: 0, report, demands: vec![demand] }
}

fn paid(units: u64) -> LedgerState {
    let mut state = LedgerState::default();
    state.apply(&Entry::TopUp { account: "t".into(), id: "a".into(), units });
    state
}

fn renew(
    allocator: &mut Allocator,
    state: &mut LedgerState,
    now: u64,
    n: u64,
    renewal: &RenewalRequest,
) -> AccountGrant {
    let (_, grants) = allocator.renew(state, (s(now), now * 1000), who(n), renewal);
    grants.into_iter().next().expect("a grant")
}

#[test]
fn a_node_gets_what_lasts_ahead_and_what_it_never_got_is_taken_back() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), RULES), paid(1000));
    let first = renew(&mut allocator, &mut state, 1, 1, &renewal(1, 10.0, 1, &[], &[]));
    assert_eq!(first.allotment, Some((0, 20)));
    // The response was lost: it renews again, without the allotment.
    let again = renew(&mut allocator, &mut state, 2, 1, &renewal(2, 10.0, 1, &[], &[]));
    assert_eq!(again.allotment, Some((1, 20)));
    assert_eq!(state.accounts["t"].balance(), 980);
    // A renewal that was on its way for long is answered without taking back what came after it.
    renew(&mut allocator, &mut state, 2, 1, &renewal(1, 10.0, 1, &[], &[]));
    assert!(state.accounts["t"].allotments.contains_key(&1));
}

#[test]
fn the_last_units_are_collected_from_idle_nodes_for_one_that_can_use_them() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), RULES), paid(8));
    let idle = renew(&mut allocator, &mut state, 1, 1, &renewal(1, 4.0, 1, &[], &[]));
    let (number, units) = idle.allotment.expect("an allotment");
    assert_eq!(units, 4);
    let wants = renew(&mut allocator, &mut state, 1, 2, &renewal(1, 5.0, 5, &[], &[]));
    let got = wants.allotment.map_or(0, |p| p.1);
    assert!(got < 5, "the rest lies with the other: {wants:?}");
    let returned =
        renew(&mut allocator, &mut state, 2, 1, &renewal(2, 0.0, 0, &[(number, 4)], &[(number, 0, 0)]));
    assert_eq!((returned.keep, returned.allotment), (0, None));
    renew(&mut allocator, &mut state, 3, 1, &renewal(3, 0.0, 0, &[], &[(number, 0, 4)]));
    let holds: Vec<(u64, u64)> = wants.allotment.into_iter().collect();
    let allotments: Vec<_> = holds.iter().map(|h| (h.0, 0, 0)).collect();
    let more = renew(&mut allocator, &mut state, 3, 2, &renewal(2, 5.0, 5, &holds, &allotments));
    assert!(got + more.allotment.map_or(0, |p| p.1) >= 5, "{more:?}");
}

#[test]
fn it_pauses_when_nothing_is_left_anywhere_and_goes_on_from_enough() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), RULES), paid(2));
    let (number, units) = renew(&mut allocator, &mut state, 1, 1, &renewal(1, 9.0, 1, &[], &[]))
        .allotment
        .expect("an allotment");
    let (mut got, mut parts) = (units, vec![(number, units, 0)]);
    for n in 2..6 {
        let grant = renew(&mut allocator, &mut state, 1, 1, &renewal(n, 9.0, 1, &[], &parts));
        parts.extend(grant.allotment.map(|p| (p.0, p.1, 0)));
        got += grant.allotment.map_or(0, |p| p.1);
    }
    assert_eq!(got, 2);
    let out = renew(&mut allocator, &mut state, 2, 1, &renewal(6, 9.0, 1, &[], &parts));
    assert!(out.paused && out.allotment.is_none());
    state.apply(&Entry::TopUp { account: "t".into(), id: "b".into(), units: 9 });
    assert!(renew(&mut allocator, &mut state, 3, 1, &renewal(7, 9.0, 1, &[], &parts)).paused, "not enough");
    state.apply(&Entry::TopUp { account: "t".into(), id: "c".into(), units: 1 });
    let on = renew(&mut allocator, &mut state, 4, 1, &renewal(8, 9.0, 1, &[], &parts));
    assert!(!on.paused && on.allotment.is_some());
}

/// A paused account resumes only from `resume` units: whatever comes back after an early pause could not be spent.
#[test]
fn it_does_not_pause_while_the_last_units_are_on_their_way() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), RULES), paid(1));
    let lost = renew(&mut allocator, &mut state, 1, 1, &renewal(1, 9.0, 1, &[], &[]));
    assert_eq!(lost.allotment, Some((0, 1)));
    let other = renew(&mut allocator, &mut state, 1, 2, &renewal(1, 9.0, 1, &[], &[]));
    assert_eq!((other.paused, other.allotment), (false, None));
    // The first node's response was lost: it renews again, without the allotment, and gets the unit once more.
    let again = renew(&mut allocator, &mut state, 2, 1, &renewal(2, 9.0, 1, &[], &[]));
    assert_eq!((again.paused, again.allotment), (false, Some((1, 1))));
    let spent = renew(&mut allocator, &mut state, 3, 1, &renewal(3, 9.0, 1, &[], &[(1, 1, 0)]));
    assert_eq!((spent.paused, spent.allotment), (true, None));
}

#[test]
fn an_allotment_whose_process_is_gone_is_in_doubt_and_not_before_its_time() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), RULES), paid(100));
    let (_, units) = renew(&mut allocator, &mut state, 1, 1, &renewal(1, 10.0, 1, &[], &[]))
        .allotment
        .expect("an allotment");
    assert_eq!(allocator.expire(&mut state, s(4)), []);
    assert_eq!(allocator.expire(&mut state, s(5)).len(), 1);
    assert_eq!(
        (state.accounts["t"].in_doubt(), state.accounts["t"].balance()),
        (units, 100 - i128::from(units))
    );
    assert_eq!(allocator.expire(&mut state, s(9)), [], "once");
}

/// What a peer tells may be anything: sums do not overflow, and nothing is granted that is not there.
#[test]
fn absurd_holdings_are_borne() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), RULES), paid(100));
    let absurd = renewal(1, f32::MAX, u64::MAX, &[(1, u64::MAX), (2, u64::MAX)], &[]);
    assert_eq!(
        renew(&mut allocator, &mut state, 1, 1, &absurd).allotment,
        None,
        "it says that it holds enough"
    );
    let wants = renewal(1, f32::MAX, u64::MAX, &[], &[]);
    let got = renew(&mut allocator, &mut state, 1, 2, &wants).allotment.map_or(0, |(_, units)| units);
    assert!(got <= 100, "{got}");
}

/// What a process told is forgotten with it: others get what it would have got.
#[test]
fn a_process_that_is_forgotten_asks_for_nothing() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), RULES), paid(40));
    for n in 1..=2 {
        renew(&mut allocator, &mut state, 1, n, &renewal(1, 1000.0, 0, &[], &[]));
    }
    let entries = allocator.expire(&mut state, s(5));
    assert_eq!(entries.len(), 2, "{entries:?}");
    state.apply(&Entry::TopUp { account: "t".into(), id: "b".into(), units: 100 });
    let alone = renew(&mut allocator, &mut state, 6, 3, &renewal(1, 1000.0, 0, &[], &[]));
    let free = 140 - i128::from(state.accounts["t"].in_doubt());
    assert_eq!(i128::from(alone.allotment.expect("an allotment").1), free / 2);
}

/// An account that no settings name has no place in what a leader keeps.
#[test]
fn an_unknown_account_is_granted_nothing_and_not_kept() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), RULES), paid(40));
    let mut unknown = renewal(1, 5.0, 1, &[], &[]);
    unknown.demands[0].account = "unknown".into();
    let (entries, grants) = allocator.renew(&mut state, (s(1), 1000), who(1), &unknown);
    assert_eq!((entries, grants), (Vec::new(), Vec::new()));
    assert!(allocator.demands.is_empty());
}
