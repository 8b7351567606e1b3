//! Fleets of members in virtual time: the core that nodes run, a network that loses, delays, doubles and cuts for each ordered
//! pair, processes that pause, stutter, die and start again under their names. One seed, the same run.

pub mod beats;
pub mod measure;

use crate::rng::Rng;
use birchswitch_cluster::{Action, Change, Core, Event, Generation, MemberId, Record, Settings, State, Time};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What the network does to a datagram.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Part that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub doubled: f64,
    /// Most by which one is held back, beside 0.2 to 1 ms for all; drawn anew for each, so that they overtake one another.
    pub held_back: Duration,
    /// Part of which a byte is changed.
    pub spoilt: f64,
}

/// A process that runs only for a part of each second.
#[derive(Clone, Copy, Debug)]
struct Stutter {
    stopped: Duration,
    until: Time,
}

struct Process {
    core: Option<Core>,
    /// It does not run before.
    stopped_until: Time,
    stutter: Option<Stutter>,
    /// What came while it did not run.
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    wake: Time,
    starts: u32,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Wake(usize),
    /// A stuttering process stops.
    Stop(usize),
    /// It may run again: what came meanwhile is there.
    Resume(usize),
    Deliver(usize, SocketAddr, Vec<u8>),
}

/// What a process noticed, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Noted {
    /// When.
    pub at: Time,
    /// Which process.
    pub by: usize,
    /// What.
    pub change: Change,
}

type Cut = Box<dyn Fn(usize, usize) -> bool + Send>;

/// A fleet.
pub struct Fleet {
    /// The clock.
    pub now: Time,
    /// What the network does.
    pub network: Network,
    /// What was noticed, as far as it is kept.
    pub noted: Vec<Noted>,
    /// What to keep of it; all at first.
    pub keep: fn(&Change) -> bool,
    /// Datagrams and bytes that processes sent.
    pub sent: [u64; 2],
    settings: Settings,
    processes: Vec<Process>,
    agenda: BinaryHeap<Reverse<(Time, u64, What)>>,
    order: u64,
    chance: Rng,
    seed: u64,
    /// Whether a datagram from the first to the second is lost.
    cut: Cut,
    actions: Vec<Action>,
}

/// The address of a process's place.
pub fn address(n: usize) -> SocketAddr {
    let [_, a, b, c] = (n as u32 + 1).to_be_bytes();
    ([127, a, b, c], 4000).into()
}

/// The name of a process's place.
pub fn name(n: usize) -> String {
    format!("n{n}")
}

fn place(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else { return None };
    let [_, a, b, c] = v4.ip().octets();
    (u32::from_be_bytes([0, a, b, c]) as usize).checked_sub(1)
}

impl Fleet {
    /// So many places, nobody started. The first three are seeds.
    pub fn empty(size: usize, settings: Settings, seed: u64) -> Self {
        let process = || Process {
            core: None,
            stopped_until: Time::ZERO,
            stutter: None,
            inbox: Vec::new(),
            wake: Time::MAX,
            starts: 0,
        };
        Fleet {
            now: Duration::from_secs(1000),
            network: Network::default(),
            noted: Vec::new(),
            keep: |_| true,
            sent: [0; 2],
            settings: Settings { seeds: (0..size.min(3)).map(address).collect(), ..settings },
            processes: (0..size).map(|_| process()).collect(),
            agenda: BinaryHeap::new(),
            order: 0,
            chance: Rng::new(seed, 71),
            seed,
            cut: Box::new(|_, _| false),
            actions: Vec::new(),
        }
    }

    /// A fleet that is up already and knows itself.
    pub fn up(size: usize, settings: Settings, seed: u64) -> Self {
        Fleet::up_of(size, size, settings, seed)
    }

    /// The same, with places at the end where nobody started.
    pub fn up_of(size: usize, places: usize, settings: Settings, seed: u64) -> Self {
        let mut fleet = Fleet::empty(places, settings, seed);
        let records: Vec<_> = (0..size).map(|n| Arc::new(fleet.record(n))).collect();
        for (n, record) in records.iter().enumerate() {
            fleet.begin(n, (**record).clone());
            if let Some(core) = &mut fleet.processes[n].core {
                core.insert_known(fleet.now, &records);
            }
        }
        fleet
    }

