//! `birchswitch-standin`: runs real nodes among stand-ins, as a demonstration and for fault and scale runs.

#![forbid(unsafe_code)]

mod scale_command;

use birchswitch_standin::cost::{self, Transport};
use birchswitch_standin::fleet::{self, Plan, Report};
use birchswitch_standin::process;
use birchswitch_standin::process::block_on;
use birchswitch_standin::results::Results;
use birchswitch_standin::rig::cases::{self, CASES};
use birchswitch_standin::rig::common;
use birchswitch_standin::rig::leases;
use birchswitch_standin::rig::takeovers::{random_script, takeovers};
use birchswitch_standin::script::{Injection, Script};
use birchswitch_standin::site::Site;
use birchswitch_thrift::Protocol;
use clap::{Args, Parser, Subcommand};
use std::error::Error;
use std::path::PathBuf;
use std::process::{Command, ExitCode};
use std::time::Duration;

/// Stand-in servers, registry and clients for real nodes, on loopback.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Subcommands,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Run a site for a minute with a freeze, a rolling deploy, a server's death and its restart, and print a table of
    /// the results
    Demo(DemoArguments),
    /// Run membership and lease cases among many processes with faults on the network between them, and print a table
    /// of the results
    Rig(RigArguments),
    /// Measure lease takeovers after a holder's end, and check leases under random faults
    Leases(LeaseArguments),
    /// Run limits, wallet, verdicts and weights of one fleet together under random faults
    Common(CommonArguments),
    /// Measure what a fleet costs as it grows, with all fleet-wide functions enabled and without clients
    Scale(scale_command::Arguments),
    /// Measure the CPU time, latency and memory that a request costs a node over HTTP and Thrift
    Cost(CostArguments),
}

#[derive(Args)]
struct RigArguments {
    /// Cases to run, by the names that `--list` prints; all if none is given
    cases: Vec<String>,
    /// Print the names and scripts of the cases, and run none
    #[arg(long)]
    list: bool,
    /// Random seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs of each case, with consecutive seeds
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    runs: u64,
    /// Run no case; measure what this many idle processes cost
    #[arg(long, value_parser = clap::value_parser!(u16).range(3..=100))]
    idle: Option<u16>,
    /// Write the events of each run to CASE-SEED.jsonl in this folder, one JSON line per event
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Node binary to run in place of the one from this workspace
    #[arg(long)]
    node: Option<PathBuf>,
}

#[derive(Args)]
struct LeaseArguments {
    /// Number of lease holders to kill, one after the other
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=1000))]
    kills: u16,
    /// Number of lease holders to end with SIGTERM
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=1000))]
    ends: u16,
    /// Minutes of random faults
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=1000))]
    minutes: u16,
    /// Random seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Node binary to run in place of the one from this workspace
    #[arg(long)]
    node: Option<PathBuf>,
}

#[derive(Args)]
struct CommonArguments {
    /// Number of nodes
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(4..=40))]
    nodes: u16,
    /// Minutes of random faults
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=1000))]
    minutes: u16,
    /// Random seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Node binary to run in place of the one from this workspace
    #[arg(long)]
    node: Option<PathBuf>,
}

#[derive(Args)]
struct CostArguments {
    /// Rounds; each figure is the median of all rounds
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=50))]
    rounds: u16,
    /// Length of each measurement in seconds
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=60))]
    seconds: u16,
    /// Number of clients, each with one request in flight
    #[arg(long, default_value_t = 32, value_parser = clap::value_parser!(u16).range(1..=256))]
    clients: u16,
    /// Node binary to run in place of the one from this workspace
    #[arg(long)]
    node: Option<PathBuf>,
    /// Another node binary to measure for comparison over HTTP
    #[arg(long)]
    beside: Option<PathBuf>,
}

#[derive(Args)]
struct DemoArguments {
    /// Number of nodes
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=64))]
    nodes: u16,
    /// Number of servers, four to a cell
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=200))]
    servers: u16,
    /// Rate of orders as a fraction of the capacity of all servers
    #[arg(long, default_value_t = 0.6, value_parser = part)]
    load: f64,
    /// Length in seconds
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u16).range(1..=600))]
    seconds: u16,
    /// Site to serve: `shop`, or `clinic`, whose classes and settings all differ
    #[arg(long, default_value = "shop", value_parser = site)]
    site: Site,
    /// Fault script to run in place of the default one
    #[arg(long)]
    script: Option<PathBuf>,
    /// Random seed, in place of the script's
    #[arg(long)]
    seed: Option<u64>,
    /// Node binary to run in place of the one from this workspace
    #[arg(long)]
    node: Option<PathBuf>,
}

