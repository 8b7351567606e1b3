//! Verdicts among processes: a failing server is withheld by all nodes; neither one node's reports alone
//! nor a release that breaks all servers condemns any; and a faulty judge withholds no more than the
//! configured part.

use birchswitch_standin::process::{block_on, node_binary};
use birchswitch_standin::rig::history::History;
use birchswitch_standin::rig::load::{Load, NodeLoad, RequestSpec};
use birchswitch_standin::rig::site::{ServerBehavior, Site};
use birchswitch_standin::rig::{limits, LeasePlan, Plan, Rig};
use birchswitch_standin::script::Script;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const SEED: u64 = 1;
const NODES: usize = 6;
const SERVERS: usize = 8;
const HEALTHY: ServerBehavior = ServerBehavior {
    service_time: Duration::from_millis(10),
    error_permille: 0,
    slow_permille: 0,
    reported_load: 0.5,
};
const FAILING: ServerBehavior = ServerBehavior { error_permille: 1000, ..HEALTHY };

struct VerdictRig {
    rig: Rig,
    site: Site,
    _load: Load,
}

fn run_local<T>(test: impl Future<Output = T>) -> T {
    block_on(test).expect("a runtime")
}

/// Starts nodes that get a few requests a second each, with the named safeguards disabled.
async fn start(without: &str, streams: bool) -> VerdictRig {
    let site = Site::start(SERVERS, HEALTHY).await.expect("servers");
    let mut script = Script::parse("0s wire lose 0", 0, NODES).expect("a script");
    script.seed = SEED;
    let operator =
        format!("[verdicts]\nrenew = \"300ms\"\nttl = \"2s\"\ndrill = {{ without = [{without}] }}\n");
    let plan = Plan {
        lease: Some(LeasePlan::new(3)),
        mesh: true,
        streams,
        servers: site.addresses(),
        settings: limits::settings(),
        operator,
        ..Plan::new(node_binary().expect("this program's path"), NODES, script)
    };
    let rig = Rig::start(plan).await.expect("a rig");
    rig.wait_for_agreement(Duration::from_secs(60)).await.expect("one membership");
    let request = RequestSpec { class: "safe".into(), tenant: "one".into(), key: None, cost: None };
    let node_load = || NodeLoad { per_s: Rc::new(Cell::new(15.0)), requests: vec![request.clone()] };
    let load = Load::start((0..NODES).map(|_| node_load()).collect(), rig.client_addresses());
    until(&rig, "a judge", |h| count(h, "judges") > 0).await;
    sleep(Duration::from_secs(2)).await;
    VerdictRig { rig, site, _load: load }
}

async fn until(rig: &Rig, what: &str, holds: impl Fn(&History) -> bool) -> Duration {
    rig.wait_until(what, Duration::from_secs(40), holds, |_| "nothing".to_owned()).await.expect("in time")
}

fn count(history: &History, kind: &str) -> usize {
    history.lines.iter().filter(|l| l.kind == kind).count()
}

/// The number of servers that each node withholds, by its last log line.
fn withheld(history: &History) -> BTreeMap<usize, u64> {
    let lines = history.lines.iter().filter(|l| l.kind == "obeys");
    lines.map(|l| (l.place, l.number("servers"))).collect()
}

/// Each server's share of the requests over some seconds, relative to the mean.
async fn shares(site: &Site, seconds: u64) -> Vec<f64> {
    let before = site.count();
    sleep(Duration::from_secs(seconds)).await;
    let seen = site.received().split_off(before);
    let at = |n| seen.iter().filter(|s| s.server == n).count() as f64;
    (0..SERVERS).map(|n| at(n) / seen.len() as f64 * SERVERS as f64).collect()
}

#[test]
fn a_failing_server_is_withheld_by_all_and_readmitted_gradually() {
    run_local(async {
        let setup = start("", false).await;
        setup.site.set_behavior(0, FAILING);
        let condemned_after = until(&setup.rig, "a verdict", |h| count(h, "condemned") > 0).await;
        let applied_after =
            until(&setup.rig, "application", |h| withheld(h).values().filter(|n| **n > 0).count() == NODES)
                .await;
        let current_shares = shares(&setup.site, 3).await;
        println!("condemned after {condemned_after:?}, applied by all {applied_after:?} later; shares {current_shares:.2?}");
        assert!(current_shares[0] < 0.25, "{current_shares:.2?}");
        assert!(
            setup.site.received().iter().rev().take(600).any(|s| s.server == 0),
            "a trickle of requests remains"
        );
        // The judge dies: another takes over, and meanwhile no node applies an expired verdict.
        let judge =
            setup.rig.history().lines.iter().rev().find(|l| l.kind == "judges").map_or(0, |l| l.place);
        let judges = count(&setup.rig.history(), "judges");
        let mut setup = setup;
        setup.rig.kill(judge).await.expect("killed");
        until(&setup.rig, "another judge", |h| count(h, "judges") > judges).await;
        setup.site.set_behavior(0, HEALTHY);
        until(&setup.rig, "all to use it again", |h| {
            withheld(h).iter().all(|(place, n)| *n == 0 || *place == judge)
        })
        .await;
        setup.rig.close().await.expect("the end");
    });
}

/// One node is cut off from all servers: it alone reports failures.
#[test]
fn failures_seen_by_one_node_condemn_no_server() {
    run_local(async {
        let mut setup = start("", true).await;
        let script = Script::parse("0s wire cut n5 servers\n8s wire heal\n9s wire lose 0", 0, NODES)
            .expect("a script");
        setup.rig.set_script(script);
        setup.rig.play(|_| ()).await.expect("played");
        assert_eq!(count(&setup.rig.history(), "condemned"), 0);
        setup.rig.close().await.expect("the end");
    });
}

#[test]
fn a_release_that_breaks_all_servers_condemns_none() {
    run_local(async {
        let setup = start("", false).await;
        (0..SERVERS)
            .for_each(|n| setup.site.set_behavior(n, ServerBehavior { error_permille: 600, ..HEALTHY }));
        sleep(Duration::from_secs(8)).await;
        assert_eq!(count(&setup.rig.history(), "condemned"), 0);
        setup.rig.close().await.expect("the end");
    });
}

/// A judge condemns every second server: at most a quarter may be withheld; with the ration disabled it is
/// more.
#[test]
fn a_faulty_judge_withholds_no_more_than_the_configured_part() {
    run_local(async {
        for (without, rationed) in [("\"evidence\"", true), ("\"evidence\", \"ration\"", false)] {
            let setup = start(without, false).await;
            until(&setup.rig, "application", |h| withheld(h).values().filter(|n| **n > 0).count() == NODES)
                .await;
            let shares = shares(&setup.site, 4).await;
            let withheld_servers = shares.iter().filter(|s| **s < 0.5).count();
            println!("without {without}: shares {shares:.2?}");
            assert_eq!(withheld_servers <= SERVERS / 4, rationed, "{without}: {shares:.2?}");
            assert!(withheld(&setup.rig.history()).values().all(|n| (*n <= SERVERS as u64 / 4) == rationed));
            setup.rig.close().await.expect("the end");
        }
    });
}
