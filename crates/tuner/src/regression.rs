//! Whether the tail is worse than without the weights: then all of them are taken back.

use birchswitch_verdict::wilson::interval;

/// Standard deviations by which it has to be.
const Z: f64 = 3.0;
/// What a look without weights still counts for after the next, and one with them.
const KEPT: [f64; 2] = [0.9, 0.75];

/// What a look comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardResult {
    /// Not worse, as far as can be told.
    Acceptable,
    /// Surely worse: back to no weights.
    Regressed,
}

/// What was seen without weights, and since.
#[derive(Clone, Debug, Default)]
pub struct RegressionGuard {
    /// Requests, and those over the threshold, without weights.
    without: (f64, f64),
    /// The same of the last looks with weights.
    with: (f64, f64),
}

impl RegressionGuard {
    /// A look while no weights held.
    pub fn without(&mut self, tries: f64, over: f64) {
        self.without = (self.without.0 * KEPT[0] + tries, self.without.1 * KEPT[0] + over);
        self.with = (0.0, 0.0);
    }

    /// A look while weights held.
    pub fn with(&mut self, tries: f64, over: f64) -> GuardResult {
        self.with = (self.with.0 * KEPT[1] + tries, self.with.1 * KEPT[1] + over);
        let (surely, _) = interval(self.with.1, self.with.0, Z);
        let (_, usual) = interval(self.without.1, self.without.0, Z);
        if self.without.0 > 0.0 && surely > usual {
            GuardResult::Regressed
        } else {
            GuardResult::Acceptable
        }
    }

    /// The part over the threshold without weights, and with.
    pub fn slow_fractions(&self) -> [f64; 2] {
        [self.without, self.with].map(|(tries, over)| if tries > 0.0 { over / tries } else { 0.0 })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_worse_beyond_noise_is_found_at_once_and_noise_is_not() {
        let mut guard = RegressionGuard::default();
        (0..5).for_each(|_| guard.without(1000.0, 10.0));
        for over in [8.0, 14.0, 11.0, 16.0, 9.0] {
            assert_eq!(guard.with(1000.0, over), GuardResult::Acceptable, "{over}");
        }
        assert_eq!(guard.with(1000.0, 60.0), GuardResult::Regressed);
    }
}
