//! The candidate: acquires leases, waits for them and renews them.

use crate::message::{Ballot, CandidateId, Key, Op, Reply, Request, Response};
use crate::terms::Terms;
use crate::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The guard ends before the lease by the hold time divided by this.
const GUARD_DIVISOR: u32 = 10;
/// Renewal starts after the hold time divided by this.
const RENEW_DIVISOR: u32 = 3;
/// How often per round a request is sent to a voter that does not agree: at the start, and after one
/// and two thirds of the round.
const SENDS_PER_ROUND: u32 = 3;
/// The random part of the pause after a failure is below the round times two to the power of the
/// earlier failures in a row; this is the maximum exponent.
const MAX_BACKOFF_EXPONENT: u32 = 4;

/// A lease held by this candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The lease's key.
    pub key: Key,
    /// The fencing token; higher than any granted before for the key.
    pub token: u64,
    /// Nobody else holds the lease before this time, on this process's own clock.
    pub until: Time,
    /// Operations under the lease have to be finished before this time.
    pub guard: Time,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Another candidate holds the lease or is about to.
    Busy,
    /// The ballot was too low: other candidates are ahead.
    Behind,
    /// Recently started voters abstain.
    Abstaining,
    /// Voters use other terms or another list of voters.
    Elsewhere,
    /// Voters have no room for more leases.
    Full,
    /// Too few voters answered.
    Unheard,
}

/// Output of a candidate, to be executed in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a request to a voter.
    Send(SocketAddr, Request),
    /// A lease has been acquired.
    Granted(Grant),
    /// The lease has been renewed; its token may have increased.
    Extended(Grant),
    /// The lease has expired without having been released.
    Lost(Key),
    /// An attempt failed; another one will follow.
    Refused(Key, Refusal),
}

/// A request to all voters, and the replies so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    ballot: Ballot,
    sequence: u32,
    op: Op,
    /// When the first request was about to be sent.
    started: Time,
    resend_at: Time,
    /// Bitmaps of the voters that agreed and that refused.
    yes: u8,
    no: u8,
    refusal: Refusal,
    /// The longest wait that a refusal asked for.
    retry_after: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Waiting(Time),
    Pending(Attempt),
    Holding { ballot: Ballot, until: Time, renew_at: Time, extending: Option<Attempt> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    state: State,
    failures: u32,
}

/// The candidate state machine; see the crate documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    terms: Arc<Terms>,
    id: CandidateId,
    /// Highest ballot number used or received.
    highest_number: u64,
    sequence: u32,
    leases: BTreeMap<Key, Lease>,
}

type Out<'a> = &'a mut Vec<Action>;

impl Candidate {
    /// Creates a candidate without leases. `floor` is an initial guess of the ballot numbers in
    /// use; it need not be right.
    pub fn new(terms: Arc<Terms>, id: CandidateId, floor: u64) -> Self {
        Candidate { terms, id, highest_number: floor, sequence: 0, leases: BTreeMap::new() }
    }

    /// Acquires a lease and keeps renewing it until it is [released](Candidate::release).
    pub fn acquire(&mut self, now: Time, key: Key, out: Out) {
        self.leases.entry(key).or_insert(Lease { state: State::Waiting(now), failures: 0 });
        self.wake(now, out);
    }

    /// Releases a lease or stops waiting for it.
    pub fn release(&mut self, now: Time, key: &Key, out: Out) {
        self.expire(now, out);
        let Some(lease) = self.leases.remove(key) else { return };
        let ballots: Vec<Ballot> = match &lease.state {
            State::Waiting(_) => Vec::new(),
            State::Pending(attempt) => vec![attempt.ballot],
            State::Holding { ballot, extending, .. } => {
                extending.iter().map(|attempt| attempt.ballot).chain([*ballot]).collect()
            }
        };
        // Waiting candidates are notified at once. The newest ballot is released last, so that the
        // older one is gone by then.
        for ballot in ballots.into_iter().rev() {
            self.broadcast(key, ballot, Op::Release, out);
        }
    }

    /// When [`Candidate::wake`] is due.
    pub fn next_wake(&self) -> Time {
        let next = |lease: &Lease| match &lease.state {
            State::Waiting(at) => *at,
            State::Pending(attempt) => attempt.resend_at,
            State::Holding { until, renew_at, extending, .. } => {
                extending.as_ref().map_or(*renew_at, |attempt| attempt.resend_at).min(*until)
            }
        };
        self.leases.values().map(next).min().unwrap_or(Time::MAX)
    }

