//! Prepaid accounts among processes: judged from the servers' own books at the accounts' prices, the payments sent, and the ledger.

use birchswitch_standin::process::{block_on, node_binary};
use birchswitch_standin::rig::load::{send_request, RequestSpec};
use birchswitch_standin::rig::wallet::{Case, WalletRig, ACCOUNT, BASELINE};
use birchswitch_standin::script::Script;
use std::future::Future;
use std::time::Duration;
use tokio::time::{sleep, Instant};

fn on_a_set<T>(test: impl Future<Output = T>) -> T {
    block_on(test).expect("a runtime")
}

async fn open(case: &Case<'_>) -> WalletRig {
    let binary = node_binary().expect("this program's path");
    WalletRig::open(case, binary).await.unwrap_or_else(|error| panic!("seed {}: {error}", case.seed))
}

async fn holds(bank: &WalletRig, case: &Case<'_>) {
    let wrong = bank.violations(case, true).await;
    println!("seed {}: {:?}, servers saw {}", case.seed, bank.shown().await, bank.cost_at_servers());
    assert_eq!(wrong, Vec::<String>::new(), "seed {}", case.seed);
}

async fn until(what: &str, holds: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < Duration::from_secs(60), "{what} did not come");
        sleep(Duration::from_millis(5)).await;
    }
    began.elapsed()
}

/// Waits until servers saw requests for so many units.
async fn spends(bank: &WalletRig, units: u64) -> Duration {
    let began = Instant::now();
    while bank.cost_at_servers() != units {
        if began.elapsed() > Duration::from_secs(60) {
            panic!(
                "servers saw {} units of {units}; the ledger: {:?}",
                bank.cost_at_servers(),
                bank.shown().await
            );
        }
        sleep(Duration::from_millis(5)).await;
    }
    began.elapsed()
}

/// Balance run to nothing under load by all nodes at once, topped up in the moment of pausing, and the last 20 units with twelve nodes.
#[test]
fn a_balance_is_spent_to_the_last_unit_and_no_further() {
    on_a_set(async {
        let case = BASELINE;
        let mut bank = open(&case).await;
        bank.top_up(&[0], "first", 400).await;
        bank.load(10.0, &["safe"]);
        spends(&bank, 400).await;
        bank.top_up(&[7], "second", 20).await;
        let took = spends(&bank, 420).await;
        println!("20 more units are spent {took:?} after they were paid");
        let shown = bank.wait_until("a pause", |s| s.state == "paused").await;
        assert_eq!((shown.balance, shown.topped), (0, 420));
        // Refused at once, with a reason and a time.
        let order = RequestSpec { class: "safe".into(), tenant: ACCOUNT.into(), key: None, cost: None };
        let front = bank.rig.listen(3).expect("it runs");
        let began = Instant::now();
        for n in 0.. {
            let refused = send_request(3, front, &format!("late-{n}"), &order).await;
            assert_eq!((refused.status, refused.retry_after), (Some(503), true));
            assert!(refused.took < Duration::from_millis(500), "{:?}", refused.took);
            if refused.text.contains("run out") {
                break;
            }
            assert!(began.elapsed() < Duration::from_secs(5), "it is told within a few questions");
            sleep(Duration::from_millis(20)).await;
        }
        // Another tenant is not touched.
        let other = RequestSpec { tenant: "two".into(), ..order };
        assert_eq!(
            send_request(3, bank.rig.listen(3).expect("it runs"), "other", &other).await.status,
            Some(200)
        );
        bank.top_up(&[2], "third", 200).await;
        let before = bank.cost_at_servers();
        let resumed = until("traffic again", || bank.cost_at_servers() > before).await;
        println!("resumed {resumed:?} after the payment");
        assert!(resumed < Duration::from_secs(5));
        spends(&bank, 620).await;
        let ended = bank.stop_load().await;
        let others: Vec<_> = ended.iter().filter(|e| !matches!(e.status, Some(200 | 503))).collect();
        assert!(others.is_empty(), "each got its answer: {others:?}");
        bank.wait_until("all settled", |s| s.spent == 620).await;
        holds(&bank, &case).await;
        bank.rig.close().await.expect("the end");
    });
}

