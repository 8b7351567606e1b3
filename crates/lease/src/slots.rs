//! A wish for any of several slots of a name: which one is tried next.

use crate::candidate::Refusal;

/// Where such a wish stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRotation {
    slots: u16,
    /// Slots found busy in a row.
    busy_in_a_row: u16,
}

impl SlotRotation {
    /// A wish for any of so many slots, one at least.
    pub fn new(slots: u16) -> Self {
        SlotRotation { slots: slots.max(1), busy_in_a_row: 0 }
    }

    /// What a refusal at a slot means: the slot to try at once, or none, to wait where it is. Only what somebody else has is a reason
    /// to look elsewhere; to leave a slot for any other and ask there anew would undo the back-off that ends duels.
    pub fn next_slot(&mut self, slot: u16, refusal: Refusal) -> Option<u16> {
        self.busy_in_a_row = if refusal == Refusal::Busy { self.busy_in_a_row + 1 } else { 0 };
        if refusal == Refusal::Busy && self.busy_in_a_row < self.slots {
            return Some((slot + 1) % self.slots);
        }
        self.busy_in_a_row = 0;
        None
    }
}
