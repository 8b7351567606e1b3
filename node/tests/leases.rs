//! Leases among processes: no two holders act at once, whatever fails; the violation caused by each
//! disabled safeguard is detected; commands run under a lease.

use birchswitch_standin::process::{block_on, is_running, node_binary, signal};
use birchswitch_standin::rig::fenced_resource::FencedResource;
use birchswitch_standin::rig::history::now;
use birchswitch_standin::rig::leases::{overlaps, play, Activity, Case, Outcome, BASELINE, CASES};
use birchswitch_standin::rig::{LeasePlan, Plan, Rig};
use birchswitch_standin::script::Script;
use birchswitch_standin::scripted::{call, within, Connection};
use std::future::Future;
use std::net::SocketAddr;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, Instant};

const SEED: u64 = 1;

fn run_local<T>(test: impl Future<Output = T>) -> T {
    block_on(test).expect("a runtime")
}

fn run_case(case: &Case, seed: u64) -> Outcome {
    let result = run_local(play(case, node_binary().expect("this program's path"), seed));
    result.unwrap_or_else(|error| panic!("{}, seed {seed}: {error}", case.name))
}

fn expect_case_passes(name: &str) {
    let case = CASES.iter().find(|c| c.name == name).expect("a case");
    let outcome = run_case(case, SEED);
    assert_eq!(outcome.violations, Vec::<String>::new(), "{name}, seed {SEED}: {}", case.script);
    println!(
        "{name}: {} activities, {} grants, {} lost, gap {:?}",
        outcome.activities.len(),
        outcome.grants,
        outcome.lost,
        outcome.gap
    );
    assert!(outcome.activities.len() > 2, "{name}: {:?}", outcome.activities);
}

#[test]
fn contenders_take_turns() {
    expect_case_passes("lease-calm");
}

#[test]
fn paused_holders_and_voters_never_cause_two_holders() {
    expect_case_passes("lease-pauses");
}

#[test]
fn deaths_of_holders_and_voters_never_cause_two_holders() {
    expect_case_passes("lease-deaths");
}

#[test]
fn loss_delay_and_one_way_cuts_never_cause_two_holders() {
    expect_case_passes("lease-wire");
}

#[test]
fn grants_in_transit_while_all_voters_die_never_cause_two_holders() {
    expect_case_passes("lease-late-grants");
}

#[test]
fn voters_that_hear_no_other_voter_still_grant() {
    expect_case_passes("lease-deaf-voters");
}

#[test]
fn clocks_within_the_permitted_drift_never_cause_two_holders() {
    expect_case_passes("lease-clocks");
}

/// The first of a few seeds in which a guarantee is violated.
fn first_violation(case: &Case, seeds: u64) -> Option<(u64, Vec<String>)> {
    (1..=seeds)
        .map(|seed| (seed, run_case(case, seed).violations))
        .find(|(_, violations)| !violations.is_empty())
}

/// All voters repeatedly die and restart at once while the holder lives: without abstention they grant
/// again what they have forgotten.
#[test]
fn voters_that_do_not_abstain_are_detected() {
    let script = "1s n0-n4 die\n1s n0-n4 start\n4s n0-n4 die\n4s n0-n4 start\n7s n0-n4 die\n7s n0-n4 start";
    let case = Case { name: "no abstention", script, without: &["abstention"], ..BASELINE };
    assert!(first_violation(&case, 4).is_some());
}

/// Two of five voters suffice on either side of a cut.
#[test]
fn votes_without_a_majority_are_detected() {
    let script = "1s wire split n0-n1 n2-n6\n5s wire heal\n6s wire split n0-n1 n2-n6\n9s wire heal";
    let case = Case { name: "no majority", script, without: &["majority"], ..BASELINE };
    assert!(first_violation(&case, 4).is_some());
}

#[test]
fn voters_that_break_promises_are_detected() {
    let case = Case { name: "no promises", script: "6s wire lose 0", without: &["promises"], ..BASELINE };
    assert!(first_violation(&case, 2).is_some());
}

