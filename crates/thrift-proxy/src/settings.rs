//! The operator's settings of one Thrift listener and its servers.

use birchswitch_site::Names;
use birchswitch_thrift::detect::Dialect;
use birchswitch_thrift::walk::Paths;
use birchswitch_thrift::{Limits, Protocol};
use finchvale::{ClassId, Effect, Reports, TenantId};
use rustc_hash::FxHashMap;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A listener, its methods and its servers, as the operator's file has them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// What clients speak.
    #[serde(default)]
    pub dialect: DialectName,
    /// The only service taken, where clients name one (`service:method`); without it any, and none.
    pub service: Option<String>,
    /// The tenant of calls that name none.
    pub tenant: Option<String>,
    /// Most clients at a time.
    #[serde(default = "connections")]
    pub connections: u32,
    /// Most calls in hand of one client; more are not read until some are answered.
    #[serde(default = "pipeline")]
    pub pipeline: u32,
    /// Largest message, in KiB.
    #[serde(default = "message_kb")]
    pub message_kb: u32,
    /// Memory for the calls in hand and their answers, in MiB; more are not read until some are answered.
    #[serde(default = "memory_mb")]
    pub memory_mb: u32,
    /// A client that is silent for so long is closed, in milliseconds; sooner where places run short.
    #[serde(default = "idle_ms")]
    pub idle_ms: u64,
    /// By name.
    pub methods: BTreeMap<String, Method>,
    /// The servers' side.
    pub servers: Servers,
}

fn connections() -> u32 {
    64
}

fn pipeline() -> u32 {
    32
}

fn message_kb() -> u32 {
    64
}

fn memory_mb() -> u32 {
    16
}

fn idle_ms() -> u64 {
    60_000
}

/// A protocol and whether it is framed.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DialectName {
    /// Told by each connection's first bytes.
    #[default]
    Auto,
    /// Binary in frames.
    FramedBinary,
    /// Compact in frames.
    FramedCompact,
    /// Binary without.
    Binary,
    /// Compact without.
    Compact,
}

impl DialectName {
    fn dialect(self) -> Option<Dialect> {
        let dialect = |protocol, framed| Some(Dialect { protocol, framed });
        match self {
            DialectName::Auto => None,
            DialectName::FramedBinary => dialect(Protocol::Binary, true),
            DialectName::FramedCompact => dialect(Protocol::Compact, true),
            DialectName::Binary => dialect(Protocol::Binary, false),
            DialectName::Compact => dialect(Protocol::Compact, false),
        }
    }
}

/// What a method's calls are. Paths are field ids from the arguments on, such as `1.3`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Method {
    /// The class of requests.
    pub class: String,
    /// Where the tenant's name is: a string.
    pub tenant: Option<String>,
    /// Where the order key is: a string or number. Wanted of keyed classes.
    pub key: Option<String>,
    /// Where the client's time is: a number of milliseconds. Without it, the class's deadline.
    pub deadline_ms: Option<String>,
    /// Where the expected work is: a number of microseconds.
    pub cost_us: Option<String>,
}

/// The servers' side.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// What servers speak; not `auto`.
    pub dialect: DialectName,
    /// Where their list is, in the platform's form.
    pub discovery: SocketAddr,
    /// Most connections to all of them.
    #[serde(default = "connections")]
    pub connections: u32,
    /// Types of `TApplicationException` that prove that a call never ran.
    #[serde(default)]
    pub never_ran: Vec<ExceptionName>,
    /// A method that tells the load, for probes.
    pub load: Option<LoadMethod>,
    /// Where answers tell it; paths from the result on.
    pub report: Option<LoadFields>,
}

/// Thrift's own types of exceptions that may prove something.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum ExceptionName {
    UnknownMethod = 1,
    InvalidMessageType = 2,
    ProtocolError = 7,
    InvalidTransform = 8,
    InvalidProtocol = 9,
    UnsupportedClientType = 10,
}

/// A method without arguments that tells the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMethod {
    /// Its name.
    pub method: String,
    /// Paths from the result on; its own value is field 0.
    pub fields: LoadFields,
}

/// Where a load report's figures are.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFields {
    /// Requests in hand.
    pub held: Option<String>,
    /// Requests waiting.
    pub waiting: Option<String>,
    /// Busy part of the cores, from 0 to 1.
    pub busy: Option<String>,
}

/// Why settings make no sense. Each names the listener and what is wanted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("thrift listener {listener:?}: {problem}")]
pub struct SettingsError {
    /// Its name.
    pub listener: String,
    /// What is wrong.
    pub problem: String,
}

/// Settings ready for use.
pub struct ThriftSettings {
    /// As they were given.
    pub settings: Settings,
    pub(crate) clients: Option<Dialect>,
    pub(crate) servers: Dialect,
    pub(crate) limits: Limits,
    pub(crate) methods: FxHashMap<String, CompiledMethod>,
    pub(crate) default_tenant: Option<TenantId>,
    pub(crate) load: Option<(String, Paths)>,
    pub(crate) report: Option<Paths>,
}

