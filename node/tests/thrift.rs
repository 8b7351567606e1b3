//! Thrift calls through a node, with clients and servers scripted byte by byte.

use birchswitch_standin::scripted::*;
use birchswitch_thrift::walk::{self, Paths, Value};
use birchswitch_thrift::write::{self, ExceptionType, Writer};
use birchswitch_thrift::{frame, Limits, MessageType, Protocol, ValueType};
use serde_json::json;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// A client that waits for 900 ms is owed its answer half a second later at the latest.
const ANSWER_TIME: Duration = Duration::from_millis(1400);
/// Slots for clients, where a test fills them.
const SLOTS: u32 = 4;

/// A message whose struct holds one string in field 1, framed.
fn message(protocol: Protocol, kind: MessageType, name: &str, seqid: i32, text: &str) -> Vec<u8> {
    fn fill(writer: &mut impl Writer, kind: MessageType, name: &str, seqid: i32, text: &str) {
        writer.header(kind, name, seqid, true);
        writer.field(ValueType::Binary, 1, 0, None);
        writer.binary(text.as_bytes());
        writer.stop();
    }
    let mut bytes = vec![0; frame::HEADER_LEN];
    match protocol {
        Protocol::Binary => fill(&mut write::Binary(&mut bytes), kind, name, seqid, text),
        Protocol::Compact => fill(&mut write::Compact(&mut bytes), kind, name, seqid, text),
    }
    frame::write_length(&mut bytes);
    bytes
}

fn call(name: &str, seqid: i32, text: &str) -> Vec<u8> {
    message(Protocol::Binary, MessageType::Call, name, seqid, text)
}

fn reply(name: &str, seqid: i32, text: &str) -> Vec<u8> {
    message(Protocol::Binary, MessageType::Reply, name, seqid, text)
}

/// A decoded message: type, name, sequence id, field 1 (a text) and field 2 (a number).
#[derive(Debug, PartialEq, Eq)]
struct DecodedMessage {
    kind: MessageType,
    name: String,
    seqid: i32,
    text: String,
    number: Option<i64>,
}

fn decode(bytes: &[u8]) -> DecodedMessage {
    let limits = Limits::default();
    let protocol = if bytes[0] == 0x82 { Protocol::Compact } else { Protocol::Binary };
    let paths = Paths::new([[1i16], [2]]);
    let message = walk::framed_message(protocol, bytes, &paths, &limits).expect("a message");
    let text = match message.values[0] {
        Some(Value::Binary(text)) => String::from_utf8_lossy(text).into_owned(),
        _ => String::new(),
    };
    let number = message.values[1].and_then(|v| v.integer());
    let header = message.header;
    DecodedMessage { kind: header.kind, name: header.name.to_owned(), seqid: header.seqid, text, number }
}

async fn next(wire: &mut Connection) -> DecodedMessage {
    decode(&wire.frame().await.expect("a message"))
}

/// A node with one Thrift listener.
struct ThriftNode {
    node: Node,
    address: SocketAddr,
    /// Discovery for HTTP and for Thrift, each with its watch.
    discoveries: (Peer, Watch, Peer, Watch),
    _file: tempfile::NamedTempFile,
}

impl ThriftNode {
    async fn new(servers: &[(&str, &Peer)], extra: &str) -> Self {
        ThriftNode::with(servers, extra, "").await
    }

    /// With additional settings of the listener and of its servers.
    async fn with(servers: &[(&str, &Peer)], extra: &str, server_settings: &str) -> Self {
        ThriftNode::with_site(settings(), servers, extra, server_settings).await
    }

    /// With the site's own settings.
    async fn with_site(
        site: serde_json::Value,
        servers: &[(&str, &Peer)],
        extra: &str,
        server_settings: &str,
    ) -> Self {
        let (http, thrift) = (Peer::new().await, Peer::new().await);
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        let operator = format!(
            "[[thrift]]
             name = 'orders'
             listen = '127.0.0.1:0'
             tenant = 'one'
             {extra}
             [thrift.methods]
             browse = {{ class = 'safe' }}
             buy = {{ class = 'unsafe' }}
             topup = {{ class = 'keyed', key = '1' }}
             seen = {{ class = 'unsafe' }}
             hurried = {{ class = 'unsafe', deadline_ms = '2' }}
             [thrift.servers]
             dialect = 'framed-binary'
             discovery = '{}'
             never_ran = ['unknown-method']
             {server_settings}",
            thrift.address()
        );
        file.write_all(operator.as_bytes()).expect("a file");
        let config = json!({
            "name": "n", "listen": "127.0.0.1:0", "discovery": http.address().to_string(), "seed": "1f",
            "limits": {"sockets": 1024, "memory_mb": 64}, "settings": site,
        });
        let path = file.path().to_str().expect("a path");
        let mut node = Node::with_config(config, &[("GW_OPERATOR", path)]).await;
        let line = node.wait_for_log("thrift orders: listening on ").await;
        let address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        let (http_watch, _) = http.watch().await;
        let (mut watch, _) = thrift.watch().await;
        let members: Vec<_> = servers.iter().map(|s| member(s.0, s.1.address(), "active")).collect();
        watch.list(1, true, &members).await;
        node.wait_for_log("thrift orders: holds a list").await;
        ThriftNode { node, address, discoveries: (http, http_watch, thrift, watch), _file: file }
    }

