//! A fleet on loopback: modelled servers, a registry, real nodes and clients, with faults injected by a script.

use crate::client::{Class, Clients, Idempotency, Order};
use crate::process::{self, ConfigFile};
use crate::registry::Registry;
use crate::results::Results;
use crate::script::{Fault, Injection, NodeFault, Script, Servers};
use crate::server::{Server, Shared};
use crate::site::{Site, REPEAT_WINDOW};
use birchswitch_lab::model::Capacity;
use birchswitch_lab::rng::Rng;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Child;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Time limit for a node to start, to become ready or to exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Text before the address in the log line that announces a listener.
pub(crate) const LISTENING: &str = "listening on ";
/// Delay between the death of a server and its announcement by the registry.
const DEATH_NOTICE_DELAY: Duration = Duration::from_millis(1500);
/// Delay between any other change and its announcement by the registry.
const NOTICE_DELAY: Duration = Duration::from_millis(100);

/// What to build and how long to run it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the node's binary.
    pub binary: PathBuf,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of servers, four to a cell.
    pub servers: usize,
    /// Number of cores of each server.
    pub cores: usize,
    /// Mean work of an order, in seconds.
    pub work: f64,
    /// Rate of orders as a fraction of the capacity of all servers.
    pub load: f64,
    /// How long orders are sent.
    pub length: Duration,
    /// Warm-up time of a server that starts cold.
    pub warm_up: Duration,
    /// Clients still accept a response that comes this long after the deadline.
    pub slack: Duration,
    /// The site that is served.
    pub site: Site,
    /// The faults and the random seed.
    pub script: Script,
}

/// Why a fleet could not run.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A socket or a process could not be created.
    #[error("{what}: {source}")]
    Io {
        /// What failed.
        what: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A node exited without being told to.
    #[error("node n{node} exited with {status}; end of its log: {log}")]
    Ended {
        /// Number of the node.
        node: usize,
        /// Exit status of the node.
        status: ExitStatus,
        /// Last lines of the node's log.
        log: String,
    },
    /// A node did not become ready in time.
    #[error("node n{node} was not ready within 20 s; end of its log: {log}")]
    NotReady {
        /// Number of the node.
        node: usize,
        /// Last lines of the node's log.
        log: String,
    },
}

pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> FleetError {
    let what = what.into();
    move |source| FleetError::Io { what, source }
}

pub(crate) fn capacity(plan: &Plan) -> Capacity {
    Capacity {
        cold_cache: 0.0,
        cores: plan.cores,
        queue: plan.cores * 8,
        speed: 1.0,
        contention: None,
        cold_from: 0.2,
        warm_up: plan.warm_up,
        fall_multiple: 3.0,
        fall_time: Duration::from_secs(2),
    }
}

/// A node's process and the last lines of its log.
pub(crate) struct NodeProcess {
    number: usize,
    child: Child,
    address: SocketAddr,
    log: Rc<RefCell<String>>,
    config: Value,
    _files: [Option<ConfigFile>; 2],
}

