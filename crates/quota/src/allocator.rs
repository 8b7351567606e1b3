//! The leader's allocator of one limit: what each process may hold, and what it gets when it renews.
//!
//! Invariant: the sum over all processes of the most that each may hold is at most the limit. A grant counts until the process has
//! confirmed a newer one, or for as long as it may use the grant. A lowered grant therefore frees nothing before its process confirms it.

use crate::fair_share::{divide, RotationPriority};
use crate::{Allocation, DemandAtWorth, IssuedGrant, Limit, LimitRequest, Measure, QuotaTiming};
use birchswitch_mesh::{Clock, ProcessId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// The least time between two reallocations, and between two removals of expired grants: each visits all processes.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Where there are fewer units than processes, a process keeps its unit for this long, and has priority once it has been without one for as long.
const ROTATION_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of processes whose grants are tracked. Any beyond get no grant.
const MAX_PROCESSES: usize = 4096;

/// An issued grant that may still be held.
#[derive(Clone, Copy, Debug)]
struct Issued {
    number: u64,
    allocation: Allocation,
    ends: Time,
}

#[derive(Clone, Debug)]
struct ProcessState {
    renewed_at: Time,
    demand: Vec<DemandAtWorth>,
    issued: Vec<Issued>,
    in_flight: f64,
    target: Allocation,
    /// When `has_unit` changed last.
    rotated_at: Time,
    has_unit: bool,
    /// Its grant from an earlier leader is in `issued`.
    adopted: bool,
}

impl ProcessState {
    /// The most that it may hold or have in flight.
    fn max_held(&self) -> Allocation {
        let held = self.issued.iter().fold(Allocation::NONE, |most, i| most.max(i.allocation));
        held.max(Allocation { rate: 0.0, capacity: self.in_flight })
    }

    fn priority(&self, now: Time) -> RotationPriority {
        match (self.has_unit, now >= self.rotated_at + ROTATION_PERIOD) {
            (true, false) => RotationPriority::Retain,
            (false, true) => RotationPriority::Overdue,
            _ => RotationPriority::Normal,
        }
    }
}

/// Allocates one limit during one leadership term.
#[derive(Clone, Debug)]
pub struct Allocator {
    limit: Limit,
    timing: QuotaTiming,
    clock: Clock,
    total: Allocation,
    token: u64,
    /// Until then, processes that this leader has not heard from may hold grants of an earlier one.
    quarantine_ends: Time,
    /// The sum of those grants that their processes have confirmed. Nothing else is allocated until the quarantine ends.
    adopted: Allocation,
    processes: BTreeMap<ProcessId, ProcessState>,
    /// The sum of what all processes may hold. Grants that ended since the last removal are included.
    held: Sum,
    last_number: u64,
    reallocated_at: Option<Time>,
    cleaned_at: Time,
}

/// A running sum of allocations.
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

    fn subtract(&mut self, allocation: Allocation) {
        self.rate -= allocation.rate;
        self.capacity -= allocation.capacity;
    }

    fn total(self) -> Allocation {
        Allocation { rate: self.rate, capacity: self.capacity }
    }
}

impl Allocator {
    /// The allocator of a leader whose term begins now.
    pub fn new(limit: &Limit, timing: &QuotaTiming, clock: Clock, token: u64, now: Time) -> Self {
        let quarantine_ends = match timing.safeguards.quarantine {
            true => now + timing.hold_time(limit, &clock),
            false => now,
        };
        Allocator {
            total: timing.allocatable(limit),
            limit: limit.clone(),
            timing: *timing,
            clock,
            token,
            quarantine_ends,
            adopted: Allocation::NONE,
            processes: BTreeMap::new(),
            held: Sum::default(),
            last_number: 0,
            reallocated_at: None,
            cleaned_at: now,
        }
    }

    /// Whether the limit bounds the requests in flight, not their rate.
    fn in_flight(&self) -> bool {
        matches!(self.limit.measure, Measure::InFlight { .. })
    }

