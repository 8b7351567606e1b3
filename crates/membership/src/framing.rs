//! Finds the JSON objects in a stream of bytes.
//!
//! A watch brings one object a line, but an object may be indented over many lines, and arrives in pieces that break
//! anywhere. Each byte is looked at once, however the pieces come.

use bytes::BytesMut;

/// Largest object that is taken in.
const LARGEST_OBJECT: usize = 4 << 20;

/// Why what came is no sequence of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// Something else stands where an object should begin.
    #[error("no JSON object begins with byte {0:#04x}")]
    NoObject(u8),
    /// A line ends within a string.
    #[error("a line ends within a string")]
    BrokenString,
    /// An object is too large.
    #[error("an object of over {LARGEST_OBJECT} bytes")]
    TooLarge,
}

/// Splits a stream into its objects.
#[derive(Debug, Default)]
pub struct Objects {
    held: BytesMut,
    /// Bytes of `held` that were looked at.
    scanned: usize,
    /// Objects that are open at that place.
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl Objects {
    /// Takes in what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next object that has come whole.
    pub fn next_object(&mut self) -> Result<Option<BytesMut>, FramingError> {
        if self.scanned == 0 {
            self.skip_whitespace();
        }
        while let Some(&byte) = self.held.get(self.scanned) {
            self.scanned += 1;
            self.scan(byte)?;
            if self.depth == 0 {
                let object = self.held.split_to(self.scanned);
                self.scanned = 0;
                return Ok(Some(object));
            }
        }
        if self.held.len() > LARGEST_OBJECT {
            return Err(FramingError::TooLarge);
        }
        Ok(None)
    }

    /// Whether some of an object has come, but not all.
    pub fn is_within_object(&self) -> bool {
        self.depth > 0
    }

    fn skip_whitespace(&mut self) {
        let blank = self.held.iter().take_while(|b| b.is_ascii_whitespace()).count();
        let _ = self.held.split_to(blank);
    }

    /// Takes one byte into account.
    fn scan(&mut self, byte: u8) -> Result<(), FramingError> {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\n' if self.in_string => return Err(FramingError::BrokenString),
            b'\\' if self.in_string => self.escaped = true,
            b'"' if self.depth > 0 => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' => self.depth += 1,
            _ if self.depth == 0 => return Err(FramingError::NoObject(byte)),
            b'}' => self.depth -= 1,
            _ => {}
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The objects of a text that comes in pieces of this size.
    fn objects(text: &str, piece: usize) -> Result<Vec<String>, FramingError> {
        let mut stream = Objects::default();
        let mut found = Vec::new();
        for bytes in text.as_bytes().chunks(piece) {
            stream.push(bytes);
            while let Some(object) = stream.next_object()? {
                found.push(String::from_utf8_lossy(&object).into_owned());
            }
        }
        Ok(found)
    }

    #[test]
    fn objects_are_found_however_they_are_laid_out_and_cut() {
        let all =
            ["{}", "{\"a\":\"}{\\\"\"}", "{\n  \"list\": [\n    {\"b\": 1}\n  ]\n}", "{\"c\":\"\\\\\"}"];
        let text = format!("\n \r\n{}\n", all.join("\n\n"));
        for piece in 1..=text.len() {
            assert_eq!(objects(&text, piece).as_deref(), Ok(all.map(String::from).as_slice()), "{piece}");
        }
    }

    #[test]
    fn what_is_no_object_is_told_at_once() {
        assert_eq!(objects("{}\nnot json", 3), Err(FramingError::NoObject(b'n')));
        assert_eq!(objects("[]", 1), Err(FramingError::NoObject(b'[')));
        assert_eq!(objects("\"", 1), Err(FramingError::NoObject(b'"')));
        assert_eq!(objects("{\"a\":\"cut\n{}\n", 4), Err(FramingError::BrokenString));
    }

    #[test]
    fn an_object_that_goes_on_is_told_once_it_is_too_large() {
        let mut stream = Objects::default();
        stream.push(b"{\"a\":\"");
        stream.push(&vec![b'x'; LARGEST_OBJECT]);
        assert_eq!(stream.next_object(), Err(FramingError::TooLarge));
    }

    #[test]
    fn a_cut_object_is_known_to_go_on() {
        let mut stream = Objects::default();
        stream.push(b"{\"a\"");
        assert_eq!(stream.next_object(), Ok(None));
        assert!(stream.is_within_object());
    }
}
