//! `birchswitch`: a reverse-proxy node. Reads its configuration, wires the parts together, and ends on a signal.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod config;
mod fleet;
mod lease_run;
mod lists;
mod log;
mod operations;
mod operator;
mod thrift;

use birchswitch_figures::Metrics;
use birchswitch_host::Host;
use birchswitch_http::{BufferBudget, HttpFrontend, HttpUpstream, ShutdownPhase, UpstreamLimits};
use birchswitch_lease_host::{Leases, Tasks};
use birchswitch_membership::{Directory, Discovery};
use clap::{Parser, Subcommand};
use config::{Config, RESERVED_SOCKETS};
use fleet::{health, leases, members, Common, Wanted};
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

/// Clients go on coming for this long after a signal.
const LEAVE: Duration = Duration::from_millis(500);
/// After that it accepts none, and what has come on connections is read for this long.
const LAST_CHANCE: Duration = Duration::from_millis(100);
/// The platform kills a process that is to end no sooner than so long after what it has taken could be due, but waits for no
/// deadline that is longer.
const LONGEST_STAY: Duration = Duration::from_secs(3);
/// Beyond the longest deadline, for the last answers to be written.
const LAST_WRITES: Duration = Duration::from_millis(100);
/// Most that one request may hold: its body and answer, and the buffers of both connections. Measured with bodies of the
/// largest kind at every place.
const REQUEST_MEMORY: usize = 200 << 10;
/// The part of memory in which large bodies are kept for further attempts, and the same for large answers that clients have not
/// taken yet.
const PASSING_PART: usize = 8;
/// Connections that the system holds until they are accepted.
const BACKLOG: u32 = 1024;

/// A reverse-proxy node. Without a command it runs, configured by variables (README.md).
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Read and check the whole configuration, and start nothing.
    Check,
    /// Leases for tasks of the whole fleet, asked of a running node.
    #[command(subcommand)]
    Lease(lease_run::Command),
}

fn main() -> ExitCode {
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

/// Runs a future to its end on this thread.
fn block_on<T>(future: impl Future<Output = Result<T, Box<dyn Error>>>) -> Result<T, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}

