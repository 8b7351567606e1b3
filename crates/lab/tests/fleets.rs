//! Whole fleets with prices: nodes with tens of requests per second each, killed and restarted, zones cut off, answers
//! lost. Sizes are small enough for unoptimized builds; load, traffic per node and prices match a real fleet.

use birchswitch_lab::policy::Peer;
use birchswitch_lab::scenario::{Scenario, Size};
use birchswitch_lab::stats::RunStats;
use birchswitch_lab::world;

const SMALL: Size = Size { nodes: 40, servers: 30 };

fn play(scenario: &Scenario, seed: u64, peer: Peer) -> RunStats {
    world::run(scenario, SMALL, seed, peer).expect("valid settings")
}

/// Nodes that sent five probes per request kept all rules and half of the worth: the price of probes counts.
#[test]
fn fleets_violate_no_rule_and_beat_the_aperture() {
    for name in ["fleet-calm", "fleet-roll", "fleet-herd", "fleet-zone", "fleet-split", "fleet-join"] {
        let scenario = Scenario::standard(name).expect("a standard scenario");
        let own = play(&scenario, 1, Peer::Own);
        assert_eq!(own.violations.total(), 0, "{name}: {:?}", own.violations);
        assert!(
            own.peak_cold_load < 0.7,
            "{name}: {} of the collapse limit of a cold server",
            own.peak_cold_load
        );
        let (net, peer) =
            (own.net_worth(&scenario.prices), play(&scenario, 1, Peer::Aperture).net_worth(&scenario.prices));
        assert!(net > peer + 0.03, "{name}: {net:.3} for {peer:.3}");
    }
}

/// Nodes send fewer probes as the price rises, and the worth less all prices falls by less than the former number of
/// probes would have cost.
#[test]
fn a_fleet_sends_fewer_probes_as_their_price_rises() {
    let mut scenario = Scenario::standard("fleet-calm").expect("a standard scenario");
    scenario.seconds = 10.0;
    let mut before: Option<f64> = None;
    for price in [0.0, 0.002, 0.08, 10.0] {
        scenario.prices.probe = price;
        let stats = play(&scenario, 1, Peer::Own);
        assert_eq!(stats.violations.total(), 0, "at {price}: {:?}", stats.violations);
        let probes = stats.probes as f64 / stats.first_tries as f64;
        assert!(before.is_none_or(|b| probes <= b), "{probes} at {price}, {before:?} before");
        assert!(stats.worth_kept() > 0.6, "{} kept at {price}", stats.worth_kept());
        before = Some(probes);
    }
    assert_eq!(before, Some(0.0));
}

/// All nodes restart without state at the same moment, during a release.
#[test]
fn restarted_nodes_without_state_make_no_server_collapse() {
    let mut scenario = Scenario::standard("fleet-roll").expect("a standard scenario");
    scenario.seconds = 12.0;
    scenario.fault.truncate(1);
    let all = "what = \"\"\n[[fault]]\nat = 7.0\nkind = \"restart\"\npart = 1.0\nbatch = 1.0\ndown = 0.2";
    scenario.fault.extend(Scenario::parse(all).expect("a valid scenario").fault);
    for seed in 1..=6 {
        let stats = play(&scenario, seed, Peer::Own);
        assert_eq!(stats.violations.total(), 0, "seed {seed}: {:?}", stats.violations);
        assert!(
            stats.peak_cold_load < 0.7,
            "seed {seed}: {} of the collapse limit of a cold server",
            stats.peak_cold_load
        );
    }
}

#[test]
fn runs_with_killed_nodes_are_reproducible() {
    let scenario = Scenario::standard("fleet-herd").expect("a standard scenario");
    let (a, b) = (play(&scenario, 5, Peer::Own), play(&scenario, 5, Peer::Own));
    assert_eq!(a, b);
    assert!(a.handshakes > 0 && a.lists > 0);
}
