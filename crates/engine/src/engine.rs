//! The engine's state machine: requests, attempts, probes and their timers.

use crate::open_ids::OpenIds;
use crate::requests::{Attempt, KeyLocation, ListedServer, RequestState, Rules};
use crate::{
    Answer, AttemptId, AttemptResult, Command, DuplicateRequest, Incoming, Policy, ProbeId, SendPermit,
};
use finchvale::{
    Action, Arrival, Event, ListKind, LoadReport, Outcome, ProbeEnded, Refusal, RequestId, ServerAdjustment,
    ServerEntry, ServerId, ServerState, Settings, Time, TimerId,
};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a probe. The policy chooses among probed servers within a few milliseconds, so a later response
/// is of no use.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// Number of send actions per request, effective or not, after which it fails. Bounds a policy that keeps
/// choosing servers to which the request may not go.
const MAX_SEND_ACTIONS: usize = 64;

/// A scheduled event. The declaration order is the order in which events of the same time are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    /// The deadline of an attempt.
    AttemptTimeout(AttemptId),
    /// The timeout of a probe.
    ProbeTimeout(ProbeId),
    /// The answer deadline of a request.
    AnswerDeadline(RequestId),
    /// A timer set by the policy. The counter keeps two timers with the same id and time apart.
    PolicyTimer(u64, TimerId),
}

/// Tracks requests and attempts and enforces the rules described in the crate documentation.
///
/// `D` is the policy, `R` a protocol's request and `A` its answer.
pub struct Engine<D, R, A> {
    policy: D,
    rules: Rules,
    requests: FxHashMap<RequestId, RequestState<R>>,
    external_ids: OpenIds,
    servers: FxHashMap<ServerId, ListedServer>,
    probes: FxHashMap<ProbeId, (ServerId, Time)>,
    schedule: BTreeSet<(Time, Scheduled)>,
    next_request: u64,
    next_probe: u64,
    next_timer: u64,
    refusals: [u64; Refusal::ALL.len()],
    reports_completion: bool,
    records_attempt_ends: bool,
    attempt_ends: Vec<(ServerId, Outcome, Duration)>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command<R, A>>,
}

impl<D: Policy, R, A> Engine<D, R, A> {
    /// Creates an engine without servers or requests. The first call has to be [`Engine::update_servers`], if
    /// only with an empty list.
    pub fn new(policy: D, settings: &Settings) -> Self {
        Engine {
            policy,
            rules: Rules::new(settings),
            requests: FxHashMap::default(),
            external_ids: OpenIds::default(),
            servers: FxHashMap::default(),
            probes: FxHashMap::default(),
            schedule: BTreeSet::new(),
            next_request: 0,
            next_probe: 0,
            next_timer: 0,
            refusals: [0; Refusal::ALL.len()],
            reports_completion: false,
            records_attempt_ends: false,
            attempt_ends: Vec::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
        }
    }

    /// Returns the next command to carry out. Callers drain all commands after every call that changes the
    /// engine.
    pub fn next_command(&mut self) -> Option<Command<R, A>> {
        self.commands.pop_front()
    }

    /// Returns the time of the next call to [`Engine::wake`].
    pub fn next_wake(&self) -> Option<Time> {
        self.schedule.first().map(|d| d.0)
    }

    /// Returns the number of refused requests by reason, in the order of [`Refusal::ALL`].
    pub fn refusals(&self) -> [u64; Refusal::ALL.len()] {
        self.refusals
    }

    /// Returns the number of tracked requests: open ones, and closed ones with an attempt in flight.
    pub fn active_requests(&self) -> usize {
        self.requests.len()
    }

    /// Enables [`Command::Completed`] for every request that finishes from now on.
    pub fn report_completion(&mut self) {
        self.reports_completion = true;
    }

    /// Enables recording of attempt ends for [`Engine::take_attempt_ends`].
    pub fn record_attempt_ends(&mut self) {
        self.records_attempt_ends = true;
    }

    /// Returns server, outcome and latency of the attempts that ended since the last call.
    pub fn take_attempt_ends(&mut self) -> Vec<(ServerId, Outcome, Duration)> {
        std::mem::take(&mut self.attempt_ends)
    }

