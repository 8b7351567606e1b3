//! The operator's own TOML file, named by `GW_OPERATOR`, which adds to the platform's configuration. Without it all of its features are
//! disabled.

use birchswitch_cluster_host::{ClusterSettings, ClusterTable, SettingError};
use birchswitch_lease_host::{LeaseSettings, LeaseTable};
use birchswitch_mesh as mesh;
use birchswitch_quota as quota;
use birchswitch_thrift_proxy::{Settings, SettingsError, ThriftSettings};
use birchswitch_tuner as tuner;
use birchswitch_verdict as verdict;
use birchswitch_wallet as wallet;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use toml::Spanned;

/// Errors in the operator's file. Each message is a single line.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The file can't be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not valid TOML or contains an invalid setting.
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
    /// A Thrift listener contradicts the site's settings.
    #[error("{path}: {source}")]
    Thrift {
        /// The file.
        path: String,
        /// What is wrong.
        source: SettingsError,
    },
    /// Two listeners have the same address.
    #[error("{path}: more than one listener has the address {address}")]
    DuplicateAddress {
        /// The file.
        path: String,
        /// The address.
        address: SocketAddr,
    },
    /// The listeners exceed the budget of the process.
    #[error("{path}: the Thrift listeners and the mesh need {wanted} {what}, and {left} are available beside HTTP")]
    OverBudget {
        /// The file.
        path: String,
        /// The resource.
        what: &'static str,
        /// The amount that they need together.
        wanted: usize,
        /// The amount available to them.
        left: usize,
    },
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    thrift: Vec<Settings>,
    cluster: Option<ClusterTable>,
    lease: Option<Spanned<LeaseTable>>,
    health: Option<Spanned<crate::fleet::health::HealthTable>>,
    mesh: Option<Spanned<mesh::MeshTable>>,
    #[serde(default)]
    limits: Vec<Spanned<quota::LimitTable>>,
    quota: Option<Spanned<quota::QuotaTable>>,
    #[serde(default)]
    wallet: Vec<Spanned<wallet::WalletTable>>,
    ledger: Option<Spanned<wallet::LedgerTable>>,
    verdicts: Option<Spanned<verdict::VerdictTable>>,
    tuner: Option<Spanned<tuner::TunerTable>>,
    log: Option<Log>,
}

/// The structured log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// The destination of its lines.
    pub json: Sink,
}

/// A destination of log lines.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum Sink {
    /// Standard error, mixed with the plain log lines.
    Standard,
    /// Appended to this file.
    File(PathBuf),
}

impl From<String> for Sink {
    fn from(text: String) -> Self {
        match text.as_str() {
            "stderr" => Sink::Standard,
            _ => Sink::File(text.into()),
        }
    }
}

/// The checked settings of the operator's file.
#[derive(Default)]
pub struct Operator {
    /// Thrift listeners.
    pub thrift: Vec<ThriftSettings>,
    /// Cluster membership.
    pub cluster: Option<ClusterSettings>,
    /// Leases for tasks of the whole fleet.
    pub lease: Option<LeaseSettings>,
    /// Shared health checks: one node of each zone probes the silent servers.
    pub health: Option<birchswitch_health::ProbeIntervals>,
    /// TCP connections between the nodes.
    pub mesh: Option<mesh::MeshSettings>,
    /// Limits of the whole fleet.
    pub limits: Option<quota::QuotaSettings>,
    /// Prepaid accounts.
    pub wallet: Option<wallet::WalletSettings>,
    /// Verdicts on servers.
    pub verdicts: Option<verdict::VerdictSettings>,
    /// Tuned weights.
    pub tuner: Option<tuner::TunerSettings>,
    /// The structured log.
    pub log: Option<Log>,
}

/// Resources that the process may use.
pub struct Budget {
    /// File descriptors.
    pub sockets: usize,
    /// Memory in bytes.
    pub memory: usize,
}

/// Creates an error with the line and column of a byte of the file.
fn locate(path: &str, text: &str, byte: usize, problem: String) -> OperatorError {
    let before = text.get(..byte).unwrap_or_default();
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    OperatorError::Toml { path: path.to_owned(), line, column, problem }
}

/// Buffers of one connection to a client or a server, without its messages.
const CONNECTION_MEMORY: usize = 16 << 10;

