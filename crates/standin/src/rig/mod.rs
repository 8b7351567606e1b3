//! A rig of many processes of the real node, with a [`wire`] in user space between them and faults on both.
//!
//! Each process runs on an address of its own within 127.0.0.0/8 and writes its events as JSON lines with the monotonic clock
//! that all processes of a machine share. The rig keeps a record of what it did on the same clock; the [`checker`] judges
//! by the two alone. What the rig started is gone when it is dropped, also after a panic: every process is killed by its id.

pub mod cases;
pub mod checker;
pub mod history;
pub mod leases;
pub mod receiver;
pub mod streams;
pub mod takeovers;
pub mod wire;

use crate::fleet::LISTENING;
use crate::process::{self, ConfigFile};
use crate::registry::Registry;
use crate::script::{Deed, End, Entry, Far, Nodes, NodesFault, Script, WireFault};
use crate::scripted::member;
use birchswitch_lab::chance::Chance;
use history::{now, Did, History, Line};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use streams::{Pairs, Streams};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Child;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use wire::Wire;

/// For a process to start or to end.
const PATIENCE: Duration = Duration::from_secs(20);

/// What to build.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The node's program.
    pub binary: PathBuf,
    /// Nodes that are started at once.
    pub nodes: usize,
    /// Places beside them, for second processes under a name.
    pub spare: usize,
    /// Zones, each of nodes in a row.
    pub zones: usize,
    /// Leases, if nodes take part in them.
    pub lease: Option<LeasePlan>,
    /// Servers that discovery tells of. None: twenty at addresses where nobody listens.
    pub servers: Vec<SocketAddr>,
    /// Connections pass the rig too: only then can a script cut `servers`, `discovery` and `clients`.
    pub streams: bool,
    /// The site's settings.
    pub settings: Value,
    /// Further lines of the operator's file, after all tables.
    pub operator: String,
    /// Faults and the seed.
    pub script: Script,
}

impl Plan {
    /// Nodes of one zone, without leases, whose servers nobody is.
    pub fn new(binary: PathBuf, nodes: usize, script: Script) -> Self {
        Plan {
            binary,
            nodes,
            spare: 0,
            zones: 1,
            lease: None,
            servers: Vec::new(),
            streams: false,
            settings: crate::scripted::settings(),
            operator: String::new(),
            script,
        }
    }
}

/// What nodes are told of leases.
#[derive(Clone, Debug)]
pub struct LeasePlan {
    /// The first so many nodes vote.
    pub voters: usize,
    /// Further lines of the `[lease]` table.
    pub lines: String,
    /// Rates of nodes' lease clocks, in turn; true time where there is none.
    pub rates: Vec<f64>,
    /// Safeguards to go without, as `drill.without` names them.
    pub without: Vec<&'static str>,
}

impl LeasePlan {
    /// Leases that live for 2 s, by true clocks and with all safeguards.
    pub fn new(voters: usize) -> Self {
        let lines = "ttl = \"2s\"\nround = \"200ms\"".to_owned();
        LeasePlan { voters, lines, rates: Vec::new(), without: Vec::new() }
    }

