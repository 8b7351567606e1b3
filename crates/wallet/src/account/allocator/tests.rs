use super::*;
use crate::account::{AllotmentReport, Report};
use crate::price::Prices;
use birchswitch_cluster::{Generation, MemberId};

const SETTINGS: AllocatorSettings = AllocatorSettings {
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

fn process(n: u64) -> ProcessId {
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
    let (_, grants) = allocator.renew(state, (s(now), now * 1000), process(n), renewal);
    grants.into_iter().next().expect("a grant")
}

#[test]
fn allotments_cover_demand_ahead_and_lost_ones_are_reclaimed() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), SETTINGS), paid(1000));
    let first = renew(&mut allocator, &mut state, 1, 1, &renewal(1, 10.0, 1, &[], &[]));
    assert_eq!(first.allotment, Some((0, 20)));
    // The response was lost: it renews again, without the allotment.
    let again = renew(&mut allocator, &mut state, 2, 1, &renewal(2, 10.0, 1, &[], &[]));
    assert_eq!(again.allotment, Some((1, 20)));
    assert_eq!(state.accounts["t"].balance(), 980);
    // A delayed renewal must not reclaim allotments that were granted after it was sent.
    renew(&mut allocator, &mut state, 2, 1, &renewal(1, 10.0, 1, &[], &[]));
    assert!(state.accounts["t"].allotments.contains_key(&1));
}

#[test]
fn the_last_units_are_collected_from_idle_nodes_for_one_that_can_use_them() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), SETTINGS), paid(8));
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
fn an_account_pauses_when_no_units_are_left_and_resumes_from_its_threshold() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), SETTINGS), paid(2));
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

/// A paused account resumes only from `resume` units, so units returned after an early pause could not be spent.
#[test]
fn an_account_does_not_pause_while_its_last_units_are_in_flight() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), SETTINGS), paid(1));
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
fn allotments_of_a_silent_process_become_in_doubt_after_expiry() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), SETTINGS), paid(100));
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

/// A peer's message may contain anything: sums must not overflow, and no more may be granted than there is.
#[test]
fn absurd_holdings_do_not_overflow() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), SETTINGS), paid(100));
    let absurd = renewal(1, f32::MAX, u64::MAX, &[(1, u64::MAX), (2, u64::MAX)], &[]);
    assert_eq!(renew(&mut allocator, &mut state, 1, 1, &absurd).allotment, None, "it claims to hold enough");
    let wants = renewal(1, f32::MAX, u64::MAX, &[], &[]);
    let got = renew(&mut allocator, &mut state, 1, 2, &wants).allotment.map_or(0, |(_, units)| units);
    assert!(got <= 100, "{got}");
}

/// The demand of an expired process is dropped, so that others get its share.
#[test]
fn an_expired_process_has_no_demand() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), SETTINGS), paid(40));
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

/// Demands for accounts that are not in the settings must not accumulate in the leader's memory.
#[test]
fn an_unknown_account_is_granted_nothing_and_not_stored() {
    let (mut allocator, mut state) = (Allocator::new(s(0), &terms(), SETTINGS), paid(40));
    let mut unknown = renewal(1, 5.0, 1, &[], &[]);
    unknown.demands[0].account = "unknown".into();
    let (entries, grants) = allocator.renew(&mut state, (s(1), 1000), process(1), &unknown);
    assert_eq!((entries, grants), (Vec::new(), Vec::new()));
    assert!(allocator.demands.is_empty());
}
