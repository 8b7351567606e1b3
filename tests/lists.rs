//! Retries of list calls, for sites that subscribe to lists.

mod common;

use common::*;
use finchvale::*;
use std::time::Duration;

/// Delays until the list is requested again, according to the timers set.
fn delays(kind: ListKind, seed: u64) -> Vec<Duration> {
    let settings = Settings { subscribe_to_lists: true, ..settings() };
    let mut balancer = Balancer::new(settings, seed, at(0)).expect("valid settings");
    let mut actions = Vec::new();
    balancer.handle(at(1000), Event::List { kind, entries: Vec::new() }, &mut actions);
    let timer = |action: &Action| match action {
        Action::SetTimer { at: due, .. } => Some(*due - at(1000)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

/// A call without an answer times out after 3 s; with two refused calls after it, a change must be known
/// within 6 s.
#[test]
fn failed_calls_are_repeated_soon_and_spread() {
    let mut all = Vec::new();
    for seed in 0..200 {
        let delays = delays(ListKind::Failed, seed);
        assert_eq!(delays.len(), 1, "seed {seed}: {delays:?}");
        all.extend(delays);
    }
    all.sort();
    assert!(Duration::from_secs(3) + 3 * all[199] <= Duration::from_millis(5500), "{:?}", all[199]);
    assert!(all[150] - all[50] > Duration::from_millis(200), "not spread: {:?} to {:?}", all[50], all[150]);
}

/// Many nodes may start at once from cached lists, so their calls are spread more widely.
#[test]
fn calls_after_start_are_spread() {
    let delays: Vec<_> = (0..200).flat_map(|seed| delays(ListKind::Cached, seed)).collect();
    assert!(delays.iter().any(|w| *w > Duration::from_secs(1)), "{delays:?}");
    assert!(delays.iter().all(|w| *w <= Duration::from_secs(2)), "{delays:?}");
}
