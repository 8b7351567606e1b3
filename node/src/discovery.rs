//! The list of servers: its form on the wire, and the watch that follows its changes.

use crate::engine::Engine;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
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

/// Servers, all of them or those that have changed.
#[derive(Debug, Deserialize)]
pub struct ServerList {
    /// Version of the list.
    pub revision: u64,
    /// Whether those not named are gone.
    pub complete: bool,
    /// The servers.
    pub members: Vec<Member>,
}

/// One server, as discovery describes it.
#[derive(Debug, Deserialize)]
pub struct Member {
    /// Its name, the same at every node.
    pub id: String,
    /// Where it listens. One that has left needs none.
    pub host_port: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// Its machine kind.
    #[serde(default)]
    pub flavor: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// What it takes.
    pub phase: Phase,
    /// Its weight.
    #[serde(default = "one")]
    pub size: f64,
    /// Its latest start in Unix time; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// What a server takes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// New requests.
    Active,
    /// Nothing new.
    Leaving,
    /// It is no more.
    Left,
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
    BadLine(String),
}

impl ServerList {
    /// Reads one line.
    pub fn parse(line: &[u8]) -> Result<Self, WatchError> {
        let list: ServerList =
            serde_json::from_slice(line).map_err(|e| WatchError::BadLine(e.to_string()))?;
        match list.members.iter().find(|m| m.host_port.is_none() && m.phase != Phase::Left) {
            Some(m) => Err(WatchError::BadLine(format!("{} has no host_port", m.id))),
            None => Ok(list),
        }
    }
}

/// Keeps a watch open for good, for sites where lists are pushed.
pub async fn follow(engine: Rc<Engine>) {
    let mut pause = PAUSE[0];
    loop {
        let before = engine.lists_taken();
        let error = watch(&engine).await;
        if engine.lists_taken() != before {
            pause = PAUSE[0];
        }
        engine.log(format_args!("watch: {error}; again in {} ms", pause.as_millis()));
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(PAUSE[1]);
    }
}

/// Opens one watch from the version held on and hands on what it brings until it ends.
pub async fn watch(engine: &Rc<Engine>) -> WatchError {
    let address = engine.discovery();
    if engine.needs_whole_list() {
        // The version held comes from another address and may mean anything here, also one that is newer.
        match timeout(SILENCE, fetch(address)).await {
            Ok(Ok(list)) => engine.list(&list),
            Ok(Err(error)) => return error,
            Err(_) => return WatchError::Silent,
        }
    }
    match run_watch(engine, address).await {
        Ok(()) => WatchError::Ended,
        Err(error) => error,
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
        let list = ServerList::parse(&body.map_err(|e| WatchError::BadLine(e.to_string()))?.to_bytes())?;
        match list.complete {
            true => Ok(list),
            false => Err(WatchError::BadLine("the list is not complete".to_owned())),
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

async fn run_watch(engine: &Rc<Engine>, address: SocketAddr) -> Result<(), WatchError> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(connect(address).await?)).await?;
    // The connection is driven here, so that nothing of it outlives the watch.
    let lines = async {
        let since = engine.revision();
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
                    engine.list(&ServerList::parse(line)?);
                }
            }
            if held.len() > LONGEST_LINE {
                return Err(WatchError::BadLine(format!("over {LONGEST_LINE} bytes")));
            }
        }
    };
    tokio::select! {
        biased; // What has come is read before the end is noticed.
        ended = lines => ended,
        ended = connection => Err(ended.map_or_else(WatchError::Http, |()| WatchError::Ended)),
    }
}
