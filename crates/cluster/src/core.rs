//! The member itself: what follows from each event, and which statements on whom count.

use crate::exchange::Joining;
use crate::fitness::Fitness;
use crate::member::{Generation, MemberId, Record, State, Topic, Value};
use crate::news::Queue;
use crate::rounds::Probing;
use crate::settings::{Settings, SettingsError};
use crate::table::{Member, Table};
use crate::wire::{self, Body, Held, Message, Report, Sender, Update};
use crate::Time;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A suspicion of which nothing more is heard goes after so many suspicion times.
const STALE: u32 = 4;
/// Those that left are kept so long, that older news of them find them.
const FAREWELL: Duration = Duration::from_secs(60);
/// A majority that stands for so long without those that are missing is the fleet from then on.
const AGREED: Duration = Duration::from_secs(30);
/// Members that are told of a leaving.
const FAREWELLS: usize = 12;

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Event {
    /// [`Core::next_wake`] has come.
    Wake,
    /// A datagram.
    Received {
        /// Whence.
        from: SocketAddr,
        /// All of it.
        bytes: Vec<u8>,
    },
    /// Tell this of oneself from now on.
    Publish {
        /// What about.
        topic: Topic,
        /// What.
        bytes: Vec<u8>,
    },
    /// Carry this to another part of a program, once, with no promise that it arrives. What is too long for a datagram is dropped.
    SendPayload {
        /// Where to.
        to: SocketAddr,
        /// For which part.
        lane: u8,
        /// What.
        bytes: Vec<u8>,
    },
    /// Say farewell; nothing more is said after it.
    Leave,
}

/// What a member wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// All of it.
        bytes: Vec<u8>,
    },
    /// This came for another part of the program, from whoever sends there.
    PayloadReceived {
        /// Whence.
        from: SocketAddr,
        /// For which part.
        lane: u8,
        /// What.
        bytes: Vec<u8>,
    },
    /// Something changed, for logs and for those that read the view.
    Changed(Change),
}

/// What changed, of another member or of oneself.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A name not known before.
    Joined(MemberId),
    /// Held alive again, or under a new process.
    Returned(MemberId),
    /// Somebody probed it in vain.
    Suspected(MemberId),
    /// It refuted, or nobody kept to it.
    Cleared(MemberId),
    /// Dead from now on.
    Died {
        /// Who.
        member: MemberId,
        /// By this node's own verdict, or because others said so.
        own: bool,
    },
    /// It said farewell.
    Left(MemberId),
    /// Of oneself.
    Local(LocalEvent),
}

/// What a member notices of itself.
#[derive(Clone, Debug, PartialEq)]
pub enum LocalEvent {
    /// Its process did not run for so long.
    Stalled(Duration),
    /// It asked and heard nobody.
    CutOff,
    /// It hears members again.
    Reconnected,
    /// Others held it for suspect, dead or gone; it says otherwise.
    Refuted {
        /// As what.
        held: State,
        /// Its incarnation from now on.
        incarnation: u64,
    },
    /// Another process bears its name, or did; that one yields.
    DuplicateName(SocketAddr),
    /// Another process that started later bears its name: this one is no member any more.
    Yielded(SocketAddr),
    /// Where it stands in the fleet changed.
    Standing(Standing),
}

/// Where this node stands in its fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It has met no member yet.
    #[default]
    Alone,
    /// It sees more than half of the fleet as last agreed.
    Majority,
    /// It sees half or less.
    Minority,
    /// It hears nobody.
    CutOff,
    /// Another process bears its name, or it left.
    Gone,
}

/// What a member counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams and bytes sent.
    pub sent: [u64; 2],
    /// Datagrams and bytes that came, those dropped included.
    pub received: [u64; 2],
    /// Datagrams that were dropped: broken, foreign, of another version.
    pub dropped: u64,
    /// Pieces of news that no rule of this version reads.
    pub unread: u64,
    /// Members that would have been more than are kept.
    pub refused: u64,
    /// Times that others came under suspicion.
    pub suspicions: u64,
    /// Times that this node refuted what others held of it.
    pub refutations: u64,
    /// Members that this node declared dead itself.
    pub verdicts: u64,
}

