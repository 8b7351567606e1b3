//! Runs a [`Voter`] if this node is one, and a [`Candidate`] for each claim, over the socket of a
//! [`Cluster`].
//!
//! This crate makes no decisions of its own. Its clock is the system's time since boot, which keeps
//! running while the machine is suspended. Each claim is a candidate of its own, so that two claims
//! on one node compete like claims on different nodes.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod settings;
mod tasks;

pub use settings::{LeaseSettings, LeaseTable};
pub use tasks::{running_tasks, SingletonTask, TaskLease, Tasks};

use birchswitch_cluster_host::Cluster;
use birchswitch_lease::{
    Action, Candidate, CandidateId, Grant, Key, KeyError, Message, Refusal, SlotRotation, Terms, Time, Voter,
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

/// The cluster lane for lease messages.
const LANE: u8 = 1;
/// Most claims of one node at a time.
pub const MAX_CLAIMS: usize = 256;
/// Binary logarithm of the number of tokens per millisecond of the floor.
const FLOOR_BITS: u32 = 20;

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Not held yet, with the refusal of the last attempt, if any.
    Waiting(Option<Refusal>),
    /// Held.
    Held(Grant),
    /// No longer held, permanently.
    Lost,
}

struct Claim {
    candidate: Candidate,
    name: String,
    rotation: SlotRotation,
    key: Key,
    state: State,
    /// The holder has been asked to finish its work and release the lease.
    ending: bool,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Leases granted to this node.
    pub granted: u64,
    /// Leases that expired without having been released.
    pub lost: u64,
    /// Failed attempts.
    pub refused: u64,
    /// Grants that this node voted for, including renewals.
    pub votes: u64,
}

/// The leases of a node. Has to run on a `LocalSet`.
pub struct Leases {
    terms: Arc<Terms>,
    /// Checksum of the terms, sent with each request.
    checksum: u64,
    rate: u32,
    cluster: Rc<Cluster>,
    own: SocketAddr,
    voter: RefCell<Option<Voter>>,
    claims: RefCell<BTreeMap<CandidateId, Claim>>,
    /// Messages from this node to itself.
    local: RefCell<VecDeque<Message>>,
    claims_made: Cell<u64>,
    seed: u64,
    floor: u64,
    changed: Notify,
    counts: Cell<Counts>,
    /// This node is leaving and acquires nothing more.
    closed: Cell<bool>,
}

/// A lease that is waited for or held. If dropped without [`LeaseHandle::release`], the lease is no
/// longer renewed and expires by itself, because work done under it may still be going on.
pub struct LeaseHandle {
    leases: Rc<Leases>,
    id: CandidateId,
}

impl Leases {
    /// Registers the lease lane. This node votes if its member address is one of the voters'.
    pub fn open(settings: &LeaseSettings, cluster: &Rc<Cluster>, seed: u64) -> Rc<Self> {
        let terms = Arc::new(settings.terms.clone());
        let own = cluster.core().own().address;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let floor = (since_epoch.as_millis() as u64) << FLOOR_BITS;
        let leases = Leases {
            checksum: terms.checksum(),
            rate: settings.rate,
            cluster: cluster.clone(),
            own,
            voter: RefCell::default(),
            claims: RefCell::default(),
            local: RefCell::default(),
            claims_made: Cell::new(0),
            seed: seed ^ since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()) << 40,
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
        let handler = move |from: SocketAddr, bytes: &[u8]| {
            if let (Some(leases), Some(message)) = (weak.upgrade(), Message::decode(bytes)) {
                leases.handle_message(from, &message);
                leases.deliver_local();
            }
        };
        cluster.open_lane(LANE, Rc::new(handler));
        leases
    }

    /// The current time on this process's lease clock, which includes suspended time.
    fn now(&self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        let now = Duration::new(now.tv_sec as u64, now.tv_nsec as u32);
        now * self.rate / 1000
    }

    /// Runs indefinitely and processes what is due.
    pub async fn run(self: Rc<Self>) {
        loop {
            let next = self.claims.borrow().values().map(|c| c.candidate.next_wake()).min();
            let pause =
                next.map_or(Duration::from_secs(1), |at| at.saturating_sub(self.now()) * 1000 / self.rate);
            tokio::select! {
                () = self.changed.notified() => {}
                () = tokio::time::sleep(pause) => {
                    let ids: Vec<CandidateId> = self.claims.borrow().keys().copied().collect();
                    ids.into_iter().for_each(|id| self.with(id, |claim, now, out| claim.candidate.wake(now, out)));
                    self.deliver_local();
                }
            }
        }
    }

