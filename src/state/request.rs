//! Requests and their attempts, as far as decisions need them.

use crate::interface::*;
use std::time::Duration;

/// An attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Time,
    pub ended: bool,
    pub may_have_run: bool,
    /// Whether it needed a new connection.
    pub new_connection: bool,
    /// Requests in the server when it was chosen, if that was known and recent.
    pub held_when_sent: Option<f64>,
    /// Whether the server was cold at the time.
    pub cold: bool,
}

impl Attempt {
    /// Whether it may have run or may still run.
    pub(crate) fn uncertain(&self) -> bool {
        !self.ended || self.may_have_run
    }
}

pub(crate) struct Request {
    pub class: ClassId,
    pub arrived: Time,
    pub deadline: Time,
    pub work: Option<f64>,
    /// Whether a final answer is still due.
    pub answer_due: bool,
    /// Whether a streamed answer has started.
    pub response_started: bool,
    /// Whether the request has been received completely, so that a server can start as soon as it is sent.
    pub body_complete: bool,
    /// Time that a server took to accept a request that arrived incomplete; zero for others.
    pub transfer: Duration,
    pub attempts: Vec<Attempt>,
    /// Its worth relative to that of a mean request.
    pub worth: f64,
    /// Reason to give if the request is refused now.
    pub why: Refusal,
    /// Servers considered for its next attempt.
    pub candidates: Vec<(ServerId, ProbeState)>,
}

/// State of the probe to a candidate server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeState {
    /// Not probed.
    NotSent,
    /// Waiting for the answer.
    Pending,
    /// Answered.
    Answered,
    /// Failed.
    Failed,
}

impl Request {
    /// A request that has just arrived.
    pub(crate) fn new(now: Time, class: ClassId, a: &Arrival) -> Self {
        let (attempts, candidates, work) = (Vec::new(), Vec::new(), a.work.map(|w| w.as_secs_f64()));
        let (arrived, deadline, body_complete) = (now, now + a.remaining, a.body_complete);
        let (answer_due, response_started, worth, why) = (true, false, 1.0, Refusal::NoServer);
        Request {
            class,
            arrived,
            deadline,
            work,
            answer_due,
            response_started,
            body_complete,
            transfer: Duration::ZERO,
            attempts,
            worth,
            why,
            candidates,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.attempts.iter().all(|a| a.ended)
    }
}

/// An attempt that ended, with the relevant properties of its request.
pub(crate) struct EndedAttempt {
    pub attempt: Attempt,
    pub class: ClassId,
    pub work: Option<f64>,
    pub body_complete: bool,
    /// Whether a streamed answer has started.
    pub streamed: bool,
    /// Whether the end of this attempt calls for no decision: no answer is due, or another attempt is in
    /// flight.
    pub finished: bool,
}
