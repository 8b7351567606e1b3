//! Errors of reading messages.

use std::fmt;

/// An error and the offset of the value that caused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at byte {offset}: {kind}")]
pub struct Error {
    /// Offset from the first byte of the input.
    pub offset: usize,
    /// The kind of error.
    pub kind: ErrorKind,
}

/// An item whose size is limited. All error types here are kept small, since every result of the walker contains one.
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

/// The kinds of errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// The input ends before the message does.
    #[error("cut short")]
    Truncated,
    /// The bytes are no message header: neither a strict nor a non-strict binary one, nor a compact one.
    #[error("no message header")]
    NoHeader,
    /// An unknown protocol version.
    #[error("version {0:#x} is not known")]
    UnknownVersion(u16),
    /// An unknown message type.
    #[error("message type {0} is not known")]
    UnknownMessageType(u8),
    /// An unknown value type.
    #[error("type {0} is not known")]
    UnknownValueType(u8),
    /// A negative size or length.
    #[error("a size of {0}")]
    NegativeSize(i32),
    /// A size or length over its limit.
    #[error("{item} of {size}, and {limit} is the most")]
    TooLarge {
        /// The item that is too large.
        item: SizedItem,
        /// The size in the input.
        size: u32,
        /// The limit.
        limit: u32,
    },
    /// A varint that is too long or doesn't fit its type.
    #[error("a varint without end")]
    InvalidVarint,
    /// A name that is not UTF-8.
    #[error("the name is not UTF-8")]
    NameNotUtf8,
    /// Structs and containers nested deeper than the limit.
    #[error("nested too deeply")]
    NestingTooDeep,
    /// A field id that exceeds 16 bits.
    #[error("field ids run over")]
    FieldIdOverflow,
    /// Bytes after the end of a message that should fill the input.
    #[error("bytes behind the message")]
    TrailingBytes,
}

impl Error {
    /// Whether the input is only incomplete so far: more bytes may make it valid.
    pub fn is_truncated(&self) -> bool {
        self.kind == ErrorKind::Truncated
    }
}
