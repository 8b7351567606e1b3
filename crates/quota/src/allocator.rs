//! The keeper's books of one limit: who may hold how much of it, and what whoever asks gets.
//!
//! At any time the sum over all lives of the most that each may hold is at most the whole. A grant counts until a newer one is known to be
//! held, or for as long as its node may use it. So a lower grant frees something only once its node says that it holds it.

use crate::fair_share::{divide, RotationPriority};
use crate::{Allocation, DemandAtWorth, IssuedGrant, Limit, LimitRequest, Measure, QuotaTiming};
use birchswitch_mesh::{Clock, ProcessId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Parts, and the sum of what may be held, are worked out anew so often at most: both go through all lives.
const FRESH: Duration = Duration::from_millis(50);
/// Where units do not reach for all, a node keeps one for so long, and goes without for no longer while others have had theirs.
const TURN: Duration = Duration::from_secs(3);
/// Most lives whose grants are kept; beyond, those that ask are told nothing.
const LIVES: usize = 4096;

/// A grant that may be held.
#[derive(Clone, Copy, Debug)]
struct Issued {
    number: u64,
    allocation: Allocation,
    over: Time,
}

#[derive(Clone, Debug)]
struct Life {
    heard: Time,
    wants: Vec<DemandAtWorth>,
    issued: Vec<Issued>,
    out: f64,
    target: Allocation,
    /// Since when it has, or has not, had a unit.
    turned: Time,
    had: bool,
    /// What it held of an earlier keeper's is in the books.
    adopted: bool,
}

impl Life {
    /// The most that it may hold, or may have let in.
    fn most(&self) -> Allocation {
        let held = self.issued.iter().fold(Allocation::NONE, |most, i| most.max(i.allocation));
        held.max(Allocation { rate: 0.0, capacity: self.out })
    }

    fn turn(&self, now: Time) -> RotationPriority {
        match (self.had, now >= self.turned + TURN) {
            (true, false) => RotationPriority::Retain,
            (false, true) => RotationPriority::Overdue,
            _ => RotationPriority::Normal,
        }
    }
}

/// See the module's words.
#[derive(Clone, Debug)]
pub struct Allocator {
    limit: Limit,
    terms: QuotaTiming,
    clock: Clock,
    whole: Allocation,
    token: u64,
    /// Until then what an earlier keeper granted may be held by nodes that this one has not heard.
    quarantine: Time,
    /// What of that was confirmed by its nodes: all that is parted until then.
    adopted: Allocation,
    lives: BTreeMap<ProcessId, Life>,
    /// What all lives together may hold. What ended since it was worked out counts still.
    sum: Sum,
    number: u64,
    parted: Option<Time>,
    tidied: Time,
}

/// A sum to which parts are added, and from which they are taken.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    rate: f64,
    capacity: f64,
}

impl Sum {
    fn add(&mut self, allocation: Allocation) {
        self.rate += allocation.rate;
        self.capacity += allocation.capacity;
    }

    fn take(&mut self, allocation: Allocation) {
        self.rate -= allocation.rate;
        self.capacity -= allocation.capacity;
    }

    fn total(self) -> Allocation {
        Allocation { rate: self.rate, capacity: self.capacity }
    }
}

impl Allocator {
    /// Those of a keeper that begins now, under a token.
    pub fn new(limit: &Limit, terms: &QuotaTiming, clock: Clock, token: u64, now: Time) -> Self {
        let quarantine = match terms.safeguards.quarantine {
            true => now + terms.held(limit, &clock),
            false => now,
        };
        Allocator {
            whole: terms.whole(limit),
            limit: limit.clone(),
            terms: *terms,
            clock,
            token,
            quarantine,
            adopted: Allocation::NONE,
            lives: BTreeMap::new(),
            sum: Sum::default(),
            number: 0,
            parted: None,
            tidied: now,
        }
    }

    fn in_flight(&self) -> bool {
        matches!(self.limit.measure, Measure::InFlight { .. })
    }

