//! The allotments that a node holds of each account, and the debits of its requests. Used only by the node's own thread.

use crate::account::targets::AccountTerms;
use crate::account::{AllotmentReport, KeyDebit, Report};
use crate::message::{AccountGrant, Demand, RenewalRequest, RenewalResponse};
use birchswitch_mesh::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of debits for keys that wait to be reported. Beyond it, requests with keys are rejected.
const MAX_UNREPORTED_KEYS: usize = 50_000;
/// Maximum number of debits for keys in one report.
const MAX_REPORTED_KEYS: usize = 4_000;
/// Time constant in seconds over which the demand rate is smoothed.
const SMOOTHING_S: f64 = 1.0;
/// A demand rate below this counts as zero, in units a second.
const MIN_RATE: f64 = 0.01;
/// The time that the first renewal's demand is assumed to cover, in seconds.
const FIRST_INTERVAL_S: f64 = 0.25;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The balance has run out.
    Paused,
    /// An operator has frozen the account.
    Frozen,
    /// This node holds too few units at present, or the request has a key and `MAX_UNREPORTED_KEYS` debits for keys
    /// wait to be reported.
    NoAllotment,
}

/// Units reserved for a request, to be settled when it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    account: usize,
    /// Numbers of allotments, and units of each.
    units: Vec<(u64, u64)>,
    key: Option<KeyDebit>,
}

/// An allotment that this node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HeldAllotment {
    number: u64,
    units: u64,
    spent: u64,
    returned: u64,
    reserved: u64,
    until: Time,
    /// Whether requests may reserve from it.
    open: bool,
}

impl HeldAllotment {
    fn available(&self) -> u64 {
        self.units - self.spent - self.returned - self.reserved
    }

    fn is_spent(&self) -> bool {
        self.units == self.spent + self.returned
    }
}

/// This node's side of one account.
#[derive(Clone, Debug)]
struct LocalAccount {
    terms: AccountTerms,
    /// The window of each class's idempotency keys, in milliseconds.
    windows: Vec<u64>,
    allotments: Vec<HeldAllotment>,
    /// Units that requests demanded since the last renewal.
    demanded: u64,
    /// Smoothed demand in units a second.
    units_per_s: f64,
    largest_rejected: u64,
    paused: bool,
    frozen: bool,
    spent: u64,
    rejected: u64,
}

/// This node's allotments of all accounts.
#[derive(Debug)]
pub struct LocalAllotments {
    ttl: Duration,
    accounts: Vec<LocalAccount>,
    /// Each tenant's account.
    accounts_by_tenant: Vec<Option<usize>>,
    sequence: u64,
    highest_token: u64,
    prepared_at: Option<Time>,
    /// Number and debits of the latest key report. The debits are kept until the ledger has the report; new ones wait in
    /// `unreported_keys`.
    reporting: (u64, Vec<KeyDebit>),
    unreported_keys: VecDeque<KeyDebit>,
    /// Allotments that the current renewal reports as closed.
    closing: Vec<u64>,
    /// Nothing more is reserved, and new grants are returned.
    closed: bool,
    /// Sequence number at the close. A later renewal reclaims what was granted to an earlier one whose response was lost.
    sequence_at_close: u64,
    /// Whether a renewal that was prepared after the close was answered.
    renewed_since_close: bool,
}

impl LocalAllotments {
    /// Creates an empty set of allotments. `tenants` are the names in the settings, `windows` the classes' windows for keys.
    pub fn new(terms: &[AccountTerms], tenants: &[String], windows: &[Duration], ttl: Duration) -> Self {
        let account_of = |tenant: &String| terms.iter().position(|terms| terms.account == *tenant);
        LocalAllotments {
            ttl,
            accounts: terms.iter().map(|terms| LocalAccount::new(terms, windows)).collect(),
            accounts_by_tenant: tenants.iter().map(account_of).collect(),
            sequence: 0,
            highest_token: 0,
            prepared_at: None,
            reporting: (0, Vec::new()),
            unreported_keys: VecDeque::new(),
            closing: Vec::new(),
            closed: false,
            sequence_at_close: 0,
            renewed_since_close: false,
        }
    }

    /// Reserves a request's price. `None`: the request is free.
    pub fn reserve(
        &mut self,
        now: Time,
        (tenant, class): (u16, u8),
        key: Option<u64>,
        work: Option<Duration>,
    ) -> Result<Option<Reservation>, RejectionReason> {
        let account = self.accounts_by_tenant.get(usize::from(tenant)).copied().flatten();
        let Some(account) = account else { return Ok(None) };
        let unreported = self.unreported_keys.len() + self.reporting.1.len();
        let keys_full = key.is_some() && unreported >= MAX_UNREPORTED_KEYS;
        let local = &mut self.accounts[account];
        let price = local.terms.prices.price_of(class, work);
        if price == 0 {
            return Ok(None);
        }
        local.demanded = local.demanded.saturating_add(price);
        if local.frozen || keys_full || local.available(now) < price {
            return Err(local.reject(price));
        }
        let units = local.take(now, price);
        let window = local.windows.get(usize::from(class)).copied().unwrap_or_default();
        let name = || local.terms.account.clone();
        let key = key.map(|hash| KeyDebit { account: name(), hash, units: price, window });
        Ok(Some(Reservation { account, units, key }))
    }

