//! The leader's decisions on a node's renewal: which entries to append to the ledger, and what to respond once they are committed.
//!
//! The cost of a renewal depends on what its process holds and demands, not on the number of other accounts and processes.

mod demand;

use super::targets::{units_to_keep, AccountTerms, NodeDemand};
use super::{Account, Entry, LedgerState};
use crate::message::{AccountGrant, Demand, RenewalRequest};
use birchswitch_mesh::{ProcessId, Time};
use demand::{AccountDemand, Share};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a leader knows of the processes that renew, besides the ledger's state.
#[derive(Debug)]
pub struct Allocator {
    sessions: BTreeMap<ProcessId, Session>,
    /// The processes' demand, for each account with any.
    demands: BTreeMap<String, AccountDemand>,
    /// By account.
    terms: BTreeMap<String, AccountTerms>,
    settings: AllocatorSettings,
    /// When the term began. A process without a renewal in this term counts as last heard then.
    term_start: Time,
}

/// One process that renews.
#[derive(Debug, Default)]
struct Session {
    last_heard: Time,
    /// The accounts in the demands of its latest renewal.
    accounts: Vec<String>,
}

/// Timeouts, and safeguards that drills switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocatorSettings {
    /// For how long allotments may be spent from, by their node's clock, counted from before the renewal was sent.
    pub ttl: Duration,
    /// A process that was silent for so long, by the leader's clock, can no longer spend.
    pub expiry: Duration,
    /// Keeps allotments of processes that ended in doubt until an operator settles them. Otherwise they are reclaimed.
    pub keep_in_doubt: bool,
    /// Credits each payment id only once.
    pub unique_top_ups: bool,
}

impl Allocator {
    /// Creates the allocator of a leader whose term begins now.
    pub fn new(now: Time, terms: &[AccountTerms], settings: AllocatorSettings) -> Self {
        Allocator {
            sessions: BTreeMap::new(),
            demands: BTreeMap::new(),
            terms: terms.iter().map(|terms| (terms.account.clone(), terms.clone())).collect(),
            settings,
            term_start: now,
        }
    }

    /// Forgets processes that have been silent for too long, and marks their allotments as in doubt. The returned entries are applied
    /// already.
    pub fn expire(&mut self, state: &mut LedgerState, now: Time) -> Vec<Entry> {
        let expired = |process: &ProcessId| {
            let last_heard = self.sessions.get(process).map_or(self.term_start, |session| session.last_heard);
            now >= last_heard + self.settings.expiry
        };
        let mut entries = Vec::new();
        for process in state.holders().filter(|process| expired(process)) {
            for (name, number, _) in state.held_by(process).filter(|(_, _, allotment)| !allotment.in_doubt) {
                let account = name.to_owned();
                entries.push(match self.settings.keep_in_doubt {
                    true => Entry::MarkInDoubt { account, number },
                    false => Entry::Reclaim { account, number },
                });
            }
        }
        entries.iter().for_each(|entry| state.apply(entry));
        let silent: Vec<ProcessId> =
            self.sessions.keys().filter(|process| expired(process)).copied().collect();
        silent.iter().for_each(|process| self.forget(process));
        entries
    }

    fn forget(&mut self, process: &ProcessId) {
        let accounts = self.sessions.remove(process).unwrap_or_default().accounts;
        accounts.iter().for_each(|account| self.withdraw_demand(account, process));
    }

    /// Decides on a renewal that arrived at `now` by the leader's clock and `time` by the ledger's. The returned entries are applied
    /// already.
    pub fn renew(
        &mut self,
        state: &mut LedgerState,
        (now, time): (Time, u64),
        process: ProcessId,
        renewal: &RenewalRequest,
    ) -> (Vec<Entry>, Vec<AccountGrant>) {
        self.record_demands(now, process, renewal);
        let mut entries = Vec::new();
        let mut append = |state: &mut LedgerState, entry: Entry| {
            state.apply(&entry);
            entries.push(entry);
        };
        if has_news(state, process, renewal) {
            let (report, time) = (renewal.report.clone(), time.max(state.time));
            append(state, Entry::Report { process, report, time });
        }
        for (account, number) in never_received(state, process, renewal) {
            append(state, Entry::Reclaim { account, number });
        }
        let mut grants = Vec::new();
        for demand in &renewal.demands {
            let Some(terms) = self.terms.get(&demand.account) else { continue };
            pause_or_resume(state, terms, &mut append);
            let Some(demands) = self.demands.get_mut(&demand.account) else { continue };
            let grant = grant(state, (terms, &self.settings), demands, now, process);
            if let Some((number, units)) = grant.allotment {
                let (account, sequence) = (terms.account.clone(), renewal.sequence);
                append(state, Entry::Allot { account, number, process, units, sequence });
            }
            grants.push(grant);
        }
        (entries, grants)
    }

