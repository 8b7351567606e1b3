//! Runs a [`Core`] on a tokio UDP socket and timer, and logs membership changes as structured
//! events.
//!
//! This crate makes no decisions of its own. Datagrams that the socket does not accept are dropped,
//! as if they had been lost in transit. Everything runs on the node's own thread: if that thread is
//! held up, the core notices and distrusts itself before it distrusts others.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod settings;

pub use settings::{ClusterSettings, ClusterTable, Drill, HumanDuration, SettingError, SettingSpans};

use birchswitch_cluster::ring::RingPosition;
use birchswitch_cluster::{
    Action, Change, Core, Event, Generation, LocalEvent, MemberId, Record, SettingsError, Standing, State,
    Topic,
};
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Requested size of the socket's receive buffer, for datagrams that arrive while the process is
/// busy. The system may grant less.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;
/// Datagrams handled in a row before other tasks on this thread get a turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Interval between updates of the node's position on the ring.
const RING_STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a socket error.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Why a member could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The socket could not be bound.
    #[error("cluster: cannot listen on {address}: {source}")]
    Bind {
        /// The address to listen on.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The node's name cannot be used as a member name.
    #[error("cluster: the node's name {0:?} can't be a member's: name one with `node`")]
    Name(String),
    /// The settings are invalid.
    #[error("cluster: {0}")]
    Settings(#[from] SettingsError),
}

/// The identity of the starting node, for its record.
pub struct Identity<'a> {
    /// The node's name.
    pub name: &'a str,
    /// Version of the program.
    pub program: &'a str,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A running cluster member.
pub struct Cluster {
    name: String,
    core: RefCell<Core>,
    socket: UdpSocket,
    started: Instant,
    wake_early: Notify,
    position: Cell<Option<RingPosition>>,
    ring: bool,
    lanes: RefCell<Vec<(u8, Rc<LaneHandler>)>>,
}

/// Handles the payloads that arrive on a lane; called with the sender's address and the payload.
pub type LaneHandler = dyn Fn(SocketAddr, &[u8]);

impl Cluster {
    /// Binds the socket. Nothing is sent before [`Cluster::run`]. Must be called inside a tokio
    /// runtime.
    pub fn open(settings: &ClusterSettings, identity: &Identity) -> Result<Rc<Self>, ClusterError> {
        let bind = |source| ClusterError::Bind { address: settings.bind, source };
        let socket = bind_socket(settings.bind).map_err(bind)?;
        let local = socket.local_addr().map_err(bind)?;
        let name = settings.node.clone().unwrap_or_else(|| identity.name.to_owned());
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // The platform may pass the same seed at each start, and two processes must still differ.
        let draw = (since.as_nanos() as u32) ^ std::process::id().rotate_left(16) ^ identity.seed as u32;
        let record = Record {
            name: name.clone(),
            address: settings.advertise.unwrap_or(local),
            zone: settings.zone.clone(),
            program: identity.program.to_owned(),
            generation: Generation { started: since.as_millis() as u64, draw },
            incarnation: 1,
            values: Vec::new(),
            tail: Vec::new(),
        };
        if !record.is_valid() {
            return Err(ClusterError::Name(name));
        }
        let seed = identity.seed ^ u64::from(draw) << 32;
        let core = Core::new(settings.settings.clone(), record, seed, Duration::ZERO)?;
        tracing::info!(target: "cluster", kind = "listening", address = %local, member = name, draw);
        Ok(Rc::new(Cluster {
            name: settings.settings.cluster.clone(),
            core: RefCell::new(core),
            socket,
            started: Instant::now(),
            wake_early: Notify::new(),
            position: Cell::new(None),
            ring: settings.ring,
            lanes: RefCell::default(),
        }))
    }

    /// Runs the member indefinitely. `on_position` is called with the node's position on the ring
    /// and the agreed fleet size whenever the position has changed.
    pub async fn run(self: Rc<Self>, on_position: impl Fn(f64, u32)) {
        let mut buffer = [0; 2048];
        let mut next_step = Instant::now() + RING_STEP_INTERVAL;
        loop {
            let next = self.core.borrow().next_wake();
            let next = if next == Duration::MAX { next_step } else { (self.started + next).min(next_step) };
            tokio::select! {
                biased;
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive_batch(from, &mut buffer, length).await,
                    Err(_) => tokio::time::sleep(SOCKET_ERROR_PAUSE).await,
                },
                () = self.wake_early.notified() => {}
                () = sleep_until(next) => self.handle(Event::Wake),
            }
            if Instant::now() >= next_step {
                next_step = Instant::now() + RING_STEP_INTERVAL;
                self.update_position(&on_position);
            }
        }
    }

    /// Handles a received datagram and any others that are already waiting.
    async fn receive_batch(&self, from: SocketAddr, buffer: &mut [u8], length: usize) {
        let mut received = Ok((length, from));
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, from)) = received else { return };
            self.handle(Event::Received { from, bytes: buffer[..length].to_vec() });
            received = self.socket.try_recv_from(buffer);
        }
        if let Ok((length, from)) = received {
            self.handle(Event::Received { from, bytes: buffer[..length].to_vec() });
        }
        tokio::task::yield_now().await;
    }

    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.core.borrow_mut().handle(self.started.elapsed(), event, &mut actions);
        for action in actions {
            match action {
                // A datagram that cannot be sent now counts as lost in transit.
                Action::Send { to, bytes } => drop(self.socket.try_send_to(&bytes, to)),
                Action::PayloadReceived { from, lane, bytes } => {
                    let handler = self.lanes.borrow().iter().find(|l| l.0 == lane).map(|l| l.1.clone());
                    handler.iter().for_each(|handler| handler(from, &bytes));
                }
                Action::Changed(change) => self.log(&change),
            }
        }
    }

    fn update_position(&self, on_position: &impl Fn(f64, u32)) {
        let (core, now) = (self.core.borrow(), self.started.elapsed());
        // A node that is cut off or is not a member keeps its position.
        if !self.ring || !matches!(core.standing(), Standing::Majority | Standing::Minority) {
            return;
        }
        let (rank, agreed) = (core.rank(), core.agreed_size() as u32);
        drop(core);
        let mut position = self.position.get().unwrap_or(RingPosition::new(now, rank));
        let moved = self.position.get().is_none() | position.advance(now, rank);
        self.position.set(Some(position));
        if moved {
            on_position(position.fraction(), agreed);
            tracing::info!(target: "cluster", kind = "place", at = position.fraction(), index = rank.0, of = rank.1);
        }
    }

    /// Publishes a value in this node's record.
    pub fn publish(&self, topic: Topic, bytes: Vec<u8>) {
        self.handle(Event::Publish { topic, bytes });
        self.wake_early.notify_one();
    }

    /// Registers the handler of a lane.
    pub fn open_lane(&self, lane: u8, handler: Rc<LaneHandler>) {
        self.lanes.borrow_mut().push((lane, handler));
    }

    /// Sends a payload to another component, once and without a delivery guarantee.
    pub fn send_payload(&self, to: SocketAddr, lane: u8, bytes: Vec<u8>) {
        self.handle(Event::SendPayload { to, lane, bytes });
    }

    /// Leaves the cluster. Returns false if the node was no longer a member.
    pub fn leave(&self) -> bool {
        let member = self.core.borrow().standing() != Standing::Gone;
        self.handle(Event::Leave);
        member
    }

    /// The cluster's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The membership core.
    pub fn core(&self) -> std::cell::Ref<'_, Core> {
        self.core.borrow()
    }

    /// All members, one line each, starting with this node: name, state, seconds in that state,
    /// zone, address, program version, start time, incarnation, and the revision of the server list
    /// that the member holds.
    pub fn members_text(&self) -> String {
        let (core, now) = (self.core.borrow(), self.started.elapsed());
        let standing = format!("{:?}", core.standing()).to_lowercase();
        let mut text = format!(
            "# {} of {} members as last agreed, {standing}, health {}\n# name state since_s zone address program started incarnation list\n",
            core.live_count(), core.agreed_size(), core.health_score()
        );
        let mut line = |record: &Record, state: &str, since: Duration, incarnation: u64| {
            let list =
                record.value(Topic::ServerList).and_then(|b| b.try_into().ok()).map(u64::from_le_bytes);
            let list = list.map_or("-".to_owned(), |l| l.to_string());
            let Record { name, zone, address, program, generation, .. } = record;
            let since = now.saturating_sub(since).as_secs();
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{name} {state} {since} {zone} {address} {program} {} {incarnation} {list}",
                generation.started
            );
        };
        line(core.own(), "own", Duration::ZERO, core.own().incarnation);
        let mut members: Vec<_> = core.members().map(|(_, m)| m).collect();
        members.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        for m in members {
            line(&m.record, state_name(m.state), m.since, m.incarnation);
        }
        text
    }

    fn log(&self, change: &Change) {
        let core = self.core.borrow();
        let member_name = |id: &MemberId| core.member(*id).map_or(String::new(), |m| m.record.name.clone());
        let draw = |id: &MemberId| core.member(*id).map_or(0, |m| m.record.generation.draw);
        macro_rules! member_event {
            ($kind:literal, $id:expr) => {
                tracing::info!(target: "cluster", kind = $kind, member = member_name($id), draw = draw($id))
            };
        }
        let incarnation = core.own().incarnation;
        match change {
            Change::Joined(id) => member_event!("joined", id),
            Change::Returned(id) => member_event!("returned", id),
            Change::Suspected(id) => member_event!("suspected", id),
            Change::Cleared(id) => member_event!("cleared", id),
            Change::Died { member, own: true } => member_event!("verdict", member),
            Change::Died { member, own: false } => member_event!("dead", member),
            Change::Left(id) => member_event!("left", id),
            Change::Local(event) => match event {
                LocalEvent::Stalled(late) => {
                    tracing::warn!(target: "cluster", kind = "held_up", ms = late.as_millis() as u64, incarnation);
                }
                LocalEvent::CutOff => tracing::warn!(target: "cluster", kind = "cut_off"),
                LocalEvent::Reconnected => tracing::info!(target: "cluster", kind = "hears"),
                LocalEvent::Refuted { claimed, incarnation } => {
                    tracing::info!(target: "cluster", kind = "refuted", held = state_name(*claimed), incarnation);
                }
                LocalEvent::DuplicateName(at) => {
                    tracing::error!(target: "cluster", kind = "twin", other = %at)
                }
                LocalEvent::Yielded(to) => tracing::error!(target: "cluster", kind = "yielded", to = %to),
                LocalEvent::Standing(standing) => {
                    let (fleet, agreed) = (core.live_count(), core.agreed_size());
                    let standing = format!("{standing:?}").to_lowercase();
                    tracing::info!(target: "cluster", kind = "standing", standing, fleet, agreed);
                }
            },
        }
    }
}

/// The name of a state in logs and in operators' tables.
fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

fn bind_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // A smaller buffer is no reason not to start.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
