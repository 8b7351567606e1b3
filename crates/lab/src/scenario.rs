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

use crate::model::{Capacity, Crowd};
use finchvale::{Class, Effect, Group, Prices, Reports, Rules, Settings, Tenant, ZoneId};
use serde::Deserialize;
use std::time::Duration;

/// The scenarios that come with the laboratory: name and text.
pub const STANDARD: &[(&str, &str)] = &[
    ("quiet", include_str!("../scenarios/quiet.toml")),
    ("frozen", include_str!("../scenarios/frozen.toml")),
    ("frozen-late", include_str!("../scenarios/frozen-late.toml")),
    ("neighbours", include_str!("../scenarios/neighbours.toml")),
    ("heavy", include_str!("../scenarios/heavy.toml")),
    ("tenant", include_str!("../scenarios/tenant.toml")),
    ("release", include_str!("../scenarios/release.toml")),
    ("release-late", include_str!("../scenarios/release-late.toml")),
    ("death", include_str!("../scenarios/death.toml")),
    ("return", include_str!("../scenarios/return.toml")),
    ("half-hall", include_str!("../scenarios/half-hall.toml")),
    ("refusers", include_str!("../scenarios/refusers.toml")),
    ("failers", include_str!("../scenarios/failers.toml")),
    ("stuck", include_str!("../scenarios/stuck.toml")),
    ("liars", include_str!("../scenarios/liars.toml")),
    ("registry", include_str!("../scenarios/registry.toml")),
    ("quadruple", include_str!("../scenarios/quadruple.toml")),
    ("storm-0.9", include_str!("../scenarios/storm-0.9.toml")),
    ("storm-1.1", include_str!("../scenarios/storm-1.1.toml")),
    ("storm-1.5", include_str!("../scenarios/storm-1.5.toml")),
    ("storm-2.0", include_str!("../scenarios/storm-2.0.toml")),
    ("loud", include_str!("../scenarios/loud.toml")),
    ("start", include_str!("../scenarios/start.toml")),
    ("fleet-calm", include_str!("../scenarios/fleet-calm.toml")),
    ("fleet-roll", include_str!("../scenarios/fleet-roll.toml")),
    ("fleet-herd", include_str!("../scenarios/fleet-herd.toml")),
    ("fleet-zone", include_str!("../scenarios/fleet-zone.toml")),
    ("fleet-split", include_str!("../scenarios/fleet-split.toml")),
    ("fleet-join", include_str!("../scenarios/fleet-join.toml")),
];

/// Further scenarios by name, for measurements of their own: in no table of all.
pub const FURTHER: &[(&str, &str)] = &[
    ("cut-minute", include_str!("../scenarios/cut-minute.toml")),
    ("gone-minutes", include_str!("../scenarios/gone-minutes.toml")),
];

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

/// A fault with its time.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// When it begins.
    pub at: f64,
    /// When it ends, where it lasts; the end of the scenario otherwise.
    #[serde(default = "forever")]
    pub until: f64,
    /// What happens.
    #[serde(flatten)]
    pub deed: Deed,
}

/// What happens. A `part` is that of the servers that are ready when it begins, chosen by the seed.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Deed {
    /// They stand still for `length` once in `every` seconds, each at its own moments.
    Freeze {
        /// Which part of the servers.
        part: f64,
        /// Seconds that one stands still.
        length: f64,
        /// Seconds between the beginnings.
        every: f64,
    },
    /// Another program takes some of their speed, on and off.
    Neighbour {
        /// Which part of the servers.
        part: f64,
        /// What is left of their speed.
        left: f64,
        /// Seconds that it lasts, and seconds between two.
        spell: f64,
    },
    /// They die at once, without a word, and come back cold.
    Die {
        /// Which part of the servers.
        part: f64,
        /// Seconds until they are back, all in the same moment; never, where left out.
        #[serde(default = "forever")]
        back: f64,
        /// One hall only.
        #[serde(default)]
        hall: Option<u8>,
        /// Machines are gone: connections hang instead of breaking.
        #[serde(default)]
        silent: bool,
    },
    /// A rolling release: batches are replaced by cold successors.
    Release {
        /// Which part of the servers.
        part: f64,
        /// A batch, as a part of the servers.
        batch: f64,
        /// Seconds between the batches.
        every: f64,
        /// Seconds that those of a batch drain.
        drain: f64,
    },
    /// They turn everything away at once, and look idle.
    Refuse {
        /// Which part of the servers.
        part: f64,
    },
    /// They answer everything with an error at once, and look idle.
    Fail {
        /// Which part of the servers.
        part: f64,
    },
    /// Their reports stay as they are.
    Stuck {
        /// Which part of the servers.
        part: f64,
    },
    /// Their reports are multiplied by this.
    Lie {
        /// Which part of the servers.
        part: f64,
        /// On what they hold and how busy they are.
        factor: f64,
    },
    /// All reports are so much older.
    Late {
        /// Seconds.
        delay: f64,
    },
    /// Some requests that must not run twice are heavy.
    Heavy {
        /// Which part of these requests.
        part: f64,
        /// On their work.
        factor: f64,
    },
    /// The second tenant asks for so many times its share.
    Tenant {
        /// On its rate.
        factor: f64,
    },
    /// All clients ask for so many times as much.
    Rate {
        /// On the rate.
        factor: f64,
    },
    /// The registry tells nobody anything until the end.
    Registry {},
    /// Nodes are killed, in batches, and start again from nothing but the list.
    Restart {
        /// Which part of the nodes.
        part: f64,
        /// A batch, as a part of the nodes.
        batch: f64,
        /// Seconds between the batches.
        #[serde(default = "forever")]
        every: f64,
        /// Seconds until one is back. What comes to it meanwhile is lost.
        down: f64,
    },
    /// A hall is cut off from the others: what would cross its border is lost without a word.
    Cut {
        /// Which.
        hall: u8,
    },
    /// Some answers are lost on their way: their attempts run into their time-outs, or into a reset.
    Lose {
        /// Which part of the answers.
        part: f64,
        /// The part of these whose connection is reset.
        #[serde(default)]
        reset: f64,
    },
    /// One node gets so many times the others' traffic.
    Loud {
        /// On its rate.
        factor: f64,
    },
}

