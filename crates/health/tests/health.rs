//! One node probes; the others suppress probes where allowed, and never against their own
//! observations.

use birchswitch_health::{
    decode, encode, ProbeIntervals, ProbeScheduler, ProbeSuppressor, ShortId, MAX_REPORTED, MAX_SUPPRESSION,
};
use proptest::prelude::*;
use rustc_hash::FxHashSet;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

const INTERVALS: ProbeIntervals = ProbeIntervals { least: SECOND, most: Duration::from_secs(8) };

#[test]
fn silent_servers_are_probed_with_backoff_and_reported_until_they_answer() {
    let (mut scheduler, names) = (ProbeScheduler::new(INTERVALS), [1 << 32, 2 << 32]);
    names.iter().for_each(|n| scheduler.report(Duration::ZERO, *n));
    // A server that answers was unreachable only for the reporting node, and is not probed again.
    assert_eq!(scheduler.due(Duration::ZERO), names);
    assert!(!scheduler.record_answer(names[0], true));
    assert!(scheduler.record_answer(names[1], false), "the first silence changes the report");
    let mut probed = Vec::new();
    for tenth in 1..300 {
        for name in scheduler.due(SECOND * tenth / 10) {
            assert_eq!(name, names[1]);
            assert!(!scheduler.record_answer(name, false));
            probed.push(tenth / 10);
        }
    }
    assert_eq!(probed, [1, 3, 7, 15, 23]);
    scheduler.report(SECOND * 30, names[1]);
    assert!(scheduler.due(SECOND * 30).is_empty(), "further reports cause no extra probes");
    assert_eq!(scheduler.silent().collect::<Vec<_>>(), [ShortId(2)]);
    assert!(scheduler.record_answer(names[1], true), "the first answer changes the report");
    assert!(scheduler.silent().next().is_none() && scheduler.next_due().is_none());
    scheduler.report(SECOND * 31, names[1]);
    scheduler.retain_listed(&FxHashSet::default());
    assert!(scheduler.due(SECOND * 60).is_empty(), "unlisted servers are not probed");
}

#[test]
fn own_observations_override_reports() {
    let (mut suppressor, name, reported) = (ProbeSuppressor::default(), 7 << 32, [ShortId(7)]);
    suppressor.update_silent(reported.into_iter());
    assert!(!suppressor.should_suppress(SECOND, name), "no silence observed by this node");
    assert!(!suppressor.record_outcome(SECOND, name, false), "already reported");
    assert!(suppressor.should_suppress(SECOND * 2, name));
    assert!(!suppressor.should_suppress(SECOND + MAX_SUPPRESSION, name), "suppression is limited");
    suppressor.record_outcome(SECOND * 40, name, true);
    assert!(!suppressor.should_suppress(SECOND * 41, name), "an own success overrides the report");
    suppressor.record_outcome(SECOND * 42, name, false);
    assert!(suppressor.should_suppress(SECOND * 43, name));
    assert_eq!(
        suppressor.update_silent([ShortId(8)].into_iter()),
        [name],
        "no longer reported: this node has to probe it"
    );
    assert!(!suppressor.should_suppress(SECOND * 44, name));
    assert!(suppressor.update_silent([ShortId(8)].into_iter()).is_empty(), "returned only once");
}

#[test]
fn silence_is_reported_again_until_it_is_known() {
    let (mut suppressor, name) = (ProbeSuppressor::default(), 7 << 32);
    let reports: Vec<u32> = (0..12).filter(|s| suppressor.record_outcome(SECOND * *s, name, false)).collect();
    assert_eq!(reports, [0, 5, 10]);
    suppressor.update_silent([ShortId(7)].into_iter());
    assert!((12..30).all(|s| !suppressor.record_outcome(SECOND * s, name, false)));
}

proptest! {
    /// Whatever others report, a node that constantly wants to probe a server does so at least
    /// every [`MAX_SUPPRESSION`].
    #[test]
    fn no_report_suppresses_probes_for_longer_than_the_limit(steps in prop::collection::vec((0u8..8, any::<bool>()), 1..200)) {
        let (mut suppressor, name, mut now, mut last) = (ProbeSuppressor::default(), 3 << 32, SECOND, SECOND);
        for (what, flag) in steps {
            now += SECOND;
            match what {
                0 => drop(suppressor.update_silent(flag.then_some(ShortId(3)).into_iter())),
                1 => drop(suppressor.record_outcome(now, name, flag)),
                _ => {}
            }
            // Silence observed by the node itself counts as a probe, too.
            if !suppressor.should_suppress(now, name) || what == 1 {
                last = now;
            }
            prop_assert!(now < last + MAX_SUPPRESSION);
        }
    }

    #[test]
    fn reports_round_trip_and_arbitrary_bytes_are_bounded(
        ids in prop::collection::vec(any::<u32>(), 0..80), noise in prop::collection::vec(any::<u8>(), 0..256)
    ) {
        let reported: Vec<ShortId> = ids.into_iter().map(ShortId).collect();
        let bytes = encode(reported.iter().copied());
        prop_assert!(bytes.len() <= 1 + 4 * MAX_REPORTED);
        prop_assert_eq!(decode(&bytes), reported.into_iter().take(MAX_REPORTED).collect::<Vec<_>>());
        prop_assert!(decode(&noise).len() <= MAX_REPORTED);
    }
}
