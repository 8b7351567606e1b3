//! The leader's decisions on a node's renewal: which entries to append to the ledger, and what to respond once they are committed.

use super::targets::{targets, units_to_keep, AccountTerms, NodeDemand};
use super::{Account, Entry, LedgerState};
use crate::message::{AccountGrant, Demand, RenewalRequest};
use birchswitch_mesh::{Time, Who};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a leader knows of the processes that renew, beside the accounts.
#[derive(Debug, Default)]
pub struct Allocator {
    sessions: BTreeMap<Who, Session>,
    /// When its term began. A process that has not been heard since counts as heard then.
    began: Time,
}

/// One process that renews.
#[derive(Debug, Default)]
struct Session {
    last_heard: Time,
    demands: BTreeMap<String, NodeDemand>,
}

/// Times, and safeguards that tests switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
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
    pub fn new(now: Time) -> Self {
        Allocator { sessions: BTreeMap::new(), began: now }
    }

    /// Forgets processes that have been silent for too long, and marks what they held as in doubt. The entries are applied already.
    pub fn expire(&mut self, state: &mut LedgerState, rules: &Rules, now: Time) -> Vec<Entry> {
        let expired = |who: &Who| {
            let last_heard = self.sessions.get(who).map_or(self.began, |session| session.last_heard);
            now >= last_heard + rules.expiry
        };
        let mut entries = Vec::new();
        for (name, account) in &state.accounts {
            let lost = account.allotments.iter().filter(|(_, a)| !a.in_doubt && expired(&a.who));
            for (number, _) in lost {
                let (account, number) = (name.clone(), *number);
                entries.push(match rules.keep_in_doubt {
                    true => Entry::MarkInDoubt { account, number },
                    false => Entry::Reclaim { account, number },
                });
            }
        }
        entries.iter().for_each(|entry| state.apply(entry));
        self.sessions.retain(|_, session| now < session.last_heard + rules.expiry);
        entries
    }

    /// Decides on a renewal that came at `now` by the leader's clock and `time` by the ledger's. The entries are applied already.
    pub fn renew(
        &mut self,
        state: &mut LedgerState,
        (terms, rules): (&[AccountTerms], &Rules),
        (now, time): (Time, u64),
        who: Who,
        renewal: &RenewalRequest,
    ) -> (Vec<Entry>, Vec<AccountGrant>) {
        self.sessions.insert(who, Session { last_heard: now, demands: demands(renewal) });
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
            let Some(terms) = terms.iter().find(|terms| terms.account == demand.account) else { continue };
            pause_or_resume(state, terms, &mut append);
            let grant = self.grant(state, (terms, rules), now, who);
            if let Some((number, units)) = grant.allotment {
                let (account, sequence) = (terms.account.clone(), renewal.sequence);
                append(state, Entry::Allot { account, number, who, units, sequence });
            }
            grants.push(grant);
        }
        (entries, grants)
    }

    /// What a process may hold of an account, beside all others that renew.
    fn grant(
        &self,
        state: &LedgerState,
        (terms, rules): (&AccountTerms, &Rules),
        now: Time,
        who: Who,
    ) -> AccountGrant {
        let name = &terms.account;
        let alive = self.sessions.iter().filter(|(_, session)| now < session.last_heard + rules.ttl);
        let asking: Vec<(&Who, NodeDemand)> =
            alive.filter_map(|(who, session)| Some((who, *session.demands.get(name)?))).collect();
        let demands: Vec<NodeDemand> = asking.iter().map(|(_, demand)| *demand).collect();
        let free = free_units(state, terms);
        let targets = targets(terms, free, &demands);
        let own = asking.iter().position(|(asker, _)| **asker == who);
        let (target, demand) = own.map_or((0, NodeDemand::default()), |n| (targets[n], demands[n]));
        let lacking: u64 =
            demands.iter().zip(&targets).map(|(d, target)| target.saturating_sub(d.holds)).sum();
        let (paused, frozen) = state.accounts.get(name).map_or((false, false), |a| (a.paused, a.frozen));
        let keep = if frozen { 0 } else { units_to_keep(target, &demand, lacking > free) };
        let units = target.saturating_sub(demand.holds).min(free);
        if units == 0 || paused || frozen {
            return AccountGrant { account: name.clone(), allotment: None, keep, paused, frozen };
        }
        AccountGrant {
            account: name.clone(),
            allotment: Some((state.next_allotment, units)),
            keep: keep.max(demand.holds) + units,
            paused,
            frozen,
        }
    }
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

fn demands(renewal: &RenewalRequest) -> BTreeMap<String, NodeDemand> {
    let node_demand = |demand: &Demand| NodeDemand {
        units_per_s: f64::from(demand.units_per_s),
        largest_rejected: demand.largest_rejected,
        holds: demand.holds.iter().map(|(_, units)| units).sum(),
    };
    renewal.demands.iter().map(|demand| (demand.account.clone(), node_demand(demand))).collect()
}

/// Whether a report says something that is not in the ledger.
fn has_news(state: &LedgerState, who: Who, renewal: &RenewalRequest) -> bool {
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
fn never_received(state: &LedgerState, who: Who, renewal: &RenewalRequest) -> Vec<(String, u64)> {
    let reported = |number: &u64| renewal.report.allotments.iter().any(|a| a.number == *number);
    let mut lost = Vec::new();
    for (name, account) in &state.accounts {
        let own = account.allotments.iter().filter(|(_, a)| a.who == who && a.sequence < renewal.sequence);
        lost.extend(own.filter(|(number, _)| !reported(number)).map(|(number, _)| (name.clone(), *number)));
    }
    lost
}

#[cfg(test)]
mod tests;
