//! `birchswitch-lab leases`: electorates under random faults, with all safeguards and without each, as tables.

use crate::parallel::all;
use birchswitch_lab::leases::{play, Faults, Outcome};
use birchswitch_lease::{Safeguards, Terms};
use clap::Args;
use std::time::Duration;

#[derive(Args)]
pub struct Arguments {
    /// Runs with all safeguards, of seeds from `first` on
    #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(1..=10_000_000))]
    runs: u64,
    /// The first seed
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Simulated seconds of each run
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seconds: u64,
    /// Voters of the electorates, by turns
    #[arg(long, value_delimiter = ',', default_values_t = [3, 5, 7], value_parser = clap::value_parser!(u64).range(3..=7))]
    voters: Vec<u64>,
    /// Seeds at most until what is taken away has to be found; 0: take nothing away
    #[arg(long, default_value_t = 300)]
    without: u64,
}

fn terms(safeguards: Safeguards) -> Terms {
    let (ttl, round) = (Duration::from_secs(4), Duration::from_millis(300));
    Terms { ttl, round, safeguards, ..Terms::new(Vec::new()) }
}

impl Arguments {
    fn run(&self, safeguards: Safeguards, faults: &Faults, seed: u64) -> Outcome {
        let voters = self.voters[seed as usize % self.voters.len()] as usize;
        play(&terms(safeguards), voters, 2 + seed as usize % 3, self.seconds, faults, seed)
    }
}

/// False: something broke that should not, or was not found.
pub fn report(a: &Arguments) -> bool {
    let seeds: Vec<u64> = (a.first..a.first + a.runs).collect();
    // Of a hundred thousand runs only sums and what broke are kept.
    let sums = all(&seeds, |seed| {
        let o = a.run(Safeguards::ALL, &Faults::all(), *seed);
        let broken = o.broken.first().map(|b| format!("seed {seed}: {b}"));
        (broken, [o.grants, o.lost, o.acts, o.refused, o.messages], o.gap, o.held)
    });
    let sum = |k: usize| sums.iter().map(|s| s.1[k]).sum::<u64>();
    let broken: Vec<&String> = sums.iter().filter_map(|s| s.0.as_ref()).collect();
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
        100.0 * sums.iter().map(|s| s.3).sum::<f64>() / sums.len() as f64,
        sums.iter().map(|s| s.2).fold(0.0, f64::max),
        broken.len()
    );
    broken.iter().take(5).for_each(|b| println!("BROKEN: {b}"));
    calm(a);
    broken.is_empty() & (a.without == 0 || taken_away(a))
}

/// What leases cost while nothing goes wrong: an hour with one that holds and so many that wait.
fn calm(a: &Arguments) {
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

fn taken_away(a: &Arguments) -> bool {
    let sound = Safeguards::ALL;
    // What a start forgets shows where processes start often.
    let crashes = Faults { voters_every: 5.0, ..Faults::all() };
    let usual = Faults::all();
    let cases = [
        ("abstention", Safeguards { abstention: false, ..sound }, crashes),
        ("drift margin", Safeguards { margin: false, ..sound }, usual.clone()),
        ("majority", Safeguards { majority: false, ..sound }, usual.clone()),
        ("promises kept", Safeguards { promises: false, ..sound }, usual.clone()),
        ("floor", Safeguards { floor: false, ..sound }, usual.clone()),
        ("the receiver's check of tokens", sound, Faults { fenced: false, ..usual.clone() }),
        ("drift within the promise (10% off)", sound, Faults { drift: 100, ..usual }),
    ];
    println!("| taken away | runs that broke, of {} | first seed |\n| --- | ---: | ---: |", a.without);
    let seeds: Vec<u64> = (0..a.without).collect();
    let mut all_found = true;
    for (what, safeguards, faults) in &cases {
        let broken = all(&seeds, |seed| !a.run(*safeguards, faults, *seed).broken.is_empty());
        let first = broken.iter().position(|b| *b).map_or("-".to_owned(), |n| n.to_string());
        all_found &= first != "-";
        println!("| {what} | {} | {first} |", broken.iter().filter(|b| **b).count());
    }
    all_found
}
