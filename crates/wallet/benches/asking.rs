//! What a request pays for its debit: from a part that its node holds, and where the ledger is asked each time.

#[path = "../tests/nodes/mod.rs"]
mod nodes;

use birchswitch_mesh::Time;
use birchswitch_wallet::{AccountGrant, AccountTerms, LocalAllotments, Prices, RenewalResponse};
use criterion::{criterion_group, criterion_main, Criterion};
use nodes::{fresh, start, top_up};
use std::time::Duration;

/// Allotments with units enough for all of a bench.
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
    // Without a part, but it is asked for.
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
                held.reserve(Time::from_secs(2), (0, 0), None, None).expect("room").expect("it costs");
            held.settle(reservation, true);
        })
    });
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let nodes = start(fresh(), None);
    nodes.elect(0, 10);
    runtime.block_on(nodes.calls(0, top_up("first", 1)));
    let mut count = 0;
    c.bench_function("the ledger asked: a majority of three on disk", |b| {
        b.iter(|| {
            count += 1;
            runtime.block_on(nodes.calls(0, top_up(&format!("{count}"), 1)))
        })
    });
    // The ledgers' files lie there until here.
    drop(nodes.folders);
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = asking
}
criterion_main!(benches);
