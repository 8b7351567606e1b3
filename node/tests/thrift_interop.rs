//! Clients and servers of the `thrift` crate with code generated from an order service's IDL, with a node
//! between them, in every dialect.

#[allow(dead_code, missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "../../crates/thrift/tests/order/order.rs"]
mod order;

use birchswitch_standin::scripted::*;
use order::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use thrift::protocol::*;
use thrift::server::TProcessor;
use thrift::transport::*;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Dialect {
    FramedBinary,
    FramedCompact,
    Binary,
    Compact,
}

use Dialect::*;

impl Dialect {
    fn name(self) -> &'static str {
        match self {
            FramedBinary => "framed-binary",
            FramedCompact => "framed-compact",
            Binary => "binary",
            Compact => "compact",
        }
    }

    fn protocols(
        self,
        stream: TcpStream,
    ) -> (Box<dyn TInputProtocol + Send>, Box<dyn TOutputProtocol + Send>) {
        let channel = TTcpChannel::with_stream(stream);
        let (reading, writing) = channel.split().expect("a socket splits");
        let reading: Box<dyn TReadTransport + Send> = match self {
            FramedBinary | FramedCompact => Box::new(TFramedReadTransport::new(reading)),
            Binary | Compact => Box::new(TBufferedReadTransport::new(reading)),
        };
        let writing: Box<dyn TWriteTransport + Send> = match self {
            FramedBinary | FramedCompact => Box::new(TFramedWriteTransport::new(writing)),
            Binary | Compact => Box::new(TBufferedWriteTransport::new(writing)),
        };
        match self {
            FramedBinary | Binary => (
                Box::new(TBinaryInputProtocol::new(reading, true)),
                Box::new(TBinaryOutputProtocol::new(writing, true)),
            ),
            FramedCompact | Compact => (
                Box::new(TCompactInputProtocol::new(reading)),
                Box::new(TCompactOutputProtocol::new(writing)),
            ),
        }
    }
}

/// A shop that records the calls that ran.
struct Handler(Arc<Mutex<Vec<String>>>);

impl Handler {
    fn ran(&self, what: String) {
        self.0.lock().expect("no test panicked here").push(what);
    }
}

impl ShopSyncHandler for Handler {
    fn handle_buy(&self, order: Order) -> thrift::Result<Receipt> {
        self.ran(format!("buy {}", order.player));
        match order.items.first() {
            Some(item) if item.sku == "rare" => {
                Err(thrift::Error::User(Box::new(SoldOut::new(item.sku.clone()))))
            }
            _ => Ok(Receipt::new(format!("{order:?}"), order.player * 3, vec![true, false, true])),
        }
    }

    fn handle_topup(&self, order: Order) -> thrift::Result<Receipt> {
        self.ran(format!("topup {}", order.player));
        Err("the till is broken".into())
    }

    fn handle_browse(&self, caller: Caller, page: String) -> thrift::Result<Vec<Item>> {
        self.ran(format!("browse {page}"));
        Ok(vec![Item::new(caller.tenant, i32::MIN, thrift::OrderedFloat(f64::MIN_POSITIVE)); 3])
    }

    fn handle_seen(&self, _: Caller, player: i64) -> thrift::Result<()> {
        self.ran(format!("seen {player}"));
        Ok(())
    }

    fn handle_load(&self) -> thrift::Result<Load> {
        Ok(Load::new(1, 0, thrift::OrderedFloat(0.25)))
    }
}

/// Serves until the process ends, with one thread per connection.
fn serve(dialect: Dialect) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind(unique_address()).expect("a port");
    let address = listener.local_addr().expect("an address");
    let ran = Arc::new(Mutex::new(Vec::new()));
    let processor = Arc::new(ShopSyncProcessor::new(Handler(ran.clone())));
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let processor = processor.clone();
            std::thread::spawn(move || {
                let (mut input, mut output) = dialect.protocols(stream);
                while processor.process(&mut *input, &mut *output).is_ok() {}
            });
        }
    });
    (address, ran)
}

fn new_order(player: i64, sku: &str) -> Order {
    let caller = Caller::new("one".to_owned(), 20_000, format!("key-{player}"), 500i64);
    let items = vec![Item::new(sku.to_owned(), 2, thrift::OrderedFloat(0.5))];
    let notes = [("é".to_owned(), String::new())].into();
    Order::new(
        caller,
        player,
        items,
        Some(notes),
        Some([-3i16, 4].into()),
        false,
        Currency::KRW,
        vec![0u8, 130, 255],
    )
}

