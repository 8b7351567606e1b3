//! Leases as operators' calls and figures have them.

use crate::operations::Desk;
use birchswitch_figures::LeaseFigures;
use birchswitch_lease_host::{Hold, Leases, State};
use birchswitch_operations::Session;
use std::rc::Rc;

/// A lease that a caller waits for or holds.
pub struct Held(pub Hold);

impl Session for Held {
    /// `WAITING why`, `HELD token slot milliseconds`, or `LOST` for good. The time is that of the guard, by which all has to be over.
    fn state(&self) -> String {
        match (self.0.guard(), self.0.state()) {
            (Some((held, left)), _) => {
                format!("HELD {} {} {}", held.token, held.key.slot(), left.as_millis())
            }
            (None, State::Waiting(why)) => {
                format!("WAITING {}", why.map_or("asking".to_owned(), |w| format!("{w:?}").to_lowercase()))
            }
            (None, _) => "LOST".to_owned(),
        }
    }

    fn release(self: Box<Self>) {
        self.0.release();
    }
}

/// What figures tell of them.
pub fn figures(leases: &Leases) -> LeaseFigures {
    let (counts, [held, waiting]) = (leases.counts(), leases.standing());
    LeaseFigures { held, waiting, told: [counts.granted, counts.lost, counts.refused, counts.votes] }
}

impl Desk {
    /// The leases, where this node takes part in them.
    pub fn held(&self) -> Result<&Rc<Leases>, String> {
        self.leases.as_ref().ok_or_else(|| "no [lease] in the operator's file".to_owned())
    }
}
