//! Straight lines through what was measured.

/// Fewer sizes than this show no slope.
const MIN_SIZES: usize = 4;

/// A line `at_zero + slope * size`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Its value at size 0.
    pub at_zero: f64,
    /// What each further unit of size costs.
    pub slope: f64,
    /// By how much the worst point is off it.
    pub worst_residual: f64,
}

impl LinearFit {
    /// Through points of size and cost; none: they are of fewer than four sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<LinearFit> {
        let mut sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        if sizes.len() < MIN_SIZES {
            return None;
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_cost = points.iter().map(|p| p.1).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
        let covariance: f64 = points.iter().map(|p| (p.0 - mean_size) * (p.1 - mean_cost)).sum();
        let slope = covariance / variance;
        let at_zero = mean_cost - slope * mean_size;
        let residuals = points.iter().map(|p| (p.1 - (at_zero + slope * p.0)).abs());
        Some(LinearFit { at_zero, slope, worst_residual: residuals.fold(0.0, f64::max) })
    }

    /// Its value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.at_zero + self.slope * size
    }
}

#[cfg(test)]
mod tests;
