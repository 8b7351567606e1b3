//! The rules, whatever decides and in whatever order things happen: a scripted servers' side, a clock that the test moves.

use birchswitch_engine::{
    Answer, AttemptId, AttemptResult, Command, DuplicateRequest, Engine, Incoming, Policy, ProbeId,
    SendPermit,
};
use finchvale::*;
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SERVERS: u32 = 6;
const WINDOW: Duration = Duration::from_millis(40);
/// Classes by position.
const SAFE: u8 = 0;
const KEYED: u8 = 1;
const UNSAFE: u8 = 2;

fn settings(second_copies: bool) -> Settings {
    let class = |effect| Class {
        effect,
        aim: 50 * MS,
        aim_stretch: 0.0,
        deadline: 100 * MS,
        worth: 1.0,
        late_worth: 0.0,
        streamed: false,
        zones: None,
        kinds: None,
    };
    let keyed = Effect::Keyed { scope: KeyScope::Cell, window: WINDOW };
    Settings {
        nodes: 1,
        node_index: None,
        prices: Prices::default(),
        zone: ZoneId(0),
        zones: 1,
        classes: vec![class(Effect::Safe), class(keyed), class(Effect::Unsafe)],
        tenants: vec![],
        over_share_worth: 1.0,
        worth_by_work: false,
        use_listed_weights: false,
        reports: Reports::ByProbe,
        reports_rate: false,
        subscribe_to_lists: false,
        max_attempts: 3,
        may_cancel: true,
        may_probe: true,
        second_copies,
        conn_idle: 1000 * MS,
        connect_timeout: 20 * MS,
        max_retry_after: Some(100 * MS),
        rules: Rules {
            drain_grace: 1000 * MS,
            cold_from: 0.5,
            warm_up: 100 * MS,
            fall_multiple: 3.0,
            fall_time: 100 * MS,
            list_poll_interval: 1000 * MS,
        },
    }
}

fn entry(server: u32, state: ServerState) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        name: u64::from(server),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(server as u16 / 2),
        state,
        weight: 1.0,
        started: None,
    }
}

fn below(rng: &mut Xoshiro256PlusPlus, n: u64) -> u64 {
    rng.next_u64() % n
}

/// Decides anything at all: the rules may not rest on good sense.
struct Wild {
    rng: Xoshiro256PlusPlus,
    requests: u64,
}

impl Policy for Wild {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if let Event::Arrival(arrival) = event {
            self.requests = self.requests.max(arrival.request.0 + 1);
        }
        for _ in 0..below(&mut self.rng, 3) {
            let request = RequestId(below(&mut self.rng, self.requests + 1));
            let server = ServerId(below(&mut self.rng, SERVERS.into()) as u32);
            let some = Duration::from_millis(below(&mut self.rng, 60));
            actions.push(match below(&mut self.rng, 10) {
                0 => Action::Refuse { request, wait: Some(some), why: Refusal::BelowThreshold },
                1 => Action::Fail { request },
                2 => Action::Cancel { request, attempt: below(&mut self.rng, 4) as u32 },
                3 => Action::SetTimer { at: now + some, timer: TimerId(0) },
                4 => Action::Probe { server },
                _ => Action::Send { request, server, limit: (below(&mut self.rng, 2) == 0).then_some(some) },
            });
        }
    }
}

/// An attempt as the servers' side holds it.
#[derive(Clone, Copy)]
struct Held {
    attempt: AttemptId,
    server: ServerId,
    written: bool,
}

/// What really happened to a request.
#[derive(Default)]
struct Truth {
    class: u8,
    answer_deadline: Time,
    left: bool,
    answers: Vec<(Time, Answer<u32>)>,
    /// Each write: server, time, and whether it is proved, and told, that it never ran.
    writes: Vec<(AttemptId, ServerId, Time, bool)>,
    /// Nothing more can come of it; whether it may have run.
    over: Option<bool>,
}

