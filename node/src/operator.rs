//! The operator's own file, beside what the platform tells: TOML, named by `GW_OPERATOR`. Without one, nothing of it is on.

use birchswitch_thrift_proxy::{Compiled, Settings, SettingsError};
use serde::Deserialize;
use std::net::SocketAddr;

/// Why the operator's file can't be used. One line each.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// It can't be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is not what it should be.
    #[error("{path}, line {line}, column {column}: {problem}")]
    Toml {
        /// The file.
        path: String,
        /// Counted from 1.
        line: usize,
        /// Counted from 1.
        column: usize,
        /// What is wrong.
        problem: String,
    },
    /// A listener makes no sense beside the site's settings.
    #[error("{path}: {source}")]
    Thrift {
        /// The file.
        path: String,
        /// What is wrong.
        source: SettingsError,
    },
    /// Two listeners want one address.
    #[error("{path}: {address} is wanted twice")]
    Twice {
        /// The file.
        path: String,
        /// The address.
        address: SocketAddr,
    },
    /// The process may not hold what the listeners are to have.
    #[error("{path}: the Thrift listeners want {wanted} {what}, and {left} are to be had beside HTTP")]
    TooMuch {
        /// The file.
        path: String,
        /// Of what.
        what: &'static str,
        /// What they want together.
        wanted: usize,
        /// What is left for them.
        left: usize,
    },
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    thrift: Vec<Settings>,
}

/// What the operator wants, checked.
#[derive(Default)]
pub struct Operator {
    /// Thrift listeners.
    pub thrift: Vec<Compiled>,
}

/// What the process may hold.
pub struct Budget {
    /// Descriptors.
    pub sockets: usize,
    /// Bytes.
    pub memory: usize,
}

/// Buffers of one connection, either side, beside its messages.
const CONNECTION_MEMORY: usize = 16 << 10;

impl Operator {
    /// Reads and checks the file against the site's settings, the platform's listener, and the half of the process's
    /// budget that HTTP leaves.
    pub fn read(
        path: &str,
        listen: SocketAddr,
        budget: &Budget,
        site: &finchvale::Settings,
        names: &birchswitch_site::Names,
    ) -> Result<Self, OperatorError> {
        let own = || path.to_owned();
        let text = std::fs::read_to_string(path)
            .map_err(|source| OperatorError::Unreadable { path: own(), source })?;
        let file: File = toml::from_str(&text).map_err(|error| {
            let before = text.get(..error.span().map_or(0, |s| s.start)).unwrap_or_default();
            let line = before.matches('\n').count() + 1;
            let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
            let problem = error.message().replace('\n', " ");
            OperatorError::Toml { path: own(), line, column, problem }
        })?;
        let mut addresses = vec![listen];
        let mut thrift = Vec::new();
        for settings in file.thrift {
            let address = settings.listen;
            if address.port() != 0 && addresses.contains(&address) {
                return Err(OperatorError::Twice { path: own(), address });
            }
            addresses.push(address);
            let compiled = settings.compile(site, names);
            thrift.push(compiled.map_err(|source| OperatorError::Thrift { path: own(), source })?);
        }
        let operator = Operator { thrift };
        let taken = operator.taken();
        for (what, wanted, left) in [
            ("descriptors", taken.sockets, budget.sockets / 2),
            ("MiB of memory", taken.memory.div_ceil(1 << 20), (budget.memory / 2) >> 20),
        ] {
            if wanted > left {
                return Err(OperatorError::TooMuch { path: own(), what, wanted, left });
            }
        }
        Ok(operator)
    }

    /// What the listeners may hold at most.
    pub fn taken(&self) -> Budget {
        self.thrift.iter().fold(Budget { sockets: 0, memory: 0 }, |sum, compiled| {
            let s = &compiled.settings;
            let connections = (s.connections + s.servers.connections) as usize;
            // A message is read whole before room is found for its call.
            let each = CONNECTION_MEMORY + ((s.message_kb as usize) << 10);
            // The listener and its discovery.
            Budget {
                sockets: sum.sockets + connections + 2,
                memory: sum.memory + ((s.memory_mb as usize) << 20) + connections * each,
            }
        })
    }
}