    /// What may be allocated now.
    fn available(&self, now: Time) -> Allocation {
        match now < self.quarantine_ends {
            true => self.adopted.min(self.total),
            false => self.total,
        }
    }

    /// Renews the grant of a process that has seen tokens up to `highest_token`. None: it gets no new grant, and keeps what it
    /// holds until that expires.
    ///
    /// A grant of an earlier leader is adopted only from a process that has seen this leader's token. Its request was then sent after this
    /// term began, while the grant was valid, so the earlier leader can't have given it to another process; and the process accepts no more
    /// grants of the earlier leader.
    pub fn renew(
        &mut self,
        now: Time,
        process: ProcessId,
        highest_token: u64,
        request: &LimitRequest,
    ) -> Option<IssuedGrant> {
        if now >= self.cleaned_at + REFRESH_INTERVAL {
            self.remove_expired(now);
        }
        if self.processes.len() >= MAX_PROCESSES && !self.processes.contains_key(&process) {
            return None;
        }
        let hold_time = self.timing.hold_time(&self.limit, &self.clock);
        let new = ProcessState {
            renewed_at: now,
            demand: Vec::new(),
            issued: Vec::new(),
            in_flight: 0.0,
            target: Allocation::NONE,
            rotated_at: now,
            has_unit: false,
            adopted: false,
        };
        // A process that has not seen this leader's token keeps what it holds, and reports it with its next request.
        if highest_token != self.token && now < self.quarantine_ends {
            return None;
        }
        let is_new = !self.processes.contains_key(&process);
        let state = self.processes.entry(process).or_insert(new);
        self.held.subtract(state.max_held());
        (state.renewed_at, state.demand) = (now, request.demand.clone());
        state.in_flight = if matches!(self.limit.measure, Measure::InFlight { .. }) {
            f64::from(request.in_flight)
        } else {
            0.0
        };
        match request.held {
            Some(h) if h.token == self.token => state.issued.retain(|i| i.number >= h.number),
            Some(h)
                if h.token < self.token
                    && highest_token == self.token
                    && !state.adopted
                    && now < self.quarantine_ends =>
            {
                state.adopted = true;
                state.issued.push(Issued { number: 0, allocation: h.allocation, ends: now + hold_time });
                self.adopted = self.adopted.plus(h.allocation);
            }
            _ => {}
        }
        if is_new || self.reallocated_at.is_none_or(|at| now >= at + REFRESH_INTERVAL) {
            self.reallocate(now);
        }
        // The process's own part was subtracted above, and is added again below.
        let free = self.available(now).saturating_sub(self.held.total());
        let state = self.processes.get_mut(&process)?;
        let granted = state.target.min(Allocation { capacity: free.capacity.floor(), ..free });
        self.last_number += 1;
        let issued = Issued { number: self.last_number, allocation: granted, ends: now + hold_time };
        // Until the process confirms this grant it may hold any earlier one: the largest of them counts.
        state.issued.push(issued);
        self.held.add(state.max_held());
        Some(IssuedGrant { limit: self.limit.id, number: issued.number, allocation: granted })
    }

    /// Removes grants that have surely expired, and processes without any.
    fn remove_expired(&mut self, now: Time) {
        self.cleaned_at = now;
        self.processes.values_mut().for_each(|l| l.issued.retain(|i| now < i.ends));
        let hold_time = self.timing.hold_time(&self.limit, &self.clock);
        self.processes.retain(|_, l| !l.issued.is_empty() || now < l.renewed_at + hold_time);
        self.held = Sum::default();
        self.processes.values().for_each(|l| self.held.add(l.max_held()));
    }

