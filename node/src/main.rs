//! `birchswitch`: a reverse-proxy node. Reads its configuration, wires the parts together, and ends on a signal.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod config;

use birchswitch_host::Host;
use birchswitch_http::{Front, HttpUpstream, Limits, Phase};
use birchswitch_membership::{Directory, Discovery, Told};
use config::Config;
use std::error::Error;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

/// Clients go on coming for this long after a signal.
const LEAVE: Duration = Duration::from_millis(500);
/// Beyond the longest deadline, for the last answers to be written.
const LAST_WRITES: Duration = Duration::from_millis(100);
/// Descriptors for all that is no client and no backend: standard streams, listener, discovery, the runtime.
const RESERVED_SOCKETS: usize = 32;
/// Most that one request may hold: its body and answer, and the buffers of both connections. Measured with bodies of the
/// largest kind at every place.
const REQUEST_MEMORY: usize = 200 << 10;
/// Connections that the system holds until they are accepted.
const BACKLOG: u32 = 1024;

fn main() -> ExitCode {
    let run = || -> Result<(), Box<dyn Error>> {
        let config = Config::from_env()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, run(config))
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("birchswitch: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> Result<(), Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Without a handler SIGHUP ends the process; with one it is borne to the very end.
    let mut hangup = signal(SignalKind::hangup())?;
    let settings = config.site.settings;
    let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let effects = settings.classes.iter().map(|c| c.effect).collect();
    // Three quarters of memory are for requests; clients and backends share what descriptors there are. That is more
    // than the third that clients need for requests: the rest is for those that say nothing.
    let clients =
        ((config.sockets - RESERVED_SOCKETS) / 2).min(config.memory / 4 * 3 / REQUEST_MEMORY).max(1);
    let limits = Limits {
        connections: config.sockets - RESERVED_SOCKETS - clients,
        connect_timeout: or(settings.connect_timeout, Duration::from_millis(250)),
        conn_idle: or(settings.conn_idle, Duration::from_secs(5)),
    };
    let names = Rc::new(config.site.names);
    let upstream = HttpUpstream::new(limits, names.clone(), config.site.fields);
    let asked = settings.list_on_request;
    let directory = Directory::new(names.clone());
    let host = Host::new(config.name, settings, config.seed, directory, upstream.clone())?;
    let listener = listen(config.listen).map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    host.log(format_args!("listening on {}", listener.local_addr()?));
    let revision = config.known.as_ref().map_or(0, |list| list.revision);
    let telling = host.clone();
    let discovery = Discovery::new(config.discovery, revision, move |told| match told {
        Told::List(list) => telling.list(&list),
        Told::Again(error, pause) => {
            telling.log(format_args!("watch: {error}; again in {} ms", pause.as_millis()));
        }
        Told::Failed(error) => {
            telling.log(format_args!("watch: {error}"));
            telling.watch_failed();
        }
    });
    // Where lists come only when asked for, the decisions say when.
    let watch = {
        let discovery = discovery.clone();
        move || if asked { discovery.watch_once() } else { discovery.follow() }
    };
    host.on_watch(watch.clone());
    host.known(config.known.as_ref());
    if !asked {
        watch();
    }
    let reloading = host.clone();
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            if reload(&reloading, &discovery) {
                watch();
            }
        }
    });
    spawn_local(async move { upstream.retire_idle().await });
    let (phase, phases) = watch::channel(Phase::Serving);
    let served =
        spawn_local(Front::new(host.clone(), names, effects, clients as u32, phases).serve(listener));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    host.log(format_args!("leaving"));
    phase.send_replace(Phase::Leaving);
    tokio::time::sleep(LEAVE).await;
    phase.send_replace(Phase::Closing);
    // What was taken last is due within the longest deadline.
    let _ = tokio::time::timeout(longest + LAST_WRITES, served).await;
    host.log(format_args!("left"));
    host.close();
    Ok(())
}

/// Reads the configuration again. The whole file is checked before anything of it is used: one that is bad changes
/// nothing. What the file says prevails now over what the environment said at the start. True: discovery has moved, and
/// wants a new watch.
fn reload(host: &Host<HttpUpstream>, discovery: &Discovery) -> bool {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(error) => {
            host.log(format_args!("the configuration stays as it is: {error}"));
            return false;
        }
    };
    host.log(format_args!("configuration read again"));
    let Some(address) = config.discovery_in_file else { return false };
    let moved = discovery.move_to(address);
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

fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
