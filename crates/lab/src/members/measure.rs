//! What membership costs and how well it tells, in figures.

use super::{name, Fleet, Network};
use crate::rng::Rng;
use birchswitch_cluster::ring::RingPosition;
use birchswitch_cluster::{Change, MemberId, Settings, Standing, State};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// The settings that are measured.
pub fn settings(careless: bool) -> Settings {
    Settings { without_safeguards: careless, ..Settings::new("lab", Vec::new()) }
}

fn lossy(loss: f64) -> Network {
    Network { loss, ..Network::default() }
}

fn died(change: &Change) -> bool {
    matches!(change, Change::Died { .. })
}

/// Seconds from a kill.
#[derive(Clone, Debug, Default)]
pub struct Detection {
    /// Until the first verdict, of each kill.
    pub first: Vec<f64>,
    /// Until each of the others knew, all kills together.
    pub each: Vec<f64>,
    /// Until the last knew, of each kill.
    pub last: Vec<f64>,
    /// Living members that were declared dead meanwhile.
    pub false_verdicts: usize,
}

/// Kills so many members, one after the other at moments that the seed chooses, and starts each again.
pub fn detection(size: usize, kills: usize, loss: f64, careless: bool, seed: u64) -> Detection {
    let mut fleet = Fleet::up(size, settings(careless), seed);
    fleet.network = lossy(loss);
    fleet.keep = died;
    let mut chance = Rng::new(seed, 73);
    let mut found = Detection::default();
    fleet.run(5 * SECOND);
    for _ in 0..kills {
        fleet.run(SECOND.mul_f64(chance.unit()));
        let victim = chance.below(size);
        let id = MemberId::of(&name(victim));
        let killed = fleet.now;
        fleet.noted.clear();
        fleet.kill(victim);
        fleet.run_for(60 * SECOND, |f| f.noted.iter().filter(|n| of(&n.change, id)).count() + 1 >= size);
        let times: Vec<f64> =
            fleet.noted.iter().filter(|n| of(&n.change, id)).map(|n| (n.at - killed).as_secs_f64()).collect();
        found.false_verdicts += fleet.verdicts().filter(|(_, m)| *m != id).count();
        // One that never learnt it is the last, at the end of the wait.
        let last = if times.len() + 1 >= size { times.iter().copied().fold(0.0, f64::max) } else { 60.0 };
        found.first.push(times.iter().copied().fold(60.0, f64::min));
        found.last.push(last);
        found.each.extend(times);
        fleet.start(victim);
        fleet.run_for(60 * SECOND, |f| {
            f.running().iter().all(|n| *n == victim || f.holds(*n, victim) == Some(State::Alive))
        });
    }
    found
}

fn of(change: &Change, id: MemberId) -> bool {
    matches!(change, Change::Died { member, .. } if *member == id)
}

/// What a quiet or a lossy fleet costs, and whom it takes for dead although all live.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quiet {
    /// Simulated hours.
    pub hours: f64,
    /// Verdicts: all false.
    pub false_verdicts: usize,
    /// Datagrams a second that a member sends.
    pub datagrams: f64,
    /// Bytes a second that a member sends.
    pub bytes: f64,
}

/// Nobody dies, for so many simulated seconds; so large a part of the members is stopped for 0.4 s of each second.
pub fn quiet(size: usize, seconds: u64, loss: f64, stutterers: f64, careless: bool, seed: u64) -> Quiet {
    let mut fleet = Fleet::up(size, settings(careless), seed);
    fleet.network = lossy(loss);
    fleet.keep = |c| matches!(c, Change::Died { own: true, .. });
    let length = Duration::from_secs(seconds);
    for n in 0..(size as f64 * stutterers).round() as usize {
        fleet.stutter(n * size / (size as f64 * stutterers).ceil() as usize, SECOND * 2 / 5, length);
    }
    fleet.run(length);
    let each = size as f64 * seconds as f64;
    Quiet {
        hours: seconds as f64 / 3600.0,
        false_verdicts: fleet.verdicts().count(),
        datagrams: fleet.sent[0] as f64 / each,
        bytes: fleet.sent[1] as f64 / each,
    }
}