/// A request that its client sends again to another node, across a cut, is debited once; so is one that took several attempts.
#[test]
fn a_request_is_debited_once_whatever_it_takes() {
    on_a_set(async {
        let case = Case { nodes: 6, error_permille: 300, ..BASELINE };
        let mut bank = open(&case).await;
        bank.top_up(&[0], "first", 5000).await;
        bank.load(20.0, &["safe", "keyed"]);
        until("some traffic", || bank.cost_at_servers() > 200).await;
        // Both hold parts; then neither hears the other's keeper for a while.
        cut(&mut bank, "0s wire split n4-n5 n0-n3").await;
        let order = |key: &str| RequestSpec {
            class: "keyed".into(),
            tenant: ACCOUNT.into(),
            key: Some(key.into()),
            cost: None,
        };
        let mut both = 0;
        for n in 0..20 {
            let key = format!("again-{n}");
            let [first, second] = [4, 1].map(|node| (node, bank.rig.listen(node).expect("it runs")));
            let one = send_request(first.0, first.1, &format!("x{n}"), &order(&key)).await;
            let other = send_request(second.0, second.1, &format!("y{n}"), &order(&key)).await;
            both += i64::from(one.status == Some(200) && other.status == Some(200));
        }
        assert!(both > 0, "some were carried out at both");
        cut(&mut bank, "0s wire heal").await;
        let ended = bank.stop_load().await;
        println!("{both} of 20 keys ran at two nodes; {} requests", ended.len());
        let at_servers = bank.cost_at_servers() as i64;
        let shown = bank.wait_until("all settled", |s| s.spent == at_servers && s.doubt == 0).await;
        assert!(shown.twice >= both * 2, "{shown:?}");
        holds(&bank, &case).await;
        bank.rig.close().await.expect("the end");
    });
}

async fn cut(bank: &mut WalletRig, script: &str) {
    let script = Script::parse(script, 0, 64).expect("a script");
    bank.rig.set_script(script);
    bank.rig.play(|_| ()).await.expect("played");
}

/// Kills, pauses, cuts, ledger nodes killed while they write, all nodes killed at once, payments sent five times to three nodes meanwhile.
async fn through_faults(case: &Case<'_>) -> WalletRig {
    let mut bank = open(case).await;
    bank.top_up(&[0], "p0", 1500).await;
    bank.load(4.0, &["safe", "safe", "keyed", "unsafe"]);
    let faults = [
        "0s n1 die\n0s n5 die\n1s n1 start\n1s n5 start\n2s wire lose 0",
        "0s n0 pause 3s\n0s n7 pause 5s\n1s n2 die\n2s n2 start\n5s wire lose 0",
        "0s wire split n8-n11 n0-n7\n1s n9 die\n4s wire heal\n4s n9 start\n5s wire lose 0",
        "0s wire cut n0-n2 n3-n11\n3s wire heal\n4s wire lose 0",
        "0s nodes die\n0s nodes start\n6s wire lose 0",
    ];
    for (n, fault) in faults.iter().enumerate() {
        let id = format!("p{}", n + 1);
        cut(&mut bank, fault).await;
        // Whoever pays has no answer yet, or not one that came: the same again, elsewhere.
        for node in [3, 6, 10, 3, 6] {
            bank.top_up(&[node, 4], &id, 500).await;
        }
        let wrong = bank.violations(case, false).await;
        if !wrong.is_empty() {
            return bank;
        }
        sleep(Duration::from_secs(2)).await;
    }
    bank
}

