//! A second process takes over from the first over the socket that both inherit.

use birchswitch_standin::scripted::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};

fn config(discovery: &Peer) -> Value {
    json!({
        "name": "n", "listen": "127.0.0.1:1", "ops": "127.0.0.1:0", "discovery": discovery.address().to_string(),
        "seed": "1f", "settings": settings(),
    })
}

async fn next(held: &TcpListener, discovery: &Peer, state: &str) -> (Node, SocketAddr, Watch) {
    let mut node = Node::inheriting(held, config(discovery), &[("TMPDIR", state)]).await;
    let operators = node.ops_address().await;
    let (watch, _) = discovery.watch().await;
    (node, operators, watch)
}

/// What connects before the second process holds a list is served by the first; what is under way there ends there, and what
/// connects once it leaves is the second's. A ban told to either holds in both.
#[tokio::test]
async fn nobody_is_turned_away_while_one_process_takes_over_from_another() {
    let held = TcpListener::bind(unique_address()).expect("a port");
    let folder = tempfile::tempdir().expect("a folder");
    let state = folder.path().to_str().expect("a path");
    let (discovery, server, out) = (Peer::new().await, Peer::new().await, Peer::new().await);
    let list = [member("s", server.address(), "active"), member("out", out.address(), "active")];
    let (mut first, told_first, mut watch) = next(&held, &discovery, state).await;
    watch.list(1, true, &list).await;
    first.wait_until_ready().await;
    assert!(call(told_first, "SUSPEND out").await.starts_with("SUCCESS "));

    let (second, told_second, mut watch) = next(&held, &discovery, state).await;
    assert!(call(told_second, "STATUS").await.starts_with("FAILURE "));
    let mut client = Connection::connect(held.local_addr().expect("bound")).await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    watch.list(1, true, &list).await;
    let yes = async { while !call(told_second, "STATUS").await.starts_with("SUCCESS ") {} };
    within("the second's yes", yes).await;
    first.signal("TERM").await;
    first.wait_for_log("leaving").await;
    assert!(call(told_first, "STATUS").await.starts_with("FAILURE "));

    // From here on all that connect are the second's.
    for _ in 0..4 {
        let mut later = Connection::connect(held.local_addr().expect("bound")).await;
        later.send("unsafe", "20000m").await;
        let (mut wire, _) = server.request().await;
        wire.answer("200 OK", "Connection: close\r\n", "").await;
        assert_eq!(later.read().await.expect("an answer").status(), 200);
    }
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("the first process's answer").status(), 200);
    assert!(first.wait_for_exit().await.success());
    assert!(out.has_no_connection().await, "the ban was told to the first process only");
    assert!(call(told_second, "RESTORE out").await.starts_with("SUCCESS "));
    drop(second);
}

/// A number under which there is no socket is told in one line.
#[tokio::test]
async fn a_descriptor_that_is_no_socket_is_told() {
    let discovery = Peer::new().await;
    for (number, problem) in [("5", "descriptor 5 is no socket"), ("1", "above 2"), ("x", "GW_SOCKET_FD")] {
        let (child, _file) = start_with_env(&config(&discovery).to_string(), &[("GW_SOCKET_FD", number)]);
        let ended = within("its end", child.wait_with_output()).await.expect("its output");
        let log = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(!ended.status.success() && log.contains(problem) && log.lines().count() == 1, "{log}");
    }
}
