//! Prepaid accounts among processes, checked against the servers' request records at the accounts' prices,
//! the payments sent, and the ledger.

use birchswitch_standin::process::{block_on, node_binary};
use birchswitch_standin::rig::load::{send_request, RequestSpec};
use birchswitch_standin::rig::wallet::{Case, WalletRig, ACCOUNT, BASELINE};
use birchswitch_standin::script::Script;
use std::future::Future;
use std::time::Duration;
use tokio::time::{sleep, Instant};

fn run_local<T>(test: impl Future<Output = T>) -> T {
    block_on(test).expect("a runtime")
}

async fn start(case: &Case<'_>) -> WalletRig {
    let binary = node_binary().expect("this program's path");
    WalletRig::open(case, binary).await.unwrap_or_else(|error| panic!("seed {}: {error}", case.seed))
}

async fn expect_no_violations(wallet: &WalletRig, case: &Case<'_>) {
    let violations = wallet.violations(case, true).await;
    println!("seed {}: {:?}, servers saw {}", case.seed, wallet.shown().await, wallet.cost_at_servers());
    assert_eq!(violations, Vec::<String>::new(), "seed {}", case.seed);
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < Duration::from_secs(60), "{what} did not come");
        sleep(Duration::from_millis(5)).await;
    }
    began.elapsed()
}

/// Waits until servers have received requests worth this many units.
async fn wait_until_spent(wallet: &WalletRig, units: u64) -> Duration {
    let began = Instant::now();
    while wallet.cost_at_servers() != units {
        if began.elapsed() > Duration::from_secs(60) {
            panic!(
                "servers saw {} units of {units}; the ledger: {:?}",
                wallet.cost_at_servers(),
                wallet.shown().await
            );
        }
        sleep(Duration::from_millis(5)).await;
    }
    began.elapsed()
}

/// All nodes together spend a balance to zero under load; it is topped up just as the account pauses, and
/// twelve nodes then spend the last 20 units.
#[test]
fn a_balance_is_spent_to_the_last_unit_and_no_further() {
    run_local(async {
        let case = BASELINE;
        let mut wallet = start(&case).await;
        wallet.top_up(&[0], "first", 400).await;
        wallet.load(10.0, &["safe"]);
        wait_until_spent(&wallet, 400).await;
        wallet.top_up(&[7], "second", 20).await;
        let took = wait_until_spent(&wallet, 420).await;
        println!("20 more units were spent {took:?} after the payment");
        let shown = wallet.wait_until("a pause", |s| s.state == "paused").await;
        assert_eq!((shown.balance, shown.topped), (0, 420));
        // Refused at once, with a reason and a Retry-After.
        let request = RequestSpec { class: "safe".into(), tenant: ACCOUNT.into(), key: None, cost: None };
        let address = wallet.rig.listen(3).expect("it runs");
        let began = Instant::now();
        for n in 0.. {
            let refused = send_request(3, address, &format!("late-{n}"), &request).await;
            assert_eq!((refused.status, refused.retry_after), (Some(503), true));
            assert!(refused.took < Duration::from_millis(500), "{:?}", refused.took);
            if refused.text.contains("run out") {
                break;
            }
            assert!(began.elapsed() < Duration::from_secs(5), "no reason after several requests");
            sleep(Duration::from_millis(20)).await;
        }
        // Another tenant is not affected.
        let other = RequestSpec { tenant: "two".into(), ..request };
        assert_eq!(
            send_request(3, wallet.rig.listen(3).expect("it runs"), "other", &other).await.status,
            Some(200)
        );
        wallet.top_up(&[2], "third", 200).await;
        let before = wallet.cost_at_servers();
        let resumed = wait_until("traffic again", || wallet.cost_at_servers() > before).await;
        println!("resumed {resumed:?} after the payment");
        assert!(resumed < Duration::from_secs(5));
        wait_until_spent(&wallet, 620).await;
        let ended = wallet.stop_load().await;
        let others: Vec<_> = ended.iter().filter(|e| !matches!(e.status, Some(200 | 503))).collect();
        assert!(others.is_empty(), "requests without a proper answer: {others:?}");
        wallet.wait_until("all settled", |s| s.spent == 620).await;
        expect_no_violations(&wallet, &case).await;
        wallet.rig.close().await.expect("the end");
    });
}

