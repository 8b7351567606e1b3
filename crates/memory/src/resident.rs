//! The resident size of this process, from `/proc/self/statm` (proc_pid_statm(5)).

use std::fs::File;
use std::os::unix::fs::FileExt;

const STATM: &str = "/proc/self/statm";
/// Longer than any line of the file: seven decimal numbers.
const MAX_LINE: usize = 160;

/// Reads the resident size. Keeps the file open, so that a reading is a single system call.
#[derive(Debug)]
pub(crate) struct ResidentReader {
    statm: Option<File>,
    page_size: usize,
}

impl ResidentReader {
    /// Opens the file. Where it is missing, nothing is ever read.
    pub(crate) fn open() -> Self {
        ResidentReader { statm: File::open(STATM).ok(), page_size: rustix::param::page_size() }
    }

    /// Returns the resident size in bytes. `None`: the system does not tell it.
    pub(crate) fn read(&self) -> Option<usize> {
        let mut line = [0; MAX_LINE];
        let length = self.statm.as_ref()?.read_at(&mut line, 0).ok()?;
        parse_resident_pages(&line[..length]).map(|pages| pages * self.page_size)
    }
}

/// The second number of the line.
fn parse_resident_pages(line: &[u8]) -> Option<usize> {
    std::str::from_utf8(line).ok()?.split_ascii_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_second_number_is_the_resident_size() {
        assert_eq!(parse_resident_pages(b"2310 1432 1180 1003 0 310 0\n"), Some(1432));
        for malformed in [&b""[..], b"2310", b"2310 x 1", b"\xff \xff"] {
            assert_eq!(parse_resident_pages(malformed), None);
        }
    }

    #[test]
    fn a_reading_sees_memory_that_was_touched() {
        const SIZE: usize = 64 << 20;
        let reader = ResidentReader::open();
        let before = reader.read().expect("a resident size");
        let touched = std::hint::black_box(vec![1_u8; SIZE]);
        let after = reader.read().expect("a resident size");
        assert!(after >= before + SIZE / 2, "{before} before, {after} after");
        drop(touched);
    }
}
