use super::*;

fn left(budget: &BufferBudget) -> usize {
    budget.left.load(Ordering::Relaxed)
}

#[test]
fn a_reservation_lasts_as_long_as_the_bytes() {
    let budget = BufferBudget::new(100);
    let bytes = budget.reserve(60).expect("enough is left").attach(Bytes::from_static(b"content"));
    assert!(budget.reserve(60).is_none());
    let slice = bytes.slice(2..4);
    drop(bytes);
    assert_eq!(left(&budget), 40);
    drop(slice);
    assert_eq!(left(&budget), 100);
}

#[test]
fn a_reservation_grows_within_the_budget() {
    let budget = BufferBudget::new(100);
    let mut reservation = budget.reserve(60).expect("enough is left");
    assert!(!reservation.grow_to(110));
    assert!(reservation.grow_to(100));
    assert_eq!(left(&budget), 0);
    drop(reservation);
    assert_eq!(left(&budget), 100);
}

#[test]
fn nothing_is_read_ahead_while_memory_is_elevated_and_nothing_reserved_while_it_is_high() {
    let pressure = MemoryPressure::default();
    let budget = BufferBudget::with_pressure(1 << 20, pressure.clone());
    let mut kept = budget.reserve(100).expect("memory is normal");
    pressure.set_level(MemoryLevel::Elevated);
    assert!(budget.reserve_part().is_none());
    assert!(budget.reserve(100).is_some() && kept.grow_to(200));
    pressure.set_level(MemoryLevel::High);
    assert!(budget.reserve(100).is_none() && !kept.grow_to(300));
    assert!(budget.reserve(0).is_some(), "small heads need nothing");
    pressure.set_level(MemoryLevel::Normal);
    assert!(budget.reserve_part().is_some());
    drop(kept);
    assert_eq!(budget.reserved(), 0);
}

/// Guards against a few bytes that keep a whole block in memory and are counted as a few bytes.
#[test]
fn a_small_part_keeps_no_block() {
    let budget = BufferBudget::new(1 << 20);
    let block = Bytes::from(vec![0; BLOCK]);
    let small = keep(block.slice(..10), budget.reserve_part());
    assert!(block.is_unique(), "the part was copied");
    assert_eq!(left(&budget), (1 << 20) - 10 - PART_OVERHEAD);
    let large = keep(block.slice(..MIN_SHARED), budget.reserve_part());
    assert!(!block.is_unique());
    drop((small, large));
    assert_eq!(left(&budget), 1 << 20);
}
