//! A run of a scenario: one queue of events in virtual time, real engines for nodes, models for servers.

mod clients;
mod common;
mod faults;
mod health;
mod nodes;
mod registry;
mod servers;

use self::common::{Common, Seats};
use crate::agenda::{Agenda, Happening};
use crate::book::{Book, Cause, Second};
use crate::hall::{at, since_origin, Hall, Machine, ORIGIN};
use crate::model::{Job, Progress, ServerModel};
use crate::policy::{Peer, Together};
use crate::rng::Rng;
use crate::scenario::{seconds, ClassOf, Scenario, Size};
use birchswitch_engine::{AttemptResult, Engine, Policy, ProbeId};
use birchswitch_health::{ProbeScheduler, ProbeSuppressor};
use finchvale::{ListKind, Outcome, RequestId, ServerEntry, ServerId, ServerState, SettingsError, Time};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The node answers so much earlier than its client's patience ends, for the way back.
const MARGIN: Duration = Duration::from_millis(5);

struct Node {
    engine: Engine<Box<dyn Policy>, usize, ()>,
    zone: u8,
    wake: Option<Time>,
    requests: FxHashMap<RequestId, usize>,
    /// Servers that it was told to send nothing new, and when.
    told: FxHashMap<ServerId, Time>,
    /// Since when its idle connections to each server have been so.
    idle: FxHashMap<usize, Vec<Time>>,
    /// It was killed: nothing reaches it any more.
    dead: bool,
    /// What it may spare, and whom it has asked.
    spare: ProbeSuppressor,
    asked: FxHashMap<ProbeId, usize>,
    /// What it tells and is told of servers.
    common: Common,
}

/// A client's order, with all its tries.
struct Order {
    at: Time,
    class: u8,
    tenant: u16,
    place: usize,
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
    /// Its node was killed before it had answered.
    lost: bool,
}

/// See the module's words.
pub struct World {
    scenario: Scenario,
    classes: Vec<ClassOf>,
    size: Size,
    now: Time,
    ends: Time,
    agenda: Agenda,
    hall: Rc<RefCell<Hall>>,
    peer: Peer,
    together: Rc<RefCell<Together>>,
    nodes: Vec<Node>,
    /// Which node fills each of the fleet's places.
    places: Vec<usize>,
    /// Sums of the places' traffic up to each, where that is uneven.
    weights: Vec<f64>,
    orders: Vec<Order>,
    tries: Vec<Try>,
    chance: Rng,
    clients: Rng,
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
    /// The hall that is cut off.
    cut: Option<u8>,
    /// The part of answers that is lost, and of these the part that is reset.
    lost: (f64, f64),
    /// The registry keeps its words to itself.
    silent: bool,
    held_back: Vec<ServerEntry>,
    /// What the one node of each hall asks for all.
    rounds: Vec<ProbeScheduler>,
    /// What judges each hall's servers, and what weighs all.
    seats: Seats,
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
        let mut chance = Rng::new(seed, 1);
        let settings = scenario.settings(size, 0);
        let halls = scenario.network.halls;
        let mut machines: Vec<Machine> = Vec::new();
        let cv = scenario.servers.speed_cv;
        for i in 0..size.servers {
            let speed = chance.lognormal(1.0, cv) * scenario.speed_of(i as usize);
            let zone = (i % u32::from(halls)) as u8;
            // Cells lie inside a hall.
            let cell = (i / u32::from(halls) / u32::from(scenario.servers.cell)) as u16 * u16::from(halls)
                + u16::from(zone);
            let model = ServerModel::new(scenario.capacity(speed, i as usize), Duration::ZERO, false);
            machines.push(Machine::new(model, speed, zone, cell, None));
        }
        let next_cell = machines.iter().map(|m| m.cell + 1).max().unwrap_or(0);
        let hall = Rc::new(RefCell::new(Hall { machines, rules: settings.rules.clone() }));
        let together = Rc::new(RefCell::new(Together::default()));
        let now = Time(ORIGIN);
        let mut even = Rng::new(seed, 3);
        let mut sum = 0.0;
        let skew = scenario.nodes.skew;
        let weights = (0..size.nodes).filter(|_| skew > 0.0).map(|_| {
            sum += even.lognormal(1.0, skew);
            sum
        });
        let weights = weights.collect();
        let mut world = World {
            scenario: scenario.clone(),
            classes: scenario.classes(),
            size,
            now,
            ends: now + seconds(scenario.seconds),
            agenda: Agenda::default(),
            hall,
            peer,
            together,
            nodes: Vec::new(),
            places: Vec::new(),
            weights,
            orders: Vec::new(),
            tries: Vec::new(),
            chance,
            clients: Rng::new(seed, 2),
            seed,
            next_job: 0,
            next_cell,
            progress: Vec::new(),
            rate: 1.0,
            tenant: 1.0,
            loud: 1.0,
            heavy: (0.0, 1.0),
            late: 0.0,
            cut: None,
            lost: (0.0, 0.0),
            silent: false,
            held_back: Vec::new(),
            rounds: Vec::new(),
            seats: Seats::new(&scenario.nodes, halls),
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
        for place in 0..size.nodes as usize {
            let node = world.begin_node(place)?;
            world.places.push(node);
        }
        for node in world.places.clone() {
            world.tell_all(node);
        }
        world.begin_rounds();
        world.next_arrival();
        Ok(world)
    }