    async fn client(&self) -> Connection {
        Connection::connect(self.address).await
    }
}

/// Connects a client, and has its call answered.
async fn call_on_new_connection(thrift_node: &ThriftNode, server: &Peer) {
    let mut client = thrift_node.client().await;
    client.write_bytes(&call("buy", 1, "order")).await;
    let mut wire = server.accept().await;
    let got = next(&mut wire).await;
    wire.write_bytes(&reply("buy", got.seqid, "done")).await;
    assert_eq!(next(&mut client).await.text, "done");
}

/// The server that is called, and the other one.
async fn accept_call<'a>(one: &'a Peer, two: &'a Peer) -> (Connection, &'a Peer) {
    tokio::select! {
        wire = one.accept() => (wire, two),
        wire = two.accept() => (wire, one),
    }
}

#[tokio::test]
async fn a_call_and_its_reply_are_forwarded_with_only_the_sequence_id_changed() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut client = thrift_node.client().await;
    for seqid in [7, -1, 7] {
        client.write_bytes(&call("shop:buy", seqid, "gem é")).await;
        let mut wire = server.accept().await;
        let got = next(&mut wire).await;
        assert_eq!(
            (got.kind, got.name.as_str(), got.text.as_str()),
            (MessageType::Call, "shop:buy", "gem é")
        );
        wire.write_bytes(&reply("buy", got.seqid, "done")).await;
        let answer = next(&mut client).await;
        let name = "buy".to_owned();
        let wanted =
            DecodedMessage { kind: MessageType::Reply, name, seqid, text: "done".into(), number: None };
        assert_eq!(answer, wanted);
        // A connection closed by the server is not reused, and the node closes it too.
        wire.close().await;
    }
}

/// Replies are sent as they arrive, whatever the order of the calls.
#[tokio::test]
async fn several_calls_in_flight_are_answered_as_they_complete() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut client = thrift_node.client().await;
    let mut wires = Vec::new();
    for seqid in 1..=3 {
        client.write_bytes(&call("buy", seqid, &format!("order {seqid}"))).await;
        let mut wire = server.accept().await;
        let got = next(&mut wire).await;
        wires.push((wire, got));
    }
    for (mut wire, got) in wires.into_iter().rev() {
        wire.write_bytes(&reply("buy", got.seqid, &got.text)).await;
        let answer = next(&mut client).await;
        assert_eq!(answer.text, format!("order {}", answer.seqid));
        assert_eq!(answer.text, got.text);
    }
}

/// A oneway call gets no reply, and calls behind it are sent only after it.
#[tokio::test]
async fn a_oneway_among_calls_keeps_its_order() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut client = thrift_node.client().await;
    let compact = |kind, name, seqid, text| message(Protocol::Compact, kind, name, seqid, text);
    let mut mix = compact(MessageType::Call, "buy", 1, "a");
    mix.extend(compact(MessageType::Oneway, "seen", 0, "b"));
    mix.extend(compact(MessageType::Call, "buy", 2, "c"));
    client.write_bytes(&mix).await;
    let mut first = server.accept().await;
    let a = next(&mut first).await;
    let mut second = server.accept().await;
    let b = next(&mut second).await;
    assert_eq!((b.kind, b.name.as_str(), b.text.as_str()), (MessageType::Oneway, "seen", "b"));
    // Its connection is free again at once, since there is no reply.
    let c = next(&mut second).await;
    assert_eq!(c.text, "c");
    second.write_bytes(&reply("buy", c.seqid, "c")).await;
    assert_eq!(next(&mut client).await.seqid, 2);
    first.write_bytes(&reply("buy", a.seqid, "a")).await;
    assert_eq!(next(&mut client).await.seqid, 1);
}

