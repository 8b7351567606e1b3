//! The clients' side: takes connections and requests, checks them, and writes the final answers.

use crate::backend::{MOST_BODY, MOST_BUFFER};
use crate::engine::{Answer, Engine, Incoming};
use bytes::Bytes;
use finchvale::{ClassId, Effect, TenantId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming as Body;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};

/// Kept back from the client's time, for what lies between its send and the head's arrival here and for the
/// answer's way back: at most this ...
const MARGIN: Duration = Duration::from_millis(20);
/// ... and at most this part of the time.
const MARGIN_PART: u32 = 8;
/// The part of the margin that an answer which the balancer owes may take.
const OVERDUE: u32 = 4;
/// A connection may wait this long for a request, and a request's head may take this long.
const IDLE: Duration = Duration::from_secs(60);
/// Where places are needed, this part of them is made free at a time.
const EVICTED_PART: u32 = 8;
/// For what is under way on a connection that is to end.
const LAST_CHANCE: Duration = Duration::from_millis(100);
/// No client waits for longer.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);
/// A failed `accept` is not tried again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const TENANT: HeaderName = HeaderName::from_static("x-tenant-id");
const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");
const COST: HeaderName = HeaderName::from_static("x-cost");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that belong to one connection, not to the message.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// How far the node's end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It serves, and asks clients to go elsewhere next.
    Leaving,
    /// It takes no connections and finishes what it has.
    Closing,
}

/// What a connection needs to know.
pub struct Frontend {
    engine: Rc<Engine>,
    effects: Vec<Effect>,
    phase: watch::Receiver<Phase>,
    most: u32,
    slots: Arc<Semaphore>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    next_client: Cell<u64>,
}

/// One connection.
struct Client {
    /// Since when it waits for a request; None while it has one.
    idle: Cell<Option<Instant>>,
    /// Whether a request has come on it.
    used: Cell<bool>,
    close: Notify,
}

