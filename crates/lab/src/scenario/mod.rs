//! What is played: servers, clients, the network and faults, as data in TOML.
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
//! Whatever is left out is that of [`Scenario::default`]: a shop with one class that must never run twice and one whose
//! key is remembered by a cell. Times are seconds, work is seconds on one core of the yardstick.

mod check;
mod defaults;
mod fault;
mod settings;
mod standard;

pub use fault::{Deed, Fault};
pub use standard::{FURTHER, STANDARD};

use crate::model::{Capacity, Contention};
use serde::Deserialize;
use std::time::Duration;

/// Why a scenario can't be played.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// Not TOML, or a key or value that has no place here; names line and column.
    #[error("scenario: {0}")]
    Toml(#[from] toml::de::Error),
    /// A figure out of its range.
    #[error("scenario: {key} = {value}: wanted {wanted}")]
    Figure {
        /// The key.
        key: &'static str,
        /// What it holds.
        value: f64,
        /// What it may hold.
        wanted: &'static str,
    },
    /// Not one of [`STANDARD`] and [`FURTHER`], and no file either.
    #[error("scenario {0:?}: no such file, and not one of the standard ones (`birchswitch-lab list`)")]
    Unknown(String),
}

/// How many there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Nodes.
    pub nodes: u32,
    /// Servers at the start.
    pub servers: u32,
}

impl Size {
    /// A fleet as it is in service today.
    pub const TODAY: Size = Size { nodes: 250, servers: 64 };
    /// A whole fleet in which each node has tens of requests a second: for the scenarios named `fleet-`.
    pub const WHOLE: Size = Size { nodes: 300, servers: 200 };
    /// The fleet that is to come.
    pub const FULL: Size = Size { nodes: 1250, servers: 312 };
}

/// One scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// In a sentence.
    pub what: String,
    /// Length in seconds; what is out then is waited for.
    pub seconds: f64,
    /// Work offered, as a part of what all warm servers can do.
    pub load: f64,
    /// Mean work of a request.
    pub work: f64,
    /// Its coefficient of variation (lognormal).
    pub work_cv: f64,
    /// That of one attempt's work about what the request's hint says.
    pub attempt_noise: f64,
    /// The part of the requests that must not run twice; the others carry a key that a cell remembers.
    pub unsafe_part: f64,
    /// An answer within this time has its worth.
    pub aim: f64,
    /// The client waits so long.
    pub deadline: f64,
    /// The classes of requests, where they are not the two of a shop that `unsafe_part`, `work`, `work_cv`, `aim` and
    /// `deadline` make; these five then say nothing.
    pub class: Vec<ClassOf>,
    /// Whether nodes are told what a request's work will be. A request's worth goes by its work only where they are.
    pub hints: bool,
    /// How clients try again.
    pub clients: Clients,
    /// The servers.
    pub servers: Servers,
    /// What nodes are told of servers' load.
    pub reports: ReportsOf,
    /// Delays between the parts.
    pub network: Network,
    /// The nodes.
    pub nodes: NodesOf,
    /// What the site takes off for what nodes do.
    pub prices: PricesOf,
    /// What goes wrong, in any order.
    pub fault: Vec<Fault>,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassOf {
    /// Its part of the requests, beside the others' parts.
    pub share: f64,
    /// Mean work of a request.
    pub work: f64,
    /// Its coefficient of variation (lognormal).
    pub cv: f64,
    /// An answer within this time has its worth.
    pub aim: f64,
    /// The client waits so long.
    pub deadline: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// What it does when it runs twice.
    pub effect: EffectOf,
}

/// What a request does when it runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectOf {
    /// Nothing.
    Safe,
    /// Harm: it must not.
    Unsafe,
    /// Nothing within its [`ClassOf::window`], at any server of the same cell.
    KeyedCell,
    /// Nothing within its [`ClassOf::window`], anywhere.
    KeyedAll,
}

impl ClassOf {
    /// Seconds for which servers remember a key: long enough for a client to come again once in all its time.
    pub fn window(&self) -> f64 {
        (2.0 * self.deadline).max(2.0)
    }
}

impl EffectOf {
    /// Whether repeats are told by their key.
    pub fn is_keyed(self) -> bool {
        matches!(self, EffectOf::KeyedCell | EffectOf::KeyedAll)
    }
}

/// How clients try again.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Further tries after the first that is refused; a failed one is tried again only where repeats are dropped.
    pub retries: u32,
    /// Seconds before a further try, where no wait was advised.
    pub backoff: f64,
    /// Whether an advised wait is kept to.
    pub honour: bool,
}

