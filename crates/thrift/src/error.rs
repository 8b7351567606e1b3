//! What can be wrong with bytes.

use std::fmt;

/// What is wrong, and where: the offset of the value at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at byte {offset}: {problem}")]
pub struct Error {
    /// From the first byte of what was given.
    pub offset: usize,
    /// What.
    pub problem: Problem,
}

/// What has a size. Kept small, as all errors here: they are part of every result on the way through a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum What {
    Name,
    String,
    Container,
    Message,
    Frame,
}

impl fmt::Display for What {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            What::Name => "a name",
            What::String => "a string",
            What::Container => "a container",
            What::Message => "a message",
            What::Frame => "a frame",
        })
    }
}

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// More bytes are wanted than are there.
    #[error("cut short")]
    Cut,
    /// Neither a strict nor an old header of the binary protocol, nor one of the compact.
    #[error("no message header")]
    NoHeader,
    /// A version that is not known.
    #[error("version {0:#x} is not known")]
    Version(u16),
    /// A message type that is not known.
    #[error("message type {0} is not known")]
    MessageType(u8),
    /// A type of values that is not known.
    #[error("type {0} is not known")]
    Type(u8),
    /// A size or length below zero.
    #[error("a size of {0}")]
    Negative(i32),
    /// A size or length over its limit.
    #[error("{what} of {size}, and {limit} is the most")]
    TooLarge {
        /// Of what.
        what: What,
        /// As claimed.
        size: u32,
        /// As allowed.
        limit: u32,
    },
    /// A varint that doesn't end, or holds more than its type does.
    #[error("a varint without end")]
    Varint,
    /// A name that is not UTF-8.
    #[error("the name is not UTF-8")]
    Name,
    /// Structs and containers inside one another without end.
    #[error("nested too deeply")]
    Depth,
    /// A field id outside its range.
    #[error("field ids run over")]
    FieldId,
    /// Bytes behind what should be a whole message.
    #[error("bytes behind the message")]
    Behind,
}

impl Error {
    /// Whether it may only be that not all has come yet.
    pub fn is_cut(&self) -> bool {
        self.problem == Problem::Cut
    }
}
