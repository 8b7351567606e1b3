//! What is learnt of how long news stands, on servers that behave as the model says.

use super::*;
use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Servers that behave as the model says: what is learnt is what they do.
#[test]
fn it_learns_how_long_news_stands_and_what_servers_hold() {
    for (memory, idle) in [(0.05, 0.7), (0.4, 0.4), (2.0, 0.6)] {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(3);
        let mut random = || crate::state::uniform(&mut rng);
        let mut loads = Loads::new(0.3);
        let mut held = 0.0;
        for _ in 0..40_000 {
            let (age, old) = (memory * 2.0 * random(), held);
            if random() > (-age / memory).exp() {
                held = if random() < idle { 0.0 } else { 3.0 };
            }
            loads.heard(held, Some((old, age)));
        }
        assert!((loads.memory / memory).ln().abs() < 0.4, "{} for {memory}", loads.memory);
        assert!((loads.usual()[0] - idle).abs() < 0.2, "{:?} for {idle}", loads.usual());
        assert!((loads.usual().iter().sum::<f64>() - 1.0).abs() < 1e-9);
    }
}

/// Whoever is asked because it was idle a moment ago is idle now: that says nothing of the others.
#[test]
fn news_of_those_that_were_chosen_does_not_pass_for_usual() {
    let mut loads = Loads::new(0.3);
    (0..500).for_each(|k| loads.heard(f64::from(k % 4), None));
    let before = loads.usual()[0];
    (0..500).for_each(|_| loads.heard(0.0, Some((0.0, 0.001))));
    assert!(loads.usual()[0] < before + 0.05, "{} from {before}", loads.usual()[0]);
}