/// The holder, which started after all others, dies together with all voters, and a node that never saw its
/// token asks next. Returns the violations that the checker finds in the two activities, and their tokens.
async fn tokens_across_the_loss_of_all_voters(without: &[&'static str]) -> (Vec<String>, [u64; 2]) {
    let lease = LeasePlan { without: without.to_vec(), ..LeasePlan::new(3) };
    let plan =
        Plan::new(node_binary().expect("this program's path"), 5, Script::parse("", 0, 5).expect("a script"));
    let mut rig = Rig::start(Plan { lease: Some(lease), ..plan }).await.expect("a rig");
    rig.wait_for_agreement(Duration::from_secs(60)).await.expect("one membership");
    let (earlier, later) = (3, 4);
    let first = wait_for_grant(&rig, later).await;
    for place in [later, 0, 1, 2] {
        rig.kill(place).await.expect("killed");
    }
    for voter in 0..3 {
        rig.spawn(voter, voter).await.expect("started");
    }
    let second = wait_for_grant(&rig, earlier).await;
    (overlaps(&[first, second]), [first.token, second.token])
}

/// The first grant reported to a caller of this node.
async fn wait_for_grant(rig: &Rig, place: usize) -> Activity {
    let mut session = Connection::connect(rig.ops_address(place).expect("it runs")).await;
    session.write("LEASE task 1\n").await;
    within("a grant", async {
        loop {
            let asked = now();
            let line = session.line().await.expect("an answer");
            if let ["HELD", token, _, left] = line.split_ascii_whitespace().collect::<Vec<_>>()[..] {
                let (token, left) = (token.parse().expect("a token"), left.parse::<u64>().expect("a time"));
                return Activity { place, token, begin: now(), end: asked + left * 1_000_000 };
            }
            sleep(Duration::from_millis(20)).await;
            session.write("\n").await;
        }
    })
    .await
}

/// The next token is lower than the last one unless voters start from a floor.
#[test]
fn voters_that_start_without_a_floor_are_detected() {
    let (violations, [first, second]) = run_local(tokens_across_the_loss_of_all_voters(&["floor"]));
    assert!(second < first, "without a floor: {first}, then {second}");
    assert_eq!(violations, [format!("token {second} came after {first}")]);
    let (violations, [first, second]) = run_local(tokens_across_the_loss_of_all_voters(&[]));
    assert!(second > first, "with a floor: {first}, then {second}");
    assert_eq!(violations, Vec::<String>::new());
}

/// The same with contenders that are paused, die and restart.
#[test]
fn tokens_rise_when_a_later_holder_dies_with_all_voters() {
    let script = "1s n6 die\n1500ms n6 start\n2s n5 pause 4s\n8s n6 die\n8s n0-n4 die\n8s n0-n4 start\n13s wire lose 0";
    let case = Case { script, contenders: &[5, 6], hold_time: Duration::from_secs(60), ..BASELINE };
    assert_eq!(first_violation(&Case { name: "a floor", ..case }, 1), None);
}

/// A holder whose clock is slower than the permitted drift is cut off from voters whose clocks are as much
/// too fast, while another node waits for the lease. Violations appear beyond the permitted drift and not
/// within it.
#[test]
fn clocks_beyond_the_permitted_drift_are_detected() {
    let script = "1s wire split n5 n0-n4\n4s wire heal\n4s wire split n6 n0-n4\n7s wire heal\n7s wire split n5 n0-n4\n10s wire heal";
    let case = Case {
        script,
        contenders: &[5, 6],
        hold_time: Duration::from_secs(60),
        retry_at_once: true,
        ..BASELINE
    };
    let rates = &[1.1, 1.1, 1.1, 1.1, 1.1, 0.9, 1.1];
    assert!(first_violation(&Case { name: "10% off", rates, ..case }, 12).is_some());
    let (rates, without) = (&[1.05, 1.05, 1.05, 1.05, 1.05, 0.95, 1.05], &["margin"]);
    assert!(first_violation(&Case { name: "no margin", rates, without, ..case }, 12).is_some());
    let rates = &[1.04, 1.04, 1.04, 1.04, 1.04, 0.96, 1.04];
    assert_eq!(first_violation(&Case { name: "4% off", rates, ..case }, 1), None);
}

/// As many leases of one electorate as a fleet may want at once, each granted to one of two contenders.
#[test]
fn two_hundred_leases_are_granted_at_once() {
    run_local(async {
        let (_rig, ops_addresses) = electorate().await;
        let mut sessions = Vec::new();
        for n in 0..200 {
            for ops in &ops_addresses[..2] {
                let mut session = Connection::connect(*ops).await;
                session.write(&format!("LEASE name{n} 1\n")).await;
                assert!(session.line().await.expect("an answer").starts_with("WAITING"));
                session.write("\n").await;
                sessions.push((n, session));
            }
        }
        let mut held = std::collections::BTreeMap::<usize, usize>::new();
        within("all leases to be granted", async {
            while held.len() < 200 {
                held.clear();
                for (n, session) in &mut sessions {
                    let line = session.line().await.expect("an answer");
                    session.write("\n").await;
                    *held.entry(*n).or_default() += usize::from(line.starts_with("HELD"));
                    assert!(held[n] < 2, "name{n}: two hold it");
                }
                held.retain(|_, n| *n == 1);
            }
        })
        .await;
    });
}

/// Three nodes, all of them voters, and their operator addresses.
async fn electorate() -> (Rig, Vec<SocketAddr>) {
    electorate_with("", LeasePlan::new(3)).await
}

async fn electorate_with(script: &str, lease: LeasePlan) -> (Rig, Vec<SocketAddr>) {
    let mut script = Script::parse(script, 0, 3).expect("a script");
    script.seed = SEED;
    let plan = Plan::new(node_binary().expect("this program's path"), 3, script);
    let plan = Plan { lease: Some(lease), ..plan };
    let rig = Rig::start(plan).await.expect("a rig");
    rig.wait_for_agreement(Duration::from_secs(60)).await.expect("one membership");
    let ops_addresses = (0..3).map(|n| rig.ops_address(n).expect("it runs")).collect();
    (rig, ops_addresses)
}

/// Starts `birchswitch lease run` with options and a shell command.
fn lease_run(ops: SocketAddr, name: &str, options: &[&str], text: &str) -> Child {
    let mut command = Command::new(node_binary().expect("this program's path"));
    command.args(["lease", "run", name]).args(options).args([
        "--ops",
        &ops.to_string(),
        "--",
        "sh",
        "-c",
        text,
    ]);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).kill_on_drop(true);
    command.spawn().expect("a process")
}