impl Operator {
    /// Reads the file for the node `name` and checks it against the site's settings, the platform's listener, and the half of the
    /// process's budget that HTTP leaves.
    pub fn read(
        (path, name): (&str, &str),
        listen: SocketAddr,
        budget: &Budget,
        site: &finchvale::Settings,
        names: &birchswitch_site::Names,
    ) -> Result<Self, OperatorError> {
        let owned_path = || path.to_owned();
        let text = std::fs::read_to_string(path)
            .map_err(|source| OperatorError::Unreadable { path: owned_path(), source })?;
        let file: File = toml::from_str(&text).map_err(|error| {
            locate(path, &text, error.span().map_or(0, |s| s.start), error.message().replace('\n', " "))
        })?;
        let cluster = file.cluster.map(ClusterTable::compile).transpose();
        let cluster =
            cluster.map_err(|SettingError { span, problem }| locate(path, &text, span.start, problem))?;
        if let (Some(lease), None) = (&file.lease, &cluster) {
            let problem = "[lease] uses the cluster's socket and requires a [cluster] table".to_owned();
            return Err(locate(path, &text, lease.span().start, problem));
        }
        let lease = file.lease.map(|l| l.into_inner().compile()).transpose();
        let lease =
            lease.map_err(|SettingError { span, problem }| locate(path, &text, span.start, problem))?;
        let health = file
            .health
            .map(|h| crate::fleet::health::compile(h, lease.is_some(), site.may_probe))
            .transpose();
        let health =
            health.map_err(|SettingError { span, problem }| locate(path, &text, span.start, problem))?;
        if let (Some(mesh), None) = (&file.mesh, &cluster) {
            let problem = "[mesh] connects cluster members and requires a [cluster] table".to_owned();
            return Err(locate(path, &text, mesh.span().start, problem));
        }
        let mesh = file.mesh.map(|m| m.into_inner().compile()).transpose();
        let mesh = mesh.map_err(|SettingError { span, problem }| locate(path, &text, span.start, problem))?;
        let limits = match (file.limits.first(), &lease, &mesh) {
            (None, ..) => None,
            (Some(_), Some(lease), Some(_)) => {
                let longest_deadline = site.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
                let times = (longest_deadline, lease.terms.ttl, lease.terms.drift);
                let compiled = quota::QuotaSettings::new(&file.limits, file.quota.as_ref(), names, times);
                Some(
                    compiled
                        .map_err(|SettingError { span, problem }| locate(path, &text, span.start, problem))?,
                )
            }
            (Some(limit), ..) => {
                let problem = "limits of the whole fleet want a [lease] and a [mesh] table".to_owned();
                return Err(locate(path, &text, limit.span().start, problem));
            }
        };
        if let (Some(tuner), true) = (&file.tuner, lease.is_none() || mesh.is_none()) {
            let problem = "tuned weights of the whole fleet want a [lease] and a [mesh] table".to_owned();
            return Err(locate(path, &text, tuner.span().start, problem));
        }
        let tuner = file.tuner.as_ref().map(tuner::TunerTable::compile).transpose();
        let tuner =
            tuner.map_err(|SettingError { span, problem }| locate(path, &text, span.start, problem))?;
        if let (Some(verdicts), true) = (&file.verdicts, lease.is_none() || mesh.is_none()) {
            let problem = "verdicts of the whole fleet want a [lease] and a [mesh] table".to_owned();
            return Err(locate(path, &text, verdicts.span().start, problem));
        }
        let verdicts = file.verdicts.as_ref().map(verdict::VerdictTable::compile).transpose();
        let verdicts =
            verdicts.map_err(|SettingError { span, problem }| locate(path, &text, span.start, problem))?;
        let member = cluster.as_ref().and_then(|c| c.node.clone()).unwrap_or_else(|| name.to_owned());
        let wallet = match (file.wallet.first(), &file.ledger, &lease, &mesh) {
            (None, None, ..) => None,
            (None, Some(ledger), ..) => {
                let problem = "[ledger] has no effect without a [[wallet]] table".to_owned();
                return Err(locate(path, &text, ledger.span().start, problem));
            }
            (Some(_), Some(ledger), Some(_), Some(_)) => {
                let compiled = wallet::WalletSettings::new(&file.wallet, ledger, names, &member);
                Some(
                    compiled
                        .map_err(|SettingError { span, problem }| locate(path, &text, span.start, problem))?,
                )
            }
            (Some(account), ..) => {
                let problem = "prepaid accounts want a [ledger], a [lease] and a [mesh] table".to_owned();
                return Err(locate(path, &text, account.span().start, problem));
            }
        };
        let mut addresses = vec![listen];
        let mut thrift = Vec::new();
        for settings in file.thrift {
            let address = settings.listen;
            if address.port() != 0 && addresses.contains(&address) {
                return Err(OperatorError::DuplicateAddress { path: owned_path(), address });
            }
            addresses.push(address);
            let compiled = settings.compile(site, names);
            thrift.push(compiled.map_err(|source| OperatorError::Thrift { path: owned_path(), source })?);
        }
        let operator =
            Operator { thrift, cluster, lease, health, mesh, limits, wallet, verdicts, tuner, log: file.log };
        let reserved = operator.reserved();
        for (what, wanted, left) in [
            ("descriptors", reserved.sockets, budget.sockets / 2),
            ("MiB of memory", reserved.memory.div_ceil(1 << 20), (budget.memory / 2) >> 20),
        ] {
            if wanted > left {
                return Err(OperatorError::OverBudget { path: owned_path(), what, wanted, left });
            }
        }
        Ok(operator)
    }

    /// Returns the most that the listeners, the mesh, the cluster and the log may use.
    pub fn reserved(&self) -> Budget {
        // One descriptor for the cluster's socket and one for the log's file.
        let mesh = self.mesh.as_ref().map_or(0, |m| m.connections + 1);
        let shared_sockets = usize::from(self.cluster.is_some()) + usize::from(self.log.is_some()) + mesh;
        self.thrift.iter().fold(Budget { sockets: shared_sockets, memory: 0 }, |sum, compiled| {
            let s = &compiled.settings;
            let connections = (s.connections + s.servers.connections) as usize;
            // A message is read completely before memory is reserved for its call.
            let connection_memory = CONNECTION_MEMORY + ((s.message_kb as usize) << 10);
            // Two more descriptors: the listener and its discovery.
            Budget {
                sockets: sum.sockets + connections + 2,
                memory: sum.memory + ((s.memory_mb as usize) << 20) + connections * connection_memory,
            }
        })
    }
}
