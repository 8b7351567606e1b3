//! What the C library's allocator holds, and giving its free pages back (mallinfo2(3), malloc_trim(3), mallopt(3)).

#![allow(unsafe_code)]

use crate::blocks::{self, BLOCK_SIZE};

/// Makes the C library map allocations beyond [`BLOCK_SIZE`] each on its own, too. To be called at the start.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn map_large_allocations() {
    // SAFETY: sets a parameter of the allocator; no other thread runs yet that could allocate meanwhile.
    unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, BLOCK_SIZE as libc::c_int) };
}

/// Makes the C library map allocations beyond [`BLOCK_SIZE`] each on its own, too. To be called at the start.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn map_large_allocations() {}

/// Returns how many bytes are allocated. `None`: the C library does not tell it.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub(crate) fn allocated_bytes() -> Option<usize> {
    // SAFETY: takes no arguments, and is safe to call from any thread.
    let info = unsafe { libc::mallinfo2() };
    Some(info.uordblks + info.hblkhd + blocks::bytes_in_use())
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub(crate) fn allocated_bytes() -> Option<usize> {
    None
}

/// Gives free pages back to the system.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub(crate) fn release_free_pages() {
    blocks::release_kept();
    // SAFETY: the argument is the number of bytes to keep at the heap's end; safe to call from any thread.
    unsafe { libc::malloc_trim(0) };
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub(crate) fn release_free_pages() {
    blocks::release_kept();
}