/// A call that a server may have run is not sent to another, and the client is told that its outcome is
/// unknown.
#[tokio::test]
async fn invalid_replies_fail_an_unsafe_call() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let thrift_node = ThriftNode::new(&[("one", &one), ("two", &two)], "").await;
    let mut client = thrift_node.client().await;
    type Answering = fn(i32) -> Vec<u8>;
    let cases: [(&str, Answering); 7] = [
        ("a foreign sequence id", |seqid| reply("buy", seqid + 1, "x")),
        ("another method", |seqid| reply("topup", seqid, "x")),
        ("a call", |seqid| call("buy", seqid, "x")),
        ("two replies", |seqid| [reply("buy", seqid, "x"), reply("buy", seqid, "y")].concat()),
        ("a length below zero", |_| vec![0xff; 8]),
        ("a length that is too short", |seqid| {
            let mut bytes = reply("buy", seqid, "x");
            bytes[3] -= 3;
            bytes
        }),
        ("an exception that proves nothing", |seqid| {
            message(Protocol::Binary, MessageType::Exception, "buy", seqid, "oops")
        }),
    ];
    for (seqid, (what, answering)) in (1..).zip(cases) {
        client.write_bytes(&call("buy", seqid, "order")).await;
        let (mut wire, other) = accept_call(&one, &two).await;
        let got = next(&mut wire).await;
        wire.write_bytes(&answering(got.seqid)).await;
        let answer = next(&mut client).await;
        assert_eq!((answer.kind, answer.seqid), (MessageType::Exception, seqid), "{what}");
        assert_eq!(answer.number, Some(ExceptionType::InternalError as i64), "{what}: {answer:?}");
        assert!(answer.text.starts_with("failed: "), "{what}: {answer:?}");
        assert!(other.has_no_connection().await, "{what}: sent again");
        if !what.contains("exception") {
            wire.wait_closed().await; // The connection is not reused.
        }
    }
}

/// A server freezes in the middle of a frame: the deadline passes, and the call is not sent elsewhere.
#[tokio::test]
async fn a_stalled_frame_times_out() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let thrift_node = ThriftNode::new(&[("one", &one), ("two", &two)], "").await;
    let mut client = thrift_node.client().await;
    let mut short_deadline = vec![0; frame::HEADER_LEN];
    let mut writer = write::Binary(&mut short_deadline);
    writer.header(MessageType::Call, "hurried", 5, true);
    writer.field(ValueType::I32, 2, 0, None);
    writer.i32(300);
    writer.stop();
    frame::write_length(&mut short_deadline);
    client.write_bytes(&short_deadline).await;
    let (mut wire, other) = accept_call(&one, &two).await;
    let got = next(&mut wire).await;
    let whole = reply("hurried", got.seqid, "done");
    wire.write_bytes(&whole[..whole.len() - 3]).await;
    let answer = next(&mut client).await;
    assert_eq!((answer.seqid, answer.number), (5, Some(ExceptionType::Unknown as i64)));
    assert!(answer.text.starts_with("timed out: "), "{answer:?}");
    assert!(other.has_no_connection().await, "sent again");
    wire.expect_closed().await;
}

/// An exception listed in `never_ran` proves that the call did not run: even an unsafe call is retried at
/// another server.
#[tokio::test]
async fn a_listed_exception_causes_a_retry() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let thrift_node = ThriftNode::new(&[("one", &one), ("two", &two)], "").await;
    let mut client = thrift_node.client().await;
    client.write_bytes(&call("buy", 1, "order")).await;
    let (mut wire, other) = accept_call(&one, &two).await;
    let got = next(&mut wire).await;
    let limits = Limits::default();
    let bytes = call("buy", got.seqid, "order");
    let header = walk::header(Protocol::Binary, &bytes[frame::HEADER_LEN..], &limits).expect("a header");
    let mut refusal = vec![0; frame::HEADER_LEN];
    write::exception(&mut refusal, Protocol::Binary, &header, ExceptionType::UnknownMethod, "who?");
    frame::write_length(&mut refusal);
    wire.write_bytes(&refusal).await;
    let mut second = other.accept().await;
    let again = next(&mut second).await;
    assert_eq!(again.text, "order");
    second.write_bytes(&reply("buy", again.seqid, "done")).await;
    assert_eq!(next(&mut client).await.text, "done");
}

/// A refusal states that the call did not run and when to retry.
#[tokio::test]
async fn a_refusal_says_how_long_to_wait() {
    let thrift_node = ThriftNode::new(&[("s", &Peer::unreachable().await)], "").await;
    let mut client = thrift_node.client().await;
    client.write_bytes(&call("buy", 9, "order")).await;
    let answer = next(&mut client).await;
    assert_eq!((answer.seqid, answer.number), (9, Some(ExceptionType::MissingResult as i64)));
    assert!(answer.text.starts_with("refused: ") && answer.text.ends_with("in 1.500 s"), "{answer:?}");
}

/// Two calls with one sequence id are handled one after the other: the client could not tell their replies
/// apart.
#[tokio::test]
async fn a_call_with_an_open_sequence_id_waits() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut client = thrift_node.client().await;
    client.write_bytes(&[call("buy", 4, "first"), call("buy", 4, "second")].concat()).await;
    let mut wire = server.accept().await;
    let first = next(&mut wire).await;
    assert_eq!(first.text, "first");
    assert!(server.has_no_connection().await, "the second was sent beside the first");
    wire.write_bytes(&reply("buy", first.seqid, "first")).await;
    assert_eq!(next(&mut client).await.text, "first");
    let second = next(&mut wire).await;
    assert_eq!(second.text, "second");
    wire.write_bytes(&reply("buy", second.seqid, "second")).await;
    assert_eq!(next(&mut client).await.text, "second");
}

