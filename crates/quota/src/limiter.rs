//! A node's limiter: checks each request against the limits that count it. Used by the node's thread alone.

use crate::fallback::fallback_grant;
use crate::renewal::GrantUpdate;
use crate::{Counters, Grant, Limit, LocalQuota, Measure, QuotaTiming, WhenCut};
use birchswitch_mesh::{Clock, Time};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A request exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Index of the limit.
    pub limit: usize,
    /// When a retry may succeed.
    pub retry_after: Duration,
}

struct LimitState {
    limit: Limit,
    quota: RefCell<LocalQuota>,
    counters: Arc<Counters>,
    /// The current grant is the fallback's, not the leader's.
    on_fallback: Cell<bool>,
}

impl LimitState {
    fn in_flight(&self) -> bool {
        matches!(self.limit.measure, Measure::InFlight { .. })
    }

    /// Whether all requests are admitted now, for want of a grant.
    fn is_open(&self, now: Time) -> bool {
        self.limit.when_cut == WhenCut::Open && self.quota.borrow().allocation(now).is_none()
    }
}

/// Admits requests under a fixed set of limits.
pub struct Limiter {
    clock: Clock,
    timing: QuotaTiming,
    limits: Vec<LimitState>,
    /// The worth of a request of each class.
    worths: Vec<f64>,
    /// The fleet size last agreed; 0: unknown.
    nodes: Cell<u32>,
}

/// What an admitted request holds of its limits. Dropped when the request has ended.
pub struct Permit {
    limiter: Rc<Limiter>,
    limits: Vec<usize>,
    /// When the request last took tokens.
    admitted_at: Cell<Time>,
    sent: Cell<bool>,
}

impl Permit {
    /// Checks whether the request may be sent to a server now. One that was admitted longer than `transit` ago takes tokens again, since
    /// the bound covers only requests that reach a server within `transit`.
    pub fn recheck(&self) -> Result<(), Rejection> {
        let now = self.limiter.clock.now();
        if self.sent.get() || now <= self.admitted_at.get() + self.limiter.timing.transit {
            return Ok(());
        }
        self.limiter.readmit(&self.limits, now)?;
        self.admitted_at.set(now);
        Ok(())
    }

    /// The request was sent to a server. Further attempts count as the same request.
    pub fn mark_sent(&self) {
        self.sent.set(true);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        for n in &self.limits {
            let state = &self.limiter.limits[*n];
            state.quota.borrow_mut().release();
            state.counters.set_in_flight(state.quota.borrow().in_flight());
        }
    }
}

impl Limiter {
    /// A limiter without grants. `worths` holds the worth of a request of each class.
    pub fn new(limits: &[Limit], timing: QuotaTiming, worths: &[f64], clock: Clock) -> Rc<Self> {
        let state = |limit: &Limit| {
            let counted = worths.iter().enumerate();
            let counted =
                counted.filter(|(class, _)| limit.scope.class.is_none_or(|c| usize::from(c) == *class));
            let counted: Vec<f64> = counted.map(|(_, worth)| *worth).collect();
            LimitState {
                limit: limit.clone(),
                quota: RefCell::default(),
                counters: Arc::new(Counters::new(&counted)),
                on_fallback: Cell::new(false),
            }
        };
        let limits = limits.iter().map(state).collect();
        Rc::new(Limiter { clock, timing, limits, worths: worths.to_vec(), nodes: Cell::new(0) })
    }

    /// Each limit's counters.
    pub fn counters(&self) -> Vec<Arc<Counters>> {
        self.limits.iter().map(|p| p.counters.clone()).collect()
    }

    /// Sets the fleet size last agreed, from which shares without a grant are computed; 0: unknown.
    pub fn set_fleet_size(&self, nodes: u32) {
        self.nodes.set(nodes);
    }

    /// Applies renewed grants, and notifies the renewal task.
    pub fn apply_grants(&self, update: GrantUpdate) {
        let now = self.clock.now();
        for (n, allocation, expires) in &update.grants {
            let Some(state) = self.limits.get(*n) else { continue };
            state.on_fallback.set(false);
            let expires = self.timing.safeguards.expiry.then_some(*expires);
            state.quota.borrow_mut().set_grant(now, Some(Grant { allocation: *allocation, expires }));
        }
        // The renewal task may have ended with the mesh.
        let _ = update.applied.send(());
    }

