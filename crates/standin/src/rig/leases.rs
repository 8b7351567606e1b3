//! Lease cases on the rig. A contender at each node acts while it holds the lease; acts and holders must never overlap.

use super::history::{now, History, Nanos, RigAction};
use super::{LeasePlan, Plan, Rig};
use crate::script::Script;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Name of the lease that all contenders request.
const NAME: &str = "task";
/// Interval at which a contender polls its node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for an answer; shorter than a lease, so that a paused node is noticed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// An act of a contender under one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Activity {
    /// Place of the contender's node.
    pub place: usize,
    /// Newest fencing token that the contender was given.
    pub token: u64,
    /// Begin of the act.
    pub begin: Nanos,
    /// End of the act.
    pub end: Nanos,
}

/// A lease case.
pub struct Case<'a> {
    /// Name of the case.
    pub name: &'a str,
    /// Number of nodes, and of voters, which are the first nodes.
    pub nodes: [usize; 2],
    /// Fault script.
    pub script: &'a str,
    /// Rates of the nodes' lease clocks, assigned in rotation.
    pub rates: &'static [f64],
    /// Safeguards to disable.
    pub without: &'static [&'static str],
    /// Nodes with a contender; all if empty.
    pub contenders: &'static [usize],
    /// How long a contender acts before it releases the lease.
    pub hold_time: Duration,
    /// Contenders that find the lease busy ask again at once, so that one is asking at the moment it is released.
    pub retry_at_once: bool,
}

/// Seven nodes of which five vote, a contender at each node, and no faults.
pub const BASELINE: Case<'static> = Case {
    name: "",
    nodes: [7, 5],
    script: "",
    rates: &[],
    without: &[],
    contenders: &[],
    hold_time: Duration::from_millis(1500),
    retry_at_once: false,
};

/// No two contenders may act at once in any of these. Leases live for 2 s.
pub const CASES: &[Case<'static>] = &[
    Case { name: "lease-calm", script: "8s wire lose 0", ..BASELINE },
    Case { name: "lease-pauses", script: "1s n0 pause 6s\n3s n5 pause 6s\n5s n1-n2 pause 3s\n9s n6 pause 6s\n12s nodes pause 3s\n18s wire lose 0", ..BASELINE },
    Case {
        name: "lease-deaths",
        script: "2s n5-n6 die\n3s n0 die\n4s n5-n6 start\n4s n0 start\n7s n0-n4 die\n7s n0-n4 start\n13s nodes die\n13s nodes start\n20s wire lose 0",
        ..BASELINE
    },
    Case {
        name: "lease-wire",
        script: "0s wire lose 0.3\n0s wire double 0.3\n4s wire delay 3s\n9s wire delay 0s\n9s wire cut n5 n0-n4\n12s wire heal\n\
                 12s wire cut n0-n4 n6\n15s wire heal\n15s wire split n0-n1 n2-n6\n18s wire heal\n20s wire lose 0",
        ..BASELINE
    },
    // Grants are in transit when all voters die.
    Case {
        name: "lease-late-grants",
        script: "0s wire delay 60ms\n2s n0-n4 die\n2s n0-n4 start\n6s n0-n4 die\n6s n0-n4 start\n11s wire delay 0s\n12s wire lose 0",
        ..BASELINE
    },
    // Voters hear every candidate, but no other voter.
    Case {
        name: "lease-deaf-voters",
        nodes: [5, 3],
        script: "1s wire split n0 n1-n2\n1s wire split n1 n2\n9s wire heal",
        contenders: &[3, 4],
        ..BASELINE
    },
    Case {
        name: "lease-clocks",
        script: "2s wire cut n5-n6 n0-n4\n5s wire heal\n7s wire cut n0-n4 n0-n6\n10s wire heal\n12s wire cut n0-n6 n0-n4\n15s wire heal\n16s wire lose 0",
        rates: &[1.04, 0.96, 1.04, 0.96, 1.04, 0.96, 0.96],
        ..BASELINE
    },
];

/// Result of a case.
pub struct Outcome {
    /// What did not hold.
    pub violations: Vec<String>,
    /// All acts, by their begin.
    pub activities: Vec<Activity>,
    /// Number of grants that nodes logged.
    pub grants: usize,
    /// Number of losses that nodes logged.
    pub lost: usize,
    /// The longest time in which nobody acted.
    pub gap: Duration,
    /// Events of the whole run.
    pub history: History,
}

