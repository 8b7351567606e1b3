//! The node inside a modelled fleet in which things go wrong: the rules hold whatever the moment.

use birchswitch_standin::fleet::{play, Plan};
use birchswitch_standin::process::node_binary;
use birchswitch_standin::script::Script;
use std::time::Duration;

/// Servers freeze, slow down, die, restart cold and are replaced under load, the registry falls silent, a node restarts:
/// each order still gets one answer, none that may not runs twice, nobody cold is pushed over.
#[tokio::test]
async fn the_rules_hold_while_a_fleet_breaks() {
    let text = "
        seed 20
        500ms   s1       freeze 1200ms
        1s      s2       die
        1500ms  s4-s5    deploy drain 300ms every 500ms
        2s      registry silent 1s
        2500ms  any      slow 0.3 for 1s
        2800ms  s2       start
        3500ms  n0       restart
    ";
    let script = Script::parse(text, 8, 2).expect("a script");
    println!("{script}");
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
        script,
    };
    let book = tokio::task::LocalSet::new().run_until(play(plan, |_| {})).await.expect("a fleet that runs");
    println!("{book}");
    assert_eq!(book.faults(), Vec::<String>::new());
    assert!(book.classes.iter().all(|c| !c.latencies.is_empty()), "every class was served");
    let starts: Vec<u32> = book.servers.iter().map(|s| s.starts).collect();
    assert_eq!(starts, [1, 1, 2, 1, 2, 2, 1, 1], "what the script does was done");
}
