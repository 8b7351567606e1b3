//! `birchswitch-lab leases`: tables of lease elections under random faults, with all safeguards and without each.

use crate::parallel::map;
use birchswitch_lab::leases::{play, Faults, Outcome};
use birchswitch_lease::{Safeguards, Terms};
use clap::Args;
use std::time::Duration;

#[derive(Args)]
pub struct Arguments {
    /// Runs with all safeguards, with seeds from `first` on
    #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(1..=10_000_000))]
    runs: u64,
    /// The first seed
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Simulated seconds of each run
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seconds: u64,
    /// Number of voters, alternating between runs
    #[arg(long, value_delimiter = ',', default_values_t = [3, 5, 7], value_parser = clap::value_parser!(u64).range(3..=7))]
    voters: Vec<u64>,
    /// Seeds within which each disabled safeguard has to cause a violation; 0 to skip this check
    #[arg(long, default_value_t = 300)]
    without: u64,
}

fn lease_terms(safeguards: Safeguards) -> Terms {
    let (ttl, round) = (Duration::from_secs(4), Duration::from_millis(300));
    Terms { ttl, round, safeguards, ..Terms::new(Vec::new()) }
}

impl Arguments {
    fn run(&self, safeguards: Safeguards, faults: &Faults, seed: u64) -> Outcome {
        let voters = self.voters[seed as usize % self.voters.len()] as usize;
        play(&lease_terms(safeguards), voters, 2 + seed as usize % 3, self.seconds, faults, seed)
    }
}

/// Returns false if a rule was violated, or a disabled safeguard caused no violation.
pub fn report(a: &Arguments) -> bool {
    let seeds: Vec<u64> = (a.first..a.first + a.runs).collect();
    // Keeps only sums and violations, since there may be a hundred thousand runs.
    let results = map(&seeds, |seed| {
        let outcome = a.run(Safeguards::ALL, &Faults::all(), *seed);
        let violations = outcome.violations.first().map(|b| format!("seed {seed}: {b}"));
        (
            violations,
            [outcome.grants, outcome.lost, outcome.acts, outcome.refused, outcome.messages],
            outcome.gap,
            outcome.held,
        )
    });
    let sum = |k: usize| results.iter().map(|s| s.1[k]).sum::<u64>();
    let violations: Vec<&String> = results.iter().filter_map(|s| s.0.as_ref()).collect();
    println!(
        "{} runs of {} s, {:?} voters by turns, all faults at once, clocks 5% off\n",
        a.runs, a.seconds, a.voters
    );
    println!("| grants | lost | acts taken | refused for a lower token | messages | held | longest gap, s | broken |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    println!(
        "| {} | {} | {} | {} | {} | {:.0}% | {:.1} | {} |\n",
        sum(0),
        sum(1),
        sum(2),
        sum(3),
        sum(4),
        100.0 * results.iter().map(|s| s.3).sum::<f64>() / results.len() as f64,
        results.iter().map(|s| s.2).fold(0.0, f64::max),
        violations.len()
    );
    violations.iter().take(5).for_each(|b| println!("BROKEN: {b}"));
    message_rates(a);
    violations.is_empty() & (a.without == 0 || check_safeguards(a))
}

/// Message rates without faults: an hour with one holder and several waiting candidates.
fn message_rates(a: &Arguments) {
    const HOUR: u64 = 3600;
    println!("messages a second while nothing goes wrong, a ttl of 10 s\n");
    println!("| voters | for a lease that is held | for each that waits |\n| ---: | ---: | ---: |");
    let terms = Terms::new(Vec::new());
    for voters in &a.voters {
        let each = |candidates| {
            let run = play(&terms, *voters as usize, candidates, HOUR, &Faults::none(), 1);
            run.messages as f64 / HOUR as f64
        };
        let (held, many) = (each(1), each(11));
        println!("| {voters} | {held:.2} | {:.2} |", (many - held) / 10.0);
    }
    println!();
}

fn check_safeguards(a: &Arguments) -> bool {
    let all_safeguards = Safeguards::ALL;
    // Lost state matters only when processes restart often.
    let frequent_crashes = Faults { voters_every: 5.0, ..Faults::all() };
    let default_faults = Faults::all();
    let cases = [
        ("abstention", Safeguards { abstention: false, ..all_safeguards }, frequent_crashes),
        ("drift margin", Safeguards { margin: false, ..all_safeguards }, default_faults.clone()),
        ("majority", Safeguards { majority: false, ..all_safeguards }, default_faults.clone()),
        ("promises kept", Safeguards { promises: false, ..all_safeguards }, default_faults.clone()),
        ("floor", Safeguards { floor: false, ..all_safeguards }, default_faults.clone()),
        (
            "the receiver's check of tokens",
            all_safeguards,
            Faults { fenced: false, ..default_faults.clone() },
        ),
        ("drift within the promise (10% off)", all_safeguards, Faults { drift: 100, ..default_faults }),
    ];
    println!("| taken away | runs that broke, of {} | first seed |\n| --- | ---: | ---: |", a.without);
    let seeds: Vec<u64> = (0..a.without).collect();
    let mut all_found = true;
    for (name, safeguards, faults) in &cases {
        let violated = map(&seeds, |seed| !a.run(*safeguards, faults, *seed).violations.is_empty());
        let first = violated.iter().position(|b| *b).map_or("-".to_owned(), |n| n.to_string());
        all_found &= first != "-";
        println!("| {name} | {} | {first} |", violated.iter().filter(|b| **b).count());
    }
    all_found
}