/// A client leaves with calls in flight. Servers may finish them, their replies are discarded, and the next
/// client's call with the same sequence id gets its own reply.
#[tokio::test]
async fn a_departing_client_affects_no_other() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut client = thrift_node.client().await;
    let mut wires = Vec::new();
    for seqid in 1..=3 {
        client.write_bytes(&call("buy", seqid, "left")).await;
        let mut wire = server.accept().await;
        let got = next(&mut wire).await;
        wires.push((wire, got.seqid));
    }
    drop(client);
    let mut client = thrift_node.client().await;
    client.write_bytes(&call("buy", 1, "order")).await;
    let mut fresh = server.accept().await;
    let got = next(&mut fresh).await;
    assert_eq!(got.text, "order");
    for (wire, seqid) in &mut wires {
        wire.write_bytes(&reply("buy", *seqid, "left")).await;
    }
    fresh.write_bytes(&reply("buy", got.seqid, "done")).await;
    let answer = next(&mut client).await;
    assert_eq!((answer.seqid, answer.text.as_str()), (1, "done"));
}

/// A client leaves while its second call waits for the first to finish: the second is never sent.
#[tokio::test]
async fn a_waiting_call_of_a_departed_client_is_not_sent() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut client = thrift_node.client().await;
    let calls = ["first", "second", "third"].map(|text| call("buy", 4, text));
    client.write_bytes(&calls.concat()).await;
    let mut wire = server.accept().await;
    let first = next(&mut wire).await;
    assert_eq!(first.text, "first");
    client.shutdown_write().await;
    client.expect_closed().await; // The node has noticed the departure.
    wire.write_bytes(&reply("buy", first.seqid, "first")).await;
    let mut other = thrift_node.client().await;
    other.write_bytes(&call("buy", 4, "another's")).await;
    let sent = tokio::select! {
        Some(sent) = wire.frame() => decode(&sent),
        mut wire = server.accept() => next(&mut wire).await,
    };
    assert_eq!(sent.text, "another's");
}

/// The node shuts down its sending side first: a client that is still writing is not reset as it gets the
/// last reply.
#[tokio::test]
async fn the_sending_side_is_closed_first() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut unknown = call("buy", 3, "x");
    unknown[7] = 2; // A reply.
    let mut client = thrift_node.client().await;
    client.write_bytes(&unknown).await;
    let answer = next(&mut client).await;
    assert_eq!((answer.seqid, answer.number), (3, Some(ExceptionType::InvalidMessageType as i64)));
    client.expect_closed().await; // The sending side is shut down; the node still reads.
    client.write_bytes(b"late").await;
    client.write_bytes(b"later").await; // This write would fail after a reset.
}

/// The idle timeout expires and a call arrives while the node's process is stopped.
#[tokio::test]
async fn a_call_that_arrives_at_the_idle_timeout_is_answered() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "idle_ms = 500").await;
    let mut client = thrift_node.client().await;
    client.write_bytes(&call("buy", 1, "order")).await;
    let mut wire = server.accept().await;
    answer_next(&mut wire, "one").await;
    assert_eq!(next(&mut client).await.text, "one");
    thrift_node.node.signal("STOP").await;
    // Any longer time does as well.
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    client.write_bytes(&call("buy", 2, "order")).await;
    thrift_node.node.signal("CONT").await;
    answer_next(&mut wire, "two").await;
    assert_eq!(next(&mut client).await.text, "two");
}

/// Calls on an idle connection and on one in the listen backlog arrive just as the node closes.
#[tokio::test]
async fn calls_that_arrive_as_connections_close_are_answered() {
    let server = Peer::new().await;
    let mut thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut client = thrift_node.client().await;
    client.write_bytes(&call("buy", 1, "order")).await;
    let mut wire = server.accept().await;
    answer_next(&mut wire, "one").await;
    assert_eq!(next(&mut client).await.text, "one");
    drop(wire);
    thrift_node.node.signal("TERM").await;
    thrift_node.node.wait_for_log("leaving").await;
    thrift_node.node.signal("STOP").await;
    client.write_bytes(&call("buy", 2, "order")).await;
    let mut fresh = thrift_node.client().await;
    fresh.write_bytes(&call("buy", 2, "order")).await;
    // Longer than the accept period and the closing after it.
    tokio::time::sleep(std::time::Duration::from_millis(800)).await;
    thrift_node.node.signal("CONT").await;
    let (mut one, mut two) = (server.accept().await, server.accept().await);
    for wire in [&mut one, &mut two] {
        answer_next(wire, "served").await;
    }
    for client in [&mut client, &mut fresh] {
        assert_eq!(next(client).await.text, "served");
    }
    assert!(thrift_node.node.wait_for_exit().await.success());
}

