//! Levels as plain decisions.

use birchswitch_memory::{MemoryLevel, Thresholds};
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
    assert_eq!(at(24), MemoryLevel::High);
    assert_eq!(at(27), MemoryLevel::Critical);
}

#[test]
fn a_level_falls_only_after_a_while_and_clearly_below_its_beginning() {
    let thresholds = Thresholds::new(32 * MIB, 2 * MIB);
    let high = thresholds.next_level(MemoryLevel::Normal, LONG, 23 * MIB + MIB / 2);
    assert_eq!(high, MemoryLevel::High);
    assert_eq!(thresholds.next_level(high, Duration::ZERO, 2 * MIB), high);
    assert_eq!(thresholds.next_level(high, LONG, 23 * MIB - MIB / 2), high);
    assert_eq!(thresholds.next_level(high, LONG, 2 * MIB), MemoryLevel::Normal);
}

/// Guards against a node that refuses everything because its limit is hardly more than its own pages.
#[test]
fn a_process_just_started_has_enough_whatever_its_limit() {
    for limit in [0, MIB, 5 * MIB, 8 * MIB, 32 * MIB] {
        assert_eq!(level(limit, 5 * MIB, 6 * MIB), MemoryLevel::Normal, "limit {limit}");
    }
}

proptest! {
    #[test]
    fn levels_never_fall_as_memory_grows(limit in 0..1_usize << 32, start in 0..1_usize << 26, a: u32, b: u32) {
        let (small, large) = (a.min(b) as usize, a.max(b) as usize);
        prop_assert!(level(limit, start, small) <= level(limit, start, large));
    }
}
