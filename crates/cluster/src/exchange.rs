//! Joining through seeds, and the anti-entropy exchange that repairs what lost updates missed.

use crate::core::{Action, Core};
use crate::member::State;
use crate::table::{bucket, BUCKETS};
use crate::wire::{self, Body, Message, Report, Update};
use crate::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between join attempts while no other member is known.
const JOIN_RETRY: Duration = Duration::from_millis(700);
/// Interval between checks for a seed that is not a member. Such a seed may belong to a part of the
/// fleet that formed separately.
const SEED_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between exchanges while they still bring new members.
const FAST_EXCHANGE: Duration = Duration::from_millis(250);
/// Seeds contacted per join attempt.
const SEEDS_PER_JOIN: usize = 3;
/// Most remembered sender addresses that belong to no known member.
const MAX_UNKNOWN_ADDRESSES: usize = 8;
/// Most datagrams sent in answer to one digest.
const MAX_DIFF_DATAGRAMS: usize = 8;

/// Timers and candidates for joins and exchanges.
pub(crate) struct SyncState {
    next_join: Time,
    next_exchange: Time,
    next_recovery: Time,
    unknown_addresses: Vec<SocketAddr>,
    new_members: bool,
}

impl SyncState {
    pub(crate) fn new(first: Time, exchange: Duration) -> Self {
        SyncState {
            next_join: first,
            next_exchange: first + exchange,
            next_recovery: first,
            unknown_addresses: Vec::new(),
            new_members: false,
        }
    }

    pub(crate) fn next_due(&self) -> Time {
        self.next_join.min(self.next_exchange)
    }

    pub(crate) fn reset_after_stall(&mut self, now: Time) {
        // Exchange immediately to catch up on missed updates.
        self.next_exchange = now;
        self.next_join = self.next_join.max(now);
    }

    pub(crate) fn note_unknown_address(&mut self, address: SocketAddr) {
        if self.unknown_addresses.len() < MAX_UNKNOWN_ADDRESSES && !self.unknown_addresses.contains(&address)
        {
            self.unknown_addresses.push(address);
        }
    }

    /// A new member was learned, so there may be more: the next exchange follows soon.
    pub(crate) fn note_new_member(&mut self) {
        self.new_members = true;
    }
}

impl Core {
    /// Runs the joins and exchanges that are due.
    pub(crate) fn run_sync(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now >= self.sync.next_join {
            let is_alone = self.table.live_count() == 0;
            let pause = if is_alone { JOIN_RETRY } else { SEED_CHECK_INTERVAL };
            self.sync.next_join = now + pause.mul_f64(0.7 + 0.6 * self.random());
            let mut targets = std::mem::take(&mut self.sync.unknown_addresses);
            let seeds = self.settings.seeds.len();
            let offset = (self.random() * seeds as f64) as usize;
            let is_known =
                |a: &SocketAddr| self.table.iter().any(|(_, m)| m.record.address == *a && m.state.is_live());
            let unknown =
                (0..seeds).map(|n| self.settings.seeds[(n + offset) % seeds]).filter(|at| !is_known(at));
            targets.extend(unknown.take(if is_alone { SEEDS_PER_JOIN } else { 1 }));
            targets.retain(|at| *at != self.own.address);
            for to in targets {
                self.send_join(to, actions);
            }
        }
        if now >= self.sync.next_exchange {
            let pause = if std::mem::take(&mut self.sync.new_members) {
                FAST_EXCHANGE
            } else {
                self.settings.exchange
            };
            self.sync.next_exchange = now + pause.mul_f64(0.8 + 0.4 * self.random());
            for (_, to) in self.sample(1, |_, m| m.state == State::Alive) {
                self.send_digest(to, false, actions);
            }
        }
    }

    fn send_join(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        let mut message = self.message(Body::Join { padding: Vec::new() });
        message.updates.push(Update::Alive(self.own.clone()).encode());
        let remaining_bytes = wire::remaining_bytes(&self.settings.cluster, &message);
        message.body = Body::Join { padding: vec![0; remaining_bytes] };
        self.transmit(to, &message, actions);
    }

    fn send_digest(&mut self, to: SocketAddr, reply: bool, actions: &mut Vec<Action>) {
        let checksums = self.table.checksums(&self.own);
        self.send(to, Body::Digest { checksums, reply }, Vec::new(), actions);
    }

