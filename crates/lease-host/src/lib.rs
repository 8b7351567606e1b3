//! Runs a [`Voter`] where this node is one, and a [`Candidate`] for each wish, through the socket of a [`Cluster`].
//!
//! It decides nothing. Its clock is the system's since boot, which goes on while a machine is suspended. Every wish is a life of its own, so
//! that two on one node stand to each other like two on different nodes.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod settings;
mod tasks;

pub use settings::{LeaseSettings, LeaseTable};
pub use tasks::{running_tasks, SingletonTask, TaskLease, Tasks};

use birchswitch_cluster_host::Cluster;
use birchswitch_lease::{
    Action, Candidate, CandidateId, Held, Key, KeyError, Message, Refusal, Terms, Time, Turns, Voter,
};
use rustix::time::{clock_gettime, ClockId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

/// The cluster's lane for leases.
const LANE: u8 = 1;
/// Most wishes of one node at a time.
pub const WISHES: usize = 256;
/// Tokens that fit into a millisecond of the floor, as a power of two.
const FLOOR_BITS: u32 = 20;

/// How a wish stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Not held yet; what the last try met, if there was one.
    Waiting(Option<Refusal>),
    /// Held.
    Held(Held),
    /// Held once, and over for good.
    Lost,
}

struct Wish {
    candidate: Candidate,
    name: String,
    turns: Turns,
    key: Key,
    state: State,
    /// Whoever has it is to end what it does and release it.
    ending: bool,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Leases granted to this node.
    pub granted: u64,
    /// Lost without having been given up.
    pub lost: u64,
    /// Tries that came to nothing.
    pub refused: u64,
    /// Grants that this node voted for, extensions included.
    pub votes: u64,
}

/// The leases of a node. Runs on a `LocalSet`.
pub struct Leases {
    terms: Arc<Terms>,
    /// Of the terms: it goes with every question.
    sum: u64,
    rate: u32,
    cluster: Rc<Cluster>,
    own: SocketAddr,
    voter: RefCell<Option<Voter>>,
    wishes: RefCell<BTreeMap<CandidateId, Wish>>,
    /// What this node says to itself.
    local: RefCell<VecDeque<Message>>,
    drawn: Cell<u64>,
    seed: u64,
    floor: u64,
    changed: Notify,
    counts: Cell<Counts>,
    /// This node leaves: nothing more is wanted.
    closed: Cell<bool>,
}

/// A lease that is waited for or held. Dropped without [`LeaseHandle::release`] it is extended no more and runs out by itself: what was done
/// under it may go on.
pub struct LeaseHandle {
    leases: Rc<Leases>,
    life: CandidateId,
}

impl Leases {
    /// Takes up the lane. This node votes if its address among the members is one of the voters'.
    pub fn open(compiled: &LeaseSettings, cluster: &Rc<Cluster>, seed: u64) -> Rc<Self> {
        let terms = Arc::new(compiled.terms.clone());
        let own = cluster.core().own().address;
        let day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let floor = (day.as_millis() as u64) << FLOOR_BITS;
        let leases = Leases {
            sum: terms.checksum(),
            rate: compiled.rate,
            cluster: cluster.clone(),
            own,
            voter: RefCell::default(),
            wishes: RefCell::default(),
            local: RefCell::default(),
            drawn: Cell::new(0),
            seed: seed ^ day.as_nanos() as u64 ^ u64::from(std::process::id()) << 40,
            floor,
            changed: Notify::new(),
            counts: Cell::default(),
            closed: Cell::default(),
            terms,
        };
        if leases.terms.voters.contains(&own) {
            *leases.voter.borrow_mut() = Some(Voter::new(leases.terms.clone(), floor, leases.now()));
            tracing::info!(target: "lease", kind = "votes", abstains_ms = leases.terms.abstention().as_millis() as u64);
        }
        let leases = Rc::new(leases);
        let weak = Rc::downgrade(&leases);
        let takes = move |from: SocketAddr, bytes: &[u8]| {
            if let (Some(leases), Some(message)) = (weak.upgrade(), Message::decode(bytes)) {
                leases.take(from, &message);
                leases.settle();
            }
        };
        cluster.open_lane(LANE, Rc::new(takes));
        leases
    }

    /// By this process's own clock, which counts suspended time too.
    fn now(&self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        let now = Duration::new(now.tv_sec as u64, now.tv_nsec as u32);
        now * self.rate / 1000
    }

    /// Does what is due, for good.
    pub async fn run(self: Rc<Self>) {
        loop {
            let next = self.wishes.borrow().values().map(|w| w.candidate.next_wake()).min();
            let pause =
                next.map_or(Duration::from_secs(1), |at| at.saturating_sub(self.now()) * 1000 / self.rate);
            tokio::select! {
                () = self.changed.notified() => {}
                () = tokio::time::sleep(pause) => {
                    let lives: Vec<CandidateId> = self.wishes.borrow().keys().copied().collect();
                    lives.into_iter().for_each(|life| self.with(life, |wish, now, out| wish.candidate.wake(now, out)));
                    self.settle();
                }
            }
        }
    }

