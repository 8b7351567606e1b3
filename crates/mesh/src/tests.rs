//! Meshes with each other and with misbehaving peers, on loopback.

use crate::frame::{codec, Frame, MAX_FRAME_BYTES};
use crate::handshake::{Hello, VERSION};
use crate::{Clock, Identity, Member, MembershipView, Mesh, MeshSettings, RequestError, MAX_QUEUED_REQUESTS};
use birchswitch_cluster::{Generation, MemberId};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const TIMEOUT: Duration = Duration::from_secs(20);
const ECHO: u8 = 1;

fn generation(started: u64) -> Generation {
    Generation { started, draw: 1 }
}

/// A mesh whose handler returns each request's payload.
fn mesh(name: &str, started: u64) -> Mesh {
    let settings = MeshSettings { bind: ([127, 0, 0, 1], 0).into(), advertise: None, connections: 64 };
    let identity =
        Identity { cluster: "c", name, generation: generation(started), clock: Clock::new(1000, 50) };
    let mesh = Mesh::start(&settings, &identity).expect("a mesh");
    mesh.serve(ECHO, Arc::new(|_, bytes| Box::pin(async move { Some(bytes) })));
    mesh
}

fn view(members: &[(&str, SocketAddr)]) -> MembershipView {
    let member = |(name, address): &(&str, SocketAddr)| {
        let (name, zone) = ((*name).to_owned(), String::new());
        let (id, generation) = (MemberId::of(&name), generation(1));
        (id, Member { name, zone, generation, address: Some(*address), tasks: Vec::new() })
    };
    MembershipView { members: members.iter().map(member).collect(), agreed: members.len() as u32 }
}

fn share_membership(meshes: &[(&str, &Mesh)]) {
    let members: Vec<_> = meshes.iter().map(|(name, m)| (*name, m.address())).collect();
    meshes.iter().for_each(|(_, m)| m.set_membership(view(&members)));
}

async fn echo(mesh: &Mesh, to: &str, text: &'static str) -> Result<Bytes, RequestError> {
    mesh.request(MemberId::of(to), ECHO, Bytes::from_static(text.as_bytes()), TIMEOUT).await
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, wait).await.unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}

#[tokio::test]
async fn requests_are_answered_and_unserved_lanes_are_rejected() {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    share_membership(&[("a", &a), ("b", &b)]);
    assert_eq!(echo(&a, "b", "one").await, Ok(Bytes::from_static(b"one")));
    assert_eq!(echo(&b, "a", "two").await, Ok(Bytes::from_static(b"two")));
    assert_eq!(echo(&a, "a", "own").await, Ok(Bytes::from_static(b"own")), "itself");
    let not_served = a.request(MemberId::of("b"), 9, Bytes::new(), TIMEOUT).await;
    assert_eq!(not_served, Err(RequestError::NotServed));
    let nobody = a.request(MemberId::of("c"), ECHO, Bytes::new(), Duration::from_millis(300)).await;
    assert_eq!(nobody, Err(RequestError::TimedOut));
}

#[tokio::test]
async fn simultaneous_dials_leave_one_connection() {
    for _ in 0..20 {
        let (a, b) = (mesh("a", 1), mesh("b", 1));
        share_membership(&[("a", &a), ("b", &b)]);
        let (to_b, to_a) = tokio::join!(echo(&a, "b", "x"), echo(&b, "a", "y"));
        assert!(to_b.is_ok() && to_a.is_ok(), "{to_b:?} {to_a:?}");
        until("one connection", || a.counters().connections()[0] == 1 && b.counters().connections()[0] == 1)
            .await;
        assert!(echo(&a, "b", "z").await.is_ok() && echo(&b, "a", "z").await.is_ok());
    }
}

#[tokio::test]
async fn a_restarted_peer_is_reached_again() {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    share_membership(&[("a", &a), ("b", &b)]);
    assert!(echo(&a, "b", "x").await.is_ok());
    drop(b);
    let b = mesh("b", 2);
    share_membership(&[("a", &a), ("b", &b)]);
    assert!(echo(&a, "b", "x").await.is_ok());
    assert!(echo(&b, "a", "x").await.is_ok());
}

/// What a peer does after a proper handshake.
#[derive(Clone, Copy, Debug)]
enum Misbehavior {
    ReadsNothing,
    ReadsSlowly,
    StopsMidFrame,
    OversizedFrame,
    UndecodableFrame,
}

async fn handshaken(stream: TcpStream, hello: &Hello) -> Framed<TcpStream, LengthDelimitedCodec> {
    let mut framed = Framed::new(stream, codec());
    let bytes = postcard::to_stdvec(hello).expect("it encodes");
    framed.send(Bytes::from(bytes)).await.expect("it is taken");
    framed.next().await.expect("a hello").expect("a hello");
    framed
}

