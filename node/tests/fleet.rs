//! Nodes inside a modelled fleet with faults: the guarantees hold at all times.

use birchswitch_standin::fleet::{play, Plan};
use birchswitch_standin::process::node_binary;
use birchswitch_standin::results::Results;
use birchswitch_standin::script::Script;
use birchswitch_standin::site::Site;
use std::time::Duration;

/// Plays a script of faults on a site, checks the guarantees against the recorded results, and returns
/// these.
async fn play_and_check(site: Site, text: &str) -> Results {
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
        // On a machine busy with other tests answers are late without any fault of the node.
        slack: Duration::from_secs(5),
        site,
        script,
    };
    let results =
        tokio::task::LocalSet::new().run_until(play(plan, |_| {})).await.expect("a fleet that runs");
    println!("{results}");
    assert_eq!(results.violations(), Vec::<String>::new());
    assert!(results.classes.iter().all(|c| !c.latencies.is_empty()), "every class was served");
    results
}

/// Servers freeze, slow down, die, restart cold and are replaced under load, the registry goes silent, a
/// node restarts: each order still gets one answer, no unsafe order runs twice, and no cold server is
/// overloaded.
const FAULTS: &str = "
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
async fn the_guarantees_hold_under_faults() {
    let results = play_and_check(Site::Shop, FAULTS).await;
    let starts: Vec<u32> = results.servers.iter().map(|s| s.starts).collect();
    assert_eq!(starts, [1, 1, 2, 1, 2, 2, 1, 1], "the faults of the script took place");
}

/// The same on a site without hints and probes, where the node requests the lists and tenants have quotas.
#[tokio::test]
async fn the_guarantees_hold_with_little_load_information() {
    let results = play_and_check(Site::Clinic, FAULTS).await;
    assert_eq!(results.servers.iter().map(|s| s.probes).sum::<u64>(), 0, "the site allows no probes");
}

/// Half of the servers freeze for a moment: after that no request is refused because they were full.
#[tokio::test]
async fn servers_that_were_full_once_are_used_again() {
    let text = "
        seed 21
        1s      s0-s3    freeze 1500ms
    ";
    let results = play_and_check(Site::Clinic, text).await;
    let (asked, refused) = results.classes.iter().fold((0, 0), |sum, c| (sum.0 + c.asked, sum.1 + c.refused));
    assert!(refused < asked / 4, "{refused} of {asked} refused");
}
