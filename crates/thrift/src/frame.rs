//! Framing: each message is preceded by its length as four big-endian bytes.

use crate::{Error, ErrorKind, Limits, SizedItem};

/// Size of a frame's header, in bytes.
pub const HEADER_LEN: usize = 4;

/// The content length of the frame at the start of `bytes`; `None` if its header is incomplete.
///
/// Fails if the length is negative, zero or over the limit.
pub fn length(bytes: &[u8], limits: &Limits) -> Result<Option<usize>, Error> {
    let Some(header) = bytes.first_chunk::<HEADER_LEN>() else { return Ok(None) };
    let (offset, limit) = (0, limits.message);
    let length = i32::from_be_bytes(*header);
    let kind = match usize::try_from(length) {
        Err(_) => ErrorKind::NegativeSize(length),
        Ok(0) => ErrorKind::NoHeader,
        Ok(n) if n > limit => {
            ErrorKind::TooLarge { item: SizedItem::Frame, size: n as u32, limit: limit as u32 }
        }
        Ok(n) => return Ok(Some(n)),
    };
    Err(Error { offset, kind })
}

/// Writes the content length into the first [`HEADER_LEN`] bytes, which the caller has reserved for it.
///
/// # Panics
/// If `frame` has fewer than four bytes or its content exceeds the maximum frame length.
pub fn write_length(frame: &mut [u8]) {
    let length = i32::try_from(frame.len() - HEADER_LEN).expect("a frame holds less than 2 GiB");
    frame[..HEADER_LEN].copy_from_slice(&length.to_be_bytes());
}
