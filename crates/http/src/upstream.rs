//! The server side: pooled connections to servers, and the requests and probes sent over them.

use crate::body::{
    BodyPrefix, BufferBudget, HeldUpload, OutgoingBody, RequestBody, ResponseBody, StreamedBody, UploadEnd,
};
use crate::gate::{self, Expected, Gate, GateHandler, Head, Rejection};
use crate::send_monitor::SendMonitor;
use birchswitch_engine::AttemptResult;
use birchswitch_host::delivery::DeliveryHold;
use birchswitch_host::pool::{self, NewConnection, Pool, PooledConnection, Server};
use birchswitch_host::{AttemptHandle, Metrics, ProbeHandle, SendGrant, Upstream};
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
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

/// How long a connection has to be quiet before it is reused. Surplus bytes after a response that were still in transit
/// when the connection was returned would otherwise be taken for the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(5);

/// How far past the client's deadline a streamed response may still arrive: slightly late is better than truncated.
const STREAM_OVERTIME: Duration = Duration::from_millis(300);

/// Maximum size of hyper's buffers for a message that is forwarded.
pub(crate) const MAX_HYPER_BUFFER: usize = 64 << 10;

/// A connection to a server. Dropping it closes it.
struct Connection {
    sender: http1::SendRequest<OutgoingBody>,
    driver: AbortHandle,
    monitor: SendMonitor,
    /// More bytes than the response were received with it.
    excess: Rc<Cell<bool>>,
    generation: u64,
}

impl PooledConnection for Connection {
    /// Whether the server has neither closed the connection nor sent unsolicited bytes.
    fn is_usable(&self) -> bool {
        !self.excess.get() && self.sender.is_ready() && self.monitor.is_open_and_idle()
    }

    fn generation(&self) -> u64 {
        self.generation
    }
}

impl Connection {
    /// Holds back the last bytes of an upload that is sent over this connection.
    fn hold(&self, complete_by: Instant) -> Option<HeldUpload> {
        let hold = DeliveryHold::new(&*self.monitor.socket()?, complete_by);
        Some(HeldUpload { monitor: self.monitor.clone(), hold })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Checks response heads. An invalid one ends the connection, and with it the attempt.
struct ResponseHandler {
    excess: Rc<Cell<bool>>,
    monitor: SendMonitor,
}

impl GateHandler for ResponseHandler {
    const BETWEEN_MESSAGES: Expected = Expected::Nothing;

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, Rejection> {
        gate::parse_response_head(bytes)
    }

    fn reject(&self, rejection: Rejection) -> std::io::Result<&'static [u8]> {
        Err(std::io::Error::new(std::io::ErrorKind::InvalidData, rejection.1))
    }

    fn excess_received(&self) {
        self.excess.set(true);
    }

    fn written(&self, all: bool) {
        self.monitor.written(all);
    }
}

/// The head of a server's response, the first part of its body, and the connection, from which the rest of the body is
/// read or which can be reused.
struct Exchange {
    head: response::Parts,
    prefix: BodyPrefix,
    rest: Incoming,
    connection: Connection,
}

/// All servers and their HTTP/1.1 connections.
pub struct HttpUpstream {
    pool: Pool<Connection>,
    names: Rc<Names>,
    fields: Vec<ReportField>,
    /// Budget for streamed responses that clients have not taken yet.
    budget: Rc<BufferBudget>,
}

/// Limits on connections to servers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    /// Maximum number of connections to all servers together.
    pub connections: usize,
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Time after which servers close an idle connection.
    pub conn_idle: Duration,
}

/// Time for the response to a probe, which is small. The engine ends probes that take longer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// The header that carries a load report.
const LOAD_REPORT: HeaderName = HeaderName::from_static("x-server-load");
/// The header by which a server states that it did not run the request.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

impl HttpUpstream {
    /// Creates an upstream without servers. `names` and `fields` describe the load reports; `budget` bounds the memory
    /// for streamed responses that clients have not taken yet.
    pub fn new(
        limits: UpstreamLimits,
        names: Rc<Names>,
        fields: Vec<ReportField>,
        budget: Rc<BufferBudget>,
    ) -> Rc<Self> {
        let UpstreamLimits { connections, connect_timeout, conn_idle } = limits;
        let limits = pool::Limits { connections, connect_timeout, conn_idle, reuse_delay: REUSE_DELAY };
        Rc::new(HttpUpstream { pool: Pool::new(limits), names, fields, budget })
    }

    /// Keeps closing connections that have been idle for too long. Never returns.
    pub async fn retire_idle(&self) {
        self.pool.retire_idle().await;
    }