/// One member. See the crate's own words.
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) own: Record,
    pub(crate) table: Table,
    pub(crate) queue: Queue,
    pub(crate) fitness: Fitness,
    pub(crate) probing: Probing,
    pub(crate) joining: Joining,
    pub(crate) counts: Counts,
    rng: Xoshiro256PlusPlus,
    next_second: Time,
    standing: Standing,
    /// Members of the fleet as last agreed, and since when fewer are seen.
    agreed: (usize, Option<Time>),
    twins: Vec<SocketAddr>,
    gone: bool,
    /// Bytes of the longest datagram that may be sent now.
    pub(crate) longest: usize,
}

impl Core {
    /// A member that knows nobody yet. `own` is what it tells of itself; its incarnation starts at 1.
    pub fn new(settings: Settings, own: Record, seed: u64, now: Time) -> Result<Self, SettingsError> {
        settings.check()?;
        if !own.sound() {
            return Err(SettingsError::Text("node", 64));
        }
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        // Members that start together don't ask together.
        let first = now + settings.probe.mul_f64(uniform(&mut rng));
        Ok(Core {
            probing: Probing::new(first),
            joining: Joining::new(first, settings.exchange),
            own: Record { incarnation: own.incarnation.max(1), ..own },
            table: Table::new(),
            queue: Queue::default(),
            fitness: Fitness::default(),
            counts: Counts::default(),
            rng,
            next_second: now + Duration::from_secs(1),
            standing: Standing::Alone,
            agreed: (1, None),
            twins: Vec::new(),
            gone: false,
            longest: wire::LONGEST,
            settings,
        })
    }

    /// Puts members in as if they had always been known: for the laboratory's fleets that are up already.
    pub fn insert_known(&mut self, now: Time, records: &[Arc<Record>]) {
        for record in records.iter().filter(|r| r.id() != self.own.id()) {
            self.table.put(record.id(), fresh(record.clone(), now));
        }
        self.agreed.0 = self.table.len() + 1;
    }

