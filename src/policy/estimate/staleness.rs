//! How long a load report stays valid: with a probability that decays exponentially with its age (model:
//! `docs/design/decisions.md`). The time constant and the load distribution are estimated from pairs of
//! successive reports of the same server.

/// Number of load levels; the last one includes everything above.
pub(crate) const LEVELS: usize = 12;
/// Weight of one report in the load distribution.
const STEP: f64 = 1.0 / 64.0;
/// Step size for the logarithm of the time constant.
const MEMORY_STEP: f64 = 0.05;
/// Bounds of the time constant in seconds.
const MEMORY: [f64; 2] = [0.02, 10.0];

/// Distribution of the requests in a server, and the time constant with which a report loses validity.
pub(crate) struct LoadHistory {
    /// Probability of each number of requests in a server of which nothing is known.
    held: [f64; LEVELS],
    mean: f64,
    variance: f64,
    /// Time constant in seconds.
    memory: f64,
}

impl LoadHistory {
    /// Initially a server is idle with probability 1/2 and reports have the time constant `memory`, in
    /// seconds.
    pub(crate) fn new(memory: f64) -> Self {
        let mut held = [0.0; LEVELS];
        held.iter_mut().enumerate().for_each(|(k, p)| *p = 0.5f64.powi(k as i32 + 1));
        held[LEVELS - 1] *= 2.0;
        LoadHistory { held, mean: 1.0, variance: 2.0, memory: memory.clamp(MEMORY[0], MEMORY[1]) }
    }

    /// The chance that a report of this age in seconds is still valid.
    pub(crate) fn validity(&self, age: f64) -> f64 {
        (-age / self.memory).exp()
    }

    /// Probability of each number of requests in a server of which nothing is known.
    pub(crate) fn usual(&self) -> &[f64; LEVELS] {
        &self.held
    }

    /// Takes a report of `held` requests; `before` is the previous number and the seconds since that was
    /// reported.
    pub(crate) fn observe(&mut self, held: f64, before: Option<(f64, f64)>) {
        let validity = before.map_or(0.0, |(_, age)| self.validity(age));
        // Which server is probed depends on what was known of it. The load is independent of that only if it
        // was drawn anew.
        let step = STEP * (1.0 - validity);
        self.held.iter_mut().for_each(|p| *p *= 1.0 - step);
        self.held[(held.round() as usize).min(LEVELS - 1)] += step;
        self.mean += (held - self.mean) * step;
        self.variance += ((held - self.mean).powi(2) - self.variance) * step;
        if let Some((old, age)) = before {
            // Squared error of E[held] = mean + validity · (old − mean), and its slope in the logarithm of
            // the time constant.
            let (off, error) = (old - self.mean, held - self.mean - validity * (old - self.mean));
            let slope = validity * age / self.memory * off * error / self.variance.max(0.1);
            self.memory *= (MEMORY_STEP * slope.clamp(-1.0, 1.0)).exp();
            self.memory = self.memory.clamp(MEMORY[0], MEMORY[1]);
        }
    }
}

#[cfg(test)]
#[path = "../tests/staleness.rs"]
mod tests;