    /// What may be parted now.
    fn to_part(&self, now: Time) -> Allocation {
        match now < self.quarantine {
            true => self.adopted.min(self.whole),
            false => self.whole,
        }
    }

    /// A node asks that has heard tokens up to `heard`: what it gets. None: nothing is told, and what it holds goes on to its end.
    ///
    /// What it holds of an earlier keeper's is taken up only from one that has heard this one's token: it asked after this one began, and
    /// the grant had not ended then, so that the earlier one never gave it to another; and it takes no more from that one.
    pub fn renew(
        &mut self,
        now: Time,
        who: ProcessId,
        heard: u64,
        need: &LimitRequest,
    ) -> Option<IssuedGrant> {
        if now >= self.tidied + FRESH {
            self.tidy(now);
        }
        if self.lives.len() >= LIVES && !self.lives.contains_key(&who) {
            return None;
        }
        let held = self.terms.held(&self.limit, &self.clock);
        let new = Life {
            heard: now,
            wants: Vec::new(),
            issued: Vec::new(),
            out: 0.0,
            target: Allocation::NONE,
            turned: now,
            had: false,
            adopted: false,
        };
        // Whoever learns of this keeper now holds on to what it has, and says so next.
        if heard != self.token && now < self.quarantine {
            return None;
        }
        let fresh = !self.lives.contains_key(&who);
        let life = self.lives.entry(who).or_insert(new);
        self.sum.take(life.most());
        (life.heard, life.wants) = (now, need.demand.clone());
        life.out = if matches!(self.limit.measure, Measure::InFlight { .. }) {
            f64::from(need.in_flight)
        } else {
            0.0
        };
        match need.held {
            Some(h) if h.token == self.token => life.issued.retain(|i| i.number >= h.number),
            Some(h)
                if h.token < self.token && heard == self.token && !life.adopted && now < self.quarantine =>
            {
                life.adopted = true;
                life.issued.push(Issued { number: 0, allocation: h.allocation, over: now + held });
                self.adopted = self.adopted.plus(h.allocation);
            }
            _ => {}
        }
        if fresh || self.parted.is_none_or(|at| now >= at + FRESH) {
            self.reallocate(now);
        }
        // Without its own: that is added again below.
        let free = self.to_part(now).less(self.sum.total());
        let life = self.lives.get_mut(&who)?;
        let given = life.target.min(Allocation { capacity: free.capacity.floor(), ..free });
        self.number += 1;
        let issued = Issued { number: self.number, allocation: given, over: now + held };
        // Those before it may be what the node holds until it says otherwise; of many in a row the most that any was.
        life.issued.push(issued);
        self.sum.add(life.most());
        Some(IssuedGrant { limit: self.limit.id, number: issued.number, allocation: given })
    }

    /// Forgets what is surely over.
    fn tidy(&mut self, now: Time) {
        self.tidied = now;
        self.lives.values_mut().for_each(|l| l.issued.retain(|i| now < i.over));
        let held = self.terms.held(&self.limit, &self.clock);
        self.lives.retain(|_, l| !l.issued.is_empty() || now < l.heard + held);
        self.sum = Sum::default();
        self.lives.values().for_each(|l| self.sum.add(l.most()));
    }

    /// Works out what each life that asks should have.
    fn reallocate(&mut self, now: Time) {
        self.parted = Some(now);
        let (whole, ttl) = (self.to_part(now), self.terms.ttl);
        let in_flight = self.in_flight();
        let mut asking: Vec<&mut Life> = self.lives.values_mut().filter(|l| now < l.heard + ttl).collect();
        let wants: Vec<Vec<DemandAtWorth>> = asking.iter().map(|l| l.wants.clone()).collect();
        let wants: Vec<&[DemandAtWorth]> = wants.iter().map(Vec::as_slice).collect();
        let turns: Vec<RotationPriority> = asking.iter().map(|l| l.turn(now)).collect();
        let whole = if in_flight { Allocation { rate: 0.0, ..whole } } else { whole };
        let parts = if whole.rate > 0.0 || in_flight {
            divide(whole, &wants, &turns)
        } else {
            vec![Allocation::NONE; asking.len()]
        };
        for (life, allocation) in asking.iter_mut().zip(parts) {
            life.target = allocation;
            let has = allocation.capacity > 0.0;
            if has != life.had {
                (life.had, life.turned) = (has, now);
            }
        }
    }

