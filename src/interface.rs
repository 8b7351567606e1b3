//! The public types of this crate: settings, events, actions and ids.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the node's clock, in nanoseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Add<Duration> for Time {
    type Output = Time;
    /// Saturates at the maximum.
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
    /// Index into [`Settings::classes`].
    ClassId(u8);
    /// Index into [`Settings::tenants`].
    TenantId(u16);
    /// Index into the site's list of zones.
    ZoneId(u8);
    /// Index into the site's list of machine kinds.
    KindId(u8);
    /// A small group of servers that share their records of idempotency keys.
    CellId(u16);
    /// Identifies a timer set by the balancer.
    TimerId(u32);
}

/// The servers among which repeats of a keyed request are deduplicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether and where requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Within the scope, for `window` after the first send that may have run.
    Keyed {
        /// Where repeats are deduplicated.
        scope: KeyScope,
        /// How long repeats are deduplicated.
        window: Duration,
    },
    /// Only if every earlier attempt is known not to have run.
    Unsafe,
}

/// The settings of one request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Whether its requests may be repeated.
    pub effect: Effect,
    /// Latency target: an answer within this time earns the full worth.
    pub aim: Duration,
    /// The target grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// How long the client waits.
    pub deadline: Duration,
    /// Worth of an answer within the target.
    pub worth: f64,
    /// Fraction of the worth that an answer after the target earns.
    pub late_worth: f64,
    /// Whether answers are streamed.
    pub streamed: bool,
    /// Zones that may serve the class; `None` allows all, an empty list none.
    pub zones: Option<Vec<ZoneId>>,
    /// Machine kinds that may serve the class; `None` allows all.
    pub kinds: Option<Vec<KindId>>,
}

/// The settings of one tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all nodes, that count with their full worth.
    pub quota_per_s: f64,
}

/// How the node receives load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With every answer.
    WithAnswers,
    /// Only in answers to probes.
    ByProbe,
    /// Not at all.
    Absent,
}

/// Timing and capacity parameters of the balancing rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// After a server's drain is announced, new requests may go to it for this long at most.
    pub drain_grace: Duration,
    /// Lower bound on the fraction of its capacity that a server starts with.
    pub cold_from: f64,
    /// Time after which a started server has its full capacity, at the latest.
    pub warm_up: Duration,
    /// A cold server fails if it receives more than this multiple of its current capacity ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_time: Duration,
    /// Upper bound on the time until a node that does not subscribe to changes learns of a listed change.
    pub list_poll_interval: Duration,
}

/// Costs of a node's own traffic, as fractions of the worth of a mean request; 0 means free.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Cost of one probe.
    pub probe: f64,
    /// Cost of one new connection to a server.
    pub handshake: f64,
}

/// Configuration of a [`Balancer`](crate::Balancer).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of nodes in this tier, including this one.
    pub nodes: u32,
    /// Index of this node, from 0; `None` if unknown.
    pub node_index: Option<u32>,
    /// Costs of probes and of new connections.
    pub prices: Prices,
    /// Zone of this node.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: u8,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's quota, as a fraction of its regular worth.
    pub over_share_worth: f64,
    /// Whether worth counts per unit of work instead of per request.
    pub worth_by_work: bool,
    /// Whether the weights in the server list are meaningful.
    pub use_listed_weights: bool,
    /// How load reports arrive.
    pub reports: Reports,
    /// Whether reports carry both `busy` and `rate`.
    pub reports_rate: bool,
    /// Whether list changes arrive only after an [`Action::Watch`].
    pub subscribe_to_lists: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub second_copies: bool,
    /// Time after which an idle connection closes.
    pub conn_idle: Duration,
    /// Time after which a connection attempt counts as [`Outcome::Unreachable`].
    pub connect_timeout: Duration,
    /// Longest wait suggested to a refused client; `None` if no wait is suggested.
    pub max_retry_after: Option<Duration>,
    /// Parameters of the balancing rules.
    pub rules: Rules,
}