impl Frontend {
    /// Takes at most `connections` at a time.
    pub fn new(
        engine: Rc<Engine>,
        effects: Vec<Effect>,
        connections: u32,
        phase: watch::Receiver<Phase>,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            engine,
            effects,
            phase,
            most: connections,
            slots: Arc::new(Semaphore::new(connections as usize)),
            clients: RefCell::default(),
            next_client: Cell::new(0),
        })
    }

    /// Takes connections until the node closes, then waits for the last of them to end.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut phase = self.phase.clone();
        let mut closing = std::pin::pin!(async move {
            let _ = phase.wait_for(|p| *p == Phase::Closing).await;
        });
        loop {
            // Not given up when the node closes: what the system has taken for us may hold requests, and would be
            // lost with the socket.
            let permit = self.slot().await;
            tokio::select! {
                biased; // The same holds here: the queue first, then the end.
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.clone().connected(stream, permit),
                    Err(error) => {
                        self.engine.log(format_args!("accept: {error}"));
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                () = &mut closing => break,
            }
        }
        drop(listener);
        let _ = self.slots.acquire_many(self.most).await;
    }

    /// Room for one more connection. Where there is none, those that have waited for a request the longest are
    /// closed, so that idle clients don't keep others out: several at a time, since a head that has begun gets a
    /// last chance, and a crowd of such heads would let in only one client in each of these.
    async fn slot(&self) -> OwnedSemaphorePermit {
        if self.slots.available_permits() == 0 {
            let clients = self.clients.borrow();
            let mut idle: Vec<_> = clients.values().filter_map(|c| Some((c.idle.get()?, c))).collect();
            idle.sort_unstable_by_key(|c| c.0);
            idle.iter().take(self.most.div_ceil(EVICTED_PART) as usize).for_each(|c| c.1.close.notify_one());
        }
        self.slots.clone().acquire_owned().await.expect("the semaphore is never closed")
    }

    fn connected(self: Rc<Self>, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let _ = stream.set_nodelay(true);
        let (idle, used) = (Cell::new(Some(Instant::now())), Cell::new(false));
        let client = Rc::new(Client { idle, used, close: Notify::new() });
        let id = self.next_client.replace(self.next_client.get() + 1);
        // Before its task runs: a burst may fill all places within one turn, and where nobody is known to be idle
        // nobody makes room.
        self.clients.borrow_mut().insert(id, client.clone());
        spawn_local(async move {
            self.serve_connection(stream, &client).await;
            self.clients.borrow_mut().remove(&id);
            drop(permit);
        });
    }

    async fn serve_connection(self: &Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        let service = service_fn(|request: Request<Body>| async {
            client.idle.set(None);
            client.used.set(true);
            let mut response = self.answer(request).await;
            client.idle.set(Some(Instant::now()));
            // A client that is told to close goes elsewhere next; so is every one while others wait for room.
            if *self.phase.borrow() > Phase::Serving || self.slots.available_permits() == 0 {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .max_buf_size(MOST_BUFFER)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.clone();
        let mut told = false;
        loop {
            let evicted = tokio::select! {
                biased;
                _ = connection.as_mut() => return, // Its errors are the client's: it left or spoke no HTTP.
                () = client.close.notified() => true,
                _ = phase.wait_for(|p| *p == Phase::Closing), if !told => false,
            };
            told = true;
            // A request may have come with the connection and not have been read yet. Hyper would close on it.
            if !client.used.get() && timeout(LAST_CHANCE, connection.as_mut()).await.is_ok() {
                return;
            }
            connection.as_mut().graceful_shutdown();
            // A head that never ends would keep its place for as long as it likes: only what has come in whole
            // meanwhile is worth a wait.
            if evicted
                && (!client.used.get()
                    || timeout(LAST_CHANCE, connection.as_mut()).await.is_ok()
                    || client.idle.get().is_some())
            {
                return;
            }
        }
    }

    async fn answer(&self, request: Request<Body>) -> Response<Full<Bytes>> {
        let head = Instant::now();
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health/ready") => {
                let ready = self.engine.ready() && *self.phase.borrow() == Phase::Serving;
                return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
            }
            (&Method::GET, "/health/live") => {
                return plain(StatusCode::OK, format!("list {}\n", self.engine.revision()));
            }
            _ => {}
        }
        let (parts, body) = request.into_parts();
        let order = match self.read_head(&parts.method, &parts.uri, &parts.headers) {
            Ok(order) => order,
            Err((status, why)) => return plain(status, why),
        };
        let margin = MARGIN.min(order.wait / MARGIN_PART);
        let due = head + order.wait - margin;
        let body = match timeout_at(due, Limited::new(body, MOST_BODY).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body is not whole"),
            Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
        };
        let mut outgoing = Request::new(body);
        *outgoing.method_mut() = parts.method;
        *outgoing.uri_mut() = order.target;
        *outgoing.headers_mut() = end_to_end(parts.headers);
        let Order { class, tenant, work, .. } = order;
        let taken = self.engine.arrival(Incoming { class, tenant, work, due, request: outgoing });
        match taken.answer(due + margin / OVERDUE).await {
            Answer::Served(response) => {
                let (head, body) = response.into_parts();
                let mut response = Response::new(Full::new(body));
                *response.headers_mut() = end_to_end(head.headers);
                response
            }
            Answer::Refused(wait) => {
                let mut response =
                    plain(StatusCode::SERVICE_UNAVAILABLE, "refused: trying again is harmless");
                if let Some(wait) = wait {
                    let wait = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()));
                    let wait = wait.expect("a decimal number is valid in a header");
                    response.headers_mut().insert(header::RETRY_AFTER, wait);
                }
                response
            }
            Answer::Failed => {
                plain(StatusCode::GATEWAY_TIMEOUT, "failed: the request may have been carried out")
            }
        }
    }

    /// Reads what a request's head says of it, or why it is turned down.
    fn read_head(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Result<Order, Problem> {
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let names = self.engine.names();
        let class = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = names.classes.iter().position(|c| c == class && !c.is_empty());
        let class = class.ok_or((StatusCode::NOT_FOUND, "unknown class of requests"))?;
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        if text(&REQUEST_ID).is_none_or(str::is_empty) {
            return Err(bad("X-Request-ID is missing"));
        }
        let wait = text(&TIMEOUT).and_then(parse_wait);
        let wait = wait.ok_or(bad("X-Timeout is missing or makes no sense"))?;
        let keyed = matches!(self.effects[class], Effect::Keyed { .. });
        if keyed && text(&KEY).is_none_or(str::is_empty) {
            return Err(bad("Idempotency-Key is missing"));
        }
        if *method == Method::CONNECT {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "no tunnels"));
        }
        let tenant = match text(&TENANT) {
            _ if names.tenants.is_empty() => 0,
            name => {
                names.tenants.iter().position(|t| Some(t.as_str()) == name).ok_or(bad("unknown tenant"))?
            }
        };
        let target = uri.path_and_query().cloned().map(Uri::from).ok_or(bad("the target has no path"))?;
        let work = text(&COST).and_then(|v| v.parse::<f64>().ok()).filter(|us| (0.0..1e12).contains(us));
        Ok(Order {
            class: ClassId(u8::try_from(class).map_err(|_| bad("unknown class of requests"))?),
            tenant: TenantId(u16::try_from(tenant).map_err(|_| bad("unknown tenant"))?),
            work: work.map(|us| Duration::from_secs_f64(us / 1e6)),
            wait,
            target,
        })
    }
}

type Problem = (StatusCode, &'static str);

/// What a request's head says.
struct Order {
    class: ClassId,
    tenant: TenantId,
    work: Option<Duration>,
    wait: Duration,
    target: Uri,
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// A number and a unit: `m` for milliseconds, `u` for microseconds.
fn parse_wait(text: &str) -> Option<Duration> {
    let digits = text.get(..text.len().checked_sub(1)?)?;
    if !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let number = digits.parse().ok()?;
    let wait = match text.as_bytes().last()? {
        b'm' => Duration::from_millis(number),
        b'u' => Duration::from_micros(number),
        _ => return None,
    };
    (wait > Duration::ZERO && wait <= LONGEST_WAIT).then_some(wait)
}

/// Leaves out the headers that belong to one connection, and the length, which goes with the body.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named).chain([&header::CONTENT_LENGTH]) {
        headers.remove(name);
    }
    headers
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_are_a_number_and_a_unit() {
        assert_eq!(parse_wait("480m"), Some(Duration::from_millis(480)));
        assert_eq!(parse_wait("1500u"), Some(Duration::from_micros(1500)));
        for senseless in
            ["", "m", "0m", "-5m", "+5m", "5", "5s", "4.5m", "99999999999999999999m", "9000000m", "é"]
        {
            assert_eq!(parse_wait(senseless), None, "{senseless}");
        }
    }

    #[test]
    fn headers_of_one_connection_stay_behind() {
        let mut headers = HeaderMap::new();
        for (name, value) in
            [("connection", "X-Mine, close"), ("x-mine", "1"), ("te", "trailers"), ("x-all", "2")]
        {
            headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        let passed = end_to_end(headers);
        assert_eq!(passed.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-all"]);
    }
}
