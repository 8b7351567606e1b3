//! `birchswitch-lab verdicts` and `weights`: what fleet-wide verdicts and weights gain over nodes alone, compared with
//! oracles.

use birchswitch_lab::policy::Peer;
use birchswitch_lab::scenario::{Scenario, ScenarioError, Size};
use birchswitch_lab::stats::RunStats;
use birchswitch_lab::world;
use clap::Args;
use std::error::Error;

use crate::parallel;

/// Scenarios with servers that fail, freeze or report falsely, and with a whole fleet under faults.
const VERDICT_SCENARIOS: &[&str] = &["quiet", "failers", "stuck", "liars", "frozen", "fleet-herd"];
/// Scenarios with servers that differ in one of five ways, and one with equal servers.
const WEIGHT_SCENARIOS: &[&str] =
    &["mix-cores", "mix-speeds", "mix-neighbour", "mix-cache", "mix-liars", "mix-even"];
/// Exponents on the servers' true speeds for fixed weights; the table shows the best.
const EXPONENTS: [f64; 5] = [0.5, 0.75, 1.0, 1.25, 1.5];

#[derive(Args)]
pub(crate) struct Arguments {
    /// Scenarios; by default those made for this comparison
    scenarios: Vec<String>,
    /// Number of seeds, from 1 on; the table shows means
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// `today`, `full`, `whole` (300x200), or nodes x servers, such as `40x12`
    #[arg(long, default_value = "40x24", value_parser = super::size)]
    size: Size,
    /// Fraction of the exchanges with the failure detector and the tuner that fail
    #[arg(long, default_value_t = 0.0)]
    unheard: f64,
    /// Seconds to simulate instead of each scenario's own length
    #[arg(long)]
    seconds: Option<f64>,
}

impl Arguments {
    fn named(&self, otherwise: &[&str]) -> Result<Vec<(String, Scenario)>, ScenarioError> {
        let names: Vec<String> = match self.scenarios.is_empty() {
            true => otherwise.iter().map(|s| s.to_string()).collect(),
            false => self.scenarios.clone(),
        };
        let read = |name: String| {
            let mut scenario = super::load_scenario(&name)?;
            scenario.nodes.unheard = self.unheard;
            scenario.seconds = self.seconds.unwrap_or(scenario.seconds);
            Ok((name, scenario))
        };
        names.into_iter().map(read).collect()
    }

    /// Runs each row on all cores; returns the statistics of each row by seed.
    fn play(&self, rows: &[(Scenario, Peer)]) -> Result<Vec<Vec<RunStats>>, Box<dyn Error>> {
        let inputs: Vec<(&Scenario, Peer, u64)> =
            rows.iter().flat_map(|(s, p)| (1..=self.seeds).map(move |seed| (s, *p, seed))).collect();
        let runs = parallel::map(&inputs, |(s, p, seed)| Some(world::run(s, self.size, *seed, *p)));
        let runs: Vec<RunStats> = runs.into_iter().flatten().collect::<Result<_, _>>()?;
        let mut runs = runs.into_iter();
        Ok(rows.iter().map(|_| runs.by_ref().take(self.seeds as usize).collect()).collect())
    }
}

/// Compares the worth kept by nodes alone, with verdicts, and by the oracle.
pub(crate) fn verdicts(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let Size { nodes, servers } = arguments.size;
    println!("{nodes} nodes, {servers} servers, {} seeds, {} unheard\n", arguments.seeds, arguments.unheard);
    println!("| scenario | alone | verdicts | oracle | of the distance | condemned | of these sound | rules broken |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let named = arguments.named(VERDICT_SCENARIOS)?;
    let mut rows = Vec::new();
    for (_, scenario) in &named {
        let mut with_verdicts = scenario.clone();
        with_verdicts.nodes.verdicts = true;
        rows.extend([
            (scenario.clone(), Peer::Own),
            (with_verdicts, Peer::Own),
            (scenario.clone(), Peer::Oracle),
        ]);
    }
    let runs = arguments.play(&rows)?;
    for ((name, scenario), runs) in named.iter().zip(runs.chunks(3)) {
        let kept = |k: usize| 100.0 * super::mean(&runs[k], |b| b.net_worth(&scenario.prices));
        let sum = |of: fn(&RunStats) -> u64| runs[1].iter().map(of).sum::<u64>();
        let [alone, with_verdicts, oracle] = [kept(0), kept(1), kept(2)];
        println!(
            "| {name} | {alone:.1} | {with_verdicts:.1} | {oracle:.1} | {:.2} | {} | {} | {} |",
            (with_verdicts - alone) / (oracle - alone).max(0.1),
            sum(|b| b.ejected),
            sum(|b| b.wrongly_ejected),
            sum(|b| b.violations.total())
        );
    }
    Ok(())
}

/// Compares tail latencies: own shares, weights, peak EWMA, the best fixed weights.
pub(crate) fn weights(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let Size { nodes, servers } = arguments.size;
    println!(
        "{nodes} nodes, {servers} servers, {} seeds; p99 and p99.9 of served first tries, ms\n",
        arguments.seeds
    );
    println!("| mix | today's shares | tuned | beside | peak EWMA | best fixed | kept, today and tuned | taken back |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let named = arguments.named(WEIGHT_SCENARIOS)?;
    let mut rows = Vec::new();
    for (_, scenario) in &named {
        let mut tuned = scenario.clone();
        tuned.nodes.tuned = true;
        rows.extend([(scenario.clone(), Peer::Own), (tuned, Peer::Own), (scenario.clone(), Peer::PeakEwma)]);
        rows.extend(
            EXPONENTS.map(|exponent| (with_fixed_weights(scenario, arguments.size, exponent), Peer::Own)),
        );
    }
    let runs = arguments.play(&rows)?;
    for ((name, _), runs) in named.iter().zip(runs.chunks(3 + EXPONENTS.len())) {
        let tail = |k: usize, part: f64| 1e3 * super::mean(&runs[k], |b| b.quantile(part));
        let both = |k: usize| format!("{:.0}, {:.0}", tail(k, 0.99), tail(k, 0.999));
        let best = (3..runs.len()).min_by(|a, b| tail(*a, 0.99).total_cmp(&tail(*b, 0.99))).unwrap_or(3);
        let kept = |k: usize| 100.0 * super::mean(&runs[k], RunStats::worth_kept);
        println!(
            "| {name} | {} | {} | {:+.0}% | {} | {} (power {}) | {:.1}, {:.1} | {} |",
            both(0),
            both(1),
            100.0 * (tail(1, 0.99) / tail(0, 0.99) - 1.0),
            both(2),
            both(best),
            EXPONENTS[best - 3],
            kept(0),
            kept(1),
            runs[1].iter().map(|b| b.rollbacks).sum::<u64>()
        );
    }
    Ok(())
}

/// The scenario with fixed weights: each server's true capacity to this power.
fn with_fixed_weights(scenario: &Scenario, size: Size, exponent: f64) -> Scenario {
    let mut with_fixed_weights = scenario.clone();
    let capacity = |s: usize| scenario.cores_of(s) as f64 * scenario.speed_of(s);
    let all: Vec<f64> = (0..size.servers as usize).map(|s| capacity(s).powf(exponent)).collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    with_fixed_weights.nodes.weights = all.iter().map(|w| (w / mean).clamp(0.01, 100.0)).collect();
    with_fixed_weights
}
