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
