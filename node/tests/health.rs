//! One node of a zone probes silent servers on behalf of all: only one at any time, another after it dies,
//! and the effect of its findings on the other nodes.

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

/// Answers every request on every connection and counts connections.
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

async fn bind(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).await.expect("an address of its own")
}

/// Sends requests to each of these nodes until the condition holds.
async fn send_requests_until(rig: &Rig, nodes: &[usize], what: &str, holds: impl Fn(&History) -> bool) {
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

async fn wait_until(rig: &Rig, what: &str, holds: impl Fn(&History) -> bool) {
    rig.wait_until(what, Duration::from_secs(30), holds, |_| "nothing".to_owned()).await.expect("in time");
}

/// Nodes that began the task, in order.
fn task_holders(history: &History) -> Vec<usize> {
    let lines = history.lines.iter().filter(|l| l.kind == "task_begun" && l.text("lease") == "health/z0/0");
    lines.map(|l| l.place).collect()
}

/// The number of silent servers in the last report.
fn silent_servers(history: &History) -> u64 {
    history.lines.iter().rev().find(|l| l.kind == "silent").map_or(0, |l| l.number("servers"))
}

/// Log lines about the task leases, for failure messages.
fn lease_events(history: &History) -> Vec<String> {
    let events =
        history.lines.iter().filter(|l| l.text("lease").starts_with("health/") && l.kind != "extended");
    events.map(|l| format!("n{} {} at {} s", l.place, l.kind, l.at / 1_000_000_000)).collect()
}

async fn spared_probes(rig: &Rig, node: usize) -> u64 {
    let figures = call(rig.ops_address(node).expect("it runs"), "METRICS").await;
    let line = figures.lines().find(|l| l.starts_with("app_probes_spared ")).expect("the figure");
    line.rsplit(' ').next().and_then(|n| n.parse().ok()).expect("a number")
}

#[test]
fn one_node_probes_silent_servers_for_all_and_another_takes_over() {
    block_on(async {
        let up = bind(unique_address()).await;
        let down = bind(unique_address()).await.local_addr().expect("an address");
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
        wait_until(&rig, "a node that probes", |h| !task_holders(h).is_empty()).await;
        let first = task_holders(&rig.history())[0];
        let all: Vec<usize> = (0..NODES).collect();

        send_requests_until(&rig, &all, "a report of a silent server", |h| silent_servers(h) == 1).await;
        let other = *all.iter().find(|n| **n != first).expect("another");
        within("a spared probe", async {
            let mut client = Connection::connect(rig.listen(other).expect("it runs")).await;
            while spared_probes(&rig, other).await == 0 {
                client.round_trip("safe").await.expect("an answer");
            }
        })
        .await;

        // The server is back at its address: the prober reports it, and each other node
        // probes it itself, without a request having to arrive.
        let connections = serve(bind(down).await);
        wait_until(&rig, "a report of its return", |h| silent_servers(h) == 0).await;
        within("probes by the other nodes", async {
            while connections.get() < 2 {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;

        // The prober dies: another takes over within the lease time plus the time to detect the death.
        rig.kill(first).await.expect("killed");
        wait_until(&rig, "another node that probes", |h| task_holders(h).iter().any(|p| *p != first)).await;
        let history = rig.history();
        assert_eq!(concurrent_holders(&history, &lease, "health/"), Vec::<String>::new());
        rig.close().await.expect("they end");
    })
    .expect("a runtime");
}

/// On SIGTERM the node that holds a task ends it and releases the lease: the next node begins before the
/// lease would have expired.
#[test]
fn a_task_is_handed_over_when_its_node_leaves() {
    block_on(async {
        let lease = LeasePlan { lines: "ttl = \"10s\"\nround = \"200ms\"".to_owned(), ..LeasePlan::new(3) };
        let mut script = Script::parse("", 0, NODES).expect("a script");
        script.seed = SEED;
        let plan = Plan::new(node_binary().expect("this program's path"), NODES, script);
        let plan = Plan { operator: "[health]\n".to_owned(), lease: Some(lease.clone()), ..plan };
        let mut rig = Rig::start(plan).await.expect("a rig");
        rig.wait_for_agreement(Duration::from_secs(60)).await.expect("one membership");
        wait_until(&rig, "a task holder", |h| !task_holders(h).is_empty()).await;
        let first = task_holders(&rig.history())[0];
        rig.stop(first).await.expect("it ends in order");
        wait_until(&rig, "the next task holder", |h| task_holders(h).len() > 1).await;
        let history = rig.history();
        let at = |kind, place| {
            history
                .lines
                .iter()
                .find(|l| l.kind == kind && l.place == place)
                .map(|l| l.at)
                .unwrap_or_else(|| panic!("n{place} wrote no {kind}: {:?}", lease_events(&history)))
        };
        let (ended, began) = (at("task_ended", first), at("task_begun", task_holders(&history)[1]));
        assert!(ended < began, "ended before the next begins");
        // A lease that is not released lasts for at least two thirds of its time.
        assert!(Duration::from_nanos(began - ended) < Duration::from_secs(5), "{} ns", began - ended);
        assert_eq!(concurrent_holders(&history, &lease, "health/"), Vec::<String>::new());
        rig.close().await.expect("they end");
    })
    .expect("a runtime");
}
