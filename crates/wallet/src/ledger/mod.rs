//! The ledger: a log of entries on the disks of 3 or 5 nodes, written by one at a time.
//!
//! Who writes holds a lease; its token is the number under which it writes, so no election is needed here. A writer begins by having a
//! majority promise its token, for good, takes up the furthest log among them (the highest token of a last record, then the highest
//! index), and writes a record of its own after it. What a majority holds up to that record, or any later one, is committed: no later
//! writer can miss it. This is the log of Viewstamped Replication (Liskov and Cowling 2012) with views by lease, and its rule on
//! records of earlier views is Raft's (Ongaro and Ousterhout 2014, section 5.4.2).

mod recover;
pub mod replica;
mod replication;
// Its errors are the library's, which are large and rare.
#[allow(clippy::result_large_err)]
pub mod store;
mod writer;

pub(crate) use writer::Writer;

use crate::account::Entry;
use serde::{Deserialize, Serialize};

/// The mesh's lane for ledgers.
pub const LEDGER_LANE: u8 = 3;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Counted from 1.
    pub index: u64,
    /// Its writer's.
    pub token: u64,
    /// What it says.
    pub entry: Entry,
}

/// A writer's request to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReplicaRequest {
    /// Reject lower tokens from now on, and tell how far the log goes.
    Promise { token: u64 },
    /// Append these records after the one of that index and token, in the place of whatever follows it.
    Append { token: u64, previous: (u64, u64), records: Vec<Record> },
    /// Replace all records up to that token and index by a snapshot: a chunk of it, and its size.
    InstallSnapshot { token: u64, up_to: (u64, u64), offset: u64, total: u64, bytes: Vec<u8> },
    /// Read a chunk of the snapshot.
    ReadSnapshot { token: u64, offset: u64 },
    /// Read records from that index on.
    ReadRecords { token: u64, from: u64 },
}

/// A replica's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReplicaResponse {
    /// It promised a higher token.
    StaleToken { promised: u64 },
    /// It promised; its log goes so far.
    Promised(store::Head),
    /// All records up to that index are on its disk.
    Stored(u64),
    /// It does not hold the previous record.
    Mismatch(store::Head),
    /// A chunk of its snapshot, and the snapshot's size.
    SnapshotChunk { total: u64, bytes: Vec<u8> },
    /// Records.
    Records(Vec<Record>),
}

/// Most bytes of records or of a snapshot in one message.
pub(crate) const MAX_CHUNK: usize = 96 << 10;
