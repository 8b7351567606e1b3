//! Splits a byte stream into Thrift messages, without I/O.

use birchswitch_thrift::detect::{detect, Dialect};
use birchswitch_thrift::walk::{self, Paths};
use birchswitch_thrift::{frame, Error, Limits};
use bytes::{Buf, Bytes, BytesMut};

/// Free capacity reserved for one read.
pub(crate) const READ_CHUNK: usize = 4 << 10;

/// Buffers received bytes and splits them into messages, framed or unframed.
#[derive(Debug)]
pub struct MessageDecoder {
    buffer: BytesMut,
    dialect: Option<Dialect>,
    limits: Limits,
    no_paths: Paths,
}

impl MessageDecoder {
    /// Starts at a connection's first byte. If `dialect` is `None`, it is detected from the first bytes.
    pub fn new(dialect: Option<Dialect>, limits: Limits) -> Self {
        MessageDecoder { buffer: BytesMut::new(), dialect, limits, no_paths: Paths::default() }
    }

    /// The buffer to read into, with free capacity for one read.
    pub fn read_buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(READ_CHUNK);
        &mut self.buffer
    }

    /// The connection's dialect, once it is known.
    pub fn dialect(&self) -> Option<Dialect> {
        self.dialect
    }

    /// Whether the buffer is empty: it holds no partial message and no bytes after the last message.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The next complete message without its frame header, or `None` if more bytes are needed. The content of a
    /// frame is not validated.
    ///
    /// Errors are final, since the start of the next message is no longer known.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, Error> {
        if self.dialect.is_none() {
            self.dialect = detect(&self.buffer, &self.limits)?;
        }
        let Some(dialect) = self.dialect else { return Ok(None) };
        if dialect.framed {
            let Some(length) = frame::length(&self.buffer, &self.limits)? else { return Ok(None) };
            if self.buffer.len() < frame::HEADER_LEN + length {
                return Ok(None);
            }
            self.buffer.advance(frame::HEADER_LEN);
            return Ok(Some(self.buffer.split_to(length).freeze()));
        }
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let walked = walk::message(dialect.protocol, &self.buffer, &self.no_paths, &self.limits);
        match walked.map(|message| message.end) {
            Ok(end) => Ok(Some(self.buffer.split_to(end).freeze())),
            Err(error) if error.is_truncated() => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// The buffered bytes after an error, without the frame header: their message header may still be readable.
    pub fn undecodable(&self) -> &[u8] {
        let framed = self.dialect.is_some_and(|d| d.framed);
        self.buffer.get(if framed { frame::HEADER_LEN } else { 0 }..).unwrap_or_default()
    }
}
