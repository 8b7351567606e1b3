//! Simulates fleets of members: the core that nodes run, a network that loses, delays, duplicates and cuts per ordered
//! pair, and processes that pause, stutter, die and restart under their names. The same seed gives the same run.

pub mod heartbeats;
pub mod measure;

use crate::rng::Rng;
use birchswitch_cluster::{Action, Change, Core, Event, Generation, MemberId, Record, Settings, State, Time};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Faults of the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Fraction of datagrams duplicated.
    pub duplicated: f64,
    /// Maximum extra delay, beyond the 0.2 to 1 ms of all datagrams; drawn for each, so that datagrams are reordered.
    pub max_extra_delay: Duration,
    /// Fraction of datagrams with one bit flipped.
    pub corrupted: f64,
}

/// A process that is stopped for part of each second.
#[derive(Clone, Copy, Debug)]
struct Stutter {
    stopped: Duration,
    until: Time,
}

struct Process {
    core: Option<Core>,
    /// It does not run before this time.
    stopped_until: Time,
    stutter: Option<Stutter>,
    /// Datagrams received while it was stopped.
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    wake: Time,
    starts: u32,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Wake(usize),
    /// A stuttering process stops.
    Stop(usize),
    /// A stopped process may run again and reads its inbox.
    Resume(usize),
    Deliver(usize, SocketAddr, Vec<u8>),
}

/// A change that a process observed.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// When it was observed.
    pub at: Time,
    /// Which process observed it.
    pub by: usize,
    /// The change.
    pub change: Change,
}

type Cut = Box<dyn Fn(usize, usize) -> bool + Send>;

/// A simulated fleet.
pub struct Fleet {
    /// Simulated time.
    pub now: Time,
    /// Faults of the network.
    pub network: Network,
    /// Observed changes that passed the filter.
    pub observed: Vec<Observation>,
    /// Selects the changes to record; all by default.
    pub filter: fn(&Change) -> bool,
    /// Datagrams and bytes sent by all processes.
    pub sent: [u64; 2],
    settings: Settings,
    processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Time, u64, SimEvent)>>,
    sequence: u64,
    rng: Rng,
    seed: u64,
    /// Whether datagrams from the first to the second process are lost.
    cut: Cut,
    actions: Vec<Action>,
}

/// The address of a process.
pub fn address(n: usize) -> SocketAddr {
    let [_, a, b, c] = (n as u32 + 1).to_be_bytes();
    ([127, a, b, c], 4000).into()
}

/// The name of a process.
pub fn name(n: usize) -> String {
    format!("n{n}")
}

fn process_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else { return None };
    let [_, a, b, c] = v4.ip().octets();
    (u32::from_be_bytes([0, a, b, c]) as usize).checked_sub(1)
}