    /// Replaces the fleet-wide adjustments of servers ([`Event::Adjustments`]).
    pub fn set_adjustments(&mut self, now: Time, adjustments: Vec<ServerAdjustment>) {
        self.handle_event(now, Event::Adjustments(adjustments));
    }

    // ---- Inputs ----
    /// Accepts a client's request. Its answer follows as [`Command::Answer`].
    pub fn submit(&mut self, now: Time, incoming: Incoming<R>) -> Result<RequestId, DuplicateRequest> {
        let Incoming { class, tenant, work, body_complete, deadline, answer_deadline, external_id, request } =
            incoming;
        let external_id: Rc<[u8]> = external_id.into();
        if !self.external_ids.open(now, external_id.clone()) {
            return Err(DuplicateRequest);
        }
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let answer_deadline = answer_deadline.max(deadline);
        let entry = RequestState {
            external_id,
            class,
            deadline,
            answer_deadline,
            body_complete,
            request: Some(Rc::new(request)),
            served: false,
            attempts: Vec::new(),
        };
        self.requests.insert(id, entry);
        self.schedule.insert((answer_deadline, Scheduled::AnswerDeadline(id)));
        let remaining = deadline - now;
        self.handle_event(
            now,
            Event::Arrival(Arrival { request: id, class, tenant, remaining, work, body_complete }),
        );
        self.remove_if_finished(id);
        Ok(id)
    }

    /// Replaces the deadlines of an open request, for requests whose deadlines were unknown when they arrived.
    /// Attempts in flight are cut to `deadline`; an attempt with an earlier deadline keeps it.
    pub fn set_deadlines(&mut self, request: RequestId, deadline: Time, answer_deadline: Time) {
        let Some(entry) = self.requests.get_mut(&request).filter(|e| e.is_open()) else { return };
        let answer_deadline = answer_deadline.max(deadline);
        self.schedule.remove(&(entry.answer_deadline, Scheduled::AnswerDeadline(request)));
        self.schedule.insert((answer_deadline, Scheduled::AnswerDeadline(request)));
        (entry.deadline, entry.answer_deadline) = (deadline, answer_deadline);
        for (number, a) in
            entry.attempts.iter_mut().enumerate().filter(|(_, a)| a.in_flight && a.deadline > deadline)
        {
            let attempt = AttemptId { request, number: number as u32 };
            self.schedule.remove(&(a.deadline, Scheduled::AttemptTimeout(attempt)));
            self.schedule.insert((deadline, Scheduled::AttemptTimeout(attempt)));
            a.deadline = deadline;
        }
    }

    /// Moves the deadlines of all open requests to `end` where they are later.
    pub fn cap_deadlines(&mut self, end: Time) {
        let late = self.requests.iter().filter(|(_, entry)| entry.is_open() && entry.answer_deadline > end);
        let late: Vec<_> = late.map(|(request, entry)| (*request, entry.deadline.min(end))).collect();
        late.into_iter().for_each(|(request, deadline)| self.set_deadlines(request, deadline, end));
    }

    /// Closes a request whose client disconnected. Has no effect after the answer.
    pub fn client_disconnected(&mut self, now: Time, request: RequestId) {
        if self.close(request) {
            self.handle_event(now, Event::ClientGone { request });
            self.remove_if_finished(request);
        }
    }

    /// Ends a request on behalf of the host: with a refusal if a retry is harmless, otherwise with a failure.
    pub fn reject(&mut self, now: Time, request: RequestId, wait: Option<Duration>) {
        let open = self.requests.get(&request).is_some_and(RequestState::is_open);
        self.answer(request, |can_refuse| if can_refuse { Answer::Refused(wait) } else { Answer::Failed });
        if open {
            self.cancel_incomplete_attempts(now, request);
            self.handle_event(now, Event::ClientGone { request });
            self.remove_if_finished(request);
        }
    }

