//! One process that wants leases, waits for them and holds them.

use crate::message::{Ballot, CandidateId, Key, Request, Response, Wish, Word};
use crate::terms::Terms;
use crate::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A guard ends by this part of the lease's time before it.
const GUARD: u32 = 10;
/// An extension begins when this part of the time is over.
const RENEW: u32 = 3;
/// A question is sent again so many times in a round.
const RESEND: u32 = 3;
/// The wait after failures doubles up to this power.
const BACK_OFF: u32 = 4;

/// A lease as it is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    /// Which.
    pub key: Key,
    /// Higher than any before it.
    pub token: u64,
    /// Until then nobody else holds it, by this process's own clock.
    pub until: Time,
    /// Until then an act may begin, and has to be over.
    pub guard: Time,
}

/// Why a try came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Somebody else has it, or is about to.
    Busy,
    /// Others were ahead.
    Behind,
    /// Voters that started not long ago abstain.
    Abstaining,
    /// Voters go by other terms, or name other voters.
    Elsewhere,
    /// Voters keep no more leases.
    Full,
    /// Too few voters answered.
    Unheard,
}

/// What a candidate wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Ask a voter.
    Send(SocketAddr, Request),
    /// A lease is held from now on.
    Granted(Held),
    /// It is held for longer; its token may have risen.
    Extended(Held),
    /// It is over without having been given up.
    Lost(Key),
    /// A try came to nothing; there will be another.
    Refused(Key, Refusal),
}

/// A question to all voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Try {
    ballot: Ballot,
    turn: u32,
    wish: Wish,
    /// When the first of its questions was about to be sent.
    asked: Time,
    resend: Time,
    /// Voters that agreed and that refused, a bit each.
    yes: u8,
    no: u8,
    why: Refusal,
    /// The soonest that a refusal let hope for.
    hope: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Waiting(Time),
    Trying(Try),
    Holding { ballot: Ballot, until: Time, renew: Time, extending: Option<Try> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    state: State,
    failures: u32,
}

/// See the crate's own words.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    terms: Arc<Terms>,
    life: CandidateId,
    /// Highest number heard of or used.
    highest: u64,
    turn: u32,
    leases: BTreeMap<Key, Lease>,
}

type Out<'a> = &'a mut Vec<Action>;

impl Candidate {
    /// One that wants nothing yet. `floor` is a first guess at numbers, and never has to be right.
    pub fn new(terms: Arc<Terms>, life: CandidateId, floor: u64) -> Self {
        Candidate { terms, life, highest: floor, turn: 0, leases: BTreeMap::new() }
    }

    /// Wants a lease from now on, until it is [given up](Candidate::release).
    pub fn acquire(&mut self, now: Time, key: Key, out: Out) {
        self.leases.entry(key).or_insert(Lease { state: State::Waiting(now), failures: 0 });
        self.wake(now, out);
    }

    /// Gives up a lease, or the wish for it.
    pub fn release(&mut self, now: Time, key: &Key, out: Out) {
        self.expire(now, out);
        let Some(lease) = self.leases.remove(key) else { return };
        let ballots: Vec<Ballot> = match &lease.state {
            State::Waiting(_) => Vec::new(),
            State::Trying(t) => vec![t.ballot],
            State::Holding { ballot, extending, .. } => {
                extending.iter().map(|t| t.ballot).chain([*ballot]).collect()
            }
        };
        // Who waits is told at once: the newest ballot last, so that it finds all others gone.
        for ballot in ballots.into_iter().rev() {
            self.give_back(key, ballot, Wish::Release, out);
        }
    }

    /// When [`Candidate::wake`] is due.
    pub fn next_wake(&self) -> Time {
        let next = |lease: &Lease| match &lease.state {
            State::Waiting(at) => *at,
            State::Trying(t) => t.resend,
            State::Holding { until, renew, extending, .. } => {
                extending.as_ref().map_or(*renew, |t| t.resend).min(*until)
            }
        };
        self.leases.values().map(next).min().unwrap_or(Time::MAX)
    }