    /// The leases held now. Expired ones are left out even if the expiry has not been processed
    /// yet.
    pub fn held(&self, now: Time) -> impl Iterator<Item = Grant> + '_ {
        self.leases.iter().filter_map(move |(key, lease)| match lease.state {
            State::Holding { ballot, until, .. } if now < until => Some(self.grant(key, ballot, until)),
            _ => None,
        })
    }

    /// Keys that are wanted but not held.
    pub fn waiting(&self) -> impl Iterator<Item = &Key> {
        self.leases.iter().filter(|(_, l)| !matches!(l.state, State::Holding { .. })).map(|(k, _)| k)
    }

    fn grant(&self, key: &Key, ballot: Ballot, until: Time) -> Grant {
        let guard = until.saturating_sub(self.terms.hold_time() / GUARD_DIVISOR);
        Grant { key: key.clone(), token: ballot.number, until, guard }
    }

    /// Ends expired leases before anything else is processed.
    fn expire(&mut self, now: Time, out: Out) {
        for (key, lease) in &mut self.leases {
            if matches!(lease.state, State::Holding { until, .. } if now >= until) {
                lease.state = State::Waiting(now);
                out.push(Action::Lost(key.clone()));
            }
        }
    }

    /// Processes everything that is due.
    pub fn wake(&mut self, now: Time, out: Out) {
        self.expire(now, out);
        let keys: Vec<Key> = self.leases.keys().cloned().collect();
        for key in keys {
            let Some(mut lease) = self.leases.remove(&key) else { continue };
            self.advance(now, &key, &mut lease, out);
            self.leases.insert(key, lease);
        }
    }

    fn advance(&mut self, now: Time, key: &Key, lease: &mut Lease, out: Out) {
        match &mut lease.state {
            State::Waiting(at) if now >= *at => {
                let ballot = self.next_ballot();
                lease.state = State::Pending(self.start(now, key, ballot, Op::Prepare, out));
            }
            State::Waiting(_) => {}
            State::Pending(a) if now >= a.started + self.terms.round => self.fail(now, key, lease, out),
            State::Pending(a) => self.resend(now, key, a, out),
            State::Holding { ballot, renew_at, extending, .. } => match extending {
                Some(a) if now < a.started + self.terms.round => self.resend(now, key, a, out),
                // A failed upgrade to a higher ballot is retried with an even higher one.
                Some(a) if a.op == Op::Prepare || a.ballot != *ballot => {
                    let higher = self.next_ballot();
                    *extending = Some(self.start(now, key, higher, Op::Prepare, out));
                }
                Some(_) => *extending = Some(self.start(now, key, *ballot, Op::Propose, out)),
                None if now >= *renew_at => {
                    *extending = Some(self.start(now, key, *ballot, Op::Propose, out));
                }
                None => {}
            },
        }
    }

    fn next_ballot(&mut self) -> Ballot {
        self.highest_number += 1;
        Ballot { number: self.highest_number, candidate: self.id }
    }

    fn start(&mut self, now: Time, key: &Key, ballot: Ballot, op: Op, out: Out) -> Attempt {
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        let mut attempt = Attempt {
            ballot,
            sequence,
            op,
            started: now,
            resend_at: now,
            yes: 0,
            no: 0,
            refusal: Refusal::Unheard,
            retry_after: None,
        };
        self.resend(now, key, &mut attempt, out);
        attempt
    }

    /// Sends the request to all voters that have not agreed. The start of the attempt stays that of
    /// the first request.
    fn resend(&self, now: Time, key: &Key, attempt: &mut Attempt, out: Out) {
        if now < attempt.resend_at {
            return;
        }
        attempt.resend_at = now + self.terms.round / SENDS_PER_ROUND;
        let pending = self.terms.voters.iter().enumerate().filter(|(n, _)| attempt.yes & (1 << n) == 0);
        for (_, voter) in pending {
            let request = Request {
                key: key.clone(),
                ballot: attempt.ballot,
                sequence: attempt.sequence,
                op: attempt.op,
            };
            out.push(Action::Send(*voter, request));
        }
    }

    fn broadcast(&self, key: &Key, ballot: Ballot, op: Op, out: Out) {
        for voter in &self.terms.voters {
            out.push(Action::Send(*voter, Request { key: key.clone(), ballot, sequence: 0, op }));
        }
    }

    /// Handles an attempt without a majority: withdraws it from the voters and waits.
    fn fail(&mut self, now: Time, key: &Key, lease: &mut Lease, out: Out) {
        let State::Pending(attempt) = &lease.state else { return };
        let (refusal, ballot, retry_after) = (attempt.refusal, attempt.ballot, attempt.retry_after);
        self.broadcast(key, ballot, Op::Yield, out);
        out.push(Action::Refused(key.clone(), refusal));
        // The pause lasts at least until the lease may be free, and its random part keeps waiting
        // candidates from all asking at once.
        let round = self.terms.round;
        let spread = round * (1 << lease.failures.min(MAX_BACKOFF_EXPONENT));
        let pause = retry_after.unwrap_or(Duration::ZERO).min(self.terms.ttl);
        lease.failures += 1;
        lease.state = State::Waiting(now + pause + round / 10 + self.jitter(key, ballot, spread));
    }

    /// A share of `max` that differs between candidates, keys and ballots.
    fn jitter(&self, key: &Key, ballot: Ballot, max: Duration) -> Duration {
        let text = format!("{key} {} {}", self.id.0, ballot.number);
        max * (xxh3_64(text.as_bytes()) >> 48) as u32 / (1 << 16)
    }

    /// Processes a voter's response.
    pub fn handle_response(&mut self, now: Time, from: SocketAddr, response: &Response, out: Out) {
        self.expire(now, out);
        let Some(mut lease) = self.leases.remove(&response.key) else { return };
        if let Some(voter) = self.terms.voters.iter().position(|v| *v == from) {
            self.apply_reply(now, voter, response, &mut lease, out);
        }
        self.leases.insert(response.key.clone(), lease);
    }

    fn apply_reply(&mut self, now: Time, voter: usize, response: &Response, lease: &mut Lease, out: Out) {
        if let Reply::BallotTooLow(number) = response.reply {
            self.highest_number = self.highest_number.max(number);
        }
        if response.reply == Reply::Available {
            if let State::Waiting(at) = &mut lease.state {
                // Other candidates may have been notified, too.
                let ballot = Ballot { number: self.highest_number, candidate: self.id };
                *at = (*at).min(now + self.jitter(&response.key, ballot, self.terms.round / 20));
                lease.failures = 0;
            }
            return;
        }
        let (terms, key) = (self.terms.clone(), &response.key);
        let tally = match &mut lease.state {
            State::Waiting(_) => return,
            State::Pending(tally) => tally,
            State::Holding { extending: Some(tally), .. } => tally,
            State::Holding { .. } => return,
        };
        if (tally.ballot, tally.sequence, tally.op) != (response.ballot, response.sequence, response.op) {
            return;
        }
        let bit = 1 << voter;
        match response.reply {
            Reply::Promised | Reply::Accepted => (tally.yes, tally.no) = (tally.yes | bit, tally.no & !bit),
            reply => {
                tally.no |= bit & !tally.yes;
                let (refusal, retry_after) = match reply {
                    Reply::Busy(left) => (Refusal::Busy, Some(left)),
                    Reply::Abstaining(left) => (Refusal::Abstaining, Some(left)),
                    Reply::TermsMismatch(_) => (Refusal::Elsewhere, None),
                    Reply::Full => (Refusal::Full, None),
                    _ => (Refusal::Behind, None),
                };
                tally.refusal = refusal;
                tally.retry_after = tally.retry_after.max(retry_after);
            }
        }
        let (yes, no) = (tally.yes.count_ones() as usize, tally.no.count_ones() as usize);
        if yes >= terms.majority() {
            self.majority_reached(now, key, lease, out);
        } else if no > terms.voters.len() - terms.majority() {
            match &mut lease.state {
                State::Pending(_) => self.fail(now, key, lease, out),
                // Voters that restarted have a higher floor: upgrade to a higher token while the
                // lease is held.
                State::Holding { extending, .. } if matches!(response.reply, Reply::BallotTooLow(_)) => {
                    let higher = self.next_ballot();
                    *extending = Some(self.start(now, key, higher, Op::Prepare, out));
                }
                State::Holding { .. } | State::Waiting(_) => {}
            }
        }
    }

    /// Handles an attempt that a majority agreed to.
    fn majority_reached(&mut self, now: Time, key: &Key, lease: &mut Lease, out: Out) {
        let (attempt, first) = match &lease.state {
            State::Pending(attempt) => (attempt.clone(), true),
            State::Holding { extending: Some(attempt), .. } => (attempt.clone(), false),
            _ => return,
        };
        if attempt.op == Op::Prepare {
            // Voters that restarted since may have forgotten a promise older than a round.
            if now >= attempt.started + self.terms.round {
                return;
            }
            let proposal = self.start(now, key, attempt.ballot, Op::Propose, out);
            match &mut lease.state {
                State::Holding { extending, .. } => *extending = Some(proposal),
                state => *state = State::Pending(proposal),
            }
            return;
        }
        let until = attempt.started + self.terms.hold_time();
        if now >= until {
            return;
        }
        let renew_at = attempt.started + self.terms.hold_time() / RENEW_DIVISOR;
        lease.failures = 0;
        lease.state = State::Holding { ballot: attempt.ballot, until, renew_at, extending: None };
        let grant = self.grant(key, attempt.ballot, until);
        out.push(if first { Action::Granted(grant) } else { Action::Extended(grant) });
    }
}
