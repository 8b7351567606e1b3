//! Scenarios: servers, clients, the network and faults, as data in TOML.
//!
//! ```toml
//! what = "Nearly half of the servers stand still for a moment, again and again"
//! load = 0.62
//!
//! [[fault]]
//! at = 5.0
//! until = 25.0
//! kind = "freeze"
//! part = 0.46
//! length = 0.2
//! every = 1.0
//! ```
//!
//! Omitted keys take the values of [`Scenario::default`]: a shop with one class that must never run twice and one whose
//! key is remembered by a cell. Times are in seconds, work is in seconds on one core of reference speed.

mod check;
mod defaults;
mod fault;
mod settings;
mod standard;

pub use fault::{Fault, FaultKind};
pub use standard::{ADDITIONAL, STANDARD};

use crate::model::{Capacity, Contention};
use serde::Deserialize;
use std::time::Duration;

/// Why a scenario is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// Not TOML, or an unknown key or value; names line and column.
    #[error("scenario: {0}")]
    Toml(#[from] toml::de::Error),
    /// A value out of its range.
    #[error("scenario: {key} = {value}: wanted {wanted}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// The value.
        value: f64,
        /// The accepted range.
        wanted: &'static str,
    },
    /// Neither a built-in scenario (see [`STANDARD`] and [`ADDITIONAL`]) nor a readable file.
    #[error("scenario {0:?}: no such file, and not one of the standard ones (`birchswitch-lab list`)")]
    Unknown(String),
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of nodes.
    pub nodes: u32,
    /// Number of servers at the start.
    pub servers: u32,
}

impl Size {
    /// The fleet in service today.
    pub const TODAY: Size = Size { nodes: 250, servers: 64 };
    /// A fleet in which each node receives tens of requests per second: for the `fleet-` scenarios.
    pub const WHOLE: Size = Size { nodes: 300, servers: 200 };
    /// The planned fleet.
    pub const FULL: Size = Size { nodes: 1250, servers: 312 };
}

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// A description in one sentence.
    pub what: String,
    /// Length in seconds; requests outstanding at the end are waited for.
    pub seconds: f64,
    /// Offered work, as a fraction of the capacity of all warm servers.
    pub load: f64,
    /// Mean work of a request.
    pub work: f64,
    /// Coefficient of variation of the work (lognormal).
    pub work_cv: f64,
    /// Coefficient of variation of an attempt's work around the request's hint.
    pub attempt_noise: f64,
    /// Fraction of requests that must not run twice; the others carry a key that a cell remembers.
    pub unsafe_part: f64,
    /// An answer within this time has its worth.
    pub aim: f64,
    /// How long the client waits.
    pub deadline: f64,
    /// The classes of requests. If empty, `unsafe_part`, `work`, `work_cv`, `aim` and `deadline` define the two classes
    /// of a shop; otherwise those five are unused.
    pub class: Vec<ClassSpec>,
    /// Whether nodes receive hints of a request's work. Only then does a request's worth scale with its work.
    pub hints: bool,
    /// Retry behaviour of clients.
    pub clients: Clients,
    /// The servers.
    pub servers: Servers,
    /// The servers' load reports.
    pub reports: ReportSpec,
    /// Network delays.
    pub network: Network,
    /// The nodes.
    pub nodes: NodeSpec,
    /// Prices that the site deducts for what nodes do.
    pub prices: PriceSpec,
    /// Faults, in any order.
    pub fault: Vec<Fault>,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its weight among the classes' shares of the requests.
    pub share: f64,
    /// Mean work of a request.
    pub work: f64,
    /// Coefficient of variation of the work (lognormal).
    pub cv: f64,
    /// An answer within this time has its worth.
    pub aim: f64,
    /// How long the client waits.
    pub deadline: f64,
    /// Worth of an answer in time.
    pub worth: f64,
    /// The effect of running a request twice.
    pub effect: EffectSpec,
}

