//! `birchswitch-lab`: runs scenarios in simulated time and prints their results.

#![forbid(unsafe_code)]

mod adjustment_tables;
mod lease_table;
mod limit_table;
mod member_tables;
mod parallel;

use birchswitch_lab::policy::Peer;
use birchswitch_lab::scenario::{PriceSpec, Scenario, ScenarioError, Size, ADDITIONAL, STANDARD};
use birchswitch_lab::stats::{LossCause, RunStats};
use birchswitch_lab::world;
use clap::{Args, Parser, Subcommand};
use std::error::Error;
use std::process::ExitCode;

/// Simulates nodes, servers and faults in virtual time
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// List the standard scenarios
    List,
    /// Run one scenario and print its results by second
    Run(Run),
    /// Show where worth was lost: each scenario's losses by cause, largest first
    Account(Comparison),
    /// Compare all scenarios and policies: worth in time less prices, and rule violations
    Table(Comparison),
    /// Show the probes saved by one probing node per zone: each scenario without and with it
    Health(Comparison),
    /// Show the gain from fleet-wide verdicts: worth kept without them, with them, and by the oracle
    Verdicts(adjustment_tables::Arguments),
    /// Show the gain from fleet-wide weights: tail latency without them, with them, by peak EWMA and by fixed weights
    Weights(adjustment_tables::Arguments),
    /// Compare a fleet-wide limit by grants, by a fixed share per node, and by a counter queried for each request
    Limits(limit_table::Arguments),
    /// Run leases under random faults, with all safeguards and without each
    Leases(lease_table::Arguments),
    /// Measure membership: detection, false verdicts, load, values and evenness, compared with two baselines
    Members(member_tables::Arguments),
}

#[derive(Args)]
struct Run {
    /// A standard scenario's name, or a TOML file
    scenario: String,
    /// The policy that decides
    #[arg(long, default_value = "own", value_parser = peer)]
    peer: Peer,
    /// The seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// `today`, `full`, `whole` (300x200), or nodes x servers, such as `40x12`
    #[arg(long, default_value = "today", value_parser = size)]
    size: Size,
}

#[derive(Args)]
struct Comparison {
    /// Standard scenarios or TOML files; all standard ones if none is given
    scenarios: Vec<String>,
    /// The policy that decides; can be given several times
    #[arg(long, value_parser = peer)]
    peer: Vec<Peer>,
    /// Number of seeds, from 1 on; the output shows means
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// `today`, `full`, `whole` (300x200), or nodes x servers, such as `40x12`
    #[arg(long, default_value = "today", value_parser = size)]
    size: Size,
}

fn peer(text: &str) -> Result<Peer, String> {
    let names = || Peer::ALL.map(Peer::name).join(", ");
    Peer::ALL.into_iter().find(|p| p.name() == text).ok_or_else(|| format!("wanted one of {}", names()))
}

fn size(text: &str) -> Result<Size, String> {
    let wanted =
        || "wanted `today`, `full`, `whole` (300x200), or nodes x servers, such as `40x12`".to_owned();
    match text {
        "today" => Ok(Size::TODAY),
        "full" => Ok(Size::FULL),
        "whole" => Ok(Size::WHOLE),
        other => {
            let (nodes, servers) = other.split_once('x').ok_or_else(wanted)?;
            let number = |t: &str| t.parse().ok().filter(|n| (1..=10_000).contains(n)).ok_or_else(wanted);
            Ok(Size { nodes: number(nodes)?, servers: number(servers)? })
        }
    }
}

