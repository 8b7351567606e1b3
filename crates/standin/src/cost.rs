//! Measures what a request costs a node: CPU time, latency and memory under a closed loop of clients, over HTTP/1.1 and
//! Thrift.
//!
//! The servers answer at once and run on a thread of their own; each client sends its next request as soon as it has a
//! response. Absolute figures depend on the machine, ratios taken within one run less so.

use crate::fleet::{io, FleetError, NodeProcess};
use crate::process::cpu_time;
use crate::registry::Registry;
use birchswitch_thrift::write::{self, Writer};
use birchswitch_thrift::{frame, walk, Limits, MessageType, Protocol, ValueType};
use serde_json::json;
use std::fmt;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Protocol between clients, node and servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// HTTP/1.1.
    Http,
    /// Framed Thrift.
    Thrift(Protocol),
}

impl fmt::Display for Transport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Transport::Http => f.write_str("HTTP/1.1"),
            Transport::Thrift(protocol) => write!(f, "Thrift framed {protocol:?}"),
        }
    }
}

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the node's binary.
    pub binary: PathBuf,
    /// Protocol of the requests.
    pub transport: Transport,
    /// Whether the node probes the servers for their load.
    pub probes: bool,
    /// Number of clients, each with one request in flight.
    pub clients: usize,
    /// Number of servers.
    pub servers: usize,
    /// Length of the measurement, which begins after a warm-up of 500 ms.
    pub length: Duration,
}

/// Result of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Number of successful responses.
    pub served: u64,
    /// Number of other responses.
    pub other: u64,
    /// CPU time of the node per response of either kind, in microseconds.
    pub cpu_us: f64,
    /// Median latency.
    pub p50: Duration,
    /// 99th percentile of the latency.
    pub p99: Duration,
    /// Peak resident memory of the node in KiB.
    pub peak_kib: u64,
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let us = |d: Duration| d.as_micros();
        write!(
            f,
            "{:>8} served {:>6} other {:>7.1} us CPU each, p50 {:>6} us, p99 {:>6} us, peak {:.1} MB",
            self.served,
            self.other,
            self.cpu_us,
            us(self.p50),
            us(self.p99),
            self.peak_kib as f64 / 1024.0
        )
    }
}

/// Length of bodies and of the strings in Thrift messages.
const BODY_BYTES: usize = 128;

/// Builds a framed Thrift message with one string field.
fn thrift_message(protocol: Protocol, kind: MessageType, seqid: i32) -> Vec<u8> {
    fn fill(writer: &mut impl Writer, kind: MessageType, seqid: i32) {
        writer.header(kind, "browse", seqid, true);
        writer.field(ValueType::Binary, if kind == MessageType::Call { 1 } else { 0 }, 0, None);
        writer.binary(&[b'x'; BODY_BYTES]);
        writer.stop();
    }
    let mut bytes = vec![0; frame::HEADER_LEN];
    match protocol {
        Protocol::Binary => fill(&mut write::Binary(&mut bytes), kind, seqid),
        Protocol::Compact => fill(&mut write::Compact(&mut bytes), kind, seqid),
    }
    frame::write_length(&mut bytes);
    bytes
}

/// Builds a load report with the field ids that the operator's file in [`measure`] configures.
fn thrift_load(protocol: Protocol, seqid: i32) -> Vec<u8> {
    fn fill(writer: &mut impl Writer, seqid: i32) {
        writer.header(MessageType::Reply, "load", seqid, true);
        writer.field(ValueType::I32, 1, 0, None);
        writer.i32(1);
        writer.field(ValueType::Double, 2, 1, None);
        writer.double(0.3);
        writer.stop();
    }
    let mut bytes = vec![0; frame::HEADER_LEN];
    match protocol {
        Protocol::Binary => fill(&mut write::Binary(&mut bytes), seqid),
        Protocol::Compact => fill(&mut write::Compact(&mut bytes), seqid),
    }
    frame::write_length(&mut bytes);
    bytes
}

