//! Who is known, and how: plain data with one way in, which keeps the sums that two tables are compared by.

use crate::member::{fingerprint, Generation, MemberId, Record, State};
use crate::Time;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Parts of all ids that tables are compared by.
pub(crate) const BUCKETS: usize = 64;

/// A member as this node holds it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it last told of itself.
    pub record: Arc<Record>,
    /// Incarnation that the state is about: that of the record, or one that others spoke of.
    pub incarnation: u64,
    /// How it is held.
    pub state: State,
    /// Since when.
    pub since: Time,
    /// When anything last came from it.
    pub heard: Option<Time>,
    /// Who witnessed its silence.
    pub(crate) witnesses: Vec<u32>,
}

impl Member {
    /// Which process, and how new.
    pub fn age(&self) -> (Generation, u64) {
        (self.record.generation, self.incarnation)
    }
}

/// All members but oneself.
#[derive(Default)]
pub(crate) struct Table {
    members: FxHashMap<MemberId, Member>,
    /// In no order, for drawing one.
    ids: Vec<MemberId>,
    sums: Vec<u32>,
    /// Members by state, in its order.
    counts: [usize; 4],
}

pub(crate) fn bucket(id: MemberId) -> usize {
    (id.0 >> 58) as usize % BUCKETS
}

impl Table {
    pub(crate) fn new() -> Self {
        Table { sums: vec![0; BUCKETS], ..Table::default() }
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// For what the sums don't count.
    pub(crate) fn heard(&mut self, id: MemberId, now: Time) {
        if let Some(m) = self.members.get_mut(&id) {
            m.heard = Some(now);
        }
    }

    pub(crate) fn ids(&self) -> &[MemberId] {
        &self.ids
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.ids.iter().filter_map(|id| self.members.get(id).map(|m| (*id, m)))
    }

    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    pub(crate) fn count(&self, state: State) -> usize {
        self.counts[state as usize]
    }

    /// Members that count, oneself not among them.
    pub(crate) fn counting(&self) -> usize {
        self.count(State::Alive) + self.count(State::Suspect)
    }

    /// Puts a member in or anew.
    pub(crate) fn put(&mut self, id: MemberId, member: Member) {
        self.account(id, &member, 1);
        match self.members.insert(id, member) {
            Some(before) => self.account(id, &before, -1),
            None => self.ids.push(id),
        }
    }

    /// Changes a member, whatever of it.
    pub(crate) fn change(&mut self, id: MemberId, change: impl FnOnce(&mut Member)) {
        if let Some(mut member) = self.members.get(&id).cloned() {
            change(&mut member);
            self.put(id, member);
        }
    }

    pub(crate) fn remove(&mut self, id: MemberId) {
        if let Some(before) = self.members.remove(&id) {
            self.account(id, &before, -1);
            self.ids.retain(|other| *other != id);
        }
    }

    fn account(&mut self, id: MemberId, member: &Member, sign: i32) {
        let print = fingerprint(id, member.age(), member.state);
        let sum = &mut self.sums[bucket(id)];
        let count = &mut self.counts[member.state as usize];
        if sign > 0 {
            *sum = sum.wrapping_add(print);
            *count += 1;
        } else {
            *sum = sum.wrapping_sub(print);
            *count -= 1;
        }
    }

    /// Sums over all members and oneself.
    pub(crate) fn sums(&self, own: &Record) -> Vec<u8> {
        let mut sums = self.sums.clone();
        let sum = &mut sums[bucket(own.id())];
        *sum = sum.wrapping_add(fingerprint(own.id(), own.age(), State::Alive));
        sums.iter().flat_map(|s| s.to_le_bytes()).collect()
    }
}
