//! The client-facing side: accepts connections, reads calls and writes replies, out of order, by sequence id.
//!
//! [`ThriftFrontend`] accepts connections and evicts idle ones, `connection` serves one connection, and `call` parses one
//! call and submits it to the engine.

mod call;
mod connection;

use crate::settings::ThriftSettings;
use crate::upstream::ThriftUpstream;
use birchswitch_host::socket::queued_connections;
use birchswitch_host::Host;
use birchswitch_site::Names;
use connection::Client;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// If no connection slot is free, connections idle for at least this long may be evicted.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// As [`EVICT_IDLE_AFTER`], for connections on which nothing was ever received.
const EVICT_NEW_AFTER: Duration = Duration::from_millis(10);
/// Interval between attempts to evict a connection while waiting for a slot.
const EVICTION_INTERVAL: Duration = Duration::from_millis(5);
/// Delay before the next `accept` after a failed one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts and serves the client connections of one listener.
pub struct ThriftFrontend {
    host: Rc<Host<ThriftUpstream>>,
    settings: Rc<ThriftSettings>,
    names: Rc<Names>,
    /// True once the node stops accepting connections.
    closing: watch::Receiver<bool>,
    slots: Arc<Semaphore>,
    /// Budget for messages in flight, in KiB.
    memory: Arc<Semaphore>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    next_client_id: Cell<u64>,
}

impl ThriftFrontend {
    /// Creates the frontend of one listener.
    pub fn new(
        host: Rc<Host<ThriftUpstream>>,
        settings: Rc<ThriftSettings>,
        names: Rc<Names>,
        closing: watch::Receiver<bool>,
    ) -> Rc<Self> {
        let (connections, memory) = (settings.settings.connections, settings.settings.memory_mb);
        Rc::new(ThriftFrontend {
            host,
            names,
            closing,
            slots: Arc::new(Semaphore::new(connections as usize)),
            memory: Arc::new(Semaphore::new(memory as usize * 1024)),
            settings,
            clients: RefCell::default(),
            next_client_id: Cell::new(0),
        })
    }

    /// Accepts connections until the node closes, then waits for all of them to end.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut closing = self.closing.clone();
        loop {
            tokio::select! {
                biased; // Connections already in the accept queue may carry calls.
                accepted = listener.accept() => match accepted {
                    // Connections are evicted only for one that waits.
                    Ok((stream, _)) => {
                        let permit = self.acquire_slot().await;
                        self.clone().spawn_connection(stream, permit);
                    }
                    Err(error) => {
                        self.host.log(format_args!("accept: {error}"));
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                _ = closing.wait_for(|c| *c) => break,
            }
        }
        for stream in queued_connections(listener) {
            let permit = self.acquire_slot().await;
            self.clone().spawn_connection(stream, permit);
        }
        let _ = self.slots.acquire_many(self.settings.settings.connections).await;
    }

    /// Acquires a connection slot. While none is free, evicts connections one by one.
    async fn acquire_slot(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(Ok(permit)) = timeout(EVICTION_INTERVAL, self.slots.clone().acquire_owned()).await {
                return permit;
            }
            self.evict_client();
        }
    }

    fn evict_client(&self) {
        let clients = self.clients.borrow();
        let now = Instant::now();
        let evictable = clients.values().filter(|client| client.is_evictable(now));
        if let Some(client) = evictable.min_by_key(|client| client.eviction_order(now)) {
            client.evict();
        }
    }

    fn spawn_connection(self: Rc<Self>, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let _ = stream.set_nodelay(true);
        let id = self.next_client_id.replace(self.next_client_id.get() + 1);
        let client = Client::new(id);
        self.clients.borrow_mut().insert(id, client.clone());
        spawn_local(async move {
            self.clone().serve_connection(stream, &client).await;
            self.clients.borrow_mut().remove(&id);
            drop(permit);
        });
    }
}