    /// Settles the reservation of a request that has ended: debits it if the request was or may have been carried out, and otherwise
    /// releases it.
    pub fn settle(&mut self, reservation: Reservation, ran: bool) {
        let local = &mut self.accounts[reservation.account];
        for (number, units) in reservation.units {
            let Some(allotment) = local.allotments.iter_mut().find(|held| held.number == number) else {
                continue;
            };
            allotment.reserved -= units.min(allotment.reserved);
            if ran {
                allotment.spent += units;
                local.spent += units;
            }
        }
        self.unreported_keys.extend(reservation.key.filter(|_| ran));
    }

    /// Debits a reservation again. Used only by a fault that tests inject, for each attempt after the first.
    pub fn debit_again(&mut self, reservation: &Reservation) {
        let local = &mut self.accounts[reservation.account];
        for (number, units) in &reservation.units {
            let affordable = |held: &&mut HeldAllotment| held.number == *number && held.available() >= *units;
            if let Some(allotment) = local.allotments.iter_mut().find(affordable) {
                allotment.spent += units;
                local.spent += units;
            }
        }
    }

    /// Prepares a renewal. `None`: no account has traffic, and there is nothing to report.
    pub fn prepare_renewal(&mut self, now: Time) -> Option<RenewalRequest> {
        let since = self.prepared_at.map(|at| now.saturating_sub(at).as_secs_f64());
        let seconds = since.unwrap_or(FIRST_INTERVAL_S).max(1e-3);
        self.prepared_at = Some(now);
        let (mut demands, mut allotments) = (Vec::new(), Vec::new());
        self.closing.clear();
        for local in &mut self.accounts {
            local.measure_demand(seconds, self.closed);
            allotments.extend(local.report(now, &mut self.closing));
            demands.extend(local.demand());
        }
        if self.reporting.1.is_empty() && !self.unreported_keys.is_empty() {
            let most = self.unreported_keys.len().min(MAX_REPORTED_KEYS);
            self.reporting = (self.reporting.0 + 1, self.unreported_keys.drain(..most).collect());
        }
        let nothing = demands.is_empty() && allotments.is_empty() && self.reporting.1.is_empty();
        if nothing && !self.awaits_last_renewal() {
            return None;
        }
        self.sequence += 1;
        let report = Report { number: self.reporting.0, allotments, keys: self.reporting.1.clone() };
        let (sequence, highest_token) = (self.sequence, self.highest_token);
        Some(RenewalRequest { sequence, highest_token, report, demands })
    }

    /// Applies the response to the renewal that was prepared at that time. Responses to earlier renewals or with a lower token are
    /// ignored.
    pub fn apply(&mut self, prepared_at: Time, request: &RenewalRequest, response: &RenewalResponse) {
        if request.sequence != self.sequence || response.token < self.highest_token {
            return;
        }
        self.highest_token = response.token;
        self.renewed_since_close |= self.closed && request.sequence > self.sequence_at_close;
        if response.report >= self.reporting.0 {
            self.reporting.1.clear();
        }
        let (closing, until) = (std::mem::take(&mut self.closing), prepared_at + self.ttl);
        for local in &mut self.accounts {
            local.allotments.retain(|held| !closing.contains(&held.number));
            let grant = response.accounts.iter().find(|grant| grant.account == local.terms.account);
            if let Some(grant) = grant {
                local.apply(grant, until, !self.closed);
            }
        }
    }

    /// Stops reservations. All unspent units are returned with the next renewals.
    pub fn close(&mut self) {
        self.closed = true;
        self.sequence_at_close = self.sequence;
        let held = self.accounts.iter_mut().flat_map(|local| &mut local.allotments);
        held.for_each(|allotment| allotment.open = false);
    }

    /// Whether the ledger does not know yet what became of some allotments or debits.
    pub fn is_unsettled(&self) -> bool {
        let debits = !self.unreported_keys.is_empty() || !self.reporting.1.is_empty();
        let held = self.accounts.iter().any(|local| !local.allotments.is_empty());
        debits || held || self.awaits_last_renewal()
    }

    /// Whether a renewal from before the close may have been granted units in a response that was lost.
    fn awaits_last_renewal(&self) -> bool {
        self.closed && self.sequence_at_close > 0 && !self.renewed_since_close
    }

