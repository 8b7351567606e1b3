//! Runs a [`Core`] on one UDP socket and one timer of tokio, and writes what changes as structured events.
//!
//! It decides nothing. Datagrams that the socket would not take are lost like others on the way. All of it runs on the node's
//! own thread: when that is held up the core notices, and distrusts itself before others.

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

/// What the system may hold for this process while it is busy; it may give less.
const BUFFER: usize = 1 << 20;
/// Datagrams taken in a row before others on this thread have their turn.
const TURN: usize = 64;
/// Between steps towards the node's place on the ring.
const STEP: Duration = Duration::from_millis(500);
/// After a socket's error.
const PAUSE: Duration = Duration::from_millis(10);

/// Why a member can't be started.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The socket can't be had.
    #[error("cluster: cannot listen on {address}: {source}")]
    Bind {
        /// Where.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The node's name is none for a member.
    #[error("cluster: the node's name {0:?} can't be a member's: name one with `node`")]
    Name(String),
    /// The settings make no sense.
    #[error("cluster: {0}")]
    Settings(#[from] SettingsError),
}

/// Who starts: for the member's record.
pub struct Identity<'a> {
    /// The node's name.
    pub name: &'a str,
    /// Version of the program.
    pub program: &'a str,
    /// For random numbers.
    pub seed: u64,
}

/// A member that runs.
pub struct Cluster {
    name: String,
    core: RefCell<Core>,
    socket: UdpSocket,
    began: Instant,
    earlier: Notify,
    place: Cell<Option<RingPosition>>,
    ring: bool,
    lanes: RefCell<Vec<(u8, Rc<Lane>)>>,
}

/// Takes what came for another part of the program, and whence.
pub type Lane = dyn Fn(SocketAddr, &[u8]);

impl Cluster {
    /// Binds the socket; nothing is sent before [`Cluster::run`]. Has to be called inside a runtime.
    pub fn open(compiled: &ClusterSettings, who: &Identity) -> Result<Rc<Self>, ClusterError> {
        let bind = |source| ClusterError::Bind { address: compiled.bind, source };
        let socket = bound(compiled.bind).map_err(bind)?;
        let local = socket.local_addr().map_err(bind)?;
        let name = compiled.node.clone().unwrap_or_else(|| who.name.to_owned());
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // The seed is the platform's and may be the same at each start: two processes must differ all the same.
        let draw = (since.as_nanos() as u32) ^ std::process::id().rotate_left(16) ^ who.seed as u32;
        let record = Record {
            name: name.clone(),
            address: compiled.advertise.unwrap_or(local),
            zone: compiled.zone.clone(),
            program: who.program.to_owned(),
            generation: Generation { started: since.as_millis() as u64, draw },
            incarnation: 1,
            values: Vec::new(),
            tail: Vec::new(),
        };
        if !record.is_valid() {
            return Err(ClusterError::Name(name));
        }
        let seed = who.seed ^ u64::from(draw) << 32;
        let core = Core::new(compiled.settings.clone(), record, seed, Duration::ZERO)?;
        tracing::info!(target: "cluster", kind = "listening", address = %local, member = name, draw);
        Ok(Rc::new(Cluster {
            name: compiled.settings.cluster.clone(),
            core: RefCell::new(core),
            socket,
            began: Instant::now(),
            earlier: Notify::new(),
            place: Cell::new(None),
            ring: compiled.ring,
            lanes: RefCell::default(),
        }))
    }

    /// Takes part for good. `placed` is told the node's place on the ring whenever it moved, with the nodes as last agreed.
    pub async fn run(self: Rc<Self>, placed: impl Fn(f64, u32)) {
        let mut buffer = [0; 2048];
        let mut step = Instant::now() + STEP;
        loop {
            let next = self.core.borrow().next_wake();
            let next = if next == Duration::MAX { step } else { (self.began + next).min(step) };
            tokio::select! {
                biased;
                came = self.socket.recv_from(&mut buffer) => match came {
                    Ok((length, from)) => self.take(from, &mut buffer, length).await,
                    Err(_) => tokio::time::sleep(PAUSE).await,
                },
                () = self.earlier.notified() => {}
                () = sleep_until(next) => self.handle(Event::Wake),
            }
            if Instant::now() >= step {
                step = Instant::now() + STEP;
                self.step(&placed);
            }
        }
    }

