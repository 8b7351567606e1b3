//! What whoever serves a protocol holds of the host: a request that was taken, an attempt, a probe.

use crate::{Host, Upstream};
use birchswitch_engine::{Answer, AttemptId, Clearance, Ended, ProbeId};
use finchvale::{LoadReport, Outcome, RequestId, ServerId};
use std::rc::Weak;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request that was taken.
pub struct Taken<U: Upstream> {
    pub(crate) host: Weak<Host<U>>,
    pub(crate) id: RequestId,
    pub(crate) answer: oneshot::Receiver<Answer<U::Answer>>,
    pub(crate) why: Option<&'static str>,
}

impl<U: Upstream> Taken<U> {
    /// Why the door turned it away, if it did.
    pub fn why(&self) -> Option<&'static str> {
        self.why
    }

    /// The final answer, at the request's last moment if not before. To be waited for once; giving that up loses nothing.
    pub async fn answer(&mut self) -> Answer<U::Answer> {
        (&mut self.answer).await.unwrap_or(Answer::Failed)
    }

    /// Gives it up: no further attempt begins, and its answer is there at once, a refusal where that is true.
    pub fn give_up(&self) {
        let Some(host) = self.host.upgrade() else { return };
        host.with(|engine, now| engine.turn_away(now, self.id, None));
    }

    /// Sets its times anew, where they could not be known when it was taken.
    pub fn set_due(&self, due: Instant, last: Instant) {
        let Some(host) = self.host.upgrade() else { return };
        let [due, last] = [due, last].map(|at| host.clock.time(host.before_end(at)));
        host.with(|engine, _| engine.set_due(self.id, due, last));
    }
}

impl<U: Upstream> Drop for Taken<U> {
    fn drop(&mut self) {
        // If no answer was given, nothing is owed any more.
        let Some(host) = self.host.upgrade() else { return };
        let owed = host.replies.borrow_mut().remove(&self.id);
        if owed.is_some() {
            host.figures.outstanding.dec();
            host.with(|engine, now| engine.leave(now, self.id));
        }
    }
}

/// One attempt's line to the engine. An attempt that is dropped without an end runs into its time-out.
pub struct Ticket<U: Upstream> {
    pub(crate) host: Weak<Host<U>>,
    pub(crate) attempt: AttemptId,
    pub(crate) server: ServerId,
}

impl<U: Upstream> Ticket<U> {
    /// Asked right before the first byte: whether it may go out, and how long the attempt has.
    pub fn clear(&self) -> Clearance {
        let Some(host) = self.host.upgrade() else { return Clearance::Stop };
        let request = self.attempt.request;
        let fit = host.passes.borrow().get(&request).map_or(Ok(()), |pass| pass.fit());
        if let Err(turned) = fit {
            let wait = host.told_wait(turned);
            host.with(|engine, now| engine.turn_away(now, request, wait));
            return Clearance::Stop;
        }
        let clearance = host.with(|engine, now| engine.clear(now, self.attempt));
        if matches!(clearance, Clearance::Go(_)) {
            host.passes.borrow().get(&request).iter().for_each(|pass| pass.sent());
        }
        clearance
    }

    /// Tells that the attempt's last byte is on its way.
    pub fn written(&self) {
        self.host.upgrade().iter().for_each(|host| host.figures.forwards.inc());
    }

    /// The same for a request that was not whole when it was taken: to be called once its last byte is on its way.
    pub fn once_written(&self) -> impl FnOnce() + 'static {
        let (host, attempt) = (self.host.clone(), self.attempt);
        move || {
            if let Some(host) = host.upgrade() {
                host.figures.forwards.inc();
                host.with(|engine, now| engine.written(now, attempt));
            }
        }
    }

    /// Tells how the attempt ended.
    pub fn end(self, ended: Ended<U::Answer>) {
        let Some(host) = self.host.upgrade() else { return };
        host.attempts.borrow_mut().remove(&self.attempt);
        host.met(self.server, ended.outcome);
        host.with(|engine, now| engine.ended(now, self.attempt, ended));
    }
}

/// Whom a probe's answer is for.
pub(crate) enum Asker {
    Decisions(ProbeId),
    /// Other nodes, on whose behalf this one asks.
    Others(oneshot::Sender<Outcome>),
}

/// One probe's line back.
pub struct ProbeTicket<U: Upstream> {
    pub(crate) host: Weak<Host<U>>,
    pub(crate) asker: Asker,
}

impl<U: Upstream> ProbeTicket<U> {
    /// Tells how the probe ended, and the server's word on its load.
    pub fn end(self, outcome: Outcome, report: Option<LoadReport>) {
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
        host.with(|engine, now| engine.probed(now, probe, outcome, report));
    }
}
