//! The same mix of orders over HTTP, framed binary, framed compact and unframed binary Thrift, to servers
//! that behave the same for the same order: each order has the same outcome and number of attempts,
//! whatever the protocol.

use birchswitch_standin::scripted::*;
use birchswitch_thrift::detect::Dialect;
use birchswitch_thrift::walk::{self, Paths, Value};
use birchswitch_thrift::write::{self, ExceptionType, Writer};
use birchswitch_thrift::{frame, Limits, MessageType, Protocol, ValueType};
use birchswitch_thrift_proxy::MessageDecoder;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A server's behavior for one attempt of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    Serve,
    /// Refuse with proof that the request did not run.
    Refuse,
    Fail,
    /// Close the connection without an answer.
    Break,
    /// Never answer.
    Freeze,
}

use Behavior::*;

const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];
/// Behaviors by attempt; the last one applies to all further attempts.
const BEHAVIORS: [&[Behavior]; 8] = [
    &[Serve],
    &[Refuse, Serve],
    &[Refuse],
    &[Fail, Serve],
    &[Fail],
    &[Break, Serve],
    &[Refuse, Break, Serve],
    &[Freeze],
];

/// An order's text: the index of its behaviors, and a unique number.
fn order_text(behaviors: usize, number: usize) -> String {
    format!("{behaviors}-{number}")
}

/// The number of attempts of each order that reached a server.
type AttemptCounts = Arc<Mutex<BTreeMap<String, usize>>>;

/// Counts an attempt of an order and returns the behavior for it.
fn next_behavior(attempts: &AttemptCounts, text: &str) -> Behavior {
    let behaviors = BEHAVIORS[text.split('-').next().and_then(|d| d.parse().ok()).unwrap_or(0)];
    let mut attempts = attempts.lock().expect("no test panicked here");
    let count = attempts.entry(text.to_owned()).or_default();
    *count += 1;
    behaviors[(*count - 1).min(behaviors.len() - 1)]
}

/// Serves HTTP on each accepted connection.
async fn serve_http(peer: Peer, attempts: AttemptCounts) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let (mut wire, attempts) = (peer.accept().await, attempts.clone());
        connections.spawn(async move {
            while let Some(request) = wire.read().await {
                let text = request.start.split(['/', ' ']).nth(3).unwrap_or_default().to_owned();
                match next_behavior(&attempts, &text) {
                    Serve => wire.answer("200 OK", "", &text).await,
                    Refuse => wire.answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "").await,
                    Fail => wire.answer("500 Internal Server Error", "", "").await,
                    Break => return,
                    Freeze => std::future::pending().await,
                }
            }
        });
    }
}

/// Serves framed binary Thrift on each accepted connection.
async fn serve_thrift(peer: Peer, attempts: AttemptCounts) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let (mut wire, attempts) = (peer.accept().await, attempts.clone());
        connections.spawn(async move {
            while let Some(call) = wire.frame().await {
                let (limits, paths) = (Limits::default(), Paths::new([[1i16]]));
                let call = walk::framed_message(Protocol::Binary, &call, &paths, &limits).expect("a call");
                let Some(Value::Binary(text)) = call.values[0] else { panic!("no text") };
                let text = String::from_utf8_lossy(text).into_owned();
                let exception = |kind| {
                    let mut bytes = vec![0; frame::HEADER_LEN];
                    write::exception(&mut bytes, Protocol::Binary, &call.header, kind, "");
                    frame::write_length(&mut bytes);
                    bytes
                };
                match next_behavior(&attempts, &text) {
                    Serve => {
                        let header = call.header;
                        let reply = message(
                            Protocol::Binary,
                            true,
                            MessageType::Reply,
                            header.name,
                            header.seqid,
                            &text,
                        );
                        wire.write_bytes(&reply).await;
                    }
                    Refuse => wire.write_bytes(&exception(ExceptionType::UnknownMethod)).await,
                    Fail => wire.write_bytes(&exception(ExceptionType::InternalError)).await,
                    Break => return,
                    Freeze => std::future::pending().await,
                }
            }
        });
    }
}

