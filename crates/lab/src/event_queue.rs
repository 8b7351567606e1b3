//! The queue of simulated events, ordered by time.

use birchswitch_engine::{AttemptId, ProbeId};
use birchswitch_health::ShortId;
use finchvale::{LoadReport, Outcome, ServerEntry, Time};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

#[derive(Debug)]
pub(crate) enum SimEvent {
    /// The next client request arrives.
    ClientArrival,
    /// A client retries a request.
    ClientRetry(usize),
    /// A node's timer fires.
    NodeWake(usize),
    /// An attempt arrives at its server.
    AttemptArrived {
        node: usize,
        attempt: AttemptId,
        server: usize,
        try_index: usize,
        work: f64,
    },
    /// The result of an attempt arrives at its node.
    AttemptEnded {
        node: usize,
        attempt: AttemptId,
        server: usize,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// A probe arrives at its server.
    ProbeArrived {
        node: usize,
        probe: ProbeId,
        server: usize,
    },
    /// The result of a probe arrives at its node.
    ProbeEnded {
        node: usize,
        probe: ProbeId,
        server: usize,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// The probing node of a zone probes the servers that are due.
    ProbeRound(u8),
    /// A node's report that a server is silent arrives at the probing node of its zone.
    SilenceReported(u8, u64),
    /// The set of silent servers arrives at the nodes of a zone.
    SilentServers(u8, Rc<Vec<ShortId>>),
    /// A node probes a server that was reported to respond again.
    ReprobeServer(usize, u64),
    /// A node sends its report to the failure detector and the tuner.
    SendReport(usize),
    /// The ejection list arrives at the node that asked for it at the given time.
    EjectionsReceived(usize, Duration, birchswitch_verdict::EjectionList),
    /// The weight list arrives at the node that asked for it at the given time.
    WeightsReceived(usize, Duration, birchswitch_tuner::WeightList),
    /// A server's model has progress to make.
    ServerWake(usize),
    /// The registry has detected a change.
    RegistryChanged(Vec<ServerEntry>),
    /// An update of the list arrives at a node.
    ListDelivered {
        node: usize,
        entries: Rc<Vec<ServerEntry>>,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    /// The next occurrence of a recurring fault at one server.
    FaultRepeats {
        fault: usize,
        server: usize,
    },
    /// The next batch of a rolling release.
    ReleaseBatch {
        fault: usize,
        left: VecDeque<usize>,
    },
    /// The next batch of nodes is killed.
    RestartBatch {
        fault: usize,
        left: VecDeque<usize>,
    },
    /// A killed node starts again.
    NodeBack(usize),
    KillServer {
        server: usize,
        silent: bool,
    },
    /// Servers start cold: restarted ones or the successors of released ones.
    StartServers(Vec<usize>),
}

/// Events ordered by time, then by insertion.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<(Time, u64, usize)>>,
    slots: Vec<Option<SimEvent>>,
    free: Vec<usize>,
    inserted: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Time, event: SimEvent) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.inserted += 1;
        self.heap.push(Reverse((at, self.inserted, slot)));
    }

    pub(crate) fn pop(&mut self) -> Option<(Time, SimEvent)> {
        let Reverse((at, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        Some((at, self.slots[slot].take()?))
    }
}
