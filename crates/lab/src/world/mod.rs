//! The simulation of a scenario: one event queue in virtual time, real engines for nodes, models for servers.

mod adjustments;
mod clients;
mod faults;
mod health;
mod nodes;
mod registry;
mod servers;

use self::adjustments::{Adjustments, Coordinators};
use crate::event_queue::{EventQueue, SimEvent};
use crate::model::{Job, Progress, ServerModel};
use crate::policy::{Peer, SharedView};
use crate::pool::{at, since_origin, Server, ServerPool, ORIGIN};
use crate::rng::Rng;
use crate::scenario::{seconds, ClassSpec, Scenario, Size};
use crate::stats::{LossCause, RunStats, Second};
use birchswitch_engine::{AttemptResult, Engine, Policy, ProbeId};
use birchswitch_health::{ProbeScheduler, ProbeSuppressor};
use finchvale::{ListKind, Outcome, RequestId, ServerEntry, ServerId, ServerState, SettingsError, Time};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// How long before the client's deadline the node answers, to allow for the way back.
const MARGIN: Duration = Duration::from_millis(5);

struct Node {
    engine: Engine<Box<dyn Policy>, usize, ()>,
    zone: u8,
    wake: Option<Time>,
    requests: FxHashMap<RequestId, usize>,
    /// Servers that must receive no new requests, and when the node learned it.
    draining_since: FxHashMap<ServerId, Time>,
    /// Since when each idle connection to a server has been idle.
    idle: FxHashMap<usize, Vec<Time>>,
    /// It was killed: it receives nothing any more.
    dead: bool,
    /// Decides which probes to suppress.
    suppressor: ProbeSuppressor,
    pending_probes: FxHashMap<ProbeId, usize>,
    /// Its exchange with the failure detector and the tuner.
    adjustments: Adjustments,
}

/// A client's request with all its tries.
struct ClientRequest {
    at: Time,
    class: u8,
    tenant: u16,
    place: usize,
    work: f64,
    worth: f64,
    tries: u32,
    /// The cells in which processing began.
    started_cells: Vec<u16>,
    /// When a server first accepted it.
    first_accepted: Option<Time>,
    refused: bool,
    ended: Option<Result<(), LossCause>>,
    violated: bool,
}

struct Try {
    request: usize,
    at: Time,
    ends: Time,
    answers: u32,
    /// The latest attempt: server, send time and its true work.
    sent: Option<(usize, Time, f64)>,
    attempts: u32,
    outcome: Option<Outcome>,
    /// Its node was killed before it answered.
    lost: bool,
}

/// A running simulation; see the module documentation.
pub struct World {
    scenario: Scenario,
    classes: Vec<ClassSpec>,
    size: Size,
    now: Time,
    ends: Time,
    queue: EventQueue,
    pool: Rc<RefCell<ServerPool>>,
    peer: Peer,
    shared: Rc<RefCell<SharedView>>,
    nodes: Vec<Node>,
    /// The current node of each place in the fleet.
    places: Vec<usize>,
    /// Cumulative traffic of the places, if it is uneven.
    weights: Vec<f64>,
    client_requests: Vec<ClientRequest>,
    tries: Vec<Try>,
    rng: Rng,
    client_rng: Rng,
    seed: u64,
    next_job: Job,
    next_cell: u16,
    progress: Vec<Progress>,
    /// Active factors: on all rates, on the second tenant's rate and on the first node's traffic; fraction and factor
    /// of heavy requests.
    rate: f64,
    tenant: f64,
    loud: f64,
    heavy: (f64, f64),
    /// Additional age of all reports.
    report_delay: f64,
    /// The zone that is cut off.
    cut_zone: Option<u8>,
    /// The fraction of answers lost, and the fraction of those that is reset.
    answer_loss: (f64, f64),
    /// The registry sends no updates.
    silent: bool,
    withheld: Vec<ServerEntry>,
    /// The probe scheduler of each zone.
    probe_schedulers: Vec<ProbeScheduler>,
    /// The failure detectors of the zones, and the tuner.
    coordinators: Coordinators,
    /// The servers affected by each fault.
    affected: Vec<Vec<usize>>,
    stats: RunStats,
}

