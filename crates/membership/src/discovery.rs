//! Client of the platform's discovery service over HTTP/1.1: fetches the complete list and watches for
//! changes.

use crate::framing::{FramingError, ObjectSplitter};
use crate::list::{ListError, ServerList};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{timeout, timeout_at, Instant};

/// How long a watch may be silent, or a list incomplete, before the watch counts as dead. Discovery sends an
/// empty line every 2 s, and a node has to know of a change within 6 s, so that 3 s leave time to open
/// another watch.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a complete list.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Timeouts and reconnection delays for discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryTimeouts {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Timeout for the start of a response.
    pub response: Duration,
    /// Initial delay before a broken watch is reopened.
    pub min_backoff: Duration,
    /// Maximum delay.
    pub max_backoff: Duration,
}

impl DiscoveryTimeouts {
    /// For an agent on the node's own machine, which responds at once and at no cost, or not at all. The
    /// delays are short because the node is expected to know the changes that the agent learned while it was
    /// unreachable as soon as it can be reached again.
    pub const AGENT: DiscoveryTimeouts = DiscoveryTimeouts {
        connect: Duration::from_millis(250),
        response: Duration::from_millis(500),
        min_backoff: Duration::from_millis(100),
        max_backoff: Duration::from_millis(200),
    };
    /// For one service shared by all nodes, which handles requests one after another.
    pub const SERVICE: DiscoveryTimeouts = DiscoveryTimeouts {
        connect: Duration::from_secs(1),
        response: SILENCE_TIMEOUT,
        min_backoff: Duration::from_millis(100),
        max_backoff: Duration::from_secs(1),
    };
}

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The connection was not opened in time, the response did not start in time, or then no data was received
    /// in time, not even an empty line, or an object was not completed in time.
    #[error("silent for too long")]
    Silent,
    /// The connection broke or violated HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The response had an error status.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// Discovery closed the watch.
    #[error("ended")]
    Ended,
    /// An object is not a list of servers.
    #[error("unusable line: {0}")]
    BadLine(#[from] ListError),
    /// The stream is not a sequence of objects.
    #[error("unusable line: {0}")]
    Framing(#[from] FramingError),
    /// A fetched list could not be read, is too long, or is not complete.
    #[error("unusable list: {0}")]
    Unusable(String),
}

/// An event from discovery.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// A list of servers, complete or changes only.
    List(ServerList),
    /// A watch opened with [`Discovery::watch_once`] ended or could not be opened.
    WatchFailed(WatchError),
    /// A watch opened with [`Discovery::follow`] ended, and is reopened after the given delay.
    Reconnecting(WatchError, Duration),
}

/// Watches discovery in a separate task on a `LocalSet`.
pub struct Discovery {
    address: Cell<SocketAddr>,
    timeouts: DiscoveryTimeouts,
    /// Set while the current list comes from a previous address, so that changes from the new address cannot
    /// be applied to it.
    address_changed: Cell<bool>,
    /// Revision of the current list.
    revision: Cell<u64>,
    lists_received: Cell<u64>,
    /// The task that runs the watch.
    task: RefCell<Option<AbortHandle>>,
    handler: Box<dyn Fn(DiscoveryEvent)>,
}

impl Discovery {
    /// Creates a client that has a list of the given revision, 0 for none, and passes events to `handler`.
    pub fn new(
        address: SocketAddr,
        timeouts: DiscoveryTimeouts,
        revision: u64,
        handler: impl Fn(DiscoveryEvent) + 'static,
    ) -> Rc<Self> {
        Rc::new(Discovery {
            address: Cell::new(address),
            timeouts,
            address_changed: Cell::new(false),
            revision: Cell::new(revision),
            lists_received: Cell::new(0),
            task: RefCell::default(),
            handler: Box::new(handler),
        })
    }

    /// Keeps a watch open permanently.
    pub fn follow(self: &Rc<Self>) {
        let me = self.clone();
        self.replace(async move { me.watch_forever().await });
    }

    /// Opens one watch. Its end is reported as [`DiscoveryEvent::WatchFailed`].
    pub fn watch_once(self: &Rc<Self>) {
        let me = self.clone();
        self.replace(async move {
            let error = me.watch().await;
            (me.handler)(DiscoveryEvent::WatchFailed(error));
        });
    }

