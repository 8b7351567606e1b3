//! Membership among node processes: the short cases of the rig, operator calls, datagrams from strangers,
//! and a saturated thread. `birchswitch-standin rig` plays the long cases.

use birchswitch_cluster::wire::{self, Body, Message, Sender, Update};
use birchswitch_cluster::{Generation, MemberId, Record};
use birchswitch_standin::process::{block_on, cpu_time, is_running, node_binary};
use birchswitch_standin::rig::{cases, Plan, Rig};
use birchswitch_standin::script::Script;
use birchswitch_standin::scripted::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

const SEED: u64 = 1;

fn plan(nodes: usize, script: &str) -> Plan {
    let mut script = Script::parse(script, 0, nodes).expect("a script");
    script.seed = SEED;
    Plan::new(node_binary().expect("this program's path"), nodes, script)
}

async fn rig(plan: Plan) -> Rig {
    let rig = Rig::start(plan).await.expect("a rig");
    rig.wait_for_agreement(Duration::from_secs(60)).await.expect("one membership");
    rig
}

fn run_local(test: impl Future<Output = ()>) {
    block_on(test).expect("a runtime");
}

fn expect_case_passes(name: &str) {
    let case = cases::CASES.iter().find(|c| c.name == name).expect("a case");
    run_local(async {
        let outcome = cases::play(case, node_binary().expect("a path"), SEED, |_| ()).await;
        let outcome = outcome.unwrap_or_else(|error| panic!("{name}, seed {SEED}: {error}"));
        assert_eq!(outcome.violations, Vec::<String>::new(), "{name}, seed {SEED}, {}", case.script);
    });
}

#[test]
fn a_killed_node_is_declared_dead_and_rejoins_under_its_name() {
    expect_case_passes("kill");
}

#[test]
fn pauses_of_2_s_are_tolerated() {
    expect_case_passes("pause-2s");
}

#[test]
fn an_isolated_node_reports_it_and_declares_nobody_dead() {
    expect_case_passes("deaf");
}

#[test]
fn of_two_nodes_with_one_name_one_yields_without_flapping() {
    expect_case_passes("twins");
}

#[test]
fn a_stale_death_report_does_not_affect_a_new_process() {
    expect_case_passes("quick-restart");
}

#[test]
fn nodes_that_stutter_are_not_declared_dead() {
    expect_case_passes("stutter-short");
}

