//! Thrift on the wire: the binary and the compact protocol, framed and unframed.
//!
//! A proxy needs only parts of a message: its name, type and sequence id, a few fields, and its end. [`walk`] finds these
//! in one pass over the bytes and skips the rest. It copies nothing, and a size in the input never causes an allocation.
//! [`frame`] handles framing, [`detect`] detects the protocol, [`write`](mod@write) writes messages and [`transcode`]
//! converts one protocol to the other.
//!
//! Input is untrusted: every failure is an [`Error`] with the offset of the value that caused it, and [`Limits`] bound
//! nesting, sizes and lengths. Errors of incomplete input are [`Error::is_truncated`].
//!
//! Implements the public specifications of the Thrift project ("Thrift Binary protocol encoding", "Thrift Compact protocol
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

/// The wire protocols.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Protocol {
    /// The binary protocol: fixed-width integers.
    Binary,
    /// The compact protocol: varints and delta-encoded field ids.
    Compact,
}

/// The type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageType {
    /// A request that expects a reply.
    Call = 1,
    /// A reply with a result or a declared exception.
    Reply = 2,
    /// A reply with a `TApplicationException`.
    Exception = 3,
    /// A request without a reply.
    Oneway = 4,
}

impl MessageType {
    pub(crate) fn from_code(code: u8) -> Result<Self, ErrorKind> {
        match code {
            1 => Ok(MessageType::Call),
            2 => Ok(MessageType::Reply),
            3 => Ok(MessageType::Exception),
            4 => Ok(MessageType::Oneway),
            _ => Err(ErrorKind::UnknownMessageType(code)),
        }
    }
}

/// The types of values, independent of either protocol's type codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)] // Named as in Thrift.
pub enum ValueType {
    Bool,
    I8,
    I16,
    I32,
    I64,
    Double,
    /// `string` and `binary`, which have the same encoding.
    Binary,
    Struct,
    Map,
    Set,
    List,
    Uuid,
}

/// Limits on input that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum nesting of structs and containers.
    pub depth: u32,
    /// Maximum number of elements in a container.
    pub elements: usize,
    /// Maximum length of a string, in bytes.
    pub string: usize,
    /// Maximum length of a message or a frame's content, in bytes.
    pub message: usize,
    /// Maximum length of a message's name, in bytes.
    pub name: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { depth: 64, elements: 1 << 20, string: 1 << 20, message: 1 << 20, name: 256 }
    }
}
