//! Meshes against each other and against peers that behave badly, on loopback.

use crate::frame::{codec, Frame, MAX_FRAME_BYTES};
use crate::greeting::{Greeting, VERSION};
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

const PATIENCE: Duration = Duration::from_secs(20);
const ECHO: u8 = 1;

fn generation(started: u64) -> Generation {
    Generation { started, draw: 1 }
}

/// A mesh that gives back what it is asked.
fn mesh(name: &str, started: u64) -> Mesh {
    let compiled = MeshSettings { bind: ([127, 0, 0, 1], 0).into(), advertise: None, connections: 64 };
    let who = Identity { cluster: "c", name, generation: generation(started), clock: Clock::new(1000, 50) };
    let mesh = Mesh::start(&compiled, &who).expect("a mesh");
    mesh.serve(ECHO, Arc::new(|_, bytes| Box::pin(async move { Some(bytes) })));
    mesh
}

fn roster(members: &[(&str, SocketAddr)]) -> MembershipView {
    let member = |(name, address): &(&str, SocketAddr)| {
        let (name, zone) = ((*name).to_owned(), String::new());
        let (id, generation) = (MemberId::of(&name), generation(1));
        (id, Member { name, zone, generation, address: Some(*address), tasks: Vec::new() })
    };
    MembershipView { members: members.iter().map(member).collect(), agreed: members.len() as u32 }
}

fn know_each_other(meshes: &[(&str, &Mesh)]) {
    let members: Vec<_> = meshes.iter().map(|(name, m)| (*name, m.address())).collect();
    meshes.iter().for_each(|(_, m)| m.set_membership(roster(&members)));
}

async fn echo(mesh: &Mesh, to: &str, text: &'static str) -> Result<Bytes, RequestError> {
    mesh.request(MemberId::of(to), ECHO, Bytes::from_static(text.as_bytes()), PATIENCE).await
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, wait).await.unwrap_or_else(|_| panic!("{what}: it did not come"));
}

#[tokio::test]
async fn whoever_is_asked_answers_and_one_that_serves_nothing_says_so() {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    know_each_other(&[("a", &a), ("b", &b)]);
    assert_eq!(echo(&a, "b", "one").await, Ok(Bytes::from_static(b"one")));
    assert_eq!(echo(&b, "a", "two").await, Ok(Bytes::from_static(b"two")));
    assert_eq!(echo(&a, "a", "own").await, Ok(Bytes::from_static(b"own")), "itself");
    let unserved = a.request(MemberId::of("b"), 9, Bytes::new(), PATIENCE).await;
    assert_eq!(unserved, Err(RequestError::NotServed));
    let nobody = a.request(MemberId::of("c"), ECHO, Bytes::new(), Duration::from_millis(300)).await;
    assert_eq!(nobody, Err(RequestError::TimedOut));
}

#[tokio::test]
async fn both_dial_at_once_and_one_connection_stands() {
    for _ in 0..20 {
        let (a, b) = (mesh("a", 1), mesh("b", 1));
        know_each_other(&[("a", &a), ("b", &b)]);
        let (to_b, to_a) = tokio::join!(echo(&a, "b", "x"), echo(&b, "a", "y"));
        assert!(to_b.is_ok() && to_a.is_ok(), "{to_b:?} {to_a:?}");
        until("one connection", || a.counters().connections()[0] == 1 && b.counters().connections()[0] == 1)
            .await;
        assert!(echo(&a, "b", "z").await.is_ok() && echo(&b, "a", "z").await.is_ok());
    }
}

#[tokio::test]
async fn a_peer_that_comes_back_under_its_name_is_reached() {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    know_each_other(&[("a", &a), ("b", &b)]);
    assert!(echo(&a, "b", "x").await.is_ok());
    drop(b);
    let b = mesh("b", 2);
    know_each_other(&[("a", &a), ("b", &b)]);
    assert!(echo(&a, "b", "x").await.is_ok());
    assert!(echo(&b, "a", "x").await.is_ok());
}

/// What a peer that greets and then behaves badly does.
#[derive(Clone, Copy, Debug)]
enum Rude {
    ReadsNothing,
    ReadsSlowly,
    StopsInAFrame,
    TooLong,
    Senseless,
}

async fn greeted(stream: TcpStream, greeting: &Greeting) -> Framed<TcpStream, LengthDelimitedCodec> {
    let mut framed = Framed::new(stream, codec());
    let bytes = postcard::to_stdvec(greeting).expect("it encodes");
    framed.send(Bytes::from(bytes)).await.expect("it is taken");
    framed.next().await.expect("a greeting").expect("a greeting");
    framed
}

