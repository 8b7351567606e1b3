//! A run of a scenario: one queue of events in virtual time, real engines for nodes, models for servers.

use crate::book::{Book, Cause, Second};
use crate::chance::Chance;
use crate::model::{Admission, Job, Model, Progress};
use crate::policy::{Peer, Together};
use crate::scenario::{seconds, Clients, Deed, Fault, Scenario, Size, TENANTS};
use birchswitch_engine::{Answer, AttemptId, Clearance, Command, Decide, Ended, Engine, Incoming, ProbeId};
use finchvale::{
    CellId, ClassId, KindId, ListKind, LoadReport, Outcome, RequestId, Rules, ServerEntry, ServerId,
    ServerState, SettingsError, TenantId, Time, ZoneId,
};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The run's clock begins here, so that a server may have started before.
const ORIGIN: u64 = 1_000_000_000_000;
/// The node answers so much earlier than its client's patience ends, for the way back.
const MARGIN: Duration = Duration::from_millis(5);
/// Shortest time over which a server's busy part is told.
const BUSY_OVER: f64 = 0.1;

/// What happens at some time.
#[derive(Debug)]
enum Happening {
    /// The next of the clients' first tries.
    Arrival,
    /// A client tries again.
    Retry(usize),
    /// Something is due in a node.
    Wake(usize),
    /// An attempt reaches its server.
    Take {
        node: usize,
        attempt: AttemptId,
        server: usize,
        of: usize,
        work: f64,
    },
    /// The end of an attempt reaches its node.
    Told {
        node: usize,
        attempt: AttemptId,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// A probe reaches its server.
    Probe {
        node: usize,
        probe: ProbeId,
        server: usize,
    },
    /// Its answer reaches the node.
    Probed {
        node: usize,
        probe: ProbeId,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// Something is done at a server.
    Serve(usize),
    /// The registry has noticed something.
    Noticed(Vec<ServerEntry>),
    /// A word of the registry reaches a node.
    List {
        node: usize,
        entries: Rc<Vec<ServerEntry>>,
    },
    Begin(usize),
    End(usize),
    /// The next moment of a fault that comes again and again, at one server.
    Again {
        fault: usize,
        server: usize,
    },
    /// The next batch of a release.
    Batch {
        fault: usize,
        left: VecDeque<usize>,
    },
    Kill {
        server: usize,
        silent: bool,
    },
    /// Servers start, cold: those that died, or successors of others.
    Start(Vec<usize>),
}

/// The queue: by time, then in the order in which things were put in.
#[derive(Default)]
struct Agenda {
    heap: BinaryHeap<Reverse<(Time, u64, usize)>>,
    slots: Vec<Option<Happening>>,
    free: Vec<usize>,
    count: u64,
}

impl Agenda {
    fn put(&mut self, at: Time, what: Happening) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(what);
        self.count += 1;
        self.heap.push(Reverse((at, self.count, slot)));
    }

    fn next(&mut self) -> Option<(Time, Happening)> {
        let Reverse((at, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        Some((at, self.slots[slot].take()?))
    }
}

/// Where a server stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Up,
    Draining,
    /// It died; connections to it hang, where it went without a word.
    Dead {
        silent: bool,
    },
}

/// A server with all that befalls it.
#[derive(Debug)]
struct Machine {
    model: Model,
    speed: f64,
    zone: u8,
    cell: u16,
    life: Life,
    started: Option<Time>,
    jobs: FxHashMap<Job, (usize, AttemptId, usize)>,
    /// When it is looked at next.
    wake: Option<Time>,
    /// Its words on its load, by when it looked at itself; the older ones while reports are late.
    looks: VecDeque<(Time, LoadReport)>,
    /// Its busy part, and when it was measured.
    busy: (f64, Time),
    /// When it stood still.
    freezes: Vec<(Time, Time)>,
    refuses: bool,
    fails: bool,
    stuck: bool,
    lie: f64,
}

/// All servers, for those that may see them.
#[derive(Debug)]
pub struct Hall {
    machines: Vec<Machine>,
    pub(crate) rules: Rules,
}

impl Hall {
    /// The part of the servers up at which somebody waits.
    pub(crate) fn crowded(&self) -> f64 {
        let up = self.machines.iter().filter(|m| m.life == Life::Up);
        let (all, waits) = up.fold((0, 0), |n, m| (n.0 + 1, n.1 + usize::from(m.model.waits())));
        waits as f64 / f64::from(all.max(1))
    }

    /// When this server would be done with so much work if it came now; None: it would not be served there.
    pub(crate) fn done(&self, now: Time, server: ServerId, work: f64) -> Option<Time> {
        let m = self.machines.get(server.0 as usize)?;
        let since = since_origin(now);
        let able =
            m.life == Life::Up && !m.refuses && !m.fails && !m.model.fallen() && m.model.bears(since, work);
        let at = now + m.model.foresee(since, work);
        (able && m.model.has_room()).then_some(at)
    }
}

fn since_origin(at: Time) -> Duration {
    at - Time(ORIGIN)
}

fn at(s: f64) -> Time {
    Time(ORIGIN) + seconds(s.min(1e7))
}

struct Node {
    engine: Engine<Box<dyn Decide>, usize, ()>,
    zone: u8,
    wake: Option<Time>,
    requests: FxHashMap<RequestId, usize>,
    /// Servers that it was told to send nothing new, and when.
    told: FxHashMap<ServerId, Time>,
}

/// A client's order, with all its tries.
struct Order {
    at: Time,
    class: u8,
    tenant: u16,
    node: usize,
    work: f64,
    worth: f64,
    tries: u32,
    /// When and in which cell work on it began.
    begun: Vec<u16>,
    /// When a server took it first.
    taken: Option<Time>,
    refused: bool,
    ended: Option<Result<(), Cause>>,
    broken: bool,
}

struct Try {
    order: usize,
    at: Time,
    ends: Time,
    answers: u32,
    /// Its latest attempt: server, when it was sent, and the work that it really is.
    sent: Option<(usize, Time, f64)>,
    attempts: u32,
    outcome: Option<Outcome>,
}

/// See the module's words.
pub struct World {
    scenario: Scenario,
    size: Size,
    now: Time,
    ends: Time,
    agenda: Agenda,
    hall: Rc<RefCell<Hall>>,
    nodes: Vec<Node>,
    orders: Vec<Order>,
    tries: Vec<Try>,
    chance: Chance,
    clients: Chance,
    seed: u64,
    next_job: Job,
    next_cell: u16,
    progress: Vec<Progress>,
    /// Factors in force: on all rates, on the second tenant's, on the first node's; part and factor of the heavy.
    rate: f64,
    tenant: f64,
    loud: f64,
    heavy: (f64, f64),
    /// Added to the age of all reports.
    late: f64,
    /// The registry keeps its words to itself.
    silent: bool,
    held_back: Vec<ServerEntry>,
    /// Which servers each fault has befallen.
    struck: Vec<Vec<usize>>,
    book: Book,
}

/// Plays a scenario to its end and says what came of it.
pub fn run(scenario: &Scenario, size: Size, seed: u64, peer: Peer) -> Result<Book, SettingsError> {
    let mut world = World::new(scenario, size, seed, peer)?;
    while world.step() {}
    Ok(world.close())
}

impl World {
    /// A fleet that is warm, and nodes that hold its list and no history.
    pub fn new(scenario: &Scenario, size: Size, seed: u64, peer: Peer) -> Result<Self, SettingsError> {
        let mut chance = Chance::new(seed, 1);
        let settings = scenario.settings(size, 0);
        let halls = scenario.network.halls;
        let mut machines: Vec<Machine> = Vec::new();
        let cv = scenario.servers.speed_cv;
        for i in 0..size.servers {
            let speed = chance.lognormal(1.0, cv);
            let zone = (i % u32::from(halls)) as u8;
            // Cells lie inside a hall.
            let cell = (i / u32::from(halls) / u32::from(scenario.servers.cell)) as u16 * u16::from(halls)
                + u16::from(zone);
            let model = Model::new(scenario.capacity(speed), Duration::ZERO, false);
            machines.push(Machine::new(model, speed, zone, cell, None));
        }
        let next_cell = machines.iter().map(|m| m.cell + 1).max().unwrap_or(0);
        let hall = Rc::new(RefCell::new(Hall { machines, rules: settings.rules.clone() }));
        let together = Rc::new(RefCell::new(Together::default()));
        let now = Time(ORIGIN);
        let mut nodes = Vec::new();
        for n in 0..size.nodes {
            let zone = (n % u32::from(halls)) as u8;
            let settings = scenario.settings(size, n);
            let decide = peer.decide(
                settings.clone(),
                Chance::new(seed, 1000 + u64::from(n)).bits(),
                now,
                &hall,
                &together,
            )?;
            let (requests, told) = (FxHashMap::default(), FxHashMap::default());
            nodes.push(Node { engine: Engine::new(decide, &settings), zone, wake: None, requests, told });
        }
        let mut world = World {
            scenario: scenario.clone(),
            size,
            now,
            ends: now + seconds(scenario.seconds),
            agenda: Agenda::default(),
            hall,
            nodes,
            orders: Vec::new(),
            tries: Vec::new(),
            chance,
            clients: Chance::new(seed, 2),
            seed,
            next_job: 0,
            next_cell,
            progress: Vec::new(),
            rate: 1.0,
            tenant: 1.0,
            loud: 1.0,
            heavy: (0.0, 1.0),
            late: 0.0,
            silent: false,
            held_back: Vec::new(),
            struck: vec![Vec::new(); scenario.fault.len()],
            book: Book {
                seconds: vec![Second::default(); scenario.seconds.ceil() as usize],
                ..Book::default()
            },
        };
        for (k, fault) in scenario.fault.iter().enumerate() {
            world.agenda.put(at(fault.at), Happening::Begin(k));
            if fault.until.is_finite() {
                world.agenda.put(at(fault.until), Happening::End(k));
            }
        }
        let entries: Vec<ServerEntry> = (0..size.servers as usize).map(|s| world.entry(s)).collect();
        for node in 0..world.nodes.len() {
            world.nodes[node].engine.list(now, ListKind::Full, entries.clone());
            world.pump(node);
        }
        world.next_arrival();
        Ok(world)
    }

    /// Takes the next event; false once all is over.
    pub fn step(&mut self) -> bool {
        let Some((now, what)) = self.agenda.next() else { return false };
        // What lasts beyond the end is of no more interest than the answers owed.
        let grace = seconds(self.scenario.deadline) + Duration::from_secs(2);
        if now > self.ends + grace {
            return false;
        }
        self.now = now;
        self.happen(what);
        true
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrival => self.arrival(),
            Happening::Retry(order) => self.try_once(order),
            Happening::Wake(node) => {
                if self.nodes[node].wake == Some(self.now) {
                    self.nodes[node].wake = None;
                    self.nodes[node].engine.wake(self.now);
                    self.pump(node);
                }
            }
            Happening::Take { node, attempt, server, of, work } => self.take(node, attempt, server, of, work),
            Happening::Told { node, attempt, outcome, report } => {
                let answer = (outcome == Outcome::Served).then_some(());
                self.nodes[node].engine.ended(self.now, attempt, Ended { outcome, report, answer });
                self.pump(node);
            }
            Happening::Probe { node, probe, server } => self.probe(node, probe, server),
            Happening::Probed { node, probe, outcome, report } => {
                self.nodes[node].engine.probed(self.now, probe, outcome, report);
                self.pump(node);
            }
            Happening::Serve(server) => {
                if self.hall.borrow().machines[server].wake == Some(self.now) {
                    self.with(server, |m, now, out| m.model.advance(now, out));
                }
            }
            Happening::Noticed(entries) => self.noticed(entries),
            Happening::List { node, entries } => {
                for e in entries.iter() {
                    let told = &mut self.nodes[node].told;
                    match e.state {
                        ServerState::Ready => drop(told.remove(&e.server)),
                        _ => drop(told.entry(e.server).or_insert(self.now)),
                    }
                }
                self.nodes[node].engine.list(self.now, ListKind::Changes, entries.to_vec());
                self.pump(node);
            }
            Happening::Begin(fault) => self.begin(fault),
            Happening::End(fault) => self.end(fault),
            Happening::Again { fault, server } => self.again(fault, server),
            Happening::Batch { fault, left } => self.batch(fault, left),
            Happening::Kill { server, silent } => self.kill(server, silent),
            Happening::Start(servers) => self.start(servers),
        }
    }

    // ---- clients ----
    fn next_arrival(&mut self) {
        let rate = self.scenario.rate(self.size) * self.rate * (1.0 + TENANTS[1] * (self.tenant - 1.0));
        let next = self.now + seconds(self.clients.exponential(1.0 / rate.max(1e-6)));
        if next < self.ends {
            self.agenda.put(next, Happening::Arrival);
        }
    }

    fn arrival(&mut self) {
        let s = &self.scenario;
        let (class, tenant, node) = (self.clients.unit(), self.clients.unit(), self.clients.unit());
        let heavy = self.clients.unit();
        let class = u8::from(class >= s.unsafe_part);
        let second = TENANTS[1] * self.tenant;
        let tenant = u16::from(tenant < second / (TENANTS[0] + second));
        let n = self.nodes.len();
        let all = n as f64 - 1.0 + self.loud;
        let node = ((node * all - self.loud + 1.0).max(0.0) as usize).min(n - 1);
        let mut work = self.clients.lognormal(s.work, s.work_cv);
        if class == 0 && heavy < self.heavy.0 {
            work *= self.heavy.1;
        }
        let worth = work * if class == 0 { 8.0 } else { 10.0 };
        let order = self.orders.len();
        self.orders.push(Order {
            at: self.now,
            class,
            tenant,
            node,
            work,
            worth,
            tries: 0,
            begun: Vec::new(),
            taken: None,
            refused: false,
            ended: None,
            broken: false,
        });
        self.book.firsts += 1;
        self.book.offered += worth;
        let second = self.second(order);
        second.offered += worth;
        self.next_arrival();
        self.try_once(order);
    }

    fn second(&mut self, order: usize) -> &mut Second {
        let k = since_origin(self.orders[order].at).as_secs_f64() as usize;
        let last = self.book.seconds.len() - 1;
        &mut self.book.seconds[k.min(last)]
    }

    fn try_once(&mut self, order: usize) {
        let o = &mut self.orders[order];
        o.tries += 1;
        o.refused = false;
        let ends = self.now + seconds(self.scenario.deadline);
        let (sent, outcome) = (None, None);
        let of = self.tries.len();
        self.tries.push(Try { order, at: self.now, ends, answers: 0, sent, attempts: 0, outcome });
        self.book.tries += 1;
        let due = Time(ends.0.saturating_sub(MARGIN.as_nanos() as u64));
        let incoming = Incoming {
            whole: true,
            class: ClassId(o.class),
            tenant: TenantId(o.tenant),
            work: Some(seconds(o.work)),
            due,
            last: due,
            name: of.to_be_bytes().into(),
            request: of,
        };
        let node = o.node;
        self.book.events += 1;
        if let Ok(id) = self.nodes[node].engine.arrive(self.now, incoming) {
            self.nodes[node].requests.insert(id, of);
        }
        self.pump(node);
    }

    fn answered(&mut self, of: usize, answer: &Answer<()>) {
        let t = &mut self.tries[of];
        t.answers += 1;
        let order = t.order;
        if t.answers > 1 || self.now > t.ends {
            self.book.broken.answers += 1;
            return;
        }
        let served = matches!(answer, Answer::Served(()));
        let in_time = served && self.now <= t.at + seconds(self.scenario.aim);
        let ended = if in_time { Ok(()) } else { Err(self.why(of, answer)) };
        let o = &mut self.orders[order];
        o.refused = matches!(answer, Answer::Refused(_));
        // What was refused must not have run, nor run later.
        if o.refused && o.class == 0 && !o.begun.is_empty() && !std::mem::replace(&mut o.broken, true) {
            self.book.broken.effects += 1;
        }
        o.ended = Some(ended);
        let Clients { retries, backoff, honour } = self.scenario.clients;
        if let (Answer::Refused(wait), true) = (answer, o.tries <= retries) {
            let advised = wait.filter(|_| honour);
            let jitter = 1.0 + 0.2 * self.clients.unit();
            let wait = advised.unwrap_or(seconds(backoff)).mul_f64(jitter);
            if self.now + wait < self.ends {
                self.agenda.put(self.now + wait, Happening::Retry(order));
            }
        }
    }

    /// Why a try earned nothing, by what was true.
    fn why(&self, of: usize, answer: &Answer<()>) -> Cause {
        let t = &self.tries[of];
        let o = &self.orders[t.order];
        let aim = seconds(self.scenario.aim);
        let hopeless = o.work > aim.as_secs_f64();
        let hall = self.hall.borrow();
        let Some((server, sent, work)) = t.sent.filter(|_| !matches!(answer, Answer::Refused(_))) else {
            if hopeless {
                return Cause::Hopeless;
            }
            let now = since_origin(self.now);
            let ready = (0..hall.machines.len()).filter(|&s| hall.machines[s].model.warmth(now) >= 1.0);
            let mut done = ready.filter_map(|s| hall.done(self.now, ServerId(s as u32), o.work));
            return match done.any(|d| d <= t.at + aim) {
                false => Cause::RefusedFull,
                true if t.attempts > 0 => Cause::RefusedAfterAttempts,
                true if self.now > t.at => Cause::RefusedAfterProbes,
                true => Cause::RefusedAtDoor,
            };
        };
        if let Some(Outcome::Error | Outcome::Broken | Outcome::Unreachable | Outcome::TurnedAway) = t.outcome
        {
            return Cause::ServerFailed;
        }
        let m = &hall.machines[server];
        let late = (self.now - (t.at + aim)).as_secs_f64();
        let frozen: f64 = m
            .freezes
            .iter()
            .map(|f| {
                let (from, to) = (f.0.max(sent), f.1.min(self.now));
                (to - from).as_secs_f64()
            })
            .sum();
        match () {
            () if m.life != Life::Up => Cause::ServerFailed,
            () if frozen > 0.0 && frozen >= 0.9 * late => Cause::Frozen,
            () if hopeless => Cause::Hopeless,
            () if m.model.warmth(since_origin(self.now)) < 1.0 => Cause::Cold,
            () if m.model.slowed(since_origin(self.now)) => Cause::Neighbour,
            () if (work - o.work) / m.speed >= late => Cause::Underestimated,
            () if t.outcome == Some(Outcome::Cancelled) => Cause::GivenUp,
            () => Cause::Queued,
        }
    }

    // ---- nodes ----
    /// Carries out what an engine wants, until it wants nothing more.
    fn pump(&mut self, node: usize) {
        while let Some(command) = self.nodes[node].engine.command() {
            match command {
                Command::Start { attempt, server, request } => self.send(node, attempt, server, *request),
                Command::Answer { request, answer } => {
                    if let Some(of) = self.nodes[node].requests.remove(&request) {
                        self.book.note(of as u64 ^ u64::from(matches!(answer, Answer::Served(()))) << 40);
                        self.answered(of, &answer);
                    }
                }
                Command::Probe { probe, server } => {
                    self.book.probes += 1;
                    let way = self.way(self.nodes[node].zone, server.0 as usize);
                    let server = server.0 as usize;
                    self.agenda.put(self.now + way, Happening::Probe { node, probe, server });
                }
                Command::Cancel(_) | Command::CancelProbe(_) | Command::Watch | Command::Log(_) => {}
            }
        }
        let n = &mut self.nodes[node];
        if let Some(at) = n.engine.next_wake().filter(|at| n.wake.is_none_or(|w| *at < w)) {
            let at = at.max(self.now);
            n.wake = Some(at);
            self.agenda.put(at, Happening::Wake(node));
        }
    }

    fn send(&mut self, node: usize, attempt: AttemptId, server: ServerId, of: usize) {
        let Clearance::Go(_) = self.nodes[node].engine.clear(self.now, attempt) else {
            return self.nodes[node].engine.ended(self.now, attempt, Ended::bare(Outcome::NotSent));
        };
        let grace = self.hall.borrow().rules.drain_grace;
        let zone = self.nodes[node].zone;
        if self.nodes[node].told.get(&server).is_some_and(|told| self.now > *told + grace) {
            self.book.broken.drains += 1;
        }
        let s = server.0 as usize;
        let way = self.way(zone, s);
        self.book.attempts += 1;
        self.book.crossed += u64::from(self.hall.borrow().machines[s].zone != zone);
        self.book.note(of as u64 ^ u64::from(server.0) << 32);
        let t = &mut self.tries[of];
        // The same try at its n-th attempt is the same work, whatever decides.
        let order = &self.orders[t.order];
        let mut noise =
            Chance::new(self.seed, (1 << 40) + t.order as u64 * 16 + u64::from(t.attempts.min(15)));
        let work = order.work * noise.lognormal(1.0, self.scenario.attempt_noise);
        t.attempts += 1;
        t.sent = Some((s, self.now, work));
        t.outcome = None;
        self.agenda.put(self.now + way, Happening::Take { node, attempt, server: s, of, work });
    }

    /// One way between a node's hall and a server.
    fn way(&mut self, zone: u8, server: usize) -> Duration {
        let net = &self.scenario.network;
        let same = self.hall.borrow().machines[server].zone == zone;
        seconds(if same { net.same } else { net.cross } * (1.0 + 0.2 * self.chance.unit()))
    }

    fn tell(&mut self, server: usize, (node, attempt, of): (usize, AttemptId, usize), outcome: Outcome) {
        let way = self.way(self.nodes[node].zone, server);
        let with_answers = !self.scenario.reports.by_probe;
        let report =
            (with_answers && matches!(outcome, Outcome::Served | Outcome::Error)).then(|| self.look(server));
        self.book.turned_away += u64::from(outcome == Outcome::TurnedAway);
        if outcome != Outcome::Served {
            self.tries[of].outcome = Some(outcome);
        }
        self.agenda.put(self.now + way, Happening::Told { node, attempt, outcome, report });
    }

    // ---- servers ----
    /// Does something with a server and tells what came of it.
    fn with<T>(
        &mut self,
        server: usize,
        call: impl FnOnce(&mut Machine, Duration, &mut Vec<Progress>) -> T,
    ) -> T {
        let now = since_origin(self.now);
        let mut out = std::mem::take(&mut self.progress);
        let hall = self.hall.clone();
        let mut hall = hall.borrow_mut();
        let m = &mut hall.machines[server];
        let had_fallen = m.model.fallen();
        let value = call(m, now, &mut out);
        if m.model.fallen() && !had_fallen {
            self.book.broken.cold += 1;
        }
        self.book.borne = self.book.borne.max(m.model.most_borne());
        let next = m.model.next().map(|d| Time(ORIGIN) + d);
        if let Some(next) = next.filter(|n| m.wake.is_none_or(|w| *n < w || w < self.now)) {
            m.wake = Some(next.max(self.now));
            self.agenda.put(next.max(self.now), Happening::Serve(server));
        } else if m.wake.is_some_and(|w| w <= self.now) {
            m.wake = next;
            if let Some(next) = next {
                self.agenda.put(next, Happening::Serve(server));
            }
        }
        let cell = m.cell;
        let mut done = Vec::new();
        for progress in out.drain(..) {
            match progress {
                Progress::Begun(job) => {
                    if let Some((_, _, of)) = m.jobs.get(&job) {
                        let o = &mut self.orders[self.tries[*of].order];
                        let again = match o.class {
                            0 => !o.begun.is_empty() || o.refused,
                            _ => o.begun.iter().any(|c| *c != cell),
                        };
                        if again && !std::mem::replace(&mut o.broken, true) {
                            self.book.broken.effects += 1;
                        }
                        o.begun.push(cell);
                    }
                }
                Progress::Done(job) => done.extend(m.jobs.remove(&job)),
            }
        }
        drop(hall);
        self.progress = out;
        for whose in done {
            self.tell(server, whose, Outcome::Served);
        }
        value
    }

    fn take(&mut self, node: usize, attempt: AttemptId, server: usize, of: usize, work: f64) {
        let whose = (node, attempt, of);
        let (life, refuses, fails) = {
            let m = &self.hall.borrow().machines[server];
            (m.life, m.refuses, m.fails)
        };
        match life {
            Life::Dead { silent: true } => return,
            Life::Dead { silent: false } => return self.tell(server, whose, Outcome::Unreachable),
            _ if refuses => return self.tell(server, whose, Outcome::TurnedAway),
            _ if fails => return self.tell(server, whose, Outcome::Error),
            _ => {}
        }
        let job = self.next_job;
        self.next_job += 1;
        let admission = self.with(server, |m, now, out| {
            m.jobs.insert(job, whose);
            let admission = m.model.offer(now, job, work, out);
            if admission == Admission::TurnedAway {
                m.jobs.remove(&job);
            }
            admission
        });
        match admission {
            Admission::TurnedAway => self.tell(server, whose, Outcome::TurnedAway),
            Admission::Taken => {
                let window = Duration::from_secs(2);
                let o = &mut self.orders[self.tries[of].order];
                let first = *o.taken.get_or_insert(self.now);
                // A key is remembered for so long; a repeat after that runs again.
                if o.class != 0 && self.now > first + window && !std::mem::replace(&mut o.broken, true) {
                    self.book.broken.effects += 1;
                }
            }
        }
        self.remember(server);
    }

    /// Keeps what a server would say of itself, while reports are late.
    fn remember(&mut self, server: usize) {
        if self.late + self.scenario.reports.delay > 0.0 {
            let report = self.measure(server);
            let mut hall = self.hall.borrow_mut();
            let looks = &mut hall.machines[server].looks;
            looks.push_back((self.now, report));
            let old = self.now - Time(ORIGIN);
            let oldest = old.saturating_sub(seconds(self.late + self.scenario.reports.delay));
            while looks.len() > 1 && since_origin(looks[1].0) <= oldest {
                looks.pop_front();
            }
        }
    }

    fn measure(&mut self, server: usize) -> LoadReport {
        let now = self.now;
        self.with(server, |m, at, out| {
            if (now - m.busy.1).as_secs_f64() >= BUSY_OVER {
                m.busy = (m.model.load(at, out).busy, now);
            }
            m.model.advance(at, out);
            let held = if m.refuses || m.fails { 0.0 } else { m.model.held() as f64 * m.lie };
            let busy = if m.refuses || m.fails { 0.0 } else { m.busy.0 * m.lie };
            LoadReport { busy: Some(busy), held: Some(held), ..LoadReport::default() }
        })
    }

    /// A server's word on its load, as old as words are.
    fn look(&mut self, server: usize) -> LoadReport {
        let period = seconds(self.scenario.reports.period);
        let age = seconds(self.scenario.reports.delay + self.late);
        let (stuck, last) = {
            let m = &self.hall.borrow().machines[server];
            (m.stuck, m.looks.back().copied())
        };
        if let Some((_, report)) = last.filter(|l| stuck || age.is_zero() && self.now < l.0 + period) {
            return report;
        }
        let report = self.measure(server);
        let told = Time(self.now.0.saturating_sub(age.as_nanos() as u64));
        let mut hall = self.hall.borrow_mut();
        let looks = &mut hall.machines[server].looks;
        if age.is_zero() {
            looks.clear();
        }
        looks.push_back((self.now, report));
        looks.iter().rev().find(|l| l.0 <= told).or(looks.front()).map_or(report, |l| l.1)
    }

    fn probe(&mut self, node: usize, probe: ProbeId, server: usize) {
        let cost = self.scenario.reports.probe_work;
        let (life, frozen) = {
            let m = &self.hall.borrow().machines[server];
            (m.life, m.model.frozen(since_origin(self.now)).then(|| m.model.frozen_until()))
        };
        let (outcome, report) = match life {
            Life::Dead { silent: true } => return,
            Life::Dead { silent: false } => (Outcome::Unreachable, None),
            _ => {
                if let Some(until) = frozen {
                    let until = Time(ORIGIN) + until;
                    return self.agenda.put(until.max(self.now), Happening::Probe { node, probe, server });
                }
                self.with(server, |m, now, out| m.model.probe(now, cost, out));
                (Outcome::Served, Some(self.look(server)))
            }
        };
        let way = self.way(self.nodes[node].zone, server);
        self.agenda.put(self.now + way, Happening::Probed { node, probe, outcome, report });
    }

    // ---- the list ----
    fn entry(&self, server: usize) -> ServerEntry {
        let m = &self.hall.borrow().machines[server];
        ServerEntry {
            server: ServerId(server as u32),
            name: server as u64,
            zone: ZoneId(m.zone),
            kind: KindId(0),
            cell: CellId(m.cell),
            state: match m.life {
                Life::Up => ServerState::Ready,
                Life::Draining => ServerState::Draining,
                Life::Dead { .. } => ServerState::Gone,
            },
            weight: 1.0,
            started: m.started,
        }
    }

    /// Some servers have changed: the registry will notice.
    fn changed(&mut self, servers: &[usize]) {
        let entries = servers.iter().map(|&s| self.entry(s)).collect();
        let at = self.now + seconds(self.scenario.network.notice);
        self.agenda.put(at, Happening::Noticed(entries));
    }

    fn noticed(&mut self, entries: Vec<ServerEntry>) {
        if self.silent {
            return self.held_back.extend(entries);
        }
        let entries = Rc::new(entries);
        for node in 0..self.nodes.len() {
            let at = self.now + seconds(self.scenario.network.spread * self.chance.unit());
            self.agenda.put(at, Happening::List { node, entries: entries.clone() });
        }
    }

    // ---- faults ----
    /// So many of the servers that are up, by chance.
    fn choose(&mut self, part: f64, hall: Option<u8>) -> Vec<usize> {
        let up = |m: &Machine| m.life == Life::Up && hall.is_none_or(|h| m.zone == h);
        let mut up: Vec<usize> = {
            let hall = self.hall.borrow();
            (0..hall.machines.len()).filter(|&s| up(&hall.machines[s])).collect()
        };
        let count = (part * up.len() as f64).round() as usize;
        for k in 0..count.min(up.len()) {
            let other = k + self.chance.below(up.len() - k);
            up.swap(k, other);
        }
        up.truncate(count);
        up
    }

    fn begin(&mut self, fault: usize) {
        let deed = self.scenario.fault[fault].deed.clone();
        let flag = |world: &mut World, part: f64, set: &dyn Fn(&mut Machine)| {
            let chosen = world.choose(part, None);
            for &s in &chosen {
                world.look(s);
                set(&mut world.hall.borrow_mut().machines[s]);
            }
            world.struck[fault] = chosen;
        };
        match deed {
            Deed::Freeze { part, every, .. } => {
                self.struck[fault] = self.choose(part, None);
                for server in self.struck[fault].clone() {
                    let at = self.now + seconds(every * self.chance.unit());
                    self.agenda.put(at, Happening::Again { fault, server });
                }
            }
            Deed::Neighbour { part, spell, .. } => {
                self.struck[fault] = self.choose(part, None);
                for server in self.struck[fault].clone() {
                    let at = self.now + seconds(2.0 * spell * self.chance.unit());
                    self.agenda.put(at, Happening::Again { fault, server });
                }
            }
            Deed::Die { part, back, hall, silent } => {
                let chosen = self.choose(part, hall);
                for &server in &chosen {
                    self.kill(server, silent);
                }
                if back.is_finite() {
                    self.agenda.put(self.now + seconds(back), Happening::Start(chosen.clone()));
                }
                self.changed(&chosen);
            }
            Deed::Release { part, .. } => {
                let left = self.choose(part, None).into();
                self.batch(fault, left);
            }
            Deed::Refuse { part } => flag(self, part, &|m| m.refuses = true),
            Deed::Fail { part } => flag(self, part, &|m| m.fails = true),
            Deed::Stuck { part } => flag(self, part, &|m| m.stuck = true),
            Deed::Lie { part, factor } => flag(self, part, &|m| m.lie = factor),
            Deed::Late { delay } => self.late = delay,
            Deed::Heavy { part, factor } => self.heavy = (part, factor),
            Deed::Tenant { factor } => self.tenant = factor,
            Deed::Rate { factor } => self.rate = factor,
            Deed::Loud { factor } => self.loud = factor,
            Deed::Registry {} => self.silent = true,
        }
    }

    fn end(&mut self, fault: usize) {
        match self.scenario.fault[fault].deed {
            Deed::Late { .. } => self.late = 0.0,
            Deed::Heavy { .. } => self.heavy = (0.0, 1.0),
            Deed::Tenant { .. } => self.tenant = 1.0,
            Deed::Rate { .. } => self.rate = 1.0,
            Deed::Loud { .. } => self.loud = 1.0,
            Deed::Registry {} => {
                self.silent = false;
                let entries = std::mem::take(&mut self.held_back);
                self.noticed(entries);
            }
            _ => {
                for s in std::mem::take(&mut self.struck[fault]) {
                    let m = &mut self.hall.borrow_mut().machines[s];
                    (m.refuses, m.fails, m.stuck, m.lie) = (false, false, false, 1.0);
                }
            }
        }
    }

    fn again(&mut self, fault: usize, server: usize) {
        let Fault { until, ref deed, .. } = self.scenario.fault[fault];
        let deed = deed.clone();
        if self.now >= at(until) || self.hall.borrow().machines[server].life != Life::Up {
            return;
        }
        let next = match deed {
            Deed::Freeze { length, every, .. } => {
                let (length, thaw) = (seconds(length), self.now + seconds(length));
                self.with(server, |m, now, out| m.model.freeze(now, length, out));
                self.hall.borrow_mut().machines[server].freezes.push((self.now, thaw));
                every
            }
            Deed::Neighbour { left, spell, .. } => {
                self.with(server, |m, now, out| m.model.slow(now, left, seconds(spell), out));
                2.0 * spell
            }
            _ => return,
        };
        self.agenda.put(self.now + seconds(next), Happening::Again { fault, server });
    }

    /// A batch drains and is replaced by cold successors with names of their own.
    fn batch(&mut self, fault: usize, mut left: VecDeque<usize>) {
        let Deed::Release { batch, every, drain, .. } = self.scenario.fault[fault].deed else { return };
        let count = ((batch * f64::from(self.size.servers)).round() as usize).clamp(1, left.len().max(1));
        let old: Vec<usize> = left.drain(..count.min(left.len())).collect();
        if old.is_empty() {
            return;
        }
        let mut successors = Vec::new();
        for &server in &old {
            let successor = {
                let m = &mut self.hall.borrow_mut().machines[server];
                m.life = Life::Draining;
                m.model.drain(true);
                let model = Model::new(self.scenario.capacity(m.speed), Duration::ZERO, false);
                let mut successor = Machine::new(model, m.speed, m.zone, self.next_cell, None);
                successor.life = Life::Dead { silent: false };
                successor
            };
            let mut hall = self.hall.borrow_mut();
            successors.push(hall.machines.len());
            hall.machines.push(successor);
        }
        self.next_cell += 1;
        self.changed(&old);
        let gone = self.now + seconds(drain);
        for server in old {
            self.agenda.put(gone, Happening::Kill { server, silent: false });
        }
        self.agenda.put(gone, Happening::Start(successors));
        self.agenda.put(self.now + seconds(every), Happening::Batch { fault, left });
    }

    fn kill(&mut self, server: usize, silent: bool) {
        let drained = {
            let m = &mut self.hall.borrow_mut().machines[server];
            let drained = m.life == Life::Draining;
            m.life = Life::Dead { silent };
            m.wake = None;
            drained
        };
        let lost: Vec<_> = {
            let m = &mut self.hall.borrow_mut().machines[server];
            m.model = Model::new(self.scenario.capacity(m.speed), since_origin(self.now), true);
            let mut lost: Vec<_> = std::mem::take(&mut m.jobs).into_iter().collect();
            lost.sort_by_key(|l| l.0);
            lost.into_iter().map(|l| l.1).collect()
        };
        if !silent {
            lost.into_iter().for_each(|whose| self.tell(server, whose, Outcome::Broken));
        }
        if drained {
            self.changed(&[server]);
        }
    }

    fn start(&mut self, servers: Vec<usize>) {
        for &server in &servers {
            let m = &mut self.hall.borrow_mut().machines[server];
            m.model = Model::new(self.scenario.capacity(m.speed), since_origin(self.now), true);
            m.life = Life::Up;
            m.started = Some(self.now);
            m.looks.clear();
            m.busy = (0.0, self.now);
        }
        self.changed(&servers);
    }

    // ---- the end ----
    fn close(mut self) -> Book {
        for t in &self.tries {
            self.book.broken.answers += u64::from(t.answers == 0);
        }
        for k in 0..self.orders.len() {
            let o = &self.orders[k];
            let worth = o.worth;
            match o.ended {
                Some(Ok(())) => {
                    self.book.in_time += worth;
                    self.second(k).in_time += worth;
                }
                ended => {
                    let cause = ended.and_then(Result::err).unwrap_or(Cause::GivenUp);
                    *self.book.lost.entry(cause).or_default() += worth;
                    self.book.refused += u64::from(o.refused);
                    let served = !o.refused && !matches!(cause, Cause::ServerFailed | Cause::GivenUp);
                    self.book.late += u64::from(served);
                    self.book.failed += u64::from(!o.refused && !served);
                }
            }
        }
        self.book
    }
}

impl Machine {
    fn new(model: Model, speed: f64, zone: u8, cell: u16, started: Option<Time>) -> Self {
        Machine {
            model,
            speed,
            zone,
            cell,
            life: Life::Up,
            started,
            jobs: FxHashMap::default(),
            wake: None,
            looks: VecDeque::new(),
            busy: (0.0, Time(ORIGIN)),
            freezes: Vec::new(),
            refuses: false,
            fails: false,
            stuck: false,
            lie: 1.0,
        }
    }
}
