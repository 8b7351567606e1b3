//! Electorates and candidates for one lease in virtual time: clocks of different rates, a network that loses, doubles and holds back for
//! longer than a lease lives, processes that crash, start from nothing and are paused at any point, and a receiver of what holders do.

use crate::rng::Rng;
use birchswitch_lease::{Action, Candidate, CandidateId, Key, Message, Request, Response, Terms, Voter};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Nanoseconds of true time.
type Nanos = u64;

/// What goes wrong in a run.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Part of messages that are lost.
    pub loss: f64,
    /// Part of them that come twice.
    pub doubled: f64,
    /// Part that is held back by up to twice a lease's time.
    pub held_back: f64,
    /// Mean seconds between crashes of any process; it starts from nothing within a second. 0: none.
    pub crash_every: f64,
    /// Mean seconds between losses of all processes at once. 0: none.
    pub all_every: f64,
    /// Mean seconds between losses of all voters at once, while candidates live on. 0: none.
    pub voters_every: f64,
    /// Mean seconds between pauses of any process, of up to twice a lease's time. 0: none.
    pub pause_every: f64,
    /// Mean seconds between cuts of one ordered pair for up to a lease's time. 0: none.
    pub cut_every: f64,
    /// How far clocks' rates lie from true time, in thousandths, at most and mostly.
    pub drift: u32,
    /// The receiver refuses lower tokens than it saw.
    pub fenced: bool,
}

impl Faults {
    /// All of them at once.
    pub fn all() -> Self {
        Faults {
            loss: 0.1,
            doubled: 0.1,
            held_back: 0.02,
            crash_every: 8.0,
            all_every: 90.0,
            voters_every: 60.0,
            pause_every: 6.0,
            cut_every: 5.0,
            drift: 50,
            fenced: true,
        }
    }

