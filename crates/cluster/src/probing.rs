//! Failure detection: probe rounds, pings relayed for others, and repeated failures that lead to a
//! verdict.

use crate::core::{local_event, Action, Core, LocalEvent};
use crate::member::{MemberId, State};
use crate::table::Member;
use crate::wire::{Body, KnownState, Report, Update};
use crate::Time;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// Relays asked in a target's first failing round, and in those after it.
const RELAYS_PER_ROUND: [usize; 2] = [2, 3];
/// Most pings relayed for others at a time.
const MAX_RELAYED_PINGS: usize = 256;
/// Failing members that are probed in consecutive rounds at once; any others wait for their turn.
const MAX_PARALLEL_REPROBES: usize = 8;
/// Most failing members tracked at a time.
const MAX_TRACKED_FAILURES: usize = 64;
/// Failed rounds until the member is reported as suspect ...
const SUSPECT_AFTER_ROUNDS: u32 = 3;
/// ... and until it may be declared dead.
const VERDICT_AFTER_ROUNDS: u32 = 3;
/// Expected number of members that start probes of their own when they hear of a suspicion.
const EXPECTED_CONFIRMERS: f64 = 6.0;
/// Probe periods between pings of a dead member.
const DEAD_PROBE_PERIODS: u32 = 1;

struct Round {
    seq: u32,
    target: MemberId,
    address: SocketAddr,
    started: Time,
    /// When the ping is sent once more, and after that through relays.
    next_due: Option<Time>,
    retransmitted: bool,
    deadline: Time,
    nacks: u32,
}

struct RelayedPing {
    /// Sequence number of the relayed ping, and of the request that asked for it.
    seq: u32,
    origin_seq: u32,
    target: MemberId,
    requester: SocketAddr,
    /// The requester has had failed rounds before this one.
    retry: bool,
    deadline: Time,
}

struct FailureRecord {
    /// When the first unanswered probe was sent.
    started: Option<Time>,
    /// Failed rounds that a relay confirmed.
    failed_rounds: u32,
    next_due: Time,
    /// A member that asked this node to investigate and waits for the result.
    requester: Option<SocketAddr>,
}

/// Probes in progress.
pub(crate) struct Probing {
    rounds: Vec<Round>,
    relayed_pings: Vec<RelayedPing>,
    failures: FxHashMap<MemberId, FailureRecord>,
    /// Members still to be probed in this cycle, last first. Each is probed once, then all are
    /// shuffled again.
    order: Vec<MemberId>,
    next_probe: Time,
    periods_since_dead_probe: u32,
    seq: u32,
}

impl Probing {
    pub(crate) fn new(first: Time) -> Self {
        Probing {
            rounds: Vec::new(),
            relayed_pings: Vec::new(),
            failures: FxHashMap::default(),
            order: Vec::new(),
            next_probe: first,
            periods_since_dead_probe: 0,
            seq: 0,
        }
    }

    pub(crate) fn next_due(&self) -> Time {
        let rounds = self.rounds.iter().map(|r| r.next_due.unwrap_or(r.deadline));
        let relayed_pings = self.relayed_pings.iter().map(|e| e.deadline);
        rounds.chain(relayed_pings).fold(self.next_probe, Time::min)
    }

    /// The member answered or refuted; its failures are forgotten.
    pub(crate) fn clear(&mut self, id: MemberId) {
        self.failures.remove(&id);
    }

    pub(crate) fn clear_failures(&mut self) {
        self.failures.clear();
    }

    /// Answers may have arrived while the process did not run, so open rounds prove nothing.
    pub(crate) fn reset_after_stall(&mut self, now: Time) {
        self.rounds.clear();
        self.relayed_pings.clear();
        self.failures.clear();
        self.next_probe = self.next_probe.max(now);
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }
}