/// A request that its client resends to another node during a partition is debited once; so is one that
/// took several attempts.
#[test]
fn a_request_is_debited_once_despite_retries() {
    run_local(async {
        let case = Case { nodes: 6, error_permille: 300, ..BASELINE };
        let mut wallet = start(&case).await;
        wallet.top_up(&[0], "first", 5000).await;
        wallet.load(20.0, &["safe", "keyed"]);
        wait_until("some traffic", || wallet.cost_at_servers() > 200).await;
        // Nodes on both sides hold allotments; then the partition separates one side from the keeper.
        apply_faults(&mut wallet, "0s wire split n4-n5 n0-n3").await;
        let request = |key: &str| RequestSpec {
            class: "keyed".into(),
            tenant: ACCOUNT.into(),
            key: Some(key.into()),
            cost: None,
        };
        let mut both = 0;
        for n in 0..20 {
            let key = format!("again-{n}");
            let [first, second] = [4, 1].map(|node| (node, wallet.rig.listen(node).expect("it runs")));
            let one = send_request(first.0, first.1, &format!("x{n}"), &request(&key)).await;
            let other = send_request(second.0, second.1, &format!("y{n}"), &request(&key)).await;
            both += i64::from(one.status == Some(200) && other.status == Some(200));
        }
        assert!(both > 0, "some requests ran at both nodes");
        apply_faults(&mut wallet, "0s wire heal").await;
        let ended = wallet.stop_load().await;
        println!("{both} of 20 keys ran at two nodes; {} requests", ended.len());
        let cost_at_servers = wallet.cost_at_servers() as i64;
        let shown = wallet.wait_until("all settled", |s| s.spent == cost_at_servers && s.doubt == 0).await;
        assert!(shown.twice >= both * 2, "{shown:?}");
        expect_no_violations(&wallet, &case).await;
        wallet.rig.close().await.expect("the end");
    });
}

async fn apply_faults(wallet: &mut WalletRig, script: &str) {
    let script = Script::parse(script, 0, 64).expect("a script");
    wallet.rig.set_script(script);
    wallet.rig.play(|_| ()).await.expect("played");
}

/// Kills, pauses, partitions, ledger nodes killed while they write, and all nodes killed at once; meanwhile
/// each payment is sent five times to three nodes.
async fn run_through_faults(case: &Case<'_>) -> WalletRig {
    let mut wallet = start(case).await;
    wallet.top_up(&[0], "p0", 1500).await;
    wallet.load(4.0, &["safe", "safe", "keyed", "unsafe"]);
    let faults = [
        "0s n1 die\n0s n5 die\n1s n1 start\n1s n5 start\n2s wire lose 0",
        "0s n0 pause 3s\n0s n7 pause 5s\n1s n2 die\n2s n2 start\n5s wire lose 0",
        "0s wire split n8-n11 n0-n7\n1s n9 die\n4s wire heal\n4s n9 start\n5s wire lose 0",
        "0s wire cut n0-n2 n3-n11\n3s wire heal\n4s wire lose 0",
        "0s nodes die\n0s nodes start\n6s wire lose 0",
    ];
    for (n, fault) in faults.iter().enumerate() {
        let id = format!("p{}", n + 1);
        apply_faults(&mut wallet, fault).await;
        // The payer got no answer, or it was lost, so the same payment is sent again to other nodes.
        for node in [3, 6, 10, 3, 6] {
            wallet.top_up(&[node, 4], &id, 500).await;
        }
        let violations = wallet.violations(case, false).await;
        if !violations.is_empty() {
            return wallet;
        }
        sleep(Duration::from_secs(2)).await;
    }
    wallet
}

