//! The ledger on real disks: what a store holds after it was closed, cut short or filled, and what a writer takes up.

mod nodes;

use birchswitch_mesh::Mesh;
use birchswitch_wallet::{AdminCommand, Entry, LeadershipTerm, Record, Store};
use nodes::{fresh, start, top_up, Nodes, MOST};
use std::time::Duration;
use tempfile::TempDir;

fn record(index: u64, token: u64) -> Record {
    let entry = Entry::TopUp { account: "t".into(), id: format!("{index}"), units: index };
    Record { index, token, entry }
}

#[test]
fn what_was_stored_is_there_after_a_restart_and_a_later_writer_cuts_what_it_does_not_know() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), MOST).expect("a store");
    assert!(store.head().empty);
    store.promise(7).expect("stored");
    store.append(7, &[record(1, 7), record(2, 7), record(3, 7)]).expect("stored");
    drop(store);
    let mut store = Store::open(folder.path(), MOST).expect("a store");
    assert_eq!((store.promised(), store.head().last, store.head().empty), (7, (7, 3), false));
    store.append(9, &[record(2, 9)]).expect("stored");
    assert_eq!(store.head().last, (9, 2));
    assert_eq!(store.records(1, 9).expect("read"), [record(1, 7), record(2, 9)]);
    store.install(9, (9, 2), b"state").expect("stored");
    assert_eq!((store.head().base, store.head().last), ((9, 2), (9, 2)));
    drop(store);
    let store = Store::open(folder.path(), MOST).expect("a store");
    assert_eq!(store.snapshot().expect("read"), b"state");
    assert_eq!((store.token_at(2).expect("read"), store.records(1, 9).expect("read").len()), (Some(9), 0));
}

/// A file that was cut short is no ledger that holds less: it is read whole or not at all.
#[test]
fn a_file_that_was_cut_short_is_an_error_or_holds_all() {
    for cut in [1, 100, 4096, 20_000] {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = Store::open(folder.path(), MOST).expect("a store");
        (1..40).for_each(|n| store.append(1, &[record(n, 1)]).expect("stored"));
        drop(store);
        let path = folder.path().join("ledger.redb");
        let length = std::fs::metadata(&path).expect("a file").len();
        let file = std::fs::OpenOptions::new().write(true).open(&path).expect("a file");
        file.set_len(length.saturating_sub(cut)).expect("cut");
        if let Ok(store) = Store::open(folder.path(), MOST) {
            assert_eq!(store.head().last, (1, 39), "cut by {cut}");
            assert_eq!(store.records(1, 99).expect("read").len(), 39, "cut by {cut}");
        }
    }
}

#[test]
fn a_full_folder_is_told_and_nothing_is_lost() {
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
    let store = Store::open(folder.path(), MOST).expect("a store");
    assert_eq!(store.head().last, (1, stored));
}

/// Waits until nobody has these ledgers open any more: what a mesh served goes with its thread.
async fn closed(folders: &[TempDir]) {
    for folder in folders {
        let waits = async {
            while Store::open(folder.path(), MOST).is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(30), waits).await.expect("a ledger that was let go");
    }
}

#[tokio::test]
async fn what_was_said_is_there_for_the_next_writer_and_after_all_have_started_anew() {
    let nodes = start(fresh(), None);
    nodes.elect(0, 10);
    for n in 0..30 {
        nodes.calls(0, top_up(&format!("{}", n % 20), 7)).await;
    }
    nodes.elect(1, 11);
    assert!(nodes.calls(1, AdminCommand::Show).await.contains("t 140 140 0 0 0 0 open"));
    nodes.calls(1, top_up("later", 1)).await;
    let Nodes { meshes, leaders, folders } = nodes;
    meshes.iter().for_each(Mesh::stop);
    drop((meshes, leaders));
    closed(&folders).await;
    // One does not come back.
    let nodes = start(folders, Some(0));
    nodes.elect(2, 12);
    assert!(nodes.calls(2, AdminCommand::Show).await.contains("t 141 141 0 0 0 0 open"));
}

#[tokio::test]
async fn an_earlier_writer_writes_nothing_more_and_a_minority_nothing_at_all() {
    let nodes = start(fresh(), None);
    nodes.elect(0, 10);
    nodes.calls(0, top_up("a", 5)).await;
    // Both believe that it is theirs: the later number counts.
    nodes.leaders[1].set_term(Some(LeadershipTerm { token: 11 }));
    nodes.calls(1, top_up("b", 6)).await;
    assert_eq!(nodes.call(0, top_up("c", 100)).await, None);
    assert!(nodes.calls(1, AdminCommand::Show).await.contains("t 11 "));
    let alone = start(fresh(), Some(1));
    alone.elect(0, 10);
    // The third may hold what the others never had.
    assert_eq!(alone.call(0, AdminCommand::Show).await, None);
}

#[tokio::test]
async fn a_long_log_becomes_a_snapshot_that_others_take_up() {
    let nodes = start(fresh(), None);
    nodes.elect(0, 10);
    let all = (0..2500).map(|n| nodes.calls(0, top_up(&format!("{n}"), 1)));
    let mut all: Vec<_> = all.collect();
    while !all.is_empty() {
        let some: Vec<_> = all.drain(..all.len().min(200)).collect();
        for done in some.into_iter() {
            done.await;
        }
    }
    nodes.elect(2, 11);
    assert!(nodes.calls(2, AdminCommand::Show).await.contains("t 2500 2500 0 0 0 0 open"));
    nodes.elect(1, 12);
    assert!(nodes.calls(1, top_up("last", 1)).await.contains("topped up"));
    assert!(nodes.calls(1, AdminCommand::Show).await.contains("t 2501 "));
}
