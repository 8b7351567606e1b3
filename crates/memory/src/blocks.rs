//! An allocator that keeps buffers out of the heap.
//!
//! Connections hold buffers of 8 to 12 KiB, most of which are empty most of the time. In a heap they leave gaps between
//! small long-lived allocations, and an empty buffer is resident because others have written to its pages. Here each buffer
//! is a mapping of its own: pages that nothing was written to take no memory, and freed ones go back to the system, except
//! for a few that the next buffers use. Everything else comes from the system's allocator.

#![allow(unsafe_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::ptr::{null_mut, NonNull};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Size in bytes of a mapping.
pub const BLOCK_SIZE: usize = 12 << 10;
/// Allocations from this size in bytes on, up to [`BLOCK_SIZE`], get a mapping each.
const MIN_BLOCK: usize = 8 << 10;
/// Largest alignment in bytes that every mapping has.
const MAX_ALIGN: usize = 4 << 10;
/// Number of freed mappings that are kept for the next buffers.
const MAX_KEPT: usize = 64;

/// The allocator. To be installed with `#[global_allocator]`.
#[derive(Debug, Default)]
pub struct BlockAllocator;

/// Freed mappings. Each holds the address of the next one in its first bytes.
struct FreeBlocks {
    first: *mut u8,
    count: usize,
}

// SAFETY: the mappings belong to the list, whichever thread uses it.
unsafe impl Send for FreeBlocks {}

static FREE: Mutex<FreeBlocks> = Mutex::new(FreeBlocks { first: null_mut(), count: 0 });
static IN_USE: AtomicUsize = AtomicUsize::new(0);

/// Returns how many bytes of mappings are handed out.
pub(crate) fn bytes_in_use() -> usize {
    IN_USE.load(Ordering::Relaxed) * BLOCK_SIZE
}

fn free_blocks() -> MutexGuard<'static, FreeBlocks> {
    FREE.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FreeBlocks {
    fn take(&mut self) -> Option<NonNull<u8>> {
        let block = NonNull::new(self.first)?;
        // SAFETY: a kept block is mapped, and `keep` has written the next one's address into it.
        self.first = unsafe { block.cast::<*mut u8>().read() };
        self.count -= 1;
        Some(block)
    }

    /// Keeps a block. `false`: there are enough.
    fn keep(&mut self, block: NonNull<u8>) -> bool {
        if self.count >= MAX_KEPT {
            return false;
        }
        // SAFETY: the block is mapped, aligned to a page, and nobody uses it any more.
        unsafe { block.cast::<*mut u8>().write(self.first) };
        self.first = block.as_ptr();
        self.count += 1;
        true
    }
}

/// Maps a block. Null if the system has no memory.
fn map() -> *mut u8 {
    let (protection, flags) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_PRIVATE | libc::MAP_ANONYMOUS);
    // SAFETY: a new anonymous mapping overlaps nothing.
    let block = unsafe { libc::mmap(null_mut(), BLOCK_SIZE, protection, flags, -1, 0) };
    if block == libc::MAP_FAILED {
        null_mut()
    } else {
        block.cast()
    }
}

/// Unmaps the blocks that are kept for the next buffers.
pub(crate) fn release_kept() {
    let take = || free_blocks().take();
    while let Some(block) = take() {
        unmap(block.as_ptr());
    }
}

fn unmap(block: *mut u8) {
    // SAFETY: `map` has mapped it, with this size, and nobody uses it any more.
    unsafe { libc::munmap(block.cast(), BLOCK_SIZE) };
}

fn is_block(layout: &Layout) -> bool {
    (MIN_BLOCK..=BLOCK_SIZE).contains(&layout.size()) && layout.align() <= MAX_ALIGN
}

// SAFETY: a layout alone decides which of the two allocators is used, so that what one of them hands out returns to it.
// Neither path allocates or panics.
unsafe impl GlobalAlloc for BlockAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        if !is_block(&layout) {
            // SAFETY: the caller's promises are those of `System`.
            return unsafe { System.alloc(layout) };
        }
        let kept = free_blocks().take();
        let block = kept.map_or_else(map, NonNull::as_ptr);
        if !block.is_null() {
            IN_USE.fetch_add(1, Ordering::Relaxed);
        }
        block
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        if !is_block(&layout) {
            // SAFETY: `alloc` got it from `System` with this layout.
            return unsafe { System.dealloc(block, layout) };
        }
        IN_USE.fetch_sub(1, Ordering::Relaxed);
        let kept = NonNull::new(block).is_some_and(|block| free_blocks().keep(block));
        if !kept {
            unmap(block);
        }
    }

    unsafe fn realloc(&self, old: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        // SAFETY: the caller promises that the size is valid for the alignment.
        let new_layout = unsafe { Layout::from_size_align_unchecked(size, layout.align()) };
        match (is_block(&layout), is_block(&new_layout)) {
            // SAFETY: `alloc` got it from `System` with this layout.
            (false, false) => unsafe { System.realloc(old, layout, size) },
            (true, true) => old,
            _ => {
                // SAFETY: the layout is valid, see above.
                let new = unsafe { self.alloc(new_layout) };
                if !new.is_null() {
                    // SAFETY: both are valid for the smaller size and do not overlap; the old one is not used again.
                    unsafe {
                        std::ptr::copy_nonoverlapping(old, new, layout.size().min(size));
                        self.dealloc(old, layout);
                    }
                }
                new
            }
        }
    }
}
