//! The platform's discovery over HTTP/1.1: the whole list on request, and a watch that brings changes.

use crate::list::{ListError, ServerList};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// An empty line is due every 2 s, and news counts as told 6 s after it came up: a watch that has been silent
/// for this long is taken for dead, which leaves time to open the next.
const SILENCE: Duration = Duration::from_secs(3);
/// For the connection to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// Pauses before a broken watch is opened again: the first, and the longest.
const PAUSE: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(1)];
/// Longest line that is taken in.
const LONGEST_LINE: usize = 4 << 20;

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
    /// A line that is too long, or a whole list that isn't whole.
    #[error("unusable line: {0}")]
    Unusable(String),
}

/// What discovery says, or what became of asking it.
#[derive(Debug)]
pub enum Told {
    /// A list, whole or changes.
    List(ServerList),
    /// A watch that was asked for ended, or never came up.
    Failed(WatchError),
    /// A watch that is kept open ended, and is opened again after a pause.
    Again(WatchError, Duration),
}

/// Follows discovery in a task of its own, on a `LocalSet`.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// The list held is not from where the list is now: changes to it are no use.
    moved: Cell<bool>,
    /// Version of the list held.
    revision: Cell<u64>,
    lists_taken: Cell<u64>,
    /// The watch, or the task that keeps one open.
    task: RefCell<Option<AbortHandle>>,
    tell: Box<dyn Fn(Told)>,
}

impl Discovery {
    /// Starts from a list of this revision, 0 for none. What is said goes to `tell`.
    pub fn new(address: SocketAddr, revision: u64, tell: impl Fn(Told) + 'static) -> Rc<Self> {
        Rc::new(Discovery {
            address: Cell::new(address),
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

    /// Opens one watch; its end is told as [`Told::Failed`].
    pub fn watch_once(self: &Rc<Self>) {
        let me = self.clone();
        self.replace(async move {
            let error = me.watch().await;
            (me.tell)(Told::Failed(error));
        });
    }

    /// The list of servers is elsewhere from now on. False: it was there before. Nothing that the old address still
    /// says is heard; the new one is asked for its whole list by the next watch, which the caller opens.
    pub fn move_to(&self, address: SocketAddr) -> bool {
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
        (self.tell)(Told::List(list));
    }

    async fn keep_watching(&self) {
        let mut pause = PAUSE[0];
        loop {
            let before = self.lists_taken.get();
            let error = self.watch().await;
            if self.lists_taken.get() != before {
                pause = PAUSE[0];
            }
            (self.tell)(Told::Again(error, pause));
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSE[1]);
        }
    }

    /// Opens one watch from the version held on and hands on what it brings until it ends.
    async fn watch(&self) -> WatchError {
        let address = self.address.get();
        if self.moved.get() {
            // The version held comes from another address and may mean anything here, also one that is newer.
            match timeout(SILENCE, fetch(address)).await {
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
        let (mut sender, connection) = http1::handshake(TokioIo::new(connect(address).await?)).await?;
        // The connection is driven here, so that nothing of it outlives the watch.
        let lines = async {
            let since = self.revision.get();
            let request = request(address, &format!("?follow=1&since={since}"));
            let response = timeout(SILENCE, sender.send_request(request)).await;
            let response = response.map_err(|_| WatchError::Silent)??;
            if response.status() != StatusCode::OK {
                return Err(WatchError::Status(response.status()));
            }
            let mut body = response.into_body();
            let mut held = BytesMut::new();
            loop {
                // A machine that vanishes leaves its connections open and silent: only the clock tells.
                let frame = timeout(SILENCE, body.frame()).await.map_err(|_| WatchError::Silent)?;
                let Some(frame) = frame else { return Ok(()) };
                let Ok(data) = frame?.into_data() else { continue };
                let mut searched = held.len();
                held.extend_from_slice(&data);
                while let Some(end) = held[searched..].iter().position(|&b| b == b'\n') {
                    let line = held.split_to(searched + end + 1);
                    searched = 0;
                    let line = line.trim_ascii();
                    if !line.is_empty() {
                        // After a bad line the next may rest on what it said: a new watch starts from the last good one.
                        self.take(ServerList::parse(line)?);
                    }
                }
                if held.len() > LONGEST_LINE {
                    return Err(WatchError::Unusable(format!("over {LONGEST_LINE} bytes")));
                }
            }
        };
        tokio::select! {
            biased; // What has come is read before the end is noticed.
            ended = lines => ended,
            ended = connection => Err(ended.map_or_else(WatchError::Http, |()| WatchError::Ended)),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, WatchError> {
    match timeout(CONNECT, TcpStream::connect(address)).await {
        Ok(stream) => stream.map_err(WatchError::Connect),
        Err(_) => Err(WatchError::Silent),
    }
}

fn request(address: SocketAddr, query: &str) -> Request<Empty<Bytes>> {
    let request = Request::get(format!("/registry/instances{query}")).header("host", address.to_string());
    request.body(Empty::new()).expect("a fixed path and an address are valid")
}

/// Asks for the whole list, once.
async fn fetch(address: SocketAddr) -> Result<ServerList, WatchError> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(connect(address).await?)).await?;
    let list = async {
        let response = sender.send_request(request(address, "")).await?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), LONGEST_LINE).collect().await;
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
