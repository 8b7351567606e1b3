//! Tasks of which the fleet runs one each: begun when their lease is had, told before it ends, stopped by its guard, and begun again on
//! another node.

use crate::{LeaseHandle, Leases, State};
use birchswitch_cluster::{Record, Standing, Topic};
use birchswitch_cluster_host::Cluster;
use birchswitch_lease::{Advice, Held, Patience, Peer, Preference, Task};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Between looks at a task that runs or waits.
const LOOK: Duration = Duration::from_millis(100);
/// Most tasks that a member says it runs.
const TOLD: usize = 8;

/// What a task does while it is this node's.
pub trait SingletonTask {
    /// Does it. Has to come to its end soon after [`TaskLease::stop_requested`], and is dropped, wherever it is, when the guard is over. One that
    /// ends by itself gives the lease back and begins anew, here or elsewhere.
    fn run(&self, term: TaskLease) -> Pin<Box<dyn Future<Output = ()>>>;
}

/// One node's time with a task.
pub struct TaskLease {
    hold: Rc<LeaseHandle>,
    ending: watch::Receiver<bool>,
}

impl TaskLease {
    /// The token, and for how long an act may still go on: to be asked before each. None: there is no time left.
    pub fn guard(&self) -> Option<(Held, Duration)> {
        self.hold.guard()
    }

    /// Until it is to end.
    pub async fn stop_requested(&mut self) {
        // Whoever tells it is gone: then so is the task.
        let _ = self.ending.wait_for(|ending| *ending).await;
    }
}

/// The tasks of a node. Runs on a `LocalSet`.
pub struct Tasks {
    leases: Rc<Leases>,
    cluster: Rc<Cluster>,
    runs: RefCell<BTreeSet<u32>>,
}

/// The tasks that a member says it runs, by [`Task::id`].
pub fn running_tasks(record: &Record) -> Vec<u32> {
    let bytes = record.value(Topic::Tasks).unwrap_or_default();
    bytes.chunks_exact(4).take(TOLD).map(|b| u32::from_le_bytes([b[0], b[1], b[2], b[3]])).collect()
}

impl Tasks {
    /// No tasks yet.
    pub fn new(leases: &Rc<Leases>, cluster: &Rc<Cluster>) -> Rc<Self> {
        Rc::new(Tasks { leases: leases.clone(), cluster: cluster.clone(), runs: RefCell::default() })
    }

    /// This node takes part in a task from now on, for good.
    pub fn register(self: &Rc<Self>, task: Task, singleton: impl SingletonTask + 'static) {
        let patience = Patience::of(self.leases.terms.ttl);
        let own = self.cluster.core().own().name.clone();
        spawn_local(self.clone().look(Preference::new(task, &own, patience), singleton));
    }

    /// Who lives, as this node sees it.
    fn peers(&self) -> Vec<Peer> {
        let core = self.cluster.core();
        if core.standing() == Standing::Gone {
            return Vec::new();
        }
        let peer = |r: &Record| Peer { name: r.name.clone(), zone: r.zone.clone(), runs: running_tasks(r) };
        let others = core.members().filter(|(_, m)| m.state.is_live()).map(|(_, m)| peer(&m.record));
        others.chain([peer(core.own())]).collect()
    }

    async fn look(self: Rc<Self>, mut preference: Preference, singleton: impl SingletonTask) {
        let mut every = tokio::time::interval(LOOK);
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut hold: Option<LeaseHandle> = None;
        loop {
            every.tick().await;
            let state = hold.as_ref().map(LeaseHandle::state);
            let holds = matches!(state, Some(State::Held(_)));
            let advice = preference.look(self.leases.now(), &self.peers(), holds);
            hold = match (hold.take(), state, advice) {
                // A node that is full or leaves takes part in nothing more.
                (None, _, Advice::Want) => self.leases.acquire(&preference.task().name, 1).ok(),
                (None, ..) => None,
                (Some(hold), Some(State::Held(_)), _) => {
                    self.serve(hold, &mut preference, &singleton).await;
                    None
                }
                (Some(hold), Some(State::Waiting(_)), Advice::Want) => Some(hold),
                (Some(hold), Some(State::Waiting(_)), _) => {
                    hold.release();
                    None
                }
                (Some(_), ..) => None,
            };
        }
    }

    /// Runs a task for as long as its lease is had.
    async fn serve(&self, hold: LeaseHandle, preference: &mut Preference, singleton: &impl SingletonTask) {
        let task = preference.task().clone();
        let (hold, (tell, ending)) = (Rc::new(hold), watch::channel(false));
        let Some((held, _)) = hold.guard() else { return };
        tracing::info!(target: "lease", kind = "task_begun", lease = %held.key, token = held.token);
        self.says(task.id(), true);
        let mut work = singleton.run(TaskLease { hold: hold.clone(), ending });
        let why = loop {
            let Some(left) = hold.left() else { break "out of time" };
            tokio::select! {
                () = &mut work => break "done",
                () = tokio::time::sleep(LOOK.min(left)) => {}
            }
            // Extended at a third of its time it has more than that unless voters do not answer.
            let short = hold.left().is_none_or(|left| left < self.leases.terms.held() / 4);
            let handed = !*tell.borrow()
                && preference.look(self.leases.now(), &self.peers(), true) == Advice::HandOver;
            if (short || handed || hold.ending()) && !*tell.borrow() {
                tracing::info!(target: "lease", kind = "task_told", lease = %held.key, short, handed);
                tell.send_replace(true);
            }
        };
        drop(work);
        self.says(task.id(), false);
        tracing::info!(target: "lease", kind = "task_ended", lease = %held.key, token = held.token, why);
        // What was done is over: who waits need not wait for the lease's end. A task that kept its term lets it run out.
        if let Some(hold) = Rc::into_inner(hold) {
            hold.release();
        }
    }

    fn says(&self, task: u32, runs: bool) {
        let mut all = self.runs.borrow_mut();
        let _ = if runs { all.insert(task) } else { all.remove(&task) };
        self.cluster.publish(Topic::Tasks, all.iter().take(TOLD).flat_map(|t| t.to_le_bytes()).collect());
    }
}