/// An engine between clients and servers that a test plays.
struct World<D> {
    engine: Engine<D, u32, u32>,
    now: Time,
    held: Vec<Held>,
    probes: Vec<ProbeId>,
    states: BTreeMap<u32, ServerState>,
    truth: BTreeMap<RequestId, Truth>,
    second_copies: bool,
}

impl<D: Policy> World<D> {
    fn new(decide: D, second_copies: bool) -> Self {
        let mut engine = Engine::new(decide, &settings(second_copies));
        engine.report_completion();
        let (now, states) = (Time(1_000_000_000), BTreeMap::new());
        let (held, probes, truth) = (Vec::new(), Vec::new(), BTreeMap::new());
        let mut world = World { engine, now, held, probes, states, truth, second_copies };
        let all = (0..SERVERS).map(|s| entry(s, ServerState::Ready)).collect();
        world.list(ListKind::Full, all);
        world
    }

    fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        self.states.extend(entries.iter().map(|e| (e.server.0, e.state)));
        self.engine.update_servers(self.now, kind, entries);
        self.drain();
    }

    fn arrive(&mut self, class: u8, name: &[u8]) -> Result<RequestId, DuplicateRequest> {
        let (deadline, answer_deadline) = (self.now + 100 * MS, self.now + 105 * MS);
        let incoming = Incoming {
            body_complete: true,
            class: ClassId(class),
            tenant: TenantId(0),
            work: None,
            deadline,
            answer_deadline,
            external_id: name.into(),
            request: 7,
        };
        let id = self.engine.submit(self.now, incoming)?;
        self.truth.insert(id, Truth { class, answer_deadline, ..Truth::default() });
        self.drain();
        Ok(id)
    }

    /// Carries out what the engine wants, and checks it.
    fn drain(&mut self) {
        while let Some(command) = self.engine.next_command() {
            match command {
                Command::Start { attempt, server, request } => {
                    assert_eq!(*request, 7);
                    self.held.push(Held { attempt, server, written: false });
                }
                Command::Cancel(attempt) => self.held.retain(|h| h.attempt != attempt),
                Command::Answer { request, answer } => {
                    let truth = self.truth.get_mut(&request).expect("a request that came");
                    assert!(truth.answers.is_empty(), "{request} answered twice");
                    assert!(!truth.left, "{request} answered after its client left");
                    assert!(self.now <= truth.answer_deadline, "{request} answered late");
                    let risky = truth.writes.iter().any(|w| !w.3);
                    if matches!(answer, Answer::Refused(_)) && truth.class != SAFE {
                        assert!(!risky, "{request} refused, and may have run");
                    }
                    truth.answers.push((self.now, answer));
                }
                Command::Probe { probe, .. } => self.probes.push(probe),
                Command::CancelProbe(probe) => self.probes.retain(|p| *p != probe),
                Command::Completed { request, may_have_run } => {
                    let truth = self.truth.get_mut(&request).expect("a request that came");
                    assert!(truth.over.is_none(), "{request} is over twice");
                    assert!(
                        !truth.answers.is_empty() || truth.left,
                        "{request} is over and was owed an answer"
                    );
                    assert_eq!(
                        may_have_run,
                        truth.writes.iter().any(|w| !w.3),
                        "{request}: whether it may have run"
                    );
                    truth.over = Some(may_have_run);
                }
                Command::Watch | Command::Log(_) => {}
            }
        }
    }

    /// The first byte of an attempt that waits would go out now.
    fn write(&mut self, at: usize) -> SendPermit {
        let Held { attempt, server, .. } = self.held[at];
        let clearance = self.engine.permit_send(self.now, attempt);
        if clearance == SendPermit::Denied {
            self.held.remove(at);
            self.engine.attempt_ended(self.now, attempt, AttemptResult::from_outcome(Outcome::NotSent));
            self.drain();
            return clearance;
        }
        let now = self.now;
        let others_out = self.held.iter().any(|h| h.written && h.attempt.request == attempt.request);
        let truth = self.truth.get_mut(&attempt.request).expect("a request that came");
        assert!(truth.answers.is_empty() && !truth.left, "written after its end");
        assert_eq!(self.states[&server.0], ServerState::Ready, "new work for a server that takes none");
        assert!(truth.writes.iter().all(|w| w.0 != attempt), "written twice");
        assert!(truth.writes.len() < 3, "more attempts than the site allows");
        assert!(self.second_copies || !others_out, "two copies out");
        let risky: Vec<_> = truth.writes.iter().filter(|w| !w.3).collect();
        match truth.class {
            KEYED => {
                assert!(risky.iter().all(|w| w.1 .0 / 2 == server.0 / 2), "repeated outside its group");
                assert!(risky.iter().all(|w| now < w.2 + WINDOW), "repeated after its window");
            }
            UNSAFE => assert!(risky.is_empty(), "an unsafe request may run twice"),
            _ => {}
        }
        truth.writes.push((attempt, server, now, false));
        self.held[at].written = true;
        clearance
    }

    fn end(&mut self, at: usize, outcome: Outcome) {
        let held = self.held.remove(at);
        let truth = self.truth.get_mut(&held.attempt.request).expect("a request that came");
        for write in truth.writes.iter_mut().filter(|w| w.0 == held.attempt) {
            write.3 = outcome.never_ran();
        }
        let answer = (outcome == Outcome::Served).then_some(held.server.0);
        self.engine.attempt_ended(self.now, held.attempt, AttemptResult { outcome, report: None, answer });
        self.drain();
    }

    fn advance(&mut self, by: Duration) {
        let to = self.now + by;
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= to) {
            self.now = self.now.max(at);
            self.engine.wake(self.now);
            self.drain();
        }
        self.now = to;
    }

    /// One random thing.
    fn step(&mut self, rng: &mut Xoshiro256PlusPlus) {
        let some = below(rng, 1 << 20) as usize;
        match below(rng, 12) {
            0..=2 => {
                // Names are few, so that some come again while they are open.
                let _ = self.arrive((some % 3) as u8, &[(some / 3 % 40) as u8]);
            }
            3..=5 if !self.held.is_empty() => {
                let at = some % self.held.len();
                match (self.held[at].written, some / 64 % 4) {
                    (false, 0) => self.end(at, Outcome::Unreachable),
                    (false, _) => {
                        self.write(at);
                    }
                    (true, 0) => self.end(at, Outcome::Served),
                    (true, 1) => self.end(at, Outcome::Rejected),
                    (true, 2) => self.end(at, Outcome::Broken),
                    (true, _) => self.end(at, Outcome::Error),
                }
            }
            6 if !self.truth.is_empty() => {
                let id = *self.truth.keys().nth(some % self.truth.len()).expect("one of them");
                let truth = self.truth.get_mut(&id).expect("one of them");
                truth.left |= truth.answers.is_empty();
                self.engine.client_disconnected(self.now, id);
                self.drain();
            }
            7 => {
                use ServerState::*;
                let state = [Ready, Ready, Draining, Gone][some % 4];
                self.list(ListKind::Changes, vec![entry((some / 4) as u32 % SERVERS, state)]);
            }
            8 if !self.probes.is_empty() => {
                let probe = self.probes.remove(some % self.probes.len());
                self.engine.probe_ended(self.now, probe, Outcome::Served, Some(LoadReport::default()));
                self.drain();
            }
            _ => self.advance(Duration::from_micros(some as u64 % 20_000)),
        }
    }

    /// Lets everything come to its end, and looks whether it did.
    fn finish(&mut self) {
        self.advance(500 * MS);
        for (id, truth) in &self.truth {
            assert_eq!(truth.answers.len(), usize::from(!truth.left), "{id}: one answer each");
            assert!(truth.over.is_some(), "{id}: it is over, and that was said");
        }
        assert_eq!(self.engine.active_requests(), 0, "nothing is kept");
        assert!(self.held.is_empty(), "nothing is out that nobody waits for");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    #[test]
    fn the_rules_hold_whatever_is_decided(seed: u64, second_copies: bool, steps in 1usize..250) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let wild = Wild { rng: Xoshiro256PlusPlus::seed_from_u64(!seed), requests: 0 };
        let mut world = World::new(wild, second_copies);
        (0..steps).for_each(|_| world.step(&mut rng));
        world.finish();
    }

    #[test]
    fn the_rules_hold_with_the_decisions_in_service(seed: u64, second_copies: bool, steps in 1usize..250) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let balancer = Balancer::new(settings(second_copies), seed, Time(1_000_000_000)).expect("settings");
        let mut world = World::new(balancer, second_copies);
        (0..steps).for_each(|_| world.step(&mut rng));
        world.finish();
    }
}