    /// Computes the targets of all processes that renew.
    fn reallocate(&mut self, now: Time) {
        self.reallocated_at = Some(now);
        let (total, ttl) = (self.available(now), self.timing.ttl);
        let in_flight = self.in_flight();
        let mut active: Vec<&mut ProcessState> =
            self.processes.values_mut().filter(|l| now < l.renewed_at + ttl).collect();
        let demands: Vec<Vec<DemandAtWorth>> = active.iter().map(|l| l.demand.clone()).collect();
        let demands: Vec<&[DemandAtWorth]> = demands.iter().map(Vec::as_slice).collect();
        let priorities: Vec<RotationPriority> = active.iter().map(|l| l.priority(now)).collect();
        let total = if in_flight { Allocation { rate: 0.0, ..total } } else { total };
        let targets = if total.rate > 0.0 || in_flight {
            divide(total, &demands, &priorities)
        } else {
            vec![Allocation::NONE; active.len()]
        };
        for (state, target) in active.iter_mut().zip(targets) {
            state.target = target;
            let has_unit = target.capacity > 0.0;
            if has_unit != state.has_unit {
                (state.has_unit, state.rotated_at) = (has_unit, now);
            }
        }
    }

    /// The sum of what all processes may hold: at most the limit.
    pub fn outstanding(&mut self, now: Time) -> Allocation {
        self.remove_expired(now);
        self.held.total()
    }

