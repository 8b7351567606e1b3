//! Sockets that a test reads and writes byte by byte.

use crate::process::lock_spawning;
use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Panics if a future does not complete within 30 s. The limit only ends a stuck test; it asserts nothing about
/// latency.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    match tokio::time::timeout(Duration::from_secs(30), future).await {
        Ok(value) => value,
        Err(_) => panic!("{what}: nothing arrived within 30 s"),
    }
}

/// An HTTP message as received.
#[derive(Debug)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    headers: Vec<(String, String)>,
    /// Body of the message.
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
}

/// A socket, or an object that owns one, that is closed only while no process is being spawned.
struct GuardedClose<T>(Option<T>);

impl<T> Deref for GuardedClose<T> {
    type Target = T;
    fn deref(&self) -> &T {
        self.0.as_ref().expect("taken only when dropped")
    }
}

impl<T> DerefMut for GuardedClose<T> {
    fn deref_mut(&mut self) -> &mut T {
        self.0.as_mut().expect("taken only when dropped")
    }
}

impl<T> GuardedClose<T> {
    fn take(&mut self) -> T {
        self.0.take().expect("taken once")
    }
}

impl<T> Drop for GuardedClose<T> {
    fn drop(&mut self) {
        let _guard = lock_spawning();
        self.0 = None;
    }
}

/// A connection that a test drives, accepted or opened.
pub struct Connection(GuardedClose<BufReader<TcpStream>>);

