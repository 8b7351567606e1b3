//! Open-loop clients of the rig's nodes: each node gets requests at a given rate, whatever their outcome.

use super::SharedAddresses;
use crate::client::{connect, Sender};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};

/// Time limit for a response.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time within which a connection is used again. It is well below the time after which a node closes idle
/// connections, since a request that crosses the close goes unanswered.
const KEEP_ALIVE: Duration = Duration::from_millis(1500);

/// Template of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Class of the request.
    pub class: String,
    /// Tenant of the request.
    pub tenant: String,
    /// Idempotency key, if the class needs one; generated load gives each request a key of its own.
    pub key: Option<String>,
    /// Cost hint in microseconds.
    pub cost: Option<u64>,
}

/// Outcome of a request for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Id of the request.
    pub id: String,
    /// Node that it was sent to.
    pub node: usize,
    /// Status of the response, if there was one.
    pub status: Option<u16>,
    /// Whether the response has a `Retry-After` header.
    pub retry_after: bool,
    /// Body of the response, or why there was none.
    pub text: String,
    /// Time until the outcome.
    pub took: Duration,
}

/// Load of one node.
#[derive(Clone, Debug)]
pub struct NodeLoad {
    /// Requests per second.
    pub per_s: Rc<Cell<f64>>,
    /// Templates of the requests, used in rotation.
    pub requests: Vec<RequestSpec>,
}

/// An idle connection.
struct IdleConnection {
    to: SocketAddr,
    since: Instant,
    sender: Sender,
}

type Idle = RefCell<Vec<IdleConnection>>;

/// A response as read by the client.
struct Answer {
    status: u16,
    retry_after: bool,
    text: String,
}

/// Clients that are sending requests. They run on a `LocalSet` until this is dropped.
pub struct Load {
    ended: Rc<RefCell<Vec<RequestOutcome>>>,
    sent: Rc<Cell<u64>>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Starts the clients. `rates` holds the load of each node, `addresses` where clients reach each node now.
    pub fn start(rates: Vec<NodeLoad>, addresses: SharedAddresses) -> Load {
        let (ended, sent, mut tasks): (Rc<RefCell<Vec<RequestOutcome>>>, Rc<Cell<u64>>, _) =
            (Rc::default(), Rc::default(), JoinSet::new());
        for (node, rate) in rates.into_iter().enumerate() {
            tasks.spawn_local(run_clients(node, rate, addresses.clone(), ended.clone(), sent.clone()));
        }
        Load { ended, sent, tasks }
    }

    /// Outcomes of requests so far.
    pub fn outcomes(&self) -> Vec<RequestOutcome> {
        self.ended.borrow().clone()
    }

    /// Number of requests sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.get()
    }

    /// Stops sending and waits until all requests have an outcome.
    pub async fn stop(mut self) -> Vec<RequestOutcome> {
        self.tasks.shutdown().await;
        let all = async {
            while (self.ended.borrow().len() as u64) < self.sent.get() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        // Requests that time out have an outcome too.
        let _ = timeout(REPLY_TIMEOUT * 2, all).await;
        self.ended.take()
    }
}

async fn run_clients(
    node: usize,
    rate: NodeLoad,
    addresses: SharedAddresses,
    ended: Rc<RefCell<Vec<RequestOutcome>>>,
    sent: Rc<Cell<u64>>,
) {
    let idle: Rc<Idle> = Rc::default();
    let mut next = Instant::now();
    for n in 0u64.. {
        let per_s = rate.per_s.get();
        if per_s <= 0.0 {
            next = Instant::now() + Duration::from_millis(20);
            sleep_until(next).await;
            continue;
        }
        next += Duration::from_secs_f64(1.0 / per_s);
        sleep_until(next).await;
        // After a delay of this task, at most 200 ms of missed requests are made up for.
        next = next.max(Instant::now() - Duration::from_millis(200));
        let Some(address) = addresses.borrow()[node] else { continue };
        let mut order = rate.requests[n as usize % rate.requests.len()].clone();
        // Each request that needs a key gets one of its own.
        order.key = order.key.map(|_| format!("{node}-{n}"));
        let (id, idle, ended) = (format!("{node}-{n}"), idle.clone(), ended.clone());
        sent.set(sent.get() + 1);
        spawn_local(async move {
            let end = timed_request(node, address, id, &order, &idle).await;
            ended.borrow_mut().push(end);
        });
    }
}

/// Sends one request to a node.
pub async fn send_request(node: usize, address: SocketAddr, id: &str, order: &RequestSpec) -> RequestOutcome {
    timed_request(node, address, id.to_owned(), order, &Idle::default()).await
}

async fn timed_request(
    node: usize,
    address: SocketAddr,
    id: String,
    order: &RequestSpec,
    idle: &Idle,
) -> RequestOutcome {
    let began = Instant::now();
    let answer = timeout(REPLY_TIMEOUT, exchange(address, &id, order, idle)).await;
    let answer = answer.unwrap_or_else(|_| Err(format!("no response within {REPLY_TIMEOUT:?}")));
    let took = began.elapsed();
    match answer {
        Ok(Answer { status, retry_after, text }) => {
            RequestOutcome { id, node, status: Some(status), retry_after, text, took }
        }
        Err(text) => RequestOutcome { id, node, status: None, retry_after: false, text, took },
    }
}

/// Sends a request and reads its response, or says why there is none.
async fn exchange(address: SocketAddr, id: &str, order: &RequestSpec, idle: &Idle) -> Result<Answer, String> {
    let (mut sender, idle_for) = match take_idle(address, idle) {
        Some(kept) => (kept.sender, Some(kept.since.elapsed())),
        None => (connect(address).await.map_err(|error| format!("no connection: {error}"))?, None),
    };
    let response = sender.send_request(request(id, order)).await;
    let response = response.map_err(|error| format!("after {idle_for:?} of idle time: {error:?}"))?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| format!("incomplete response: {error:?}"))?;
    if head.headers.get("connection").is_none_or(|v| v.as_bytes() != b"close") {
        idle.borrow_mut().push(IdleConnection { to: address, since: Instant::now(), sender });
    }
    Ok(Answer {
        status: head.status.as_u16(),
        retry_after: head.headers.contains_key("retry-after"),
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    })
}

fn take_idle(address: SocketAddr, idle: &Idle) -> Option<IdleConnection> {
    let mut idle = idle.borrow_mut();
    idle.retain(|kept| kept.to == address && !kept.sender.is_closed() && kept.since.elapsed() < KEEP_ALIVE);
    let ready = idle.iter().position(|kept| kept.sender.is_ready())?;
    Some(idle.swap_remove(ready))
}

fn request(id: &str, order: &RequestSpec) -> Request<Full<Bytes>> {
    let safe = order.class == "safe";
    let mut request = Request::builder()
        .method(if safe { "GET" } else { "POST" })
        .uri(format!("/{}", order.class))
        .header("host", "rig")
        .header("x-request-id", id)
        .header("x-tenant-id", &order.tenant)
        .header("x-timeout", "4000m");
    if let Some(key) = &order.key {
        request = request.header("idempotency-key", key);
    }
    if let Some(cost) = order.cost {
        request = request.header("x-cost", cost.to_string());
    }
    let body = if safe { Bytes::new() } else { Bytes::from_static(b"one") };
    request.body(Full::new(body)).expect("names and numbers are valid in a request head")
}