/// Seconds until all hold a value that one member tells of itself.
pub fn value(size: usize, loss: f64, seed: u64) -> f64 {
    let mut fleet = Fleet::up(size, settings(false), seed);
    fleet.network = lossy(loss);
    fleet.keep = died;
    fleet.run(3 * SECOND);
    let (teller, id) = (seed as usize % size, MemberId::of(&name(seed as usize % size)));
    fleet.tell(teller, vec![7; 64]);
    let all = |f: &Fleet| {
        (0..size).all(|n| {
            n == teller || f.core(n).and_then(|c| c.member(id)).is_some_and(|m| m.record.values.len() == 1)
        })
    };
    fleet.run_for(120 * SECOND, all).map_or(120.0, |t| t.as_secs_f64())
}

/// What changes in a fleet whose places on the ring are measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Upheaval {
    /// So many more start, all at once.
    Join(usize),
    /// Such a part is killed, all at once.
    Kill(f64),
    /// A tenth at a time says farewell and starts again a second later, every 3 s.
    Restart,
}

/// How even servers' loads are by the members' places, after an upheaval.
#[derive(Clone, Copy, Debug)]
pub struct Even {
    /// Seconds from the last change until the fullest server stays within 1.15 of the mean; none: not within 60.
    pub within: Option<f64>,
    /// The fullest server's load over the mean at the worst moment from the last change on.
    pub worst: f64,
    /// The same 10 s after the last change.
    pub after_10: f64,
}

/// Servers on the ring, and how many a node of a fleet of 300 reaches: the site of the standing test.
const SERVERS: usize = 200;
const REACH: f64 = 5.0 * 300.0;

/// Each node reaches servers in a row from its place on, the more the fewer nodes there are, and brings as much to each.
fn fullest(places: &[f64]) -> f64 {
    let reach = ((REACH / places.len() as f64).round() as usize).clamp(5, SERVERS);
    let mut loads = [0.0; SERVERS];
    for at in places {
        let first = (at * SERVERS as f64) as usize;
        (first..first + reach).for_each(|s| loads[s % SERVERS] += 1.0);
    }
    loads.iter().copied().fold(0.0, f64::max) * SERVERS as f64 / (reach * places.len()) as f64
}

/// Plays an upheaval; places move by the rule of [`birchswitch_cluster::ring`], twice a second.
pub fn evenness(size: usize, upheaval: Upheaval, seed: u64) -> Even {
    let half = SECOND / 2;
    let (first, all) = match upheaval {
        Upheaval::Join(more) => (size, size + more),
        _ => (size, size),
    };
    let mut fleet = Fleet::up_of(first, all, settings(false), seed);
    fleet.keep = |_| false;
    let mut places: Vec<Option<RingPosition>> = vec![None; all];
    let mut chance = Rng::new(seed, 74);
    let mut step = |fleet: &mut Fleet| {
        fleet.run(half);
        let mut lie = Vec::new();
        for (n, place) in places.iter_mut().enumerate() {
            let Some(core) = fleet.core(n) else {
                *place = None;
                continue;
            };
            // As the node does: who hears nobody stays where it was.
            if matches!(core.standing(), Standing::Majority | Standing::Minority) {
                let place = place.get_or_insert(RingPosition::new(fleet.now, core.rank()));
                place.advance(fleet.now, core.rank());
                lie.push(place.fraction());
            }
        }
        fullest(&lie)
    };
    (0..10).for_each(|_| {
        step(&mut fleet);
    });
    match upheaval {
        Upheaval::Join(_) => (first..all).for_each(|n| fleet.start(n)),
        Upheaval::Kill(part) => {
            let mut order: Vec<usize> = (0..all).collect();
            (0..all).for_each(|n| order.swap(n, n + chance.below(all - n)));
            order.iter().take((part * all as f64).round() as usize).for_each(|n| fleet.kill(*n));
        }
        Upheaval::Restart => {
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
    let uneven = loads.iter().rposition(|l| *l > 1.15).map_or(0, |n| n + 1);
    Even {
        within: (uneven < loads.len()).then_some(uneven as f64 / 2.0),
        worst: loads.iter().copied().fold(0.0, f64::max),
        after_10: loads[19],
    }
}

/// The figure below which a part of them lies; 0 of none.
pub fn quantile(figures: &[f64], part: f64) -> f64 {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(at.saturating_sub(1)).copied().unwrap_or(0.0)
}
