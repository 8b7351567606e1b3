//! Client behavior that a node has to withstand, overload of its connections, and shutdown.

use birchswitch_standin::scripted::*;
use serde_json::json;

/// Malformed requests get a 4xx answer and do not affect other clients.
#[tokio::test]
async fn malformed_requests_are_rejected() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let with = |class: &str, headers: &str| format!("POST /{class} HTTP/1.1\r\nHost: a\r\n{headers}\r\n");
    let valid_headers = "X-Request-ID: r\r\nX-Tenant-Id: one\r\nContent-Length: 0\r\n";
    let cases = [
        "\x01\x02\r\n\r\n".to_owned(),
        "GET\r\n\r\n".to_owned(),
        with("unheard-of", &format!("X-Timeout: 900m\r\n{valid_headers}")),
        with("", &format!("X-Timeout: 900m\r\n{valid_headers}")),
        with("unsafe", valid_headers),
        with("unsafe", &format!("X-Timeout: soon\r\n{valid_headers}")),
        with("unsafe", &format!("X-Timeout: 0m\r\n{valid_headers}")),
        with("unsafe", &format!("X-Timeout: -3m\r\n{valid_headers}")),
        with("unsafe", "X-Timeout: 900m\r\nX-Tenant-Id: one\r\nContent-Length: 0\r\n"),
        with("unsafe", "X-Timeout: 900m\r\nX-Request-ID: r\r\nX-Tenant-Id: two\r\nContent-Length: 0\r\n"),
        with("keyed", &format!("X-Timeout: 900m\r\n{valid_headers}")),
        with(
            "unsafe",
            "X-Timeout: 900m\r\nX-Request-ID: r\r\nX-Tenant-Id: one\r\nContent-Length: 70000000\r\n",
        ),
        with("unsafe", "X-Timeout: 900m\r\nX-Request-ID: r\r\nX-Tenant-Id: one\r\nContent-Length: x\r\n"),
        format!("GET /unsafe HTTP/1.1\r\nX-Long: {}\r\n\r\n", "a".repeat(100_000)),
    ];
    for case in cases {
        let mut client = node.client().await;
        client.write(&case).await;
        // A node that has read enough may close before the client has written all of it.
        let Some(answer) = client.read().await else { continue };
        let status = answer.status();
        assert!((400..500).contains(&status) && status != 429, "{status} for {case:.60}");
    }
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// Idle connections and incomplete request heads block no other client and never exhaust the descriptors.
#[tokio::test]
async fn more_connections_than_descriptors() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving_with_sockets(64, settings(), &[("s", &server)]).await;
    let mut idle_clients = Vec::new();
    for k in 0..100 {
        let mut client = node.client().await;
        if k % 2 == 0 {
            client.write("POST /unsafe HT").await;
        }
        idle_clients.push(client);
    }
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    assert!(node.descriptors() <= 64);
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// A burst of connections fills every connection slot before the node has handled any of them. Slots are
/// freed all the same.
#[tokio::test]
async fn a_burst_of_idle_connections_blocks_no_other_client() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving_with_sockets(64, settings(), &[("s", &server)]).await;
    node.signal("STOP").await;
    let mut idle_clients = Vec::new();
    for _ in 0..100 {
        idle_clients.push(node.client().await);
    }
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    node.signal("CONT").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// Connections may arrive together with their requests, more at once than there are slots: only connections
/// without a pending request are closed to free slots.
#[tokio::test]
async fn a_burst_of_requests_is_served() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving_with_sockets(64, settings(), &[("s", &server)]).await;
    node.signal("STOP").await;
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = node.client().await;
        client.send("safe", "20000m").await;
        clients.push(client);
    }
    node.signal("CONT").await;
    let answering = tokio::spawn(async move {
        let mut serving = tokio::task::JoinSet::new();
        loop {
            let mut wire = server.accept().await;
            serving.spawn(async move {
                while wire.read().await.is_some() {
                    wire.answer("200 OK", "", "").await;
                }
            });
        }
    });
    for client in &mut clients {
        // Each is answered, whether served or refused.
        assert!([200, 503].contains(&client.read().await.expect("an answer").status()));
    }
    answering.abort();
}

