//! The clients' side: accepts connections, reads calls and writes replies by sequence id as they come.
//!
//! [`ThriftFrontend`] accepts connections and evicts idle ones; `connection` reads the calls of one connection; `call` reads what a call
//! says of itself and has it answered.

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
use tokio::time::{sleep, timeout};

/// Where no place is free, connections idle for at least this long may be evicted.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// The same for connections on which nothing was ever sent.
const EVICT_NEW_AFTER: Duration = Duration::from_millis(10);
/// Between attempts to evict one.
const EVICTION_INTERVAL: Duration = Duration::from_millis(5);
/// After a failed `accept`, before the next.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves one listener.
pub struct ThriftFrontend {
    host: Rc<Host<ThriftUpstream>>,
    settings: Rc<ThriftSettings>,
    names: Rc<Names>,
    /// Up once the node closes.
    closing: watch::Receiver<bool>,
    slots: Arc<Semaphore>,
    /// In KiB.
    memory: Arc<Semaphore>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    next_client: Cell<u64>,
}

impl ThriftFrontend {
    /// For one listener.
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
            next_client: Cell::new(0),
        })
    }

    /// Takes connections until the node closes, then waits for the last of them to end.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut closing = self.closing.clone();
        loop {
            let permit = self.slot().await;
            tokio::select! {
                biased; // What the system has taken for us may hold calls.
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.clone().connected(stream, permit),
                    Err(error) => {
                        self.host.log(format_args!("accept: {error}"));
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                _ = closing.wait_for(|c| *c) => break,
            }
        }
        for stream in queued_connections(listener) {
            let permit = self.slot().await;
            self.clone().connected(stream, permit);
        }
        let _ = self.slots.acquire_many(self.settings.settings.connections).await;
    }

    /// A place for one more connection. Where there is none, the one that has been idle the longest is evicted.
    async fn slot(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(Ok(permit)) = timeout(EVICTION_INTERVAL, self.slots.clone().acquire_owned()).await {
                return permit;
            }
            self.evict_longest_idle();
        }
    }

    fn evict_longest_idle(&self) {
        let clients = self.clients.borrow();
        let evictable = clients.values().filter(|client| client.is_evictable());
        if let Some(client) = evictable.min_by_key(|client| client.idle_since()) {
            client.evict();
        }
    }

    fn connected(self: Rc<Self>, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let _ = stream.set_nodelay(true);
        let number = self.next_client.replace(self.next_client.get() + 1);
        let client = Client::new(number);
        self.clients.borrow_mut().insert(number, client.clone());
        spawn_local(async move {
            self.clone().serve_connection(stream, &client).await;
            self.clients.borrow_mut().remove(&number);
            drop(permit);
        });
    }
}
