//! The ledger's single writer: it keeps the log in memory, and waits until entries are on the disks of a majority.

use super::recover::{recover, WriterError};
use super::replication::replicate;
use super::Record;
use crate::account::{Entry, LedgerState};
use birchswitch_cluster::MemberId;
use birchswitch_mesh::Mesh;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// With so many records the log is compacted into a snapshot.
const SNAPSHOT_AFTER: usize = 2000;

/// The log from its snapshot on.
pub(super) struct Log {
    /// Index and token of the last record that the snapshot covers.
    pub base: (u64, u64),
    pub snapshot: Arc<Vec<u8>>,
    pub records: Vec<Record>,
}

impl Log {
    /// Index and token of the last record.
    pub(super) fn last(&self) -> (u64, u64) {
        self.records.last().map_or(self.base, |r| (r.index, r.token))
    }
}

/// The ledger's writer. Its replication tasks stop when it is dropped.
pub(crate) struct Writer {
    token: u64,
    majority: usize,
    log: Arc<Mutex<Log>>,
    written: watch::Sender<u64>,
    stored: Vec<watch::Receiver<u64>>,
    superseded: watch::Receiver<bool>,
    _replication: JoinSet<()>,
}

impl Writer {
    /// Recovers the ledger of these replicas under a token, and commits a first record. Returns the writer and the state after it.
    pub(crate) async fn begin(
        mesh: &Mesh,
        nodes: &[MemberId],
        token: u64,
    ) -> Result<(Writer, LedgerState), WriterError> {
        let recovered = recover(mesh, nodes, token).await?;
        let log =
            Log { base: recovered.base, snapshot: Arc::new(recovered.snapshot), records: recovered.records };
        let log = Arc::new(Mutex::new(log));
        let (written, replication) = (watch::Sender::new(0), JoinSet::new());
        let (superseded_sender, superseded) = watch::channel(false);
        let mut writer = Writer {
            token,
            majority: nodes.len() / 2 + 1,
            log,
            written,
            stored: Vec::new(),
            superseded,
            _replication: replication,
        };
        let first = writer.log.lock().unwrap_or_else(PoisonError::into_inner).last().0 + 1;
        for node in nodes {
            let (sender, stored) = watch::channel(0);
            let (log, written) = ((writer.log.clone(), first), writer.written.subscribe());
            writer._replication.spawn(replicate(
                (mesh.clone(), *node, token),
                log,
                written,
                sender,
                superseded_sender.clone(),
            ));
            writer.stored.push(stored);
        }
        let mut state = recovered.state;
        writer.commit(&mut state, vec![Entry::TermBegan]).await?;
        Ok((writer, state))
    }

    /// Applies entries to the state, and waits until they are on the disks of a majority.
    pub(crate) async fn commit(
        &mut self,
        state: &mut LedgerState,
        entries: Vec<Entry>,
    ) -> Result<(), WriterError> {
        entries.iter().for_each(|entry| state.apply(entry));
        self.write(entries).await
    }

    /// Appends entries that are applied already, and waits until they are on the disks of a majority.
    pub(crate) async fn write(&mut self, entries: Vec<Entry>) -> Result<(), WriterError> {
        let last = {
            let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
            for entry in entries {
                let index = log.last().0 + 1;
                log.records.push(Record { index, token: self.token, entry });
            }
            log.last().0
        };
        self.written.send_replace(last);
        loop {
            if *self.superseded.borrow() {
                return Err(WriterError::Superseded);
            }
            let stored_by = self.stored.iter().filter(|s| *s.borrow() >= last).count();
            if stored_by >= self.majority {
                return Ok(());
            }
            let mut waiting = JoinSet::new();
            for stored in &self.stored {
                let mut stored = stored.clone();
                waiting.spawn(async move { stored.wait_for(|s| *s >= last).await.is_ok() });
            }
            let mut superseded = self.superseded.clone();
            let mut count = 0;
            while count < self.majority {
                tokio::select! {
                    result = waiting.join_next() => match result {
                        Some(Ok(true)) => count += 1,
                        Some(_) => {}
                        // All replication tasks have ended: a later writer has begun.
                        None => return Err(WriterError::Superseded),
                    },
                    _ = superseded.wait_for(|superseded| *superseded) => return Err(WriterError::Superseded),
                }
            }
        }
    }

    /// Replaces the records, all of which are committed, by a snapshot once there are [`SNAPSHOT_AFTER`].
    pub(crate) fn compact(&mut self, state: &LedgerState) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if log.records.len() < SNAPSHOT_AFTER {
            return;
        }
        if let Ok(bytes) = postcard::to_stdvec(state) {
            log.base = log.last();
            log.snapshot = Arc::new(bytes);
            log.records.clear();
        }
    }
}
