//! Runs that have nothing to do with each other, on several cores.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Runs all of them on all cores; results in their order.
pub fn all<I: Sync, O: Send + Default + Clone>(inputs: &[I], run: impl Fn(&I) -> O + Sync) -> Vec<O> {
    at_a_time(cores(), inputs, run)
}

/// Cores that this process may use.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// Runs so many at a time, for those whose memory is the bound; results in their order.
pub fn at_a_time<I: Sync, O: Send + Default + Clone>(
    jobs: usize,
    inputs: &[I],
    run: impl Fn(&I) -> O + Sync,
) -> Vec<O> {
    let (next, done) = (AtomicUsize::new(0), Mutex::new(vec![O::default(); inputs.len()]));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let k = next.fetch_add(1, Ordering::Relaxed);
                let Some(input) = inputs.get(k) else { return };
                let out = run(input);
                if let Ok(mut done) = done.lock() {
                    done[k] = out;
                }
            });
        }
    });
    done.into_inner().unwrap_or_default()
}
