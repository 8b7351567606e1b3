//! Connection pool for any protocol. It limits the connections of the process, keeps idle ones for reuse, and
//! drops those whose server restarted, moved, drains or is gone.

use crate::socket::limit_unsent;
use birchswitch_figures::Metrics;
use birchswitch_membership::Target;
use finchvale::{Outcome, ServerId, ServerState};
use rustc_hash::FxHashMap;
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

/// Interval between checks of idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Limits on connections to servers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of connections to all servers together.
    pub connections: usize,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Time after which a server closes an idle connection.
    pub conn_idle: Duration,
    /// How long a connection has to be idle before it is reused.
    pub reuse_delay: Duration,
}

/// A connection that a pool keeps.
pub trait PooledConnection {
    /// Returns whether it is open and has no unread data, according to the operating system.
    fn is_usable(&self) -> bool;
    /// Returns the generation of the [`NewConnection`] it was created from.
    fn generation(&self) -> u64;
}

/// A connection that was just opened.
pub struct NewConnection {
    /// The socket.
    pub stream: TcpStream,
    /// Its slot among the connections of the process. To be kept as long as the socket.
    pub slot: OwnedSemaphorePermit,
    /// The generation of the server's connections to which it belongs.
    pub generation: u64,
}

/// A server. Lives while it is listed or an attempt uses it.
pub struct Server<C> {
    address: Cell<SocketAddr>,
    /// Whether the server accepts new requests.
    accepts_requests: Cell<bool>,
    /// Incremented when all existing connections become invalid.
    generation: Cell<u64>,
    /// Idle connections, the most recently used one last.
    idle: RefCell<Vec<Idle<C>>>,
}

struct Idle<C> {
    connection: C,
    since: Instant,
}

impl<C> Server<C> {
    /// Returns the address where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    fn invalidate_connections(&self) {
        self.generation.set(self.generation.get() + 1);
        self.idle.borrow_mut().clear();
    }
}

/// All servers and the connections to them.
pub struct Pool<C> {
    limits: Limits,
    slots: Arc<Semaphore>,
    servers: RefCell<FxHashMap<ServerId, Rc<Server<C>>>>,
    metrics: OnceCell<Rc<Metrics>>,
}

impl<C: PooledConnection> Pool<C> {
    /// Creates a pool without servers.
    pub fn new(limits: Limits) -> Self {
        let slots = Arc::new(Semaphore::new(limits.connections));
        Pool { slots, limits, servers: RefCell::default(), metrics: OnceCell::new() }
    }

    /// Sets the metrics in which new connections are counted. Only the first call has an effect.
    pub fn set_metrics(&self, metrics: Rc<Metrics>) {
        let _ = self.metrics.set(metrics);
    }

    /// Returns the server with this id, if it is listed.
    pub fn get(&self, id: ServerId) -> Option<Rc<Server<C>>> {
        self.servers.borrow().get(&id).cloned()
    }

    /// Applies changes of servers.
    pub fn update_servers(&self, targets: &[Target]) {
        let mut servers = self.servers.borrow_mut();
        for target in targets {
            if target.state == ServerState::Gone {
                if let Some(server) = servers.remove(&target.server) {
                    server.accepts_requests.set(false);
                    server.invalidate_connections();
                }
                continue;
            }
            let server = servers.entry(target.server).or_insert_with(|| {
                Rc::new(Server {
                    address: Cell::new(target.address),
                    accepts_requests: Cell::new(true),
                    generation: Cell::new(0),
                    idle: RefCell::default(),
                })
            });
            server.address.set(target.address);
            server.accepts_requests.set(target.state == ServerState::Ready);
            if target.invalidate_connections {
                server.invalidate_connections();
            }
        }
    }

    /// Takes the most recently used idle connection that is past the reuse delay and still usable. Closes
    /// unusable ones that it encounters.
    pub fn take_idle(&self, server: &Server<C>) -> Option<C> {
        let rested = self.limits.reuse_delay..self.max_idle();
        loop {
            let mut idle = server.idle.borrow_mut();
            let at = idle.iter().rposition(|i| rested.contains(&i.since.elapsed()))?;
            let connection = idle.remove(at).connection;
            if connection.is_usable() {
                return Some(connection);
            }
        }
    }

    /// Opens a new connection.
    ///
    /// Fails with [`Outcome::NotSent`] if the process has no free slot or descriptor, or if the server moved
    /// or restarted meanwhile, and with [`Outcome::Unreachable`] if the server cannot be reached.
    pub async fn connect(&self, server: &Server<C>) -> Result<NewConnection, Outcome> {
        let slot = self.acquire_slot().await.ok_or(Outcome::NotSent)?;
        let generation = server.generation.get();
        let stream =
            match timeout(self.limits.connect_timeout, TcpStream::connect(server.address.get())).await {
                Ok(Ok(stream)) => stream,
                // A lack of descriptors in this process does not make the server unreachable.
                Ok(Err(error)) if is_out_of_descriptors(&error) => return Err(Outcome::NotSent),
                _ => return Err(Outcome::Unreachable),
            };
        self.metrics.get().iter().for_each(|f| f.handshakes.inc());
        // The connection leads to the server's previous address or process.
        if generation != server.generation.get() {
            return Err(Outcome::NotSent);
        }
        let _ = stream.set_nodelay(true);
        // What a protocol has written has nearly reached the server's machine.
        limit_unsent(&stream);
        Ok(NewConnection { stream, slot, generation })
    }

    /// Returns a connection without outstanding requests to the pool. Whether it is usable is checked before
    /// its reuse.
    pub fn give_back(&self, server: &Server<C>, connection: C) {
        if connection.generation() == server.generation.get() && server.accepts_requests.get() {
            server.idle.borrow_mut().push(Idle { connection, since: Instant::now() });
        }
    }

    /// Periodically closes connections that have been idle too long or were closed by their server. Never
    /// returns.
    pub async fn retire_idle(&self) {
        let mut every = tokio::time::interval(IDLE_CHECK_INTERVAL);
        loop {
            every.tick().await;
            let fit = |i: &Idle<C>| i.since.elapsed() < self.max_idle() && i.connection.is_usable();
            for server in self.servers.borrow().values() {
                server.idle.borrow_mut().retain(fit);
            }
        }
    }

    /// Returns how long a connection may be idle: clearly shorter than the server's own limit, since a
    /// request sent while the server closes the connection may be lost.
    fn max_idle(&self) -> Duration {
        self.limits.conn_idle * 3 / 4
    }

    /// Acquires a slot for a connection, if necessary by closing the one that has been idle the longest.
    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.slots.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.close_longest_idle();
        // If a separate task drives the closed connection, its slot is released when that task runs next.
        tokio::task::yield_now().await;
        self.slots.clone().try_acquire_owned().ok()
    }

    fn close_longest_idle(&self) {
        let servers = self.servers.borrow();
        let idle = |s: &Rc<Server<C>>| s.idle.borrow().first().map(|i| i.since);
        let longest = servers.values().filter_map(|s| Some((idle(s)?, s))).min_by_key(|s| s.0);
        longest.iter().for_each(|(_, server)| drop(server.idle.borrow_mut().remove(0)));
    }
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
