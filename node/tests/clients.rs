//! What clients may do to a node, and what it does at its end.

use birchswitch_standin::scripted::*;
use serde_json::json;

/// Nonsense is answered as such, and costs nobody else anything.
#[tokio::test]
async fn bad_requests_are_turned_down() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let with = |class: &str, headers: &str| format!("POST /{class} HTTP/1.1\r\nHost: a\r\n{headers}\r\n");
    let fine = "X-Request-ID: r\r\nX-Tenant-Id: one\r\nContent-Length: 0\r\n";
    let cases = [
        "\x01\x02\r\n\r\n".to_owned(),
        "GET\r\n\r\n".to_owned(),
        with("unheard-of", &format!("X-Timeout: 900m\r\n{fine}")),
        with("", &format!("X-Timeout: 900m\r\n{fine}")),
        with("unsafe", fine),
        with("unsafe", &format!("X-Timeout: soon\r\n{fine}")),
        with("unsafe", &format!("X-Timeout: 0m\r\n{fine}")),
        with("unsafe", &format!("X-Timeout: -3m\r\n{fine}")),
        with("unsafe", "X-Timeout: 900m\r\nX-Tenant-Id: one\r\nContent-Length: 0\r\n"),
        with("unsafe", "X-Timeout: 900m\r\nX-Request-ID: r\r\nX-Tenant-Id: two\r\nContent-Length: 0\r\n"),
        with("keyed", &format!("X-Timeout: 900m\r\n{fine}")),
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

/// Idle connections and heads that never end keep nobody out, and never use up the descriptors.
#[tokio::test]
async fn more_connections_than_descriptors() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving_with_sockets(64, settings(), &[("s", &server)]).await;
    let mut crowd = Vec::new();
    for k in 0..100 {
        let mut client = node.client().await;
        if k % 2 == 0 {
            client.write("POST /unsafe HT").await;
        }
        crowd.push(client);
    }
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    assert!(node.descriptors() <= 64);
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// Connections that come all at once fill every place before any of them has had its turn. Room is made all the same.
#[tokio::test]
async fn a_burst_of_idle_connections_keeps_nobody_out() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving_with_sockets(64, settings(), &[("s", &server)]).await;
    node.signal("STOP").await;
    let mut crowd = Vec::new();
    for _ in 0..100 {
        crowd.push(node.client().await);
    }
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    node.signal("CONT").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// Requests may come with their connections, and more at once than there are places: room is made where nothing was
/// asked, not where a request is still to be read.
#[tokio::test]
async fn a_burst_of_requests_is_served() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving_with_sockets(64, settings(), &[("s", &server)]).await;
    node.signal("STOP").await;
    let mut crowd = Vec::new();
    for _ in 0..40 {
        let mut client = node.client().await;
        client.send("safe", "20000m").await;
        crowd.push(client);
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
    for client in &mut crowd {
        // Served or refused, each is answered.
        assert!([200, 503].contains(&client.read().await.expect("an answer").status()));
    }
    answering.abort();
}

/// Every place taken by a body of the largest kind, and each answered with one: memory stays within its limit.
#[tokio::test]
async fn large_bodies_at_every_place_fit_into_memory() {
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

/// More servers than descriptors: idle connections are closed for new ones, and the node's own shortage never passes
/// for a server's failure.
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
        // All but one drain, and keep their connections until they are gone.
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

/// A connection is closed by the node well before the server would: a request that crosses that may be lost.
#[tokio::test]
async fn idle_connections_are_retired() {
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

/// What a node has taken when it is told to end, and what still comes for a moment, is answered first.
#[tokio::test]
async fn a_signal_ends_the_node_after_its_last_answer() {
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
    idle.expect_closed().await; // It takes no more.
    for (wire, client) in [(&mut first, &mut before), (&mut second, &mut after)] {
        wire.answer("200 OK", "", "served").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    assert!(node.wait_for_exit().await.success());
}

/// What waits for a place when the node is told to end has been taken by its machine: closing on it loses a request.
#[tokio::test]
async fn clients_in_the_queue_are_served_at_the_end() {
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
    // Past the time in which it takes more. Were the machine slower than that, the test would only see less.
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

/// A node that was killed starts again at its address at once, though its connections linger in the system.
#[tokio::test]
async fn a_killed_node_starts_again() {
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
async fn a_bad_configuration_is_told_in_one_line() {
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
        let told = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success(), "{case}");
        assert_eq!(told.lines().count(), 1, "{case}: {told}");
    }
}

/// A log that nobody reads any more must not end the node: writing to it fails from then on.
#[tokio::test]
async fn a_closed_log_is_survived() {
    let server = Peer::new().await;
    let (mut node, discovery, mut watch) = Node::serving(&[("s", &server)]).await;
    node.close_log();
    for _ in 0..2 {
        watch.line("not json").await; // Logged, and the watch is opened again after that.
        (watch, _) = discovery.watch().await;
    }
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}
