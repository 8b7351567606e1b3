//! The tuner on modelled servers: p99 of all requests compared with equal weights, rollback of an inverted fit, and no harm where there is
//! nothing to gain.

use birchswitch_tuner::{LatencySketch, Tuner, TunerSettings};
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;

struct Rng(Xoshiro256PlusPlus);

impl Rng {
    fn unit(&mut self) -> f64 {
        ((self.0.next_u64() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.unit().ln()
    }
}

/// A single-server queue: its service rate in requests a second, and its relative slowdown at low load.
#[derive(Clone, Copy)]
struct ServerModel {
    service_rate: f64,
    cold_slowdown: f64,
}

/// The latencies in one interval with the load split by these weights. Queues start empty at each interval.
fn simulate(
    rng: &mut Rng,
    servers: &[ServerModel],
    weights: &[f64],
    load: f64,
    seconds: f64,
) -> BTreeMap<u64, LatencySketch> {
    let sum: f64 = weights.iter().sum();
    let mut sketches = BTreeMap::new();
    for (n, (server, weight)) in servers.iter().zip(weights).enumerate() {
        let rate = load * weight / sum;
        let (mut now, mut free_at) = (0.0, 0.0f64);
        let mut sketch = LatencySketch::default();
        while now < seconds {
            now += rng.exponential(1.0 / rate);
            let slowdown = 1.0 + server.cold_slowdown * (1.0 - rate / server.service_rate).max(0.0);
            free_at = free_at.max(now) + rng.exponential(slowdown / server.service_rate);
            sketch.record(free_at - now);
        }
        sketches.insert(n as u64, sketch);
    }
    sketches
}

fn p99(sketches: &BTreeMap<u64, LatencySketch>) -> f64 {
    let mut all = LatencySketch::default();
    sketches.values().for_each(|s| all.0.add(&s.0).expect("equal bounds"));
    all.0.value_at_quantile(0.99) as f64 / 1e6
}

/// Mean p99 of 40 intervals with equal weights, of the last 40 with the tuner's weights, and the number of rollbacks.
fn compare(servers: &[ServerModel], load: f64, settings: TunerSettings) -> (f64, f64, usize) {
    let (mut rng, intervals) = (Rng(Xoshiro256PlusPlus::seed_from_u64(5)), 120);
    let equal = vec![1.0; servers.len()];
    let plain: f64 =
        (0..40).map(|_| p99(&simulate(&mut rng, servers, &equal, load, 20.0))).sum::<f64>() / 40.0;
    let mut tuner = Tuner::new(settings);
    let (mut weights, mut rollbacks, mut last) = (equal, 0, Vec::new());
    for interval in 0..intervals {
        let sketches = simulate(&mut rng, servers, &weights, load, 20.0);
        if interval >= intervals - 40 {
            last.push(p99(&sketches));
        }
        let (published, rolled_back) = tuner.step(20.0, sketches);
        rollbacks += usize::from(rolled_back);
        weights = vec![1.0; servers.len()];
        published.iter().for_each(|(server, weight)| weights[*server as usize] = *weight);
    }
    (plain, last.iter().sum::<f64>() / last.len() as f64, rollbacks)
}

fn queue(service_rate: f64) -> ServerModel {
    ServerModel { service_rate, cold_slowdown: 0.0 }
}

#[test]
fn servers_of_two_speeds_get_a_lower_tail() {
    let servers: Vec<ServerModel> = (0..8).map(|n| queue(if n < 3 { 60.0 } else { 100.0 })).collect();
    let (plain, tuned, _) = compare(&servers, 320.0, TunerSettings::DEFAULT);
    println!("two speeds: p99 {plain:.3} s equal, {tuned:.3} s tuned");
    assert!(tuned < 0.85 * plain, "{plain} {tuned}");
}

#[test]
fn a_noisy_neighbour_is_relieved() {
    let servers: Vec<ServerModel> = (0..8).map(|n| queue(if n == 0 { 55.0 } else { 90.0 })).collect();
    let (plain, tuned, _) = compare(&servers, 340.0, TunerSettings::DEFAULT);
    println!("a noisy neighbour: p99 {plain:.3} s equal, {tuned:.3} s tuned");
    assert!(tuned < 0.85 * plain, "{plain} {tuned}");
}

/// Equal servers, and servers that are slower at lower load: there is nothing to gain, and hardly anything is lost.
#[test]
fn hardly_anything_is_lost_where_there_is_nothing_to_gain() {
    for (what, cold_slowdown) in [("equal", 0.0), ("cold caches", 0.8)] {
        let servers = vec![ServerModel { service_rate: 90.0, cold_slowdown }; 8];
        let (plain, tuned, _) = compare(&servers, 430.0, TunerSettings::DEFAULT);
        println!("{what}: p99 {plain:.4} s equal, {tuned:.4} s tuned");
        assert!(tuned < 1.04 * plain, "{what}: {plain} {tuned}");
    }
}

#[test]
fn an_inverted_fit_is_rolled_back() {
    let servers: Vec<ServerModel> = (0..8).map(|n| queue(if n < 3 { 60.0 } else { 100.0 })).collect();
    let (plain, tuned, rollbacks) =
        compare(&servers, 320.0, TunerSettings { inverted_fit: true, ..TunerSettings::DEFAULT });
    println!("an inverted fit: p99 {plain:.3} s equal, {tuned:.3} s, rolled back {rollbacks} times");
    assert!(rollbacks > 0 && tuned < 1.6 * plain, "{plain} {tuned} {rollbacks}");
}
