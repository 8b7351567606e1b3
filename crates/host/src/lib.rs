//! Runs an [`Engine`] on one thread of tokio.
//!
//! The engine says what is to be done; this carries it out with one task for each attempt and probe, one timer for
//! everything that is due, and a clock. A protocol comes in twice: its front calls [`Host::arrive`], and its servers'
//! side is an [`Upstream`].
//!
//! It decides nothing, and never waits while the engine is borrowed. Everything runs on a `LocalSet`.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod door;
mod health;
pub mod pool;
pub mod socket;
mod tickets;
mod witness;

use birchswitch_engine::{Answer, AttemptId, Command, Duplicate, Engine, Incoming, ProbeId};
use birchswitch_figures::Disposition;
pub use birchswitch_figures::Figures;
use birchswitch_health::Short;
use birchswitch_membership::{list::ServerList, Directory, Target};
pub use door::{key_hash, Door, Entering, Pass, Turned};
use finchvale::{
    Balancer, ClassId, ListKind, Outcome, RequestId, ServerEntry, ServerId, Settings, SettingsError, Time,
};
use health::Health;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::io::Write;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tickets::Asker;
pub use tickets::{ProbeTicket, Taken, Ticket};
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};
use witness::Witness;
pub use witness::{End, Said};

/// The servers' side of a protocol.
pub trait Upstream: Sized + 'static {
    /// What goes to a server. The engine keeps it until the request is answered.
    type Request: 'static;
    /// What a server answered, for the front of the same protocol.
    type Answer: 'static;

    /// Takes in what became of servers.
    fn learn(&self, targets: &[Target]);

    /// Where to count new connections, told once at the start.
    fn count(&self, figures: Rc<Figures>);

    /// Makes one attempt: gets a connection, asks [`Ticket::clear`] right before the first byte, sends once, and tells
    /// [`Ticket::end`]. What it does after that is its own affair. Dropped when the attempt is given up: its connection
    /// has to go with it.
    fn attempt(
        self: Rc<Self>,
        server: ServerId,
        request: Rc<Self::Request>,
        ticket: Ticket<Self>,
    ) -> impl Future<Output = ()> + 'static;

    /// Asks a server for its load and tells [`ProbeTicket::end`]. Dropped when it takes too long.
    fn probe(
        self: Rc<Self>,
        server: ServerId,
        ticket: ProbeTicket<Self>,
    ) -> impl Future<Output = ()> + 'static;
}

/// The decisions' clock: Unix time at the process's start, and monotonic from there.
#[derive(Clone, Copy)]
struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix }
    }

    fn time(&self, at: Instant) -> Time {
        Time(0) + self.unix + at.saturating_duration_since(self.started)
    }

    fn instant(&self, at: Time) -> Instant {
        self.started + (at - (Time(0) + self.unix))
    }
}

/// A client's request, with its times on tokio's clock.
pub struct Request<R> {
    /// The engine's part of it; its times are filled in here.
    pub incoming: Incoming<R>,
    /// When the decisions have to be over.
    pub due: Instant,
    /// When the answer goes out whatever they say.
    pub last: Instant,
    /// The hash of its key, where it has one.
    pub key: Option<u64>,
}

/// Whom an answer is owed to, and the class of the request, for the figures.
type Owed<A> = (ClassId, oneshot::Sender<Answer<A>>);

/// See the crate's own words.
pub struct Host<U: Upstream> {
    me: Weak<Host<U>>,
    name: String,
    clock: Clock,
    upstream: Rc<U>,
    engine: RefCell<Engine<Balancer, U::Request, U::Answer>>,
    directory: RefCell<Directory>,
    replies: RefCell<FxHashMap<RequestId, Owed<U::Answer>>>,
    figures: Rc<Figures>,
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
    door: RefCell<Option<Rc<dyn Door>>>,
    passes: RefCell<FxHashMap<RequestId, Box<dyn Pass>>>,
    /// Longest wait that clients may be told; none: they are told none.
    max_wait: Option<Duration>,
    warm_up: Duration,
    /// When the process ends: every request is due by then.
    end: Cell<Option<Instant>>,
}

/// Stands for requests that were turned away at the door: the engine never knew them.
const NONE: RequestId = RequestId(u64::MAX);

