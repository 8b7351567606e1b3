//! The cost of a limiter's check, where two of four limits count the request: admitted, rejected, and counted by none.

use birchswitch_mesh::Clock;
use birchswitch_quota::{
    Allocation, GrantUpdate, Limit, Limiter, Measure, QuotaTiming, Safeguards, Scope, WhenCut,
};
use criterion::{criterion_group, criterion_main, Criterion};
use std::time::Duration;
use tokio::sync::oneshot;

fn limiter(c: &mut Criterion) {
    let timing = QuotaTiming {
        renew: Duration::from_millis(400),
        ttl: Duration::from_secs(3600),
        transit: Duration::from_millis(50),
        longest_request: Duration::from_secs(2),
        drift: 50,
        safeguards: Safeguards::ALL,
    };
    let limit = |n: u64, tenant, class, measure| Limit {
        name: format!("{n}"),
        scope: Scope { tenant, class },
        measure,
        when_cut: WhenCut::Strict,
        id: n,
    };
    let rate = Measure::Rate { per_s: 1e9, burst: 1e9 };
    let limits = [
        limit(0, Some(0), None, rate),
        limit(1, Some(1), None, rate),
        limit(2, None, Some(1), Measure::InFlight { most: 1_000_000 }),
        limit(3, Some(7), None, rate),
    ];
    let clock = Clock::new(1000, 50);
    let limiter = Limiter::new(&limits, timing, &[1.0, 2.0], clock);
    let (applied, _when_applied) = oneshot::channel();
    let expires = clock.now() + timing.ttl;
    let grants = (0..3).map(|n| (n, Allocation { rate: 1e9, capacity: 1e6 }, expires)).collect();
    limiter.apply_grants(GrantUpdate { grants, applied });
    c.bench_function("let in by two limits", |b| b.iter(|| limiter.admit(0, 1)));
    c.bench_function("turned away", |b| b.iter(|| limiter.admit(7, 0)));
    c.bench_function("counts for none", |b| b.iter(|| limiter.admit(9, 0)));
}

criterion_group!(benches, limiter);
criterion_main!(benches);
