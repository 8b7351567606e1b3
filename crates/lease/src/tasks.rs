//! Decides which fleet-wide tasks a node should run. Each node decides by itself, such that every
//! task has one preferred node and the tasks are spread over the fleet.
//!
//! Uses rendezvous hashing (Thaler and Ravishankar 1998): among the live members, a task prefers
//! those of its own zone, and among these the one whose name hashes highest together with the
//! task's name. Only the preferred node acquires the task; the next ones do when nobody has
//! announced for a while that it runs the task. These decisions are about preference and may be
//! wrong on any node at any time; that at most one node runs the task is guaranteed by the lease
//! alone.

use crate::Time;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A task that exactly one node of the fleet should run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// The name of the task and of its lease.
    pub name: String,
    /// The zone whose members are preferred.
    pub zone: String,
    /// How many nodes besides the preferred one always compete for the lease, so that one of them
    /// takes over as soon as it is free.
    pub standbys: usize,
}

impl Task {
    /// The id by which members announce that they run the task.
    pub fn id(&self) -> u32 {
        task_id(&self.name)
    }
}

/// The id by which members announce that they run the task with this name.
pub fn task_id(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// A live member, possibly this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The member's name.
    pub name: String,
    /// The member's zone.
    pub zone: String,
    /// Ids of the tasks that the member announces to run.
    pub running: Vec<u32>,
}

/// How long a node waits before it takes over a task or hands it over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverDelays {
    /// How long nobody announces the task before the second node acquires it. The third waits twice
    /// as long, and so on.
    pub takeover: Duration,
    /// How long another node has to be preferred before the task is handed over to it. Doubles with
    /// each further handover.
    pub handover: Duration,
}

impl TakeoverDelays {
    /// Delays that suit leases with this TTL.
    pub fn for_ttl(ttl: Duration) -> Self {
        TakeoverDelays { takeover: ttl * 2, handover: (ttl * 3).max(Duration::from_secs(10)) }
    }
}

/// What a node should do about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Acquire the lease, or keep waiting for it or holding it.
    Acquire,
    /// Leave the task to other nodes.
    Skip,
    /// Stop the task and release the lease, as another node is preferred.
    HandOver,
}

/// Most doublings of [`TakeoverDelays::handover`].
const MAX_DOUBLINGS: u32 = 6;

/// One node's view of one task.
#[derive(Clone, Debug)]
pub struct Preference {
    task: Task,
    own: String,
    delays: TakeoverDelays,
    /// Since when no member has announced the task.
    unclaimed_since: Option<Time>,
    /// The preferred node, and since when it is.
    preferred: Option<(String, Time)>,
    /// The node that the task was last handed over to, and how many times.
    last_handover: Option<(String, u32)>,
}

impl Preference {
    /// The view of a task by the node with the name `own`.
    pub fn new(task: Task, own: &str, delays: TakeoverDelays) -> Self {
        Preference {
            task,
            own: own.to_owned(),
            delays,
            unclaimed_since: None,
            preferred: None,
            last_handover: None,
        }
    }

    /// The task.
    pub fn task(&self) -> &Task {
        &self.task
    }

    /// The members in the order in which they should run the task.
    fn ranked<'a>(&self, peers: &'a [Peer]) -> Vec<&'a Peer> {
        let mut ranked: Vec<&Peer> = peers.iter().collect();
        let hash = |p: &Peer| xxh3_64(format!("{} {}", self.task.name, p.name).as_bytes());
        ranked.sort_by_key(|p| (p.zone != self.task.zone, std::cmp::Reverse(hash(p)), p.name.clone()));
        ranked
    }

    /// Decides what to do about the task now, given the live members.
    pub fn decide(&mut self, now: Time, peers: &[Peer], holds: bool) -> Decision {
        let ranked = self.ranked(peers);
        let Some(rank) = ranked.iter().position(|p| p.name == self.own) else { return Decision::Skip };
        let preferred = &ranked[0].name;
        let since = match &self.preferred {
            Some((before, since)) if before == preferred => *since,
            _ => now,
        };
        self.preferred = Some((preferred.clone(), since));
        if rank == 0 || !holds && rank <= self.task.standbys {
            return Decision::Acquire;
        }
        if holds {
            let handovers = self.last_handover.as_ref().filter(|h| h.0 == *preferred).map_or(0, |h| h.1);
            if now < since + self.delays.handover * (1 << handovers.min(MAX_DOUBLINGS)) {
                return Decision::Acquire;
            }
            self.last_handover = Some((preferred.clone(), handovers + 1));
            self.preferred = Some((preferred.clone(), now));
            self.unclaimed_since = None;
            return Decision::HandOver;
        }
        let running = |p: &&Peer| p.name != self.own && p.running.contains(&self.task.id());
        if peers.iter().any(|p| running(&p)) {
            self.unclaimed_since = None;
            return Decision::Skip;
        }
        let unclaimed_since = *self.unclaimed_since.get_or_insert(now);
        match now >= unclaimed_since + self.delays.takeover * rank as u32 {
            true => Decision::Acquire,
            false => Decision::Skip,
        }
    }
}
