//! Model checking of the lease core: all orders of events up to a depth, with three voters and two
//! candidates.
//!
//! The network keeps every message and may deliver it at any time and any number of times. This
//! covers loss, duplication, reordering, and delays longer than a lease. Time advances in steps of
//! a quarter lease; voters' clocks are the fastest that the terms allow and candidates' the
//! slowest, which is the worst case for safety. Voters and candidates crash and restart without
//! state.

use birchswitch_lease::{Action, Candidate, CandidateId, Key, Request, Response, Safeguards, Terms, Voter};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const VOTERS: usize = 3;
const STEP: Duration = Duration::from_millis(2500);

fn address(n: usize) -> SocketAddr {
    ([127, 0, 0, n as u8 + 1], 7000).into()
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Packet {
    Request(usize, usize, Request),
    Response(usize, usize, Response),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    steps: u32,
    voters: Vec<Voter>,
    candidates: Vec<Candidate>,
    network: BTreeSet<Packet>,
    crashes: u8,
    /// The highest token granted, and whether a grant failed to exceed the earlier ones.
    highest_token: u64,
    token_regressed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Deliver(Packet),
    Wake(usize),
    Acquire(usize),
    Step,
    CrashVoter(usize),
    CrashCandidate(usize),
}

struct Electorate {
    terms: Arc<Terms>,
    candidates: usize,
    crashes: u8,
    steps: u32,
    /// The initial state.
    start: Start,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Start {
    /// All candidates want the lease.
    Fresh,
    /// The first candidate holds the lease, and all its messages are still in the network. The
    /// others want the lease.
    Held,
    /// The first candidate holds the lease. The others may request it at any time.
    Quiet,
    /// As `Quiet`, but three quarters of the lease's time have passed.
    Late,
}

fn terms(safeguards: Safeguards) -> Arc<Terms> {
    let voters = (0..VOTERS).map(address).collect();
    // A round as long as a step, so that an attempt can span one.
    Arc::new(Terms { round: STEP, safeguards, ..Terms::new(voters) })
}

fn key() -> Key {
    Key::new("task", 0).expect("a valid name")
}

impl Electorate {
    fn clock(&self, state: &State, voter: bool) -> Duration {
        let rate = if voter { 1000 + self.terms.drift } else { 1000 - self.terms.drift };
        Duration::from_secs(1000) + STEP * state.steps * rate / 1000
    }

    /// Floors leave room for the tokens of each earlier one; the wall clock advances with the
    /// steps.
    fn floor(&self, state: &State) -> u64 {
        u64::from(state.steps + state.crashes as u32 + 1) << 8
    }

    fn apply_actions(&self, state: &mut State, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, request) => {
                    let voter = (0..VOTERS).find(|v| address(*v) == to).expect("a voter");
                    state.network.insert(Packet::Request(n, voter, request));
                }
                Action::Granted(grant) => {
                    state.token_regressed |= grant.token <= state.highest_token;
                    state.highest_token = state.highest_token.max(grant.token);
                }
                Action::Extended(grant) => state.highest_token = state.highest_token.max(grant.token),
                Action::Lost(_) | Action::Refused(..) => {}
            }
        }
    }

    fn acquire(&self, state: &mut State, n: usize) {
        let (clock, mut out) = (self.clock(state, false), Vec::new());
        state.candidates[n].acquire(clock, key(), &mut out);
        self.apply_actions(state, n, out);
    }

    fn deliver(&self, state: &mut State, packet: &Packet) {
        match packet {
            Packet::Request(from, voter, request) => {
                let mut out = Vec::new();
                let clock = self.clock(state, true);
                state.voters[*voter].handle_request(
                    clock,
                    address(VOTERS + from),
                    self.terms.checksum(),
                    request,
                    &mut out,
                );
                for (to, response) in out {
                    let to = (0..self.candidates).find(|c| address(VOTERS + c) == to).expect("a candidate");
                    state.network.insert(Packet::Response(*voter, to, response));
                }
            }
            Packet::Response(voter, to, response) => {
                let mut out = Vec::new();
                let clock = self.clock(state, false);
                state.candidates[*to].handle_response(clock, address(*voter), response, &mut out);
                self.apply_actions(state, *to, out);
            }
        }
    }
}

