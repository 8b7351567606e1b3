//! Frames: a length of four bytes, big-endian, before each message.

use crate::{Error, ErrorKind, Limits, SizedItem};

/// Bytes of a frame's length.
pub const HEADER_LEN: usize = 4;

/// The length of the content of a frame that begins with the first byte; None: not even its length is there.
///
/// Errors: a length below zero, of nothing, or over the limit.
pub fn length(bytes: &[u8], limits: &Limits) -> Result<Option<usize>, Error> {
    let Some(head) = bytes.first_chunk::<HEADER_LEN>() else { return Ok(None) };
    let (offset, limit) = (0, limits.message);
    let length = i32::from_be_bytes(*head);
    let kind = match usize::try_from(length) {
        Err(_) => ErrorKind::NegativeSize(length),
        Ok(0) => ErrorKind::NoHeader,
        Ok(n) if n > limit => {
            ErrorKind::TooLarge { what: SizedItem::Frame, size: n as u32, limit: limit as u32 }
        }
        Ok(n) => return Ok(Some(n)),
    };
    Err(Error { offset, kind })
}

/// Puts the length of what follows it into the four bytes kept free for it at the beginning.
///
/// # Panics
/// If there are fewer than four bytes, or more than a frame can hold.
pub fn write_length(frame: &mut [u8]) {
    let length = i32::try_from(frame.len() - HEADER_LEN).expect("a frame holds less than 2 GiB");
    frame[..HEADER_LEN].copy_from_slice(&length.to_be_bytes());
}
