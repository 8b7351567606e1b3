//! Membership under faults in simulated time: twelve members; every seed gives a reproducible run.

use birchswitch_cluster::wire::{self, Body, Message, Sender, Update};
use birchswitch_cluster::{
    Action, Change, Core, Event, LocalEvent, MemberId, Record, Settings, Standing, State, Topic,
};
use birchswitch_lab::members::measure::{evenness, idle_cost, settings, Disruption};
use birchswitch_lab::members::{address, name, Fleet, Network};
use std::collections::BTreeSet;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: std::ops::Range<u64> = 1..9;

fn up(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::converged_fleet(size, settings(false), seed);
    fleet.run(3 * SECOND);
    fleet
}

fn lossy(loss: f64) -> Network {
    Network { loss, ..Network::default() }
}

/// Members that any process declared dead.
fn declared_dead(fleet: &Fleet) -> BTreeSet<usize> {
    let places = |id: MemberId| (0..fleet.size()).find(|n| MemberId::of(&name(*n)) == id);
    fleet.verdicts().filter_map(|(_, id)| places(id)).collect()
}

fn all_hold(fleet: &Fleet, n: usize, state: State) -> bool {
    fleet.running().into_iter().filter(|other| *other != n).all(|other| fleet.holds(other, n) == Some(state))
}

fn noticed(fleet: &Fleet, n: usize, trouble: &LocalEvent) -> bool {
    fleet.observed.iter().any(|x| x.by == n && matches!(&x.change, Change::Local(t) if t == trouble))
}

#[test]
fn a_death_is_detected_by_all_and_no_other_member_is_declared_dead() {
    for (seed, loss) in SEEDS.flat_map(|seed| [(seed, 0.0), (seed, 0.2)]) {
        let mut fleet = up(12, seed);
        fleet.network = lossy(loss);
        fleet.kill(5);
        let known = fleet.run_for(12 * SECOND, |f| all_hold(f, 5, State::Dead));
        assert!(known.is_some(), "seed {seed}, loss {loss}");
        fleet.run(20 * SECOND);
        assert_eq!(declared_dead(&fleet), BTreeSet::from([5]), "seed {seed}, loss {loss}");
    }
}

#[test]
fn a_pause_of_2_s_is_tolerated_and_a_longer_one_affects_only_that_member() {
    for seed in SEEDS {
        let mut fleet = up(12, seed);
        fleet.pause(3, 2 * SECOND);
        fleet.run(15 * SECOND);
        assert_eq!(declared_dead(&fleet), BTreeSet::new(), "seed {seed}");
        let before = fleet.core(3).expect("it runs").own().incarnation;
        fleet.pause(3, 20 * SECOND);
        fleet.run(20 * SECOND);
        assert!(all_hold(&fleet, 3, State::Dead), "seed {seed}");
        let back = fleet.run_for(5 * SECOND, Fleet::converged);
        assert!(back.is_some(), "seed {seed}");
        fleet.run(10 * SECOND);
        assert_eq!(declared_dead(&fleet), BTreeSet::from([3]), "seed {seed}");
        assert!(fleet.core(3).expect("it runs").own().incarnation > before, "seed {seed}");
        let held_up = |x: &&Change| matches!(x, Change::Local(LocalEvent::Stalled(d)) if *d > 19 * SECOND);
        assert!(fleet.observed.iter().filter(|x| x.by == 3).map(|x| &x.change).any(|c| held_up(&c)));
    }
}

/// Without safeguards the same run declares live members dead, so the check is effective.
#[test]
fn stuttering_members_cause_false_verdicts_only_without_safeguards() {
    let run = |without_safeguards, seed| {
        let mut fleet = Fleet::converged_fleet(12, settings(without_safeguards), seed);
        fleet.network = lossy(0.1);
        for n in [2, 6, 9] {
            fleet.stutter(n, SECOND * 2 / 5, 60 * SECOND);
        }
        fleet.run(70 * SECOND);
        declared_dead(&fleet)
    };
    for seed in SEEDS {
        assert_eq!(run(false, seed), BTreeSet::new(), "seed {seed}");
    }
    let declared_dead_count = |without_safeguards, seed| {
        let mut fleet = Fleet::converged_fleet(12, settings(without_safeguards), seed);
        fleet.network = lossy(0.3);
        (0..12).for_each(|n| fleet.stutter(n, SECOND * 7 / 10, 120 * SECOND));
        fleet.run(120 * SECOND);
        declared_dead(&fleet).len()
    };
    let all =
        |without_safeguards| SEEDS.map(|seed| declared_dead_count(without_safeguards, seed)).sum::<usize>();
    assert_eq!(all(false), 0);
    assert!(all(true) > 0, "without own health and witnesses live members are declared dead");
}

