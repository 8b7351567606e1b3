//! Probing: rounds, errands for others, and doubts that grow into verdicts.

use crate::core::{own, Action, Core, LocalEvent};
use crate::member::{MemberId, State};
use crate::table::Member;
use crate::wire::{Body, Held, Report, Update};
use crate::Time;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// Third nodes asked in the first round in vain, and in those after it.
const RELAYS: [usize; 2] = [2, 3];
/// Errands for others at a time.
const ERRANDS: usize = 256;
/// Doubted members that are probed round after round; of more each waits for its turn.
const AGAIN: usize = 8;
/// Members doubted at a time.
const DOUBTS: usize = 64;
/// Rounds in vain until a doubt is told ...
const TOLD: u32 = 3;
/// ... and until it can be a verdict.
const SURE: u32 = 3;
/// Members that look for themselves when they hear of a suspicion, on average.
const LOOK_TOO: f64 = 6.0;
/// One of the dead is asked every so many probe periods.
const DEAD_EVERY: u32 = 1;

struct Round {
    seq: u32,
    target: MemberId,
    address: SocketAddr,
    began: Time,
    /// When it is asked once more, and after that through third nodes.
    next: Option<Time>,
    asked_twice: bool,
    ends: Time,
    nacks: u32,
}

struct Errand {
    /// The number of the ping, and of the relay that asked for it.
    seq: u32,
    theirs: u32,
    target: MemberId,
    whose: SocketAddr,
    /// It is not the first round in vain there.
    again: bool,
    ends: Time,
}

struct Doubt {
    /// When the first probe was sent that stayed unanswered.
    began: Option<Time>,
    /// Rounds in vain that a third node confirmed.
    failed: u32,
    next: Time,
    /// Who asked this node to look, and waits for what it finds.
    asked_by: Option<SocketAddr>,
}

/// What is under way.
pub(crate) struct Probing {
    rounds: Vec<Round>,
    errands: Vec<Errand>,
    doubts: FxHashMap<MemberId, Doubt>,
    /// Whom to probe next, last first: each once, then all are shuffled anew.
    order: Vec<MemberId>,
    next_probe: Time,
    dead: u32,
    seq: u32,
}

impl Probing {
    pub(crate) fn new(first: Time) -> Self {
        Probing {
            rounds: Vec::new(),
            errands: Vec::new(),
            doubts: FxHashMap::default(),
            order: Vec::new(),
            next_probe: first,
            dead: 0,
            seq: 0,
        }
    }

    pub(crate) fn next(&self) -> Time {
        let rounds = self.rounds.iter().map(|r| r.next.unwrap_or(r.ends));
        let errands = self.errands.iter().map(|e| e.ends);
        rounds.chain(errands).fold(self.next_probe, Time::min)
    }

    /// It answered, or said so.
    pub(crate) fn cleared(&mut self, id: MemberId) {
        self.doubts.remove(&id);
    }

    pub(crate) fn forget_doubts(&mut self) {
        self.doubts.clear();
    }

    /// Answers may have come while nobody took them.
    pub(crate) fn interrupted(&mut self, now: Time) {
        self.rounds.clear();
        self.errands.clear();
        self.doubts.clear();
        self.next_probe = self.next_probe.max(now);
    }

    fn number(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }
}

