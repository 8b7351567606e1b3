//! `birchswitch`: a reverse-proxy node. Reads its configuration, starts its subsystems, and shuts down on a signal.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod config;
mod fleet;
mod lease_run;
mod lists;
mod log;
mod memory;
mod operations;
mod operator;
mod thrift;

use birchswitch_figures::Metrics;
use birchswitch_host::Host;
use birchswitch_http::{BufferBudget, HttpFrontend, HttpUpstream, ShutdownPhase, UpstreamLimits};
use birchswitch_lease_host::{Leases, Tasks};
use birchswitch_membership::{Directory, Discovery};
use birchswitch_memory::MemoryMonitor;
use clap::{Parser, Subcommand};
use config::{Config, RESERVED_SOCKETS};
use fleet::{health, leases, members, Fleet, FleetSettings};
use std::error::Error;
use std::future::Future;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

#[global_allocator]
static ALLOCATOR: birchswitch_memory::BlockAllocator = birchswitch_memory::BlockAllocator;

/// Clients may still open connections for this long after a signal.
const LEAVE_DELAY: Duration = Duration::from_millis(500);
/// After that no connection is accepted, and requests that have arrived on open ones are still read for this long.
const CLOSE_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for accepted requests during shutdown. The platform kills a process only after its requests' deadlines could have
/// passed, but does not wait for deadlines beyond this.
const MAX_FINISH_WAIT: Duration = Duration::from_secs(3);
/// Time beyond the longest deadline for the last responses to be written.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(100);
/// Memory in bytes that the process needs without any connection.
const PROCESS_MEMORY: usize = 8 << 20;
/// Maximum memory in bytes of one request beside its large bodies: both connections, heads, and what passes through at a
/// time.
const REQUEST_MEMORY: usize = 54 << 10;
/// At most this fraction (1/n) of the memory that is left after the process's own buffers bodies.
const BODY_MEMORY_DIVISOR: usize = 4;
/// At most this fraction (1/n) of the memory buffers request bodies, and as much response bodies.
const LARGE_BODY_DIVISOR: usize = 8;
/// Length of the listening socket's accept queue.
const BACKLOG: u32 = 1024;

/// A reverse-proxy node. Without a command it runs the node, configured by environment variables (README.md).
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Read and check the whole configuration without starting the node.
    Check,
    /// Use leases for tasks of the whole fleet through a running node.
    #[command(subcommand)]
    Lease(lease_run::Command),
}

fn main() -> ExitCode {
    birchswitch_memory::map_large_allocations();
    let command = Arguments::parse().command;
    let run = || -> Result<ExitCode, Box<dyn Error>> {
        if let Some(Command::Lease(lease)) = command {
            return block_on(lease_run::run(lease));
        }
        let config = Config::from_env()?;
        if matches!(command, Some(Command::Check)) {
            let cluster =
                config.operator.cluster.as_ref().map(|c| format!(", cluster {}", c.settings.cluster));
            let listeners = config.operator.thrift.len();
            println!("fine: {listeners} Thrift listeners{}", cluster.unwrap_or_default());
            return Ok(ExitCode::SUCCESS);
        }
        block_on(run(config)).map(|()| ExitCode::SUCCESS)
    };
    run().unwrap_or_else(|error| {
        eprintln!("birchswitch: {error}");
        ExitCode::FAILURE
    })
}

/// Runs a future to completion on this thread.
fn block_on<T>(future: impl Future<Output = Result<T, Box<dyn Error>>>) -> Result<T, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}

