//! What members are: identities, what they tell of themselves, and which of two statements on one counts.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Most bytes of a member's values together.
pub const VALUES_MOST: usize = 256;
/// Most bytes of a record as it travels.
pub const RECORD_MOST: usize = 640;
/// Longest of each of a record's texts, in bytes.
const TEXT_MOST: usize = 64;

/// A member, by the hash of its name: the same for all processes that ever bear it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of a name.
    pub fn of(name: &str) -> Self {
        MemberId(xxh3_64(name.as_bytes()))
    }

    /// How witnesses are named in suspicions.
    pub(crate) fn short(self) -> u32 {
        self.0 as u32
    }
}

/// One process under a name; of two the greater counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    /// When it started, in Unix milliseconds. Only compared with other lives under the same name, and raised above
    /// those that a clock that went back would put after it.
    pub started: u64,
    /// Drawn at random, so that two that started in the same millisecond differ.
    pub draw: u32,
}

/// How a member is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Nothing speaks against it.
    Alive,
    /// Some probed it in vain. Counts as alive for everything that is decided.
    Suspect,
    /// Witnesses agreed that it answers nobody.
    Dead,
    /// It said so itself.
    Left,
}

impl State {
    /// Alive or merely suspected.
    pub fn is_live(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What values are about: every reader and writer of them is named here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// Revision of the list of servers that the member holds, 8 bytes little endian. Written by the node's wiring, read by
    /// `MEMBERS`: who lags behind discovery.
    ServerList,
    /// Tasks of which the fleet runs one each and this member runs, four bytes each. Written and read by the leases' host.
    Tasks,
    /// Servers that are silent, by the one node of a zone that asks for all (`birchswitch_health::encode`). Written and read by the
    /// node's wiring.
    Silent,
    /// Where the member's mesh takes connections, as text. Written and read by the node's wiring.
    Mesh,
    /// Bytes for drills and tests; nothing in the program reads them.
    Drill,
}

impl Topic {
    /// How it is named on the wire, for good.
    pub fn number(self) -> u16 {
        match self {
            Topic::ServerList => 1,
            Topic::Drill => 2,
            Topic::Tasks => 3,
            Topic::Silent => 4,
            Topic::Mesh => 5,
        }
    }
}

/// One value that a member tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// A [`Topic::number`]; those of newer programs are passed on unread.
    pub topic: u16,
    /// Whatever the topic says.
    pub bytes: Vec<u8>,
}

/// What a member tells of itself. Any change of it comes with a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Where others send to.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Version of the program.
    pub program: String,
    /// Which process.
    pub generation: Generation,
    /// Rises whenever it refutes or tells something new.
    pub incarnation: u64,
    /// At most [`VALUES_MOST`] bytes.
    pub values: Vec<Value>,
    /// What a newer program appended: passed on as it came.
    #[serde(skip)]
    pub tail: Vec<u8>,
}

impl Record {
    /// The id of its name.
    pub fn id(&self) -> MemberId {
        MemberId::of(&self.name)
    }

    /// Life and incarnation: which of two records is newer.
    pub fn age(&self) -> (Generation, u64) {
        (self.generation, self.incarnation)
    }

    /// A value, by its topic.
    pub fn value(&self, topic: Topic) -> Option<&[u8]> {
        self.values.iter().find(|v| v.topic == topic.number()).map(|v| v.bytes.as_slice())
    }

    /// Whether a fleet can bear it.
    pub fn sound(&self) -> bool {
        let text = |t: &str| t.len() <= TEXT_MOST && t.bytes().all(|b| b.is_ascii_graphic());
        let values: usize = self.values.iter().map(|v| v.bytes.len() + 4).sum();
        !self.name.is_empty()
            && text(&self.name)
            && text(&self.zone)
            && text(&self.program)
            && !self.address.ip().is_unspecified()
            && self.address.port() != 0
            && values <= VALUES_MOST
            && self.tail.len() <= VALUES_MOST
    }
}

/// What two tables have to agree on: who, which life and incarnation, and whether it counts.
pub fn fingerprint(id: MemberId, age: (Generation, u64), state: State) -> u32 {
    let state = if state.is_live() { 0 } else { state as u8 };
    let mut bytes = [0; 29];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&age.0.started.to_le_bytes());
    bytes[16..20].copy_from_slice(&age.0.draw.to_le_bytes());
    bytes[20..28].copy_from_slice(&age.1.to_le_bytes());
    bytes[28] = state;
    xxh3_64(&bytes) as u32
}