    /// None of them.
    pub fn none() -> Self {
        Faults {
            loss: 0.0,
            doubled: 0.0,
            held_back: 0.0,
            crash_every: 0.0,
            all_every: 0.0,
            voters_every: 0.0,
            pause_every: 0.0,
            cut_every: 0.0,
            drift: 0,
            fenced: true,
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Rules that broke, in words.
    pub broken: Vec<String>,
    /// Leases granted.
    pub grants: u64,
    /// Lost by their own clock.
    pub lost: u64,
    /// Acts that the receiver took.
    pub acts: u64,
    /// Acts that it refused for a lower token.
    pub refused: u64,
    /// Messages sent.
    pub messages: u64,
    /// Longest time without a holder, in seconds.
    pub gap: f64,
    /// Part of the time in which somebody held.
    pub held: f64,
}

struct Process {
    /// It votes, it wants the lease, or both.
    voter: Option<Voter>,
    candidate: Option<Candidate>,
    /// Own clock: so much at true time 0, and so many thousandths of true time a tick.
    offset: Nanos,
    rate: u64,
    paused_until: Nanos,
    /// Whether an act is under way, checked and not yet sent.
    inbox: Vec<(usize, Message)>,
    starts: u64,
    wake: Nanos,
}

impl Process {
    fn clock(&self, now: Nanos) -> Duration {
        Duration::from_nanos(self.offset + (u128::from(now) * u128::from(self.rate) / 1000) as u64)
    }

    /// When its clock shows that.
    fn truly(&self, at: Duration) -> Nanos {
        let own = u128::from((at.as_nanos() as u64).saturating_sub(self.offset));
        (own * 1000).div_ceil(u128::from(self.rate)) as u64
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Deliver {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Wake(usize),
    Resume(usize),
    Start(usize),
    Act(usize),
    /// An act that was checked with this token arrives.
    Acted(u64),
    Crash,
    CrashAll,
    CrashVoters,
    Pause,
    Cut,
}

/// A grant as it truly was.
#[derive(Clone, Copy)]
struct Span {
    by: usize,
    life: u64,
    from: Nanos,
    to: Nanos,
}

struct World<'a> {
    terms: Arc<Terms>,
    sum: u64,
    faults: &'a Faults,
    key: Key,
    processes: Vec<Process>,
    voters: usize,
    agenda: BinaryHeap<Reverse<(Nanos, u64, What)>>,
    order: u64,
    chance: Rng,
    cuts: Vec<(usize, usize, Nanos)>,
    spans: Vec<Span>,
    now: Nanos,
    highest: u64,
    seen: u64,
    out: Outcome,
}

const SECOND: f64 = 1e9;

/// The address of a process.
pub fn address(n: usize) -> SocketAddr {
    ([127, 0, 0, n as u8 + 1], 7000).into()
}

/// Plays so many seconds with voters that want nothing and candidates that do not vote, by the terms' times and safeguards; its voters
/// are replaced.
pub fn play(
    terms: &Terms,
    voters: usize,
    candidates: usize,
    seconds: u64,
    faults: &Faults,
    seed: u64,
) -> Outcome {
    let terms = Arc::new(Terms { voters: (0..voters).map(address).collect(), ..terms.clone() });
    let mut chance = Rng::new(seed, 81);
    let processes = (0..voters + candidates).map(|_| {
        let side = if chance.unit() < 0.5 { -1.0 } else { 1.0 };
        // Mostly as far off as may be: that is where margins show.
        let off = f64::from(faults.drift) * side * if chance.unit() < 0.7 { 1.0 } else { chance.unit() };
        Process {
            voter: None,
            candidate: None,
            offset: (chance.unit() * 1e12) as u64,
            rate: (1000.0 + off) as u64,
            paused_until: 0,
            inbox: Vec::new(),
            starts: 0,
            wake: Nanos::MAX,
        }
    });
    let mut world = World {
        processes: processes.collect(),
        sum: terms.checksum(),
        terms,
        faults,
        key: Key::new("task", 0).expect("a sound name"),
        voters,
        agenda: BinaryHeap::new(),
        order: 0,
        chance,
        cuts: Vec::new(),
        spans: Vec::new(),
        now: 0,
        highest: 0,
        seen: 0,
        out: Outcome::default(),
    };
    (0..voters + candidates).for_each(|n| world.put(0, What::Start(n)));
    for (every, what) in [
        (faults.crash_every, What::Crash),
        (faults.all_every, What::CrashAll),
        (faults.voters_every, What::CrashVoters),
        (faults.pause_every, What::Pause),
        (faults.cut_every, What::Cut),
    ] {
        world.again(every, what);
    }
    let end = seconds * SECOND as u64;
    while let Some(Reverse((at, _, what))) = world.agenda.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.happen(what);
    }
    world.judge(end)
}

impl World<'_> {
    fn put(&mut self, at: Nanos, what: What) {
        self.order += 1;
        self.agenda.push(Reverse((at, self.order, what)));
    }

    fn again(&mut self, every: f64, what: What) {
        if every > 0.0 {
            let wait = self.chance.exponential(every);
            self.put(self.now + (wait * SECOND) as u64, what);
        }
    }

    fn ttl(&self) -> f64 {
        self.terms.ttl.as_nanos() as f64
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Start(n) => self.start(n),
            What::Deliver { to, from, bytes } => {
                if let Some(message) = Message::decode(&bytes) {
                    if self.now < self.processes[to].paused_until {
                        self.processes[to].inbox.push((from, message));
                    } else {
                        self.take(to, from, &message);
                    }
                }
            }
            What::Wake(n) => {
                if self.processes[n].wake <= self.now && self.now >= self.processes[n].paused_until {
                    self.processes[n].wake = Nanos::MAX;
                    self.wake(n);
                }
            }
            What::Resume(n) => self.resume(n),
            What::Act(n) => self.act(n),
            What::Acted(token) => self.acted(token),
            What::Crash => {
                let n = self.chance.below(self.processes.len());
                self.crash(n);
                self.again(self.faults.crash_every, What::Crash);
            }
            What::CrashAll => {
                (0..self.processes.len()).for_each(|n| self.crash(n));
                self.again(self.faults.all_every, What::CrashAll);
            }
            What::CrashVoters => {
                (0..self.voters).for_each(|n| self.crash(n));
                self.again(self.faults.voters_every, What::CrashVoters);
            }
            What::Pause => {
                let n = self.chance.below(self.processes.len());
                let length = (self.chance.unit() * 2.0 * self.ttl()) as u64;
                self.processes[n].paused_until = self.processes[n].paused_until.max(self.now + length);
                self.put(self.processes[n].paused_until, What::Resume(n));
                self.again(self.faults.pause_every, What::Pause);
            }
            What::Cut => {
                let (a, b) =
                    (self.chance.below(self.processes.len()), self.chance.below(self.processes.len()));
                let length = (self.chance.unit() * self.ttl()) as u64;
                let now = self.now;
                self.cuts.retain(|c| c.2 > now);
                self.cuts.push((a, b, now + length));
                self.again(self.faults.cut_every, What::Cut);
            }
        }
    }

