//! CSV output of costs.

use super::{Cost, SizeResult};

/// One figure of a [`Cost`].
pub struct Metric {
    /// Column name, with the unit.
    pub name: &'static str,
    /// Reads the figure.
    pub of: fn(&Cost) -> f64,
    place: fn(&mut Cost) -> &mut f64,
}

/// All figures, in order of the columns.
pub const METRICS: [Metric; 6] = [
    Metric { name: "cpu_percent", of: |c| c.cpu_percent, place: |c| &mut c.cpu_percent },
    Metric { name: "memory_kb", of: |c| c.memory_kb, place: |c| &mut c.memory_kb },
    Metric { name: "descriptors", of: |c| c.descriptors, place: |c| &mut c.descriptors },
    Metric { name: "datagrams_per_s", of: |c| c.datagrams, place: |c| &mut c.datagrams },
    Metric { name: "datagram_bytes_per_s", of: |c| c.datagram_bytes, place: |c| &mut c.datagram_bytes },
    Metric { name: "stream_bytes_per_s", of: |c| c.stream_bytes, place: |c| &mut c.stream_bytes },
];

impl Metric {
    /// Returns `sum` with this figure of `cost` added.
    pub(super) fn add(&self, mut sum: Cost, cost: &Cost) -> Cost {
        *(self.place)(&mut sum) += (self.of)(cost);
        sum
    }

    /// Returns `sum` with this figure divided.
    pub(super) fn divide(&self, mut sum: Cost, by: f64) -> Cost {
        *(self.place)(&mut sum) /= by;
        sum
    }
}

/// The header line.
pub fn head() -> String {
    let metrics: Vec<&str> = METRICS.iter().map(|metric| metric.name).collect();
    format!("seed,nodes,servers,limits,accounts,agreed_s,role,processes,{},void\n", metrics.join(","))
}

/// The lines of one size, one per role.
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