    /// Admits or rejects a request; none: no limit counts it.
    pub fn admit(self: &Rc<Self>, tenant: u16, class: u8) -> Result<Option<Permit>, Rejection> {
        let mut limits = Vec::new();
        let now = self.clock.now();
        let worth = self.worths.get(usize::from(class)).copied().unwrap_or_default();
        let mut rejection = None;
        for (n, state) in self.limits.iter().enumerate() {
            if !state.limit.scope.matches(tenant, class) {
                continue;
            }
            limits.push(n);
            if state.is_open(now) {
                continue;
            }
            self.fall_back(state, now);
            if let Err(wait) = state.quota.borrow_mut().check(now, state.in_flight()) {
                rejection = Some(Rejection { limit: n, retry_after: wait.unwrap_or(self.timing.renew) });
                break;
            }
        }
        if let Some(rejection) = rejection {
            let state = &self.limits[rejection.limit];
            state.counters.record(worth, false);
            return Err(rejection);
        }
        for n in &limits {
            let state = &self.limits[*n];
            state.quota.borrow_mut().admit();
            state.counters.record(worth, true);
            state.counters.set_in_flight(state.quota.borrow().in_flight());
        }
        let (admitted_at, sent) = (Cell::new(now), Cell::new(false));
        Ok((!limits.is_empty()).then(|| Permit { limiter: self.clone(), limits, admitted_at, sent }))
    }

    /// Takes tokens of the rate limits again for a request that was admitted before.
    fn readmit(&self, limits: &[usize], now: Time) -> Result<(), Rejection> {
        let rates =
            || limits.iter().filter(|n| !self.limits[**n].in_flight() && !self.limits[**n].is_open(now));
        for n in rates() {
            let state = &self.limits[*n];
            self.fall_back(state, now);
            let allowed = state.quota.borrow_mut().check(now, false);
            allowed
                .map_err(|wait| Rejection { limit: *n, retry_after: wait.unwrap_or(self.timing.renew) })?;
        }
        rates().for_each(|n| self.limits[*n].quota.borrow_mut().consume());
        Ok(())
    }

    /// Gives a `share` limit whose grant has expired the node's share of it.
    fn fall_back(&self, state: &LimitState, now: Time) {
        let mut quota = state.quota.borrow_mut();
        if state.limit.when_cut == WhenCut::Share && quota.allocation(now).is_none() {
            let share =
                fallback_grant(state.limit.when_cut, self.timing.allocatable(&state.limit), self.nodes.get());
            quota.set_grant(now, share);
            state.on_fallback.set(true);
        }
    }

    /// The operators' table: a line for each limit with its name, which kind of grant is in effect, requests a second and at once, and
    /// requests admitted, rejected and in flight.
    pub fn status_table(&self) -> String {
        let now = self.clock.now();
        let mut text = String::from("# limit holds per_s at_once let_in turned_away out\n");
        for state in &self.limits {
            let allocation = state.quota.borrow().allocation(now);
            let holds = match (allocation, state.on_fallback.get()) {
                (Some(_), false) => "grant",
                (Some(_), true) => "share",
                (None, _) if state.limit.when_cut == WhenCut::Open => "open",
                (None, _) => "nothing",
            };
            let (allocation, [admitted, rejected, in_flight]) =
                (allocation.unwrap_or_default(), state.counters.totals());
            text += &format!(
                "{} {holds} {:.3} {} {admitted} {rejected} {in_flight}\n",
                state.limit.name, allocation.rate, allocation.capacity
            );
        }
        text
    }

    /// The rate in effect of each limit, in requests a second.
    pub fn granted_rates(&self) -> Vec<f64> {
        let now = self.clock.now();
        self.limits.iter().map(|p| p.quota.borrow().allocation(now).unwrap_or_default().rate).collect()
    }

    /// The limits.
    pub fn limits(&self) -> impl Iterator<Item = &Limit> {
        self.limits.iter().map(|p| &p.limit)
    }
}
