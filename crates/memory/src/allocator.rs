//! What the C library's allocator holds, and giving its free pages back (mallinfo2(3), malloc_trim(3), mallopt(3)).

#![allow(unsafe_code)]

/// Blocks from this size in bytes on, which buffers have, are mapped each on its own: pages that are never written to take
/// no memory, and all of them go back to the system with the block.
pub const MAPPED_BLOCK: usize = 8 << 10;

/// Makes the allocator map blocks of [`MAPPED_BLOCK`] bytes and more each on its own. To be called at the start.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn map_large_blocks() {
    // SAFETY: sets a parameter of the allocator; no other thread runs yet that could allocate meanwhile.
    unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BLOCK as libc::c_int) };
}

/// Makes the allocator map blocks of [`MAPPED_BLOCK`] bytes and more each on its own. To be called at the start.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn map_large_blocks() {}

/// Returns how many bytes are allocated. `None`: the C library does not tell it.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub(crate) fn allocated_bytes() -> Option<usize> {
    // SAFETY: takes no arguments, and is safe to call from any thread.
    let info = unsafe { libc::mallinfo2() };
    Some(info.uordblks + info.hblkhd)
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub(crate) fn allocated_bytes() -> Option<usize> {
    None
}

/// Gives free pages back to the system.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub(crate) fn release_free_pages() {
    // SAFETY: the argument is the number of bytes to keep at the heap's end; safe to call from any thread.
    unsafe { libc::malloc_trim(0) };
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub(crate) fn release_free_pages() {}
