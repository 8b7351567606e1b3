//! The servers' side: their addresses and states, connections to them, and what is sent over these.

use crate::body::{BodyPrefix, BufferBudget, Outgoing, Payload, Reply, StreamedBody};
use crate::gate::{self, Gate, Guard, Head, Next, Problem};
use birchswitch_engine::{AttemptResult, SendPermit};
use birchswitch_host::pool::{self, NewConnection, Pool, PooledConnection, Server};
use birchswitch_host::socket::is_open_and_idle;
use birchswitch_host::{AttemptHandle, Metrics, ProbeHandle, Upstream};
use birchswitch_membership::Target;
use birchswitch_site::{Names, ReportField};
use finchvale::{LoadReport, Outcome, ServerId};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, Visitor};
use std::borrow::Cow;
use std::cell::Cell;
use std::fmt;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Before it is used again a connection has to be quiet for so long: bytes behind an answer, on their way when it was
/// given back, would pass for the answer to the next request.
const QUARANTINE: Duration = Duration::from_millis(5);

/// Beyond the client's time an answer that is passed on may take so long to come, since a little late is better than broken off.
const OVERTIME: Duration = Duration::from_millis(300);

/// What hyper may hold of a message that passes through.
pub(crate) const MOST_BUFFERED: usize = 64 << 10;

/// One connection to a server; dropping it closes it.
struct Connection {
    sender: http1::SendRequest<Outgoing>,
    driver: AbortHandle,
    /// Not a hold on it: it is closed with its driver, also while the connection is idle.
    socket: Weak<TcpStream>,
    /// More than the answer came with it.
    more: Rc<Cell<bool>>,
    sending: Rc<Cell<Sending>>,
    generation: u64,
}

/// How far the request under way has gone out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sending {
    /// Nothing of it has.
    Nothing,
    /// Some of it has.
    Some,
    /// All that there was to write.
    All,
}

impl PooledConnection for Connection {
    /// Whether the server has neither closed it nor sent what nobody asked for.
    fn is_usable(&self) -> bool {
        !self.more.get()
            && self.sender.is_ready()
            && self.socket.upgrade().is_some_and(|s| is_open_and_idle(&s))
    }

    fn generation(&self) -> u64 {
        self.generation
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
    sending: Rc<Cell<Sending>>,
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

    fn wrote(&self, all: bool) {
        match (all, self.sending.get()) {
            (false, _) => self.sending.set(Sending::Some),
            (true, Sending::Some) => self.sending.set(Sending::All),
            (true, Sending::Nothing | Sending::All) => {}
        }
    }
}

/// A server's answer as far as it is read at once, and its connection, if it is good for another request or there is more
/// of the answer.
struct Exchanged {
    head: response::Parts,
    first: BodyPrefix,
    rest: Incoming,
    connection: Connection,
}

/// All servers and the connections to them.
pub struct HttpUpstream {
    pool: Pool<Connection>,
    names: Rc<Names>,
    fields: Vec<ReportField>,
    /// For what clients have not taken yet of large answers.
    room: Rc<BufferBudget>,
}

/// What the node may hold of connections to servers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    /// Most connections to all servers together.
    pub connections: usize,
    /// For a connection to come up.
    pub connect_timeout: Duration,
    /// After this a server closes an idle connection.
    pub conn_idle: Duration,
}

/// A probe's answer is small; the engine ends what takes longer.
const PROBE: Duration = Duration::from_secs(1);
/// Names the header of a load report.
const LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// Marks an answer that proves that the request was not run.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

impl HttpUpstream {
    /// Starts with no servers. The names and fields tell how to read load reports; what clients have not taken yet of large
    /// answers waits in `room`.
    pub fn new(
        limits: UpstreamLimits,
        names: Rc<Names>,
        fields: Vec<ReportField>,
        room: Rc<BufferBudget>,
    ) -> Rc<Self> {
        let UpstreamLimits { connections, connect_timeout, conn_idle } = limits;
        let limits = pool::Limits { connections, connect_timeout, conn_idle, reuse_delay: QUARANTINE };
        Rc::new(HttpUpstream { pool: Pool::new(limits), names, fields, room })
    }

    /// Closes connections that have been idle for long, for good.
    pub async fn retire_idle(&self) {
        self.pool.retire_idle().await;
    }

    /// The most recently used idle connection that has been quiet since, or a new one.
    async fn checkout(&self, server: &Server<Connection>) -> Result<Connection, Outcome> {
        if let Some(connection) = self.pool.take_idle(server) {
            return Ok(connection);
        }
        let NewConnection { stream, slot, generation } = self.pool.connect(server).await?;
        let (stream, more) = (Rc::new(stream), Rc::new(Cell::new(false)));
        let socket = Rc::downgrade(&stream);
        let sending = Rc::new(Cell::new(Sending::Nothing));
        let gate = Gate::new(stream, Answers { more: more.clone(), sending: sending.clone() });
        let made = http1::Builder::new().max_buf_size(MOST_BUFFERED).handshake(TokioIo::new(gate)).await;
        let (sender, connection) = made.map_err(|_| Outcome::Unreachable)?;
        let driver = tokio::task::spawn_local(drive(connection, slot)).abort_handle();
        Ok(Connection { sender, driver, socket, more, sending, generation })
    }

