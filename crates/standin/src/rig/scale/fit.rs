//! Linear fits of measured costs.

/// Fewer distinct sizes than this give no reliable slope.
const MIN_SIZES: usize = 4;

/// A line `at_zero + slope * size`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Cost at size 0.
    pub at_zero: f64,
    /// Cost of each further unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line.
    pub worst_residual: f64,
}

impl LinearFit {
    /// Fits points of size and cost. None for fewer than four distinct sizes.
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

    /// Cost at a size, by the fit.
    pub fn at(&self, size: f64) -> f64 {
        self.at_zero + self.slope * size
    }
}

#[cfg(test)]
mod tests;