impl Connection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Connection(GuardedClose(Some(BufReader::new(stream))))
    }

    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> Self {
        Connection::new(within("a connection", TcpStream::connect(address)).await.expect("a connection"))
    }

    /// Closes the connection and waits until the peer has closed it too; the peer must not send anything more.
    pub async fn close(mut self) {
        self.shutdown_write().await;
        self.expect_closed().await;
    }

    /// Shuts down the write side, waits until the peer closes, and returns what it sent until then.
    pub async fn shutdown_and_read(mut self) -> String {
        self.shutdown_write().await;
        String::from_utf8_lossy(&self.read_to_end().await).into_owned()
    }

    /// Shuts down the write side; reading continues.
    pub async fn shutdown_write(&mut self) {
        self.0.get_mut().shutdown().await.expect("a shutdown");
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        self.0.get_ref().set_zero_linger().expect("an option");
    }

    /// Writes text.
    pub async fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).await.expect("writing");
    }

    /// Reads the next message. None if the connection ends first.
    pub async fn read(&mut self) -> Option<Message> {
        within("a message", self.read_message()).await
    }

    /// Splits the connection, for a peer that reads and writes at the same time.
    pub fn split(mut self) -> (ConnectionReader, ConnectionWriter) {
        let buffered = self.0.take();
        assert!(buffered.buffer().is_empty(), "nothing is buffered yet");
        let (reading, writing) = buffered.into_inner().into_split();
        (ConnectionReader(BufReader::new(reading)), ConnectionWriter(writing))
    }

    /// Writes bytes.
    pub async fn write_bytes(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).await.expect("writing");
    }

    /// Reads the content of the next frame with a length prefix of four bytes. None if the connection ends first.
    pub async fn frame(&mut self) -> Option<Vec<u8>> {
        within("a frame", read_frame(&mut *self.0)).await
    }

    /// Waits for the next byte and reads it.
    pub async fn first_byte(&mut self) -> u8 {
        within("a byte", self.0.read_u8()).await.expect("a byte")
    }

    /// Reads the next line and strips its end. None if the connection ends first.
    pub async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = within("a line", self.0.read_line(&mut line)).await;
        matches!(read, Ok(n) if n > 0).then(|| line.trim_end().to_owned())
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

    /// Reads the next message, whose body may be chunked. None if the connection ends before it is complete.
    pub async fn read_chunked(&mut self) -> Option<Message> {
        let mut message = self.read().await?;
        if message.header("transfer-encoding") != Some("chunked") {
            return Some(message);
        }
        loop {
            let size = usize::from_str_radix(&self.line().await?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            within("a chunk", self.0.read_exact(&mut chunk)).await.ok()?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(message);
            }
        }
    }

    /// Waits until the peer closes the connection, without sending anything more.
    pub async fn expect_closed(&mut self) {
        let mut rest = Vec::new();
        let _ = within("the connection's end", self.0.read_to_end(&mut rest)).await;
        assert!(rest.is_empty(), "the peer sent {:?} before it closed", String::from_utf8_lossy(&rest));
    }

    /// Writes text until all of it is written or the peer closes.
    pub async fn write_until_closed(&mut self, text: &str) {
        let _ = within("writing", self.0.get_mut().write_all(text.as_bytes())).await;
    }

    /// Writes text again and again, with pauses, until the peer sends something or closes.
    pub async fn trickle(&mut self, text: &str, pause: Duration) {
        while tokio::time::timeout(pause, self.0.get_ref().readable()).await.is_err() {
            self.write_until_closed(text).await;
        }
    }

    /// Waits until the peer closes the connection and discards what it still sends.
    pub async fn wait_closed(&mut self) {
        self.read_to_end().await;
    }

    /// Reads up to and including this text, which must arrive.
    pub async fn read_until(&mut self, end: &str) -> String {
        let mut text = Vec::new();
        while !text.ends_with(end.as_bytes()) {
            text.push(self.first_byte().await);
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Reads what the peer sends until it closes.
    pub async fn read_to_end(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        let _ = within("the connection's end", self.0.read_to_end(&mut rest)).await;
        rest
    }

    /// Writes a response with further header lines, each with its line end, and a body.
    pub async fn answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        self.write(&format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")).await;
    }

    /// Sends a request of a class and reads the response.
    pub async fn round_trip(&mut self, class: &str) -> Option<Message> {
        self.send(class, "20000m").await;
        self.read().await
    }

    /// Sends a request of a class with a unique id and this `X-Timeout` (such as `20000m`).
    pub async fn send(&mut self, class: &str, wait: &str) {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        self.send_with_id(&format!("r{}", NEXT.fetch_add(1, Ordering::Relaxed)), class, wait).await;
    }

    /// Like [`Connection::send`], with a given id.
    pub async fn send_with_id(&mut self, id: &str, class: &str, wait: &str) {
        let method = if class == "safe" { "GET" } else { "POST" };
        let key = if class == "keyed" { "Idempotency-Key: k\r\n" } else { "" };
        let head =
            format!("{method} /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: {wait}\r\n");
        self.write(&format!("{head}X-Tenant-Id: one\r\nX-Cost: 90000\r\n{key}Content-Length: 0\r\n\r\n"))
            .await;
    }
}

/// The read half of a connection.
pub struct ConnectionReader(BufReader<OwnedReadHalf>);

impl ConnectionReader {
    /// See [`Connection::frame`].
    pub async fn frame(&mut self) -> Option<Vec<u8>> {
        within("a frame", read_frame(&mut self.0)).await
    }

    /// See [`Connection::line`].
    pub async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = within("a line", self.0.read_line(&mut line)).await;
        matches!(read, Ok(n) if n > 0).then(|| line.trim_end().to_owned())
    }
}

/// The write half of a connection.
pub struct ConnectionWriter(OwnedWriteHalf);

impl ConnectionWriter {
    /// Writes bytes.
    pub async fn write_bytes(&mut self, bytes: &[u8]) {
        within("writing", self.0.write_all(bytes)).await.expect("writing");
    }
}

async fn read_frame(from: &mut (impl AsyncReadExt + Unpin)) -> Option<Vec<u8>> {
    let length = from.read_u32().await.ok()?;
    let mut content = vec![0; length as usize];
    from.read_exact(&mut content).await.ok()?;
    Some(content)
}

