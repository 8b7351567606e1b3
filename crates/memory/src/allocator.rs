//! What the C library's allocator holds (mallinfo2(3)).

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
