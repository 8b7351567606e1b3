//! A task of the whole fleet that serves on the mesh: it is told its token, and until when it may act, again and again.

use birchswitch_lease_host::{SingletonTask, TaskLease};
use birchswitch_mesh::{LeadershipTerm, LeasedService, Mesh, TermHandler};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Between two looks at the lease.
const LOOK: Duration = Duration::from_millis(50);

/// Told of a token and of the time by the mesh's clock until which it may act under it; none: it may not.
pub type Tell = dyn Fn(Option<LeadershipTerm>);

/// See the module's words.
pub struct Reigning {
    /// For its clock.
    pub mesh: Mesh,
    /// Whom to tell.
    pub tell: Rc<Tell>,
}

impl Reigning {
    /// Of a task that is served from a seat.
    pub fn over<S: TermHandler>(mesh: &Mesh, seat: Arc<LeasedService<S>>) -> Self {
        Reigning { mesh: mesh.clone(), tell: Rc::new(move |reign| seat.set_term(reign)) }
    }
}

/// Takes the word back wherever the task is stopped.
struct Ended(Rc<Tell>);

impl Drop for Ended {
    fn drop(&mut self) {
        (self.0)(None);
    }
}

impl SingletonTask for Reigning {
    fn run(&self, mut term: TaskLease) -> Pin<Box<dyn Future<Output = ()>>> {
        let (mesh, ended) = (self.mesh.clone(), Ended(self.tell.clone()));
        Box::pin(async move {
            while let Some((held, left)) = term.guard() {
                let until = mesh.clock().after(left);
                (ended.0)(Some(LeadershipTerm { token: held.token, until }));
                tokio::select! {
                    () = term.stop_requested() => return,
                    () = tokio::time::sleep(LOOK) => {}
                }
            }
        })
    }
}