impl Core {
    /// Runs the probes that are due.
    pub(crate) fn run_probes(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(n) = self.probing.rounds.iter().position(|r| r.next_due.is_some_and(|at| now >= at)) {
            self.retry_round(now, n, actions);
        }
        while let Some(n) = self.probing.rounds.iter().position(|r| now >= r.deadline) {
            let round = self.probing.rounds.swap_remove(n);
            self.round_failed(now, &round, actions);
        }
        while let Some(n) = self.probing.relayed_pings.iter().position(|e| now >= e.deadline) {
            let relayed = self.probing.relayed_pings.swap_remove(n);
            self.send(relayed.requester, Body::RelayNack { seq: relayed.origin_seq }, Vec::new(), actions);
            if relayed.retry {
                self.investigate(now, relayed.target, Some(relayed.requester), actions);
            }
        }
        if now < self.probing.next_probe {
            return;
        }
        let pause = self.settings.probe.mul_f64(0.9 + 0.2 * self.random());
        self.probing.next_probe = now + pause;
        let mut due: Vec<(Time, MemberId)> = self
            .probing
            .failures
            .iter()
            .filter(|(_, d)| now >= d.next_due)
            .map(|(id, d)| (d.next_due, *id))
            .collect();
        due.sort();
        for (_, id) in due.into_iter().take(MAX_PARALLEL_REPROBES) {
            if let Some(failure) = self.probing.failures.get_mut(&id) {
                failure.next_due = now + self.settings.probe;
            }
            self.start_round(now, id, actions);
        }
        if let Some(id) = self.next_target() {
            self.start_round(now, id, actions);
        }
        self.probing.periods_since_dead_probe += 1;
        if self.table.count(State::Dead) > 0 && self.probing.periods_since_dead_probe >= DEAD_PROBE_PERIODS {
            self.probing.periods_since_dead_probe = 0;
            // Not a round: an answer brings the member back, and silence adds no information.
            for (id, to) in self.sample(1, |_, m| m.state == State::Dead) {
                let seq = self.probing.next_seq();
                let ping = self.ping(id, seq);
                ping.into_iter().for_each(|ping| self.send(to, ping, Vec::new(), actions));
            }
        }
    }

    fn next_target(&mut self) -> Option<MemberId> {
        if self.table.live_count() == 0 {
            return None;
        }
        for _ in 0..2 {
            while let Some(id) = self.probing.order.pop() {
                if self.table.get(id).is_some_and(|m| m.state.is_live()) {
                    return Some(id);
                }
            }
            self.probing.order = self.shuffled_ids();
        }
        None
    }

    fn known_state(&self, id: MemberId) -> Option<KnownState> {
        let m = self.table.get(id)?;
        Some(KnownState { generation: m.record.generation, incarnation: m.incarnation, state: m.state })
    }

    fn ping(&self, target: MemberId, seq: u32) -> Option<Body> {
        Some(Body::Ping { seq, target, known: self.known_state(target)? })
    }

    fn start_round(&mut self, now: Time, target: MemberId, actions: &mut Vec<Action>) {
        // Dead members are pinged occasionally, without rounds.
        let Some(member) = self.table.get(target).filter(|m| m.state.is_live()) else {
            return self.probing.clear(target);
        };
        if self.probing.rounds.iter().any(|r| r.target == target) {
            return;
        }
        let address = member.record.address;
        let seq = self.probing.next_seq();
        let next_due = Some(now + self.local_health.scale_timeout(self.settings.timeout));
        let deadline = now + self.local_health.scale_timeout(self.settings.round_duration());
        let round =
            Round { seq, target, address, started: now, next_due, retransmitted: false, deadline, nacks: 0 };
        self.probing.rounds.push(round);
        let ping = self.ping(target, seq);
        ping.into_iter().for_each(|ping| self.send(address, ping, Vec::new(), actions));
    }