#[test]
fn asymmetric_cuts_cause_no_false_verdicts_with_an_indirect_path() {
    for seed in SEEDS {
        // 0 receives nothing from 1.
        let mut fleet = up(12, seed);
        fleet.cut(|from, to| (from, to) == (1, 0));
        fleet.run(60 * SECOND);
        assert_eq!(declared_dead(&fleet), BTreeSet::new(), "seed {seed}: one pair");
        // 4 can send but receives nothing.
        let mut fleet = up(12, seed);
        fleet.cut(|_, to| to == 4);
        fleet.run(60 * SECOND);
        assert!(fleet.verdicts().all(|(n, _)| n.by != 4), "seed {seed}: a deaf member issues no verdicts");
        assert!(declared_dead(&fleet).is_subset(&BTreeSet::from([4])), "seed {seed}: deaf");
        assert!(noticed(&fleet, 4, &LocalEvent::CutOff), "seed {seed}");
        assert_eq!(fleet.core(4).expect("it runs").standing(), Standing::CutOff);
        fleet.heal();
        assert!(fleet.run_for(5 * SECOND, Fleet::converged).is_some(), "seed {seed}: back");
        assert!(noticed(&fleet, 4, &LocalEvent::Reconnected), "seed {seed}");
        // A zone of three receives but isn't heard.
        let mut fleet = up(12, seed);
        fleet.cut(|from, to| from < 3 && to >= 3);
        fleet.run(60 * SECOND);
        assert!(
            declared_dead(&fleet).is_subset(&BTreeSet::from([0, 1, 2])),
            "seed {seed}: {:?}",
            declared_dead(&fleet)
        );
        assert!(
            fleet.verdicts().all(|(n, _)| n.by >= 3),
            "seed {seed}: members that are not heard issue no verdicts"
        );
        fleet.heal();
        assert!(fleet.run_for(5 * SECOND, Fleet::converged).is_some(), "seed {seed}: zone back");
    }
}

#[test]
fn splits_heal_within_5_s_without_a_restart() {
    for seed in SEEDS {
        for parts in [2, 3] {
            let mut fleet = up(12, seed);
            fleet.cut(move |from, to| from % parts != to % parts);
            fleet.run(280 * SECOND);
            // Members known to be dead get no more traffic than one ping per probe interval.
            let before = fleet.sent[0];
            fleet.run(20 * SECOND);
            let each = (fleet.sent[0] - before) as f64 / 240.0;
            assert!(each < 9.0, "seed {seed}, {parts} parts: {each} datagrams a second");
            fleet.heal();
            assert!(fleet.run_for(5 * SECOND, Fleet::converged).is_some(), "seed {seed}, {parts} parts");
        }
    }
}

#[test]
fn flapping_does_not_escalate() {
    for seed in SEEDS {
        let mut fleet = up(12, seed);
        for _ in 0..10 {
            fleet.cut(|from, to| (from < 4) != (to < 4));
            fleet.run(3 * SECOND);
            fleet.heal();
            fleet.run(3 * SECOND);
        }
        let verdicts = fleet.verdicts().count();
        assert!(verdicts <= 12 * 10, "seed {seed}: {verdicts}");
        assert!(fleet.run_for(5 * SECOND, Fleet::converged).is_some(), "seed {seed}");
        let most = (0..12).filter_map(|n| fleet.core(n)).map(|c| c.own().incarnation).max();
        assert!(most < Some(60), "seed {seed}: incarnation {most:?}");
    }
}

/// Updates about the first process's death are delayed, duplicated, and arrive after those about its successor.
#[test]
fn a_quick_restart_survives_stale_updates_of_its_death() {
    for seed in SEEDS {
        let mut fleet = up(12, seed);
        fleet.network =
            Network { max_extra_delay: 2 * SECOND, duplicated: 0.3, loss: 0.1, ..Network::default() };
        for gap in [300, 3000, 5000] {
            fleet.kill(7);
            fleet.run(Duration::from_millis(gap));
            fleet.start(7);
            fleet.run(Duration::from_secs(10));
        }
        fleet.network = Network::default();
        assert!(fleet.run_for(10 * SECOND, Fleet::converged).is_some(), "seed {seed}");
    }
}