    fn record(&self, n: usize) -> Record {
        let started = (self.now.as_millis() as u64) + u64::from(self.processes[n].starts);
        Record {
            name: name(n),
            address: address(n),
            zone: format!("z{}", n % 5),
            program: "1".into(),
            generation: Generation { started, draw: n as u32 },
            incarnation: 1,
            values: Vec::new(),
            tail: Vec::new(),
        }
    }

    fn begin(&mut self, n: usize, record: Record) {
        let p = &mut self.processes[n];
        p.starts += 1;
        let seed = Rng::new(self.seed, ((n as u64) << 20) + u64::from(p.starts)).bits();
        // The settings are the caller's own; a fleet of senseless ones is empty.
        p.core = Core::new(self.settings.clone(), record, seed, self.now).ok();
        (p.stopped_until, p.stutter) = (self.now, None);
        p.inbox.clear();
        p.wake = Time::MAX;
        self.plan(n);
    }

    /// Starts a process at a place, from nothing, under its name and address.
    pub fn start(&mut self, n: usize) {
        let record = self.record(n);
        self.begin(n, record);
    }

    /// Starts one under another's name, at its own address.
    pub fn start_as(&mut self, n: usize, other: usize) {
        let record = Record { name: name(other), ..self.record(n) };
        self.begin(n, record);
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, n: usize) {
        self.processes[n].core = None;
    }

    /// A process says farewell and ends.
    pub fn leave(&mut self, n: usize) {
        self.give(n, Event::Leave);
        self.kill(n);
    }

    /// A process tells something of itself.
    pub fn tell(&mut self, n: usize, bytes: Vec<u8>) {
        self.give(n, Event::Publish { topic: birchswitch_cluster::Topic::Drill, bytes });
    }

    /// A process does not run for so long.
    pub fn pause(&mut self, n: usize, length: Duration) {
        let until = self.now + length;
        self.processes[n].stopped_until = until;
        self.put(until, What::Resume(n));
    }

    /// A process is stopped for a part of each second, until then.
    pub fn stutter(&mut self, n: usize, stopped: Duration, length: Duration) {
        self.processes[n].stutter = Some(Stutter { stopped, until: self.now + length });
        let first = self.now + Duration::from_secs_f64(self.chance.unit());
        self.put(first, What::Stop(n));
    }

    /// From now on a datagram from the first to the second is lost where this says so.
    pub fn cut(&mut self, cut: impl Fn(usize, usize) -> bool + Send + 'static) {
        self.cut = Box::new(cut);
    }

    /// Nothing is cut any more.
    pub fn heal(&mut self) {
        self.cut(|_, _| false);
    }

    /// The member at a place.
    pub fn core(&self, n: usize) -> Option<&Core> {
        self.processes[n].core.as_ref()
    }

    /// Places.
    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// Places whose process is there.
    pub fn running(&self) -> Vec<usize> {
        (0..self.size()).filter(|n| self.processes[*n].core.is_some()).collect()
    }

    /// How one place holds another.
    pub fn holds(&self, n: usize, other: usize) -> Option<State> {
        self.core(n)?.member(MemberId::of(&name(other))).map(|m| m.state)
    }

    /// Whether all that run hold just those that run, alive.
    pub fn agreed(&self) -> bool {
        let running = self.running();
        running.iter().all(|n| {
            let Some(core) = self.core(*n) else { return false };
            core.live_count() == running.len()
                && core.count(State::Suspect) == 0
                && running.iter().all(|m| m == n || self.holds(*n, *m) == Some(State::Alive))
        })
    }

    /// Verdicts on a member, by anyone.
    pub fn verdicts(&self) -> impl Iterator<Item = (&Noted, MemberId)> {
        self.noted.iter().filter_map(|n| match n.change {
            Change::Died { member, own: true } => Some((n, member)),
            _ => None,
        })
    }

    /// Hands a process a datagram from anywhere.
    pub fn inject(&mut self, n: usize, from: SocketAddr, bytes: Vec<u8>) {
        self.put(self.now, What::Deliver(n, from, bytes));
    }

