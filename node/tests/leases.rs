//! Leases among processes: no two act at once, whatever fails; what breaks without a safeguard is found; commands run under a lease.

use birchswitch_standin::process::node_binary;
use birchswitch_standin::rig::leases::{play, Case, Outcome, CASES};
use std::future::Future;
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
    println!("{name}: {} acts, {} grants, {} lost, gap {:?}", outcome.acts.len(), outcome.grants, outcome.lost, outcome.gap);
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