/// Sends what comes to the first server, and each ended attempt on to the next; refuses what a server turned away twice.
struct Onward;

impl Policy for Onward {
    fn handle(&mut self, _: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrival(a) => {
                actions.push(Action::Send { request: a.request, server: ServerId(0), limit: None });
            }
            Event::AttemptEnded(e) if !e.closed && e.attempt < 2 => {
                let server = ServerId(e.server.0 + 1);
                actions.push(Action::Send { request: e.request, server, limit: None });
            }
            Event::AttemptEnded(e) if !e.closed => actions.push(Action::Refuse {
                request: e.request,
                wait: None,
                why: Refusal::AttemptsExhausted,
            }),
            _ => {}
        }
    }
}

/// How an answer reads.
fn answered<D: Policy>(world: &World<D>, id: RequestId) -> Option<Answer<u32>> {
    world.truth[&id].answers.first().map(|a| a.1.clone())
}

#[test]
fn a_drain_told_between_choice_and_write_stops_the_write() {
    let mut world = World::new(Onward, false);
    let id = world.arrive(UNSAFE, b"a").expect("taken");
    world.list(ListKind::Changes, vec![entry(0, ServerState::Draining)]);
    assert_eq!(world.write(0), SendPermit::Denied);
    // It surely didn't run: it goes on, also though it is unsafe.
    assert_eq!((world.held.len(), world.held[0].server), (1, ServerId(1)));
    assert!(matches!(world.write(0), SendPermit::Granted(_)));
    world.end(0, Outcome::Served);
    assert_eq!(answered(&world, id), Some(Answer::Served(1)));
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_sent_again_and_not_refused() {
    let mut world = World::new(Onward, false);
    let id = world.arrive(UNSAFE, b"a").expect("taken");
    world.write(0);
    world.end(0, Outcome::Broken);
    assert!(world.held.is_empty());
    assert_eq!(answered(&world, id), Some(Answer::Failed));
}

#[test]
fn a_key_is_repeated_in_its_cell_only_and_not_after_its_window() {
    for (wait, outcome) in [(Duration::ZERO, true), (WINDOW, false)] {
        let mut world = World::new(Onward, false);
        world.arrive(KEYED, b"a").expect("taken");
        world.write(0);
        world.end(0, Outcome::Broken);
        // The next one, of the same cell, gets ready; connecting takes time.
        assert_eq!(world.held[0].server, ServerId(1));
        world.advance(wait);
        assert_eq!(matches!(world.write(0), SendPermit::Granted(_)), outcome, "after {wait:?}");
        if outcome {
            world.end(0, Outcome::Broken);
            assert!(world.held.is_empty(), "server 2 is of another cell");
        }
    }
}

#[test]
fn an_attempt_is_let_go_once() {
    let mut world = World::new(Onward, false);
    world.arrive(SAFE, b"a").expect("taken");
    let attempt = world.held[0].attempt;
    assert!(matches!(world.engine.permit_send(world.now, attempt), SendPermit::Granted(_)));
    assert_eq!(world.engine.permit_send(world.now, attempt), SendPermit::Denied);
}

/// What was given up must not go out: nobody waits for it any more, and its request may be elsewhere.
#[test]
fn an_attempt_that_was_given_up_or_is_over_is_not_let_go() {
    struct Brief;
    impl Policy for Brief {
        fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
            match event {
                Event::Arrival(a) => {
                    let limit = Some(20 * MS);
                    actions.push(Action::Send { request: a.request, server: ServerId(0), limit });
                    actions.push(Action::SetTimer { at: now + 10 * MS, timer: TimerId(0) });
                }
                Event::Timer { .. } => actions.push(Action::Cancel { request: RequestId(0), attempt: 0 }),
                _ => {}
            }
        }
    }
    for given_up in [true, false] {
        let mut world = World::new(Brief, false);
        let id = world.arrive(SAFE, b"a").expect("taken");
        let attempt = AttemptId { request: id, number: 0 };
        match given_up {
            true => world.advance(10 * MS),
            false => world.now = world.now + 20 * MS, // The clock is ahead of the timers.
        }
        assert_eq!(world.engine.permit_send(world.now, attempt), SendPermit::Denied);
        assert!(world.truth[&id].answers.is_empty(), "the request itself is still open");
    }
}