/// Runs a scenario to its end and returns its statistics.
pub fn run(scenario: &Scenario, size: Size, seed: u64, peer: Peer) -> Result<RunStats, SettingsError> {
    let mut world = World::new(scenario, size, seed, peer)?;
    while world.step() {}
    Ok(world.finish())
}

impl World {
    /// Creates a warm fleet whose nodes hold the full list and no history.
    pub fn new(scenario: &Scenario, size: Size, seed: u64, peer: Peer) -> Result<Self, SettingsError> {
        let mut rng = Rng::new(seed, 1);
        let settings = scenario.settings(size, 0);
        let halls = scenario.network.halls;
        let mut servers: Vec<Server> = Vec::new();
        let cv = scenario.servers.speed_cv;
        for index in 0..size.servers {
            let speed = rng.lognormal(1.0, cv) * scenario.speed_of(index as usize);
            let zone = (index % u32::from(halls)) as u8;
            // Cells do not span zones.
            let cell = (index / u32::from(halls) / u32::from(scenario.servers.cell)) as u16
                * u16::from(halls)
                + u16::from(zone);
            let model = ServerModel::new(scenario.capacity(speed, index as usize), Duration::ZERO, false);
            servers.push(Server::new(model, speed, zone, cell, None));
        }
        let next_cell = servers.iter().map(|m| m.cell + 1).max().unwrap_or(0);
        let pool = Rc::new(RefCell::new(ServerPool { servers, rules: settings.rules.clone() }));
        let shared = Rc::new(RefCell::new(SharedView::default()));
        let now = Time(ORIGIN);
        let mut traffic_rng = Rng::new(seed, 3);
        let mut sum = 0.0;
        let skew = scenario.nodes.skew;
        let weights = (0..size.nodes).filter(|_| skew > 0.0).map(|_| {
            sum += traffic_rng.lognormal(1.0, skew);
            sum
        });
        let weights = weights.collect();
        let mut world = World {
            scenario: scenario.clone(),
            classes: scenario.classes(),
            size,
            now,
            ends: now + seconds(scenario.seconds),
            queue: EventQueue::default(),
            pool,
            peer,
            shared,
            nodes: Vec::new(),
            places: Vec::new(),
            weights,
            client_requests: Vec::new(),
            tries: Vec::new(),
            rng,
            client_rng: Rng::new(seed, 2),
            seed,
            next_job: 0,
            next_cell,
            progress: Vec::new(),
            rate: 1.0,
            tenant: 1.0,
            loud: 1.0,
            heavy: (0.0, 1.0),
            report_delay: 0.0,
            cut_zone: None,
            answer_loss: (0.0, 0.0),
            silent: false,
            withheld: Vec::new(),
            probe_schedulers: Vec::new(),
            coordinators: Coordinators::new(&scenario.nodes, halls),
            affected: vec![Vec::new(); scenario.fault.len()],
            stats: RunStats {
                seconds: vec![Second::default(); scenario.seconds.ceil() as usize],
                ..RunStats::default()
            },
        };
        for (k, fault) in scenario.fault.iter().enumerate() {
            world.queue.schedule(at(fault.at), SimEvent::FaultBegins(k));
            if fault.until.is_finite() {
                world.queue.schedule(at(fault.until), SimEvent::FaultEnds(k));
            }
        }
        for place in 0..size.nodes as usize {
            let node = world.start_node(place)?;
            world.places.push(node);
        }
        for node in world.places.clone() {
            world.send_full_list(node);
        }
        world.start_probe_rounds();
        world.next_arrival();
        Ok(world)
    }

