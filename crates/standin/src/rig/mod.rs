//! A rig that runs many processes of the real node, with a [`wire`] in user space between them, and injects faults into
//! both.
//!
//! Each process has an address of its own within 127.0.0.0/8 and logs its events as JSON lines, with times of the
//! monotonic clock that all processes of a machine share. The rig records its own actions on the same clock, and the
//! [`checker`] uses nothing but these two. Dropping the rig kills every process it started by its id, also after a
//! panic.

pub mod bounds;
pub mod cases;
pub mod checker;
pub mod common;
mod environment;
mod faults;
pub mod fenced_resource;
pub mod history;
pub mod leases;
pub mod limits;
pub mod load;
mod plan;
pub mod proxies;
pub mod scale;
pub mod site;
pub mod takeovers;
pub mod wallet;
pub mod wire;

use crate::fleet::LISTENING;
use crate::process::{self, ConfigFile};
use crate::registry::Registry;
use crate::script::{Entry, Script};
use crate::scripted::member;
use birchswitch_lab::rng::Rng;
use environment::{create_environment, Environment};
use history::{now, History, Line, RigAction};
pub use plan::{LeasePlan, Plan};
use proxies::TcpProxies;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Child;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};
use wire::Wire;

/// Time limit for a process to start or to exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a rig can't continue. Results of a run are in [`History`]; these are failures of the rig itself.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// A socket or process could not be created.
    #[error("{what}: {source}")]
    Io {
        /// What failed.
        what: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A process exited without being told to, or did not start.
    #[error("the process at place {place} {what}; end of its log: {log}")]
    Ended {
        /// Place of the process.
        place: usize,
        /// What happened to it.
        what: String,
        /// Last lines of its log.
        log: String,
    },
    /// An awaited condition did not hold in time.
    #[error("timed out after {timeout_after:?} waiting for {what}: {last}")]
    Timeout {
        /// The condition.
        what: String,
        /// Time limit of the wait.
        timeout_after: Duration,
        /// The state at the end of the wait.
        last: String,
    },
}

fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> RigError {
    let what = what.into();
    move |source| RigError::Io { what, source }
}

/// The history so far, and a notification of new events.
#[derive(Default)]
struct Recorder {
    history: RefCell<History>,
    changed: Notify,
}

struct Process {
    child: Child,
    listen: SocketAddr,
    operators: Option<SocketAddr>,
    log: Rc<RefCell<String>>,
    _files: [ConfigFile; 2],
}

/// Addresses that a process has logged.
#[derive(Default)]
struct LoggedAddresses {
    listen: Option<SocketAddr>,
    operators: Option<SocketAddr>,
}

/// Current address of each place's process, if it runs.
pub type SharedAddresses = Rc<RefCell<Vec<Option<SocketAddr>>>>;

/// Traffic of a node to other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Bytes in datagrams.
    pub datagram_bytes: u64,
    /// Bytes over mesh connections, whichever side opened them.
    pub stream_bytes: u64,
}

/// A running rig. Must be used inside a `LocalSet`.
pub struct Rig {
    plan: Plan,
    wire: Rc<Wire>,
    proxies: TcpProxies,
    environment: Vec<Environment>,
    processes: Vec<Option<Process>>,
    operator_addresses: SharedAddresses,
    client_addresses: SharedAddresses,
    starts: Vec<usize>,
    recorder: Rc<Recorder>,
    rng: Rng,
    pending: JoinSet<()>,
}

