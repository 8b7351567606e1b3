//! Leases among processes: no two act at once, whatever fails; what breaks without a safeguard is found; commands run under a lease.

use birchswitch_standin::process::node_binary;
use birchswitch_standin::rig::leases::{play, Case, Outcome, CASES, SOUND};
use std::future::Future;
use std::time::Duration;
use tokio::task::LocalSet;

const SEED: u64 = 1;

fn on_a_set<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

fn outcome(case: &Case, seed: u64) -> Outcome {
    let played = on_a_set(play(case, node_binary().expect("this program's path"), seed));
    played.unwrap_or_else(|error| panic!("{}, seed {seed}: {error}", case.name))
}

fn holds(name: &str) {
    let case = CASES.iter().find(|c| c.name == name).expect("a case");
    let outcome = outcome(case, SEED);
    assert_eq!(outcome.wrong, Vec::<String>::new(), "{name}, seed {SEED}: {}", case.script);
    println!(
        "{name}: {} acts, {} grants, {} lost, gap {:?}",
        outcome.acts.len(),
        outcome.grants,
        outcome.lost,
        outcome.gap
    );
    assert!(outcome.acts.len() > 3, "{name}: {:?}", outcome.acts);
}

#[test]
fn contenders_take_turns() {
    holds("lease-calm");
}

#[test]
fn paused_holders_and_voters_never_make_two() {
    holds("lease-pauses");
}

#[test]
fn deaths_of_holders_voters_and_all_never_make_two() {
    holds("lease-deaths");
}

#[test]
fn loss_delay_and_one_sided_cuts_never_make_two() {
    holds("lease-wire");
}

#[test]
fn clocks_within_the_promised_drift_never_make_two() {
    holds("lease-clocks");
}

/// The first of a few seeds in which something breaks.
fn found(case: &Case, seeds: u64) -> Option<(u64, Vec<String>)> {
    (1..=seeds).map(|seed| (seed, outcome(case, seed).wrong)).find(|(_, wrong)| !wrong.is_empty())
}

/// All voters die and come back at once while the holder lives, again and again: what they forgot they grant a second time.
#[test]
fn voters_that_do_not_abstain_are_found() {
    let script = "1s n0-n4 die\n1s n0-n4 start\n4s n0-n4 die\n4s n0-n4 start\n7s n0-n4 die\n7s n0-n4 start";
    let case = Case { name: "no abstention", script, without: &["abstention"], ..SOUND };
    assert!(found(&case, 4).is_some());
}

/// Two of five voters are enough on either side of a cut.
#[test]
fn votes_of_less_than_a_majority_are_found() {
    let script = "1s wire split n0-n1 n2-n6\n5s wire heal\n6s wire split n0-n1 n2-n6\n9s wire heal";
    let case = Case { name: "no majority", script, without: &["majority"], ..SOUND };
    assert!(found(&case, 4).is_some());
}

#[test]
fn voters_that_keep_to_no_promise_are_found() {
    let case = Case { name: "no promises", script: "6s wire lose 0", without: &["promises"], ..SOUND };
    assert!(found(&case, 2).is_some());
}

/// A holder whose clock is slow by more than was promised, cut off from voters whose clocks are fast by as much, while another waits: there
/// and not within.
#[test]
fn clocks_beyond_the_promised_drift_are_found() {
    let script = "1s wire split n5 n0-n4\n4s wire heal\n4s wire split n6 n0-n4\n7s wire heal\n7s wire split n5 n0-n4\n10s wire heal";
    let case = Case { script, contend: &[5, 6], keeps: Duration::from_secs(60), ..SOUND };
    let rates = &[1.1, 1.1, 1.1, 1.1, 1.1, 0.9, 1.1];
    assert!(found(&Case { name: "10% off", rates, ..case }, 4).is_some());
    let (rates, without) = (&[1.05, 1.05, 1.05, 1.05, 1.05, 0.95, 1.05], &["margin"]);
    assert!(found(&Case { name: "no margin", rates, without, ..case }, 4).is_some());
    let rates = &[1.04, 1.04, 1.04, 1.04, 1.04, 0.96, 1.04];
    assert_eq!(found(&Case { name: "4% off", rates, ..case }, 1), None);
}