async fn run(config: Config) -> Result<(), Box<dyn Error>> {
    let _log = config.operator.log.as_ref().map(log::start).transpose()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Without a handler SIGHUP ends the process, so the handler stays installed until the end.
    let mut hangup = signal(SignalKind::hangup())?;
    let settings = config.site.settings;
    let longest_deadline = settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let effects = settings.classes.iter().map(|c| c.effect).collect();
    // The operator's listeners have their share of sockets and memory reserved.
    let reserved = config.operator.reserved();
    let (sockets, memory) = (config.sockets - reserved.sockets, config.memory - reserved.memory);
    // Clients and servers share the descriptors equally. That is more than the third that clients need for requests: the rest is
    // for idle connections.
    let MemoryPlan { requests, bodies } = MemoryPlan::new(memory);
    let memory_monitor = Rc::new(MemoryMonitor::new(config.memory));
    let body_budget = || BufferBudget::with_pressure(bodies, memory_monitor.pressure().clone());
    let (request_bodies, response_bodies) = (body_budget(), body_budget());
    let clients = ((sockets - RESERVED_SOCKETS) / 2).min(requests);
    let limits = UpstreamLimits {
        connections: sockets - RESERVED_SOCKETS - clients,
        connect_timeout: or_default(settings.connect_timeout, Duration::from_millis(250)),
        conn_idle: or_default(settings.conn_idle, Duration::from_secs(5)),
    };
    let names = Rc::new(config.site.names);
    let upstream = HttpUpstream::new(limits, names.clone(), config.site.fields, response_bodies.clone());
    let subscribe = settings.subscribe_to_lists;
    let directory = Directory::new(names.clone());
    let metrics = Metrics::new(&names.classes)?;
    let host = Host::new(
        config.name.clone(),
        settings.clone(),
        config.seed,
        directory,
        upstream.clone(),
        metrics.clone(),
    )?;
    let inherited = config.socket.is_some();
    let listener = match config.socket {
        Some(number) => adopt_listener(number).map_err(|e| format!("GW_SOCKET_FD: {e}"))?,
        None => listen(config.listen).map_err(|e| format!("cannot listen on {}: {e}", config.listen))?,
    };
    host.log(format_args!("listening on {}", listener.local_addr()?));
    let (phase, phases) = watch::channel(ShutdownPhase::Serving);
    let cluster = config.operator.cluster.as_ref();
    let cluster = cluster.map(|c| members::open(c, &config.name, config.seed)).transpose()?;
    let leases = config.operator.lease.as_ref().zip(cluster.as_ref());
    let leases = leases.map(|(lease, cluster)| Leases::open(lease, cluster, config.seed));
    let lease = config.operator.lease.as_ref();
    let fleet_settings = FleetSettings {
        mesh: config.operator.mesh.as_ref(),
        limits: config.operator.limits.as_ref(),
        clock: lease.map(|l| (l.rate, l.terms.drift)),
        wallet: config.operator.wallet.as_ref(),
        verdicts: config.operator.verdicts,
        tuner: config.operator.tuner,
        classes: &settings.classes,
        tenants: &names.tenants,
    };
    let fleet = Fleet::open(&fleet_settings, cluster.as_ref(), leases.as_ref())?;
    let gate = fleet.as_ref().and_then(Fleet::gate);
    fleet::install_gate(&host, gate.as_ref());
    fleet.iter().for_each(|f| f.observe_attempts(&host));
    let mut subsystems: Vec<Rc<dyn operations::Subsystem>> = Vec::new();
    subsystems.extend(
        cluster
            .iter()
            .map(|c| Rc::new(members::MembershipOperations(c.clone())) as Rc<dyn operations::Subsystem>),
    );
    subsystems.extend(
        leases.iter().map(|l| Rc::new(leases::LeaseOperations(l.clone())) as Rc<dyn operations::Subsystem>),
    );
    subsystems.extend(fleet.iter().flat_map(Fleet::subsystems));
    subsystems.push(Rc::new(memory::MemoryOperations::new(
        memory_monitor.clone(),
        request_bodies.clone(),
        response_bodies,
    )));
    let operator_server = operations::OperatorServer::open(
        config.ops,
        config.state,
        &host,
        &metrics,
        phases.clone(),
        subsystems,
    )?;
    let discovery = lists::follow(&host, config.discovery, config.known.as_ref(), subscribe);
    let reloading = host.clone();
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            if reload(&reloading, &discovery) {
                lists::watch(&discovery, subscribe);
            }
        }
    });
    spawn_local(async move { upstream.retire_idle().await });
    let (close, closing) = watch::channel(false);
    let context = thrift::ListenerContext {
        name: &config.name,
        site: &settings,
        names: &names,
        metrics: &metrics,
        seed: config.seed,
        closing: &closing,
    };
    let started = config.operator.thrift.into_iter().enumerate();
    let started = started.map(|(n, compiled)| thrift::ThriftListener::start(compiled, n, &context));
    let mut listeners = started.collect::<Result<Vec<_>, _>>()?;
    listeners.iter().for_each(|l| fleet::install_gate(&**l.host(), gate.as_ref()));
    if let Some(cluster) = &cluster {
        let mut hosts: Vec<Rc<dyn members::RingPositioned>> = vec![host.clone()];
        hosts.extend(listeners.iter().map(|l| l.host().clone() as Rc<dyn members::RingPositioned>));
        members::run(cluster, &host, hosts);
    }
    leases.iter().for_each(|l| drop(spawn_local(l.clone().run())));
    fleet.iter().for_each(|f| f.run(&host));
    if let (Some(intervals), Some(cluster), Some(leases)) = (config.operator.health, &cluster, &leases) {
        health::start(intervals, &host, cluster, &Tasks::new(leases, cluster));
    }
    if let Some(operator_server) = operator_server {
        listeners.iter().for_each(|l| operator_server.add_host(l.host().clone()));
        operator_server.serve()?;
    }
    let front = HttpFrontend::new(
        host.clone(),
        names.clone(),
        effects,
        clients as u32,
        request_bodies,
        memory_monitor,
        phases,
    );
    let waiting = host.clone();
    let served = spawn_local(async move {
        // Another process may accept from the same socket: connections accepted before there is a list of servers would be lost to it.
        if inherited {
            waiting.until_ready().await;
        }
        // That process, or the next, accepts new connections once this one leaves.
        let last = if inherited { ShutdownPhase::Leaving } else { ShutdownPhase::Closing };
        front.serve(listener, last).await;
    });
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    host.log(format_args!("leaving"));
    let end = Instant::now() + LEAVE_DELAY + CLOSE_DELAY + longest_deadline.min(MAX_FINISH_WAIT);
    host.cap_deadlines(end);
    listeners.iter().for_each(|l| l.host().cap_deadlines(end));
    if let Some(leases) = &leases {
        leases.close();
    }
    phase.send_replace(ShutdownPhase::Leaving);
    tokio::time::sleep(LEAVE_DELAY).await;
    phase.send_replace(ShutdownPhase::Closing);
    close.send_replace(true);
    tokio::time::sleep(CLOSE_DELAY).await;
    phase.send_replace(ShutdownPhase::Finishing);
    // The requests accepted last are due within the longest deadline.
    let ended = async {
        let _ = served.await;
        for listener in &mut listeners {
            listener.finished().await;
        }
    };
    let _ = tokio::time::timeout(longest_deadline.min(MAX_FINISH_WAIT) + FINAL_WRITE_TIME, ended).await;
    if let Some(fleet) = &fleet {
        fleet.leave().await;
    }
    // Membership ends last: leases and units of accounts must be returned before, and members ignore a node that has left.
    if let Some(cluster) = &cluster {
        cluster.leave();
    }
    host.log(format_args!("left"));
    host.close();
    listeners.iter().for_each(thrift::ThriftListener::close);
    Ok(())
}

