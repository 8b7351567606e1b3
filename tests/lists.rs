//! When the list is asked for again, where it comes on request.

mod common;

use common::*;
use finchvale::*;
use std::time::Duration;

/// After how long the list is asked for again, by the timers that are set.
fn waits(kind: ListKind, seed: u64) -> Vec<Duration> {
    let settings = Settings { subscribe_to_lists: true, ..settings() };
    let mut balancer = Balancer::new(settings, seed, at(0)).expect("sound settings");
    let mut actions = Vec::new();
    balancer.handle(at(1000), Event::List { kind, entries: Vec::new() }, &mut actions);
    let timer = |action: &Action| match action {
        Action::SetTimer { at: due, .. } => Some(*due - at(1000)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

/// A call that falls silent is given up after 3 s; with two refused after it a change is to be known within 6 s.
#[test]
fn a_failed_call_is_repeated_soon_and_not_by_all_at_once() {
    let mut all = Vec::new();
    for seed in 0..200 {
        let waits = waits(ListKind::Failed, seed);
        assert_eq!(waits.len(), 1, "seed {seed}: {waits:?}");
        all.extend(waits);
    }
    all.sort();
    assert!(Duration::from_secs(3) + 3 * all[199] <= Duration::from_millis(5500), "{:?}", all[199]);
    assert!(all[150] - all[50] > Duration::from_millis(200), "spread: {:?} to {:?}", all[50], all[150]);
}

/// Many may start at once from the list that they know: their calls are spread further.
#[test]
fn calls_after_a_start_are_spread() {
    let waits: Vec<_> = (0..200).flat_map(|seed| waits(ListKind::Cached, seed)).collect();
    assert!(waits.iter().any(|w| *w > Duration::from_secs(1)), "{waits:?}");
    assert!(waits.iter().all(|w| *w <= Duration::from_secs(2)), "{waits:?}");
}
