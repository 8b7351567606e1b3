//! Nodes among one another, as processes: the short cases of the rig, calls of operators, strangers, a busy thread.
//! `birchswitch-standin rig` plays the long cases.

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

fn on_a_set(test: impl Future<Output = ()>) {
    block_on(test).expect("a runtime");
}

fn holds(name: &str) {
    let case = cases::CASES.iter().find(|c| c.name == name).expect("a case");
    on_a_set(async {
        let outcome = cases::play(case, node_binary().expect("a path"), SEED, |_| ()).await;
        let outcome = outcome.unwrap_or_else(|error| panic!("{name}, seed {SEED}: {error}"));
        assert_eq!(outcome.violations, Vec::<String>::new(), "{name}, seed {SEED}, {}", case.script);
    });
}

#[test]
fn a_killed_node_is_known_to_be_dead_and_comes_back_under_its_name() {
    holds("kill");
}

#[test]
fn pauses_of_2_s_are_borne() {
    holds("pause-2s");
}

#[test]
fn who_hears_nobody_says_so_and_condemns_nobody() {
    holds("deaf");
}

#[test]
fn of_two_under_one_name_one_yields_and_nobody_flaps() {
    holds("twins");
}

#[test]
fn old_news_of_a_death_does_not_outlive_a_new_process() {
    holds("quick-restart");
}

#[test]
fn nodes_that_stutter_are_not_condemned() {
    holds("stutter-short");
}