/// Runs a case and checks it.
pub async fn play(case: &Case<'_>, binary: PathBuf, seed: u64) -> Result<Outcome, super::cases::CaseError> {
    let [nodes, voters] = case.nodes;
    let mut script = Script::parse(case.script, 0, nodes)?;
    script.seed = seed;
    let (rates, without) = (case.rates.to_vec(), case.without.to_vec());
    let lease = LeasePlan { rates, without, ..LeasePlan::new(voters) };
    let plan = Plan { lease: Some(lease.clone()), ..Plan::new(binary, nodes, script) };
    let mut rig = Rig::start(plan).await?;
    rig.wait_for_agreement(Duration::from_secs(60)).await?;
    let activities: Rc<RefCell<Vec<Activity>>> = Rc::default();
    let mut contenders = JoinSet::new();
    for place in (0..nodes).filter(|n| case.contenders.is_empty() || case.contenders.contains(n)) {
        let (activities, operators) = (activities.clone(), rig.operator_addresses());
        let behavior = ContenderBehavior {
            hold_time: case.hold_time,
            releases_on_loss: false,
            retry_at_once: case.retry_at_once,
        };
        contenders.spawn_local(async move { contend(place, &operators, behavior, &activities).await });
    }
    let granted = |h: &History| h.lines.iter().filter(|l| l.kind == "granted").count();
    let first = |h: &History| granted(h) > 0;
    rig.wait_until("a first grant", Duration::from_secs(20), first, |_| "none".to_owned()).await?;
    rig.play(|_| {}).await?;
    let before = granted(&rig.history());
    // Contenders that release the lease after a while must be granted it again.
    let again = |h: &History| granted(h) > before || case.hold_time > Duration::from_secs(5);
    rig.wait_until("a grant after all faults", Duration::from_secs(20), again, |_| "none".to_owned()).await?;
    contenders.shutdown().await;
    let history = rig.history();
    rig.close().await?;
    let mut activities = activities.take();
    activities.sort_by_key(|a| a.begin);
    let mut violations = overlaps(&activities);
    violations.extend(concurrent_holders(&history, &lease, NAME));
    let mut gap = 0;
    for pair in activities.windows(2) {
        gap = gap.max(pair[1].begin.saturating_sub(pair[0].end));
    }
    let count = |kind| history.lines.iter().filter(|l| l.kind == kind).count();
    let (grants, lost, gap) = (count("granted"), count("lost"), Duration::from_nanos(gap));
    Ok(Outcome { violations, activities, grants, lost, gap, history })
}

/// How a contender uses a grant.
#[derive(Clone, Copy, Debug)]
pub(super) struct ContenderBehavior {
    /// How long it acts before it releases the lease.
    pub hold_time: Duration,
    /// When told that the lease is lost, it stops at once and releases it; otherwise it uses up the time it was
    /// granted.
    pub releases_on_loss: bool,
    /// It asks again at once when another one holds the lease.
    pub retry_at_once: bool,
}