impl NodeProcess {
    /// Starts a node, with an operator's file if one is given, and waits until it listens.
    pub(crate) async fn start(
        binary: &Path,
        number: usize,
        config: Value,
        operator: Option<&str>,
    ) -> Result<Self, FleetError> {
        let what = || format!("starting node n{number} ({})", binary.display());
        let file = ConfigFile::new(&config.to_string()).map_err(io(what()))?;
        let operator = operator.map(ConfigFile::new).transpose().map_err(io(what()))?;
        let path = operator.as_ref().map(|o| o.path().display().to_string());
        let variables: Vec<_> = path.iter().map(|p| ("GW_OPERATOR", p.as_str())).collect();
        let mut child = process::start(binary, &file, &variables).map_err(io(what()))?;
        let log = Rc::new(RefCell::new(String::new()));
        let mut lines = BufReader::new(child.stderr.take().expect("it is piped")).lines();
        let listening = async {
            while let Ok(Some(line)) = lines.next_line().await {
                process::append_log(&log, &line);
                if let Some(address) = process::address_after(&line, LISTENING) {
                    return Some(address);
                }
            }
            None
        };
        let address = timeout(PROCESS_TIMEOUT, listening).await.ok().flatten();
        let Some(address) = address else {
            let ended = timeout(PROCESS_TIMEOUT, child.wait()).await;
            let log = log.take();
            return Err(match ended {
                Ok(Ok(status)) => FleetError::Ended { node: number, status, log },
                _ => FleetError::NotReady { node: number, log },
            });
        };
        let kept = log.clone();
        spawn_local(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                process::append_log(&kept, &line);
            }
        });
        Ok(NodeProcess { number, child, address, log, config, _files: [Some(file), operator] })
    }

    /// Waits until the node reports that it is ready, and returns the address of its HTTP listener.
    pub(crate) async fn ready(&self) -> Result<SocketAddr, FleetError> {
        let client = Clients::new(vec![self.address], Duration::ZERO);
        let ready = async {
            while !client.ready(0).await {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let not_ready = |_| FleetError::NotReady { node: self.number, log: self.log.borrow().clone() };
        timeout(PROCESS_TIMEOUT, ready).await.map(|()| self.address).map_err(not_ready)
    }

    /// Waits until the log holds `text` once for each listener, and returns the address of the listener that was logged
    /// last.
    pub(crate) async fn last_address(&self, text: &str) -> Result<SocketAddr, FleetError> {
        let logged = async {
            loop {
                let log = self.log.borrow().clone();
                let addresses: Vec<_> =
                    log.lines().filter_map(|l| process::address_after(l, LISTENING)).collect();
                if let Some(address) =
                    addresses.last().filter(|_| log.matches(text).count() >= addresses.len())
                {
                    return *address;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        let not_ready = |_| FleetError::NotReady { node: self.number, log: self.log.borrow().clone() };
        timeout(PROCESS_TIMEOUT, logged).await.map_err(not_ready)
    }

    /// Process id, or 0 after the process has exited.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }
}

/// Progress of a run, reported once a second and for each fault.
pub enum Report<'a> {
    /// Time since the start, and the results so far.
    Progress(Duration, &'a Results),
    /// Time since the start, and the fault that is injected now.
    Injection(Duration, &'a Injection),
}

/// Builds the fleet, runs the script while clients send orders, waits for the last response and returns the results.
/// Must run inside a `tokio::task::LocalSet`.
pub async fn play(plan: Plan, mut report: impl FnMut(Report)) -> Result<Results, FleetError> {
    let classes = plan.site.classes();
    let results = Results::new(
        classes.iter().map(|c| (c.name.to_owned(), c.promise, c.idempotency == Idempotency::Safe)),
        plan.servers,
    );
    let shared = Shared::new(results, REPEAT_WINDOW);
    shared.reports_load.set(!plan.site.sends_cost_hints());
    let registry = Registry::start().await.map_err(io("the registry"))?;
    let mut servers = Vec::new();
    for n in 0..plan.servers {
        let cell = u16::try_from(n / 4).unwrap_or(u16::MAX);
        let address = crate::scripted::unique_address();
        let server = Server::new(n, cell, address, capacity(&plan), plan.script.seed, shared.clone());
        server.start(false).map_err(io(format!("server s{n}")))?;
        registry.announce(member(n, &server, "active", 0));
        servers.push(server);
    }
    let mut nodes = Vec::new();
    for n in 0..plan.nodes {
        let config = json!({
            "name": format!("n{n}"), "listen": "127.0.0.1:0", "discovery": registry.address().to_string(),
            "seed": format!("{:x}", plan.script.seed.wrapping_add(n as u64)),
            "limits": {"sockets": 1024, "memory_mb": 192}, "settings": plan.site.settings(&plan),
        });
        nodes.push(NodeProcess::start(&plan.binary, n, config, None).await?);
    }
    let clients = Rc::new(Clients::new(nodes.iter().map(|n| n.address).collect(), plan.slack));
    for node in &nodes {
        node.ready().await?;
    }

    let began = Instant::now();
    let clients_task = spawn_local(send_orders(plan.clone(), classes, clients, shared.clone()));
    let faults = async {
        let mut rng = Rng::new(plan.script.seed, 2);
        let pending = JoinSet::new();
        let mut fleet = Fleet { plan: &plan, registry: &registry, servers: &servers, nodes, pending };
        let mut entries = plan.script.entries.iter().filter(|e| e.at < plan.length).peekable();
        let mut seconds = tokio::time::interval_at(began + Duration::from_secs(1), Duration::from_secs(1));
        while began.elapsed() < plan.length {
            let next = entries.peek().map_or(plan.length, |e| e.at);
            tokio::select! {
                biased;
                () = sleep_until(began + next) => if let Some(entry) = entries.next() {
                    report(Report::Injection(entry.at, &entry.injection));
                    fleet.inject(&entry.injection, &mut rng).await?;
                },
                _ = seconds.tick() => report(Report::Progress(began.elapsed(), &shared.results.borrow())),
            }
            fleet.check()?;
        }
        while let Some(done) = fleet.pending.join_next().await {
            done.unwrap_or(Ok(()))?;
        }
        Ok::<_, FleetError>(fleet.nodes)
    };
    let mut nodes = faults.await?;
    // No order outlives its deadline.
    let _ = timeout(PROCESS_TIMEOUT, clients_task).await;
    for (n, node) in nodes.iter_mut().enumerate() {
        let what = || format!("ending node n{n}");
        process::signal(&node.child, "TERM").await.map_err(io(what()))?;
        let status = timeout(PROCESS_TIMEOUT, node.child.wait()).await;
        match status {
            Ok(Ok(status)) if status.success() => {}
            Ok(Ok(status)) => return Err(FleetError::Ended { node: n, status, log: node.log.take() }),
            _ => return Err(FleetError::NotReady { node: n, log: node.log.take() }),
        }
    }
    for server in &servers {
        server.die().await;
    }
    let mut results = shared.results.take();
    results.span = (plan.length.as_secs_f64(), plan.cores);
    Ok(results)
}

fn member(n: usize, server: &Server, phase: &str, started: u64) -> Value {
    json!({"id": format!("s{n}"), "host_port": server.address().to_string(), "locality": "here", "flavor": "std",
           "cell": server.cell(), "phase": phase, "size": 1.0, "up_since_ms": started})
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

struct Fleet<'a> {
    plan: &'a Plan,
    registry: &'a Rc<Registry>,
    servers: &'a [Rc<Server>],
    nodes: Vec<NodeProcess>,
    /// Injections that take time to complete.
    pending: JoinSet<Result<(), FleetError>>,
}

impl Fleet<'_> {
    /// Fails if a node has exited without being told to.
    fn check(&mut self) -> Result<(), FleetError> {
        for (node, process) in self.nodes.iter_mut().enumerate() {
            if let Ok(Some(status)) = process.child.try_wait() {
                return Err(FleetError::Ended { node, status, log: process.log.take() });
            }
        }
        Ok(())
    }

    async fn inject(&mut self, injection: &Injection, rng: &mut Rng) -> Result<(), FleetError> {
        match *injection {
            // Only the rig injects these; callers that parse scripts for this fleet reject them.
            Injection::Nodes(..) | Injection::Wire(_) => {}
            Injection::RegistrySilent(length) => self.registry.silence(length),
            Injection::Node(n, fault) => {
                let node = &mut self.nodes[n];
                let name = match fault {
                    NodeFault::Restart => "TERM",
                    NodeFault::Kill => "KILL",
                };
                process::signal(&node.child, name).await.map_err(io(format!("ending node n{n}")))?;
                let _ = timeout(PROCESS_TIMEOUT, node.child.wait()).await;
                let mut config = node.config.clone();
                config["listen"] = json!(node.address.to_string());
                *node = NodeProcess::start(&self.plan.binary, n, config, None).await?;
            }
            Injection::Servers(who, fault) => {
                let all = self.servers.len();
                let (first, last) = match who {
                    Servers::Range(first, last) => (first, last.min(all - 1)),
                    Servers::All => (0, all - 1),
                    Servers::Any => {
                        let one = rng.below(all);
                        (one, one)
                    }
                };
                for (index, n) in (first..=last).enumerate() {
                    self.inject_server_fault(n, index as u32, fault);
                }
            }
        }
        Ok(())
    }

    fn inject_server_fault(&mut self, n: usize, index: u32, fault: Fault) {
        let (server, registry) = (self.servers[n].clone(), self.registry.clone());
        match fault {
            Fault::Freeze(length) => server.freeze(length),
            Fault::Slow(thousandths, length) => server.slow(f64::from(thousandths) / 1e3, length),
            Fault::Die => {
                self.pending.spawn_local(async move {
                    server.die().await;
                    sleep(DEATH_NOTICE_DELAY).await;
                    registry.announce(member(n, &server, "left", 0));
                    Ok(())
                });
            }
            Fault::Start => {
                self.pending.spawn_local(start_cold(n, server, registry));
            }
            Fault::Deploy { drain, every } => {
                self.pending.spawn_local(async move {
                    sleep(every * index).await;
                    registry.announce(member(n, &server, "leaving", 0));
                    sleep(drain).await;
                    server.die().await;
                    start_cold(n, server, registry).await
                });
            }
        }
    }
}

async fn start_cold(n: usize, server: Rc<Server>, registry: Rc<Registry>) -> Result<(), FleetError> {
    let started = unix_ms();
    server.start(true).map_err(io(format!("starting server s{n} again")))?;
    sleep(NOTICE_DELAY).await;
    registry.announce(member(n, &server, "active", started));
    Ok(())
}

/// Sends orders at random times until the end of the plan, and waits until all have an outcome.
async fn send_orders(plan: Plan, classes: Vec<Class>, clients: Rc<Clients>, shared: Rc<Shared>) {
    let classes = Rc::new(classes);
    let rate = plan.load * (plan.servers * plan.cores) as f64 / plan.work;
    let mut rng = Rng::new(plan.script.seed, 1);
    let mut at = Instant::now();
    let end = at + plan.length;
    let mut open = JoinSet::new();
    let mut number = 0;
    loop {
        at += Duration::from_secs_f64(rng.exponential(1.0 / rate));
        if at >= end {
            break;
        }
        sleep_until(at).await;
        while open.try_join_next().is_some() {}
        number += 1;
        let mut left = rng.unit();
        let class = classes.iter().position(|c| {
            left -= c.share;
            left < 0.0
        });
        let class = class.unwrap_or(classes.len() - 1);
        let work = plan.work * (0.5 + 0.5 * rng.exponential(1.0));
        let tenants = plan.site.tenants();
        let (tenant, sends_cost_hints) =
            (tenants[number as usize % tenants.len()], plan.site.sends_cost_hints());
        let node = rng.below(plan.nodes);
        shared.results.borrow_mut().classes[class].asked += 1;
        let (clients, shared, classes) = (clients.clone(), shared.clone(), classes.clone());
        open.spawn_local(async move {
            let order = Order { class: &classes[class], number, tenant, work, sends_cost_hints };
            let end = clients.send(order, node).await;
            shared.results.borrow_mut().record_outcome(class, end);
        });
    }
    while open.join_next().await.is_some() {}
}
