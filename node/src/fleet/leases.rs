//! Leases as operators' calls and figures have them.

use crate::operations::Part;
use birchswitch_figures::{LeaseMetrics, Metrics};
use birchswitch_lease_host::{LeaseHandle, Leases, State};
use birchswitch_operations::{Call, LeaseSession};
use std::rc::Rc;

/// A lease that a caller waits for or holds.
pub struct Held(pub LeaseHandle);

impl LeaseSession for Held {
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
fn metrics(leases: &Leases) -> LeaseMetrics {
    let (counts, [held, waiting]) = (leases.counts(), leases.held_and_waiting());
    LeaseMetrics {
        held,
        waiting,
        outcome_counts: [counts.granted, counts.lost, counts.refused, counts.votes],
    }
}

/// Them, for operators.
pub struct Asked(pub Rc<Leases>);

impl Part for Asked {
    fn metrics(&self, all: &Metrics) {
        all.set_leases(&metrics(&self.0));
    }

    fn answers(&self, call: &Call) -> Option<Result<String, String>> {
        match call {
            Call::Leases => Some(Ok(self.0.status_text())),
            Call::EndLease(name) => Some(Ok(format!("{} told to end", self.0.request_end(Some(name))))),
            _ => None,
        }
    }

    fn lease(&self, name: &str, slots: u16) -> Option<Result<Box<dyn LeaseSession>, String>> {
        Some(self.0.acquire(name, slots).map(|hold| Box::new(Held(hold)) as Box<dyn LeaseSession>))
    }
}