/// Starts servers that answer at once, on a thread with its own runtime, until the process ends. Returns their
/// addresses.
fn serve(transport: Transport, servers: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..servers).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
    let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::spawn(move || {
        runtime.block_on(async move {
            for listener in listeners {
                let Ok(()) = listener.set_nonblocking(true) else { continue };
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { continue };
                tokio::spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        tokio::spawn(answer(transport, stream));
                    }
                });
            }
            std::future::pending::<()>().await;
        });
    });
    Ok(addresses)
}

async fn answer(transport: Transport, mut stream: tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let _ = stream.set_nodelay(true);
    let mut received = Vec::with_capacity(4096);
    loop {
        while let Some((length, reply)) = reply(transport, &received) {
            received.drain(..length);
            if stream.write_all(&reply).await.is_err() {
                return;
            }
        }
        if !matches!(stream.read_buf(&mut received).await, Ok(n) if n > 0) {
            return;
        }
    }
}

/// Returns the length of the first complete request in the buffer and the response to it.
fn reply(transport: Transport, received: &[u8]) -> Option<(usize, Vec<u8>)> {
    match transport {
        Transport::Http => {
            let end = received.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
            let stats = received.starts_with(b"GET /stats");
            let body = if stats {
                br#"{"outstanding":1,"utilization":0.3}"#.to_vec()
            } else {
                vec![b'x'; BODY_BYTES]
            };
            let mut reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
            reply.extend(body);
            Some((end, reply))
        }
        Transport::Thrift(protocol) => {
            let limits = Limits::default();
            let length = frame::length(received, &limits).ok()??;
            let content = received.get(frame::HEADER_LEN..frame::HEADER_LEN + length)?;
            let header = walk::header(protocol, content, &limits).ok()?;
            let reply = match header.name {
                "load" => thrift_load(protocol, header.seqid),
                _ => thrift_message(protocol, MessageType::Reply, header.seqid),
            };
            Some((frame::HEADER_LEN + length, reply))
        }
    }
}

/// Runs one client until `to`. Returns the latencies in microseconds of successful requests sent after `from`, and the
/// number of other responses to such requests.
fn run_client(
    transport: Transport,
    address: SocketAddr,
    number: usize,
    from: Instant,
    to: Instant,
) -> std::io::Result<(Vec<u32>, u64)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let (mut latencies, mut other, mut buffer) = (Vec::new(), 0, [0; 4096]);
    for count in 0u32.. {
        let sent_at = Instant::now();
        if sent_at >= to {
            break;
        }
        let request = match transport {
            Transport::Http => format!(
                "GET /browse/item?page=1 HTTP/1.1\r\nHost: shop\r\nX-Request-ID: {number}-{count}\r\n\
                 X-Timeout: 2000m\r\nX-Tenant-Id: one\r\nCookie: obj=7f3a9c21e0b4d655\r\n\r\n"
            )
            .into_bytes(),
            Transport::Thrift(protocol) => thrift_message(protocol, MessageType::Call, count as i32),
        };
        stream.write_all(&request)?;
        let mut received = 0;
        let served = loop {
            let read = stream.read(&mut buffer[received..])?;
            if read == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            received += read;
            match transport {
                Transport::Http => {
                    let Some(end) = buffer[..received].windows(4).position(|w| w == b"\r\n\r\n") else {
                        continue;
                    };
                    let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
                    let length = head.split("content-length:").nth(1).and_then(|l| l.lines().next());
                    let length: usize = length.and_then(|l| l.trim().parse().ok()).unwrap_or(0);
                    if received >= end + 4 + length {
                        break head.starts_with("http/1.1 200");
                    }
                }
                Transport::Thrift(protocol) => {
                    let limits = Limits::default();
                    let Ok(Some(length)) = frame::length(&buffer[..received], &limits) else { continue };
                    if received >= frame::HEADER_LEN + length {
                        let header = walk::header(protocol, &buffer[frame::HEADER_LEN..received], &limits);
                        break header.is_ok_and(|h| h.kind == MessageType::Reply);
                    }
                }
            }
        };
        if sent_at >= from {
            latencies.extend(served.then(|| sent_at.elapsed().as_micros() as u32));
            other += u64::from(!served);
        }
    }
    Ok((latencies, other))
}

