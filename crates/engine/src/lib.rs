//! Tracks requests, their attempts, timers and deadlines, and enforces the rules on them, independent of
//! protocol and I/O.
//!
//! The front of a protocol calls [`Engine::submit`] for each request, its upstream side reports the ends of
//! attempts with [`Engine::attempt_ended`], and discovery passes lists of servers to
//! [`Engine::update_servers`]. A [`Policy`], in production that of `finchvale`, makes all decisions. The
//! engine tracks the state of requests, checks each decision against the rules and returns the work to do as
//! [`Command`]s. Requests and answers are opaque to it.
//!
//! ```text
//! front --submit, client_disconnected--> Engine --Command::Answer--> front
//!                                         |  ^
//!                          Command::Start |  | permit_send, attempt_ended, probe_ended
//!                                         v  |
//!                                       upstream
//! ```
//!
//! Time is an argument. [`Engine::next_wake`] returns when to call [`Engine::wake`]; no other timer is
//! needed.
//!
//! The rules hold for every [`Policy`] and every order of events:
//!
//! 1. Each accepted request gets one [`Command::Answer`], at its `answer_deadline` at the latest, unless its
//!    client disconnects first.
//! 2. An attempt is sent only after [`Engine::permit_send`] has granted it, once, and only if the request is
//!    open, the server accepts new requests and no earlier attempt forbids it. For unsafe requests, any
//!    attempt that may have run forbids it; for keyed ones, one that may have run outside the server's key
//!    scope, or longer ago than the replay window. A server runs a request once it has the last byte: where
//!    that is sent much later than the first, [`Engine::permit_last_byte`] checks the same once more. A
//!    refusal is turned into a failure where a retry might not be harmless.
//! 3. No attempt is permitted to a server that drains or is gone.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod engine;
mod open_ids;
mod requests;

pub use engine::Engine;

use finchvale::{Action, Balancer, ClassId, Event, LoadReport, Outcome, RequestId, ServerId, TenantId, Time};
use std::rc::Rc;
use std::time::Duration;

/// Makes the decisions. Production uses [`finchvale::Balancer`]; tests use others to show that the rules hold
/// for any policy.
pub trait Policy {
    /// Handles an event that happened at `now` and appends the resulting actions.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

impl<D: Policy + ?Sized> Policy for Box<D> {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        (**self).handle(now, event, actions);
    }
}

/// A client's request, independent of protocol.
#[derive(Clone, Debug)]
pub struct Incoming<R> {
    /// The request's class.
    pub class: ClassId,
    /// The tenant it belongs to.
    pub tenant: TenantId,
    /// Expected work, if the client sent a hint.
    pub work: Option<Duration>,
    /// Whether the body has been received completely. If not, each attempt calls [`Engine::permit_last_byte`]
    /// before its last byte, and [`Engine::set_deadlines`] sets the final deadlines.
    pub body_complete: bool,
    /// Deadline of all attempts.
    pub deadline: Time,
    /// When the request fails if it has no answer yet; `deadline` if that is later.
    pub answer_deadline: Time,
    /// The client's id of the request. No other request with this id is accepted while it is open or has an
    /// attempt in flight.
    pub external_id: Box<[u8]>,
    /// The protocol's request, which may be sent to servers several times.
    pub request: R,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<A> {
    /// A server's answer.
    Served(A),
    /// A retry is harmless, preferably after the given delay.
    Refused(Option<Duration>),
    /// The request may or may not have run.
    Failed,
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from 0.
    pub number: u32,
}

/// Identifies a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

/// Work for the host, to be carried out in order.
#[derive(Debug)]
pub enum Command<R, A> {
    /// Prepare to send an attempt, call [`Engine::permit_send`] before the first byte, and report the end to
    /// [`Engine::attempt_ended`].
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The server to send it to.
        server: ServerId,
        /// The request to send.
        request: Rc<R>,
    },
    /// Abort the attempt and close its connection. Its end need not be reported.
    Cancel(AttemptId),
    /// Send this answer to the client.
    Answer {
        /// The request.
        request: RequestId,
        /// The final answer.
        answer: Answer<A>,
    },
    /// Ask a server for its load and report the result to [`Engine::probe_ended`].
    Probe {
        /// The probe.
        probe: ProbeId,
        /// The server to probe.
        server: ServerId,
    },
    /// Abort the probe.
    CancelProbe(ProbeId),
    /// A request is finished: it is answered or its client disconnected, and no attempt is in flight. Only
    /// after [`Engine::report_completion`].
    Completed {
        /// The request.
        request: RequestId,
        /// Whether any server ran it or may have run it.
        may_have_run: bool,
    },
    /// Watch the list of servers from now on.
    Watch,
    /// Log this line.
    Log(String),
}

/// The end of an attempt, as seen by the upstream side.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult<A> {
    /// The outcome, which tells among other things whether the attempt can have run.
    pub outcome: Outcome,
    /// The load report that came with the response, if any.
    pub report: Option<LoadReport>,
    /// The answer for the client, if the attempt was served.
    pub answer: Option<A>,
}

impl<A> AttemptResult<A> {
    /// Creates a result without answer or load report.
    pub fn from_outcome(outcome: Outcome) -> Self {
        AttemptResult { outcome, report: None, answer: None }
    }
}

/// The result of [`Engine::permit_send`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermit {
    /// Send now.
    Granted {
        /// Time left to the attempt.
        left: Duration,
        /// When servers may have forgotten the request's key, if an earlier attempt may have run. The last
        /// byte has to reach the server before; an attempt that can't is ended with [`Outcome::NotSent`].
        complete_by: Option<Time>,
    },
    /// Do not send; end the attempt with [`Outcome::NotSent`].
    Denied,
}

/// A request with the same external id is open or has an attempt in flight, and the new one would count as
/// its repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateRequest;
