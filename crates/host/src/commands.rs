//! Carries out what the engine asks for, and wakes it when something is due.

use crate::tickets::Asker;
use crate::{AttemptHandle, Host, ProbeHandle, Upstream};
use birchswitch_engine::{Answer, Command};
use birchswitch_figures::Disposition;
use finchvale::Outcome;
use std::rc::Weak;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};

impl<U: Upstream> Host<U> {
    pub(crate) fn carry_out(&self) {
        while !self.closed.get() {
            let command = self.engine.borrow_mut().next_command();
            match command {
                Some(command) => self.obey(command),
                None => break,
            }
        }
        if let Some(witness) = self.witness.borrow().as_ref() {
            for (server, outcome, latency) in self.engine.borrow_mut().take_attempt_ends() {
                witness.ended(self.now(), server, outcome, latency);
            }
        }
        let next = self.engine.borrow().next_wake();
        if next.is_some_and(|n| self.timer.get().is_none_or(|t| n < t)) {
            self.timer.set(next);
            self.earlier.notify_one();
        }
    }

    fn obey(&self, command: Command<U::Request, U::Answer>) {
        match command {
            Command::Start { attempt, server, request } => {
                let ticket = AttemptHandle { host: self.me.clone(), attempt, server };
                let task = spawn_local(self.upstream.clone().attempt(server, request, ticket));
                self.attempts.borrow_mut().insert(attempt, task.abort_handle());
            }
            Command::Cancel(attempt) => {
                self.attempts.borrow_mut().remove(&attempt).iter().for_each(AbortHandle::abort);
            }
            Command::Answer { request, answer } => {
                if let Some((class, reply)) = self.replies.borrow_mut().remove(&request) {
                    self.figures.outstanding.dec();
                    self.figures.record_result(usize::from(class.0), disposition(&answer));
                    if matches!(answer, Answer::Refused(_)) {
                        self.figures.set_refusals(self.engine.borrow().refusals());
                    }
                    let _ = reply.send(answer); // A client that left in this very moment takes none.
                }
            }
            Command::Probe { probe, server } => {
                if self.health.borrow_mut().as_mut().is_some_and(|h| h.spares(server)) {
                    let now = self.now();
                    return self.engine.borrow_mut().probe_ended(now, probe, Outcome::Unreachable, None);
                }
                self.figures.probes.inc();
                let ticket = ProbeHandle { host: self.me.clone(), asker: Asker::Decisions(probe) };
                let task = spawn_local(self.upstream.clone().probe(server, ticket));
                self.probes.borrow_mut().insert(probe, (server, task.abort_handle()));
            }
            Command::CancelProbe(probe) => {
                if let Some((server, task)) = self.probes.borrow_mut().remove(&probe) {
                    task.abort();
                    self.met(server, Outcome::TimedOut);
                }
            }
            Command::Completed { request, may_have_run } => {
                let pass = self.passes.borrow_mut().remove(&request);
                pass.into_iter().for_each(|pass| pass.finish(may_have_run));
            }
            Command::Watch => (self.watch.borrow())(),
            Command::Log(line) => self.log(format_args!("{line}")),
        }
    }
}

fn disposition<A>(answer: &Answer<A>) -> Disposition {
    match answer {
        Answer::Served(_) => Disposition::Succeeded,
        Answer::Refused(_) => Disposition::Declined,
        Answer::Failed => Disposition::Aborted,
    }
}

/// Wakes the engine whenever something is due.
pub(crate) async fn keep_time<U: Upstream>(host: Weak<Host<U>>) {
    loop {
        let Some(me) = host.upgrade() else { return };
        let now = me.now();
        let next = me.engine.borrow().next_wake();
        if next.is_some_and(|n| n <= now) {
            me.with(|engine, now| engine.wake(now));
            continue;
        }
        me.timer.set(next);
        let at = next.map(|n| me.clock.instant(n));
        tokio::select! {
            biased;
            () = me.earlier.notified() => {}
            () = sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {}
        }
    }
}
