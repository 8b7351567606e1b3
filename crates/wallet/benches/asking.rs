//! The cost of a debit: from an allotment that the node holds, and with a commit to the ledger each time.

#[path = "../tests/nodes/mod.rs"]
mod nodes;

use birchswitch_mesh::Time;
use birchswitch_wallet::{AccountGrant, AccountTerms, LocalAllotments, Prices, RenewalResponse};
use criterion::{criterion_group, criterion_main, Criterion};
use nodes::{empty_folders, start, top_up};
use std::time::Duration;

/// Allotments with enough units for the whole benchmark.
fn allotments() -> LocalAllotments {
    let prices = Prices { classes: vec![1], per_ms: 0 };
    let terms = AccountTerms {
        account: "t".into(),
        prices,
        overdraft: 0,
        low: 1,
        resume: 1,
        ahead: Duration::from_secs(2),
    };
    let lives = Duration::from_secs(3600);
    let mut local = LocalAllotments::new(&[terms], &["t".to_owned()], &[lives], lives);
    let now = Time::from_secs(1);
    // There is no allotment yet; the rejected request creates the demand.
    assert!(local.reserve(now, (0, 0), None, None).is_err());
    let request = local.prepare_renewal(now).expect("a renewal");
    let units = u64::MAX / 4;
    let account = AccountGrant {
        account: "t".into(),
        allotment: Some((1, units)),
        keep: units,
        paused: false,
        frozen: false,
    };
    local.apply(
        now,
        &request,
        &RenewalResponse { token: 1, report: request.report.number, accounts: vec![account] },
    );
    local
}

fn asking(c: &mut Criterion) {
    let mut held = allotments();
    c.bench_function("from a part that is held", |b| {
        b.iter(|| {
            let reservation =
                held.reserve(Time::from_secs(2), (0, 0), None, None).expect("units").expect("a price");
            held.settle(reservation, true);
        })
    });
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let nodes = start(empty_folders(), None);
    nodes.elect(0, 10);
    runtime.block_on(nodes.call_until_answered(0, top_up("first", 1)));
    let mut count = 0;
    c.bench_function("the ledger asked: a majority of three on disk", |b| {
        b.iter(|| {
            count += 1;
            runtime.block_on(nodes.call_until_answered(0, top_up(&format!("{count}"), 1)))
        })
    });
    // The ledgers' folders are kept until the benchmark has ended.
    drop(nodes.folders);
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = asking
}
criterion_main!(benches);
