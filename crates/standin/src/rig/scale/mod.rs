//! What a fleet costs as it grows: real processes with all fleet-wide functions enabled, at several sizes, without
//! clients.
//!
//! For each size a new fleet is started and measured once it has settled. Costs are reported by role: lease holders by
//! their task, voters, and all other nodes. Linear fits over the sizes ([`LinearFit`]) give the growth of each role's
//! cost.

mod fit;
pub(super) mod measure;
mod table;

use super::history::History;
use super::{LeasePlan, Plan, Rig, RigError, Sent};
use crate::script::Script;
pub use fit::LinearFit;
use measure::{usage, Processors, Usage};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
pub use table::{head, row, METRICS};
use tokio::time::{sleep, Instant};

/// The most processes of a fleet.
pub const MAX_PROCESSES: usize = 200;
/// Memory reserved for each process when a size is checked.
const PROCESS_KB: u64 = 32 << 10;
/// Number of voters on leases.
const VOTERS: usize = 5;
/// The fewest nodes of a fleet: the voters and one other node.
const MIN_NODES: usize = VOTERS + 1;
/// Time limit for a fleet to agree on its members and leases.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval at which agreement is checked.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between agreement and the measurement.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Busy fraction of the processors above which processes wait for each other, so that the figures describe the machine
/// and not the fleet.
const MAX_BUSY: f64 = 0.85;
/// Tasks that run on one node each in every fleet.
const TASKS: [&str; 3] = ["limits", "tuner", "verdict"];
/// The further task of fleets with accounts.
const ACCOUNTS_TASK: &str = "wallet";

/// Size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of nodes, each a process.
    pub nodes: usize,
    /// Number of servers that discovery lists; nothing listens there.
    pub servers: usize,
    /// Number of fleet-wide limits, each for a tenant of its own.
    pub limits: usize,
    /// Number of prepaid accounts, each of a tenant of its own.
    pub accounts: usize,
}

/// Why a run was refused or could not continue.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// Too few nodes.
    #[error("{0} nodes are too few: {VOTERS} vote, and at least one does not")]
    TooSmall(usize),
    /// Too many processes.
    #[error("{0} nodes are more than the {MAX_PROCESSES} processes that a run may start")]
    TooManyProcesses(usize),
    /// Too much memory.
    #[error("{nodes} nodes may need {wanted_mb} MB, and a run may take half of the machine's memory, {most_mb} MB")]
    TooMuchMemory {
        /// Number of nodes.
        nodes: usize,
        /// Memory that the nodes may need.
        wanted_mb: u64,
        /// Memory that a run may use.
        most_mb: u64,
    },
    /// The rig failed.
    #[error(transparent)]
    Rig(#[from] RigError),
}

/// Checks whether this machine can run these sizes. Call it before anything is started.
pub fn check(sizes: &[Size]) -> Result<(), ScaleError> {
    check_against(sizes, measure::machine_memory_kb())
}

fn check_against(sizes: &[Size], machine_kb: u64) -> Result<(), ScaleError> {
    for nodes in sizes.iter().map(|size| size.nodes) {
        if nodes < MIN_NODES {
            return Err(ScaleError::TooSmall(nodes));
        }
        if nodes > MAX_PROCESSES {
            return Err(ScaleError::TooManyProcesses(nodes));
        }
        let (wanted, most) = (nodes as u64 * PROCESS_KB, machine_kb / 2);
        if wanted > most {
            return Err(ScaleError::TooMuchMemory { nodes, wanted_mb: wanted >> 10, most_mb: most >> 10 });
        }
    }
    Ok(())
}

/// Returns the base size, then each list's further values with the others at the base, then the last values of all
/// lists together if more than one list has several.
pub fn sizes(nodes: &[usize], servers: &[usize], limits: &[usize], accounts: &[usize]) -> Vec<Size> {
    let pick = |of: fn(&[usize]) -> Option<&usize>| {
        let [nodes, servers, limits, accounts] =
            [nodes, servers, limits, accounts].map(|list| of(list).copied().unwrap_or_default());
        Size { nodes, servers, limits, accounts }
    };
    let base = pick(<[usize]>::first);
    let mut all = vec![base];
    all.extend(nodes.iter().skip(1).map(|&nodes| Size { nodes, ..base }));
    all.extend(servers.iter().skip(1).map(|&servers| Size { servers, ..base }));
    all.extend(limits.iter().skip(1).map(|&limits| Size { limits, ..base }));
    all.extend(accounts.iter().skip(1).map(|&accounts| Size { accounts, ..base }));
    let several = [nodes, servers, limits, accounts].iter().filter(|list| list.len() > 1).count();
    if several > 1 {
        all.push(pick(<[usize]>::last));
    }
    all
}