async fn wait_for_exit(child: Child) -> (Option<i32>, String, String) {
    let output = within("a command's end", child.wait_with_output()).await.expect("its output");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

async fn line(child: &mut Child) -> String {
    let mut lines = BufReader::new(child.stdout.as_mut().expect("it is piped")).lines();
    within("a command's line", lines.next_line()).await.expect("read").expect("a line")
}

async fn wait_for_lease_state(ops: SocketAddr, text: &str) {
    within("a line of LEASES", async {
        while !call(ops, "LEASES").await.contains(text) {
            sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
}

#[test]
fn commands_run_one_after_the_other_with_rising_tokens_and_their_own_exit_codes() {
    run_local(async {
        let (_rig, ops_addresses) = electorate().await;
        let text = "echo $BIRCHSWITCH_LEASE_TOKEN; exit 7";
        let (code, first, _) = wait_for_exit(lease_run(ops_addresses[0], "nightly", &[], text)).await;
        assert_eq!(code, Some(7));
        let (_, second, _) = wait_for_exit(lease_run(ops_addresses[1], "nightly", &[], text)).await;
        let token = |text: &str| text.parse::<u64>().unwrap_or_else(|_| panic!("{text:?} is no token"));
        assert!(token(&second) > token(&first));

        let mut holder = lease_run(ops_addresses[0], "nightly", &[], "echo runs; exec sleep 60");
        assert_eq!(line(&mut holder).await, "runs");
        let (code, out, _) =
            wait_for_exit(lease_run(ops_addresses[2], "nightly", &["--wait", "1"], "echo never")).await;
        assert_eq!((code, out.as_str()), (Some(75), ""), "the lease is held elsewhere");
        // Another name is another lease, and a second slot is still free.
        assert_eq!(wait_for_exit(lease_run(ops_addresses[2], "hourly", &[], "true")).await.0, Some(0));
        let mut one = lease_run(ops_addresses[0], "turns", &["--slots", "2"], "echo runs; exec sleep 60");
        assert_eq!(line(&mut one).await, "runs");
        let mut other = lease_run(ops_addresses[1], "turns", &["--slots", "2"], "echo runs; exec sleep 60");
        assert_eq!(line(&mut other).await, "runs");
        let third = lease_run(ops_addresses[2], "turns", &["--slots", "2", "--wait", "1"], "echo never");
        assert_eq!(wait_for_exit(third).await.0, Some(75));

        for held in [holder, one, other] {
            // The client forwards the signal to its command.
            signal(&held, "TERM").await.expect("it runs");
            assert_eq!(wait_for_exit(held).await.0, Some(128 + 15));
        }

        let long = "x".repeat(900);
        for (name, code) in [(long.as_str(), 69), ("é", 69)] {
            let (exit_code, _, why) = wait_for_exit(lease_run(ops_addresses[0], name, &[], "true")).await;
            assert_eq!(exit_code, Some(code), "{why}");
            assert!(why.contains("1 to 64 visible ASCII"), "{why}");
        }
    });
}

/// Ignores SIGTERM and prints the pid of a forked child, which ignores it too.
const IGNORES_SIGTERM: &str = "trap '' TERM; (trap '' TERM; sleep 30) & echo $!; wait; sleep 30";

/// A shell command that prints something if that process is running.
fn print_if_running(pid: u32) -> String {
    format!("test -d /proc/{pid} && grep -v Z /proc/{pid}/stat; true")
}

/// A command that ignores SIGTERM, and the child that it forked, are gone before the lease ends.
#[test]
fn a_command_ends_before_its_lease_does() {
    run_local(async {
        let (mut rig, ops_addresses) = electorate().await;
        let mut held = lease_run(ops_addresses[0], "a", &[], IGNORES_SIGTERM);
        let forked: u32 = line(&mut held).await.parse().expect("a pid");
        assert!(call(ops_addresses[0], "ENDLEASE a").await.starts_with("SUCCESS 1 told"));
        let (code, _, why) = wait_for_exit(held).await;
        assert_eq!(code, Some(76), "{why}");
        assert!(!is_running(forked), "the forked child is running");
        assert_eq!(
            wait_for_exit(lease_run(ops_addresses[1], "a", &["--wait", "5"], "true")).await.0,
            Some(0)
        );

        // The node that the lease is held through is killed: nobody extends the lease.
        let mut held = lease_run(ops_addresses[0], "a", &[], IGNORES_SIGTERM);
        let forked: u32 = line(&mut held).await.parse().expect("a pid");
        rig.kill(0).await.expect("killed");
        let next = lease_run(ops_addresses[1], "a", &[], &print_if_running(forked));
        let (code, output, _) = wait_for_exit(next).await;
        assert_eq!((code, output.as_str()), (Some(0), ""), "the next holder found it running");
        assert_eq!(wait_for_exit(held).await.0, Some(76));
    });
}

/// The node that a lease is held through is paused, so that the client waits for answers in vain: the
/// command is gone all the same when the next holder starts.
#[test]
fn a_command_ends_in_time_when_its_node_is_paused() {
    run_local(async {
        // Shorter than the client waits for an answer.
        let lines = "ttl = \"1s\"\nround = \"100ms\"".to_owned();
        let lease = LeasePlan { lines, ..LeasePlan::new(3) };
        let (mut rig, ops_addresses) = electorate_with("0s n0 pause 8s", lease).await;
        let mut held = lease_run(ops_addresses[0], "a", &[], IGNORES_SIGTERM);
        let forked: u32 = line(&mut held).await.parse().expect("a pid");
        let stopped = tokio::task::spawn_local(async move {
            rig.play(|_| ()).await.expect("the script");
            rig
        });
        let next = lease_run(ops_addresses[1], "a", &[], &print_if_running(forked));
        let (code, output, _) = wait_for_exit(next).await;
        assert_eq!((code, output.as_str()), (Some(0), ""), "the next holder found it running");
        assert_eq!(wait_for_exit(held).await.0, Some(76));
        stopped.await.expect("the script was played");
    });
}

/// A command prints its pid, stops itself between its last check of the lease and its action, and acts once
/// it is resumed. Its client is stopped too, so that nothing kills the command, and its node is killed: by
/// the time the command resumes, another holder has acted. Returns the resource that received both actions.
async fn act_after_expiry(fenced: bool) -> Rc<FencedResource> {
    let (mut rig, ops_addresses) = electorate().await;
    let resource = FencedResource::start(fenced).await.expect("a receiver");
    let (host, port) = (resource.address().ip(), resource.address().port());
    let act = format!(
        "exec 3<>/dev/tcp/{host}/{port}; echo BEGIN $BIRCHSWITCH_LEASE_TOKEN >&3; read -r word <&3; echo $word; sleep 30"
    );
    let mut late =
        lease_run(ops_addresses[0], "a", &[], &format!("exec bash -c 'echo $$; kill -STOP $$; {act}'"));
    let stopped: u32 = line(&mut late).await.parse().expect("a pid");
    signal(&late, "STOP").await.expect("it runs");
    rig.kill(0).await.expect("killed");
    let mut next = lease_run(ops_addresses[1], "a", &[], &format!("exec bash -c '{act}'"));
    assert_eq!(line(&mut next).await, "GO");
    let resumed = Command::new("kill").args(["-CONT", &stopped.to_string()]).status().await;
    assert!(resumed.expect("kill").success());
    within("the late action", async {
        while resource.rejected_tokens().len() + resource.accepted().len() < 2 {
            sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
    // The client resumes, finds the lease expired and kills the remaining processes.
    signal(&late, "CONT").await.expect("it runs");
    assert_eq!(wait_for_exit(late).await.0, Some(76));
    assert!(!is_running(stopped));
    resource
}

/// Why the resource checks tokens: however prompt a holder is, it may be stopped between check and action.
#[test]
fn a_holder_stopped_between_check_and_action_is_rejected_by_its_token() {
    run_local(async {
        let fenced = act_after_expiry(true).await;
        assert_eq!(
            (fenced.violations(), fenced.accepted().len(), fenced.rejected_tokens().len()),
            (Vec::new(), 1, 1)
        );
        assert!(fenced.rejected_tokens()[0] < fenced.accepted()[0].token);
        let open = act_after_expiry(false).await;
        assert!(!open.violations().is_empty(), "without the check two holders act: {:?}", open.accepted());
    });
}

/// The client of a lease is killed: its command goes on, so the lease must not be released early.
#[test]
fn a_lease_whose_client_is_killed_expires() {
    run_local(async {
        let (_rig, ops_addresses) = electorate().await;
        let mut held = lease_run(ops_addresses[0], "a", &[], "echo runs; exec sleep 1");
        assert_eq!(line(&mut held).await, "runs");
        let killed = Instant::now();
        held.start_kill().expect("killed");
        wait_for_lease_state(ops_addresses[1], "a/0 vote granted").await;
        assert_eq!(wait_for_exit(lease_run(ops_addresses[1], "a", &[], "true")).await.0, Some(0));
        // Extended at most a third of its time earlier, the lease has at least two thirds left.
        assert!(killed.elapsed() > Duration::from_millis(1100), "{:?}", killed.elapsed());
    });
}