    /// Claims one of `slots` slots of a name.
    pub fn acquire(self: &Rc<Self>, name: &str, slots: u16) -> Result<LeaseHandle, String> {
        Key::new(name, 0).map_err(|e: KeyError| e.to_string())?;
        if self.closed.get() {
            return Err("this node is leaving".to_owned());
        }
        if self.claims.borrow().len() >= MAX_CLAIMS {
            return Err(format!("{MAX_CLAIMS} leases are wanted here already"));
        }
        self.claims_made.set(self.claims_made.get() + 1);
        let id =
            CandidateId(xxh3_64(&[self.seed.to_le_bytes(), self.claims_made.get().to_le_bytes()].concat()));
        // Waiting candidates start at different slots.
        let slot = (id.0 % u64::from(slots.max(1))) as u16;
        let key = Key::new(name, slot).map_err(|e| e.to_string())?;
        let candidate = Candidate::new(self.terms.clone(), id, self.floor);
        let claim = Claim {
            candidate,
            name: name.to_owned(),
            rotation: SlotRotation::new(slots),
            key: key.clone(),
            state: State::Waiting(None),
            ending: false,
        };
        self.claims.borrow_mut().insert(id, claim);
        self.with(id, |claim, now, out| claim.candidate.acquire(now, key, out));
        self.deliver_local();
        Ok(LeaseHandle { leases: self.clone(), id })
    }

    /// Asks the holders of leases with this name on this node to finish, or all holders if no name
    /// is given. Returns their number.
    pub fn request_end(&self, name: Option<&str>) -> usize {
        let mut claims = self.claims.borrow_mut();
        let matching = claims.values_mut().filter(|c| name.is_none_or(|n| c.name == n));
        matching.map(|c| c.ending = true).count()
    }

    /// The node is leaving: asks all holders to finish and accepts no more claims.
    pub fn close(&self) {
        self.closed.set(true);
        self.request_end(None);
    }

    fn release(&self, id: CandidateId) {
        self.with(id, |claim, now, out| {
            let key = claim.key.clone();
            if let State::Held(grant) = &claim.state {
                tracing::info!(target: "lease", kind = "released", lease = %key, token = grant.token);
            }
            claim.candidate.release(now, &key, out);
        });
        self.claims.borrow_mut().remove(&id);
        self.deliver_local();
    }

    fn with(&self, id: CandidateId, f: impl FnOnce(&mut Claim, Time, &mut Vec<Action>)) {
        let (now, mut out) = (self.now(), Vec::new());
        if let Some(claim) = self.claims.borrow_mut().get_mut(&id) {
            f(claim, now, &mut out);
        }
        self.apply(id, out);
    }

    fn apply(&self, id: CandidateId, actions: Vec<Action>) {
        let mut counts = self.counts.get();
        for action in actions {
            match action {
                Action::Send(to, request) => self.send(to, Message::Request(self.checksum, request)),
                Action::Granted(grant) => {
                    counts.granted += 1;
                    self.record_grant(id, "granted", grant);
                }
                Action::Extended(grant) => self.record_grant(id, "extended", grant),
                Action::Lost(key) => {
                    counts.lost += 1;
                    tracing::warn!(target: "lease", kind = "lost", lease = %key);
                    if let Some(claim) = self.claims.borrow_mut().get_mut(&id) {
                        claim.state = State::Lost;
                        // A lost claim is not resumed; its user has to claim again.
                        claim.candidate.release(self.now(), &key, &mut Vec::new());
                    }
                }
                Action::Refused(key, refusal) => {
                    counts.refused += 1;
                    self.handle_refusal(id, &key, refusal);
                }
            }
        }
        self.counts.set(counts);
    }

    fn record_grant(&self, id: CandidateId, kind: &'static str, grant: Grant) {
        let left = grant.until.saturating_sub(self.now());
        tracing::info!(target: "lease", kind, lease = %grant.key, token = grant.token, left_ms = left.as_millis() as u64);
        if let Some(claim) = self.claims.borrow_mut().get_mut(&id) {
            claim.state = State::Held(grant);
        }
    }

    /// Moves a claim for any of several slots on to the next one. After all of them it waits.
    fn handle_refusal(&self, id: CandidateId, key: &Key, refusal: Refusal) {
        tracing::debug!(target: "lease", kind = "refused", lease = %key, why = ?refusal);
        let mut out = Vec::new();
        if let Some(claim) = self.claims.borrow_mut().get_mut(&id) {
            claim.state = State::Waiting(Some(refusal));
            let next = claim.rotation.next_slot(key.slot(), refusal).map(|slot| Key::new(&claim.name, slot));
            if let Some(Ok(next)) = next {
                let now = self.now();
                claim.candidate.release(now, key, &mut out);
                claim.key = next.clone();
                claim.candidate.acquire(now, next, &mut out);
            }
        }
        self.apply(id, out);
    }