    /// Runs for so long.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(end, |_| false);
    }

    /// Runs until that holds, looked at ten times a second. How long that took; none: not within the time.
    pub fn run_for(&mut self, most: Duration, holds: impl Fn(&Fleet) -> bool) -> Option<Duration> {
        let (began, end) = (self.now, self.now + most);
        self.run_until(end, holds).then(|| self.now - began)
    }

    fn run_until(&mut self, end: Time, holds: impl Fn(&Fleet) -> bool) -> bool {
        let mut look = self.now;
        loop {
            let next = self.agenda.peek().map_or(end, |Reverse((at, ..))| *at).min(end);
            while look <= next {
                self.now = look.max(self.now);
                if holds(self) {
                    return true;
                }
                look += Duration::from_millis(100);
            }
            if next >= end {
                self.now = end;
                return holds(self);
            }
            let Some(Reverse((at, _, what))) = self.agenda.pop() else { continue };
            self.now = at;
            self.happen(what);
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Wake(n) => {
                if self.processes[n].wake <= self.now && self.runs(n) {
                    self.processes[n].wake = Time::MAX;
                    self.give(n, Event::Wake);
                }
            }
            What::Deliver(n, from, bytes) => {
                if self.runs(n) {
                    self.give(n, Event::Received { from, bytes });
                } else if self.processes[n].core.is_some() && self.processes[n].inbox.len() < 2000 {
                    self.processes[n].inbox.push((from, bytes));
                }
            }
            What::Stop(n) => self.stop(n),
            What::Resume(n) => self.resume(n),
        }
    }

    fn runs(&self, n: usize) -> bool {
        self.processes[n].core.is_some() && self.now >= self.processes[n].stopped_until
    }

    fn stop(&mut self, n: usize) {
        let Some(s) = self.processes[n].stutter.filter(|s| self.now < s.until) else { return };
        self.put(self.now + Duration::from_secs(1), What::Stop(n));
        self.pause(n, s.stopped);
    }

    fn resume(&mut self, n: usize) {
        if !self.runs(n) {
            return;
        }
        // A process that goes on meets its timer and its socket in any order.
        let timer_first = self.chance.unit() < 0.5;
        if timer_first {
            self.give(n, Event::Wake);
        }
        for (from, bytes) in std::mem::take(&mut self.processes[n].inbox) {
            self.give(n, Event::Received { from, bytes });
        }
        if !timer_first {
            self.give(n, Event::Wake);
        }
    }

    fn put(&mut self, at: Time, what: What) {
        self.order += 1;
        self.agenda.push(Reverse((at, self.order, what)));
    }

    fn plan(&mut self, n: usize) {
        let p = &mut self.processes[n];
        let Some(core) = &p.core else { return };
        let at = core.next_wake().max(self.now);
        if at < p.wake && at < Time::MAX {
            p.wake = at;
            self.put(at, What::Wake(n));
        }
    }

    fn give(&mut self, n: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(core) = &mut self.processes[n].core {
            core.handle(self.now, event, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { to, bytes } => self.carry(n, to, bytes),
                Action::PayloadReceived { .. } => {}
                Action::Changed(change) if !(self.keep)(&change) => {}
                Action::Changed(change) => self.noted.push(Noted { at: self.now, by: n, change }),
            }
        }
        self.actions = actions;
        self.plan(n);
    }

    fn carry(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        self.sent[0] += 1;
        self.sent[1] += bytes.len() as u64;
        let Some(to) = place(to).filter(|to| *to < self.size()) else { return };
        let net = self.network;
        if (self.cut)(from, to) || net.loss > 0.0 && self.chance.unit() < net.loss {
            return;
        }
        if net.spoilt > 0.0 && self.chance.unit() < net.spoilt {
            let at = self.chance.below(bytes.len());
            bytes[at] ^= 1 << self.chance.below(8);
        }
        let copies = 1 + usize::from(net.doubled > 0.0 && self.chance.unit() < net.doubled);
        for _ in 0..copies {
            let way = Duration::from_secs_f64(0.0002 + 0.0008 * self.chance.unit())
                + net.held_back.mul_f64(if net.held_back.is_zero() { 0.0 } else { self.chance.unit() });
            self.put(self.now + way, What::Deliver(to, address(from), bytes.clone()));
        }
    }
}
