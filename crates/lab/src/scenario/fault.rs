//! Faults of a scenario.

use super::ScenarioError;
use serde::Deserialize;

/// A fault and when it is active.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at: f64,
    /// When it ends, in seconds; by default at the end of the scenario.
    #[serde(default = "forever")]
    pub until: f64,
    /// The kind of fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kinds of faults. `part` is a fraction of the servers that are ready when the fault begins, chosen by the seed.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers freeze for `length` once every `every` seconds, each with its own phase.
    Freeze {
        /// Fraction of the servers.
        part: f64,
        /// Seconds of a freeze.
        length: f64,
        /// Seconds between the starts of two freezes.
        every: f64,
    },
    /// Another program slows servers down, on and off.
    Neighbour {
        /// Fraction of the servers.
        part: f64,
        /// The fraction of the speed that is left.
        left: f64,
        /// Seconds of a slowdown, and seconds between two.
        spell: f64,
    },
    /// Servers die without notice and come back cold.
    Die {
        /// Fraction of the servers.
        part: f64,
        /// Seconds until all are back at the same time; never by default.
        #[serde(default = "forever")]
        back: f64,
        /// Only servers of this zone.
        #[serde(default)]
        hall: Option<u8>,
        /// The machines are gone: connections hang instead of breaking.
        #[serde(default)]
        silent: bool,
    },
    /// A rolling release: batches are replaced by cold successors.
    Release {
        /// Fraction of the servers.
        part: f64,
        /// Size of a batch, as a fraction of the servers.
        batch: f64,
        /// Seconds between batches.
        every: f64,
        /// Seconds that a batch drains.
        drain: f64,
    },
    /// Servers drain, are listed as draining, and keep running; at the end they are ready again.
    Drain {
        /// Fraction of the servers.
        part: f64,
    },
    /// Servers reject everything immediately and report themselves idle.
    Refuse {
        /// Fraction of the servers.
        part: f64,
    },
    /// Servers answer everything with an immediate error and report themselves idle.
    Fail {
        /// Fraction of the servers.
        part: f64,
    },
    /// Load reports stop changing.
    Stuck {
        /// Fraction of the servers.
        part: f64,
    },
    /// Load reports are multiplied by a factor.
    Lie {
        /// Fraction of the servers.
        part: f64,
        /// Factor on the held requests and the busy fraction.
        factor: f64,
    },
    /// All load reports are delayed.
    Late {
        /// Additional age in seconds.
        delay: f64,
    },
    /// Some requests that must not run twice carry more work.
    Heavy {
        /// Fraction of these requests.
        part: f64,
        /// Factor on their work.
        factor: f64,
    },
    /// The second tenant exceeds its share.
    Tenant {
        /// Factor on its rate.
        factor: f64,
    },
    /// All clients send more.
    Rate {
        /// Factor on the rate.
        factor: f64,
    },
    /// The registry sends no updates until the end.
    Registry {},
    /// Nodes are killed in batches and restart with no state but the list.
    Restart {
        /// Fraction of the nodes.
        part: f64,
        /// Size of a batch, as a fraction of the nodes.
        batch: f64,
        /// Seconds between batches.
        #[serde(default = "forever")]
        every: f64,
        /// Seconds until a node is back. Requests to it meanwhile are lost.
        down: f64,
    },
    /// A zone is cut off from the others: messages across its border are lost silently.
    Cut {
        /// The zone.
        hall: u8,
    },
    /// Some answers are lost: their attempts time out or end in a reset.
    Lose {
        /// Fraction of the answers.
        part: f64,
        /// Fraction of the lost answers whose connection is reset.
        #[serde(default)]
        reset: f64,
    },
    /// One node receives a multiple of the others' traffic.
    Loud {
        /// Factor on its rate.
        factor: f64,
    },
}

fn forever() -> f64 {
    f64::INFINITY
}

impl FaultKind {
    pub(super) fn check(
        &self,
        within: impl Fn(&'static str, f64, (f64, f64), &'static str) -> Result<(), ScenarioError>,
    ) -> Result<(), ScenarioError> {
        let (part, factor) = ((0.0, 1.0), (0.0, 1e3));
        let spell = |key, value| within(key, value, (1e-3, 1e6), "seconds, at least 0.001");
        match *self {
            FaultKind::Freeze { part: p, length, every } => {
                within("fault.part", p, part, "0 to 1")?;
                spell("fault.length", length)?;
                spell("fault.every", every)
            }
            FaultKind::Neighbour { part: p, left, spell: s } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.left", left, (0.01, 1.0), "0.01 to 1")?;
                spell("fault.spell", s)
            }
            FaultKind::Release { part: p, batch, every, drain } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.batch", batch, (1e-3, 1.0), "0.001 to 1")?;
                spell("fault.every", every)?;
                spell("fault.drain", drain)
            }
            FaultKind::Die { part: p, back, .. } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.back", back, (1e-3, f64::INFINITY), "seconds, at least 0.001")
            }
            FaultKind::Drain { part: p }
            | FaultKind::Refuse { part: p }
            | FaultKind::Fail { part: p }
            | FaultKind::Stuck { part: p } => within("fault.part", p, part, "0 to 1"),
            FaultKind::Lie { part: p, factor: f } | FaultKind::Heavy { part: p, factor: f } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.factor", f, factor, "0 to 1000")
            }
            FaultKind::Tenant { factor: f }
            | FaultKind::Rate { factor: f }
            | FaultKind::Loud { factor: f } => within("fault.factor", f, factor, "0 to 1000"),
            FaultKind::Late { delay } => within("fault.delay", delay, (0.0, 1e3), "0 or more seconds"),
            FaultKind::Registry {} => Ok(()),
            FaultKind::Restart { part: p, batch, every, down } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.batch", batch, (1e-3, 1.0), "0.001 to 1")?;
                within("fault.every", every, (1e-3, f64::INFINITY), "seconds, at least 0.001")?;
                within("fault.down", down, (0.0, 1e3), "0 or more seconds")
            }
            FaultKind::Cut { hall } => within("fault.hall", f64::from(hall), (0.0, 254.0), "a hall, from 0"),
            FaultKind::Lose { part: p, reset } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.reset", reset, part, "0 to 1")
            }
        }
    }
}