#[test]
fn whatever_fails_nothing_is_spent_that_was_not_paid() {
    on_a_set(async {
        let case = Case { overdraft: 30, ..BASELINE };
        let mut bank = through_faults(&case).await;
        bank.stop_load().await;
        // What is in doubt is listed and an operator settles it by what servers saw of that node.
        let shown = bank.wait_until("all quiet", |s| s.outstanding == 0).await;
        assert!(shown.doubt > 0, "processes died with units: {shown:?}");
        holds(&bank, &case).await;
        let doubts = bank.call(4, "WALLET DOUBTS").await.expect("an answer");
        let first: Vec<&str> = doubts.lines().nth(1).expect("a part").split(' ').collect();
        let settled = bank.call(4, &format!("WALLET SETTLE {ACCOUNT} {} {}", first[1], first[3])).await;
        assert!(settled.is_some_and(|s| s.contains("is settled")));
        let after = bank.shown().await;
        assert!(after.doubt < shown.doubt && after.balance > shown.balance, "{after:?}");
        bank.rig.close().await.expect("the end");
    });
}

/// A node of the ledger finds its file cut short: it says so and serves on, and the others keep the accounts.
#[test]
fn a_damaged_ledger_is_told_and_the_others_go_on() {
    on_a_set(async {
        let case = Case { nodes: 4, ..BASELINE };
        let mut bank = open(&case).await;
        bank.top_up(&[0], "first", 5000).await;
        bank.load(10.0, &["safe"]);
        until("some traffic", || bank.cost_at_servers() > 100).await;
        bank.rig.kill(1).await.expect("killed");
        let path = bank.rig.folder(1).expect("a folder").join("ledger.redb");
        let length = std::fs::metadata(&path).expect("a file").len();
        let file = std::fs::OpenOptions::new().write(true).open(&path).expect("a file");
        file.set_len(length / 2).expect("cut");
        bank.rig.spawn(1, 1).await.expect("it starts all the same");
        let told = |h: &birchswitch_standin::rig::history::History| {
            h.lines.iter().any(|l| l.kind == "ledger_damaged")
        };
        bank.rig
            .wait_until("its word", Duration::from_secs(20), told, |_| "nothing".into())
            .await
            .expect("told");
        bank.top_up(&[1], "second", 7).await;
        let before = bank.cost_at_servers();
        until("traffic", || bank.cost_at_servers() > before + 50).await;
        bank.stop_load().await;
        bank.wait_until("all quiet", |s| s.outstanding == 0).await;
        holds(&bank, &case).await;
        bank.rig.close().await.expect("the end");
    });
}

/// No majority of the ledger can write: nothing more is drawn, what is held is spent, the rest is refused at once.
#[test]
fn a_full_ledger_refuses_and_spends_nothing_that_is_not_there() {
    on_a_set(async {
        let case = Case { nodes: 4, ledger: "drill = { most_kb = 1600 }", ..BASELINE };
        let mut bank = open(&case).await;
        bank.top_up(&[0], "first", 1_000_000).await;
        bank.load(25.0, &["keyed"]);
        // Entries as long as calls may be, until nothing more fits.
        let is_full = |h: &birchswitch_standin::rig::history::History| {
            h.lines.iter().any(|l| l.kind == "ledger_failed")
        };
        for n in 0..4000 {
            if is_full(&bank.rig.history()) {
                break;
            }
            let line = format!("WALLET TOPUP {ACCOUNT} {n}{} 0", "x".repeat(900));
            let _ = tokio::time::timeout(Duration::from_millis(500), bank.call(3, &line)).await;
        }
        let full = |h: &birchswitch_standin::rig::history::History| {
            h.lines.iter().any(|l| l.kind == "ledger_failed")
        };
        bank.rig
            .wait_until("a full ledger", Duration::from_secs(90), full, |_| "none".into())
            .await
            .expect("told");
        sleep(Duration::from_secs(4)).await;
        let ended = bank.stop_load().await;
        let refused = ended.iter().rev().take(20).filter(|e| e.status == Some(503) && e.retry_after).count();
        assert!(refused > 10, "refused at once: {refused} of the last 20");
        assert_eq!(bank.violations(&case, false).await, Vec::<String>::new());
        bank.rig.close().await.expect("the end");
    });
}

