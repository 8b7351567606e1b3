//! Distributions of a worth from 0 to 1, on a grid, and the expected best of several.

/// Steps of worth that are told apart.
const GRID: usize = 32;

/// The chance of at most each step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prospect([f64; GRID]);

impl Prospect {
    /// Of worths with their chances, which sum up to 1.
    pub(crate) fn new(chances: impl Iterator<Item = (f64, f64)>) -> Self {
        let mut below = [0.0; GRID];
        chances.for_each(|(worth, chance)| below[step(worth).min(GRID - 1)] += chance);
        (1..GRID).for_each(|k| below[k] += below[k - 1]);
        Prospect(below)
    }

    /// Of the best of none.
    pub(crate) fn none() -> Self {
        Prospect([1.0; GRID])
    }

    /// Of the best of two that know nothing of each other.
    pub(crate) fn or(&self, other: &Prospect) -> Self {
        Prospect(std::array::from_fn(|k| self.0[k] * other.0[k]))
    }

    /// The expected better of this and of what is sure.
    pub(crate) fn expected(&self, sure: f64) -> f64 {
        let sure = step(sure);
        let above = |(k, below): (usize, &f64)| if k < sure { 1.0 } else { 1.0 - below };
        self.0.iter().enumerate().map(above).sum::<f64>() / GRID as f64
    }
}

fn step(worth: f64) -> usize {
    (worth * GRID as f64) as usize
}

#[cfg(test)]
#[path = "../tests/distribution.rs"]
mod tests;