    /// Takes the next event; false once all is over.
    pub fn step(&mut self) -> bool {
        let Some((now, what)) = self.agenda.next() else { return false };
        // What lasts beyond the end is of no more interest than the answers owed.
        let longest = self.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let grace = seconds(longest) + Duration::from_secs(2);
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
                if self.nodes[node].wake == Some(self.now) && !self.nodes[node].dead {
                    self.nodes[node].wake = None;
                    self.nodes[node].engine.wake(self.now);
                    self.pump(node);
                }
            }
            Happening::Take { node, attempt, server, of, work } => self.take(node, attempt, server, of, work),
            Happening::Told { node, attempt, server, outcome, report } => {
                let answer = (outcome == Outcome::Served).then_some(());
                if !self.nodes[node].dead {
                    self.released(node, server, outcome);
                    self.met(node, server, outcome);
                    self.came_to(node, attempt, outcome);
                    self.nodes[node].engine.attempt_ended(
                        self.now,
                        attempt,
                        AttemptResult { outcome, report, answer },
                    );
                    self.pump(node);
                }
            }
            Happening::Probe { node, probe, server } => self.probe(node, probe, server),
            Happening::Probed { node, probe, server, outcome, report } => {
                if !self.nodes[node].dead {
                    self.released(node, server, outcome);
                    if self.nodes[node].asked.remove(&probe).is_some() {
                        self.met(node, server, outcome);
                    }
                    self.nodes[node].engine.probe_ended(self.now, probe, outcome, report);
                    self.pump(node);
                }
            }
            Happening::Rounds(hall) => self.round(hall),
            Happening::Reported(hall, name) => {
                let at = since_origin(self.now);
                self.rounds[usize::from(hall)].report(at, name);
            }
            Happening::AskBack(node, name) => self.ask_back(node, name),
            Happening::Report(node) => self.report(node),
            Happening::Judged(node, asked, word) => self.judged(node, asked, &word),
            Happening::Weighed(node, asked, word) => self.weighed(node, asked, &word),
            Happening::Silent(hall, silent) => self.told_silent(hall, &silent),
            Happening::Serve(server) => {
                if self.hall.borrow().machines[server].wake == Some(self.now) {
                    self.with(server, |m, now, out| m.model.advance(now, out));
                }
            }
            Happening::Noticed(entries) => self.noticed(entries),
            Happening::List { node, .. } if self.nodes[node].dead => {}
            Happening::List { node, entries } => {
                self.book.lists += 1;
                for e in entries.iter() {
                    let told = &mut self.nodes[node].told;
                    match e.state {
                        ServerState::Ready => drop(told.remove(&e.server)),
                        _ => drop(told.entry(e.server).or_insert(self.now)),
                    }
                }
                self.nodes[node].engine.update_servers(self.now, ListKind::Changes, entries.to_vec());
                self.pump(node);
            }
            Happening::Begin(fault) => self.begin(fault),
            Happening::End(fault) => self.end(fault),
            Happening::Again { fault, server } => self.again(fault, server),
            Happening::Batch { fault, left } => self.batch(fault, left),
            Happening::Restart { fault, left } => self.restart(fault, left),
            Happening::Back(place) => self.back(place),
            Happening::Kill { server, silent } => self.kill(server, silent),
            Happening::Start(servers) => self.start(servers),
        }
    }
    fn close(mut self) -> Book {
        for t in &self.tries {
            self.book.broken.answers += u64::from(t.answers == 0 && !t.lost);
        }
        for k in 0..self.orders.len() {
            let (o, refused) = (&self.orders[k], u64::from(self.orders[k].refused));
            let worth = o.worth;
            match o.ended {
                Some(Ok(())) => {
                    self.book.in_time += worth;
                    self.second(k).in_time += worth;
                }
                ended => {
                    let cause = ended.and_then(Result::err).unwrap_or(Cause::GivenUp);
                    *self.book.lost.entry(cause).or_default() += worth;
                    self.book.refused += refused;
                    let served = refused == 0 && !matches!(cause, Cause::ServerFailed | Cause::GivenUp);
                    self.book.late += u64::from(served);
                    self.book.failed += u64::from(refused == 0 && !served);
                    self.second(k).refused += refused;
                }
            }
        }
        self.book
    }
}
