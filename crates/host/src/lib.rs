//! Runs an [`Engine`] on one thread of tokio.
//!
//! The host carries out the engine's [commands](birchswitch_engine::Command): it runs one task per attempt
//! and per probe, one timer for all scheduled events, and provides the clock. Each protocol has two sides:
//! its front calls [`Host::submit`], and its upstream side implements [`Upstream`].
//!
//! The host makes no decisions and never awaits while the engine is borrowed. Everything runs on a
//! `LocalSet`.
//!
//! Modules: `lists` applies lists of servers, `requests` submits clients' requests, `commands` runs the
//! engine's commands, `handles` holds what protocols use to report back, `pool` keeps connections to servers;
//! `delivery` holds a request's last byte back until it would reach its server in time, `input_progress` tells how a
//! message arrives from a client;
//! `admission`, `health` and `observations` connect the fleet-wide parts.

#![deny(unsafe_code)]
#![deny(missing_docs)]

mod admission;
mod clock;
mod commands;
pub mod delivery;
mod handles;
mod health;
pub mod input_progress;
mod lists;
mod observations;
pub mod pool;
mod requests;
pub mod socket;
mod tcp_info;

pub use admission::{key_hash, Admission, AdmissionPermit, AdmissionRequest, Rejection};
use birchswitch_engine::{AttemptId, Engine, ProbeId};
pub use birchswitch_figures::Metrics;
use birchswitch_membership::{Directory, Target};
use clock::Clock;
use finchvale::{Balancer, RequestId, ServerId, Settings, SettingsError, Time};
pub use handles::{AttemptHandle, PendingRequest, ProbeHandle, SendGrant};
use health::SilenceTracker;
use observations::ServerObserver;
pub use observations::{AttemptRecord, NamedServerAdjustment};
use requests::PendingReply;
pub use requests::Request;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::io::Write;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

/// The upstream side of a protocol.
pub trait Upstream: Sized + 'static {
    /// The request sent to a server. The engine keeps it until the request is closed.
    type Request: 'static;
    /// A server's answer, for the front of the same protocol.
    type Answer: 'static;

    /// Applies changes of servers.
    fn update_servers(&self, targets: &[Target]);

    /// Sets the metrics in which new connections are counted. Called once, at the start.
    fn set_metrics(&self, metrics: Rc<Metrics>);

    /// Makes one attempt: gets a connection, calls [`AttemptHandle::permit_send`] immediately before the
    /// first byte, sends the request once, and reports the end to [`AttemptHandle::finish`]. It may continue
    /// after that, for instance to release the connection. The future is dropped when the attempt is
    /// cancelled, and has to close its connection with it.
    fn attempt(
        self: Rc<Self>,
        server: ServerId,
        request: Rc<Self::Request>,
        handle: AttemptHandle<Self>,
    ) -> impl Future<Output = ()> + 'static;

    /// Asks a server for its load and reports the result to [`ProbeHandle::finish`]. The future is dropped on
    /// timeout.
    fn probe(
        self: Rc<Self>,
        server: ServerId,
        handle: ProbeHandle<Self>,
    ) -> impl Future<Output = ()> + 'static;
}

/// Runs an engine for one protocol. See the crate documentation.
pub struct Host<U: Upstream> {
    this: Weak<Host<U>>,
    name: String,
    clock: Clock,
    upstream: Rc<U>,
    engine: RefCell<Engine<Balancer, U::Request, U::Answer>>,
    directory: RefCell<Directory>,
    replies: RefCell<FxHashMap<RequestId, PendingReply<U::Answer>>>,
    metrics: Rc<Metrics>,
    attempts: RefCell<FxHashMap<AttemptId, AbortHandle>>,
    probes: RefCell<FxHashMap<ProbeId, (ServerId, AbortHandle)>>,
    /// Present if one node of the zone probes unresponsive servers for all.
    silence: RefCell<Option<SilenceTracker>>,
    /// Present if attempt ends are reported to fleet-wide parts.
    observer: RefCell<Option<ServerObserver>>,
    /// When the timer fires next. `timer_changed` is notified when an earlier event is scheduled.
    armed_wake: Cell<Option<Time>>,
    timer_changed: Notify,
    /// Opens the watch on the list of servers when the policy asks for it.
    watch_callback: RefCell<Box<dyn Fn()>>,
    revision: Cell<u64>,
    has_servers: Cell<bool>,
    servers_available: Notify,
    /// Set at the end of the process: no more commands are run, since the tasks for them are being dropped.
    closed: Cell<bool>,
    admission: RefCell<Option<Rc<dyn Admission>>>,
    permits: RefCell<FxHashMap<RequestId, Box<dyn AdmissionPermit>>>,
    /// Longest retry delay sent to clients; with `None`, no delay is sent.
    max_wait: Option<Duration>,
    warm_up: Duration,
    /// When the process ends, which caps the deadlines of all requests.
    shutdown_deadline: Cell<Option<Instant>>,
}

