//! Tells by a connection's first bytes what is spoken on it.
//!
//! A strict binary message begins with `80 01`, a compact one with `82`. An old binary message begins with the length of
//! a name, a frame with the length of a message: both small numbers. They are told apart by what stands behind them.

use crate::read::COMPACT_ID;
use crate::{Error, ErrorKind, Limits, Protocol};

/// What is spoken on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Dialect {
    /// The encoding.
    pub protocol: Protocol,
    /// Whether each message is in a frame.
    pub framed: bool,
}

/// What is spoken; None: too little has come to tell.
///
/// An old binary header has a name's first letter where a framed message has a header, and no letter is `80` or `82`. The
/// length of a name inside a frame begins with a zero byte, as no name does. Lengths over the limits are none, so that
/// another protocol's first bytes are not waited on.
pub fn detect(bytes: &[u8], limits: &Limits) -> Result<Option<Dialect>, Error> {
    let dialect = |protocol, framed| Ok(Some(Dialect { protocol, framed }));
    let none = |offset| Err(Error { offset, kind: ErrorKind::NoHeader });
    match *bytes {
        [] | [0x80] => return Ok(None),
        [0x80, 0x01, ..] => return dialect(Protocol::Binary, false),
        [COMPACT_ID, ..] => return dialect(Protocol::Compact, false),
        [0x80..=0xff, ..] => return none(0),
        _ => {}
    }
    let Some(length) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > limits.message.max(limits.name) {
        return none(0);
    }
    match bytes[4..] {
        [] | [0x80] => Ok(None),
        [0x80, 0x01, ..] => dialect(Protocol::Binary, true),
        [COMPACT_ID, ..] => dialect(Protocol::Compact, true),
        // A name's length in its frame.
        [0x00, ..] => dialect(Protocol::Binary, true),
        [0x21..=0x7e, ..] if length <= limits.name => dialect(Protocol::Binary, false),
        _ => none(4),
    }
}
