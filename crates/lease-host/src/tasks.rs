//! Tasks of which exactly one instance runs in the fleet. A task starts when its lease is acquired,
//! is asked to stop before the lease ends, is dropped at the end of the guard, and starts again on
//! another node.

use crate::{LeaseHandle, Leases, State};
use birchswitch_cluster::{Record, Standing, Topic};
use birchswitch_cluster_host::Cluster;
use birchswitch_lease::{Decision, Grant, Peer, Preference, TakeoverDelays, Task};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Interval between checks of a running or waiting task.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Most running tasks that a member announces.
const MAX_ADVERTISED: usize = 8;

/// The work of a task while this node holds its lease.
pub trait SingletonTask {
    /// Runs the task. Has to finish soon after [`TaskLease::stop_requested`]; when the guard ends,
    /// the future is dropped wherever it is. If it finishes by itself, the lease is released and
    /// the task starts again, here or elsewhere.
    fn run(&self, lease: TaskLease) -> Pin<Box<dyn Future<Output = ()>>>;
}

/// The lease under which a task runs.
pub struct TaskLease {
    handle: Rc<LeaseHandle>,
    stopping: watch::Receiver<bool>,
}

impl TaskLease {
    /// The fencing token, and how long an operation may still take. To be checked before each
    /// operation; `None` if no time is left.
    pub fn guard(&self) -> Option<(Grant, Duration)> {
        self.handle.guard()
    }

    /// Completes when the task has to stop.
    pub async fn stop_requested(&mut self) {
        // If the sender is gone, the task has ended anyway.
        let _ = self.stopping.wait_for(|stopping| *stopping).await;
    }
}

/// The tasks of a node. Has to run on a `LocalSet`.
pub struct Tasks {
    leases: Rc<Leases>,
    cluster: Rc<Cluster>,
    running: RefCell<BTreeSet<u32>>,
}

/// Ids of the tasks that a member announces to run; see [`Task::id`].
pub fn running_tasks(record: &Record) -> Vec<u32> {
    let bytes = record.value(Topic::Tasks).unwrap_or_default();
    bytes.chunks_exact(4).take(MAX_ADVERTISED).map(|b| u32::from_le_bytes([b[0], b[1], b[2], b[3]])).collect()
}

impl Tasks {
    /// Creates an empty set of tasks.
    pub fn new(leases: &Rc<Leases>, cluster: &Rc<Cluster>) -> Rc<Self> {
        Rc::new(Tasks { leases: leases.clone(), cluster: cluster.clone(), running: RefCell::default() })
    }

    /// Takes part in a task from now on, permanently.
    pub fn register(self: &Rc<Self>, task: Task, runner: impl SingletonTask + 'static) {
        let delays = TakeoverDelays::for_ttl(self.leases.terms.ttl);
        let own = self.cluster.core().own().name.clone();
        spawn_local(self.clone().follow(Preference::new(task, &own, delays), runner));
    }

    /// The live members, as this node sees them.
    fn peers(&self) -> Vec<Peer> {
        let core = self.cluster.core();
        if core.standing() == Standing::Gone {
            return Vec::new();
        }
        let peer =
            |r: &Record| Peer { name: r.name.clone(), zone: r.zone.clone(), running: running_tasks(r) };
        let others = core.members().filter(|(_, m)| m.state.is_live()).map(|(_, m)| peer(&m.record));
        others.chain([peer(core.own())]).collect()
    }

    async fn follow(self: Rc<Self>, mut preference: Preference, runner: impl SingletonTask) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut handle: Option<LeaseHandle> = None;
        loop {
            interval.tick().await;
            let state = handle.as_ref().map(LeaseHandle::state);
            let holds = matches!(state, Some(State::Held(_)));
            let decision = preference.decide(self.leases.now(), &self.peers(), holds);
            handle = match (handle.take(), state, decision) {
                // A node that has reached its limit of claims or is leaving does not compete for
                // tasks.
                (None, _, Decision::Acquire) => self.leases.acquire(&preference.task().name, 1).ok(),
                (None, ..) => None,
                (Some(handle), Some(State::Held(_)), _) => {
                    self.run_task(handle, &mut preference, &runner).await;
                    None
                }
                (Some(handle), Some(State::Waiting(_)), Decision::Acquire) => Some(handle),
                (Some(handle), Some(State::Waiting(_)), _) => {
                    handle.release();
                    None
                }
                (Some(_), ..) => None,
            };
        }
    }

    /// Runs a task for as long as its lease is held.
    async fn run_task(&self, handle: LeaseHandle, preference: &mut Preference, runner: &impl SingletonTask) {
        let task = preference.task().clone();
        let (handle, (stop, stopping)) = (Rc::new(handle), watch::channel(false));
        let Some((grant, _)) = handle.guard() else { return };
        tracing::info!(target: "lease", kind = "task_begun", lease = %grant.key, token = grant.token);
        self.advertise(task.id(), true);
        let mut future = runner.run(TaskLease { handle: handle.clone(), stopping });
        let why = loop {
            let Some(left) = handle.remaining() else { break "out of time" };
            tokio::select! {
                () = &mut future => break "done",
                () = tokio::time::sleep(POLL_INTERVAL.min(left)) => {}
            }
            // Renewal starts after a third of the hold time, so less than a quarter is left only if
            // voters do not answer.
            let short = handle.remaining().is_none_or(|left| left < self.leases.terms.hold_time() / 4);
            let handed = !*stop.borrow()
                && preference.decide(self.leases.now(), &self.peers(), true) == Decision::HandOver;
            if (short || handed || handle.is_ending()) && !*stop.borrow() {
                tracing::info!(target: "lease", kind = "task_told", lease = %grant.key, short, handed);
                stop.send_replace(true);
            }
        };
        drop(future);
        self.advertise(task.id(), false);
        tracing::info!(target: "lease", kind = "task_ended", lease = %grant.key, token = grant.token, why);
        // The work has ended, so others need not wait for the lease to expire. If the task kept its
        // `TaskLease`, the lease expires by itself.
        if let Some(handle) = Rc::into_inner(handle) {
            handle.release();
        }
    }

    fn advertise(&self, task: u32, running: bool) {
        let mut all = self.running.borrow_mut();
        let _ = if running { all.insert(task) } else { all.remove(&task) };
        self.cluster
            .publish(Topic::Tasks, all.iter().take(MAX_ADVERTISED).flat_map(|t| t.to_le_bytes()).collect());
    }
}
