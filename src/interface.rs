//! Everything that crosses the border of the decision module: settings, events, actions and ids.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on the embedding node's own clock, in nanoseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Add<Duration> for Time {
    type Output = Time;
    /// Saturates at the end of the clock.
    fn add(self, d: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(d.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl Sub for Time {
    type Output = Duration;
    /// Zero when `other` is later.
    fn sub(self, other: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(other.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

ids! {
    /// One client request at this node; never reused.
    RequestId(u64);
    /// One server (backend process slot).
    ServerId(u32);
    /// Position in [`Settings::classes`].
    ClassId(u8);
    /// Position in [`Settings::tenants`].
    TenantId(u16);
    /// Position in the site's list of locations.
    ZoneId(u8);
    /// Position in the site's list of machine kinds.
    KindId(u8);
    /// A small group of servers that remember each other's keys.
    CellId(u16);
    /// Names a timer set by the balancer.
    TimerId(u32);
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// How far a class of requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Inside the group, for `window` after the first send that may have run.
    Keyed {
        /// Where repeats are dropped.
        scope: KeyScope,
        /// For how long.
        window: Duration,
    },
    /// Only once every earlier attempt is known not to have run.
    Unsafe,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// How far it may be repeated.
    pub effect: Effect,
    /// An answer within this time earns the full worth.
    pub aim: Duration,
    /// The aim grows by this many times the request's own work.
    pub aim_stretch: f64,
    /// The client's whole wait.
    pub deadline: Duration,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Fraction of the worth left after the aim.
    pub late_worth: f64,
    /// The answer is streamed.
    pub streamed: bool,
    /// The only zones it may go to; `None`: any. An empty list closes it everywhere.
    pub zones: Option<Vec<ZoneId>>,
    /// The only machine kinds it may go to; `None`: any.
    pub kinds: Option<Vec<KindId>>,
}

/// One customer whose traffic is weighed against a share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second over all nodes that count in full.
    pub quota_per_s: f64,
}

/// How load reports reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With every answer.
    WithAnswers,
    /// Only in answers to probes.
    ByProbe,
    /// Never.
    Absent,
}

/// The site's figures for the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Nothing new goes to a server later than this after word of its drain.
    pub drain_grace: Duration,
    /// A server starts with this fraction of its capacity, or more.
    pub cold_from: f64,
    /// It has all of it after this time, at the latest.
    pub warm_up: Duration,
    /// More than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long pushes a cold server over.
    pub fall_time: Duration,
    /// A node without a watch is deemed informed this long after something was listed.
    pub list_poll_interval: Duration,
}

/// What a site counts for each of these, as a part of the worth of a mean request. 0: nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// One probe.
    pub probe: f64,
    /// One new connection to a server.
    pub handshake: f64,
}

/// All that a balancer is told at start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Nodes in this tier, this one included.
    pub nodes: u32,
    /// Which of them this one is, from 0; `None` where that is not told.
    pub node_index: Option<u32>,
    /// What the site pays for a node's asking and connecting.
    pub prices: Prices,
    /// Where this node stands.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: u8,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its worth.
    pub over_share_worth: f64,
    /// Worth counts by unit of work rather than by request.
    pub worth_by_work: bool,
    /// The list gives weights that mean something.
    pub use_listed_weights: bool,
    /// How load reports come.
    pub reports: Reports,
    /// Reports carry both `busy` and `rate`.
    pub reports_rate: bool,
    /// List changes come only when asked for.
    pub subscribe_to_lists: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// An idle connection closes after this time.
    pub conn_idle: Duration,
    /// A connection not up by then counts as [`Outcome::Unreachable`].
    pub connect_timeout: Duration,
    /// Longest wait a refused client follows; `None` where advice is not passed on.
    pub max_retry_after: Option<Duration>,
    /// The figures of the rules.
    pub rules: Rules,
}

/// Why settings were turned down.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// No classes, or more than ids can name.
    #[error("classes: between 1 and 256 are needed")]
    NoClasses,
    /// A figure that is negative, not finite, or out of its range.
    #[error("{setting}: {value} is not usable here")]
    BadFigure {
        /// Name of the setting.
        setting: &'static str,
        /// What was given.
        value: f64,
    },
    /// The node's zone is not among the zones.
    #[error("zone: {zone} is not among the {zones} zones")]
    UnknownZone {
        /// The node's zone.
        zone: u8,
        /// Number of zones.
        zones: u8,
    },
}

/// What a list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Finishes its work; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of a server list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Names it alike at every node, where `server` may differ.
    pub name: u64,
    /// Its location.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: ServerState,
    /// Its weight, of use where [`Settings::use_listed_weights`].
    pub weight: f64,
    /// When it last started; `None` for long ago.
    pub started: Option<Time>,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list as last held; it may be old.
    Cached,
    /// Changed entries.
    Changes,
    /// The whole list.
    Full,
    /// A call failed or the watch broke; the list held stays valid.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The server answered with an error.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// No connection.
    Unreachable,
    /// The connection broke.
    Broken,
    /// Withdrawn by the node.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the server itself has said something.
    pub fn server_responded(self) -> bool {
        matches!(self, Outcome::Served | Outcome::Error | Outcome::Rejected)
    }

    /// Whether nothing was heard of the server, though it was to be.
    pub fn server_unresponsive(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken)
    }

    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent)
    }
}

/// A server's own word on its load; what it does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Busy part of its cores.
    pub busy: Option<f64>,
    /// Requests served a second.
    pub rate: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Requests held, waiting ones included.
    pub held: Option<f64>,
    /// Seconds a request took lately, without waiting.
    pub service: Option<f64>,
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if the site has tenants.
    pub tenant: TenantId,
    /// Time before the client stops waiting.
    pub remaining: Duration,
    /// Expected work on a standard core, if known.
    pub work: Option<Duration>,
    /// All of it is there. Else an attempt begins to count with [`Event::RequestWritten`]: until then its server only waits.
    pub body_complete: bool,
}

