//! Runs limits, wallet, verdicts and tuned weights together on one fleet through a minute of random faults
//! and checks every guarantee.

use birchswitch_standin::process::{block_on, node_binary};
use birchswitch_standin::rig::common::play;

const SEED: u64 = 5;

#[test]
fn fleet_wide_guarantees_hold_through_a_minute_of_random_faults() {
    let binary = node_binary().expect("this program's path");
    let log_fault = |at: u64, script: &str| println!("{at} s: {script}");
    let outcome = block_on(play(8, 1, binary, SEED, log_fault)).expect("a runtime").expect("a rig");
    println!("seed {SEED}: {:?}, over by {:.1}, {:?}", outcome.ended, outcome.rate_excess, outcome.shown);
    assert_eq!(outcome.violations, Vec::<String>::new(), "seed {SEED}");
    let [total, served, ..] = outcome.ended;
    assert!(served * 4 > total, "{served} of {total} served");
}
