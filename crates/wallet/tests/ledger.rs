//! The ledger on real files: what a store contains after a restart, truncation or a full disk, and what a new writer recovers.

mod nodes;

use birchswitch_mesh::Mesh;
use birchswitch_wallet::{AdminCommand, Entry, LeadershipTerm, Record, Store};
use nodes::{empty_folders, start, top_up, Nodes, MAX_BYTES};
use std::time::Duration;
use tempfile::TempDir;

fn record(index: u64, token: u64) -> Record {
    let entry = Entry::TopUp { account: "t".into(), id: format!("{index}"), units: index };
    Record { index, token, entry }
}

#[test]
fn records_survive_a_restart_and_a_later_writer_truncates_the_log() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), MAX_BYTES).expect("a store");
    assert!(store.head().empty);
    store.promise(7).expect("stored");
    store.append(7, &[record(1, 7), record(2, 7), record(3, 7)]).expect("stored");
    drop(store);
    let mut store = Store::open(folder.path(), MAX_BYTES).expect("a store");
    assert_eq!((store.promised(), store.head().last, store.head().empty), (7, (7, 3), false));
    store.append(9, &[record(2, 9)]).expect("stored");
    assert_eq!(store.head().last, (9, 2));
    assert_eq!(store.records(1, 9).expect("read"), [record(1, 7), record(2, 9)]);
    store.install(9, (9, 2), b"state").expect("stored");
    assert_eq!((store.head().base, store.head().last), ((9, 2), (9, 2)));
    drop(store);
    let store = Store::open(folder.path(), MAX_BYTES).expect("a store");
    assert_eq!(store.snapshot().expect("read"), b"state");
    assert_eq!((store.token_at(2).expect("read"), store.records(1, 9).expect("read").len()), (Some(9), 0));
}

/// A truncated file must not pass for a shorter ledger: it opens with all records or not at all.
#[test]
fn a_truncated_file_is_an_error_or_has_all_records() {
    for cut in [1, 100, 4096, 20_000] {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = Store::open(folder.path(), MAX_BYTES).expect("a store");
        (1..40).for_each(|n| store.append(1, &[record(n, 1)]).expect("stored"));
        drop(store);
        let path = folder.path().join("ledger.redb");
        let length = std::fs::metadata(&path).expect("a file").len();
        let file = std::fs::OpenOptions::new().write(true).open(&path).expect("a file");
        file.set_len(length.saturating_sub(cut)).expect("cut");
        if let Ok(store) = Store::open(folder.path(), MAX_BYTES) {
            assert_eq!(store.head().last, (1, 39), "cut by {cut}");
            assert_eq!(store.records(1, 99).expect("read").len(), 39, "cut by {cut}");
        }
    }
}

#[test]
fn a_full_store_rejects_writes_and_loses_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), 2 << 20).expect("a store");
    let large = |n| Record {
        index: n,
        token: 1,
        entry: Entry::TopUp { account: "t".into(), id: "x".repeat(60_000), units: 1 },
    };
    let stored = (1..200).take_while(|n| store.append(1, &[large(*n)]).is_ok()).count() as u64;
    assert!(stored > 3 && stored < 190, "{stored}");
    drop(store);
    let store = Store::open(folder.path(), MAX_BYTES).expect("a store");
    assert_eq!(store.head().last, (1, stored));
}

/// Waits until no process has these ledgers open: a mesh closes its replica when its thread ends.
async fn closed(folders: &[TempDir]) {
    for folder in folders {
        let waits = async {
            while Store::open(folder.path(), MAX_BYTES).is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(30), waits).await.expect("a closed ledger");
    }
}

#[tokio::test]
async fn acknowledged_entries_survive_a_change_of_writer_and_a_restart_of_all_nodes() {
    let nodes = start(empty_folders(), None);
    nodes.elect(0, 10);
    for n in 0..30 {
        nodes.call_until_answered(0, top_up(&format!("{}", n % 20), 7)).await;
    }
    nodes.elect(1, 11);
    assert!(nodes.call_until_answered(1, AdminCommand::Show).await.contains("t 140 140 0 0 0 0 open"));
    nodes.call_until_answered(1, top_up("later", 1)).await;
    let Nodes { meshes, leaders, folders } = nodes;
    meshes.iter().for_each(Mesh::stop);
    drop((meshes, leaders));
    closed(&folders).await;
    // One node does not come back.
    let nodes = start(folders, Some(0));
    nodes.elect(2, 12);
    assert!(nodes.call_until_answered(2, AdminCommand::Show).await.contains("t 141 141 0 0 0 0 open"));
}

#[tokio::test]
async fn a_superseded_writer_and_a_minority_cannot_commit() {
    let nodes = start(empty_folders(), None);
    nodes.elect(0, 10);
    nodes.call_until_answered(0, top_up("a", 5)).await;
    // Both nodes believe that they lead: the higher token wins.
    nodes.leaders[1].set_term(Some(LeadershipTerm { token: 11 }));
    nodes.call_until_answered(1, top_up("b", 6)).await;
    assert_eq!(nodes.call(0, top_up("c", 100)).await, None);
    assert!(nodes.call_until_answered(1, AdminCommand::Show).await.contains("t 11 "));
    let alone = start(empty_folders(), Some(1));
    alone.elect(0, 10);
    // The missing third replica may have records that the others never had.
    assert_eq!(alone.call(0, AdminCommand::Show).await, None);
}

#[tokio::test]
async fn a_long_log_is_compacted_into_a_snapshot_that_others_recover_from() {
    let nodes = start(empty_folders(), None);
    nodes.elect(0, 10);
    let all = (0..2500).map(|n| nodes.call_until_answered(0, top_up(&format!("{n}"), 1)));
    let mut all: Vec<_> = all.collect();
    while !all.is_empty() {
        let some: Vec<_> = all.drain(..all.len().min(200)).collect();
        for done in some.into_iter() {
            done.await;
        }
    }
    nodes.elect(2, 11);
    assert!(nodes.call_until_answered(2, AdminCommand::Show).await.contains("t 2500 2500 0 0 0 0 open"));
    nodes.elect(1, 12);
    assert!(nodes.call_until_answered(1, top_up("last", 1)).await.contains("topped up"));
    assert!(nodes.call_until_answered(1, AdminCommand::Show).await.contains("t 2501 "));
}
