//! Lease takeovers among processes: the time until another node holds the lease after its holder's end, and scripts of
//! random faults.

use super::history::{now, History};
use super::leases::{concurrent_holders, contend, overlaps, Activity, ContenderBehavior};
use super::{LeasePlan, Plan, Rig, RigError};
use crate::script::Script;
use birchswitch_lab::rng::Rng;
use std::cell::RefCell;
use std::fmt::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Number of nodes, and of voters among them.
const NODES: [usize; 2] = [7, 5];
/// Time limit for the first or the next holder.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of a series of takeovers.
#[derive(Debug, Default)]
pub struct Takeovers {
    /// Seconds from each signal until another process was granted the lease.
    pub delays: Vec<f64>,
    /// Number of all grants, including the first.
    pub grants: usize,
    /// What did not hold.
    pub violations: Vec<String>,
}

fn granted(h: &History) -> usize {
    h.lines.iter().filter(|l| l.kind == "granted").count()
}

/// Lease events around a time, for error messages.
fn lease_events(history: &History, holder: usize, at: u64) -> String {
    let of_leases = history.lines.iter().filter(|l| !l.text("lease").is_empty() || l.kind == "votes");
    let events: Vec<String> = of_leases
        .map(|l| format!("{:+.1} s n{} {}", (l.at as f64 - at as f64) / 1e9, l.place, l.kind))
        .filter(|l| !l.ends_with("extended"))
        .collect();
    format!("n{holder} held the lease; {}", events.join(", "))
}

/// Ends the holder's process `ends` times, with SIGKILL or SIGTERM. Contenders at all nodes never release the lease.
pub async fn takeovers(binary: PathBuf, ends: usize, killed: bool, seed: u64) -> Result<Takeovers, RigError> {
    let [nodes, voters] = NODES;
    let lease = LeasePlan::new(voters);
    let script = Script { seed, ..Script::default() };
    let plan = Plan { lease: Some(lease.clone()), ..Plan::new(binary, nodes, script) };
    let mut rig = Rig::start(plan).await?;
    rig.wait_for_agreement(HOLDER_TIMEOUT).await?;
    let activities: Rc<RefCell<Vec<Activity>>> = Rc::default();
    let mut contenders = JoinSet::new();
    let behavior = ContenderBehavior {
        hold_time: Duration::from_secs(86_400),
        releases_on_loss: true,
        retry_at_once: false,
    };
    for place in 0..nodes {
        let (activities, operator_addresses) = (activities.clone(), rig.operator_addresses());
        contenders
            .spawn_local(async move { contend(place, &operator_addresses, behavior, &activities).await });
    }
    let mut found = Takeovers::default();
    for _ in 0..ends {
        // Wait until voters that have just started no longer abstain and the holder is stable.
        rig.wait_until("a holder", HOLDER_TIMEOUT, |h| granted(h) > 0, |_| "none".to_owned()).await?;
        let settled = Duration::from_secs_f64(3.5);
        sleep(settled).await;
        let history = rig.history();
        let Some(holder) = history.lines.iter().rev().find(|l| l.kind == "granted").map(|l| l.place) else {
            continue;
        };
        let grants = granted(&history);
        let ended = now();
        let ending = async {
            match killed {
                true => rig.kill(holder).await,
                false => rig.stop(holder).await,
            }
        };
        ending.await?;
        let next = |h: &History| h.lines.iter().filter(|l| l.kind == "granted").nth(grants).map(|l| l.at);
        let next_holder = rig
            .wait_until(
                "a next holder",
                HOLDER_TIMEOUT,
                |h| next(h).is_some(),
                |h| lease_events(h, holder, ended),
            )
            .await;
        if let Err(mut error) = next_holder {
            let operator_addresses = rig.operator_addresses().borrow().clone();
            for address in operator_addresses.into_iter().flatten() {
                let leases = crate::scripted::call(address, "LEASES").await;
                if let RigError::Timeout { last, .. } = &mut error {
                    let _ = write!(last, "\n{leases}");
                }
            }
            return Err(error);
        }
        let at = next(&rig.history()).unwrap_or(ended);
        found.delays.push(at.saturating_sub(ended) as f64 / 1e9);
        rig.spawn(holder, holder).await?;
    }
    contenders.shutdown().await;
    let history = rig.history();
    rig.close().await?;
    found.grants = granted(&history);
    let mut activities = activities.take();
    activities.sort_by_key(|a| a.begin);
    found.violations = overlaps(&activities);
    found.violations.extend(concurrent_holders(&history, &lease, "task"));
    Ok(found)
}

/// Generates a script of random faults: deaths, pauses, cuts, loss, delay and duplication. One or two are active at a
/// time, and each is healed before the next but one.
pub fn random_script(seconds: u64, seed: u64) -> String {
    let [nodes, voters] = NODES;
    let mut rng = Rng::new(seed, 91);
    let mut faults: Vec<(f64, String)> = Vec::new();
    let mut at = 1.0;
    while at < seconds as f64 {
        let (n, m, length) = (rng.below(nodes), rng.below(nodes), 0.5 + 4.0 * rng.unit());
        let mut add = |after: f64, what: String| faults.push((at + after, what));
        match rng.below(12) {
            0 | 1 => {
                add(0.0, format!("n{n} die"));
                add(0.1 + length / 4.0, format!("n{n} start"));
            }
            2 | 3 => add(0.0, format!("n{n} pause {}ms", (length * 1500.0) as u64)),
            4 => add(0.0, format!("nodes pause {}ms", (length * 800.0) as u64)),
            5 => {
                add(0.0, format!("n0-n{} die", voters - 1));
                add(0.2, format!("n0-n{} start", voters - 1));
            }
            6 | 7 => {
                let to = if n == m { "n0-n4".to_owned() } else { format!("n{m}") };
                add(0.0, format!("wire cut n{n} {to}"));
                add(length, "wire heal".to_owned());
            }
            8 => {
                let first = rng.below(nodes - 1);
                add(0.0, format!("wire split n0-n{first} n{}-n{}", first + 1, nodes - 1));
                add(length, "wire heal".to_owned());
            }
            9 => {
                add(0.0, "wire lose 0.3".to_owned());
                add(length, "wire lose 0".to_owned());
            }
            10 => {
                add(0.0, "wire delay 3s".to_owned());
                add(length, "wire delay 0s".to_owned());
            }
            _ => {
                add(0.0, "wire double 0.3".to_owned());
                add(length, "wire double 0".to_owned());
            }
        }
        at += 2.0 + 3.0 * rng.unit();
    }
    faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut text = String::new();
    // Writing to a string never fails.
    for (at, what) in faults {
        let _ = writeln!(text, "{}ms {what}", (at * 1e3) as u64);
    }
    let _ = writeln!(text, "{}ms wire lose 0", seconds * 1000 + 6_000);
    text
}
