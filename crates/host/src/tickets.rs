//! What whoever serves a protocol holds of the host: a request that was taken, an attempt, a probe.

use crate::{Host, Upstream};
use birchswitch_engine::{Answer, AttemptId, AttemptResult, ProbeId, SendPermit};
use finchvale::{LoadReport, Outcome, RequestId, ServerId};
use std::rc::Weak;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request that was taken.
pub struct PendingRequest<U: Upstream> {
    pub(crate) host: Weak<Host<U>>,
    pub(crate) id: RequestId,
    pub(crate) answer: oneshot::Receiver<Answer<U::Answer>>,
    pub(crate) rejection_message: Option<&'static str>,
}

impl<U: Upstream> PendingRequest<U> {
    /// Why the door turned it away, if it did.
    pub fn rejection_message(&self) -> Option<&'static str> {
        self.rejection_message
    }

    /// The final answer, at the request's last moment if not before. To be waited for once; giving that up loses nothing.
    pub async fn answer(&mut self) -> Answer<U::Answer> {
        (&mut self.answer).await.unwrap_or(Answer::Failed)
    }

    /// Gives it up: no further attempt begins, and its answer is there at once, a refusal where that is true.
    pub fn abandon(&self) {
        let Some(host) = self.host.upgrade() else { return };
        host.with(|engine, now| engine.reject(now, self.id, None));
    }

    /// Sets its times anew, where they could not be known when it was taken.
    pub fn set_deadlines(&self, deadline: Instant, answer_deadline: Instant) {
        let Some(host) = self.host.upgrade() else { return };
        let [deadline, answer_deadline] =
            [deadline, answer_deadline].map(|at| host.clock.time(host.before_end(at)));
        host.with(|engine, _| engine.set_deadlines(self.id, deadline, answer_deadline));
    }
}

impl<U: Upstream> Drop for PendingRequest<U> {
    fn drop(&mut self) {
        // If no answer was given, nothing is owed any more.
        let Some(host) = self.host.upgrade() else { return };
        let owed = host.replies.borrow_mut().remove(&self.id);
        if owed.is_some() {
            host.figures.outstanding.dec();
            host.with(|engine, now| engine.client_disconnected(now, self.id));
        }
    }
}

/// One attempt's line to the engine. An attempt that is dropped without an end runs into its time-out.
pub struct AttemptHandle<U: Upstream> {
    pub(crate) host: Weak<Host<U>>,
    pub(crate) attempt: AttemptId,
    pub(crate) server: ServerId,
}

impl<U: Upstream> AttemptHandle<U> {
    /// Asked right before the first byte: whether it may go out, and how long the attempt has.
    pub fn permit_send(&self) -> SendPermit {
        let Some(host) = self.host.upgrade() else { return SendPermit::Denied };
        let request = self.attempt.request;
        let fit = host.passes.borrow().get(&request).map_or(Ok(()), |pass| pass.check());
        if let Err(turned) = fit {
            let wait = host.told_wait(turned);
            host.with(|engine, now| engine.reject(now, request, wait));
            return SendPermit::Denied;
        }
        let clearance = host.with(|engine, now| engine.permit_send(now, self.attempt));
        if matches!(clearance, SendPermit::Granted(_)) {
            host.passes.borrow().get(&request).iter().for_each(|pass| pass.attempt_sent());
        }
        clearance
    }

    /// Tells that the attempt's last byte is on its way.
    pub fn written(&self) {
        self.host.upgrade().iter().for_each(|host| host.figures.forwards.inc());
    }

    /// The same for a request that was not whole when it was taken: to be called once its last byte is on its way.
    pub fn written_callback(&self) -> impl FnOnce() + 'static {
        let (host, attempt) = (self.host.clone(), self.attempt);
        move || {
            if let Some(host) = host.upgrade() {
                host.figures.forwards.inc();
                host.with(|engine, now| engine.request_written(now, attempt));
            }
        }
    }

    /// Tells how the attempt ended.
    pub fn finish(self, ended: AttemptResult<U::Answer>) {
        let Some(host) = self.host.upgrade() else { return };
        host.attempts.borrow_mut().remove(&self.attempt);
        host.met(self.server, ended.outcome);
        host.with(|engine, now| engine.attempt_ended(now, self.attempt, ended));
    }
}

/// Whom a probe's answer is for.
pub(crate) enum Asker {
    Decisions(ProbeId),
    /// Other nodes, on whose behalf this one asks.
    Others(oneshot::Sender<Outcome>),
}

/// One probe's line back.
pub struct ProbeHandle<U: Upstream> {
    pub(crate) host: Weak<Host<U>>,
    pub(crate) asker: Asker,
}

impl<U: Upstream> ProbeHandle<U> {
    /// Tells how the probe ended, and the server's word on its load.
    pub fn finish(self, outcome: Outcome, report: Option<LoadReport>) {
        let probe = match self.asker {
            Asker::Decisions(probe) => probe,
            // Who asked may have lost patience.
            Asker::Others(tell) => {
                let _ = tell.send(outcome);
                return;
            }
        };
        let Some(host) = self.host.upgrade() else { return };
        if let Some((server, _)) = host.probes.borrow_mut().remove(&probe) {
            host.met(server, outcome);
        }
        host.with(|engine, now| engine.probe_ended(now, probe, outcome, report));
    }
}