#[test]
fn fleets_form_from_nothing_whatever_starts_first() {
    for seed in SEEDS {
        let mut fleet = Fleet::empty(30, settings(false), seed);
        // Processes 0 to 2 are the seeds; they start last.
        (3..30).rev().for_each(|n| fleet.start(n));
        fleet.run(3 * SECOND);
        (0..3).for_each(|n| fleet.start(n));
        assert!(fleet.run_for(15 * SECOND, Fleet::converged).is_some(), "seed {seed}");
        (0..30).for_each(|n| fleet.kill(n));
        (0..30).for_each(|n| fleet.start(n));
        assert!(fleet.run_for(15 * SECOND, Fleet::converged).is_some(), "seed {seed}: again");
        assert_eq!(fleet.verdicts().count(), 0, "seed {seed}");
    }
}

#[test]
fn of_two_under_one_name_the_older_yields_and_the_rest_see_one_change() {
    for seed in SEEDS {
        let mut fleet = Fleet::empty(13, settings(false), seed);
        (0..12).for_each(|n| fleet.start(n));
        fleet.run(15 * SECOND);
        fleet.observed.clear();
        fleet.start_as(12, 5);
        fleet.run(20 * SECOND);
        assert!(noticed(&fleet, 5, &LocalEvent::Yielded(address(12))), "seed {seed}");
        assert!(noticed(&fleet, 12, &LocalEvent::DuplicateName(address(5))), "seed {seed}");
        let id = MemberId::of(&name(5));
        for n in (0..12).filter(|n| *n != 5) {
            let of =
                |c: &Change| matches!(c, Change::Returned(m) | Change::Died { member: m, .. } if *m == id);
            let changes = fleet.observed.iter().filter(|x| x.by == n && of(&x.change)).count();
            assert_eq!(changes, 1, "seed {seed}, place {n}");
        }
        assert_eq!(declared_dead(&fleet), BTreeSet::new(), "seed {seed}");
    }
}

/// A restart with an earlier clock must not leave the predecessor's record in place.
#[test]
fn a_restart_under_a_clock_that_went_back_is_taken_in() {
    let mut fleet = up(12, 3);
    fleet.kill(4);
    // By its own clock the predecessor started a day later.
    let mut record = fleet.core(5).expect("it runs").own().clone();
    (record.name, record.address) = (name(4), address(4));
    record.generation.started += 86_400_000;
    let update = Update::Alive(record.clone()).encode();
    let sender = Sender { id: MemberId(1), generation: record.generation, incarnation: 1 };
    let body = Body::Records;
    let message = Message { sender, body, updates: vec![update] };
    fleet.inject(0, address(11), wire::encode("lab", &message));
    fleet.run(SECOND);
    fleet.start(4);
    assert!(fleet.run_for(15 * SECOND, Fleet::converged).is_some());
    assert!(fleet.core(4).expect("it runs").own().generation > record.generation);
}

#[test]
fn leaving_members_are_removed_at_once_and_cause_no_minority() {
    let mut fleet = up(12, 1);
    (0..8).for_each(|n| fleet.leave(n));
    let all = |f: &Fleet| (8..12).all(|n| f.core(n).is_some_and(|c| c.count(State::Left) == 8));
    assert!(fleet.run_for(10 * SECOND, all).is_some());
    assert_eq!(declared_dead(&fleet), BTreeSet::new());
    assert!((8..12).all(|n| fleet.core(n).map(|c| c.standing()) == Some(Standing::Majority)));
    assert!((8..12).all(|n| fleet.core(n).map(|c| c.agreed_size()) == Some(4)));
}

/// Three tenths of a fleet see each other but no majority, until more members are back.
#[test]
fn seven_in_ten_killed_are_known_and_leave_a_minority() {
    for seed in SEEDS {
        let mut fleet = up(20, seed);
        (0..14).for_each(|n| fleet.kill(n));
        let known = |f: &Fleet| (14..20).all(|n| f.core(n).is_some_and(|c| c.count(State::Dead) == 14));
        assert!(fleet.run_for(20 * SECOND, known).is_some(), "seed {seed}");
        assert!((14..20).all(|n| fleet.core(n).map(|c| c.standing()) == Some(Standing::Minority)));
        fleet.run(60 * SECOND);
        assert!(
            (14..20).all(|n| fleet.core(n).map(|c| c.agreed_size()) == Some(20)),
            "a minority must not agree on a new size"
        );
        (0..14).for_each(|n| fleet.start(n));
        assert!(fleet.run_for(15 * SECOND, Fleet::converged).is_some(), "seed {seed}: back");
        fleet.run(2 * SECOND);
        assert!((14..20).all(|n| fleet.core(n).map(|c| c.standing()) == Some(Standing::Majority)));
    }
}

