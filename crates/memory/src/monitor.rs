//! Measures the process's memory and tells the level.

use crate::allocator;
use crate::level::{MemoryLevel, Thresholds};
use crate::release::ReleaseSchedule;
use crate::resident::ResidentReader;
use std::cell::{Cell, RefCell};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Readings are at least this far apart.
const MIN_INTERVAL: Duration = Duration::from_millis(1);

/// The current level, for those who take on work. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct MemoryPressure(Arc<AtomicU8>);

impl MemoryPressure {
    /// Returns the current level.
    pub fn level(&self) -> MemoryLevel {
        MemoryLevel::from_number(self.0.load(Ordering::Relaxed))
    }

    /// Sets the level. [`MemoryMonitor`] does so after each reading; tests do so too.
    pub fn set_level(&self, level: MemoryLevel) {
        self.0.store(level as u8, Ordering::Relaxed);
    }
}

/// What the process's memory is used for, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUsage {
    /// The limit.
    pub limit: usize,
    /// Resident size at the latest reading, 0 where the system does not tell it.
    pub resident: usize,
    /// What the allocator has handed out, where the C library tells it.
    pub allocated: Option<usize>,
}

/// Reads the resident size, sets the level, and releases free pages. Used by one thread.
pub struct MemoryMonitor {
    limit: usize,
    reader: ResidentReader,
    thresholds: Thresholds,
    pressure: MemoryPressure,
    resident: Cell<usize>,
    checked: Cell<Instant>,
    level_since: Cell<Instant>,
    release: RefCell<ReleaseSchedule>,
}

impl MemoryMonitor {
    /// Creates a monitor of a process that may use `limit` bytes. What it uses now counts as what it needs at its start.
    pub fn new(limit: usize) -> Self {
        let reader = ResidentReader::open();
        let at_start = reader.read().unwrap_or_default();
        let now = Instant::now();
        MemoryMonitor {
            limit,
            reader,
            thresholds: Thresholds::new(limit, at_start),
            pressure: MemoryPressure::default(),
            resident: Cell::new(at_start),
            checked: Cell::new(now),
            level_since: Cell::new(now),
            release: RefCell::new(ReleaseSchedule::new(at_start)),
        }
    }

    /// The level, for those who take on work.
    pub fn pressure(&self) -> &MemoryPressure {
        &self.pressure
    }

    /// Returns what is in use.
    pub fn usage(&self) -> MemoryUsage {
        MemoryUsage {
            limit: self.limit,
            resident: self.resident.get(),
            allocated: allocator::allocated_bytes(),
        }
    }

    /// Reads the resident size, unless that was done just now. Returns the new level if it has changed.
    pub fn check(&self) -> Option<MemoryLevel> {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.checked.get());
        if elapsed < MIN_INTERVAL {
            return None;
        }
        self.checked.set(now);
        let mut resident = self.reader.read()?;
        let level = self.pressure.level();
        let measured = self.thresholds.next_level(level, Duration::ZERO, resident);
        if self.release.borrow_mut().is_due(elapsed, measured, resident) {
            allocator::release_free_pages();
            let after = self.reader.read().unwrap_or(resident);
            self.release.borrow_mut().released(resident, after);
            resident = after;
        }
        self.resident.set(resident);
        self.update_level(now, resident)
    }

    fn update_level(&self, now: Instant, resident: usize) -> Option<MemoryLevel> {
        let level = self.pressure.level();
        let lasted = now.saturating_duration_since(self.level_since.get());
        let next = self.thresholds.next_level(level, lasted, resident);
        if next == level {
            return None;
        }
        self.level_since.set(now);
        self.pressure.set_level(next);
        Some(next)
    }
}
