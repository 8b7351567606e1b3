//! Fleet-wide verdicts, weights and limits: their gain, and that healthy servers are not ejected.

use birchswitch_lab::fleet_limit::{self, Fault, LimitSetup, Scheme};
use birchswitch_lab::policy::Peer;
use birchswitch_lab::scenario::{Scenario, Size};
use birchswitch_lab::stats::RunStats;
use birchswitch_lab::world;

const SIZE: Size = Size { nodes: 100, servers: 32 };

/// Mean worth kept over four seeds, and the statistics of all runs.
fn play(name: &str, size: Size, peer: Peer, change: fn(&mut Scenario)) -> (f64, Vec<RunStats>) {
    let mut scenario = Scenario::standard(name).expect("a standard scenario");
    change(&mut scenario);
    let run = |seed| {
        let stats = world::run(&scenario, size, seed, peer).expect("valid settings");
        assert_eq!(stats.violations.total(), 0, "{name}, seed {seed}: {:?}", stats.violations);
        stats
    };
    let runs: Vec<RunStats> = (1..=4).map(run).collect();
    (runs.iter().map(RunStats::worth_kept).sum::<f64>() / runs.len() as f64, runs)
}

fn with_verdicts(scenario: &mut Scenario) {
    (scenario.network.halls, scenario.nodes.verdicts) = (1, true);
}

/// A tenth of the servers fails everything immediately. Fails if the detector restores a server merely because it saw
/// no failures for a while, or if an ejected server is still drawn as a probing candidate.
#[test]
fn verdicts_recover_the_worth_lost_to_fast_failures() {
    let (alone, _) = play("failers", SIZE, Peer::Own, |s| s.network.halls = 1);
    let (with, runs) = play("failers", SIZE, Peer::Own, with_verdicts);
    let (oracle, _) = play("failers", SIZE, Peer::Oracle, |s| s.network.halls = 1);
    let part = (with - alone) / (oracle - alone);
    assert!(part > 0.5, "{alone:.3} alone, {with:.3} with verdicts, {oracle:.3} the oracle: {part:.2}");
    assert!(runs.iter().all(|b| b.ejected > 0 && b.wrongly_ejected == 0), "healthy servers were ejected");
}

/// Without faults no server is ejected, even if messages are lost.
#[test]
fn healthy_servers_are_not_ejected() {
    for name in ["quiet", "lossy-hour"] {
        let (_, runs) = play(name, Size { nodes: 20, servers: 12 }, Peer::Own, |s| {
            with_verdicts(s);
            (s.seconds, s.nodes.unheard) = (s.seconds.min(120.0), 0.1);
        });
        assert!(runs.iter().all(|b| b.ejected == 0), "{name}");
    }
}

/// A third of the servers runs at half the speed of the others: weights lower tail latency.
#[test]
fn weights_lower_the_tail_of_servers_of_two_speeds() {
    let size = Size { nodes: 20, servers: 12 };
    let tail = |runs: &[RunStats]| runs.iter().map(|b| b.quantile(0.99)).sum::<f64>() / runs.len() as f64;
    let (_, plain) = play("mix-speeds", size, Peer::Own, |_| ());
    let (_, tuned) = play("mix-speeds", size, Peer::Own, |s| s.nodes.tuned = true);
    let (plain, tuned) = (tail(&plain), tail(&tuned));
    assert!(tuned < 0.95 * plain, "p99 {plain:.3} s, {tuned:.3} s with weights");
}

/// A limit by grants is never exceeded, during cuts and deaths too, and leaves little unused where a fixed share per
/// node leaves most.
#[test]
fn grants_hold_a_limit_and_use_more_of_it_than_fixed_shares() {
    let setup = LimitSetup { nodes: 24, demand: 2.0, one_way_s: 0.0005 };
    for fault in [Fault::None, Fault::Cut, Fault::Death] {
        let grants = fleet_limit::play(setup, Scheme::Grants, fault, 1);
        let even = fleet_limit::play(setup, Scheme::Even, fault, 1);
        assert!(grants.excess <= 0.0, "{fault:?}: {grants:?}");
        assert!(
            grants.settled_use > 0.75 && grants.settled_use > 2.0 * even.settled_use,
            "{fault:?}: {grants:?} {even:?}"
        );
    }
}