/// Answers the next call.
async fn answer_next(wire: &mut Connection, text: &str) {
    let got = next(wire).await;
    wire.write_bytes(&reply("buy", got.seqid, text)).await;
}

/// Calls of the maximum size, far more than fit into memory: the node stops reading when memory is used up,
/// and all calls are answered, served or refused.
#[tokio::test]
async fn memory_is_bounded_by_not_reading() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "pipeline = 200\nmemory_mb = 8").await;
    const CLIENTS: usize = 10;
    const CALLS: i32 = 100;
    let text = "x".repeat(60 << 10);
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..CLIENTS {
        let (client, text) = (thrift_node.client().await, text.clone());
        clients.spawn(async move {
            let (mut reading, mut writing) = client.split();
            let all = async {
                for seqid in 0..CALLS {
                    writing.write_bytes(&call("buy", seqid, &text)).await;
                }
            };
            let answers = async {
                let mut served = 0;
                for _ in 0..CALLS {
                    let answer = decode(&reading.frame().await.expect("an answer"));
                    match answer.kind {
                        MessageType::Reply => assert_eq!(answer.text.len(), text.len()),
                        // More calls than server connections can take.
                        _ => assert!(answer.text.starts_with("refused: "), "{answer:?}"),
                    }
                    served += u32::from(answer.kind == MessageType::Reply);
                }
                served
            };
            tokio::join!(all, answers).1
        });
    }
    let serving = async {
        let mut served = tokio::task::JoinSet::new();
        // Nothing is answered until no more calls arrive: by then the node holds as many as it can.
        let mut held = Vec::new();
        while let Ok(wire) = tokio::time::timeout(std::time::Duration::from_secs(1), server.accept()).await {
            held.push(wire);
        }
        let calls = held.len();
        for wire in held {
            served.spawn(echo(wire));
        }
        served.spawn(async move { assert!(calls < 100, "{calls} calls of 60 KiB in 8 MiB") });
        loop {
            tokio::select! {
                wire = server.accept() => drop(served.spawn(echo(wire))),
                Some(done) = served.join_next() => done.expect("a good server"),
            }
        }
    };
    async fn echo(mut wire: Connection) {
        while let Some(bytes) = wire.frame().await {
            let got = decode(&bytes);
            wire.write_bytes(&reply("buy", got.seqid, &got.text)).await;
        }
    }
    tokio::select! {
        _ = serving => unreachable!("the server loop never ends"),
        all = clients.join_all() => {
            let served: u32 = all.iter().sum();
            println!("{served} of {} served", CLIENTS as i32 * CALLS);
            assert!(served > 0);
        }
    }
    let peak = thrift_node.node.memory_peak();
    println!("peak {peak} KiB");
    assert!(peak < MEMORY_MB << 10, "{peak} KiB");
}

/// 10,000 pipelined calls, of which the node holds a few at a time: each is answered once.
#[tokio::test]
async fn a_long_pipeline_is_served_in_portions() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "pipeline = 8").await;
    const CALLS: i32 = 10_000;
    let client = thrift_node.client().await;
    let serving = async {
        let mut served = tokio::task::JoinSet::new();
        loop {
            let mut wire = server.accept().await;
            served.spawn(async move {
                while let Some(bytes) = wire.frame().await {
                    let got = decode(&bytes);
                    wire.write_bytes(&reply("browse", got.seqid, &got.text)).await;
                }
            });
            assert!(served.len() <= 16, "more connections than open calls and their predecessors");
        }
    };
    let asking = async {
        // Written in portions between reads: the node reads no more than it can hold.
        let mut socket = client;
        let all: Vec<u8> = (0..CALLS).flat_map(|seqid| call("browse", seqid, &seqid.to_string())).collect();
        let mut seen = vec![false; CALLS as usize];
        let (mut written, mut answered) = (0, 0);
        while answered < CALLS {
            if written < all.len() {
                let end = (written + 20_000).min(all.len());
                socket.write_bytes(&all[written..end]).await;
                written = end;
            }
            let due = if written < all.len() { answered + 200 } else { CALLS };
            while answered < due.min(CALLS) {
                let got = next(&mut socket).await;
                assert_eq!((got.kind, got.text), (MessageType::Reply, got.seqid.to_string()));
                assert!(!std::mem::replace(&mut seen[got.seqid as usize], true), "answered twice");
                answered += 1;
            }
        }
    };
    tokio::select! {
        _ = serving => unreachable!("the server loop never ends"),
        () = asking => {}
    }
}