impl Rig {
    /// Starts all nodes. The first three are the seeds of the cluster.
    pub async fn start(plan: Plan) -> Result<Self, RigError> {
        let places = plan.nodes + plan.spare;
        let wire = Rc::new(Wire::new(places, plan.script.seed).await.map_err(io("the wire"))?);
        let mut plan = plan;
        if plan.servers.is_empty() {
            plan.servers = (0..20).map(|_| crate::scripted::unique_address()).collect();
        }
        let mut proxies = TcpProxies::default();
        let mut environment = Vec::new();
        let shared_registry = Registry::start().await.map_err(io("the registry"))?;
        for n in 0..places {
            environment.push(
                create_environment(&plan, n, &shared_registry, &mut proxies)
                    .await
                    .map_err(io("a proxy for connections"))?,
            );
        }
        let rng = Rng::new(plan.script.seed, 3);
        let mut rig = Rig {
            wire,
            proxies,
            environment,
            operator_addresses: Rc::new(RefCell::new(vec![None; places])),
            client_addresses: Rc::new(RefCell::new(vec![None; places])),
            processes: (0..places).map(|_| None).collect(),
            starts: vec![0; places],
            recorder: Rc::default(),
            rng,
            pending: JoinSet::new(),
            plan,
        };
        for server in 0..rig.plan.servers.len() {
            rig.announce(server, "active");
        }
        for n in 0..rig.plan.nodes {
            rig.spawn(n, n).await?;
        }
        Ok(rig)
    }

    /// Announces a server's phase through discovery.
    pub fn announce(&self, server: usize, phase: &str) {
        // Without proxied connections all places share one registry.
        let own = if self.plan.streams { &self.environment[..] } else { &self.environment[..1] };
        for environment in own {
            let mut entry = member(&format!("s{server}"), environment.servers[server], phase);
            entry["cell"] = json!(server / 4);
            environment.registry.announce(entry);
        }
    }

    fn record_action(&self, action: RigAction) {
        self.recorder.history.borrow_mut().actions.push((now(), action));
    }

    /// Starts a process at a place, under the name of a node, and waits until it listens.
    pub async fn spawn(&mut self, place: usize, node: usize) -> Result<(), RigError> {
        let name = format!("n{node}");
        let config = json!({
            "name": name, "listen": "127.0.0.1:0", "ops": "127.0.0.1:0",
            "discovery": self.environment[place].discovery.to_string(), "seed": format!("{:x}", self.plan.script.seed),
            "limits": {"sockets": self.plan.sockets, "memory_mb": 64}, "settings": self.plan.settings,
        });
        let file = ConfigFile::new(&config.to_string()).map_err(io("a configuration"))?;
        let operator =
            self.plan.operator_file((place, node), &self.environment[place], |n| self.wire.address(n));
        let operator =
            ConfigFile::new(&operator.map_err(io("the wire"))?).map_err(io("an operator's file"))?;
        let path = operator.path().display().to_string();
        self.record_action(RigAction::Started(place, name.clone()));
        let mut child = process::start(&self.plan.binary, &file, &[("GW_OPERATOR", &path)])
            .map_err(io(format!("starting {name} ({})", self.plan.binary.display())))?;
        let mut lines = BufReader::new(child.stderr.take().expect("it is piped")).lines();
        let log = Rc::new(RefCell::new(String::new()));
        let (start, recorder, log_tail) = (self.starts[place], self.recorder.clone(), log.clone());
        self.starts[place] += 1;
        let (wire, ready) = (self.wire.clone(), Rc::new(RefCell::new(LoggedAddresses::default())));
        let (logged, meshes) = (ready.clone(), self.environment[place].meshes.clone());
        spawn_local(async move {
            while let Ok(Some(text)) = lines.next_line().await {
                let address = |words| process::address_after(&text, words);
                if let Some(listen) = address(LISTENING) {
                    logged.borrow_mut().listen = Some(listen);
                } else if let Some(operators) = address("operators call ") {
                    logged.borrow_mut().operators = Some(operators);
                }
                if let Some(line) = Line::parse(&text, place, start) {
                    match (line.kind.as_str(), line.text("address").parse()) {
                        ("listening", Ok(real)) => wire.set_process_address(place, Some(real)),
                        ("mesh_listening", Ok(real)) => drop(meshes.send_replace(Some(real))),
                        _ => {}
                    }
                    recorder.history.borrow_mut().lines.push(line);
                }
                process::append_log(&log_tail, &text);
                recorder.changed.notify_waiters();
            }
        });
        let is_listening = |h: &History| {
            h.lines.iter().any(|l| l.kind == "listening" && (l.place, l.start) == (place, start))
        };
        let logged = || ready.borrow().listen.zip(ready.borrow().operators);
        let waited = self
            .wait(PROCESS_TIMEOUT, || is_listening(&self.recorder.history.borrow()) && logged().is_some())
            .await;
        let Some((listen, operators)) = logged().filter(|_| waited) else {
            let log = log.borrow().clone();
            return Err(RigError::Ended { place, what: "did not start".into(), log });
        };
        self.environment[place].listens.send_replace(Some(listen));
        let operators = Some(operators);
        self.operator_addresses.borrow_mut()[place] = operators;
        self.client_addresses.borrow_mut()[place] = Some(self.environment[place].clients.unwrap_or(listen));
        self.processes[place] = Some(Process { child, listen, operators, log, _files: [file, operator] });
        Ok(())
    }