#[test]
fn a_name_is_free_again_once_nothing_is_out() {
    let mut world = World::new(Onward, false);
    let id = world.arrive(UNSAFE, b"a").expect("taken");
    world.write(0);
    assert_eq!(world.arrive(UNSAFE, b"a"), Err(DuplicateRequest));
    world.truth.get_mut(&id).expect("it came").left = true;
    world.engine.client_disconnected(world.now, id);
    // Its client left, but a server still works on it.
    assert_eq!(world.arrive(UNSAFE, b"a"), Err(DuplicateRequest));
    world.end(0, Outcome::Served);
    assert!(world.arrive(UNSAFE, b"a").is_ok());
}

#[test]
fn an_attempt_that_was_not_written_in_time_did_not_run() {
    let mut world = World::new(Onward, false);
    let (one, two) = (world.arrive(UNSAFE, b"a").expect("taken"), world.arrive(UNSAFE, b"b").expect("taken"));
    world.write(1);
    world.advance(100 * MS);
    // The first was still connecting: it could be refused. The second may have run.
    assert_eq!(answered(&world, one), Some(Answer::Refused(None)));
    assert_eq!(answered(&world, two), Some(Answer::Failed));
}

/// Turned away by its host right before its first byte: refused, and over without having run; after one that may have run it fails.
#[test]
fn a_request_that_its_host_turns_away_is_refused_only_where_that_is_true() {
    for (before, expected) in [(false, Answer::Refused(Some(MS))), (true, Answer::Failed)] {
        let mut world = World::new(Onward, false);
        let id = world.arrive(KEYED, b"a").expect("taken");
        if before {
            world.write(0);
            world.end(0, Outcome::Broken);
        }
        world.engine.reject(world.now, id, Some(MS));
        world.drain();
        assert_eq!(answered(&world, id), Some(expected));
        assert_eq!(world.write(0), SendPermit::Denied);
        assert_eq!(world.truth[&id].over, Some(before));
    }
}