    /// Returns the most recently used idle connection that has stayed quiet, or a new one.
    async fn checkout(&self, server: &Server<Connection>) -> Result<Connection, Outcome> {
        if let Some(connection) = self.pool.take_idle(server) {
            return Ok(connection);
        }
        let NewConnection { stream, slot, generation } = self.pool.connect(server).await?;
        let (stream, excess) = (Rc::new(stream), Rc::new(Cell::new(false)));
        let monitor = SendMonitor::new(&stream);
        let gate = Gate::new(stream, ResponseHandler { excess: excess.clone(), monitor: monitor.clone() });
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HYPER_BUFFER).handshake(TokioIo::new(gate)).await;
        let (sender, connection) = handshake.map_err(|_| Outcome::Unreachable)?;
        let driver = tokio::task::spawn_local(drive_connection(connection, slot)).abort_handle();
        Ok(Connection { sender, driver, monitor, excess, generation })
    }

    // ---- attempts and probes ----
    /// Sends a request and reads its response, or the first part of a large one. Gives up if the request is not with the
    /// server at `complete_by`.
    async fn exchange(
        mut connection: Connection,
        request: Request<OutgoingBody>,
        left: Duration,
        complete_by: Option<Instant>,
    ) -> Result<Exchange, Outcome> {
        let upload_end = match request.body() {
            OutgoingBody::Whole(_) => None,
            OutgoingBody::Streamed(reader) => Some(reader.end()),
        };
        let monitor = connection.monitor.clone();
        monitor.reset();
        let response = tokio::select! {
            biased;
            response = connection.sender.try_send_request(request) => response,
            outcome = missed_window(&monitor, upload_end.as_deref(), complete_by) => return Err(outcome),
        };
        let response = match response {
            Ok(response) => response,
            // Returned unsent. In any other case some of it may have reached the server and may have run there.
            Err(error) if error.message().is_some() => return Err(Outcome::Unreachable),
            // No server runs a request before it has received the last byte.
            Err(_) => match upload_end.map(|end| end.get()) {
                Some(UploadEnd::Pending) => return Err(Outcome::Unreachable),
                Some(UploadEnd::Denied) => return Err(Outcome::NotSent),
                Some(UploadEnd::Finished) | None if !monitor.is_written() => {
                    return Err(Outcome::Unreachable)
                }
                Some(UploadEnd::Finished) | None => return Err(Outcome::Broken),
            },
        };
        let (head, mut rest) = response.into_parts();
        match BodyPrefix::of_response(&mut rest, left).await {
            Ok(prefix) => Ok(Exchange { head, prefix, rest, connection }),
            Err(_) => Err(Outcome::Broken),
        }
    }

    /// Parses a load report. `None` if it is malformed or has none of the known fields.
    fn load_report(&self, text: &[u8]) -> Option<LoadReport> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let report = ReportReader(self).deserialize(&mut reader).ok()?;
        reader.end().ok()?;
        (report != LoadReport::default()).then_some(report)
    }
}

impl Upstream for HttpUpstream {
    type Request = Request<RequestBody>;
    type Answer = Response<ResponseBody>;

    fn update_servers(&self, targets: &[Target]) {
        self.pool.update_servers(targets);
    }

    fn set_metrics(&self, metrics: Rc<Metrics>) {
        self.pool.set_metrics(metrics);
    }

