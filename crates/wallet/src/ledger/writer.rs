//! The ledger's one writer: it holds the log in memory, and tells when entries are on a majority's disks.

use super::recover::{recover, WriterError};
use super::replication::replicate;
use super::Record;
use crate::account::{Entry, LedgerState};
use birchswitch_cluster::MemberId;
use birchswitch_mesh::Mesh;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Records after which a new snapshot takes their place.
const SNAPSHOT_AFTER: usize = 2000;

/// The log from its snapshot on.
pub(super) struct Log {
    /// Index and token of the last record that the snapshot stands for.
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

/// See the module's documentation. Its tasks end with it.
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
    /// Recovers the ledger of these nodes under a token, and commits a first record. Returns the state after it.
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
        let (tell_superseded, superseded) = watch::channel(false);
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
            let (tell, stored) = watch::channel(0);
            let (log, written) = ((writer.log.clone(), first), writer.written.subscribe());
            writer._replication.spawn(replicate(
                (mesh.clone(), *node, token),
                log,
                written,
                tell,
                tell_superseded.clone(),
            ));
            writer.stored.push(stored);
        }
        let mut state = recovered.state;
        writer.commit(&mut state, vec![Entry::TermBegan]).await?;
        Ok((writer, state))
    }

    /// Applies entries, and waits until they are on a majority's disks.
    pub(crate) async fn commit(
        &mut self,
        state: &mut LedgerState,
        entries: Vec<Entry>,
    ) -> Result<(), WriterError> {
        entries.iter().for_each(|entry| state.apply(entry));
        self.write(entries).await
    }

    /// Appends entries that are applied already, and waits until they are on a majority's disks.
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
            let holds = self.stored.iter().filter(|s| *s.borrow() >= last).count();
            if holds >= self.majority {
                return Ok(());
            }
            let mut waits = JoinSet::new();
            for stored in &self.stored {
                let mut stored = stored.clone();
                waits.spawn(async move { stored.wait_for(|s| *s >= last).await.is_ok() });
            }
            let mut superseded = self.superseded.clone();
            let mut got = 0;
            while got < self.majority {
                tokio::select! {
                    done = waits.join_next() => match done {
                        Some(Ok(true)) => got += 1,
                        Some(_) => {}
                        // All replicas' tasks are gone: a later writer has begun.
                        None => return Err(WriterError::Superseded),
                    },
                    _ = superseded.wait_for(|l| *l) => return Err(WriterError::Superseded),
                }
            }
        }
    }

    /// Puts a snapshot of the accounts in the place of all that is committed, where that is much.
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