/// With nobody to decide anything the answer still goes out, and no later than its last moment.
#[test]
fn a_request_that_nobody_decides_on_fails_in_time() {
    struct Silent;
    impl Policy for Silent {
        fn handle(&mut self, _: Time, _: Event, _: &mut Vec<Action>) {}
    }
    let mut world = World::new(Silent, false);
    let id = world.arrive(SAFE, b"a").expect("taken");
    let answer_deadline = world.truth[&id].answer_deadline;
    world.advance(1000 * MS);
    assert_eq!(world.truth[&id].answers, [(answer_deadline, Answer::Failed)]);
    assert_eq!((world.engine.active_requests(), world.engine.next_wake()), (0, None));
}

/// However often a decider wants it, the site's number of attempts is not exceeded.
#[test]
fn no_request_gets_more_attempts_than_the_site_allows() {
    struct Stubborn;
    impl Policy for Stubborn {
        fn handle(&mut self, _: Time, event: Event, actions: &mut Vec<Action>) {
            let request = match event {
                Event::Arrival(a) => a.request,
                Event::AttemptEnded(e) if !e.closed && e.attempt < 9 => e.request,
                _ => return,
            };
            actions.push(Action::Send { request, server: ServerId(0), limit: None });
        }
    }
    let mut world = World::new(Stubborn, false);
    let id = world.arrive(SAFE, b"a").expect("taken");
    for _ in 0..3 {
        assert!(matches!(world.write(0), SendPermit::Granted(_)));
        world.end(0, Outcome::Broken);
    }
    assert!(world.held.is_empty(), "a fourth one");
    world.advance(1000 * MS);
    assert_eq!(answered(&world, id), Some(Answer::Failed));
}