/// A method, with its paths in the order of [`FIELDS`].
pub(crate) struct CompiledMethod {
    pub(crate) class: ClassId,
    pub(crate) keyed: bool,
    pub(crate) deadline: Duration,
    pub(crate) paths: Paths,
    /// Position among the paths of tenant, key, deadline and cost.
    pub(crate) at: [Option<usize>; 4],
}

impl Settings {
    /// Checks everything against the site's settings.
    pub fn compile(self, site: &finchvale::Settings, names: &Names) -> Result<ThriftSettings, SettingsError> {
        let error = |problem: String| SettingsError { listener: self.name.clone(), problem };
        let path = |text: &str| Paths::parse(text).map_err(|e| error(e.to_string()));
        for (what, value) in [
            ("connections", self.connections),
            ("pipeline", self.pipeline),
            ("message_kb", self.message_kb),
            ("memory_mb", self.memory_mb),
            ("servers.connections", self.servers.connections),
        ] {
            if !(1..=1 << 16).contains(&value) {
                return Err(error(format!("{what} is {value}: wanted 1 to 65536")));
            }
        }
        if u64::from(self.message_kb) > 1024 * u64::from(self.memory_mb) / 2 {
            return Err(error("memory_mb holds no call of message_kb with its answer".into()));
        }
        let servers = self.servers.dialect.dialect();
        let servers =
            servers.ok_or_else(|| error("servers.dialect is auto: servers don't speak first".into()))?;
        if self.methods.is_empty() {
            return Err(error("methods names no method".into()));
        }
        let tenant = |name: &str| names.tenants.iter().position(|t| t == name);
        let default_tenant = match &self.tenant {
            Some(name) => Some(tenant(name).ok_or_else(|| error(format!("unknown tenant {name:?}")))?),
            None => None,
        };
        let mut methods = FxHashMap::default();
        for (name, method) in &self.methods {
            let class = names.classes.iter().position(|c| *c == method.class);
            let class =
                class.ok_or_else(|| error(format!("methods.{name}: unknown class {:?}", method.class)))?;
            let keyed = matches!(site.classes[class].effect, Effect::Keyed { .. });
            if keyed && method.key.is_none() {
                let problem = format!("methods.{name}: class {} is keyed, and no key is named", method.class);
                return Err(error(problem));
            }
            if method.tenant.is_none() && default_tenant.is_none() && !names.tenants.is_empty() {
                return Err(error(format!("methods.{name}: neither it nor the listener names a tenant")));
            }
            let texts = [&method.tenant, &method.key, &method.deadline_ms, &method.cost_us];
            let mut paths = Vec::new();
            let mut at = [None; 4];
            for (text, at) in texts.into_iter().zip(&mut at) {
                if let Some(text) = text {
                    *at = Some(paths.len());
                    paths.push(path(text)?);
                }
            }
            let class_id = ClassId(u8::try_from(class).map_err(|_| error("too many classes".into()))?);
            let deadline = site.classes[class].deadline;
            let paths = Paths::new(paths);
            methods.insert(name.clone(), CompiledMethod { class: class_id, keyed, deadline, paths, at });
        }
        let fields = |f: &LoadFields| {
            // A path that leads nowhere stands for a figure that is not told.
            let one = |p: &Option<String>| p.as_deref().map_or(Ok(vec![i16::MIN]), path);
            Ok::<_, SettingsError>(Paths::new([one(&f.held)?, one(&f.waiting)?, one(&f.busy)?]))
        };
        let load = match &self.servers.load {
            Some(load) => Some((load.method.clone(), fields(&load.fields)?)),
            None => None,
        };
        let report = self.servers.report.as_ref().map(fields).transpose()?;
        let message = self.message_kb as usize * 1024;
        let limits = Limits { message, string: message, elements: message, ..Limits::default() };
        let clients = self.dialect.dialect();
        let default_tenant = default_tenant.and_then(|t| u16::try_from(t).ok()).map(TenantId);
        Ok(ThriftSettings { settings: self, clients, servers, limits, methods, default_tenant, load, report })
    }
}

impl ThriftSettings {
    /// The site's settings as they are for these servers: reports come as the operator says.
    pub fn site_settings(&self, mut site: finchvale::Settings) -> finchvale::Settings {
        site.may_probe = self.load.is_some();
        site.reports = match (&self.load, &self.report) {
            (Some(_), _) => Reports::ByProbe,
            (None, Some(_)) => Reports::WithAnswers,
            (None, None) => Reports::Absent,
        };
        site.reports_rate = false;
        site.subscribe_to_lists = false;
        site
    }
}