    fn retry_round(&mut self, now: Time, n: usize, actions: &mut Vec<Action>) {
        let timeout = self.local_health.scale_timeout(self.settings.timeout);
        let round = &mut self.probing.rounds[n];
        let (seq, target, address) = (round.seq, round.target, round.address);
        let first = !std::mem::replace(&mut round.retransmitted, true);
        round.next_due = first.then_some(now + timeout);
        let Some(known) = self.known_state(target) else { return };
        if first {
            return self.send(address, Body::Ping { seq, target, known }, Vec::new(), actions);
        }
        let retry = self.probing.failures.get(&target).is_some_and(|d| d.failed_rounds > 0);
        let failing: Vec<MemberId> = self.probing.failures.keys().copied().collect();
        let is_eligible = |id: MemberId| id != target && !failing.contains(&id);
        // After a large outage, members heard from recently are the most likely to answer. One
        // relay is chosen at random regardless, as it may reach the target over a path that the
        // others lack.
        let recent = now.saturating_sub(self.settings.suspicion / 2);
        let random_only = self.settings.without_safeguards;
        let heard_recently = |m: &Member| m.last_heard.is_some_and(|at| at >= recent) && !random_only;
        let relay_count = RELAYS_PER_ROUND[usize::from(retry)];
        let mut relays = self
            .sample(relay_count - 1, |id, m| is_eligible(id) && m.state == State::Alive && heard_recently(m));
        let chosen: Vec<MemberId> = relays.iter().map(|r| r.0).collect();
        let others = |id: MemberId| is_eligible(id) && !chosen.contains(&id);
        relays.extend(self.sample(relay_count - relays.len(), |id, m| others(id) && m.state == State::Alive));
        if relays.is_empty() {
            relays = self.sample(relay_count, |id, m| id != target && m.state.is_live());
        }
        for (_, to) in relays {
            self.send(to, Body::Relay { seq, target, address, known, retry }, Vec::new(), actions);
        }
    }

    /// Handles a round that ended without an answer.
    fn round_failed(&mut self, now: Time, round: &Round, actions: &mut Vec<Action>) {
        let target = round.target;
        let Some(member) = self.table.get(target).filter(|m| m.state.is_live()) else { return };
        let without_safeguards = self.settings.without_safeguards;
        if member.last_heard.is_some_and(|at| at >= round.started) && !without_safeguards {
            return self.probing.clear(target);
        }
        if round.nacks == 0 && !without_safeguards {
            self.local_health.record_silent_round();
            if self.local_health.check_cut_off(now, self.settings.round_duration() * 4) {
                self.probing.clear_failures();
                actions.push(local_event(LocalEvent::CutOff));
            }
            return;
        }
        if !without_safeguards && !self.local_health.can_accuse(now) {
            return;
        }
        let has_capacity = self.probing.failures.len() < MAX_TRACKED_FAILURES;
        if !has_capacity && !self.probing.failures.contains_key(&target) {
            return;
        }
        let new = FailureRecord { started: None, failed_rounds: 0, next_due: now, requester: None };
        let failure = self.probing.failures.entry(target).or_insert(new);
        failure.failed_rounds += 1;
        let (failed_rounds, started, requester) =
            (failure.failed_rounds, *failure.started.get_or_insert(round.started), failure.requester);
        if failed_rounds >= SUSPECT_AFTER_ROUNDS || without_safeguards {
            let (generation, incarnation) = member.version();
            let witnesses = vec![self.own.id().short_id()];
            let report = Report { id: target, generation, incarnation, state: State::Suspect, witnesses };
            self.apply_report(now, &report, false, actions);
            if let (Some(to), SUSPECT_AFTER_ROUNDS) = (requester, failed_rounds) {
                self.send(to, Body::Records, vec![Update::Report(report).encode()], actions);
            }
        }
        self.maybe_declare_dead(now, target, (failed_rounds, started), actions);
        if self.probing.failures.len() <= MAX_PARALLEL_REPROBES && self.probing.failures.contains_key(&target)
        {
            self.start_round(now, target, actions);
        }
    }

    /// Declares the target dead if the failures are sufficient evidence.
    fn maybe_declare_dead(
        &mut self,
        now: Time,
        target: MemberId,
        (failed_rounds, started): (u32, Time),
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.table.get(target) else { return };
        if member.last_heard.is_some_and(|at| at >= started) && !self.settings.without_safeguards {
            return self.probing.clear(target);
        }
        let witnesses = member.witnesses.len();
        let required = self.settings.witnesses(self.live_count());
        if failed_rounds < VERDICT_AFTER_ROUNDS
            || now < started + self.settings.suspicion
            || witnesses < required
        {
            return;
        }
        let (generation, incarnation) = member.version();
        let witnesses = member.witnesses.clone();
        let report = Report { id: target, generation, incarnation, state: State::Dead, witnesses };
        self.counts.verdicts += 1;
        self.apply_report(now, &report, true, actions);
    }

