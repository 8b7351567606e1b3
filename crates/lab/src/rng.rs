//! Seeded random numbers: the same seed gives the same arrivals, work and choices.

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct Rng(Xoshiro256PlusPlus);

impl Rng {
    /// One of many independent streams of a seed.
    pub fn new(seed: u64, stream: u64) -> Self {
        Rng(Xoshiro256PlusPlus::seed_from_u64(seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// Uniform in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Exponential with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Lognormal with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        let variance = (1.0 + cv * cv).ln();
        // A standard normal value by the Box-Muller transform.
        let (radius, angle) = (self.exponential(2.0).sqrt(), std::f64::consts::TAU * self.unit());
        mean * (variance.sqrt() * radius * angle.cos() - variance / 2.0).exp()
    }

    /// Uniform in `0..n`; 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }
}
