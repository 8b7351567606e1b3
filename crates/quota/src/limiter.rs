//! The door of a node: what each request takes of the limits that it counts for, by the node's own thread alone.

use crate::fallback::fallback_grant;
use crate::renewal::GrantUpdate;
use crate::{Counters, Grant, Limit, LocalQuota, Measure, QuotaTiming, WhenCut};
use birchswitch_mesh::{Clock, Time};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A request is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// By which limit.
    pub limit: usize,
    /// When it may be worth coming again.
    pub retry_after: Duration,
}

struct Place {
    limit: Limit,
    allowance: RefCell<LocalQuota>,
    counts: Arc<Counters>,
    /// It uses what holds without a grant.
    alone: Cell<bool>,
}

impl Place {
    fn in_flight(&self) -> bool {
        matches!(self.limit.measure, Measure::InFlight { .. })
    }

    fn open(&self, now: Time) -> bool {
        self.limit.when_cut == WhenCut::Open && self.allowance.borrow().allocation(now).is_none()
    }
}

/// See the module's words. Its limits are fixed at the start.
pub struct Limiter {
    clock: Clock,
    terms: QuotaTiming,
    places: Vec<Place>,
    worths: Vec<f64>,
    /// The fleet as last agreed; 0: not known.
    nodes: Cell<u32>,
}

/// What a request took, to be given back when it has ended.
pub struct Permit {
    door: Rc<Limiter>,
    limits: Vec<usize>,
    /// When it was let in, or last counted as if.
    at: Cell<Time>,
    sent: Cell<bool>,
}

impl Permit {
    /// Whether it may go to a server now: one that was let in longer ago than `transit` counts anew, as if it came now.
    pub fn recheck(&self) -> Result<(), Rejection> {
        let now = self.door.clock.now();
        if self.sent.get() || now <= self.at.get() + self.door.terms.transit {
            return Ok(());
        }
        self.door.again(&self.limits, now)?;
        self.at.set(now);
        Ok(())
    }

    /// It has gone to a server: what is sent of it again is the same request.
    pub fn mark_sent(&self) {
        self.sent.set(true);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        for n in &self.limits {
            let place = &self.door.places[*n];
            place.allowance.borrow_mut().release();
            place.counts.set_in_flight(place.allowance.borrow().in_flight());
        }
    }
}

impl Limiter {
    /// A door with these limits; `worths` are the classes'.
    pub fn new(limits: &[Limit], terms: QuotaTiming, worths: &[f64], clock: Clock) -> Rc<Self> {
        let place = |limit: &Limit| {
            let counted = worths.iter().enumerate();
            let counted =
                counted.filter(|(class, _)| limit.scope.class.is_none_or(|c| usize::from(c) == *class));
            let counted: Vec<f64> = counted.map(|(_, worth)| *worth).collect();
            Place {
                limit: limit.clone(),
                allowance: RefCell::default(),
                counts: Arc::new(Counters::new(&counted)),
                alone: Cell::new(false),
            }
        };
        let places = limits.iter().map(place).collect();
        Rc::new(Limiter { clock, terms, places, worths: worths.to_vec(), nodes: Cell::new(0) })
    }

    /// Each limit's counts.
    pub fn counters(&self) -> Vec<Arc<Counters>> {
        self.places.iter().map(|p| p.counts.clone()).collect()
    }

    /// The fleet as last agreed, for limits that are shared without a grant; 0: not known.
    pub fn set_fleet_size(&self, nodes: u32) {
        self.nodes.set(nodes);
    }

    /// Takes up grants. What they are the answer to may be told then.
    pub fn apply_grants(&self, apply: GrantUpdate) {
        let now = self.clock.now();
        for (n, allocation, expires) in &apply.grants {
            let Some(place) = self.places.get(*n) else { continue };
            place.alone.set(false);
            let expires = self.terms.safeguards.expiry.then_some(*expires);
            place.allowance.borrow_mut().set_grant(now, Some(Grant { allocation: *allocation, expires }));
        }
        // Whoever asked is gone with the mesh.
        let _ = apply.applied.send(());
    }

