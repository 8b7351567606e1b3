//! Frames: a length of four bytes, big-endian, before each message.

use crate::{Error, Limits, Problem, What};

/// Bytes of a frame's length.
pub const HEAD: usize = 4;

/// The length of the content of a frame that begins with the first byte; None: not even its length is there.
///
/// Errors: a length below zero, of nothing, or over the limit.
pub fn length(bytes: &[u8], limits: &Limits) -> Result<Option<usize>, Error> {
    let Some(head) = bytes.first_chunk::<HEAD>() else { return Ok(None) };
    let (offset, limit) = (0, limits.message);
    let length = i32::from_be_bytes(*head);
    let problem = match usize::try_from(length) {
        Err(_) => Problem::Negative(length),
        Ok(0) => Problem::NoHeader,
        Ok(n) if n > limit => Problem::TooLarge { what: What::Frame, size: n as u32, limit: limit as u32 },
        Ok(n) => return Ok(Some(n)),
    };
    Err(Error { offset, problem })
}

/// Puts the length of what follows it into the four bytes kept free for it at the beginning.
///
/// # Panics
/// If there are fewer than four bytes, or more than a frame can hold.
pub fn seal(frame: &mut [u8]) {
    let length = i32::try_from(frame.len() - HEAD).expect("a frame holds less than 2 GiB");
    frame[..HEAD].copy_from_slice(&length.to_be_bytes());
}