impl<U: Upstream> Host<U> {
    /// Creates a host without servers or requests. [`Host::load_cached_list`] has to be called first.
    pub fn new(
        name: String,
        settings: Settings,
        seed: u64,
        directory: Directory,
        upstream: Rc<U>,
        metrics: Rc<Metrics>,
    ) -> Result<Rc<Self>, SettingsError> {
        upstream.set_metrics(metrics.clone());
        let clock = Clock::new();
        let balancer = Balancer::new(settings.clone(), seed, clock.time(Instant::now()))?;
        let host = Rc::new_cyclic(|this: &Weak<Self>| Host {
            this: this.clone(),
            name,
            clock,
            upstream,
            engine: RefCell::new(Engine::new(balancer, &settings)),
            directory: RefCell::new(directory),
            replies: RefCell::default(),
            metrics,
            attempts: RefCell::default(),
            probes: RefCell::default(),
            silence: RefCell::default(),
            observer: RefCell::default(),
            armed_wake: Cell::new(None),
            timer_changed: Notify::new(),
            watch_callback: RefCell::new(Box::new(|| {})),
            revision: Cell::new(0),
            has_servers: Cell::new(false),
            servers_available: Notify::new(),
            closed: Cell::new(false),
            admission: RefCell::default(),
            permits: RefCell::default(),
            max_wait: settings.max_retry_after,
            warm_up: settings.rules.warm_up,
            shutdown_deadline: Cell::new(None),
        });
        spawn_local(commands::run_timer(Rc::downgrade(&host)));
        Ok(host)
    }

    /// Sets the admission control for all requests. Has to be called before the first request.
    pub fn set_admission(&self, admission: Rc<dyn Admission>) {
        self.engine.borrow_mut().report_completion();
        *self.admission.borrow_mut() = Some(admission);
    }

    /// Sets the callback that opens a watch on the list of servers when the policy asks for it.
    pub fn on_watch(&self, watch: impl Fn() + 'static) {
        *self.watch_callback.borrow_mut() = Box::new(watch);
    }

    /// Writes a line to the node's log on standard error.
    pub fn log(&self, line: fmt::Arguments) {
        // `eprintln!` panics if standard error is closed, which must not stop the node.
        let _ = writeln!(std::io::stderr(), "{}: {line}", self.name);
    }

    /// Returns the revision of the current list.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns whether any list so far named a server.
    pub fn ready(&self) -> bool {
        self.has_servers.get()
    }

    /// Waits until a list names a server.
    pub async fn until_ready(&self) {
        let mut listed = std::pin::pin!(self.servers_available.notified());
        while !self.ready() {
            listed.as_mut().await;
            listed.set(self.servers_available.notified());
        }
    }

    /// Returns the number of requests that are open or have an attempt in flight.
    pub fn active_requests(&self) -> usize {
        self.engine.borrow().active_requests()
    }

    /// Stops running commands. To be called at the end of the process.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Caps the deadlines of all current and future requests at `end`, the end of the process.
    pub fn cap_deadlines(&self, end: Instant) {
        self.shutdown_deadline.set(Some(end));
        let end = self.clock.time(end);
        self.with_engine(|engine, _| engine.cap_deadlines(end));
    }

    fn clamp_to_shutdown(&self, at: Instant) -> Instant {
        self.shutdown_deadline.get().map_or(at, |end| at.min(end))
    }

    /// Returns the node's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn now(&self) -> Time {
        self.clock.time(Instant::now())
    }

    fn with_engine<T>(
        &self,
        call: impl FnOnce(&mut Engine<Balancer, U::Request, U::Answer>, Time) -> T,
    ) -> T {
        let now = self.now();
        let value = call(&mut self.engine.borrow_mut(), now);
        self.run_commands();
        value
    }
}
