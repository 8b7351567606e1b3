//! Servers of a rig's site: they answer after a while, as they are told, and write down every request that reaches them.

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

/// A request as it reached a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// When all of it was there.
    pub at: Nanos,
    /// When it was answered; not yet, where there is none.
    pub ended: Option<Nanos>,
    /// By which server.
    pub server: usize,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// Its id.
    pub id: String,
    /// Its key, or nothing.
    pub key: String,
}

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerBehavior {
    /// How long each request takes.
    pub service_time: Duration,
    /// The part that is answered by an error, in thousandths.
    pub error_permille: u32,
    /// The part that takes ten times as long, likewise.
    pub slow_permille: u32,
    /// What it says of its load.
    pub reported_load: f64,
}

/// One server.
struct Server {
    habits: Cell<ServerBehavior>,
    count: Cell<u64>,
}

/// See the module's words. Runs on a `LocalSet`, as long as it is held.
pub struct Site {
    servers: Vec<Rc<Server>>,
    addresses: Vec<SocketAddr>,
    book: Rc<RefCell<Vec<ReceivedRequest>>>,
    _tasks: JoinSet<()>,
}

impl Site {
    /// So many servers that all behave so.
    pub async fn start(servers: usize, habits: ServerBehavior) -> io::Result<Site> {
        let (mut all, mut addresses, mut tasks) = (Vec::new(), Vec::new(), JoinSet::new());
        let book: Rc<RefCell<Vec<ReceivedRequest>>> = Rc::default();
        for n in 0..servers {
            let listener = TcpListener::bind(crate::scripted::unique_address()).await?;
            addresses.push(listener.local_addr()?);
            let server = Rc::new(Server { habits: Cell::new(habits), count: Cell::new(0) });
            all.push(server.clone());
            let book = book.clone();
            tasks.spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve(n, server.clone(), book.clone(), stream));
                }
            });
        }
        Ok(Site { servers: all, addresses, book, _tasks: tasks })
    }

    /// Where they are.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.clone()
    }

    /// How one behaves from now on.
    pub fn set_behavior(&self, server: usize, habits: ServerBehavior) {
        self.servers[server].habits.set(habits);
    }

    /// All that reached them, in order.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.book.borrow().clone()
    }

    /// How much that is.
    pub fn count(&self) -> usize {
        self.book.borrow().len()
    }
}

async fn serve(n: usize, server: Rc<Server>, book: Rc<RefCell<Vec<ReceivedRequest>>>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let (server, book) = (server.clone(), book.clone());
        async move { Ok::<_, Infallible>(answer(n, &server, &book, request).await) }
    });
    // Its end is the node's affair.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Writes down when work on a request ended, also where its connection closed.
struct Working<'a> {
    book: &'a RefCell<Vec<ReceivedRequest>>,
    at: usize,
}

impl Drop for Working<'_> {
    fn drop(&mut self) {
        self.book.borrow_mut()[self.at].ended = Some(now());
    }
}

async fn answer(
    n: usize,
    server: &Server,
    book: &RefCell<Vec<ReceivedRequest>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let _ = body.collect().await;
    let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
    let class = head.uri.path().trim_start_matches('/').to_owned();
    let at = {
        let mut book = book.borrow_mut();
        book.push(ReceivedRequest {
            at: now(),
            ended: None,
            server: n,
            class,
            tenant: text("x-tenant-id"),
            id: text("x-request-id"),
            key: text("idempotency-key"),
        });
        book.len() - 1
    };
    let working = Working { book, at };
    let (habits, count) = (server.habits.get(), server.count.replace(server.count.get() + 1));
    // Spread evenly, so that the same part errs whatever the number.
    let hits = |part: u32| count * u64::from(part) % 1000 < u64::from(part);
    let service_time =
        if hits(habits.slow_permille) { habits.service_time * 10 } else { habits.service_time };
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    drop(working);
    let status = if hits(habits.error_permille) { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    let mut response = Response::new(Full::new(Bytes::from_static(b"done")));
    *response.status_mut() = status;
    response
}
