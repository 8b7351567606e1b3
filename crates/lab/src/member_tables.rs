//! `birchswitch-lab members`: tables of the cost and the accuracy of membership.

use crate::parallel::{cores, map_with_jobs};
use birchswitch_lab::members::heartbeats;
use birchswitch_lab::members::measure::{
    detection, evenness, idle_cost, quantile, value, Detection, Disruption, IdleCost,
};
use clap::Args;

#[derive(Args)]
pub struct Arguments {
    /// Tables to print; all if none is given
    #[arg(value_enum)]
    tables: Vec<Table>,
    /// Sizes of fleets
    #[arg(long, value_delimiter = ',', default_values_t = [12, 300, 1250], value_parser = clap::value_parser!(u64).range(3..=20_000))]
    sizes: Vec<u64>,
    /// Number of seeds, from 1 on
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Deaths per seed
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
    kills: u64,
    /// Simulated seconds per seed in which no member dies
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seconds: u64,
    /// Skip the baselines
    #[arg(long)]
    own: bool,
    /// Only this fraction of lost datagrams
    #[arg(long)]
    loss: Option<f64>,
    /// Fleets simulated at a time: one of 5,000 takes 5 GB. All cores if not given
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=1024))]
    jobs: Option<u64>,
}

impl Arguments {
    fn jobs(&self) -> usize {
        self.jobs.map_or_else(cores, |j| j as usize)
    }

    /// Sizes and losses for the heartbeat baseline.
    fn heartbeat_cases(&self, sizes: &[usize]) -> Vec<(usize, f64)> {
        let all = sizes.iter().flat_map(|s| [0.0, 0.1, 0.3].map(|loss| (*s, loss)));
        all.filter(|(_, loss)| self.wants(*loss, true)).collect()
    }

