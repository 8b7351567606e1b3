//! How short memory is, as a level.

use std::time::Duration;

/// How short memory is. Each level also asks for what the levels before it ask for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum MemoryLevel {
    /// There is enough.
    #[default]
    Normal,
    /// Nothing more is buffered ahead of need.
    Elevated,
    /// No further large message is accepted, and clients that hold memory without progress make room.
    High,
    /// No further request is accepted.
    Critical,
}

impl MemoryLevel {
    const ALL: [MemoryLevel; 4] =
        [MemoryLevel::Normal, MemoryLevel::Elevated, MemoryLevel::High, MemoryLevel::Critical];

    /// The level with this number, the highest one for numbers beyond it.
    pub(crate) fn from_number(number: u8) -> Self {
        MemoryLevel::ALL.get(usize::from(number)).copied().unwrap_or(MemoryLevel::Critical)
    }

    /// The level's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            MemoryLevel::Normal => "normal",
            MemoryLevel::Elevated => "elevated",
            MemoryLevel::High => "high",
            MemoryLevel::Critical => "critical",
        }
    }
}

/// Levels begin at these parts, in percent, of the memory between what the process needs at its start and its limit.
const ELEVATED_PERCENT: usize = 50;
const HIGH_PERCENT: usize = 75;
const CRITICAL_PERCENT: usize = 80;
/// A level ends this far, in percent of the same memory, below its beginning, so that it does not flap.
const HYSTERESIS_PERCENT: usize = 3;
/// A level lasts for at least this long.
const MIN_DURATION: Duration = Duration::from_millis(500);

/// The resident sizes, in bytes, at which levels begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Thresholds {
    elevated: usize,
    high: usize,
    critical: usize,
    hysteresis: usize,
}

impl Thresholds {
    /// Derives the thresholds from the limit and from what the process needs at its start. A limit that leaves less than as
    /// much again counts as leaving that: such a process could otherwise accept nothing.
    pub fn new(limit: usize, at_start: usize) -> Self {
        let available = limit.saturating_sub(at_start).max(at_start);
        let part = |percent: usize| available / 100 * percent;
        Thresholds {
            elevated: at_start + part(ELEVATED_PERCENT),
            high: at_start + part(HIGH_PERCENT),
            critical: at_start + part(CRITICAL_PERCENT),
            hysteresis: part(HYSTERESIS_PERCENT),
        }
    }

    /// The level of a resident size.
    fn level_of(&self, resident: usize) -> MemoryLevel {
        match resident {
            r if r >= self.critical => MemoryLevel::Critical,
            r if r >= self.high => MemoryLevel::High,
            r if r >= self.elevated => MemoryLevel::Elevated,
            _ => MemoryLevel::Normal,
        }
    }

    /// The level that follows `current`, which has lasted for `lasted`, at this resident size.
    pub fn next_level(&self, current: MemoryLevel, lasted: Duration, resident: usize) -> MemoryLevel {
        let level = self.level_of(resident);
        if level >= current {
            return level;
        }
        if lasted < MIN_DURATION {
            return current;
        }
        self.level_of(resident + self.hysteresis).min(current)
    }
}