    async fn attempt(
        self: Rc<Self>,
        server: ServerId,
        request: Rc<Request<RequestBody>>,
        handle: AttemptHandle<Self>,
    ) {
        let Some(server) = self.pool.get(server) else {
            return handle.finish(AttemptResult::from_outcome(Outcome::NotSent));
        };
        let connection = match self.checkout(&server).await {
            Ok(connection) => connection,
            Err(outcome) => return handle.finish(AttemptResult::from_outcome(outcome)),
        };
        // While connecting, the server may have started to drain, or the window in which duplicates are recognized may
        // have ended.
        let Some(SendGrant { left, complete_by }) = handle.permit_send() else {
            handle.finish(AttemptResult::from_outcome(Outcome::NotSent));
            return self.pool.give_back(&server, connection);
        };
        let (body, left) = match request.body() {
            RequestBody::Whole(bytes) => {
                handle.written();
                (OutgoingBody::Whole(Some(bytes.clone())), left)
            }
            RequestBody::Streamed(upload) => {
                let held = complete_by.and_then(|at| connection.hold(at));
                // The body can't be sent from the start any more: the attempt ends as not sent.
                let Some(reader) = upload.new_reader(Box::new(handle.last_byte_permit()), held) else {
                    handle.finish(AttemptResult::from_outcome(Outcome::NotSent));
                    return self.pool.give_back(&server, connection);
                };
                (OutgoingBody::Streamed(reader), left.min(upload.client_timeout))
            }
        };
        let mut outgoing = Request::new(body);
        *outgoing.method_mut() = request.method().clone();
        *outgoing.uri_mut() = request.uri().clone();
        *outgoing.headers_mut() = request.headers().clone();
        let timeout = HeaderValue::from_str(&format!("{}u", left.as_micros()));
        outgoing.headers_mut().insert("x-timeout", timeout.expect("digits are a valid header value"));
        let sent = Instant::now();
        let Exchange { head, prefix, rest, connection } =
            match Self::exchange(connection, outgoing, left, complete_by).await {
                Ok(exchange) => exchange,
                Err(outcome) => return handle.finish(AttemptResult::from_outcome(outcome)),
            };
        let outcome = response_outcome(head.status, &head.headers);
        let report = head.headers.get(LOAD_REPORT).and_then(|v| self.load_report(v.as_bytes()));
        let complete = prefix.complete;
        if outcome == Outcome::Served && !complete {
            // The rest of the body keeps the connection until it has been received.
            let budget = self.budget.clone();
            let on_complete = move || self.pool.give_back(&server, connection);
            // An upload's time counts from its last byte, which was sent before the response's first byte.
            let start = if matches!(request.body(), RequestBody::Whole(_)) { sent } else { Instant::now() };
            let body =
                StreamedBody::new(prefix.chunks, rest, budget, start + left + STREAM_OVERTIME, on_complete);
            let answer = Response::from_parts(head, ResponseBody::Streamed(body));
            return handle.finish(AttemptResult { outcome, report, answer: Some(answer) });
        }
        let served = outcome == Outcome::Served;
        let answer = served.then(|| Response::from_parts(head, ResponseBody::Whole(prefix.into_bytes())));
        handle.finish(AttemptResult { outcome, report, answer });
        // The rest of a response that is not forwarded is not read; its connection is closed.
        if complete {
            self.pool.give_back(&server, connection);
        }
    }

    async fn probe(self: Rc<Self>, server: ServerId, handle: ProbeHandle<Self>) {
        let Some(server) = self.pool.get(server) else { return handle.finish(Outcome::NotSent, None) };
        let connection = match self.checkout(&server).await {
            Ok(connection) => connection,
            Err(outcome) => return handle.finish(outcome, None),
        };
        let request = Request::get("/stats").header("host", server.address().to_string());
        let request = request
            .body(OutgoingBody::Whole(None))
            .expect("a fixed path and an address form a valid request");
        let exchange = match Self::exchange(connection, request, PROBE_TIMEOUT, None).await {
            Ok(exchange) if exchange.prefix.complete => exchange,
            Ok(_) => return handle.finish(Outcome::Broken, None),
            Err(outcome) => return handle.finish(outcome, None),
        };
        let outcome = response_outcome(exchange.head.status, &exchange.head.headers);
        let body = exchange.prefix.into_bytes();
        let report = (outcome == Outcome::Served).then(|| self.load_report(&body)).flatten();
        handle.finish(outcome, report);
        self.pool.give_back(&server, exchange.connection);
    }
}

/// Waits until `complete_by`, and returns the outcome of the attempt if its request is not with the server then. A server
/// that got the last byte later might not recognize the request's key any more.
async fn missed_window(
    monitor: &SendMonitor,
    upload_end: Option<&Cell<UploadEnd>>,
    complete_by: Option<Instant>,
) -> Outcome {
    let Some(complete_by) = complete_by else { return std::future::pending().await };
    sleep_until(complete_by).await;
    let all_handed_over = upload_end.is_none_or(|end| end.get() == UploadEnd::Finished);
    if !all_handed_over || !monitor.is_written() {
        monitor.discard_unsent();
        return Outcome::NotSent;
    }
    monitor.undelivered(complete_by).await;
    monitor.discard_unsent();
    // What has just arrived may run.
    Outcome::Broken
}

/// Deserializes a load report field by field without an intermediate map, since every probe returns one.
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

/// The outcome of the request according to a response.
fn response_outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let not_run = || headers.get(NOT_PROCESSED).is_some_and(|v| v.as_bytes() == b"1");
    match status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run() => Outcome::Rejected,
        // A 503 without the header does not prove that the request was not run.
        _ => Outcome::Error,
    }
}

type Driver = http1::Connection<TokioIo<Gate<ResponseHandler>>, OutgoingBody>;

/// Runs a connection until it ends, then frees its slot.
async fn drive_connection(connection: Driver, permit: OwnedSemaphorePermit) {
    let _ = connection.await;
    drop(permit);
}
