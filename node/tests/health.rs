//! One node of a zone asks silent servers for all, among processes: one at any time, another when it dies, and what the others make of
//! its word.

use birchswitch_standin::process::{block_on, node_binary};
use birchswitch_standin::rig::history::History;
use birchswitch_standin::rig::leases::concurrent_holders;
use birchswitch_standin::rig::{LeasePlan, Plan, Rig};
use birchswitch_standin::script::Script;
use birchswitch_standin::scripted::{call, settings, unique_address, within, Connection};
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

const SEED: u64 = 1;
const NODES: usize = 4;

/// A server that answers whatever comes, and counts connections.
fn serve(listener: TcpListener) -> Rc<Cell<usize>> {
    let connections = Rc::new(Cell::new(0));
    let count = connections.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            spawn_local(async move {
                let mut wire = Connection::new(stream);
                while wire.read().await.is_some() {
                    wire.answer("200 OK", "", "{\"outstanding\":0,\"utilization\":0.1}").await;
                }
            });
        }
    });
    connections
}

async fn bound(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).await.expect("an address of its own")
}

/// Orders at each of these nodes until that holds.
async fn order_until(rig: &Rig, nodes: &[usize], what: &str, holds: impl Fn(&History) -> bool) {
    let mut clients = Vec::new();
    for n in nodes {
        clients.push(Connection::connect(rig.listen(*n).expect("it runs")).await);
    }
    within(what, async {
        while !holds(&rig.history()) {
            for client in &mut clients {
                let status = client.round_trip("safe").await.expect("an answer").status();
                assert!(status == 200 || status == 503, "{status}");
            }
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

async fn until(rig: &Rig, what: &str, holds: impl Fn(&History) -> bool) {
    rig.wait_until(what, Duration::from_secs(30), holds, |_| "nothing".to_owned()).await.expect("in time");
}

/// Places that began the task, in order.
fn begun(history: &History) -> Vec<usize> {
    let lines = history.lines.iter().filter(|l| l.kind == "task_begun" && l.text("lease") == "health/z0/0");
    lines.map(|l| l.place).collect()
}

/// How many servers were told of as silent, last.
fn silent(history: &History) -> u64 {
    history.lines.iter().rev().find(|l| l.kind == "silent").map_or(0, |l| l.number("servers"))
}

/// What was written of tasks and their leases, to find out by.
fn told(history: &History) -> Vec<String> {
    let of_it =
        history.lines.iter().filter(|l| l.text("lease").starts_with("health/") && l.kind != "extended");
    of_it.map(|l| format!("n{} {} at {} s", l.place, l.kind, l.at / 1_000_000_000)).collect()
}

async fn spared(rig: &Rig, node: usize) -> u64 {
    let figures = call(rig.ops_address(node).expect("it runs"), "METRICS").await;
    let line = figures.lines().find(|l| l.starts_with("app_probes_spared ")).expect("the figure");
    line.rsplit(' ').next().and_then(|n| n.parse().ok()).expect("a number")
}

#[test]
fn one_node_asks_silent_servers_for_all_and_another_after_it() {
    block_on(async {
        let up = bound(unique_address()).await;
        let down = bound(unique_address()).await.local_addr().expect("an address");
        let servers = vec![up.local_addr().expect("an address"), down];
        serve(up);
        let mut site = settings();
        site["report"] = json!({"how": "pull", "fields": ["outstanding", "utilization"]});
        let lease = LeasePlan::new(3);
        let mut script = Script::parse("", 0, NODES).expect("a script");
        script.seed = SEED;
        let plan = Plan::new(node_binary().expect("this program's path"), NODES, script);
        let operator = "[health]\nleast = \"500ms\"\nmost = \"500ms\"\n".to_owned();
        let plan = Plan { servers, settings: site, operator, lease: Some(lease.clone()), ..plan };
        let mut rig = Rig::start(plan).await.expect("a rig");
        rig.wait_for_agreement(Duration::from_secs(60)).await.expect("one membership");
        until(&rig, "one that asks", |h| !begun(h).is_empty()).await;
        let first = begun(&rig.history())[0];
        let all: Vec<usize> = (0..NODES).collect();

        order_until(&rig, &all, "a server to be told of", |h| silent(h) == 1).await;
        let other = *all.iter().find(|n| **n != first).expect("another");
        within("a question to be spared", async {
            let mut client = Connection::connect(rig.listen(other).expect("it runs")).await;
            while spared(&rig, other).await == 0 {
                client.round_trip("safe").await.expect("an answer");
            }
        })
        .await;

        // Back at its address: who asks says so, and each of the others looks for itself without being asked for anything.
        let connections = serve(bound(down).await);
        until(&rig, "its return to be told of", |h| silent(h) == 0).await;
        within("others to look for themselves", async {
            while connections.get() < 2 {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;

        // Whoever asks dies; another does within the lease and the time in which its death is known.
        rig.kill(first).await.expect("killed");
        until(&rig, "another that asks", |h| begun(h).iter().any(|p| *p != first)).await;
        let history = rig.history();
        assert_eq!(concurrent_holders(&history, &lease, "health/"), Vec::<String>::new());
        rig.close().await.expect("they end");
    })
    .expect("a runtime");
}

/// The node that has a task ends it at SIGTERM and gives it back: the next begins before the lease would have run out by itself.
#[test]
fn a_task_is_handed_on_when_its_node_leaves() {
    block_on(async {
        let lease = LeasePlan { lines: "ttl = \"10s\"\nround = \"200ms\"".to_owned(), ..LeasePlan::new(3) };
        let mut script = Script::parse("", 0, NODES).expect("a script");
        script.seed = SEED;
        let plan = Plan::new(node_binary().expect("this program's path"), NODES, script);
        let plan = Plan { operator: "[health]\n".to_owned(), lease: Some(lease.clone()), ..plan };
        let mut rig = Rig::start(plan).await.expect("a rig");
        rig.wait_for_agreement(Duration::from_secs(60)).await.expect("one membership");
        until(&rig, "one that has it", |h| !begun(h).is_empty()).await;
        let first = begun(&rig.history())[0];
        rig.stop(first).await.expect("it ends in order");
        until(&rig, "the next", |h| begun(h).len() > 1).await;
        let history = rig.history();
        let at = |kind, place| {
            history
                .lines
                .iter()
                .find(|l| l.kind == kind && l.place == place)
                .map(|l| l.at)
                .unwrap_or_else(|| panic!("n{place} wrote no {kind}: {:?}", told(&history)))
        };
        let (ended, began) = (at("task_ended", first), at("task_begun", begun(&history)[1]));
        assert!(ended < began, "ended before the next begins");
        // A lease that nobody gives back lives for two thirds of its time at least.
        assert!(Duration::from_nanos(began - ended) < Duration::from_secs(5), "{} ns", began - ended);
        assert_eq!(concurrent_holders(&history, &lease, "health/"), Vec::<String>::new());
        rig.close().await.expect("they end");
    })
    .expect("a runtime");
}
