//! The client side: accepts connections, validates requests, and writes the final responses.
//!
//! [`HttpFrontend`] accepts connections and makes room for them as `eviction` says; `connection` serves one connection, whose
//! state `client` tracks; `response` handles one request, whose head `request_head` parses;
//! `tracked_body` sends the response body; `events` counts what went wrong, for the log; `memory` has the process's memory
//! checked.

mod client;
mod connection;
mod events;
mod eviction;
mod memory;
mod request_head;
mod response;
mod tracked_body;

use crate::body::BufferBudget;
use crate::upstream::HttpUpstream;
use birchswitch_host::socket::queued_connections;
use birchswitch_host::Host;
use birchswitch_memory::MemoryMonitor;
use birchswitch_site::Names;
use client::Client;
use events::{EventSummary, Reason};
use eviction::Activity;
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

/// How often the time limits of connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long to wait for a free slot before trying to evict connections again.
const SLOT_RETRY: Duration = Duration::from_millis(5);
/// The fraction (1/n) of all slots that is freed at a time when slots are needed.
const EVICTION_DIVISOR: u32 = 8;
/// When less than this fraction (1/n) of the slots is free, responses tell clients to close.
const SCARCE_DIVISOR: u32 = 4;
/// How often what went wrong is summarized in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed `accept`, so that a persistent error does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Progress of the node's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Serves normally.
    Serving,
    /// Still serves, and tells clients to connect elsewhere next.
    Leaving,
    /// Accepts no connections, closes idle ones, and reads pending requests on others.
    Closing,
    /// Reads nothing more, and finishes the requests that it has.
    Finishing,
}

/// Accepts client connections and answers their HTTP requests.
pub struct HttpFrontend {
    host: Rc<Host<HttpUpstream>>,
    names: Rc<Names>,
    effects: Vec<Effect>,
    phase: watch::Receiver<ShutdownPhase>,
    max_connections: u32,
    /// Budget for retained request bodies.
    budget: BufferBudget,
    memory: Rc<MemoryMonitor>,
    slots: Arc<Semaphore>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    next_client: Cell<u64>,
    events: Rc<EventSummary>,
}

impl HttpFrontend {
    /// Creates a frontend that accepts at most `connections` at a time. `budget` bounds the memory for large request
    /// bodies that are retained for further attempts; `memory` measures what the process uses.
    pub fn new(
        host: Rc<Host<HttpUpstream>>,
        names: Rc<Names>,
        effects: Vec<Effect>,
        connections: u32,
        budget: BufferBudget,
        memory: Rc<MemoryMonitor>,
        phase: watch::Receiver<ShutdownPhase>,
    ) -> Rc<Self> {
        Rc::new(HttpFrontend {
            host,
            names,
            effects,
            phase,
            max_connections: connections,
            budget,
            memory,
            slots: Arc::new(Semaphore::new(connections as usize)),
            clients: RefCell::default(),
            next_client: Cell::new(0),
            events: Rc::default(),
        })
    }

    /// Accepts connections until the shutdown reaches `until`, then waits for the last of them to end.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, until: ShutdownPhase) {
        let checking = self.clone();
        let checker = spawn_local(async move {
            let mut interval = tokio::time::interval(CHECK_INTERVAL);
            let mut next_summary = Instant::now() + SUMMARY_INTERVAL;
            loop {
                let now = interval.tick().await;
                checking.clients.borrow().values().for_each(|c| c.check_timeouts(now));
                checking.check_memory();
                if checking.is_memory_short() {
                    checking.evict_unproductive_clients();
                }
                if now >= next_summary {
                    next_summary = now + SUMMARY_INTERVAL;
                    checking.log_events();
                }
            }
        });
        let mut phase = self.phase.clone();
        let mut closing = std::pin::pin!(async move {
            let _ = phase.wait_for(|p| *p >= until).await;
        });
        loop {
            tokio::select! {
                // Connections in the kernel's queue may hold requests, which would be lost with the socket.
                biased;
                accepted = listener.accept() => match accepted {
                    // Connections are evicted only for one that waits.
                    Ok((stream, _)) => {
                        self.check_memory();
                        let permit = self.acquire_slot().await;
                        self.clone().start_connection(stream, permit);
                    }
                    Err(error) => {
                        self.host.log(format_args!("accept: {error}"));
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                () = &mut closing => break,
            }
        }
        for stream in queued_connections(listener) {
            let permit = self.acquire_slot().await;
            self.clone().start_connection(stream, permit);
        }
        let _ = self.slots.acquire_many(self.max_connections).await;
        checker.abort();
    }

    /// Acquires a slot for one more connection. If none is free, evicts others, several at a time since more connections are
    /// likely to be waiting.
    async fn acquire_slot(&self) -> OwnedSemaphorePermit {
        loop {
            let permit = timeout(SLOT_RETRY, self.slots.clone().acquire_owned());
            if self.slots.available_permits() == 0 {
                self.evict_clients();
            }
            if let Ok(permit) = permit.await {
                return permit.expect("the semaphore is never closed");
            }
        }
    }

    /// Logs what happened since the last call, if anything did.
    fn log_events(&self) {
        if let Some(events) = self.events.take() {
            let open = self.clients.borrow().len();
            self.host.log(format_args!("{events}; {open} of {} connections", self.max_connections));
        }
    }

    /// Evicts clients of which there is more to free than a slot.
    fn evict_unproductive_clients(&self) {
        self.evict(|activity| !matches!(activity, Activity::New(_)));
    }

    /// Evicts clients to free slots.
    fn evict_clients(&self) {
        self.evict(|_| true);
    }

    fn evict(&self, includes: impl Fn(Activity) -> bool) {
        let now = Instant::now();
        let clients = self.clients.borrow();
        let activities = clients
            .values()
            .filter_map(|client| Some((client, client.evictable_activity(now).filter(|a| includes(*a))?)));
        let count = self.max_connections.div_ceil(EVICTION_DIVISOR) as usize;
        eviction::select(activities, count).into_iter().for_each(|client| {
            self.events.record(Reason::Evicted, b"");
            client.evict();
        });
    }

    /// Whether connections are to be closed as soon as nothing is owed over them.
    fn slots_are_scarce(&self) -> bool {
        self.is_memory_short()
            || self.slots.available_permits() < (self.max_connections / SCARCE_DIVISOR) as usize
    }
}
