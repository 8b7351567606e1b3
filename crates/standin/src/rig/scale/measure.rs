//! What the operating system knows of a process and of the machine.

use std::time::Duration;

/// What a process has taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of all its threads.
    pub cpu: Duration,
    /// Memory that it holds.
    pub memory_kb: u64,
    /// Descriptors that it has open.
    pub descriptors: usize,
}

/// What a process has taken by now; nothing, if it is gone.
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

/// Memory of the machine.
pub fn machine_memory_kb() -> u64 {
    kilobytes("/proc/meminfo", "MemTotal:")
}

fn kilobytes(path: &str, key: &str) -> u64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(key)).unwrap_or_default();
    line.split_ascii_whitespace().next().and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

/// Time that all processors together spent busy, and in all, in ticks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Processors {
    busy: u64,
    all: u64,
}

impl Processors {
    /// By now.
    pub fn now() -> Self {
        let text = std::fs::read_to_string("/proc/stat").unwrap_or_default();
        let first = text.lines().next().unwrap_or_default();
        let ticks: Vec<u64> = first.split_ascii_whitespace().skip(1).filter_map(|t| t.parse().ok()).collect();
        let all = ticks.iter().take(8).sum();
        // Idle, and waiting for disks.
        let idle: u64 = ticks.iter().skip(3).take(2).sum();
        Processors { busy: all - idle, all }
    }

    /// The busy part since then.
    pub fn busy_since(self, then: Processors) -> f64 {
        (self.busy - then.busy) as f64 / (self.all - then.all).max(1) as f64
    }
}
