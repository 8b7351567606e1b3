//! Requests in hand, their attempts, timers and deadlines, and the rules on them: for any protocol, without I/O.
//!
//! A front tells [`Engine::submit`] of each request, whoever talks to servers tells [`Engine::attempt_ended`] how attempts
//! ended, whoever knows the servers tells [`Engine::update_servers`]. The decisions are a [`Policy`]'s, in service
//! `finchvale`'s; the engine keeps books, checks each decision against the rules, and says what is to be done as
//! [`Command`]s. Requests and answers are opaque: only the package of a protocol opens them.
//!
//! ```text
//! front --arrive/leave--> Engine --Command::Answer--> front
//!                            |  ^
//!             Command::Start |  | clear, ended, probed
//!                            v  |
//!                        servers' side
//! ```
//!
//! Time is an argument. [`Engine::next_wake`] says when [`Engine::wake`] is due; nothing else wants a timer.
//!
//! The rules hold whatever a [`Policy`] does and in whatever order events come:
//!
//! 1. Each request that was taken gets one [`Command::Answer`], at its `answer_deadline` at the latest, unless its client
//!    left before.
//! 2. An attempt is written only after [`Engine::permit_send`] said so, once, and only if the request is open, the server takes
//!    new requests, and no earlier attempt stands in the way: for unsafe requests any that may have run, for keyed ones
//!    one outside the group or the window. A refusal that would promise what nobody knows goes out as a failure.
//! 3. Nothing is cleared for a server that drains or is gone.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod engine;
mod ledger;

pub use engine::Engine;

use finchvale::{Action, Balancer, ClassId, Event, LoadReport, Outcome, RequestId, ServerId, TenantId, Time};
use std::rc::Rc;
use std::time::Duration;

/// What decides. [`finchvale::Balancer`] in service; tests put others here, to show that the rules don't rest on it.
pub trait Policy {
    /// Takes in what happened at `now` and adds what it wants done.
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

/// A client's request in no protocol's terms.
#[derive(Clone, Debug)]
pub struct Incoming<R> {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Expected work, if the client told.
    pub work: Option<Duration>,
    /// All of it is there; else [`Engine::written`] tells when a server has it, and [`Engine::set_deadlines`] sets its times.
    pub body_complete: bool,
    /// When the decisions have to be over.
    pub deadline: Time,
    /// When the answer goes out whatever they say; not before `deadline`.
    pub answer_deadline: Time,
    /// The client's name for it. While it is open or out no other of that name is taken.
    pub external_id: Box<[u8]>,
    /// What goes to a server, perhaps several times.
    pub request: R,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<A> {
    /// What a server answered.
    Served(A),
    /// Trying again is harmless, best after the wait.
    Refused(Option<Duration>),
    /// Nothing is promised.
    Failed,
}

/// One attempt: the request and its number there, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from 0.
    pub number: u32,
}

/// One probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

/// What is to be done, in this order.
#[derive(Debug)]
pub enum Command<R, A> {
    /// Get ready to send, ask [`Engine::permit_send`] before the first byte, and tell [`Engine::attempt_ended`] what came of it.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// Where to.
        server: ServerId,
        /// What.
        request: Rc<R>,
    },
    /// Give the attempt up, and its connection with it. Nothing more is wanted of it.
    Cancel(AttemptId),
    /// Give the client this answer.
    Answer {
        /// The request.
        request: RequestId,
        /// Its one final answer.
        answer: Answer<A>,
    },
    /// Ask a server for its load, and tell [`Engine::probe_ended`].
    Probe {
        /// The probe.
        probe: ProbeId,
        /// Whom.
        server: ServerId,
    },
    /// Give the probe up.
    CancelProbe(ProbeId),
    /// Nothing more can come of a request: it is answered, or its client left, and no attempt is out. Said where
    /// [`Engine::report_completion`] was called.
    Completed {
        /// The request.
        request: RequestId,
        /// Whether it ran, or may have run, at any server.
        may_have_run: bool,
    },
    /// Follow the list of servers from now on.
    Watch,
    /// Write a line to the log.
    Log(String),
}

/// How an attempt ended, as the servers' side saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult<A> {
    /// What came of it, above all whether it can have run.
    pub outcome: Outcome,
    /// The server's word on its load, if one came along.
    pub report: Option<LoadReport>,
    /// What to give the client, of one that was served.
    pub answer: Option<A>,
}

impl<A> AttemptResult<A> {
    /// Without answer or report.
    pub fn from_outcome(outcome: Outcome) -> Self {
        AttemptResult { outcome, report: None, answer: None }
    }
}

/// What [`Engine::permit_send`] says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermit {
    /// Send now; the attempt has so long.
    Granted(Duration),
    /// Don't send: the attempt ends as [`Outcome::NotSent`].
    Denied,
}

/// A request of the same name is open, or still out at a server, where a second would pass for its repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateRequest;
