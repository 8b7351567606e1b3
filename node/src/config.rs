//! The node's configuration: the `GW_*` environment variables and the JSON file named by `GW_CONFIG`.

use crate::operator::{Budget, Operator, OperatorError};
use birchswitch_membership::list::ServerList;
use birchswitch_site as settings;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;

/// Errors in the node's configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No configuration file is named.
    #[error("GW_CONFIG is not set: it names the configuration file")]
    NoFile,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file can't be parsed.
    #[error("{path}: {source}")]
    Json {
        /// The file.
        path: String,
        /// What is wrong, and where.
        source: serde_json::Error,
    },
    /// The site's settings in the file can't be parsed.
    #[error("{path}: {source}")]
    Settings {
        /// The file.
        path: String,
        /// What is wrong, and where.
        source: settings::ConfigError,
    },
    /// The site's settings are inconsistent.
    #[error("{path}: {source}")]
    InvalidSettings {
        /// The file.
        path: String,
        /// What is inconsistent.
        source: finchvale::SettingsError,
    },
    /// The operator's file is invalid.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// A required value is set neither by a variable nor in the file.
    #[error("neither {variable} nor the configuration's `{key}` is set")]
    Missing {
        /// The variable.
        variable: &'static str,
        /// The file's key.
        key: &'static str,
    },
    /// A value is invalid.
    #[error("{what} {value:?} is not {expected}")]
    Invalid {
        /// The key or the variable.
        what: &'static str,
        /// The value.
        value: String,
        /// What is expected.
        expected: &'static str,
    },
}

/// A node's configuration.
pub struct Config {
    /// The node's name in its log.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The address of discovery in the file, which is used when the file is read again.
    pub discovery_in_file: Option<SocketAddr>,
    /// Address for operators' calls, if any.
    pub ops: Option<SocketAddr>,
    /// The descriptor of the inherited listening socket for clients, if any.
    pub socket: Option<RawFd>,
    /// Folder for state that outlives this process, if any.
    pub state: Option<PathBuf>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// The last known list of servers, if any.
    pub known: Option<ServerList>,
    /// The site's settings.
    pub site: settings::Config,
    /// The operator's settings.
    pub operator: Operator,
}

#[derive(Deserialize)]
struct File<'a> {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    ops: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<ServerList>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

/// Minimum number of descriptors: with fewer too few are left for clients and servers.
const MIN_SOCKETS: usize = 64;
/// Descriptors reserved for everything but clients and servers: standard streams, listener, discovery, the runtime.
pub const RESERVED_SOCKETS: usize = 32;

impl Config {
    /// Reads the environment variables and the file named by `GW_CONFIG`.
    pub fn from_env() -> Result<Self, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = variable("GW_CONFIG").ok_or(ConfigError::NoFile)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        Self::read(&path, &text, variable)
    }

    /// Builds the configuration from the file's text. Variables that are set take precedence over the file.
    fn read(path: &str, text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = || path.to_owned();
        let file: File =
            serde_json::from_str(text).map_err(|source| ConfigError::Json { path: path(), source })?;
        let site = settings::parse(file.settings.get().as_bytes())
            .map_err(|source| ConfigError::Settings { path: path(), source })?;
        site.settings.check().map_err(|source| ConfigError::InvalidSettings { path: path(), source })?;
        // The file's addresses are checked even if a variable overrides them, because a reload may use them.
        let address = |key: &'static str, value: Option<String>| {
            let expected = "an address and port";
            value
                .map(|v| v.parse().map_err(|_| ConfigError::Invalid { what: key, value: v, expected }))
                .transpose()
        };
        let either = |name: &'static str, key: &'static str, in_file: Option<SocketAddr>| {
            address(key, variable(name))?.or(in_file).ok_or(ConfigError::Missing { variable: name, key })
        };
        let listen = either("GW_LISTEN", "listen", address("listen", file.listen)?)?;
        let discovery_in_file = address("discovery", file.discovery)?;
        let discovery = either("GW_DISCOVERY", "discovery", discovery_in_file)?;
        let in_file = address("ops", file.ops)?;
        let ops = address("GW_OPS", variable("GW_OPS"))?.or(in_file);
        if let Some(twice) = ops.filter(|ops| *ops == listen && ops.port() != 0) {
            let expected = "an address that differs from the clients' one";
            return Err(ConfigError::Invalid { what: "ops", value: twice.to_string(), expected });
        }
        let socket = variable("GW_SOCKET_FD").map(|value| {
            let expected = "the number of a descriptor";
            value.parse().map_err(|_| ConfigError::Invalid { what: "GW_SOCKET_FD", value, expected })
        });
        let socket = socket.transpose()?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Invalid {
            what: "seed",
            value: file.seed.clone(),
            expected: "a hexadecimal number of at most 16 digits",
        })?;
        let sockets = file.limits.sockets;
        if sockets < MIN_SOCKETS {
            let (value, expected) = (sockets.to_string(), "at least 64");
            return Err(ConfigError::Invalid { what: "limits.sockets", value, expected });
        }
        let memory = file.limits.memory_mb.saturating_mul(1 << 20);
        let budget = Budget { sockets: sockets - RESERVED_SOCKETS, memory };
        let name = variable("GW_NAME").unwrap_or(file.name);
        let operator = match variable("GW_OPERATOR") {
            Some(path) => Operator::read((&path, &name), listen, &budget, &site.settings, &site.names)?,
            None => Operator::default(),
        };
        Ok(Config {
            name,
            listen,
            discovery,
            discovery_in_file,
            ops,
            socket,
            state: variable("TMPDIR").map(PathBuf::from),
            seed,
            sockets,
            memory,
            known: file.known,
            site,
            operator,
        })
    }
}