fn forever() -> f64 {
    f64::INFINITY
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            what: String::new(),
            seconds: 30.0,
            load: 0.62,
            work: 0.1,
            work_cv: 0.65,
            attempt_noise: 0.3,
            unsafe_part: 0.82,
            aim: 0.352,
            deadline: 0.879,
            clients: Clients::default(),
            servers: Servers::default(),
            reports: ReportsOf::default(),
            network: Network::default(),
            nodes: NodesOf::default(),
            prices: PricesOf::default(),
            fault: Vec::new(),
        }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 0, backoff: 0.1, honour: true }
    }
}

impl Default for Servers {
    fn default() -> Self {
        Servers {
            cores: 1,
            queue: 8,
            speed_cv: 0.07,
            crowd_from: 16,
            crowd_loss: 0.24,
            cold_from: 0.12,
            warm_up: 21.0,
            cell: 6,
        }
    }
}

impl Default for ReportsOf {
    fn default() -> Self {
        ReportsOf { by_probe: true, period: 0.002, delay: 0.0, probe_work: 0.00004 }
    }
}

impl Default for Network {
    fn default() -> Self {
        Network { halls: 5, same: 0.00014, cross: 0.00043, notice: 2.0, spread: 0.05, connect: false }
    }
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

    fn check(&self) -> Result<(), ScenarioError> {
        let within = |key, value: f64, (low, high), wanted| {
            let fine = value >= low && value <= high;
            fine.then_some(()).ok_or(ScenarioError::Figure { key, value, wanted })
        };
        let (part, some, time) = ((0.0, 1.0), (1e-6, 1e6), (0.0, 1e6));
        within("seconds", self.seconds, (1.0, 3600.0), "1 to 3600")?;
        within("load", self.load, (1e-3, 10.0), "0.001 to 10")?;
        for (key, value) in [("work", self.work), ("aim", self.aim), ("deadline", self.deadline)] {
            within(key, value, some, "seconds above 0")?;
        }
        within("servers.warm_up", self.servers.warm_up, some, "seconds above 0")?;
        within("reports.period", self.reports.period, some, "seconds above 0")?;
        for (key, value) in [
            ("unsafe_part", self.unsafe_part),
            ("servers.crowd_loss", self.servers.crowd_loss),
            ("servers.cold_from", self.servers.cold_from),
        ] {
            within(key, value, part, "0 to 1")?;
        }
        for (key, value) in [
            ("work_cv", self.work_cv),
            ("attempt_noise", self.attempt_noise),
            ("servers.speed_cv", self.servers.speed_cv),
            ("clients.backoff", self.clients.backoff),
            ("reports.delay", self.reports.delay),
            ("reports.probe_work", self.reports.probe_work),
            ("network.same", self.network.same),
            ("network.cross", self.network.cross),
            ("network.notice", self.network.notice),
            ("network.spread", self.network.spread),
            ("prices.probe", self.prices.probe),
            ("prices.handshake", self.prices.handshake),
            ("prices.cross", self.prices.cross),
            ("nodes.skew", self.nodes.skew),
        ] {
            within(key, value, time, "0 or more")?;
        }
        within("servers.cores", self.servers.cores as f64, (1.0, 1024.0), "1 to 1024")?;
        within("servers.cell", f64::from(self.servers.cell), (1.0, 65535.0), "1 or more")?;
        within("network.halls", f64::from(self.network.halls), (1.0, 255.0), "1 to 255")?;
        for fault in &self.fault {
            within("fault.at", fault.at, time, "seconds, 0 or more")?;
            within("fault.until", fault.until, (fault.at, f64::INFINITY), "not before `at`")?;
            fault.deed.check(within)?;
        }
        Ok(())
    }

