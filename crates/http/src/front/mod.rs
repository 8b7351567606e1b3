//! The clients' side: takes connections and requests, checks them, and writes the final answers.
//!
//! [`HttpFrontend`] accepts connections and makes room for them; `connection` serves one of them; `client` knows where it stands;
//! `answer` answers one request, whose head `order` reads.

mod answer;
mod client;
mod connection;
mod order;
mod sent;

use crate::body::BufferBudget;
use crate::upstream::HttpUpstream;
use birchswitch_host::socket::queued_connections;
use birchswitch_host::Host;
use birchswitch_site::Names;
use client::Client;
use finchvale::Effect;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// How often connections are looked at for what has taken too long.
const SWEEP: Duration = Duration::from_millis(100);
/// Where places are needed, and nobody can go yet, this is tried again.
const ROOM: Duration = Duration::from_millis(5);
/// Where places are needed, this part of them is made free at a time.
const EVICTED_PART: u32 = 8;
/// Where fewer places than this part are free, answers tell clients to close.
const SPARE_PART: u32 = 4;
/// A failed `accept` is not tried again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How far the node's end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// It serves.
    Serving,
    /// It serves, and asks clients to go elsewhere next.
    Leaving,
    /// It takes no connections, closes those that rest, and reads what has come on others.
    Closing,
    /// It reads nothing more and finishes what it has.
    Finishing,
}

/// The clients' side of a node.
pub struct HttpFrontend {
    host: Rc<Host<HttpUpstream>>,
    names: Rc<Names>,
    effects: Vec<Effect>,
    phase: watch::Receiver<ShutdownPhase>,
    most: u32,
    /// For bodies that still come.
    room: Rc<BufferBudget>,
    slots: Arc<Semaphore>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    next_client: Cell<u64>,
}

impl HttpFrontend {
    /// Takes at most `connections` at a time. Bodies too large to be held whole are kept for further attempts in `room`.
    pub fn new(
        host: Rc<Host<HttpUpstream>>,
        names: Rc<Names>,
        effects: Vec<Effect>,
        connections: u32,
        room: Rc<BufferBudget>,
        phase: watch::Receiver<ShutdownPhase>,
    ) -> Rc<Self> {
        Rc::new(HttpFrontend {
            host,
            names,
            effects,
            phase,
            most: connections,
            room,
            slots: Arc::new(Semaphore::new(connections as usize)),
            clients: RefCell::default(),
            next_client: Cell::new(0),
        })
    }

    /// Takes connections until the node's end has come as far as `until`, then waits for the last of them to end.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, until: ShutdownPhase) {
        let sweeping = self.clone();
        let sweeper = spawn_local(async move {
            let mut every = tokio::time::interval(SWEEP);
            loop {
                every.tick().await;
                let now = Instant::now();
                sweeping.clients.borrow().values().for_each(|c| c.sweep(now));
            }
        });
        let mut phase = self.phase.clone();
        let mut closing = std::pin::pin!(async move {
            let _ = phase.wait_for(|p| *p >= until).await;
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
                        self.host.log(format_args!("accept: {error}"));
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                () = &mut closing => break,
            }
        }
        for stream in queued_connections(listener) {
            let permit = self.slot().await;
            self.clone().connected(stream, permit);
        }
        let _ = self.slots.acquire_many(self.most).await;
        sweeper.abort();
    }

    /// Room for one more connection. Where there is none, some that have nothing to say are closed, so that they don't
    /// keep others out: the longest silent first, several at a time, since more are likely to wait.
    async fn slot(&self) -> OwnedSemaphorePermit {
        loop {
            let permit = timeout(ROOM, self.slots.clone().acquire_owned());
            if self.slots.available_permits() == 0 {
                let clients = self.clients.borrow();
                let mut going: Vec<_> = clients.values().filter(|c| c.in_the_way()).collect();
                going.sort_unstable_by_key(|c| c.since());
                going.iter().take(self.most.div_ceil(EVICTED_PART) as usize).for_each(|c| c.leave());
            }
            if let Ok(permit) = permit.await {
                return permit.expect("the semaphore is never closed");
            }
        }
    }

    fn scarce(&self) -> bool {
        self.slots.available_permits() < (self.most / SPARE_PART) as usize
    }
}
