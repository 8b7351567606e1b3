//! Simulates voters and candidates of one lease: clocks with different rates, a network that loses, duplicates and
//! delays messages for longer than a lease's lifetime, processes that crash, restart without state and pause at any
//! point, and a receiver that checks the holders' fencing tokens.

use crate::rng::Rng;
use birchswitch_lease::{Action, Candidate, CandidateId, Key, Message, Request, Response, Terms, Voter};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Nanoseconds of true time.
type Nanos = u64;

/// Faults of a run.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Fraction of messages lost.
    pub loss: f64,
    /// Fraction of messages duplicated.
    pub doubled: f64,
    /// Fraction of messages delayed by up to twice the lease's lifetime.
    pub held_back: f64,
    /// Mean seconds between crashes of single processes, which restart without state within a second; 0 for none.
    pub crash_every: f64,
    /// Mean seconds between simultaneous crashes of all processes; 0 for none.
    pub all_every: f64,
    /// Mean seconds between simultaneous crashes of all voters while candidates keep running; 0 for none.
    pub voters_every: f64,
    /// Mean seconds between pauses of single processes, of up to twice the lease's lifetime; 0 for none.
    pub pause_every: f64,
    /// Mean seconds between cuts of one ordered pair, of up to the lease's lifetime; 0 for none.
    pub cut_every: f64,
    /// Maximum deviation of clock rates from true time in thousandths; most clocks have the maximum.
    pub drift: u32,
    /// The receiver rejects tokens lower than the highest it has seen.
    pub fenced: bool,
}

impl Faults {
    /// All faults at once.
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

    /// No faults.
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

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Descriptions of rule violations.
    pub violations: Vec<String>,
    /// Leases granted.
    pub grants: u64,
    /// Leases that expired by the holder's clock.
    pub lost: u64,
    /// Actions that the receiver accepted.
    pub acts: u64,
    /// Actions that the receiver rejected because of a lower token.
    pub refused: u64,
    /// Messages sent.
    pub messages: u64,
    /// Longest time without a holder, in seconds.
    pub gap: f64,
    /// Fraction of the time with a holder.
    pub held: f64,
}

struct Process {
    /// A process is a voter or a candidate; both are None after a crash.
    voter: Option<Voter>,
    candidate: Option<Candidate>,
    /// The local clock: its value at true time 0, and its rate in thousandths of true time.
    offset: Nanos,
    rate: u64,
    paused_until: Nanos,
    /// Messages received while paused.
    inbox: Vec<(usize, Message)>,
    starts: u64,
    wake: Nanos,
}

impl Process {
    fn clock(&self, now: Nanos) -> Duration {
        Duration::from_nanos(self.offset + (u128::from(now) * u128::from(self.rate) / 1000) as u64)
    }

    /// The true time at which the local clock shows `at`.
    fn true_time(&self, at: Duration) -> Nanos {
        let own = u128::from((at.as_nanos() as u64).saturating_sub(self.offset));
        (own * 1000).div_ceil(u128::from(self.rate)) as u64
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Wake(usize),
    Resume(usize),
    Start(usize),
    Act(usize),
    /// An action that was checked with this token arrives at the receiver.
    ActReceived(u64),
    Crash,
    CrashAll,
    CrashVoters,
    Pause,
    Cut,
}

/// The interval in true time during which a process held the lease.
#[derive(Clone, Copy)]
struct Holding {
    by: usize,
    start: u64,
    from: Nanos,
    to: Nanos,
}

struct World<'a> {
    terms: Arc<Terms>,
    terms_checksum: u64,
    faults: &'a Faults,
    key: Key,
    processes: Vec<Process>,
    voters: usize,
    queue: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    sequence: u64,
    rng: Rng,
    cuts: Vec<(usize, usize, Nanos)>,
    holdings: Vec<Holding>,
    now: Nanos,
    highest: u64,
    highest_seen: u64,
    out: Outcome,
}

const SECOND: f64 = 1e9;

/// The address of a process.
pub fn address(n: usize) -> SocketAddr {
    ([127, 0, 0, n as u8 + 1], 7000).into()
}

