//! The leader's decisions on a node's renewal: which entries to append to the ledger, and what to respond once they are committed.
//!
//! A renewal costs what its process holds and asks for, whatever other accounts and processes there are.

mod demand;

use super::targets::{units_to_keep, AccountTerms, NodeDemand};
use super::{Account, Entry, LedgerState};
use crate::message::{AccountGrant, Demand, RenewalRequest};
use birchswitch_mesh::{ProcessId, Time};
use demand::{AccountDemand, Share};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a leader knows of the processes that renew, beside the accounts.
#[derive(Debug)]
pub struct Allocator {
    sessions: BTreeMap<ProcessId, Session>,
    /// What processes need of each account that any of them needs.
    demands: BTreeMap<String, AccountDemand>,
    /// By account.
    terms: BTreeMap<String, AccountTerms>,
    rules: AllocatorSettings,
    /// When its term began. A process that has not been heard since counts as heard then.
    began: Time,
}

/// One process that renews.
#[derive(Debug, Default)]
struct Session {
    last_heard: Time,
    /// Accounts of its latest renewal's demands.
    accounts: Vec<String>,
}

/// Times, and safeguards that tests switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocatorSettings {
    /// For how long allotments may be spent from, by their nodes' clocks, from before the renewal was sent.
    pub ttl: Duration,
    /// A process that was silent for so long spends nothing more, by the leader's clock.
    pub expiry: Duration,
    /// An allotment of a process that ended stays in doubt until it is settled. Otherwise it is reclaimed.
    pub keep_in_doubt: bool,
    /// A payment is credited once by its id.
    pub unique_top_ups: bool,
}

impl Allocator {
    /// That of a leader whose term begins now.
    pub fn new(now: Time, terms: &[AccountTerms], rules: AllocatorSettings) -> Self {
        Allocator {
            sessions: BTreeMap::new(),
            demands: BTreeMap::new(),
            terms: terms.iter().map(|terms| (terms.account.clone(), terms.clone())).collect(),
            rules,
            began: now,
        }
    }

    /// Forgets processes that have been silent for too long, and marks what they hold as in doubt. The entries are applied already.
    pub fn expire(&mut self, state: &mut LedgerState, now: Time) -> Vec<Entry> {
        let expired = |who: &ProcessId| {
            let last_heard = self.sessions.get(who).map_or(self.began, |session| session.last_heard);
            now >= last_heard + self.rules.expiry
        };
        let mut entries = Vec::new();
        for who in state.holders().filter(|who| expired(who)) {
            for (name, number, _) in state.held_by(who).filter(|(_, _, allotment)| !allotment.in_doubt) {
                let account = name.to_owned();
                entries.push(match self.rules.keep_in_doubt {
                    true => Entry::MarkInDoubt { account, number },
                    false => Entry::Reclaim { account, number },
                });
            }
        }
        entries.iter().for_each(|entry| state.apply(entry));
        let silent: Vec<ProcessId> = self.sessions.keys().filter(|who| expired(who)).copied().collect();
        silent.iter().for_each(|who| self.forget(who));
        entries
    }

    fn forget(&mut self, who: &ProcessId) {
        let accounts = self.sessions.remove(who).unwrap_or_default().accounts;
        accounts.iter().for_each(|account| self.withdraw(account, who));
    }

