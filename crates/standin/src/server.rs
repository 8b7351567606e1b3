//! An HTTP/1.1 server in the platform's terms around a [`ServerModel`].

use crate::results::Results;
use birchswitch_lab::model::{Admission, Capacity, Job, Progress, ServerModel};
use birchswitch_lab::rng::Rng;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, JoinHandle, JoinSet};
use tokio::time::{sleep_until, Instant};

/// Interval at which a repeated request checks whether the first one with its key has completed.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Largest request body that is read, in bytes.
const MAX_BODY: usize = 64 << 10;

/// State that all servers of a fleet share: the results, and the keys that each cell remembers.
pub struct Shared {
    /// Origin of all times in the models.
    pub origin: Instant,
    /// Results of the run.
    pub results: RefCell<Results>,
    /// How long a cell remembers a key.
    pub window: Duration,
    /// Whether responses report the server's load.
    pub reports_load: Cell<bool>,
    keys: RefCell<HashMap<(u16, String), Claim>>,
}

/// The first request with a key in a cell.
#[derive(Clone, Copy)]
struct Claim {
    at: Instant,
    server: usize,
    job: Job,
    state: WorkState,
}

/// State of a request's work.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WorkState {
    Waiting,
    Started,
    Done,
}

impl Shared {
    /// Creates shared state without remembered keys.
    pub fn new(results: Results, window: Duration) -> Rc<Self> {
        let (origin, results, reports_load) = (Instant::now(), RefCell::new(results), Cell::new(false));
        Rc::new(Shared { origin, results, window, reports_load, keys: RefCell::default() })
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// A modelled server. It is not running until it is started.
pub struct Server {
    index: usize,
    cell: u16,
    address: Cell<SocketAddr>,
    capacity: Capacity,
    shared: Rc<Shared>,
    state: RefCell<State>,
    changed: Notify,
    /// Makes connections close with a reset, as those of a dying process do.
    resetting: Rc<Cell<bool>>,
}

struct State {
    model: ServerModel,
    rng: Rng,
    next_job: Job,
    open: HashMap<Job, OpenRequest>,
    progress: Vec<Progress>,
    /// Tasks of the running process.
    tasks: Vec<JoinHandle<()>>,
}

/// A request in progress.
struct OpenRequest {
    class: usize,
    order: u64,
    work: f64,
    key: Option<(u16, String)>,
    done: oneshot::Sender<()>,
}

impl Server {
    /// Creates a server with this index, at an address of its own; port 0 lets the system choose the port.
    pub fn new(
        index: usize,
        cell: u16,
        address: SocketAddr,
        capacity: Capacity,
        seed: u64,
        shared: Rc<Shared>,
    ) -> Rc<Self> {
        let model = ServerModel::new(capacity.clone(), Duration::ZERO, false);
        let state = State {
            model,
            rng: Rng::new(seed, 1000 + index as u64),
            next_job: 0,
            open: HashMap::new(),
            progress: Vec::new(),
            tasks: Vec::new(),
        };
        Rc::new(Server {
            index,
            cell,
            address: Cell::new(address),
            capacity,
            shared,
            state: RefCell::new(state),
            changed: Notify::new(),
            resetting: Rc::default(),
        })
    }

    /// Address of the server, with its port once it has been started.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Cell of the server.
    pub fn cell(&self) -> u16 {
        self.cell
    }

    /// Starts the process, cold or warm, at its previous address. Does nothing if it is running.
    pub fn start(self: &Rc<Self>, cold: bool) -> io::Result<()> {
        if !self.state.borrow().tasks.is_empty() {
            return Ok(());
        }
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address.get())?;
        let listener = socket.listen(1024)?;
        self.address.set(listener.local_addr()?);
        self.resetting.set(false);
        let mut state = self.state.borrow_mut();
        state.model = ServerModel::new(self.capacity.clone(), self.shared.now(), cold);
        let accepting = spawn_local(self.clone().accept(listener));
        let working = spawn_local(self.clone().work());
        state.tasks = vec![accepting, working];
        self.shared.results.borrow_mut().servers[self.index].starts += 1;
        Ok(())
    }

    /// Ends the process as a crash would: connections are reset and requests in progress are lost. Returns once its
    /// sockets are closed.
    pub async fn die(&self) {
        self.resetting.set(true);
        // Handlers waiting for completion must see only their connection's end, so their channels stay open until the
        // tasks are gone.
        let (tasks, _open) = {
            let mut state = self.state.borrow_mut();
            let open = std::mem::take(&mut state.open);
            self.release_unstarted_claims(&open);
            let results = &mut self.shared.results.borrow_mut().servers[self.index];
            results.max_waiting = results.max_waiting.max(state.model.max_queued());
            (std::mem::take(&mut state.tasks), open)
        };
        for task in tasks {
            task.abort();
            let _ = task.await; // Cancelled, as intended.
        }
    }

    /// Forgets keys whose work has not started; keys whose work has started stay remembered.
    fn release_unstarted_claims(&self, open: &HashMap<Job, OpenRequest>) {
        let mut keys = self.shared.keys.borrow_mut();
        for (job, open) in open {
            let Some(key) = &open.key else { continue };
            let Some(claim) = keys.get_mut(key).filter(|c| (c.server, c.job) == (self.index, *job)) else {
                continue;
            };
            match claim.state {
                WorkState::Waiting => {
                    keys.remove(key);
                }
                WorkState::Started | WorkState::Done => claim.state = WorkState::Done,
            }
        }
    }

    /// Stops accepting new work.
    pub fn drain(&self) {
        self.state.borrow_mut().model.set_draining(true);
    }

    /// Stops working and answering for a time.
    pub fn freeze(&self, length: Duration) {
        self.with_model(|model, now, out| model.freeze(now, length, out));
    }

    /// Works at a fraction of the normal speed for a time.
    pub fn slow(&self, factor: f64, length: Duration) {
        self.with_model(|model, now, out| model.slow(now, factor, length, out));
    }

    fn with_model<T>(&self, call: impl FnOnce(&mut ServerModel, Duration, &mut Vec<Progress>) -> T) -> T {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let had_fallen = state.model.collapsed();
        let value = call(&mut state.model, self.shared.now(), &mut state.progress);
        if state.model.collapsed() && !had_fallen {
            self.shared.results.borrow_mut().servers[self.index].fallen += 1;
        }
        self.record_progress(state);
        self.changed.notify_one();
        value
    }

    fn record_progress(&self, state: &mut State) {
        for progress in state.progress.drain(..) {
            let (Progress::Started(job) | Progress::Completed(job)) = progress;
            let claim = |key: &Option<(u16, String)>, reached| {
                let mut keys = self.shared.keys.borrow_mut();
                let claim = key.as_ref().and_then(|k| keys.get_mut(k));
                claim
                    .filter(|c| (c.server, c.job) == (self.index, job))
                    .iter_mut()
                    .for_each(|c| c.state = reached);
            };
            match progress {
                Progress::Started(_) => {
                    if let Some(open) = state.open.get(&job) {
                        claim(&open.key, WorkState::Started);
                        self.shared
                            .results
                            .borrow_mut()
                            .record_run(self.index, open.class, open.order, open.work);
                    }
                }
                Progress::Completed(_) => {
                    if let Some(open) = state.open.remove(&job) {
                        claim(&open.key, WorkState::Done);
                        let _ = open.done.send(()); // The handler may be gone.
                    }
                }
            }
        }
    }

    /// Advances the model as time passes.
    async fn work(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().model.next_event();
            let at = next.map(|n| self.shared.origin + n);
            tokio::select! {
                () = self.changed.notified() => {}
                () = sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {
                    let mut guard = self.state.borrow_mut();
                    let state = &mut *guard;
                    state.model.advance(self.shared.now(), &mut state.progress);
                    self.record_progress(state);
                }
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new(); // Connections are dropped with this task.
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn_local(self.clone().serve(stream));
                    }
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // The linger option belongs to the socket, so it applies to whichever handle is closed last.
        let Ok(socket) = SockRef::from(&stream).try_clone() else { return };
        let _reset = Reset { socket, resetting: self.resetting.clone() };
        let service = service_fn(|request| async { Ok::<_, Infallible>(self.answer(request).await) });
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    async fn wait_until_thawed(&self) {
        loop {
            let (frozen, until) = {
                let model = &self.state.borrow().model;
                (model.frozen(self.shared.now()), model.frozen_until())
            };
            if !frozen {
                return;
            }
            sleep_until(self.shared.origin + until).await;
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.wait_until_thawed().await;
        match request.uri().path() {
            "/stats" | "/health/live" => {
                let load = self.with_model(|model, now, out| model.load(now, out));
                self.shared.results.borrow_mut().servers[self.index].probes += 1;
                let text = serde_json::json!({
                    "outstanding": load.held, "backlog": load.waiting, "utilization": load.busy,
                });
                plain(StatusCode::OK, text.to_string())
            }
            _ => self.order(request).await,
        }
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let header =
            |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let id = header("x-request-id").unwrap_or_default();
        let order = id.split('-').next().and_then(|o| u64::from_str_radix(o, 16).ok());
        let class = request.uri().path().trim_start_matches('/').to_owned();
        let class = self.shared.results.borrow().classes.iter().position(|c| c.name == class);
        let (Some(order), Some(class)) = (order, class) else {
            return plain(StatusCode::BAD_REQUEST, "no order that a client placed");
        };
        let hint =
            header("x-cost").or(header("x-work")).and_then(|c| c.parse().ok()).unwrap_or(10_000.0) / 1e6;
        let key = header("idempotency-key").map(|k| (self.cell, k));
        if Limited::new(request.into_body(), MAX_BODY).collect().await.is_err() {
            return plain(StatusCode::BAD_REQUEST, "the body is not whole");
        }
        self.wait_until_thawed().await;
        if let Some(key) = &key {
            if let Some(answer) = self.remembered_response(key).await {
                return answer;
            }
        }
        let (done, completed) = oneshot::channel();
        let (job, work) = {
            let mut state = self.state.borrow_mut();
            state.next_job += 1;
            (state.next_job, hint * (0.75 + 0.5 * state.rng.unit()))
        };
        let claim = Claim { at: Instant::now(), server: self.index, job, state: WorkState::Waiting };
        if let Some(key) = &key {
            self.shared.keys.borrow_mut().insert(key.clone(), claim);
        }
        let open = OpenRequest { class, order, work, key: key.clone(), done };
        self.state.borrow_mut().open.insert(job, open);
        if self.with_model(|model, now, out| model.offer(now, job, work, out)) == Admission::Rejected {
            self.state.borrow_mut().open.remove(&job);
            if let Some(key) = &key {
                self.shared.keys.borrow_mut().remove(key);
            }
            self.shared.results.borrow_mut().servers[self.index].turned_away += 1;
            let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "turned away");
            answer.headers_mut().insert("x-not-processed", hyper::header::HeaderValue::from_static("1"));
            return answer;
        }
        match completed.await {
            Ok(()) => self.with_load_report(plain(StatusCode::OK, format!("{order:x}"))),
            Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "the server is ending"),
        }
    }

    /// Adds a load report to a response if the fleet's responses report load.
    fn with_load_report(&self, mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        if self.shared.reports_load.get() {
            let load = self.with_model(|model, now, out| model.load(now, out));
            let text = serde_json::json!({"outstanding": load.held, "backlog": load.waiting}).to_string();
            if let Ok(value) = hyper::header::HeaderValue::from_str(&text) {
                answer.headers_mut().insert("x-server-load", value);
            }
        }
        answer
    }

    /// The response to a repeated request whose key the cell remembers, once the first request has completed.
    async fn remembered_response(&self, key: &(u16, String)) -> Option<Response<Full<Bytes>>> {
        loop {
            let claim = self.shared.keys.borrow().get(key).copied();
            match claim.filter(|c| c.at.elapsed() < self.shared.window) {
                None => return None,
                Some(claim) if claim.state == WorkState::Done => return Some(plain(StatusCode::OK, "known")),
                Some(_) => tokio::time::sleep(CLAIM_POLL_INTERVAL).await,
            }
        }
    }
}

/// Makes a socket close with a reset while the flag is set.
struct Reset {
    socket: socket2::Socket,
    resetting: Rc<Cell<bool>>,
}

impl Drop for Reset {
    fn drop(&mut self) {
        if self.resetting.get() {
            let _ = self.socket.set_linger(Some(Duration::ZERO));
        }
    }
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