    /// The number of processes that renew.
    pub fn active_nodes(&self, now: Time) -> usize {
        self.processes.values().filter(|l| now < l.renewed_at + self.timing.ttl).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{HeldGrant, Safeguards, Scope, WhenCut};
    use birchswitch_cluster::{Generation, MemberId};

    const TIMING: QuotaTiming = QuotaTiming {
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

    fn allocator(measure: Measure, token: u64, now: Time) -> Allocator {
        Allocator::new(&limit(measure), &TIMING, Clock::new(1000, 50), token, now)
    }

    fn process(n: u64) -> ProcessId {
        ProcessId { id: MemberId(n), generation: Generation { started: 1, draw: 0 } }
    }

    fn request(amount: f32, held: Option<HeldGrant>) -> LimitRequest {
        LimitRequest { limit: 7, demand: vec![DemandAtWorth { worth: 1.0, amount }], held, in_flight: 0 }
    }

    fn s(s: f64) -> Time {
        Time::from_secs_f64(s)
    }

    const RATE: Measure = Measure::Rate { per_s: 105.0, burst: 30.5 };

    /// Renews, and confirms the grant with the next renewal.
    fn renew(
        allocator: &mut Allocator,
        now: Time,
        n: u64,
        amount: f32,
        held: &mut Option<HeldGrant>,
    ) -> Allocation {
        let grant = allocator.renew(now, process(n), allocator.token, &request(amount, *held)).expect("room");
        *held =
            Some(HeldGrant { token: allocator.token, number: grant.number, allocation: grant.allocation });
        grant.allocation
    }

    #[test]
    fn a_new_leader_allocates_nothing_that_the_previous_one_may_have_granted() {
        let mut b = allocator(RATE, 2, s(10.0));
        assert_eq!(renew(&mut b, s(10.1), 1, 500.0, &mut None), Allocation::NONE);
        // A grant confirmed by a process that has seen the new token is allocated at once, by demand.
        let mut held =
            Some(HeldGrant { token: 1, number: 9, allocation: Allocation { rate: 40.0, capacity: 4.0 } });
        assert_eq!(b.renew(s(10.2), process(2), 1, &request(500.0, held)), None, "it has not seen the token");
        let allocation = renew(&mut b, s(10.2), 2, 500.0, &mut held);
        assert!(allocation.rate <= 40.0 && allocation.rate > 0.0, "{allocation:?}");
        let end = 10.0 + 2.0 * 1050.0 / 950.0;
        assert!(
            b.renew(s(end - 0.1), process(3), 2, &request(500.0, None)).expect("room").allocation.rate < 1e-9
        );
        let mut sum = 0.0;
        for n in 1..=3 {
            sum += renew(&mut b, s(end + 0.1), n, 500.0, &mut None).rate;
        }
        assert!(sum <= 100.0 + 1e-9 && sum > 50.0, "{sum}");
    }

    #[test]
    fn what_a_process_may_still_hold_is_not_allocated_to_another() {
        let mut b = allocator(RATE, 1, s(0.0));
        let (mut one, mut other) = (None, None);
        let full = renew(&mut b, s(5.0), 1, 500.0, &mut one);
        assert!((full.rate - 100.0).abs() < 1e-9 && full.capacity == 20.0, "{full:?}");
        // Another demands as much, and gets nothing before the first has confirmed a lower grant.
        assert!(renew(&mut b, s(5.1), 2, 500.0, &mut other).rate < 1e-9);
        let less = renew(&mut b, s(5.2), 1, 500.0, &mut one);
        assert!((less.rate - 50.0).abs() < 1e-9, "{less:?}");
        assert!(renew(&mut b, s(5.3), 2, 500.0, &mut other).rate < 1e-9, "issued, and not yet confirmed");
        renew(&mut b, s(5.4), 1, 500.0, &mut one);
        assert!((renew(&mut b, s(5.5), 2, 500.0, &mut other).rate - 50.0).abs() < 1e-9);
        // A silent process counts until the slowest clock has reached the expiry of its grant.
        let end = 5.4 + 2.0 * 1050.0 / 950.0;
        assert!(renew(&mut b, s(end - 0.05), 2, 500.0, &mut other).rate < 51.0);
        renew(&mut b, s(end + 0.05), 2, 500.0, &mut other);
        assert!(renew(&mut b, s(end + 0.15), 2, 500.0, &mut other).rate > 99.0);
        assert!(b.outstanding(s(end + 0.2)).rate <= 100.0 + 1e-9);
    }

    #[test]
    fn requests_in_flight_count_beyond_the_grant_that_admitted_them() {
        let mut b = allocator(Measure::InFlight { most: 10 }, 1, s(0.0));
        let mut one = None;
        assert_eq!(renew(&mut b, s(9.0), 1, 50.0, &mut one).capacity, 10.0);
        let mut other = None;
        renew(&mut b, s(9.1), 2, 50.0, &mut other);
        // It holds five now, with eight requests still in flight.
        renew(&mut b, s(9.2), 1, 50.0, &mut one);
        let busy = LimitRequest { in_flight: 8, ..request(50.0, one) };
        b.renew(s(9.4), process(1), 1, &busy);
        assert_eq!(renew(&mut b, s(9.5), 2, 50.0, &mut other).capacity, 2.0);
    }

    #[test]
    fn a_process_that_ended_counts_until_its_grant_expires() {
        let mut b = allocator(RATE, 1, s(0.0));
        renew(&mut b, s(5.0), 1, 500.0, &mut None);
        let restarted = ProcessId { generation: Generation { started: 2, draw: 0 }, ..process(1) };
        let grant = b.renew(s(5.1), restarted, 1, &request(500.0, None)).expect("room");
        assert!(grant.allocation.rate < 1e-9, "{grant:?}");
    }

    /// A delayed response of the previous leader raises an allocation that its successor has halved: if it were applied, the sum would
    /// exceed the limit. A node that has seen the newer token rejects it (`renewal.rs`).
    #[test]
    fn applying_a_stale_response_would_exceed_the_limit() {
        let mut first = allocator(RATE, 1, s(0.0));
        let (mut one, mut other) = (None, None);
        for n in 0..6 {
            renew(&mut first, s(5.0 + f64::from(n) * 0.1), 2, 0.0, &mut other);
            renew(&mut first, s(5.05 + f64::from(n) * 0.1), 1, 40.0, &mut one);
        }
        let delayed = first.renew(s(5.7), process(1), 1, &request(500.0, one)).expect("room").allocation;
        let mut second = allocator(RATE, 2, s(6.0));
        for _ in 0..4 {
            renew(&mut second, s(6.1), 1, 500.0, &mut one);
            renew(&mut second, s(6.2), 2, 500.0, &mut other);
        }
        let [one, other] = [one, other].map(|held| held.map_or(0.0, |h| h.allocation.rate));
        assert!(one + other <= 100.0 + 1e-9 && other > 5.0, "{one} {other}");
        assert!(delayed.rate + other > 101.0, "{delayed:?} {other}");
    }
}
