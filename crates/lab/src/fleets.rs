//! `birchswitch-lab members`: what membership costs and how well it tells, as tables.

use crate::parallel::{at_a_time, cores};
use birchswitch_lab::members::beats;
use birchswitch_lab::members::measure::{
    detection, evenness, quantile, quiet, value, Detection, Quiet, Upheaval,
};
use clap::Args;

#[derive(Args)]
pub struct Arguments {
    /// Tables to make; all where none is named
    #[arg(value_enum)]
    tables: Vec<Which>,
    /// Sizes of fleets
    #[arg(long, value_delimiter = ',', default_values_t = [12, 300, 1250], value_parser = clap::value_parser!(u64).range(3..=20_000))]
    sizes: Vec<u64>,
    /// Seeds from 1 on
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Deaths of each seed
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
    kills: u64,
    /// Simulated seconds of each seed in which nobody dies
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seconds: u64,
    /// Leave out the baselines
    #[arg(long)]
    own: bool,
    /// Only this part of datagrams lost
    #[arg(long)]
    loss: Option<f64>,
    /// Fleets played at a time: one of 5,000 takes 5 GB. All cores if not given
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=1024))]
    jobs: Option<u64>,
}

impl Arguments {
    fn jobs(&self) -> usize {
        self.jobs.map_or_else(cores, |j| j as usize)
    }

    /// Sizes and losses with heartbeats.
    fn beaten(&self, sizes: &[usize]) -> Vec<(usize, f64)> {
        let all = sizes.iter().flat_map(|s| [0.0, 0.1, 0.3].map(|loss| (*s, loss)));
        all.filter(|(_, loss)| self.wants(*loss, true)).collect()
    }

    fn wants(&self, loss: f64, baseline: bool) -> bool {
        !(self.own && baseline) && self.loss.is_none_or(|only| only == loss)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Which {
    /// From a death until others know.
    Detection,
    /// False verdicts and load while nobody dies.
    Quiet,
    /// Until a value is known to all.
    Value,
    /// Servers' loads by the members' places after upheavals.
    Even,
}

/// Each of the cases with each seed; results by case.
fn by_case<C: Copy + Sync, O: Send + Default + Clone>(
    a: &Arguments,
    cases: &[C],
    run: impl Fn(C, u64) -> O + Sync,
) -> Vec<Vec<O>> {
    let inputs: Vec<(C, u64)> = cases.iter().flat_map(|c| (1..=a.seeds).map(move |s| (*c, s))).collect();
    let done = at_a_time(a.jobs(), &inputs, |(case, seed)| run(*case, *seed));
    done.chunks(a.seeds as usize).map(<[O]>::to_vec).collect()
}

fn mean(figures: impl Iterator<Item = f64>, of: usize) -> f64 {
    figures.sum::<f64>() / of.max(1) as f64
}

pub fn report(a: &Arguments) {
    let wanted = |w| a.tables.is_empty() || a.tables.contains(&w);
    let sizes: Vec<usize> = a.sizes.iter().map(|s| *s as usize).collect();
    if wanted(Which::Detection) {
        detections(a, &sizes);
    }
    if wanted(Which::Quiet) {
        quiets(a, &sizes);
    }
    if wanted(Which::Value) {
        values(a, &sizes);
    }
    if wanted(Which::Even) {
        evens(a);
    }
}

fn detections(a: &Arguments, sizes: &[usize]) {
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
    let rows = by_case(a, &cases, |(size, loss, careless), seed| {
        detection(size, a.kills as usize, loss, careless, seed)
    });
    for ((size, loss, careless), row) in cases.iter().zip(rows) {
        let gather =
            |of: fn(&Detection) -> &Vec<f64>| row.iter().flat_map(|d| of(d).clone()).collect::<Vec<_>>();
        let (first, each, last) = (gather(|d| &d.first), gather(|d| &d.each), gather(|d| &d.last));
        println!(
            "| {size} | {:.0}% | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {} |",
            100.0 * loss,
            if *careless { "no" } else { "yes" },
            quantile(&first, 0.5),
            quantile(&first, 0.99),
            quantile(&each, 0.5),
            quantile(&each, 0.99),
            quantile(&last, 1.0),
            row.iter().map(|d| d.false_verdicts).sum::<usize>()
        );
    }
    for (size, loss) in a.beaten(sizes) {
        let each: Vec<f64> = (1..=a.seeds).flat_map(|seed| beats::play(size, 0, loss, seed).each).collect();
        let [median, p99, worst] = [0.5, 0.99, 1.0].map(|part| quantile(&each, part));
        println!(
            "| {size} | {:.0}% | heartbeats | - | - | {median:.2} | {p99:.2} | {worst:.2} | - |",
            100.0 * loss
        );
    }
    println!();
}

fn quiets(a: &Arguments, sizes: &[usize]) {
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
    let rows = by_case(a, &cases, |(size, (loss, stutterers), careless), seed| {
        quiet(size, a.seconds, loss, stutterers, careless, seed)
    });
    for ((size, (loss, stutterers), careless), row) in cases.iter().zip(rows) {
        let count = row.iter().map(|q: &Quiet| q.false_verdicts).sum::<usize>();
        println!(
            "| {size} | {:.0}% | {:.0}% | {} | {count} | {:.1} | {:.1} | {:.0} |",
            100.0 * loss,
            100.0 * stutterers,
            if *careless { "no own health" } else { "-" },
            count as f64 / hours,
            mean(row.iter().map(|q| q.datagrams), row.len()),
            mean(row.iter().map(|q| q.bytes), row.len())
        );
    }
    for (size, loss) in a.beaten(sizes) {
        let b = beats::play(size, a.seconds as u32, loss, 1);
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

fn values(a: &Arguments, sizes: &[usize]) {
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

fn evens(a: &Arguments) {
    println!("the fullest of 200 servers over the mean, 300 members, {} seeds, the worst of them\n", a.seeds);
    println!("| upheaval | within 1.15 after, s | worst | after 10 s |\n| --- | ---: | ---: | ---: |");
    let cases = [Upheaval::Join(40), Upheaval::Kill(0.7), Upheaval::Restart];
    let size = |u| if matches!(u, Upheaval::Join(_)) { 260 } else { 300 };
    let rows = by_case(a, &cases, |case, seed| Some(evenness(size(case), case, seed)));
    for (case, row) in cases.iter().zip(rows) {
        let row: Vec<_> = row.into_iter().flatten().collect();
        let most = |of: fn(f64, f64) -> f64, figures: Vec<f64>| figures.into_iter().fold(0.0, of);
        let within = row.iter().map(|e| e.within.unwrap_or(f64::INFINITY)).collect();
        println!(
            "| {case:?} | {:.1} | {:.2} | {:.2} |",
            most(f64::max, within),
            most(f64::max, row.iter().map(|e| e.worst).collect()),
            most(f64::max, row.iter().map(|e| e.after_10).collect())
        );
    }
    println!();
}
