//! What happened, on one clock: what the rig did, by its own record, and what each process wrote.

use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Nanoseconds of the system's monotonic clock, which all processes of a machine share.
pub type Nanos = u64;

/// Now, on that clock.
pub fn now() -> Nanos {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// A structured line that a process wrote.
#[derive(Clone, Debug)]
pub struct Line {
    /// When the process wrote it.
    pub at: Nanos,
    /// At which place of the rig it runs.
    pub place: usize,
    /// How many processes ran there before it.
    pub start: usize,
    /// What it is about.
    pub kind: String,
    /// The rest.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line of JSON; none: it is no event of the cluster.
    pub fn parse(text: &str, place: usize, start: usize) -> Option<Self> {
        let Value::Object(fields) = serde_json::from_str(text).ok()? else { return None };
        let at = fields.get("timestamp")?.as_str()?.parse().ok()?;
        let kind = fields.get("kind")?.as_str()?.to_owned();
        Some(Line { at, place, start, kind, fields })
    }

    /// A text among the fields, or nothing.
    pub fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    /// A whole number among the fields, or 0.
    pub fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// What the rig did, as it was done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RigAction {
    /// A process was started at a place, under a name.
    Started(usize, String),
    /// It is gone; true: without a word.
    Ended(usize, bool),
    /// It does not run ...
    Stopped(usize),
    /// ... and runs again.
    Resumed(usize),
    /// From now on nothing passes for these ordered pairs of places.
    Cut(BTreeSet<(usize, usize)>),
}

/// All of it, each part in the order of time.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The rig's own record.
    pub actions: Vec<(Nanos, RigAction)>,
    /// What processes wrote.
    pub lines: Vec<Line>,
}
