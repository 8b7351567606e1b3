//! Owner of the balancer and of all that is in hand: requests, their attempts, timers.
//!
//! Tasks tell it what happened; it hands the events to the balancer one by one and turns the actions into I/O. It
//! runs on one thread and never waits, so events need no queue beyond those that actions bring about at once.

use crate::backend::{Backends, Exchange};
use crate::discovery::{self, ServerList};
use bytes::Bytes;
use finchvale::{
    Action, Arrival, Balancer, Class, ClassId, Effect, Ended, Event, ListKind, Outcome, Probed, RequestId,
    ServerId, Settings, SettingsError, TenantId, Time,
};
use http_body_util::Full;
use hyper::{Request, Response};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::fmt;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

/// A choice among probed servers is made within a few milliseconds: what a probe says later serves none.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// The balancer's clock: Unix time at the process's start, and monotonic from there.
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

    fn now(&self) -> Time {
        Time(0) + self.unix + self.started.elapsed()
    }

    fn instant(&self, at: Time) -> Instant {
        self.started + (at - (Time(0) + self.unix))
    }
}

/// A client's request in the node's own terms.
pub struct Incoming {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Expected work, if the client told.
    pub work: Option<Duration>,
    /// When the final answer is due.
    pub due: Instant,
    /// The client's name for it.
    pub id: Box<[u8]>,
    /// What goes on to a server.
    pub request: Request<Bytes>,
}

/// A final answer.
pub enum Answer {
    /// What a server answered.
    Served(Response<Bytes>),
    /// Trying again is harmless, best after the wait.
    Refused(Option<Duration>),
    /// Nothing is promised.
    Failed,
}

/// A request in hand.
struct Entry {
    id: Box<[u8]>,
    request: Request<Bytes>,
    due: Instant,
    /// For how long a request of a keyed class may be repeated.
    window: Option<Duration>,
    /// Taken by the one final answer, or by the client's leaving.
    reply: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
}

struct Attempt {
    server: ServerId,
    began: Instant,
    /// False once it is known that it did not run and will not.
    may_have_run: bool,
    /// None once it has ended.
    task: Option<AbortHandle>,
}

struct State {
    balancer: Balancer,
    events: VecDeque<Event>,
    ledger: FxHashMap<RequestId, Entry>,
    /// The clients' names for what is in the ledger. Clients choose them, hence the hasher with a secret.
    ids: HashSet<Box<[u8]>>,
    next_request: u64,
    /// The watch, or the task that keeps one open.
    watch: Option<AbortHandle>,
}

/// See the module's own words.
pub struct Engine {
    /// Itself, for the tasks it starts.
    me: Weak<Engine>,
    name: String,
    clock: Clock,
    backends: Rc<Backends>,
    /// Where the list of servers is.
    discovery: Cell<SocketAddr>,
    /// Lists come on request of the balancer.
    asked: bool,
    /// The list held is not from where the list is now: changes to it are no use.
    moved: Cell<bool>,
    /// By class: for how long its requests may be repeated, if they carry keys.
    windows: Vec<Option<Duration>>,
    state: RefCell<State>,
    revision: Cell<u64>,
    lists_taken: Cell<u64>,
    servers_listed: Cell<bool>,
}

