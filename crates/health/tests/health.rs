//! One node asks; the others spare what they may, and never what their own eyes speak against.

use birchswitch_health::{
    decode, encode, ProbeIntervals, ProbeScheduler, ProbeSuppressor, ShortId, OWN, TOLD,
};
use proptest::prelude::*;
use rustc_hash::FxHashSet;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

const TIMES: ProbeIntervals = ProbeIntervals { least: SECOND, most: Duration::from_secs(8) };

#[test]
fn a_silent_server_is_asked_ever_more_seldom_and_told_of_until_it_answers() {
    let (mut rounds, names) = (ProbeScheduler::new(TIMES), [1 << 32, 2 << 32]);
    names.iter().for_each(|n| rounds.report(Duration::ZERO, *n));
    // One that answers was another's trouble, and is asked no more.
    assert_eq!(rounds.due(Duration::ZERO), names);
    assert!(!rounds.record_answer(names[0], true));
    assert!(rounds.record_answer(names[1], false), "its first silence changes what is told");
    let mut asked = Vec::new();
    for tenth in 1..300 {
        for name in rounds.due(SECOND * tenth / 10) {
            assert_eq!(name, names[1]);
            assert!(!rounds.record_answer(name, false));
            asked.push(tenth / 10);
        }
    }
    assert_eq!(asked, [1, 3, 7, 15, 23]);
    rounds.report(SECOND * 30, names[1]);
    assert!(rounds.due(SECOND * 30).is_empty(), "further words make it no more questions");
    assert_eq!(rounds.silent().collect::<Vec<_>>(), [ShortId(2)]);
    assert!(rounds.record_answer(names[1], true), "its first answer changes what is told");
    assert!(rounds.silent().next().is_none() && rounds.next_due().is_none());
    rounds.report(SECOND * 31, names[1]);
    rounds.retain_listed(&FxHashSet::default());
    assert!(rounds.due(SECOND * 60).is_empty(), "who is not listed is not asked");
}

#[test]
fn what_a_node_met_itself_goes_before_what_it_is_told() {
    let (mut spare, name, told) = (ProbeSuppressor::default(), 7 << 32, [ShortId(7)]);
    spare.update_silent(told.into_iter());
    assert!(!spare.should_suppress(SECOND, name), "it answers this node");
    assert!(!spare.record_outcome(SECOND, name, false), "it is told of already");
    assert!(spare.should_suppress(SECOND * 2, name));
    assert!(!spare.should_suppress(SECOND + OWN, name), "a word does not hold for ever");
    spare.record_outcome(SECOND * 40, name, true);
    assert!(!spare.should_suppress(SECOND * 41, name), "it answers again, whatever is told");
    spare.record_outcome(SECOND * 42, name, false);
    assert!(spare.should_suppress(SECOND * 43, name));
    assert_eq!(
        spare.update_silent([ShortId(8)].into_iter()),
        [name],
        "it is told of no more: this node looks for itself"
    );
    assert!(!spare.should_suppress(SECOND * 44, name));
    assert!(spare.update_silent([ShortId(8)].into_iter()).is_empty(), "once");
}

#[test]
fn who_finds_a_server_silent_says_so_while_nobody_tells_of_it() {
    let (mut spare, name) = (ProbeSuppressor::default(), 7 << 32);
    let reports: Vec<u32> = (0..12).filter(|s| spare.record_outcome(SECOND * *s, name, false)).collect();
    assert_eq!(reports, [0, 5, 10]);
    spare.update_silent([ShortId(7)].into_iter());
    assert!((12..30).all(|s| !spare.record_outcome(SECOND * s, name, false)));
}

proptest! {
    /// Whatever comes from others, a server is asked at least every [`OWN`] by a node that wants to ask it all the time.
    #[test]
    fn no_word_silences_a_node(steps in prop::collection::vec((0u8..8, any::<bool>()), 1..200)) {
        let (mut spare, name, mut now, mut last) = (ProbeSuppressor::default(), 3 << 32, SECOND, SECOND);
        for (what, flag) in steps {
            now += SECOND;
            match what {
                0 => drop(spare.update_silent(flag.then_some(ShortId(3)).into_iter())),
                1 => drop(spare.record_outcome(now, name, flag)),
                _ => {}
            }
            // Silence that it meets is a look of its own too.
            if !spare.should_suppress(now, name) || what == 1 {
                last = now;
            }
            prop_assert!(now < last + OWN);
        }
    }

    #[test]
    fn what_is_told_is_read_as_it_was_and_anything_else_as_nothing(
        shorts in prop::collection::vec(any::<u32>(), 0..80), noise in prop::collection::vec(any::<u8>(), 0..256)
    ) {
        let told: Vec<ShortId> = shorts.into_iter().map(ShortId).collect();
        let bytes = encode(told.iter().copied());
        prop_assert!(bytes.len() <= 1 + 4 * TOLD);
        prop_assert_eq!(decode(&bytes), told.into_iter().take(TOLD).collect::<Vec<_>>());
        prop_assert!(decode(&noise).len() <= TOLD);
    }
}