impl Core {
    /// Does what is due of probing.
    pub(crate) fn probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(n) = self.probing.rounds.iter().position(|r| r.next.is_some_and(|at| now >= at)) {
            self.ask_again(now, n, actions);
        }
        while let Some(n) = self.probing.rounds.iter().position(|r| now >= r.ends) {
            let round = self.probing.rounds.swap_remove(n);
            self.in_vain(now, &round, actions);
        }
        while let Some(n) = self.probing.errands.iter().position(|e| now >= e.ends) {
            let errand = self.probing.errands.swap_remove(n);
            self.send(errand.whose, Body::Nack { seq: errand.theirs }, Vec::new(), actions);
            if errand.again {
                self.look(now, errand.target, Some(errand.whose), actions);
            }
        }
        if now < self.probing.next_probe {
            return;
        }
        let pause = self.settings.probe.mul_f64(0.9 + 0.2 * self.random());
        self.probing.next_probe = now + pause;
        let mut due: Vec<(Time, MemberId)> =
            self.probing.doubts.iter().filter(|(_, d)| now >= d.next).map(|(id, d)| (d.next, *id)).collect();
        due.sort();
        for (_, id) in due.into_iter().take(AGAIN) {
            if let Some(doubt) = self.probing.doubts.get_mut(&id) {
                doubt.next = now + self.settings.probe;
            }
            self.begin(now, id, actions);
        }
        if let Some(id) = self.next_target() {
            self.begin(now, id, actions);
        }
        self.probing.dead += 1;
        if self.table.count(State::Dead) > 0 && self.probing.dead >= DEAD_EVERY {
            self.probing.dead = 0;
            // No round: an answer brings it back, silence says nothing new.
            for (id, to) in self.some(1, |_, m| m.state == State::Dead) {
                let seq = self.probing.number();
                let ping = self.ping(id, seq);
                ping.into_iter().for_each(|ping| self.send(to, ping, Vec::new(), actions));
            }
        }
    }

    fn next_target(&mut self) -> Option<MemberId> {
        if self.table.counting() == 0 {
            return None;
        }
        for _ in 0..2 {
            while let Some(id) = self.probing.order.pop() {
                if self.table.get(id).is_some_and(|m| m.state.is_live()) {
                    return Some(id);
                }
            }
            self.probing.order = self.shuffled();
        }
        None
    }

    fn held(&self, id: MemberId) -> Option<Held> {
        let m = self.table.get(id)?;
        Some(Held { generation: m.record.generation, incarnation: m.incarnation, state: m.state })
    }

    fn ping(&self, target: MemberId, seq: u32) -> Option<Body> {
        Some(Body::Ping { seq, target, held: self.held(target)? })
    }

    fn begin(&mut self, now: Time, target: MemberId, actions: &mut Vec<Action>) {
        // The dead are asked now and then, without rounds.
        let Some(member) = self.table.get(target).filter(|m| m.state.is_live()) else {
            return self.probing.cleared(target);
        };
        if self.probing.rounds.iter().any(|r| r.target == target) {
            return;
        }
        let address = member.record.address;
        let seq = self.probing.number();
        let next = Some(now + self.fitness.stretch(self.settings.timeout));
        let ends = now + self.fitness.stretch(self.settings.round());
        let round = Round { seq, target, address, began: now, next, asked_twice: false, ends, nacks: 0 };
        self.probing.rounds.push(round);
        let ping = self.ping(target, seq);
        ping.into_iter().for_each(|ping| self.send(address, ping, Vec::new(), actions));
    }

    fn ask_again(&mut self, now: Time, n: usize, actions: &mut Vec<Action>) {
        let timeout = self.fitness.stretch(self.settings.timeout);
        let round = &mut self.probing.rounds[n];
        let (seq, target, address) = (round.seq, round.target, round.address);
        let first = !std::mem::replace(&mut round.asked_twice, true);
        round.next = first.then_some(now + timeout);
        let Some(held) = self.held(target) else { return };
        if first {
            return self.send(address, Body::Ping { seq, target, held }, Vec::new(), actions);
        }
        let again = self.probing.doubts.get(&target).is_some_and(|d| d.failed > 0);
        let doubted: Vec<MemberId> = self.probing.doubts.keys().copied().collect();
        let fits = |id: MemberId| id != target && !doubted.contains(&id);
        // Where many are gone, those that were heard of late are the likeliest to answer; one is left to chance, who
        // may have roads that they lack.
        let lately = now.saturating_sub(self.settings.suspicion / 2);
        let chance_alone = self.settings.without_safeguards;
        let hears = |m: &Member| m.heard.is_some_and(|at| at >= lately) && !chance_alone;
        let most = RELAYS[usize::from(again)];
        let mut relays = self.some(most - 1, |id, m| fits(id) && m.state == State::Alive && hears(m));
        let taken: Vec<MemberId> = relays.iter().map(|r| r.0).collect();
        let others = |id: MemberId| fits(id) && !taken.contains(&id);
        relays.extend(self.some(most - relays.len(), |id, m| others(id) && m.state == State::Alive));
        if relays.is_empty() {
            relays = self.some(most, |id, m| id != target && m.state.is_live());
        }
        for (_, to) in relays {
            self.send(to, Body::Relay { seq, target, address, held, again }, Vec::new(), actions);
        }
    }

    /// A round ended without an answer.
    fn in_vain(&mut self, now: Time, round: &Round, actions: &mut Vec<Action>) {
        let target = round.target;
        let Some(member) = self.table.get(target).filter(|m| m.state.is_live()) else { return };
        let without_safeguards = self.settings.without_safeguards;
        if member.heard.is_some_and(|at| at >= round.began) && !without_safeguards {
            return self.probing.cleared(target);
        }
        if round.nacks == 0 && !without_safeguards {
            self.fitness.unheard();
            if self.fitness.falls_silent(now, self.settings.round() * 4) {
                self.probing.forget_doubts();
                actions.push(own(LocalEvent::CutOff));
            }
            return;
        }
        if !without_safeguards && !self.fitness.fit(now) {
            return;
        }
        let room = self.probing.doubts.len() < DOUBTS;
        if !room && !self.probing.doubts.contains_key(&target) {
            return;
        }
        let new = Doubt { began: None, failed: 0, next: now, asked_by: None };
        let doubt = self.probing.doubts.entry(target).or_insert(new);
        doubt.failed += 1;
        let (failed, began, asked_by) =
            (doubt.failed, *doubt.began.get_or_insert(round.began), doubt.asked_by);
        if failed >= TOLD || without_safeguards {
            let (generation, incarnation) = member.age();
            let witnesses = vec![self.own.id().short()];
            let said = Report { id: target, generation, incarnation, state: State::Suspect, witnesses };
            self.said(now, &said, false, actions);
            if let (Some(to), TOLD) = (asked_by, failed) {
                self.send(to, Body::Records, vec![Update::Report(said).encode()], actions);
            }
        }
        self.judge(now, target, (failed, began), actions);
        if self.probing.doubts.len() <= AGAIN && self.probing.doubts.contains_key(&target) {
            self.begin(now, target, actions);
        }
    }

    /// Whether what was in vain makes a verdict.
    fn judge(
        &mut self,
        now: Time,
        target: MemberId,
        (failed, began): (u32, Time),
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.table.get(target) else { return };
        if member.heard.is_some_and(|at| at >= began) && !self.settings.without_safeguards {
            return self.probing.cleared(target);
        }
        let witnesses = member.witnesses.len();
        let wanted = self.settings.witnesses(self.live_count());
        if failed < SURE || now < began + self.settings.suspicion || witnesses < wanted {
            return;
        }
        let (generation, incarnation) = member.age();
        let witnesses = member.witnesses.clone();
        let said = Report { id: target, generation, incarnation, state: State::Dead, witnesses };
        self.counts.verdicts += 1;
        self.said(now, &said, true, actions);
    }

    /// Somebody suspects it: some look for themselves at once, so that verdicts need not wait for chance.
    pub(crate) fn look_too(&mut self, now: Time, id: MemberId, actions: &mut Vec<Action>) {
        if self.random() < LOOK_TOO / self.live_count() as f64 {
            self.look(now, id, None, actions);
        }
    }

    fn look(&mut self, now: Time, id: MemberId, asked_by: Option<SocketAddr>, actions: &mut Vec<Action>) {
        let doubts = &mut self.probing.doubts;
        if doubts.len() < DOUBTS && !doubts.contains_key(&id) && !self.settings.without_safeguards {
            doubts.insert(id, Doubt { began: None, failed: 0, next: now, asked_by });
            if self.probing.doubts.len() <= AGAIN {
                self.begin(now, id, actions);
            }
        }
    }

    /// Answers what a message asks.
    pub(crate) fn answer_probe(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: MemberId,
        body: &Body,
        actions: &mut Vec<Action>,
    ) {
        match *body {
            Body::Ping { seq, target, held } if target == self.own.id() => {
                self.held_as(now, held, actions);
                let mut first = Vec::new();
                if (held.generation, held.incarnation) < self.own.age() {
                    first.push(Update::Alive(self.own.clone()).encode());
                }
                // Who is held for dead is told, so that it can refute.
                first.extend(self.table.get(sender).filter(|m| m.state != State::Alive).map(|m| {
                    let (generation, incarnation) = m.age();
                    let witnesses = m.witnesses.clone();
                    Update::Report(Report { id: sender, generation, incarnation, state: m.state, witnesses })
                        .encode()
                }));
                self.send(from, Body::Ack { seq }, first, actions);
            }
            Body::Ack { seq } => {
                let errand = self.probing.errands.iter().position(|e| e.seq == seq && e.target == sender);
                if let Some(n) = self.probing.rounds.iter().position(|r| r.seq == seq && r.target == sender) {
                    let round = self.probing.rounds.swap_remove(n);
                    self.fitness.good();
                    self.probing.cleared(round.target);
                } else if let Some(n) = errand {
                    let errand = self.probing.errands.swap_remove(n);
                    if let Some(held) = self.held(sender) {
                        let Held { generation, incarnation, .. } = held;
                        // What it refuted goes with it.
                        let record =
                            self.table.get(sender).map(|m| Update::Alive((*m.record).clone()).encode());
                        let vouch = Body::Vouch { seq: errand.theirs, generation, incarnation };
                        self.send(errand.whose, vouch, record.into_iter().collect(), actions);
                    }
                }
            }
            Body::Relay { seq: theirs, target, address, held, again }
                if self.probing.errands.len() < ERRANDS && target != self.own.id() =>
            {
                let seq = self.probing.number();
                // In time for the word to be back before the round is over.
                let ends = now + self.settings.timeout * 2;
                self.probing.errands.push(Errand { seq, theirs, target, whose: from, again, ends });
                self.send(address, Body::Ping { seq, target, held }, Vec::new(), actions);
            }
            Body::Vouch { seq, generation, .. } => {
                let of = |r: &Round| r.seq == seq;
                if let Some(n) = self.probing.rounds.iter().position(of) {
                    let round = self.probing.rounds.swap_remove(n);
                    if self.table.get(round.target).is_some_and(|m| m.record.generation == generation) {
                        self.fitness.good();
                        self.probing.cleared(round.target);
                    }
                }
            }
            Body::Nack { seq } => {
                if let Some(round) = self.probing.rounds.iter_mut().find(|r| r.seq == seq) {
                    round.nacks += 1;
                }
            }
            _ => {}
        }
    }
}
