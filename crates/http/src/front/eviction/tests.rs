//! The order of eviction, and who keeps its slot.

use super::*;

const MS: Duration = Duration::from_millis(1);

fn body(silence_ms: u32, behind: bool, longest_pause_ms: u32) -> Activity {
    Activity::Body { silence: silence_ms * MS, behind, longest_pause: longest_pause_ms * MS }
}

fn selected(connections: &[Activity], count: usize) -> Vec<usize> {
    select(connections.iter().copied().enumerate(), count)
}

#[test]
fn what_loses_least_goes_first() {
    let connections =
        [body(900, false, 0), body(400, true, 0), Activity::Head(300 * MS), Activity::Idle(2500 * MS)];
    assert_eq!(selected(&connections, 9), [3, 2, 1, 0]);
    assert_eq!(selected(&connections, 2), [3, 2]);
}

#[test]
fn the_longest_silent_of_a_kind_goes_first() {
    let connections = [1100, 1300, 1200].map(|ms| body(ms, true, 0));
    assert_eq!(selected(&connections, 3), [1, 2, 0]);
    assert_eq!(selected(&[Activity::New(20 * MS), Activity::Idle(3000 * MS)], 1), [1]);
}

/// A body of 48 KiB/s comes in pieces of 16 KiB every third of a second, or of 32 KiB every two thirds, and is never behind
/// 32 KiB/s.
#[test]
fn a_client_that_makes_progress_keeps_its_slot() {
    let progressing = [
        body(340, false, 340),
        body(1200, false, 670),
        body(100, true, 0),
        Activity::Head(100 * MS),
        Activity::Idle(1900 * MS),
        Activity::New(5 * MS),
    ];
    assert_eq!(selected(&progressing, 9), [0; 0]);
}