impl Model for Electorate {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        // The voters started long ago, so their abstention is over.
        let long_ago = Duration::from_secs(900);
        let mut state = State {
            steps: 0,
            voters: (0..VOTERS).map(|_| Voter::new(self.terms.clone(), 0, long_ago)).collect(),
            candidates: Vec::new(),
            network: BTreeSet::new(),
            crashes: 0,
            highest_token: 0,
            token_regressed: false,
        };
        for n in 0..self.candidates {
            state.candidates.push(Candidate::new(
                self.terms.clone(),
                CandidateId(n as u64 + 1),
                (1 << 32) + n as u64,
            ));
        }
        if self.start != Start::Fresh {
            self.acquire(&mut state, 0);
            for _ in 0..4 {
                for packet in state.network.clone() {
                    self.deliver(&mut state, &packet);
                }
            }
            assert_eq!(state.candidates[0].held(self.clock(&state, false)).count(), 1);
        }
        match self.start {
            Start::Fresh => (0..self.candidates).for_each(|n| self.acquire(&mut state, n)),
            Start::Held => (1..self.candidates).for_each(|n| self.acquire(&mut state, n)),
            Start::Quiet => state.network.clear(),
            Start::Late => {
                state.network.clear();
                state.steps = 3;
            }
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Event>) {
        actions.extend(state.network.iter().cloned().map(Event::Deliver));
        let clock = self.clock(state, false);
        for (n, candidate) in state.candidates.iter().enumerate() {
            if candidate.next_wake() <= clock {
                actions.push(Event::Wake(n));
            }
            if candidate.next_wake() == Duration::MAX {
                actions.push(Event::Acquire(n));
            }
        }
        if state.steps < self.steps {
            actions.push(Event::Step);
        }
        if state.crashes < self.crashes {
            actions.extend((0..VOTERS).map(Event::CrashVoter));
            actions.extend((0..self.candidates).map(Event::CrashCandidate));
        }
    }

    fn next_state(&self, before: &State, event: Event) -> Option<State> {
        let mut state = before.clone();
        match event {
            Event::Deliver(packet) => self.deliver(&mut state, &packet),
            Event::Wake(n) => {
                let mut out = Vec::new();
                let clock = self.clock(&state, false);
                state.candidates[n].wake(clock, &mut out);
                self.apply_actions(&mut state, n, out);
            }
            Event::Acquire(n) => self.acquire(&mut state, n),
            Event::Step => state.steps += 1,
            Event::CrashVoter(n) => {
                state.crashes += 1;
                let (floor, clock) = (self.floor(&state), self.clock(&state, true));
                state.voters[n] = Voter::new(self.terms.clone(), floor, clock);
            }
            Event::CrashCandidate(n) => {
                state.crashes += 1;
                let id = CandidateId(n as u64 + 1 + 100 * u64::from(state.crashes));
                let mut candidate = Candidate::new(self.terms.clone(), id, 0);
                let mut out = Vec::new();
                candidate.acquire(self.clock(&state, false), key(), &mut out);
                state.candidates[n] = candidate;
                self.apply_actions(&mut state, n, out);
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder", |model: &Electorate, state: &State| {
                let clock = model.clock(state, false);
                state.candidates.iter().filter(|c| c.held(clock).next().is_some()).count() <= 1
            }),
            Property::always("tokens rise", |_, state: &State| !state.token_regressed),
        ]
    }
}

/// The number of states, and the properties that were violated.
fn check(model: Electorate, depth: usize) -> (usize, Vec<&'static str>) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = model.checker().threads(threads).target_max_depth(depth).finish_when(HasDiscoveries::Any);
    let checker = checker.spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

fn electorate(safeguards: Safeguards, crashes: u8, steps: u32, start: Start) -> Electorate {
    Electorate { terms: terms(safeguards), candidates: 2, crashes, steps, start }
}

fn check_all(all: &[(u8, u32, Start, usize)]) {
    for (crashes, steps, start, depth) in all {
        let (states, violations) = check(electorate(Safeguards::ALL, *crashes, *steps, *start), *depth);
        println!("{states} states up to depth {depth}");
        assert_eq!(violations, Vec::<&str>::new(), "of {states} states");
    }
}

/// Two competing attempts in any order; then a held lease whose messages are still in the network,
/// with restarts and time steps in any order.
#[test]
fn at_most_one_holder_in_any_order() {
    use Start::*;
    check_all(&[(0, 0, Fresh, 11), (1, 4, Held, 6), (2, 2, Held, 5), (2, 0, Quiet, 9), (0, 4, Quiet, 10)]);
}

/// Takes some minutes: `cargo test --release -p birchswitch-lease --test model -- --ignored
/// --nocapture`.
#[test]
#[ignore = "millions of states"]
fn at_most_one_holder_in_any_longer_order() {
    use Start::*;
    check_all(&[
        (0, 0, Fresh, 15),
        (1, 4, Held, 9),
        (2, 2, Held, 8),
        (3, 0, Held, 8),
        (2, 0, Quiet, 12),
        (0, 4, Late, 12),
    ]);
}

/// Each violation is found by the shortest sequence of events.
#[test]
fn removing_any_safeguard_is_detected() {
    let all = Safeguards::ALL;
    for (what, safeguards, crashes, steps, start, depth) in [
        ("abstention", Safeguards { abstention: false, ..all }, 2, 0, Start::Quiet, 13),
        ("margin", Safeguards { margin: false, ..all }, 0, 4, Start::Late, 12),
        ("majority", Safeguards { majority: false, ..all }, 0, 0, Start::Fresh, 11),
        ("promises", Safeguards { promises: false, ..all }, 0, 0, Start::Quiet, 11),
    ] {
        let (states, violations) = check(electorate(safeguards, crashes, steps, start), depth);
        println!("{what}: {violations:?} after {states} states");
        assert!(!violations.is_empty(), "removing {what} broke nothing in {states} states");
    }
}
