//! The estimated validity of reports, on servers that behave according to the model.

use super::*;
use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

/// The estimates converge to the parameters of the simulated servers.
#[test]
fn estimates_validity_and_load_distribution() {
    for (memory, idle) in [(0.05, 0.7), (0.4, 0.4), (2.0, 0.6)] {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(3);
        let mut random = || crate::state::uniform(&mut rng);
        let mut loads = LoadHistory::new(0.3);
        let mut held = 0.0;
        for _ in 0..40_000 {
            let (age, old) = (memory * 2.0 * random(), held);
            if random() > (-age / memory).exp() {
                held = if random() < idle { 0.0 } else { 3.0 };
            }
            loads.observe(held, Some((old, age)));
        }
        assert!((loads.memory / memory).ln().abs() < 0.4, "{} for {memory}", loads.memory);
        assert!((loads.usual()[0] - idle).abs() < 0.2, "{:?} for {idle}", loads.usual());
        assert!((loads.usual().iter().sum::<f64>() - 1.0).abs() < 1e-9);
    }
}

/// Repeated reports from servers chosen because they were idle say nothing about the others.
#[test]
fn reports_of_chosen_servers_do_not_bias_the_distribution() {
    let mut loads = LoadHistory::new(0.3);
    (0..500).for_each(|k| loads.observe(f64::from(k % 4), None));
    let before = loads.usual()[0];
    (0..500).for_each(|_| loads.observe(0.0, Some((0.0, 0.001))));
    assert!(loads.usual()[0] < before + 0.05, "{} from {before}", loads.usual()[0]);
}