    // ---- attempts and probes ----
    /// Sends a request and reads its answer, or the first of one that is large.
    async fn exchange(
        mut connection: Connection,
        request: Request<Outgoing>,
        left: Duration,
    ) -> Result<Exchanged, Outcome> {
        let whole = match request.body() {
            Outgoing::Whole(_) => None,
            Outgoing::Streamed(reader) => Some(reader.finished.clone()),
        };
        connection.sending.set(Sending::Nothing);
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            // Handed back unsent. Anything else may have reached the server, and may have run there.
            Err(error) if error.message().is_some() => return Err(Outcome::Unreachable),
            // But none runs before its last byte has come.
            Err(_) if whole.is_some_and(|whole| !whole.get()) => return Err(Outcome::Unreachable),
            Err(_) if connection.sending.get() != Sending::All => return Err(Outcome::Unreachable),
            Err(_) => return Err(Outcome::Broken),
        };
        let (head, mut rest) = response.into_parts();
        match BodyPrefix::of_answer(&mut rest, left).await {
            Ok(first) => Ok(Exchanged { head, first, rest, connection }),
            Err(_) => Err(Outcome::Broken),
        }
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
    type Request = Request<Payload>;
    type Answer = Response<Reply>;

    fn update_servers(&self, targets: &[Target]) {
        self.pool.update_servers(targets);
    }

    fn set_metrics(&self, metrics: Rc<Metrics>) {
        self.pool.set_metrics(metrics);
    }

    async fn attempt(
        self: Rc<Self>,
        server: ServerId,
        request: Rc<Request<Payload>>,
        ticket: AttemptHandle<Self>,
    ) {
        let Some(server) = self.pool.get(server) else {
            return ticket.finish(AttemptResult::from_outcome(Outcome::NotSent));
        };
        let connection = match self.checkout(&server).await {
            Ok(connection) => connection,
            Err(outcome) => return ticket.finish(AttemptResult::from_outcome(outcome)),
        };
        // Connecting took time, in which word may have come that the server drains, or the time may have passed for
        // which duplicates are dropped.
        let SendPermit::Granted(left) = ticket.permit_send() else {
            ticket.finish(AttemptResult::from_outcome(Outcome::NotSent));
            return self.pool.give_back(&server, connection);
        };
        let (body, left) = match request.body() {
            Payload::Whole(bytes) => {
                ticket.written();
                (Outgoing::Whole(Some(bytes.clone())), left)
            }
            Payload::Streamed(upload) => {
                // Nothing of it is left to be sent from the start: this ends as if it had not been tried.
                let Some(mut reader) = upload.reader() else {
                    ticket.finish(AttemptResult::from_outcome(Outcome::NotSent));
                    return self.pool.give_back(&server, connection);
                };
                reader.written = Some(Box::new(ticket.written_callback()));
                (Outgoing::Streamed(reader), left.min(upload.wait))
            }
        };
        let mut outgoing = Request::new(body);
        *outgoing.method_mut() = request.method().clone();
        *outgoing.uri_mut() = request.uri().clone();
        *outgoing.headers_mut() = request.headers().clone();
        let told = HeaderValue::from_str(&format!("{}u", left.as_micros()));
        outgoing.headers_mut().insert("x-timeout", told.expect("digits are valid in a header"));
        let sent = Instant::now();
        let Exchanged { head, first, rest, connection } =
            match Self::exchange(connection, outgoing, left).await {
                Ok(exchanged) => exchanged,
                Err(outcome) => return ticket.finish(AttemptResult::from_outcome(outcome)),
            };
        let outcome = outcome(head.status, &head.headers);
        let report = head.headers.get(LOAD).and_then(|v| self.load_report(v.as_bytes()));
        let whole = first.whole;
        if outcome == Outcome::Served && !whole {
            // The connection goes with what still comes.
            let room = self.room.clone();
            let end = move || self.pool.give_back(&server, connection);
            // An upload's time counts from its last byte, which was out before the answer's first.
            let since = if matches!(request.body(), Payload::Whole(_)) { sent } else { Instant::now() };
            let coming = StreamedBody::new(first.parts, rest, room, since + left + OVERTIME, end);
            let answer = Response::from_parts(head, Reply::Streamed(coming));
            return ticket.finish(AttemptResult { outcome, report, answer: Some(answer) });
        }
        let served = outcome == Outcome::Served;
        let answer = served.then(|| Response::from_parts(head, Reply::Whole(first.joined())));
        ticket.finish(AttemptResult { outcome, report, answer });
        // The rest of any other answer is nobody's.
        if whole {
            self.pool.give_back(&server, connection);
        }
    }

    async fn probe(self: Rc<Self>, server: ServerId, ticket: ProbeHandle<Self>) {
        let Some(server) = self.pool.get(server) else { return ticket.finish(Outcome::NotSent, None) };
        let connection = match self.checkout(&server).await {
            Ok(connection) => connection,
            Err(outcome) => return ticket.finish(outcome, None),
        };
        let request = Request::get("/stats").header("host", server.address().to_string());
        let request = request.body(Outgoing::Whole(None)).expect("a fixed path and an address are valid");
        let exchanged = match Self::exchange(connection, request, PROBE).await {
            Ok(exchanged) if exchanged.first.whole => exchanged,
            Ok(_) => return ticket.finish(Outcome::Broken, None),
            Err(outcome) => return ticket.finish(outcome, None),
        };
        let outcome = outcome(exchanged.head.status, &exchanged.head.headers);
        let body = exchanged.first.joined();
        let report = (outcome == Outcome::Served).then(|| self.load_report(&body)).flatten();
        ticket.finish(outcome, report);
        self.pool.give_back(&server, exchanged.connection);
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
                Some(field) => field.store(values.next_value()?, &mut report),
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
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run() => Outcome::Rejected,
        // A 503 without the mark proves nothing.
        _ => Outcome::Error,
    }
}

type Driver = http1::Connection<TokioIo<Gate<Answers>>, Outgoing>;

async fn drive(connection: Driver, permit: OwnedSemaphorePermit) {
    let _ = connection.await;
    drop(permit);
}
