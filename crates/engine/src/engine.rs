//! The state machine itself.

use crate::ledger::{Attempt, Entry, Listed, Place, Rules};
use crate::{
    Answer, AttemptId, AttemptResult, Command, DuplicateRequest, Incoming, Policy, ProbeId, SendPermit,
};
use finchvale::{
    Action, Arrival, Event, ListKind, LoadReport, Outcome, ProbeEnded, Refusal, RequestId, ServerAdjustment,
    ServerEntry, ServerId, ServerState, Settings, Time, TimerId,
};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// A choice among probed servers is made within a few milliseconds: what a probe says later serves none.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// A request on which so many decisions came to nothing is given up, whatever decides.
const MOST_DECISIONS: usize = 64;

/// What is due at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// An attempt's time is over.
    Attempt(AttemptId),
    Probe(ProbeId),
    /// The last moment for a request's answer.
    Answer(RequestId),
    /// A timer of the decisions; counted, since one may be set twice for the same time.
    Timer(u64, TimerId),
}

/// See the crate's own words. `R` is a protocol's request, `A` its answer.
pub struct Engine<D, R, A> {
    decide: D,
    rules: Rules,
    ledger: FxHashMap<RequestId, Entry<R>>,
    /// The clients' names for what is in the ledger. Clients choose them, hence the hasher with a secret.
    names: HashSet<Rc<[u8]>>,
    servers: FxHashMap<ServerId, Listed>,
    probes: FxHashMap<ProbeId, (ServerId, Time)>,
    due: BTreeSet<(Time, Due)>,
    next_request: u64,
    next_probe: u64,
    next_timer: u64,
    refusals: [u64; Refusal::ALL.len()],
    tells_over: bool,
    tells_ends: bool,
    ends: Vec<(ServerId, Outcome, Duration)>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command<R, A>>,
}

impl<D: Policy, R, A> Engine<D, R, A> {
    /// Starts with no servers and no requests. The decisions are owed a list first, be it empty.
    pub fn new(decide: D, settings: &Settings) -> Self {
        Engine {
            decide,
            rules: Rules::new(settings),
            ledger: FxHashMap::default(),
            names: HashSet::new(),
            servers: FxHashMap::default(),
            probes: FxHashMap::default(),
            due: BTreeSet::new(),
            next_request: 0,
            next_probe: 0,
            next_timer: 0,
            refusals: [0; Refusal::ALL.len()],
            tells_over: false,
            tells_ends: false,
            ends: Vec::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
        }
    }

    /// The next thing to do. All of them are to be taken after each call that tells the engine something.
    pub fn next_command(&mut self) -> Option<Command<R, A>> {
        self.commands.pop_front()
    }

