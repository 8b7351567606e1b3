//! The platform's discovery over HTTP/1.1: the whole list on request, and a watch that brings changes.

use crate::framing::{FramingError, Objects};
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

/// An empty line is due every 2 s, and news counts as told 6 s after it came up: a watch that has been silent
/// for this long is taken for dead, which leaves time to open the next. So is one on which a list does not come to its end.
const SILENCE: Duration = Duration::from_secs(3);
/// Largest whole list that is taken in.
const LARGEST_LIST: usize = 4 << 20;

/// How long discovery may take, and how soon it is called again.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryTimeouts {
    /// For a connection to come up.
    pub connect: Duration,
    /// For an answer to begin.
    pub answer: Duration,
    /// The first pause before a broken watch is opened again.
    pub first_pause: Duration,
    /// The longest.
    pub longest_pause: Duration,
}

impl DiscoveryTimeouts {
    /// An agent on the node's own machine. It answers at once and at no cost, or not at all; what it hears while it says
    /// nothing counts as told from the moment in which it can be reached again.
    pub const AGENT: DiscoveryTimeouts = DiscoveryTimeouts {
        connect: Duration::from_millis(250),
        answer: Duration::from_millis(500),
        first_pause: Duration::from_millis(100),
        longest_pause: Duration::from_millis(200),
    };
    /// One service for all nodes, which works through calls in turn.
    pub const SERVICE: DiscoveryTimeouts = DiscoveryTimeouts {
        connect: Duration::from_secs(1),
        answer: SILENCE,
        first_pause: Duration::from_millis(100),
        longest_pause: Duration::from_secs(1),
    };
}

/// How a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// No connection.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// Nothing came, not even an empty line.
    #[error("silent for too long")]
    Silent,
    /// The connection broke or spoke no HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The call was turned away.
    #[error("answered {0}")]
    Status(StatusCode),
    /// Discovery ended it.
    #[error("ended")]
    Ended,
    /// A line that is no server list.
    #[error("unusable line: {0}")]
    BadLine(#[from] ListError),
    /// What came is no sequence of lists.
    #[error("unusable line: {0}")]
    Framing(#[from] FramingError),
    /// A whole list that is too long, or isn't whole.
    #[error("unusable list: {0}")]
    Unusable(String),
}

/// What discovery says, or what became of asking it.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// A list, whole or changes.
    List(ServerList),
    /// A watch that was asked for ended, or never came up.
    WatchFailed(WatchError),
    /// A watch that is kept open ended, and is opened again after a pause.
    Reconnecting(WatchError, Duration),
}

/// Follows discovery in a task of its own, on a `LocalSet`.
pub struct Discovery {
    address: Cell<SocketAddr>,
    patience: DiscoveryTimeouts,
    /// The list held is not from where the list is now: changes to it are no use.
    moved: Cell<bool>,
    /// Version of the list held.
    revision: Cell<u64>,
    lists_taken: Cell<u64>,
    /// The watch, or the task that keeps one open.
    task: RefCell<Option<AbortHandle>>,
    tell: Box<dyn Fn(DiscoveryEvent)>,
}

impl Discovery {
    /// Starts from a list of this revision, 0 for none. What is said goes to `tell`.
    pub fn new(
        address: SocketAddr,
        patience: DiscoveryTimeouts,
        revision: u64,
        tell: impl Fn(DiscoveryEvent) + 'static,
    ) -> Rc<Self> {
        Rc::new(Discovery {
            address: Cell::new(address),
            patience,
            moved: Cell::new(false),
            revision: Cell::new(revision),
            lists_taken: Cell::new(0),
            task: RefCell::default(),
            tell: Box::new(tell),
        })
    }

    /// Keeps a watch open for good.
    pub fn follow(self: &Rc<Self>) {
        let me = self.clone();
        self.replace(async move { me.keep_watching().await });
    }

    /// Opens one watch; its end is told as [`DiscoveryEvent::WatchFailed`].
    pub fn watch_once(self: &Rc<Self>) {
        let me = self.clone();
        self.replace(async move {
            let error = me.watch().await;
            (me.tell)(DiscoveryEvent::WatchFailed(error));
        });
    }

