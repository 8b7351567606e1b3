//! A voter: keeps its promises and grants in memory only.

use crate::message::{Ballot, CandidateId, Key, Op, Reply, Request, Response};
use crate::terms::Terms;
use crate::Time;
use std::collections::BTreeMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Most keys that a voter keeps.
const MAX_KEYS: usize = 4096;
/// Most candidates per key that are remembered for notification when the lease becomes available.
const MAX_WAITING: usize = 16;

/// A voter's state for one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct KeyState {
    /// The highest ballot promised; lower ones are refused.
    promised: Option<Ballot>,
    /// Until then, ballots of other candidates are refused, too: attempts that interleave would all
    /// fail.
    reserved_until: Time,
    /// The accepted ballot and the end of its grant.
    accepted: Option<(Ballot, Time)>,
    /// Waiting candidates, the latest request last.
    waiting: Vec<(CandidateId, SocketAddr)>,
}

impl KeyState {
    fn live_grant(&self, now: Time) -> Option<(Ballot, Time)> {
        self.accepted.filter(|(_, until)| now < *until)
    }
}

/// The voter state machine; see the crate documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    terms: Arc<Terms>,
    /// Checksum of the terms, compared with that of each request.
    checksum: u64,
    abstain_until: Time,
    /// Ballots up to this number may have been granted and forgotten.
    floor: u64,
    entries: BTreeMap<Key, KeyState>,
}

impl Voter {
    /// A voter without any state. `floor` has to be above every token granted before the voters
    /// lost their memory; the wall-clock time is, unless the clock was set back.
    pub fn new(terms: Arc<Terms>, floor: u64, now: Time) -> Self {
        let abstain_until = now + terms.abstention();
        let floor = if terms.safeguards.floor { floor } else { 0 };
        Voter { checksum: terms.checksum(), terms, abstain_until, floor, entries: BTreeMap::new() }
    }

    /// How long the voter still abstains.
    pub fn abstention_left(&self, now: Time) -> Option<Time> {
        self.abstain_until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Keys with a valid grant, with the token and the remaining time.
    pub fn granted(&self, now: Time) -> impl Iterator<Item = (&Key, Ballot, Time)> {
        self.entries
            .iter()
            .filter_map(move |(key, e)| e.live_grant(now).map(|(b, until)| (key, b, until - now)))
    }

    /// Responds to a request, and notifies a waiting candidate if a lease became available.
    pub fn handle_request(
        &mut self,
        now: Time,
        from: SocketAddr,
        checksum: u64,
        request: &Request,
        out: &mut Vec<(SocketAddr, Response)>,
    ) {
        let mut send = |to, ballot, reply| {
            out.push((
                to,
                Response {
                    key: request.key.clone(),
                    ballot,
                    sequence: request.sequence,
                    op: request.op,
                    reply,
                },
            ));
        };
        if checksum != self.checksum {
            return send(from, request.ballot, Reply::TermsMismatch(self.checksum));
        }
        if let Some(left) = self.abstention_left(now) {
            return send(from, request.ballot, Reply::Abstaining(left));
        }
        if !self.entries.contains_key(&request.key)
            && self.entries.len() >= MAX_KEYS
            && !self.evict_free_key(now)
        {
            return send(from, request.ballot, Reply::Full);
        }
        let floor = self.floor;
        let state = self.entries.entry(request.key.clone()).or_default();
        match request.op {
            Op::Prepare => {
                let reply = state.prepare(now, request.ballot, floor, &self.terms);
                if matches!(reply, Reply::Busy(_)) {
                    state.add_waiter(request.ballot.candidate, from);
                }
                send(from, request.ballot, reply);
            }
            Op::Propose => send(from, request.ballot, state.propose(now, request.ballot, floor, &self.terms)),
            Op::Release | Op::Yield => {
                if state.promised == Some(request.ballot) {
                    state.reserved_until = Time::ZERO;
                }
                let was_held = state.live_grant(now).is_some_and(|(b, _)| b == request.ballot);
                if was_held {
                    state.accepted = None;
                }
                if request.op == Op::Release {
                    state.waiting.retain(|(candidate, _)| *candidate != request.ballot.candidate);
                    // Notify only if the lease was actually held. If others were notified of each
                    // failed attempt, they would all retry at once and keep failing each other for
                    // as long as there are many of them.
                    if let Some((candidate, to)) = state.pick_waiter(request.ballot).filter(|_| was_held) {
                        send(to, Ballot { number: request.ballot.number, candidate }, Reply::Available);
                    }
                }
            }
        }
    }

    /// Evicts a key that nobody holds; the floor preserves all that matters of it. Returns false if
    /// all keys are in use.
    fn evict_free_key(&mut self, now: Time) -> bool {
        let free = |e: &KeyState| e.live_grant(now).is_none() && e.reserved_until <= now;
        let Some(key) = self.entries.iter().find(|(_, e)| free(e)).map(|(k, _)| k.clone()) else {
            return false;
        };
        let promised = self.entries.remove(&key).and_then(|e| e.promised);
        self.floor = self.floor.max(promised.map_or(0, |b| b.number));
        true
    }
}

impl KeyState {
    /// Selects the waiting candidate to notify after a release. Requests arrive at each voter in a
    /// different order, so picking the first one would notify a different candidate at each voter,
    /// and their attempts would interleave. The choice therefore depends only on what all voters
    /// know.
    fn pick_waiter(&self, given_up: Ballot) -> Option<(CandidateId, SocketAddr)> {
        let rank = |id: CandidateId| xxh3_64(&[id.0.to_le_bytes(), given_up.number.to_le_bytes()].concat());
        self.waiting.iter().copied().min_by_key(|(candidate, _)| rank(*candidate))
    }

    fn add_waiter(&mut self, candidate: CandidateId, from: SocketAddr) {
        self.waiting.retain(|(l, _)| *l != candidate);
        // The oldest entry may be gone; a candidate that still waits asks again.
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push((candidate, from));
    }

    fn prepare(&mut self, now: Time, ballot: Ballot, floor: u64, terms: &Terms) -> Reply {
        if self.promised == Some(ballot) || !terms.safeguards.promises {
            return Reply::Promised;
        }
        if let Some((_, until)) = self.live_grant(now).filter(|(b, _)| b.candidate != ballot.candidate) {
            return Reply::Busy(until - now);
        }
        let promised = self.promised.map_or(0, |p| p.number).max(floor);
        if ballot.number <= promised {
            return Reply::BallotTooLow(promised);
        }
        if self.reserved_until > now && self.promised.is_some_and(|p| p.candidate != ballot.candidate) {
            return Reply::Busy(self.reserved_until - now);
        }
        (self.promised, self.reserved_until) = (Some(ballot), now + terms.round);
        Reply::Promised
    }

    fn propose(&mut self, now: Time, ballot: Ballot, floor: u64, terms: &Terms) -> Reply {
        let is_current = |p: Ballot| ballot.number > p.number || ballot == p;
        let acceptable = ballot.number > floor && self.promised.is_none_or(is_current);
        if !acceptable && terms.safeguards.promises {
            return Reply::BallotTooLow(self.promised.map_or(0, |p| p.number).max(floor));
        }
        if let Some((_, until)) = self.live_grant(now).filter(|(b, _)| b.candidate != ballot.candidate) {
            if terms.safeguards.promises {
                return Reply::Busy(until - now);
            }
        }
        self.promised = Some(ballot);
        self.reserved_until = Time::ZERO;
        self.accepted = Some((ballot, now + terms.ttl));
        self.waiting.retain(|(candidate, _)| *candidate != ballot.candidate);
        Reply::Accepted
    }
}