/// Listens as a member of that name would, and is rude on the first connection.
async fn rude(name: &'static str, how: Rude) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let framed = greeted(stream, &Greeting::new("c", name, generation(1))).await;
        let stream = framed.into_inner();
        match how {
            Rude::ReadsNothing => {}
            Rude::ReadsSlowly => loop {
                let _ = stream.readable().await;
                let _ = stream.try_read(&mut [0]);
                sleep(Duration::from_millis(100)).await;
            },
            Rude::StopsInAFrame => drop(stream.try_write(&[0, 0, 1, 0, 7, 7])),
            Rude::TooLong => drop(stream.try_write(&[0xff; 64])),
            Rude::Senseless => drop(stream.try_write(&[0, 0, 0, 2, 0xee, 0xee])),
        }
        sleep(PATIENCE * 10).await;
    });
    address
}

/// Each costs those who ask it their patience and nobody else anything: a sound peer's answers come meanwhile.
#[tokio::test]
async fn a_rude_peer_holds_up_its_own_task_alone() {
    let all = [Rude::ReadsNothing, Rude::ReadsSlowly, Rude::StopsInAFrame, Rude::TooLong, Rude::Senseless];
    futures_util::future::join_all(all.map(bears)).await;
}

async fn bears(how: Rude) {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    a.set_membership(roster(&[("a", a.address()), ("b", b.address()), ("r", rude("r", how).await)]));
    let large = Bytes::from(vec![7; MAX_FRAME_BYTES - 64]);
    let rude = tokio::spawn({
        let a = a.clone();
        async move {
            let asks = (0..MAX_QUEUED_REQUESTS)
                .map(|_| a.request(MemberId::of("r"), ECHO, large.clone(), Duration::from_secs(6)));
            futures_util::future::join_all(asks).await
        }
    });
    until("a connection to the rude one", || a.counters().connections()[1] > 0).await;
    let began = Instant::now();
    let mut longest = Duration::ZERO;
    while began.elapsed() < Duration::from_secs(2) {
        let asked = Instant::now();
        assert!(echo(&a, "b", "x").await.is_ok());
        longest = longest.max(asked.elapsed());
    }
    assert!(longest < Duration::from_secs(1), "{how:?}: {longest:?}");
    let answers = timeout(PATIENCE, rude).await.expect("all are told").expect("no panic");
    assert!(answers.iter().all(Result::is_err), "{how:?}");
    // It is given up once it says nothing: only the sound one's connection is left, or a fresh one that is tried.
    until("its connection's end", || a.counters().connections()[0] <= 1).await;
}

#[tokio::test]
async fn strangers_are_turned_away_and_cost_nobody_else_anything() {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    know_each_other(&[("a", &a), ("b", &b)]);
    let own = Greeting::new("c", "x", generation(1));
    for wrong in [
        Greeting { cluster: "other".into(), ..own.clone() },
        Greeting { version: VERSION + 1, ..own.clone() },
        Greeting { magic: [0; 4], ..own.clone() },
        Greeting { name: "a".into(), ..own.clone() },
        Greeting { name: "x".repeat(1000), ..own.clone() },
    ] {
        let stream = TcpStream::connect(a.address()).await.expect("a connection");
        let mut framed = greeted(stream, &wrong).await;
        let ended = timeout(PATIENCE, framed.next()).await.expect("an end");
        assert!(ended.is_none_or(|frame| frame.is_err()), "{wrong:?}");
    }
    let mut open = Vec::new();
    for _ in 0..70 {
        open.push(TcpStream::connect(a.address()).await.expect("a connection"));
    }
    assert!(echo(&b, "a", "x").await.is_ok(), "those that say nothing hold up none for long");
}

#[tokio::test]
async fn questions_beyond_what_may_wait_are_turned_down_at_once() {
    let a = mesh("a", 1);
    // Nobody listens there.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    a.set_membership(roster(&[("a", a.address()), ("n", closed)]));
    let all = (0..MAX_QUEUED_REQUESTS * 3)
        .map(|_| a.request(MemberId::of("n"), ECHO, Bytes::new(), Duration::from_millis(500)));
    let all = futures_util::future::join_all(all).await;
    let count = |error| all.iter().filter(|a| **a == Err(error)).count();
    assert!(count(RequestError::QueueFull) >= MAX_QUEUED_REQUESTS, "{}", count(RequestError::QueueFull));
    assert_eq!(count(RequestError::QueueFull) + count(RequestError::TimedOut), MAX_QUEUED_REQUESTS * 3);
    // What was given up makes room again, once the peer's task has seen it.
    let again = async {
        while a.request(MemberId::of("n"), ECHO, Bytes::new(), Duration::from_millis(100)).await
            != Err(RequestError::TimedOut)
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, again).await.expect("room");
}

