//! Runs the engine's commands and its timer.

use crate::handles::ProbeOrigin;
use crate::{AttemptHandle, Host, ProbeHandle, Upstream};
use birchswitch_engine::{Answer, Command};
use birchswitch_figures::Disposition;
use finchvale::Outcome;
use std::rc::Weak;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};

impl<U: Upstream> Host<U> {
    pub(crate) fn run_commands(&self) {
        while !self.closed.get() {
            let command = self.engine.borrow_mut().next_command();
            match command {
                Some(command) => self.run_command(command),
                None => break,
            }
        }
        if let Some(observer) = self.observer.borrow().as_ref() {
            for (server, outcome, latency) in self.engine.borrow_mut().take_attempt_ends() {
                observer.attempt_ended(self.now(), server, outcome, latency);
            }
        }
        let next = self.engine.borrow().next_wake();
        if next.is_some_and(|n| self.armed_wake.get().is_none_or(|t| n < t)) {
            self.armed_wake.set(next);
            self.timer_changed.notify_one();
        }
    }

    fn run_command(&self, command: Command<U::Request, U::Answer>) {
        match command {
            Command::Start { attempt, server, request } => {
                let handle = AttemptHandle { host: self.this.clone(), attempt, server };
                let task = spawn_local(self.upstream.clone().attempt(server, request, handle));
                self.attempts.borrow_mut().insert(attempt, task.abort_handle());
            }
            Command::Cancel(attempt) => {
                self.attempts.borrow_mut().remove(&attempt).iter().for_each(AbortHandle::abort);
            }
            Command::Answer { request, answer } => {
                if let Some((class, reply)) = self.replies.borrow_mut().remove(&request) {
                    self.metrics.outstanding.dec();
                    self.metrics.record_result(usize::from(class.0), disposition(&answer));
                    if matches!(answer, Answer::Refused(_)) {
                        self.metrics.set_refusals(self.engine.borrow().refusals());
                    }
                    let _ = reply.send(answer); // Fails if the client has just disconnected.
                }
            }
            Command::Probe { probe, server } => {
                if self.silence.borrow_mut().as_mut().is_some_and(|h| h.suppresses(server)) {
                    let now = self.now();
                    return self.engine.borrow_mut().probe_ended(now, probe, Outcome::Unreachable, None);
                }
                self.metrics.probes.inc();
                let handle = ProbeHandle { host: self.this.clone(), origin: ProbeOrigin::Policy(probe) };
                let task = spawn_local(self.upstream.clone().probe(server, handle));
                self.probes.borrow_mut().insert(probe, (server, task.abort_handle()));
            }
            Command::CancelProbe(probe) => {
                if let Some((server, task)) = self.probes.borrow_mut().remove(&probe) {
                    task.abort();
                    self.record_outcome(server, Outcome::TimedOut);
                }
            }
            Command::Completed { request, may_have_run } => {
                let permit = self.permits.borrow_mut().remove(&request);
                permit.into_iter().for_each(|permit| permit.finish(may_have_run));
            }
            Command::Watch => (self.watch_callback.borrow())(),
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

/// Wakes the engine whenever a scheduled event is due.
pub(crate) async fn run_timer<U: Upstream>(host: Weak<Host<U>>) {
    loop {
        let Some(me) = host.upgrade() else { return };
        let now = me.now();
        let next = me.engine.borrow().next_wake();
        if next.is_some_and(|n| n <= now) {
            me.with_engine(|engine, now| engine.wake(now));
            continue;
        }
        me.armed_wake.set(next);
        let at = next.map(|n| me.clock.instant(n));
        tokio::select! {
            biased;
            () = me.timer_changed.notified() => {}
            () = sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {}
        }
    }
}
