//! The servers' side: their addresses and states, connections to them, and what is sent over these.

use crate::discovery::{Phase, ServerList};
use crate::gate::{self, Gate, Guard, Head, Next, Problem, MOST_BODY};
use bytes::Bytes;
use finchvale::{KindId, LoadReport, Outcome, ServerEntry, ServerId, ServerState, Time, ZoneId};
use finchvale_drill::settings::{Field, Names};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, Visitor};
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// A connection is idle again once its answer is read; one that takes longer has something wrong with it.
const SETTLE: Duration = Duration::from_millis(5);
/// Before it is used again a connection has to be quiet for so long: bytes behind an answer, on their way when it was
/// given back, would pass for the answer to the next request.
const QUARANTINE: Duration = Duration::from_millis(5);

/// One server, as long as the list names it or something is out there.
pub struct Server {
    /// Its id at this node.
    pub id: ServerId,
    name: String,
    address: Cell<SocketAddr>,
    state: Cell<ServerState>,
    started: Cell<Option<Time>>,
    /// Grows whenever the connections made so far are of no more use.
    generation: Cell<u64>,
    /// The most recently used one is last.
    idle: RefCell<Vec<Idle>>,
    place: Cell<(ZoneId, KindId, u16)>,
}

impl Server {
    /// Whether anything new may go there.
    fn takes_new(&self) -> bool {
        self.state.get() == ServerState::Ready
    }

    fn abandon_connections(&self) {
        self.generation.set(self.generation.get() + 1);
        self.idle.borrow_mut().clear();
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// One connection to a server; dropping it closes it.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Not a hold on it: it is closed with its driver, also while the connection is idle.
    socket: Weak<TcpStream>,
    /// More than the answer came with it.
    more: Rc<Cell<bool>>,
    generation: u64,
}

impl Connection {
    /// Whether the server has closed it or sent what nobody asked for, as far as the system knows by now.
    fn good(&self) -> bool {
        !self.more.get() && self.sender.is_ready() && self.socket.upgrade().is_some_and(|s| gate::quiet(&s))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Reads the heads of answers. What is no good ends the connection, and with it the attempt.
struct Answers {
    more: Rc<Cell<bool>>,
}

impl Guard for Answers {
    const BETWEEN: Next = Next::Nothing;

    fn head(&self, bytes: &[u8]) -> Result<Option<Head>, Problem> {
        gate::answer_head(bytes)
    }

    fn turn_down(&self, problem: Problem) -> std::io::Result<&'static [u8]> {
        Err(std::io::Error::new(std::io::ErrorKind::InvalidData, problem.1))
    }

    fn more(&self) {
        self.more.set(true);
    }
}

/// What a server's answer comes to.
pub struct Exchange {
    /// How the attempt or probe ended.
    pub outcome: Outcome,
    /// The load report that came along.
    pub report: Option<LoadReport>,
    /// The answer to pass on, of one that was served.
    pub answer: Option<Response<Bytes>>,
    /// The connection, if it is good for another request.
    pub connection: Option<Connection>,
}

impl Exchange {
    fn failed(outcome: Outcome) -> Self {
        Exchange { outcome, report: None, answer: None, connection: None }
    }
}

/// The limits on connections to servers.
pub struct Limits {
    /// Most connections to all servers together.
    pub connections: usize,
    /// For a connection to come up.
    pub connect_timeout: Duration,
    /// After this a server closes an idle connection.
    pub conn_idle: Duration,
}

/// All servers and the connections to them.
pub struct Backends {
    limits: Limits,
    names: Names,
    fields: Vec<Field>,
    slots: Arc<Semaphore>,
    by_name: RefCell<FxHashMap<String, Rc<Server>>>,
    by_id: RefCell<FxHashMap<ServerId, Rc<Server>>>,
    next_id: Cell<u32>,
}

/// Names the header of a load report.
const LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// Marks an answer that proves that the request was not run.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

impl Backends {
    /// Starts with no servers.
    pub fn new(limits: Limits, names: Names, fields: Vec<Field>) -> Self {
        Backends {
            slots: Arc::new(Semaphore::new(limits.connections)),
            limits,
            names,
            fields,
            by_name: RefCell::default(),
            by_id: RefCell::default(),
            next_id: Cell::new(0),
        }
    }