    fn start(&mut self, n: usize) {
        let (terms, now) = (self.terms.clone(), self.now);
        let p = &mut self.processes[n];
        if p.voter.is_some() || p.candidate.is_some() {
            return;
        }
        p.starts += 1;
        let clock = p.clock(now);
        // The time of day, to a millisecond, is the floor; a million tokens fit into one.
        let floor = (now / 1_000_000 + 1) << 20;
        if n < self.voters {
            p.voter = Some(Voter::new(terms, floor, clock));
            return;
        }
        let mut candidate = Candidate::new(terms, CandidateId(((n as u64) << 32) + p.starts), floor);
        let mut out = Vec::new();
        candidate.acquire(clock, self.key.clone(), &mut out);
        p.candidate = Some(candidate);
        p.wake = Nanos::MAX;
        self.carry_out(n, out);
        self.put(now + 1, What::Act(n));
    }

    fn crash(&mut self, n: usize) {
        let now = self.now;
        let p = &mut self.processes[n];
        (p.voter, p.candidate, p.paused_until) = (None, None, now);
        p.inbox.clear();
        // What it held is over.
        self.spans.iter_mut().filter(|s| s.by == n).for_each(|s| s.to = s.to.min(now));
        let at = now + (self.chance.unit() * SECOND) as u64;
        self.put(at, What::Start(n));
    }

    fn resume(&mut self, n: usize) {
        if self.now < self.processes[n].paused_until {
            return;
        }
        for (from, message) in std::mem::take(&mut self.processes[n].inbox) {
            self.take(n, from, &message);
        }
        self.wake(n);
    }

    fn wake(&mut self, n: usize) {
        let now = self.now;
        let p = &mut self.processes[n];
        let clock = p.clock(now);
        let mut out = Vec::new();
        if let Some(candidate) = &mut p.candidate {
            candidate.wake(clock, &mut out);
        }
        self.carry_out(n, out);
    }

    fn take(&mut self, n: usize, from: usize, message: &Message) {
        let now = self.now;
        let p = &mut self.processes[n];
        let clock = p.clock(now);
        match message {
            Message::Request(sum, ask) => {
                let mut answers = Vec::new();
                if let Some(voter) = &mut p.voter {
                    voter.handle_request(clock, address(from), *sum, ask, &mut answers);
                }
                answers.into_iter().for_each(|(to, answer)| self.send_answer(n, to, answer));
            }
            Message::Response(answer) => {
                let mut out = Vec::new();
                if let Some(candidate) = &mut p.candidate {
                    candidate.handle_response(clock, address(from), answer, &mut out);
                }
                self.carry_out(n, out);
            }
        }
    }

    fn send_answer(&mut self, from: usize, to: SocketAddr, answer: Response) {
        self.send(from, to, &Message::Response(answer));
    }