/// Listens under a member's name, and misbehaves on the first connection.
async fn misbehaving(name: &'static str, behavior: Misbehavior) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let framed = handshaken(stream, &Hello::new("c", name, generation(1))).await;
        let stream = framed.into_inner();
        match behavior {
            Misbehavior::ReadsNothing => {}
            Misbehavior::ReadsSlowly => loop {
                let _ = stream.readable().await;
                let _ = stream.try_read(&mut [0]);
                sleep(Duration::from_millis(100)).await;
            },
            Misbehavior::StopsMidFrame => drop(stream.try_write(&[0, 0, 1, 0, 7, 7])),
            Misbehavior::OversizedFrame => drop(stream.try_write(&[0xff; 64])),
            Misbehavior::UndecodableFrame => drop(stream.try_write(&[0, 0, 0, 2, 0xee, 0xee])),
        }
        sleep(TIMEOUT * 10).await;
    });
    address
}

/// A misbehaving peer costs only the senders of requests to it their timeouts: a healthy peer responds in the meantime.
#[tokio::test]
async fn a_misbehaving_peer_delays_only_its_own_task() {
    let all = [
        Misbehavior::ReadsNothing,
        Misbehavior::ReadsSlowly,
        Misbehavior::StopsMidFrame,
        Misbehavior::OversizedFrame,
        Misbehavior::UndecodableFrame,
    ];
    futures_util::future::join_all(all.map(check_isolation)).await;
}

async fn check_isolation(behavior: Misbehavior) {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    a.set_membership(view(&[
        ("a", a.address()),
        ("b", b.address()),
        ("r", misbehaving("r", behavior).await),
    ]));
    let large = Bytes::from(vec![7; MAX_FRAME_BYTES - 64]);
    let misbehaving = tokio::spawn({
        let a = a.clone();
        async move {
            let requests = (0..MAX_QUEUED_REQUESTS)
                .map(|_| a.request(MemberId::of("r"), ECHO, large.clone(), Duration::from_secs(6)));
            futures_util::future::join_all(requests).await
        }
    });
    until("a connection to the misbehaving peer", || a.counters().connections()[1] > 0).await;
    let started = Instant::now();
    let mut longest = Duration::ZERO;
    while started.elapsed() < Duration::from_secs(2) {
        let sent = Instant::now();
        assert!(echo(&a, "b", "x").await.is_ok());
        longest = longest.max(sent.elapsed());
    }
    assert!(longest < Duration::from_secs(1), "{behavior:?}: {longest:?}");
    let responses = timeout(TIMEOUT, misbehaving).await.expect("all requests end").expect("no panic");
    assert!(responses.iter().all(Result::is_err), "{behavior:?}");
    // The misbehaving peer's connection is closed: what is left is the healthy peer's, or a new one that is being tried.
    until("the end of its connection", || a.counters().connections()[0] <= 1).await;
}

#[tokio::test]
async fn invalid_hellos_are_refused_and_silent_connections_block_nobody() {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    share_membership(&[("a", &a), ("b", &b)]);
    let own = Hello::new("c", "x", generation(1));
    for wrong in [
        Hello { cluster: "other".into(), ..own.clone() },
        Hello { version: VERSION + 1, ..own.clone() },
        Hello { magic: [0; 4], ..own.clone() },
        Hello { name: "a".into(), ..own.clone() },
        Hello { name: "x".repeat(1000), ..own.clone() },
    ] {
        let stream = TcpStream::connect(a.address()).await.expect("a connection");
        let mut framed = handshaken(stream, &wrong).await;
        let ended = timeout(TIMEOUT, framed.next()).await.expect("an end");
        assert!(ended.is_none_or(|frame| frame.is_err()), "{wrong:?}");
    }
    let mut open = Vec::new();
    for _ in 0..70 {
        open.push(TcpStream::connect(a.address()).await.expect("a connection"));
    }
    assert!(echo(&b, "a", "x").await.is_ok(), "silent connections delay others only briefly");
}

#[tokio::test]
async fn requests_beyond_the_queue_are_rejected_at_once() {
    let a = mesh("a", 1);
    // Nothing listens on this port.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    a.set_membership(view(&[("a", a.address()), ("n", closed)]));
    let all = (0..MAX_QUEUED_REQUESTS * 3)
        .map(|_| a.request(MemberId::of("n"), ECHO, Bytes::new(), Duration::from_millis(500)));
    let all = futures_util::future::join_all(all).await;
    let count = |error| all.iter().filter(|a| **a == Err(error)).count();
    assert!(count(RequestError::QueueFull) >= MAX_QUEUED_REQUESTS, "{}", count(RequestError::QueueFull));
    assert_eq!(count(RequestError::QueueFull) + count(RequestError::TimedOut), MAX_QUEUED_REQUESTS * 3);
    // Expired requests free their places in the queue once the peer's task has seen them.
    let again = async {
        while a.request(MemberId::of("n"), ECHO, Bytes::new(), Duration::from_millis(100)).await
            != Err(RequestError::TimedOut)
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, again).await.expect("room");
}

