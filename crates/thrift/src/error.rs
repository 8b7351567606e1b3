//! What can be wrong with bytes.

use std::fmt;

/// What is wrong, and where: the offset of the value at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at byte {offset}: {kind}")]
pub struct Error {
    /// From the first byte of what was given.
    pub offset: usize,
    /// What.
    pub kind: ErrorKind,
}

/// What has a size. Kept small, as all errors here: they are part of every result on the way through a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum SizedItem {
    Name,
    String,
    Container,
    Message,
    Frame,
}

impl fmt::Display for SizedItem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            SizedItem::Name => "a name",
            SizedItem::String => "a string",
            SizedItem::Container => "a container",
            SizedItem::Message => "a message",
            SizedItem::Frame => "a frame",
        })
    }
}

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// More bytes are wanted than are there.
    #[error("cut short")]
    Truncated,
    /// Neither a strict nor an old header of the binary protocol, nor one of the compact.
    #[error("no message header")]
    NoHeader,
    /// A version that is not known.
    #[error("version {0:#x} is not known")]
    UnknownVersion(u16),
    /// A message type that is not known.
    #[error("message type {0} is not known")]
    UnknownMessageType(u8),
    /// A type of values that is not known.
    #[error("type {0} is not known")]
    UnknownValueType(u8),
    /// A size or length below zero.
    #[error("a size of {0}")]
    NegativeSize(i32),
    /// A size or length over its limit.
    #[error("{what} of {size}, and {limit} is the most")]
    TooLarge {
        /// Of what.
        what: SizedItem,
        /// As claimed.
        size: u32,
        /// As allowed.
        limit: u32,
    },
    /// A varint that doesn't end, or holds more than its type does.
    #[error("a varint without end")]
    InvalidVarint,
    /// A name that is not UTF-8.
    #[error("the name is not UTF-8")]
    NameNotUtf8,
    /// Structs and containers inside one another without end.
    #[error("nested too deeply")]
    NestingTooDeep,
    /// A field id outside its range.
    #[error("field ids run over")]
    FieldIdOverflow,
    /// Bytes behind what should be a whole message.
    #[error("bytes behind the message")]
    TrailingBytes,
}

impl Error {
    /// Whether it may only be that not all has come yet.
    pub fn is_truncated(&self) -> bool {
        self.kind == ErrorKind::Truncated
    }
}