    fn send(&self, to: SocketAddr, message: Message) {
        if to == self.own {
            self.local.borrow_mut().push_back(message);
        } else {
            self.cluster.send_payload(to, LANE, message.encode());
        }
    }

    /// Processes the messages from this node to itself and reschedules the timer.
    fn deliver_local(&self) {
        loop {
            let message = self.local.borrow_mut().pop_front();
            let Some(message) = message else { break };
            self.handle_message(self.own, &message);
        }
        self.changed.notify_one();
    }

    fn handle_message(&self, from: SocketAddr, message: &Message) {
        match message {
            Message::Request(checksum, request) => {
                let mut responses = Vec::new();
                if let Some(voter) = self.voter.borrow_mut().as_mut() {
                    voter.handle_request(self.now(), from, *checksum, request, &mut responses);
                }
                for (to, response) in responses {
                    if response.reply == birchswitch_lease::Reply::Accepted {
                        let mut counts = self.counts.get();
                        counts.votes += 1;
                        self.counts.set(counts);
                    }
                    self.send(to, Message::Response(response));
                }
            }
            Message::Response(m) => {
                self.with(m.ballot.candidate, |c, now, out| c.candidate.handle_response(now, from, m, out));
            }
        }
    }

    /// The counters.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// The numbers of claims that are held and that are not.
    pub fn held_and_waiting(&self) -> [usize; 2] {
        let (claims, now) = (self.claims.borrow(), self.now());
        let held = claims.values().filter(|c| c.candidate.held(now).next().is_some()).count();
        [held, claims.len() - held]
    }

    /// One line for each claim of this node and, if this node votes, for each lease it granted.
    pub fn status_text(&self) -> String {
        let now = self.now();
        let mut text = String::from("# lease where state token left_ms\n");
        // Writing to a string cannot fail.
        for claim in self.claims.borrow().values() {
            let (key, ms) = (&claim.key, |until: Time| until.saturating_sub(now).as_millis());
            let _ = match &claim.state {
                State::Held(grant) => writeln!(text, "{key} here held {} {}", grant.token, ms(grant.until)),
                State::Waiting(refusal) => {
                    let refusal = refusal.map_or("asking".to_owned(), |c| format!("{c:?}").to_lowercase());
                    writeln!(text, "{key} here {refusal} - -")
                }
                State::Lost => writeln!(text, "{key} here lost - -"),
            };
        }
        if let Some(voter) = self.voter.borrow().as_ref() {
            if let Some(left) = voter.abstention_left(now) {
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
    /// The state at the current time.
    pub fn state(&self) -> State {
        let (claims, now) = (self.leases.claims.borrow(), self.leases.now());
        let Some(claim) = claims.get(&self.id).filter(|c| !c.ending) else { return State::Lost };
        match &claim.state {
            State::Held(grant) if now >= grant.until => State::Lost,
            state => state.clone(),
        }
    }

    /// Releases the lease; work done under it has ended.
    pub fn release(self) {
        self.leases.release(self.id);
    }

    /// How long work that has begun may still go on in order to finish. `None` if the lease is not
    /// held or its guard has ended.
    pub fn remaining(&self) -> Option<Duration> {
        let (claims, now) = (self.leases.claims.borrow(), self.leases.now());
        let State::Held(grant) = &claims.get(&self.id)?.state else { return None };
        let left = grant.guard.checked_sub(now).filter(|l| !l.is_zero())?;
        Some(left * 1000 / self.leases.rate)
    }

    /// Whether the holder has been asked to finish.
    pub fn is_ending(&self) -> bool {
        self.leases.claims.borrow().get(&self.id).is_none_or(|c| c.ending)
    }

    /// How long an operation may still go on. `None` if the lease is not held or its guard has
    /// ended.
    pub fn guard(&self) -> Option<(Grant, Duration)> {
        let State::Held(grant) = self.state() else { return None };
        let left = grant.guard.checked_sub(self.leases.now()).filter(|l| !l.is_zero())?;
        Some((grant, left * 1000 / self.leases.rate))
    }
}

impl Drop for LeaseHandle {
    fn drop(&mut self) {
        if let Some(claim) = self.leases.claims.borrow_mut().remove(&self.id) {
            tracing::info!(target: "lease", kind = "abandoned", lease = %claim.key);
        }
    }
}
