//! Meeting: joining from nothing, and the comparison of tables that repairs what news missed.

use crate::core::{Action, Core};
use crate::member::State;
use crate::table::{bucket, BUCKETS};
use crate::wire::{self, Body, Message, Report, Update};
use crate::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Between tries while nobody is known.
const KNOCK: Duration = Duration::from_millis(700);
/// Between looks for a seed that is no member: a part of the fleet that came up apart.
const SEEK: Duration = Duration::from_secs(5);
/// Between comparisons while they still bring something.
const CATCH_UP: Duration = Duration::from_millis(250);
/// Seeds tried at once.
const SEEDS: usize = 3;
/// Addresses that spoke and belong to no member.
const STRANGERS: usize = 8;
/// Most datagrams that one comparison is answered with.
const PARTS: usize = 8;

/// When to meet whom.
pub(crate) struct Joining {
    next_knock: Time,
    next_exchange: Time,
    next_reunion: Time,
    strangers: Vec<SocketAddr>,
    learnt: bool,
}

impl Joining {
    pub(crate) fn new(first: Time, exchange: Duration) -> Self {
        Joining {
            next_knock: first,
            next_exchange: first + exchange,
            next_reunion: first,
            strangers: Vec::new(),
            learnt: false,
        }
    }

    pub(crate) fn next(&self) -> Time {
        self.next_knock.min(self.next_exchange)
    }

    pub(crate) fn interrupted(&mut self, now: Time) {
        // What was missed is fetched at once.
        self.next_exchange = now;
        self.next_knock = self.next_knock.max(now);
    }

    pub(crate) fn stranger(&mut self, address: SocketAddr) {
        if self.strangers.len() < STRANGERS && !self.strangers.contains(&address) {
            self.strangers.push(address);
        }
    }

    /// Somebody new is known: there may be more.
    pub(crate) fn learnt(&mut self) {
        self.learnt = true;
    }
}

impl Core {
    /// Does what is due of meeting.
    pub(crate) fn meet(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now >= self.joining.next_knock {
            let alone = self.table.counting() == 0;
            let pause = if alone { KNOCK } else { SEEK };
            self.joining.next_knock = now + pause.mul_f64(0.7 + 0.6 * self.random());
            let mut doors = std::mem::take(&mut self.joining.strangers);
            let seeds = self.settings.seeds.len();
            let turn = (self.random() * seeds as f64) as usize;
            let known = |at: &SocketAddr| {
                self.table.iter().any(|(_, m)| m.record.address == *at && m.state.is_live())
            };
            let unknown = (0..seeds).map(|n| self.settings.seeds[(n + turn) % seeds]).filter(|at| !known(at));
            doors.extend(unknown.take(if alone { SEEDS } else { 1 }));
            doors.retain(|at| *at != self.own.address);
            for to in doors {
                self.knock(to, actions);
            }
        }
        if now >= self.joining.next_exchange {
            let pause =
                if std::mem::take(&mut self.joining.learnt) { CATCH_UP } else { self.settings.exchange };
            self.joining.next_exchange = now + pause.mul_f64(0.8 + 0.4 * self.random());
            for (_, to) in self.some(1, |_, m| m.state == State::Alive) {
                self.compare(to, false, actions);
            }
        }
    }

    fn knock(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        let mut message = self.message(Body::Join { padding: Vec::new() });
        message.updates.push(Update::Alive(self.own.clone()).encode());
        let room = wire::room(&self.settings.cluster, &message);
        message.body = Body::Join { padding: vec![0; room] };
        self.dispatch(to, &message, actions);
    }

    fn compare(&mut self, to: SocketAddr, back: bool, actions: &mut Vec<Action>) {
        let sums = self.table.sums(&self.own);
        self.send(to, Body::Digest { sums, back }, Vec::new(), actions);
    }