/// Decisions that go round in a circle end.
#[test]
fn a_request_that_is_sent_on_for_ever_is_given_up() {
    struct Round;
    impl Policy for Round {
        fn handle(&mut self, _: Time, event: Event, actions: &mut Vec<Action>) {
            let request = match event {
                Event::Arrival(a) => a.request,
                Event::AttemptEnded(e) if !e.closed => e.request,
                _ => return,
            };
            actions.push(Action::Send { request, server: ServerId(99), limit: None });
        }
    }
    let mut world = World::new(Round, false);
    let id = world.arrive(SAFE, b"a").expect("taken");
    assert_eq!(answered(&world, id), Some(Answer::Failed));
}

/// The engine opens no request: one recorded mix under the same seed and clock makes the same commands, whatever requests and
/// answers are made of.
#[test]
fn the_protocol_changes_no_decision() {
    fn play<R: Clone, A: Clone>(request: R, answer: A, seed: u64) -> Vec<String> {
        let mut now = Time(1_000_000_000);
        let balancer = Balancer::new(settings(true), seed, now).expect("settings");
        let mut engine: Engine<_, R, A> = Engine::new(balancer, &settings(true));
        let all = (0..SERVERS).map(|s| entry(s, ServerState::Ready)).collect();
        engine.update_servers(now, ListKind::Full, all);
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let (mut said, mut out) = (Vec::new(), Vec::new());
        for step in 0..2000u64 {
            let some = below(&mut rng, 1 << 20);
            match some % 4 {
                0 => {
                    let (deadline, answer_deadline) = (now + 100 * MS, now + 105 * MS);
                    let (class, external_id) = (ClassId((some / 4 % 3) as u8), step.to_be_bytes().into());
                    let (tenant, work, request) = (TenantId(0), None, request.clone());
                    let incoming = Incoming {
                        class,
                        tenant,
                        work,
                        body_complete: true,
                        deadline,
                        answer_deadline,
                        external_id,
                        request,
                    };
                    let _ = engine.submit(now, incoming);
                }
                1 if !out.is_empty() => {
                    let attempt: AttemptId = out.remove((some / 4) as usize % out.len());
                    let go = matches!(engine.permit_send(now, attempt), SendPermit::Granted(_));
                    let outcome = match (go, some / 64 % 8) {
                        (false, _) => Outcome::NotSent,
                        (true, 0) => Outcome::Rejected,
                        (true, 1) => Outcome::Broken,
                        (true, 2) => Outcome::Error,
                        (true, _) => Outcome::Served,
                    };
                    let answer = (outcome == Outcome::Served).then(|| answer.clone());
                    engine.attempt_ended(now, attempt, AttemptResult { outcome, report: None, answer });
                }
                _ => {
                    now = now + Duration::from_micros(some % 3000);
                    engine.wake(now);
                }
            }
            while let Some(command) = engine.next_command() {
                said.push(match command {
                    Command::Start { attempt, server, .. } => {
                        out.push(attempt);
                        format!("{now:?} start {attempt:?} {server}")
                    }
                    Command::Cancel(attempt) => {
                        out.retain(|a| *a != attempt);
                        format!("{now:?} cancel {attempt:?}")
                    }
                    Command::Answer { request, answer } => {
                        let answer = match answer {
                            Answer::Served(_) => "served".to_owned(),
                            Answer::Refused(wait) => format!("refused {wait:?}"),
                            Answer::Failed => "failed".to_owned(),
                        };
                        format!("{now:?} {request} {answer}")
                    }
                    Command::Probe { probe, server } => format!("{now:?} probe {probe:?} {server}"),
                    Command::CancelProbe(probe) => format!("{now:?} cancel {probe:?}"),
                    Command::Watch => "watch".to_owned(),
                    Command::Completed { request, may_have_run } => {
                        format!("over {request:?} {may_have_run}")
                    }
                    Command::Log(line) => line,
                });
            }
        }
        said
    }
    for seed in 0..5 {
        let http = play("GET / HTTP/1.1".to_owned(), "200 OK".to_owned(), seed);
        let thrift = play(vec![0x82u8, 0x21], [0u8; 3], seed);
        assert!(http.iter().any(|s| s.ends_with("served")) && http.len() > 500, "{} commands", http.len());
        assert_eq!(http, thrift, "seed {seed}");
    }
}

