//! A new process takes over from the old one through a listening socket that both inherit.

use birchswitch_standin::scripted::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};

fn config(discovery: &Peer) -> Value {
    json!({
        "name": "n", "listen": "127.0.0.1:1", "ops": "127.0.0.1:0", "discovery": discovery.address().to_string(),
        "seed": "1f", "settings": settings(),
    })
}

async fn start_process(listener: &TcpListener, discovery: &Peer, state: &str) -> (Node, SocketAddr, Watch) {
    let mut node = Node::inheriting(listener, config(discovery), &[("TMPDIR", state)]).await;
    let operators = node.ops_address().await;
    let (watch, _) = discovery.watch().await;
    (node, operators, watch)
}

/// Connections made before the second process holds a list are served by the first, which also finishes its
/// open requests; connections made once it leaves go to the second. A ban set in either applies in both.
#[tokio::test]
async fn no_request_is_lost_as_one_process_takes_over_from_another() {
    let listener = TcpListener::bind(unique_address()).expect("a port");
    let folder = tempfile::tempdir().expect("a folder");
    let state = folder.path().to_str().expect("a path");
    let (discovery, server, suspended) = (Peer::new().await, Peer::new().await, Peer::new().await);
    let list = [member("s", server.address(), "active"), member("out", suspended.address(), "active")];
    let (mut first, first_ops, mut watch) = start_process(&listener, &discovery, state).await;
    watch.list(1, true, &list).await;
    first.wait_until_ready().await;
    assert!(call(first_ops, "SUSPEND out").await.starts_with("SUCCESS "));

    let (second, second_ops, mut watch) = start_process(&listener, &discovery, state).await;
    assert!(call(second_ops, "STATUS").await.starts_with("FAILURE "));
    let mut client = Connection::connect(listener.local_addr().expect("bound")).await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    watch.list(1, true, &list).await;
    let ready = async { while !call(second_ops, "STATUS").await.starts_with("SUCCESS ") {} };
    within("readiness of the second process", ready).await;
    first.signal("TERM").await;
    first.wait_for_log("leaving").await;
    assert!(call(first_ops, "STATUS").await.starts_with("FAILURE "));

    // From here on the second process gets all connections.
    for _ in 0..4 {
        let mut later = Connection::connect(listener.local_addr().expect("bound")).await;
        later.send("unsafe", "20000m").await;
        let (mut wire, _) = server.request().await;
        wire.answer("200 OK", "Connection: close\r\n", "").await;
        assert_eq!(later.read().await.expect("an answer").status(), 200);
    }
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("the first process's answer").status(), 200);
    assert!(first.wait_for_exit().await.success());
    assert!(suspended.has_no_connection().await, "the ban has to apply in the second process too");
    assert!(call(second_ops, "RESTORE out").await.starts_with("SUCCESS "));
    drop(second);
}

/// An invalid descriptor is reported in one line.
#[tokio::test]
async fn a_descriptor_that_is_not_a_socket_is_reported() {
    let discovery = Peer::new().await;
    for (number, problem) in [("5", "descriptor 5 is no socket"), ("1", "above 2"), ("x", "GW_SOCKET_FD")] {
        let (child, _file) = start_with_env(&config(&discovery).to_string(), &[("GW_SOCKET_FD", number)]);
        let ended = within("its end", child.wait_with_output()).await.expect("its output");
        let log = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(!ended.status.success() && log.contains(problem) && log.lines().count() == 1, "{log}");
    }
}