/// Resources that a process used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// CPU time in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory.
    pub memory_kb: f64,
    /// Number of open descriptors.
    pub descriptors: f64,
    /// Datagrams sent per second.
    pub datagrams: f64,
    /// Bytes sent per second in datagrams.
    pub datagram_bytes: f64,
    /// Bytes sent per second over the mesh.
    pub stream_bytes: f64,
}

/// Result of one size.
#[derive(Clone, Debug)]
pub struct SizeResult {
    /// Size of the fleet.
    pub size: Size,
    /// Time until all nodes knew each other and each task had a holder.
    pub agreed: Duration,
    /// By role: the number of processes and the mean of their costs.
    pub roles: BTreeMap<String, (usize, Cost)>,
    /// Why the figures must not be used, if so.
    pub void: Option<String>,
}

/// Runs a fleet of one size and measures it.
pub async fn play(
    size: Size,
    binary: PathBuf,
    length: Duration,
    seed: u64,
) -> Result<SizeResult, ScaleError> {
    let rig = Rig::start(plan(size, binary, seed)).await?;
    let agreed = agreed(&rig, size).await?;
    sleep(SETTLING_TIME).await;
    let (verdicts, held) = (verdicts(&rig.history()), holders(&rig.history()));
    let processors = Processors::now();
    let (before, began) = (readings(&rig), Instant::now());
    sleep(length).await;
    let (after, seconds) = (readings(&rig), began.elapsed().as_secs_f64());
    let busy = Processors::now().busy_since(processors);
    let history = rig.history();
    let void = match self::verdicts(&history) - verdicts {
        0 if busy > MAX_BUSY => {
            Some(format!("the processors were busy for {:.0}% of the time", 100.0 * busy))
        }
        0 if holders(&history) != held => Some("a task's holder changed".to_owned()),
        0 => None,
        violations => Some(format!("{violations} nodes that live were taken for dead")),
    };
    let roles = roles(&history, size.nodes);
    rig.abort().await?;
    let costs =
        before.iter().zip(&after).map(|(before, after)| cost(before, after, seconds)).collect::<Vec<_>>();
    Ok(SizeResult { size, agreed, roles: by_role(&roles, &costs), void })
}

fn plan(size: Size, binary: PathBuf, seed: u64) -> Plan {
    let script = Script { seed, ..Script::default() };
    let mut operator = "[quota]\n[verdicts]\n[tuner]\n".to_owned();
    for n in 0..size.limits {
        operator +=
            &format!("[[limits]]\nname = \"limit{n}\"\ntenant = \"t{n}\"\nper_s = 100.0\nburst = 100.0\n");
    }
    if size.accounts > 0 {
        operator += "[ledger]\nnodes = [\"n0\", \"n1\", \"n2\"]\nfolder = \"{folder}\"\n";
    }
    for n in 0..size.accounts {
        operator +=
            &format!("[[wallet]]\ntenant = \"t{n}\"\nprices = {{ safe = 1, keyed = 2, unsafe = 5 }}\n");
    }
    Plan {
        zones: 1,
        lease: Some(LeasePlan { lines: String::new(), ..LeasePlan::new(VOTERS) }),
        mesh: true,
        folders: size.accounts > 0,
        servers: (0..size.servers).map(|_| crate::scripted::unique_address()).collect(),
        // The node that runs a task receives from every other node.
        sockets: 8 * (size.nodes + 32),
        settings: settings(size.limits.max(size.accounts).max(1)),
        operator,
        ..Plan::new(binary, size.nodes, script)
    }
}

fn settings(tenants: usize) -> Value {
    let mut settings = crate::scripted::settings();
    let tenant =
        |n| json!({"name": format!("t{n}"), "quota_per_s": 100_000.0, "share": 1.0 / tenants as f64});
    settings["tenants"] = (0..tenants).map(tenant).collect();
    settings
}

