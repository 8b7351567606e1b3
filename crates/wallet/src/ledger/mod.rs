//! The ledger: a log of entries that is replicated to the disks of 3 or 5 nodes, with a single writer.
//!
//! The writer holds a lease and writes under the lease's fencing token, so the ledger needs no election of its own. A writer begins by
//! making a majority of replicas promise its token durably. It recovers the most up-to-date log among them (the highest token of a last
//! record, then the highest index) and appends a record of its own. Once a majority stores that record or a later one, all records up
//! to it are committed: no later writer can miss them. This is the log of Viewstamped Replication (Liskov and Cowling 2012) with views
//! given by the lease, and its rule on records of earlier views is Raft's (Ongaro and Ousterhout 2014, section 5.4.2).

mod recover;
pub mod replica;
mod replication;
// The errors contain those of redb, which are large but rare.
#[allow(clippy::result_large_err)]
pub mod store;
mod writer;

pub(crate) use writer::Writer;

use crate::account::Entry;
use serde::{Deserialize, Serialize};

/// The mesh's lane for requests to replicas.
pub const LEDGER_LANE: u8 = 3;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Counted from 1.
    pub index: u64,
    /// The fencing token of its writer.
    pub token: u64,
    /// Its entry.
    pub entry: Entry,
}

/// A writer's request to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReplicaRequest {
    /// Reject lower tokens from now on, and return the head of the log.
    Promise { token: u64 },
    /// Append these records after the one with that index and token, replacing any that follow it.
    Append { token: u64, previous: (u64, u64), records: Vec<Record> },
    /// Replace all records up to that token and index by a snapshot, of which this is a chunk. `total` is the snapshot's size.
    InstallSnapshot { token: u64, up_to: (u64, u64), offset: u64, total: u64, bytes: Vec<u8> },
    /// Read a chunk of the snapshot.
    ReadSnapshot { token: u64, offset: u64 },
    /// Read records from that index on.
    ReadRecords { token: u64, from: u64 },
}

/// A replica's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReplicaResponse {
    /// The replica has promised a higher token.
    StaleToken { promised: u64 },
    /// The replica has promised the token. The head of its log.
    Promised(store::Head),
    /// All records up to that index are on the replica's disk.
    Stored(u64),
    /// The replica does not have the previous record. The head of its log.
    Mismatch(store::Head),
    /// A chunk of the replica's snapshot, and the snapshot's size.
    SnapshotChunk { total: u64, bytes: Vec<u8> },
    /// The records that were read.
    Records(Vec<Record>),
}

/// Most bytes of records or of a snapshot in one message.
pub(crate) const MAX_CHUNK: usize = 96 << 10;