#[test]
fn no_fault_lets_unpaid_units_be_spent() {
    run_local(async {
        let case = Case { overdraft: 30, ..BASELINE };
        let mut wallet = run_through_faults(&case).await;
        wallet.stop_load().await;
        // Units in doubt are listed, and an operator settles them by the servers' records of that node.
        let shown = wallet.wait_until("all quiet", |s| s.outstanding == 0).await;
        assert!(shown.doubt > 0, "processes died with units: {shown:?}");
        expect_no_violations(&wallet, &case).await;
        let doubts = wallet.call(4, "WALLET DOUBTS").await.expect("an answer");
        let first: Vec<&str> = doubts.lines().nth(1).expect("an allotment in doubt").split(' ').collect();
        let settled = wallet.call(4, &format!("WALLET SETTLE {ACCOUNT} {} {}", first[1], first[3])).await;
        assert!(settled.is_some_and(|s| s.contains("is settled")));
        let after = wallet.shown().await;
        assert!(after.doubt < shown.doubt && after.balance > shown.balance, "{after:?}");
        wallet.rig.close().await.expect("the end");
    });
}

/// A node of the ledger finds its file truncated: it reports the damage and keeps serving, and the other
/// nodes keep the accounts.
#[test]
fn a_damaged_ledger_is_reported_and_the_others_go_on() {
    run_local(async {
        let case = Case { nodes: 4, ..BASELINE };
        let mut wallet = start(&case).await;
        wallet.top_up(&[0], "first", 5000).await;
        wallet.load(10.0, &["safe"]);
        wait_until("some traffic", || wallet.cost_at_servers() > 100).await;
        wallet.rig.kill(1).await.expect("killed");
        let path = wallet.rig.folder(1).expect("a folder").join("ledger.redb");
        let length = std::fs::metadata(&path).expect("a file").len();
        let file = std::fs::OpenOptions::new().write(true).open(&path).expect("a file");
        file.set_len(length / 2).expect("cut");
        wallet.rig.spawn(1, 1).await.expect("it starts despite the damage");
        let is_damaged = |h: &birchswitch_standin::rig::history::History| {
            h.lines.iter().any(|l| l.kind == "ledger_damaged")
        };
        wallet
            .rig
            .wait_until("a report of the damage", Duration::from_secs(20), is_damaged, |_| "nothing".into())
            .await
            .expect("reported");
        wallet.top_up(&[1], "second", 7).await;
        let before = wallet.cost_at_servers();
        wait_until("traffic", || wallet.cost_at_servers() > before + 50).await;
        wallet.stop_load().await;
        wallet.wait_until("all quiet", |s| s.outstanding == 0).await;
        expect_no_violations(&wallet, &case).await;
        wallet.rig.close().await.expect("the end");
    });
}

/// No majority of the ledger can write: no more units are drawn, allotments already held are spent, and all
/// other requests are refused at once.
#[test]
fn a_full_ledger_refuses_and_never_overspends() {
    run_local(async {
        let case = Case { nodes: 4, ledger: "drill = { most_kb = 1600 }", ..BASELINE };
        let mut wallet = start(&case).await;
        wallet.top_up(&[0], "first", 1_000_000).await;
        wallet.load(25.0, &["keyed"]);
        // Entries of the maximum call length, until nothing more fits.
        let is_full = |h: &birchswitch_standin::rig::history::History| {
            h.lines.iter().any(|l| l.kind == "ledger_failed")
        };
        for n in 0..4000 {
            if is_full(&wallet.rig.history()) {
                break;
            }
            let line = format!("WALLET TOPUP {ACCOUNT} {n}{} 0", "x".repeat(900));
            let _ = tokio::time::timeout(Duration::from_millis(500), wallet.call(3, &line)).await;
        }
        let full = |h: &birchswitch_standin::rig::history::History| {
            h.lines.iter().any(|l| l.kind == "ledger_failed")
        };
        wallet
            .rig
            .wait_until("a full ledger", Duration::from_secs(90), full, |_| "none".into())
            .await
            .expect("reported");
        sleep(Duration::from_secs(4)).await;
        let ended = wallet.stop_load().await;
        let refused = ended.iter().rev().take(20).filter(|e| e.status == Some(503) && e.retry_after).count();
        assert!(refused > 10, "refused at once: {refused} of the last 20");
        assert_eq!(wallet.violations(&case, false).await, Vec::<String>::new());
        wallet.rig.close().await.expect("the end");
    });
}

