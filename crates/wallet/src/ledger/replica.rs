//! A replica: a node that stores the ledger on its disk. It rejects requests with tokens below the highest that it has promised.

use super::store::{Store, StoreError};
use super::{ReplicaRequest, ReplicaResponse, LEDGER_LANE, MAX_CHUNK};
use birchswitch_mesh::{Mesh, ProcessId, ResponseFuture};
use bytes::Bytes;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};

/// Most records in one response.
const MAX_RECORDS: usize = 256;

/// A replica of the ledger.
pub struct Replica {
    folder: PathBuf,
    max_bytes: u64,
    state: Mutex<State>,
}

struct State {
    store: Option<Store>,
    /// The snapshot that is being received: token and index of the last record that it covers, and the bytes so far.
    incoming_snapshot: ((u64, u64), Vec<u8>),
}

/// Opens the replica in a folder and serves it on the mesh. On an error the replica is not served, and the node can run without it.
pub fn serve_replica(mesh: &Mesh, folder: PathBuf, max_bytes: u64) -> Result<Arc<Replica>, StoreError> {
    let store = Store::open(&folder, max_bytes)?;
    let (promised, head) = (store.promised(), store.head());
    tracing::info!(target: "wallet", kind = "ledger_opened", promised, last = head.last.1, token = head.last.0);
    let state = Mutex::new(State { store: Some(store), incoming_snapshot: Default::default() });
    let replica = Arc::new(Replica { folder, max_bytes, state });
    let handler_replica = replica.clone();
    let handle = move |_: ProcessId, bytes: Bytes| {
        let replica = handler_replica.clone();
        Box::pin(async move {
            // Disk access blocks.
            tokio::task::spawn_blocking(move || replica.handle(&bytes)).await.ok().flatten()
        }) as ResponseFuture
    };
    mesh.serve(LEDGER_LANE, Arc::new(handle));
    Ok(replica)
}

impl Replica {
    fn handle(&self, bytes: &[u8]) -> Option<Bytes> {
        let request: ReplicaRequest = postcard::from_bytes(bytes).ok()?;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.store.is_none() {
            // After an error the state in memory is not trusted, so the store is opened again.
            state.store = Store::open(&self.folder, self.max_bytes).ok();
        }
        match state.execute(request) {
            Ok(response) => Some(postcard::to_stdvec(&response?).ok()?.into()),
            Err(error) => {
                tracing::error!(target: "wallet", kind = "ledger_failed", error = %error);
                state.store = None;
                None
            }
        }
    }
}

impl State {
    fn execute(&mut self, request: ReplicaRequest) -> Result<Option<ReplicaResponse>, StoreError> {
        let Some(store) = self.store.as_mut() else { return Ok(None) };
        let token = match &request {
            ReplicaRequest::Promise { token }
            | ReplicaRequest::Append { token, .. }
            | ReplicaRequest::InstallSnapshot { token, .. }
            | ReplicaRequest::ReadSnapshot { token, .. }
            | ReplicaRequest::ReadRecords { token, .. } => *token,
        };
        if token < store.promised() {
            return Ok(Some(ReplicaResponse::StaleToken { promised: store.promised() }));
        }
        Ok(Some(match request {
            ReplicaRequest::Promise { token } => {
                if token > store.promised() {
                    store.promise(token)?;
                }
                ReplicaResponse::Promised(store.head())
            }
            ReplicaRequest::Append { token, previous: (index, of), records } => {
                if index < store.head().base.1 || store.token_at(index)? != Some(of) {
                    return Ok(Some(ReplicaResponse::Mismatch(store.head())));
                }
                // Skip records that are stored already.
                let held = |r: &super::Record| Ok::<_, StoreError>(store.token_at(r.index)? == Some(r.token));
                let mut new = records.as_slice();
                while let [first, rest @ ..] = new {
                    if !held(first)? {
                        break;
                    }
                    new = rest;
                }
                store.append(token, new)?;
                ReplicaResponse::Stored(records.last().map_or(index, |r| r.index))
            }
            ReplicaRequest::InstallSnapshot { token, up_to, offset, total, bytes } => {
                if offset == 0 {
                    self.incoming_snapshot = (up_to, Vec::new());
                }
                let received = &mut self.incoming_snapshot.1;
                if self.incoming_snapshot.0 != up_to || received.len() as u64 != offset {
                    return Ok(Some(ReplicaResponse::Mismatch(store.head())));
                }
                received.extend_from_slice(&bytes);
                if (received.len() as u64) < total {
                    return Ok(Some(ReplicaResponse::Stored(0)));
                }
                let whole = std::mem::take(received);
                if up_to.1 > store.head().base.1 {
                    store.install(token, up_to, &whole)?;
                }
                ReplicaResponse::Stored(up_to.1)
            }
            ReplicaRequest::ReadSnapshot { offset, .. } => {
                let bytes = store.snapshot()?;
                let from = (offset as usize).min(bytes.len());
                let chunk = &bytes[from..(from + MAX_CHUNK).min(bytes.len())];
                ReplicaResponse::SnapshotChunk { total: bytes.len() as u64, bytes: chunk.to_vec() }
            }
            ReplicaRequest::ReadRecords { from, .. } => {
                let mut records = store.records(from, MAX_RECORDS)?;
                let mut size = 0;
                let fits = |r: &super::Record| {
                    size += postcard::to_stdvec(r).map_or(0, |b| b.len());
                    size <= MAX_CHUNK
                };
                let fitting = records.iter().map(fits).take_while(|f| *f).count();
                records.truncate(fitting.max(1));
                ReplicaResponse::Records(records)
            }
        }))
    }
}
