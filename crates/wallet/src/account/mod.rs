//! Accounts as the ledger has them, and what each entry does to them: plain functions, deterministic wherever entries are replayed.

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

/// Payment ids that are remembered for each account.
pub(crate) const MAX_TOP_UP_IDS: usize = 100_000;
/// Idempotency keys that are remembered for each account.
pub(crate) const MAX_KEYS: usize = 1_000_000;

/// Units of an account that one process may spend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// The process.
    pub who: ProcessId,
    /// Its units at first.
    pub units: u64,
    /// Units debited, as far as reported.
    pub spent: u64,
    /// Units returned, as far as reported.
    pub returned: u64,
    /// Sequence number of the renewal that it answered.
    pub sequence: u64,
    /// Its process ended, or was silent for too long, without a last report.
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
    /// Units debited, less what was refunded.
    pub spent: u64,
    /// Units that were debited a second time for a key, and refunded.
    pub refunded: u64,
    /// Allotments that are out, by number.
    allotments: BTreeMap<u64, Allotment>,
    /// Ids of payments, the latest last.
    pub(crate) top_up_ids: VecDeque<String>,
    /// Hashes of keys that were debited, and until when they count, in milliseconds of the ledger's time.
    pub(crate) keys: BTreeMap<u64, u64>,
    /// An operator stopped it.
    pub frozen: bool,
    /// It ran out, and was not topped up enough since.
    pub paused: bool,
    /// Sums over its allotments. Not stored: [`LedgerState::from_snapshot`] works them out.
    #[serde(skip)]
    totals: Totals,
}

impl Account {
    /// Allotments that are out, by number.
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

    /// Units that processes may have spent which did not report.
    pub fn in_doubt(&self) -> u64 {
        self.totals.in_doubt()
    }
}

/// The state that the ledger's entries add up to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerState {
    /// Accounts by tenant.
    pub accounts: BTreeMap<String, Account>,
    /// Number of the next allotment.
    pub next_allotment: u64,
    /// Number of each process's latest report, and the ledger's time of it.
    pub(crate) reports: BTreeMap<ProcessId, (u64, u64)>,
    /// The ledger's time: milliseconds that never go back.
    pub time: u64,
    /// The accounts and numbers of each process's allotments. Not stored: [`LedgerState::from_snapshot`] works it out.
    #[serde(skip)]
    held_by: BTreeMap<ProcessId, BTreeSet<(String, u64)>>,
}

impl LedgerState {
    /// Decodes a snapshot: the bytes that postcard makes of a state.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let mut state: LedgerState = postcard::from_bytes(bytes)?;
        for (name, account) in &mut state.accounts {
            for (number, allotment) in &account.allotments {
                account.totals.add(allotment);
                state.held_by.entry(allotment.who).or_default().insert((name.clone(), *number));
            }
        }
        Ok(state)
    }

    /// Processes that hold allotments, in doubt or not.
    pub(crate) fn holders(&self) -> impl Iterator<Item = &ProcessId> {
        self.held_by.keys()
    }

    /// The accounts, numbers and allotments that a process holds, in doubt or not.
    pub(crate) fn held_by(&self, who: &ProcessId) -> impl Iterator<Item = (&str, u64, &Allotment)> {
        self.held_by.get(who).into_iter().flatten().filter_map(|(name, number)| {
            let allotment = self.accounts.get(name)?.allotments.get(number)?;
            Some((name.as_str(), *number, allotment))
        })
    }
}