    /// Changes the address of discovery. Returns false if the address is the same. A running watch of the old
    /// address is aborted; the next watch, which the caller opens, first fetches the complete list from the
    /// new address.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        let moved = self.address.replace(address) != address;
        if moved {
            self.address_changed.set(true);
            self.task.take().iter().for_each(AbortHandle::abort);
        }
        moved
    }

    fn replace(&self, task: impl std::future::Future<Output = ()> + 'static) {
        let task = spawn_local(task).abort_handle();
        if let Some(old) = self.task.borrow_mut().replace(task) {
            old.abort();
        }
    }

    fn handle_list(&self, list: ServerList) {
        self.lists_received.set(self.lists_received.get() + 1);
        self.revision.set(list.revision);
        self.address_changed.set(self.address_changed.get() && !list.complete);
        (self.handler)(DiscoveryEvent::List(list));
    }

    async fn watch_forever(&self) {
        let DiscoveryTimeouts { min_backoff, max_backoff, .. } = self.timeouts;
        let mut backoff = min_backoff;
        loop {
            let before = self.lists_received.get();
            let error = self.watch().await;
            if self.lists_received.get() != before {
                backoff = min_backoff;
            }
            (self.handler)(DiscoveryEvent::Reconnecting(error, backoff));
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(max_backoff);
        }
    }

    /// Opens a watch from the current revision on and passes on its lists until it ends.
    async fn watch(&self) -> WatchError {
        let address = self.address.get();
        if self.address_changed.get() {
            // Revisions of different addresses are not comparable: the current one may even exceed that of
            // the new address.
            match timeout(SILENCE_TIMEOUT, self.fetch(address)).await {
                Ok(Ok(list)) => self.handle_list(list),
                Ok(Err(error)) => return error,
                Err(_) => return WatchError::Silent,
            }
        }
        match self.run_watch(address).await {
            Ok(()) => WatchError::Ended,
            Err(error) => error,
        }
    }

    /// Opens a watch and reads it to its end.
    async fn run_watch(&self, address: SocketAddr) -> Result<(), WatchError> {
        let (mut sender, connection) = http1::handshake(TokioIo::new(self.connect(address).await?)).await?;
        // The connection is driven here and not in a separate task, so that it ends with the watch.
        let lines = async {
            let since = self.revision.get();
            let request = request(address, &format!("?follow=1&since={since}"));
            let response = timeout(self.timeouts.response, sender.send_request(request)).await;
            let response = response.map_err(|_| WatchError::Silent)??;
            if response.status() != StatusCode::OK {
                return Err(WatchError::Status(response.status()));
            }
            self.read_lists(response.into_body()).await
        };
        tokio::select! {
            biased; // Reads all received data before the end of the connection is noticed.
            ended = lines => ended,
            ended = connection => Err(ended.map_or_else(WatchError::Http, |()| WatchError::Ended)),
        }
    }

    /// Handles the lists of a watch until its body ends.
    async fn read_lists(&self, mut body: Incoming) -> Result<(), WatchError> {
        let mut splitter = ObjectSplitter::default();
        let mut silence_deadline = Instant::now() + SILENCE_TIMEOUT;
        loop {
            // A crashed machine leaves its connections open and silent, which only a timeout detects.
            let frame = timeout_at(silence_deadline, body.frame()).await.map_err(|_| WatchError::Silent)?;
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame?.into_data() else { continue };
            let was_within = splitter.is_within_object();
            let mut received = false;
            splitter.push(&data);
            while let Some(object) = splitter.next_object()? {
                // Lists after an invalid one may depend on it, so the watch ends and the next one starts from
                // the last valid revision.
                self.handle_list(ServerList::parse(&object)?);
                received = true;
            }
            // A partial object has to be completed in time; a trickle of bytes does not extend the deadline.
            if received || !(was_within && splitter.is_within_object()) {
                silence_deadline = Instant::now() + SILENCE_TIMEOUT;
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, WatchError> {
        match timeout(self.timeouts.connect, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(WatchError::Connect),
            Err(_) => Err(WatchError::Silent),
        }
    }

    /// Fetches the complete list.
    async fn fetch(&self, address: SocketAddr) -> Result<ServerList, WatchError> {
        let (mut sender, connection) = http1::handshake(TokioIo::new(self.connect(address).await?)).await?;
        let list = async {
            let response = timeout(self.timeouts.response, sender.send_request(request(address, ""))).await;
            let response = response.map_err(|_| WatchError::Silent)??;
            if response.status() != StatusCode::OK {
                return Err(WatchError::Status(response.status()));
            }
            let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
            let list = ServerList::parse(&body.map_err(|e| WatchError::Unusable(e.to_string()))?.to_bytes())?;
            match list.complete {
                true => Ok(list),
                false => Err(WatchError::Unusable("the list is not complete".to_owned())),
            }
        };
        let mut connection = std::pin::pin!(connection);
        let mut list = std::pin::pin!(list);
        tokio::select! {
            biased;
            list = list.as_mut() => list,
            // The end of the connection may delimit the response, whose received data still has to be read.
            ended = connection.as_mut() => match ended {
                Ok(()) => list.await,
                Err(error) => Err(error.into()),
            },
        }
    }
}

fn request(address: SocketAddr, query: &str) -> Request<Empty<Bytes>> {
    let request = Request::get(format!("/registry/instances{query}")).header("host", address.to_string());
    request.body(Empty::new()).expect("a fixed path and an address are valid")
}
