//! The member table. All modifications go through one place that maintains the checksums for table
//! exchanges.

use crate::member::{fingerprint, Generation, MemberId, Record, State};
use crate::Time;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Buckets of the id space. Tables are compared by one checksum per bucket.
pub(crate) const BUCKETS: usize = 64;

/// A member as this node sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The member's latest known record.
    pub record: Arc<Record>,
    /// The incarnation that the state refers to: the record's, or a later one that others reported.
    pub incarnation: u64,
    /// The member's state.
    pub state: State,
    /// When the member entered this state.
    pub since: Time,
    /// When the last datagram arrived from the member.
    pub last_heard: Option<Time>,
    /// Short ids of the members that witnessed its failure.
    pub(crate) witnesses: Vec<u32>,
}

impl Member {
    /// Generation and incarnation: which process, and how recent the information is.
    pub fn version(&self) -> (Generation, u64) {
        (self.record.generation, self.incarnation)
    }
}

/// All members except this node.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: FxHashMap<MemberId, Member>,
    /// Unordered, for random selection.
    ids: Vec<MemberId>,
    checksums: Vec<u32>,
    /// Number of members per state, indexed by the state's discriminant.
    counts: [usize; 4],
}

pub(crate) fn bucket(id: MemberId) -> usize {
    (id.0 >> 58) as usize % BUCKETS
}

impl MemberTable {
    pub(crate) fn new() -> Self {
        MemberTable { checksums: vec![0; BUCKETS], ..MemberTable::default() }
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Records that a datagram arrived. Does not affect the checksums.
    pub(crate) fn record_heard(&mut self, id: MemberId, now: Time) {
        if let Some(m) = self.members.get_mut(&id) {
            m.last_heard = Some(now);
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

    /// Number of live members, without this node.
    pub(crate) fn live_count(&self) -> usize {
        self.count(State::Alive) + self.count(State::Suspect)
    }

    /// Inserts or replaces a member.
    pub(crate) fn insert(&mut self, id: MemberId, member: Member) {
        self.apply_to_checksums(id, &member, 1);
        match self.members.insert(id, member) {
            Some(previous) => self.apply_to_checksums(id, &previous, -1),
            None => self.ids.push(id),
        }
    }

    /// Modifies a member and updates the checksums.
    pub(crate) fn update(&mut self, id: MemberId, change: impl FnOnce(&mut Member)) {
        if let Some(mut member) = self.members.get(&id).cloned() {
            change(&mut member);
            self.insert(id, member);
        }
    }

    pub(crate) fn remove(&mut self, id: MemberId) {
        if let Some(previous) = self.members.remove(&id) {
            self.apply_to_checksums(id, &previous, -1);
            self.ids.retain(|other| *other != id);
        }
    }

    fn apply_to_checksums(&mut self, id: MemberId, member: &Member, sign: i32) {
        let print = fingerprint(id, member.version(), member.state);
        let sum = &mut self.checksums[bucket(id)];
        let count = &mut self.counts[member.state as usize];
        if sign > 0 {
            *sum = sum.wrapping_add(print);
            *count += 1;
        } else {
            *sum = sum.wrapping_sub(print);
            *count -= 1;
        }
    }

    /// Checksums per bucket over all members and this node.
    pub(crate) fn checksums(&self, own: &Record) -> Vec<u8> {
        let mut checksums = self.checksums.clone();
        let sum = &mut checksums[bucket(own.id())];
        *sum = sum.wrapping_add(fingerprint(own.id(), own.version(), State::Alive));
        checksums.iter().flat_map(|s| s.to_le_bytes()).collect()
    }
}
