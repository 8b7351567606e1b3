//! A server that reads and writes at a given pace, and answers as the request's path asks.

use birchswitch_standin::scripted::unique_address;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, Instant};

/// How fast a server reads requests and writes answers, in bytes per second. `None`: at full speed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub read_rate: Option<usize>,
    pub write_rate: Option<usize>,
    /// Time between a request's last byte and its answer.
    pub work: Duration,
}

impl Pace {
    /// At full speed, and 5 ms of work.
    pub const FAST: Pace = Pace { read_rate: None, write_rate: None, work: Duration::from_millis(5) };
}

impl Default for Pace {
    fn default() -> Self {
        Pace::FAST
    }
}

/// Receive buffer of a server that reads slowly, in bytes.
const SMALL_BUFFER: u32 = 64 << 10;
/// Bytes that are read or written at a time.
const PIECE: usize = 8 << 10;

/// A future that runs on a thread of its own until it ends or this is dropped.
pub struct Background {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Background {
    pub fn start(future: impl Future<Output = ()> + Send + 'static) -> Self {
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                tokio::select! {
                    () = future => {}
                    _ = stopped => {}
                }
            });
        });
        Background { stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        self.stop = None;
        let ended = self.thread.take().map(std::thread::JoinHandle::join);
        assert!(
            std::thread::panicking() || ended.is_none_or(|ended| ended.is_ok()),
            "a background thread panicked"
        );
    }
}

/// Times at which requests began, and their ids.
pub type Begun = Arc<Mutex<Vec<(Instant, String)>>>;

/// A server that accepts connections until it is dropped. It has a thread of its own, so that the load of others does not
/// slow it down.
pub struct Shop {
    pub address: SocketAddr,
    /// When requests were received completely, and their ids.
    pub begun: Begun,
    _thread: Background,
}

impl Shop {
    pub fn start(pace: Pace) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        if pace.read_rate.is_some() {
            socket.set_recv_buffer_size(SMALL_BUFFER).expect("a buffer size");
        }
        socket.bind(unique_address()).expect("a port");
        let listener = socket.listen(1024).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let listener = listener.into_std().expect("a listener");
        let begun = Begun::default();
        let log = begun.clone();
        let thread = Background::start(async move {
            accept(TcpListener::from_std(listener).expect("a listener"), pace, log).await;
        });
        Shop { address, begun, _thread: thread }
    }
}

async fn accept(listener: TcpListener, pace: Pace, begun: Begun) {
    while let Ok((stream, _)) = listener.accept().await {
        let begun = begun.clone();
        tokio::spawn(async move {
            let mut stream = BufReader::with_capacity(PIECE, stream);
            while serve(&mut stream, pace, &begun).await.is_some() {}
        });
    }
}

/// Serves one request. `None` when the connection ends.
async fn serve(stream: &mut BufReader<TcpStream>, pace: Pace, begun: &Begun) -> Option<()> {
    let (path, headers) = read_head(stream).await?;
    read_body(stream, &headers, pace.read_rate).await?;
    let id = headers.get("x-request-id").cloned().unwrap_or_default();
    begun.lock().expect("no panic").push((Instant::now(), id));
    sleep(pace.work).await;
    let (framing, length) = requested_answer(&path);
    let (head, trailer) = match framing {
        "chunked" => (format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n"), "\r\n0\r\n\r\n"),
        "close" => ("Connection: close\r\n\r\n".to_owned(), ""),
        _ => (format!("Content-Length: {length}\r\n\r\n"), ""),
    };
    let stream = stream.get_mut();
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}").as_bytes()).await.ok()?;
    write_paced(stream, length, pace.write_rate).await?;
    stream.write_all(trailer.as_bytes()).await.ok()?;
    (framing != "close").then_some(())
}

/// Framing and length of the answer that a path such as `/unsafe?length=100` asks for.
fn requested_answer(path: &str) -> (&str, usize) {
    let (framing, length) = path.split_once('?').and_then(|p| p.1.split_once('=')).unwrap_or(("length", "0"));
    (framing, length.parse().expect("a length"))
}

async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<(String, HashMap<String, String>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let path = lines.first()?.split(' ').nth(1)?.to_owned();
    let headers = lines.iter().skip(1).filter_map(|line| line.split_once(": "));
    Some((path, headers.map(|(name, value)| (name.to_lowercase(), value.to_owned())).collect()))
}

/// Reads at most at a given rate.
struct PacedReader {
    rate: Option<usize>,
    started: Instant,
    read: usize,
}

impl PacedReader {
    async fn read(&mut self, stream: &mut BufReader<TcpStream>, mut length: usize) -> Option<()> {
        let mut piece = [0; PIECE];
        while length > 0 {
            let part = length.min(PIECE);
            let n = stream.read(&mut piece[..part]).await.ok().filter(|n| *n > 0)?;
            length -= n;
            self.read += n;
            if let Some(rate) = self.rate {
                sleep_until(self.started + Duration::from_secs_f64(self.read as f64 / rate as f64)).await;
            }
        }
        Some(())
    }
}

async fn read_body(
    stream: &mut BufReader<TcpStream>,
    headers: &HashMap<String, String>,
    rate: Option<usize>,
) -> Option<()> {
    let mut paced = PacedReader { rate, started: Instant::now(), read: 0 };
    if let Some(length) = headers.get("content-length") {
        return paced.read(stream, length.parse().ok()?).await;
    }
    if !headers.contains_key("transfer-encoding") {
        return Some(());
    }
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        paced.read(stream, size + 2).await?;
        if size == 0 {
            return Some(());
        }
    }
}

/// Writes content of this length.
async fn write_paced(stream: &mut TcpStream, length: usize, rate: Option<usize>) -> Option<()> {
    let started = Instant::now();
    let mut written = 0;
    while written < length {
        let part = PIECE.min(length - written);
        stream.write_all(&[b'x'; PIECE][..part]).await.ok()?;
        written += part;
        if let Some(rate) = rate {
            sleep_until(started + Duration::from_secs_f64(written as f64 / rate as f64)).await;
        }
    }
    Some(())
}
