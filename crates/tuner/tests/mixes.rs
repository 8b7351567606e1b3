//! The tuner on modelled servers: p99 of the whole against even weights, a wrong fit taken back, and no harm where there is nothing to gain.

use birchswitch_tuner::{LatencySketch, Tuner, TunerSettings};
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;

struct Chance(Xoshiro256PlusPlus);

impl Chance {
    fn unit(&mut self) -> f64 {
        ((self.0.next_u64() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.unit().ln()
    }
}

/// A queue of one server: requests a second that it does, and what it loses where its load is low.
#[derive(Clone, Copy)]
struct Modelled {
    does: f64,
    cold: f64,
}

/// What requests took in a look in which the load was split by these weights. Queues start empty at each look.
fn plays(
    chance: &mut Chance,
    servers: &[Modelled],
    weights: &[f64],
    load: f64,
    seconds: f64,
) -> BTreeMap<u64, LatencySketch> {
    let sum: f64 = weights.iter().sum();
    let mut spans = BTreeMap::new();
    for (n, (server, weight)) in servers.iter().zip(weights).enumerate() {
        let rate = load * weight / sum;
        let (mut now, mut free) = (0.0, 0.0f64);
        let mut span = LatencySketch::default();
        while now < seconds {
            now += chance.exponential(1.0 / rate);
            let slower = 1.0 + server.cold * (1.0 - rate / server.does).max(0.0);
            free = free.max(now) + chance.exponential(slower / server.does);
            span.record(free - now);
        }
        spans.insert(n as u64, span);
    }
    spans
}

fn p99(spans: &BTreeMap<u64, LatencySketch>) -> f64 {
    let mut all = LatencySketch::default();
    spans.values().for_each(|s| all.0.add(&s.0).expect("one kind"));
    all.0.value_at_quantile(0.99) as f64 / 1e6
}

/// Mean p99 of many looks with even weights, and of the last with the tuner's, which were taken back so often.
fn beside(servers: &[Modelled], load: f64, terms: TunerSettings) -> (f64, f64, usize) {
    let (mut chance, looks) = (Chance(Xoshiro256PlusPlus::seed_from_u64(5)), 120);
    let even = vec![1.0; servers.len()];
    let plain: f64 =
        (0..40).map(|_| p99(&plays(&mut chance, servers, &even, load, 20.0))).sum::<f64>() / 40.0;
    let mut tuner = Tuner::new(terms);
    let (mut weights, mut backs, mut last) = (even, 0, Vec::new());
    for look in 0..looks {
        let spans = plays(&mut chance, servers, &weights, load, 20.0);
        if look >= looks - 40 {
            last.push(p99(&spans));
        }
        let (told, back) = tuner.look(20.0, spans);
        backs += usize::from(back);
        weights = vec![1.0; servers.len()];
        told.iter().for_each(|(server, weight)| weights[*server as usize] = *weight);
    }
    (plain, last.iter().sum::<f64>() / last.len() as f64, backs)
}

fn fast(does: f64) -> Modelled {
    Modelled { does, cold: 0.0 }
}

#[test]
fn two_speeds_end_up_with_a_lower_tail() {
    let servers: Vec<Modelled> = (0..8).map(|n| fast(if n < 3 { 60.0 } else { 100.0 })).collect();
    let (plain, tuned, _) = beside(&servers, 320.0, TunerSettings::DEFAULT);
    println!("two speeds: p99 {plain:.3} s even, {tuned:.3} s tuned");
    assert!(tuned < 0.85 * plain, "{plain} {tuned}");
}

#[test]
fn a_noisy_neighbour_is_relieved() {
    let servers: Vec<Modelled> = (0..8).map(|n| fast(if n == 0 { 55.0 } else { 90.0 })).collect();
    let (plain, tuned, _) = beside(&servers, 340.0, TunerSettings::DEFAULT);
    println!("a noisy neighbour: p99 {plain:.3} s even, {tuned:.3} s tuned");
    assert!(tuned < 0.85 * plain, "{plain} {tuned}");
}

/// Equal servers, and such that are slower the emptier they are: there is nothing to gain, and next to nothing is lost.
#[test]
fn where_there_is_nothing_to_gain_next_to_nothing_is_lost() {
    for (what, cold) in [("equal", 0.0), ("cold caches", 0.8)] {
        let servers = vec![Modelled { does: 90.0, cold }; 8];
        let (plain, tuned, _) = beside(&servers, 430.0, TunerSettings::DEFAULT);
        println!("{what}: p99 {plain:.4} s even, {tuned:.4} s tuned");
        assert!(tuned < 1.04 * plain, "{what}: {plain} {tuned}");
    }
}

#[test]
fn a_wrong_fit_is_taken_back() {
    let servers: Vec<Modelled> = (0..8).map(|n| fast(if n < 3 { 60.0 } else { 100.0 })).collect();
    let (plain, tuned, backs) =
        beside(&servers, 320.0, TunerSettings { inverted_fit: true, ..TunerSettings::DEFAULT });
    println!("a wrong fit: p99 {plain:.3} s even, {tuned:.3} s, taken back {backs} times");
    assert!(backs > 0 && tuned < 1.6 * plain, "{plain} {tuned} {backs}");
}