/// Returns a loopback address that this process has not used before, with port 0. The system soon gives a port out
/// again: on a shared address, a connection meant for a server that has ended could reach another test's server.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let octet = |n: u32| u8::try_from(n % 254 + 1).expect("at most 254");
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    ([127, octet(process / 254), octet(process), octet(last)], 0).into()
}

/// A listener whose connections a test accepts one by one.
pub struct Peer(GuardedClose<TcpListener>, SocketAddr);

impl Peer {
    /// Listens on a unique address.
    pub async fn new() -> Self {
        Peer::listening(TcpListener::bind(unique_address()).await.expect("a port"))
    }

    fn listening(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("an address");
        Peer(GuardedClose(Some(listener)), address)
    }

    /// A peer that has stopped listening before its address is known to anyone.
    pub async fn unreachable() -> Self {
        let mut peer = Peer::new().await;
        let _guard = lock_spawning();
        peer.0 .0 = None;
        peer
    }

    /// Listens with a receive buffer so small that the kernel accepts almost nothing that the test does not read.
    pub fn with_small_buffer() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a small buffer");
        socket.bind(unique_address()).expect("a port");
        Peer::listening(socket.listen(64).expect("a port"))
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.1
    }

    /// Accepts the next connection.
    pub async fn accept(&self) -> Connection {
        let accepted = within("a connection to be accepted", self.0.accept()).await;
        Connection::new(accepted.expect("a connection").0)
    }

    /// Accepts a connection and reads its first request.
    pub async fn request(&self) -> (Connection, Message) {
        let mut wire = self.accept().await;
        let request = wire.read().await.expect("a request");
        (wire, request)
    }

    /// Returns whether no connection is waiting to be accepted, within 50 ms.
    pub async fn has_no_connection(&self) -> bool {
        match tokio::time::timeout(Duration::from_millis(50), self.0.accept()).await {
            Err(_) => true,
            Ok(accepted) => {
                let mut wire = Connection::new(accepted.expect("a connection").0);
                let message = tokio::time::timeout(Duration::from_millis(50), wire.read_message()).await;
                println!("unexpected connection: {message:?}");
                false
            }
        }
    }

    /// Returns whether no request arrives within 100 ms; a connection without a request is ignored.
    pub async fn has_no_request(&self) -> bool {
        let asked = async {
            let stream = self.0.accept().await.expect("a connection").0;
            Connection::new(stream).read_message().await
        };
        !matches!(tokio::time::timeout(Duration::from_millis(100), asked).await, Ok(Some(_)))
    }

    /// As the registry: accepts a watch and starts the response to it.
    pub async fn watch(&self) -> (Watch, String) {
        let (mut wire, request) = self.request().await;
        wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        (Watch(wire), request.start)
    }
}

/// Returns a listener whose accept queue is full, so that a further connection waits until the kernel retries its
/// handshake.
pub async fn full_listener() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(unique_address()).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let wait = Duration::from_millis(300);
    let mut queued = Vec::new();
    while let Ok(stream) = tokio::time::timeout(wait, TcpStream::connect(address)).await {
        queued.push(stream.expect("a connection"));
    }
    (listener, address, queued)
}

/// Accepts the connections that fill the queue, so that waiting ones can complete.
pub async fn accept_backlog(listener: &TcpListener, queued: &[TcpStream]) {
    for _ in queued {
        within("a connection", listener.accept()).await.expect("a connection");
    }
}

/// Reads all that the peer sends until it closes.
pub async fn read_all(mut stream: TcpStream) -> String {
    let mut sent = Vec::new();
    let _ = within("the connection's end", stream.read_to_end(&mut sent)).await;
    String::from_utf8_lossy(&sent).into_owned()
}

/// An open watch.
pub struct Watch(pub Connection);

impl Watch {
    /// Writes a line as one chunk.
    pub async fn line(&mut self, line: &str) {
        self.0.write(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1)).await;
    }

    /// Sends a list; [`wait_for_list`](super::Node::wait_for_list) waits until the node has applied it.
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

/// Settings with one class of each kind: `safe`, `keyed` and `unsafe`.
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
