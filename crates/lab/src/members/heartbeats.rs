//! A baseline for membership: every member sends a heartbeat to every other member once a second, and a member that
//! misses several in a row is considered dead.

use crate::rng::Rng;

/// Missed heartbeats after which a member is considered dead; tolerates a pause of 2 s and one lost heartbeat.
const MISSED_LIMIT: u32 = 4;

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatStats {
    /// Live members considered dead, summed over all members.
    pub false_verdicts: u64,
    /// Datagrams per second sent by each member.
    pub datagrams: f64,
    /// Seconds from a death until each other member detected it, over ten deaths.
    pub each: Vec<f64>,
}

/// Simulates `seconds` with a fraction `loss` of the datagrams lost. Members that are stopped for 0.4 s of each second
/// need no simulation: that delays heartbeats and loses none.
pub fn simulate(size: usize, seconds: u32, loss: f64, seed: u64) -> HeartbeatStats {
    let mut rng = Rng::new(seed, 72);
    let mut stats = HeartbeatStats { datagrams: (size - 1) as f64, ..HeartbeatStats::default() };
    // Pairs are independent; simulating them one by one avoids a table of all pairs.
    for _ in 0..size * (size - 1) {
        let mut missed = 0;
        for _ in 0..seconds {
            missed = if rng.unit() < loss { missed + 1 } else { 0 };
            if missed == MISSED_LIMIT {
                stats.false_verdicts += 1;
            }
        }
    }
    // The timeout runs from the last heartbeat that arrived, so a death between two heartbeats counts from there.
    for _ in 0..10 {
        let died = rng.unit();
        for _ in 1..size {
            let lost = (0..MISSED_LIMIT).take_while(|_| rng.unit() < loss).count();
            stats.each.push(f64::from(MISSED_LIMIT) - died - lost as f64);
        }
    }
    stats
}