/// If name and sequence id are readable, an exception describes the error; otherwise the connection ends.
#[tokio::test]
async fn malformed_messages_are_rejected() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut depth = vec![0; frame::HEADER_LEN];
    write::Binary(&mut depth).header(MessageType::Call, "buy", 3, true);
    depth.extend(b"\x0c\x00\x01".repeat(200));
    frame::write_length(&mut depth);
    let mut excess = call("buy", 3, "x");
    excess.push(0);
    frame::write_length(&mut excess);
    let mut unknown = call("buy", 3, "x");
    unknown[7] = 2; // A reply.
    for (bytes, kind) in [
        (depth, ExceptionType::ProtocolError),
        (excess, ExceptionType::ProtocolError),
        (unknown, ExceptionType::InvalidMessageType),
    ] {
        let mut client = thrift_node.client().await;
        client.write_bytes(&bytes).await;
        let answer = next(&mut client).await;
        assert_eq!((answer.seqid, answer.number), (3, Some(kind as i64)), "{answer:?}");
        client.wait_closed().await;
    }
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 16], &[0x7f; 16], b"\0\0\0\x05\x80\x01\x00\x09\x00"]
    {
        let mut client = thrift_node.client().await;
        client.write_bytes(bytes).await;
        client.wait_closed().await;
    }
    // Valid messages that cannot be served leave the connection open.
    let mut client = thrift_node.client().await;
    for (bytes, kind, text) in [
        (call("sell", 5, "x"), ExceptionType::UnknownMethod, "method sell is not served here"),
        (call("topup", 5, ""), ExceptionType::ProtocolError, "the order key is missing"),
    ] {
        client.write_bytes(&bytes).await;
        let answer = next(&mut client).await;
        assert_eq!((answer.seqid, answer.number, answer.text.as_str()), (5, Some(kind as i64), text));
    }
    assert!(server.has_no_connection().await, "forwarded");
}

/// A partly sent oneway call may have been executed, and no reply would tell: it is not sent again.
#[tokio::test]
async fn a_partly_written_oneway_is_not_resent() {
    let (one, two) = (Peer::with_small_buffer(), Peer::with_small_buffer());
    let large = "message_kb = 3000\nmemory_mb = 8\nconnections = 2";
    let thrift_node = ThriftNode::with(&[("one", &one), ("two", &two)], large, "connections = 4").await;
    let mut client = thrift_node.client().await;
    let text = "x".repeat(2900 << 10);
    client.write_bytes(&message(Protocol::Binary, MessageType::Oneway, "seen", 0, &text)).await;
    let (mut wire, other) = accept_call(&one, &two).await;
    // Part of it was sent. The server reads no more, so most of it cannot be sent, and dies.
    wire.first_byte().await;
    drop(wire);
    client.write_bytes(&call("buy", 1, "order")).await;
    // The next message at either server is the call behind it, and nothing else.
    let (mut wire, _) = accept_call(&one, &two).await;
    let got = next(&mut wire).await;
    assert_eq!((got.name.as_str(), got.text.as_str()), ("buy", "order"));
    wire.write_bytes(&reply("buy", got.seqid, "done")).await;
    assert_eq!(next(&mut client).await.text, "done");
    assert!(other.has_no_connection().await, "sent again");
}

/// Guards against a repeat of a keyed call that begins within the replay window and is complete after it: the second server
/// reads nothing until the window has passed, and may not get the last byte then. A call of 60 kB lies in the system's
/// buffers whole.
#[tokio::test]
async fn no_last_byte_of_a_repeated_call_arrives_after_the_window() {
    for bytes in [60_000, 500_000] {
        last_byte_arrives_in_the_window_or_never(bytes).await;
    }
}

async fn last_byte_arrives_in_the_window_or_never(bytes: usize) {
    let window = Duration::from_millis(1500);
    let mut site = settings();
    site["profiles"][1]["repeat_window_ns"] = json!(window.as_nanos() as u64);
    let (one, two) = (Peer::with_small_buffer(), Peer::with_small_buffer());
    let large = "message_kb = 3000\nmemory_mb = 8\nconnections = 2";
    let servers = [("one", &one), ("two", &two)];
    let thrift_node = ThriftNode::with_site(site, &servers, large, "connections = 4").await;
    let mut client = thrift_node.client().await;
    let text = "k".repeat(bytes);
    let running = async {
        let (mut wire, other) = within("a first attempt", accept_call(&one, &two)).await;
        assert_eq!(next(&mut wire).await.name, "topup");
        wire.reset();
        other.accept().await
    };
    let request = call("topup", 1, &text);
    let ((), mut wire) = tokio::join!(client.write_bytes(&request), running);
    let ran = Instant::now();
    wire.first_byte().await;
    assert!(ran.elapsed() < window, "the machine is too slow for this test");
    tokio::time::sleep_until(ran + window).await;
    let received = wire.read_to_end().await.len() + 1;
    assert!(received < request.len(), "{received} of {} bytes arrived after the window", request.len());
    assert_eq!(next(&mut client).await.kind, MessageType::Exception);
}