    /// What may be held by all lives together: never more than the whole.
    pub fn outstanding(&mut self, now: Time) -> Allocation {
        self.tidy(now);
        self.sum.total()
    }

    /// Lives that ask.
    pub fn active_nodes(&self, now: Time) -> usize {
        self.lives.values().filter(|l| now < l.heard + self.terms.ttl).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{HeldGrant, Safeguards, Scope, WhenCut};
    use birchswitch_cluster::{Generation as Process, MemberId};

    const TERMS: QuotaTiming = QuotaTiming {
        renew: Duration::from_millis(400),
        ttl: Duration::from_secs(2),
        transit: Duration::from_millis(100),
        longest_request: Duration::from_secs(1),
        drift: 50,
        safeguards: Safeguards::ALL,
    };

    fn limit(measure: Measure) -> Limit {
        let scope = Scope { tenant: Some(0), class: None };
        Limit { name: "l".into(), scope, measure, when_cut: WhenCut::Strict, id: 7 }
    }

    fn books(measure: Measure, token: u64, now: Time) -> Allocator {
        Allocator::new(&limit(measure), &TERMS, Clock::new(1000, 50), token, now)
    }

    fn who(n: u64) -> ProcessId {
        ProcessId { id: MemberId(n), generation: Process { started: 1, draw: 0 } }
    }

    fn need(amount: f32, held: Option<HeldGrant>) -> LimitRequest {
        LimitRequest { limit: 7, demand: vec![DemandAtWorth { worth: 1.0, amount }], held, in_flight: 0 }
    }

    fn s(s: f64) -> Time {
        Time::from_secs_f64(s)
    }

    const RATE: Measure = Measure::Rate { per_s: 105.0, burst: 30.5 };

    /// Asks, and says the next time that what was got is held.
    fn asks(
        books: &mut Allocator,
        now: Time,
        n: u64,
        amount: f32,
        held: &mut Option<HeldGrant>,
    ) -> Allocation {
        let issue = books.renew(now, who(n), books.token, &need(amount, *held)).expect("room");
        *held = Some(HeldGrant { token: books.token, number: issue.number, allocation: issue.allocation });
        issue.allocation
    }

    #[test]
    fn a_new_keeper_gives_nothing_that_the_last_may_have_given() {
        let mut b = books(RATE, 2, s(10.0));
        assert_eq!(asks(&mut b, s(10.1), 1, 500.0, &mut None), Allocation::NONE);
        // Confirmed by one that has heard of this keeper: this much goes on at once, to whom it is wanted most.
        let mut held =
            Some(HeldGrant { token: 1, number: 9, allocation: Allocation { rate: 40.0, capacity: 4.0 } });
        assert_eq!(b.renew(s(10.2), who(2), 1, &need(500.0, held)), None, "it has not");
        let allocation = asks(&mut b, s(10.2), 2, 500.0, &mut held);
        assert!(allocation.rate <= 40.0 && allocation.rate > 0.0, "{allocation:?}");
        let end = 10.0 + 2.0 * 1050.0 / 950.0;
        assert!(b.renew(s(end - 0.1), who(3), 2, &need(500.0, None)).expect("room").allocation.rate < 1e-9);
        let mut sum = 0.0;
        for n in 1..=3 {
            sum += asks(&mut b, s(end + 0.1), n, 500.0, &mut None).rate;
        }
        assert!(sum <= 100.0 + 1e-9 && sum > 50.0, "{sum}");
    }

    #[test]
    fn what_a_node_may_still_hold_is_not_given_to_another() {
        let mut b = books(RATE, 1, s(0.0));
        let (mut one, mut other) = (None, None);
        let full = asks(&mut b, s(5.0), 1, 500.0, &mut one);
        assert!((full.rate - 100.0).abs() < 1e-9 && full.capacity == 20.0, "{full:?}");
        // Another wants as much: nothing before the first has said that it holds less.
        assert!(asks(&mut b, s(5.1), 2, 500.0, &mut other).rate < 1e-9);
        let less = asks(&mut b, s(5.2), 1, 500.0, &mut one);
        assert!((less.rate - 50.0).abs() < 1e-9, "{less:?}");
        assert!(asks(&mut b, s(5.3), 2, 500.0, &mut other).rate < 1e-9, "told, and not yet known to be held");
        asks(&mut b, s(5.4), 1, 500.0, &mut one);
        assert!((asks(&mut b, s(5.5), 2, 500.0, &mut other).rate - 50.0).abs() < 1e-9);
        // One that says nothing more is counted until its clock, however slow, has ended its grant.
        let end = 5.4 + 2.0 * 1050.0 / 950.0;
        assert!(asks(&mut b, s(end - 0.05), 2, 500.0, &mut other).rate < 51.0);
        asks(&mut b, s(end + 0.05), 2, 500.0, &mut other);
        assert!(asks(&mut b, s(end + 0.15), 2, 500.0, &mut other).rate > 99.0);
        assert!(b.outstanding(s(end + 0.2)).rate <= 100.0 + 1e-9);
    }

    #[test]
    fn requests_in_flight_count_beyond_the_grant_that_let_them_in() {
        let mut b = books(Measure::InFlight { most: 10 }, 1, s(0.0));
        let mut one = None;
        assert_eq!(asks(&mut b, s(9.0), 1, 50.0, &mut one).capacity, 10.0);
        let mut other = None;
        asks(&mut b, s(9.1), 2, 50.0, &mut other);
        // It holds five now, and has eight still out.
        asks(&mut b, s(9.2), 1, 50.0, &mut one);
        let busy = LimitRequest { in_flight: 8, ..need(50.0, one) };
        b.renew(s(9.4), who(1), 1, &busy);
        assert_eq!(asks(&mut b, s(9.5), 2, 50.0, &mut other).capacity, 2.0);
    }

    #[test]
    fn a_life_that_ended_is_not_forgotten_before_its_grant_is() {
        let mut b = books(RATE, 1, s(0.0));
        asks(&mut b, s(5.0), 1, 500.0, &mut None);
        let reborn = ProcessId { generation: Process { started: 2, draw: 0 }, ..who(1) };
        let issue = b.renew(s(5.1), reborn, 1, &need(500.0, None)).expect("room");
        assert!(issue.allocation.rate < 1e-9, "{issue:?}");
    }

    /// An answer of the last keeper's that is late raises a allocation which the next one has halved: obeyed, it would make more than the whole.
    /// Whoever has heard the next one refuses it (`asker.rs`).
    #[test]
    fn a_lower_number_obeyed_would_be_more_than_the_whole() {
        let mut first = books(RATE, 1, s(0.0));
        let (mut one, mut other) = (None, None);
        for n in 0..6 {
            asks(&mut first, s(5.0 + f64::from(n) * 0.1), 2, 0.0, &mut other);
            asks(&mut first, s(5.05 + f64::from(n) * 0.1), 1, 40.0, &mut one);
        }
        let late = first.renew(s(5.7), who(1), 1, &need(500.0, one)).expect("room").allocation;
        let mut second = books(RATE, 2, s(6.0));
        for _ in 0..4 {
            asks(&mut second, s(6.1), 1, 500.0, &mut one);
            asks(&mut second, s(6.2), 2, 500.0, &mut other);
        }
        let [one, other] = [one, other].map(|held| held.map_or(0.0, |h| h.allocation.rate));
        assert!(one + other <= 100.0 + 1e-9 && other > 5.0, "{one} {other}");
        assert!(late.rate + other > 101.0, "{late:?} {other}");
    }
}
