//! Runs an [`Engine`] on one thread of tokio.
//!
//! The engine says what is to be done; this carries it out with one task for each attempt and probe, one timer for
//! everything that is due, and a clock. A protocol comes in twice: its front calls [`Host::submit`], and its servers'
//! side is an [`Upstream`].
//!
//! It decides nothing, and never waits while the engine is borrowed. Everything runs on a `LocalSet`.
//!
//! [`Host`] is made here; `lists` takes in lists of servers, `requests` clients' requests; `commands` carries out what the engine
//! asks for; `pool` keeps connections to servers; `door`, `health` and `witness` are where the fleet-wide parts come in.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod clock;
mod commands;
mod door;
mod health;
mod lists;
pub mod pool;
mod requests;
pub mod socket;
mod tickets;
mod witness;

use birchswitch_engine::{AttemptId, Engine, ProbeId};
pub use birchswitch_figures::Metrics;
use birchswitch_membership::{Directory, Target};
use clock::Clock;
pub use door::{key_hash, Admission, AdmissionPermit, AdmissionRequest, Rejection};
use finchvale::{Balancer, RequestId, ServerId, Settings, SettingsError, Time};
use health::Health;
use requests::Owed;
pub use requests::Request;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::io::Write;
use std::rc::{Rc, Weak};
use std::time::Duration;
pub use tickets::{AttemptHandle, PendingRequest, ProbeHandle};
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;
use witness::Witness;
pub use witness::{AttemptRecord, NamedServerAdjustment};

/// The servers' side of a protocol.
pub trait Upstream: Sized + 'static {
    /// What goes to a server. The engine keeps it until the request is answered.
    type Request: 'static;
    /// What a server answered, for the front of the same protocol.
    type Answer: 'static;

    /// Takes in what became of servers.
    fn update_servers(&self, targets: &[Target]);

    /// Where to count new connections, told once at the start.
    fn set_figures(&self, figures: Rc<Metrics>);

    /// Makes one attempt: gets a connection, asks [`AttemptHandle::permit_send`] right before the first byte, sends once, and tells
    /// [`AttemptHandle::finish`]. What it does after that is its own affair. Dropped when the attempt is given up: its connection
    /// has to go with it.
    fn attempt(
        self: Rc<Self>,
        server: ServerId,
        request: Rc<Self::Request>,
        ticket: AttemptHandle<Self>,
    ) -> impl Future<Output = ()> + 'static;

    /// Asks a server for its load and tells [`ProbeHandle::finish`]. Dropped when it takes too long.
    fn probe(
        self: Rc<Self>,
        server: ServerId,
        ticket: ProbeHandle<Self>,
    ) -> impl Future<Output = ()> + 'static;
}

/// See the crate's own words.
pub struct Host<U: Upstream> {
    me: Weak<Host<U>>,
    name: String,
    clock: Clock,
    upstream: Rc<U>,
    engine: RefCell<Engine<Balancer, U::Request, U::Answer>>,
    directory: RefCell<Directory>,
    replies: RefCell<FxHashMap<RequestId, Owed<U::Answer>>>,
    figures: Rc<Metrics>,
    attempts: RefCell<FxHashMap<AttemptId, AbortHandle>>,
    probes: RefCell<FxHashMap<ProbeId, (ServerId, AbortHandle)>>,
    /// Where one node asks silent servers for many.
    health: RefCell<Option<Health>>,
    /// What this node tells of servers, and hears of them.
    witness: RefCell<Option<Witness>>,
    /// When the timer goes off next, and how to tell it of something earlier.
    timer: Cell<Option<Time>>,
    earlier: Notify,
    /// Opens the watch that the decisions ask for.
    watch: RefCell<Box<dyn Fn()>>,
    revision: Cell<u64>,
    servers_listed: Cell<bool>,
    listed: Notify,
    /// Nothing more is begun: the tasks that would do it are going.
    closed: Cell<bool>,
    door: RefCell<Option<Rc<dyn Admission>>>,
    passes: RefCell<FxHashMap<RequestId, Box<dyn AdmissionPermit>>>,
    /// Longest wait that clients may be told; none: they are told none.
    max_wait: Option<Duration>,
    warm_up: Duration,
    /// When the process ends: every request is due by then.
    end: Cell<Option<Instant>>,
}