/// Sends a fixed mix of calls and returns the outcomes as text.
fn run_calls(address: SocketAddr, dialect: Dialect) -> Vec<String> {
    let (input, output) = dialect.protocols(TcpStream::connect(address).expect("the node"));
    let mut client = ShopSyncClient::new(input, output);
    let caller = || Caller::new("one".to_owned(), None, None, None);
    let mut seen = Vec::new();
    for player in 1..=5i64 {
        seen.push(match client.buy(new_order(player, "gem")) {
            Ok(receipt) => format!("{receipt:?}"),
            Err(e) => format!("error: {e}"),
        });
        client.seen(caller(), player).expect("it is written");
        seen.push(match client.browse(caller(), format!("page {player}")) {
            Ok(items) => format!("{items:?}"),
            Err(e) => format!("error: {e}"),
        });
    }
    seen.push(match client.buy(new_order(6, "rare")) {
        Err(thrift::Error::User(e)) => format!("declared: {e}"),
        other => format!("not what the IDL declares: {other:?}"),
    });
    seen.push(match client.topup(new_order(7, "gem")) {
        Err(thrift::Error::Application(e)) => format!("{:?}: {}", e.kind, e.message),
        other => format!("no failure: {other:?}"),
    });
    let mut unknown_tenant = new_order(8, "gem");
    unknown_tenant.caller.tenant = "nobody".to_owned();
    seen.push(match client.buy(unknown_tenant) {
        Err(thrift::Error::Application(e)) => format!("{:?}: {}", e.kind, e.message),
        other => format!("no failure: {other:?}"),
    });
    seen.push(format!("{:?}", client.load().map_err(|e| e.to_string())));
    seen
}

/// The same mix in every pair of dialects: outcomes and executed calls are the same, and are those of a
/// direct connection except for what the node itself answers.
#[tokio::test]
async fn every_pair_of_dialects_has_the_same_outcome() {
    let mut outcomes = Vec::new();
    for servers in [FramedBinary, FramedCompact, Binary, Compact] {
        let (address, ran) = serve(servers);
        let (http, thrift) = (Peer::new().await, Peer::new().await);
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        let operator = format!(
            "[[thrift]]
             name = 'orders'
             listen = '127.0.0.1:0'
             [thrift.methods]
             buy = {{ class = 'unsafe', tenant = '1.1.1', deadline_ms = '1.1.2', cost_us = '1.1.4' }}
             topup = {{ class = 'keyed', tenant = '1.1.1', key = '1.1.3', cost_us = '1.1.4' }}
             browse = {{ class = 'safe', tenant = '1.1' }}
             seen = {{ class = 'unsafe', tenant = '1.1' }}
             [thrift.servers]
             dialect = '{}'
             discovery = '{}'
             [thrift.servers.load]
             method = 'load'
             fields = {{ held = '0.1', waiting = '0.2', busy = '0.3' }}",
            servers.name(),
            thrift.address(),
        );
        file.write_all(operator.as_bytes()).expect("a file");
        let config = json!({
            "name": "n", "listen": "127.0.0.1:0", "discovery": http.address().to_string(), "seed": "1f",
            "limits": {"sockets": 1024, "memory_mb": 64}, "settings": settings(),
        });
        let path = file.path().to_str().expect("a path");
        let mut node = Node::with_config(config, &[("GW_OPERATOR", path)]).await;
        let line = node.wait_for_log("thrift orders: listening on ").await;
        let node_address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        let (mut watch, _) = thrift.watch().await;
        watch.list(1, true, &[member("s", address, "active")]).await;
        node.wait_for_log("thrift orders: holds a list").await;
        for clients in [FramedBinary, FramedCompact, Binary, Compact] {
            let seen = tokio::task::spawn_blocking(move || run_calls(node_address, clients));
            let seen = within("the mix", seen).await.expect("no panic");
            let mut ran = std::mem::take(&mut *ran.lock().expect("no panic"));
            // A oneway call may be executed out of order: the calls after it may use another connection.
            ran.sort();
            outcomes.push((clients, servers, seen, ran));
        }
    }
    let (_, _, seen, ran) = &outcomes[0];
    assert!(seen.iter().take(10).all(|s| !s.contains("error")), "{seen:#?}");
    assert!(seen[10].starts_with("declared: "), "{seen:#?}");
    assert!(seen[11].contains("failed: it may have been carried out"), "{seen:#?}");
    assert!(seen[12].contains("unknown tenant"), "{seen:#?}");
    assert!(seen[13].contains("unknown service method"), "{seen:#?}");
    assert_eq!(ran.len(), 17, "each once: {ran:?}");
    for (clients, servers, other_seen, other_calls) in &outcomes[1..] {
        assert_eq!(other_seen, seen, "{clients:?} in, {servers:?} out");
        assert_eq!(other_calls, ran, "{clients:?} in, {servers:?} out");
    }
}