    /// Decides on a renewal that came at `now` by the leader's clock and `time` by the ledger's. The entries are applied already.
    pub fn renew(
        &mut self,
        state: &mut LedgerState,
        (now, time): (Time, u64),
        who: ProcessId,
        renewal: &RenewalRequest,
    ) -> (Vec<Entry>, Vec<AccountGrant>) {
        self.note(now, who, renewal);
        let mut entries = Vec::new();
        let mut append = |state: &mut LedgerState, entry: Entry| {
            state.apply(&entry);
            entries.push(entry);
        };
        if has_news(state, who, renewal) {
            let (report, time) = (renewal.report.clone(), time.max(state.time));
            append(state, Entry::Report { who, report, time });
        }
        for (account, number) in never_received(state, who, renewal) {
            append(state, Entry::Reclaim { account, number });
        }
        let mut grants = Vec::new();
        for demand in &renewal.demands {
            let Some(terms) = self.terms.get(&demand.account) else { continue };
            pause_or_resume(state, terms, &mut append);
            let Some(demands) = self.demands.get_mut(&demand.account) else { continue };
            let grant = grant(state, (terms, &self.rules), demands, now, who);
            if let Some((number, units)) = grant.allotment {
                let (account, sequence) = (terms.account.clone(), renewal.sequence);
                append(state, Entry::Allot { account, number, who, units, sequence });
            }
            grants.push(grant);
        }
        (entries, grants)
    }

    /// Takes a renewal's demands in the place of its process's earlier ones. Accounts without terms count for nothing.
    fn note(&mut self, now: Time, who: ProcessId, renewal: &RenewalRequest) {
        let known: Vec<&Demand> =
            renewal.demands.iter().filter(|demand| self.terms.contains_key(&demand.account)).collect();
        let asked: BTreeSet<&str> = known.iter().map(|demand| demand.account.as_str()).collect();
        let before = self.sessions.remove(&who).unwrap_or_default().accounts;
        let dropped = before.iter().filter(|account| !asked.contains(account.as_str()));
        dropped.for_each(|account| self.withdraw(account, &who));
        for demand in &known {
            let all = self.demands.entry(demand.account.clone()).or_default();
            all.note(who, now, node_demand(demand));
        }
        let accounts = known.iter().map(|demand| demand.account.clone()).collect();
        self.sessions.insert(who, Session { last_heard: now, accounts });
    }

    /// A process needs nothing of an account any more.
    fn withdraw(&mut self, account: &str, who: &ProcessId) {
        if let Some(demand) = self.demands.get_mut(account) {
            demand.forget(who);
            if demand.is_empty() {
                self.demands.remove(account);
            }
        }
    }
}

/// What a process may hold of an account, beside all others that renew.
fn grant(
    state: &LedgerState,
    (terms, rules): (&AccountTerms, &AllocatorSettings),
    demands: &mut AccountDemand,
    now: Time,
    who: ProcessId,
) -> AccountGrant {
    let account = terms.account.clone();
    let free = free_units(state, terms);
    let Share { target, demand, lacking } = demands.share(terms, free, (now, rules.ttl), &who);
    let (paused, frozen) = state.accounts.get(&account).map_or((false, false), |a| (a.paused, a.frozen));
    let keep = if frozen { 0 } else { units_to_keep(target, &demand, lacking > free) };
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

/// Pauses an account of which nothing is left anywhere, and resumes one that was topped up enough.
fn pause_or_resume(
    state: &mut LedgerState,
    terms: &AccountTerms,
    append: &mut impl FnMut(&mut LedgerState, Entry),
) {
    let cheapest = terms.prices.least();
    let free = free_units(state, terms);
    // What nodes last told of their holdings leaves out allotments whose responses are on their way, and requests in hand, which
    // may be refunded.
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

/// Whether a report says something that is not in the ledger.
fn has_news(state: &LedgerState, who: ProcessId, renewal: &RenewalRequest) -> bool {
    let latest = state.reports.get(&who).map_or(0, |(number, _)| *number);
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

/// Allotments that a process never received: it renewed again after their response was sent, without them.
fn never_received(state: &LedgerState, who: ProcessId, renewal: &RenewalRequest) -> Vec<(String, u64)> {
    let reported: BTreeSet<u64> = renewal.report.allotments.iter().map(|reported| reported.number).collect();
    let sent_before = state.held_by(&who).filter(|(_, _, allotment)| allotment.sequence < renewal.sequence);
    let lost = sent_before.filter(|(_, number, _)| !reported.contains(number));
    lost.map(|(account, number, _)| (account.to_owned(), number)).collect()
}

#[cfg(test)]
mod tests;