/// A restart announced in the list closes the connections made before, even at the same address.
#[tokio::test]
async fn a_restarted_server_is_called_on_new_connections() {
    let server = Peer::new().await;
    let mut thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut client = thrift_node.client().await;
    client.write_bytes(&call("buy", 1, "before")).await;
    let mut old = server.accept().await;
    let got = next(&mut old).await;
    old.write_bytes(&reply("buy", got.seqid, "")).await;
    next(&mut client).await;
    let mut entry = member("s", server.address(), "active");
    entry["up_since_ms"] = json!(1_700_000_000_000u64);
    thrift_node.discoveries.3.list(2, false, &[entry]).await;
    old.expect_closed().await;
    client.write_bytes(&call("buy", 2, "after")).await;
    let mut fresh = server.accept().await;
    let got = next(&mut fresh).await;
    assert_eq!(got.text, "after");
    fresh.write_bytes(&reply("buy", got.seqid, "")).await;
    next(&mut client).await;
}

/// Silent clients, and those that never complete a call, are closed; while silent ones hold all slots,
/// another client still gets in.
#[tokio::test]
async fn silent_and_endless_clients_block_no_other_client() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "connections = 4").await;
    let mut silent = thrift_node.client().await;
    let mut endless = thrift_node.client().await;
    endless.write_bytes(&call("buy", 1, "order")[..20]).await;
    silent.expect_closed().await;
    endless.expect_closed().await;
    let mut idle_clients = Vec::new();
    for _ in 0..12 {
        idle_clients.push(thrift_node.client().await);
    }
    call_on_new_connection(&thrift_node, &server).await;
}

/// Guards against clients that stop in the middle of a call and hold all slots for as long as a call may take to arrive.
#[tokio::test]
async fn clients_that_stop_in_a_call_block_no_other_client() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], &format!("connections = {SLOTS}")).await;
    let mut stopped = Vec::new();
    for _ in 0..2 * SLOTS {
        let mut client = thrift_node.client().await;
        client.write_bytes(&call("buy", 1, "order")[..20]).await;
        stopped.push(client);
    }
    let answering = call_on_new_connection(&thrift_node, &server);
    tokio::time::timeout(ANSWER_TIME, answering).await.expect("an answer in time");
    for mut client in stopped {
        client.expect_closed().await;
    }
}

/// Guards against clients that hold all slots by sending a byte of a call now and then.
#[tokio::test]
async fn clients_that_send_a_call_too_slowly_block_no_other_client() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], &format!("connections = {SLOTS}")).await;
    let mut slow_clients = JoinSet::new();
    for _ in 0..2 * SLOTS {
        let mut client = thrift_node.client().await;
        client.write_bytes(&call("buy", 1, &"order".repeat(100))[..20]).await;
        slow_clients.spawn(async move { client.trickle("x", Duration::from_millis(100)).await });
    }
    let answering = call_on_new_connection(&thrift_node, &server);
    tokio::time::timeout(ANSWER_TIME, answering).await.expect("an answer in time");
    while slow_clients.join_next().await.is_some() {}
}

/// A reply whose struct holds the utilization in field 0 and outstanding requests in field 1.
fn load_reply(name: &str, seqid: i32, busy: f64) -> Vec<u8> {
    let mut out = vec![0; frame::HEADER_LEN];
    let mut writer = write::Binary(&mut out);
    writer.header(MessageType::Reply, name, seqid, true);
    writer.field(ValueType::Double, 0, 0, None);
    writer.double(busy);
    writer.field(ValueType::I32, 1, 0, None);
    writer.i32((busy * 9.0) as i32);
    writer.stop();
    frame::write_length(&mut out);
    out
}

/// Two servers report in every reply that one is idle and the other busy; sends calls until 20 in a row
/// went to the idle one. On a busy machine a report may arrive too late to be used, but without reports
/// such a run has a chance of 1 in 10^6.
async fn calls_move_to_the_idle_server(server_settings: &str, methods: &'static [&'static str]) {
    let (idle, busy) = (Peer::new().await, Peer::new().await);
    let thrift_node = ThriftNode::with(&[("a", &idle), ("b", &busy)], "", server_settings).await;
    let (calls, mut called_servers) = tokio::sync::mpsc::unbounded_channel();
    let mut serving = tokio::task::JoinSet::new();
    for (peer, load) in [(idle, 0.0), (busy, 1.0)] {
        let calls = calls.clone();
        serving.spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let (mut wire, calls) = (peer.accept().await, calls.clone());
                connections.spawn(async move {
                    while let Some(bytes) = wire.frame().await {
                        let got = decode(&bytes);
                        assert!(methods.contains(&got.name.as_str()), "{got:?}");
                        if got.name == "buy" {
                            calls.send(load).expect("the test runs");
                        }
                        wire.write_bytes(&load_reply(&got.name, got.seqid, load)).await;
                    }
                });
            }
        });
    }
    let mut client = thrift_node.client().await;
    let consecutive = async {
        let (mut run, mut seqid) = (0, 0);
        while run < 20 {
            seqid += 1;
            client.write_bytes(&call("buy", seqid, "order")).await;
            if next(&mut client).await.kind == MessageType::Reply {
                run = if called_servers.recv().await == Some(0.0) { run + 1 } else { 0 };
            }
        }
    };
    within("a run of calls at the idle server", consecutive).await;
}

