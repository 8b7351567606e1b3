//! Slow start among many processes that know nothing of each other: counted at the servers, in every window.
//!
//! The modelled server falls once a window brings it more work than `fall_multiple` times what it can do by then, without
//! any room for chance: that is less than the terms allow (N calls + 2√N + 2, and under 30 calls 3√N + 3).

use birchswitch_standin::fleet::{play, Plan};
use birchswitch_standin::process::node_binary;
use birchswitch_standin::script::Script;
use birchswitch_standin::site::Site;
use std::time::Duration;

const NODES: usize = 30;

/// Thirty processes start together; two of eight servers die at once and are back cold under a load that the others can
/// hardly bear. None is pushed over.
async fn nobody_is_pushed_over(site: Site, work: f64, seed: u64) {
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
        // A machine that is busy with other tests answers late without any fault of the nodes'.
        slack: Duration::from_secs(5),
        site,
        script: Script::parse(&text, 8, NODES).expect("a script"),
    };
    let book = tokio::task::LocalSet::new().run_until(play(plan, |_| {})).await.expect("a fleet that runs");
    println!("seed {seed}: {book}");
    let fallen: Vec<_> = book.servers.iter().map(|s| s.fallen).collect();
    assert_eq!(fallen, [0; 8], "{}, seed {seed}: pushed over while cold", site.name());
    let starts: Vec<_> = book.servers.iter().map(|s| s.starts).collect();
    assert_eq!(starts, [2, 2, 1, 1, 1, 1, 1, 1], "both came back");
    let cold_runs: Vec<_> = book.servers.iter().take(2).map(|s| s.runs).collect();
    assert!(cold_runs.iter().all(|runs| *runs > 0), "they are used: {cold_runs:?}");
}

#[tokio::test]
async fn thirty_processes_push_no_cold_server_over() {
    nobody_is_pushed_over(Site::Shop, 0.020, 31).await;
}

#[tokio::test]
async fn thirty_processes_that_are_told_little_push_no_cold_server_over() {
    nobody_is_pushed_over(Site::Clinic, 0.020, 32).await;
}

/// Few calls fit into a window: chance weighs more.
#[tokio::test]
async fn thirty_processes_with_heavy_requests_push_no_cold_server_over() {
    nobody_is_pushed_over(Site::Shop, 0.080, 33).await;
}