    /// Replaces a process's demands by those of its renewal. Accounts without terms are ignored.
    fn record_demands(&mut self, now: Time, process: ProcessId, renewal: &RenewalRequest) {
        let known: Vec<&Demand> =
            renewal.demands.iter().filter(|demand| self.terms.contains_key(&demand.account)).collect();
        let asked: BTreeSet<&str> = known.iter().map(|demand| demand.account.as_str()).collect();
        let before = self.sessions.remove(&process).unwrap_or_default().accounts;
        let dropped = before.iter().filter(|account| !asked.contains(account.as_str()));
        dropped.for_each(|account| self.withdraw_demand(account, &process));
        for demand in &known {
            let all = self.demands.entry(demand.account.clone()).or_default();
            all.update(process, now, node_demand(demand));
        }
        let accounts = known.iter().map(|demand| demand.account.clone()).collect();
        self.sessions.insert(process, Session { last_heard: now, accounts });
    }

    /// Removes a process's demand for an account.
    fn withdraw_demand(&mut self, account: &str, process: &ProcessId) {
        if let Some(demand) = self.demands.get_mut(account) {
            demand.forget(process);
            if demand.is_empty() {
                self.demands.remove(account);
            }
        }
    }
}

/// Decides how much of an account a process may hold, given the demand of all others.
fn grant(
    state: &LedgerState,
    (terms, settings): (&AccountTerms, &AllocatorSettings),
    demands: &mut AccountDemand,
    now: Time,
    process: ProcessId,
) -> AccountGrant {
    let account = terms.account.clone();
    let free = free_units(state, terms);
    let Share { target, demand, shortfall } = demands.share(terms, free, (now, settings.ttl), &process);
    let (paused, frozen) = state.accounts.get(&account).map_or((false, false), |a| (a.paused, a.frozen));
    let keep = if frozen { 0 } else { units_to_keep(target, &demand, shortfall > free) };
    let units = target.saturating_sub(demand.holds).min(free);
    if units == 0 || paused || frozen {
        return AccountGrant { account, allotment: None, keep, paused, frozen };
    }
    let allotment = Some((state.next_allotment, units));
    let keep = keep.max(demand.holds).saturating_add(units);
    AccountGrant { account, allotment, keep, paused, frozen }
}

/// Units that no allotment holds, overdraft included.
fn free_units(state: &LedgerState, terms: &AccountTerms) -> u64 {
    let balance = state.accounts.get(&terms.account).map_or(0, Account::balance);
    u64::try_from((balance + i128::from(terms.overdraft)).max(0)).unwrap_or(u64::MAX)
}

/// Pauses an account of which no units are left on any node, and resumes one that was topped up enough.
fn pause_or_resume(
    state: &mut LedgerState,
    terms: &AccountTerms,
    append: &mut impl FnMut(&mut LedgerState, Entry),
) {
    let cheapest = terms.prices.min_price();
    let free = free_units(state, terms);
    // The holdings that nodes last reported are not enough: they leave out allotments whose responses are in flight, and reservations
    // of running requests, which may be released.
    let (paused, outstanding) =
        state.accounts.get(&terms.account).map_or((false, 0), |a| (a.paused, a.outstanding()));
    let account = || terms.account.clone();
    if paused && free >= terms.resume.max(cheapest) {
        append(state, Entry::Pause { account: account(), paused: false });
    } else if !paused && free < cheapest && outstanding < cheapest {
        append(state, Entry::Pause { account: account(), paused: true });
    }
}

fn node_demand(demand: &Demand) -> NodeDemand {
    let holds = demand.holds.iter().map(|(_, units)| *units).fold(0, u64::saturating_add);
    let (units_per_s, largest_rejected) = (f64::from(demand.units_per_s), demand.largest_rejected);
    NodeDemand { units_per_s, largest_rejected, holds }
}

/// Whether a report contains anything that is not in the ledger.
fn has_news(state: &LedgerState, process: ProcessId, renewal: &RenewalRequest) -> bool {
    let latest = state.reports.get(&process).map_or(0, |(number, _)| *number);
    let keys = !renewal.report.keys.is_empty() && renewal.report.number > latest;
    let allotments = renewal.report.allotments.iter().any(|reported| {
        let account = state.accounts.get(&reported.account);
        account.and_then(|account| account.allotments.get(&reported.number)).is_some_and(|known| {
            reported.closed
                || reported.spent > known.spent
                || reported.returned > known.returned
                || known.in_doubt
        })
    });
    keys || allotments
}

/// Allotments that a process never received: it sent a later renewal that does not report them.
fn never_received(state: &LedgerState, process: ProcessId, renewal: &RenewalRequest) -> Vec<(String, u64)> {
    let reported: BTreeSet<u64> = renewal.report.allotments.iter().map(|reported| reported.number).collect();
    let sent_before =
        state.held_by(&process).filter(|(_, _, allotment)| allotment.sequence < renewal.sequence);
    let lost = sent_before.filter(|(_, number, _)| !reported.contains(number));
    lost.map(|(account, number, _)| (account.to_owned(), number)).collect()
}

#[cfg(test)]
mod tests;