#[test]
fn values_reach_all_members_despite_loss() {
    for seed in SEEDS {
        let mut fleet = up(60, seed);
        fleet.network = lossy(0.3);
        fleet.publish(9, vec![1; 200]);
        fleet.publish(9, vec![2; 200]);
        let id = MemberId::of(&name(9));
        let told = |f: &Fleet, n: usize| {
            let record = f.core(n).and_then(|c| c.member(id)).map(|m| m.record.clone());
            record.is_some_and(|r| r.value(Topic::Drill) == Some(&[2; 200]))
        };
        let all = |f: &Fleet| (0..60).filter(|n| *n != 9).all(|n| told(f, n));
        assert!(fleet.run_for(20 * SECOND, all).is_some(), "seed {seed}");
        // A value above the size limit is not published.
        fleet.publish(9, vec![3; 300]);
        fleet.run(5 * SECOND);
        assert!(all(&fleet), "seed {seed}");
    }
}

#[test]
fn corrupted_datagrams_change_nothing() {
    for seed in SEEDS {
        let mut fleet = up(12, seed);
        fleet.network =
            Network { corrupted: 0.2, duplicated: 0.2, max_extra_delay: SECOND / 20, ..Network::default() };
        fleet.run(60 * SECOND);
        assert_eq!(declared_dead(&fleet), BTreeSet::new(), "seed {seed}");
        assert!(
            (0..12).all(|n| fleet.core(n).is_some_and(|c| c.live_count() == 12 && c.counts().dropped > 0))
        );
    }
}

/// Two clusters with different names on one network.
#[test]
fn clusters_of_different_names_ignore_each_other() {
    let mut fleet = up(5, 1);
    let mut other = Fleet::converged_fleet(5, Settings { cluster: "other".into(), ..settings(false) }, 2);
    other.run(2 * SECOND);
    let mut actions = Vec::new();
    let mut stranger = Core::new(
        Settings { cluster: "other".into(), seeds: vec![address(0)], ..settings(false) },
        Record { name: "x".into(), ..other.core(1).expect("it runs").own().clone() },
        1,
        Duration::ZERO,
    )
    .expect("valid settings");
    stranger.handle(SECOND, Event::Wake, &mut actions);
    let mut sent = 0;
    for action in actions {
        if let Action::Send { bytes, .. } = action {
            fleet.inject(0, address(4), bytes);
            sent += 1;
        }
    }
    assert!(sent > 0);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.core(0).map(|c| (c.live_count(), c.counts().dropped)), Some((5, sent)));
}

#[test]
fn the_same_seed_is_the_same_run() {
    let run = || {
        let mut fleet = up(12, 5);
        fleet.network = Network { loss: 0.2, duplicated: 0.1, max_extra_delay: SECOND / 10, corrupted: 0.01 };
        fleet.kill(3);
        fleet.run(20 * SECOND);
        (fleet.sent, fleet.observed)
    };
    assert_eq!(run(), run());
}

#[test]
fn a_quiet_fleet_costs_the_same_at_every_size() {
    for size in [12, 100] {
        let cost = idle_cost(size, 60, 0.0, 0.0, false, 1);
        assert!(cost.datagrams < 7.0 && cost.bytes < 1000.0, "{size}: {cost:?}");
        assert_eq!(cost.false_verdicts, 0);
    }
}

/// Server loads by the members' positions. Keeping the former positions would be uneven, as the worst ratio shows.
#[test]
fn servers_are_loaded_evenly_again_after_upheavals() {
    for (size, disruption, uneven) in
        [(52, Disruption::Join(8), true), (60, Disruption::Kill(0.7), true), (60, Disruption::Restart, false)]
    {
        let even = evenness(size, disruption, 1);
        assert!(even.within.is_some_and(|s| s <= 15.0), "{disruption:?}: {even:?}");
        assert_eq!(even.worst > 1.3, uneven, "{disruption:?}: {even:?}");
    }
}
