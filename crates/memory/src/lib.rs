//! Keeps a process within its memory limit by measurement.
//!
//! What a program counts is less than what it occupies: allocators round up, keep freed blocks, and the program's own
//! pages count too. [`MemoryMonitor`] reads the resident size from the system and derives a [`MemoryLevel`] from it, which
//! other packages ask through [`MemoryPressure`] before they take on more. It also tells the allocator to give free
//! pages back. [`BlockAllocator`] keeps buffers out of the heap, where they would leave gaps.
//!
//! `level` and `release` decide, without I/O; `resident` and `allocator` ask the system and the C library.

#![deny(unsafe_code)]
#![deny(missing_docs)]

mod allocator;
mod blocks;
mod level;
mod monitor;
mod release;
mod resident;

pub use allocator::map_large_allocations;
pub use blocks::{BlockAllocator, BLOCK_SIZE};
pub use level::{MemoryLevel, Thresholds};
pub use monitor::{MemoryMonitor, MemoryPressure, MemoryUsage};
pub use release::ReleaseSchedule;
