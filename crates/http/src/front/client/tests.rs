//! What comes in the moment in which a connection is to close for its silence.

use super::{Client, Guard, Stage, FIRST, IDLE};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// A connection that was taken, and its client's end.
async fn connection() -> (Rc<Client>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let other = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    let (taken, _) = listener.accept().await.expect("a connection");
    (Client::new(taken), other)
}

/// A byte that the node's system has and the node has not read.
async fn unread_byte(client: &Client, other: &mut TcpStream) {
    other.write_all(b"P").await.expect("written");
    client.socket.readable().await.expect("an open socket");
}

#[tokio::test]
async fn a_new_connection_on_which_something_came_is_not_ended_for_silence() {
    let (client, mut other) = connection().await;
    unread_byte(&client, &mut other).await;
    client.sweep(Instant::now() + FIRST);
    assert_eq!(client.stage(), Stage::New);
}

#[tokio::test]
async fn what_comes_after_the_decision_to_close_takes_the_connection_back() {
    for (stage, longest) in [(Stage::New, FIRST), (Stage::Idle, IDLE)] {
        let (client, mut other) = connection().await;
        client.enter(stage);
        client.sweep(Instant::now() + longest);
        assert_eq!(client.stage(), Stage::Leaving);
        unread_byte(&client, &mut other).await;
        assert!(!client.closes(), "{stage:?}: the byte would be dropped");
        assert_eq!(client.stage(), stage);
        client.begun().expect("it may begin");
        assert_eq!(client.stage(), Stage::Head);
    }
}

/// A head that began in time and then stopped has its own limit, which silence before it does not lengthen.
#[tokio::test]
async fn a_connection_taken_back_keeps_the_time_that_it_had() {
    let (client, mut other) = connection().await;
    client.sweep(Instant::now() + FIRST);
    unread_byte(&client, &mut other).await;
    assert!(!client.closes());
    client.begun().expect("it may begin");
    client.sweep(Instant::now() + FIRST);
    assert_eq!(client.stage(), Stage::Late);
}

#[tokio::test]
async fn silence_closes_a_connection() {
    let (client, _other) = connection().await;
    assert!(!client.closes(), "nobody decided so");
    client.sweep(Instant::now() + FIRST);
    assert!(client.closes());
}