/// Error returned for invalid [`Settings`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// No classes, or more than 256.
    #[error("classes: expected between 1 and 256")]
    InvalidClassCount,
    /// A value that is negative, not finite, or out of range.
    #[error("{setting}: {value} is out of range")]
    InvalidValue {
        /// Name of the setting.
        setting: &'static str,
        /// The given value.
        value: f64,
    },
    /// The node's zone is not below the number of zones.
    #[error("zone: {zone} must be below {zones}, the number of zones")]
    UnknownZone {
        /// The node's zone.
        zone: u8,
        /// Number of zones.
        zones: u8,
    },
}

/// State of a server according to the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Completes its requests but accepts no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of a server list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Hash of the server's name: the same at every node, unlike `server`.
    pub name: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: ServerState,
    /// Its weight; used if [`Settings::use_listed_weights`].
    pub weight: f64,
    /// Its last start; `None` if long ago.
    pub started: Option<Time>,
}

/// Content of a list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// A complete list that may be outdated.
    Cached,
    /// Changed entries only.
    Changes,
    /// The complete current list.
    Full,
    /// The call failed or the subscription broke; the current list remains valid.
    Failed,
}

/// Result of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A successful answer.
    Served,
    /// The server answered with an error.
    Error,
    /// The server rejected the request without running it.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// No connection could be established.
    Unreachable,
    /// The connection broke.
    Broken,
    /// Cancelled by the node.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the server itself answered.
    pub fn server_responded(self) -> bool {
        matches!(self, Outcome::Served | Outcome::Error | Outcome::Rejected)
    }

    /// Whether the server failed to answer.
    pub fn server_unresponsive(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken)
    }

    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent)
    }
}

/// Load as reported by a server; `None` marks values it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Utilized fraction of its cores.
    pub busy: Option<f64>,
    /// Requests served per second.
    pub rate: Option<f64>,
    /// Requests that wait.
    pub waiting: Option<f64>,
    /// Requests in the server, including those that wait.
    pub held: Option<f64>,
    /// Recent mean time in seconds to process a request, without waiting.
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
    /// Time until the client stops waiting.
    pub remaining: Duration,
    /// Expected work on a standard core, if known.
    pub work: Option<Duration>,
    /// Whether the request was received completely. If not, the server cannot start before
    /// [`Event::RequestWritten`], and the attempt counts from then on only.
    pub body_complete: bool,
}

/// Details of an attempt that ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from 0.
    pub attempt: u32,
    /// Its server.
    pub server: ServerId,
    /// Its result.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// Whether the request needs no further answer.
    pub closed: bool,
    /// The server's load report, if one was attached.
    pub report: Option<LoadReport>,
}

/// Details of a probe that ended.
#[derive(Clone, Copy, Debug)]
pub struct ProbeEnded {
    /// The probed server.
    pub server: ServerId,
    /// Its result.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// The server's load report, if one was attached.
    pub report: Option<LoadReport>,
}

/// Correction of a server's share and weight, derived from observations of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerAdjustment {
    /// The server.
    pub server: ServerId,
    /// Upper bound of its share relative to the mean share; 1 or more means no bound.
    pub share_limit: f64,
    /// Factor for its weight ζ, whether listed or estimated by this node, ...
    pub weight_factor: f64,
    /// ... raised to this power, from 0 (ignored) to 1 (applied in full).
    pub confidence: f64,
}