/// A node that shuts down cleanly returns its allotment: nothing is in doubt.
#[test]
fn a_clean_shutdown_leaves_nothing_in_doubt() {
    run_local(async {
        let case = Case { nodes: 5, ..BASELINE };
        let mut wallet = start(&case).await;
        wallet.top_up(&[0], "first", 2000).await;
        wallet.load(20.0, &["safe"]);
        wait_until("some traffic", || wallet.cost_at_servers() > 100).await;
        wallet.rig.stop(3).await.expect("it ends");
        wallet.rig.stop(4).await.expect("it ends");
        wallet.stop_load().await;
        let cost_at_servers = wallet.cost_at_servers() as i64;
        let shown = wallet.wait_until("all settled", |s| s.spent == cost_at_servers).await;
        assert_eq!(shown.doubt, 0, "{shown:?}");
        expect_no_violations(&wallet, &case).await;
        wallet.rig.close().await.expect("the end");
    });
}

/// The same for the keeper of the accounts, with requests still in progress at SIGTERM: it returns their
/// units to the next keeper, which it first has to learn of.
#[test]
fn a_keeper_shut_down_with_open_requests_leaves_nothing_in_doubt() {
    run_local(async {
        let case = Case { nodes: 5, service_time: Duration::from_millis(1200), ..BASELINE };
        let mut wallet = start(&case).await;
        wallet.top_up(&[0], "first", 2000).await;
        wallet.load(5.0, &["safe"]);
        wait_until("some traffic", || wallet.cost_at_servers() > 30).await;
        let history = wallet.rig.history();
        let keeper = history.lines.iter().filter(|l| l.kind == "wallet_kept").max_by_key(|l| l.at);
        let keeper = keeper.expect("a keeper").place;
        wallet.rig.stop(keeper).await.expect("it ends");
        wallet.stop_load().await;
        let cost_at_servers = wallet.cost_at_servers() as i64;
        let shown = wallet.wait_until("all settled", |s| s.spent == cost_at_servers).await;
        assert_eq!(shown.doubt, 0, "n{keeper}: {shown:?}");
        expect_no_violations(&wallet, &case).await;
        wallet.rig.close().await.expect("the end");
    });
}

/// An allotment that is taken back when its node dies is spent twice.
#[test]
fn allotments_not_counted_at_a_death_are_detected() {
    run_local(async {
        let case = Case { without: &["doubts"], nodes: 6, ..BASELINE };
        let mut wallet = start(&case).await;
        wallet.top_up(&[0], "first", 300).await;
        wallet.load(25.0, &["safe"]);
        // The nodes hold allotments and spend some of them before they die.
        for round in 0..4 {
            wait_until("traffic", || wallet.cost_at_servers() > 30 * (round + 1)).await;
            for n in 3..6 {
                wallet.rig.kill(n).await.expect("killed");
            }
            for n in 3..6 {
                wallet.rig.spawn(n, n).await.expect("started");
            }
        }
        wallet.wait_until("a pause", |s| s.state == "paused" && s.outstanding == 0).await;
        wallet.stop_load().await;
        assert!(
            !wallet.violations(&case, true).await.is_empty(),
            "{:?}, servers saw {}",
            wallet.shown().await,
            wallet.cost_at_servers()
        );
        wallet.rig.close().await.expect("the end");
    });
}

#[test]
fn payments_without_ids_and_debits_per_attempt_are_detected() {
    run_local(async {
        let case = Case { without: &["ids"], nodes: 4, ..BASELINE };
        let mut wallet = start(&case).await;
        for node in [0, 1, 2, 3, 0] {
            wallet.top_up(&[node], "first", 100).await;
        }
        assert!(!wallet.violations(&case, true).await.is_empty());
        wallet.rig.close().await.expect("the end");

        let case = Case { without: &["once"], nodes: 4, error_permille: 300, ..BASELINE };
        let mut wallet = start(&case).await;
        wallet.top_up(&[0], "first", 5000).await;
        wallet.load(20.0, &["safe"]);
        wait_until("some traffic", || wallet.cost_at_servers() > 300).await;
        wallet.stop_load().await;
        wallet.wait_until("all quiet", |s| s.outstanding == 0).await;
        assert!(!wallet.violations(&case, true).await.is_empty());
        wallet.rig.close().await.expect("the end");
    });
}
