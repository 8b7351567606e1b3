//! State of tracked requests, and the rules on further attempts.

use finchvale::{CellId, ClassId, Effect, KeyScope, ServerId, ServerState, Settings, Time, ZoneId};
use std::rc::Rc;

/// A tracked request: open, or closed with an attempt in flight.
pub(crate) struct RequestState<R> {
    pub(crate) external_id: Rc<[u8]>,
    pub(crate) class: ClassId,
    pub(crate) deadline: Time,
    pub(crate) answer_deadline: Time,
    /// Whether the body had been received completely at submission. If not, the last byte of each attempt
    /// needs a permit of its own.
    pub(crate) body_complete: bool,
    /// None once the request is closed and cannot be sent again.
    pub(crate) request: Option<Rc<R>>,
    /// Whether the client got a server's answer.
    pub(crate) served: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl<R> RequestState<R> {
    /// Returns whether the client still waits for an answer.
    pub(crate) fn is_open(&self) -> bool {
        self.request.is_some()
    }

    /// Returns when the latest attempt was sent that may have run without the client hearing of it.
    pub(crate) fn unanswered_run(&self) -> Option<Time> {
        let possible_runs = self.attempts.iter().filter(|a| a.may_have_run()).map(|a| a.fully_sent);
        possible_runs.max().filter(|_| !self.served)
    }

    /// Returns all attempts except `current`.
    fn other_attempts(&self, current: Option<usize>) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().enumerate().filter(move |(n, _)| Some(*n) != current).map(|(_, a)| a)
    }

    /// Returns whether the request is closed and has no attempt in flight.
    pub(crate) fn is_finished(&self) -> bool {
        !self.is_open() && self.attempts.iter().all(|a| !a.in_flight)
    }
}

/// An attempt, from the policy's send action on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) location: KeyLocation,
    /// When the server had the complete request: the start, until the last byte of a longer body is permitted.
    pub(crate) fully_sent: Time,
    pub(crate) deadline: Time,
    /// Sending was permitted: the server may have a part of it.
    pub(crate) send_permitted: bool,
    /// When its last byte was permitted. The server cannot have run it earlier, nor at all without it.
    pub(crate) may_run_from: Option<Time>,
    /// Its end has not been reported.
    pub(crate) in_flight: bool,
    /// Its outcome proves that it never ran and never will.
    pub(crate) never_ran: bool,
}

impl Attempt {
    /// Returns whether the server may have run it, may be running it or may still do so.
    pub(crate) fn may_have_run(&self) -> bool {
        self.possible_run().is_some()
    }

    /// Returns the earliest time at which the server may have run it.
    fn possible_run(&self) -> Option<Time> {
        self.may_run_from.filter(|_| !self.never_ran)
    }
}

/// Zone and cell of a server: the groups within which servers drop repeats of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeyLocation {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
}

/// A server's entry in the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedServer {
    pub(crate) location: KeyLocation,
    pub(crate) state: ServerState,
}

/// The site's rules on attempts and refusals.
pub(crate) struct Rules {
    effects: Vec<Effect>,
    max_attempts: usize,
    second_copies: bool,
}

impl Rules {
    pub(crate) fn new(settings: &Settings) -> Self {
        Rules {
            effects: settings.classes.iter().map(|c| c.effect).collect(),
            max_attempts: settings.max_attempts as usize,
            second_copies: settings.second_copies,
        }
    }

    /// Returns a class's effect; classes missing from the settings count as unsafe, the most restrictive
    /// effect.
    fn effect(&self, class: ClassId) -> Effect {
        self.effects.get(usize::from(class.0)).copied().unwrap_or(Effect::Unsafe)
    }

    /// Returns why a request may not be sent to a server now, given its other attempts. `current` is the
    /// attempt to be sent, if it is recorded already; it is left out of account.
    pub(crate) fn denial_reason<R>(
        &self,
        now: Time,
        entry: &RequestState<R>,
        current: Option<usize>,
        server: Option<&ListedServer>,
    ) -> Option<&'static str> {
        let Some(server) = server.filter(|s| s.state == ServerState::Ready) else {
            return Some("the server accepts no new requests");
        };
        if !entry.is_open() {
            return Some("the request is closed");
        }
        let others = || entry.other_attempts(current);
        if others().filter(|a| a.in_flight || a.send_permitted).count() >= self.max_attempts {
            return Some("the request has used all its attempts");
        }
        if !self.second_copies && others().any(|a| a.in_flight) {
            return Some("two copies may not be in flight at once");
        }
        self.repeat_denial_reason(now, entry, current, server.location)
    }

    /// Returns why a server at `location` may not run a request now, given what its other attempts may have
    /// done.
    pub(crate) fn repeat_denial_reason<R>(
        &self,
        now: Time,
        entry: &RequestState<R>,
        current: Option<usize>,
        location: KeyLocation,
    ) -> Option<&'static str> {
        let mut possibly_run = entry.other_attempts(current).filter(|a| a.may_have_run());
        match self.effect(entry.class) {
            Effect::Safe => None,
            Effect::Unsafe => possibly_run.next().map(|_| "an attempt may have run"),
            Effect::Keyed { scope, .. } => {
                if self.repeat_window_end(entry, current).is_some_and(|end| now >= end) {
                    return Some("the replay window has passed");
                }
                let outside_scope = |a: &Attempt| match scope {
                    KeyScope::All => false,
                    KeyScope::Zone => a.location.zone != location.zone,
                    KeyScope::Cell => a.location.cell != location.cell,
                };
                possibly_run
                    .any(outside_scope)
                    .then_some("an attempt may have run outside the server's key scope")
            }
        }
    }

    /// Returns when servers may start to forget the key of a request, because an attempt other than `current`
    /// may have run. None if no attempt may have run, or if the class has no keys.
    pub(crate) fn repeat_window_end<R>(
        &self,
        entry: &RequestState<R>,
        current: Option<usize>,
    ) -> Option<Time> {
        let Effect::Keyed { window, .. } = self.effect(entry.class) else { return None };
        entry.other_attempts(current).filter_map(Attempt::possible_run).min().map(|first| first + window)
    }

    /// Returns whether the request may be answered with a refusal, which promises that a retry is harmless.
    pub(crate) fn can_refuse<R>(&self, entry: &RequestState<R>) -> bool {
        match self.effect(entry.class) {
            Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. } => true,
            Effect::Unsafe | Effect::Keyed { .. } => !entry.attempts.iter().any(Attempt::may_have_run),
        }
    }
}