/// The effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectSpec {
    /// No effect.
    Safe,
    /// Harmful: it must not happen.
    Unsafe,
    /// No effect within [`ClassSpec::window`] at servers of the same cell.
    KeyedCell,
    /// No effect within [`ClassSpec::window`] at any server.
    KeyedAll,
}

impl ClassSpec {
    /// Seconds for which servers remember a key: enough for a client to retry once after its whole deadline.
    pub fn window(&self) -> f64 {
        (2.0 * self.deadline).max(2.0)
    }
}

impl EffectSpec {
    /// Whether repeats are recognized by their key.
    pub fn is_keyed(self) -> bool {
        matches!(self, EffectSpec::KeyedCell | EffectSpec::KeyedAll)
    }
}

/// Retry behaviour of clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Retries after a refused first try; a failed try is retried only if repeats are deduplicated.
    pub retries: u32,
    /// Seconds before a retry if no wait was advised.
    pub backoff: f64,
    /// Whether clients honour an advised wait.
    pub honour: bool,
}

/// The servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// Cores per server.
    pub cores: usize,
    /// Cores per server, cycling through the list; if empty, `cores` for all.
    pub cores_each: Vec<usize>,
    /// Speed factors per server, cycling through the list; if empty, 1 for all.
    pub speeds: Vec<f64>,
    /// Extra work on an idle server, as a fraction; falls linearly to 0 when all cores are busy.
    pub cold_cache: f64,
    /// Queue capacity per core.
    pub queue: usize,
    /// Coefficient of variation of the speeds (lognormal, mean 1).
    pub speed_cv: f64,
    /// Held requests per core at which contention begins; 0 for never.
    pub crowd_from: usize,
    /// Fraction of the speed lost at twice as many.
    pub crowd_loss: f64,
    /// Fraction of the full speed after a start.
    pub cold_from: f64,
    /// Seconds to full speed.
    pub warm_up: f64,
    /// Servers per cell.
    pub cell: u16,
}

/// The servers' load reports.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportSpec {
    /// Reports come only with probes instead of with every answer.
    pub by_probe: bool,
    /// Seconds between two measurements of a server.
    pub period: f64,
    /// Age of a report in seconds when it is delivered.
    pub delay: f64,
    /// Reports count requests (held, waiting, served per second) instead of giving the busy fraction of the cores.
    pub counts: bool,
    /// Work of a probe.
    pub probe_work: f64,
}

/// Network delays.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Number of zones; nodes and servers are spread evenly over them.
    pub halls: u8,
    /// One-way delay in seconds inside a zone.
    pub same: f64,
    /// One-way delay in seconds between zones.
    pub cross: f64,
    /// Seconds until the registry detects a change.
    pub notice: f64,
    /// Seconds over which a change reaches the nodes.
    pub spread: f64,
    /// Whether a new connection takes a round trip before its first request; it is counted either way.
    pub connect: bool,
}

/// The nodes.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSpec {
    /// Coefficient of variation of the nodes' traffic (lognormal); 0 for equal traffic.
    pub skew: f64,
    /// One node per zone probes the zone's servers for all, and the others suppress probes to silent ones.
    pub health: bool,
    /// One node per zone ejects servers by the outcomes that all nodes of the zone report, with the defaults of
    /// `[verdicts]`.
    pub verdicts: bool,
    /// One node assigns weights to servers for all, with the defaults of `[tuner]`.
    pub tuned: bool,
    /// Fraction of the exchanges with the failure detector and the tuner that fail.
    pub unheard: f64,
    /// Servers' weights in the list, cycling through it; if empty, nodes use their own estimates.
    pub weights: Vec<f64>,
}

/// Prices deducted from the worth kept, per first try.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PriceSpec {
    /// Price of a probe.
    pub probe: f64,
    /// Price of a new connection.
    pub handshake: f64,
    /// Price of an attempt to another zone.
    pub cross: f64,
}

