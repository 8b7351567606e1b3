//! Limits, wallet, verdicts and weights of one fleet at once, a minute of random faults: every bound holds.

use birchswitch_standin::process::{block_on, node_binary};
use birchswitch_standin::rig::common::play;

const SEED: u64 = 5;

#[test]
fn all_that_a_fleet_holds_in_common_holds_through_a_minute_of_random_faults() {
    let binary = node_binary().expect("this program's path");
    let told = |at: u64, script: &str| println!("{at} s: {script}");
    let outcome = block_on(play(8, 1, binary, SEED, told)).expect("a runtime").expect("a rig");
    println!("seed {SEED}: {:?}, over by {:.1}, {:?}", outcome.ended, outcome.rate_excess, outcome.shown);
    assert_eq!(outcome.violations, Vec::<String>::new(), "seed {SEED}");
    let [all, served, ..] = outcome.ended;
    assert!(served * 4 > all, "{served} of {all} served");
}