impl Fleet {
    /// A fleet of `size` processes, none of them started. The first three are seeds.
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
            observed: Vec::new(),
            filter: |_| true,
            sent: [0; 2],
            settings: Settings { seeds: (0..size.min(3)).map(address).collect(), ..settings },
            processes: (0..size).map(|_| process()).collect(),
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: Rng::new(seed, 71),
            seed,
            cut: Box::new(|_, _| false),
            actions: Vec::new(),
        }
    }

    /// A fleet in which all members run and know each other.
    pub fn converged_fleet(size: usize, settings: Settings, seed: u64) -> Self {
        Fleet::converged_with_spares(size, size, settings, seed)
    }

    /// The same, with further processes that are not started.
    pub fn converged_with_spares(size: usize, places: usize, settings: Settings, seed: u64) -> Self {
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
        // The caller supplies the settings; with invalid ones no member starts.
        p.core = Core::new(self.settings.clone(), record, seed, self.now).ok();
        (p.stopped_until, p.stutter) = (self.now, None);
        p.inbox.clear();
        p.wake = Time::MAX;
        self.schedule_wake(n);
    }

    /// Starts a process without state, under its own name and address.
    pub fn start(&mut self, n: usize) {
        let record = self.record(n);
        self.begin(n, record);
    }

    /// Starts a process under another one's name, at its own address.
    pub fn start_as(&mut self, n: usize, other: usize) {
        let record = Record { name: name(other), ..self.record(n) };
        self.begin(n, record);
    }

    /// Kills a process without notice.
    pub fn kill(&mut self, n: usize) {
        self.processes[n].core = None;
    }

    /// A process announces that it leaves, and ends.
    pub fn leave(&mut self, n: usize) {
        self.handle(n, Event::Leave);
        self.kill(n);
    }

    /// A process publishes a value.
    pub fn publish(&mut self, n: usize, bytes: Vec<u8>) {
        self.handle(n, Event::Publish { topic: birchswitch_cluster::Topic::Drill, bytes });
    }

    /// Stops a process for `length`.
    pub fn pause(&mut self, n: usize, length: Duration) {
        let until = self.now + length;
        self.processes[n].stopped_until = until;
        self.schedule(until, SimEvent::Resume(n));
    }

    /// Stops a process for part of each second, for `length`.
    pub fn stutter(&mut self, n: usize, stopped: Duration, length: Duration) {
        self.processes[n].stutter = Some(Stutter { stopped, until: self.now + length });
        let first = self.now + Duration::from_secs_f64(self.rng.unit());
        self.schedule(first, SimEvent::Stop(n));
    }

    /// Loses datagrams between the ordered pairs that `cut` selects, from now on.
    pub fn cut(&mut self, cut: impl Fn(usize, usize) -> bool + Send + 'static) {
        self.cut = Box::new(cut);
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cut(|_, _| false);
    }

    /// The membership core of a process.
    pub fn core(&self, n: usize) -> Option<&Core> {
        self.processes[n].core.as_ref()
    }

    /// Number of processes, running or not.
    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// Processes that are alive.
    pub fn running(&self) -> Vec<usize> {
        (0..self.size()).filter(|n| self.processes[*n].core.is_some()).collect()
    }

    /// The state in which one process holds another.
    pub fn holds(&self, n: usize, other: usize) -> Option<State> {
        self.core(n)?.member(MemberId::of(&name(other))).map(|m| m.state)
    }

    /// Whether all running processes hold exactly the running ones, all alive.
    pub fn converged(&self) -> bool {
        let running = self.running();
        running.iter().all(|n| {
            let Some(core) = self.core(*n) else { return false };
            core.live_count() == running.len()
                && core.count(State::Suspect) == 0
                && running.iter().all(|m| m == n || self.holds(*n, *m) == Some(State::Alive))
        })
    }

    /// Verdicts of any process, with the member concerned.
    pub fn verdicts(&self) -> impl Iterator<Item = (&Observation, MemberId)> {
        self.observed.iter().filter_map(|n| match n.change {
            Change::Died { member, own: true } => Some((n, member)),
            _ => None,
        })
    }

    /// Delivers a datagram with any sender address to a process.
    pub fn inject(&mut self, n: usize, from: SocketAddr, bytes: Vec<u8>) {
        self.schedule(self.now, SimEvent::Deliver(n, from, bytes));
    }

    /// Runs for `length`.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(end, |_| false);
    }

    /// Runs until the condition holds, checked ten times a second. Returns the time it took; None on a timeout.
    pub fn run_for(&mut self, most: Duration, holds: impl Fn(&Fleet) -> bool) -> Option<Duration> {
        let (began, end) = (self.now, self.now + most);
        self.run_until(end, holds).then(|| self.now - began)
    }

    fn run_until(&mut self, end: Time, holds: impl Fn(&Fleet) -> bool) -> bool {
        let mut next_check = self.now;
        loop {
            let next = self.queue.peek().map_or(end, |Reverse((at, ..))| *at).min(end);
            while next_check <= next {
                self.now = next_check.max(self.now);
                if holds(self) {
                    return true;
                }
                next_check += Duration::from_millis(100);
            }
            if next >= end {
                self.now = end;
                return holds(self);
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else { continue };
            self.now = at;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Wake(n) => {
                if self.processes[n].wake <= self.now && self.is_running(n) {
                    self.processes[n].wake = Time::MAX;
                    self.handle(n, Event::Wake);
                }
            }
            SimEvent::Deliver(n, from, bytes) => {
                if self.is_running(n) {
                    self.handle(n, Event::Received { from, bytes });
                } else if self.processes[n].core.is_some() && self.processes[n].inbox.len() < 2000 {
                    self.processes[n].inbox.push((from, bytes));
                }
            }
            SimEvent::Stop(n) => self.stop(n),
            SimEvent::Resume(n) => self.resume(n),
        }
    }

    fn is_running(&self, n: usize) -> bool {
        self.processes[n].core.is_some() && self.now >= self.processes[n].stopped_until
    }

    fn stop(&mut self, n: usize) {
        let Some(s) = self.processes[n].stutter.filter(|s| self.now < s.until) else { return };
        self.schedule(self.now + Duration::from_secs(1), SimEvent::Stop(n));
        self.pause(n, s.stopped);
    }

    fn resume(&mut self, n: usize) {
        if !self.is_running(n) {
            return;
        }
        // A process that resumes may see its timer and its socket in either order.
        let timer_first = self.rng.unit() < 0.5;
        if timer_first {
            self.handle(n, Event::Wake);
        }
        for (from, bytes) in std::mem::take(&mut self.processes[n].inbox) {
            self.handle(n, Event::Received { from, bytes });
        }
        if !timer_first {
            self.handle(n, Event::Wake);
        }
    }

    fn schedule(&mut self, at: Time, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_wake(&mut self, n: usize) {
        let p = &mut self.processes[n];
        let Some(core) = &p.core else { return };
        let at = core.next_wake().max(self.now);
        if at < p.wake && at < Time::MAX {
            p.wake = at;
            self.schedule(at, SimEvent::Wake(n));
        }
    }

    fn handle(&mut self, n: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(core) = &mut self.processes[n].core {
            core.handle(self.now, event, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { to, bytes } => self.transmit(n, to, bytes),
                Action::PayloadReceived { .. } => {}
                Action::Changed(change) if !(self.filter)(&change) => {}
                Action::Changed(change) => self.observed.push(Observation { at: self.now, by: n, change }),
            }
        }
        self.actions = actions;
        self.schedule_wake(n);
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        self.sent[0] += 1;
        self.sent[1] += bytes.len() as u64;
        let Some(to) = process_at(to).filter(|to| *to < self.size()) else { return };
        let net = self.network;
        if (self.cut)(from, to) || net.loss > 0.0 && self.rng.unit() < net.loss {
            return;
        }
        if net.corrupted > 0.0 && self.rng.unit() < net.corrupted {
            let at = self.rng.below(bytes.len());
            bytes[at] ^= 1 << self.rng.below(8);
        }
        let copies = 1 + usize::from(net.duplicated > 0.0 && self.rng.unit() < net.duplicated);
        for _ in 0..copies {
            let delay = Duration::from_secs_f64(0.0002 + 0.0008 * self.rng.unit())
                + net.max_extra_delay.mul_f64(if net.max_extra_delay.is_zero() {
                    0.0
                } else {
                    self.rng.unit()
                });
            self.schedule(self.now + delay, SimEvent::Deliver(to, address(from), bytes.clone()));
        }
    }
}
