//! When to make the allocator give free pages back.

use crate::level::MemoryLevel;
use std::time::Duration;

/// Shortest and longest pause between two releases while memory is short.
const SHORT_PAUSE: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];
/// Shortest and longest pause otherwise.
const NORMAL_PAUSE: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(4)];
/// A release was worth its time if it gave back at least this fraction (1/n) of the resident size.
const WORTHWHILE_DIVISOR: usize = 64;
/// At the normal level nothing is released below this resident size, in percent of that at the process's start.
const NOTHING_TO_RELEASE_PERCENT: usize = 115;

/// Decides when to release free pages. Each release takes time in proportion to the heap, so the pause grows for as long as
/// releases give little back.
#[derive(Clone, Debug)]
pub struct ReleaseSchedule {
    at_start: usize,
    pause: Duration,
    since_release: Duration,
    /// Resident size after the latest release.
    after_release: usize,
}

impl ReleaseSchedule {
    /// A schedule for a process with this resident size at its start.
    pub fn new(at_start: usize) -> Self {
        ReleaseSchedule {
            at_start,
            pause: Duration::ZERO,
            since_release: Duration::ZERO,
            after_release: at_start,
        }
    }

    /// Whether to release now. `elapsed` is the time since the last call.
    pub fn is_due(&mut self, elapsed: Duration, level: MemoryLevel, resident: usize) -> bool {
        self.since_release = self.since_release.saturating_add(elapsed);
        let normal = level == MemoryLevel::Normal;
        if normal && resident * 100 <= self.at_start * NOTHING_TO_RELEASE_PERCENT {
            return false;
        }
        let [shortest, longest] = if normal { NORMAL_PAUSE } else { SHORT_PAUSE };
        let grown = resident > self.after_release + resident / WORTHWHILE_DIVISOR;
        let pause = if grown { shortest } else { self.pause.clamp(shortest, longest) };
        self.since_release >= pause
    }

    /// Records a release and the resident sizes before and after it.
    pub fn released(&mut self, before: usize, after: usize) {
        let worthwhile = before.saturating_sub(after) >= before / WORTHWHILE_DIVISOR;
        self.pause = if worthwhile { Duration::ZERO } else { (self.pause * 2).max(SHORT_PAUSE[0]) };
        self.pause = self.pause.min(NORMAL_PAUSE[1]);
        self.since_release = Duration::ZERO;
        self.after_release = after;
    }
}
