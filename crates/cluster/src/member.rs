//! Member identities, the records that members publish, and the ordering between versions of a
//! record.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Most bytes of a member's values in total.
pub const MAX_VALUES_BYTES: usize = 256;
/// Most bytes of an encoded record.
pub const MAX_RECORD_BYTES: usize = 640;
/// Most bytes of each text in a record.
const MAX_TEXT_BYTES: usize = 64;

/// Identifies a member by the hash of its name. The same for all processes that ever use the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of a name.
    pub fn of(name: &str) -> Self {
        MemberId(xxh3_64(name.as_bytes()))
    }

    /// The short form that identifies witnesses in suspicions.
    pub(crate) fn short_id(self) -> u32 {
        self.0 as u32
    }
}

/// Identifies one process under a name. The greater generation replaces the smaller one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    /// Start time in Unix milliseconds. Only compared with other generations of the same name.
    /// Raised above an existing one that would otherwise win because the clock was set back.
    pub started: u64,
    /// A random number that distinguishes processes started in the same millisecond.
    pub draw: u32,
}

/// A member's state as others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// No failure is known.
    Alive,
    /// Probes by some members failed. Still counts as live in all decisions.
    Suspect,
    /// Enough witnesses reported that it does not answer.
    Dead,
    /// It announced that it left.
    Left,
}

impl State {
    /// Whether the member is alive or merely suspected.
    pub fn is_live(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// Topics of published values. Their readers and writers are listed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// Revision of the member's server list, 8 bytes little endian. Written by the node's wiring;
    /// read by the `MEMBERS` call to show which members lag behind discovery.
    ServerList,
    /// Ids of the fleet-wide singleton tasks that the member runs, four bytes each. Written and
    /// read by the lease host.
    Tasks,
    /// Silent servers, published by the one node per zone that probes for all
    /// (`birchswitch_health::encode`). Written and read by the node's wiring.
    Silent,
    /// Address on which the member's mesh accepts connections, as text. Written and read by the
    /// node's wiring.
    Mesh,
    /// Bytes for drills and tests; nothing in the program reads them.
    Drill,
}

impl Topic {
    /// The topic's number on the wire. Must never change.
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

/// One value published by a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// A [`Topic::number`]. Values of unknown topics from newer programs are forwarded unread.
    pub topic: u16,
    /// The encoded value; its format depends on the topic.
    pub bytes: Vec<u8>,
}

/// What a member publishes about itself. Every change comes with a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The member's name, unique in the fleet.
    pub name: String,
    /// The address that others send to.
    pub address: SocketAddr,
    /// The member's zone.
    pub zone: String,
    /// Version of the program.
    pub program: String,
    /// The process behind the name.
    pub generation: Generation,
    /// Increases with each refutation and each change of the record.
    pub incarnation: u64,
    /// At most [`MAX_VALUES_BYTES`] bytes.
    pub values: Vec<Value>,
    /// Fields appended by a newer program, forwarded unchanged.
    #[serde(skip)]
    pub tail: Vec<u8>,
}

impl Record {
    /// The id of the record's name.
    pub fn id(&self) -> MemberId {
        MemberId::of(&self.name)
    }

    /// Generation and incarnation: the record with the greater pair is newer.
    pub fn version(&self) -> (Generation, u64) {
        (self.generation, self.incarnation)
    }

    /// The value of a topic.
    pub fn value(&self, topic: Topic) -> Option<&[u8]> {
        self.values.iter().find(|v| v.topic == topic.number()).map(|v| v.bytes.as_slice())
    }

    /// Whether the record is acceptable: its texts, address and sizes are within bounds.
    pub fn is_valid(&self) -> bool {
        let text = |t: &str| t.len() <= MAX_TEXT_BYTES && t.bytes().all(|b| b.is_ascii_graphic());
        let values: usize = self.values.iter().map(|v| v.bytes.len() + 4).sum();
        !self.name.is_empty()
            && text(&self.name)
            && text(&self.zone)
            && text(&self.program)
            && !self.address.ip().is_unspecified()
            && self.address.port() != 0
            && values <= MAX_VALUES_BYTES
            && self.tail.len() <= MAX_VALUES_BYTES
    }
}

/// Hash of what two tables have to agree on: the id, generation and incarnation, and whether the
/// member is live.
pub fn fingerprint(id: MemberId, version: (Generation, u64), state: State) -> u32 {
    let state = if state.is_live() { 0 } else { state as u8 };
    let mut bytes = [0; 29];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&version.0.started.to_le_bytes());
    bytes[16..20].copy_from_slice(&version.0.draw.to_le_bytes());
    bytes[20..28].copy_from_slice(&version.1.to_le_bytes());
    bytes[28] = state;
    xxh3_64(&bytes) as u32
}