    /// The list of servers is elsewhere from now on. False: it was there before. Nothing that the old address still
    /// says is heard; the new one is asked for its whole list by the next watch, which the caller opens.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        let moved = self.address.replace(address) != address;
        if moved {
            self.moved.set(true);
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

    fn take(&self, list: ServerList) {
        self.lists_taken.set(self.lists_taken.get() + 1);
        self.revision.set(list.revision);
        self.moved.set(self.moved.get() && !list.complete);
        (self.tell)(DiscoveryEvent::List(list));
    }

    async fn keep_watching(&self) {
        let DiscoveryTimeouts { first_pause, longest_pause, .. } = self.patience;
        let mut pause = first_pause;
        loop {
            let before = self.lists_taken.get();
            let error = self.watch().await;
            if self.lists_taken.get() != before {
                pause = first_pause;
            }
            (self.tell)(DiscoveryEvent::Reconnecting(error, pause));
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(longest_pause);
        }
    }

    /// Opens one watch from the version held on and hands on what it brings until it ends.
    async fn watch(&self) -> WatchError {
        let address = self.address.get();
        if self.moved.get() {
            // The version held comes from another address and may mean anything here, also one that is newer.
            match timeout(SILENCE, self.fetch(address)).await {
                Ok(Ok(list)) => self.take(list),
                Ok(Err(error)) => return error,
                Err(_) => return WatchError::Silent,
            }
        }
        match self.run_watch(address).await {
            Ok(()) => WatchError::Ended,
            Err(error) => error,
        }
    }

    /// Reads one watch to its end.
    async fn run_watch(&self, address: SocketAddr) -> Result<(), WatchError> {
        let (mut sender, connection) = http1::handshake(TokioIo::new(self.connect(address).await?)).await?;
        // The connection is driven here, so that nothing of it outlives the watch.
        let lines = async {
            let since = self.revision.get();
            let request = request(address, &format!("?follow=1&since={since}"));
            let response = timeout(self.patience.answer, sender.send_request(request)).await;
            let response = response.map_err(|_| WatchError::Silent)??;
            if response.status() != StatusCode::OK {
                return Err(WatchError::Status(response.status()));
            }
            self.read_lists(response.into_body()).await
        };
        tokio::select! {
            biased; // What has come is read before the end is noticed.
            ended = lines => ended,
            ended = connection => Err(ended.map_or_else(WatchError::Http, |()| WatchError::Ended)),
        }
    }

    /// Takes in what a watch brings, until its connection ends.
    async fn read_lists(&self, mut body: Incoming) -> Result<(), WatchError> {
        let mut objects = Objects::default();
        let mut patience_ends = Instant::now() + SILENCE;
        loop {
            // A machine that vanishes leaves its connections open and silent: only the clock tells.
            let frame = timeout_at(patience_ends, body.frame()).await.map_err(|_| WatchError::Silent)?;
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame?.into_data() else { continue };
            let was_within = objects.is_within_object();
            let mut taken = false;
            objects.push(&data);
            while let Some(object) = objects.next_object()? {
                // After a bad list the next may rest on what it said: a new watch starts from the last good one.
                self.take(ServerList::parse(&object)?);
                taken = true;
            }
            // One that has begun has to come to its end in time, however its bytes trickle in.
            if taken || !(was_within && objects.is_within_object()) {
                patience_ends = Instant::now() + SILENCE;
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, WatchError> {
        match timeout(self.patience.connect, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(WatchError::Connect),
            Err(_) => Err(WatchError::Silent),
        }
    }

    /// Asks for the whole list, once.
    async fn fetch(&self, address: SocketAddr) -> Result<ServerList, WatchError> {
        let (mut sender, connection) = http1::handshake(TokioIo::new(self.connect(address).await?)).await?;
        let list = async {
            let response = timeout(self.patience.answer, sender.send_request(request(address, ""))).await;
            let response = response.map_err(|_| WatchError::Silent)??;
            if response.status() != StatusCode::OK {
                return Err(WatchError::Status(response.status()));
            }
            let body = Limited::new(response.into_body(), LARGEST_LIST).collect().await;
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
            // The answer may end with its connection: what has come is still to be read.
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
