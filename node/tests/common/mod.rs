//! A node as a process of its own, and both of its neighbours as plain sockets that a test scripts byte by byte.

#![allow(dead_code)] // Each test file uses its part.

use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, ChildStderr, Command};

/// Ends a test that waits for something that never comes; nothing is measured by it.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    match tokio::time::timeout(Duration::from_secs(30), future).await {
        Ok(value) => value,
        Err(_) => panic!("{what}: nothing came"),
    }
}

/// An HTTP message as it came.
#[derive(Debug)]
pub struct Message {
    /// Request or status line.
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
}

/// Held while a process starts and while a socket is closed. Between fork and exec a child holds copies of all sockets
/// of the tests beside it, so that one closed meanwhile stays open for its peer: a closing would come late, and a
/// connection that is to be refused would be taken.
static STARTING: Mutex<()> = Mutex::new(());

fn nothing_starts() -> MutexGuard<'static, ()> {
    STARTING.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A socket, or what holds one, that is closed only while no process starts.
struct Closing<T>(Option<T>);

impl<T> Deref for Closing<T> {
    type Target = T;
    fn deref(&self) -> &T {
        self.0.as_ref().expect("taken only when dropped")
    }
}

impl<T> DerefMut for Closing<T> {
    fn deref_mut(&mut self) -> &mut T {
        self.0.as_mut().expect("taken only when dropped")
    }
}

impl<T> Drop for Closing<T> {
    fn drop(&mut self) {
        let _guard = nothing_starts();
        self.0 = None;
    }
}

/// One connection, either way.
pub struct Wire(Closing<BufReader<TcpStream>>);

impl Wire {
    fn new(stream: TcpStream) -> Self {
        Wire(Closing(Some(BufReader::new(stream))))
    }

    pub async fn connect(address: SocketAddr) -> Self {
        Wire::new(within("a connection", TcpStream::connect(address)).await.expect("a connection"))
    }

    /// Closes it, and waits until the other side has seen that and closed as well.
    pub async fn close(mut self) {
        self.0.get_mut().shutdown().await.expect("the closing");
        self.closed().await;
    }

    pub async fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).await.expect("writing");
    }

    /// The next message; None if the connection ends first.
    pub async fn read(&mut self) -> Option<Message> {
        within("a message", self.read_message()).await
    }

    async fn read_message(&mut self) -> Option<Message> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if !matches!(self.0.read_line(&mut line).await, Ok(n) if n > 0) {
                return None;
            }
            match line.trim_end() {
                "" => break,
                line => lines.push(line.to_owned()),
            }
        }
        let start = lines.remove(0);
        let split = |l: String| l.split_once(':').map(|(n, v)| (n.to_owned(), v.trim().to_owned()));
        let headers = lines.into_iter().filter_map(split).collect();
        let mut message = Message { start, headers, body: Vec::new() };
        let length = message.header("content-length").map_or(0, |l| l.parse().expect("a length"));
        message.body = vec![0; length];
        self.0.read_exact(&mut message.body).await.ok()?;
        Some(message)
    }

    /// Waits for the other side to close.
    pub async fn closed(&mut self) {
        let mut rest = Vec::new();
        let _ = within("the connection's end", self.0.read_to_end(&mut rest)).await;
        assert!(rest.is_empty(), "closed only after {:?}", String::from_utf8_lossy(&rest));
    }

    /// Writes as much as the other side takes before it closes.
    pub async fn write_what_is_taken(&mut self, text: &str) {
        let _ = within("writing", self.0.get_mut().write_all(text.as_bytes())).await;
    }

    /// Waits for the other side to close, whatever it still says.
    pub async fn ended(&mut self) {
        let mut rest = Vec::new();
        let _ = within("the connection's end", self.0.read_to_end(&mut rest)).await;
    }

    /// Answers with further header lines, each ended, and a body.
    pub async fn answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        self.write(&format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")).await;
    }

    /// Sends a request of a class and returns its answer.
    pub async fn ask(&mut self, class: &str) -> Option<Message> {
        self.send(class, "20000m").await;
        self.read().await
    }

    pub async fn send(&mut self, class: &str, wait: &str) {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        self.send_as(&format!("r{}", NEXT.fetch_add(1, Ordering::Relaxed)), class, wait).await;
    }

    pub async fn send_as(&mut self, id: &str, class: &str, wait: &str) {
        let method = if class == "safe" { "GET" } else { "POST" };
        let key = if class == "keyed" { "Idempotency-Key: k\r\n" } else { "" };
        let head =
            format!("{method} /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: {wait}\r\n");
        self.write(&format!("{head}X-Tenant-Id: one\r\nX-Cost: 90000\r\n{key}Content-Length: 0\r\n\r\n"))
            .await;
    }
}