    /// Wants one of so many slots of a name from now on.
    pub fn acquire(self: &Rc<Self>, name: &str, slots: u16) -> Result<LeaseHandle, String> {
        Key::new(name, 0).map_err(|e: KeyError| e.to_string())?;
        if self.closed.get() {
            return Err("this node is leaving".to_owned());
        }
        if self.wishes.borrow().len() >= WISHES {
            return Err(format!("{WISHES} leases are wanted here already"));
        }
        self.drawn.set(self.drawn.get() + 1);
        let life = CandidateId(xxh3_64(&[self.seed.to_le_bytes(), self.drawn.get().to_le_bytes()].concat()));
        // Waiting candidates begin at different slots.
        let slot = (life.0 % u64::from(slots.max(1))) as u16;
        let key = Key::new(name, slot).map_err(|e| e.to_string())?;
        let candidate = Candidate::new(self.terms.clone(), life, self.floor);
        let wish = Wish {
            candidate,
            name: name.to_owned(),
            turns: Turns::new(slots),
            key: key.clone(),
            state: State::Waiting(None),
            ending: false,
        };
        self.wishes.borrow_mut().insert(life, wish);
        self.with(life, |wish, now, out| wish.candidate.acquire(now, key, out));
        self.settle();
        Ok(LeaseHandle { leases: self.clone(), life })
    }

    /// Tells whoever has a lease of that name here, or any where none is named, to end what it does. How many were told.
    pub fn request_end(&self, name: Option<&str>) -> usize {
        let mut wishes = self.wishes.borrow_mut();
        let these = wishes.values_mut().filter(|w| name.is_none_or(|n| w.name == n));
        these.map(|w| w.ending = true).count()
    }

    /// The node leaves: whoever has a lease here is told to end what it does, and nothing more is wanted.
    pub fn close(&self) {
        self.closed.set(true);
        self.request_end(None);
    }

    fn release(&self, life: CandidateId) {
        self.with(life, |wish, now, out| {
            let key = wish.key.clone();
            if let State::Held(held) = &wish.state {
                tracing::info!(target: "lease", kind = "released", lease = %key, token = held.token);
            }
            wish.candidate.release(now, &key, out);
        });
        self.wishes.borrow_mut().remove(&life);
        self.settle();
    }

    fn with(&self, life: CandidateId, act: impl FnOnce(&mut Wish, Time, &mut Vec<Action>)) {
        let (now, mut out) = (self.now(), Vec::new());
        if let Some(wish) = self.wishes.borrow_mut().get_mut(&life) {
            act(wish, now, &mut out);
        }
        self.apply(life, out);
    }

    fn apply(&self, life: CandidateId, actions: Vec<Action>) {
        let mut counts = self.counts.get();
        for action in actions {
            match action {
                Action::Send(to, ask) => self.send(to, Message::Request(self.sum, ask)),
                Action::Granted(held) => {
                    counts.granted += 1;
                    self.told(life, "granted", held);
                }
                Action::Extended(held) => self.told(life, "extended", held),
                Action::Lost(key) => {
                    counts.lost += 1;
                    tracing::warn!(target: "lease", kind = "lost", lease = %key);
                    if let Some(wish) = self.wishes.borrow_mut().get_mut(&life) {
                        wish.state = State::Lost;
                        // Whoever used it has to begin anew.
                        wish.candidate.release(self.now(), &key, &mut Vec::new());
                    }
                }
                Action::Refused(key, why) => {
                    counts.refused += 1;
                    self.refused(life, &key, why);
                }
            }
        }
        self.counts.set(counts);
    }

    fn told(&self, life: CandidateId, kind: &'static str, held: Held) {
        let left = held.until.saturating_sub(self.now());
        tracing::info!(target: "lease", kind, lease = %held.key, token = held.token, left_ms = left.as_millis() as u64);
        if let Some(wish) = self.wishes.borrow_mut().get_mut(&life) {
            wish.state = State::Held(held);
        }
    }

    /// One that would take any slot goes on to the next; after all of them it waits.
    fn refused(&self, life: CandidateId, key: &Key, why: Refusal) {
        tracing::debug!(target: "lease", kind = "refused", lease = %key, why = ?why);
        let mut out = Vec::new();
        if let Some(wish) = self.wishes.borrow_mut().get_mut(&life) {
            wish.state = State::Waiting(Some(why));
            let next = wish.turns.refused(key.slot(), why).map(|slot| Key::new(&wish.name, slot));
            if let Some(Ok(next)) = next {
                let now = self.now();
                wish.candidate.release(now, key, &mut out);
                wish.key = next.clone();
                wish.candidate.acquire(now, next, &mut out);
            }
        }
        self.apply(life, out);
    }

