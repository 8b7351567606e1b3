//! Costs as lines of CSV.

use super::{Cost, SizeResult};

/// One figure of a cost.
pub struct Metric {
    /// Its name, with its unit.
    pub name: &'static str,
    /// Reads it.
    pub of: fn(&Cost) -> f64,
    place: fn(&mut Cost) -> &mut f64,
}

/// All of them.
pub const METRICS: [Metric; 6] = [
    Metric { name: "cpu_percent", of: |c| c.cpu_percent, place: |c| &mut c.cpu_percent },
    Metric { name: "memory_kb", of: |c| c.memory_kb, place: |c| &mut c.memory_kb },
    Metric { name: "descriptors", of: |c| c.descriptors, place: |c| &mut c.descriptors },
    Metric { name: "datagrams_per_s", of: |c| c.datagrams, place: |c| &mut c.datagrams },
    Metric { name: "datagram_bytes_per_s", of: |c| c.datagram_bytes, place: |c| &mut c.datagram_bytes },
    Metric { name: "stream_bytes_per_s", of: |c| c.stream_bytes, place: |c| &mut c.stream_bytes },
];

impl Metric {
    /// This figure of `sum` with that of `cost` added.
    pub(super) fn add(&self, mut sum: Cost, cost: &Cost) -> Cost {
        *(self.place)(&mut sum) += (self.of)(cost);
        sum
    }

    /// This figure of `sum` divided.
    pub(super) fn divide(&self, mut sum: Cost, by: f64) -> Cost {
        *(self.place)(&mut sum) /= by;
        sum
    }
}

/// The first line.
pub fn head() -> String {
    let metrics: Vec<&str> = METRICS.iter().map(|metric| metric.name).collect();
    format!("seed,nodes,servers,limits,accounts,agreed_s,role,processes,{},void\n", metrics.join(","))
}

/// The lines of a step, one a role.
pub fn row(seed: u64, step: &SizeResult) -> String {
    let size = step.size;
    let mut text = String::new();
    for (role, (processes, cost)) in &step.roles {
        let figures: Vec<String> = METRICS.iter().map(|metric| format!("{:.3}", (metric.of)(cost))).collect();
        text += &format!(
            "{seed},{},{},{},{},{:.1},{role},{processes},{},{}\n",
            size.nodes,
            size.servers,
            size.limits,
            size.accounts,
            step.agreed.as_secs_f64(),
            figures.join(","),
            step.void.as_deref().unwrap_or_default()
        );
    }
    text
}