/// A loopback address for one use, with the port left to the system. A port is soon given out again: on a shared address,
/// what is meant for a server that has ended could reach another test's.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let octet = |n: u32| u8::try_from(n % 254 + 1).expect("at most 254");
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    ([127, octet(process / 254), octet(process), octet(last)], 0).into()
}

/// A listener that a test accepts from by hand.
pub struct Peer(Closing<TcpListener>);

impl Peer {
    pub async fn new() -> Self {
        Peer(Closing(Some(TcpListener::bind(own_address()).await.expect("a port"))))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    pub async fn accept(&self) -> Wire {
        let accepted = within("a connection to be accepted", self.0.accept()).await;
        Wire::new(accepted.expect("a connection").0)
    }

    /// A new connection and the first request on it.
    pub async fn request(&self) -> (Wire, Message) {
        let mut wire = self.accept().await;
        let request = wire.read().await.expect("a request");
        (wire, request)
    }

    /// Whether a connection waits to be accepted.
    pub async fn untouched(&self) -> bool {
        tokio::time::timeout(Duration::from_millis(50), self.0.accept()).await.is_err()
    }

    /// For discovery: takes in a watch and begins its answer.
    pub async fn watch(&self) -> (Watch, String) {
        let (mut wire, request) = self.request().await;
        wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        (Watch(wire), request.start)
    }
}

/// An open watch.
pub struct Watch(pub Wire);

impl Watch {
    pub async fn line(&mut self, line: &str) {
        self.0.write(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1)).await;
    }

    /// Sends a list; [`Node::holds`] tells when it has been taken.
    pub async fn list(&mut self, revision: u64, complete: bool, members: &[Value]) {
        let list = json!({"revision": revision, "complete": complete, "members": members});
        self.line(&list.to_string()).await;
    }
}

/// A server as discovery describes it.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "here", "flavor": "std", "cell": 1,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Settings with a class of each kind: `safe`, `keyed` and `unsafe`.
pub fn settings() -> Value {
    let class = |name, effect| {
        json!({"name": name, "effect": effect, "promise_ns": 20_000_000_000u64, "importance": 1.0,
               "deadline_ns": 20_000_000_000u64, "key_scope": "cell", "repeat_window_ns": 10_000_000_000u64})
    };
    json!({
        "balancers": 1, "zone": 0, "zones": ["here"], "kinds": ["std"], "registry_mode": "automatic",
        "profiles": [class("safe", "free"), class("keyed", "guarded"), class("unsafe", "single_shot")],
        "tenants": [{"name": "one", "quota_per_s": 1000.0, "share": 1.0}],
        "limits": {"try_limit": 3, "conn_idle_ns": 300_000_000_000u64, "connect_timeout_ns": 5_000_000_000u64,
                   "may_cancel": true, "may_probe": true, "retry_after": true, "max_retry_after_ns": 1_500_000_000u64},
        "report": {"how": "silent"},
        "rules": {"cold_from": 0.5, "drain_grace_ns": 1_000_000_000u64, "fall_multiple": 3.0,
                  "overload_for_ns": 1_000_000_000u64, "warm_up_ns": 1_000_000_000u64}
    })
}

/// What nodes are told that they may use: it holds 128 clients with large bodies.
pub const MEMORY_MB: u64 = 64;

/// A node's process.
pub struct Node {
    child: Child,
    log: Option<BufReader<ChildStderr>>,
    pub address: SocketAddr,
    /// Its configuration and the file that holds it.
    config: (Value, PathBuf),
}

/// Starts a process with a configuration's text.
pub fn start(config: &str) -> Child {
    start_with(config, &[]).0
}

