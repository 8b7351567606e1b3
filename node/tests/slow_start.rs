//! Slow start with many uncoordinated processes, counted at the servers in every window.
//!
//! The modelled server fails once a window brings it more work than `fall_multiple` times what it can do by
//! then, without any allowance for chance. This is stricter than the specified bound (N calls + 2√N + 2,
//! and under 30 calls 3√N + 3).

use birchswitch_standin::fleet::{play, Plan};
use birchswitch_standin::process::node_binary;
use birchswitch_standin::script::Script;
use birchswitch_standin::site::Site;
use std::time::Duration;

const NODES: usize = 30;

/// Thirty processes start together; two of eight servers die at once and restart cold under a load that the
/// others can hardly carry. None may be overloaded.
async fn expect_no_overload(site: Site, work: f64, seed: u64) {
    let text = format!("seed {seed}\n100ms s0-s1 die\n1s s0-s1 start\n");
    let plan = Plan {
        binary: node_binary().expect("this program's path"),
        nodes: NODES,
        servers: 8,
        cores: 2,
        work,
        load: 0.7,
        length: Duration::from_secs(8),
        warm_up: Duration::from_secs(10),
        // On a machine busy with other tests answers are late without any fault of the nodes.
        slack: Duration::from_secs(5),
        site,
        script: Script::parse(&text, 8, NODES).expect("a script"),
    };
    let results =
        tokio::task::LocalSet::new().run_until(play(plan, |_| {})).await.expect("a fleet that runs");
    println!("seed {seed}: {results}");
    let fallen: Vec<_> = results.servers.iter().map(|s| s.fallen).collect();
    assert_eq!(fallen, [0; 8], "{}, seed {seed}: overloaded while cold", site.name());
    let starts: Vec<_> = results.servers.iter().map(|s| s.starts).collect();
    assert_eq!(starts, [2, 2, 1, 1, 1, 1, 1, 1], "both restarted");
    let cold_runs: Vec<_> = results.servers.iter().take(2).map(|s| s.runs).collect();
    assert!(cold_runs.iter().all(|runs| *runs > 0), "they get requests: {cold_runs:?}");
}

#[tokio::test]
async fn thirty_processes_overload_no_cold_server() {
    expect_no_overload(Site::Shop, 0.020, 31).await;
}

#[tokio::test]
async fn thirty_processes_with_little_load_information_overload_no_cold_server() {
    expect_no_overload(Site::Clinic, 0.020, 32).await;
}

/// Few calls fit into a window, so chance weighs more.
#[tokio::test]
async fn thirty_processes_with_heavy_requests_overload_no_cold_server() {
    expect_no_overload(Site::Shop, 0.080, 33).await;
}