    /// The server with this id, if it is listed.
    pub fn get(&self, id: ServerId) -> Option<Rc<Server>> {
        self.by_id.borrow().get(&id).cloned()
    }

    /// The names that the settings give to classes, tenants and so on.
    pub fn names(&self) -> &Names {
        &self.names
    }

    // ---- the list ----
    /// Brings the servers in line with a list and puts it in the balancer's terms.
    pub fn take_list(&self, list: &ServerList) -> Vec<ServerEntry> {
        let mut by_name = self.by_name.borrow_mut();
        let mut by_id = self.by_id.borrow_mut();
        if list.complete {
            let named: rustc_hash::FxHashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
            by_name.retain(|name, server| {
                let stays = named.contains(name.as_str());
                if !stays {
                    server.state.set(ServerState::Gone);
                    server.abandon_connections();
                    by_id.remove(&server.id);
                }
                stays
            });
        }
        let mut entries = Vec::with_capacity(list.members.len());
        for member in &list.members {
            let state = match member.phase {
                Phase::Active => ServerState::Ready,
                Phase::Leaving => ServerState::Draining,
                Phase::Left => ServerState::Gone,
            };
            // Mapping a start by the clocks' present difference would make every list look like a restart;
            // the balancer's clock counts in Unix time, so that no mapping is needed.
            let started =
                (member.up_since_ms > 0).then(|| Time(member.up_since_ms.saturating_mul(1_000_000)));
            let server = match (by_name.get(&member.id), member.host_port) {
                (Some(server), _) => server.clone(),
                (None, Some(address)) if state != ServerState::Gone => {
                    let id = ServerId(self.next_id.get());
                    self.next_id.set(id.0.wrapping_add(1));
                    let server = Rc::new(Server {
                        id,
                        name: member.id.clone(),
                        address: Cell::new(address),
                        state: Cell::new(state),
                        started: Cell::new(started),
                        generation: Cell::new(0),
                        idle: RefCell::default(),
                        place: Cell::default(),
                    });
                    by_name.insert(server.name.clone(), server.clone());
                    by_id.insert(id, server.clone());
                    server
                }
                _ => continue,
            };
            server.state.set(state);
            if state == ServerState::Gone {
                server.abandon_connections();
                by_name.remove(&member.id);
                by_id.remove(&server.id);
            } else {
                server.place.set((
                    ZoneId(position(&self.names.zones, &member.locality)),
                    KindId(position(&self.names.kinds, &member.flavor)),
                    member.cell,
                ));
                let moved = member.host_port.is_some_and(|a| server.address.replace(a) != a);
                // What was connected to the process before this one is dead, whether or not it says so.
                let restarted = server.started.replace(started) != started;
                // And what nothing new may go over is only in the way of others.
                if restarted || moved || state == ServerState::Draining {
                    server.abandon_connections();
                }
            }
            let (zone, kind, cell) = server.place.get();
            entries.push(ServerEntry {
                server: server.id,
                zone,
                kind,
                cell: finchvale::CellId(cell),
                state,
                weight: member.size,
                started: server.started.get(),
            });
        }
        entries
    }