#[tokio::test]
async fn the_newest_word_comes_and_none_after_it_is_older() {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    know_each_other(&[("a", &a), ("b", &b)]);
    let came = Arc::new(Mutex::new(Vec::new()));
    let takes = came.clone();
    b.subscribe(3, Arc::new(move |_, bytes| takes.lock().expect("no panic").push(bytes[0])));
    (0..=200).for_each(|n| a.publish(MemberId::of("b"), 3, Bytes::from(vec![n])));
    until("the newest word", || came.lock().expect("no panic").last() == Some(&200)).await;
    assert!(came.lock().expect("no panic").is_sorted());
    assert!(a.counters().messages()[3] > 0, "some were replaced before they went");
}

/// A question that an old connection took along is asked anew on the next.
#[tokio::test]
async fn a_question_outlives_its_connection() {
    let a = mesh("a", 1);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    a.set_membership(roster(&[("a", a.address()), ("p", listener.local_addr().expect("its address"))]));
    let asked = tokio::spawn({
        let a = a.clone();
        async move { echo(&a, "p", "x").await }
    });
    let accept = || async {
        let (stream, _) = timeout(PATIENCE, listener.accept()).await.expect("a connection").expect("one");
        greeted(stream, &Greeting::new("c", "p", generation(1))).await
    };
    let ask = |frame: Frame| match frame {
        Frame::Ask { number, bytes, .. } => (number, bytes),
        other => panic!("{other:?}"),
    };
    let mut first = accept().await;
    let heard = ask(Frame::decode(&first.next().await.expect("a frame").expect("a frame")).expect("sense"));
    drop(first);
    let mut second = accept().await;
    let again = ask(Frame::decode(&second.next().await.expect("a frame").expect("a frame")).expect("sense"));
    assert_eq!(heard, again);
    let answer = Frame::Answer { number: again.0, bytes: Some(Bytes::from_static(b"y")) };
    second.send(Bytes::from(postcard::to_stdvec(&answer).expect("it encodes"))).await.expect("it is taken");
    assert_eq!(asked.await.expect("no panic"), Ok(Bytes::from_static(b"y")));
}

/// Whoever died while it ran a task is listed for some seconds: the one that runs it now answers meanwhile.
#[tokio::test]
async fn of_two_that_say_they_run_a_task_the_silent_one_holds_up_nobody() {
    let (a, b) = (mesh("a", 1), mesh("b", 1));
    let mut roster =
        roster(&[("a", a.address()), ("b", b.address()), ("r", rude("r", Rude::ReadsNothing).await)]);
    roster.members.values_mut().filter(|m| m.name != "a").for_each(|m| m.tasks = vec![7]);
    a.set_membership(roster);
    let asked = Instant::now();
    let answers = a.request_from_running(7, ECHO, Bytes::from_static(b"x"), PATIENCE).await;
    assert_eq!(answers, [Ok(Bytes::from_static(b"x"))]);
    assert!(asked.elapsed() < PATIENCE / 2, "{:?}", asked.elapsed());
    assert_eq!(a.request_from_running(8, ECHO, Bytes::new(), PATIENCE).await, []);
}

/// What 300 peers cost a node, by command: `cargo test --release -p birchswitch-mesh -- --ignored --nocapture peers_cost`.
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
    let compiled = MeshSettings { bind: ([127, 0, 0, 1], 0).into(), advertise: None, connections: 400 };
    let who = Identity { cluster: "c", name: "hub", generation: generation(1), clock: Clock::new(1000, 50) };
    let hub = Mesh::start(&compiled, &who).expect("a mesh");
    hub.serve(ECHO, Arc::new(|_, bytes| Box::pin(async move { Some(bytes) })));
    let names: Vec<String> = (0..300).map(|n| format!("p{n}")).collect();
    let peers: Vec<Mesh> = names.iter().map(|n| mesh(n, 1)).collect();
    let mut all: Vec<(&str, SocketAddr)> = vec![("hub", hub.address())];
    all.extend(names.iter().zip(&peers).map(|(n, m)| (n.as_str(), m.address())));
    let roster = roster(&all);
    peers.iter().chain([&hub]).for_each(|m| m.set_membership(roster.clone()));
    sleep(Duration::from_millis(200)).await;
    let before = size();
    let asks = names.iter().map(|n| hub.request(MemberId::of(n), ECHO, Bytes::from(vec![1; 2000]), PATIENCE));
    let answered = futures_util::future::join_all(asks).await.iter().filter(|a| a.is_ok()).count();
    let after = size();
    println!(
        "{answered} of 300 answered; both ends of 300 connections: {:.1} kB and {:.2} descriptors each",
        (after.0 - before.0) / 300.0,
        (after.1 - before.1) as f64 / 300.0
    );
    assert_eq!(answered, 300);
}
