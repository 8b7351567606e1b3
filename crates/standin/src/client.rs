//! HTTP clients of the nodes. They send orders, enforce a deadline and retry only where a repeated run is harmless.

use crate::results::OrderOutcome;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

/// Delay per attempt before a retry when the response carries no `Retry-After`.
const BACKOFF: Duration = Duration::from_millis(50);

/// Which retries are safe for the orders of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent: sent as GET and retried after any failure.
    Safe,
    /// Carries an idempotency key. A client does not know which servers remember the key, so it retries only after a
    /// refusal.
    Keyed,
    /// Retried only after a refusal.
    Unsafe,
}

/// A class of orders as clients see it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class, the first segment of the path.
    pub name: &'static str,
    /// Which retries are safe.
    pub idempotency: Idempotency,
    /// Time limit of an order, over all attempts.
    pub deadline: Duration,
    /// A response within this time counts as in time.
    pub promise: Duration,
    /// Fraction of all orders that belong to this class.
    pub share: f64,
}

/// An order: one logical request that may take several attempts.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// Class of the order.
    pub class: &'a Class,
    /// Number of the order; it is part of each attempt's request id and is the idempotency key.
    pub number: u64,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Expected work in seconds.
    pub work: f64,
    /// Whether the work is sent to nodes as a cost hint (`x-cost`).
    pub sends_cost_hints: bool,
}

/// Clients of a set of nodes, with a pool of idle connections for each node.
pub struct Clients {
    nodes: Vec<SocketAddr>,
    slack: Duration,
    idle: Vec<RefCell<Vec<Sender>>>,
}

pub(crate) type Sender = http1::SendRequest<Full<Bytes>>;

/// Result of one attempt.
enum Reply {
    Answered(StatusCode, Option<Duration>),
    /// The request was not sent.
    Unsent,
    Broken,
}

impl Clients {
    /// Creates clients of these nodes. They wait for a response until `slack` after an order's deadline.
    pub fn new(nodes: Vec<SocketAddr>, slack: Duration) -> Self {
        let idle = nodes.iter().map(|_| RefCell::default()).collect();
        Clients { nodes, slack, idle }
    }

    /// Sends an order, first to node `first` modulo the number of nodes, and retries at the next node until it has an
    /// outcome.
    pub async fn send(&self, order: Order<'_>, first: usize) -> OrderOutcome {
        let started = Instant::now();
        let due = started + order.class.deadline;
        let mut attempts = 0;
        loop {
            let node = (first + attempts) % self.nodes.len();
            let request = request(order, attempts, due - Instant::now());
            attempts += 1;
            let Ok(reply) = timeout_at(due + self.slack, self.attempt(node, request)).await else {
                return OrderOutcome::Unanswered;
            };
            let (outcome, wait) = match reply {
                Reply::Answered(StatusCode::OK, _) => return OrderOutcome::Served(started.elapsed()),
                Reply::Answered(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, wait) => {
                    (OrderOutcome::Refused, wait)
                }
                Reply::Unsent => (OrderOutcome::Failed, None),
                Reply::Answered(..) | Reply::Broken if order.class.idempotency == Idempotency::Safe => {
                    (OrderOutcome::Failed, None)
                }
                Reply::Answered(..) | Reply::Broken => return OrderOutcome::Failed,
            };
            let wait = wait.unwrap_or(BACKOFF * attempts as u32);
            if Instant::now() + wait >= due {
                return outcome;
            }
            sleep(wait).await;
        }
    }

    /// Returns whether a node reports that it is ready.
    pub async fn ready(&self, node: usize) -> bool {
        let request = Request::get("/health/ready").header("host", "shop").body(Full::default());
        let reply = self.attempt(node, request.expect("a fixed request is valid")).await;
        matches!(reply, Reply::Answered(StatusCode::OK, _))
    }

    /// Makes one attempt. A pooled connection may be closed just as it is used: a request that hyper returns unsent is
    /// sent once more on a new connection.
    async fn attempt(&self, node: usize, mut request: Request<Full<Bytes>>) -> Reply {
        loop {
            let kept = self.take_idle(node);
            let fresh = kept.is_none();
            let mut sender = match kept {
                Some(sender) => sender,
                None => match connect(self.nodes[node]).await {
                    Ok(sender) => sender,
                    Err(_) => return Reply::Unsent,
                },
            };
            match sender.try_send_request(request).await {
                Ok(response) => return self.read_response(node, sender, response).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return Reply::Unsent,
                    None => return Reply::Broken,
                },
            }
        }
    }

    async fn read_response(
        &self,
        node: usize,
        sender: Sender,
        response: Response<hyper::body::Incoming>,
    ) -> Reply {
        let status = response.status();
        let wait = response.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let wait = wait.filter(|w| (0.0..1e6).contains(w)).map(Duration::from_secs_f64);
        let closing = response.headers().get("connection").is_some_and(|v| v.as_bytes() == b"close");
        if response.into_body().collect().await.is_err() {
            return Reply::Broken;
        }
        if !closing {
            self.idle[node].borrow_mut().push(sender);
        }
        Reply::Answered(status, wait)
    }

    fn take_idle(&self, node: usize) -> Option<Sender> {
        let mut idle = self.idle[node].borrow_mut();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

/// Opens a connection and drives it in a task of its own.
pub(crate) async fn connect(to: SocketAddr) -> Result<Sender, Box<dyn Error>> {
    let stream = TcpStream::connect(to).await?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    spawn_local(connection);
    Ok(sender)
}

fn request(order: Order<'_>, attempts: usize, left: Duration) -> Request<Full<Bytes>> {
    let (class, number) = (order.class, order.number);
    let method = if class.idempotency == Idempotency::Safe { "GET" } else { "POST" };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("/{}", class.name))
        .header("host", "shop")
        .header("x-request-id", format!("{number:x}-{attempts}"))
        .header("x-tenant-id", order.tenant)
        .header("x-timeout", format!("{}u", left.as_micros().max(1)))
        .header(if order.sends_cost_hints { "x-cost" } else { "x-work" }, format!("{:.0}", order.work * 1e6));
    if class.idempotency == Idempotency::Keyed {
        request = request.header("idempotency-key", format!("{number:x}"));
    }
    let body = if class.idempotency == Idempotency::Safe { Bytes::new() } else { Bytes::from_static(b"one") };
    request.body(Full::new(body)).expect("names and numbers are valid in a request head")
}
