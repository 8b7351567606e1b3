//! A rig of many processes of the real node, with a [`wire`] in user space between them and faults on both.
//!
//! Each process runs on an address of its own within 127.0.0.0/8 and writes its events as JSON lines with the monotonic clock
//! that all processes of a machine share. The rig keeps a record of what it did on the same clock; the [`checker`] judges
//! by the two alone. What the rig started is gone when it is dropped, also after a panic: every process is killed by its id.

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

/// For a process to start or to end.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a rig can't go on. What a run was is in `History`; this is trouble with the rig itself.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// A socket or process could not be had.
    #[error("{what}: {source}")]
    Io {
        /// What for.
        what: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// A process ended by itself or did not come up.
    #[error("the process at place {place} {what}; its last words: {log}")]
    Ended {
        /// Where.
        place: usize,
        /// What it did.
        what: String,
        /// The end of its log.
        log: String,
    },
    /// What was waited for did not come.
    #[error("{what} did not come within {timeout_after:?}: {last}")]
    Timeout {
        /// What.
        what: String,
        /// How long it was waited for.
        timeout_after: Duration,
        /// What was there instead.
        last: String,
    },
}

fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> RigError {
    let what = what.into();
    move |source| RigError::Io { what, source }
}

/// Lines as they come.
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

/// Where a process's addresses stand in its log.
#[derive(Default)]
struct LoggedAddresses {
    listen: Option<SocketAddr>,
    operators: Option<SocketAddr>,
}

/// Where operators call each place's process now.
pub type SharedAddresses = Rc<RefCell<Vec<Option<SocketAddr>>>>;

/// What a node sent to other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    /// Datagrams.
    pub datagrams: u64,
    /// Bytes in them.
    pub datagram_bytes: u64,
    /// Bytes over the mesh's connections, whichever side made them.
    pub stream_bytes: u64,
}

/// A rig that runs. Has to live on a `LocalSet`.
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
    /// Starts all nodes; the first three are the seeds.
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
                    .map_err(io("a way for connections"))?,
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

    /// Discovery tells a server's phase.
    pub fn announce(&self, server: usize, phase: &str) {
        // Places without ways of their own share one registry.
        let own = if self.plan.streams { &self.environment[..] } else { &self.environment[..1] };
        for environment in own {
            let mut logged = member(&format!("s{server}"), environment.servers[server], phase);
            logged["cell"] = json!(server / 4);
            environment.registry.announce(logged);
        }
    }

    fn record_action(&self, action: RigAction) {
        self.recorder.history.borrow_mut().actions.push((now(), action));
    }

    /// Starts a process at a place, under the name of a node.
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
        let (start, recorder, kept) = (self.starts[place], self.recorder.clone(), log.clone());
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
                process::append_log(&kept, &text);
                recorder.changed.notify_waiters();
            }
        });
        let up = |h: &History| {
            h.lines.iter().any(|l| l.kind == "listening" && (l.place, l.start) == (place, start))
        };
        let logged = || ready.borrow().listen.zip(ready.borrow().operators);
        let waited =
            self.wait(PROCESS_TIMEOUT, || up(&self.recorder.history.borrow()) && logged().is_some()).await;
        let Some((listen, operators)) = logged().filter(|_| waited) else {
            let log = log.borrow().clone();
            return Err(RigError::Ended { place, what: "did not come up".into(), log });
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
                // Lines tell when to look; the clock does where none comes.
                let _ = timeout(Duration::from_millis(100), changed).await;
            }
        };
        timeout(timeout_after, wait).await.is_ok()
    }

    /// Waits until the history is so. How long that took; an error says what came instead, as `last` tells it.
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

    /// Waits until all that run hold just each other.
    pub async fn wait_for_agreement(&self, timeout_after: Duration) -> Result<Duration, RigError> {
        let violations = |h: &History| checker::Checker::new(h, now()).disagreements();
        let last = |h: &History| violations(h).into_iter().take(5).collect::<Vec<_>>().join("; ");
        self.wait_until("one membership", timeout_after, |h| violations(h).is_empty(), last).await
    }

    /// Kills the process at a place.
    pub async fn kill(&mut self, place: usize) -> Result<(), RigError> {
        self.end_process(place, true).await
    }

    /// Ends the process at a place by SIGTERM, and waits until it is gone.
    pub async fn stop(&mut self, place: usize) -> Result<(), RigError> {
        self.end_process(place, false).await
    }

    /// What happened so far.
    pub fn history(&self) -> History {
        self.recorder.history.borrow().clone()
    }

    /// The wire.
    pub fn wire(&self) -> &Wire {
        &self.wire
    }

    /// What the processes at a place sent to others so far.
    pub fn sent(&self, place: usize) -> Sent {
        let [datagrams, datagram_bytes] = self.wire.sent_by(place);
        Sent { datagrams, datagram_bytes, stream_bytes: self.proxies.sent_by(place) }
    }

    /// Where clients reach the node at a place.
    pub fn listen(&self, place: usize) -> Option<SocketAddr> {
        self.processes[place].as_ref().map(|p| self.environment[place].clients.unwrap_or(p.listen))
    }

    /// Where operators call the node at a place.
    pub fn ops_address(&self, place: usize) -> Option<SocketAddr> {
        self.processes[place].as_ref().and_then(|p| p.operators)
    }

    /// Where clients reach each place's process, as it changes.
    pub fn client_addresses(&self) -> SharedAddresses {
        self.client_addresses.clone()
    }

    /// What a place's processes keep.
    pub fn folder(&self, place: usize) -> Option<&std::path::Path> {
        self.environment[place].folder.as_ref().map(|f| f.path())
    }

    /// Where operators call each place's process, as it changes.
    pub fn operator_addresses(&self) -> SharedAddresses {
        self.operator_addresses.clone()
    }

    /// The id of the process at a place.
    pub fn pid(&self, place: usize) -> Option<u32> {
        self.processes[place].as_ref().and_then(|p| p.child.id())
    }

    /// Places whose processes were started and not ended by the rig.
    pub fn places(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|n| self.processes[*n].is_some()).collect()
    }

    fn signal(&self, place: usize, signal: Signal) {
        let pid = self.pid(place).and_then(|p| Pid::from_raw(p as i32));
        // One that is gone already needs none.
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
                Err(RigError::Ended { place, what: format!("ended with {other:?}"), log })
            }
        }
    }

    /// Another script takes the place of the plan's.
    pub fn set_script(&mut self, script: Script) {
        self.plan.script = script;
    }

    /// Plays the script from its beginning to its end.
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

    /// A process that ended by itself ends the run.
    fn check(&mut self) -> Result<(), RigError> {
        for (place, process) in self.processes.iter_mut().enumerate() {
            if let Some(Ok(Some(status))) = process.as_mut().map(|p| p.child.try_wait()) {
                let log = process.as_ref().map(|p| p.log.borrow().clone()).unwrap_or_default();
                return Err(RigError::Ended { place, what: format!("ended with {status}"), log });
            }
        }
        Ok(())
    }

    /// Kills all processes and waits until they are gone.
    pub async fn abort(mut self) -> Result<(), RigError> {
        for place in self.places() {
            self.signal(place, Signal::KILL);
        }
        for place in self.places() {
            self.end_process(place, true).await?;
        }
        Ok(())
    }

    /// Ends all processes, those that are stopped too, and hands out the history.
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
