//! What is known of a request in hand, and which further attempts the rules allow.

use finchvale::{CellId, ClassId, Effect, KeyScope, ServerId, ServerState, Settings, Time, ZoneId};
use std::rc::Rc;

/// A request in hand.
pub(crate) struct Entry<R> {
    pub(crate) external_id: Rc<[u8]>,
    pub(crate) class: ClassId,
    pub(crate) deadline: Time,
    pub(crate) answer_deadline: Time,
    /// None once the request is closed: nobody sends it again.
    pub(crate) request: Option<Rc<R>>,
    pub(crate) attempts: Vec<Attempt>,
}

impl<R> Entry<R> {
    /// Whether an answer is still owed.
    pub(crate) fn open(&self) -> bool {
        self.request.is_some()
    }

    /// Whether nothing more can come of it.
    pub(crate) fn over(&self) -> bool {
        !self.open() && self.attempts.iter().all(|a| !a.out)
    }
}

/// One attempt, from the decision on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) place: Place,
    pub(crate) began: Time,
    /// When its server had all of it, as far as is known.
    pub(crate) whole: Time,
    pub(crate) until: Time,
    /// It has been let go: from here on it may run.
    pub(crate) cleared: bool,
    /// Its end is not known yet.
    pub(crate) out: bool,
    /// Its end proved that it never ran and never will.
    pub(crate) never_ran: bool,
}

impl Attempt {
    /// Whether it ran, runs or may yet, as far as is known.
    pub(crate) fn may_have_run(&self) -> bool {
        self.cleared && !self.never_ran
    }
}

/// Where a server remembers keys together with others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Listed {
    pub(crate) place: Place,
    pub(crate) state: ServerState,
}

/// The site's rules, in the terms of the ledger.
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

    /// Classes that the settings don't name are taken for the most delicate kind.
    fn effect(&self, class: ClassId) -> Effect {
        self.effects.get(usize::from(class.0)).copied().unwrap_or(Effect::Unsafe)
    }

    /// Why a request may not go to a server at this time, beside its attempts so far. Of these the one under judgement,
    /// if it is among them, is left out.
    pub(crate) fn objection<R>(
        &self,
        now: Time,
        entry: &Entry<R>,
        own: Option<usize>,
        server: Option<&Listed>,
    ) -> Option<&'static str> {
        let Some(server) = server.filter(|s| s.state == ServerState::Ready) else {
            return Some("the server takes nothing new");
        };
        if !entry.open() {
            return Some("the request is closed");
        }
        let others = || entry.attempts.iter().enumerate().filter(|(n, _)| Some(*n) != own).map(|(_, a)| a);
        if others().filter(|a| a.out || a.cleared).count() >= self.max_attempts {
            return Some("it had all its attempts");
        }
        if !self.second_copies && others().any(|a| a.out) {
            return Some("two copies may not be out together");
        }
        match self.effect(entry.class) {
            Effect::Safe => None,
            Effect::Unsafe => others().any(Attempt::may_have_run).then_some("an attempt may have run"),
            Effect::Keyed { scope, window } => {
                let mut risky = others().filter(|a| a.may_have_run());
                let first = risky.clone().map(|a| a.began).min()?;
                if now >= first + window {
                    return Some("its window has passed");
                }
                let apart = |a: &Attempt| match scope {
                    KeyScope::All => false,
                    KeyScope::Zone => a.place.zone != server.place.zone,
                    KeyScope::Cell => a.place.cell != server.place.cell,
                };
                risky.any(apart).then_some("an attempt may have run outside the server's group")
            }
        }
    }

    /// Whether a refusal, which promises that trying again is harmless, would be true.
    pub(crate) fn may_refuse<R>(&self, entry: &Entry<R>) -> bool {
        match self.effect(entry.class) {
            Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. } => true,
            Effect::Unsafe | Effect::Keyed { .. } => !entry.attempts.iter().any(Attempt::may_have_run),
        }
    }
}
