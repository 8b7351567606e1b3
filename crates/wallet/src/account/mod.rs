//! The ledger's accounts and the effect of each entry on them. Applying entries is deterministic, so that all replicas agree.

pub(crate) mod allocator;
mod apply;
mod entry;
pub(crate) mod targets;
mod totals;

pub use entry::{AllotmentReport, Entry, KeyDebit, Report};
pub use targets::AccountTerms;

use birchswitch_mesh::ProcessId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use totals::Totals;

/// Most payment ids remembered per account.
pub(crate) const MAX_TOP_UP_IDS: usize = 100_000;
/// Most idempotency keys remembered per account.
pub(crate) const MAX_KEYS: usize = 1_000_000;

/// Units of an account that one process may spend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// The process.
    pub process: ProcessId,
    /// Units granted.
    pub units: u64,
    /// Units reported as debited.
    pub spent: u64,
    /// Units reported as returned.
    pub returned: u64,
    /// Sequence number of the renewal that it answered.
    pub sequence: u64,
    /// Its process ended or went silent without a final report.
    pub in_doubt: bool,
}

impl Allotment {
    /// Units neither spent nor returned.
    pub fn remaining(&self) -> u64 {
        self.units.saturating_sub(self.spent.saturating_add(self.returned))
    }
}

/// One tenant's account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Units ever paid in.
    pub topped_up: u64,
    /// Units debited, net of refunds.
    pub spent: u64,
    /// Units refunded because they were debited twice for one key.
    pub refunded: u64,
    /// Open allotments, by number.
    allotments: BTreeMap<u64, Allotment>,
    /// Ids of credited payments, the latest last.
    pub(crate) top_up_ids: VecDeque<String>,
    /// Hashes of debited keys, and the end of their windows in milliseconds of the ledger's time.
    pub(crate) keys: BTreeMap<u64, u64>,
    /// An operator has frozen the account.
    pub frozen: bool,
    /// The balance ran out and was not topped up enough since.
    pub paused: bool,
    /// Sums over the allotments. Not stored: [`LedgerState::from_snapshot`] computes them.
    #[serde(skip)]
    totals: Totals,
}

impl Account {
    /// Open allotments, by number.
    pub fn allotments(&self) -> &BTreeMap<u64, Allotment> {
        &self.allotments
    }

    /// Units that no allotment holds: topped up = balance + outstanding + spent + in doubt.
    pub fn balance(&self) -> i128 {
        i128::from(self.topped_up)
            - i128::from(self.spent)
            - i128::from(self.outstanding())
            - i128::from(self.in_doubt())
    }

    /// Units that processes may still spend.
    pub fn outstanding(&self) -> u64 {
        self.totals.outstanding()
    }

    /// Units of allotments in doubt, which may or may not have been spent.
    pub fn in_doubt(&self) -> u64 {
        self.totals.in_doubt()
    }
}

/// The state that results from the ledger's entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerState {
    /// Accounts by tenant.
    pub accounts: BTreeMap<String, Account>,
    /// Number of the next allotment.
    pub next_allotment: u64,
    /// Number of each process's latest report, and the ledger's time of it.
    pub(crate) reports: BTreeMap<ProcessId, (u64, u64)>,
    /// The ledger's time in milliseconds, which never goes back.
    pub time: u64,
    /// The accounts and numbers of each process's allotments. Not stored: [`LedgerState::from_snapshot`] computes it.
    #[serde(skip)]
    held_by: BTreeMap<ProcessId, BTreeSet<(String, u64)>>,
}

impl LedgerState {
    /// Decodes a snapshot: a state in postcard's encoding.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let mut state: LedgerState = postcard::from_bytes(bytes)?;
        for (name, account) in &mut state.accounts {
            for (number, allotment) in &account.allotments {
                account.totals.add(allotment);
                state.held_by.entry(allotment.process).or_default().insert((name.clone(), *number));
            }
        }
        Ok(state)
    }

    /// Processes that hold allotments, in doubt or not.
    pub(crate) fn holders(&self) -> impl Iterator<Item = &ProcessId> {
        self.held_by.keys()
    }

    /// The accounts, numbers and allotments that a process holds, in doubt or not.
    pub(crate) fn held_by(&self, process: &ProcessId) -> impl Iterator<Item = (&str, u64, &Allotment)> {
        self.held_by.get(process).into_iter().flatten().filter_map(|(name, number)| {
            let allotment = self.accounts.get(name)?.allotments.get(number)?;
            Some((name.as_str(), *number, allotment))
        })
    }
}
