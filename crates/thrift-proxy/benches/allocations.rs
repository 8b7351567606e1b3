//! Measures the allocations per call of the whole proxy path (frontend, engine, upstream and back), which runs on one thread.
//! The client and the server run on their own threads and are not counted.

use birchswitch_figures::Metrics;
use birchswitch_host::Host;
use birchswitch_membership::{list::ServerList, Directory};
use birchswitch_standin::scripted;
use birchswitch_thrift::write::{Binary, Writer};
use birchswitch_thrift::{frame, MessageType, ValueType};
use birchswitch_thrift_proxy::{Settings, ThriftFrontend, ThriftUpstream};
use serde_json::json;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Counts the allocations and allocated bytes of each thread.
struct CountingAllocator;

thread_local! {
    static ALLOCATIONS: Cell<(u64, u64)> = const { Cell::new((0, 0)) };
}

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = ALLOCATIONS.try_with(|c| c.set((c.get().0 + 1, c.get().1 + layout.size() as u64)));
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn message(kind: MessageType, seqid: i32) -> Vec<u8> {
    let mut bytes = vec![0; frame::HEADER_LEN];
    let mut writer = Binary(&mut bytes);
    writer.header(kind, "browse", seqid, true);
    writer.field(ValueType::Binary, 1, 0, None);
    writer.binary(&[b'x'; 128]);
    writer.stop();
    frame::write_length(&mut bytes);
    bytes
}

/// Answers every call with its own sequence id, which is the last four bytes of the message header.
fn serve(listener: TcpListener) {
    for mut stream in listener.incoming().map_while(Result::ok) {
        std::thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let mut call = message(MessageType::Call, 0);
            while stream.read_exact(&mut call).is_ok() {
                let at = frame::HEADER_LEN + 8 + "browse".len();
                let seqid = i32::from_be_bytes(call[at..at + 4].try_into().expect("four bytes"));
                if stream.write_all(&message(MessageType::Reply, seqid)).is_err() {
                    return;
                }
            }
        });
    }
}

fn send_calls(address: SocketAddr, calls: i32) {
    let mut stream = TcpStream::connect(address).expect("a connection to the proxy");
    stream.set_nodelay(true).expect("a socket");
    let mut reply = message(MessageType::Reply, 0);
    for seqid in 0..calls {
        stream.write_all(&message(MessageType::Call, seqid)).expect("writing");
        stream.read_exact(&mut reply).expect("a reply");
        assert_eq!(reply, message(MessageType::Reply, seqid));
    }
}

async fn measure() {
    let site = birchswitch_site::parse(scripted::settings().to_string().as_bytes()).expect("settings");
    let names = Rc::new(site.names);
    let settings = json!({
        "name": "bench", "listen": "127.0.0.1:0", "tenant": "one", "methods": {"browse": {"class": "safe"}},
        "servers": {"dialect": "framed-binary", "discovery": "127.0.0.1:1"},
    });
    let settings: Settings = serde_json::from_value(settings).expect("settings");
    let compiled = Rc::new(settings.compile(&site.settings, &names).expect("settings"));
    let upstream = ThriftUpstream::new(compiled.clone(), Duration::from_secs(1), Duration::from_secs(60));
    let directory = Directory::new(names.clone());
    let site = compiled.site_settings(site.settings);
    let metrics = Metrics::new(&[]).expect("fixed names");
    let host = Host::new("bench".into(), site, 1, directory, upstream, metrics).expect("settings");
    host.load_cached_list(None);
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let member = scripted::member("s", server.local_addr().expect("an address"), "active");
    let list = json!({"revision": 1, "complete": true, "members": [member]});
    host.apply_list(&ServerList::parse(list.to_string().as_bytes()).expect("a list"));
    std::thread::spawn(move || serve(server));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (_close, closing) = tokio::sync::watch::channel(false);
    tokio::task::spawn_local(ThriftFrontend::new(host, compiled, names, closing).serve(listener));
    const CALLS: i32 = 20_000;
    let run = async |calls| {
        let (done, wait) = tokio::sync::oneshot::channel();
        std::thread::spawn(move || {
            send_calls(address, calls);
            let _ = done.send(());
        });
        wait.await.expect("the client");
    };
    run(1000).await;
    let before = ALLOCATIONS.get();
    run(CALLS).await;
    let after = ALLOCATIONS.get();
    let per_call = |n: u64| n as f64 / f64::from(CALLS);
    println!(
        "{:.1} allocations and {:.0} bytes a call",
        per_call(after.0 - before.0),
        per_call(after.1 - before.1)
    );
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, measure());
}