/// Inputs of the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A server list or changes to it.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client's request arrived.
    Arrival(Arrival),
    /// A streamed answer started.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Time since it was sent.
        latency: Duration,
    },
    /// The last byte of a request that arrived incomplete was sent: the attempt's server can start.
    RequestWritten {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Time that the server took to accept the rest of the request, without waits for the client.
        transfer: Duration,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client disconnected; no answer is due any more.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The timer.
        timer: TimerId,
    },
    /// A probe ended.
    ProbeEnded(ProbeEnded),
    /// Corrections derived by the whole fleet; they replace all earlier ones.
    Adjustments(Vec<ServerAdjustment>),
    /// This node's position among the live nodes, replacing [`Settings::node_index`]. Sent only after a list.
    RingPosition {
        /// Where its aperture starts on the ring of servers, from 0 to 1.
        start: f64,
        /// Number of nodes in the fleet's agreed view. More than [`Settings::nodes`] lower this node's
        /// assumed share of the fleet's traffic; fewer do not raise it.
        nodes: u32,
    },
}

/// Actions, in the order in which they are to be carried out.
pub(crate) type Actions = Vec<Action>;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its hinted work cannot be finished in time even on an idle server.
    Infeasible,
    /// Capacity is short and the request is worth less than those admitted.
    BelowThreshold,
    /// No server that may take it is available.
    NoServer,
    /// Its chance of an answer in time is too low at the chosen server.
    Unlikely,
    /// Its attempts failed, and time or retry budget do not allow another.
    AttemptsExhausted,
}

impl Refusal {
    /// All reasons, in the order in which they are counted.
    pub const ALL: [Refusal; 5] = [
        Refusal::Infeasible,
        Refusal::BelowThreshold,
        Refusal::NoServer,
        Refusal::Unlikely,
        Refusal::AttemptsExhausted,
    ];

    /// Label for metrics and logs.
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

/// Outputs of the balancer, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Timeout of the attempt; `None`: the time until the client stops waiting.
        limit: Option<Duration>,
    },
    /// Final answer: refused, and safe to repeat.
    Refuse {
        /// The request.
        request: RequestId,
        /// Suggested wait before the client retries.
        wait: Option<Duration>,
        /// Reason for the refusal.
        why: Refusal,
    },
    /// Final answer: failed; the request may have run.
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
    /// Schedule [`Event::Timer`].
    SetTimer {
        /// When it is due.
        at: Time,
        /// Its id.
        timer: TimerId,
    },
    /// Ask a server for its load.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to list changes.
    Watch,
    /// A line for the node's log.
    Log(String),
}

impl Settings {
    /// Validates the settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() || self.classes.len() > 256 {
            return Err(SettingsError::InvalidClassCount);
        }
        let check = |setting, value: f64, min, max| {
            let valid = value.is_finite() && value >= min && value <= max;
            valid.then_some(()).ok_or(SettingsError::InvalidValue { setting, value })
        };
        for class in &self.classes {
            check("classes.aim", class.aim.as_secs_f64(), 1e-9, f64::MAX)?;
            check("classes.deadline", class.deadline.as_secs_f64(), 1e-9, f64::MAX)?;
            check("classes.worth", class.worth, 0.0, f64::MAX)?;
            check("classes.late_worth", class.late_worth, 0.0, f64::MAX)?;
            check("classes.aim_stretch", class.aim_stretch, 0.0, f64::MAX)?;
        }
        for tenant in &self.tenants {
            check("tenants.quota_per_s", tenant.quota_per_s, 0.0, f64::MAX)?;
        }
        check("over_share_worth", self.over_share_worth, 0.0, f64::MAX)?;
        check("rules.cold_from", self.rules.cold_from, 0.0, 1.0)?;
        check("rules.fall_multiple", self.rules.fall_multiple, 0.0, f64::MAX)?;
        check("nodes", f64::from(self.nodes), 1.0, f64::MAX)?;
        check("prices.probe", self.prices.probe, 0.0, f64::MAX)?;
        check("prices.handshake", self.prices.handshake, 0.0, f64::MAX)?;
        check("max_attempts", f64::from(self.max_attempts), 1.0, f64::MAX)?;
        if self.zone.0 >= self.zones {
            return Err(SettingsError::UnknownZone { zone: self.zone.0, zones: self.zones });
        }
        Ok(())
    }
}