    /// Exchanges tables at once with a member that had been considered dead.
    pub(crate) fn sync_with_returned(&mut self, now: Time, to: SocketAddr, actions: &mut Vec<Action>) {
        if now >= self.sync.next_recovery {
            self.sync.next_recovery = now + FAST_EXCHANGE;
            self.send_digest(to, false, actions);
        }
    }

    /// Answers a message with datagrams of at most `limit` bytes. A sender that is not a known
    /// member never gets a datagram longer than its own, to prevent amplification.
    pub(crate) fn reply(
        &mut self,
        now: Time,
        from: SocketAddr,
        limit: usize,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let (sender, first_action) = (message.sender.id, actions.len());
        let known = self.table.get(sender).is_some();
        self.max_datagram = limit;
        match &message.body {
            Body::Join { .. } => self.answer_join(from, message, actions),
            Body::Digest { checksums, reply } if known => self.send_diff(from, checksums, *reply, actions),
            Body::Relay { .. } if !known => {}
            body => self.handle_probe_message(now, from, sender, body, actions),
        }
        self.max_datagram = wire::MAX_DATAGRAM_BYTES;
        let within_limit = |a: &Action| !matches!(a, Action::Send { bytes, .. } if bytes.len() > limit);
        let answers = actions.split_off(first_action);
        actions.extend(answers.into_iter().filter(within_limit));
    }

    /// Answers a join with as many members as fit into a datagram of the request's length.
    fn answer_join(&mut self, from: SocketAddr, request: &Message, actions: &mut Vec<Action>) {
        let mut reply = self.message(Body::Welcome);
        reply.updates.push(Update::Alive(self.own.clone()).encode());
        // A predecessor's record with a later generation may hide the sender; the sender has to
        // learn of it.
        let newer =
            self.table.get(request.sender.id).filter(|m| m.record.generation > request.sender.generation);
        reply.updates.extend(newer.map(|m| Update::Alive((*m.record).clone()).encode()));
        for (id, _) in self.sample(24, |id, m| id != request.sender.id && m.state.is_live()) {
            let Some(member) = self.table.get(id) else { continue };
            let piece = Update::Alive((*member.record).clone()).encode();
            if piece.len() + 2 < wire::remaining_bytes(&self.settings.cluster, &reply) {
                reply.updates.push(piece);
            }
        }
        while wire::encode(&self.settings.cluster, &reply).len() > self.max_datagram
            && !reply.updates.is_empty()
        {
            reply.updates.pop();
        }
        self.transmit(from, &reply, actions);
    }

    /// Sends the entries of all buckets in which the two tables differ.
    fn send_diff(&mut self, to: SocketAddr, theirs: &[u8], reply: bool, actions: &mut Vec<Action>) {
        let ours = self.table.checksums(&self.own);
        if theirs.len() != ours.len() || theirs == ours {
            return;
        }
        let differs: Vec<bool> =
            (0..BUCKETS).map(|b| theirs[4 * b..4 * b + 4] != ours[4 * b..4 * b + 4]).collect();
        if !reply {
            self.send_digest(to, true, actions);
        }
        let mut pieces = Vec::new();
        if differs[bucket(self.own.id())] {
            pieces.push(Update::Alive(self.own.clone()).encode());
        }
        let mut ids = self.shuffled_ids();
        ids.retain(|id| differs[bucket(*id)]);
        for id in ids {
            let Some(m) = self.table.get(id) else { continue };
            pieces.push(Update::Alive((*m.record).clone()).encode());
            let (generation, incarnation) = m.version();
            if m.state != State::Alive {
                let witnesses = m.witnesses.clone();
                pieces.push(
                    Update::Report(Report { id, generation, incarnation, state: m.state, witnesses })
                        .encode(),
                );
            }
        }
        let mut pieces = pieces.into_iter().peekable();
        for _ in 0..MAX_DIFF_DATAGRAMS {
            let mut part = self.message(Body::Records);
            let mut remaining_bytes = wire::remaining_bytes(&self.settings.cluster, &part);
            while let Some(piece) = pieces.next_if(|p| p.len() + 2 < remaining_bytes) {
                remaining_bytes -= piece.len() + 2;
                part.updates.push(piece);
            }
            if part.updates.is_empty() {
                return;
            }
            self.transmit(to, &part, actions);
        }
    }
}
