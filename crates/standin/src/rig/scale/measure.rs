//! Resource usage of a process and of the machine, read from `/proc`.

use std::time::Duration;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time of all threads.
    pub cpu: Duration,
    /// Resident memory.
    pub memory_kb: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
}

/// Usage of a process so far; all zero if it has exited.
pub fn usage(pid: u32) -> Usage {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let on_cpu = |path: std::path::PathBuf| {
        let text = std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        text.split(' ').next().and_then(|nanos| nanos.parse().ok()).unwrap_or(0)
    };
    Usage {
        cpu: Duration::from_nanos(threads.map(|thread| on_cpu(thread.path())).sum()),
        memory_kb: kilobytes(&format!("/proc/{pid}/status"), "VmRSS:"),
        descriptors: std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count),
    }
}

/// Total memory of the machine.
pub fn machine_memory_kb() -> u64 {
    kilobytes("/proc/meminfo", "MemTotal:")
}

fn kilobytes(path: &str, key: &str) -> u64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(key)).unwrap_or_default();
    line.split_ascii_whitespace().next().and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

/// Busy and total time of all processors, in ticks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Processors {
    busy: u64,
    all: u64,
}

impl Processors {
    /// Time since the machine started.
    pub fn now() -> Self {
        let text = std::fs::read_to_string("/proc/stat").unwrap_or_default();
        let first = text.lines().next().unwrap_or_default();
        let ticks: Vec<u64> = first.split_ascii_whitespace().skip(1).filter_map(|t| t.parse().ok()).collect();
        let all = ticks.iter().take(8).sum();
        // The `idle` and `iowait` columns.
        let idle: u64 = ticks.iter().skip(3).take(2).sum();
        Processors { busy: all - idle, all }
    }

    /// Busy fraction of the time since an earlier reading.
    pub fn busy_since(self, then: Processors) -> f64 {
        (self.busy - then.busy) as f64 / (self.all - then.all).max(1) as f64
    }
}