    /// When [`Engine::wake`] is to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        self.due.first().map(|d| d.0)
    }

    /// Requests refused so far for each reason, in the order of [`Refusal::ALL`].
    pub fn refusals(&self) -> [u64; Refusal::ALL.len()] {
        self.refusals
    }

    /// Requests in hand: open, or closed with an attempt out.
    pub fn active_requests(&self) -> usize {
        self.ledger.len()
    }

    /// From now on [`Command::Completed`] is said of each request.
    pub fn report_completion(&mut self) {
        self.tells_over = true;
    }

    /// From now on ends of attempts are kept for [`Engine::take_attempt_ends`].
    pub fn record_attempt_ends(&mut self) {
        self.tells_ends = true;
    }

    /// How attempts ended since this was last asked, and after how long.
    pub fn take_attempt_ends(&mut self) -> Vec<(ServerId, Outcome, Duration)> {
        std::mem::take(&mut self.ends)
    }

    /// What the whole fleet knows of servers ([`Event::Adjustments`]).
    pub fn advise(&mut self, now: Time, advice: Vec<ServerAdjustment>) {
        self.feed(now, Event::Adjustments(advice));
    }

    // ---- what happens ----
    /// Takes a client's request. Its answer comes as a [`Command::Answer`].
    pub fn submit(&mut self, now: Time, incoming: Incoming<R>) -> Result<RequestId, DuplicateRequest> {
        let Incoming { class, tenant, work, body_complete, deadline, answer_deadline, external_id, request } =
            incoming;
        let external_id: Rc<[u8]> = external_id.into();
        if !self.names.insert(external_id.clone()) {
            return Err(DuplicateRequest);
        }
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let answer_deadline = answer_deadline.max(deadline);
        let entry = Entry {
            external_id,
            class,
            deadline,
            answer_deadline,
            request: Some(Rc::new(request)),
            attempts: Vec::new(),
        };
        self.ledger.insert(id, entry);
        self.due.insert((answer_deadline, Due::Answer(id)));
        let remaining = deadline - now;
        self.feed(
            now,
            Event::Arrival(Arrival { request: id, class, tenant, remaining, work, body_complete }),
        );
        self.settle(id);
        Ok(id)
    }

    /// Sets a request's times anew, where they could not be known when it arrived. No attempt that is out gets longer than
    /// until `deadline`; none that was given less gets more.
    pub fn set_deadlines(&mut self, request: RequestId, deadline: Time, answer_deadline: Time) {
        let Some(entry) = self.ledger.get_mut(&request).filter(|e| e.open()) else { return };
        let answer_deadline = answer_deadline.max(deadline);
        self.due.remove(&(entry.answer_deadline, Due::Answer(request)));
        self.due.insert((answer_deadline, Due::Answer(request)));
        (entry.deadline, entry.answer_deadline) = (deadline, answer_deadline);
        for (number, a) in entry.attempts.iter_mut().enumerate().filter(|(_, a)| a.out && a.until > deadline)
        {
            let attempt = AttemptId { request, number: number as u32 };
            self.due.remove(&(a.until, Due::Attempt(attempt)));
            self.due.insert((deadline, Due::Attempt(attempt)));
            a.until = deadline;
        }
    }

    /// Every request that is open is due by this time.
    pub fn cap_deadlines(&mut self, end: Time) {
        let late = self.ledger.iter().filter(|(_, entry)| entry.open() && entry.answer_deadline > end);
        let late: Vec<_> = late.map(|(request, entry)| (*request, entry.deadline.min(end))).collect();
        late.into_iter().for_each(|(request, deadline)| self.set_deadlines(request, deadline, end));
    }

    /// The client left: no answer is owed any more. After the answer this says nothing new.
    pub fn client_disconnected(&mut self, now: Time, request: RequestId) {
        if self.close(request) {
            self.feed(now, Event::ClientGone { request });
            self.settle(request);
        }
    }

    /// A request is given up for a reason of its host's: refused where that is true of it, else failed.
    pub fn reject(&mut self, now: Time, request: RequestId, wait: Option<Duration>) {
        let open = self.ledger.get(&request).is_some_and(Entry::open);
        self.answer(request, |harmless| if harmless { Answer::Refused(wait) } else { Answer::Failed });
        if open {
            self.feed(now, Event::ClientGone { request });
            self.settle(request);
        }
    }

    /// Asked right before an attempt's first byte: whether it may go out. Whoever is told to stop ends the attempt as
    /// [`Outcome::NotSent`]; whoever is told to go sends it once.
    pub fn permit_send(&mut self, now: Time, attempt: AttemptId) -> SendPermit {
        let number = attempt.number as usize;
        let Some(entry) = self.ledger.get_mut(&attempt.request) else { return SendPermit::Denied };
        let Some(a) = entry.attempts.get(number).copied() else { return SendPermit::Denied };
        // One that was cleared is not cleared again: it would be sent twice.
        let fit = a.out && !a.cleared && now < a.until;
        let server = self.servers.get(&a.server);
        if !fit || self.rules.objection(now, entry, Some(number), server).is_some() {
            return SendPermit::Denied;
        }
        entry.attempts[number].cleared = true;
        SendPermit::Granted(a.until - now)
    }

    /// The last byte of an attempt went out, whose request was not whole when it began. Its server's time counts from here.
    pub fn written(&mut self, now: Time, attempt: AttemptId) {
        let AttemptId { request, number } = attempt;
        let attempts = self.ledger.get_mut(&request).map(|entry| &mut entry.attempts);
        if let Some(a) = attempts.and_then(|all| all.get_mut(number as usize)).filter(|a| a.out) {
            a.whole = now;
            self.feed(now, Event::RequestWritten { request, attempt: number });
        }
    }

    /// An attempt ended. Those that were given up meanwhile have ended already.
    pub fn attempt_ended(&mut self, now: Time, attempt: AttemptId, ended: AttemptResult<A>) {
        let AttemptResult { outcome, report, answer } = ended;
        if let Some(answer) = answer.filter(|_| self.is_out(attempt)) {
            // The first answer closes the request; a later one is the copy's and is dropped.
            if self.close(attempt.request) {
                let (request, answer) = (attempt.request, Answer::Served(answer));
                self.commands.push_back(Command::Answer { request, answer });
            }
        }
        if let Some(event) = self.end(now, attempt, outcome, report) {
            self.feed(now, event);
            self.settle(attempt.request);
        }
    }

    /// Asks a server that takes new requests for its load, though the decisions did not: they are told what it says.
    pub fn probe_server(&mut self, now: Time, server: ServerId) {
        if self.servers.get(&server).is_some_and(|s| s.state == ServerState::Ready) {
            self.probe(now, server);
        }
    }

    /// A probe ended. Those that were given up meanwhile have ended already.
    pub fn probe_ended(&mut self, now: Time, probe: ProbeId, outcome: Outcome, report: Option<LoadReport>) {
        let Some((server, began)) = self.probes.remove(&probe) else { return };
        self.due.remove(&(began + PROBE_TIMEOUT, Due::Probe(probe)));
        self.feed(now, Event::ProbeEnded(ProbeEnded { server, outcome, latency: now - began, report }));
    }

    /// The list of servers, or changes to it, counts as told from now on.
    pub fn update_servers(&mut self, now: Time, kind: ListKind, entries: Vec<ServerEntry>) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.servers.clear();
        }
        for entry in &entries {
            let place = Place { zone: entry.zone, cell: entry.cell };
            match entry.state {
                ServerState::Gone => self.servers.remove(&entry.server),
                state => self.servers.insert(entry.server, Listed { place, state }),
            };
        }
        self.feed(now, Event::List { kind, entries });
    }

    /// Where this node stands among those that live ([`Event::RingPosition`]).
    pub fn set_ring_position(&mut self, now: Time, begins: f64, nodes: u32) {
        self.feed(now, Event::RingPosition { start: begins, nodes });
    }

    /// Does what is due by now.
    pub fn wake(&mut self, now: Time) {
        while let Some((at, due)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.remove(&(at, due));
            match due {
                Due::Timer(_, timer) => self.feed(now, Event::Timer { timer }),
                Due::Answer(request) => {
                    if self.close(request) {
                        self.commands.push_back(Command::Answer { request, answer: Answer::Failed });
                        self.feed(now, Event::ClientGone { request });
                        self.settle(request);
                    }
                }
                Due::Attempt(attempt) => {
                    let cleared = self.attempt(attempt).is_some_and(|a| a.cleared);
                    // What still waited to be let go can't have run.
                    let outcome = if cleared { Outcome::TimedOut } else { Outcome::Unreachable };
                    if let Some(event) = self.end(now, attempt, outcome, None) {
                        self.commands.push_back(Command::Cancel(attempt));
                        self.feed(now, event);
                        self.settle(attempt.request);
                    }
                }
                Due::Probe(probe) => {
                    if self.probes.contains_key(&probe) {
                        self.commands.push_back(Command::CancelProbe(probe));
                        self.probe_ended(now, probe, Outcome::TimedOut, None);
                    }
                }
            }
        }
    }

    // ---- books ----
    fn attempt(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.ledger.get(&attempt.request)?.attempts.get(attempt.number as usize)
    }

    fn is_out(&self, attempt: AttemptId) -> bool {
        self.attempt(attempt).is_some_and(|a| a.out)
    }

    /// Closes a request. False: it was closed before.
    fn close(&mut self, request: RequestId) -> bool {
        let Some(entry) = self.ledger.get_mut(&request).filter(|e| e.open()) else { return false };
        entry.request = None;
        self.due.remove(&(entry.answer_deadline, Due::Answer(request)));
        true
    }

    /// Books the end of an attempt that is out, and says how to tell it.
    fn end(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> Option<Event> {
        let AttemptId { request, number } = attempt;
        let entry = self.ledger.get_mut(&request)?;
        let closed = !entry.open();
        let a = entry.attempts.get_mut(number as usize).filter(|a| a.out)?;
        a.out = false;
        a.never_ran = outcome.never_ran();
        let (server, latency) = (a.server, now - a.whole);
        self.due.remove(&(a.until, Due::Attempt(attempt)));
        if self.tells_ends {
            self.ends.push((server, outcome, latency));
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

    /// Forgets a request that is answered and has nothing out.
    fn settle(&mut self, request: RequestId) {
        if !self.ledger.get(&request).is_some_and(Entry::over) {
            return;
        }
        if let Some(entry) = self.ledger.remove(&request) {
            self.names.remove(&entry.external_id);
            if self.tells_over {
                let may_have_run = entry.attempts.iter().any(Attempt::may_have_run);
                self.commands.push_back(Command::Completed { request, may_have_run });
            }
        }
    }

    // ---- decisions ----
    /// Tells the decisions of an event and carries out what they want, and what comes of that at once.
    fn feed(&mut self, now: Time, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.decide.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.carry_out(now, action));
            self.actions = actions; // For its room.
        }
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { request, server, limit } => self.send(now, request, server, limit),
            Action::Refuse { request, wait, why } => {
                self.refusals[why as usize] += 1;
                self.answer(request, |harmless| match harmless {
                    true => Answer::Refused(wait),
                    false => Answer::Failed,
                });
            }
            Action::Fail { request } => self.answer(request, |_| Answer::Failed),
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId { request, number: attempt };
                if let Some(event) = self.end(now, attempt, Outcome::Cancelled, None) {
                    self.commands.push_back(Command::Cancel(attempt));
                    self.events.push_back(event);
                    self.settle(request);
                }
            }
            Action::SetTimer { at, timer } => {
                self.due.insert((at, Due::Timer(self.next_timer, timer)));
                self.next_timer += 1;
            }
            Action::Probe { server } => self.probe(now, server),
            Action::Watch => self.commands.push_back(Command::Watch),
            Action::Log(line) => self.commands.push_back(Command::Log(line)),
        }
    }

    fn answer(&mut self, request: RequestId, answer: impl FnOnce(bool) -> Answer<A>) {
        // A client that has left takes no answer; nothing is owed then.
        let Some(harmless) = self.ledger.get(&request).map(|e| self.rules.may_refuse(e)) else { return };
        if self.close(request) {
            let answer = answer(harmless);
            self.commands.push_back(Command::Answer { request, answer });
            self.settle(request);
        }
    }

    fn send(&mut self, now: Time, request: RequestId, server: ServerId, limit: Option<Duration>) {
        let Some(entry) = self.ledger.get_mut(&request) else { return };
        let listed = self.servers.get(&server);
        let objection = self.rules.objection(now, entry, None, listed);
        let place = listed.map(|l| l.place).unwrap_or_default();
        let until = limit.map_or(entry.deadline, |limit| entry.deadline.min(now + limit));
        let number = entry.attempts.len();
        let (cleared, out, never_ran) = (false, true, false);
        entry.attempts.push(Attempt {
            server,
            place,
            began: now,
            whole: now,
            until,
            cleared,
            out,
            never_ran,
        });
        let attempt = AttemptId { request, number: number as u32 };
        match (objection, &entry.request) {
            (None, Some(body)) if number < MOST_DECISIONS => {
                let request = body.clone();
                self.due.insert((until, Due::Attempt(attempt)));
                self.commands.push_back(Command::Start { attempt, server, request });
            }
            _ => {
                let ended = self.end(now, attempt, Outcome::NotSent, None);
                self.events.extend(ended);
                if number >= MOST_DECISIONS {
                    self.answer(request, |_| Answer::Failed);
                }
            }
        }
    }

    fn probe(&mut self, now: Time, server: ServerId) {
        let (outcome, latency, report) = (Outcome::NotSent, Duration::ZERO, None);
        if !self.servers.contains_key(&server) {
            return self.events.push_back(Event::ProbeEnded(ProbeEnded { server, outcome, latency, report }));
        }
        let probe = ProbeId(self.next_probe);
        self.next_probe += 1;
        self.probes.insert(probe, (server, now));
        self.due.insert((now + PROBE_TIMEOUT, Due::Probe(probe)));
        self.commands.push_back(Command::Probe { probe, server });
    }
}
