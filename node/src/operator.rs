//! The operator's own file, beside what the platform tells: TOML, named by `GW_OPERATOR`. Without one, nothing of it is on.

use birchswitch_cluster_host::{ClusterSettings as Member, ClusterTable, SettingError};
use birchswitch_lease_host::{LeaseSettings as Lease, LeaseTable};
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
    #[error("{path}: the Thrift listeners and the mesh want {wanted} {what}, and {left} are to be had beside HTTP")]
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
    cluster: Option<ClusterTable>,
    lease: Option<Spanned<LeaseTable>>,
    health: Option<Spanned<crate::fleet::health::Table>>,
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
    /// Where its lines go.
    pub json: Sink,
}

/// Where lines go.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum Sink {
    /// Standard error, beside the lines of text.
    Standard,
    /// This file, at its end.
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

/// What the operator wants, checked.
#[derive(Default)]
pub struct Operator {
    /// Thrift listeners.
    pub thrift: Vec<ThriftSettings>,
    /// Membership among the nodes.
    pub cluster: Option<Member>,
    /// Leases for tasks of the whole fleet.
    pub lease: Option<Lease>,
    /// One node of a zone asks silent servers for all.
    pub health: Option<birchswitch_health::ProbeIntervals>,
    /// TCP between the nodes.
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

/// What the process may hold.
pub struct Budget {
    /// Descriptors.
    pub sockets: usize,
    /// Bytes.
    pub memory: usize,
}

/// An error at a byte of the file.
fn at(path: &str, text: &str, byte: usize, problem: String) -> OperatorError {
    let before = text.get(..byte).unwrap_or_default();
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    OperatorError::Toml { path: path.to_owned(), line, column, problem }
}

/// Buffers of one connection, either side, beside its messages.
const CONNECTION_MEMORY: usize = 16 << 10;

impl Operator {
    /// Reads and checks the file of a node of that name against the site's settings, the platform's listener, and the half of the process's
    /// budget that HTTP leaves.
    pub fn read(
        (path, name): (&str, &str),
        listen: SocketAddr,
        budget: &Budget,
        site: &finchvale::Settings,
        names: &birchswitch_site::Names,
    ) -> Result<Self, OperatorError> {
        let own = || path.to_owned();
        let text = std::fs::read_to_string(path)
            .map_err(|source| OperatorError::Unreadable { path: own(), source })?;
        let file: File = toml::from_str(&text).map_err(|error| {
            at(path, &text, error.span().map_or(0, |s| s.start), error.message().replace('\n', " "))
        })?;
        let cluster = file.cluster.map(ClusterTable::compile).transpose();
        let cluster =
            cluster.map_err(|SettingError { span, problem }| at(path, &text, span.start, problem))?;
        if let (Some(lease), None) = (&file.lease, &cluster) {
            let problem = "[lease] goes through the members' socket: it wants a [cluster] table".to_owned();
            return Err(at(path, &text, lease.span().start, problem));
        }
        let lease = file.lease.map(|l| l.into_inner().compile()).transpose();
        let lease = lease.map_err(|SettingError { span, problem }| at(path, &text, span.start, problem))?;
        let health = file
            .health
            .map(|h| crate::fleet::health::compile(h, lease.is_some(), site.may_probe))
            .transpose();
        let health = health.map_err(|SettingError { span, problem }| at(path, &text, span.start, problem))?;
        if let (Some(mesh), None) = (&file.mesh, &cluster) {
            let problem = "[mesh] connects members: it wants a [cluster] table".to_owned();
            return Err(at(path, &text, mesh.span().start, problem));
        }
        let mesh = file.mesh.map(|m| m.into_inner().compile()).transpose();
        let mesh = mesh.map_err(|SettingError { span, problem }| at(path, &text, span.start, problem))?;
        let limits = match (file.limits.first(), &lease, &mesh) {
            (None, ..) => None,
            (Some(_), Some(lease), Some(_)) => {
                let hold = site.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
                let times = (hold, lease.terms.ttl, lease.terms.drift);
                let compiled = quota::QuotaSettings::new(&file.limits, file.quota.as_ref(), names, times);
                Some(
                    compiled
                        .map_err(|SettingError { span, problem }| at(path, &text, span.start, problem))?,
                )
            }
            (Some(limit), ..) => {
                let problem = "limits of the whole fleet want a [lease] and a [mesh] table".to_owned();
                return Err(at(path, &text, limit.span().start, problem));
            }
        };
        if let (Some(tuner), true) = (&file.tuner, lease.is_none() || mesh.is_none()) {
            let problem = "tuned weights of the whole fleet want a [lease] and a [mesh] table".to_owned();
            return Err(at(path, &text, tuner.span().start, problem));
        }
        let tuner = file.tuner.as_ref().map(tuner::TunerTable::compile).transpose();
        let tuner = tuner.map_err(|SettingError { span, problem }| at(path, &text, span.start, problem))?;
        if let (Some(verdicts), true) = (&file.verdicts, lease.is_none() || mesh.is_none()) {
            let problem = "verdicts of the whole fleet want a [lease] and a [mesh] table".to_owned();
            return Err(at(path, &text, verdicts.span().start, problem));
        }
        let verdicts = file.verdicts.as_ref().map(verdict::VerdictTable::compile).transpose();
        let verdicts =
            verdicts.map_err(|SettingError { span, problem }| at(path, &text, span.start, problem))?;
        let member = cluster.as_ref().and_then(|c| c.node.clone()).unwrap_or_else(|| name.to_owned());
        let wallet = match (file.wallet.first(), &file.ledger, &lease, &mesh) {
            (None, None, ..) => None,
            (None, Some(ledger), ..) => {
                let problem = "[ledger] is of no use without a [[wallet]] table".to_owned();
                return Err(at(path, &text, ledger.span().start, problem));
            }
            (Some(_), Some(ledger), Some(_), Some(_)) => {
                let compiled = wallet::WalletSettings::new(&file.wallet, ledger, names, &member);
                Some(
                    compiled
                        .map_err(|SettingError { span, problem }| at(path, &text, span.start, problem))?,
                )
            }
            (Some(account), ..) => {
                let problem = "prepaid accounts want a [ledger], a [lease] and a [mesh] table".to_owned();
                return Err(at(path, &text, account.span().start, problem));
            }
        };
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
        let operator =
            Operator { thrift, cluster, lease, health, mesh, limits, wallet, verdicts, tuner, log: file.log };
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
        // A member's socket, and a file of its own for the log.
        let mesh = self.mesh.as_ref().map_or(0, |m| m.connections + 1);
        let others = usize::from(self.cluster.is_some()) + usize::from(self.log.is_some()) + mesh;
        self.thrift.iter().fold(Budget { sockets: others, memory: 0 }, |sum, compiled| {
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