    fn wants(&self, loss: f64, baseline: bool) -> bool {
        !(self.own && baseline) && self.loss.is_none_or(|only| only == loss)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Table {
    /// Time from a death until the others know.
    Detection,
    /// False verdicts and load while no member dies.
    Quiet,
    /// Time until a value is known to all.
    Value,
    /// Servers' loads by the members' positions after disruptions.
    Even,
}

/// Runs each case with each seed; returns the results by case.
fn by_case<C: Copy + Sync, O: Send + Default + Clone>(
    a: &Arguments,
    cases: &[C],
    run: impl Fn(C, u64) -> O + Sync,
) -> Vec<Vec<O>> {
    let inputs: Vec<(C, u64)> = cases.iter().flat_map(|c| (1..=a.seeds).map(move |s| (*c, s))).collect();
    let done = map_with_jobs(a.jobs(), &inputs, |(case, seed)| run(*case, *seed));
    done.chunks(a.seeds as usize).map(<[O]>::to_vec).collect()
}

fn mean(figures: impl Iterator<Item = f64>, of: usize) -> f64 {
    figures.sum::<f64>() / of.max(1) as f64
}

pub fn report(a: &Arguments) {
    let wanted = |w| a.tables.is_empty() || a.tables.contains(&w);
    let sizes: Vec<usize> = a.sizes.iter().map(|s| *s as usize).collect();
    if wanted(Table::Detection) {
        detection_table(a, &sizes);
    }
    if wanted(Table::Quiet) {
        quiet_table(a, &sizes);
    }
    if wanted(Table::Value) {
        value_table(a, &sizes);
    }
    if wanted(Table::Even) {
        evenness_table(a);
    }
}

fn detection_table(a: &Arguments, sizes: &[usize]) {
    println!("seconds from a death, {} deaths with each of {} seeds\n", a.kills, a.seeds);
    println!("| members | loss | own health, witnesses | first: median | p99 | each: median | p99 | last: worst | false verdicts |");
    println!("| ---: | ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    let cases: Vec<_> = sizes
        .iter()
        .flat_map(|s| {
            [(*s, 0.0, false), (*s, 0.1, false), (*s, 0.3, false), (*s, 0.0, true), (*s, 0.3, true)]
        })
        .filter(|c| a.wants(c.1, c.2))
        .collect();
    let rows = by_case(a, &cases, |(size, loss, without_safeguards), seed| {
        detection(size, a.kills as usize, loss, without_safeguards, seed)
    });
    for ((size, loss, without_safeguards), row) in cases.iter().zip(rows) {
        let gather =
            |of: fn(&Detection) -> &Vec<f64>| row.iter().flat_map(|d| of(d).clone()).collect::<Vec<_>>();
        let (first, each, last) = (gather(|d| &d.first), gather(|d| &d.each), gather(|d| &d.last));
        println!(
            "| {size} | {:.0}% | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {} |",
            100.0 * loss,
            if *without_safeguards { "no" } else { "yes" },
            quantile(&first, 0.5),
            quantile(&first, 0.99),
            quantile(&each, 0.5),
            quantile(&each, 0.99),
            quantile(&last, 1.0),
            row.iter().map(|d| d.false_verdicts).sum::<usize>()
        );
    }
    for (size, loss) in a.heartbeat_cases(sizes) {
        let each: Vec<f64> =
            (1..=a.seeds).flat_map(|seed| heartbeats::simulate(size, 0, loss, seed).each).collect();
        let [median, p99, worst] = [0.5, 0.99, 1.0].map(|part| quantile(&each, part));
        println!(
            "| {size} | {:.0}% | heartbeats | - | - | {median:.2} | {p99:.2} | {worst:.2} | - |",
            100.0 * loss
        );
    }
    println!();
}

fn quiet_table(a: &Arguments, sizes: &[usize]) {
    let hours = (a.seconds * a.seeds) as f64 / 3600.0;
    println!("nobody dies for {} s with each of {} seeds\n", a.seconds, a.seeds);
    println!("| members | loss | stutterers | baseline | false verdicts | an hour | datagrams/s | bytes/s |");
    println!("| ---: | ---: | ---: | --- | ---: | ---: | ---: | ---: |");
    let faults = [(0.0, 0.0), (0.1, 0.0), (0.3, 0.0), (0.1, 0.1), (0.3, 0.05)];
    let cases: Vec<_> = sizes
        .iter()
        .flat_map(|s| faults.into_iter().flat_map(move |f| [(*s, f, false), (*s, f, true)]))
        .filter(|c| a.wants(c.1 .0, c.2))
        .collect();
    let rows = by_case(a, &cases, |(size, (loss, stuttering), without_safeguards), seed| {
        idle_cost(size, a.seconds, loss, stuttering, without_safeguards, seed)
    });
    for ((size, (loss, stuttering), without_safeguards), row) in cases.iter().zip(rows) {
        let count = row.iter().map(|q: &IdleCost| q.false_verdicts).sum::<usize>();
        println!(
            "| {size} | {:.0}% | {:.0}% | {} | {count} | {:.1} | {:.1} | {:.0} |",
            100.0 * loss,
            100.0 * stuttering,
            if *without_safeguards { "no own health" } else { "-" },
            count as f64 / hours,
            mean(row.iter().map(|q| q.datagrams), row.len()),
            mean(row.iter().map(|q| q.bytes), row.len())
        );
    }
    for (size, loss) in a.heartbeat_cases(sizes) {
        let b = heartbeats::simulate(size, a.seconds as u32, loss, 1);
        println!(
            "| {size} | {:.0}% | - | heartbeats | {} | {:.1} | {:.1} | - |",
            100.0 * loss,
            b.false_verdicts,
            b.false_verdicts as f64 / (a.seconds as f64 / 3600.0),
            b.datagrams
        );
    }
    println!();
}

fn value_table(a: &Arguments, sizes: &[usize]) {
    println!("seconds until a value of 64 bytes is known to all, {} seeds\n", a.seeds);
    println!("| members | loss | median | worst |\n| ---: | ---: | ---: | ---: |");
    let cases: Vec<_> = sizes
        .iter()
        .flat_map(|s| [0.0, 0.1, 0.3].map(|loss| (*s, loss)))
        .filter(|c| a.wants(c.1, false))
        .collect();
    let rows = by_case(a, &cases, |(size, loss), seed| value(size, loss, seed));
    for ((size, loss), row) in cases.iter().zip(rows) {
        println!(
            "| {size} | {:.0}% | {:.2} | {:.2} |",
            100.0 * loss,
            quantile(&row, 0.5),
            quantile(&row, 1.0)
        );
    }
    println!();
}

fn evenness_table(a: &Arguments) {
    println!("the fullest of 200 servers over the mean, 300 members, {} seeds, the worst of them\n", a.seeds);
    println!("| upheaval | within 1.15 after, s | worst | after 10 s |\n| --- | ---: | ---: | ---: |");
    let cases = [Disruption::Join(40), Disruption::Kill(0.7), Disruption::Restart];
    let size = |u| if matches!(u, Disruption::Join(_)) { 260 } else { 300 };
    let rows = by_case(a, &cases, |case, seed| Some(evenness(size(case), case, seed)));
    for (case, row) in cases.iter().zip(rows) {
        let row: Vec<_> = row.into_iter().flatten().collect();
        let worst_of = |of: fn(f64, f64) -> f64, figures: Vec<f64>| figures.into_iter().fold(0.0, of);
        let within = row.iter().map(|e| e.within.unwrap_or(f64::INFINITY)).collect();
        println!(
            "| {case:?} | {:.1} | {:.2} | {:.2} |",
            worst_of(f64::max, within),
            worst_of(f64::max, row.iter().map(|e| e.worst).collect()),
            worst_of(f64::max, row.iter().map(|e| e.after_10).collect())
        );
    }
    println!();
}
