//! The server side: pooled connections to servers, and the requests and probes sent over them.
//!
//! `connection` is one connection and the exchange of one request for its response; `load_report` parses servers' reports.

mod connection;
mod load_report;

use crate::body::{BufferBudget, OutgoingBody, RequestBody, ResponseBody, StreamedBody};
use crate::gate::MAX_HEAD;
use birchswitch_engine::AttemptResult;
use birchswitch_host::pool::{self, Pool, Server};
use birchswitch_host::{AttemptHandle, Metrics, ProbeHandle, SendGrant, Upstream};
use birchswitch_membership::Target;
use birchswitch_site::{Names, ReportField};
use connection::{Connection, Exchange, ResponseHead};
use finchvale::{LoadReport, Outcome, ServerId};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// How long a connection has to be quiet before it is reused. Surplus bytes after a response that were still in transit
/// when the connection was returned would otherwise be taken for the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(5);

/// Maximum size of hyper's buffers. A head has to fit in.
pub(crate) const MAX_HYPER_BUFFER: usize = MAX_HEAD + 1;

/// All servers and their HTTP/1.1 connections.
pub struct HttpUpstream {
    pool: Pool<Connection>,
    names: Rc<Names>,
    fields: Vec<ReportField>,
    /// Budget for streamed responses that clients have not taken yet.
    budget: BufferBudget,
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
        budget: BufferBudget,
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
        self.pool.connect(server).await.map(Connection::new)
    }

    /// Parses a load report. `None` if it is malformed or has none of the known fields.
    fn load_report(&self, text: &[u8]) -> Option<LoadReport> {
        load_report::parse(text, &self.names, &self.fields)
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
                let held = complete_by.map(|at| connection.hold(at));
                // The body can't be sent from the start any more: the attempt ends as not sent.
                let Some(reader) = connection.reader_of(upload, Box::new(handle.last_byte_permit()), held)
                else {
                    handle.finish(AttemptResult::from_outcome(Outcome::NotSent));
                    return self.pool.give_back(&server, connection);
                };
                (OutgoingBody::Streamed(Box::new(reader)), left.min(upload.client_timeout))
            }
        };
        let mut outgoing = Request::new(body);
        *outgoing.method_mut() = request.method().clone();
        *outgoing.uri_mut() = request.uri().clone();
        *outgoing.headers_mut() = request.headers().clone();
        let timeout = HeaderValue::from_str(&format!("{}u", left.as_micros()));
        outgoing.headers_mut().insert("x-timeout", timeout.expect("digits are a valid header value"));
        let Exchange { head, prefix, rest, connection } =
            match connection.exchange(outgoing, &self.budget, left, complete_by).await {
                Ok(exchange) => exchange,
                Err(outcome) => return handle.finish(AttemptResult::from_outcome(outcome)),
            };
        let outcome = response_outcome(head.status, &head.headers);
        let response_head = ResponseHead::of(&head);
        let report = head.headers.get(LOAD_REPORT).and_then(|v| self.load_report(v.as_bytes()));
        let complete = prefix.complete;
        if outcome == Outcome::Served && !complete {
            // The rest of the body keeps the connection until it has been received.
            let budget = self.budget.clone();
            let give_back = move |connection| self.pool.give_back(&server, connection);
            let on_complete = move || connection.release(&response_head, give_back);
            let body = StreamedBody::new(prefix.bytes, rest, budget, on_complete);
            let answer = Response::from_parts(head, ResponseBody::Streamed(body));
            return handle.finish(AttemptResult { outcome, report, answer: Some(answer) });
        }
        let served = outcome == Outcome::Served;
        let answer = served.then(|| Response::from_parts(head, ResponseBody::Whole(prefix.bytes)));
        handle.finish(AttemptResult { outcome, report, answer });
        // The rest of a response that is not forwarded is not read; its connection is closed.
        if complete {
            connection.release(&response_head, move |connection| self.pool.give_back(&server, connection));
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
        let exchange = match connection.exchange(request, &self.budget, PROBE_TIMEOUT, None).await {
            Ok(exchange) if exchange.prefix.complete => exchange,
            Ok(_) => return handle.finish(Outcome::Broken, None),
            Err(outcome) => return handle.finish(outcome, None),
        };
        let outcome = response_outcome(exchange.head.status, &exchange.head.headers);
        let body = exchange.prefix.bytes;
        let report = (outcome == Outcome::Served).then(|| self.load_report(&body)).flatten();
        handle.finish(outcome, report);
        let head = ResponseHead::of(&exchange.head);
        exchange.connection.release(&head, move |connection| self.pool.give_back(&server, connection));
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