/// Every connection slot holds a body of the maximum size and gets a response of the same size: memory
/// stays within its limit.
#[tokio::test]
async fn large_bodies_in_every_slot_fit_into_memory() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let large = "x".repeat(64 << 10);
    let mut clients = Vec::new();
    let mut wires = Vec::new();
    for k in 0..128 {
        let mut client = node.client().await;
        let head = "POST /unsafe HTTP/1.1\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\nX-Cost: 1\r\n";
        client
            .write(&format!("{head}X-Request-ID: r{k}\r\nContent-Length: {}\r\n\r\n{large}", large.len()))
            .await;
        tokio::select! {
            (wire, request) = server.request() => {
                assert_eq!(request.body.len(), large.len());
                wires.push(wire);
                clients.push(client);
            }
            answer = client.read() => assert_eq!(answer.expect("an answer").status(), 503),
        }
    }
    let held = wires.len();
    for wire in &mut wires {
        wire.answer("200 OK", "", &large).await;
    }
    for client in &mut clients {
        assert_eq!(client.read().await.expect("an answer").body.len(), large.len());
    }
    println!("{held} held, peak {} KiB", node.memory_peak());
    assert!(node.memory_peak() < MEMORY_MB << 10);
}

/// More servers than descriptors: idle connections are closed for new ones, and the node's own shortage
/// never counts as a server failure.
#[tokio::test]
async fn more_servers_than_descriptors() {
    let discovery = Peer::new().await;
    let node = Node::start(&discovery, settings(), 64).await;
    let mut servers = Vec::new();
    for _ in 0..40 {
        servers.push(Peer::new().await);
    }
    let (mut watch, _) = discovery.watch().await;
    let list = |only: usize| vec![member(&format!("s{only}"), servers[only].address(), "active")];
    let all: Vec<_> = (0..servers.len()).flat_map(list).collect();
    watch.list(1, true, &all).await;
    node.wait_until_ready().await;
    let mut wires = Vec::new();
    let mut client = node.client().await;
    for k in 0..servers.len() {
        // All but one drain, and keep their connections until they are removed.
        let phases = (0..servers.len()).map(|s| {
            member(&format!("s{s}"), servers[s].address(), if s == k { "active" } else { "leaving" })
        });
        watch.list(2 + k as u64, false, &phases.collect::<Vec<_>>()).await;
        node.wait_for_list(2 + k as u64).await;
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = servers[k].request().await;
        wire.answer("200 OK", "", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
        wires.push(wire);
    }
    assert!(node.descriptors() <= 64);
}

/// The node closes an idle connection well before the server would, since a request sent just as the server
/// closes may be lost.
#[tokio::test]
async fn idle_connections_are_closed() {
    let server = Peer::new().await;
    let discovery = Peer::new().await;
    let mut settings = settings();
    settings["limits"]["conn_idle_ns"] = json!(400_000_000);
    let node = Node::start(&discovery, settings, 1024).await;
    let (mut watch, _) = discovery.watch().await;
    watch.list(1, true, &[member("s", server.address(), "active")]).await;
    node.wait_until_ready().await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    wire.expect_closed().await;
}

/// Requests accepted before SIGTERM, and those that arrive during the short accept period after it, are
/// answered before the node exits.
#[tokio::test]
async fn sigterm_ends_the_node_after_its_last_answer() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut idle = node.client().await;
    let mut before = node.client().await;
    before.send("unsafe", "20000m").await;
    let (mut first, _) = server.request().await;
    node.signal("TERM").await;
    node.wait_for_log("leaving").await;
    assert_eq!(node.get("/health/ready").await.status(), 503);
    let mut after = node.client().await;
    after.send("unsafe", "20000m").await;
    let (mut second, _) = server.request().await;
    idle.expect_closed().await; // The node accepts no more.
    for (wire, client) in [(&mut first, &mut before), (&mut second, &mut after)] {
        wire.answer("200 OK", "", "served").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    assert!(node.wait_for_exit().await.success());
}

/// Connections that wait for a slot at SIGTERM were already accepted by the kernel: closing them would lose
/// a request.
#[tokio::test]
async fn queued_clients_are_served_at_shutdown() {
    let server = Peer::new().await;
    let discovery = Peer::new().await;
    let mut node = Node::start(&discovery, settings(), 64).await;
    let (mut watch, _) = discovery.watch().await;
    watch.list(1, true, &[member("s", server.address(), "active")]).await;
    node.wait_until_ready().await;
    let mut busy = Vec::new();
    let mut wires = Vec::new();
    for _ in 0..16 {
        let mut client = node.client().await;
        client.send("unsafe", "20000m").await;
        wires.push(server.request().await.0);
        busy.push(client);
    }
    let mut waiting = node.client().await;
    waiting.send("unsafe", "20000m").await;
    node.signal("TERM").await;
    node.wait_for_log("leaving").await;
    // Longer than the accept period. On a slower machine the test checks less but does not fail.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    for (wire, client) in wires.iter_mut().zip(&mut busy) {
        wire.answer("200 OK", "Connection: close\r\n", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    }
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(waiting.read().await.expect("an answer").status(), 200);
    assert!(node.wait_for_exit().await.success());
}

/// A killed node can restart at its address at once, although its connections linger in the kernel.
#[tokio::test]
async fn a_killed_node_restarts_at_its_address() {
    let server = Peer::new().await;
    let discovery = Peer::new().await;
    let mut killed = Node::start_at(unique_address(), &discovery, settings(), 1024).await;
    let (mut watch, _) = discovery.watch().await;
    watch.list(1, true, &[member("s", server.address(), "active")]).await;
    killed.wait_until_ready().await;
    let mut client = killed.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    killed.signal("KILL").await;
    assert!(!killed.wait_for_exit().await.success());
    wire.expect_closed().await;
    let node = Node::start_at(killed.address, &discovery, settings(), 1024).await;
    let (mut watch, request) = discovery.watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=0 HTTP/1.1");
    watch.list(1, true, &[member("s", server.address(), "active")]).await;
    node.wait_until_ready().await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

#[tokio::test]
async fn an_invalid_configuration_is_reported_in_one_line() {
    let good = json!({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "settings": settings(),
    });
    let mut cases = vec!["{".to_owned(), "[]".to_owned()];
    for (key, value) in [
        ("listen", json!("here")),
        ("listen", json!(null)),
        ("discovery", json!(7)),
        ("seed", json!("xyz")),
        ("settings", json!({})),
        ("limits", json!({"sockets": 3})),
        ("known", json!([])),
    ] {
        let mut bad = good.clone();
        bad[key] = value;
        cases.push(bad.to_string());
    }
    let mut bad = good.clone();
    bad["settings"]["zone"] = json!(9);
    cases.push(bad.to_string());
    for case in cases {
        let (process, _directory) = start(&case);
        let output = within("its end", process.wait_with_output()).await.expect("its output");
        let stderr = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success(), "{case}");
        assert_eq!(stderr.lines().count(), 1, "{case}: {stderr}");
    }
}

/// A closed log must not end the node: every write to it fails from then on.
#[tokio::test]
async fn a_closed_log_is_survived() {
    let server = Peer::new().await;
    let (mut node, discovery, mut watch) = Node::serving(&[("s", &server)]).await;
    node.close_log();
    for _ in 0..2 {
        watch.line("not json").await; // Logged; then the watch is opened again.
        (watch, _) = discovery.watch().await;
    }
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}
