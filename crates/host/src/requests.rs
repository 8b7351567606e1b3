//! Submission of clients' requests to the engine.

use crate::{AdmissionRequest, Host, PendingRequest, Rejection, Upstream};
use birchswitch_engine::{Answer, DuplicateRequest, Incoming};
use birchswitch_figures::Disposition;
use finchvale::{ClassId, RequestId};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Id of requests rejected by admission control, which never reach the engine.
const NO_REQUEST: RequestId = RequestId(u64::MAX);

/// A client's request, with its deadlines on tokio's clock.
pub struct Request<R> {
    /// The engine's part. Its deadlines are overwritten with those below.
    pub incoming: Incoming<R>,
    /// Deadline of all attempts.
    pub deadline: Instant,
    /// When the request fails if it has no answer yet.
    pub answer_deadline: Instant,
    /// The hash of its key, if it has one.
    pub key: Option<u64>,
}

/// The class of a request, for the metrics, and the channel for its answer.
pub(crate) type PendingReply<A> = (ClassId, oneshot::Sender<Answer<A>>);

impl<U: Upstream> Host<U> {
    /// Submits a client's request. Dropping the [`PendingRequest`] before its answer means that the client
    /// disconnected.
    pub fn submit(&self, request: Request<U::Request>) -> Result<PendingRequest<U>, DuplicateRequest> {
        let Request { incoming, deadline, answer_deadline, key } = request;
        let [deadline, answer_deadline] = [deadline, answer_deadline].map(|at| self.clamp_to_shutdown(at));
        let Incoming { class, tenant, work, .. } = incoming;
        let admission = self.admission.borrow().clone();
        let permit = match admission
            .map(|admission| admission.admit(&AdmissionRequest { class, tenant, key, work }))
        {
            Some(Err(rejection)) => return Ok(self.reject(class, rejection)),
            entered => entered.and_then(Result::unwrap_or_default),
        };
        let incoming = Incoming {
            deadline: self.clock.time(deadline),
            answer_deadline: self.clock.time(answer_deadline),
            ..incoming
        };
        let (reply, answer) = oneshot::channel();
        let arrived = self.engine.borrow_mut().submit(self.now(), incoming);
        let id = match (arrived, permit) {
            (Ok(id), permit) => {
                permit.into_iter().for_each(|permit| drop(self.permits.borrow_mut().insert(id, permit)));
                id
            }
            (Err(duplicate), permit) => {
                permit.into_iter().for_each(|permit| permit.finish(false));
                return Err(duplicate);
            }
        };
        self.replies.borrow_mut().insert(id, (class, reply));
        self.metrics.outstanding.inc();
        self.run_commands();
        Ok(PendingRequest { host: self.this.clone(), id, answer, rejection_message: None })
    }

    /// Returns the retry delay that a client may be sent.
    pub(crate) fn limit_retry_after(&self, rejection: Rejection) -> Option<Duration> {
        self.max_wait.map(|most| rejection.retry_after.min(most))
    }

    /// Returns a request that is already answered with a rejection.
    fn reject(&self, class: ClassId, rejection: Rejection) -> PendingRequest<U> {
        let (reply, answer) = oneshot::channel();
        let _ = reply.send(Answer::Refused(self.limit_retry_after(rejection)));
        self.metrics.record_result(usize::from(class.0), Disposition::Declined);
        PendingRequest {
            host: self.this.clone(),
            id: NO_REQUEST,
            answer,
            rejection_message: Some(rejection.message),
        }
    }
}
