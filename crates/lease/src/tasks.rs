//! Which of a fleet's tasks a node should want: each node by itself, so that every task has one that wants it and no node all of them.
//!
//! By rendezvous hashing (Thaler and Ravishankar 1998): of those alive a task prefers its own zone's, and of these the one whose name
//! hashes highest with the task's. Only the first wants it; the next do when nobody says for a while that it runs it. This is about
//! who should, and may be wrong on any node at any time: that one at most does is the lease's affair alone.

use crate::Time;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A task of which the fleet runs one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Its name, and its lease's.
    pub name: String,
    /// The zone whose members it prefers.
    pub zone: String,
    /// So many beside the first want it all the time, so that one of them has it as soon as its lease comes free.
    pub standbys: usize,
}

impl Task {
    /// How members say that they run it.
    pub fn id(&self) -> u32 {
        task_id(&self.name)
    }
}

/// How members say that they run the task of a name.
pub fn task_id(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// A member that lives, oneself among them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The tasks that it says it runs.
    pub running: Vec<u32>,
}

/// How long a node waits for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverDelays {
    /// So long nobody says that a task runs until the second wants it; twice as long until the third does, and so on.
    pub takeover: Duration,
    /// So long another has to be preferred until a task is handed over to it; twice as long each further time.
    pub handover: Duration,
}

impl TakeoverDelays {
    /// What suits leases that live for so long.
    pub fn for_ttl(ttl: Duration) -> Self {
        TakeoverDelays { takeover: ttl * 2, handover: (ttl * 3).max(Duration::from_secs(10)) }
    }
}

/// What a node should do about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Want its lease, or go on wanting or holding it.
    Acquire,
    /// Leave it to others.
    Skip,
    /// End it and give the lease back: it is another's.
    HandOver,
}

/// Most doublings of [`Patience::settled`].
const MAX_DOUBLINGS: u32 = 6;

/// One node's view of one task.
#[derive(Clone, Debug)]
pub struct Preference {
    task: Task,
    own: String,
    delays: TakeoverDelays,
    /// Since when nobody has said that it runs.
    unclaimed_since: Option<Time>,
    /// Who is preferred, and since when.
    preferred: Option<(String, Time)>,
    /// To whom it was handed over last, and how often.
    last_handover: Option<(String, u32)>,
}

impl Preference {
    /// A task as the node of that name sees it.
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

    /// Members in the order in which they should run it.
    fn ranked<'a>(&self, peers: &'a [Peer]) -> Vec<&'a Peer> {
        let mut ranked: Vec<&Peer> = peers.iter().collect();
        let hash = |p: &Peer| xxh3_64(format!("{} {}", self.task.name, p.name).as_bytes());
        ranked.sort_by_key(|p| (p.zone != self.task.zone, std::cmp::Reverse(hash(p)), p.name.clone()));
        ranked
    }

    /// What to do about it now, among these.
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
