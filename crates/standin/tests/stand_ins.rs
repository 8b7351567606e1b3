//! The stand-ins' behavior on sockets, which other tests rely on.

use birchswitch_lab::model::Capacity;
use birchswitch_standin::registry::Registry;
use birchswitch_standin::results::Results;
use birchswitch_standin::scripted::{unique_address, Connection};
use birchswitch_standin::server::{Server, Shared};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

fn fleet(servers: usize) -> (Rc<Shared>, Vec<Rc<Server>>) {
    let classes = [("keyed", false), ("unsafe", false)];
    let classes = classes.map(|(name, repeatable)| (name.to_owned(), Duration::from_secs(1), repeatable));
    let shared = Shared::new(Results::new(classes, servers), Duration::from_secs(60));
    let capacity = Capacity {
        cold_cache: 0.0,
        cores: 1,
        queue: 1,
        speed: 1.0,
        contention: None,
        cold_from: 0.5,
        warm_up: Duration::from_secs(1),
        fall_multiple: 3.0,
        fall_time: Duration::from_secs(1),
    };
    let server = |n: usize| {
        // The first two servers share a cell.
        let server = Server::new(n, n as u16 / 2, unique_address(), capacity.clone(), 1, shared.clone());
        server.start(false).expect("a port");
        server
    };
    let servers = (0..servers).map(server).collect();
    (shared, servers)
}

/// Sends an order with this much work in microseconds.
async fn order(wire: &mut Connection, class: &str, number: u64, work: u64) {
    let key = if class == "keyed" { format!("Idempotency-Key: {number:x}\r\n") } else { String::new() };
    let head =
        format!("POST /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {number:x}-0\r\nX-Cost: {work}\r\n");
    wire.write(&format!("{head}{key}Content-Length: 0\r\n\r\n")).await;
}

async fn answer(wire: &mut Connection) -> u16 {
    wire.read().await.expect("an answer").status()
}

#[tokio::test]
async fn runs_are_recorded_and_keys_are_remembered_by_cell() {
    let test = async {
        let (shared, servers) = fleet(3);
        let runs = || shared.results.borrow().servers.iter().map(|s| s.runs).collect::<Vec<_>>();
        let twice = || shared.results.borrow().classes.iter().map(|c| c.run_twice).collect::<Vec<_>>();
        for (server, class, run, run_twice) in [
            (0, "keyed", [1, 0, 0], [0, 0]),
            (1, "keyed", [1, 0, 0], [0, 0]), // Same cell: the key is known.
            (2, "keyed", [1, 0, 1], [1, 0]), // Another cell: the order runs again.
            (0, "unsafe", [2, 0, 1], [1, 0]),
            (1, "unsafe", [2, 1, 1], [1, 1]), // Without a key, nothing is remembered.
        ] {
            let mut wire = Connection::connect(servers[server].address()).await;
            order(&mut wire, class, 7, 100).await;
            assert_eq!(answer(&mut wire).await, 200);
            assert_eq!((runs(), twice()), (run.to_vec(), run_twice.to_vec()), "{class} at s{server}");
        }
        assert_eq!(shared.results.borrow().violations().len(), 2);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_full_server_refuses_and_states_that_nothing_ran() {
    let test = async {
        let (shared, servers) = fleet(1);
        let address = servers[0].address();
        let (mut one, mut two, mut three) = (
            Connection::connect(address).await,
            Connection::connect(address).await,
            Connection::connect(address).await,
        );
        order(&mut one, "unsafe", 1, 60_000_000).await;
        order(&mut two, "unsafe", 2, 60_000_000).await;
        // Wait until the server reports both requests.
        let mut probe = Connection::connect(address).await;
        loop {
            probe.write("GET /stats HTTP/1.1\r\nHost: a\r\n\r\n").await;
            let load: Value =
                serde_json::from_slice(&probe.read().await.expect("an answer").body).expect("a report");
            if load["outstanding"] == 2 {
                assert_eq!(load["backlog"], 1);
                break;
            }
        }
        order(&mut three, "unsafe", 3, 100).await;
        let turned_away = three.read().await.expect("an answer");
        assert_eq!((turned_away.status(), turned_away.header("x-not-processed")), (503, Some("1")));
        let results = shared.results.borrow();
        assert_eq!((results.servers[0].runs, results.servers[0].turned_away), (1, 1));
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_crash_resets_connections_and_a_restart_serves_again() {
    let test = async {
        let (shared, servers) = fleet(1);
        let address = servers[0].address();
        let mut open = Connection::connect(address).await;
        order(&mut open, "keyed", 1, 60_000_000).await;
        while shared.results.borrow().servers[0].runs == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        servers[0].die().await;
        assert!(open.read().await.is_none(), "no response arrives");
        assert!(tokio::net::TcpStream::connect(address).await.is_err(), "nothing listens");
        servers[0].start(true).expect("its address is free");
        assert_eq!(servers[0].address(), address);
        // Its work had begun, so the cell remembers the key although no client received the response.
        let mut again = Connection::connect(address).await;
        order(&mut again, "keyed", 1, 100).await;
        assert_eq!(answer(&mut again).await, 200);
        assert_eq!(shared.results.borrow().servers[0].runs, 1);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_frozen_server_answers_only_after_the_freeze() {
    let test = async {
        let (_shared, servers) = fleet(1);
        let mut wire = Connection::connect(servers[0].address()).await;
        let length = Duration::from_millis(200);
        let began = tokio::time::Instant::now();
        servers[0].freeze(length);
        order(&mut wire, "unsafe", 1, 100).await;
        assert_eq!(answer(&mut wire).await, 200);
        assert!(began.elapsed() >= length);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn the_registry_sends_complete_lists_and_changes() {
    let test = async {
        let registry = Registry::start().await.expect("a port");
        registry.announce(json!({"id": "a", "phase": "active"}));
        registry.announce(json!({"id": "b", "phase": "active"}));
        let mut wire = Connection::connect(registry.address()).await;
        let mut whole = async || -> Value {
            wire.write("GET /registry/instances HTTP/1.1\r\nHost: a\r\n\r\n").await;
            serde_json::from_slice(&wire.read().await.expect("a list").body).expect("a list")
        };
        let list = whole().await;
        assert_eq!((&list["complete"], list["members"].as_array().map(Vec::len)), (&json!(true), Some(2)));

        let since = list["revision"].as_u64().expect("a revision");
        let mut watch = Connection::connect(registry.address()).await;
        watch
            .write(&format!("GET /registry/instances?follow=1&since={since} HTTP/1.1\r\nHost: a\r\n\r\n"))
            .await;
        let mut line = async || watch.line().await.unwrap_or_default();
        while !line().await.is_empty() {} // Response head.
        let first = (line().await, line().await);
        assert!(first.1.contains("\"members\":[]"), "no change yet: {first:?}");
        registry.announce(json!({"id": "b", "phase": "left"}));
        let change = loop {
            let line = line().await;
            if line.contains("members") {
                break serde_json::from_str::<Value>(&line).expect("a list");
            }
        };
        assert_eq!(change["complete"], json!(false));
        assert_eq!(change["members"], json!([{"id": "b", "phase": "left"}]));
        assert_eq!(whole().await["members"].as_array().map(Vec::len), Some(1));
    };
    LocalSet::new().run_until(test).await;
}