impl Scenario {
    /// Parses and checks a scenario.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Returns a built-in scenario by name.
    pub fn standard(name: &str) -> Result<Self, ScenarioError> {
        let found = STANDARD.iter().chain(ADDITIONAL).find(|s| s.0 == name);
        Scenario::parse(found.ok_or_else(|| ScenarioError::Unknown(name.into()))?.1)
    }

    /// Requests per second.
    pub fn rate(&self, size: Size) -> f64 {
        let classes = self.classes();
        let work: f64 = classes.iter().map(|c| c.share * c.work).sum();
        let shares: f64 = classes.iter().map(|c| c.share).sum();
        let all: f64 = (0..size.servers as usize).map(|s| self.cores_of(s) as f64 * self.speed_of(s)).sum();
        self.load * all * shares / work
    }

    /// The effective classes.
    pub fn classes(&self) -> Vec<ClassSpec> {
        if !self.class.is_empty() {
            return self.class.clone();
        }
        let (work, cv, aim, deadline) = (self.work, self.work_cv, self.aim, self.deadline);
        let class = |share, worth, effect| ClassSpec { share, work, cv, aim, deadline, worth, effect };
        let first = class(self.unsafe_part, 8.0, EffectSpec::Unsafe);
        vec![first, class(1.0 - self.unsafe_part, 10.0, EffectSpec::KeyedCell)]
    }

    /// The cores of a server.
    pub fn cores_of(&self, server: usize) -> usize {
        let each = &self.servers.cores_each;
        each.get(server % each.len().max(1)).copied().unwrap_or(self.servers.cores)
    }

    /// The weight of a server in the list.
    pub fn weight_of(&self, server: usize) -> f64 {
        let each = &self.nodes.weights;
        each.get(server % each.len().max(1)).copied().unwrap_or(1.0)
    }

    /// The speed factor of a server.
    pub fn speed_of(&self, server: usize) -> f64 {
        let each = &self.servers.speeds;
        each.get(server % each.len().max(1)).copied().unwrap_or(1.0)
    }

    /// The capacity of a server with this speed.
    pub fn capacity(&self, speed: f64, server: usize) -> Capacity {
        let (s, cores) = (&self.servers, self.cores_of(server));
        let contention = Contention { from: s.crowd_from * cores, loss: s.crowd_loss };
        Capacity {
            cores,
            queue: s.queue * cores,
            cold_cache: s.cold_cache,
            speed,
            contention: (s.crowd_from > 0).then_some(contention),
            cold_from: s.cold_from,
            warm_up: seconds(s.warm_up),
            fall_multiple: 3.0,
            fall_time: seconds(2.0),
        }
    }
}

/// Seconds after which servers close idle connections.
pub(crate) const IDLE: f64 = 15.0;

/// The tenants' shares of the requests.
pub const TENANTS: [f64; 2] = [0.73, 0.27];

/// Converts checked seconds to a duration.
pub(crate) fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_standard_scenarios_are_valid() {
        for (name, text) in STANDARD.iter().chain(ADDITIONAL) {
            let scenario = Scenario::parse(text).unwrap_or_else(|e| panic!("{name}: {e}"));
            assert!(!scenario.what.is_empty(), "{name} has no description");
            scenario.settings(Size::TODAY, 0).check().unwrap_or_else(|e| panic!("{name}: {e}"));
        }
    }

    #[test]
    fn errors_name_the_invalid_key() {
        let told = |text: &str| Scenario::parse(text).expect_err(text).to_string();
        assert!(told("load = 0").contains("load = 0"), "{}", told("load = 0"));
        assert!(told("lode = 0.5").contains("lode"));
        assert!(told("load = 0.5\nwork = \"x\"").contains("line 2"));
        assert!(told("[[fault]]\nat = 1.0\nkind = \"melt\"").contains("melt"));
        assert!(told("[[fault]]\nat = 1.0\nkind = \"refuse\"\npart = 1.5").contains("fault.part"));
        assert!(told("[[fault]]\nat = 3.0\nuntil = 1.0\nkind = \"registry\"").contains("fault.until"));
        assert!(Scenario::standard("nosuch").is_err());
    }
}