    async fn wait(&self, timeout_after: Duration, condition: impl Fn() -> bool) -> bool {
        let wait = async {
            loop {
                let changed = self.recorder.changed.notified();
                if condition() {
                    return;
                }
                // Some conditions also become true without a new event.
                let _ = timeout(Duration::from_millis(100), changed).await;
            }
        };
        timeout(timeout_after, wait).await.is_ok()
    }

    /// Waits until a condition on the history holds, and returns how long that took. On a timeout `last` describes the
    /// state for the error.
    pub async fn wait_until(
        &self,
        what: &str,
        timeout_after: Duration,
        condition: impl Fn(&History) -> bool,
        last: impl Fn(&History) -> String,
    ) -> Result<Duration, RigError> {
        let began = Instant::now();
        if self.wait(timeout_after, || condition(&self.recorder.history.borrow())).await {
            return Ok(began.elapsed());
        }
        let last = last(&self.recorder.history.borrow());
        Err(RigError::Timeout { what: what.to_owned(), timeout_after, last })
    }

    /// Waits until the views of all running processes agree.
    pub async fn wait_for_agreement(&self, timeout_after: Duration) -> Result<Duration, RigError> {
        let violations = |h: &History| checker::Checker::new(h, now()).disagreements();
        let last = |h: &History| violations(h).into_iter().take(5).collect::<Vec<_>>().join("; ");
        self.wait_until("one membership", timeout_after, |h| violations(h).is_empty(), last).await
    }

    /// Kills the process at a place.
    pub async fn kill(&mut self, place: usize) -> Result<(), RigError> {
        self.end_process(place, true).await
    }

    /// Ends the process at a place with SIGTERM and waits until it has exited.
    pub async fn stop(&mut self, place: usize) -> Result<(), RigError> {
        self.end_process(place, false).await
    }

    /// History so far.
    pub fn history(&self) -> History {
        self.recorder.history.borrow().clone()
    }

    /// The network between the nodes.
    pub fn wire(&self) -> &Wire {
        &self.wire
    }

    /// Traffic that the processes at a place have sent to other nodes so far.
    pub fn sent(&self, place: usize) -> Sent {
        let [datagrams, datagram_bytes] = self.wire.sent_by(place);
        Sent { datagrams, datagram_bytes, stream_bytes: self.proxies.sent_by(place) }
    }

    /// Address at which clients reach the node at a place.
    pub fn listen(&self, place: usize) -> Option<SocketAddr> {
        self.processes[place].as_ref().map(|p| self.environment[place].clients.unwrap_or(p.listen))
    }

    /// Address of the operators' listener of the node at a place.
    pub fn ops_address(&self, place: usize) -> Option<SocketAddr> {
        self.processes[place].as_ref().and_then(|p| p.operators)
    }

