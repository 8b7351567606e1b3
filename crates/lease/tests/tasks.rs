//! Task preference: one node per task, spread over the fleet, and a takeover when the preferred
//! node does not run the task.

use birchswitch_lease::{Decision, Peer, Preference, TakeoverDelays, Task};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const DELAYS: TakeoverDelays =
    TakeoverDelays { takeover: Duration::from_secs(4), handover: Duration::from_secs(10) };

fn task(n: usize) -> Task {
    Task { name: format!("task{n}"), zone: format!("z{}", n % 3), standbys: 0 }
}

fn fleet(size: usize) -> Vec<Peer> {
    let zone = |n: usize| if n % 4 == 3 { "elsewhere".to_owned() } else { format!("z{}", n % 4) };
    (0..size).map(|n| Peer { name: format!("n{n}"), zone: zone(n), running: Vec::new() }).collect()
}

/// The nodes that would acquire a task at once.
fn preferred_nodes(task: &Task, fleet: &[Peer]) -> Vec<String> {
    let acquires = |p: &&Peer| {
        Preference::new(task.clone(), &p.name, DELAYS).decide(SECOND, fleet, false) == Decision::Acquire
    };
    fleet.iter().filter(acquires).map(|p| p.name.clone()).collect()
}

#[test]
fn each_task_has_one_preferred_node_in_its_zone_and_tasks_spread() {
    let fleet = fleet(40);
    let mut held = std::collections::BTreeMap::<String, usize>::new();
    for n in 0..60 {
        let [by] = &preferred_nodes(&task(n), &fleet)[..] else { panic!("not exactly one node") };
        let zone = &fleet.iter().find(|p| p.name == *by).expect("a member").zone;
        assert_eq!(*zone, task(n).zone);
        *held.entry(by.clone()).or_default() += 1;
    }
    // Sixty tasks for the thirty members of the three zones.
    assert!(held.len() > 20 && held.values().all(|n| *n <= 8), "{held:?}");
}

#[test]
fn only_the_tasks_of_a_dead_node_move() {
    let fleet = fleet(40);
    let before: Vec<_> = (0..60).map(|n| preferred_nodes(&task(n), &fleet)).collect();
    let dead = before[0][0].clone();
    let remaining: Vec<Peer> = fleet.into_iter().filter(|p| p.name != dead).collect();
    for (n, by) in before.iter().enumerate() {
        let after = preferred_nodes(&task(n), &remaining);
        assert_eq!(after.len(), 1);
        assert_eq!(after == *by, by[0] != dead, "only the dead node's tasks move");
    }
}

/// The preferred node is alive but cannot get the lease: the second node takes over after a while
/// and hands over at doubling intervals.
#[test]
fn the_second_node_takes_over_when_the_first_does_not_run_the_task() {
    let mut fleet = fleet(12);
    let by = |n: usize, fleet: &[Peer]| {
        let excluded: Vec<String> = (0..n).fold(Vec::new(), |mut excluded, _| {
            let remaining: Vec<Peer> =
                fleet.iter().filter(|p| !excluded.contains(&p.name)).cloned().collect();
            excluded.extend(preferred_nodes(&task(0), &remaining));
            excluded
        });
        excluded[n - 1].clone()
    };
    let second = by(2, &fleet);
    let mut own = Preference::new(task(0), &second, DELAYS);
    let mut waited = 1;
    while own.decide(SECOND * waited, &fleet, false) == Decision::Skip {
        waited += 1;
    }
    assert_eq!(waited, 5, "four seconds after the first decision");
    let mut handovers = Vec::new();
    for second in waited..200 {
        if own.decide(SECOND * second, &fleet, true) == Decision::HandOver {
            handovers.push(second);
        }
    }
    assert_eq!(handovers, [11, 31, 71, 151], "after 10, 20, 40 and 80 s");
    // A member that announces the task keeps the others from acquiring it.
    let third = by(3, &fleet);
    fleet.iter_mut().find(|p| p.name == second).expect("a member").running.push(task(0).id());
    let mut own = Preference::new(task(0), &third, DELAYS);
    assert!((1..100).all(|s| own.decide(SECOND * s, &fleet, false) == Decision::Skip));
    // A node that is not among the members acquires nothing.
    assert_eq!(Preference::new(task(0), "stranger", DELAYS).decide(SECOND, &fleet, false), Decision::Skip);
}
