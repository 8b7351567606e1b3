//! The operator's settings for one Thrift listener and its servers.

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

/// A `[[thrift]]` table of the operator's file: a listener, its methods and its servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The listener's name in the log.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The dialect of clients.
    #[serde(default)]
    pub dialect: DialectName,
    /// The only service accepted in multiplexed names (`service:method`); by default any. Names without a service
    /// are always accepted.
    pub service: Option<String>,
    /// The tenant of calls whose arguments name none.
    pub tenant: Option<String>,
    /// Maximum number of client connections.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Maximum number of calls in flight per client; further calls are not read until one is answered.
    #[serde(default = "default_pipeline")]
    pub pipeline: u32,
    /// Maximum size of a message, in KiB.
    #[serde(default = "default_message_kb")]
    pub message_kb: u32,
    /// Memory budget for calls in flight and their replies, in MiB; further calls are not read until memory is free.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// A client that sends nothing for this long is closed, in milliseconds; sooner if connection slots run short.
    #[serde(default = "default_idle_ms")]
    pub idle_ms: u64,
    /// The methods served, by name.
    pub methods: BTreeMap<String, Method>,
    /// The servers that calls are forwarded to.
    pub servers: Servers,
}

fn default_connections() -> u32 {
    64
}

fn default_pipeline() -> u32 {
    32
}

fn default_message_kb() -> u32 {
    64
}

fn default_memory_mb() -> u32 {
    16
}

fn default_idle_ms() -> u64 {
    60_000
}

/// A protocol and whether it is framed.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DialectName {
    /// Detected from the first bytes of each connection.
    #[default]
    Auto,
    /// The binary protocol, framed.
    FramedBinary,
    /// The compact protocol, framed.
    FramedCompact,
    /// The binary protocol, unframed.
    Binary,
    /// The compact protocol, unframed.
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

/// How the calls of a method are classified. Paths are field ids starting at the arguments, such as `1.3`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Method {
    /// The class of requests.
    pub class: String,
    /// Path of the tenant's name, a string.
    pub tenant: Option<String>,
    /// Path of the order key, a string or an integer. Required for keyed classes.
    pub key: Option<String>,
    /// Path of the client's timeout, a number of milliseconds. Defaults to the deadline of the class.
    pub deadline_ms: Option<String>,
    /// Path of the expected work, a number of microseconds.
    pub cost_us: Option<String>,
}

/// The servers of a listener.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// The dialect of the servers; `auto` is not allowed.
    pub dialect: DialectName,
    /// The address of the discovery that lists the servers, in the platform's format.
    pub discovery: SocketAddr,
    /// Maximum number of connections to all servers together.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Types of `TApplicationException` that prove that a call was not executed.
    #[serde(default)]
    pub never_ran: Vec<ExceptionName>,
    /// A method that reports the server's load, used for probes.
    pub load: Option<LoadMethod>,
    /// Paths of the load fields in every reply, starting at the result.
    pub report: Option<LoadFields>,
}

/// Types of `TApplicationException` that can be listed in [`Servers::never_ran`].
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

/// A method without arguments that reports the server's load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMethod {
    /// The method's name.
    pub method: String,
    /// Paths starting at the result struct, whose field 0 is the return value.
    pub fields: LoadFields,
}

/// Paths of the fields of a load report.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFields {
    /// Requests that the server holds.
    pub held: Option<String>,
    /// Requests waiting.
    pub waiting: Option<String>,
    /// Fraction of the cores in use, from 0 to 1.
    pub busy: Option<String>,
}

/// Invalid settings of a listener.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("thrift listener {listener:?}: {problem}")]
pub struct SettingsError {
    /// The listener's name.
    pub listener: String,
    /// The setting at fault and what is expected.
    pub problem: String,
}

/// Validated settings, with names and paths resolved.
pub struct ThriftSettings {
    /// The settings as configured.
    pub settings: Settings,
    /// `None`: detected on each connection.
    pub(crate) client_dialect: Option<Dialect>,
    pub(crate) server_dialect: Dialect,
    pub(crate) limits: Limits,
    pub(crate) methods: FxHashMap<String, CompiledMethod>,
    pub(crate) default_tenant: Option<TenantId>,
    pub(crate) load: Option<(String, Paths)>,
    pub(crate) report: Option<Paths>,
}

/// A method with its class resolved and its paths parsed.
pub(crate) struct CompiledMethod {
    pub(crate) class: ClassId,
    pub(crate) keyed: bool,
    pub(crate) deadline: Duration,
    pub(crate) paths: Paths,
    /// Indexes of the tenant, key, deadline and cost among the values that `paths` finds.
    pub(crate) value_indexes: [Option<usize>; 4],
}

impl Settings {
    /// Validates the settings against the site's settings and resolves names and paths.
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
                return Err(error(format!("{what} is {value}: must be between 1 and 65536")));
            }
        }
        if u64::from(self.message_kb) > 1024 * u64::from(self.memory_mb) / 2 {
            return Err(error(
                "memory_mb is too small: it must hold a call of message_kb and its reply".into(),
            ));
        }
        let dialect = self.servers.dialect.dialect();
        let server_dialect =
            dialect.ok_or_else(|| error("servers.dialect is auto: servers never send first".into()))?;
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
                return Err(error(format!(
                    "methods.{name}: neither the method nor the listener names a tenant"
                )));
            }
            let texts = [&method.tenant, &method.key, &method.deadline_ms, &method.cost_us];
            let mut paths = Vec::new();
            let mut value_indexes = [None; 4];
            for (text, index) in texts.into_iter().zip(&mut value_indexes) {
                if let Some(text) = text {
                    *index = Some(paths.len());
                    paths.push(path(text)?);
                }
            }
            let class_id = ClassId(u8::try_from(class).map_err(|_| error("too many classes".into()))?);
            let deadline = site.classes[class].deadline;
            let paths = Paths::new(paths);
            methods.insert(
                name.clone(),
                CompiledMethod { class: class_id, keyed, deadline, paths, value_indexes },
            );
        }
        let load_paths = |f: &LoadFields| {
            // A path that matches no field stands for a value that is not reported.
            let field = |p: &Option<String>| p.as_deref().map_or(Ok(vec![i16::MIN]), path);
            Ok::<_, SettingsError>(Paths::new([field(&f.held)?, field(&f.waiting)?, field(&f.busy)?]))
        };
        let load = match &self.servers.load {
            Some(load) => Some((load.method.clone(), load_paths(&load.fields)?)),
            None => None,
        };
        let report = self.servers.report.as_ref().map(load_paths).transpose()?;
        let message = self.message_kb as usize * 1024;
        let limits = Limits { message, string: message, elements: message, ..Limits::default() };
        let client_dialect = self.dialect.dialect();
        let default_tenant = default_tenant.and_then(|t| u16::try_from(t).ok()).map(TenantId);
        Ok(ThriftSettings {
            settings: self,
            client_dialect,
            server_dialect,
            limits,
            methods,
            default_tenant,
            load,
            report,
        })
    }
}

impl ThriftSettings {
    /// The site's settings adapted to these servers: the operator's file determines how load is reported.
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
