use super::*;
use birchswitch_cluster::{Generation, MemberId};
use proptest::prelude::*;

fn process(n: u64) -> ProcessId {
    ProcessId { id: MemberId(n), generation: Generation::default() }
}

fn top_up(id: &str, units: u64) -> Entry {
    Entry::TopUp { account: "t".into(), id: id.into(), units }
}

fn allot(number: u64, units: u64) -> Entry {
    Entry::Allot { account: "t".into(), number, process: process(number), units, sequence: 1 }
}

fn report(n: u64, number: u64, spent: u64, returned: u64, closed: bool) -> Entry {
    let allotment = AllotmentReport { account: "t".into(), number: n, spent, returned, closed };
    Entry::Report {
        process: process(n),
        report: Report { number, allotments: vec![allotment], keys: Vec::new() },
        time: number,
    }
}

fn replay(entries: &[Entry]) -> LedgerState {
    let mut state = LedgerState::default();
    entries.iter().for_each(|entry| state.apply(entry));
    state
}

fn sums(state: &LedgerState) -> [i128; 4] {
    let account = &state.accounts["t"];
    [account.balance(), account.outstanding().into(), account.spent.into(), account.in_doubt().into()]
}

#[test]
fn a_payment_is_credited_once() {
    let state = replay(&[top_up("a", 100), top_up("b", 5), top_up("a", 100), top_up("a", 7)]);
    assert_eq!(sums(&state), [105, 0, 0, 0]);
}

#[test]
fn reports_are_cumulative_and_allotments_in_doubt_count_until_settled() {
    let mut state = replay(&[top_up("a", 100), allot(1, 30), allot(2, 20)]);
    assert_eq!(sums(&state), [50, 50, 0, 0]);
    state.apply(&report(1, 1, 10, 5, false));
    state.apply(&report(1, 1, 10, 5, false));
    assert_eq!(sums(&state), [55, 35, 10, 0]);
    state.apply(&Entry::MarkInDoubt { account: "t".into(), number: 1 });
    assert_eq!(sums(&state), [55, 20, 10, 15]);
    // The process comes back. Figures below earlier ones or above the allotment are not accepted.
    state.apply(&report(1, 2, 3, 0, false));
    assert_eq!(sums(&state), [55, 20, 10, 15]);
    state.apply(&report(1, 3, 1000, 0, true));
    assert_eq!(sums(&state), [55, 20, 25, 0]);
    state.apply(&Entry::MarkInDoubt { account: "t".into(), number: 2 });
    state.apply(&Entry::Settle { account: "t".into(), number: 2, spent: 4 });
    assert_eq!(sums(&state), [71, 0, 29, 0]);
}

#[test]
fn a_report_of_another_process_is_ignored() {
    let mut state = replay(&[top_up("a", 100), allot(1, 30)]);
    let allotment = AllotmentReport { account: "t".into(), number: 1, spent: 30, returned: 0, closed: true };
    let report = Report { number: 1, allotments: vec![allotment], keys: Vec::new() };
    state.apply(&Entry::Report { process: process(2), report, time: 1 });
    assert_eq!(sums(&state), [70, 30, 0, 0]);
}

#[test]
fn the_second_debit_for_a_key_is_refunded_within_its_window() {
    let keyed = |n: u64, number: u64, time: u64, spent: u64| {
        let allotment = AllotmentReport { account: "t".into(), number: n, spent, returned: 0, closed: false };
        let key = KeyDebit { account: "t".into(), hash: 77, units: 3, window: 1000 };
        Entry::Report {
            process: process(n),
            report: Report { number, allotments: vec![allotment], keys: vec![key] },
            time,
        }
    };
    let mut state = replay(&[top_up("a", 100), allot(1, 30), allot(2, 20), keyed(1, 1, 10, 3)]);
    assert_eq!(sums(&state)[2], 3);
    state.apply(&keyed(1, 1, 11, 3));
    assert_eq!(sums(&state)[2], 3, "the same report again");
    state.apply(&keyed(2, 1, 900, 3));
    assert_eq!((sums(&state)[2], state.accounts["t"].refunded), (3, 3), "the same key at another node");
    state.apply(&keyed(2, 2, 1011, 6));
    assert_eq!(sums(&state)[2], 6, "its window is over");
}

proptest! {
    /// For entries in any order, the account balances, and no allotment spends more than its units.
    #[test]
    fn topped_up_is_balance_outstanding_spent_and_in_doubt(
        steps in prop::collection::vec((0u8..7, 1u64..6, 0u64..50, 0u64..50), 0..60),
    ) {
        let mut state = replay(&[top_up("first", 200)]);
        for (n, (kind, allotment, x, y)) in steps.into_iter().enumerate() {
            let name = || "t".to_owned();
            state.apply(&match kind {
                0 => top_up(&format!("{x}"), y),
                1 if !state.accounts["t"].allotments.contains_key(&allotment) => allot(allotment, x),
                2 => report(allotment, n as u64, x, y, false),
                3 => report(allotment, n as u64, x, y, true),
                4 => Entry::MarkInDoubt { account: name(), number: allotment },
                5 => Entry::Settle { account: name(), number: allotment, spent: x },
                _ => Entry::Reclaim { account: name(), number: allotment },
            });
            let account = &state.accounts["t"];
            let sum: i128 = sums(&state).iter().sum();
            prop_assert_eq!(sum, i128::from(account.topped_up));
            let remaining: u64 = account.allotments.values().map(Allotment::remaining).sum();
            prop_assert_eq!(remaining, account.outstanding() + account.in_doubt());
            let snapshot = postcard::to_stdvec(&state).expect("it encodes");
            prop_assert_eq!(LedgerState::from_snapshot(&snapshot), Ok(state.clone()), "sums and holders too");
            prop_assert!(account.allotments.values().all(|p| p.spent + p.returned <= p.units));
        }
    }
}
