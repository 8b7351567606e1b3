//! The ledger's entries. Replaying them in order gives the same state everywhere.

use birchswitch_mesh::ProcessId;
use serde::{Deserialize, Serialize};

/// The use of an allotment so far. The figures are cumulative, so applying a report twice has no further effect.
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
    /// Nothing more will be spent from it: the rest is returned.
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

/// A process's report on its allotments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Counts up within a process; the same number is the same report.
    pub number: u64,
    /// Its allotments.
    pub allotments: Vec<AllotmentReport>,
    /// Debits for keys since the previous report.
    pub keys: Vec<KeyDebit>,
}

/// One entry. The order of the variants and fields is part of the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A leader's first entry of its term.
    TermBegan,
    /// A payment.
    TopUp {
        /// The account.
        account: String,
        /// The payment's id. Further entries with the same id are ignored.
        id: String,
        /// Units credited.
        units: u64,
    },
    /// An operator froze an account or released it.
    Freeze {
        /// The account.
        account: String,
        /// Whether it is frozen.
        frozen: bool,
    },
    /// The account was paused because its balance ran out, or resumed.
    Pause {
        /// The account.
        account: String,
        /// Whether it is paused.
        paused: bool,
    },
    /// A process is granted an allotment.
    Allot {
        /// The account.
        account: String,
        /// The allotment's number.
        number: u64,
        /// The process.
        process: ProcessId,
        /// Its units.
        units: u64,
        /// Sequence number of the renewal that it answers.
        sequence: u64,
    },
    /// A process's report.
    Report {
        /// The process.
        process: ProcessId,
        /// The report.
        report: Report,
        /// The ledger's time in milliseconds.
        time: u64,
    },
    /// An allotment is taken back because the response with it was lost: its process renewed without it.
    Reclaim {
        /// The account.
        account: String,
        /// The allotment.
        number: u64,
    },
    /// An allotment's process ended or was silent for too long without a final report.
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
        /// All units spent of it.
        spent: u64,
    },
}
