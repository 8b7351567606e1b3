//! Connections to servers, for any protocol: as many as the process may hold, kept while idle, and of no use once their server
//! restarted, moved, drains or is gone.

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

/// How often idle connections are looked at.
const LOOK: Duration = Duration::from_millis(500);

/// The limits on connections to servers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections to all servers together.
    pub connections: usize,
    /// For a connection to come up.
    pub connect_timeout: Duration,
    /// After this a server closes an idle connection.
    pub conn_idle: Duration,
    /// Before it is used again a connection has to be quiet for so long.
    pub reuse_delay: Duration,
}

/// A connection that a pool keeps.
pub trait PooledConnection {
    /// Whether it is open and empty, as far as the system knows by now.
    fn is_usable(&self) -> bool;
    /// That of the [`NewConnection`] one that it was made of.
    fn generation(&self) -> u64;
}

/// A connection that has just come up.
pub struct NewConnection {
    /// Its socket.
    pub stream: TcpStream,
    /// Its place among those that the process may hold. To be kept as long as the socket.
    pub slot: OwnedSemaphorePermit,
    /// Which of the server's lives it belongs to.
    pub generation: u64,
}

/// One server, as long as the list names it or something is out there.
pub struct Server<C> {
    address: Cell<SocketAddr>,
    /// Whether anything new may go there.
    takes_new: Cell<bool>,
    /// Grows whenever the connections made so far are of no more use.
    generation: Cell<u64>,
    /// The most recently used one is last.
    idle: RefCell<Vec<Idle<C>>>,
}

struct Idle<C> {
    connection: C,
    since: Instant,
}

impl<C> Server<C> {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    fn abandon_connections(&self) {
        self.generation.set(self.generation.get() + 1);
        self.idle.borrow_mut().clear();
    }
}

/// All servers and the connections to them.
pub struct Pool<C> {
    limits: Limits,
    slots: Arc<Semaphore>,
    servers: RefCell<FxHashMap<ServerId, Rc<Server<C>>>>,
    figures: OnceCell<Rc<Metrics>>,
}

impl<C: PooledConnection> Pool<C> {
    /// Starts with no servers.
    pub fn new(limits: Limits) -> Self {
        let slots = Arc::new(Semaphore::new(limits.connections));
        Pool { slots, limits, servers: RefCell::default(), figures: OnceCell::new() }
    }

    /// Counts connections there from now on; only the first word on it holds.
    pub fn set_figures(&self, figures: Rc<Metrics>) {
        let _ = self.figures.set(figures);
    }

    /// The server with this id, if it is listed.
    pub fn get(&self, id: ServerId) -> Option<Rc<Server<C>>> {
        self.servers.borrow().get(&id).cloned()
    }

    /// Takes in what became of servers.
    pub fn update_servers(&self, targets: &[Target]) {
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

    /// The most recently used idle connection that has rested and is good. Those that are not good go.
    pub fn take_idle(&self, server: &Server<C>) -> Option<C> {
        let rested = self.limits.reuse_delay..self.retire_after();
        loop {
            let mut idle = server.idle.borrow_mut();
            let at = idle.iter().rposition(|i| rested.contains(&i.since.elapsed()))?;
            let connection = idle.remove(at).connection;
            if connection.is_usable() {
                return Some(connection);
            }
        }
    }

    /// A new connection.
    ///
    /// Errors: [`Outcome::NotSent`] where the process has no room, or the server moved or restarted meanwhile;
    /// [`Outcome::Unreachable`] where the server is not to be had.
    pub async fn connect(&self, server: &Server<C>) -> Result<NewConnection, Outcome> {
        let slot = self.slot().await.ok_or(Outcome::NotSent)?;
        let generation = server.generation.get();
        let stream =
            match timeout(self.limits.connect_timeout, TcpStream::connect(server.address.get())).await {
                Ok(Ok(stream)) => stream,
                // The node's own shortage says nothing of the server.
                Ok(Err(error)) if no_descriptors(&error) => return Err(Outcome::NotSent),
                _ => return Err(Outcome::Unreachable),
            };
        self.figures.get().iter().for_each(|f| f.handshakes.inc());
        // What answers at the address that it had is another's by now, or gone.
        if generation != server.generation.get() {
            return Err(Outcome::NotSent);
        }
        let _ = stream.set_nodelay(true);
        Ok(NewConnection { stream, slot, generation })
    }

    /// Takes back a connection on which nothing is under way. Whether it is good is asked when it is used again.
    pub fn give_back(&self, server: &Server<C>, connection: C) {
        if connection.generation() == server.generation.get() && server.takes_new.get() {
            server.idle.borrow_mut().push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes connections that have been idle for long, and those that servers have closed, for good.
    pub async fn retire_idle(&self) {
        let mut every = tokio::time::interval(LOOK);
        loop {
            every.tick().await;
            let fit = |i: &Idle<C>| i.since.elapsed() < self.retire_after() && i.connection.is_usable();
            for server in self.servers.borrow().values() {
                server.idle.borrow_mut().retain(fit);
            }
        }
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
        // Where a task of its own drives a connection, the slot comes free in that task's next turn.
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

fn no_descriptors(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