fn load_scenario(name: &str) -> Result<Scenario, ScenarioError> {
    if STANDARD.iter().chain(ADDITIONAL).any(|s| s.0 == name) {
        return Scenario::standard(name);
    }
    let text = std::fs::read_to_string(name).map_err(|_| ScenarioError::Unknown(name.into()))?;
    Scenario::parse(&text)
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::List => STANDARD.iter().try_for_each(|(name, text)| {
            println!("{name:<12} {}", Scenario::parse(text)?.what);
            Ok(())
        }),
        Command::Run(run) => run_scenario(&run),
        Command::Account(args) => account(&args),
        Command::Table(args) => table(&args),
        Command::Health(args) => health(&args),
        Command::Verdicts(arguments) => adjustment_tables::verdicts(&arguments),
        Command::Weights(arguments) => adjustment_tables::weights(&arguments),
        Command::Limits(arguments) => {
            limit_table::limits(&arguments);
            Ok(())
        }
        Command::Leases(leases) => match lease_table::report(&leases) {
            true => Ok(()),
            false => Err("a rule was violated, or a disabled safeguard caused no violation".into()),
        },
        Command::Members(members) => {
            member_tables::report(&members);
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("birchswitch-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_scenario(run: &Run) -> Result<(), Box<dyn Error>> {
    let scenario = load_scenario(&run.scenario)?;
    let stats = world::run(&scenario, run.size, run.seed, run.peer)?;
    println!("{}", scenario.what);
    println!(
        "kept {:.4} of the worth of {} requests; {} refused, {} late, {} failed",
        stats.worth_kept(),
        stats.first_tries,
        stats.refused,
        stats.late,
        stats.failed
    );
    let per = |n: u64| n as f64 / stats.tries.max(1) as f64;
    println!(
        "a try: {:.3} attempts, {:.3} turned away, {:.3} to another hall, {:.2} probes",
        per(stats.attempts),
        per(stats.turned_away),
        per(stats.cross_zone),
        per(stats.probes)
    );
    let per_first_try = |n: u64| n as f64 / stats.first_tries.max(1) as f64;
    let [probes, handshakes, cross] = stats.prices(&scenario.prices);
    println!(
        "a first try: {:.3} probes, {:.3} new connections, {:.4} lists; they cost {probes:.4}, {handshakes:.4} and, with {cross:.4} \
         for crossing halls, leave {:.4}",
        per_first_try(stats.probes),
        per_first_try(stats.handshakes),
        per_first_try(stats.lists),
        stats.net_worth(&scenario.prices)
    );
    for (cause, part) in stats.losses() {
        println!("  {:<22} {:6.2}%", cause.name(), 100.0 * part);
    }
    let b = stats.violations;
    println!(
        "rules broken: {} answers, {} effects, {} drains, {} cold",
        b.answers, b.effects, b.drains, b.cold
    );
    println!("the fullest cold server was given {:.2} of what it bears", stats.peak_cold_load);
    let seconds: Vec<String> =
        (0..stats.seconds.len()).map(|s| format!("{:.0}", 100.0 * stats.worth_kept_in(s..s + 1))).collect();
    println!("kept in each second, in per cent: {}", seconds.join(" "));
    let seconds: Vec<String> =
        (0..stats.seconds.len()).map(|s| format!("{:.0}", 100.0 * stats.refused_in(s..s + 1))).collect();
    println!("refused in each second, in per cent: {}", seconds.join(" "));
    println!("digest {:016x}", stats.digest);
    Ok(())
}

/// A scenario's name, its prices, and the statistics of each policy by seed.
type Row = (String, PriceSpec, Vec<Vec<RunStats>>);

/// Runs everything on all cores; the results are ordered by scenario, policy and seed.
fn play(args: &Comparison, peers: &[Peer]) -> Result<Vec<Row>, Box<dyn Error>> {
    let names: Vec<String> = match args.scenarios.is_empty() {
        true => STANDARD.iter().map(|s| s.0.to_owned()).collect(),
        false => args.scenarios.clone(),
    };
    let scenarios: Vec<Scenario> = names.iter().map(|n| load_scenario(n)).collect::<Result<_, _>>()?;
    let seeds = args.seeds as usize;
    let each =
        |scenario| peers.iter().flat_map(move |p| (1..=args.seeds).map(move |seed| (scenario, *p, seed)));
    let inputs: Vec<(&Scenario, Peer, u64)> = scenarios.iter().flat_map(each).collect();
    let runs =
        parallel::map(&inputs, |(scenario, peer, seed)| Some(world::run(scenario, args.size, *seed, *peer)));
    let mut runs = runs.into_iter();
    let mut all = Vec::new();
    for (name, scenario) in names.into_iter().zip(&scenarios) {
        let mut rows = Vec::new();
        for _ in peers {
            let row: Result<Vec<RunStats>, _> = runs.by_ref().take(seeds).flatten().collect();
            rows.push(row?);
        }
        all.push((name, scenario.prices.clone(), rows));
    }
    Ok(all)
}

/// Runs each scenario without and with one probing node per zone.
fn health(args: &Comparison) -> Result<(), Box<dyn Error>> {
    let names: Vec<String> = match args.scenarios.is_empty() {
        true => ["cut-minute", "gone-minutes", "frozen", "death", "fleet-zone"].map(str::to_owned).to_vec(),
        false => args.scenarios.clone(),
    };
    println!("{} nodes, {} servers, {} seeds\n", args.size.nodes, args.size.servers, args.seeds);
    println!("| scenario | one asks | probes a first try | of these unheard | spared | kept | after prices | rules broken |");
    println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    let scenarios: Vec<Scenario> = names.iter().map(|n| load_scenario(n)).collect::<Result<_, _>>()?;
    let both = |s: &Scenario| {
        [false, true].map(|on| {
            let mut s = s.clone();
            s.nodes.health = on;
            s
        })
    };
    let scenarios: Vec<Scenario> = scenarios.iter().flat_map(both).collect();
    let inputs: Vec<(&Scenario, u64)> =
        scenarios.iter().flat_map(|s| (1..=args.seeds).map(move |seed| (s, seed))).collect();
    let runs = parallel::map(&inputs, |(s, seed)| Some(world::run(s, args.size, *seed, Peer::Own)));
    let runs: Vec<RunStats> = runs.into_iter().flatten().collect::<Result<_, _>>()?;
    for (k, (s, runs)) in scenarios.iter().zip(runs.chunks(args.seeds as usize)).enumerate() {
        let each = |per_first_try: fn(&RunStats) -> u64| {
            mean(runs, |b| per_first_try(b) as f64 / b.first_tries.max(1) as f64)
        };
        println!(
            "| {} | {} | {:.3} | {:.4} | {:.4} | {:.2} | {:.2} | {} |",
            names[k / 2],
            if s.nodes.health { "yes" } else { "no" },
            each(|b| b.probes),
            each(|b| b.unanswered_probes),
            each(|b| b.suppressed_probes),
            100.0 * mean(runs, RunStats::worth_kept),
            100.0 * mean(runs, |b| b.net_worth(&s.prices)),
            runs.iter().map(|b| b.violations.total()).sum::<u64>()
        );
    }
    Ok(())
}

fn mean(runs: &[RunStats], figure: impl Fn(&RunStats) -> f64) -> f64 {
    runs.iter().map(figure).sum::<f64>() / runs.len().max(1) as f64
}

fn account(args: &Comparison) -> Result<(), Box<dyn Error>> {
    let peers = if args.peer.is_empty() { vec![Peer::Own] } else { args.peer.clone() };
    for (name, prices, rows) in play(args, &peers)? {
        for (peer, runs) in peers.iter().zip(rows) {
            let mut losses: Vec<(LossCause, f64)> = LossCause::ALL
                .into_iter()
                .map(|c| (c, mean(&runs, |b| b.lost.get(&c).copied().unwrap_or(0.0) / b.offered)))
                .collect();
            losses.sort_by(|a, b| b.1.total_cmp(&a.1));
            let largest: Vec<String> = losses
                .iter()
                .filter(|l| l.1 >= 0.0005)
                .map(|(c, l)| format!("{} {:.1}", c.name(), 100.0 * l))
                .collect();
            println!(
                "{name:<12} {:<10} kept {:5.1}  after prices {:5.1}  borne {:.2}  lost: {}",
                peer.name(),
                100.0 * mean(&runs, RunStats::worth_kept),
                100.0 * mean(&runs, |b| b.net_worth(&prices)),
                runs.iter().map(|b| b.peak_cold_load).fold(0.0, f64::max),
                largest.join("; ")
            );
        }
    }
    Ok(())
}

fn table(args: &Comparison) -> Result<(), Box<dyn Error>> {
    let peers = if args.peer.is_empty() { Peer::ALL.to_vec() } else { args.peer.clone() };
    println!("| scenario | {} |", peers.iter().map(|p| p.name()).collect::<Vec<_>>().join(" | "));
    println!("| --- |{}", " ---: |".repeat(peers.len()));
    let all = play(args, &peers)?;
    let cell = |runs: &Vec<RunStats>, prices: &PriceSpec| {
        let violations: u64 = runs.iter().map(|b| b.violations.total()).sum();
        let kept = 100.0 * mean(runs, |b| b.net_worth(prices));
        if violations > 0 {
            format!("{kept:.1} ({violations})")
        } else {
            format!("{kept:.1}")
        }
    };
    for (name, prices, rows) in &all {
        println!(
            "| {name} | {} |",
            rows.iter().map(|runs| cell(runs, prices)).collect::<Vec<_>>().join(" | ")
        );
    }
    let per_first_try = |k: usize| {
        all.iter().map(|(_, prices, rows)| mean(&rows[k], |b| b.net_worth(prices))).sum::<f64>()
            / all.len() as f64
    };
    let means: Vec<String> = (0..peers.len()).map(|k| format!("{:.1}", 100.0 * per_first_try(k))).collect();
    println!("| mean | {} |", means.join(" | "));
    Ok(())
}
