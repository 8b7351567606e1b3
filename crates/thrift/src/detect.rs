//! Detects a connection's dialect from its first bytes.
//!
//! A strict binary message begins with `80 01`, a compact one with `82`. A non-strict binary message begins with the length
//! of a name and a frame with the length of a message. Both are small numbers, distinguished by the bytes that follow.

use crate::read::COMPACT_ID;
use crate::{Error, ErrorKind, Limits, Protocol};

/// A protocol with or without framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Dialect {
    /// The encoding.
    pub protocol: Protocol,
    /// Whether each message is framed.
    pub framed: bool,
}

/// Detects the dialect; `None` if more bytes are needed.
///
/// After the length, a non-strict binary message continues with the first letter of a name, and a framed one with a header.
/// No letter is `80` or `82`, and a non-strict header in a frame begins with the zero byte of a name's length, which no
/// name does. Lengths over the limits are rejected, so that bytes of another protocol are not waited for.
pub fn detect(bytes: &[u8], limits: &Limits) -> Result<Option<Dialect>, Error> {
    let dialect = |protocol, framed| Ok(Some(Dialect { protocol, framed }));
    let no_header = |offset| Err(Error { offset, kind: ErrorKind::NoHeader });
    match *bytes {
        [] | [0x80] => return Ok(None),
        [0x80, 0x01, ..] => return dialect(Protocol::Binary, false),
        [COMPACT_ID, ..] => return dialect(Protocol::Compact, false),
        [0x80..=0xff, ..] => return no_header(0),
        _ => {}
    }
    let Some(length) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > limits.message.max(limits.name) {
        return no_header(0);
    }
    match bytes[4..] {
        [] | [0x80] => Ok(None),
        [0x80, 0x01, ..] => dialect(Protocol::Binary, true),
        [COMPACT_ID, ..] => dialect(Protocol::Compact, true),
        // The length of a name inside a frame: a non-strict header.
        [0x00, ..] => dialect(Protocol::Binary, true),
        [0x21..=0x7e, ..] if length <= limits.name => dialect(Protocol::Binary, false),
        _ => no_header(4),
    }
}