    fn carry_out(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, ask) => self.ask(n, to, ask),
                Action::Granted(held) => {
                    self.out.grants += 1;
                    if held.token <= self.highest {
                        let (token, highest) = (held.token, self.highest);
                        self.out.broken.push(format!("token {token} was granted after {highest}"));
                    }
                    self.highest = self.highest.max(held.token);
                    self.span(n, held.until, true);
                }
                Action::Extended(held) => {
                    self.highest = self.highest.max(held.token);
                    self.span(n, held.until, false);
                }
                Action::Lost(_) => self.out.lost += 1,
                Action::Refused(..) => {}
            }
        }
        let now = self.now;
        let p = &mut self.processes[n];
        let Some(candidate) = &p.candidate else { return };
        let next = candidate.next_wake();
        if next < Duration::MAX {
            let at = p.truly(next).max(now);
            if at < p.wake {
                p.wake = at;
                self.put(at, What::Wake(n));
            }
        }
    }

    fn span(&mut self, n: usize, until: Duration, new: bool) {
        let (now, p) = (self.now, &self.processes[n]);
        let (to, life) = (p.truly(until), p.starts);
        match self.spans.iter_mut().rev().find(|s| s.by == n && s.life == life).filter(|_| !new) {
            Some(span) => span.to = span.to.max(to),
            None => self.spans.push(Span { by: n, life, from: now, to }),
        }
    }

    fn ask(&mut self, from: usize, to: SocketAddr, ask: Request) {
        self.send(from, to, &Message::Request(self.sum, ask));
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        self.out.messages += 1;
        let Some(to) = (0..self.processes.len()).find(|n| address(*n) == to) else { return };
        let now = self.now;
        if self.chance.unit() < self.faults.loss
            || self.cuts.iter().any(|c| (c.0, c.1) == (from, to) && c.2 > now)
        {
            return;
        }
        let copies = 1 + usize::from(self.chance.unit() < self.faults.doubled);
        for _ in 0..copies {
            let mut way = 0.001 + 0.004 * self.chance.unit();
            if self.chance.unit() < self.faults.held_back {
                way += self.chance.unit() * 2.0 * self.ttl() / SECOND;
            }
            let bytes = message.encode();
            self.put(now + (way * SECOND) as u64, What::Deliver { to, from, bytes });
        }
    }

    /// A holder acts again and again: looks at its guard, and sends a moment later. A pause in between is what fencing is for.
    fn act(&mut self, n: usize) {
        let now = self.now;
        let p = &mut self.processes[n];
        if p.candidate.is_none() {
            return;
        }
        if now < p.paused_until {
            let at = p.paused_until;
            return self.put(at, What::Act(n));
        }
        let clock = p.clock(now);
        let held = p.candidate.as_ref().and_then(|c| c.held(clock).next()).filter(|h| clock < h.guard);
        if let Some(held) = held {
            // One in ten is stopped just after its look.
            let stopped = if self.faults.pause_every > 0.0 && self.chance.unit() < 0.1 {
                self.chance.unit() * 3.0 * self.ttl()
            } else {
                1e6
            };
            self.put(now + stopped as u64, What::Acted(held.token));
        }
        let next = now + (self.chance.unit() * self.ttl() / 4.0) as u64 + 1;
        self.put(next, What::Act(n));
    }

    fn acted(&mut self, token: u64) {
        if token < self.seen {
            if self.faults.fenced {
                self.out.refused += 1;
                return;
            }
            let seen = self.seen;
            self.out.broken.push(format!("an act with token {token} after one with {seen}"));
        }
        self.out.acts += 1;
        self.seen = self.seen.max(token);
    }

    fn judge(mut self, end: Nanos) -> Outcome {
        let mut spans = std::mem::take(&mut self.spans);
        spans.iter_mut().for_each(|s| s.to = s.to.min(end));
        spans.sort_by_key(|s| s.from);
        let (mut until, mut last): (Nanos, Option<Span>) = (0, None);
        for span in spans {
            if let Some(before) = last.filter(|l| span.from < l.to && (l.by, l.life) != (span.by, span.life))
            {
                let at = span.from as f64 / SECOND;
                self.out.broken.push(format!("{} and {} hold at {at:.3} s", before.by, span.by));
            }
            self.out.gap = self.out.gap.max(span.from.saturating_sub(until) as f64 / SECOND);
            self.out.held += span.to.saturating_sub(span.from.max(until)) as f64 / end as f64;
            until = until.max(span.to);
            last = Some(span).filter(|s| last.is_none_or(|l| s.to >= l.to)).or(last);
        }
        self.out.gap = self.out.gap.max(end.saturating_sub(until) as f64 / SECOND);
        self.out
    }
}
