//! What is to happen, in order of time.

use birchswitch_engine::{AttemptId, ProbeId};
use birchswitch_health::ShortId;
use finchvale::{LoadReport, Outcome, ServerEntry, Time};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

#[derive(Debug)]
pub(crate) enum Happening {
    /// The next of the clients' first tries.
    Arrival,
    /// A client tries again.
    Retry(usize),
    /// Something is due in a node.
    Wake(usize),
    /// An attempt reaches its server.
    Take {
        node: usize,
        attempt: AttemptId,
        server: usize,
        of: usize,
        work: f64,
    },
    /// The end of an attempt reaches its node.
    Told {
        node: usize,
        attempt: AttemptId,
        server: usize,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// A probe reaches its server.
    Probe {
        node: usize,
        probe: ProbeId,
        server: usize,
    },
    /// Its answer reaches the node.
    Probed {
        node: usize,
        probe: ProbeId,
        server: usize,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// One node of a hall asks the servers that are due.
    Rounds(u8),
    /// A node's word that a server is silent reaches the one that asks for its hall.
    Reported(u8, u64),
    /// Who is silent reaches the nodes of a hall.
    Silent(u8, Rc<Vec<ShortId>>),
    /// A node asks a server that is said to be back.
    AskBack(usize, u64),
    /// A node tells judge and tuner what it met.
    Report(usize),
    /// The judge's word reaches a node that asked for it then.
    Judged(usize, Duration, birchswitch_verdict::EjectionList),
    /// The tuner's, likewise.
    Weighed(usize, Duration, birchswitch_tuner::WeightList),
    /// Something is done at a server.
    Serve(usize),
    /// The registry has noticed something.
    Noticed(Vec<ServerEntry>),
    /// A word of the registry reaches a node.
    List {
        node: usize,
        entries: Rc<Vec<ServerEntry>>,
    },
    Begin(usize),
    End(usize),
    /// The next moment of a fault that comes again and again, at one server.
    Again {
        fault: usize,
        server: usize,
    },
    /// The next batch of a release.
    Batch {
        fault: usize,
        left: VecDeque<usize>,
    },
    /// The next nodes are killed.
    Restart {
        fault: usize,
        left: VecDeque<usize>,
    },
    /// A node that was killed is back.
    Back(usize),
    Kill {
        server: usize,
        silent: bool,
    },
    /// Servers start, cold: those that died, or successors of others.
    Start(Vec<usize>),
}

/// The queue: by time, then in the order in which things were put in.
#[derive(Default)]
pub(crate) struct Agenda {
    heap: BinaryHeap<Reverse<(Time, u64, usize)>>,
    slots: Vec<Option<Happening>>,
    free: Vec<usize>,
    count: u64,
}

impl Agenda {
    pub(crate) fn put(&mut self, at: Time, what: Happening) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(what);
        self.count += 1;
        self.heap.push(Reverse((at, self.count, slot)));
    }

    pub(crate) fn next(&mut self) -> Option<(Time, Happening)> {
        let Reverse((at, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        Some((at, self.slots[slot].take()?))
    }
}
