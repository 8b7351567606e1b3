//! Splits a byte stream into JSON objects.
//!
//! A watch sends one object per line, but an object may also span many lines, and it arrives in chunks with
//! arbitrary boundaries. Each byte is scanned once, however the stream is chunked.

use bytes::BytesMut;

/// Maximum size of an object.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// An error in the stream of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// A byte other than `{` where an object should start.
    #[error("expected a JSON object, found byte {0:#04x}")]
    UnexpectedByte(u8),
    /// A line break inside a string.
    #[error("line break inside a string")]
    NewlineInString,
    /// An object exceeds the maximum size.
    #[error("JSON object exceeds {MAX_OBJECT_BYTES} bytes")]
    TooLarge,
}

/// Buffers a stream and returns its complete objects.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    buffer: BytesMut,
    /// Number of bytes of `buffer` that were scanned.
    scanned: usize,
    /// Number of objects open at that position.
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl ObjectSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete object.
    pub fn next_object(&mut self) -> Result<Option<BytesMut>, FramingError> {
        if self.scanned == 0 {
            self.skip_whitespace();
        }
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            self.scan(byte)?;
            if self.depth == 0 {
                let object = self.buffer.split_to(self.scanned);
                self.scanned = 0;
                return Ok(Some(object));
            }
        }
        if self.buffer.len() > MAX_OBJECT_BYTES {
            return Err(FramingError::TooLarge);
        }
        Ok(None)
    }

    /// Returns whether an object has been received in part.
    pub fn is_within_object(&self) -> bool {
        self.depth > 0
    }

    fn skip_whitespace(&mut self) {
        let blank = self.buffer.iter().take_while(|b| b.is_ascii_whitespace()).count();
        let _ = self.buffer.split_to(blank);
    }

    /// Updates the state with the next byte.
    fn scan(&mut self, byte: u8) -> Result<(), FramingError> {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\n' if self.in_string => return Err(FramingError::NewlineInString),
            b'\\' if self.in_string => self.escaped = true,
            b'"' if self.depth > 0 => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' => self.depth += 1,
            _ if self.depth == 0 => return Err(FramingError::UnexpectedByte(byte)),
            b'}' => self.depth -= 1,
            _ => {}
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Splits a text that arrives in chunks of the given size.
    fn split(text: &str, chunk: usize) -> Result<Vec<String>, FramingError> {
        let mut stream = ObjectSplitter::default();
        let mut found = Vec::new();
        for bytes in text.as_bytes().chunks(chunk) {
            stream.push(bytes);
            while let Some(object) = stream.next_object()? {
                found.push(String::from_utf8_lossy(&object).into_owned());
            }
        }
        Ok(found)
    }

    #[test]
    fn objects_are_found_for_any_layout_and_chunk_size() {
        let all =
            ["{}", "{\"a\":\"}{\\\"\"}", "{\n  \"list\": [\n    {\"b\": 1}\n  ]\n}", "{\"c\":\"\\\\\"}"];
        let text = format!("\n \r\n{}\n", all.join("\n\n"));
        for chunk in 1..=text.len() {
            assert_eq!(split(&text, chunk).as_deref(), Ok(all.map(String::from).as_slice()), "{chunk}");
        }
    }

    #[test]
    fn a_malformed_stream_is_an_error_at_once() {
        assert_eq!(split("{}\nnot json", 3), Err(FramingError::UnexpectedByte(b'n')));
        assert_eq!(split("[]", 1), Err(FramingError::UnexpectedByte(b'[')));
        assert_eq!(split("\"", 1), Err(FramingError::UnexpectedByte(b'"')));
        assert_eq!(split("{\"a\":\"cut\n{}\n", 4), Err(FramingError::NewlineInString));
    }

    #[test]
    fn an_object_over_the_maximum_size_is_an_error() {
        let mut stream = ObjectSplitter::default();
        stream.push(b"{\"a\":\"");
        stream.push(&vec![b'x'; MAX_OBJECT_BYTES]);
        assert_eq!(stream.next_object(), Err(FramingError::TooLarge));
    }

    #[test]
    fn a_partial_object_is_reported_as_such() {
        let mut stream = ObjectSplitter::default();
        stream.push(b"{\"a\"");
        assert_eq!(stream.next_object(), Ok(None));
        assert!(stream.is_within_object());
    }
}