impl Engine {
    /// Starts with no servers and no requests.
    pub fn new(
        name: String,
        settings: Settings,
        seed: u64,
        backends: Rc<Backends>,
        discovery: SocketAddr,
    ) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::new();
        let window = |c: &Class| match c.effect {
            Effect::Keyed { window, .. } => Some(window),
            Effect::Safe | Effect::Unsafe => None,
        };
        let asked = settings.list_on_request;
        let windows = settings.classes.iter().map(window).collect();
        let state = State {
            balancer: Balancer::new(settings, seed, clock.now())?,
            events: VecDeque::new(),
            ledger: FxHashMap::default(),
            ids: HashSet::new(),
            next_request: 0,
            watch: None,
        };
        Ok(Rc::new_cyclic(|me| Engine {
            me: me.clone(),
            name,
            clock,
            backends,
            discovery: Cell::new(discovery),
            asked,
            moved: Cell::new(false),
            windows,
            state: RefCell::new(state),
            revision: Cell::new(0),
            lists_taken: Cell::new(0),
            servers_listed: Cell::new(false),
        }))
    }

    /// A line for the node's log.
    pub fn log(&self, line: fmt::Arguments) {
        // Nobody may be left to read it: that is no reason to stop serving, which `eprintln!` would make of it.
        let _ = writeln!(std::io::stderr(), "{}: {line}", self.name);
    }

    /// The names that the settings give to classes, tenants and so on.
    pub fn names(&self) -> &finchvale_drill::settings::Names {
        self.backends.names()
    }

    /// Version of the list held.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// How many lists discovery has sent.
    pub fn lists_taken(&self) -> u64 {
        self.lists_taken.get()
    }

    /// Whether a list is held that names a server.
    pub fn ready(&self) -> bool {
        self.servers_listed.get()
    }

    /// Where the list of servers is.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery.get()
    }

    /// Whether a watch has to start from a whole list.
    pub fn needs_whole_list(&self) -> bool {
        self.moved.get()
    }

    // ---- what happens ----
    /// Starts to follow the list of servers, where that is not for the balancer to ask for.
    pub fn follow(&self) {
        if !self.asked {
            self.watch(&mut self.state.borrow_mut());
        }
    }

    /// The list of servers is elsewhere from now on. Nothing that the old address still says is heard; the servers
    /// last known stay until the new one has told its whole list.
    pub fn rediscover(&self, address: SocketAddr) {
        if self.discovery.replace(address) != address {
            self.log(format_args!("discovery is now {address}"));
            self.moved.set(true);
            self.watch(&mut self.state.borrow_mut());
        }
    }

    /// Takes in the list as last known before the start. The balancer is owed one, be it empty.
    pub fn known(&self, list: Option<&ServerList>) {
        let entries = list.map(|l| self.take_list(l)).unwrap_or_default();
        self.feed(Event::List { kind: ListKind::Cached, entries });
    }

    /// Takes in what discovery says.
    pub fn list(&self, list: &ServerList) {
        let kind = if list.complete { ListKind::Full } else { ListKind::Changes };
        self.lists_taken.set(self.lists_taken.get() + 1);
        self.moved.set(self.moved.get() && !list.complete);
        let entries = self.take_list(list);
        self.feed(Event::List { kind, entries });
    }

    fn take_list(&self, list: &ServerList) -> Vec<finchvale::ServerEntry> {
        self.revision.set(list.revision);
        let entries = self.backends.take_list(list);
        self.servers_listed.set(self.servers_listed.get() || !entries.is_empty());
        entries
    }

    /// Takes a client's request. The answer comes through the channel; dropping [`Taken`] is the client's leaving.
    /// None: one of that id is open or still out at a server, where a second would pass for its repeat.
    pub fn arrival(&self, incoming: Incoming) -> Option<Taken> {
        let (reply, answer) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        if !state.ids.insert(incoming.id.clone()) {
            return None;
        }
        let id = RequestId(state.next_request);
        state.next_request += 1;
        let Incoming { class, tenant, work, due, id: name, request } = incoming;
        let window = self.windows.get(usize::from(class.0)).copied().flatten();
        let entry = Entry { id: name, request, due, window, reply: Some(reply), attempts: Vec::new() };
        state.ledger.insert(id, entry);
        drop(state);
        let remaining = due.saturating_duration_since(Instant::now());
        self.feed(Event::Arrival(Arrival { request: id, class, tenant, remaining, work }));
        self.settle(id);
        Some(Taken { engine: self.me.upgrade(), id, answer })
    }

    fn client_gone(&self, request: RequestId) {
        let mut state = self.state.borrow_mut();
        let open = state.ledger.get_mut(&request).and_then(|e| e.reply.take());
        drop(state);
        if open.is_some() {
            self.feed(Event::ClientGone { request });
            self.settle(request);
        }
    }

    fn attempt_ended(&self, request: RequestId, attempt: u32, exchange: &mut Exchange) {
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.ledger.get_mut(&request) else { return };
        let Some(a) = entry.attempts.get_mut(attempt as usize) else { return };
        if a.task.take().is_none() {
            return; // Cancelled meanwhile: its end is told already.
        }
        a.may_have_run = !exchange.outcome.never_ran();
        let (server, latency) = (a.server, a.began.elapsed());
        if let Some(answer) = exchange.answer.take() {
            // The first answer closes the request; a later one is the copy's and is dropped.
            if let Some(reply) = entry.reply.take() {
                let _ = reply.send(Answer::Served(answer));
            }
        }
        let closed = entry.reply.is_none();
        let (outcome, report) = (exchange.outcome, exchange.report);
        drop(state);
        self.feed(Event::Ended(Ended { request, attempt, server, outcome, latency, closed, report }));
        self.settle(request);
    }

    /// Forgets a request that is answered and has nothing out.
    fn settle(&self, request: RequestId) {
        let state = &mut *self.state.borrow_mut();
        let over = |e: &Entry| e.reply.is_none() && e.attempts.iter().all(|a| a.task.is_none());
        if state.ledger.get(&request).is_some_and(over) {
            let _ = state.ledger.remove(&request).is_some_and(|e| state.ids.remove(&e.id));
        }
    }

    // ---- what is to be done ----
    /// Gives an event to the balancer and carries out what it wants done.
    fn feed(&self, event: Event) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        state.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = state.events.pop_front() {
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(state, action);
            }
        }
    }

    fn carry_out(&self, state: &mut State, action: Action) {
        match action {
            Action::Send { request, server, limit } => self.send(state, request, server, limit),
            Action::Refuse { request, wait } => Self::finish(state, request, Answer::Refused(wait)),
            Action::Fail { request } => Self::finish(state, request, Answer::Failed),
            Action::Cancel { request, attempt } => Self::cancel(state, request, attempt),
            Action::SetTimer { at, timer } => {
                let (me, at) = (self.me.clone(), self.clock.instant(at));
                spawn_local(async move {
                    tokio::time::sleep_until(at).await;
                    me.upgrade().iter().for_each(|engine| engine.feed(Event::Timer { timer }));
                });
            }
            Action::Probe { server } => self.probe(state, server),
            Action::Watch => self.watch(state),
            Action::Log(line) => self.log(format_args!("{line}")),
        }
    }

    fn finish(state: &mut State, request: RequestId, answer: Answer) {
        // A client that has left takes no answer; nothing is owed then.
        if let Some(reply) = state.ledger.get_mut(&request).and_then(|e| e.reply.take()) {
            let _ = reply.send(answer);
        }
    }

    fn send(&self, state: &mut State, request: RequestId, server: ServerId, limit: Option<Duration>) {
        let began = Instant::now();
        let Some(entry) = state.ledger.get_mut(&request) else { return };
        let attempt = entry.attempts.len() as u32;
        let backend = self.backends.get(server).filter(|_| entry.reply.is_some());
        let Some(backend) = backend else {
            entry.attempts.push(Attempt { server, began, may_have_run: false, task: None });
            let (outcome, latency, closed) = (Outcome::NotSent, Duration::ZERO, entry.reply.is_none());
            let report = None;
            let ended = Ended { request, attempt, server, outcome, latency, closed, report };
            return state.events.push_back(Event::Ended(ended));
        };
        let until = limit.map_or(entry.due, |limit| entry.due.min(began + limit));
        // The balancer looks at the window when it decides; connecting takes time after that.
        let risky = entry.attempts.iter().find(|a| a.may_have_run);
        let send_by = risky.and_then(|a| Some(a.began + entry.window?));
        let outgoing = entry.request.clone().map(Full::new);
        let (me, backends) = (self.me.clone(), self.backends.clone());
        let task = spawn_local(async move {
            let mut exchange = backends.attempt(&backend, outgoing, send_by, until).await;
            let connection = exchange.connection.take();
            me.upgrade().iter().for_each(|e| e.attempt_ended(request, attempt, &mut exchange));
            if let Some(connection) = connection {
                backends.give_back(&backend, connection).await;
            }
        });
        entry.attempts.push(Attempt { server, began, may_have_run: true, task: Some(task.abort_handle()) });
    }

    fn cancel(state: &mut State, request: RequestId, attempt: u32) {
        let Some(entry) = state.ledger.get_mut(&request) else { return };
        let Some(a) = entry.attempts.get_mut(attempt as usize) else { return };
        let Some(task) = a.task.take() else { return };
        task.abort(); // Its connection goes with it.
        let (server, latency, closed) = (a.server, a.began.elapsed(), entry.reply.is_none());
        let outcome = Outcome::Cancelled;
        let ended = Ended { request, attempt, server, outcome, latency, closed, report: None };
        state.events.push_back(Event::Ended(ended));
    }

    fn probe(&self, state: &mut State, server: ServerId) {
        let Some(backend) = self.backends.get(server) else {
            let (outcome, latency, report) = (Outcome::NotSent, Duration::ZERO, None);
            return state.events.push_back(Event::Probed(Probed { server, outcome, latency, report }));
        };
        let (me, backends, began) = (self.me.clone(), self.backends.clone(), Instant::now());
        spawn_local(async move {
            let exchange = backends.probe(&backend, PROBE_TIMEOUT).await;
            let (outcome, latency, report) = (exchange.outcome, began.elapsed(), exchange.report);
            let probed = Probed { server, outcome, latency, report };
            me.upgrade().iter().for_each(|e| e.feed(Event::Probed(probed)));
            if let Some(connection) = exchange.connection {
                backends.give_back(&backend, connection).await;
            }
        });
    }

    /// Replaces the watch. Where lists come only when asked for there is but one, and its end is told as a failed call.
    fn watch(&self, state: &mut State) {
        let (me, asked) = (self.me.clone(), self.asked);
        let task = spawn_local(async move {
            let Some(engine) = me.upgrade() else { return };
            if !asked {
                discovery::follow(engine.clone()).await;
            }
            let error = discovery::watch(&engine).await;
            engine.log(format_args!("watch: {error}"));
            engine.feed(Event::List { kind: ListKind::Failed, entries: Vec::new() });
        });
        if let Some(old) = state.watch.replace(task.abort_handle()) {
            old.abort();
        }
    }
}

/// A request that the engine has taken.
pub struct Taken {
    engine: Option<Rc<Engine>>,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
}

impl Taken {
    /// The final answer, by `due` at the latest whatever the balancer does.
    pub async fn answer(mut self, due: Instant) -> Answer {
        match tokio::time::timeout_at(due, &mut self.answer).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::Failed,
        }
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        // The client left, or its time ran out: if no answer was given, nothing is owed any more.
        self.engine.iter().for_each(|engine| engine.client_gone(self.id));
    }
}