/// A node that ends in order gives back what it holds: nothing is in doubt.
#[test]
fn whoever_ends_in_order_leaves_nothing_in_doubt() {
    on_a_set(async {
        let case = Case { nodes: 5, ..BASELINE };
        let mut bank = open(&case).await;
        bank.top_up(&[0], "first", 2000).await;
        bank.load(20.0, &["safe"]);
        until("some traffic", || bank.cost_at_servers() > 100).await;
        bank.rig.stop(3).await.expect("it ends");
        bank.rig.stop(4).await.expect("it ends");
        bank.stop_load().await;
        let at_servers = bank.cost_at_servers() as i64;
        let shown = bank.wait_until("all settled", |s| s.spent == at_servers).await;
        assert_eq!(shown.doubt, 0, "{shown:?}");
        holds(&bank, &case).await;
        bank.rig.close().await.expect("the end");
    });
}

/// The same by whoever keeps the accounts, with requests in hand that go on after it was told to end: it gives back what they held
/// to the next keeper, of which it has to hear.
#[test]
fn a_keeper_that_ends_with_requests_in_hand_leaves_nothing_in_doubt() {
    on_a_set(async {
        let case = Case { nodes: 5, service_time: Duration::from_millis(1200), ..BASELINE };
        let mut bank = open(&case).await;
        bank.top_up(&[0], "first", 2000).await;
        bank.load(5.0, &["safe"]);
        until("some traffic", || bank.cost_at_servers() > 30).await;
        let history = bank.rig.history();
        let keeper = history.lines.iter().filter(|l| l.kind == "wallet_kept").max_by_key(|l| l.at);
        let keeper = keeper.expect("a keeper").place;
        bank.rig.stop(keeper).await.expect("it ends");
        bank.stop_load().await;
        let at_servers = bank.cost_at_servers() as i64;
        let shown = bank.wait_until("all settled", |s| s.spent == at_servers).await;
        assert_eq!(shown.doubt, 0, "n{keeper}: {shown:?}");
        holds(&bank, &case).await;
        bank.rig.close().await.expect("the end");
    });
}

/// A part that is taken back at its node's death is spent twice over.
#[test]
fn parts_that_are_not_counted_at_a_death_are_found() {
    on_a_set(async {
        let case = Case { without: &["doubts"], nodes: 6, ..BASELINE };
        let mut bank = open(&case).await;
        bank.top_up(&[0], "first", 300).await;
        bank.load(25.0, &["safe"]);
        // They hold parts, and spend of them before they die.
        for round in 0..4 {
            until("traffic", || bank.cost_at_servers() > 30 * (round + 1)).await;
            for n in 3..6 {
                bank.rig.kill(n).await.expect("killed");
            }
            for n in 3..6 {
                bank.rig.spawn(n, n).await.expect("started");
            }
        }
        bank.wait_until("a pause", |s| s.state == "paused" && s.outstanding == 0).await;
        bank.stop_load().await;
        assert!(
            !bank.violations(&case, true).await.is_empty(),
            "{:?}, servers saw {}",
            bank.shown().await,
            bank.cost_at_servers()
        );
        bank.rig.close().await.expect("the end");
    });
}

#[test]
fn payments_without_their_ids_and_debits_of_attempts_are_found() {
    on_a_set(async {
        let case = Case { without: &["ids"], nodes: 4, ..BASELINE };
        let mut bank = open(&case).await;
        for node in [0, 1, 2, 3, 0] {
            bank.top_up(&[node], "first", 100).await;
        }
        assert!(!bank.violations(&case, true).await.is_empty());
        bank.rig.close().await.expect("the end");

        let case = Case { without: &["once"], nodes: 4, error_permille: 300, ..BASELINE };
        let mut bank = open(&case).await;
        bank.top_up(&[0], "first", 5000).await;
        bank.load(20.0, &["safe"]);
        until("some traffic", || bank.cost_at_servers() > 300).await;
        bank.stop_load().await;
        bank.wait_until("all quiet", |s| s.outstanding == 0).await;
        assert!(!bank.violations(&case, true).await.is_empty());
        bank.rig.close().await.expect("the end");
    });
}
