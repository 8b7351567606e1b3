//! What news of a server's load is still worth, some time after it came: it stands with a chance that falls
//! off exponentially with its age (`docs/design/decisions.md` has the model). The memory, and what servers
//! hold, are learnt from pairs of news of one server.

/// Numbers of requests held that are told apart; the last stands for all above it too.
pub(crate) const LEVELS: usize = 12;
const STEP: f64 = 1.0 / 64.0; // weight of one piece of news in what servers hold
const MEMORY_STEP: f64 = 0.05; // the same for the logarithm of the memory
const MEMORY: [f64; 2] = [0.02, 10.0]; // seconds that it may be, at least and at most

/// What servers hold, and for how long.
pub(crate) struct Loads {
    /// The chance of each number of requests held, at a server of which nothing is known.
    held: [f64; LEVELS],
    mean: f64,
    variance: f64,
    /// Seconds.
    memory: f64,
}

impl Loads {
    /// Before any news: idle as often as not, and news stands for `memory` seconds.
    pub(crate) fn new(memory: f64) -> Self {
        let mut held = [0.0; LEVELS];
        held.iter_mut().enumerate().for_each(|(k, p)| *p = 0.5f64.powi(k as i32 + 1));
        held[LEVELS - 1] *= 2.0;
        Loads { held, mean: 1.0, variance: 2.0, memory: memory.clamp(MEMORY[0], MEMORY[1]) }
    }

    /// The chance that what was heard so many seconds ago still stands.
    pub(crate) fn stands(&self, age: f64) -> f64 {
        (-age / self.memory).exp()
    }

    /// The chance of each number of requests held at a server of which nothing is known.
    pub(crate) fn usual(&self) -> &[f64; LEVELS] {
        &self.held
    }

    /// A server holds so many; before it held `before.0`, heard `before.1` seconds earlier.
    pub(crate) fn heard(&mut self, held: f64, before: Option<(f64, f64)>) {
        let stood = before.map_or(0.0, |(_, age)| self.stands(age));
        // Which server is asked depends on what was known of it; what it held once drawn anew does not.
        let step = STEP * (1.0 - stood);
        self.held.iter_mut().for_each(|p| *p *= 1.0 - step);
        self.held[(held.round() as usize).min(LEVELS - 1)] += step;
        self.mean += (held - self.mean) * step;
        self.variance += ((held - self.mean).powi(2) - self.variance) * step;
        if let Some((old, age)) = before {
            // The squared error of E[held] = mean + stands (old - mean), its slope by the memory's logarithm.
            let (off, error) = (old - self.mean, held - self.mean - stood * (old - self.mean));
            let slope = stood * age / self.memory * off * error / self.variance.max(0.1);
            self.memory *= (MEMORY_STEP * slope.clamp(-1.0, 1.0)).exp();
            self.memory = self.memory.clamp(MEMORY[0], MEMORY[1]);
        }
    }
}

#[cfg(test)]
#[path = "../tests/staleness.rs"]
mod tests;