    /// Tables are compared at once with whom was given up for dead.
    pub(crate) fn reunite(&mut self, now: Time, to: SocketAddr, actions: &mut Vec<Action>) {
        if now >= self.joining.next_reunion {
            self.joining.next_reunion = now + CATCH_UP;
            self.compare(to, false, actions);
        }
    }

    /// Answers a message, with at most so many bytes a datagram: one that is no member gets no more than it sent.
    pub(crate) fn answer(
        &mut self,
        now: Time,
        from: SocketAddr,
        most: usize,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let (sender, begins) = (message.sender.id, actions.len());
        let known = self.table.get(sender).is_some();
        self.longest = most;
        match &message.body {
            Body::Join { .. } => self.welcome(from, message, actions),
            Body::Digest { sums, back } if known => self.differ(from, sums, *back, actions),
            Body::Relay { .. } if !known => {}
            body => self.answer_probe(now, from, sender, body, actions),
        }
        self.longest = wire::LONGEST;
        let fits = |a: &Action| !matches!(a, Action::Send { bytes, .. } if bytes.len() > most);
        let answers = actions.split_off(begins);
        actions.extend(answers.into_iter().filter(fits));
    }

    /// As many members as the question is long.
    fn welcome(&mut self, from: SocketAddr, question: &Message, actions: &mut Vec<Action>) {
        let mut welcome = self.message(Body::Welcome);
        welcome.updates.push(Update::Alive(self.own.clone()).encode());
        // It may stand in the shadow of a predecessor.
        let shadow =
            self.table.get(question.sender.id).filter(|m| m.record.generation > question.sender.generation);
        welcome.updates.extend(shadow.map(|m| Update::Alive((*m.record).clone()).encode()));
        for (id, _) in self.some(24, |id, m| id != question.sender.id && m.state.is_live()) {
            let Some(member) = self.table.get(id) else { continue };
            let piece = Update::Alive((*member.record).clone()).encode();
            if piece.len() + 2 < wire::room(&self.settings.cluster, &welcome) {
                welcome.updates.push(piece);
            }
        }
        while wire::encode(&self.settings.cluster, &welcome).len() > self.longest
            && !welcome.updates.is_empty()
        {
            welcome.updates.pop();
        }
        self.dispatch(from, &welcome, actions);
    }

    /// Sends what is held where two tables differ.
    fn differ(&mut self, to: SocketAddr, theirs: &[u8], back: bool, actions: &mut Vec<Action>) {
        let ours = self.table.sums(&self.own);
        if theirs.len() != ours.len() || theirs == ours {
            return;
        }
        let differs: Vec<bool> =
            (0..BUCKETS).map(|b| theirs[4 * b..4 * b + 4] != ours[4 * b..4 * b + 4]).collect();
        if !back {
            self.compare(to, true, actions);
        }
        let mut pieces = Vec::new();
        if differs[bucket(self.own.id())] {
            pieces.push(Update::Alive(self.own.clone()).encode());
        }
        let mut ids = self.shuffled();
        ids.retain(|id| differs[bucket(*id)]);
        for id in ids {
            let Some(m) = self.table.get(id) else { continue };
            pieces.push(Update::Alive((*m.record).clone()).encode());
            let (generation, incarnation) = m.age();
            if m.state != State::Alive {
                let witnesses = m.witnesses.clone();
                pieces.push(
                    Update::Report(Report { id, generation, incarnation, state: m.state, witnesses })
                        .encode(),
                );
            }
        }
        let mut pieces = pieces.into_iter().peekable();
        for _ in 0..PARTS {
            let mut part = self.message(Body::Records);
            let mut room = wire::room(&self.settings.cluster, &part);
            while let Some(piece) = pieces.next_if(|p| p.len() + 2 < room) {
                room -= piece.len() + 2;
                part.updates.push(piece);
            }
            if part.updates.is_empty() {
                return;
            }
            self.dispatch(to, &part, actions);
        }
    }
}
