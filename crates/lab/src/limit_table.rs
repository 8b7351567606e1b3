//! `birchswitch-lab limits`: compares three schemes of enforcing a fleet-wide limit.

use crate::parallel;
use birchswitch_lab::fleet_limit::{play, Fault, LimitResults, LimitSetup, Scheme};
use clap::Args;

#[derive(Args)]
pub(crate) struct Arguments {
    /// Number of nodes; can be given several times
    #[arg(long, default_values_t = [12, 300, 1250])]
    nodes: Vec<usize>,
    /// Client demand, as a fraction of the limit
    #[arg(long, default_value_t = 2.0)]
    demand: f64,
    /// One-way delay between two nodes, in milliseconds
    #[arg(long, default_value_t = 0.5)]
    way: f64,
    /// Seeds from 1 on; the table shows the worst excess and the mean of the rest
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
}

/// Prints the table.
pub(crate) fn limits(arguments: &Arguments) {
    println!(
        "demand {} of the limit, one node in eight 100 times as loud, {} seeds\n",
        arguments.demand, arguments.seeds
    );
    println!("| nodes | trouble | way | most over L·W + B | used | settled | meanwhile | added wait | messages/s a node | bytes/s a node | at the keeper | CPU an ask |");
    println!("| ---: | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let mut rows = Vec::new();
    for nodes in &arguments.nodes {
        for fault in [Fault::None, Fault::Cut, Fault::Death] {
            for scheme in [Scheme::Grants, Scheme::Even, Scheme::Counter] {
                rows.push((*nodes, fault, scheme));
            }
        }
    }
    let inputs: Vec<_> =
        rows.iter().flat_map(|r| (1..=arguments.seeds).map(move |seed| (*r, seed))).collect();
    let results = parallel::map(&inputs, |((nodes, fault, scheme), seed)| {
        let setup = LimitSetup { nodes: *nodes, demand: arguments.demand, one_way_s: arguments.way / 1e3 };
        Some(play(setup, *scheme, *fault, *seed))
    });
    let results: Vec<LimitResults> = results.into_iter().flatten().collect();
    for ((nodes, fault, scheme), results) in rows.iter().zip(results.chunks(arguments.seeds as usize)) {
        let mean =
            |of: fn(&LimitResults) -> f64| results.iter().map(of).sum::<f64>() / results.len().max(1) as f64;
        let excess = results.iter().map(|c| c.excess).fold(f64::NEG_INFINITY, f64::max);
        println!(
            "| {nodes} | {fault:?} | {scheme:?} | {excess:.1} | {:.2} | {:.2} | {:.2} | {:.1} ms | {:.1} | {:.0} | {:.0} | {:.1} us |",
            mean(|c| c.used),
            mean(|c| c.settled_use),
            mean(|c| c.use_during_fault),
            1e3 * mean(|c| c.added_wait_s),
            mean(|c| c.messages),
            mean(|c| c.bytes),
            mean(|c| c.allocator_bytes),
            1e6 * mean(|c| c.cpu_per_renewal)
        );
    }
}
