use super::*;
use birchswitch_cluster::{Generation, MemberId};
use proptest::prelude::*;

fn who(n: u64) -> ProcessId {
    ProcessId { id: MemberId(n), generation: Generation::default() }
}

fn top_up(id: &str, units: u64) -> Entry {
    Entry::TopUp { account: "t".into(), id: id.into(), units }
}

fn allot(number: u64, units: u64) -> Entry {
    Entry::Allot { account: "t".into(), number, who: who(number), units, sequence: 1 }
}

fn reports(n: u64, number: u64, spent: u64, returned: u64, closed: bool) -> Entry {
    let allotment = AllotmentReport { account: "t".into(), number: n, spent, returned, closed };
    Entry::Report {
        who: who(n),
        report: Report { number, allotments: vec![allotment], keys: Vec::new() },
        time: number,
    }
}

fn state(entries: &[Entry]) -> LedgerState {
    let mut state = LedgerState::default();
    entries.iter().for_each(|e| state.apply(e));
    state
}

fn sums(state: &LedgerState) -> [i128; 4] {
    let a = &state.accounts["t"];
    [a.balance(), a.outstanding().into(), a.spent.into(), a.in_doubt().into()]
}

#[test]
fn a_payment_counts_once() {
    let b = state(&[top_up("a", 100), top_up("b", 5), top_up("a", 100), top_up("a", 7)]);
    assert_eq!(sums(&b), [105, 0, 0, 0]);
}

#[test]
fn allotments_are_settled_by_sums_and_one_in_doubt_counts_until_somebody_says() {
    let mut b = state(&[top_up("a", 100), allot(1, 30), allot(2, 20)]);
    assert_eq!(sums(&b), [50, 50, 0, 0]);
    b.apply(&reports(1, 1, 10, 5, false));
    b.apply(&reports(1, 1, 10, 5, false));
    assert_eq!(sums(&b), [55, 35, 10, 0]);
    b.apply(&Entry::MarkInDoubt { account: "t".into(), number: 1 });
    assert_eq!(sums(&b), [55, 20, 10, 15]);
    // It comes back and says so; less than before, or more than the part, is not believed.
    b.apply(&reports(1, 2, 3, 0, false));
    assert_eq!(sums(&b), [55, 20, 10, 15]);
    b.apply(&reports(1, 3, 1000, 0, true));
    assert_eq!(sums(&b), [55, 20, 25, 0]);
    b.apply(&Entry::MarkInDoubt { account: "t".into(), number: 2 });
    b.apply(&Entry::Settle { account: "t".into(), number: 2, spent: 4 });
    assert_eq!(sums(&b), [71, 0, 29, 0]);
}

#[test]
fn another_process_reports_nothing_about_an_allotment() {
    let mut b = state(&[top_up("a", 100), allot(1, 30)]);
    let allotment = AllotmentReport { account: "t".into(), number: 1, spent: 30, returned: 0, closed: true };
    let report = Report { number: 1, allotments: vec![allotment], keys: Vec::new() };
    b.apply(&Entry::Report { who: who(2), report, time: 1 });
    assert_eq!(sums(&b), [70, 30, 0, 0]);
}

#[test]
fn the_second_debit_for_a_key_is_refunded_within_its_window_alone() {
    let keyed = |n: u64, number: u64, time: u64, spent: u64| {
        let allotment = AllotmentReport { account: "t".into(), number: n, spent, returned: 0, closed: false };
        let key = KeyDebit { account: "t".into(), hash: 77, units: 3, window: 1000 };
        Entry::Report {
            who: who(n),
            report: Report { number, allotments: vec![allotment], keys: vec![key] },
            time,
        }
    };
    let mut b = state(&[top_up("a", 100), allot(1, 30), allot(2, 20), keyed(1, 1, 10, 3)]);
    assert_eq!(sums(&b)[2], 3);
    b.apply(&keyed(1, 1, 11, 3));
    assert_eq!(sums(&b)[2], 3, "the same report again");
    b.apply(&keyed(2, 1, 900, 3));
    assert_eq!((sums(&b)[2], b.accounts["t"].refunded), (3, 3), "the same key at another node");
    b.apply(&keyed(2, 2, 1011, 6));
    assert_eq!(sums(&b)[2], 6, "its window is over");
}

proptest! {
    /// Whatever entries come, in whatever order: what was topped up is all there, and no part spends more than it is.
    #[test]
    fn topped_up_is_balance_outstanding_spent_and_in_doubt(
        steps in prop::collection::vec((0u8..7, 1u64..6, 0u64..50, 0u64..50), 0..60),
    ) {
        let mut b = state(&[top_up("first", 200)]);
        for (n, (kind, part, x, y)) in steps.into_iter().enumerate() {
            let account = || "t".to_owned();
            b.apply(&match kind {
                0 => top_up(&format!("{x}"), y),
                1 if !b.accounts["t"].allotments.contains_key(&part) => allot(part, x),
                2 => reports(part, n as u64, x, y, false),
                3 => reports(part, n as u64, x, y, true),
                4 => Entry::MarkInDoubt { account: account(), number: part },
                5 => Entry::Settle { account: account(), number: part, spent: x },
                _ => Entry::Reclaim { account: account(), number: part },
            });
            let a = &b.accounts["t"];
            let sum: i128 = sums(&b).iter().sum();
            prop_assert_eq!(sum, i128::from(a.topped_up));
            let remaining: u64 = a.allotments.values().map(Allotment::remaining).sum();
            prop_assert_eq!(remaining, a.outstanding() + a.in_doubt());
            let snapshot = postcard::to_stdvec(&b).expect("it encodes");
            prop_assert_eq!(LedgerState::from_snapshot(&snapshot), Ok(b.clone()), "sums and holders too");
            prop_assert!(a.allotments.values().all(|p| p.spent + p.returned <= p.units));
        }
    }
}
