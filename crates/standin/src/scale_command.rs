//! `birchswitch-standin scale`: what a fleet costs as it grows, as a table, a CSV file and linear fits.

use birchswitch_standin::process::block_on;
use birchswitch_standin::rig::scale::{self, LinearFit, Size, SizeResult, METRICS};
use clap::Args;
use std::error::Error;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Args)]
pub(crate) struct Arguments {
    /// Nodes, each a process. Here and below the first value is the base; each further value is run with all others at
    /// their base
    #[arg(long, value_delimiter = ',', default_value = "25,50,100,200")]
    nodes: Vec<usize>,
    /// Servers that discovery lists
    #[arg(long, value_delimiter = ',', default_value = "20")]
    servers: Vec<usize>,
    /// Fleet-wide limits
    #[arg(long, value_delimiter = ',', default_value = "2")]
    limits: Vec<usize>,
    /// Prepaid accounts
    #[arg(long, value_delimiter = ',', default_value = "0")]
    accounts: Vec<usize>,
    /// Length of each measurement in seconds
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=3600))]
    seconds: u16,
    /// Random seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of nodes to which the fits are extrapolated
    #[arg(long, default_value_t = 390)]
    planned: usize,
    /// CSV file for the figures; it holds only complete lines even after an interrupted run
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Node binary to run in place of the one from this workspace
    #[arg(long)]
    node: Option<PathBuf>,
}

/// Runs all sizes. Returns false if the figures of a size must not be used.
pub(crate) fn run(
    arguments: &Arguments,
    build: impl FnOnce() -> Result<PathBuf, Box<dyn Error>>,
) -> Result<bool, Box<dyn Error>> {
    let Arguments { nodes, servers, limits, accounts, .. } = arguments;
    let sizes = scale::sizes(nodes, servers, limits, accounts);
    scale::check(&sizes)?;
    let mut csv = match &arguments.csv {
        Some(path) => Some(File::create(path).map_err(|e| format!("{}: {e}", path.display()))?),
        None => None,
    };
    write(&mut csv, &scale::head())?;
    let binary = match &arguments.node {
        Some(path) => path.clone(),
        None => build()?,
    };
    let length = Duration::from_secs(arguments.seconds.into());
    let mut steps = Vec::new();
    for size in sizes {
        let step = block_on(scale::play(size, binary.clone(), length, arguments.seed))??;
        write(&mut csv, &scale::row(arguments.seed, &step))?;
        print_step(&step);
        steps.push(step);
    }
    print_lines(&steps, arguments.planned);
    Ok(steps.iter().all(|step| step.void.is_none()))
}

fn write(csv: &mut Option<File>, lines: &str) -> std::io::Result<()> {
    match csv {
        Some(file) => file.write_all(lines.as_bytes()).and_then(|()| file.flush()),
        None => Ok(()),
    }
}

fn print_step(step: &SizeResult) {
    let Size { nodes, servers, limits, accounts } = step.size;
    println!(
        "{nodes} nodes, {servers} servers, {limits} limits, {accounts} accounts; agreed after {:.1} s",
        step.agreed.as_secs_f64()
    );
    if let Some(why) = &step.void {
        println!("    VOID: {why}");
    }
    println!(
        "    {:<20}{:>5}{:>8}{:>10}{:>8}{:>8}{:>10}{:>10}",
        "role", "of", "cpu %", "KiB", "fds", "dgr/s", "dgr B/s", "mesh B/s"
    );
    for (role, (processes, cost)) in &step.roles {
        println!(
            "    {role:<20}{processes:>5}{:>8.2}{:>10.0}{:>8.0}{:>8.1}{:>10.0}{:>10.0}",
            cost.cpu_percent,
            cost.memory_kb,
            cost.descriptors,
            cost.datagrams,
            cost.datagram_bytes,
            cost.stream_bytes
        );
    }
}

/// Prints linear fits over the sizes that differ only in the number of nodes.
fn print_lines(steps: &[SizeResult], planned: usize) {
    let Some(base) = steps.first().map(|step| step.size) else { return };
    let comparable =
        |step: &&SizeResult| Size { nodes: base.nodes, ..step.size } == base && step.void.is_none();
    let comparable: Vec<&SizeResult> = steps.iter().filter(comparable).collect();
    let mut roles: Vec<&String> = comparable.iter().flat_map(|step| step.roles.keys()).collect();
    roles.sort();
    roles.dedup();
    for role in roles {
        for metric in &METRICS {
            let point = |step: &&SizeResult| {
                let (_, cost) = step.roles.get(role)?;
                Some((step.size.nodes as f64, (metric.of)(cost)))
            };
            let points: Vec<(f64, f64)> = comparable.iter().filter_map(point).collect();
            let Some(line) = LinearFit::fit(&points) else { continue };
            println!(
                "{role}: {} = {:.3} + {:.5} a node (off by {:.3} at most); extrapolated to {planned} nodes {:.2}",
                metric.name,
                line.at_zero,
                line.slope,
                line.worst_residual,
                line.at(planned as f64)
            );
        }
    }
}
