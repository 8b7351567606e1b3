//! A registry that speaks the platform's discovery protocol: complete lists, and a watch that sends changes line by
//! line.

use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{timeout, Instant};

/// Interval of empty lines while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Longest request head that is read, in bytes.
const MAX_HEAD: usize = 16 << 10;

/// The registry's server. It stops accepting connections when it is dropped.
pub struct Registry {
    address: SocketAddr,
    /// Members by id, each with the revision of its last change.
    members: RefCell<BTreeMap<String, (u64, Value)>>,
    revision: watch::Sender<u64>,
    silent_until: Cell<Option<Instant>>,
    accepting: Cell<Option<AbortHandle>>,
}

impl Registry {
    /// Listens on a port that the system chooses.
    pub async fn start() -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let registry = Rc::new(Registry {
            address: listener.local_addr()?,
            members: RefCell::default(),
            revision: watch::Sender::new(1),
            silent_until: Cell::new(None),
            accepting: Cell::new(None),
        });
        let weak = Rc::downgrade(&registry);
        let accepting = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(registry) = weak.upgrade() else { return };
                // An error of one client ends only that client's connection.
                spawn_local(async move { registry.serve(stream).await });
            }
        });
        registry.accepting.set(Some(accepting.abort_handle()));
        Ok(registry)
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes the state of a member. Complete lists omit a member whose `phase` is `left`.
    pub fn announce(&self, member: Value) {
        let id = member["id"].as_str().unwrap_or_default().to_owned();
        self.revision.send_modify(|revision| {
            *revision += 1;
            self.members.borrow_mut().insert(id, (*revision, member));
        });
    }

    /// Suspends all output for a time. Changes that are announced meanwhile are sent afterwards.
    pub fn silence(&self, length: Duration) {
        self.silent_until.set(Some(Instant::now() + length));
    }

    async fn wait_while_silent(&self) {
        while let Some(until) = self.silent_until.get().filter(|u| *u > Instant::now()) {
            tokio::time::sleep_until(until).await;
        }
    }

    /// Members that changed after a revision; for revision 0, all that have not left.
    fn list(&self, since: u64) -> Value {
        let left = |member: &Value| member["phase"] == "left";
        let members = self.members.borrow();
        let changed = members.values().filter(|(r, m)| *r > since && (since > 0 || !left(m)));
        let changed: Vec<&Value> = changed.map(|m| &m.1).collect();
        json!({"revision": *self.revision.borrow(), "complete": since == 0, "members": changed})
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") else {
                if buffer.len() > MAX_HEAD || stream.read_buf(&mut buffer).await? == 0 {
                    return Ok(());
                }
                continue;
            };
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            self.wait_while_silent().await;
            let target = head.split(' ').nth(1).unwrap_or_default();
            let query = target.strip_prefix("/registry/instances");
            match query {
                Some(query) if query.contains("follow=1") => {
                    let since = query.split("since=").nth(1).and_then(|s| s.split('&').next()?.parse().ok());
                    return self.watch(stream, since.unwrap_or(0)).await;
                }
                _ => {
                    let (status, body) = match query {
                        Some(_) => ("200 OK", self.list(0).to_string()),
                        None => ("404 Not Found", String::new()),
                    };
                    let length = body.len();
                    let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
                    stream.write_all(answer.as_bytes()).await?;
                }
            }
        }
    }

    async fn watch(&self, mut stream: TcpStream, since: u64) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut revisions = self.revision.subscribe();
        // A revision that this registry never issued comes from another one: the client needs the complete list.
        let mut sent = if since > *revisions.borrow() { 0 } else { since };
        let mut first = true;
        loop {
            self.wait_while_silent().await;
            let now = *revisions.borrow_and_update();
            let line = if first || now > sent { self.list(sent).to_string() } else { String::new() };
            (first, sent) = (false, now);
            stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await?;
            if let Ok(Err(_)) = timeout(HEARTBEAT, revisions.changed()).await {
                return Ok(());
            }
        }
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        self.accepting.take().iter().for_each(AbortHandle::abort);
    }
}