/// The same with further variables; says which file holds the configuration.
fn start_with(config: &str, variables: &[(&str, &str)]) -> (Child, PathBuf) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = path.join(format!("{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).expect("a configuration file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_birchswitch"));
    command.env_clear().envs(variables.iter().copied()).env("GW_CONFIG", &path);
    command.stderr(Stdio::piped()).kill_on_drop(true);
    let _guard = nothing_starts();
    (command.spawn().expect("a process"), path)
}

impl Node {
    /// Starts a node with these settings and limits; the list it knows is empty.
    pub async fn with(discovery: &Peer, settings: Value, sockets: u32) -> Self {
        Node::at(([127, 0, 0, 1], 0).into(), discovery, settings, sockets).await
    }

    /// The same at a given address.
    pub async fn at(address: SocketAddr, discovery: &Peer, settings: Value, sockets: u32) -> Self {
        let config = json!({
            "name": "n", "listen": address.to_string(), "discovery": discovery.address().to_string(), "seed": "1f",
            "limits": {"sockets": sockets, "memory_mb": MEMORY_MB}, "settings": settings,
        });
        Node::told(config, &[]).await
    }

    /// The same with a whole configuration and further variables.
    pub async fn told(config: Value, variables: &[(&str, &str)]) -> Self {
        let (mut child, path) = start_with(&config.to_string(), variables);
        let log = child.stderr.take().map(BufReader::new);
        let mut node = Node { child, log, address: ([127, 0, 0, 1], 0).into(), config: (config, path) };
        let line = node.logged("listening on ").await;
        node.address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        node
    }

    /// A node with the usual settings that has taken a list of these servers.
    pub async fn serving(servers: &[(&str, &Peer)]) -> (Self, Peer, Watch) {
        let discovery = Peer::new().await;
        let node = Node::with(&discovery, settings(), 1024).await;
        let (mut watch, _) = discovery.watch().await;
        let members: Vec<Value> = servers.iter().map(|s| member(s.0, s.1.address(), "active")).collect();
        watch.list(1, true, &members).await;
        node.ready().await;
        (node, discovery, watch)
    }

    /// Waits until the node says that it is ready.
    pub async fn ready(&self) {
        while self.get("/health/ready").await.status() != 200 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Waits until the node has taken the list of this revision.
    pub async fn holds(&self, revision: u64) {
        let told = format!("list {revision}\n");
        while self.get("/health/live").await.body != told.as_bytes() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Replaces its configuration file by one in which a value differs, and tells it so.
    pub async fn reconfigure(&mut self, key: &str, value: Value) {
        self.config.0[key] = value;
        let text = self.config.0.to_string();
        self.replace_config(&text).await;
    }

    /// Replaces its configuration file by this text, and tells it so.
    pub async fn replace_config(&self, text: &str) {
        std::fs::write(&self.config.1, text).expect("a configuration file");
        self.signal("HUP").await;
    }

    pub async fn client(&self) -> Wire {
        Wire::connect(self.address).await
    }

    pub async fn get(&self, path: &str) -> Message {
        let mut client = self.client().await;
        client.write(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")).await;
        client.read().await.expect("an answer")
    }

    /// The first line of its log, from here on, that holds this.
    pub async fn logged(&mut self, text: &str) -> String {
        let log = self.log.as_mut().expect("its log");
        loop {
            let mut line = String::new();
            let read = within("a line of the log", log.read_line(&mut line)).await.expect("its log");
            assert!(read > 0, "the log ended before {text:?}");
            if line.contains(text) {
                return line.trim_end().to_owned();
            }
        }
    }

    /// Leaves nobody to read its log.
    pub fn close_log(&mut self) {
        self.log = None;
    }

    /// Its open descriptors.
    pub fn descriptors(&self) -> usize {
        let pid = self.child.id().expect("it runs");
        std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors").count()
    }

    /// The most memory that it has held so far, in KiB.
    pub fn memory_peak(&self) -> u64 {
        let pid = self.child.id().expect("it runs");
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("its peak");
        peak.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    pub async fn signal(&self, signal: &str) {
        let pid = self.child.id().expect("it runs").to_string();
        let spawned = {
            let _guard = nothing_starts();
            Command::new("kill").args(["-s", signal, &pid]).spawn()
        };
        assert!(within("kill", spawned.expect("kill").wait()).await.expect("its status").success());
    }

    pub async fn exited(&mut self) -> ExitStatus {
        within("the node's end", self.child.wait()).await.expect("its status")
    }
}
