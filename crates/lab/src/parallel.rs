//! Runs independent simulations on several cores.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Maps all inputs on all cores; the results keep the order of the inputs.
pub fn map<I: Sync, O: Send + Default + Clone>(inputs: &[I], run: impl Fn(&I) -> O + Sync) -> Vec<O> {
    map_with_jobs(cores(), inputs, run)
}

/// Cores available to this process.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// Maps all inputs with at most `jobs` at a time, for runs that memory limits; the results keep the order of the
/// inputs.
pub fn map_with_jobs<I: Sync, O: Send + Default + Clone>(
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
