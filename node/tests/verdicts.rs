//! Verdicts among processes: a server that fails is withheld by all, one node's word alone and a release that breaks all condemn nobody, and a
//! judge that errs withholds no more than the stated part.

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
const FINE: ServerBehavior = ServerBehavior {
    service_time: Duration::from_millis(10),
    error_permille: 0,
    slow_permille: 0,
    reported_load: 0.5,
};
const BAD: ServerBehavior = ServerBehavior { error_permille: 1000, ..FINE };

struct Court {
    rig: Rig,
    site: Site,
    _load: Load,
}

fn on_a_set<T>(test: impl Future<Output = T>) -> T {
    block_on(test).expect("a runtime")
}

/// Nodes that get a few requests a second each, without one of these safeguards.
async fn open(without: &str, streams: bool) -> Court {
    let site = Site::start(SERVERS, FINE).await.expect("servers");
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
    let order = RequestSpec { class: "safe".into(), tenant: "one".into(), key: None, cost: None };
    let rate = || NodeLoad { per_s: Rc::new(Cell::new(15.0)), requests: vec![order.clone()] };
    let load = Load::start((0..NODES).map(|_| rate()).collect(), rig.client_addresses());
    until(&rig, "a judge", |h| count(h, "judges") > 0).await;
    sleep(Duration::from_secs(2)).await;
    Court { rig, site, _load: load }
}

async fn until(rig: &Rig, what: &str, holds: impl Fn(&History) -> bool) -> Duration {
    rig.wait_until(what, Duration::from_secs(40), holds, |_| "nothing".to_owned()).await.expect("in time")
}

fn count(history: &History, kind: &str) -> usize {
    history.lines.iter().filter(|l| l.kind == kind).count()
}

/// How many servers each node withholds, by its last word on it.
fn withheld(history: &History) -> BTreeMap<usize, u64> {
    let lines = history.lines.iter().filter(|l| l.kind == "obeys");
    lines.map(|l| (l.place, l.number("servers"))).collect()
}

/// Requests at each server over some seconds, beside the mean of all.
async fn shares(site: &Site, seconds: u64) -> Vec<f64> {
    let before = site.count();
    sleep(Duration::from_secs(seconds)).await;
    let seen = site.received().split_off(before);
    let at = |n| seen.iter().filter(|s| s.server == n).count() as f64;
    (0..SERVERS).map(|n| at(n) / seen.len() as f64 * SERVERS as f64).collect()
}

#[test]
fn a_server_that_fails_is_withheld_by_all_and_let_in_again_by_degrees() {
    on_a_set(async {
        let court = open("", false).await;
        court.site.set_behavior(0, BAD);
        let took = until(&court.rig, "a verdict", |h| count(h, "condemned") > 0).await;
        let all =
            until(&court.rig, "all to obey", |h| withheld(h).values().filter(|n| **n > 0).count() == NODES)
                .await;
        let shares_now = shares(&court.site, 3).await;
        println!("condemned after {took:?}, obeyed by all {all:?} later; shares {shares_now:.2?}");
        assert!(shares_now[0] < 0.25, "{shares_now:.2?}");
        assert!(court.site.received().iter().rev().take(600).any(|s| s.server == 0), "a trickle always");
        // Its judge dies: another takes up the matter, and meanwhile nobody obeys what is older than its end.
        let judge =
            court.rig.history().lines.iter().rev().find(|l| l.kind == "judges").map_or(0, |l| l.place);
        let judges = count(&court.rig.history(), "judges");
        let mut court = court;
        court.rig.kill(judge).await.expect("killed");
        until(&court.rig, "another judge", |h| count(h, "judges") > judges).await;
        court.site.set_behavior(0, FINE);
        until(&court.rig, "all to let it in", |h| {
            withheld(h).iter().all(|(place, n)| *n == 0 || *place == judge)
        })
        .await;
        court.rig.close().await.expect("the end");
    });
}

/// One node's road to all servers is cut: it alone says that they fail.
#[test]
fn one_nodes_bad_road_condemns_nobody() {
    on_a_set(async {
        let mut court = open("", true).await;
        let script = Script::parse("0s wire cut n5 servers\n8s wire heal\n9s wire lose 0", 0, NODES)
            .expect("a script");
        court.rig.set_script(script);
        court.rig.play(|_| ()).await.expect("played");
        assert_eq!(count(&court.rig.history(), "condemned"), 0);
        court.rig.close().await.expect("the end");
    });
}

#[test]
fn a_release_that_breaks_all_condemns_nobody() {
    on_a_set(async {
        let court = open("", false).await;
        (0..SERVERS).for_each(|n| court.site.set_behavior(n, ServerBehavior { error_permille: 600, ..FINE }));
        sleep(Duration::from_secs(8)).await;
        assert_eq!(count(&court.rig.history(), "condemned"), 0);
        court.rig.close().await.expect("the end");
    });
}

/// A judge that condemns every second server: a quarter may be withheld, and no more is; without the ration more is.
#[test]
fn a_judge_that_errs_withholds_no_more_than_the_stated_part() {
    on_a_set(async {
        for (without, rationed) in [("\"evidence\"", true), ("\"evidence\", \"ration\"", false)] {
            let court = open(without, false).await;
            until(&court.rig, "all to obey", |h| withheld(h).values().filter(|n| **n > 0).count() == NODES)
                .await;
            let shares = shares(&court.site, 4).await;
            let few = shares.iter().filter(|s| **s < 0.5).count();
            println!("without {without}: shares {shares:.2?}");
            assert_eq!(few <= SERVERS / 4, rationed, "{without}: {shares:.2?}");
            assert!(withheld(&court.rig.history()).values().all(|n| (*n <= SERVERS as u64 / 4) == rationed));
            court.rig.close().await.expect("the end");
        }
    });
}
