//! Measures the cost and the accuracy of membership.

use super::{name, Fleet, Network};
use crate::rng::Rng;
use birchswitch_cluster::ring::RingPosition;
use birchswitch_cluster::{Change, MemberId, Settings, Standing, State};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// The settings under measurement.
pub fn settings(without_safeguards: bool) -> Settings {
    Settings { without_safeguards, ..Settings::new("lab", Vec::new()) }
}

fn lossy(loss: f64) -> Network {
    Network { loss, ..Network::default() }
}

fn died(change: &Change) -> bool {
    matches!(change, Change::Died { .. })
}

/// Detection times in seconds since the kill.
#[derive(Clone, Debug, Default)]
pub struct Detection {
    /// Until the first verdict, for each kill.
    pub first: Vec<f64>,
    /// Until each other member knew, over all kills.
    pub each: Vec<f64>,
    /// Until the last member knew, for each kill.
    pub last: Vec<f64>,
    /// Live members declared dead meanwhile.
    pub false_verdicts: usize,
}

/// Kills members one after the other at random times and restarts each.
pub fn detection(size: usize, kills: usize, loss: f64, without_safeguards: bool, seed: u64) -> Detection {
    let mut fleet = Fleet::converged_fleet(size, settings(without_safeguards), seed);
    fleet.network = lossy(loss);
    fleet.filter = died;
    let mut rng = Rng::new(seed, 73);
    let mut detection = Detection::default();
    fleet.run(5 * SECOND);
    for _ in 0..kills {
        fleet.run(SECOND.mul_f64(rng.unit()));
        let killed_process = rng.below(size);
        let id = MemberId::of(&name(killed_process));
        let killed = fleet.now;
        fleet.observed.clear();
        fleet.kill(killed_process);
        fleet.run_for(60 * SECOND, |f| f.observed.iter().filter(|n| of(&n.change, id)).count() + 1 >= size);
        let times: Vec<f64> = fleet
            .observed
            .iter()
            .filter(|n| of(&n.change, id))
            .map(|n| (n.at - killed).as_secs_f64())
            .collect();
        detection.false_verdicts += fleet.verdicts().filter(|(_, m)| *m != id).count();
        // If a member never learned of it, the last time is the end of the wait.
        let last = if times.len() + 1 >= size { times.iter().copied().fold(0.0, f64::max) } else { 60.0 };
        detection.first.push(times.iter().copied().fold(60.0, f64::min));
        detection.last.push(last);
        detection.each.extend(times);
        fleet.start(killed_process);
        fleet.run_for(60 * SECOND, |f| {
            f.running()
                .iter()
                .all(|n| *n == killed_process || f.holds(*n, killed_process) == Some(State::Alive))
        });
    }
    detection
}

fn of(change: &Change, id: MemberId) -> bool {
    matches!(change, Change::Died { member, .. } if *member == id)
}

/// Cost and false verdicts of a fleet in which no member dies.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleCost {
    /// Simulated hours.
    pub hours: f64,
    /// Verdicts, all of them false.
    pub false_verdicts: usize,
    /// Datagrams per second sent by each member.
    pub datagrams: f64,
    /// Bytes per second sent by each member.
    pub bytes: f64,
}

/// Runs `seconds` without deaths; a fraction of the members is stopped for 0.4 s of each second.
pub fn idle_cost(
    size: usize,
    seconds: u64,
    loss: f64,
    stuttering: f64,
    without_safeguards: bool,
    seed: u64,
) -> IdleCost {
    let mut fleet = Fleet::converged_fleet(size, settings(without_safeguards), seed);
    fleet.network = lossy(loss);
    fleet.filter = |c| matches!(c, Change::Died { own: true, .. });
    let length = Duration::from_secs(seconds);
    for n in 0..(size as f64 * stuttering).round() as usize {
        fleet.stutter(n * size / (size as f64 * stuttering).ceil() as usize, SECOND * 2 / 5, length);
    }
    fleet.run(length);
    let each = size as f64 * seconds as f64;
    IdleCost {
        hours: seconds as f64 / 3600.0,
        false_verdicts: fleet.verdicts().count(),
        datagrams: fleet.sent[0] as f64 / each,
        bytes: fleet.sent[1] as f64 / each,
    }
}

/// Seconds until all members hold a value that one member published.
pub fn value(size: usize, loss: f64, seed: u64) -> f64 {
    let mut fleet = Fleet::converged_fleet(size, settings(false), seed);
    fleet.network = lossy(loss);
    fleet.filter = died;
    fleet.run(3 * SECOND);
    let (publisher, id) = (seed as usize % size, MemberId::of(&name(seed as usize % size)));
    fleet.publish(publisher, vec![7; 64]);
    let all = |f: &Fleet| {
        (0..size).all(|n| {
            n == publisher || f.core(n).and_then(|c| c.member(id)).is_some_and(|m| m.record.values.len() == 1)
        })
    };
    fleet.run_for(120 * SECOND, all).map_or(120.0, |t| t.as_secs_f64())
}