/// Peak resident memory of a process in KiB.
fn peak_kib(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let peak = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    peak.and_then(|p| p.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Starts servers and a node, runs the load and ends the node. Must run inside a `tokio::task::LocalSet`.
pub async fn measure(plan: &Plan) -> Result<Cost, FleetError> {
    let addresses = serve(plan.transport, plan.servers).map_err(io("the servers"))?;
    let registry = Registry::start().await.map_err(io("the registry"))?;
    for (n, address) in addresses.iter().enumerate() {
        registry
            .announce(json!({"id": format!("s{n}"), "host_port": address.to_string(), "locality": "here",
                             "flavor": "std", "cell": 0, "phase": "active", "size": 1.0, "up_since_ms": 0}));
    }
    let class = json!({"name": "browse", "effect": "free", "promise_ns": 1_000_000_000u64,
                       "deadline_ns": 2_000_000_000u64, "importance": 1.0});
    let config = json!({
        "name": "n", "listen": "127.0.0.1:0", "discovery": registry.address().to_string(), "seed": "1f",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "settings": {
            "balancers": 1, "zone": 0, "zones": ["here"], "kinds": ["std"], "registry_mode": "automatic",
            "profiles": [class], "tenants": [{"name": "one", "quota_per_s": 1e9}],
            "limits": {"try_limit": 3, "conn_idle_ns": 15_000_000_000u64, "connect_timeout_ns": 250_000_000u64,
                       "may_cancel": true, "may_probe": plan.probes},
            "report": {"how": if plan.probes { "pull" } else { "silent" }, "fields": ["outstanding", "utilization"]},
            "rules": {"cold_from": 0.5, "drain_grace_ns": 1_000_000_000u64, "fall_multiple": 3.0,
                      "overload_for_ns": 1_000_000_000u64, "warm_up_ns": 1_000_000_000u64}
        }
    });
    let load = "[thrift.servers.load]\nmethod = 'load'\nfields = { held = '1', busy = '2' }\n";
    let operator = match plan.transport {
        Transport::Http => None,
        Transport::Thrift(protocol) => Some(format!(
            "[[thrift]]\nname = 'cost'\nlisten = '127.0.0.1:0'\ntenant = 'one'\nmethods.browse.class = 'browse'\n\
             [thrift.servers]\ndialect = 'framed-{}'\ndiscovery = '{}'\n{}",
            if protocol == Protocol::Binary { "binary" } else { "compact" },
            registry.address(),
            if plan.probes { load } else { "" },
        )),
    };
    let node = NodeProcess::start(&plan.binary, 0, config, operator.as_deref()).await?;
    let address = match plan.transport {
        Transport::Http => node.ready().await?,
        Transport::Thrift(_) => node.last_address("holds a list").await?,
    };
    let pid = node.pid();
    let from = Instant::now() + Duration::from_millis(500);
    let to = from + plan.length;
    let (transport, clients) = (plan.transport, plan.clients);
    let client_threads: Vec<_> = (0..clients)
        .map(|n| std::thread::spawn(move || run_client(transport, address, n, from, to)))
        .collect();
    let until = |at: Instant| tokio::time::sleep(at.saturating_duration_since(Instant::now()));
    until(from).await;
    let before = cpu_time(pid);
    until(to).await;
    let used = cpu_time(pid).saturating_sub(before);
    let (mut latencies, mut other) = (Vec::new(), 0);
    for client in client_threads {
        let answered = client.join().unwrap_or_else(|_| Err(std::io::ErrorKind::Other.into()));
        let (own, turned_away) = answered.map_err(io("a client"))?;
        latencies.extend(own);
        other += turned_away;
    }
    latencies.sort_unstable();
    let quantile = |part: f64| {
        let at = (latencies.len() as f64 * part) as usize;
        Duration::from_micros(latencies.get(at).copied().unwrap_or(0).into())
    };
    let served = latencies.len() as u64;
    let cpu_us = used.as_secs_f64() * 1e6 / (served + other).max(1) as f64;
    Ok(Cost { served, other, cpu_us, p50: quantile(0.5), p99: quantile(0.99), peak_kib: peak_kib(pid) })
}
