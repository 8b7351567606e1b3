//! The servers' side: their addresses and states, connections to them, and what is sent over these.

use crate::gate::{self, Gate, Guard, Head, Next, Problem, MOST_BODY};
use birchswitch_engine::{Clearance, Ended};
use birchswitch_host::{ProbeTicket, Ticket, Upstream};
use birchswitch_membership::Target;
use birchswitch_site::{Field, Names};
use bytes::Bytes;
use finchvale::{LoadReport, Outcome, ServerId, ServerState};
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
use tokio::time::{timeout, Instant};

/// Before it is used again a connection has to be quiet for so long: bytes behind an answer, on their way when it was
/// given back, would pass for the answer to the next request.
const QUARANTINE: Duration = Duration::from_millis(5);

/// One server, as long as the list names it or something is out there.
struct Server {
    address: Cell<SocketAddr>,
    /// Whether anything new may go there.
    takes_new: Cell<bool>,
    /// Grows whenever the connections made so far are of no more use.
    generation: Cell<u64>,
    /// The most recently used one is last.
    idle: RefCell<Vec<Idle>>,
}

impl Server {
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
struct Connection {
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

/// What a server's answer comes to, and the connection, if it is good for another request.
type Exchange = (Ended<Response<Bytes>>, Option<Connection>);

fn failed(outcome: Outcome) -> Exchange {
    (Ended::bare(outcome), None)
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
pub struct HttpUpstream {
    limits: Limits,
    names: Rc<Names>,
    fields: Vec<Field>,
    slots: Arc<Semaphore>,
    servers: RefCell<FxHashMap<ServerId, Rc<Server>>>,
}

/// Names the header of a load report.
const LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// Marks an answer that proves that the request was not run.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

impl HttpUpstream {
    /// Starts with no servers. The names and fields tell how to read load reports.
    pub fn new(limits: Limits, names: Rc<Names>, fields: Vec<Field>) -> Rc<Self> {
        Rc::new(HttpUpstream {
            slots: Arc::new(Semaphore::new(limits.connections)),
            limits,
            names,
            fields,
            servers: RefCell::default(),
        })
    }

    /// The server with this id, if it is listed.
    fn get(&self, id: ServerId) -> Option<Rc<Server>> {
        self.servers.borrow().get(&id).cloned()
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
        let servers = self.servers.borrow();
        let idle = |s: &Rc<Server>| s.idle.borrow().first().map(|i| i.since);
        if let Some((_, server)) = servers.values().filter_map(|s| Some((idle(s)?, s))).min_by_key(|s| s.0) {
            server.idle.borrow_mut().remove(0);
        }
    }

    /// Takes back a connection after its answer has been read. Whether it is good is asked when it is used again.
    fn give_back(&self, server: &Server, connection: Connection) {
        if connection.generation == server.generation.get() && server.takes_new.get() {
            server.idle.borrow_mut().push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes connections that have been idle for long, for good.
    pub async fn retire_idle(&self) {
        let mut every = tokio::time::interval((self.retire_after() / 8).max(Duration::from_millis(250)));
        loop {
            every.tick().await;
            for server in self.servers.borrow().values() {
                server.idle.borrow_mut().retain(|i| i.since.elapsed() < self.retire_after());
            }
        }
    }

    // ---- attempts and probes ----
    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        attempt: bool,
    ) -> Exchange {
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            // Handed back unsent. Anything else may have reached the server, and may have run there.
            Err(error) if error.message().is_some() => return failed(Outcome::Unreachable),
            Err(_) => return failed(Outcome::Broken),
        };
        let (head, body) = response.into_parts();
        let body = match Limited::new(body, MOST_BODY as usize).collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return failed(Outcome::Broken),
        };
        let outcome = outcome(head.status, &head.headers);
        let served = outcome == Outcome::Served;
        let report = match attempt {
            true => head.headers.get(LOAD).and_then(|v| self.load_report(v.as_bytes())),
            false if served => self.load_report(&body),
            false => None,
        };
        let answer = (attempt && served).then(|| Response::from_parts(head, body));
        (Ended { outcome, report, answer }, Some(connection))
    }

    /// Reads a load report by the names of its fields; without any of them it is none.
    fn load_report(&self, text: &[u8]) -> Option<LoadReport> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let report = ReportReader(self).deserialize(&mut reader).ok()?;
        reader.end().ok()?;
        (report != LoadReport::default()).then_some(report)
    }
}

impl Upstream for HttpUpstream {
    type Request = Request<Bytes>;
    type Answer = Response<Bytes>;

    fn learn(&self, targets: &[Target]) {
        let mut servers = self.servers.borrow_mut();
        for target in targets {
            if target.state == ServerState::Gone {
                if let Some(server) = servers.remove(&target.server) {
                    server.takes_new.set(false);
                    server.abandon_connections();
                }
                continue;
            }
            let server = servers.entry(target.server).or_insert_with(|| {
                Rc::new(Server {
                    address: Cell::new(target.address),
                    takes_new: Cell::new(true),
                    generation: Cell::new(0),
                    idle: RefCell::default(),
                })
            });
            server.address.set(target.address);
            server.takes_new.set(target.state == ServerState::Ready);
            if target.renewed {
                server.abandon_connections();
            }
        }
    }

    async fn attempt(self: Rc<Self>, server: ServerId, request: Rc<Request<Bytes>>, ticket: Ticket<Self>) {
        let Some(server) = self.get(server) else { return ticket.end(Ended::bare(Outcome::NotSent)) };
        let connection = match self.checkout(&server).await {
            Ok(connection) => connection,
            Err(outcome) => return ticket.end(Ended::bare(outcome)),
        };
        // Connecting took time, in which word may have come that the server drains, or the time may have passed for
        // which duplicates are dropped.
        let Clearance::Go(left) = ticket.clear() else {
            ticket.end(Ended::bare(Outcome::NotSent));
            return self.give_back(&server, connection);
        };
        let mut request = Request::clone(&request).map(Full::new);
        let left = HeaderValue::from_str(&format!("{}u", left.as_micros()));
        request.headers_mut().insert("x-timeout", left.expect("digits are valid in a header"));
        let (ended, connection) = self.exchange(connection, request, true).await;
        ticket.end(ended);
        if let Some(connection) = connection {
            self.give_back(&server, connection);
        }
    }

    async fn probe(self: Rc<Self>, server: ServerId, ticket: ProbeTicket<Self>) {
        let Some(server) = self.get(server) else { return ticket.end(Outcome::NotSent, None) };
        let connection = match self.checkout(&server).await {
            Ok(connection) => connection,
            Err(outcome) => return ticket.end(outcome, None),
        };
        let request = Request::get("/stats").header("host", server.address.get().to_string());
        let request = request.body(Full::default()).expect("a fixed path and an address are valid");
        let (ended, connection) = self.exchange(connection, request, false).await;
        ticket.end(ended.outcome, ended.report);
        if let Some(connection) = connection {
            self.give_back(&server, connection);
        }
    }
}

/// Reads a load report field by field, with no map in between: one comes with every probe.
struct ReportReader<'a>(&'a HttpUpstream);

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
