//! What the node's thread counts and its asker reads: nobody waits for anybody.

use crate::DemandAtWorth;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Of one limit.
#[derive(Debug)]
pub struct Counters {
    /// Requests that came, by their worth.
    came: Vec<(f32, AtomicU64)>,
    /// Of these, let in.
    let_in: AtomicU64,
    /// The most that were out at once since this was last read, and those that were turned away.
    peak: AtomicU32,
    turned: AtomicU64,
    out: AtomicU32,
}

impl Counters {
    /// Of a limit on requests of these worths.
    pub fn new(worths: &[f64]) -> Self {
        let mut worths: Vec<f32> = worths.iter().map(|w| *w as f32).collect();
        worths.sort_by(f32::total_cmp);
        worths.dedup();
        let came = worths.into_iter().map(|w| (w, AtomicU64::new(0))).collect();
        Counters {
            came,
            let_in: AtomicU64::default(),
            peak: AtomicU32::default(),
            turned: AtomicU64::default(),
            out: AtomicU32::default(),
        }
    }

    /// A request of this worth came, and was let in or turned away.
    pub fn record(&self, worth: f64, let_in: bool) {
        if let Some((_, came)) = self.came.iter().find(|c| c.0 == worth as f32) {
            came.fetch_add(1, Ordering::Relaxed);
        }
        let which = if let_in { &self.let_in } else { &self.turned };
        which.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn set_in_flight(&self, out: u32) {
        self.out.store(out, Ordering::Release);
        self.peak.fetch_max(out, Ordering::Relaxed);
    }

    /// Requests let in and turned away since the start, and out now.
    pub fn totals(&self) -> [u64; 3] {
        let out = u64::from(self.out.load(Ordering::Acquire));
        [self.let_in.load(Ordering::Relaxed), self.turned.load(Ordering::Relaxed), out]
    }
}

/// What of a limit is wanted, as its counts tell, over the time between two looks.
#[derive(Debug)]
pub struct DemandEstimator {
    came: Vec<u64>,
    turned: u64,
    smooth: Vec<f64>,
}

/// Requests over which demand is smoothed: one of a node that gets few must not pass for many, ...
const SMOOTH: f64 = 4.0;
/// ... and the seconds that this may come to.
const SECONDS: [f64; 2] = [0.15, 1.0];

impl DemandEstimator {
    /// Before the first look.
    pub fn new(counts: &Counters) -> Self {
        DemandEstimator { came: vec![0; counts.came.len()], turned: 0, smooth: vec![0.0; counts.came.len()] }
    }

    /// Looks so many seconds after the last time: what is wanted a second, or at once.
    pub fn update(&mut self, counts: &Counters, seconds: f64, in_flight: bool) -> Vec<DemandAtWorth> {
        let turned = counts.turned.load(Ordering::Relaxed);
        let more = turned - std::mem::replace(&mut self.turned, turned);
        let now: Vec<u64> = counts.came.iter().map(|c| c.1.load(Ordering::Relaxed)).collect();
        let came: Vec<f64> = now.iter().zip(&self.came).map(|(now, then)| (now - then) as f64).collect();
        self.came = now;
        let all: f64 = came.iter().sum();
        // In flight: what was out and what was turned away, at the worths of what came.
        let peak = counts.peak.swap(counts.out.load(Ordering::Acquire), Ordering::Relaxed);
        let factor = match (in_flight, all > 0.0) {
            (true, true) => (f64::from(peak) + more as f64) / all,
            (true, false) => 0.0,
            (false, _) => 1.0 / seconds.max(1e-3),
        };
        let wants =
            self.smooth.iter_mut().zip(&came).zip(&counts.came).map(|((smooth, came), (worth, _))| {
                let time = (SMOOTH / smooth.max(1e-9)).clamp(SECONDS[0], SECONDS[1]);
                *smooth += (came * factor - *smooth) * (1.0 - (-seconds / time).exp());
                DemandAtWorth { worth: *worth, amount: *smooth as f32 }
            });
        wants.filter(|w| w.amount > 1e-3).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn wants_follow_what_comes_within_seconds() {
        let counts = Counters::new(&[1.0, 4.0, 1.0]);
        let mut demand = DemandEstimator::new(&counts);
        (0..50).for_each(|n| counts.record(1.0, n % 2 == 0));
        (0..5).for_each(|_| counts.record(4.0, true));
        let wants = demand.update(&counts, 0.5, false);
        let amount = |wants: &[DemandAtWorth], worth| {
            wants.iter().find(|w| w.worth == worth).map_or(0.0, |w| w.amount)
        };
        let part = 1.0 - (-0.5f64 / SECONDS[1]).exp() as f32;
        assert!((amount(&wants, 1.0) - 100.0 * part).abs() < 1e-3);
        assert!((amount(&wants, 4.0) - 10.0 * part).abs() < 1e-3);
        (0..3).for_each(|_| drop(demand.update(&counts, 0.5, false)));
        assert!(amount(&demand.update(&counts, 0.5, false), 1.0) < 8.0, "nothing comes any more");
        assert_eq!(counts.totals(), [30, 25, 0]);
    }
}
