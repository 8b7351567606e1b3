//! Servers of the rig's site. They answer after a configured time, with configured errors, and record every request.

use super::history::{now, Nanos};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinSet};

/// A request that reached a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// When it was received completely.
    pub at: Nanos,
    /// When its processing ended, or none while it is in progress.
    pub ended: Option<Nanos>,
    /// Server that received it.
    pub server: usize,
    /// Class of the request.
    pub class: String,
    /// Tenant of the request.
    pub tenant: String,
    /// Request id.
    pub id: String,
    /// Idempotency key, or empty.
    pub key: String,
}

/// Behavior of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerBehavior {
    /// Processing time of a request.
    pub service_time: Duration,
    /// Thousandths of requests answered with an error.
    pub error_permille: u32,
    /// Thousandths of requests that take ten times as long.
    pub slow_permille: u32,
    /// Load that a report would state; responses carry no load reports at present.
    pub reported_load: f64,
}

/// One server.
struct Server {
    behavior: Cell<ServerBehavior>,
    count: Cell<u64>,
}

/// The servers of a site. They run on a `LocalSet` until this is dropped.
pub struct Site {
    servers: Vec<Rc<Server>>,
    addresses: Vec<SocketAddr>,
    requests: Rc<RefCell<Vec<ReceivedRequest>>>,
    _tasks: JoinSet<()>,
}

impl Site {
    /// Starts servers with the same behavior.
    pub async fn start(servers: usize, behavior: ServerBehavior) -> io::Result<Site> {
        let (mut all, mut addresses, mut tasks) = (Vec::new(), Vec::new(), JoinSet::new());
        let requests: Rc<RefCell<Vec<ReceivedRequest>>> = Rc::default();
        for n in 0..servers {
            let listener = TcpListener::bind(crate::scripted::unique_address()).await?;
            addresses.push(listener.local_addr()?);
            let server = Rc::new(Server { behavior: Cell::new(behavior), count: Cell::new(0) });
            all.push(server.clone());
            let requests = requests.clone();
            tasks.spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve(n, server.clone(), requests.clone(), stream));
                }
            });
        }
        Ok(Site { servers: all, addresses, requests, _tasks: tasks })
    }

    /// Addresses of the servers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.clone()
    }

    /// Changes the behavior of a server.
    pub fn set_behavior(&self, server: usize, behavior: ServerBehavior) {
        self.servers[server].behavior.set(behavior);
    }

    /// All requests that reached the servers, in order.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.requests.borrow().clone()
    }

    /// Number of requests that reached the servers.
    pub fn count(&self) -> usize {
        self.requests.borrow().len()
    }
}

async fn serve(n: usize, server: Rc<Server>, requests: Rc<RefCell<Vec<ReceivedRequest>>>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let (server, requests) = (server.clone(), requests.clone());
        async move { Ok::<_, Infallible>(answer(n, &server, &requests, request).await) }
    });
    // The node reports errors of a connection; the server ignores them.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Records the end of a request's processing, also if its connection closes before.
struct InProgress<'a> {
    requests: &'a RefCell<Vec<ReceivedRequest>>,
    at: usize,
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.requests.borrow_mut()[self.at].ended = Some(now());
    }
}

async fn answer(
    n: usize,
    server: &Server,
    requests: &RefCell<Vec<ReceivedRequest>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let _ = body.collect().await;
    let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
    let class = head.uri.path().trim_start_matches('/').to_owned();
    let at = {
        let mut requests = requests.borrow_mut();
        requests.push(ReceivedRequest {
            at: now(),
            ended: None,
            server: n,
            class,
            tenant: text("x-tenant-id"),
            id: text("x-request-id"),
            key: text("idempotency-key"),
        });
        requests.len() - 1
    };
    let in_progress = InProgress { requests, at };
    let (behavior, count) = (server.behavior.get(), server.count.replace(server.count.get() + 1));
    // Affected requests are spread evenly, so that any number of requests has about the same fraction of them.
    let is_affected = |part: u32| count * u64::from(part) % 1000 < u64::from(part);
    let service_time =
        if is_affected(behavior.slow_permille) { behavior.service_time * 10 } else { behavior.service_time };
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    drop(in_progress);
    let status =
        if is_affected(behavior.error_permille) { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    let mut response = Response::new(Full::new(Bytes::from_static(b"done")));
    *response.status_mut() = status;
    response
}
