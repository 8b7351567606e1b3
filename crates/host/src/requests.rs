//! Clients' requests, from their arrival to the engine.

use crate::{Entering, Host, Taken, Turned, Upstream};
use birchswitch_engine::{Answer, Duplicate, Incoming};
use birchswitch_figures::Disposition;
use finchvale::{ClassId, RequestId};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Stands for requests that were turned away at the door: the engine never knew them.
const NONE: RequestId = RequestId(u64::MAX);

/// A client's request, with its times on tokio's clock.
pub struct Request<R> {
    /// The engine's part of it; its times are filled in here.
    pub incoming: Incoming<R>,
    /// When the decisions have to be over.
    pub due: Instant,
    /// When the answer goes out whatever they say.
    pub last: Instant,
    /// The hash of its key, where it has one.
    pub key: Option<u64>,
}

/// Whom an answer is owed to, and the class of the request, for the figures.
pub(crate) type Owed<A> = (ClassId, oneshot::Sender<Answer<A>>);

impl<U: Upstream> Host<U> {
    /// Takes a client's request. Dropping [`Taken`] before its answer is the client's leaving.
    pub fn arrive(&self, request: Request<U::Request>) -> Result<Taken<U>, Duplicate> {
        let Request { incoming, due, last, key } = request;
        let [due, last] = [due, last].map(|at| self.before_end(at));
        let Incoming { class, tenant, work, .. } = incoming;
        let door = self.door.borrow().clone();
        let pass = match door.map(|door| door.enter(&Entering { class, tenant, key, work })) {
            Some(Err(turned)) => return Ok(self.turn_away(class, turned)),
            entered => entered.and_then(Result::unwrap_or_default),
        };
        let incoming = Incoming { due: self.clock.time(due), last: self.clock.time(last), ..incoming };
        let (reply, answer) = oneshot::channel();
        let arrived = self.engine.borrow_mut().arrive(self.now(), incoming);
        let id = match (arrived, pass) {
            (Ok(id), pass) => {
                pass.into_iter().for_each(|pass| drop(self.passes.borrow_mut().insert(id, pass)));
                id
            }
            (Err(duplicate), pass) => {
                pass.into_iter().for_each(|pass| pass.over(false));
                return Err(duplicate);
            }
        };
        self.replies.borrow_mut().insert(id, (class, reply));
        self.figures.outstanding.inc();
        self.carry_out();
        Ok(Taken { host: self.me.clone(), id, answer, why: None })
    }

    /// What clients may be told of a wait.
    pub(crate) fn told_wait(&self, turned: Turned) -> Option<Duration> {
        self.max_wait.map(|most| turned.wait.min(most))
    }

    /// A request that the door turned away is answered already.
    fn turn_away(&self, class: ClassId, turned: Turned) -> Taken<U> {
        let (reply, answer) = oneshot::channel();
        let _ = reply.send(Answer::Refused(self.told_wait(turned)));
        self.figures.ended(usize::from(class.0), Disposition::Declined);
        Taken { host: self.me.clone(), id: NONE, answer, why: Some(turned.why) }
    }
}
