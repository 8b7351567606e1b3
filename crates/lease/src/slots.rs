//! Selection of the next slot when any slot of a name will do.

use crate::candidate::Refusal;

/// State of the search for a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRotation {
    slots: u16,
    /// Consecutive slots found busy.
    busy_in_a_row: u16,
}

impl SlotRotation {
    /// A search among this many slots, at least one.
    pub fn new(slots: u16) -> Self {
        SlotRotation { slots: slots.max(1), busy_in_a_row: 0 }
    }

    /// The slot to try immediately after a refusal; `None` means to wait at the current one. Only a
    /// busy slot is a reason to move on: retrying at another slot after any other refusal would
    /// bypass the back-off that keeps candidates from blocking each other.
    pub fn next_slot(&mut self, slot: u16, refusal: Refusal) -> Option<u16> {
        self.busy_in_a_row = if refusal == Refusal::Busy { self.busy_in_a_row + 1 } else { 0 };
        if refusal == Refusal::Busy && self.busy_in_a_row < self.slots {
            return Some((slot + 1) % self.slots);
        }
        self.busy_in_a_row = 0;
        None
    }
}
