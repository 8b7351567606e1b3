//! Discretized distributions of a value from 0 to 1, and the expected maximum of several.

/// Number of grid steps.
const GRID: usize = 32;

/// Cumulative probabilities at the grid steps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorthDistribution([f64; GRID]);

impl WorthDistribution {
    /// From pairs of value and probability. The probabilities must add up to 1.
    pub(crate) fn new(chances: impl Iterator<Item = (f64, f64)>) -> Self {
        let mut below = [0.0; GRID];
        chances.for_each(|(worth, chance)| below[step(worth).min(GRID - 1)] += chance);
        (1..GRID).for_each(|k| below[k] += below[k - 1]);
        WorthDistribution(below)
    }

    /// The maximum of an empty set.
    pub(crate) fn none() -> Self {
        WorthDistribution([1.0; GRID])
    }

    /// The maximum of two independent values.
    pub(crate) fn max(&self, other: &WorthDistribution) -> Self {
        WorthDistribution(std::array::from_fn(|k| self.0[k] * other.0[k]))
    }

    /// The expected maximum of this value and a known one.
    pub(crate) fn expected(&self, certain: f64) -> f64 {
        let certain = step(certain);
        let above = |(k, below): (usize, &f64)| if k < certain { 1.0 } else { 1.0 - below };
        self.0.iter().enumerate().map(above).sum::<f64>() / GRID as f64
    }
}

fn step(worth: f64) -> usize {
    (worth * GRID as f64) as usize
}

#[cfg(test)]
#[path = "../tests/distribution.rs"]
mod tests;