    /// The rate of a node's lease clock.
    pub fn rate(&self, node: usize) -> f64 {
        match self.rates.len() {
            0 => 1.0,
            turns => self.rates[node % turns],
        }
    }
}

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
    #[error("{what} did not come within {patience:?}: {last}")]
    Late {
        /// What.
        what: String,
        /// How long it was waited for.
        patience: Duration,
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
struct Record {
    history: RefCell<History>,
    came: Notify,
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
struct Told {
    listen: Option<SocketAddr>,
    operators: Option<SocketAddr>,
}

/// What a place speaks with that is no node.
struct Around {
    registry: Rc<Registry>,
    discovery: SocketAddr,
    /// Where each server is for this place.
    servers: Vec<SocketAddr>,
    /// Where clients reach it, if they pass the rig, and where that leads.
    clients: Option<SocketAddr>,
    listens: watch::Sender<Option<SocketAddr>>,
}

/// Where operators call each place's process now.
pub type Desks = Rc<RefCell<Vec<Option<SocketAddr>>>>;

/// A rig that runs. Has to live on a `LocalSet`.
pub struct Rig {
    plan: Plan,
    wire: Rc<Wire>,
    streams: Streams,
    around: Vec<Around>,
    processes: Vec<Option<Process>>,
    desks: Desks,
    starts: Vec<usize>,
    record: Rc<Record>,
    chance: Chance,
    deeds: JoinSet<()>,
}

impl Rig {
    /// Starts all nodes; the first three are the seeds.
    pub async fn start(plan: Plan) -> Result<Self, RigError> {
        let places = plan.nodes + plan.spare;
        let wire = Rc::new(Wire::new(places, plan.script.seed).await.map_err(io("the wire"))?);
        let mut plan = plan;
        if plan.servers.is_empty() {
            plan.servers = (0..20).map(|_| crate::scripted::own_address()).collect();
        }
        let mut streams = Streams::default();
        let mut around = Vec::new();
        let alone = Registry::start().await.map_err(io("the registry"))?;
        for n in 0..places {
            around.push(surround(&plan, n, &alone, &mut streams).await.map_err(io("a way for connections"))?);
        }
        let chance = Chance::new(plan.script.seed, 3);
        let mut rig = Rig {
            wire,
            streams,
            around,
            desks: Rc::new(RefCell::new(vec![None; places])),
            processes: (0..places).map(|_| None).collect(),
            starts: vec![0; places],
            record: Rc::default(),
            chance,
            deeds: JoinSet::new(),
            plan,
        };
        for server in 0..rig.plan.servers.len() {
            rig.tell(server, "active");
        }
        for n in 0..rig.plan.nodes {
            rig.spawn(n, n).await?;
        }
        Ok(rig)
    }

    /// Discovery tells a server's phase.
    pub fn tell(&self, server: usize, phase: &str) {
        // Places without ways of their own share one registry.
        let own = if self.plan.streams { &self.around[..] } else { &self.around[..1] };
        for around in own {
            let mut told = member(&format!("s{server}"), around.servers[server], phase);
            told["cell"] = json!(server / 4);
            around.registry.tell(told);
        }
    }

    fn did(&self, did: Did) {
        self.record.history.borrow_mut().did.push((now(), did));
    }

    /// Starts a process at a place, under the name of a node.
    pub async fn spawn(&mut self, place: usize, node: usize) -> Result<(), RigError> {
        let name = format!("n{node}");
        let config = json!({
            "name": name, "listen": "127.0.0.1:0", "ops": "127.0.0.1:0",
            "discovery": self.around[place].discovery.to_string(), "seed": format!("{:x}", self.plan.script.seed),
            "limits": {"sockets": 256, "memory_mb": 64}, "settings": self.plan.settings,
        });
        let file = ConfigFile::new(&config.to_string()).map_err(io("a configuration"))?;
        let at = |n: usize| self.wire.address(n).map_err(io("the wire"));
        let seeds = (0..self.plan.nodes.min(3)).map(at).collect::<Result<Vec<_>, _>>()?;
        let zone = node * self.plan.zones.max(1) / self.plan.nodes.max(1);
        let operator = format!(
            "[log]\njson = \"stderr\"\n[cluster]\nname = \"rig\"\nbind = \"{}:0\"\nadvertise = \"{}\"\nseeds = {}\nzone = \"z{zone}\"\n",
            wire::host(place, false), at(place)?, json!(seeds)
        );
        let lease = match &self.plan.lease {
            Some(lease) => {
                let voters = (0..lease.voters).map(at).collect::<Result<Vec<_>, _>>()?;
                let (rate, without) = (lease.rate(node), json!(lease.without));
                format!(
                    "[lease]\nvoters = {}\n{}\ndrill = {{ rate = {rate:?}, without = {without} }}\n",
                    json!(voters),
                    lease.lines
                )
            }
            None => String::new(),
        };
        let operator =
            ConfigFile::new(&(operator + &lease + &self.plan.operator)).map_err(io("an operator's file"))?;
        let path = operator.path().display().to_string();
        self.did(Did::Started(place, name.clone()));
        let mut child = process::start(&self.plan.binary, &file, &[("GW_OPERATOR", &path)])
            .map_err(io(format!("starting {name} ({})", self.plan.binary.display())))?;
        let mut lines = BufReader::new(child.stderr.take().expect("it is piped")).lines();
        let log = Rc::new(RefCell::new(String::new()));
        let (start, record, kept) = (self.starts[place], self.record.clone(), log.clone());
        self.starts[place] += 1;
        let (wire, ready) = (self.wire.clone(), Rc::new(RefCell::new(Told::default())));
        let told = ready.clone();
        spawn_local(async move {
            while let Ok(Some(text)) = lines.next_line().await {
                let address = |words| process::address_after(&text, words);
                if let Some(listen) = address(LISTENING) {
                    told.borrow_mut().listen = Some(listen);
                } else if let Some(operators) = address("operators call ") {
                    told.borrow_mut().operators = Some(operators);
                }
                if let Some(line) = Line::parse(&text, place, start) {
                    if let ("listening", Ok(real)) = (line.kind.as_str(), line.text("address").parse()) {
                        wire.runs_at(place, Some(real));
                    }
                    record.history.borrow_mut().lines.push(line);
                }
                process::keep(&kept, &text);
                record.came.notify_waiters();
            }
        });
        let up = |h: &History| {
            h.lines.iter().any(|l| l.kind == "listening" && (l.place, l.start) == (place, start))
        };
        let told = || ready.borrow().listen.zip(ready.borrow().operators);
        let waited = self.wait(PATIENCE, || up(&self.record.history.borrow()) && told().is_some()).await;
        let Some((listen, operators)) = told().filter(|_| waited) else {
            let log = log.borrow().clone();
            return Err(RigError::Ended { place, what: "did not come up".into(), log });
        };
        self.around[place].listens.send_replace(Some(listen));
        let operators = Some(operators);
        self.desks.borrow_mut()[place] = operators;
        self.processes[place] = Some(Process { child, listen, operators, log, _files: [file, operator] });
        Ok(())
    }

    async fn wait(&self, patience: Duration, holds: impl Fn() -> bool) -> bool {
        let wait = async {
            loop {
                let came = self.record.came.notified();
                if holds() {
                    return;
                }
                // Lines tell when to look; the clock does where none comes.
                let _ = timeout(Duration::from_millis(100), came).await;
            }
        };
        timeout(patience, wait).await.is_ok()
    }

    /// Waits until the history is so. How long that took; an error says what came instead, as `last` tells it.
    pub async fn until(
        &self,
        what: &str,
        patience: Duration,
        holds: impl Fn(&History) -> bool,
        last: impl Fn(&History) -> String,
    ) -> Result<Duration, RigError> {
        let began = Instant::now();
        if self.wait(patience, || holds(&self.record.history.borrow())).await {
            return Ok(began.elapsed());
        }
        let last = last(&self.record.history.borrow());
        Err(RigError::Late { what: what.to_owned(), patience, last })
    }

    /// Waits until all that run hold just each other.
    pub async fn agreed(&self, patience: Duration) -> Result<Duration, RigError> {
        let wrong = |h: &History| checker::Checker::new(h, now()).disagreements();
        let last = |h: &History| wrong(h).into_iter().take(5).collect::<Vec<_>>().join("; ");
        self.until("one membership", patience, |h| wrong(h).is_empty(), last).await
    }

    /// Kills the process at a place.
    pub async fn kill(&mut self, place: usize) -> Result<(), RigError> {
        self.end(place, true).await
    }

    /// Ends the process at a place by SIGTERM, and waits until it is gone.
    pub async fn stop(&mut self, place: usize) -> Result<(), RigError> {
        self.end(place, false).await
    }

    /// What happened so far.
    pub fn history(&self) -> History {
        self.record.history.borrow().clone()
    }

    /// The wire.
    pub fn wire(&self) -> &Wire {
        &self.wire
    }

    /// Where clients reach the node at a place.
    pub fn listen(&self, place: usize) -> Option<SocketAddr> {
        self.processes[place].as_ref().map(|p| self.around[place].clients.unwrap_or(p.listen))
    }

    /// Where operators call the node at a place.
    pub fn operators(&self, place: usize) -> Option<SocketAddr> {
        self.processes[place].as_ref().and_then(|p| p.operators)
    }

    /// Where operators call each place's process, as it changes.
    pub fn desks(&self) -> Desks {
        self.desks.clone()
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

    async fn end(&mut self, place: usize, silent: bool) -> Result<(), RigError> {
        let Some(mut process) = self.processes[place].take() else { return Ok(()) };
        if let Some(pid) = process.child.id().and_then(|p| Pid::from_raw(p as i32)) {
            let _ = kill_process(pid, if silent { Signal::KILL } else { Signal::TERM });
        }
        if silent {
            self.did(Did::Ended(place, true));
        }
        let ended = timeout(PATIENCE, process.child.wait()).await;
        if !silent {
            self.did(Did::Ended(place, false));
        }
        self.wire.runs_at(place, None);
        self.around[place].listens.send_replace(None);
        self.desks.borrow_mut()[place] = None;
        match ended {
            Ok(Ok(status)) if silent || status.success() => Ok(()),
            other => {
                let log = process.log.borrow().clone();
                Err(RigError::Ended { place, what: format!("ended with {other:?}"), log })
            }
        }
    }

    /// Plays the script from its beginning to its end.
    pub async fn play(&mut self, mut report: impl FnMut(&Entry)) -> Result<(), RigError> {
        let began = Instant::now();
        for entry in self.plan.script.entries.clone() {
            sleep_until(began + entry.at).await;
            self.check()?;
            report(&entry);
            self.carry_out(&entry.deed).await?;
        }
        while self.deeds.join_next().await.is_some() {}
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

    fn chosen(&mut self, who: Nodes) -> Vec<usize> {
        let nodes = self.plan.nodes;
        match who {
            Nodes::Range(first, last) => (first..=last.min(nodes - 1)).collect(),
            Nodes::All => (0..nodes).collect(),
            Nodes::Zone(zone) => (0..nodes).filter(|n| n * self.plan.zones.max(1) / nodes == zone).collect(),
            Nodes::Part(part) => {
                let mut all: Vec<usize> = (0..nodes).collect();
                let take = (nodes as f64 * f64::from(part) / 1e3).round() as usize;
                for n in 0..take {
                    let other = n + self.chance.below(nodes - n);
                    all.swap(n, other);
                }
                all.truncate(take);
                all
            }
        }
    }

    /// All that was cut passes again.
    pub fn heal(&mut self) {
        self.bend(WireFault::Heal);
    }

    /// The places of an end. What is no node has one beyond all nodes'.
    fn ends(&mut self, end: End) -> Vec<usize> {
        match end {
            End::Nodes(nodes) => self.chosen(nodes),
            End::Far(far) => vec![beyond(far)],
        }
    }

    async fn carry_out(&mut self, deed: &Deed) -> Result<(), RigError> {
        match *deed {
            Deed::Wire(fault) => self.bend(fault),
            Deed::Nodes(who, fault) => {
                let chosen = self.chosen(who);
                // All at once: whoever can only be waited for is waited for after.
                if fault == NodesFault::Die {
                    chosen.iter().for_each(|n| self.signal(*n, Signal::KILL));
                }
                for n in chosen {
                    self.befall(n, fault).await?;
                }
            }
            // Servers are not the rig's.
            Deed::Servers(..) => {}
            Deed::Node(n, _) => {
                self.end(n, false).await?;
                self.spawn(n, n).await?;
            }
            Deed::RegistrySilent(length) => self.around.iter().for_each(|a| a.registry.silence(length)),
        }
        Ok(())
    }

    async fn befall(&mut self, n: usize, fault: NodesFault) -> Result<(), RigError> {
        match fault {
            NodesFault::Die => self.end(n, true).await?,
            NodesFault::End => self.end(n, false).await?,
            // One that runs has been started already.
            NodesFault::Start if self.processes[n].is_some() => {}
            NodesFault::Start => self.spawn(n, n).await?,
            NodesFault::Twin => {
                let spare = (self.plan.nodes..self.processes.len()).find(|s| self.processes[*s].is_none());
                if let Some(spare) = spare {
                    self.spawn(spare, n).await?;
                }
            }
            NodesFault::Pause(length) => {
                self.stop_for(n, vec![(Duration::ZERO, length)]);
            }
            NodesFault::Stutter(stopped, length) => {
                let first = self.chance.unit();
                let turns =
                    (0..length.as_secs()).map(|s| (Duration::from_secs_f64(first + s as f64), stopped));
                self.stop_for(n, turns.collect());
            }
        }
        Ok(())
    }

    /// Stops a process from those times on, for so long each.
    fn stop_for(&mut self, place: usize, turns: Vec<(Duration, Duration)>) {
        let Some(pid) = self.pid(place).and_then(|p| Pid::from_raw(p as i32)) else { return };
        let (record, began) = (self.record.clone(), Instant::now());
        let did = move |did| record.history.borrow_mut().did.push((now(), did));
        self.deeds.spawn_local(async move {
            for (from, length) in turns {
                sleep_until(began + from).await;
                // The record's span lies within the real one: it excuses.
                let _ = kill_process(pid, Signal::STOP);
                did(Did::Stopped(place));
                sleep(length).await;
                did(Did::Resumed(place));
                let _ = kill_process(pid, Signal::CONT);
            }
        });
    }

    fn bend(&mut self, fault: WireFault) {
        let mut pairs = |one: End, other: End, both: bool| {
            let (one, other) = (self.ends(one), self.ends(other));
            let all = one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b);
            all.flat_map(|(a, b)| [Some((a, b)), both.then_some((b, a))]).flatten().collect::<Pairs>()
        };
        let cut = match fault {
            WireFault::Cut(from, to) => pairs(from, to, false),
            WireFault::Split(one, other) => pairs(one, other, true),
            _ => Pairs::new(),
        };
        self.wire.change(|f| match fault {
            WireFault::Cut(..) | WireFault::Split(..) => f.cut.extend(cut),
            WireFault::Heal => f.cut.clear(),
            WireFault::Lose(part) => f.lose = part,
            WireFault::Double(part) => f.double = part,
            WireFault::Spoil(part) => f.spoil = part,
            WireFault::Shorten(part) => f.shorten = part,
            WireFault::Delay(most) => f.delay = most,
        });
        self.streams.cut(self.wire.cut());
        self.did(Did::Cut(self.wire.cut()));
    }

    /// Ends all processes, those that are stopped too, and hands out the history.
    pub async fn close(mut self) -> Result<History, RigError> {
        for place in self.places() {
            self.signal(place, Signal::CONT);
            self.signal(place, Signal::TERM);
        }
        for place in self.places() {
            self.end(place, false).await?;
        }
        Ok(self.history())
    }
}

/// A number like a place's for what is no node.
fn beyond(far: Far) -> usize {
    usize::MAX - far as usize
}

async fn surround(
    plan: &Plan,
    n: usize,
    alone: &Rc<Registry>,
    streams: &mut Streams,
) -> std::io::Result<Around> {
    let listens = watch::Sender::new(None);
    if !plan.streams {
        let (discovery, servers) = (alone.address(), plan.servers.clone());
        return Ok(Around { registry: alone.clone(), discovery, servers, clients: None, listens });
    }
    let registry = Registry::start().await?;
    let real = |address| watch::Sender::new(Some(address)).subscribe();
    let discovery = streams.open((n, beyond(Far::Discovery)), real(registry.address())).await?;
    let mut servers = Vec::new();
    for server in &plan.servers {
        servers.push(streams.open((n, beyond(Far::Servers)), real(*server)).await?);
    }
    let clients = Some(streams.open((beyond(Far::Clients), n), listens.subscribe()).await?);
    Ok(Around { registry, discovery, servers, clients, listens })
}