    /// Lets a request in, or turns it away. What is returned is dropped when the request has ended.
    pub fn admit(self: &Rc<Self>, tenant: u16, class: u8) -> Result<Option<Permit>, Rejection> {
        let mut limits = Vec::new();
        let now = self.clock.now();
        let worth = self.worths.get(usize::from(class)).copied().unwrap_or_default();
        let mut turned = None;
        for (n, place) in self.places.iter().enumerate() {
            if !place.limit.scope.matches(tenant, class) {
                continue;
            }
            limits.push(n);
            if place.open(now) {
                continue;
            }
            self.fall_back(place, now);
            if let Err(wait) = place.allowance.borrow_mut().check(now, place.in_flight()) {
                turned = Some(Rejection { limit: n, retry_after: wait.unwrap_or(self.terms.renew) });
                break;
            }
        }
        if let Some(turned) = turned {
            let place = &self.places[turned.limit];
            place.counts.record(worth, false);
            return Err(turned);
        }
        for n in &limits {
            let place = &self.places[*n];
            place.allowance.borrow_mut().admit();
            place.counts.record(worth, true);
            place.counts.set_in_flight(place.allowance.borrow().in_flight());
        }
        let (at, sent) = (Cell::new(now), Cell::new(false));
        Ok((!limits.is_empty()).then(|| Permit { door: self.clone(), limits, at, sent }))
    }

    /// One that is in takes from its rates again.
    fn again(&self, limits: &[usize], now: Time) -> Result<(), Rejection> {
        let rates = || limits.iter().filter(|n| !self.places[**n].in_flight() && !self.places[**n].open(now));
        for n in rates() {
            let place = &self.places[*n];
            self.fall_back(place, now);
            let may = place.allowance.borrow_mut().check(now, false);
            may.map_err(|wait| Rejection { limit: *n, retry_after: wait.unwrap_or(self.terms.renew) })?;
        }
        rates().for_each(|n| self.places[*n].allowance.borrow_mut().consume());
        Ok(())
    }

    /// A node whose grant has ended uses what is its own by the settings.
    fn fall_back(&self, place: &Place, now: Time) {
        let mut allowance = place.allowance.borrow_mut();
        if place.limit.when_cut == WhenCut::Share && allowance.allocation(now).is_none() {
            let own = fallback_grant(place.limit.when_cut, self.terms.whole(&place.limit), self.nodes.get());
            allowance.set_grant(now, own);
            place.alone.set(true);
        }
    }

    /// A line each: name, what holds now, requests a second and at once, let in, turned away, out.
    pub fn status_table(&self) -> String {
        let now = self.clock.now();
        let mut text = String::from("# limit holds per_s at_once let_in turned_away out\n");
        for place in &self.places {
            let part = place.allowance.borrow().allocation(now);
            let holds = match (part, place.alone.get()) {
                (Some(_), false) => "grant",
                (Some(_), true) => "share",
                (None, _) if place.limit.when_cut == WhenCut::Open => "open",
                (None, _) => "nothing",
            };
            let (part, [let_in, turned, out]) = (part.unwrap_or_default(), place.counts.totals());
            text += &format!(
                "{} {holds} {:.3} {} {let_in} {turned} {out}\n",
                place.limit.name, part.rate, part.capacity
            );
        }
        text
    }

    /// Requests a second that this node holds of each.
    pub fn granted_rates(&self) -> Vec<f64> {
        let now = self.clock.now();
        self.places.iter().map(|p| p.allowance.borrow().allocation(now).unwrap_or_default().rate).collect()
    }

    /// The limits.
    pub fn limits(&self) -> impl Iterator<Item = &Limit> {
        self.places.iter().map(|p| &p.limit)
    }
}