/// The servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// Cores of each.
    pub cores: usize,
    /// Cores of the servers in their order, and over again; none: `cores` of each.
    pub cores_each: Vec<usize>,
    /// Factors on their speeds in their order, and over again; none: 1.
    pub speeds: Vec<f64>,
    /// How much longer work takes at an empty server, as a part: evenly less up to one that is busy on all cores.
    pub cold_cache: f64,
    /// Requests that may wait at each core.
    pub queue: usize,
    /// Coefficient of variation of their speeds (lognormal, mean 1).
    pub speed_cv: f64,
    /// Requests held for each core from which they are crowded; 0: never.
    pub crowd_from: usize,
    /// The part of the speed lost at twice as many.
    pub crowd_loss: f64,
    /// The part of its speed that one starts with.
    pub cold_from: f64,
    /// Seconds until it has all.
    pub warm_up: f64,
    /// Servers to a cell.
    pub cell: u16,
}

/// What nodes are told of servers' load.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportsOf {
    /// Only to probes, or with every answer.
    pub by_probe: bool,
    /// Seconds between two looks of a server at itself.
    pub period: f64,
    /// Seconds that a report is old when it is told.
    pub delay: f64,
    /// They count requests (held, waiting, served a second) instead of telling the busy part of the cores.
    pub counts: bool,
    /// Work of a probe.
    pub probe_work: f64,
}

/// Delays between the parts.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Halls; nodes and servers are spread over them evenly.
    pub halls: u8,
    /// Seconds one way inside a hall.
    pub same: f64,
    /// Seconds one way between halls.
    pub cross: f64,
    /// Seconds until the registry has noticed a change.
    pub notice: f64,
    /// Seconds over which it reaches the nodes.
    pub spread: f64,
    /// Whether a new connection takes a round trip before its first request; it is counted either way.
    pub connect: bool,
}

/// The nodes.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodesOf {
    /// Coefficient of variation of their traffic (lognormal); 0: clients come to all alike.
    pub skew: f64,
    /// One node of each hall asks its servers for all, and the others spare questions to those that are silent.
    pub health: bool,
    /// One node of each hall judges servers by what all nodes of the hall met, as `[verdicts]` has it by default.
    pub verdicts: bool,
    /// One node weighs servers for all, as `[tuner]` has it by default.
    pub tuned: bool,
    /// The part of the exchanges with judge and tuner that come to nothing.
    pub unheard: f64,
    /// Servers' weights in the list, in their order, and over again; none: nodes go by their own estimates.
    pub weights: Vec<f64>,
}

/// What is taken off the worth kept, for each first try.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PricesOf {
    /// For a probe.
    pub probe: f64,
    /// For a new connection.
    pub handshake: f64,
    /// For an attempt that crosses halls.
    pub cross: f64,
}

impl Scenario {
    /// Reads and checks one.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// One of [`STANDARD`] and [`FURTHER`] by its name.
    pub fn standard(name: &str) -> Result<Self, ScenarioError> {
        let found = STANDARD.iter().chain(FURTHER).find(|s| s.0 == name);
        Scenario::parse(found.ok_or_else(|| ScenarioError::Unknown(name.into()))?.1)
    }

    /// Requests a second.
    pub fn rate(&self, size: Size) -> f64 {
        let classes = self.classes();
        let work: f64 = classes.iter().map(|c| c.share * c.work).sum();
        let shares: f64 = classes.iter().map(|c| c.share).sum();
        let all: f64 = (0..size.servers as usize).map(|s| self.cores_of(s) as f64 * self.speed_of(s)).sum();
        self.load * all * shares / work
    }

    /// The classes that are played.
    pub fn classes(&self) -> Vec<ClassOf> {
        if !self.class.is_empty() {
            return self.class.clone();
        }
        let (work, cv, aim, deadline) = (self.work, self.work_cv, self.aim, self.deadline);
        let class = |share, worth, effect| ClassOf { share, work, cv, aim, deadline, worth, effect };
        let first = class(self.unsafe_part, 8.0, EffectOf::Unsafe);
        vec![first, class(1.0 - self.unsafe_part, 10.0, EffectOf::KeyedCell)]
    }

    /// A server's cores, by its place among all.
    pub fn cores_of(&self, server: usize) -> usize {
        let each = &self.servers.cores_each;
        each.get(server % each.len().max(1)).copied().unwrap_or(self.servers.cores)
    }

    /// Its weight in the list.
    pub fn weight_of(&self, server: usize) -> f64 {
        let each = &self.nodes.weights;
        each.get(server % each.len().max(1)).copied().unwrap_or(1.0)
    }

    /// The factor on its speed.
    pub fn speed_of(&self, server: usize) -> f64 {
        let each = &self.servers.speeds;
        each.get(server % each.len().max(1)).copied().unwrap_or(1.0)
    }

    /// What one server of this speed can do.
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

/// A time from seconds that were checked.
pub(crate) fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_standard_scenarios_are_sound() {
        for (name, text) in STANDARD.iter().chain(FURTHER) {
            let scenario = Scenario::parse(text).unwrap_or_else(|e| panic!("{name}: {e}"));
            assert!(!scenario.what.is_empty(), "{name} says what it is");
            scenario.settings(Size::TODAY, 0).check().unwrap_or_else(|e| panic!("{name}: {e}"));
        }
    }

    #[test]
    fn what_is_wrong_is_named() {
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