/// Requests the lease at one node, acts while it is granted, releases it after a while, and starts over.
pub(super) async fn contend(
    place: usize,
    operators: &super::SharedAddresses,
    behavior: ContenderBehavior,
    activities: &RefCell<Vec<Activity>>,
) {
    loop {
        let address = operators.borrow()[place];
        if let Some(address) = address {
            session(place, address, behavior, activities).await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn session(
    place: usize,
    address: SocketAddr,
    behavior: ContenderBehavior,
    activities: &RefCell<Vec<Activity>>,
) {
    let Ok(Ok(stream)) = timeout(REPLY_TIMEOUT, TcpStream::connect(address)).await else { return };
    let mut stream = BufReader::new(stream);
    let mut question = format!("LEASE {NAME} 1\n");
    // Index of the current act, and when the grant for it expires.
    let mut activity: Option<(usize, Nanos)> = None;
    loop {
        let asked = now();
        let mut line = String::new();
        let exchange = async {
            stream.write_all(question.as_bytes()).await?;
            stream.read_line(&mut line).await
        };
        let answered = timeout(REPLY_TIMEOUT, exchange).await;
        question = "\n".to_owned();
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let grant = match (answered, &words[..]) {
            (Ok(Ok(_)), ["HELD", token, _, left]) => token.parse().ok().zip(left.parse::<u64>().ok()),
            (Ok(Ok(_)), ["WAITING", "busy"]) if activity.is_none() && behavior.retry_at_once => {
                let _ = timeout(REPLY_TIMEOUT, stream.write_all(b"RELEASE\n")).await;
                return;
            }
            (Ok(Ok(_)), ["WAITING", ..]) if activity.is_none() => {
                sleep(POLL_INTERVAL).await;
                continue;
            }
            _ => None,
        };
        let Some((token, left)) = grant else {
            if let (Some((n, valid_until)), ["LOST"], true) =
                (activity, &words[..], behavior.releases_on_loss)
            {
                activities.borrow_mut()[n].end = now().min(valid_until);
                let _ = timeout(REPLY_TIMEOUT, stream.write_all(b"RELEASE\n")).await;
                return;
            }
            // No further answer: the act goes on until the grant expires.
            if let Some((n, valid_until)) = activity {
                sleep(Duration::from_nanos(valid_until.saturating_sub(now()))).await;
                // The granted time counts, not when this task woke up.
                activities.borrow_mut()[n].end = valid_until;
            }
            return;
        };
        let valid_until = asked + left * 1_000_000;
        let at = now();
        match &mut activity {
            None if at < valid_until => {
                activities.borrow_mut().push(Activity { place, token, begin: at, end: valid_until });
                activity = Some((activities.borrow().len() - 1, valid_until));
            }
            None => {}
            Some((n, until)) => {
                *until = valid_until.max(*until);
                let mut activities = activities.borrow_mut();
                (activities[*n].token, activities[*n].end) = (token, *until);
            }
        }
        if let Some((n, _)) = activity {
            let begin = activities.borrow()[n].begin;
            if at > begin + behavior.hold_time.as_nanos() as u64 {
                // The act ends before the lease is released.
                activities.borrow_mut()[n].end = now();
                let _ = timeout(REPLY_TIMEOUT, stream.write_all(b"RELEASE\n")).await;
                return;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Overlapping acts, and tokens that do not increase. Acts are sorted by their begin.
pub fn overlaps(activities: &[Activity]) -> Vec<String> {
    let mut violations = Vec::new();
    for (n, activity) in activities.iter().enumerate() {
        for earlier in
            activities[..n].iter().filter(|e| e.place != activity.place || e.token != activity.token)
        {
            if activity.begin < earlier.end {
                let ms = (earlier.end - activity.begin) / 1_000_000;
                violations.push(format!(
                    "n{} acted with token {} while n{} still acted with {} for {ms} ms",
                    activity.place, activity.token, earlier.place, earlier.token
                ));
            }
            if activity.token <= earlier.token {
                violations.push(format!("token {} came after {}", activity.token, earlier.token));
            }
        }
    }
    violations
}

/// Processes that hold a lease whose name starts with `name` at the same time, by their own events and the rig's
/// actions.
pub fn concurrent_holders(history: &History, lease: &LeasePlan, name: &str) -> Vec<String> {
    // Begin, end and place of each grant.
    let mut spans: Vec<(Nanos, Nanos, usize)> = Vec::new();
    let mut open: BTreeMap<(usize, usize), usize> = BTreeMap::new();
    for line in history.lines.iter().filter(|l| l.text("lease").starts_with(name)) {
        let who = (line.place, line.start);
        let until = line.at + (line.number("left_ms") as f64 / lease.rate(line.place) * 1e6) as u64;
        match line.kind.as_str() {
            "granted" => {
                open.insert(who, spans.len());
                spans.push((line.at, until, line.place));
            }
            "extended" => open.get(&who).iter().for_each(|n| spans[**n].1 = until),
            "released" => open.remove(&who).iter().for_each(|n| spans[*n].1 = spans[*n].1.min(line.at)),
            _ => {}
        }
    }
    // A process that ended holds nothing.
    for (at, action) in &history.actions {
        if let RigAction::Ended(place, _) = action {
            let theirs = spans.iter_mut().filter(|s| s.2 == *place && s.0 <= *at);
            theirs.for_each(|s| s.1 = s.1.min(*at));
        }
    }
    spans.sort();
    let mut violations = Vec::new();
    for pair in spans.windows(2) {
        let ((_, until, one), (from, _, other)) = (pair[0], pair[1]);
        // Events are logged slightly late, and their times are whole milliseconds.
        if from + 5_000_000 < until {
            let ms = (until - from) / 1_000_000;
            violations.push(format!("n{other} holds the lease while n{one} holds it for {ms} ms more"));
        }
    }
    violations
}