/// A disruption after which the positions on the ring are measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disruption {
    /// This many members join at once.
    Join(usize),
    /// This fraction is killed at once.
    Kill(f64),
    /// A tenth of the members leaves every 3 s and starts again a second later.
    Restart,
}

/// How evenly the members' positions load the servers after a disruption.
#[derive(Clone, Copy, Debug)]
pub struct Evenness {
    /// Seconds from the last change until the maximum load stays within 1.15 of the mean; None if not within 60 s.
    pub within: Option<f64>,
    /// The worst ratio of maximum to mean load after the last change.
    pub worst: f64,
    /// The ratio of maximum to mean load 10 s after the last change.
    pub after_10: f64,
}

/// Servers on the ring, and the sum of the servers that the nodes of a fleet of 300 reach (5 each): as in the standing
/// test.
const SERVERS: usize = 200;
const TOTAL_REACH: f64 = 5.0 * 300.0;

/// The ratio of maximum to mean load. Each node loads consecutive servers from its position on, equally; fewer nodes
/// reach more servers each.
fn max_load_ratio(positions: &[f64]) -> f64 {
    let reach = ((TOTAL_REACH / positions.len() as f64).round() as usize).clamp(5, SERVERS);
    let mut loads = [0.0; SERVERS];
    for at in positions {
        let first = (at * SERVERS as f64) as usize;
        (first..first + reach).for_each(|s| loads[s % SERVERS] += 1.0);
    }
    loads.iter().copied().fold(0.0, f64::max) * SERVERS as f64 / (reach * positions.len()) as f64
}

/// Simulates a disruption; positions move by [`birchswitch_cluster::ring`], twice a second.
pub fn evenness(size: usize, disruption: Disruption, seed: u64) -> Evenness {
    let half = SECOND / 2;
    let (first, all) = match disruption {
        Disruption::Join(more) => (size, size + more),
        _ => (size, size),
    };
    let mut fleet = Fleet::converged_with_spares(first, all, settings(false), seed);
    fleet.filter = |_| false;
    let mut positions: Vec<Option<RingPosition>> = vec![None; all];
    let mut rng = Rng::new(seed, 74);
    let mut step = |fleet: &mut Fleet| {
        fleet.run(half);
        let mut fractions = Vec::new();
        for (n, position) in positions.iter_mut().enumerate() {
            let Some(core) = fleet.core(n) else {
                *position = None;
                continue;
            };
            // As in the node: a member that hears no other keeps its position.
            if matches!(core.standing(), Standing::Majority | Standing::Minority) {
                let position = position.get_or_insert(RingPosition::new(fleet.now, core.rank()));
                position.advance(fleet.now, core.rank());
                fractions.push(position.fraction());
            }
        }
        max_load_ratio(&fractions)
    };
    (0..10).for_each(|_| {
        step(&mut fleet);
    });
    match disruption {
        Disruption::Join(_) => (first..all).for_each(|n| fleet.start(n)),
        Disruption::Kill(part) => {
            let mut order: Vec<usize> = (0..all).collect();
            (0..all).for_each(|n| order.swap(n, n + rng.below(all - n)));
            order.iter().take((part * all as f64).round() as usize).for_each(|n| fleet.kill(*n));
        }
        Disruption::Restart => {
            for tenth in 0..10 {
                let these = || (0..all).filter(move |n| n * 10 / all == tenth);
                these().for_each(|n| fleet.leave(n));
                (0..2).for_each(|_| {
                    step(&mut fleet);
                });
                these().for_each(|n| fleet.start(n));
                (0..4).for_each(|_| {
                    step(&mut fleet);
                });
            }
        }
    }
    let loads: Vec<f64> = (0..120).map(|_| step(&mut fleet)).collect();
    let settled_at = loads.iter().rposition(|l| *l > 1.15).map_or(0, |n| n + 1);
    Evenness {
        within: (settled_at < loads.len()).then_some(settled_at as f64 / 2.0),
        worst: loads.iter().copied().fold(0.0, f64::max),
        after_10: loads[19],
    }
}

/// The value below which a fraction of the values lies; 0 if there are none.
pub fn quantile(figures: &[f64], part: f64) -> f64 {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(at.saturating_sub(1)).copied().unwrap_or(0.0)
}