/// Simulates `seconds` with voters that are not candidates and candidates that do not vote. The terms supply times and
/// safeguards; their list of voters is replaced.
pub fn play(
    terms: &Terms,
    voters: usize,
    candidates: usize,
    seconds: u64,
    faults: &Faults,
    seed: u64,
) -> Outcome {
    let terms = Arc::new(Terms { voters: (0..voters).map(address).collect(), ..terms.clone() });
    let mut rng = Rng::new(seed, 81);
    let processes = (0..voters + candidates).map(|_| {
        let sign = if rng.unit() < 0.5 { -1.0 } else { 1.0 };
        // Most clocks have the maximum deviation, where missing margins matter.
        let deviation = f64::from(faults.drift) * sign * if rng.unit() < 0.7 { 1.0 } else { rng.unit() };
        Process {
            voter: None,
            candidate: None,
            offset: (rng.unit() * 1e12) as u64,
            rate: (1000.0 + deviation) as u64,
            paused_until: 0,
            inbox: Vec::new(),
            starts: 0,
            wake: Nanos::MAX,
        }
    });
    let mut world = World {
        processes: processes.collect(),
        terms_checksum: terms.checksum(),
        terms,
        faults,
        key: Key::new("task", 0).expect("a valid name"),
        voters,
        queue: BinaryHeap::new(),
        sequence: 0,
        rng,
        cuts: Vec::new(),
        holdings: Vec::new(),
        now: 0,
        highest: 0,
        highest_seen: 0,
        out: Outcome::default(),
    };
    (0..voters + candidates).for_each(|n| world.schedule(0, Event::Start(n)));
    for (every, event) in [
        (faults.crash_every, Event::Crash),
        (faults.all_every, Event::CrashAll),
        (faults.voters_every, Event::CrashVoters),
        (faults.pause_every, Event::Pause),
        (faults.cut_every, Event::Cut),
    ] {
        world.schedule_repeating(every, event);
    }
    let end = seconds * SECOND as u64;
    while let Some(Reverse((at, _, event))) = world.queue.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.handle_event(event);
    }
    world.evaluate(end)
}

