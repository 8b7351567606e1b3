//! The ledger's entries. Replaying them in order gives the same state everywhere.

use birchswitch_mesh::ProcessId;
use serde::{Deserialize, Serialize};

/// What became of an allotment so far. The figures are totals, so that applying a report twice changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllotmentReport {
    /// The account.
    pub account: String,
    /// The allotment's number.
    pub number: u64,
    /// Units debited so far.
    pub spent: u64,
    /// Units returned so far.
    pub returned: u64,
    /// Nothing more is spent from it: the rest is returned.
    pub closed: bool,
}

/// A debit for a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyDebit {
    /// The account.
    pub account: String,
    /// Hash of the key, its class and its tenant.
    pub hash: u64,
    /// Units debited.
    pub units: u64,
    /// For how long the same key means the same request, in milliseconds.
    pub window: u64,
}

/// What a process reports of its allotments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Counts up within a process; the same number is the same report.
    pub number: u64,
    /// Its allotments.
    pub allotments: Vec<AllotmentReport>,
    /// Debits for keys since the report before.
    pub keys: Vec<KeyDebit>,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A leader's first entry of its term.
    TermBegan,
    /// A payment.
    TopUp {
        /// The account.
        account: String,
        /// The payment's id: a second entry with it is ignored.
        id: String,
        /// Units credited.
        units: u64,
    },
    /// An operator stopped an account, or let it go on.
    Freeze {
        /// The account.
        account: String,
        /// Whether it is stopped.
        frozen: bool,
    },
    /// The balance ran out, or was topped up enough.
    Pause {
        /// The account.
        account: String,
        /// Whether it ran out.
        paused: bool,
    },
    /// A process gets an allotment.
    Allot {
        /// The account.
        account: String,
        /// The allotment's number.
        number: u64,
        /// The process.
        who: ProcessId,
        /// Its units.
        units: u64,
        /// Sequence number of the renewal that it answers.
        sequence: u64,
    },
    /// A process's report.
    Report {
        /// The process.
        who: ProcessId,
        /// The report.
        report: Report,
        /// The ledger's time in milliseconds.
        time: u64,
    },
    /// An allotment whose response was lost: its process renewed without it.
    Reclaim {
        /// The account.
        account: String,
        /// The allotment.
        number: u64,
    },
    /// An allotment whose process ended, or was silent for too long, without a last report.
    MarkInDoubt {
        /// The account.
        account: String,
        /// The allotment.
        number: u64,
    },
    /// An operator settled an allotment in doubt.
    Settle {
        /// The account.
        account: String,
        /// The allotment.
        number: u64,
        /// Units spent of it, in all.
        spent: u64,
    },
}
