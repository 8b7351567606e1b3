//! Applies entries to the state.

use super::{Account, Allotment, AllotmentReport, Entry, KeyDebit, LedgerState, Report};
use super::{MAX_KEYS, MAX_TOP_UP_IDS};
use birchswitch_mesh::ProcessId;

/// Expired keys are removed each time that their number reaches a multiple of this.
const PRUNE_KEYS_EVERY: usize = 4096;
/// With more processes than this, reports older than [`REPORT_RETENTION_MS`] are removed.
const MAX_REPORTS: usize = 4096;
/// How long reports are kept, in milliseconds of the ledger's time.
const REPORT_RETENTION_MS: u64 = 24 * 3600 * 1000;

impl LedgerState {
    /// Applies an entry.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::TermBegan => {}
            Entry::TopUp { account, id, units } => self.account(account).top_up(id, *units),
            Entry::Freeze { account, frozen } => self.account(account).frozen = *frozen,
            Entry::Pause { account, paused } => self.account(account).paused = *paused,
            Entry::Allot { account, number, process, units, sequence } => {
                self.next_allotment = self.next_allotment.max(number + 1);
                let (process, units, sequence) = (*process, *units, *sequence);
                let allotment =
                    Allotment { process, units, spent: 0, returned: 0, sequence, in_doubt: false };
                self.remove(account, *number);
                self.account(account).insert(*number, allotment);
                self.held_by.entry(process).or_default().insert((account.clone(), *number));
            }
            Entry::Report { process, report, time } => self.report(*process, report, *time),
            Entry::Reclaim { account, number } => {
                self.remove(account, *number);
            }
            Entry::MarkInDoubt { account, number } => {
                self.account(account).change(*number, |allotment| allotment.in_doubt = true);
            }
            Entry::Settle { account, number, spent } => {
                if let Some(allotment) = self.remove(account, *number) {
                    let spent = (*spent).clamp(allotment.spent, allotment.units);
                    self.account(account).spent += spent - allotment.spent;
                }
            }
        }
    }

    /// Removes an allotment and returns it.
    fn remove(&mut self, account: &str, number: u64) -> Option<Allotment> {
        let allotment = self.account(account).remove(number)?;
        if let Some(held) = self.held_by.get_mut(&allotment.process) {
            held.remove(&(account.to_owned(), number));
            if held.is_empty() {
                self.held_by.remove(&allotment.process);
            }
        }
        Some(allotment)
    }

    fn account(&mut self, name: &str) -> &mut Account {
        self.accounts.entry(name.to_owned()).or_default()
    }

    fn report(&mut self, process: ProcessId, report: &Report, time: u64) {
        self.time = self.time.max(time);
        let now = self.time;
        for allotment in &report.allotments {
            let closed = self.account(&allotment.account).report(process, allotment);
            if closed {
                self.remove(&allotment.account, allotment.number);
            }
        }
        let latest = self.reports.entry(process).or_default();
        if report.number > latest.0 {
            *latest = (report.number, now);
            for key in &report.keys {
                self.account(&key.account).debit_key(key, now);
            }
        }
        if self.reports.len() > MAX_REPORTS {
            self.reports.retain(|_, (_, at)| now < *at + REPORT_RETENTION_MS);
        }
    }
}

impl Account {
    fn top_up(&mut self, id: &str, units: u64) {
        if self.has_top_up(id) {
            return;
        }
        self.topped_up = self.topped_up.saturating_add(units);
        self.top_up_ids.push_back(id.to_owned());
        if self.top_up_ids.len() > MAX_TOP_UP_IDS {
            self.top_up_ids.pop_front();
        }
    }

    /// Whether a payment with this id was credited.
    pub fn has_top_up(&self, id: &str) -> bool {
        self.top_up_ids.iter().any(|known| known == id)
    }

    fn insert(&mut self, number: u64, allotment: Allotment) {
        self.totals.add(&allotment);
        self.allotments.insert(number, allotment);
    }

    fn remove(&mut self, number: u64) -> Option<Allotment> {
        let allotment = self.allotments.remove(&number)?;
        self.totals.remove(&allotment);
        Some(allotment)
    }

    fn change(&mut self, number: u64, change: impl FnOnce(&mut Allotment)) {
        if let Some(allotment) = self.allotments.get_mut(&number) {
            self.totals.remove(allotment);
            change(allotment);
            self.totals.add(allotment);
        }
    }

    /// Applies a process's report of its own allotment and returns whether it is closed. The figures never decrease, nor exceed the
    /// allotment.
    fn report(&mut self, process: ProcessId, report: &AllotmentReport) -> bool {
        let Some(allotment) = self.allotments.get(&report.number) else { return false };
        if allotment.process != process {
            return false;
        }
        let spent = report.spent.clamp(allotment.spent, allotment.units - allotment.returned);
        let returned = report.returned.clamp(allotment.returned, allotment.units - spent);
        self.spent += spent - allotment.spent;
        self.change(report.number, |allotment| (allotment.spent, allotment.returned) = (spent, returned));
        report.closed
    }

    /// Refunds the debit if its key was debited before within its window.
    fn debit_key(&mut self, key: &KeyDebit, now: u64) {
        let debited_before = self.keys.get(&key.hash).is_some_and(|until| now < *until);
        if debited_before {
            let refund = key.units.min(self.spent);
            self.spent -= refund;
            self.refunded += refund;
            return;
        }
        if self.keys.len() % PRUNE_KEYS_EVERY == PRUNE_KEYS_EVERY - 1 || self.keys.len() >= MAX_KEYS {
            self.keys.retain(|_, until| now < *until);
        }
        if self.keys.len() < MAX_KEYS {
            self.keys.insert(key.hash, now + key.window);
        }
    }
}

#[cfg(test)]
mod tests;
