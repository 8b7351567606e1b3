//! A baseline: every member tells every other that it lives, once a second, and is dead to whoever heard nothing for so long.

use crate::rng::Rng;

/// Seconds without a beat until a member is given up: what a pause of 2 s and one lost beat want.
const PATIENCE: u32 = 4;

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Beats {
    /// Members given up, by anyone, that lived.
    pub false_verdicts: u64,
    /// Datagrams a second that a member sends.
    pub datagrams: f64,
    /// Seconds from a death until each of the others knew, of ten deaths.
    pub each: Vec<f64>,
}

/// Plays so many seconds of a fleet in which so large a part of the datagrams is lost and so large a part of members is
/// stopped for 0.4 s of each second, which delays beats and loses none.
pub fn play(size: usize, seconds: u32, loss: f64, seed: u64) -> Beats {
    let mut chance = Rng::new(seed, 72);
    let mut beats = Beats { datagrams: (size - 1) as f64, ..Beats::default() };
    // Pairs know nothing of each other: one after the other, so that no table of all of them is needed.
    for _ in 0..size * (size - 1) {
        let mut missed = 0;
        for _ in 0..seconds {
            missed = if chance.unit() < loss { missed + 1 } else { 0 };
            if missed == PATIENCE {
                beats.false_verdicts += 1;
            }
        }
    }
    // Who died between two beats is missed from the last that came through on.
    for _ in 0..10 {
        let died = chance.unit();
        for _ in 1..size {
            let lost = (0..PATIENCE).take_while(|_| chance.unit() < loss).count();
            beats.each.push(f64::from(PATIENCE) - died - lost as f64);
        }
    }
    beats
}