/// Holds for stopped processes too, and when the owner of the rig panics.
#[test]
fn nothing_is_left_running_after_a_panic() {
    run_local(async {
        let (send_pids, pids) = tokio::sync::oneshot::channel();
        let panics = tokio::task::spawn_local(async move {
            let mut rig = rig(plan(3, "0s n1 pause 60s")).await;
            let pids: Vec<_> = rig.places().into_iter().filter_map(|p| rig.pid(p)).collect();
            send_pids.send(pids).expect("the receiver waits");
            let _ = timeout(Duration::from_millis(200), rig.play(|_| ())).await;
            panic!("on purpose");
        });
        let pids = pids.await.expect("pids");
        assert_eq!(pids.len(), 3);
        assert!(panics.await.is_err());
        within("all processes to end", async {
            while pids.iter().any(|p| is_running(*p)) {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
    });
}

fn line<'a>(text: &'a str, start: &str) -> &'a str {
    text.lines().find(|l| l.starts_with(start)).unwrap_or_else(|| panic!("no {start:?} in {text}"))
}

/// A list revision that discovery sent to one node is seen by all; a node cut off from discovery lags until
/// the cut heals.
#[test]
fn operators_see_members_their_lists_and_departures() {
    run_local(async {
        let mut rig = rig(Plan { streams: true, ..plan(3, "0s wire cut discovery n2") }).await;
        let [n0, n2] = [0, 2].map(|n| rig.ops_address(n).expect("it runs"));
        let list = |text: &str, name: &str| {
            let line = line(text, &format!("{name} "));
            line.rsplit(' ').next().unwrap_or_default().to_owned()
        };
        let wait_for_list = |revision: &'static str, of: &'static str| async move {
            for _ in 0..400 {
                let text = call(n0, "MEMBERS").await;
                if list(&text, of) == revision {
                    return text;
                }
                sleep(Duration::from_millis(100)).await;
            }
            panic!("no {revision} of {of}: {}", call(n0, "MEMBERS").await);
        };
        // The list of twenty servers is the registry's 21st revision.
        wait_for_list("21", "n2").await;
        // Agreement follows shortly after all members are known.
        let text = within("an agreed number of members", async {
            loop {
                let text = call(n0, "MEMBERS").await;
                if text.contains("# 3 of 3 members") {
                    return text;
                }
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
        assert!(line(&text, "# 3 of 3 members").contains("majority, health 0"), "{text}");
        assert!(line(&text, "n0 own ").contains(" z0 "), "{text}");
        line(&text, "n1 alive ");
        rig.play(|_| ()).await.expect("the script");
        rig.announce(0, "leaving");
        wait_for_list("22", "n0").await;
        wait_for_list("22", "n1").await;
        assert_eq!(list(&call(n2, "MEMBERS").await, "n2"), "21");
        rig.heal();
        wait_for_list("22", "n2").await;

        let figures = call(n0, "METRICS").await;
        line(&figures, "app_members{state=\"alive\"} 2");
        line(&figures, "app_cluster_dropped 0");
        assert!(call(n2, "LEAVE").await.starts_with("SUCCESS "));
        assert!(call(n2, "LEAVE").await.starts_with("FAILURE "), "it is no longer a member");
        rig.wait_until(
            "reports of the departure",
            Duration::from_secs(20),
            |h| [0, 1].iter().all(|n| h.lines.iter().any(|l| l.place == *n && l.kind == "left")),
            |h| format!("{:?}", h.lines.last()),
        )
        .await
        .expect("both logged it");
        assert_eq!(rig.history().lines.iter().filter(|l| l.kind == "suspected").count(), 0);
        let text = call(n0, "MEMBERS").await;
        line(&text, "n2 left ");
        assert!(line(&text, "# 2 of ").contains("majority"), "{text}");
    });
}

/// Requests saturate the node's one thread, on which membership runs too.
#[test]
fn a_node_at_full_load_is_not_declared_dead() {
    run_local(async {
        let rig = rig(plan(4, "")).await;
        let (address, pid) = (rig.listen(0).expect("it runs"), rig.pid(0).expect("it runs"));
        let before = cpu_time(pid);
        let mut clients = tokio::task::JoinSet::new();
        for _ in 0..32 {
            clients.spawn_local(async move {
                let mut client = Connection::connect(address).await;
                loop {
                    client.write(&"GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n".repeat(32)).await;
                    for _ in 0..32 {
                        client.read().await.expect("an answer");
                    }
                }
            });
        }
        within("two seconds of CPU time", async {
            while cpu_time(pid) < before + Duration::from_secs(2) {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
        clients.shutdown().await;
        rig.wait_for_agreement(Duration::from_secs(20)).await.expect("one membership");
        let history = rig.close().await.expect("all end well");
        let verdicts: Vec<_> = history.lines.iter().filter(|l| l.kind == "verdict").collect();
        assert!(verdicts.is_empty(), "{verdicts:?}");
    });
}

/// A join from an unknown member; `padding` bytes lengthen the datagram.
fn join(cluster: &str, from: SocketAddr, padding: usize) -> Vec<u8> {
    let generation = Generation { started: 1, draw: 1 };
    let record = Record {
        name: "stranger".into(),
        address: from,
        zone: "z".into(),
        program: "0".into(),
        generation,
        incarnation: 1,
        values: Vec::new(),
        tail: Vec::new(),
    };
    let sender = Sender { id: MemberId::of("stranger"), generation, incarnation: 1 };
    let body = Body::Join { padding: vec![0; padding] };
    wire::encode(cluster, &Message { sender, body, updates: vec![Update::Alive(record).encode()] })
}

/// Invalid datagrams are counted and dropped while requests are still served, and answers are never larger
/// than the datagrams that caused them.
#[test]
fn strangers_neither_stop_a_node_nor_get_amplified_answers() {
    run_local(async {
        let rig = rig(plan(3, "")).await;
        let (node, operators) = (rig.wire().real(0).expect("it runs"), rig.ops_address(0).expect("it runs"));
        let mut client = Connection::connect(rig.listen(0).expect("it runs")).await;
        let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(SEED);
        // The member that it names is probed from then on; the sender gets an answer.
        let elsewhere = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let valid = join("rig", elsewhere.local_addr().expect("an address"), 200);
        let mut invalid = vec![Vec::new(), vec![0; 65_000], join("other", node, 0)];
        invalid.extend((0..valid.len()).map(|n| valid[..n].to_vec()));
        invalid.extend((0..200).map(|n| {
            let mut bytes = vec![0; n * 7];
            rng.fill_bytes(&mut bytes);
            bytes
        }));
        let dropped = || async {
            let figures = call(operators, "METRICS").await;
            let line = line(&figures, "app_cluster_dropped ").rsplit(' ').next().unwrap_or_default();
            line.parse::<usize>().expect("a number")
        };
        for bytes in &invalid {
            stranger.send_to(bytes, node).await.expect("sent");
        }
        within("all to be counted", async {
            while dropped().await < invalid.len() {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
        let mut buffer = vec![0; 65_536];
        assert!(stranger.try_recv(&mut buffer).is_err(), "an invalid datagram was answered");

        // 50,000 as fast as possible, valid ones among them, while requests are served.
        let before = dropped().await;
        for n in 0..50_000 {
            let bytes = if n % 100 == 0 { &valid } else { &invalid[3 + n % 40] };
            // Sending may fail on a full socket queue.
            let _ = stranger.send_to(bytes, node).await;
            if n % 5_000 == 0 {
                assert_eq!(
                    client.round_trip("unsafe").await.expect("an answer").status(),
                    503,
                    "no server is listed"
                );
            }
        }
        assert_eq!(client.round_trip("unsafe").await.expect("an answer").status(), 503);
        assert!(dropped().await > before);
        let mut answered = 0;
        while let Ok(Ok(length)) = timeout(Duration::from_millis(500), stranger.recv(&mut buffer)).await {
            assert!(length <= valid.len(), "{length} bytes for {}", valid.len());
            answered += 1;
        }
        assert!((1..=500).contains(&answered), "{answered} answers for 500 questions");
        let history = rig.history();
        let verdicts = history.lines.iter().filter(|l| l.kind == "verdict" && l.text("member") != "stranger");
        assert_eq!(verdicts.count(), 0);
        assert!(is_running(rig.pid(0).expect("it runs")));
    });
}

/// A one-way cut after the request delays the answer until the cut heals.
#[test]
fn a_one_way_cut_delays_answers() {
    run_local(async {
        let server = Peer::new().await;
        let servers = vec![server.address()];
        let mut rig = rig(Plan { streams: true, servers, ..plan(3, "0s wire cut servers n0") }).await;
        let mut client = Connection::connect(rig.listen(0).expect("it runs")).await;
        within("the list", async {
            let ops = rig.ops_address(0).expect("it runs");
            while !call(ops, "STATUS").await.starts_with("SUCCESS") {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = server.request().await;
        rig.play(|_| ()).await.expect("the script");
        wire.answer("200 OK", "", "").await;
        assert!(timeout(Duration::from_millis(300), client.read()).await.is_err(), "the cut delays it");
        rig.heal();
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    });
}
