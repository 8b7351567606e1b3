//! The membership core: event handling and the rules that decide which reports about members apply.

use crate::exchange::SyncState;
use crate::local_health::LocalHealth;
use crate::member::{Generation, MemberId, Record, State, Topic, Value};
use crate::probing::Probing;
use crate::settings::{Settings, SettingsError};
use crate::table::{Member, MemberTable};
use crate::update_queue::UpdateQueue;
use crate::wire::{self, Body, KnownState, Message, Report, Sender, Update};
use crate::Time;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A suspicion is dropped when nothing more is heard of it for this many suspicion periods.
const STALE_SUSPICIONS: u32 = 4;
/// How long members that left are kept, so that older updates about them are recognized as
/// outdated.
const LEFT_RETENTION: Duration = Duration::from_secs(60);
/// The agreed fleet size shrinks to the live members after a majority has gone on without the
/// missing ones for this long.
const SHRINK_AFTER: Duration = Duration::from_secs(30);
/// Number of members that are notified when this node leaves.
const LEAVE_FANOUT: usize = 12;

/// Input to the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time given by [`Core::next_wake`] has been reached.
    Wake,
    /// A datagram was received.
    Received {
        /// The sender's address.
        from: SocketAddr,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// Publish a value in this node's record from now on.
    Publish {
        /// The value's topic.
        topic: Topic,
        /// The encoded value.
        bytes: Vec<u8>,
    },
    /// Send a payload to another component of a remote program, once and without a delivery
    /// guarantee. Payloads that do not fit into a datagram are dropped.
    SendPayload {
        /// The destination.
        to: SocketAddr,
        /// The component that receives it.
        lane: u8,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Leave the cluster. The core sends nothing more afterwards.
    Leave,
}

/// Output of the core, to be executed in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The destination.
        to: SocketAddr,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// A payload arrived for another component. The sender need not be a member.
    PayloadReceived {
        /// The sender's address.
        from: SocketAddr,
        /// The component that receives it.
        lane: u8,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// The membership changed; for logs and for users of the member list.
    Changed(Change),
}

/// A change of another member or of this node.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member with a previously unknown name appeared.
    Joined(MemberId),
    /// The member is alive again, or a new process has taken over its name.
    Returned(MemberId),
    /// A node's probes of the member failed.
    Suspected(MemberId),
    /// The suspicion was refuted or has expired.
    Cleared(MemberId),
    /// The member is now considered dead.
    Died {
        /// The member.
        member: MemberId,
        /// Whether this node reached the verdict itself; false if others reported it.
        own: bool,
    },
    /// The member left on its own.
    Left(MemberId),
    /// An event about this node itself.
    Local(LocalEvent),
}

/// An event about the local node.
#[derive(Clone, Debug, PartialEq)]
pub enum LocalEvent {
    /// The process did not run for this long.
    Stalled(Duration),
    /// The node's probes get no answers from anybody.
    CutOff,
    /// The node receives datagrams from members again.
    Reconnected,
    /// The node refuted a report that it is suspect, dead or gone.
    Refuted {
        /// The reported state.
        claimed: State,
        /// The node's new incarnation.
        incarnation: u64,
    },
    /// A process that started earlier uses or used this node's name at this address. If it still
    /// runs, it yields once it learns of this node.
    DuplicateName(SocketAddr),
    /// A process that started later uses this node's name: this node is no longer a member.
    Yielded(SocketAddr),
    /// The node's standing in the fleet changed.
    Standing(Standing),
}

/// This node's standing in its fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// No other member is known yet.
    #[default]
    Alone,
    /// The node sees more than half of the last agreed fleet.
    Majority,
    /// The node sees half of the last agreed fleet or less.
    Minority,
    /// The node receives nothing from any member.
    CutOff,
    /// The node left, or another process took over its name.
    Gone,
}

/// Counters since the start of the core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams and bytes sent.
    pub sent: [u64; 2],
    /// Datagrams and bytes received, including those that were dropped.
    pub received: [u64; 2],
    /// Datagrams dropped because they were malformed, from another cluster or of another version.
    pub dropped: u64,
    /// Updates of a kind that this version does not know.
    pub unknown_updates: u64,
    /// New members that were not taken in because the member table was full.
    pub refused: u64,
    /// Other members that became suspected.
    pub suspicions: u64,
    /// Reports about this node that it refuted.
    pub refutations: u64,
    /// Members that this node itself declared dead.
    pub verdicts: u64,
}

