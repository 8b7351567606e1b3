//! Updates piggybacked on other messages: each is sent a few times, the least sent first.

use crate::member::MemberId;
use crate::wire::Update;

/// Times that an update is sent, per decimal digit of the fleet size (Das et al., section 4.1).
const RETRANSMIT_FACTOR: u32 = 4;

struct QueuedUpdate {
    about: MemberId,
    bytes: Vec<u8>,
    sent: u32,
}

/// Updates still to be sent, at most one per member.
#[derive(Default)]
pub(crate) struct UpdateQueue(Vec<QueuedUpdate>);

impl UpdateQueue {
    /// Queues an update. It replaces any earlier update about the same member.
    pub(crate) fn push(&mut self, about: MemberId, update: &Update) {
        let queued = QueuedUpdate { about, bytes: update.encode(), sent: 0 };
        match self.0.iter_mut().find(|q| q.about == about) {
            Some(old) => *old = queued,
            None => self.0.push(queued),
        }
    }

    /// Takes the updates that fit into the remaining bytes, for a fleet of the given size.
    pub(crate) fn fill(&mut self, mut remaining_bytes: usize, fleet: usize, into: &mut Vec<Vec<u8>>) {
        if self.0.is_empty() {
            return;
        }
        self.0.sort_by_key(|q| q.sent);
        for queued in &mut self.0 {
            // A length prefix of up to two bytes precedes each update.
            if queued.bytes.len() + 2 <= remaining_bytes {
                remaining_bytes -= queued.bytes.len() + 2;
                queued.sent += 1;
                into.push(queued.bytes.clone());
            }
        }
        let limit = RETRANSMIT_FACTOR * fleet.max(1).ilog10().saturating_add(1);
        self.0.retain(|q| q.sent < limit);
    }
}
