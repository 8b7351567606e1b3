//! Clients' requests, from their arrival to the engine.

use crate::{AdmissionRequest, Host, PendingRequest, Rejection, Upstream};
use birchswitch_engine::{Answer, DuplicateRequest, Incoming};
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
    pub deadline: Instant,
    /// When the answer goes out whatever they say.
    pub answer_deadline: Instant,
    /// The hash of its key, where it has one.
    pub key: Option<u64>,
}

/// Whom an answer is owed to, and the class of the request, for the figures.
pub(crate) type Owed<A> = (ClassId, oneshot::Sender<Answer<A>>);

impl<U: Upstream> Host<U> {
    /// Takes a client's request. Dropping [`PendingRequest`] before its answer is the client's leaving.
    pub fn submit(&self, request: Request<U::Request>) -> Result<PendingRequest<U>, DuplicateRequest> {
        let Request { incoming, deadline, answer_deadline, key } = request;
        let [deadline, answer_deadline] = [deadline, answer_deadline].map(|at| self.before_end(at));
        let Incoming { class, tenant, work, .. } = incoming;
        let door = self.door.borrow().clone();
        let pass = match door.map(|door| door.admit(&AdmissionRequest { class, tenant, key, work })) {
            Some(Err(turned)) => return Ok(self.turn_away(class, turned)),
            entered => entered.and_then(Result::unwrap_or_default),
        };
        let incoming = Incoming {
            deadline: self.clock.time(deadline),
            answer_deadline: self.clock.time(answer_deadline),
            ..incoming
        };
        let (reply, answer) = oneshot::channel();
        let arrived = self.engine.borrow_mut().submit(self.now(), incoming);
        let id = match (arrived, pass) {
            (Ok(id), pass) => {
                pass.into_iter().for_each(|pass| drop(self.passes.borrow_mut().insert(id, pass)));
                id
            }
            (Err(duplicate), pass) => {
                pass.into_iter().for_each(|pass| pass.finish(false));
                return Err(duplicate);
            }
        };
        self.replies.borrow_mut().insert(id, (class, reply));
        self.figures.outstanding.inc();
        self.carry_out();
        Ok(PendingRequest { host: self.me.clone(), id, answer, rejection_message: None })
    }

    /// What clients may be told of a wait.
    pub(crate) fn told_wait(&self, turned: Rejection) -> Option<Duration> {
        self.max_wait.map(|most| turned.retry_after.min(most))
    }

    /// A request that the door turned away is answered already.
    fn turn_away(&self, class: ClassId, turned: Rejection) -> PendingRequest<U> {
        let (reply, answer) = oneshot::channel();
        let _ = reply.send(Answer::Refused(self.told_wait(turned)));
        self.figures.record_result(usize::from(class.0), Disposition::Declined);
        PendingRequest { host: self.me.clone(), id: NONE, answer, rejection_message: Some(turned.message) }
    }
}