    /// Takes a datagram and others that are there already.
    async fn take(&self, from: SocketAddr, buffer: &mut [u8], length: usize) {
        let mut came = Ok((length, from));
        for _ in 0..TURN {
            let Ok((length, from)) = came else { return };
            self.handle(Event::Received { from, bytes: buffer[..length].to_vec() });
            came = self.socket.try_recv_from(buffer);
        }
        if let Ok((length, from)) = came {
            self.handle(Event::Received { from, bytes: buffer[..length].to_vec() });
        }
        tokio::task::yield_now().await;
    }

    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.core.borrow_mut().handle(self.began.elapsed(), event, &mut actions);
        for action in actions {
            match action {
                // What does not go is lost, as on the way.
                Action::Send { to, bytes } => drop(self.socket.try_send_to(&bytes, to)),
                Action::PayloadReceived { from, lane, bytes } => {
                    let takes = self.lanes.borrow().iter().find(|l| l.0 == lane).map(|l| l.1.clone());
                    takes.iter().for_each(|takes| takes(from, &bytes));
                }
                Action::Changed(change) => self.log(&change),
            }
        }
    }

    fn step(&self, placed: &impl Fn(f64, u32)) {
        let (core, now) = (self.core.borrow(), self.began.elapsed());
        // Who hears nobody, or is no member, stays where it was.
        if !self.ring || !matches!(core.standing(), Standing::Majority | Standing::Minority) {
            return;
        }
        let (rank, agreed) = (core.rank(), core.agreed_size() as u32);
        drop(core);
        let mut place = self.place.get().unwrap_or(RingPosition::new(now, rank));
        let moved = self.place.get().is_none() | place.advance(now, rank);
        self.place.set(Some(place));
        if moved {
            placed(place.fraction(), agreed);
            tracing::info!(target: "cluster", kind = "place", at = place.fraction(), index = rank.0, of = rank.1);
        }
    }

    /// Tells others something of this node.
    pub fn publish(&self, topic: Topic, bytes: Vec<u8>) {
        self.handle(Event::Publish { topic, bytes });
        self.earlier.notify_one();
    }

    /// From now on what comes on that lane is handed over.
    pub fn open_lane(&self, lane: u8, takes: Rc<Lane>) {
        self.lanes.borrow_mut().push((lane, takes));
    }

    /// Sends something to another part of a program, once.
    pub fn send_payload(&self, to: SocketAddr, lane: u8, bytes: Vec<u8>) {
        self.handle(Event::SendPayload { to, lane, bytes });
    }

    /// Says farewell. False: it was no member any more.
    pub fn leave(&self) -> bool {
        let member = self.core.borrow().standing() != Standing::Gone;
        self.handle(Event::Leave);
        member
    }

    /// The cluster's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The member.
    pub fn core(&self) -> std::cell::Ref<'_, Core> {
        self.core.borrow()
    }

    /// All members, a line each, this node's first: name, state, seconds since, zone, address, program, life, incarnation, and
    /// the list of servers that it holds.
    pub fn members_text(&self) -> String {
        let (core, now) = (self.core.borrow(), self.began.elapsed());
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
            // Writing to a string never fails.
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
        let named = |id: &MemberId| core.member(*id).map_or(String::new(), |m| m.record.name.clone());
        let draw = |id: &MemberId| core.member(*id).map_or(0, |m| m.record.generation.draw);
        macro_rules! about {
            ($kind:literal, $id:expr) => {
                tracing::info!(target: "cluster", kind = $kind, member = named($id), draw = draw($id))
            };
        }
        let incarnation = core.own().incarnation;
        match change {
            Change::Joined(id) => about!("joined", id),
            Change::Returned(id) => about!("returned", id),
            Change::Suspected(id) => about!("suspected", id),
            Change::Cleared(id) => about!("cleared", id),
            Change::Died { member, own: true } => about!("verdict", member),
            Change::Died { member, own: false } => about!("dead", member),
            Change::Left(id) => about!("left", id),
            Change::Local(trouble) => match trouble {
                LocalEvent::Stalled(late) => {
                    tracing::warn!(target: "cluster", kind = "held_up", ms = late.as_millis() as u64, incarnation);
                }
                LocalEvent::CutOff => tracing::warn!(target: "cluster", kind = "cut_off"),
                LocalEvent::Reconnected => tracing::info!(target: "cluster", kind = "hears"),
                LocalEvent::Refuted { claimed, incarnation } => {
                    tracing::info!(target: "cluster", kind = "refuted", held = state_name(*claimed), incarnation);
                }
                LocalEvent::DuplicateName(other) => {
                    tracing::error!(target: "cluster", kind = "twin", other = %other)
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

/// How operators and logs read a state.
fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

fn bound(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // Less is no reason not to start.
    let _ = socket.set_recv_buffer_size(BUFFER);
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
