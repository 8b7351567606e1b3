//! Buffers that come from mappings of their own.

use birchswitch_memory::{BlockAllocator, MemoryMonitor, BLOCK_SIZE};
use std::hint::black_box;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: BlockAllocator = BlockAllocator;

const BUFFER: usize = 8 << 10;

fn resident(monitor: &MemoryMonitor) -> usize {
    std::thread::sleep(Duration::from_millis(2));
    monitor.check();
    monitor.usage().resident
}

/// One test, since others beside it would use memory too.
#[test]
fn empty_buffers_are_not_resident_and_freed_ones_are_given_back() {
    const COUNT: usize = 4000;
    let monitor = MemoryMonitor::new(1 << 30);
    let before = resident(&monitor);
    let mut buffers: Vec<Vec<u8>> = (0..COUNT).map(|_| Vec::with_capacity(BUFFER)).collect();
    let empty = resident(&monitor);
    assert!(empty < before + COUNT * BUFFER / 8, "{empty} with empty buffers, {before} before");
    let allocated = monitor.usage().allocated.expect("a figure");
    assert!(allocated >= COUNT * BUFFER, "{allocated} allocated");
    let mut small = Vec::new();
    for buffer in &mut buffers {
        buffer.resize(BUFFER, 1);
        small.push(Box::new(1_u64));
    }
    let full = resident(&monitor);
    assert!(full > before + COUNT * BUFFER, "{full} with full buffers");
    drop(black_box(buffers));
    let after = resident(&monitor);
    assert!(after < before + COUNT * BUFFER / 8, "{after} after {full}, {before} before");
    drop(black_box(small));
    contents_survive_growth_through_all_sizes();
    blocks_are_not_shared_between_threads();
}

fn contents_survive_growth_through_all_sizes() {
    let mut bytes = Vec::with_capacity(1);
    for n in 0..5 * BLOCK_SIZE {
        bytes.push(n as u8);
    }
    assert!(bytes.iter().enumerate().all(|(n, byte)| *byte == n as u8));
    for length in [BLOCK_SIZE, BUFFER + 1, BUFFER, BUFFER - 1, 10] {
        bytes.truncate(length);
        bytes.shrink_to_fit();
        assert!(bytes.iter().enumerate().all(|(n, byte)| *byte == n as u8), "{length}");
    }
}

fn blocks_are_not_shared_between_threads() {
    let write_and_check = |mark: u8| {
        for round in 0..2000 {
            let buffers: Vec<_> = (0..round % 100).map(|_| vec![mark; BUFFER + round % 4096]).collect();
            assert!(buffers.iter().flatten().all(|byte| *byte == mark));
        }
    };
    std::thread::scope(|scope| {
        for mark in 0..4 {
            scope.spawn(move || write_and_check(mark));
        }
    });
}
