//! Property tests: random sequences of events, checked by an independent observer of the rules.

mod common;

use common::*;
use finchvale::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[derive(Clone, Debug)]
enum Op {
    Arrive { class: u8, remaining: u64, work: Option<u64> },
    End { which: usize, outcome: u8, busy: f64, closed: bool },
    Probe { which: usize, outcome: u8, busy: f64 },
    Wait(u64),
    Change { server: u32, state: u8, started: bool },
    Replace { count: u32, kind: u8 },
    Disconnect { which: usize },
    Unknown(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let busy = prop_oneof![0.0..1.0f64, Just(f64::NAN), Just(f64::INFINITY), Just(-1.0)];
    prop_oneof![
        6 => (0u8..6, prop_oneof![Just(0u64), 1u64..1500, Just(u64::MAX / 2_000_000)], proptest::option::of(0u64..3000))
            .prop_map(|(class, remaining, work)| Op::Arrive { class, remaining, work }),
        6 => (0usize..8, 0u8..8, busy.clone(), any::<bool>())
            .prop_map(|(which, outcome, busy, closed)| Op::End { which, outcome, busy, closed }),
        4 => (0usize..8, 0u8..8, busy).prop_map(|(which, outcome, busy)| Op::Probe { which, outcome, busy }),
        4 => (0u64..400).prop_map(Op::Wait),
        2 => (0u32..10, 0u8..3, any::<bool>())
            .prop_map(|(server, state, started)| Op::Change { server, state, started }),
        1 => (0u32..9, 0u8..4).prop_map(|(count, kind)| Op::Replace { count, kind }),
        1 => (0usize..8).prop_map(|which| Op::Disconnect { which }),
        1 => any::<u64>().prop_map(Op::Unknown),
    ]
}

fn outcome(n: u8) -> Outcome {
    use Outcome::*;
    [Served, Error, Rejected, TimedOut, Unreachable, Broken, Cancelled, NotSent][usize::from(n % 8)]
}

fn state(n: u8) -> ServerState {
    [ServerState::Ready, ServerState::Draining, ServerState::Gone][usize::from(n % 3)]
}

fn play(settings: Settings, ops: &[Op], seed: u64) -> Result<Vec<Action>, String> {
    let mut w = Observed::new(settings, seed);
    w.feed(list(8))?;
    let mut id = 0;
    for op in ops {
        match *op {
            Op::Arrive { class, remaining, work } => {
                id += 1;
                let class = ClassId(class % 5);
                let (request, tenant) = (RequestId(id), TenantId(0));
                w.feed(Event::Arrival(Arrival {
                    body_complete: true,
                    request,
                    class,
                    tenant,
                    remaining: ms(remaining),
                    work: work.map(ms),
                }))?;
            }
            Op::End { which, outcome: o, busy, closed } => {
                let open = w.observer.requests.iter();
                let out: Vec<_> = open
                    .flat_map(|(id, r)| {
                        r.attempts
                            .iter()
                            .enumerate()
                            .filter(|t| t.1.outcome.is_none())
                            .map(|(n, t)| (id.0, n as u32, t.server))
                    })
                    .collect();
                if let Some(&(id, n, server)) = out.get(which % out.len().max(1)) {
                    let outcome = outcome(o);
                    let closed = outcome == Outcome::Served
                        || (closed && !w.observer.requests[&RequestId(id)].answer_due);
                    let report = Some(report(busy, busy * 100.0));
                    let (request, latency) = (RequestId(id), ms(30));
                    w.feed(Event::AttemptEnded(AttemptEnded {
                        request,
                        attempt: n,
                        server,
                        outcome,
                        latency,
                        closed,
                        report,
                    }))?;
                }
            }
            Op::Probe { which, outcome: o, busy } => {
                if !w.observer.probes.is_empty() {
                    let server = w.observer.probes.remove(which % w.observer.probes.len());
                    let report = Some(LoadReport { held: Some(busy), ..report(busy, 0.0) });
                    w.feed(Event::ProbeEnded(ProbeEnded {
                        server,
                        outcome: outcome(o),
                        latency: ms(1),
                        report,
                    }))?;
                }
            }
            Op::Wait(n) => w.wait(ms(n))?,
            Op::Change { server, state: s, started } => {
                let entries = vec![entry(server, state(s), started.then_some(w.now))];
                w.feed(Event::List { kind: ListKind::Changes, entries })?;
            }
            Op::Replace { count, kind } => {
                let kind = [ListKind::Full, ListKind::Cached, ListKind::Failed, ListKind::Full]
                    [usize::from(kind % 4)];
                let count = if kind == ListKind::Failed { 0 } else { count };
                let entries = (0..count).map(|s| entry(s % 7, ServerState::Ready, None)).collect();
                w.feed(Event::List { kind, entries })?;
            }
            Op::Disconnect { which } => {
                let ids: Vec<_> = w.observer.requests.keys().copied().collect();
                if let Some(&request) = ids.get(which % ids.len().max(1)) {
                    w.feed(Event::ClientGone { request })?;
                }
            }
            // Events about unknown requests, servers and timers are ignored.
            Op::Unknown(n) => {
                let none = w.feed(ended(
                    n | 1 << 60,
                    0,
                    ServerId(n as u32),
                    Outcome::Error,
                    Some(report(0.5, 1.0)),
                ))?;
                assert!(none.is_empty());
                assert!(w.feed(Event::ClientGone { request: RequestId(n | 1 << 60) })?.is_empty());
                assert!(w.feed(Event::Timer { timer: TimerId(u32::MAX) })?.is_empty());
                let (request, attempt) = (RequestId(n | 1 << 60), 3);
                assert!(w.feed(Event::ResponseStarted { request, attempt, latency: ms(1) })?.is_empty());
                let (server, outcome) = (ServerId(u32::MAX), Outcome::Served);
                let ended = ProbeEnded { server, outcome, latency: ms(1), report: None };
                assert!(w.feed(Event::ProbeEnded(ended))?.is_empty());
            }
        }
    }
    // Remaining requests end by their deadlines.
    w.wait(ms(3000))?;
    Ok(w.log)
}

fn variants() -> Vec<Settings> {
    let plain = settings();
    let probing = Settings {
        reports: Reports::ByProbe,
        reports_rate: false,
        may_probe: true,
        second_copies: true,
        ..settings()
    };
    let unreported =
        Settings { reports: Reports::Absent, reports_rate: false, subscribe_to_lists: true, ..settings() };
    let weighted =
        Settings { use_listed_weights: true, max_attempts: 1, max_retry_after: None, ..settings() };
    let restricted_probing = Settings {
        classes: restricted_settings().classes,
        max_attempts: 5,
        second_copies: true,
        ..probing.clone()
    };
    vec![plain, probing, unreported, weighted, restricted_settings(), restricted_probing]
}

proptest! {
    #![proptest_config(Config { cases: 200, rng_seed: RngSeed::Fixed(20261128), failure_persistence: None, ..Config::default() })]

    #[test]
    fn rules_hold_for_random_events(ops in proptest::collection::vec(op(), 1..120), seed in any::<u64>()) {
        for settings in variants() {
            if let Err(violation) = play(settings, &ops, seed) {
                prop_assert!(false, "{}", violation);
            }
        }
    }

    /// Equal events and seeds give equal actions.
    #[test]
    fn actions_are_deterministic(ops in proptest::collection::vec(op(), 1..80), seed in any::<u64>()) {
        let first = play(settings(), &ops, seed);
        let _other = play(variants().remove(1), &ops, seed ^ 1);
        prop_assert_eq!(first, play(settings(), &ops, seed));
    }
}

/// The observer detects a violation of each rule.
#[test]
fn observer_detects_violations() {
    let send =
        |request, server| Action::Send { request: RequestId(request), server: ServerId(server), limit: None };
    let start = || {
        let mut o = Observer::new(settings());
        o.event(at(0), &list(8));
        for class in 0..5 {
            o.event(at(0), &arrival(u64::from(class), class));
            o.action(at(0), &send(u64::from(class), 0)).expect("a first send is allowed");
        }
        o
    };
    let refuse =
        |request| Action::Refuse { request: RequestId(request), wait: None, why: Refusal::BelowThreshold };
    // Rule 1: no answer, two answers, a send after the final answer.
    assert_eq!(start().overdue(at(1020)), Some(RequestId(0)));
    assert_eq!(start().overdue(at(900)), None);
    let mut o = start();
    o.action(at(1), &refuse(0)).expect("safe requests may be refused");
    assert!(o.action(at(1), &refuse(0)).is_err());
    assert!(o.action(at(1), &Action::Fail { request: RequestId(0) }).is_err());
    assert!(o.action(at(1), &send(0, 1)).is_err());
    // Rule 2: an unsafe repeat, a keyed repeat outside its scope or window, a refusal although an attempt may
    // have run, two attempts at once.
    for (request, server, when, allowed) in [
        (0, 1, 1, true),
        (1, 0, 1, false),
        (2, 1, 1, true),
        (2, 1, 501, false),
        (3, 2, 1, true),
        (3, 1, 1, false),
        (4, 4, 1, true),
        (4, 2, 1, false),
    ] {
        let mut o = start();
        assert!(o.action(at(1), &send(request, server)).is_err(), "two attempts at once");
        o.event(at(1), &ended(request, 0, ServerId(0), Outcome::Error, None));
        assert_eq!(
            o.action(at(when), &send(request, server)).is_ok(),
            allowed,
            "{request} to {server} at {when}"
        );
        let mut o = start();
        o.event(at(1), &ended(request, 0, ServerId(0), Outcome::Error, None));
        assert_eq!(o.action(at(1), &refuse(request)).is_ok(), request == 0 || request == 2);
    }
    // Rule 5: a first or a further attempt outside the class's zones, kinds, or both.
    for (class, server, allowed) in
        [(0, 1, true), (0, 2, false), (1, 0, true), (1, 1, false), (2, 4, true), (2, 1, false), (3, 0, false)]
    {
        for repeat in [false, true] {
            let mut o = Observer::new(restricted_settings());
            o.event(at(0), &list(8));
            o.event(at(0), &arrival(1, class));
            if repeat {
                if let Some(first) = [5, 3, 4].get(usize::from(class)) {
                    o.action(at(0), &send(1, *first)).expect("allowed for the class");
                    o.event(at(1), &ended(1, 0, ServerId(*first), Outcome::Rejected, None));
                }
            }
            assert_eq!(o.action(at(1), &send(1, server)).is_ok(), allowed, "{class} to {server}");
        }
    }
    // Rule 3: a send after the drain grace period.
    for (when, allowed) in [(260, true), (261, false)] {
        let mut o = start();
        let entries = vec![entry(5, ServerState::Draining, None)];
        o.event(at(10), &Event::List { kind: ListKind::Changes, entries });
        o.event(at(11), &arrival(9, 0));
        assert_eq!(o.action(at(when), &send(9, 5)).is_ok(), allowed);
    }
}