impl<U: Upstream> Host<U> {
    /// Starts with no servers and no requests. The decisions are owed [`Host::load_cached_list`] first.
    pub fn new(
        name: String,
        settings: Settings,
        seed: u64,
        directory: Directory,
        upstream: Rc<U>,
        figures: Rc<Metrics>,
    ) -> Result<Rc<Self>, SettingsError> {
        upstream.set_figures(figures.clone());
        let clock = Clock::new();
        let balancer = Balancer::new(settings.clone(), seed, clock.time(Instant::now()))?;
        let host = Rc::new_cyclic(|me: &Weak<Self>| Host {
            me: me.clone(),
            name,
            clock,
            upstream,
            engine: RefCell::new(Engine::new(balancer, &settings)),
            directory: RefCell::new(directory),
            replies: RefCell::default(),
            figures,
            attempts: RefCell::default(),
            probes: RefCell::default(),
            health: RefCell::default(),
            witness: RefCell::default(),
            timer: Cell::new(None),
            earlier: Notify::new(),
            watch: RefCell::new(Box::new(|| {})),
            revision: Cell::new(0),
            servers_listed: Cell::new(false),
            listed: Notify::new(),
            closed: Cell::new(false),
            door: RefCell::default(),
            passes: RefCell::default(),
            max_wait: settings.max_retry_after,
            warm_up: settings.rules.warm_up,
            end: Cell::new(None),
        });
        spawn_local(commands::keep_time(Rc::downgrade(&host)));
        Ok(host)
    }

    /// From now on every request passes this door. To be called before any comes.
    pub fn set_admission(&self, door: Rc<dyn Admission>) {
        self.engine.borrow_mut().report_completion();
        *self.door.borrow_mut() = Some(door);
    }

    /// What to do when the decisions ask for a watch.
    pub fn on_watch(&self, watch: impl Fn() + 'static) {
        *self.watch.borrow_mut() = Box::new(watch);
    }

    /// A line for the node's log.
    pub fn log(&self, line: fmt::Arguments) {
        // Nobody may be left to read it: that is no reason to stop serving, which `eprintln!` would make of it.
        let _ = writeln!(std::io::stderr(), "{}: {line}", self.name);
    }

    /// Version of the list held.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Whether a list was held that names a server.
    pub fn ready(&self) -> bool {
        self.servers_listed.get()
    }

    /// Waits for a list that names a server.
    pub async fn until_ready(&self) {
        let mut listed = std::pin::pin!(self.listed.notified());
        while !self.ready() {
            listed.as_mut().await;
            listed.set(self.listed.notified());
        }
    }

    /// Requests in hand.
    pub fn active_requests(&self) -> usize {
        self.engine.borrow().active_requests()
    }

    /// Begins nothing more, whatever still ends. For the process's own end.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// The process ends at that time: what is in hand then, or is taken from now on, is due by then.
    pub fn cap_deadlines(&self, end: Instant) {
        self.end.set(Some(end));
        let end = self.clock.time(end);
        self.with(|engine, _| engine.cap_deadlines(end));
    }

    fn before_end(&self, at: Instant) -> Instant {
        self.end.get().map_or(at, |end| at.min(end))
    }

    /// What this node counts.
    pub fn figures(&self) -> &Metrics {
        &self.figures
    }

    fn now(&self) -> Time {
        self.clock.time(Instant::now())
    }

    fn with<T>(&self, call: impl FnOnce(&mut Engine<Balancer, U::Request, U::Answer>, Time) -> T) -> T {
        let now = self.now();
        let value = call(&mut self.engine.borrow_mut(), now);
        self.carry_out();
        value
    }
}
