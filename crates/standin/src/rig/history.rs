//! Events of a run on one clock: the rig's own actions, and what each process logged.

use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Nanoseconds of the system's monotonic clock, which all processes of a machine share.
pub type Nanos = u64;

/// Current time of that clock.
pub fn now() -> Nanos {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// An event that a process logged as a JSON line.
#[derive(Clone, Debug)]
pub struct Line {
    /// When the process logged it.
    pub at: Nanos,
    /// Place of the process on the rig.
    pub place: usize,
    /// Number of processes that ran at the place before.
    pub start: usize,
    /// Kind of the event.
    pub kind: String,
    /// All fields of the line.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a JSON line. None if it is not an event with a timestamp and a kind.
    pub fn parse(text: &str, place: usize, start: usize) -> Option<Self> {
        let Value::Object(fields) = serde_json::from_str(text).ok()? else { return None };
        let at = fields.get("timestamp")?.as_str()?.parse().ok()?;
        let kind = fields.get("kind")?.as_str()?.to_owned();
        Some(Line { at, place, start, kind, fields })
    }

    /// A text field, or an empty text.
    pub fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    /// An integer field, or 0.
    pub fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// An action of the rig.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RigAction {
    /// Started a process at a place, under a name.
    Started(usize, String),
    /// A process is gone; true if it was killed.
    Ended(usize, bool),
    /// Stopped a process.
    Stopped(usize),
    /// Let a stopped process continue.
    Resumed(usize),
    /// Replaced the set of ordered pairs of places between which nothing passes.
    Cut(BTreeSet<(usize, usize)>),
}

/// All events of a run, each list in order of time.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Actions of the rig.
    pub actions: Vec<(Nanos, RigAction)>,
    /// Events logged by processes.
    pub lines: Vec<Line>,
}
