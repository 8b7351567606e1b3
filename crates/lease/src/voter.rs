//! One voter: what it promised and granted, in memory alone.

use crate::message::{Ballot, CandidateId, Key, Request, Response, Wish, Word};
use crate::terms::Terms;
use crate::Time;
use std::collections::BTreeMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Most keys that a voter keeps.
const KEYS: usize = 4096;
/// Most candidates that wait for a word when a key becomes free.
const WAITING: usize = 16;

/// What a voter holds of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    /// No ballot of a lower number.
    promised: Option<Ballot>,
    /// Until then no other candidate's ballot either: tries that cross each other would all fail.
    reserved: Time,
    /// Whose it is, and until when.
    accepted: Option<(Ballot, Time)>,
    /// Who waits, whoever asked last at the end.
    waiting: Vec<(CandidateId, SocketAddr)>,
}

impl Entry {
    fn live(&self, now: Time) -> Option<(Ballot, Time)> {
        self.accepted.filter(|(_, until)| now < *until)
    }
}

/// See the crate's own words.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    terms: Arc<Terms>,
    /// Of the terms: it comes with every question.
    sum: u64,
    abstains: Time,
    /// Ballots up to this number may have been granted and forgotten.
    floor: u64,
    entries: BTreeMap<Key, Entry>,
}

impl Voter {
    /// A voter that starts from nothing. `floor` has to lie above every token that was granted before all voters' memory was lost; the
    /// time of day does, unless it was set back.
    pub fn new(terms: Arc<Terms>, floor: u64, now: Time) -> Self {
        let abstains = now + terms.abstention();
        let floor = if terms.safeguards.floor { floor } else { 0 };
        Voter { sum: terms.checksum(), terms, abstains, floor, entries: BTreeMap::new() }
    }

    /// How long it still abstains.
    pub fn abstains(&self, now: Time) -> Option<Time> {
        self.abstains.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Keys that it holds to be somebody's, with token and time left.
    pub fn granted(&self, now: Time) -> impl Iterator<Item = (&Key, Ballot, Time)> {
        self.entries.iter().filter_map(move |(key, e)| e.live(now).map(|(b, until)| (key, b, until - now)))
    }

    /// Answers a question, and sends word to others where a key became free.
    pub fn handle_request(
        &mut self,
        now: Time,
        from: SocketAddr,
        sum: u64,
        ask: &Request,
        out: &mut Vec<(SocketAddr, Response)>,
    ) {
        let mut say = |to, ballot, word| {
            out.push((to, Response { key: ask.key.clone(), ballot, turn: ask.turn, wish: ask.wish, word }));
        };
        if sum != self.sum {
            return say(from, ask.ballot, Word::Elsewhere(self.sum));
        }
        if let Some(left) = self.abstains(now) {
            return say(from, ask.ballot, Word::Abstains(left));
        }
        if !self.entries.contains_key(&ask.key) && self.entries.len() >= KEYS && !self.forget(now) {
            return say(from, ask.ballot, Word::Full);
        }
        let floor = self.floor;
        let entry = self.entries.entry(ask.key.clone()).or_default();
        match ask.wish {
            Wish::Prepare => {
                let word = entry.prepare(now, ask.ballot, floor, &self.terms);
                if matches!(word, Word::Busy(_)) {
                    entry.wait(ask.ballot.life, from);
                }
                say(from, ask.ballot, word);
            }
            Wish::Propose => say(from, ask.ballot, entry.propose(now, ask.ballot, floor, &self.terms)),
            Wish::Release | Wish::Yield => {
                if entry.promised == Some(ask.ballot) {
                    entry.reserved = Time::ZERO;
                }
                let had = entry.live(now).is_some_and(|(b, _)| b == ask.ballot);
                if had {
                    entry.accepted = None;
                }
                if ask.wish == Wish::Release {
                    entry.waiting.retain(|(life, _)| *life != ask.ballot.life);
                    // Only what was held comes free. Were others told of every try that failed, each would try at once, and
                    // they would fail one another for as long as there are many.
                    if let Some((life, to)) = entry.next(ask.ballot).filter(|_| had) {
                        say(to, Ballot { number: ask.ballot.number, life }, Word::Free);
                    }
                }
            }
        }
    }

    /// Makes room: of a key that nobody has, the floor keeps all that matters. False: all are somebody's.
    fn forget(&mut self, now: Time) -> bool {
        let free = |e: &Entry| e.live(now).is_none() && e.reserved <= now;
        let Some(key) = self.entries.iter().find(|(_, e)| free(e)).map(|(k, _)| k.clone()) else {
            return false;
        };
        let promised = self.entries.remove(&key).and_then(|e| e.promised);
        self.floor = self.floor.max(promised.map_or(0, |b| b.number));
        true
    }
}

impl Entry {
    /// Who is told that a ballot was given up. Questions reach each voter in an order of its own: whoever came first there would be
    /// another at each, and their tries would cross. So it is drawn by what all voters know.
    fn next(&self, given_up: Ballot) -> Option<(CandidateId, SocketAddr)> {
        let drawn =
            |life: CandidateId| xxh3_64(&[life.0.to_le_bytes(), given_up.number.to_le_bytes()].concat());
        self.waiting.iter().copied().min_by_key(|(life, _)| drawn(*life))
    }

    fn wait(&mut self, life: CandidateId, from: SocketAddr) {
        self.waiting.retain(|(l, _)| *l != life);
        // Who asked longest ago may have gone since: who waits asks again.
        if self.waiting.len() >= WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push((life, from));
    }

    fn prepare(&mut self, now: Time, ballot: Ballot, floor: u64, terms: &Terms) -> Word {
        if self.promised == Some(ballot) || !terms.safeguards.promises {
            return Word::Promised;
        }
        if let Some((_, until)) = self.live(now).filter(|(b, _)| b.life != ballot.life) {
            return Word::Busy(until - now);
        }
        let promised = self.promised.map_or(0, |p| p.number).max(floor);
        if ballot.number <= promised {
            return Word::Above(promised);
        }
        if self.reserved > now && self.promised.is_some_and(|p| p.life != ballot.life) {
            return Word::Busy(self.reserved - now);
        }
        (self.promised, self.reserved) = (Some(ballot), now + terms.round);
        Word::Promised
    }

    fn propose(&mut self, now: Time, ballot: Ballot, floor: u64, terms: &Terms) -> Word {
        let above = |p: Ballot| ballot.number > p.number || ballot == p;
        let fits = ballot.number > floor && self.promised.is_none_or(above);
        if !fits && terms.safeguards.promises {
            return Word::Above(self.promised.map_or(0, |p| p.number).max(floor));
        }
        if let Some((_, until)) = self.live(now).filter(|(b, _)| b.life != ballot.life) {
            if terms.safeguards.promises {
                return Word::Busy(until - now);
            }
        }
        self.promised = Some(ballot);
        self.reserved = Time::ZERO;
        self.accepted = Some((ballot, now + terms.ttl));
        self.waiting.retain(|(life, _)| *life != ballot.life);
        Word::Accepted
    }
}