    /// Starts an investigation of a newly suspected member on some randomly chosen nodes, so that a
    /// verdict need not wait for random probes.
    pub(crate) fn maybe_confirm(&mut self, now: Time, id: MemberId, actions: &mut Vec<Action>) {
        if self.random() < EXPECTED_CONFIRMERS / self.live_count() as f64 {
            self.investigate(now, id, None, actions);
        }
    }

    fn investigate(
        &mut self,
        now: Time,
        id: MemberId,
        requester: Option<SocketAddr>,
        actions: &mut Vec<Action>,
    ) {
        let failures = &mut self.probing.failures;
        if failures.len() < MAX_TRACKED_FAILURES
            && !failures.contains_key(&id)
            && !self.settings.without_safeguards
        {
            failures.insert(id, FailureRecord { started: None, failed_rounds: 0, next_due: now, requester });
            if self.probing.failures.len() <= MAX_PARALLEL_REPROBES {
                self.start_round(now, id, actions);
            }
        }
    }

    /// Handles pings, acknowledgements and relay requests.
    pub(crate) fn handle_probe_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: MemberId,
        body: &Body,
        actions: &mut Vec<Action>,
    ) {
        match *body {
            Body::Ping { seq, target, known } if target == self.own.id() => {
                self.handle_claim(now, known, actions);
                let mut first = Vec::new();
                if (known.generation, known.incarnation) < self.own.version() {
                    first.push(Update::Alive(self.own.clone()).encode());
                }
                // A sender that this node considers not alive is told so, so that it can refute.
                first.extend(self.table.get(sender).filter(|m| m.state != State::Alive).map(|m| {
                    let (generation, incarnation) = m.version();
                    let witnesses = m.witnesses.clone();
                    Update::Report(Report { id: sender, generation, incarnation, state: m.state, witnesses })
                        .encode()
                }));
                self.send(from, Body::Ack { seq }, first, actions);
            }
            Body::Ack { seq } => {
                let relayed =
                    self.probing.relayed_pings.iter().position(|e| e.seq == seq && e.target == sender);
                if let Some(n) = self.probing.rounds.iter().position(|r| r.seq == seq && r.target == sender) {
                    let round = self.probing.rounds.swap_remove(n);
                    self.local_health.record_success();
                    self.probing.clear(round.target);
                } else if let Some(n) = relayed {
                    let relayed = self.probing.relayed_pings.swap_remove(n);
                    if let Some(known) = self.known_state(sender) {
                        let KnownState { generation, incarnation, .. } = known;
                        // The target's record goes along, as it may contain a refutation.
                        let record =
                            self.table.get(sender).map(|m| Update::Alive((*m.record).clone()).encode());
                        let vouch = Body::RelayAck { seq: relayed.origin_seq, generation, incarnation };
                        self.send(relayed.requester, vouch, record.into_iter().collect(), actions);
                    }
                }
            }
            Body::Relay { seq: origin_seq, target, address, known, retry }
                if self.probing.relayed_pings.len() < MAX_RELAYED_PINGS && target != self.own.id() =>
            {
                let seq = self.probing.next_seq();
                // Early enough for the answer to reach the requester before its round ends.
                let deadline = now + self.settings.timeout * 2;
                self.probing.relayed_pings.push(RelayedPing {
                    seq,
                    origin_seq,
                    target,
                    requester: from,
                    retry,
                    deadline,
                });
                self.send(address, Body::Ping { seq, target, known }, Vec::new(), actions);
            }
            Body::RelayAck { seq, generation, .. } => {
                let of = |r: &Round| r.seq == seq;
                if let Some(n) = self.probing.rounds.iter().position(of) {
                    let round = self.probing.rounds.swap_remove(n);
                    if self.table.get(round.target).is_some_and(|m| m.record.generation == generation) {
                        self.local_health.record_success();
                        self.probing.clear(round.target);
                    }
                }
            }
            Body::RelayNack { seq } => {
                if let Some(round) = self.probing.rounds.iter_mut().find(|r| r.seq == seq) {
                    round.nacks += 1;
                }
            }
            _ => {}
        }
    }
}