#[tokio::test]
async fn the_latest_message_arrives_and_order_is_kept() {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    share_membership(&[("a", &a), ("b", &b)]);
    let received = Arc::new(Mutex::new(Vec::new()));
    let sink = received.clone();
    b.subscribe(3, Arc::new(move |_, bytes| sink.lock().expect("no panic").push(bytes[0])));
    (0..=200).for_each(|n| a.publish(MemberId::of("b"), 3, Bytes::from(vec![n])));
    until("the latest message", || received.lock().expect("no panic").last() == Some(&200)).await;
    assert!(received.lock().expect("no panic").is_sorted());
    assert!(a.counters().messages()[3] > 0, "some were superseded before they were sent");
}

/// A request that was sent on a connection that broke is sent again on the next one.
#[tokio::test]
async fn an_unanswered_request_is_resent_on_the_next_connection() {
    let a = mesh("a", 1);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    a.set_membership(view(&[("a", a.address()), ("p", listener.local_addr().expect("its address"))]));
    let pending = tokio::spawn({
        let a = a.clone();
        async move { echo(&a, "p", "x").await }
    });
    let accept = || async {
        let (stream, _) = timeout(TIMEOUT, listener.accept()).await.expect("a connection").expect("one");
        handshaken(stream, &Hello::new("c", "p", generation(1))).await
    };
    let request = |frame: Frame| match frame {
        Frame::Request { number, bytes, .. } => (number, bytes),
        other => panic!("{other:?}"),
    };
    let mut first = accept().await;
    let first_request =
        request(Frame::decode(&first.next().await.expect("a frame").expect("a frame")).expect("sense"));
    drop(first);
    let mut second = accept().await;
    let resent =
        request(Frame::decode(&second.next().await.expect("a frame").expect("a frame")).expect("sense"));
    assert_eq!(first_request, resent);
    let response = Frame::Response { number: resent.0, bytes: Some(Bytes::from_static(b"y")) };
    second.send(Bytes::from(postcard::to_stdvec(&response).expect("it encodes"))).await.expect("it is taken");
    assert_eq!(pending.await.expect("no panic"), Ok(Bytes::from_static(b"y")));
}

/// A member that died while it ran a task stays listed for some seconds. Its successor's response must not wait for it.
#[tokio::test]
async fn a_dead_runner_of_a_task_does_not_delay_its_successor() {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    let mut view = view(&[
        ("a", a.address()),
        ("b", b.address()),
        ("r", misbehaving("r", Misbehavior::ReadsNothing).await),
    ]);
    view.members.values_mut().filter(|m| m.name != "a").for_each(|m| m.tasks = vec![7]);
    a.set_membership(view);
    let started = Instant::now();
    let responses = a.request_from_running(7, ECHO, Bytes::from_static(b"x"), TIMEOUT).await;
    assert_eq!(responses, [Ok(Bytes::from_static(b"x"))]);
    assert!(started.elapsed() < TIMEOUT / 2, "{:?}", started.elapsed());
    assert_eq!(a.request_from_running(8, ECHO, Bytes::new(), TIMEOUT).await, []);
}

/// Measures the memory and descriptors that 300 peers cost a node:
/// `cargo test --release -p birchswitch-mesh -- --ignored --nocapture peers_cost`.
#[tokio::test]
#[ignore = "a measurement"]
async fn three_hundred_peers_cost() {
    let size = || {
        let status = std::fs::read_to_string("/proc/self/status").expect("linux");
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("a line").to_owned();
        let memory: f64 =
            line.split_ascii_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number");
        (memory, std::fs::read_dir("/proc/self/fd").expect("linux").count())
    };
    let settings = MeshSettings { bind: ([127, 0, 0, 1], 0).into(), advertise: None, connections: 400 };
    let identity =
        Identity { cluster: "c", name: "hub", generation: generation(1), clock: Clock::new(1000, 50) };
    let hub = Mesh::start(&settings, &identity).expect("a mesh");
    hub.serve(ECHO, Arc::new(|_, bytes| Box::pin(async move { Some(bytes) })));
    let names: Vec<String> = (0..300).map(|n| format!("p{n}")).collect();
    let peers: Vec<Mesh> = names.iter().map(|n| mesh(n, 1)).collect();
    let mut all: Vec<(&str, SocketAddr)> = vec![("hub", hub.address())];
    all.extend(names.iter().zip(&peers).map(|(n, m)| (n.as_str(), m.address())));
    let view = view(&all);
    peers.iter().chain([&hub]).for_each(|m| m.set_membership(view.clone()));
    sleep(Duration::from_millis(200)).await;
    let before = size();
    let requests =
        names.iter().map(|n| hub.request(MemberId::of(n), ECHO, Bytes::from(vec![1; 2000]), TIMEOUT));
    let answered = futures_util::future::join_all(requests).await.iter().filter(|a| a.is_ok()).count();
    let after = size();
    println!(
        "{answered} of 300 answered; both ends of 300 connections: {:.1} kB and {:.2} descriptors each",
        (after.0 - before.0) / 300.0,
        (after.1 - before.1) as f64 / 300.0
    );
    assert_eq!(answered, 300);
}