    /// When [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Time {
        if self.gone {
            return Time::MAX;
        }
        self.probing.next().min(self.joining.next()).min(self.next_second)
    }

    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if self.gone {
            return;
        }
        let late = now.saturating_sub(self.next_wake());
        if late > self.settings.late() && !self.settings.without_safeguards {
            self.held_up(now, late, actions);
        }
        match event {
            Event::Wake => {}
            Event::Received { from, bytes } => self.received(now, from, &bytes, actions),
            Event::Publish { topic, bytes } => self.tell(topic, bytes),
            Event::SendPayload { to, lane, bytes } => self.carry(to, lane, bytes, actions),
            Event::Leave => return self.leave(actions),
        }
        if !self.gone {
            self.probe(now, actions);
            self.meet(now, actions);
            if now >= self.next_second {
                self.next_second = now + Duration::from_secs(1);
                self.upkeep(now, actions);
            }
        }
    }

    // ---- the view ----
    /// What this node tells of itself.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// All others, in no order.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.table.iter()
    }

    /// One of the others.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.table.get(id)
    }

    /// Others in that state.
    pub fn count(&self, state: State) -> usize {
        self.table.count(state)
    }

    /// Members that count, oneself included.
    pub fn live_count(&self) -> usize {
        self.table.counting() + 1
    }

    /// Addresses by which it joins: without any it is a fleet of its own until others come.
    pub fn seed_count(&self) -> usize {
        self.settings.seeds.len()
    }

    /// Members of the fleet as last agreed, oneself included: it shrinks only where a majority of it stood for 30 s.
    pub fn agreed_size(&self) -> usize {
        self.agreed.0
    }

    /// Where this node stands.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// How bad this node has been at hearing others of late: 0 (well) to 8.
    pub fn health_score(&self) -> u32 {
        self.fitness.score()
    }

    /// What it counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// This node's index among the members that count, in the order of their ids, and how many they are.
    pub fn rank(&self) -> (usize, usize) {
        let own = self.own.id();
        let before = self.table.iter().filter(|(id, m)| m.state.is_live() && *id < own).count();
        (before, self.live_count())
    }

    // ---- what others say ----
    fn received(&mut self, now: Time, from: SocketAddr, bytes: &[u8], actions: &mut Vec<Action>) {
        self.counts.received[0] += 1;
        self.counts.received[1] += bytes.len() as u64;
        let Ok(message) = wire::decode(&self.settings.cluster, bytes) else {
            self.counts.dropped += 1;
            return;
        };
        let sender = message.sender;
        if sender.id == self.own.id() {
            return self.namesake(from, sender, actions);
        }
        let known = self.table.get(sender.id).is_some_and(|m| m.record.generation == sender.generation);
        for piece in &message.updates {
            match Update::decode(piece) {
                Some(news) => self.absorb(now, news, actions),
                None => self.counts.unread += 1,
            }
            if self.gone {
                return;
            }
        }
        match self.table.get(sender.id) {
            Some(member) if member.record.generation == sender.generation => {
                self.table.heard(sender.id, now);
                if self.fitness.hears(now) {
                    actions.push(own(LocalEvent::Reconnected));
                    self.settle(actions);
                }
            }
            _ => self.joining.stranger(from),
        }
        if let Body::Payload { lane, bytes } = message.body {
            return actions.push(Action::PayloadReceived { from, lane, bytes });
        }
        // What a datagram says of its sender makes it no better known at once.
        let most = if known { wire::LONGEST } else { bytes.len() };
        self.answer(now, from, most, &message, actions);
    }

    /// Another process under this name spoke here.
    fn namesake(&mut self, from: SocketAddr, sender: Sender, actions: &mut Vec<Action>) {
        if sender.generation > self.own.generation {
            self.yield_to(from, actions);
        } else if sender.generation < self.own.generation {
            self.notice_twin(from, actions);
            self.send(from, Body::Welcome, Vec::new(), actions);
        }
    }

    fn yield_to(&mut self, other: SocketAddr, actions: &mut Vec<Action>) {
        // The last word: so that the other knows, too.
        let message = self.message(Body::Records);
        self.dispatch(other, &message, actions);
        self.gone = true;
        actions.push(own(LocalEvent::Yielded(other)));
        self.settle(actions);
    }

    fn notice_twin(&mut self, other: SocketAddr, actions: &mut Vec<Action>) {
        if other != self.own.address && self.twins.len() < 16 && !self.twins.contains(&other) {
            self.twins.push(other);
            actions.push(own(LocalEvent::DuplicateName(other)));
        }
    }

    /// Takes in one statement. The later life counts, then the higher incarnation, then the graver state.
    pub(crate) fn absorb(&mut self, now: Time, news: Update, actions: &mut Vec<Action>) {
        match news {
            Update::Alive(record) if record.id() == self.own.id() => self.alive_self(&record, actions),
            Update::Alive(record) => self.alive(now, record, actions),
            Update::Report(said) if said.id == self.own.id() => {
                let held =
                    Held { generation: said.generation, incarnation: said.incarnation, state: said.state };
                self.held_as(now, held, actions);
            }
            Update::Report(said) => self.said(now, &said, false, actions),
        }
    }

    fn alive_self(&mut self, record: &Record, actions: &mut Vec<Action>) {
        if record.generation == self.own.generation {
            return;
        }
        let elsewhere = record.address != self.own.address;
        if record.generation < self.own.generation {
            if elsewhere {
                self.notice_twin(record.address, actions);
            }
        } else if elsewhere {
            self.yield_to(record.address, actions);
        } else {
            // A predecessor at this very address, whose clock was ahead: it can't live beside this process.
            self.outlive(record.generation);
        }
    }

    fn outlive(&mut self, other: Generation) {
        self.own.generation.started = other.started.saturating_add(1);
        self.announce();
    }

    /// What somebody holds of this node.
    pub(crate) fn held_as(&mut self, now: Time, held: Held, actions: &mut Vec<Action>) {
        if held.generation > self.own.generation {
            return self.outlive(held.generation);
        }
        if held.generation < self.own.generation || held.state == State::Alive {
            return;
        }
        // Also where it was refuted already: then the refutation is not heard, or not yet.
        self.fitness.doubted(now, self.settings.suspicion, 0);
        self.probing.forget_doubts();
        if held.incarnation >= self.own.incarnation {
            self.fitness.doubted(now, self.settings.suspicion, 1);
            self.own.incarnation = held.incarnation + 1;
            self.counts.refutations += 1;
            self.announce();
            let incarnation = self.own.incarnation;
            actions.push(own(LocalEvent::Refuted { held: held.state, incarnation }));
        }
    }

    fn alive(&mut self, now: Time, record: Record, actions: &mut Vec<Action>) {
        let id = record.id();
        let Some(member) = self.table.get(id) else {
            if self.table.len() + 2 > self.settings.members && !self.evict() {
                self.counts.refused += 1;
                return;
            }
            self.queue.tell(id, &Update::Alive(record.clone()));
            self.table.put(id, fresh(Arc::new(record), now));
            self.joining.learnt();
            actions.push(Action::Changed(Change::Joined(id)));
            return;
        };
        if record.age() <= member.age() {
            // Others spoke of an incarnation before its record came.
            if record.age() > member.record.age() {
                self.table.change(id, |m| m.record = Arc::new(record));
            }
            return;
        }
        let (before, same) = (member.state, member.record.generation == record.generation);
        let heard = member.heard.filter(|_| same);
        self.queue.tell(id, &Update::Alive(record.clone()));
        self.probing.cleared(id);
        let mut member = Member { heard, ..fresh(Arc::new(record), now) };
        if before.is_live() && same {
            // Alive all along.
            member.since = self.table.get(id).map_or(now, |m| m.since);
        }
        let address = member.record.address;
        self.table.put(id, member);
        match before {
            State::Suspect if same => actions.push(Action::Changed(Change::Cleared(id))),
            State::Alive if same => {}
            State::Alive | State::Suspect => actions.push(Action::Changed(Change::Returned(id))),
            State::Dead | State::Left => {
                actions.push(Action::Changed(Change::Returned(id)));
                self.reunite(now, address, actions);
            }
        }
    }

    pub(crate) fn said(&mut self, now: Time, said: &Report, verdict: bool, actions: &mut Vec<Action>) {
        let Some(member) = self.table.get(said.id) else { return };
        // Of another life only its own word is taken; the comparison of tables brings that.
        let newer = said.incarnation > member.incarnation;
        if said.generation != member.record.generation || said.incarnation < member.incarnation {
            return;
        }
        if said.state == State::Suspect {
            if !member.state.is_live() {
                return;
            }
            let known = if newer { &[][..] } else { &member.witnesses };
            let mut witnesses = known.to_vec();
            witnesses.extend(said.witnesses.iter().filter(|w| !known.contains(w)));
            witnesses.truncate(4);
            if witnesses.len() == known.len() {
                return;
            }
            let first = member.state == State::Alive;
            let told = Report { witnesses: witnesses.clone(), ..said.clone() };
            self.table.change(said.id, |m| {
                (m.state, m.incarnation, m.witnesses) = (State::Suspect, told.incarnation, witnesses);
                if first {
                    m.since = now;
                }
            });
            self.queue.tell(said.id, &Update::Report(told));
            if first {
                self.counts.suspicions += 1;
                actions.push(Action::Changed(Change::Suspected(said.id)));
                self.look_too(now, said.id, actions);
            }
        } else if newer || said.state > member.state {
            let before = member.state;
            self.table.change(said.id, |m| {
                (m.state, m.incarnation, m.since) = (said.state, said.incarnation, now);
                m.witnesses.clear();
            });
            self.probing.cleared(said.id);
            self.queue.tell(said.id, &Update::Report(said.clone()));
            if said.state == State::Left {
                // It is no longer of the fleet.
                if before != State::Left {
                    self.agreed.0 = self.agreed.0.saturating_sub(1).max(1);
                }
                actions.push(Action::Changed(Change::Left(said.id)));
            } else if before != State::Dead {
                actions.push(Action::Changed(Change::Died { member: said.id, own: verdict }));
            }
        }
    }

    // ---- oneself ----
    fn announce(&mut self) {
        self.queue.tell(self.own.id(), &Update::Alive(self.own.clone()));
    }

    fn tell(&mut self, topic: Topic, bytes: Vec<u8>) {
        let mut values = self.own.values.clone();
        values.retain(|v| v.topic != topic.number());
        values.push(Value { topic: topic.number(), bytes });
        let record = Record { values, incarnation: self.own.incarnation + 1, ..self.own.clone() };
        // Too much is not told at all.
        if record != self.own && record.sound() {
            self.own = record;
            self.announce();
        }
    }

    fn held_up(&mut self, now: Time, late: Duration, actions: &mut Vec<Action>) {
        self.probing.interrupted(now);
        self.joining.interrupted(now);
        self.next_second = self.next_second.max(now);
        self.fitness.doubted(now, self.settings.suspicion, 1);
        if late >= self.settings.suspicion {
            // Others may have taken it for dead, rightly: it does not go on as if nothing had been.
            self.own.incarnation += 1;
            self.announce();
        }
        actions.push(own(LocalEvent::Stalled(late)));
    }

    fn leave(&mut self, actions: &mut Vec<Action>) {
        let (id, generation, incarnation) = (self.own.id(), self.own.generation, self.own.incarnation);
        let said = Report { id, generation, incarnation, state: State::Left, witnesses: Vec::new() };
        let news = Update::Report(said).encode();
        for to in self.some(FAREWELLS, |_, m| m.state.is_live()) {
            self.send(to.1, Body::Welcome, vec![news.clone()], actions);
        }
        self.gone = true;
        self.settle(actions);
    }

    fn upkeep(&mut self, now: Time, actions: &mut Vec<Action>) {
        let stale = self.settings.suspicion * STALE;
        let over = |m: &Member| match m.state {
            State::Alive => false,
            State::Suspect => now > m.since + stale,
            State::Dead => now > m.since + self.settings.forget,
            State::Left => now > m.since + FAREWELL,
        };
        let troubled = self.table.len() > self.table.count(State::Alive);
        let over: Vec<_> =
            self.table.iter().filter(|(_, m)| troubled && over(m)).map(|(id, m)| (id, m.state)).collect();
        for (id, state) in over {
            if state == State::Suspect {
                self.table.change(id, |m| {
                    (m.state, m.since) = (State::Alive, now);
                    m.witnesses.clear();
                });
                actions.push(Action::Changed(Change::Cleared(id)));
            } else {
                self.table.remove(id);
            }
        }
        let (fleet, (agreed, fewer)) = (self.live_count(), self.agreed);
        self.agreed = match fewer {
            _ if fleet >= agreed => (fleet, None),
            _ if self.fitness.cut_off() || fleet * 2 <= agreed => (agreed, None),
            Some(since) if now > since + AGREED => (fleet, None),
            Some(since) => (agreed, Some(since)),
            None => (agreed, Some(now)),
        };
        self.settle(actions);
    }

    fn settle(&mut self, actions: &mut Vec<Action>) {
        let standing = match () {
            () if self.gone => Standing::Gone,
            () if self.table.len() == 0 => Standing::Alone,
            () if self.fitness.cut_off() => Standing::CutOff,
            () if self.live_count() * 2 > self.agreed.0 => Standing::Majority,
            () => Standing::Minority,
        };
        if standing != self.standing {
            self.standing = standing;
            actions.push(own(LocalEvent::Standing(standing)));
        }
    }

    /// Makes room by forgetting who has been dead or gone for longest.
    fn evict(&mut self) -> bool {
        let oldest = self.table.iter().filter(|(_, m)| !m.state.is_live()).min_by_key(|(_, m)| m.since);
        let id = oldest.map(|(id, _)| id);
        id.inspect(|id| self.table.remove(*id)).is_some()
    }

    // ---- sending ----
    pub(crate) fn message(&self, body: Body) -> Message {
        let Record { generation, incarnation, .. } = self.own;
        Message { sender: Sender { id: self.own.id(), generation, incarnation }, body, updates: Vec::new() }
    }

    /// Sends a message with these pieces of news, and with others that fit.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        first: Vec<Vec<u8>>,
        actions: &mut Vec<Action>,
    ) {
        let mut message = Message { updates: first, ..self.message(body) };
        // Half a datagram: news come in bursts, and probes are many.
        let room = wire::room(&self.settings.cluster, &message);
        let room = room.saturating_sub(wire::LONGEST - self.longest).min(wire::LONGEST / 2);
        let fleet = self.live_count();
        self.queue.take(room, fleet, &mut message.updates);
        self.dispatch(to, &message, actions);
    }

    fn carry(&mut self, to: SocketAddr, lane: u8, bytes: Vec<u8>, actions: &mut Vec<Action>) {
        let message = self.message(Body::Payload { lane, bytes });
        if wire::room(&self.settings.cluster, &message) > 0 {
            self.dispatch(to, &message, actions);
        }
    }

    pub(crate) fn dispatch(&mut self, to: SocketAddr, message: &Message, actions: &mut Vec<Action>) {
        let bytes = wire::encode(&self.settings.cluster, message);
        self.counts.sent[0] += 1;
        self.counts.sent[1] += bytes.len() as u64;
        actions.push(Action::Send { to, bytes });
    }

    // ---- chance ----
    pub(crate) fn random(&mut self) -> f64 {
        uniform(&mut self.rng)
    }

    /// Up to so many members that fit, drawn at random, with their addresses.
    pub(crate) fn some(
        &mut self,
        most: usize,
        fits: impl Fn(MemberId, &Member) -> bool,
    ) -> Vec<(MemberId, SocketAddr)> {
        let all = self.table.len();
        let mut found: Vec<(MemberId, SocketAddr)> = Vec::new();
        // Draws with repetition find enough where most fit; else all are looked at.
        for _ in 0..4 * most {
            if found.len() >= most.min(all) {
                return found;
            }
            let id = self.table.ids()[self.rng.next_u64() as usize % all];
            if let Some(m) = self.table.get(id).filter(|m| fits(id, m)) {
                if !found.iter().any(|f| f.0 == id) {
                    found.push((id, m.record.address));
                }
            }
        }
        let mut rest: Vec<_> = self.table.iter().filter(|(id, m)| fits(*id, m)).collect();
        rest.sort_by_key(|(id, _)| *id);
        let start = if rest.is_empty() { 0 } else { self.rng.next_u64() as usize % rest.len() };
        rest.rotate_left(start);
        for (id, m) in rest {
            if found.len() < most && !found.iter().any(|f| f.0 == id) {
                found.push((id, m.record.address));
            }
        }
        found
    }

    pub(crate) fn shuffled(&mut self) -> Vec<MemberId> {
        let mut ids = self.table.ids().to_vec();
        for n in (1..ids.len()).rev() {
            ids.swap(n, self.rng.next_u64() as usize % (n + 1));
        }
        ids
    }
}

fn fresh(record: Arc<Record>, now: Time) -> Member {
    let incarnation = record.incarnation;
    Member { record, incarnation, state: State::Alive, since: now, heard: None, witnesses: Vec::new() }
}

pub(crate) fn own(trouble: LocalEvent) -> Action {
    Action::Changed(Change::Local(trouble))
}

fn uniform(rng: &mut Xoshiro256PlusPlus) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
