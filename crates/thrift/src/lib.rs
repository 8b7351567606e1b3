//! Thrift on the wire: the binary and the compact protocol, framed and unframed.
//!
//! A proxy needs little of a message: its name, type and sequence id, a few fields, and where it ends. [`walk`] finds
//! these in one pass over the bytes and skips the rest; nothing is copied, and a claimed size never allocates. [`frame`]
//! cuts frames, [`detect`] tells the protocols apart, [`write`] writes messages, [`transcode`] turns one protocol into
//! the other.
//!
//! Bytes from outside are never trusted: every error is an [`Error`] with the offset of what is at fault, and
//! [`Limits`] bound depth, sizes and lengths. Input that ends too early is [`Error::is_truncated`]: more may come.
//!
//! After the public specifications of the Thrift project ("Thrift Binary protocol encoding", "Thrift Compact protocol
//! encoding", "Thrift Remote Procedure Call").

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod detect;
mod error;
pub mod frame;
mod read;
pub mod transcode;
pub mod walk;
pub mod write;

pub use error::{Error, ErrorKind, SizedItem};

/// The two encodings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Protocol {
    /// Fixed widths.
    Binary,
    /// Varints, and field ids as differences.
    Compact,
}

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageType {
    /// A request that wants a reply.
    Call = 1,
    /// A reply with a result or a declared exception.
    Reply = 2,
    /// A reply with a `TApplicationException`.
    Exception = 3,
    /// A request that gets no reply.
    Oneway = 4,
}

impl MessageType {
    pub(crate) fn read(number: u8) -> Result<Self, ErrorKind> {
        match number {
            1 => Ok(MessageType::Call),
            2 => Ok(MessageType::Reply),
            3 => Ok(MessageType::Exception),
            4 => Ok(MessageType::Oneway),
            _ => Err(ErrorKind::UnknownMessageType(number)),
        }
    }
}

/// The types of values, in neither protocol's numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)] // They are Thrift's own names.
pub enum ValueType {
    Bool,
    I8,
    I16,
    I32,
    I64,
    Double,
    /// `string` and `binary`, which look alike.
    Binary,
    Struct,
    Map,
    Set,
    List,
    Uuid,
}

/// Bounds on what is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Structs and containers inside one another.
    pub depth: u32,
    /// Elements of one container.
    pub elements: usize,
    /// Bytes of one string.
    pub string: usize,
    /// Bytes of a whole message, or of a frame.
    pub message: usize,
    /// Bytes of a message's name.
    pub name: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { depth: 64, elements: 1 << 20, string: 1 << 20, message: 1 << 20, name: 256 }
    }
}
