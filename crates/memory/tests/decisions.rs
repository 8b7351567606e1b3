//! Levels and releases as plain decisions.

use birchswitch_memory::{MemoryLevel, MemoryMonitor, ReleaseSchedule, Thresholds};
use proptest::prelude::*;
use std::time::Duration;

const MIB: usize = 1 << 20;
const LONG: Duration = Duration::from_secs(60);

fn level(limit: usize, at_start: usize, resident: usize) -> MemoryLevel {
    Thresholds::new(limit, at_start).next_level(MemoryLevel::Normal, LONG, resident)
}

#[test]
fn levels_follow_the_resident_size() {
    let at = |resident| level(32 * MIB, 5 * MIB, resident * MIB);
    assert_eq!(at(5), MemoryLevel::Normal);
    assert_eq!(at(22), MemoryLevel::Elevated);
    assert_eq!(at(26), MemoryLevel::High);
    assert_eq!(at(27), MemoryLevel::Critical);
}

#[test]
fn a_level_falls_only_after_a_while_and_clearly_below_its_beginning() {
    let thresholds = Thresholds::new(32 * MIB, 2 * MIB);
    let high = thresholds.next_level(MemoryLevel::Normal, LONG, 25 * MIB);
    assert_eq!(high, MemoryLevel::High);
    assert_eq!(thresholds.next_level(high, Duration::ZERO, 2 * MIB), high);
    assert_eq!(thresholds.next_level(high, LONG, 24 * MIB), high);
    assert_eq!(thresholds.next_level(high, LONG, 2 * MIB), MemoryLevel::Normal);
}

/// Guards against a node that refuses everything because its limit is hardly more than its own pages.
#[test]
fn a_process_just_started_has_enough_whatever_its_limit() {
    for limit in [0, MIB, 5 * MIB, 8 * MIB, 32 * MIB] {
        assert_eq!(level(limit, 5 * MIB, 6 * MIB), MemoryLevel::Normal, "limit {limit}");
    }
}

#[test]
fn releases_pause_longer_while_they_give_nothing_back() {
    let mut schedule = ReleaseSchedule::new(5 * MIB);
    let mut releases = 0;
    for _ in 0..600 {
        if schedule.is_due(Duration::from_millis(100), MemoryLevel::High, 25 * MIB) {
            releases += 1;
            schedule.released(25 * MIB, 25 * MIB);
        }
    }
    assert!((28..=40).contains(&releases), "{releases} in a minute");
}

#[test]
fn growth_is_followed_by_a_release_soon() {
    let mut schedule = ReleaseSchedule::new(5 * MIB);
    for _ in 0..8 {
        schedule.released(24 * MIB, 24 * MIB);
    }
    assert!(!schedule.is_due(Duration::from_millis(100), MemoryLevel::High, 24 * MIB));
    assert!(schedule.is_due(Duration::from_millis(1), MemoryLevel::High, 25 * MIB));
}

#[test]
fn nothing_is_released_of_a_process_that_is_idle() {
    let mut schedule = ReleaseSchedule::new(5 * MIB);
    assert!(!schedule.is_due(LONG, MemoryLevel::Normal, 5 * MIB + MIB / 2));
    assert!(schedule.is_due(LONG, MemoryLevel::Normal, 20 * MIB));
}

/// Guards against memory that is freed and stays resident.
#[test]
fn freed_blocks_between_live_ones_are_given_back() {
    const BLOCK: usize = 8 << 10;
    let monitor = MemoryMonitor::new(1 << 30);
    let blocks: Vec<_> = (0..8192).map(|_| std::hint::black_box(vec![1_u8; BLOCK])).collect();
    std::thread::sleep(Duration::from_millis(2));
    monitor.check();
    let full = monitor.usage().resident;
    let kept: Vec<_> = blocks.into_iter().step_by(8).collect();
    let started = std::time::Instant::now();
    while monitor.usage().resident > full / 2 {
        assert!(started.elapsed() < Duration::from_secs(10), "{} of {full} stay", monitor.usage().resident);
        std::thread::sleep(Duration::from_millis(20));
        monitor.check();
    }
    drop(kept);
}

proptest! {
    #[test]
    fn levels_never_fall_as_memory_grows(limit in 0..1_usize << 32, start in 0..1_usize << 26, a: u32, b: u32) {
        let (small, large) = (a.min(b) as usize, a.max(b) as usize);
        prop_assert!(level(limit, start, small) <= level(limit, start, large));
    }
}
