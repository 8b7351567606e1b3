//! Handles through which the sides of a protocol talk to the host: a submitted request, an attempt, a probe.

use crate::{Host, Upstream};
use birchswitch_engine::{Answer, AttemptId, AttemptResult, ProbeId, SendPermit};
use finchvale::{LoadReport, Outcome, RequestId, ServerId};
use std::rc::Weak;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How much earlier than the replay window ends a repeat has to be with its server: timers fire late, and what a server
/// reads at that moment opens its receive window for the rest.
const WINDOW_MARGIN: Duration = Duration::from_millis(10);

/// A submitted request.
pub struct PendingRequest<U: Upstream> {
    pub(crate) host: Weak<Host<U>>,
    pub(crate) id: RequestId,
    pub(crate) answer: oneshot::Receiver<Answer<U::Answer>>,
    pub(crate) rejection_message: Option<&'static str>,
}

impl<U: Upstream> PendingRequest<U> {
    /// Returns the text for the client if admission control rejected the request.
    pub fn rejection_message(&self) -> Option<&'static str> {
        self.rejection_message
    }

    /// Waits for the final answer, which comes by the request's answer deadline. May be awaited to completion
    /// once; dropping the future before that loses nothing.
    pub async fn answer(&mut self) -> Answer<U::Answer> {
        (&mut self.answer).await.unwrap_or(Answer::Failed)
    }

    /// Ends the request at once, with a refusal if a retry is harmless and otherwise with a failure. No
    /// further attempt starts.
    pub fn abandon(&self) {
        let Some(host) = self.host.upgrade() else { return };
        host.with_engine(|engine, now| engine.reject(now, self.id, None));
    }

    /// Replaces the deadlines, for requests whose deadlines were unknown when they were submitted.
    pub fn set_deadlines(&self, deadline: Instant, answer_deadline: Instant) {
        let Some(host) = self.host.upgrade() else { return };
        let [deadline, answer_deadline] =
            [deadline, answer_deadline].map(|at| host.clock.time(host.clamp_to_shutdown(at)));
        host.with_engine(|engine, _| engine.set_deadlines(self.id, deadline, answer_deadline));
    }
}

impl<U: Upstream> Drop for PendingRequest<U> {
    fn drop(&mut self) {
        // Without an answer so far, the client has disconnected.
        let Some(host) = self.host.upgrade() else { return };
        let reply = host.replies.borrow_mut().remove(&self.id);
        if reply.is_some() {
            host.metrics.outstanding.dec();
            host.with_engine(|engine, now| engine.client_disconnected(now, self.id));
        }
    }
}

/// Permission to send an attempt.
#[derive(Clone, Copy, Debug)]
pub struct SendGrant {
    /// Time left to the attempt.
    pub left: Duration,
    /// When the last byte has to be with the server, if servers may have forgotten the request's key from
    /// then on.
    pub complete_by: Option<Instant>,
}

/// Reports an attempt to the engine. An attempt whose handle is dropped without [`AttemptHandle::finish`]
/// times out.
pub struct AttemptHandle<U: Upstream> {
    pub(crate) host: Weak<Host<U>>,
    pub(crate) attempt: AttemptId,
    pub(crate) server: ServerId,
}

impl<U: Upstream> AttemptHandle<U> {
    /// Decides whether the attempt may be sent. To be called immediately before the first byte.
    pub fn permit_send(&self) -> Option<SendGrant> {
        let host = self.host.upgrade()?;
        let request = self.attempt.request;
        let admission = host.permits.borrow().get(&request).map_or(Ok(()), |permit| permit.check());
        if let Err(rejection) = admission {
            let wait = host.limit_retry_after(rejection);
            host.with_engine(|engine, now| engine.reject(now, request, wait));
            return None;
        }
        let permit = host.with_engine(|engine, now| engine.permit_send(now, self.attempt));
        let SendPermit::Granted { left, complete_by } = permit else { return None };
        host.permits.borrow().get(&request).iter().for_each(|permit| permit.attempt_sent());
        Some(SendGrant { left, complete_by: complete_by.map(|at| host.clock.instant(at) - WINDOW_MARGIN) })
    }

    /// Counts the attempt as sent. To be called when its last byte has been written.
    pub fn written(&self) {
        self.host.upgrade().iter().for_each(|host| host.metrics.forwards.inc());
    }

    /// Returns a function that decides whether the last byte may be sent of a request whose body was
    /// incomplete when it was submitted, given the time that the server took to accept the rest. To be called
    /// immediately before that byte.
    pub fn last_byte_permit(&self) -> impl FnOnce(Duration) -> bool + 'static {
        let (host, attempt) = (self.host.clone(), self.attempt);
        move |transfer| {
            let Some(host) = host.upgrade() else { return false };
            let permitted = host.with_engine(|engine, now| engine.permit_last_byte(now, attempt, transfer));
            if permitted {
                host.metrics.forwards.inc();
            }
            permitted
        }
    }

    /// Reports the end of the attempt.
    pub fn finish(self, result: AttemptResult<U::Answer>) {
        let Some(host) = self.host.upgrade() else { return };
        host.attempts.borrow_mut().remove(&self.attempt);
        host.record_outcome(self.server, result.outcome);
        host.with_engine(|engine, now| engine.attempt_ended(now, self.attempt, result));
    }
}

/// Who requested a probe.
pub(crate) enum ProbeOrigin {
    Policy(ProbeId),
    /// Other nodes, on whose behalf this one probes.
    Peers(oneshot::Sender<Outcome>),
}

/// Reports a probe's result.
pub struct ProbeHandle<U: Upstream> {
    pub(crate) host: Weak<Host<U>>,
    pub(crate) origin: ProbeOrigin,
}

impl<U: Upstream> ProbeHandle<U> {
    /// Reports the end of the probe and the server's load report.
    pub fn finish(self, outcome: Outcome, report: Option<LoadReport>) {
        let probe = match self.origin {
            ProbeOrigin::Policy(probe) => probe,
            // The receiver is gone if the probe timed out.
            ProbeOrigin::Peers(sender) => {
                let _ = sender.send(outcome);
                return;
            }
        };
        let Some(host) = self.host.upgrade() else { return };
        if let Some((server, _)) = host.probes.borrow_mut().remove(&probe) {
            host.record_outcome(server, outcome);
        }
        host.with_engine(|engine, now| engine.probe_ended(now, probe, outcome, report));
    }
}