/// What the memory limit allows.
struct MemoryPlan {
    /// Number of requests at a time.
    requests: usize,
    /// Bytes of buffered request bodies, and as many of response bodies.
    bodies: usize,
}

impl MemoryPlan {
    fn new(memory: usize) -> Self {
        // With very little memory the process's own part counts as half of it.
        let shared = memory.saturating_sub(PROCESS_MEMORY).max(memory / 2);
        let bodies = shared / BODY_MEMORY_DIVISOR;
        MemoryPlan {
            requests: ((shared - bodies) / REQUEST_MEMORY).max(1),
            bodies: (bodies / 2).min(memory / LARGE_BODY_DIVISOR),
        }
    }
}

/// Reads the configuration again. The whole file is checked before any of it is applied: an invalid one changes nothing. The file's
/// address of discovery now takes precedence over the environment's at the start. Returns true if that address has changed, which
/// requires a new watch.
fn reload(host: &Host<HttpUpstream>, discovery: &Discovery) -> bool {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(error) => {
            host.metrics().reload_failed.inc();
            host.log(format_args!("the configuration stays as it is: {error}"));
            return false;
        }
    };
    host.metrics().reloaded.inc();
    host.log(format_args!("configuration read again"));
    let Some(address) = config.discovery_in_file else { return false };
    let moved = discovery.set_address(address);
    if moved {
        host.log(format_args!("discovery is now {address}"));
    }
    moved
}

fn or_default(value: Duration, default: Duration) -> Duration {
    if value.is_zero() {
        default
    } else {
        value
    }
}

/// Adopts the listening socket that the process inherited.
fn adopt_listener(number: std::os::fd::RawFd) -> Result<TcpListener, Box<dyn Error>> {
    let listener = birchswitch_handover::inherited_listener(number)?;
    listener.set_nonblocking(true)?;
    Ok(TcpListener::from_std(listener)?)
}

fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