/// The membership state machine of one node; see the crate documentation.
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) own: Record,
    pub(crate) table: MemberTable,
    pub(crate) updates: UpdateQueue,
    pub(crate) local_health: LocalHealth,
    pub(crate) probing: Probing,
    pub(crate) sync: SyncState,
    pub(crate) counts: Counts,
    rng: Xoshiro256PlusPlus,
    next_maintenance: Time,
    standing: Standing,
    /// The fleet size last agreed on, and since when fewer members than that are live.
    agreed: (usize, Option<Time>),
    duplicates: Vec<SocketAddr>,
    stopped: bool,
    /// Size limit of the datagrams that may be sent right now, in bytes.
    pub(crate) max_datagram: usize,
}

impl Core {
    /// Creates a core that knows no other member. `own` is this node's record; its incarnation is
    /// at least 1.
    pub fn new(settings: Settings, own: Record, seed: u64, now: Time) -> Result<Self, SettingsError> {
        settings.check()?;
        if !own.is_valid() {
            return Err(SettingsError::Text("node", 64));
        }
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        // A random first probe time keeps members that start together from probing in step.
        let first = now + settings.probe.mul_f64(uniform(&mut rng));
        Ok(Core {
            probing: Probing::new(first),
            sync: SyncState::new(first, settings.exchange),
            own: Record { incarnation: own.incarnation.max(1), ..own },
            table: MemberTable::new(),
            updates: UpdateQueue::default(),
            local_health: LocalHealth::default(),
            counts: Counts::default(),
            rng,
            next_maintenance: now + Duration::from_secs(1),
            standing: Standing::Alone,
            agreed: (1, None),
            duplicates: Vec::new(),
            stopped: false,
            max_datagram: wire::MAX_DATAGRAM_BYTES,
            settings,
        })
    }

    /// Adds members as if they had always been known. The laboratory starts running fleets with
    /// this.
    pub fn insert_known(&mut self, now: Time, records: &[Arc<Record>]) {
        for record in records.iter().filter(|r| r.id() != self.own.id()) {
            self.table.insert(record.id(), new_member(record.clone(), now));
        }
        self.agreed.0 = self.table.len() + 1;
    }