/// An attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from 0.
    pub attempt: u32,
    /// Its server.
    pub server: ServerId,
    /// How.
    pub outcome: Outcome,
    /// Time from the send.
    pub latency: Duration,
    /// The request needs no answer any more.
    pub closed: bool,
    /// The server's report, if one came along.
    pub report: Option<LoadReport>,
}

/// A probe ended.
#[derive(Clone, Copy, Debug)]
pub struct ProbeEnded {
    /// The server.
    pub server: ServerId,
    /// How.
    pub outcome: Outcome,
    /// Time from the send.
    pub latency: Duration,
    /// The server's report, if one came along.
    pub report: Option<LoadReport>,
}

/// What the whole fleet knows of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerAdjustment {
    /// The server.
    pub server: ServerId,
    /// The most of a mean share that it gets: 1 or more, it is not bounded.
    pub share_limit: f64,
    /// What its weight ζ, the list's or this node's own estimate, is multiplied by, ...
    pub weight_factor: f64,
    /// ... to this power, from 0 to 1: how far that counts.
    pub confidence: f64,
}

/// What the node tells the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A server list or changes to it.
    List {
        /// What it holds.
        kind: ListKind,
        /// Its lines.
        entries: Vec<ServerEntry>,
    },
    /// A client's request.
    Arrival(Arrival),
    /// A streamed answer has begun.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Time from the send.
        latency: Duration,
    },
    /// The last byte of an attempt whose request was not whole has been sent: its server can begin.
    RequestWritten {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client left; nothing is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// Which.
        timer: TimerId,
    },
    /// A probe ended.
    ProbeEnded(ProbeEnded),
    /// What the whole fleet knows of servers: in the place of all that was said so before.
    Adjustments(Vec<ServerAdjustment>),
    /// Where this node stands among those that live, in place of [`Settings::node_index`]; not before a list came.
    RingPosition {
        /// The part of the ring of servers at which it begins, from 0 to 1.
        start: f64,
        /// Nodes of the fleet as last agreed. More than [`Settings::nodes`] make this node's part of a server smaller; fewer
        /// change nothing.
        nodes: u32,
    },
}

/// What is to be done, in this order.
pub(crate) type Actions = Vec<Action>;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its work, as it was hinted, can't be done in time on an idle server.
    Infeasible,
    /// Servers have no room for all, and it is worth less than what is let in.
    BelowThreshold,
    /// No server that may take it is open.
    NoServer,
    /// Where it would go its chance of being in time is too small.
    Unlikely,
    /// Its attempts came to nothing, and neither time nor budget allow another.
    AttemptsExhausted,
}

impl Refusal {
    /// All of them, in the order of their numbers.
    pub const ALL: [Refusal; 5] = [
        Refusal::Infeasible,
        Refusal::BelowThreshold,
        Refusal::NoServer,
        Refusal::Unlikely,
        Refusal::AttemptsExhausted,
    ];

    /// In figures and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Infeasible => "hopeless",
            Refusal::BelowThreshold => "toll",
            Refusal::NoServer => "no_server",
            Refusal::Unlikely => "chance",
            Refusal::AttemptsExhausted => "spent",
        }
    }
}

/// What the balancer wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Its time-out; `None`: until the client stops waiting.
        limit: Option<Duration>,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advised wait.
        wait: Option<Duration>,
        /// What for.
        why: Refusal,
    },
    /// Final answer: failed, without promise.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Ask for [`Event::Timer`].
    SetTimer {
        /// When.
        at: Time,
        /// Its name.
        timer: TimerId,
    },
    /// Ask a server for its load.
    Probe {
        /// Which.
        server: ServerId,
    },
    /// Ask for list changes from now on.
    Watch,
    /// A line for the node's log.
    Log(String),
}

impl Settings {
    /// Says what makes no sense, if anything does.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() || self.classes.len() > 256 {
            return Err(SettingsError::NoClasses);
        }
        let least = |setting, value: f64, least, most| {
            let fine = value.is_finite() && value >= least && value <= most;
            fine.then_some(()).ok_or(SettingsError::BadFigure { setting, value })
        };
        for class in &self.classes {
            least("classes.aim", class.aim.as_secs_f64(), 1e-9, f64::MAX)?;
            least("classes.deadline", class.deadline.as_secs_f64(), 1e-9, f64::MAX)?;
            least("classes.worth", class.worth, 0.0, f64::MAX)?;
            least("classes.late_worth", class.late_worth, 0.0, f64::MAX)?;
            least("classes.aim_stretch", class.aim_stretch, 0.0, f64::MAX)?;
        }
        for tenant in &self.tenants {
            least("tenants.quota_per_s", tenant.quota_per_s, 0.0, f64::MAX)?;
        }
        least("over_share_worth", self.over_share_worth, 0.0, f64::MAX)?;
        least("rules.cold_from", self.rules.cold_from, 0.0, 1.0)?;
        least("rules.fall_multiple", self.rules.fall_multiple, 0.0, f64::MAX)?;
        least("nodes", f64::from(self.nodes), 1.0, f64::MAX)?;
        least("prices.probe", self.prices.probe, 0.0, f64::MAX)?;
        least("prices.handshake", self.prices.handshake, 0.0, f64::MAX)?;
        least("max_attempts", f64::from(self.max_attempts), 1.0, f64::MAX)?;
        if self.zone.0 >= self.zones {
            return Err(SettingsError::UnknownZone { zone: self.zone.0, zones: self.zones });
        }
        Ok(())
    }
}
