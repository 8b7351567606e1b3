//! The writer's task for each replica: sends the records that the replica lacks, and publishes its progress.

use super::recover::send;
use super::writer::Log;
use super::{Record, ReplicaRequest, ReplicaResponse, MAX_CHUNK};
use birchswitch_cluster::MemberId;
use birchswitch_mesh::Mesh;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Delay before the next attempt after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// A replica whose snapshot is more than so many records behind is sent a newer one.
const MAX_SNAPSHOT_LAG: u64 = 1000;

/// What to send next.
enum Next {
    Records { previous: (u64, u64), records: Vec<Record> },
    Snapshot { up_to: (u64, u64), bytes: Arc<Vec<u8>> },
    Nothing,
}

/// Replicates to one replica until the writer is dropped. `stored` publishes the index up to which the replica has all records, and
/// `superseded` that a later writer has begun.
pub(super) async fn replicate(
    (mesh, to, token): (Mesh, MemberId, u64),
    (log, first): (Arc<Mutex<Log>>, u64),
    mut written: watch::Receiver<u64>,
    stored: watch::Sender<u64>,
    superseded: watch::Sender<bool>,
) {
    // The replica's position is found by trial, starting after the last recovered record.
    let (mut from, mut base) = (first, 0);
    loop {
        let next = log.lock().unwrap_or_else(PoisonError::into_inner).next_after(from, base);
        let response = match next {
            Next::Nothing => {
                if written.changed().await.is_err() {
                    return;
                }
                continue;
            }
            Next::Records { previous, records } => {
                send(&mesh, to, &ReplicaRequest::Append { token, previous, records }).await
            }
            Next::Snapshot { up_to, bytes } => install(&mesh, to, token, up_to, &bytes).await,
        };
        match response {
            Some(ReplicaResponse::Stored(index)) => {
                from = index.max(from - 1) + 1;
                if let Some(now) = log.lock().unwrap_or_else(PoisonError::into_inner).base_if(index) {
                    base = base.max(now);
                }
                stored.send_if_modified(|s| {
                    let advanced = index > *s;
                    *s = index.max(*s);
                    advanced
                });
            }
            Some(ReplicaResponse::Mismatch(head)) => {
                base = head.base.1;
                from = (head.last.1 + 1).min(from - 1).max(1);
            }
            Some(ReplicaResponse::StaleToken { .. }) => {
                superseded.send_replace(true);
                return;
            }
            _ => tokio::time::sleep(RETRY_DELAY).await,
        }
        if superseded.is_closed() {
            return;
        }
    }
}

async fn install(
    mesh: &Mesh,
    to: MemberId,
    token: u64,
    up_to: (u64, u64),
    bytes: &[u8],
) -> Option<ReplicaResponse> {
    let total = bytes.len() as u64;
    let mut offset = 0;
    loop {
        let chunk = &bytes[offset..(offset + MAX_CHUNK).min(bytes.len())];
        let request = ReplicaRequest::InstallSnapshot {
            token,
            up_to: (up_to.1, up_to.0),
            offset: offset as u64,
            total,
            bytes: chunk.to_vec(),
        };
        offset += chunk.len();
        match send(mesh, to, &request).await? {
            ReplicaResponse::Stored(_) if offset < bytes.len() => {}
            other => return Some(other),
        }
    }
}

impl Log {
    /// What to send from index `from` on, to a replica whose snapshot covers all records up to `base`.
    fn next_after(&self, from: u64, base: u64) -> Next {
        if from <= self.base.0 || self.base.0 > base + MAX_SNAPSHOT_LAG {
            return Next::Snapshot { up_to: self.base, bytes: self.snapshot.clone() };
        }
        let at = (from - self.base.0 - 1) as usize;
        let previous = match at.checked_sub(1).and_then(|before| self.records.get(before)) {
            Some(record) => (record.index, record.token),
            None => self.base,
        };
        let mut size = 0;
        let fits = |r: &&Record| {
            size += postcard::to_stdvec(*r).map_or(0, |b| b.len());
            size <= MAX_CHUNK
        };
        let records: Vec<Record> = self.records.iter().skip(at).take_while(fits).cloned().collect();
        match (records.is_empty(), self.records.get(at)) {
            // A record larger than a chunk is sent alone.
            (true, Some(record)) => Next::Records { previous, records: vec![record.clone()] },
            (true, None) => Next::Nothing,
            (false, _) => Next::Records { previous, records },
        }
    }

    /// The snapshot's index, if `index` shows that the replica has stored the snapshot.
    fn base_if(&self, index: u64) -> Option<u64> {
        (index == self.base.0).then_some(index)
    }
}
