//! A lease never has two holders, whatever fails; and every safeguard is necessary: without it the same checks find a
//! violation.

use birchswitch_lab::leases::{play, Faults, Outcome};
use birchswitch_lease::{Safeguards, Terms};
use std::time::Duration;

const SECONDS: u64 = 120;

fn terms(safeguards: Safeguards) -> Terms {
    Terms {
        ttl: Duration::from_secs(4),
        round: Duration::from_millis(300),
        safeguards,
        ..Terms::new(Vec::new())
    }
}

fn run(safeguards: Safeguards, faults: &Faults, seed: u64) -> Outcome {
    let (voters, candidates) = [(3, 2), (3, 4), (5, 3), (7, 3)][seed as usize % 4];
    play(&terms(safeguards), voters, candidates, SECONDS, faults, seed)
}

#[test]
fn a_lease_never_has_two_holders() {
    let (mut grants, mut refused, mut lost) = (0, 0, 0);
    for seed in 0..300 {
        let outcome = run(Safeguards::ALL, &Faults::all(), seed);
        assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
        grants += outcome.grants;
        refused += outcome.refused;
        lost += outcome.lost;
    }
    assert!(grants > 300 && refused > 0 && lost > 100, "{grants} grants, {refused} refused, {lost} lost");
}

/// The first seed with a violation.
fn first_violation(safeguards: Safeguards, faults: &Faults) -> Option<u64> {
    (0..300).find(|seed| !run(safeguards, faults, *seed).violations.is_empty())
}

#[test]
fn disabling_any_safeguard_causes_a_violation() {
    let all = Safeguards::ALL;
    let faults = Faults::all();
    // Lost state matters only when processes restart often.
    let crashes = Faults { voters_every: 5.0, ..Faults::all() };
    for (name, safeguards, faults) in [
        ("abstention", Safeguards { abstention: false, ..all }, &crashes),
        ("margin", Safeguards { margin: false, ..all }, &faults),
        ("majority", Safeguards { majority: false, ..all }, &faults),
        ("promises", Safeguards { promises: false, ..all }, &faults),
        ("floor", Safeguards { floor: false, ..all }, &faults),
    ] {
        let seed = first_violation(safeguards, faults);
        println!("{name}: {seed:?}");
        assert!(seed.is_some(), "disabling {name} caused no violation");
    }
    assert!(
        first_violation(all, &Faults { fenced: false, ..faults.clone() }).is_some(),
        "disabling the check of tokens caused no violation"
    );
}

/// Twice the drift that the terms allow causes violations; four fifths of it cause none.
#[test]
fn drift_beyond_the_terms_causes_violations() {
    let with = |drift| Faults { drift, ..Faults::all() };
    assert_eq!(first_violation(Safeguards::ALL, &with(40)), None);
    assert!(first_violation(Safeguards::ALL, &with(100)).is_some());
}

#[test]
fn a_lease_survives_loss_and_moves_soon_after_a_crash() {
    for seed in 0..10 {
        let lossy = Faults { loss: 0.1, ..Faults::none() };
        let outcome = play(&terms(Safeguards::ALL), 3, 3, 3600, &lossy, seed);
        assert_eq!((outcome.grants, outcome.lost), (1, 0), "seed {seed}: an hour of 10% loss");
        let crashes = Faults { crash_every: 30.0, ..Faults::none() };
        let outcome = play(&terms(Safeguards::ALL), 5, 3, 600, &crashes, seed);
        assert!(outcome.gap < 6.5 && outcome.violations.is_empty(), "seed {seed}: {outcome:?}");
    }
}

#[test]
fn fifty_candidates_that_start_at_once_agree_on_one() {
    for seed in 0..5 {
        let outcome = play(&terms(Safeguards::ALL), 5, 50, 60, &Faults::none(), seed);
        assert_eq!((outcome.grants, outcome.lost), (1, 0), "seed {seed}: {outcome:?}");
        assert!(outcome.violations.is_empty() && outcome.gap < 10.0, "seed {seed}: {outcome:?}");
        // A waiting candidate asks once per lease lifetime and is refused, with at most three requests to five voters.
        assert!(outcome.messages < 50 * 60 * 15, "seed {seed}: {} messages", outcome.messages);
    }
}
