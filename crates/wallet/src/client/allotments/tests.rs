use super::*;
use crate::message::AccountGrant;
use crate::price::Prices;

fn holder() -> LocalAllotments {
    let prices = Prices { classes: vec![1, 5, 0], per_ms: 0 };
    let ahead = Duration::from_secs(2);
    let terms = AccountTerms { account: "t".into(), prices, overdraft: 0, low: 9, resume: 9, ahead };
    let names = ["other".to_owned(), "t".to_owned()];
    LocalAllotments::new(&[terms], &names, &[Duration::from_secs(10); 3], Duration::from_secs(2))
}

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn renew(local: &mut LocalAllotments, now: u64, allotment: Option<(u64, u64)>, keep: u64) -> RenewalRequest {
    let request = local.prepare_renewal(ms(now)).expect("a renewal");
    let account = AccountGrant { account: "t".into(), allotment, keep, paused: false, frozen: false };
    let response = RenewalResponse { token: 1, report: request.report.number, accounts: vec![account] };
    local.apply(ms(now), &request, &response);
    request
}

fn reserve(local: &mut LocalAllotments, now: u64, class: u8) -> Result<Option<Reservation>, RejectionReason> {
    local.reserve(ms(now), (1, class), None, None)
}

#[test]
fn requests_reserve_their_price_and_pay_only_if_they_ran() {
    let mut local = holder();
    assert_eq!(local.reserve(ms(0), (0, 0), None, None), Ok(None), "a tenant without an account");
    assert_eq!(reserve(&mut local, 0, 2), Ok(None), "a class that costs nothing");
    assert_eq!(reserve(&mut local, 0, 0), Err(RejectionReason::NoAllotment));
    renew(&mut local, 0, Some((7, 6)), 6);
    let reservation = reserve(&mut local, 1, 1).expect("units").expect("a price");
    assert_eq!(reserve(&mut local, 1, 1), Err(RejectionReason::NoAllotment));
    let one = reserve(&mut local, 1, 0).expect("units").expect("a price");
    local.settle(reservation, false);
    local.settle(one, true);
    assert!(reserve(&mut local, 2, 1).is_ok(), "units of a request that did not run are released");
    let reported = &local.prepare_renewal(ms(3)).expect("a report").report.allotments[0];
    assert_eq!((reported.number, reported.spent, reported.closed), (7, 1, false));
}

#[test]
fn a_request_spans_allotments_and_an_expired_one_closes_after_its_requests() {
    let mut local = holder();
    let _ = reserve(&mut local, 0, 0);
    renew(&mut local, 0, Some((1, 3)), 3);
    renew(&mut local, 100, Some((2, 2)), 5);
    let reservation = reserve(&mut local, 200, 1).expect("units").expect("a price");
    assert_eq!(reserve(&mut local, 2500, 0), Err(RejectionReason::NoAllotment));
    let request = local.prepare_renewal(ms(2500)).expect("a report");
    assert!(request.report.allotments.iter().all(|held| !held.closed), "a request still runs");
    local.settle(reservation, true);
    let request = local.prepare_renewal(ms(2600)).expect("a report");
    let reported: Vec<_> =
        request.report.allotments.iter().map(|held| (held.number, held.spent, held.closed)).collect();
    assert_eq!(reported, [(1, 3, true), (2, 2, true)]);
    local.apply(
        ms(2600),
        &request,
        &RenewalResponse { token: 1, report: request.report.number, accounts: Vec::new() },
    );
    assert!(
        local.prepare_renewal(ms(2700)).is_none_or(|request| request.report.allotments.is_empty()),
        "closed allotments are not reported again"
    );
}

#[test]
fn a_response_to_an_earlier_renewal_or_of_a_lower_token_is_ignored() {
    let mut local = holder();
    let _ = reserve(&mut local, 0, 0);
    let early = local.prepare_renewal(ms(0)).expect("a renewal");
    let _ = reserve(&mut local, 0, 0);
    let late = local.prepare_renewal(ms(10)).expect("a renewal");
    let account =
        AccountGrant { account: "t".into(), allotment: Some((1, 9)), keep: 9, ..AccountGrant::default() };
    let response = |token| RenewalResponse { token, report: 0, accounts: vec![account.clone()] };
    local.apply(ms(0), &early, &response(2));
    assert_eq!(reserve(&mut local, 11, 0), Err(RejectionReason::NoAllotment));
    local.apply(ms(10), &late, &RenewalResponse { token: 2, report: 0, accounts: Vec::new() });
    local.apply(ms(10), &late, &response(1));
    assert_eq!(reserve(&mut local, 11, 0), Err(RejectionReason::NoAllotment));
}

#[test]
fn recalled_units_are_returned_unless_they_are_reserved() {
    let mut local = holder();
    let _ = reserve(&mut local, 0, 0);
    renew(&mut local, 0, Some((1, 10)), 10);
    let reservation = reserve(&mut local, 1, 1).expect("units").expect("a price");
    renew(&mut local, 2, None, 1);
    let reported = local.prepare_renewal(ms(3)).expect("a report").report.allotments[0].clone();
    assert_eq!((reported.spent, reported.returned), (0, 4));
    local.settle(reservation, true);
    assert!(reserve(&mut local, 4, 0).is_ok() && reserve(&mut local, 4, 0).is_err());
}

/// A renewal is under way when the node shuts down: units granted to it would stay in doubt if no later renewal were answered.
#[test]
fn closing_waits_for_a_renewal_under_way() {
    let mut local = holder();
    assert!(!local.is_unsettled(), "no renewal was ever sent");
    let _ = reserve(&mut local, 0, 0);
    let out = local.prepare_renewal(ms(0)).expect("a renewal");
    local.close();
    assert!(local.is_unsettled(), "the response may grant an allotment");
    let last = local.prepare_renewal(ms(1)).expect("a last renewal");
    let grant = AccountGrant { account: "t".into(), allotment: Some((1, 9)), ..AccountGrant::default() };
    local.apply(ms(0), &out, &RenewalResponse { token: 1, report: 0, accounts: vec![grant] });
    assert!(local.is_unsettled(), "a response to an earlier renewal does not count");
    local.apply(ms(1), &last, &RenewalResponse { token: 1, report: 0, accounts: Vec::new() });
    assert!(!local.is_unsettled());
    assert_eq!(local.prepare_renewal(ms(2)), None);
}

#[test]
fn key_debits_are_reported_until_the_ledger_has_them() {
    let mut local = holder();
    let _ = reserve(&mut local, 0, 0);
    renew(&mut local, 0, Some((1, 10)), 10);
    let keyed = local.reserve(ms(1), (1, 0), Some(42), None).expect("units").expect("a price");
    local.settle(keyed, true);
    let first = local.prepare_renewal(ms(2)).expect("a report");
    let again = local.prepare_renewal(ms(3)).expect("a report");
    assert_eq!((first.report.number, &first.report.keys), (again.report.number, &again.report.keys));
    assert_eq!(again.report.keys.len(), 1);
    local.apply(
        ms(3),
        &again,
        &RenewalResponse { token: 1, report: again.report.number, accounts: Vec::new() },
    );
    assert!(local.prepare_renewal(ms(4)).is_some_and(|request| request.report.keys.is_empty()));
}