/// Also those that are stopped, and when whoever holds the rig panics.
#[test]
fn nothing_is_left_running_after_a_panic() {
    on_a_set(async {
        let (told, pids) = tokio::sync::oneshot::channel();
        let panics = tokio::task::spawn_local(async move {
            let mut rig = rig(plan(3, "0s n1 pause 60s")).await;
            let pids: Vec<_> = rig.places().into_iter().filter_map(|p| rig.pid(p)).collect();
            told.send(pids).expect("somebody waits");
            let _ = timeout(Duration::from_millis(200), rig.play(|_| ())).await;
            panic!("on purpose");
        });
        let pids = pids.await.expect("pids");
        assert_eq!(pids.len(), 3);
        assert!(panics.await.is_err());
        within("the processes' end", async {
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

/// What discovery told one node alone is seen by all; a node that was cut off from discovery lags until the cut heals.
#[test]
fn operators_see_members_what_they_tell_and_who_leaves() {
    on_a_set(async {
        let mut rig = rig(Plan { streams: true, ..plan(3, "0s wire cut discovery n2") }).await;
        let [n0, n2] = [0, 2].map(|n| rig.ops_address(n).expect("it runs"));
        let list = |text: &str, name: &str| {
            let line = line(text, &format!("{name} "));
            line.rsplit(' ').next().unwrap_or_default().to_owned()
        };
        let seen = |told: &'static str, of: &'static str| async move {
            for _ in 0..400 {
                let text = call(n0, "MEMBERS").await;
                if list(&text, of) == told {
                    return text;
                }
                sleep(Duration::from_millis(100)).await;
            }
            panic!("no {told} of {of}: {}", call(n0, "MEMBERS").await);
        };
        // The list of twenty servers is the registry's 21st revision.
        seen("21", "n2").await;
        // Agreed upon a moment after all are known.
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
        seen("22", "n0").await;
        seen("22", "n1").await;
        assert_eq!(list(&call(n2, "MEMBERS").await, "n2"), "21");
        rig.heal();
        seen("22", "n2").await;

        let figures = call(n0, "METRICS").await;
        line(&figures, "app_members{state=\"alive\"} 2");
        line(&figures, "app_cluster_dropped 0");
        assert!(call(n2, "LEAVE").await.starts_with("SUCCESS "));
        assert!(call(n2, "LEAVE").await.starts_with("FAILURE "), "it is no member any more");
        rig.wait_until(
            "word of the leaving",
            Duration::from_secs(20),
            |h| [0, 1].iter().all(|n| h.lines.iter().any(|l| l.place == *n && l.kind == "left")),
            |h| format!("{:?}", h.lines.last()),
        )
        .await
        .expect("both heard of it");
        assert_eq!(rig.history().lines.iter().filter(|l| l.kind == "suspected").count(), 0);
        let text = call(n0, "MEMBERS").await;
        line(&text, "n2 left ");
        assert!(line(&text, "# 2 of ").contains("majority"), "{text}");
    });
}

/// Requests fill the node's one thread, on which membership runs too.
#[test]
fn a_node_at_full_load_is_not_declared_dead() {
    on_a_set(async {
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
        within("two seconds of work", async {
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

/// Of a member that nobody knows; `padding` bytes make the question longer.
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

/// Everything that is no datagram of a member's is counted and dropped, whatever comes of it in between is served.
#[test]
fn strangers_neither_stop_a_node_nor_get_more_than_they_send() {
    on_a_set(async {
        let rig = rig(plan(3, "")).await;
        let (node, operators) = (rig.wire().real(0).expect("it runs"), rig.ops_address(0).expect("it runs"));
        let mut client = Connection::connect(rig.listen(0).expect("it runs")).await;
        let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(SEED);
        // Whom it names is asked from then on; who sent it gets an answer.
        let elsewhere = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let good = join("rig", elsewhere.local_addr().expect("an address"), 200);
        let mut bad = vec![Vec::new(), vec![0; 65_000], join("other", node, 0)];
        bad.extend((0..good.len()).map(|n| good[..n].to_vec()));
        bad.extend((0..200).map(|n| {
            let mut bytes = vec![0; n * 7];
            rng.fill_bytes(&mut bytes);
            bytes
        }));
        let dropped = || async {
            let figures = call(operators, "METRICS").await;
            let line = line(&figures, "app_cluster_dropped ").rsplit(' ').next().unwrap_or_default();
            line.parse::<usize>().expect("a number")
        };
        for bytes in &bad {
            stranger.send_to(bytes, node).await.expect("sent");
        }
        within("all to be counted", async {
            while dropped().await < bad.len() {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
        let mut buffer = vec![0; 65_536];
        assert!(stranger.try_recv(&mut buffer).is_err(), "none of that is answered");

        // 50,000 as fast as they go, valid ones among them, while requests are served.
        let before = dropped().await;
        for n in 0..50_000 {
            let bytes = if n % 100 == 0 { &good } else { &bad[3 + n % 40] };
            // A full queue is the system's to say so.
            let _ = stranger.send_to(bytes, node).await;
            if n % 5_000 == 0 {
                assert_eq!(
                    client.round_trip("unsafe").await.expect("an answer").status(),
                    503,
                    "no server is there"
                );
            }
        }
        assert_eq!(client.round_trip("unsafe").await.expect("an answer").status(), 503);
        assert!(dropped().await > before);
        let mut answered = 0;
        while let Ok(Ok(length)) = timeout(Duration::from_millis(500), stranger.recv(&mut buffer)).await {
            assert!(length <= good.len(), "{length} bytes for {}", good.len());
            answered += 1;
        }
        assert!((1..=500).contains(&answered), "{answered} answers for 500 questions");
        let history = rig.history();
        let verdicts = history.lines.iter().filter(|l| l.kind == "verdict" && l.text("member") != "stranger");
        assert_eq!(verdicts.count(), 0);
        assert!(is_running(rig.pid(0).expect("it runs")));
    });
}

/// An answer on a way that is cut waits, and comes once it heals; the request had passed the other way.
#[test]
fn a_cut_holds_back_what_connections_carry_one_way() {
    on_a_set(async {
        let server = Peer::new().await;
        let servers = vec![server.address()];
        let mut rig = rig(Plan { streams: true, servers, ..plan(3, "0s wire cut servers n0") }).await;
        let mut client = Connection::connect(rig.listen(0).expect("it runs")).await;
        within("the list", async {
            let desk = rig.ops_address(0).expect("it runs");
            while !call(desk, "STATUS").await.starts_with("SUCCESS") {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = server.request().await;
        rig.play(|_| ()).await.expect("the script");
        wire.answer("200 OK", "", "").await;
        assert!(timeout(Duration::from_millis(300), client.read()).await.is_err(), "it is held back");
        rig.heal();
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    });
}