    /// When [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Time {
        if self.stopped {
            return Time::MAX;
        }
        self.probing.next_due().min(self.sync.next_due()).min(self.next_maintenance)
    }

    /// Processes one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if self.stopped {
            return;
        }
        let late = now.saturating_sub(self.next_wake());
        if late > self.settings.stall_threshold() && !self.settings.without_safeguards {
            self.handle_stall(now, late, actions);
        }
        match event {
            Event::Wake => {}
            Event::Received { from, bytes } => self.handle_datagram(now, from, &bytes, actions),
            Event::Publish { topic, bytes } => self.publish(topic, bytes),
            Event::SendPayload { to, lane, bytes } => self.send_payload(to, lane, bytes, actions),
            Event::Leave => return self.leave(actions),
        }
        if !self.stopped {
            self.run_probes(now, actions);
            self.run_sync(now, actions);
            if now >= self.next_maintenance {
                self.next_maintenance = now + Duration::from_secs(1);
                self.maintain(now, actions);
            }
        }
    }

    // ---- Queries ----
    /// This node's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// All other members, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.table.iter()
    }

    /// Another member, by its id.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.table.get(id)
    }

    /// Number of other members in a state.
    pub fn count(&self, state: State) -> usize {
        self.table.count(state)
    }

    /// Number of live members, including this node.
    pub fn live_count(&self) -> usize {
        self.table.live_count() + 1
    }

    /// Number of seed addresses. A node without seeds forms a fleet of its own until others join
    /// it.
    pub fn seed_count(&self) -> usize {
        self.settings.seeds.len()
    }

    /// Size of the last agreed fleet, including this node. It shrinks only where a majority of it
    /// has held for 30 s.
    pub fn agreed_size(&self) -> usize {
        self.agreed.0
    }

    /// This node's current standing.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The local health score, from 0 (good) to 8: how badly this node has been receiving from
    /// others lately.
    pub fn health_score(&self) -> u32 {
        self.local_health.score()
    }

    /// The counters.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// This node's index among the live members, ordered by id, and the number of live members.
    pub fn rank(&self) -> (usize, usize) {
        let own = self.own.id();
        let before = self.table.iter().filter(|(id, m)| m.state.is_live() && *id < own).count();
        (before, self.live_count())
    }

    // ---- Incoming messages ----
    fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], actions: &mut Vec<Action>) {
        self.counts.received[0] += 1;
        self.counts.received[1] += bytes.len() as u64;
        let Ok(message) = wire::decode(&self.settings.cluster, bytes) else {
            self.counts.dropped += 1;
            return;
        };
        let sender = message.sender;
        if sender.id == self.own.id() {
            return self.handle_same_name(from, sender, actions);
        }
        let known = self.table.get(sender.id).is_some_and(|m| m.record.generation == sender.generation);
        for piece in &message.updates {
            match Update::decode(piece) {
                Some(update) => self.apply_update(now, update, actions),
                None => self.counts.unknown_updates += 1,
            }
            if self.stopped {
                return;
            }
        }
        match self.table.get(sender.id) {
            Some(member) if member.record.generation == sender.generation => {
                self.table.record_heard(sender.id, now);
                if self.local_health.record_heard(now) {
                    actions.push(local_event(LocalEvent::Reconnected));
                    self.update_standing(actions);
                }
            }
            _ => self.sync.note_unknown_address(from),
        }
        if let Body::Payload { lane, bytes } = message.body {
            return actions.push(Action::PayloadReceived { from, lane, bytes });
        }
        // An update in the datagram may have just introduced its sender. Such a sender still gets
        // the limit of an unknown one.
        let limit = if known { wire::MAX_DATAGRAM_BYTES } else { bytes.len() };
        self.reply(now, from, limit, &message, actions);
    }

    /// Handles a datagram from another process that uses this node's name.
    fn handle_same_name(&mut self, from: SocketAddr, sender: Sender, actions: &mut Vec<Action>) {
        if sender.generation > self.own.generation {
            self.yield_to(from, actions);
        } else if sender.generation < self.own.generation {
            self.note_duplicate(from, actions);
            self.send(from, Body::Welcome, Vec::new(), actions);
        }
    }

    fn yield_to(&mut self, other: SocketAddr, actions: &mut Vec<Action>) {
        // One last message, so that the other process learns of this one, too.
        let message = self.message(Body::Records);
        self.transmit(other, &message, actions);
        self.stopped = true;
        actions.push(local_event(LocalEvent::Yielded(other)));
        self.update_standing(actions);
    }

    fn note_duplicate(&mut self, other: SocketAddr, actions: &mut Vec<Action>) {
        if other != self.own.address && self.duplicates.len() < 16 && !self.duplicates.contains(&other) {
            self.duplicates.push(other);
            actions.push(local_event(LocalEvent::DuplicateName(other)));
        }
    }

    /// Applies one update. The later generation wins, then the higher incarnation, then the more
    /// severe state.
    pub(crate) fn apply_update(&mut self, now: Time, update: Update, actions: &mut Vec<Action>) {
        match update {
            Update::Alive(record) if record.id() == self.own.id() => self.apply_own_alive(&record, actions),
            Update::Alive(record) => self.apply_alive(now, record, actions),
            Update::Report(report) if report.id == self.own.id() => {
                let claim = KnownState {
                    generation: report.generation,
                    incarnation: report.incarnation,
                    state: report.state,
                };
                self.handle_claim(now, claim, actions);
            }
            Update::Report(report) => self.apply_report(now, &report, false, actions),
        }
    }

    fn apply_own_alive(&mut self, record: &Record, actions: &mut Vec<Action>) {
        if record.generation == self.own.generation {
            return;
        }
        let elsewhere = record.address != self.own.address;
        if record.generation < self.own.generation {
            if elsewhere {
                self.note_duplicate(record.address, actions);
            }
        } else if elsewhere {
            self.yield_to(record.address, actions);
        } else {
            // A predecessor at the same address whose clock was ahead. It cannot be running next to
            // this process.
            self.advance_generation(record.generation);
        }
    }

    fn advance_generation(&mut self, other: Generation) {
        self.own.generation.started = other.started.saturating_add(1);
        self.broadcast_self();
    }

    /// Handles what another member believes about this node, and refutes it if necessary.
    pub(crate) fn handle_claim(&mut self, now: Time, claim: KnownState, actions: &mut Vec<Action>) {
        if claim.generation > self.own.generation {
            return self.advance_generation(claim.generation);
        }
        if claim.generation < self.own.generation || claim.state == State::Alive {
            return;
        }
        // Also counts if already refuted: the sender of the claim has not received the refutation.
        self.local_health.record_self_doubt(now, self.settings.suspicion, 0);
        self.probing.clear_failures();
        if claim.incarnation >= self.own.incarnation {
            self.local_health.record_self_doubt(now, self.settings.suspicion, 1);
            self.own.incarnation = claim.incarnation + 1;
            self.counts.refutations += 1;
            self.broadcast_self();
            let incarnation = self.own.incarnation;
            actions.push(local_event(LocalEvent::Refuted { claimed: claim.state, incarnation }));
        }
    }

    fn apply_alive(&mut self, now: Time, record: Record, actions: &mut Vec<Action>) {
        let id = record.id();
        let Some(member) = self.table.get(id) else {
            if self.table.len() + 2 > self.settings.members && !self.evict() {
                self.counts.refused += 1;
                return;
            }
            self.updates.push(id, &Update::Alive(record.clone()));
            self.table.insert(id, new_member(Arc::new(record), now));
            self.sync.note_new_member();
            actions.push(Action::Changed(Change::Joined(id)));
            return;
        };
        if record.version() <= member.version() {
            // A report about this incarnation arrived before the record itself.
            if record.version() > member.record.version() {
                self.table.update(id, |m| m.record = Arc::new(record));
            }
            return;
        }
        let (before, same) = (member.state, member.record.generation == record.generation);
        let last_heard = member.last_heard.filter(|_| same);
        self.updates.push(id, &Update::Alive(record.clone()));
        self.probing.clear(id);
        let mut member = Member { last_heard, ..new_member(Arc::new(record), now) };
        if before.is_live() && same {
            // The member was live all along, so `since` stays.
            member.since = self.table.get(id).map_or(now, |m| m.since);
        }
        let address = member.record.address;
        self.table.insert(id, member);
        match before {
            State::Suspect if same => actions.push(Action::Changed(Change::Cleared(id))),
            State::Alive if same => {}
            State::Alive | State::Suspect => actions.push(Action::Changed(Change::Returned(id))),
            State::Dead | State::Left => {
                actions.push(Action::Changed(Change::Returned(id)));
                self.sync_with_returned(now, address, actions);
            }
        }
    }

    pub(crate) fn apply_report(
        &mut self,
        now: Time,
        report: &Report,
        verdict: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.table.get(report.id) else { return };
        // A new generation is only accepted from the member's own record, which the table exchange
        // delivers.
        let newer = report.incarnation > member.incarnation;
        if report.generation != member.record.generation || report.incarnation < member.incarnation {
            return;
        }
        if report.state == State::Suspect {
            if !member.state.is_live() {
                return;
            }
            let known = if newer { &[][..] } else { &member.witnesses };
            let mut witnesses = known.to_vec();
            witnesses.extend(report.witnesses.iter().filter(|w| !known.contains(w)));
            witnesses.truncate(4);
            if witnesses.len() == known.len() {
                return;
            }
            let first = member.state == State::Alive;
            let told = Report { witnesses: witnesses.clone(), ..report.clone() };
            self.table.update(report.id, |m| {
                (m.state, m.incarnation, m.witnesses) = (State::Suspect, told.incarnation, witnesses);
                if first {
                    m.since = now;
                }
            });
            self.updates.push(report.id, &Update::Report(told));
            if first {
                self.counts.suspicions += 1;
                actions.push(Action::Changed(Change::Suspected(report.id)));
                self.maybe_confirm(now, report.id, actions);
            }
        } else if newer || report.state > member.state {
            let before = member.state;
            self.table.update(report.id, |m| {
                (m.state, m.incarnation, m.since) = (report.state, report.incarnation, now);
                m.witnesses.clear();
            });
            self.probing.clear(report.id);
            self.updates.push(report.id, &Update::Report(report.clone()));
            if report.state == State::Left {
                // A member that left no longer counts towards the agreed fleet size.
                if before != State::Left {
                    self.agreed.0 = self.agreed.0.saturating_sub(1).max(1);
                }
                actions.push(Action::Changed(Change::Left(report.id)));
            } else if before != State::Dead {
                actions.push(Action::Changed(Change::Died { member: report.id, own: verdict }));
            }
        }
    }

    // ---- Local state ----
    fn broadcast_self(&mut self) {
        self.updates.push(self.own.id(), &Update::Alive(self.own.clone()));
    }

    fn publish(&mut self, topic: Topic, bytes: Vec<u8>) {
        let mut values = self.own.values.clone();
        values.retain(|v| v.topic != topic.number());
        values.push(Value { topic: topic.number(), bytes });
        let record = Record { values, incarnation: self.own.incarnation + 1, ..self.own.clone() };
        // A value that does not fit into the record is not published at all.
        if record != self.own && record.is_valid() {
            self.own = record;
            self.broadcast_self();
        }
    }

    fn handle_stall(&mut self, now: Time, late: Duration, actions: &mut Vec<Action>) {
        self.probing.reset_after_stall(now);
        self.sync.reset_after_stall(now);
        self.next_maintenance = self.next_maintenance.max(now);
        self.local_health.record_self_doubt(now, self.settings.suspicion, 1);
        if late >= self.settings.suspicion {
            // Others may rightly have declared this node dead in the meantime; a new incarnation
            // announces its return.
            self.own.incarnation += 1;
            self.broadcast_self();
        }
        actions.push(local_event(LocalEvent::Stalled(late)));
    }

    fn leave(&mut self, actions: &mut Vec<Action>) {
        let (id, generation, incarnation) = (self.own.id(), self.own.generation, self.own.incarnation);
        let report = Report { id, generation, incarnation, state: State::Left, witnesses: Vec::new() };
        let update = Update::Report(report).encode();
        for to in self.sample(LEAVE_FANOUT, |_, m| m.state.is_live()) {
            self.send(to.1, Body::Welcome, vec![update.clone()], actions);
        }
        self.stopped = true;
        self.update_standing(actions);
    }

    fn maintain(&mut self, now: Time, actions: &mut Vec<Action>) {
        let stale = self.settings.suspicion * STALE_SUSPICIONS;
        let expired = |m: &Member| match m.state {
            State::Alive => false,
            State::Suspect => now > m.since + stale,
            State::Dead => now > m.since + self.settings.forget,
            State::Left => now > m.since + LEFT_RETENTION,
        };
        let any_not_alive = self.table.len() > self.table.count(State::Alive);
        let expired: Vec<_> = self
            .table
            .iter()
            .filter(|(_, m)| any_not_alive && expired(m))
            .map(|(id, m)| (id, m.state))
            .collect();
        for (id, state) in expired {
            if state == State::Suspect {
                self.table.update(id, |m| {
                    (m.state, m.since) = (State::Alive, now);
                    m.witnesses.clear();
                });
                actions.push(Action::Changed(Change::Cleared(id)));
            } else {
                self.table.remove(id);
            }
        }
        let (fleet, (agreed, smaller_since)) = (self.live_count(), self.agreed);
        self.agreed = match smaller_since {
            _ if fleet >= agreed => (fleet, None),
            _ if self.local_health.cut_off() || fleet * 2 <= agreed => (agreed, None),
            Some(since) if now > since + SHRINK_AFTER => (fleet, None),
            Some(since) => (agreed, Some(since)),
            None => (agreed, Some(now)),
        };
        self.update_standing(actions);
    }

    fn update_standing(&mut self, actions: &mut Vec<Action>) {
        let standing = match () {
            () if self.stopped => Standing::Gone,
            () if self.table.len() == 0 => Standing::Alone,
            () if self.local_health.cut_off() => Standing::CutOff,
            () if self.live_count() * 2 > self.agreed.0 => Standing::Majority,
            () => Standing::Minority,
        };
        if standing != self.standing {
            self.standing = standing;
            actions.push(local_event(LocalEvent::Standing(standing)));
        }
    }

    /// Removes the member that has been dead or gone the longest. Returns false if there is none.
    fn evict(&mut self) -> bool {
        let oldest = self.table.iter().filter(|(_, m)| !m.state.is_live()).min_by_key(|(_, m)| m.since);
        let id = oldest.map(|(id, _)| id);
        id.inspect(|id| self.table.remove(*id)).is_some()
    }

    // ---- Sending ----
    pub(crate) fn message(&self, body: Body) -> Message {
        let Record { generation, incarnation, .. } = self.own;
        Message { sender: Sender { id: self.own.id(), generation, incarnation }, body, updates: Vec::new() }
    }

    /// Sends a message with the given encoded updates, and with queued ones that fit.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        first: Vec<Vec<u8>>,
        actions: &mut Vec<Action>,
    ) {
        let mut message = Message { updates: first, ..self.message(body) };
        // At most half a datagram of updates: they come in bursts, and probes are frequent enough
        // to carry the rest.
        let remaining_bytes = wire::remaining_bytes(&self.settings.cluster, &message);
        let remaining_bytes = remaining_bytes
            .saturating_sub(wire::MAX_DATAGRAM_BYTES - self.max_datagram)
            .min(wire::MAX_DATAGRAM_BYTES / 2);
        let fleet = self.live_count();
        self.updates.fill(remaining_bytes, fleet, &mut message.updates);
        self.transmit(to, &message, actions);
    }

    fn send_payload(&mut self, to: SocketAddr, lane: u8, bytes: Vec<u8>, actions: &mut Vec<Action>) {
        let message = self.message(Body::Payload { lane, bytes });
        if wire::remaining_bytes(&self.settings.cluster, &message) > 0 {
            self.transmit(to, &message, actions);
        }
    }

    pub(crate) fn transmit(&mut self, to: SocketAddr, message: &Message, actions: &mut Vec<Action>) {
        let bytes = wire::encode(&self.settings.cluster, message);
        self.counts.sent[0] += 1;
        self.counts.sent[1] += bytes.len() as u64;
        actions.push(Action::Send { to, bytes });
    }

    // ---- Randomness ----
    pub(crate) fn random(&mut self) -> f64 {
        uniform(&mut self.rng)
    }

    /// Up to `limit` random members that match, with their addresses.
    pub(crate) fn sample(
        &mut self,
        limit: usize,
        matches: impl Fn(MemberId, &Member) -> bool,
    ) -> Vec<(MemberId, SocketAddr)> {
        let all = self.table.len();
        let mut found: Vec<(MemberId, SocketAddr)> = Vec::new();
        // Drawing with repetition is enough where most members match; otherwise all members are
        // scanned.
        for _ in 0..4 * limit {
            if found.len() >= limit.min(all) {
                return found;
            }
            let id = self.table.ids()[self.rng.next_u64() as usize % all];
            if let Some(m) = self.table.get(id).filter(|m| matches(id, m)) {
                if !found.iter().any(|f| f.0 == id) {
                    found.push((id, m.record.address));
                }
            }
        }
        let mut rest: Vec<_> = self.table.iter().filter(|(id, m)| matches(*id, m)).collect();
        rest.sort_by_key(|(id, _)| *id);
        let start = if rest.is_empty() { 0 } else { self.rng.next_u64() as usize % rest.len() };
        rest.rotate_left(start);
        for (id, m) in rest {
            if found.len() < limit && !found.iter().any(|f| f.0 == id) {
                found.push((id, m.record.address));
            }
        }
        found
    }

    pub(crate) fn shuffled_ids(&mut self) -> Vec<MemberId> {
        let mut ids = self.table.ids().to_vec();
        for n in (1..ids.len()).rev() {
            ids.swap(n, self.rng.next_u64() as usize % (n + 1));
        }
        ids
    }
}

fn new_member(record: Arc<Record>, now: Time) -> Member {
    let incarnation = record.incarnation;
    Member { record, incarnation, state: State::Alive, since: now, last_heard: None, witnesses: Vec::new() }
}

pub(crate) fn local_event(event: LocalEvent) -> Action {
    Action::Changed(Change::Local(event))
}

fn uniform(rng: &mut Xoshiro256PlusPlus) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
