//! Operators' calls and metrics for leases.

use crate::operations::Subsystem;
use birchswitch_figures::{LeaseMetrics, Metrics};
use birchswitch_lease_host::{LeaseHandle, Leases, State};
use birchswitch_operations::{Call, LeaseSession};
use std::rc::Rc;

/// A lease that an operator's connection waits for or holds.
pub struct OperatorLease(pub LeaseHandle);

impl LeaseSession for OperatorLease {
    /// `WAITING why`, `HELD token slot milliseconds`, or finally `LOST`. The time left is that of the guard: all work under the lease
    /// must end by then.
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

/// Collects the metrics of leases.
fn lease_metrics(leases: &Leases) -> LeaseMetrics {
    let (counts, [held, waiting]) = (leases.counts(), leases.held_and_waiting());
    LeaseMetrics {
        held,
        waiting,
        outcome_counts: [counts.granted, counts.lost, counts.refused, counts.votes],
    }
}

/// Metrics and calls for leases.
pub struct LeaseOperations(pub Rc<Leases>);

impl Subsystem for LeaseOperations {
    fn metrics(&self, metrics: &Metrics) {
        metrics.set_leases(&lease_metrics(&self.0));
    }

    fn answer(&self, call: &Call) -> Option<Result<String, String>> {
        match call {
            Call::Leases => Some(Ok(self.0.status_text())),
            Call::EndLease(name) => Some(Ok(format!("{} told to end", self.0.request_end(Some(name))))),
            _ => None,
        }
    }

    fn lease(&self, name: &str, slots: u16) -> Option<Result<Box<dyn LeaseSession>, String>> {
        Some(
            self.0
                .acquire(name, slots)
                .map(|handle| Box::new(OperatorLease(handle)) as Box<dyn LeaseSession>),
        )
    }
}