async fn run(config: Config) -> Result<(), Box<dyn Error>> {
    let _log = config.operator.log.as_ref().map(log::start).transpose()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Without a handler SIGHUP ends the process; with one it is borne to the very end.
    let mut hangup = signal(SignalKind::hangup())?;
    let settings = config.site.settings;
    let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let effects = settings.classes.iter().map(|c| c.effect).collect();
    // What the operator's listeners may take is theirs.
    let taken = config.operator.taken();
    let (sockets, memory) = (config.sockets - taken.sockets, config.memory - taken.memory);
    // Five eighths of memory are for requests, two for large ones that pass through; clients and backends share what descriptors there are. That is more
    // than the third that clients need for requests: the rest is for those that say nothing.
    let clients = ((sockets - RESERVED_SOCKETS) / 2).min(memory / 8 * 5 / REQUEST_MEMORY).max(1);
    let limits = UpstreamLimits {
        connections: sockets - RESERVED_SOCKETS - clients,
        connect_timeout: or(settings.connect_timeout, Duration::from_millis(250)),
        conn_idle: or(settings.conn_idle, Duration::from_secs(5)),
    };
    let names = Rc::new(config.site.names);
    let upstream = HttpUpstream::new(
        limits,
        names.clone(),
        config.site.fields,
        BufferBudget::new(memory / PASSING_PART),
    );
    let asked = settings.subscribe_to_lists;
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
        Some(number) => take_up(number).map_err(|e| format!("GW_SOCKET_FD: {e}"))?,
        None => listen(config.listen).map_err(|e| format!("cannot listen on {}: {e}", config.listen))?,
    };
    host.log(format_args!("listening on {}", listener.local_addr()?));
    let (phase, phases) = watch::channel(ShutdownPhase::Serving);
    let cluster = config.operator.cluster.as_ref();
    let cluster = cluster.map(|c| members::open(c, &config.name, config.seed)).transpose()?;
    let leases = config.operator.lease.as_ref().zip(cluster.as_ref());
    let leases = leases.map(|(lease, cluster)| Leases::open(lease, cluster, config.seed));
    let lease = config.operator.lease.as_ref();
    let wanted = Wanted {
        mesh: config.operator.mesh.as_ref(),
        limits: config.operator.limits.as_ref(),
        clock: lease.map(|l| (l.rate, l.terms.drift)),
        wallet: config.operator.wallet.as_ref(),
        verdicts: config.operator.verdicts,
        tuner: config.operator.tuner,
        classes: &settings.classes,
        tenants: &names.tenants,
    };
    let common = Common::open(&wanted, cluster.as_ref(), leases.as_ref())?;
    let gate = common.as_ref().and_then(Common::gate);
    fleet::guard(&host, gate.as_ref());
    common.iter().for_each(|c| c.watch(&host));
    let mut parts: Vec<Rc<dyn operations::Part>> = Vec::new();
    parts.extend(cluster.iter().map(|c| Rc::new(members::Asked(c.clone())) as Rc<dyn operations::Part>));
    parts.extend(leases.iter().map(|l| Rc::new(leases::Asked(l.clone())) as Rc<dyn operations::Part>));
    parts.extend(common.iter().flat_map(Common::parts));
    let desk = operations::Desk::open(config.ops, config.state, &host, &metrics, phases.clone(), parts)?;
    let discovery = lists::follow(&host, config.discovery, config.known.as_ref(), asked);
    let reloading = host.clone();
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            if reload(&reloading, &discovery) {
                lists::watch(&discovery, asked);
            }
        }
    });
    spawn_local(async move { upstream.retire_idle().await });
    let (close, closing) = watch::channel(false);
    let shared = thrift::Shared {
        name: &config.name,
        site: &settings,
        names: &names,
        metrics: &metrics,
        seed: config.seed,
        closing: &closing,
    };
    let started = config.operator.thrift.into_iter().enumerate();
    let started = started.map(|(n, compiled)| thrift::Running::start(compiled, n, &shared));
    let mut listeners = started.collect::<Result<Vec<_>, _>>()?;
    listeners.iter().for_each(|l| fleet::guard(&**l.host(), gate.as_ref()));
    if let Some(cluster) = &cluster {
        let mut placed: Vec<Rc<dyn members::Placed>> = vec![host.clone()];
        placed.extend(listeners.iter().map(|l| l.host().clone() as Rc<dyn members::Placed>));
        members::run(cluster, &host, placed);
    }
    leases.iter().for_each(|l| drop(spawn_local(l.clone().run())));
    common.iter().for_each(|c| c.run(&host));
    if let (Some(times), Some(cluster), Some(leases)) = (config.operator.health, &cluster, &leases) {
        health::attend(times, &host, cluster, &Tasks::new(leases, cluster));
    }
    if let Some(desk) = desk {
        listeners.iter().for_each(|l| desk.add(l.host().clone()));
        desk.serve()?;
    }
    let front = HttpFrontend::new(
        host.clone(),
        names.clone(),
        effects,
        clients as u32,
        BufferBudget::new(memory / PASSING_PART),
        phases,
    );
    let waiting = host.clone();
    let served = spawn_local(async move {
        // Another process may serve from the same queue: what is taken before there are servers would be lost to it.
        if inherited {
            waiting.until_ready().await;
        }
        // That process, or the next, takes what comes once this one leaves.
        let last = if inherited { ShutdownPhase::Leaving } else { ShutdownPhase::Closing };
        front.serve(listener, last).await;
    });
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    host.log(format_args!("leaving"));
    let end = Instant::now() + LEAVE + LAST_CHANCE + longest.min(LONGEST_STAY);
    host.cap_deadlines(end);
    listeners.iter().for_each(|l| l.host().cap_deadlines(end));
    if let Some(leases) = &leases {
        leases.close();
    }
    phase.send_replace(ShutdownPhase::Leaving);
    tokio::time::sleep(LEAVE).await;
    phase.send_replace(ShutdownPhase::Closing);
    close.send_replace(true);
    tokio::time::sleep(LAST_CHANCE).await;
    phase.send_replace(ShutdownPhase::Finishing);
    // What was taken last is due within the longest deadline.
    let ended = async {
        let _ = served.await;
        for listener in &mut listeners {
            listener.ended().await;
        }
    };
    let _ = tokio::time::timeout(longest.min(LONGEST_STAY) + LAST_WRITES, ended).await;
    if let Some(common) = &common {
        common.leave().await;
    }
    // Last: the others hear no more from whoever has left, and leases and units of accounts had to be given back before.
    if let Some(cluster) = &cluster {
        cluster.leave();
    }
    host.log(format_args!("left"));
    host.close();
    listeners.iter().for_each(thrift::Running::close);
    Ok(())
}

/// Reads the configuration again. The whole file is checked before anything of it is used: one that is bad changes
/// nothing. What the file says prevails now over what the environment said at the start. True: discovery has moved, and
/// wants a new watch.
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

fn or(figure: Duration, otherwise: Duration) -> Duration {
    if figure.is_zero() {
        otherwise
    } else {
        figure
    }
}

/// The listening socket that the process was started with.
fn take_up(number: std::os::fd::RawFd) -> Result<TcpListener, Box<dyn Error>> {
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
