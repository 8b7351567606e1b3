//! What the C library's allocator holds, and giving its free pages back (mallinfo2(3), malloc_trim(3)).

#![allow(unsafe_code)]

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