impl<U: Upstream> Host<U> {
    /// Starts with no servers and no requests. The decisions are owed [`Host::known`] first.
    pub fn new(
        name: String,
        settings: Settings,
        seed: u64,
        directory: Directory,
        upstream: Rc<U>,
        figures: Rc<Figures>,
    ) -> Result<Rc<Self>, SettingsError> {
        upstream.count(figures.clone());
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
            max_wait: settings.max_wait,
            warm_up: settings.rules.warm_up,
            end: Cell::new(None),
        });
        spawn_local(keep_time(Rc::downgrade(&host)));
        Ok(host)
    }

    /// From now on every request passes this door. To be called before any comes.
    pub fn set_door(&self, door: Rc<dyn Door>) {
        self.engine.borrow_mut().tell_over();
        *self.door.borrow_mut() = Some(door);
    }

    /// From now on the end of each attempt is told. To be called before any list comes.
    pub fn on_ends(&self, tell: impl Fn(End) + 'static) {
        self.engine.borrow_mut().tell_ends();
        *self.witness.borrow_mut() = Some(Witness::new(Box::new(tell), self.warm_up));
    }

    /// What the whole fleet knows of servers, in the place of all that was said so before; only where [`Host::on_ends`] was called.
    pub fn advise(&self, said: &[Said]) {
        let advice = self.witness.borrow().as_ref().map(|w| w.advice(said));
        advice.into_iter().for_each(|advice| self.with(|engine, now| engine.advise(now, advice)));
    }

    /// Whether a server of that name's hash takes new requests, and how many do; only where [`Host::on_ends`] was called.
    pub fn takes(&self, name: u64) -> bool {
        self.witness.borrow().as_ref().is_some_and(|w| w.knows(name))
    }

    /// Whether it does, and is warm by now.
    pub fn warm(&self, name: u64) -> bool {
        let now = self.now();
        self.witness.borrow().as_ref().is_some_and(|w| w.warm(name, now))
    }

    /// Servers that take new requests; none unless [`Host::on_ends`] was called.
    pub fn ready_servers(&self) -> usize {
        self.witness.borrow().as_ref().map_or(0, Witness::ready)
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
    pub fn in_hand(&self) -> usize {
        self.engine.borrow().in_hand()
    }

    /// Begins nothing more, whatever still ends. For the process's own end.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// The process ends at that time: what is in hand then, or is taken from now on, is due by then.
    pub fn end_by(&self, end: Instant) {
        self.end.set(Some(end));
        let end = self.clock.time(end);
        self.with(|engine, _| engine.end_by(end));
    }

    fn before_end(&self, at: Instant) -> Instant {
        self.end.get().map_or(at, |end| at.min(end))
    }

    // ---- what happens ----
    /// Takes in the list as last known before the start. The decisions are owed one, be it empty.
    pub fn known(&self, list: Option<&ServerList>) {
        let entries = list.map(|l| self.take(l)).unwrap_or_default();
        self.told(ListKind::Cached, entries);
    }

    /// Takes in what discovery says.
    pub fn list(&self, list: &ServerList) {
        self.figures.lists.inc();
        let kind = if list.complete { ListKind::Full } else { ListKind::Changes };
        let first = !self.ready();
        let entries = self.take(list);
        let servers = entries.len();
        self.told(kind, entries);
        if first && self.ready() {
            self.log(format_args!("holds a list of {servers} servers"));
        }
    }

    /// A watch that the decisions asked for came to nothing, or ended.
    pub fn watch_failed(&self) {
        self.told(ListKind::Failed, Vec::new());
    }

    /// Whether a server of this name is listed, or was taken out by hand.
    pub fn knows(&self, server: &str) -> bool {
        self.directory.borrow().knows(server)
    }

    /// Takes a server out by hand, or lets it in again, whatever lists say of it meanwhile.
    pub fn set_out(&self, server: &str, out: bool) {
        let update = self.directory.borrow_mut().set_out(server, out);
        if !update.entries.is_empty() {
            self.upstream.learn(&update.targets);
            self.told(ListKind::Changes, update.entries);
        }
    }

    /// Where this node stands among those that live: the part of the ring of servers at which it begins, and nodes as last
    /// agreed.
    pub fn place(&self, begins: f64, nodes: u32) {
        self.with(|engine, now| engine.place(now, begins, nodes));
    }

    /// Servers listed, and how many of them were taken out by hand.
    pub fn servers(&self) -> (usize, usize) {
        self.directory.borrow().count()
    }

    /// What this node counts.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    fn take(&self, list: &ServerList) -> Vec<ServerEntry> {
        self.revision.set(list.revision);
        let update = self.directory.borrow_mut().take(list);
        self.upstream.learn(&update.targets);
        self.servers_listed.set(self.servers_listed.get() || !update.entries.is_empty());
        if self.ready() {
            self.listed.notify_waiters();
        }
        update.entries
    }

    // ---- asking for others ----
    /// From now on servers that fall silent are reported, by the hashes of their names, and questions to those that are
    /// [told of](Host::told_silent) as silent are spared. To be called before any list comes.
    pub fn on_silence(&self, report: impl Fn(u64) + 'static) {
        *self.health.borrow_mut() = Some(Health::new(Box::new(report)));
    }

    /// Another node asks these for this one, and they do not answer it. Servers of which that was said and is no more are asked once.
    pub fn told_silent(&self, silent: &[Short]) {
        let back = self.health.borrow_mut().as_mut().map(|h| h.told(silent)).unwrap_or_default();
        for server in back {
            self.with(|engine, now| engine.ask(now, server));
        }
    }

    /// Servers that take new requests, by the hashes of their names; none unless [`Host::on_silence`] was called.
    pub fn servers_to_ask(&self) -> FxHashSet<u64> {
        self.health.borrow().as_ref().map(Health::listed).unwrap_or_default()
    }

    /// Asks a server on behalf of others: whether it says anything within that time. None: it takes no new requests, or this
    /// node has no room.
    pub async fn ask(&self, name: u64, patience: Duration) -> Option<bool> {
        let server = self.health.borrow().as_ref()?.id(name)?;
        let (tell, told) = oneshot::channel();
        self.figures.probes.inc();
        let ticket = ProbeTicket { host: self.me.clone(), asker: Asker::Others(tell) };
        let asking = tokio::time::timeout(patience, self.upstream.clone().probe(server, ticket));
        match asking.await {
            Ok(()) => match told.await.ok()? {
                Outcome::NotSent => None,
                outcome => Some(outcome.spoken()),
            },
            Err(_) => Some(false),
        }
    }

    /// Questions spared so far; none: nobody asks for this node.
    pub fn spared(&self) -> Option<u64> {
        self.health.borrow().as_ref().map(|h| h.spared)
    }

    fn met(&self, server: ServerId, outcome: Outcome) {
        if let Some(health) = self.health.borrow_mut().as_mut() {
            health.met(server, outcome);
        }
    }

    fn told(&self, kind: ListKind, entries: Vec<ServerEntry>) {
        if let Some(health) = self.health.borrow_mut().as_mut() {
            health.list(matches!(kind, ListKind::Full | ListKind::Cached), &entries);
        }
        if let Some(witness) = self.witness.borrow_mut().as_mut() {
            witness.list(matches!(kind, ListKind::Full | ListKind::Cached), &entries);
        }
        self.with(|engine, now| engine.list(now, kind, entries));
    }

    /// Takes a client's request. Dropping [`Taken`] before its answer is the client's leaving.
    pub fn arrive(&self, request: Request<U::Request>) -> Result<Taken<U>, Duplicate> {
        let Request { incoming, due, last, key } = request;
        let [due, last] = [due, last].map(|at| self.before_end(at));
        let Incoming { class, tenant, work, .. } = incoming;
        let door = self.door.borrow().clone();
        let pass = match door.map(|door| door.enter(&Entering { class, tenant, key, work })) {
            Some(Err(turned)) => return Ok(self.turn_away(class, turned)),
            entered => entered.and_then(Result::unwrap_or_default),
        };
        let incoming = Incoming { due: self.clock.time(due), last: self.clock.time(last), ..incoming };
        let (reply, answer) = oneshot::channel();
        let arrived = self.engine.borrow_mut().arrive(self.now(), incoming);
        let id = match (arrived, pass) {
            (Ok(id), pass) => {
                pass.into_iter().for_each(|pass| drop(self.passes.borrow_mut().insert(id, pass)));
                id
            }
            (Err(duplicate), pass) => {
                pass.into_iter().for_each(|pass| pass.over(false));
                return Err(duplicate);
            }
        };
        self.replies.borrow_mut().insert(id, (class, reply));
        self.figures.outstanding.inc();
        self.carry_out();
        Ok(Taken { host: self.me.clone(), id, answer, why: None })
    }

    /// What clients may be told of a wait.
    fn told_wait(&self, turned: Turned) -> Option<Duration> {
        self.max_wait.map(|most| turned.wait.min(most))
    }

    /// A request that the door turned away is answered already.
    fn turn_away(&self, class: ClassId, turned: Turned) -> Taken<U> {
        let (reply, answer) = oneshot::channel();
        let _ = reply.send(Answer::Refused(self.told_wait(turned)));
        self.figures.ended(usize::from(class.0), Disposition::Declined);
        Taken { host: self.me.clone(), id: NONE, answer, why: Some(turned.why) }
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

    // ---- what is to be done ----
    fn carry_out(&self) {
        while !self.closed.get() {
            let command = self.engine.borrow_mut().command();
            match command {
                Some(command) => self.obey(command),
                None => break,
            }
        }
        if let Some(witness) = self.witness.borrow().as_ref() {
            for (server, outcome, latency) in self.engine.borrow_mut().ends() {
                witness.ended(self.now(), server, outcome, latency);
            }
        }
        let next = self.engine.borrow().next_wake();
        if next.is_some_and(|n| self.timer.get().is_none_or(|t| n < t)) {
            self.timer.set(next);
            self.earlier.notify_one();
        }
    }

    fn obey(&self, command: Command<U::Request, U::Answer>) {
        match command {
            Command::Start { attempt, server, request } => {
                let ticket = Ticket { host: self.me.clone(), attempt, server };
                let task = spawn_local(self.upstream.clone().attempt(server, request, ticket));
                self.attempts.borrow_mut().insert(attempt, task.abort_handle());
            }
            Command::Cancel(attempt) => {
                self.attempts.borrow_mut().remove(&attempt).iter().for_each(AbortHandle::abort);
            }
            Command::Answer { request, answer } => {
                if let Some((class, reply)) = self.replies.borrow_mut().remove(&request) {
                    self.figures.outstanding.dec();
                    self.figures.ended(usize::from(class.0), disposition(&answer));
                    if matches!(answer, Answer::Refused(_)) {
                        self.figures.refused(self.engine.borrow().refusals());
                    }
                    let _ = reply.send(answer); // A client that left in this very moment takes none.
                }
            }
            Command::Probe { probe, server } => {
                if self.health.borrow_mut().as_mut().is_some_and(|h| h.spares(server)) {
                    let now = self.now();
                    return self.engine.borrow_mut().probed(now, probe, Outcome::Unreachable, None);
                }
                self.figures.probes.inc();
                let ticket = ProbeTicket { host: self.me.clone(), asker: Asker::Decisions(probe) };
                let task = spawn_local(self.upstream.clone().probe(server, ticket));
                self.probes.borrow_mut().insert(probe, (server, task.abort_handle()));
            }
            Command::CancelProbe(probe) => {
                if let Some((server, task)) = self.probes.borrow_mut().remove(&probe) {
                    task.abort();
                    self.met(server, Outcome::TimedOut);
                }
            }
            Command::Over { request, ran } => {
                let pass = self.passes.borrow_mut().remove(&request);
                pass.into_iter().for_each(|pass| pass.over(ran));
            }
            Command::Watch => (self.watch.borrow())(),
            Command::Log(line) => self.log(format_args!("{line}")),
        }
    }
}

fn disposition<A>(answer: &Answer<A>) -> Disposition {
    match answer {
        Answer::Served(_) => Disposition::Succeeded,
        Answer::Refused(_) => Disposition::Declined,
        Answer::Failed => Disposition::Aborted,
    }
}

/// Wakes the engine whenever something is due.
async fn keep_time<U: Upstream>(host: Weak<Host<U>>) {
    loop {
        let Some(me) = host.upgrade() else { return };
        let now = me.now();
        let next = me.engine.borrow().next_wake();
        if next.is_some_and(|n| n <= now) {
            me.with(|engine, now| engine.wake(now));
            continue;
        }
        me.timer.set(next);
        let at = next.map(|n| me.clock.instant(n));
        tokio::select! {
            biased;
            () = me.earlier.notified() => {}
            () = sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {}
        }
    }
}
