//! Messages between nodes and the ledger's leader, in postcard's encoding (`tests/encoding.rs` checks the bytes).

use crate::account::Report;
use serde::{Deserialize, Serialize};

/// What a node needs of one account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The account.
    pub account: String,
    /// The demand of requests in units a second, smoothed.
    pub units_per_s: f32,
    /// The highest price of a request that was rejected for lack of units since the last renewal.
    pub largest_rejected: u64,
    /// Open allotments: their numbers, and their units neither spent nor reserved.
    pub holds: Vec<(u64, u64)>,
}

/// A node's renewal: the use of its allotments, and its demand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// Counts up within a process, which ignores responses to earlier requests.
    pub sequence: u64,
    /// The highest fencing token that the process has seen.
    pub highest_token: u64,
    /// The use of its allotments.
    pub report: Report,
    /// Its demand, by account.
    pub demands: Vec<Demand>,
}

/// What a node may spend of one account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountGrant {
    /// The account.
    pub account: String,
    /// A new allotment: its number and units.
    pub allotment: Option<(u64, u64)>,
    /// The node returns what it holds beyond this many units.
    pub keep: u64,
    /// The balance has run out.
    pub paused: bool,
    /// An operator has frozen the account.
    pub frozen: bool,
}

/// The leader's response to a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalResponse {
    /// The leader's fencing token.
    pub token: u64,
    /// Number of the process's latest report that is in the ledger.
    pub report: u64,
    /// One for each account of the request's demands.
    pub accounts: Vec<AccountGrant>,
}

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminCommand {
    /// List all accounts.
    Show,
    /// List allotments in doubt.
    InDoubt,
    /// Credit a payment: account, the payment's id, units.
    TopUp(String, String, u64),
    /// Freeze an account (`true`) or release it.
    Freeze(String, bool),
    /// Settle an allotment in doubt: account, allotment, units spent.
    Settle(String, u64, u64),
}

/// A request to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// From a node.
    Renew(RenewalRequest),
    /// From an operator.
    Admin(AdminCommand),
}

/// The leader's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// To a node.
    Renewed(RenewalResponse),
    /// To an operator: lines of text, or why the command was rejected.
    Admin(Result<String, String>),
}

impl RenewalRequest {
    /// Whether all numbers are in range. A peer's message may contain anything.
    pub fn is_valid(&self) -> bool {
        self.demands.iter().all(|demand| demand.units_per_s.is_finite() && demand.units_per_s >= 0.0)
    }
}