    /// Whether a request was rejected for lack of units since the last renewal, which is a reason to renew at once.
    pub fn is_short(&self) -> bool {
        self.accounts.iter().any(|local| local.largest_rejected > 0 && !local.paused && !local.frozen)
    }

    /// Each account's name, available units, units spent here, and requests rejected here.
    pub fn totals(&self) -> impl Iterator<Item = (String, u64, u64, u64)> + '_ {
        self.accounts.iter().map(|local| {
            let open = local.allotments.iter().filter(|held| held.open);
            let available = open.map(HeldAllotment::available).sum();
            (local.terms.account.clone(), available, local.spent, local.rejected)
        })
    }
}

impl LocalAccount {
    fn new(terms: &AccountTerms, windows: &[Duration]) -> Self {
        LocalAccount {
            terms: terms.clone(),
            windows: windows.iter().map(|window| window.as_millis() as u64).collect(),
            allotments: Vec::new(),
            demanded: 0,
            units_per_s: 0.0,
            largest_rejected: 0,
            paused: false,
            frozen: false,
            spent: 0,
            rejected: 0,
        }
    }

    fn open(&mut self, now: Time) -> impl Iterator<Item = &mut HeldAllotment> {
        self.allotments.iter_mut().filter(move |held| held.open && now < held.until)
    }

    fn available(&mut self, now: Time) -> u64 {
        self.open(now).map(|held| held.available()).sum()
    }

    fn reject(&mut self, price: u64) -> RejectionReason {
        self.rejected += 1;
        self.largest_rejected = self.largest_rejected.max(price);
        match (self.frozen, self.paused) {
            (true, _) => RejectionReason::Frozen,
            (false, true) => RejectionReason::Paused,
            (false, false) => RejectionReason::NoAllotment,
        }
    }

    /// Reserves a price, which has to be available, from as many allotments as needed.
    fn take(&mut self, now: Time, price: u64) -> Vec<(u64, u64)> {
        let (mut taken, mut rest) = (Vec::new(), price);
        for allotment in self.open(now) {
            let units = allotment.available().min(rest);
            if units > 0 {
                allotment.reserved += units;
                rest -= units;
                taken.push((allotment.number, units));
            }
        }
        taken
    }

    fn measure_demand(&mut self, seconds: f64, closed: bool) {
        if closed {
            (self.demanded, self.units_per_s, self.largest_rejected) = (0, 0.0, 0);
        }
        let rate = std::mem::take(&mut self.demanded) as f64 / seconds;
        self.units_per_s += (rate - self.units_per_s) * (1.0 - (-seconds / SMOOTHING_S).exp());
        if self.units_per_s < MIN_RATE {
            self.units_per_s = 0.0;
        }
    }

    /// Reports the use of each allotment. Those that are used up or expired are closed and added to `closing`.
    fn report(&mut self, now: Time, closing: &mut Vec<u64>) -> Vec<AllotmentReport> {
        let mut reports = Vec::new();
        for held in &mut self.allotments {
            held.open &= now < held.until;
            let closed = held.reserved == 0 && (!held.open || held.is_spent());
            held.open &= !closed;
            if closed {
                closing.push(held.number);
            }
            let account = self.terms.account.clone();
            let &mut HeldAllotment { number, spent, returned, .. } = held;
            reports.push(AllotmentReport { account, number, spent, returned, closed });
        }
        reports
    }

    /// The account's demand. `None`: it has no traffic and holds nothing.
    fn demand(&mut self) -> Option<Demand> {
        let largest_rejected = std::mem::take(&mut self.largest_rejected);
        if self.units_per_s <= 0.0 && largest_rejected == 0 && self.allotments.is_empty() {
            return None;
        }
        let open = self.allotments.iter().filter(|held| held.open);
        let holds = open.map(|held| (held.number, held.available())).collect();
        let account = self.terms.account.clone();
        Some(Demand { account, units_per_s: self.units_per_s as f32, largest_rejected, holds })
    }

    /// Adds the granted allotment, and marks units beyond `keep` as returned.
    fn apply(&mut self, grant: &AccountGrant, until: Time, open: bool) {
        (self.paused, self.frozen) = (grant.paused, grant.frozen);
        for held in self.allotments.iter_mut().filter(|held| held.open) {
            held.until = held.until.max(until);
        }
        if let Some((number, units)) = grant.allotment {
            self.allotments.push(HeldAllotment {
                number,
                units,
                spent: 0,
                returned: 0,
                reserved: 0,
                until,
                open,
            });
        }
        let held: u64 = self.allotments.iter().map(HeldAllotment::available).sum();
        let mut excess = held.saturating_sub(grant.keep);
        for held in self.allotments.iter_mut().filter(|held| held.open) {
            let returned = held.available().min(excess);
            held.returned += returned;
            excess -= returned;
        }
    }
}

#[cfg(test)]
mod tests;