impl World<'_> {
    fn schedule(&mut self, at: Nanos, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_repeating(&mut self, every: f64, event: Event) {
        if every > 0.0 {
            let wait = self.rng.exponential(every);
            self.schedule(self.now + (wait * SECOND) as u64, event);
        }
    }

    fn ttl(&self) -> f64 {
        self.terms.ttl.as_nanos() as f64
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Start(n) => self.start(n),
            Event::Deliver { to, from, bytes } => {
                if let Some(message) = Message::decode(&bytes) {
                    if self.now < self.processes[to].paused_until {
                        self.processes[to].inbox.push((from, message));
                    } else {
                        self.receive(to, from, &message);
                    }
                }
            }
            Event::Wake(n) => {
                if self.processes[n].wake <= self.now && self.now >= self.processes[n].paused_until {
                    self.processes[n].wake = Nanos::MAX;
                    self.wake(n);
                }
            }
            Event::Resume(n) => self.resume(n),
            Event::Act(n) => self.act(n),
            Event::ActReceived(token) => self.act_received(token),
            Event::Crash => {
                let n = self.rng.below(self.processes.len());
                self.crash(n);
                self.schedule_repeating(self.faults.crash_every, Event::Crash);
            }
            Event::CrashAll => {
                (0..self.processes.len()).for_each(|n| self.crash(n));
                self.schedule_repeating(self.faults.all_every, Event::CrashAll);
            }
            Event::CrashVoters => {
                (0..self.voters).for_each(|n| self.crash(n));
                self.schedule_repeating(self.faults.voters_every, Event::CrashVoters);
            }
            Event::Pause => {
                let n = self.rng.below(self.processes.len());
                let length = (self.rng.unit() * 2.0 * self.ttl()) as u64;
                self.processes[n].paused_until = self.processes[n].paused_until.max(self.now + length);
                self.schedule(self.processes[n].paused_until, Event::Resume(n));
                self.schedule_repeating(self.faults.pause_every, Event::Pause);
            }
            Event::Cut => {
                let (a, b) = (self.rng.below(self.processes.len()), self.rng.below(self.processes.len()));
                let length = (self.rng.unit() * self.ttl()) as u64;
                let now = self.now;
                self.cuts.retain(|c| c.2 > now);
                self.cuts.push((a, b, now + length));
                self.schedule_repeating(self.faults.cut_every, Event::Cut);
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
        // The floor is the time of day in milliseconds; there are a million tokens per millisecond.
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
        self.schedule(now + 1, Event::Act(n));
    }

    fn crash(&mut self, n: usize) {
        let now = self.now;
        let p = &mut self.processes[n];
        (p.voter, p.candidate, p.paused_until) = (None, None, now);
        p.inbox.clear();
        // A crash ends what the process held.
        self.holdings.iter_mut().filter(|s| s.by == n).for_each(|s| s.to = s.to.min(now));
        let at = now + (self.rng.unit() * SECOND) as u64;
        self.schedule(at, Event::Start(n));
    }

    fn resume(&mut self, n: usize) {
        if self.now < self.processes[n].paused_until {
            return;
        }
        for (from, message) in std::mem::take(&mut self.processes[n].inbox) {
            self.receive(n, from, &message);
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

    fn receive(&mut self, n: usize, from: usize, message: &Message) {
        let now = self.now;
        let p = &mut self.processes[n];
        let clock = p.clock(now);
        match message {
            Message::Request(terms_checksum, request) => {
                let mut answers = Vec::new();
                if let Some(voter) = &mut p.voter {
                    voter.handle_request(clock, address(from), *terms_checksum, request, &mut answers);
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
                Action::Send(to, request) => self.send_request(n, to, request),
                Action::Granted(held) => {
                    self.out.grants += 1;
                    if held.token <= self.highest {
                        let (token, highest) = (held.token, self.highest);
                        self.out.violations.push(format!("token {token} was granted after {highest}"));
                    }
                    self.highest = self.highest.max(held.token);
                    self.record_holding(n, held.until, true);
                }
                Action::Extended(held) => {
                    self.highest = self.highest.max(held.token);
                    self.record_holding(n, held.until, false);
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
            let at = p.true_time(next).max(now);
            if at < p.wake {
                p.wake = at;
                self.schedule(at, Event::Wake(n));
            }
        }
    }

    fn record_holding(&mut self, n: usize, until: Duration, new: bool) {
        let (now, p) = (self.now, &self.processes[n]);
        let (to, start) = (p.true_time(until), p.starts);
        match self.holdings.iter_mut().rev().find(|s| s.by == n && s.start == start).filter(|_| !new) {
            Some(holding) => holding.to = holding.to.max(to),
            None => self.holdings.push(Holding { by: n, start, from: now, to }),
        }
    }

    fn send_request(&mut self, from: usize, to: SocketAddr, request: Request) {
        self.send(from, to, &Message::Request(self.terms_checksum, request));
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        self.out.messages += 1;
        let Some(to) = (0..self.processes.len()).find(|n| address(*n) == to) else { return };
        let now = self.now;
        if self.rng.unit() < self.faults.loss
            || self.cuts.iter().any(|c| (c.0, c.1) == (from, to) && c.2 > now)
        {
            return;
        }
        let copies = 1 + usize::from(self.rng.unit() < self.faults.doubled);
        for _ in 0..copies {
            let mut delay = 0.001 + 0.004 * self.rng.unit();
            if self.rng.unit() < self.faults.held_back {
                delay += self.rng.unit() * 2.0 * self.ttl() / SECOND;
            }
            let bytes = message.encode();
            self.schedule(now + (delay * SECOND) as u64, Event::Deliver { to, from, bytes });
        }
    }

    /// A holder acts repeatedly: it checks its guard time and sends a moment later. A pause between the two is the case
    /// that fencing covers.
    fn act(&mut self, n: usize) {
        let now = self.now;
        let p = &mut self.processes[n];
        if p.candidate.is_none() {
            return;
        }
        if now < p.paused_until {
            let at = p.paused_until;
            return self.schedule(at, Event::Act(n));
        }
        let clock = p.clock(now);
        let held = p.candidate.as_ref().and_then(|c| c.held(clock).next()).filter(|h| clock < h.guard);
        if let Some(held) = held {
            // One in ten actions is paused right after the check.
            let stopped = if self.faults.pause_every > 0.0 && self.rng.unit() < 0.1 {
                self.rng.unit() * 3.0 * self.ttl()
            } else {
                1e6
            };
            self.schedule(now + stopped as u64, Event::ActReceived(held.token));
        }
        let next = now + (self.rng.unit() * self.ttl() / 4.0) as u64 + 1;
        self.schedule(next, Event::Act(n));
    }

    fn act_received(&mut self, token: u64) {
        if token < self.highest_seen {
            if self.faults.fenced {
                self.out.refused += 1;
                return;
            }
            let highest_seen = self.highest_seen;
            self.out.violations.push(format!("an act with token {token} after one with {highest_seen}"));
        }
        self.out.acts += 1;
        self.highest_seen = self.highest_seen.max(token);
    }

    fn evaluate(mut self, end: Nanos) -> Outcome {
        let mut holdings = std::mem::take(&mut self.holdings);
        holdings.iter_mut().for_each(|s| s.to = s.to.min(end));
        holdings.sort_by_key(|s| s.from);
        let (mut until, mut last): (Nanos, Option<Holding>) = (0, None);
        for holding in holdings {
            if let Some(before) =
                last.filter(|l| holding.from < l.to && (l.by, l.start) != (holding.by, holding.start))
            {
                let at = holding.from as f64 / SECOND;
                self.out.violations.push(format!("{} and {} hold at {at:.3} s", before.by, holding.by));
            }
            self.out.gap = self.out.gap.max(holding.from.saturating_sub(until) as f64 / SECOND);
            self.out.held += holding.to.saturating_sub(holding.from.max(until)) as f64 / end as f64;
            until = until.max(holding.to);
            last = Some(holding).filter(|s| last.is_none_or(|l| s.to >= l.to)).or(last);
        }
        self.out.gap = self.out.gap.max(end.saturating_sub(until) as f64 / SECOND);
        self.out
    }
}