    // ---- connections ----
    /// The most recently used idle connection that has been quiet since, or a new one.
    async fn checkout(&self, server: &Server) -> Result<Connection, Outcome> {
        while let Some(connection) = self.take_idle(server) {
            if connection.good() {
                return Ok(connection);
            }
        }
        let permit = self.slot().await.ok_or(Outcome::NotSent)?;
        let generation = server.generation.get();
        let connect = TcpStream::connect(server.address.get());
        let stream = match timeout(self.limits.connect_timeout, connect).await {
            Ok(Ok(stream)) => stream,
            // The node's own shortage says nothing of the server.
            Ok(Err(error)) if no_descriptors(&error) => return Err(Outcome::NotSent),
            _ => return Err(Outcome::Unreachable),
        };
        // Word may have come meanwhile that the server moved or restarted: what answers at the address that it had
        // is another's, or gone.
        if generation != server.generation.get() {
            return Err(Outcome::NotSent);
        }
        let _ = stream.set_nodelay(true);
        let (stream, more) = (Rc::new(stream), Rc::new(Cell::new(false)));
        let socket = Rc::downgrade(&stream);
        let gate = Gate::new(stream, Answers { more: more.clone() });
        let made = http1::handshake(TokioIo::new(gate)).await;
        let (sender, connection) = made.map_err(|_| Outcome::Unreachable)?;
        let driver = tokio::task::spawn_local(drive(connection, permit)).abort_handle();
        Ok(Connection { sender, driver, socket, more, generation })
    }

    fn take_idle(&self, server: &Server) -> Option<Connection> {
        let mut idle = server.idle.borrow_mut();
        let rested = QUARANTINE..self.retire_after();
        let at = idle.iter().rposition(|i| rested.contains(&i.since.elapsed()))?;
        Some(idle.remove(at).connection)
    }

    /// Well before the server closes it: a request that crosses the closing may be lost.
    fn retire_after(&self) -> Duration {
        self.limits.conn_idle * 3 / 4
    }

    /// Room for one more connection, made if need be by closing the one that has been idle the longest.
    async fn slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.slots.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.close_longest_idle();
        // The slot comes free once the driver of that connection has been dropped, in its next turn.
        tokio::task::yield_now().await;
        self.slots.clone().try_acquire_owned().ok()
    }

    fn close_longest_idle(&self) {
        let by_id = self.by_id.borrow();
        let idle = |s: &Rc<Server>| s.idle.borrow().first().map(|i| i.since);
        if let Some((_, server)) = by_id.values().filter_map(|s| Some((idle(s)?, s))).min_by_key(|s| s.0) {
            server.idle.borrow_mut().remove(0);
        }
    }