    /// Current addresses at which clients reach each place's process.
    pub fn client_addresses(&self) -> SharedAddresses {
        self.client_addresses.clone()
    }

    /// Folder that outlives the processes of a place.
    pub fn folder(&self, place: usize) -> Option<&std::path::Path> {
        self.environment[place].folder.as_ref().map(|f| f.path())
    }

    /// Current addresses of the operators' listeners of all places.
    pub fn operator_addresses(&self) -> SharedAddresses {
        self.operator_addresses.clone()
    }

    /// Process id of the process at a place.
    pub fn pid(&self, place: usize) -> Option<u32> {
        self.processes[place].as_ref().and_then(|p| p.child.id())
    }

    /// Places whose process was started and not ended by the rig.
    pub fn places(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|n| self.processes[*n].is_some()).collect()
    }

    fn signal(&self, place: usize, signal: Signal) {
        let pid = self.pid(place).and_then(|p| Pid::from_raw(p as i32));
        // A process that has exited needs no signal.
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    async fn end_process(&mut self, place: usize, killed: bool) -> Result<(), RigError> {
        let Some(mut process) = self.processes[place].take() else { return Ok(()) };
        if let Some(pid) = process.child.id().and_then(|p| Pid::from_raw(p as i32)) {
            let _ = kill_process(pid, if killed { Signal::KILL } else { Signal::TERM });
        }
        if killed {
            self.record_action(RigAction::Ended(place, true));
        }
        let ended = timeout(PROCESS_TIMEOUT, process.child.wait()).await;
        if !killed {
            self.record_action(RigAction::Ended(place, false));
        }
        self.wire.set_process_address(place, None);
        self.environment[place].listens.send_replace(None);
        self.environment[place].meshes.send_replace(None);
        self.operator_addresses.borrow_mut()[place] = None;
        self.client_addresses.borrow_mut()[place] = None;
        match ended {
            Ok(Ok(status)) if killed || status.success() => Ok(()),
            other => {
                let log = process.log.borrow().clone();
                Err(RigError::Ended { place, what: format!("exited with {other:?}"), log })
            }
        }
    }

    /// Replaces the script of the plan.
    pub fn set_script(&mut self, script: Script) {
        self.plan.script = script;
    }

    /// Runs the script to its end, and waits until all its faults are over.
    pub async fn play(&mut self, mut report: impl FnMut(&Entry)) -> Result<(), RigError> {
        let began = Instant::now();
        for entry in self.plan.script.entries.clone() {
            sleep_until(began + entry.at).await;
            self.check()?;
            report(&entry);
            self.inject(&entry.injection).await?;
        }
        while self.pending.join_next().await.is_some() {}
        self.check()
    }

    /// Fails if a process has exited without being told to.
    fn check(&mut self) -> Result<(), RigError> {
        for (place, process) in self.processes.iter_mut().enumerate() {
            if let Some(Ok(Some(status))) = process.as_mut().map(|p| p.child.try_wait()) {
                let log = process.as_ref().map(|p| p.log.borrow().clone()).unwrap_or_default();
                return Err(RigError::Ended { place, what: format!("exited with {status}"), log });
            }
        }
        Ok(())
    }

    /// Kills all processes and waits until they have exited.
    pub async fn abort(mut self) -> Result<(), RigError> {
        for place in self.places() {
            self.signal(place, Signal::KILL);
        }
        for place in self.places() {
            self.end_process(place, true).await?;
        }
        Ok(())
    }

    /// Ends all processes, including stopped ones, and returns the history.
    pub async fn close(mut self) -> Result<History, RigError> {
        for place in self.places() {
            self.signal(place, Signal::CONT);
            self.signal(place, Signal::TERM);
        }
        for place in self.places() {
            self.end_process(place, false).await?;
        }
        Ok(self.history())
    }
}