fn message(
    protocol: Protocol,
    framed: bool,
    kind: MessageType,
    name: &str,
    seqid: i32,
    text: &str,
) -> Vec<u8> {
    fn fill(writer: &mut impl Writer, kind: MessageType, name: &str, seqid: i32, text: &str) {
        writer.header(kind, name, seqid, true);
        writer.field(ValueType::Binary, 1, 0, None);
        writer.binary(text.as_bytes());
        writer.stop();
    }
    let mut bytes = vec![0; if framed { frame::HEADER_LEN } else { 0 }];
    match protocol {
        Protocol::Binary => fill(&mut write::Binary(&mut bytes), kind, name, seqid, text),
        Protocol::Compact => fill(&mut write::Compact(&mut bytes), kind, name, seqid, text),
    }
    if framed {
        frame::write_length(&mut bytes);
    }
    bytes
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    Refused,
    Failed,
}

/// Places an order over HTTP.
async fn over_http(address: SocketAddr, class: &str, text: &str) -> Outcome {
    let mut wire = Connection::connect(address).await;
    let method = if class == "safe" { "GET" } else { "POST" };
    let head = format!(
        "{method} /{class}/{text} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {text}\r\nX-Timeout: 1000m\r\n"
    );
    wire.write(&format!("{head}X-Tenant-Id: one\r\nIdempotency-Key: {text}\r\nContent-Length: 0\r\n\r\n"))
        .await;
    let answer = wire.read().await.expect("an answer");
    match answer.status() {
        200 => {
            assert_eq!(answer.body, text.as_bytes());
            Outcome::Served
        }
        503 => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// Places an order over Thrift, in a dialect that the node detects.
async fn over_thrift(address: SocketAddr, dialect: Dialect, class: &str, text: &str) -> Outcome {
    let mut stream = TcpStream::connect(address).await.expect("the node");
    let call = message(dialect.protocol, dialect.framed, MessageType::Call, class, 3, text);
    stream.write_all(&call).await.expect("writing");
    let mut messages = MessageDecoder::new(Some(dialect), Limits::default());
    let reply = loop {
        if let Some(reply) = messages.next_message().expect("a reply") {
            break reply;
        }
        let read = within("a reply", stream.read_buf(messages.read_buffer())).await;
        assert!(read.is_ok_and(|n| n > 0), "the connection ended");
    };
    let (limits, paths) = (Limits::default(), Paths::new([[1i16], [2]]));
    let reply = walk::framed_message(dialect.protocol, &reply, &paths, &limits).expect("a reply");
    assert_eq!((reply.header.name, reply.header.seqid), (class, 3));
    match (reply.header.kind, reply.values[1].and_then(|v| v.integer())) {
        (MessageType::Reply, _) => {
            assert_eq!(reply.values[0], Some(Value::Binary(text.as_bytes())));
            Outcome::Served
        }
        (_, Some(kind)) if kind == ExceptionType::MissingResult as i64 => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// The Thrift protocols of clients, with framing. Each, like HTTP, has its own servers and balancer state.
const THRIFT_PROTOCOLS: [(Protocol, bool); 3] =
    [(Protocol::Binary, true), (Protocol::Compact, true), (Protocol::Binary, false)];

/// Starts three servers for one protocol and returns their list entries.
async fn servers(
    protocol_index: usize,
    attempts: &AttemptCounts,
    serving: &mut tokio::task::JoinSet<()>,
) -> Vec<serde_json::Value> {
    let mut members = Vec::new();
    for id in ["a", "b", "c"] {
        let peer = Peer::new().await;
        members.push(member(id, peer.address(), "active"));
        match protocol_index {
            0 => serving.spawn(serve_http(peer, attempts.clone())),
            _ => serving.spawn(serve_thrift(peer, attempts.clone())),
        };
    }
    members
}

/// Places one order over every protocol, each with fresh balancer state; returns each one's outcome and the
/// number of attempts that reached a server.
async fn place_everywhere(class: &str, behaviors: usize) -> Vec<(Outcome, usize)> {
    let mut settings = settings();
    for profile in settings["profiles"].as_array_mut().expect("classes") {
        profile["deadline_ns"] = json!(1_000_000_000u64);
    }
    let mut serving = tokio::task::JoinSet::new();
    let (mut discoveries, mut attempts) = (Vec::new(), Vec::new());
    for _ in 0..=THRIFT_PROTOCOLS.len() {
        discoveries.push(Peer::new().await);
        attempts.push(AttemptCounts::default());
    }
    let listener = |protocol_index: usize, discovery: &Peer| {
        format!(
            "[[thrift]]
             name = 'way{protocol_index}'
             listen = '127.0.0.1:0'
             tenant = 'one'
             connections = 16
             memory_mb = 4
             methods.safe.class = 'safe'
             methods.keyed = {{ class = 'keyed', key = '1' }}
             methods.unsafe.class = 'unsafe'
             [thrift.servers]
             dialect = 'framed-binary'
             connections = 16
             discovery = '{}'
             never_ran = ['unknown-method']\n",
            discovery.address()
        )
    };
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    for (protocol_index, discovery) in discoveries.iter().enumerate().skip(1) {
        file.write_all(listener(protocol_index, discovery).as_bytes()).expect("a file");
    }
    let config = json!({
        "name": "n", "listen": "127.0.0.1:0", "discovery": discoveries[0].address().to_string(), "seed": "1f",
        "limits": {"sockets": 1024, "memory_mb": 64}, "settings": settings,
    });
    let path = file.path().to_str().expect("a path");
    let mut node = Node::with_config(config, &[("GW_OPERATOR", path)]).await;
    let mut thrift_addresses = Vec::new();
    for protocol_index in 1..=THRIFT_PROTOCOLS.len() {
        let line = node.wait_for_log(&format!("way{protocol_index}: listening on ")).await;
        thrift_addresses.push(line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address"));
    }
    let mut watches = Vec::new();
    for (protocol_index, discovery) in discoveries.iter().enumerate() {
        let members = servers(protocol_index, &attempts[protocol_index], &mut serving).await;
        let (mut watch, _) = discovery.watch().await;
        watch.list(1, true, &members).await;
        watches.push(watch);
        match protocol_index {
            0 => node.wait_until_ready().await,
            _ => drop(node.wait_for_log(&format!("way{protocol_index}: holds a list")).await),
        }
    }
    let order = order_text(behaviors, 1);
    let mut outcomes = vec![over_http(node.address, class, &order).await];
    for ((protocol, framed), thrift_address) in THRIFT_PROTOCOLS.iter().zip(thrift_addresses) {
        let dialect = Dialect { protocol: *protocol, framed: *framed };
        outcomes.push(over_thrift(thrift_address, dialect, class, &order).await);
    }
    let counts = attempts.iter().map(|r| r.lock().expect("no panic").get(&order).copied().unwrap_or(0));
    outcomes.into_iter().zip(counts).collect()
}

#[tokio::test]
async fn the_same_orders_have_the_same_outcomes_over_http_and_thrift() {
    for (class, behaviors) in CLASSES.iter().flat_map(|c| (0..BEHAVIORS.len()).map(move |d| (*c, d))) {
        let outcomes = place_everywhere(class, behaviors).await;
        println!("{class:<7}{:?}: {:?}", BEHAVIORS[behaviors], outcomes[0]);
        let same = outcomes.iter().all(|o| *o == outcomes[0]);
        assert!(same, "{class} {:?}, over HTTP and {THRIFT_PROTOCOLS:?}: {outcomes:?}", BEHAVIORS[behaviors]);
        if class == "unsafe" {
            let runs = BEHAVIORS[behaviors].iter().take(outcomes[0].1).filter(|d| **d != Refuse).count();
            assert!(runs <= 1, "an unsafe order may have run {runs} times");
        }
    }
}