    /// Takes back a connection after its answer has been read.
    pub async fn give_back(&self, server: &Server, mut connection: Connection) {
        let settled = matches!(timeout(SETTLE, connection.sender.ready()).await, Ok(Ok(())));
        if settled
            && connection.good()
            && connection.generation == server.generation.get()
            && server.takes_new()
        {
            server.idle.borrow_mut().push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes connections that have been idle for long, for good.
    pub async fn retire_idle(&self) {
        let mut every = tokio::time::interval((self.retire_after() / 8).max(Duration::from_millis(250)));
        loop {
            every.tick().await;
            for server in self.by_id.borrow().values() {
                server.idle.borrow_mut().retain(|i| i.since.elapsed() < self.retire_after());
            }
        }
    }

    // ---- attempts and probes ----
    /// Sends one request, before `send_by` if that is given, and reads its answer, until `until` at the latest. Never
    /// sends it again.
    pub async fn attempt(
        &self,
        server: &Server,
        mut request: Request<Full<Bytes>>,
        send_by: Option<Instant>,
        until: Instant,
    ) -> Exchange {
        let sent = Cell::new(false);
        let exchange = async {
            let connection = match self.checkout(server).await {
                Ok(connection) => connection,
                Err(outcome) => return Exchange::failed(outcome),
            };
            // Connecting took time, in which word may have come that the server drains: it gets nothing new. Or the
            // time may have passed for which duplicates are dropped.
            if !server.takes_new() || send_by.is_some_and(|by| Instant::now() >= by) {
                self.give_back(server, connection).await;
                return Exchange::failed(Outcome::NotSent);
            }
            let left = until.saturating_duration_since(Instant::now());
            let left = HeaderValue::from_str(&format!("{}u", left.as_micros()));
            request.headers_mut().insert("x-timeout", left.expect("digits are valid in a header"));
            sent.set(true);
            self.exchange(connection, request, true).await
        };
        match timeout_at(until, exchange).await {
            Ok(exchange) => exchange,
            Err(_) if sent.get() => Exchange::failed(Outcome::TimedOut),
            // It was still connecting: nothing of it can have run.
            Err(_) => Exchange::failed(Outcome::Unreachable),
        }
    }

    /// Asks a server for its load.
    pub async fn probe(&self, server: &Server, limit: Duration) -> Exchange {
        let exchange = async {
            let connection = match self.checkout(server).await {
                Ok(connection) => connection,
                Err(outcome) => return Exchange::failed(outcome),
            };
            let request = Request::get("/stats").header("host", server.address.get().to_string());
            let request = request.body(Full::default()).expect("a fixed path and an address are valid");
            self.exchange(connection, request, false).await
        };
        timeout(limit, exchange).await.unwrap_or_else(|_| Exchange::failed(Outcome::TimedOut))
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        attempt: bool,
    ) -> Exchange {
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            // Handed back unsent. Anything else may have reached the server, and may have run there.
            Err(error) if error.message().is_some() => return Exchange::failed(Outcome::Unreachable),
            Err(_) => return Exchange::failed(Outcome::Broken),
        };
        let (head, body) = response.into_parts();
        let body = match Limited::new(body, MOST_BODY as usize).collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return Exchange::failed(Outcome::Broken),
        };
        let outcome = outcome(head.status, &head.headers);
        let served = outcome == Outcome::Served;
        let report = match attempt {
            true => head.headers.get(LOAD).and_then(|v| self.load_report(v.as_bytes())),
            false if served => self.load_report(&body),
            false => None,
        };
        let answer = (attempt && served).then(|| Response::from_parts(head, body));
        Exchange { outcome, report, answer, connection: Some(connection) }
    }

    /// Reads a load report by the names of its fields; without any of them it is none.
    fn load_report(&self, text: &[u8]) -> Option<LoadReport> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let report = ReportReader(self).deserialize(&mut reader).ok()?;
        reader.end().ok()?;
        (report != LoadReport::default()).then_some(report)
    }
}

/// Reads a load report field by field, with no map in between: one comes with every probe.
struct ReportReader<'a>(&'a Backends);

impl<'de> DeserializeSeed<'de> for ReportReader<'_> {
    type Value = LoadReport;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<LoadReport, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ReportReader<'_> {
    type Value = LoadReport;

    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("a load report")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut values: A) -> Result<LoadReport, A::Error> {
        let mut report = LoadReport::default();
        while let Some(name) = values.next_key::<Cow<str>>()? {
            match self.0.names.fields.iter().position(|f| *f == name).and_then(|at| self.0.fields.get(at)) {
                Some(field) => field.put(values.next_value()?, &mut report),
                None => drop(values.next_value::<IgnoredAny>()?),
            }
        }
        Ok(report)
    }
}

/// What an answer says of the request.
fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let not_run = || headers.get(NOT_PROCESSED).is_some_and(|v| v.as_bytes() == b"1");
    match status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run() => Outcome::TurnedAway,
        // A 503 without the mark proves nothing.
        _ => Outcome::Error,
    }
}

type Driver = http1::Connection<TokioIo<Gate<Answers>>, Full<Bytes>>;

async fn drive(connection: Driver, permit: OwnedSemaphorePermit) {
    let _ = connection.await;
    drop(permit);
}

fn no_descriptors(error: &std::io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

/// Position of a name among those that the settings give; names they don't give share one of their own.
fn position(names: &[String], name: &str) -> u8 {
    names.iter().position(|n| n == name).and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX)
}
