//! Runs a singleton task of the fleet on the mesh: while this node holds the task's lease, its service is given the fencing token and
//! the time until which it may act.

use birchswitch_lease_host::{SingletonTask, TaskLease};
use birchswitch_mesh::{LeadershipTerm, LeasedService, Mesh, TermHandler};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks of the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Called with the fencing token and its expiry by the mesh's clock, or with `None` once the task may no longer act.
pub type TermCallback = dyn Fn(Option<LeadershipTerm>);

/// Forwards a task's lease to a service as leadership terms.
pub struct LeadershipTask {
    /// Provides the clock.
    pub mesh: Mesh,
    /// Called with each term.
    pub on_term: Rc<TermCallback>,
}

impl LeadershipTask {
    /// Forwards terms to a service that acts only while it holds the lease.
    pub fn for_service<S: TermHandler>(mesh: &Mesh, service: Arc<LeasedService<S>>) -> Self {
        LeadershipTask { mesh: mesh.clone(), on_term: Rc::new(move |term| service.set_term(term)) }
    }
}

/// Revokes the term when the task ends, wherever it is stopped.
struct RevokeOnDrop(Rc<TermCallback>);

impl Drop for RevokeOnDrop {
    fn drop(&mut self) {
        (self.0)(None);
    }
}

impl SingletonTask for LeadershipTask {
    fn run(&self, mut lease: TaskLease) -> Pin<Box<dyn Future<Output = ()>>> {
        let (mesh, revoke) = (self.mesh.clone(), RevokeOnDrop(self.on_term.clone()));
        Box::pin(async move {
            while let Some((held, left)) = lease.guard() {
                let until = mesh.clock().after(left);
                (revoke.0)(Some(LeadershipTerm { token: held.token, until }));
                tokio::select! {
                    () = lease.stop_requested() => return,
                    () = tokio::time::sleep(POLL_INTERVAL) => {}
                }
            }
        })
    }
}
