use super::*;
use crate::message::AccountGrant;
use crate::price::Prices;

fn local() -> LocalAllotments {
    let prices = Prices { classes: vec![1, 5, 0], per_ms: 0 };
    let ahead = Duration::from_secs(2);
    let terms = AccountTerms { account: "t".into(), prices, overdraft: 0, low: 9, resume: 9, ahead };
    let names = ["other".to_owned(), "t".to_owned()];
    LocalAllotments::new(&[terms], &names, &[Duration::from_secs(10); 3], Duration::from_secs(2))
}

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn gets(p: &mut LocalAllotments, now: u64, allotment: Option<(u64, u64)>, keep: u64) -> RenewalRequest {
    let request = p.prepare_renewal(ms(now)).expect("something to say");
    let account = AccountGrant { account: "t".into(), allotment, keep, paused: false, frozen: false };
    let response = RenewalResponse { token: 1, report: request.report.number, accounts: vec![account] };
    p.apply(ms(now), &request, &response);
    request
}

fn order(p: &mut LocalAllotments, now: u64, class: u8) -> Result<Option<Reservation>, RejectionReason> {
    p.reserve(ms(now), (1, class), None, None)
}

#[test]
fn requests_take_their_price_and_settle_by_whether_they_ran() {
    let mut p = local();
    assert_eq!(p.reserve(ms(0), (0, 0), None, None), Ok(None), "a tenant without an account");
    assert_eq!(order(&mut p, 0, 2), Ok(None), "a class that costs nothing");
    assert_eq!(order(&mut p, 0, 0), Err(RejectionReason::NoAllotment));
    gets(&mut p, 0, Some((7, 6)), 6);
    let five = order(&mut p, 1, 1).expect("room").expect("it costs");
    assert_eq!(order(&mut p, 1, 1), Err(RejectionReason::NoAllotment));
    let one = order(&mut p, 1, 0).expect("room").expect("it costs");
    p.settle(five, false);
    p.settle(one, true);
    assert!(order(&mut p, 2, 1).is_ok(), "what never ran was given back");
    let told = &p.prepare_renewal(ms(3)).expect("a report").report.allotments[0];
    assert_eq!((told.number, told.spent, told.closed), (7, 1, false));
}

#[test]
fn a_request_spans_allotments_and_one_ends_by_time_with_what_runs_told_later() {
    let mut p = local();
    let _ = order(&mut p, 0, 0);
    gets(&mut p, 0, Some((1, 3)), 3);
    gets(&mut p, 100, Some((2, 2)), 5);
    let five = order(&mut p, 200, 1).expect("room").expect("it costs");
    assert_eq!(order(&mut p, 2500, 0), Err(RejectionReason::NoAllotment));
    let request = p.prepare_renewal(ms(2500)).expect("a report");
    assert!(request.report.allotments.iter().all(|held| !held.closed), "one runs still");
    p.settle(five, true);
    let request = p.prepare_renewal(ms(2600)).expect("a report");
    let told: Vec<_> = request.report.allotments.iter().map(|p| (p.number, p.spent, p.closed)).collect();
    assert_eq!(told, [(1, 3, true), (2, 2, true)]);
    p.apply(
        ms(2600),
        &request,
        &RenewalResponse { token: 1, report: request.report.number, accounts: Vec::new() },
    );
    assert!(
        p.prepare_renewal(ms(2700)).is_none_or(|request| request.report.allotments.is_empty()),
        "what was taken up is gone"
    );
}

#[test]
fn a_response_to_an_earlier_renewal_or_of_a_lower_token_is_ignored() {
    let mut p = local();
    let _ = order(&mut p, 0, 0);
    let early = p.prepare_renewal(ms(0)).expect("a question");
    let _ = order(&mut p, 0, 0);
    let late = p.prepare_renewal(ms(10)).expect("a question");
    let account =
        AccountGrant { account: "t".into(), allotment: Some((1, 9)), keep: 9, ..AccountGrant::default() };
    let response = |token| RenewalResponse { token, report: 0, accounts: vec![account.clone()] };
    p.apply(ms(0), &early, &response(2));
    assert_eq!(order(&mut p, 11, 0), Err(RejectionReason::NoAllotment));
    p.apply(ms(10), &late, &RenewalResponse { token: 2, report: 0, accounts: Vec::new() });
    p.apply(ms(10), &late, &response(1));
    assert_eq!(order(&mut p, 11, 0), Err(RejectionReason::NoAllotment));
}

#[test]
fn what_is_recalled_is_returned_and_not_what_is_reserved() {
    let mut p = local();
    let _ = order(&mut p, 0, 0);
    gets(&mut p, 0, Some((1, 10)), 10);
    let five = order(&mut p, 1, 1).expect("room").expect("it costs");
    gets(&mut p, 2, None, 1);
    let told = p.prepare_renewal(ms(3)).expect("a report").report.allotments[0].clone();
    assert_eq!((told.spent, told.returned), (0, 4));
    p.settle(five, true);
    assert!(order(&mut p, 4, 0).is_ok() && order(&mut p, 4, 0).is_err());
}

/// A question is out when the node ends: what it is granted would be in doubt if no later question were answered.
#[test]
fn a_grant_under_way_at_the_close_is_waited_for() {
    let mut p = local();
    assert!(!p.is_unsettled(), "nothing was ever asked");
    let _ = order(&mut p, 0, 0);
    let out = p.prepare_renewal(ms(0)).expect("a question");
    p.close();
    assert!(p.is_unsettled(), "its answer may hold a part");
    let farewell = p.prepare_renewal(ms(1)).expect("a last question");
    let part = AccountGrant { account: "t".into(), allotment: Some((1, 9)), ..AccountGrant::default() };
    p.apply(ms(0), &out, &RenewalResponse { token: 1, report: 0, accounts: vec![part] });
    assert!(p.is_unsettled(), "an answer to an earlier question says nothing");
    p.apply(ms(1), &farewell, &RenewalResponse { token: 1, report: 0, accounts: Vec::new() });
    assert!(!p.is_unsettled());
    assert_eq!(p.prepare_renewal(ms(2)), None);
}

#[test]
fn keys_are_told_until_they_are_in_the_ledger_and_once() {
    let mut p = local();
    let _ = order(&mut p, 0, 0);
    gets(&mut p, 0, Some((1, 10)), 10);
    let keyed = p.reserve(ms(1), (1, 0), Some(42), None).expect("room").expect("it costs");
    p.settle(keyed, true);
    let first = p.prepare_renewal(ms(2)).expect("a report");
    let again = p.prepare_renewal(ms(3)).expect("a report");
    assert_eq!((first.report.number, &first.report.keys), (again.report.number, &again.report.keys));
    assert_eq!(again.report.keys.len(), 1);
    p.apply(ms(3), &again, &RenewalResponse { token: 1, report: again.report.number, accounts: Vec::new() });
    assert!(p.prepare_renewal(ms(4)).is_some_and(|request| request.report.keys.is_empty()));
}
