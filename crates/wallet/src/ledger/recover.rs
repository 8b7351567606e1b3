//! Recovery at the start of a writer's term: a majority promises the token, and the most up-to-date log among them is read.

use super::store::Head;
use super::{Record, ReplicaRequest, ReplicaResponse, LEDGER_LANE};
use crate::account::LedgerState;
use birchswitch_cluster::MemberId;
use birchswitch_mesh::Mesh;
use bytes::Bytes;
use std::time::Duration;

/// Timeout of a request to a replica.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why a writer could not begin, or has to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum WriterError {
    #[error("no majority of the ledger's nodes answers")]
    NoMajority,
    #[error("a later writer has begun")]
    Superseded,
    #[error("what the ledger holds makes no sense")]
    Corrupt,
    #[error("some of the ledger's nodes have lost what they held, and all of them are needed")]
    DataLoss,
}

/// The recovered log and the state that results from it.
pub(crate) struct Recovered {
    pub state: LedgerState,
    /// Index and token of the last record that the snapshot covers.
    pub base: (u64, u64),
    pub snapshot: Vec<u8>,
    pub records: Vec<Record>,
}

pub(crate) async fn send(mesh: &Mesh, to: MemberId, request: &ReplicaRequest) -> Option<ReplicaResponse> {
    let bytes: Bytes = postcard::to_stdvec(request).ok()?.into();
    let answer = mesh.request(to, LEDGER_LANE, bytes, RESPONSE_TIMEOUT).await.ok()?;
    postcard::from_bytes(&answer).ok()
}

/// The replica with the most up-to-date log among those that promised. `None`: all replicas are empty. An empty replica may have lost
/// its data, and so counts only if all replicas are empty.
pub(crate) fn most_up_to_date(
    heads: &[(MemberId, Head)],
    all: usize,
) -> Result<Option<(MemberId, Head)>, WriterError> {
    let non_empty: Vec<_> = heads.iter().filter(|h| !h.1.empty).collect();
    if non_empty.is_empty() {
        return if heads.len() == all { Ok(None) } else { Err(WriterError::NoMajority) };
    }
    match (non_empty.len() > all / 2, heads.len() > all / 2) {
        (true, _) => Ok(non_empty.into_iter().max_by_key(|h| h.1.last).copied()),
        (false, true) => Err(WriterError::DataLoss),
        (false, false) => Err(WriterError::NoMajority),
    }
}

/// Recovers the ledger under a token.
pub(crate) async fn recover(mesh: &Mesh, nodes: &[MemberId], token: u64) -> Result<Recovered, WriterError> {
    let pending = nodes.iter().map(|node| {
        let (mesh, node) = (mesh.clone(), *node);
        tokio::spawn(async move { (node, send(&mesh, node, &ReplicaRequest::Promise { token }).await) })
    });
    let pending: Vec<_> = pending.collect();
    let mut heads = Vec::new();
    for answer in pending {
        match answer.await {
            Ok((node, Some(ReplicaResponse::Promised(head)))) => heads.push((node, head)),
            Ok((_, Some(ReplicaResponse::StaleToken { .. }))) => return Err(WriterError::Superseded),
            _ => {}
        }
    }
    let empty =
        Recovered { state: LedgerState::default(), base: (0, 0), snapshot: Vec::new(), records: Vec::new() };
    let Some((from, head)) = most_up_to_date(&heads, nodes.len())? else { return Ok(empty) };
    let mut recovered = empty;
    if head.base.1 > 0 {
        recovered.snapshot = snapshot(mesh, from, token).await?;
        recovered.state =
            LedgerState::from_snapshot(&recovered.snapshot).map_err(|_| WriterError::Corrupt)?;
    }
    let mut next = head.base.1 + 1;
    while next <= head.last.1 {
        let records = match send(mesh, from, &ReplicaRequest::ReadRecords { token, from: next }).await {
            Some(ReplicaResponse::Records(records)) => records,
            Some(ReplicaResponse::StaleToken { .. }) => return Err(WriterError::Superseded),
            _ => return Err(WriterError::NoMajority),
        };
        for record in records {
            if record.index != next {
                return Err(WriterError::Corrupt);
            }
            recovered.state.apply(&record.entry);
            next += 1;
            recovered.records.push(record);
        }
    }
    recovered.base = (head.base.1, head.base.0);
    Ok(recovered)
}

async fn snapshot(mesh: &Mesh, from: MemberId, token: u64) -> Result<Vec<u8>, WriterError> {
    let mut all = Vec::new();
    loop {
        match send(mesh, from, &ReplicaRequest::ReadSnapshot { token, offset: all.len() as u64 }).await {
            Some(ReplicaResponse::SnapshotChunk { total, bytes }) => {
                if bytes.is_empty() && (all.len() as u64) < total {
                    return Err(WriterError::Corrupt);
                }
                all.extend_from_slice(&bytes);
                if all.len() as u64 >= total {
                    return Ok(all);
                }
            }
            Some(ReplicaResponse::StaleToken { .. }) => return Err(WriterError::Superseded),
            _ => return Err(WriterError::NoMajority),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head(token: u64, index: u64) -> Head {
        Head { last: (token, index), base: (0, 0), empty: index == 0 }
    }

    #[test]
    fn the_most_up_to_date_log_wins_and_an_empty_replica_does_not_count() {
        let id = MemberId;
        let all = [(id(1), head(3, 9)), (id(2), head(4, 7)), (id(3), head(3, 12))];
        assert_eq!(
            most_up_to_date(&all, 3),
            Ok(Some(all[1])),
            "a higher token takes precedence over a higher index"
        );
        assert_eq!(most_up_to_date(&all[..1], 3), Err(WriterError::NoMajority));
        let forgot = [(id(1), head(3, 9)), (id(2), head(0, 0))];
        assert_eq!(most_up_to_date(&forgot, 3), Err(WriterError::DataLoss));
        let fresh = [(id(1), head(0, 0)), (id(2), head(0, 0)), (id(3), head(0, 0))];
        assert_eq!(most_up_to_date(&fresh, 3), Ok(None));
        assert_eq!(
            most_up_to_date(&fresh[..2], 3),
            Err(WriterError::NoMajority),
            "the third replica may have records"
        );
        let one_new = [all[0], all[1], (id(3), head(0, 0))];
        assert_eq!(most_up_to_date(&one_new, 3), Ok(Some(all[1])));
    }
}