    /// Handles the next event; returns false at the end of the run.
    pub fn step(&mut self) -> bool {
        let Some((now, event)) = self.queue.pop() else { return false };
        // Events after the end matter only until the last answer is due.
        let longest = self.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let grace = seconds(longest) + Duration::from_secs(2);
        if now > self.ends + grace {
            return false;
        }
        self.now = now;
        self.handle_event(event);
        true
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientArrival => self.client_arrival(),
            SimEvent::ClientRetry(request) => self.submit_try(request),
            SimEvent::NodeWake(node) => {
                if self.nodes[node].wake == Some(self.now) && !self.nodes[node].dead {
                    self.nodes[node].wake = None;
                    self.nodes[node].engine.wake(self.now);
                    self.run_commands(node);
                }
            }
            SimEvent::AttemptArrived { node, attempt, server, try_index, work } => {
                self.attempt_arrived(node, attempt, server, try_index, work)
            }
            SimEvent::AttemptEnded { node, attempt, server, outcome, report } => {
                let answer = (outcome == Outcome::Served).then_some(());
                if !self.nodes[node].dead {
                    self.return_connection(node, server, outcome);
                    self.record_contact(node, server, outcome);
                    self.record_attempt_end(node, attempt, outcome);
                    self.nodes[node].engine.attempt_ended(
                        self.now,
                        attempt,
                        AttemptResult { outcome, report, answer },
                    );
                    self.run_commands(node);
                }
            }
            SimEvent::ProbeArrived { node, probe, server } => self.probe_arrived(node, probe, server),
            SimEvent::ProbeEnded { node, probe, server, outcome, report } => {
                if !self.nodes[node].dead {
                    self.return_connection(node, server, outcome);
                    if self.nodes[node].pending_probes.remove(&probe).is_some() {
                        self.record_contact(node, server, outcome);
                    }
                    self.nodes[node].engine.probe_ended(self.now, probe, outcome, report);
                    self.run_commands(node);
                }
            }
            SimEvent::ProbeRound(zone) => self.probe_round(zone),
            SimEvent::SilenceReported(zone, name) => {
                let at = since_origin(self.now);
                self.probe_schedulers[usize::from(zone)].report(at, name);
            }
            SimEvent::ReprobeServer(node, name) => self.reprobe(node, name),
            SimEvent::SendReport(node) => self.send_report(node),
            SimEvent::EjectionsReceived(node, requested_at, list) => {
                self.receive_ejections(node, requested_at, &list)
            }
            SimEvent::WeightsReceived(node, requested_at, list) => {
                self.receive_weights(node, requested_at, &list)
            }
            SimEvent::SilentServers(zone, silent) => self.apply_silent_servers(zone, &silent),
            SimEvent::ServerWake(server) => {
                if self.pool.borrow().servers[server].wake == Some(self.now) {
                    self.with_server(server, |m, now, out| m.model.advance(now, out));
                }
            }
            SimEvent::RegistryChanged(entries) => self.registry_changed(entries),
            SimEvent::ListDelivered { node, .. } if self.nodes[node].dead => {}
            SimEvent::ListDelivered { node, entries } => {
                self.stats.lists += 1;
                for e in entries.iter() {
                    let told = &mut self.nodes[node].draining_since;
                    match e.state {
                        ServerState::Ready => drop(told.remove(&e.server)),
                        _ => drop(told.entry(e.server).or_insert(self.now)),
                    }
                }
                self.nodes[node].engine.update_servers(self.now, ListKind::Changes, entries.to_vec());
                self.run_commands(node);
            }
            SimEvent::FaultBegins(fault) => self.begin_fault(fault),
            SimEvent::FaultEnds(fault) => self.end_fault(fault),
            SimEvent::FaultRepeats { fault, server } => self.repeat_fault(fault, server),
            SimEvent::ReleaseBatch { fault, left } => self.release_batch(fault, left),
            SimEvent::RestartBatch { fault, left } => self.restart_batch(fault, left),
            SimEvent::NodeBack(place) => self.restart_node(place),
            SimEvent::KillServer { server, silent } => self.kill_server(server, silent),
            SimEvent::StartServers(servers) => self.start_servers(servers),
        }
    }
    fn finish(mut self) -> RunStats {
        for t in &self.tries {
            self.stats.violations.answers += u64::from(t.answers == 0 && !t.lost);
        }
        for k in 0..self.client_requests.len() {
            let (request, refused) = (&self.client_requests[k], u64::from(self.client_requests[k].refused));
            let worth = request.worth;
            match request.ended {
                Some(Ok(())) => {
                    self.stats.in_time += worth;
                    self.second_stats(k).in_time += worth;
                }
                ended => {
                    let cause = ended.and_then(Result::err).unwrap_or(LossCause::GivenUp);
                    *self.stats.lost.entry(cause).or_default() += worth;
                    self.stats.refused += refused;
                    let served =
                        refused == 0 && !matches!(cause, LossCause::ServerFailed | LossCause::GivenUp);
                    self.stats.late += u64::from(served);
                    self.stats.failed += u64::from(refused == 0 && !served);
                    self.second_stats(k).refused += refused;
                }
            }
        }
        self.stats
    }
}