    /// Cancels the attempts of a closed request that were sent in part: their last byte is never permitted.
    fn cancel_incomplete_attempts(&mut self, now: Time, request: RequestId) {
        let Some(entry) = self.requests.get(&request) else { return };
        let incomplete = |a: &Attempt| a.in_flight && a.send_permitted && a.may_run_from.is_none();
        let numbers: Vec<_> =
            (0..).zip(&entry.attempts).filter(|(_, a)| incomplete(a)).map(|a| a.0).collect();
        for number in numbers {
            let attempt = AttemptId { request, number };
            if let Some(event) = self.finish_attempt(now, attempt, Outcome::Cancelled, None) {
                self.commands.push_back(Command::Cancel(attempt));
                self.handle_event(now, event);
            }
        }
    }

    /// Decides whether an attempt may be sent. Has to be called immediately before its first byte. If denied,
    /// the caller ends the attempt with [`Outcome::NotSent`]; if granted, it sends the request once.
    pub fn permit_send(&mut self, now: Time, attempt: AttemptId) -> SendPermit {
        let number = attempt.number as usize;
        let Some(entry) = self.requests.get_mut(&attempt.request) else { return SendPermit::Denied };
        let Some(a) = entry.attempts.get(number).copied() else { return SendPermit::Denied };
        // A second permit for the same attempt would send it twice.
        let sendable = a.in_flight && !a.send_permitted && now < a.deadline;
        let server = self.servers.get(&a.server);
        if !sendable || self.rules.denial_reason(now, entry, Some(number), server).is_some() {
            return SendPermit::Denied;
        }
        let complete_by = self.rules.repeat_window_end(entry, Some(number));
        let permitted = &mut entry.attempts[number];
        permitted.send_permitted = true;
        permitted.may_run_from = entry.body_complete.then_some(now);
        SendPermit::Granted { left: a.deadline - now, complete_by }
    }

    /// Decides whether the last byte of an attempt may be sent whose body was incomplete when the request was
    /// submitted. Has to be called immediately before that byte, since a server runs a request once it has
    /// all of it: the rules are checked again, and the server's latency counts from here. If denied, the
    /// attempt cannot have run.
    ///
    /// `transfer` is the time that the server took to accept the rest of the request.
    pub fn permit_last_byte(&mut self, now: Time, attempt: AttemptId, transfer: Duration) -> bool {
        let AttemptId { request, number } = attempt;
        let index = number as usize;
        let Some(entry) = self.requests.get_mut(&request).filter(|e| e.is_open()) else { return false };
        let Some(a) = entry.attempts.get(index).copied() else { return false };
        let sendable = a.in_flight && a.send_permitted && a.may_run_from.is_none() && now < a.deadline;
        if !sendable || self.rules.repeat_denial_reason(now, entry, Some(index), a.location).is_some() {
            return false;
        }
        entry.attempts[index].fully_sent = now;
        entry.attempts[index].may_run_from = Some(now);
        self.handle_event(now, Event::RequestWritten { request, attempt: number, transfer });
        true
    }

    /// Records the end of an attempt. Has no effect on attempts that were cancelled or timed out before.
    pub fn attempt_ended(&mut self, now: Time, attempt: AttemptId, result: AttemptResult<A>) {
        let AttemptResult { outcome, report, answer } = result;
        if let Some(answer) = answer.filter(|_| self.is_in_flight(attempt)) {
            // The first answer closes the request; the answer of a second copy is dropped.
            if self.close(attempt.request) {
                self.requests.get_mut(&attempt.request).into_iter().for_each(|entry| entry.served = true);
                let (request, answer) = (attempt.request, Answer::Served(answer));
                self.commands.push_back(Command::Answer { request, answer });
            }
        }
        if let Some(event) = self.finish_attempt(now, attempt, outcome, report) {
            self.handle_event(now, event);
            self.remove_if_finished(attempt.request);
        }
    }

    /// Probes a ready server on behalf of the host. The policy receives the result like that of its own probes.
    pub fn probe_server(&mut self, now: Time, server: ServerId) {
        if self.servers.get(&server).is_some_and(|s| s.state == ServerState::Ready) {
            self.start_probe(now, server);
        }
    }

    /// Records the end of a probe. Has no effect on probes that timed out before.
    pub fn probe_ended(&mut self, now: Time, probe: ProbeId, outcome: Outcome, report: Option<LoadReport>) {
        let Some((server, started)) = self.probes.remove(&probe) else { return };
        self.schedule.remove(&(started + PROBE_TIMEOUT, Scheduled::ProbeTimeout(probe)));
        self.handle_event(
            now,
            Event::ProbeEnded(ProbeEnded { server, outcome, latency: now - started, report }),
        );
    }