/// Default fault script, for the default fleet.
const LAUNCH_SCRIPT: &str = "\
seed 7
8s   s2      freeze 1500ms
15s  s4-s7   deploy drain 2s every 4s
38s  s9      die
48s  s9      start
";

fn site(name: &str) -> Result<Site, String> {
    Site::from_name(name).ok_or_else(|| "expected `shop` or `clinic`".into())
}

fn part(text: &str) -> Result<f64, String> {
    let part = text.parse::<f64>().ok().filter(|p| (0.01..=5.0).contains(p));
    part.ok_or_else(|| "expected a number from 0.01 to 5".into())
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Subcommands::Demo(demo) => run_demo(demo).map(|results| results.violations().is_empty()),
        Subcommands::Rig(arguments) => run_rig(&arguments),
        Subcommands::Leases(arguments) => run_leases(&arguments),
        Subcommands::Common(arguments) => run_common(&arguments),
        Subcommands::Scale(arguments) => scale_command::run(&arguments, build_node),
        Subcommands::Cost(cost) => run_cost(cost).map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(error) => {
            eprintln!("birchswitch-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_demo(demo: DemoArguments) -> Result<Results, Box<dyn Error>> {
    let (nodes, servers) = (usize::from(demo.nodes), usize::from(demo.servers));
    let mut script = match &demo.script {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            Script::parse(&text, servers, nodes).map_err(|e| format!("{}: {e}", path.display()))?
        }
        None => Script::parse(LAUNCH_SCRIPT, servers, nodes)
            .map_err(|e| format!("the default script needs at least 10 servers: {e}"))?,
    };
    if let Some(entry) =
        script.entries.iter().find(|e| matches!(e.injection, Injection::Nodes(..) | Injection::Wire(_)))
    {
        return Err(format!("`{}` needs `birchswitch-standin rig`", entry.injection).into());
    }
    script.seed = demo.seed.unwrap_or(script.seed);
    let binary = match demo.node {
        Some(path) => path,
        None => build_node()?,
    };
    let plan = Plan {
        binary,
        nodes,
        servers,
        cores: 2,
        work: 0.020,
        load: demo.load,
        length: Duration::from_secs(demo.seconds.into()),
        warm_up: Duration::from_secs(10),
        slack: Duration::from_millis(50),
        site: demo.site,
        script,
    };
    println!("{nodes} nodes, {servers} servers, {} s, load {}; script:", demo.seconds, demo.load);
    plan.script.to_string().lines().for_each(|l| println!("    {l}"));
    println!("\n{:>5}{:>9}{:>9}{:>7}{:>9}{:>8}", "s", "asked", "in time", "late", "refused", "failed");
    let results = block_on(fleet::play(plan, progress))??;
    println!("\n{results}");
    match results.violations()[..] {
        [] => println!("no rule broken: each order had one final answer, none that may not ran twice"),
        ref faults => println!("BROKEN RULES: {}", faults.join("; ")),
    }
    Ok(results)
}

fn run_rig(arguments: &RigArguments) -> Result<bool, Box<dyn Error>> {
    let names: Vec<&str> = CASES.iter().map(|c| c.name).chain(leases::CASES.iter().map(|c| c.name)).collect();
    let unknown = arguments.cases.iter().find(|name| !names.contains(&name.as_str()));
    if let Some(name) = unknown {
        return Err(format!("there is no case {name:?}: `rig --list` prints all").into());
    }
    let wanted = |name: &str| arguments.cases.is_empty() || arguments.cases.iter().any(|n| n == name);
    let chosen = CASES.iter().filter(|c| wanted(c.name));
    let lease_cases = || leases::CASES.iter().filter(|c| wanted(c.name));
    let seeds = || arguments.seed..arguments.seed + arguments.runs;
    if arguments.list {
        for case in chosen {
            println!("{}: {} nodes", case.name, case.nodes[0]);
            case.script.lines().for_each(|l| println!("    {}", l.trim()));
        }
        for case in lease_cases() {
            println!("{}: {} nodes, {} vote", case.name, case.nodes[0], case.nodes[1]);
            case.script.lines().for_each(|l| println!("    {}", l.trim()));
        }
        return Ok(true);
    }
    let binary = match &arguments.node {
        Some(path) => path.clone(),
        None => build_node()?,
    };
    if let Some(nodes) = arguments.idle {
        let idle = block_on(cases::idle(nodes.into(), binary, Duration::from_secs(30)))??;
        println!(
            "{nodes} processes, one membership after {:.1} s; each {:.2}% of a core (most {:.2}%), {:.1} datagrams and {:.0} \
             bytes a second",
            idle.agreed.as_secs_f64(),
            100.0 * idle.cpu[0],
            100.0 * idle.cpu[1],
            idle.sent[0],
            idle.sent[1]
        );
        return Ok(true);
    }
    println!(
        "{:<16}{:>6}{:>9}{:>12}{:>12}{:>10}{:>13}",
        "case", "seed", "one, s", "known, s", "last, s", "verdicts", "datagrams/s"
    );
    let mut passed = true;
    for case in chosen {
        for seed in seeds() {
            let outcome = block_on(cases::play(case, binary.clone(), seed, |_| {}))??;
            println!("{:<16}{seed:>6}{outcome}", case.name);
            if let Some(folder) = &arguments.keep {
                std::fs::create_dir_all(folder)?;
                let lines =
                    outcome.history.lines.iter().map(|l| {
                        serde_json::json!({"place": l.place, "fields": l.fields}).to_string() + "\n"
                    });
                std::fs::write(
                    folder.join(format!("{}-{seed}.jsonl", case.name)),
                    lines.collect::<String>(),
                )?;
            }
            if !outcome.violations.is_empty() {
                passed = false;
                println!("    seed {seed}, script:");
                case.script.lines().for_each(|l| println!("        {}", l.trim()));
                outcome.violations.iter().for_each(|w| println!("    WRONG: {w}"));
            }
        }
    }
    if lease_cases().next().is_some() {
        println!("{:<16}{:>6}{:>9}{:>12}{:>12}{:>10}", "case", "seed", "acts", "grants", "lost", "gap, s");
    }
    for case in lease_cases() {
        for seed in seeds() {
            let outcome = block_on(leases::play(case, binary.clone(), seed))??;
            println!(
                "{:<16}{seed:>6}{:>9}{:>12}{:>12}{:>10.1}",
                case.name,
                outcome.activities.len(),
                outcome.grants,
                outcome.lost,
                outcome.gap.as_secs_f64()
            );
            passed &= outcome.violations.is_empty();
            outcome.violations.iter().for_each(|w| println!("    WRONG: seed {seed}: {w}"));
        }
    }
    Ok(passed)
}

fn run_leases(arguments: &LeaseArguments) -> Result<bool, Box<dyn Error>> {
    let binary = match &arguments.node {
        Some(path) => path.clone(),
        None => build_node()?,
    };
    let (seed, mut passed) = (arguments.seed, true);
    println!("seven nodes, five of which vote; leases live for 2 s; seed {seed}");
    for (what, times, killed) in [("killed", arguments.kills, true), ("ended", arguments.ends, false)] {
        if times == 0 {
            continue;
        }
        let mut found = block_on(takeovers(binary.clone(), times.into(), killed, seed))??;
        found.delays.sort_by(f64::total_cmp);
        let at = |part: f64| found.delays[((found.delays.len() - 1) as f64 * part).round() as usize];
        println!(
            "{times} holders {what}: the next after {:.2} s (median), {:.2} s (p99), {:.2} s (worst); {:.2} grants for each",
            at(0.5),
            at(0.99),
            at(1.0),
            (found.grants - 1) as f64 / f64::from(times)
        );
        passed &= found.violations.is_empty();
        found.violations.iter().for_each(|w| println!("    WRONG: {w}"));
    }
    if arguments.minutes > 0 {
        let script = random_script(u64::from(arguments.minutes) * 60, seed);
        let case = leases::Case { name: "random", script: &script, ..leases::BASELINE };
        let outcome = block_on(leases::play(&case, binary, seed))??;
        println!("{} minutes of random faults", arguments.minutes);
        for kind in ["die", "start", "pause", "cut", "split", "lose", "delay", "double"] {
            let lines = script.lines().filter(|l| l.split(' ').any(|w| w == kind)).count();
            println!("    {kind:<8}{lines:>6}");
        }
        println!(
            "    {} acts, {} grants, {} lost, longest time without an act {:.1} s, {} overlaps or tokens that fell",
            outcome.activities.len(),
            outcome.grants,
            outcome.lost,
            outcome.gap.as_secs_f64(),
            outcome.violations.len()
        );
        passed &= outcome.violations.is_empty();
        outcome.violations.iter().for_each(|w| println!("    WRONG: {w}"));
    }
    Ok(passed)
}

fn run_common(arguments: &CommonArguments) -> Result<bool, Box<dyn Error>> {
    let binary = match &arguments.node {
        Some(path) => path.clone(),
        None => build_node()?,
    };
    let (nodes, minutes, seed) = (arguments.nodes.into(), arguments.minutes.into(), arguments.seed);
    let report = |at: u64, script: &str| println!("{at:>6} of {} s  {script}", minutes * 60);
    let outcome = block_on(common::play(nodes, minutes, binary, seed, report))??;
    let [all, served, refused, failed, without] = outcome.ended;
    println!("{nodes} nodes, {minutes} minutes, seed {seed}; faults {:?}", outcome.faults);
    println!("{all} requests: {served} served, {refused} refused, {failed} failed, {without} of nodes that died or stood still");
    println!("the limit: at most {:.1} requests under what any window may hold", -outcome.rate_excess);
    println!("the wallet: {:?}", outcome.shown);
    println!("memory in kB and descriptors of the largest process, each minute: {:?}", outcome.sizes);
    outcome.violations.iter().for_each(|w| println!("    WRONG: {w}"));
    Ok(outcome.violations.is_empty())
}

fn run_cost(arguments: CostArguments) -> Result<(), Box<dyn Error>> {
    let binary = match arguments.node {
        Some(path) => path,
        None => build_node()?,
    };
    let measure_one = |binary: &PathBuf, transport, probes| -> Result<cost::Cost, Box<dyn Error>> {
        let plan = cost::Plan {
            binary: binary.clone(),
            transport,
            probes,
            clients: arguments.clients.into(),
            servers: 16,
            length: Duration::from_secs(arguments.seconds.into()),
        };
        Ok(block_on(cost::measure(&plan))??)
    };
    let transports =
        [Transport::Http, Transport::Thrift(Protocol::Compact), Transport::Thrift(Protocol::Binary)];
    let mut cases: Vec<_> =
        transports.iter().map(|transport| (transport.to_string(), &binary, *transport)).collect();
    cases.extend(
        arguments.beside.iter().map(|other| ("HTTP/1.1, other build".to_owned(), other, Transport::Http)),
    );
    for probes in [false, true] {
        println!("{}", if probes { "with probes" } else { "without probes" });
        // The machine's speed varies from second to second: each round measures all transports, and ratios are taken
        // within a round.
        let mut rounds = Vec::new();
        for _ in 0..arguments.rounds {
            let round = cases.iter().map(|(_, binary, transport)| measure_one(binary, *transport, probes));
            rounds.push(round.collect::<Result<Vec<_>, _>>()?);
        }
        for (n, (name, ..)) in cases.iter().enumerate() {
            let mut costs: Vec<_> = rounds.iter().map(|r| r[n]).collect();
            costs.sort_by(|a, b| a.cpu_us.total_cmp(&b.cpu_us));
            let mut ratios: Vec<f64> = rounds.iter().map(|r| r[n].cpu_us / r[0].cpu_us).collect();
            ratios.sort_by(f64::total_cmp);
            let (low, middle, high) = (ratios[0], ratios[ratios.len() / 2], ratios[ratios.len() - 1]);
            println!("  {name:<24}{}; {middle:.2} of HTTP ({low:.2} to {high:.2})", costs[costs.len() / 2]);
        }
    }
    Ok(())
}

fn progress(report: Report) {
    match report {
        Report::Progress(at, results) => {
            let [asked, in_time, late, refused, failed] = results.totals();
            println!("{:>5}{asked:>9}{in_time:>9}{late:>7}{refused:>9}{failed:>8}", at.as_secs());
        }
        Report::Injection(at, injection) => println!("{:>5}  {injection}", at.as_secs()),
    }
}

/// Builds the node if cargo started this program, and returns the path of its binary.
fn build_node() -> Result<PathBuf, Box<dyn Error>> {
    let binary = process::node_binary()?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--locked", "--package", "birchswitch"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err("the node could not be built".into());
        }
    }
    match binary.exists() {
        true => Ok(binary),
        false => {
            Err(format!("no node at {}: run this through cargo, or name one with --node", binary.display())
                .into())
        }
    }
}
