//! Cuts a stream of bytes into messages, without I/O.

use birchswitch_thrift::detect::{detect, Dialect};
use birchswitch_thrift::walk::{self, Paths};
use birchswitch_thrift::{frame, Error, Limits};
use bytes::{Buf, Bytes, BytesMut};

/// Room made for one read.
pub(crate) const READ: usize = 4 << 10;

/// See the module's own words.
#[derive(Debug)]
pub struct MessageDecoder {
    held: BytesMut,
    dialect: Option<Dialect>,
    limits: Limits,
    nothing: Paths,
}

impl MessageDecoder {
    /// From a connection's first byte on. Without a dialect it is told by the first bytes.
    pub fn new(dialect: Option<Dialect>, limits: Limits) -> Self {
        MessageDecoder { held: BytesMut::new(), dialect, limits, nothing: Paths::default() }
    }

    /// Where what comes is to be put.
    pub fn read_buffer(&mut self) -> &mut BytesMut {
        self.held.reserve(READ);
        &mut self.held
    }

    /// What is spoken, once that is known.
    pub fn dialect(&self) -> Option<Dialect> {
        self.dialect
    }

    /// Whether nothing is held back: no part of a message, and nothing behind one.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The next whole message without its frame; None: more has to come. A frame's content is not looked into.
    ///
    /// Errors are final: where the next message begins is not known any more.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, Error> {
        if self.dialect.is_none() {
            self.dialect = detect(&self.held, &self.limits)?;
        }
        let Some(dialect) = self.dialect else { return Ok(None) };
        if dialect.framed {
            let Some(length) = frame::length(&self.held, &self.limits)? else { return Ok(None) };
            if self.held.len() < frame::HEADER_LEN + length {
                return Ok(None);
            }
            self.held.advance(frame::HEADER_LEN);
            return Ok(Some(self.held.split_to(length).freeze()));
        }
        if self.held.is_empty() {
            return Ok(None);
        }
        let walked = walk::message(dialect.protocol, &self.held, &self.nothing, &self.limits);
        match walked.map(|message| message.end) {
            Ok(end) => Ok(Some(self.held.split_to(end).freeze())),
            Err(error) if error.is_truncated() => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// What is held and can't be a message, for what its header still tells.
    pub fn undecodable(&self) -> &[u8] {
        let framed = self.dialect.is_some_and(|d| d.framed);
        self.held.get(if framed { frame::HEADER_LEN } else { 0 }..).unwrap_or_default()
    }
}