/// Sends each request to the first server and keeps what it is told of the end.
struct First(std::rc::Rc<std::cell::RefCell<Vec<finchvale::AttemptEnded>>>);

impl Policy for First {
    fn handle(&mut self, _: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrival(a) => {
                actions.push(Action::Send { request: a.request, server: ServerId(0), limit: None });
            }
            Event::AttemptEnded(end) => self.0.borrow_mut().push(end),
            _ => {}
        }
    }
}

/// While a body comes its client's time has not begun, nor its server's: both count from the last byte.
#[test]
fn times_count_from_the_last_byte_of_a_body_that_comes_late() {
    let ends = std::rc::Rc::default();
    let mut engine: Engine<First, u32, u32> = Engine::new(First(std::rc::Rc::clone(&ends)), &settings(false));
    let start = Time(1_000_000_000);
    engine.update_servers(start, ListKind::Full, vec![entry(0, ServerState::Ready)]);
    let incoming = Incoming {
        body_complete: false,
        class: ClassId(UNSAFE),
        tenant: TenantId(0),
        work: None,
        deadline: start + 100_000 * MS,
        answer_deadline: start + 100_000 * MS,
        external_id: b"r".to_vec().into(),
        request: 7,
    };
    let request = engine.submit(start, incoming).expect("a new name");
    let attempt = AttemptId { request, number: 0 };
    assert!(matches!(engine.next_command(), Some(Command::Start { .. })));
    assert!(matches!(engine.permit_send(start, attempt), SendPermit::Granted(_)));
    let whole = start + 5000 * MS;
    engine.wake(whole);
    assert!(engine.next_command().is_none(), "it still comes");
    engine.written(whole, attempt);
    engine.set_deadlines(request, whole + 100 * MS, whole + 105 * MS);
    assert_eq!(engine.next_wake(), Some(whole + 100 * MS));
    engine.wake(whole + 100 * MS);
    assert!(matches!(engine.next_command(), Some(Command::Cancel(a)) if a == attempt));
    assert_eq!((ends.borrow()[0].outcome, ends.borrow()[0].latency), (Outcome::TimedOut, 100 * MS));
    engine.wake(whole + 105 * MS);
    assert!(matches!(engine.next_command(), Some(Command::Answer { answer: Answer::Failed, .. })));
    engine.set_deadlines(request, whole + 900 * MS, whole + 900 * MS);
    assert_eq!((engine.next_wake(), engine.active_requests()), (None, 0), "it is over");
}
