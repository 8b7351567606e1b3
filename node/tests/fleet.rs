//! The node inside a modelled fleet in which things go wrong: the rules hold whatever the moment.

use birchswitch_standin::fleet::{play, Plan};
use birchswitch_standin::process::node_binary;
use birchswitch_standin::results::Results;
use birchswitch_standin::script::Script;
use birchswitch_standin::site::Site;
use std::time::Duration;

/// Plays a script of faults on a site, holds the rules against its books, and returns these.
async fn unbroken(site: Site, text: &str) -> Results {
    let script = Script::parse(text, 8, 2).expect("a script");
    println!("{}: {script}", site.name());
    let plan = Plan {
        binary: node_binary().expect("this program's path"),
        nodes: 2,
        servers: 8,
        cores: 2,
        work: 0.020,
        load: 0.4,
        length: Duration::from_secs(5),
        warm_up: Duration::from_secs(2),
        // A machine that is busy with other tests answers late without any fault of the node's.
        slack: Duration::from_secs(5),
        site,
        script,
    };
    let book = tokio::task::LocalSet::new().run_until(play(plan, |_| {})).await.expect("a fleet that runs");
    println!("{book}");
    assert_eq!(book.violations(), Vec::<String>::new());
    assert!(book.classes.iter().all(|c| !c.latencies.is_empty()), "every class was served");
    book
}

/// Servers freeze, slow down, die, restart cold and are replaced under load, the registry falls silent, a node restarts:
/// each order still gets one answer, none that may not runs twice, nobody cold is pushed over.
const BREAKS: &str = "
    seed 20
    500ms   s1       freeze 1200ms
    1s      s2       die
    1500ms  s4-s5    deploy drain 300ms every 500ms
    2s      registry silent 1s
    2500ms  any      slow 0.3 for 1s
    2800ms  s2       start
    3500ms  n0       restart
";

#[tokio::test]
async fn the_rules_hold_while_a_fleet_breaks() {
    let book = unbroken(Site::Shop, BREAKS).await;
    let starts: Vec<u32> = book.servers.iter().map(|s| s.starts).collect();
    assert_eq!(starts, [1, 1, 2, 1, 2, 2, 1, 1], "what the script does was done");
}

/// The same on a site without hints and probes, whose lists are asked for and whose tenants have quotas.
#[tokio::test]
async fn the_rules_hold_where_nodes_are_told_little() {
    let book = unbroken(Site::Clinic, BREAKS).await;
    assert_eq!(book.servers.iter().map(|s| s.probes).sum::<u64>(), 0, "it allows no probes");
}

/// Half of the servers stand still for a moment: once they are back nothing is refused for it.
#[tokio::test]
async fn servers_that_were_full_once_are_not_taken_for_full_for_ever() {
    let text = "
        seed 21
        1s      s0-s3    freeze 1500ms
    ";
    let book = unbroken(Site::Clinic, text).await;
    let (asked, refused) = book.classes.iter().fold((0, 0), |sum, c| (sum.0 + c.asked, sum.1 + c.refused));
    assert!(refused < asked / 4, "{refused} of {asked} refused");
}
