//! A wish for any of several slots of a name: which one is tried next.

use crate::candidate::Refusal;

/// Where such a wish stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turns {
    slots: u16,
    /// Slots found busy in a row.
    busy: u16,
}

impl Turns {
    /// A wish for any of so many slots, one at least.
    pub fn new(slots: u16) -> Self {
        Turns { slots: slots.max(1), busy: 0 }
    }

    /// What a refusal at a slot means: the slot to try at once, or none, to wait where it is. Only what somebody else has is a reason
    /// to look elsewhere; to leave a slot for any other and ask there anew would undo the back-off that ends duels.
    pub fn refused(&mut self, slot: u16, why: Refusal) -> Option<u16> {
        self.busy = if why == Refusal::Busy { self.busy + 1 } else { 0 };
        if why == Refusal::Busy && self.busy < self.slots {
            return Some((slot + 1) % self.slots);
        }
        self.busy = 0;
        None
    }
}