/// With a configured load method, servers are probed and the fields of the reply are used.
#[tokio::test]
async fn load_from_a_load_method_is_used() {
    let load = "[thrift.servers.load]\nmethod = 'load'\nfields = { held = '1', busy = '0' }";
    calls_move_to_the_idle_server(load, &["buy", "load"]).await;
}

/// With load in every reply, no load method is called.
#[tokio::test]
async fn load_in_replies_is_used() {
    calls_move_to_the_idle_server("report = { busy = '0' }", &["buy"]).await;
}

/// A call to another service is answered as an unknown method; calls to the listener's own service, or
/// without a service name, are served.
#[tokio::test]
async fn another_service_is_not_served() {
    let server = Peer::new().await;
    let thrift_node = ThriftNode::new(&[("s", &server)], "service = 'shop'").await;
    let mut client = thrift_node.client().await;
    client.write_bytes(&call("bank:buy", 1, "order")).await;
    let answer = next(&mut client).await;
    assert_eq!((answer.seqid, answer.number), (1, Some(ExceptionType::UnknownMethod as i64)));
    let mut wire = None;
    for (seqid, name) in [(2, "shop:buy"), (3, "buy")] {
        client.write_bytes(&call(name, seqid, "order")).await;
        if wire.is_none() {
            wire = Some(server.accept().await);
        }
        let wire = wire.as_mut().expect("it was accepted");
        let got = next(wire).await;
        assert_eq!(got.name, name);
        wire.write_bytes(&reply("buy", got.seqid, "done")).await;
        assert_eq!(next(&mut client).await.seqid, seqid);
    }
}

/// SIGTERM with a call in flight: it is answered, and the node exits successfully.
#[tokio::test]
async fn calls_in_flight_are_answered_at_shutdown() {
    let server = Peer::new().await;
    let mut thrift_node = ThriftNode::new(&[("s", &server)], "").await;
    let mut client = thrift_node.client().await;
    client.write_bytes(&call("buy", 1, "order")).await;
    let mut wire = server.accept().await;
    let got = next(&mut wire).await;
    thrift_node.node.signal("TERM").await;
    thrift_node.node.wait_for_log("leaving").await;
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    wire.write_bytes(&reply("buy", got.seqid, "done")).await;
    assert_eq!(next(&mut client).await.text, "done");
    client.wait_closed().await;
    assert!(thrift_node.node.wait_for_exit().await.success());
}

/// An invalid operator's file is reported in one line, before anything is started.
#[tokio::test]
async fn an_invalid_operators_file_is_reported_in_one_line() {
    let discovery = Peer::new().await;
    let listener = |rest: &str| format!("[[thrift]]\nname = 'a'\nlisten = '127.0.0.1:0'\n{rest}");
    let servers = "[thrift.servers]\ndialect = 'framed-binary'\ndiscovery = '127.0.0.1:1'\n";
    let cases = [
        ("[[thrift]]\nname = ".to_owned(), "line 2, column"),
        ("[[thrift]]\nnaem = 'a'".to_owned(), "unknown field `naem`"),
        ("[[thrift]]\nname = 'a'".to_owned(), "missing field `listen`"),
        (listener(&format!("[thrift.methods]\n{servers}")), "methods names no method"),
        (listener(&format!("methods.buy.class = 'sell'\n{servers}")), "unknown class \"sell\""),
        (listener(&format!("methods.buy.class = 'unsafe'\n{servers}")), "names a tenant"),
        (listener(&format!("tenant = 'one'\nmethods.buy.class = 'keyed'\n{servers}")), "no key is named"),
        (
            listener(&format!("tenant = 'one'\nmethods.buy = {{ class = 'safe', key = '1.x' }}\n{servers}")),
            "\"1.x\" is no path of field ids",
        ),
        (
            listener(
                "methods.buy.class = 'unsafe'\n[thrift.servers]\ndialect = 'auto'\ndiscovery = '127.0.0.1:1'",
            ),
            "servers.dialect is auto",
        ),
        (
            listener(&format!("tenant = 'one'\nconnections = 900\nmethods.buy.class = 'unsafe'\n{servers}")),
            "descriptors",
        ),
    ];
    for (text, wanted) in cases {
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        file.write_all(text.as_bytes()).expect("a file");
        let config = json!({
            "listen": "127.0.0.1:0", "discovery": discovery.address().to_string(), "seed": "1f", "settings": settings(),
        });
        let path = file.path().to_str().expect("a path");
        let (process, _config) = start_with_env(&config.to_string(), &[("GW_OPERATOR", path)]);
        let output = within("its end", process.wait_with_output()).await.expect("its output");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{text}");
        assert!(stderr.contains(wanted) && stderr.lines().count() == 1, "{text}: {stderr}");
    }
}