    fn send(&self, to: SocketAddr, message: Message) {
        if to == self.own {
            self.local.borrow_mut().push_back(message);
        } else {
            self.cluster.send_payload(to, LANE, message.encode());
        }
    }

    /// Hands over what this node said to itself, and looks at the time anew.
    fn settle(&self) {
        loop {
            let message = self.local.borrow_mut().pop_front();
            let Some(message) = message else { break };
            self.take(self.own, &message);
        }
        self.changed.notify_one();
    }

    fn take(&self, from: SocketAddr, message: &Message) {
        match message {
            Message::Request(sum, ask) => {
                let mut answers = Vec::new();
                if let Some(voter) = self.voter.borrow_mut().as_mut() {
                    voter.handle_request(self.now(), from, *sum, ask, &mut answers);
                }
                for (to, answer) in answers {
                    if answer.word == birchswitch_lease::Word::Accepted {
                        let mut counts = self.counts.get();
                        counts.votes += 1;
                        self.counts.set(counts);
                    }
                    self.send(to, Message::Response(answer));
                }
            }
            Message::Response(answer) => {
                self.with(answer.ballot.life, |wish, now, out| {
                    wish.candidate.handle_response(now, from, answer, out)
                });
            }
        }
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Wishes that are held, and those that are not.
    pub fn held_and_waiting(&self) -> [usize; 2] {
        let (wishes, now) = (self.wishes.borrow(), self.now());
        let held = wishes.values().filter(|w| w.candidate.held(now).next().is_some()).count();
        [held, wishes.len() - held]
    }

    /// A line each: what is held or waited for here, and, where this node votes, what it granted.
    pub fn status_text(&self) -> String {
        let now = self.now();
        let mut text = String::from("# lease where state token left_ms\n");
        // Writing to a string never fails.
        for wish in self.wishes.borrow().values() {
            let (key, ms) = (&wish.key, |until: Time| until.saturating_sub(now).as_millis());
            let _ = match &wish.state {
                State::Held(held) => writeln!(text, "{key} here held {} {}", held.token, ms(held.until)),
                State::Waiting(why) => {
                    let why = why.map_or("asking".to_owned(), |w| format!("{w:?}").to_lowercase());
                    writeln!(text, "{key} here {why} - -")
                }
                State::Lost => writeln!(text, "{key} here lost - -"),
            };
        }
        if let Some(voter) = self.voter.borrow().as_ref() {
            if let Some(left) = voter.abstains(now) {
                let _ = writeln!(text, "# this voter abstains for {} ms", left.as_millis());
            }
            for (key, ballot, left) in voter.granted(now) {
                let _ = writeln!(text, "{key} vote granted {} {}", ballot.number, left.as_millis());
            }
        }
        text
    }
}

impl LeaseHandle {
    /// How it stands, by the clock as it is now.
    pub fn state(&self) -> State {
        let (wishes, now) = (self.leases.wishes.borrow(), self.leases.now());
        let Some(wish) = wishes.get(&self.life).filter(|w| !w.ending) else { return State::Lost };
        match &wish.state {
            State::Held(held) if now >= held.until => State::Lost,
            state => state.clone(),
        }
    }

    /// Gives it up: what was done under it is over.
    pub fn release(self) {
        self.leases.release(self.life);
    }

    /// For how long what was begun under it may still go on, to come to its end. None: it is not held, or its guard is over.
    pub fn left(&self) -> Option<Duration> {
        let (wishes, now) = (self.leases.wishes.borrow(), self.leases.now());
        let State::Held(held) = &wishes.get(&self.life)?.state else { return None };
        let left = held.guard.checked_sub(now).filter(|l| !l.is_zero())?;
        Some(left * 1000 / self.leases.rate)
    }

    /// Whether whoever has it was told to end what it does.
    pub fn ending(&self) -> bool {
        self.leases.wishes.borrow().get(&self.life).is_none_or(|w| w.ending)
    }

    /// For how long an act may still go on. None: it is not held, or its guard is over.
    pub fn guard(&self) -> Option<(Held, Duration)> {
        let State::Held(held) = self.state() else { return None };
        let left = held.guard.checked_sub(self.leases.now()).filter(|l| !l.is_zero())?;
        Some((held, left * 1000 / self.leases.rate))
    }
}

impl Drop for LeaseHandle {
    fn drop(&mut self) {
        if let Some(wish) = self.leases.wishes.borrow_mut().remove(&self.life) {
            tracing::info!(target: "lease", kind = "abandoned", lease = %wish.key);
        }
    }
}