/// Waits until the views of all nodes agree and each task has a holder.
async fn agreed(rig: &Rig, size: Size) -> Result<Duration, ScaleError> {
    let began = Instant::now();
    let accounts = (size.accounts > 0).then_some(&ACCOUNTS_TASK);
    let tasks: Vec<&&str> = TASKS.iter().chain(accounts).collect();
    loop {
        let agreement = rig.wait_for_agreement(Duration::from_millis(1)).await;
        let holders = holders(&rig.history());
        let missing = tasks.iter().find(|task| !holders.keys().any(|lease| task_of(lease) == ***task));
        match (agreement, missing) {
            (Ok(_), None) => return Ok(began.elapsed()),
            (Err(error), _) if began.elapsed() > AGREEMENT_TIMEOUT => return Err(error.into()),
            (_, Some(task)) if began.elapsed() > AGREEMENT_TIMEOUT => {
                let (what, last) = (format!("a holder of {task}"), "none".to_owned());
                return Err(RigError::Timeout { what, timeout_after: AGREEMENT_TIMEOUT, last }.into());
            }
            _ => sleep(POLL_INTERVAL).await,
        }
    }
}

fn verdicts(history: &History) -> usize {
    history.lines.iter().filter(|line| line.kind == "verdict").count()
}

/// The task of a lease name, which may also contain a zone and a slot (`TASK/...`).
fn task_of(lease: &str) -> &str {
    lease.split('/').next().unwrap_or(lease)
}

/// Place of each lease's holder.
fn holders(history: &History) -> BTreeMap<String, usize> {
    let mut holders = BTreeMap::new();
    // Lines of different processes are not in order of time.
    let mut lines: Vec<_> = history.lines.iter().filter(|line| !line.text("lease").is_empty()).collect();
    lines.sort_by_key(|line| line.at);
    for line in lines {
        let lease = line.text("lease");
        match line.kind.as_str() {
            "granted" => drop(holders.insert(lease.to_owned(), line.place)),
            "lost" | "released" if holders.get(lease) == Some(&line.place) => drop(holders.remove(lease)),
            _ => {}
        }
    }
    holders
}

/// Roles of each place: the tasks it holds; else voter or plain node.
fn roles(history: &History, nodes: usize) -> Vec<Vec<String>> {
    let mut roles = vec![Vec::new(); nodes];
    for (lease, place) in holders(history) {
        roles[place].push(format!("holder of {}", task_of(&lease)));
    }
    for (place, roles) in roles.iter_mut().enumerate().filter(|(_, roles)| roles.is_empty()) {
        roles.push(if place < VOTERS { "voter" } else { "node" }.to_owned());
    }
    roles
}

fn readings(rig: &Rig) -> Vec<(Usage, Sent)> {
    let reading = |place: usize| (rig.pid(place).map(usage).unwrap_or_default(), rig.sent(place));
    rig.places().into_iter().map(reading).collect()
}

fn cost(before: &(Usage, Sent), after: &(Usage, Sent), seconds: f64) -> Cost {
    let per_second = |before: u64, after: u64| (after - before) as f64 / seconds;
    Cost {
        cpu_percent: 100.0 * after.0.cpu.saturating_sub(before.0.cpu).as_secs_f64() / seconds,
        memory_kb: after.0.memory_kb as f64,
        descriptors: after.0.descriptors as f64,
        datagrams: per_second(before.1.datagrams, after.1.datagrams),
        datagram_bytes: per_second(before.1.datagram_bytes, after.1.datagram_bytes),
        stream_bytes: per_second(before.1.stream_bytes, after.1.stream_bytes),
    }
}

fn by_role(roles: &[Vec<String>], costs: &[Cost]) -> BTreeMap<String, (usize, Cost)> {
    let mut sums: BTreeMap<String, (usize, Cost)> = BTreeMap::new();
    for (roles, cost) in roles.iter().zip(costs) {
        for role in roles {
            let (count, sum) = sums.entry(role.clone()).or_default();
            *count += 1;
            *sum = METRICS.iter().fold(*sum, |sum, metric| metric.add(sum, cost));
        }
    }
    for (count, sum) in sums.values_mut() {
        *sum = METRICS.iter().fold(*sum, |sum, metric| metric.divide(sum, *count as f64));
    }
    sums
}

#[cfg(test)]
mod tests;
