//! The order of eviction, and who keeps its slot.

use super::*;

const MS: Duration = Duration::from_millis(1);

fn body(behind_ms: u32, longest_pause_ms: u32) -> Activity {
    Activity::Body(Lag { behind: behind_ms * MS, longest_pause: longest_pause_ms * MS })
}

fn selected(connections: &[Activity], count: usize) -> Vec<usize> {
    select(connections.iter().copied().enumerate(), count)
}

#[test]
fn what_loses_least_goes_first() {
    let connections = [body(400, 0), body(900, 0), Activity::Head(300 * MS), Activity::Idle(2500 * MS)];
    assert_eq!(selected(&connections, 9), [3, 2, 1, 0]);
    assert_eq!(selected(&connections, 2), [3, 2]);
}

#[test]
fn the_longest_unproductive_of_a_kind_goes_first() {
    let connections = [1100, 1300, 1200].map(|ms| body(ms, 0));
    assert_eq!(selected(&connections, 3), [1, 2, 0]);
    assert_eq!(selected(&[Activity::New(20 * MS), Activity::Idle(3000 * MS)], 1), [1]);
}

/// A body of 48 KiB/s comes in pieces of 16 KiB every third of a second, or of 32 KiB every two thirds.
#[test]
fn a_client_that_makes_progress_keeps_its_slot() {
    let progressing = [
        body(340, 340),
        body(1200, 670),
        body(300, 0),
        Activity::Head(100 * MS),
        Activity::Idle(1900 * MS),
        Activity::New(5 * MS),
    ];
    assert_eq!(selected(&progressing, 9), [0; 0]);
}