    /// Requests a second.
    pub fn rate(&self, size: Size) -> f64 {
        self.load * f64::from(size.servers) * self.servers.cores as f64 / self.work
    }

    /// What one server can do.
    pub fn capacity(&self, speed: f64) -> Capacity {
        let s = &self.servers;
        let crowd = Crowd { from: s.crowd_from * s.cores, loss: s.crowd_loss };
        Capacity {
            cores: s.cores,
            queue: s.queue * s.cores,
            speed,
            crowd: (s.crowd_from > 0).then_some(crowd),
            cold_from: s.cold_from,
            warm_up: seconds(s.warm_up),
            fall_multiple: 3.0,
            fall_time: seconds(2.0),
        }
    }

    /// What a node is told at its start.
    pub fn settings(&self, size: Size, node: u32) -> Settings {
        let class = |effect, worth| Class {
            effect,
            aim: seconds(self.aim),
            aim_stretch: 0.0,
            deadline: seconds(self.deadline),
            worth,
            late_worth: 0.0,
            streamed: false,
            zones: None,
            kinds: None,
        };
        let keyed = Effect::Keyed { group: Group::Cell, window: seconds(2.0) };
        let all = self.rate(size) / self.load * 0.85;
        Settings {
            nodes: size.nodes,
            me: Some(node),
            prices: Prices { probe: self.prices.probe, handshake: self.prices.handshake },
            zone: ZoneId((node % u32::from(self.network.halls)) as u8),
            zones: self.network.halls,
            classes: vec![class(Effect::Unsafe, 8.0), class(keyed, 10.0)],
            tenants: TENANTS.map(|part| Tenant { quota_per_s: part * all }).into(),
            over_share_worth: 0.2,
            worth_by_work: true,
            weights_given: false,
            reports: if self.reports.by_probe { Reports::ByProbe } else { Reports::WithAnswers },
            reports_rate: false,
            list_on_request: false,
            max_attempts: 3,
            may_cancel: true,
            may_probe: self.reports.by_probe,
            second_copies: true,
            conn_idle: seconds(IDLE),
            connect_timeout: seconds(0.25),
            max_wait: Some(seconds(2.0)),
            rules: Rules {
                drain_grace: seconds(1.0),
                cold_from: self.servers.cold_from,
                warm_up: seconds(self.servers.warm_up),
                fall_multiple: 3.0,
                fall_time: seconds(2.0),
                ask_within: seconds(10.0),
            },
        }
    }
}

/// Seconds after which servers close idle connections.
pub(crate) const IDLE: f64 = 15.0;

/// The tenants' shares of the requests.
pub const TENANTS: [f64; 2] = [0.73, 0.27];

impl Deed {
    fn check(
        &self,
        within: impl Fn(&'static str, f64, (f64, f64), &'static str) -> Result<(), ScenarioError>,
    ) -> Result<(), ScenarioError> {
        let (part, factor) = ((0.0, 1.0), (0.0, 1e3));
        let spell = |key, value| within(key, value, (1e-3, 1e6), "seconds, at least 0.001");
        match *self {
            Deed::Freeze { part: p, length, every } => {
                within("fault.part", p, part, "0 to 1")?;
                spell("fault.length", length)?;
                spell("fault.every", every)
            }
            Deed::Neighbour { part: p, left, spell: s } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.left", left, (0.01, 1.0), "0.01 to 1")?;
                spell("fault.spell", s)
            }
            Deed::Release { part: p, batch, every, drain } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.batch", batch, (1e-3, 1.0), "0.001 to 1")?;
                spell("fault.every", every)?;
                spell("fault.drain", drain)
            }
            Deed::Die { part: p, back, .. } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.back", back, (1e-3, f64::INFINITY), "seconds, at least 0.001")
            }
            Deed::Refuse { part: p } | Deed::Fail { part: p } | Deed::Stuck { part: p } => {
                within("fault.part", p, part, "0 to 1")
            }
            Deed::Lie { part: p, factor: f } | Deed::Heavy { part: p, factor: f } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.factor", f, factor, "0 to 1000")
            }
            Deed::Tenant { factor: f } | Deed::Rate { factor: f } | Deed::Loud { factor: f } => {
                within("fault.factor", f, factor, "0 to 1000")
            }
            Deed::Late { delay } => within("fault.delay", delay, (0.0, 1e3), "0 or more seconds"),
            Deed::Registry {} => Ok(()),
            Deed::Restart { part: p, batch, every, down } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.batch", batch, (1e-3, 1.0), "0.001 to 1")?;
                within("fault.every", every, (1e-3, f64::INFINITY), "seconds, at least 0.001")?;
                within("fault.down", down, (0.0, 1e3), "0 or more seconds")
            }
            Deed::Cut { hall } => within("fault.hall", f64::from(hall), (0.0, 254.0), "a hall, from 0"),
            Deed::Lose { part: p, reset } => {
                within("fault.part", p, part, "0 to 1")?;
                within("fault.reset", reset, part, "0 to 1")
            }
        }
    }
}

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