    /// Applies a list of servers, or changes to it, and passes it to the policy.
    pub fn update_servers(&mut self, now: Time, kind: ListKind, entries: Vec<ServerEntry>) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.servers.clear();
        }
        for entry in &entries {
            let location = KeyLocation { zone: entry.zone, cell: entry.cell };
            match entry.state {
                ServerState::Gone => self.servers.remove(&entry.server),
                state => self.servers.insert(entry.server, ListedServer { location, state }),
            };
        }
        self.handle_event(now, Event::List { kind, entries });
    }

    /// Sets this node's position among the live nodes ([`Event::RingPosition`]).
    pub fn set_ring_position(&mut self, now: Time, ring_start: f64, nodes: u32) {
        self.handle_event(now, Event::RingPosition { start: ring_start, nodes });
    }

    /// Handles all events scheduled up to `now`.
    pub fn wake(&mut self, now: Time) {
        while let Some((at, due)) = self.schedule.first().copied().filter(|d| d.0 <= now) {
            self.schedule.remove(&(at, due));
            match due {
                Scheduled::PolicyTimer(_, timer) => self.handle_event(now, Event::Timer { timer }),
                Scheduled::AnswerDeadline(request) => {
                    if self.close(request) {
                        self.commands.push_back(Command::Answer { request, answer: Answer::Failed });
                        self.handle_event(now, Event::ClientGone { request });
                        self.remove_if_finished(request);
                    }
                }
                Scheduled::AttemptTimeout(attempt) => {
                    let may_have_run = self.attempt(attempt).is_some_and(Attempt::may_have_run);
                    // No server runs a request before it has the last byte.
                    let outcome = if may_have_run { Outcome::TimedOut } else { Outcome::Unreachable };
                    if let Some(event) = self.finish_attempt(now, attempt, outcome, None) {
                        self.commands.push_back(Command::Cancel(attempt));
                        self.handle_event(now, event);
                        self.remove_if_finished(attempt.request);
                    }
                }
                Scheduled::ProbeTimeout(probe) => {
                    if self.probes.contains_key(&probe) {
                        self.commands.push_back(Command::CancelProbe(probe));
                        self.probe_ended(now, probe, Outcome::TimedOut, None);
                    }
                }
            }
        }
    }

    // ---- Request state ----
    fn attempt(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.requests.get(&attempt.request)?.attempts.get(attempt.number as usize)
    }

    fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.attempt(attempt).is_some_and(|a| a.in_flight)
    }

    /// Closes a request. Returns false if it was closed before.
    fn close(&mut self, request: RequestId) -> bool {
        let Some(entry) = self.requests.get_mut(&request).filter(|e| e.is_open()) else { return false };
        entry.request = None;
        self.schedule.remove(&(entry.answer_deadline, Scheduled::AnswerDeadline(request)));
        true
    }

    /// Ends an attempt in flight and returns the event for the policy.
    fn finish_attempt(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> Option<Event> {
        let AttemptId { request, number } = attempt;
        let entry = self.requests.get_mut(&request)?;
        let closed = !entry.is_open();
        let a = entry.attempts.get_mut(number as usize).filter(|a| a.in_flight)?;
        a.in_flight = false;
        a.never_ran = outcome.never_ran() || !a.may_have_run();
        let (server, latency) = (a.server, now - a.fully_sent);
        self.schedule.remove(&(a.deadline, Scheduled::AttemptTimeout(attempt)));
        if self.records_attempt_ends {
            self.attempt_ends.push((server, outcome, latency));
        }
        Some(Event::AttemptEnded(finchvale::AttemptEnded {
            request,
            attempt: number,
            server,
            outcome,
            latency,
            closed,
            report,
        }))
    }

    /// Removes a request that is closed and has no attempt in flight.
    fn remove_if_finished(&mut self, request: RequestId) {
        if !self.requests.get(&request).is_some_and(RequestState::is_finished) {
            return;
        }
        if let Some(entry) = self.requests.remove(&request) {
            let may_have_run = entry.attempts.iter().any(Attempt::may_have_run);
            match entry.unanswered_run() {
                Some(sent) => self.external_ids.keep_closed(entry.external_id, sent),
                None => self.external_ids.release(&entry.external_id),
            }
            if self.reports_completion {
                self.commands.push_back(Command::Completed { request, may_have_run });
            }
        }
    }

    // ---- Policy ----
    /// Passes an event to the policy and applies its actions, then does the same for the events that these
    /// cause.
    fn handle_event(&mut self, now: Time, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.apply_action(now, action));
            self.actions = actions; // Keeps the allocation.
        }
    }

    fn apply_action(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { request, server, limit } => self.start_attempt(now, request, server, limit),
            Action::Refuse { request, wait, why } => {
                self.refusals[why as usize] += 1;
                self.answer(request, |can_refuse| match can_refuse {
                    true => Answer::Refused(wait),
                    false => Answer::Failed,
                });
            }
            Action::Fail { request } => self.answer(request, |_| Answer::Failed),
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId { request, number: attempt };
                if let Some(event) = self.finish_attempt(now, attempt, Outcome::Cancelled, None) {
                    self.commands.push_back(Command::Cancel(attempt));
                    self.events.push_back(event);
                    self.remove_if_finished(request);
                }
            }
            Action::SetTimer { at, timer } => {
                self.schedule.insert((at, Scheduled::PolicyTimer(self.next_timer, timer)));
                self.next_timer += 1;
            }
            Action::Probe { server } => self.start_probe(now, server),
            Action::Watch => self.commands.push_back(Command::Watch),
            Action::Log(line) => self.commands.push_back(Command::Log(line)),
        }
    }

    fn answer(&mut self, request: RequestId, answer: impl FnOnce(bool) -> Answer<A>) {
        // A request that was removed is closed: its client has an answer or has disconnected.
        let Some(can_refuse) = self.requests.get(&request).map(|e| self.rules.can_refuse(e)) else { return };
        if self.close(request) {
            let answer = answer(can_refuse);
            self.commands.push_back(Command::Answer { request, answer });
            self.remove_if_finished(request);
        }
    }

    fn start_attempt(&mut self, now: Time, request: RequestId, server: ServerId, limit: Option<Duration>) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        let listed = self.servers.get(&server);
        let denial_reason = self.rules.denial_reason(now, entry, None, listed);
        let location = listed.map(|l| l.location).unwrap_or_default();
        let deadline = limit.map_or(entry.deadline, |limit| entry.deadline.min(now + limit));
        let number = entry.attempts.len();
        let (send_permitted, may_run_from, in_flight, never_ran) = (false, None, true, false);
        entry.attempts.push(Attempt {
            server,
            location,
            fully_sent: now,
            deadline,
            send_permitted,
            may_run_from,
            in_flight,
            never_ran,
        });
        let attempt = AttemptId { request, number: number as u32 };
        match (denial_reason, &entry.request) {
            (None, Some(body)) if number < MAX_SEND_ACTIONS => {
                let request = body.clone();
                self.schedule.insert((deadline, Scheduled::AttemptTimeout(attempt)));
                self.commands.push_back(Command::Start { attempt, server, request });
            }
            _ => {
                let ended = self.finish_attempt(now, attempt, Outcome::NotSent, None);
                self.events.extend(ended);
                if number >= MAX_SEND_ACTIONS {
                    self.answer(request, |_| Answer::Failed);
                }
            }
        }
    }

    fn start_probe(&mut self, now: Time, server: ServerId) {
        let (outcome, latency, report) = (Outcome::NotSent, Duration::ZERO, None);
        if !self.servers.contains_key(&server) {
            return self.events.push_back(Event::ProbeEnded(ProbeEnded { server, outcome, latency, report }));
        }
        let probe = ProbeId(self.next_probe);
        self.next_probe += 1;
        self.probes.insert(probe, (server, now));
        self.schedule.insert((now + PROBE_TIMEOUT, Scheduled::ProbeTimeout(probe)));
        self.commands.push_back(Command::Probe { probe, server });
    }
}