    /// What is held now. Nothing is whose time is over, whether or not that was noticed.
    pub fn held(&self, now: Time) -> impl Iterator<Item = Held> + '_ {
        self.leases.iter().filter_map(move |(key, lease)| match lease.state {
            State::Holding { ballot, until, .. } if now < until => Some(self.grant(key, ballot, until)),
            _ => None,
        })
    }

    /// Wanted and not held.
    pub fn waiting(&self) -> impl Iterator<Item = &Key> {
        self.leases.iter().filter(|(_, l)| !matches!(l.state, State::Holding { .. })).map(|(k, _)| k)
    }

    fn grant(&self, key: &Key, ballot: Ballot, until: Time) -> Held {
        let guard = until.saturating_sub(self.terms.held() / GUARD);
        Held { key: key.clone(), token: ballot.number, until, guard }
    }

    /// Ends what is over by its own clock, before anything else is looked at.
    fn expire(&mut self, now: Time, out: Out) {
        for (key, lease) in &mut self.leases {
            if matches!(lease.state, State::Holding { until, .. } if now >= until) {
                lease.state = State::Waiting(now);
                out.push(Action::Lost(key.clone()));
            }
        }
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Time, out: Out) {
        self.expire(now, out);
        let keys: Vec<Key> = self.leases.keys().cloned().collect();
        for key in keys {
            let Some(mut lease) = self.leases.remove(&key) else { continue };
            self.due(now, &key, &mut lease, out);
            self.leases.insert(key, lease);
        }
    }

    fn due(&mut self, now: Time, key: &Key, lease: &mut Lease, out: Out) {
        match &mut lease.state {
            State::Waiting(at) if now >= *at => {
                let ballot = self.next_ballot();
                lease.state = State::Trying(self.ask(now, key, ballot, Wish::Prepare, out));
            }
            State::Waiting(_) => {}
            State::Trying(t) if now >= t.asked + self.terms.round => self.fail(now, key, lease, out),
            State::Trying(t) => self.again(now, key, t, out),
            State::Holding { ballot, renew, extending, .. } => match extending {
                Some(t) if now < t.asked + self.terms.round => self.again(now, key, t, out),
                // An upgrade that failed is tried anew with a higher ballot still.
                Some(t) if t.wish == Wish::Prepare || t.ballot != *ballot => {
                    let higher = self.next_ballot();
                    *extending = Some(self.ask(now, key, higher, Wish::Prepare, out));
                }
                Some(_) => *extending = Some(self.ask(now, key, *ballot, Wish::Propose, out)),
                None if now >= *renew => {
                    *extending = Some(self.ask(now, key, *ballot, Wish::Propose, out));
                }
                None => {}
            },
        }
    }

    fn next_ballot(&mut self) -> Ballot {
        self.highest += 1;
        Ballot { number: self.highest, life: self.life }
    }

    fn ask(&mut self, now: Time, key: &Key, ballot: Ballot, wish: Wish, out: Out) -> Try {
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn;
        let mut t = Try {
            ballot,
            turn,
            wish,
            asked: now,
            resend: now,
            yes: 0,
            no: 0,
            why: Refusal::Unheard,
            hope: None,
        };
        self.again(now, key, &mut t, out);
        t
    }

    /// Sends the question to all that have not agreed. The time from which it counts stays that of the first.
    fn again(&self, now: Time, key: &Key, t: &mut Try, out: Out) {
        if now < t.resend {
            return;
        }
        t.resend = now + self.terms.round / RESEND;
        let silent = self.terms.voters.iter().enumerate().filter(|(n, _)| t.yes & (1 << n) == 0);
        for (_, voter) in silent {
            let ask = Request { key: key.clone(), ballot: t.ballot, turn: t.turn, wish: t.wish };
            out.push(Action::Send(*voter, ask));
        }
    }

    fn give_back(&self, key: &Key, ballot: Ballot, wish: Wish, out: Out) {
        for voter in &self.terms.voters {
            out.push(Action::Send(*voter, Request { key: key.clone(), ballot, turn: 0, wish }));
        }
    }

    /// A try is over without a majority: gives back what it was promised, and waits.
    fn fail(&mut self, now: Time, key: &Key, lease: &mut Lease, out: Out) {
        let State::Trying(t) = &lease.state else { return };
        let (why, ballot, hope) = (t.why, t.ballot, t.hope);
        self.give_back(key, ballot, Wish::Yield, out);
        out.push(Action::Refused(key.clone(), why));
        // Of many that wait for one lease none asks again before it can be free, and not all then.
        let round = self.terms.round;
        let spread = round * (1 << lease.failures.min(BACK_OFF));
        let pause = hope.unwrap_or(Duration::ZERO).min(self.terms.ttl);
        lease.failures += 1;
        lease.state = State::Waiting(now + pause + round / 10 + self.jitter(key, ballot, spread));
    }

    /// A part of a time that differs between processes, keys and tries.
    fn jitter(&self, key: &Key, ballot: Ballot, most: Duration) -> Duration {
        let text = format!("{key} {} {}", self.life.0, ballot.number);
        most * (xxh3_64(text.as_bytes()) >> 48) as u32 / (1 << 16)
    }

    /// Takes in a voter's answer.
    pub fn handle_response(&mut self, now: Time, from: SocketAddr, answer: &Response, out: Out) {
        self.expire(now, out);
        let Some(mut lease) = self.leases.remove(&answer.key) else { return };
        if let Some(voter) = self.terms.voters.iter().position(|v| *v == from) {
            self.hear(now, voter, answer, &mut lease, out);
        }
        self.leases.insert(answer.key.clone(), lease);
    }

    fn hear(&mut self, now: Time, voter: usize, answer: &Response, lease: &mut Lease, out: Out) {
        if let Word::Above(number) = answer.word {
            self.highest = self.highest.max(number);
        }
        if answer.word == Word::Free {
            if let State::Waiting(at) = &mut lease.state {
                // Others may have been told too.
                let ballot = Ballot { number: self.highest, life: self.life };
                *at = (*at).min(now + self.jitter(&answer.key, ballot, self.terms.round / 20));
                lease.failures = 0;
            }
            return;
        }
        let (terms, key) = (self.terms.clone(), &answer.key);
        let held = match &mut lease.state {
            State::Waiting(_) => return,
            State::Trying(t) => t,
            State::Holding { extending: Some(t), .. } => t,
            State::Holding { .. } => return,
        };
        if (held.ballot, held.turn, held.wish) != (answer.ballot, answer.turn, answer.wish) {
            return;
        }
        let bit = 1 << voter;
        match answer.word {
            Word::Promised | Word::Accepted => (held.yes, held.no) = (held.yes | bit, held.no & !bit),
            word => {
                held.no |= bit & !held.yes;
                let (why, hope) = match word {
                    Word::Busy(left) => (Refusal::Busy, Some(left)),
                    Word::Abstains(left) => (Refusal::Abstaining, Some(left)),
                    Word::Elsewhere(_) => (Refusal::Elsewhere, None),
                    Word::Full => (Refusal::Full, None),
                    _ => (Refusal::Behind, None),
                };
                held.why = why;
                held.hope = held.hope.max(hope);
            }
        }
        let (yes, no) = (held.yes.count_ones() as usize, held.no.count_ones() as usize);
        if yes >= terms.majority() {
            self.agreed(now, key, lease, out);
        } else if no > terms.voters.len() - terms.majority() {
            match &mut lease.state {
                State::Trying(_) => self.fail(now, key, lease, out),
                // Voters that started since know higher floors: the token rises while the lease is held.
                State::Holding { extending, .. } if matches!(answer.word, Word::Above(_)) => {
                    let higher = self.next_ballot();
                    *extending = Some(self.ask(now, key, higher, Wish::Prepare, out));
                }
                State::Holding { .. } | State::Waiting(_) => {}
            }
        }
    }

    /// A majority agreed to a try.
    fn agreed(&mut self, now: Time, key: &Key, lease: &mut Lease, out: Out) {
        let (t, first) = match &lease.state {
            State::Trying(t) => (t.clone(), true),
            State::Holding { extending: Some(t), .. } => (t.clone(), false),
            _ => return,
        };
        if t.wish == Wish::Prepare {
            // A promise that is older than a round may have been forgotten by a voter that abstained since.
            if now >= t.asked + self.terms.round {
                return;
            }
            let proposed = self.ask(now, key, t.ballot, Wish::Propose, out);
            match &mut lease.state {
                State::Holding { extending, .. } => *extending = Some(proposed),
                state => *state = State::Trying(proposed),
            }
            return;
        }
        let until = t.asked + self.terms.held();
        if now >= until {
            return;
        }
        let renew = t.asked + self.terms.held() / RENEW;
        lease.failures = 0;
        lease.state = State::Holding { ballot: t.ballot, until, renew, extending: None };
        let grant = self.grant(key, t.ballot, until);
        out.push(if first { Action::Granted(grant) } else { Action::Extended(grant) });
    }
}
