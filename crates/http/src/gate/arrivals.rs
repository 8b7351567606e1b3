//! When the bytes of a connection came, for those that wait behind others.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes that come within this time of each other count as come together, with the first of them.
const TOGETHER: Duration = Duration::from_millis(5);

/// When the bytes of a connection came.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Bytes that have come so far, and how many of them have passed on.
    come: u64,
    passed: u64,
    /// Up to which byte, and when the first of them since the mark before.
    marks: VecDeque<(u64, Instant)>,
}

impl Arrivals {
    /// So many bytes have come now.
    pub(super) fn came(&mut self, bytes: usize, now: Instant) {
        self.come += bytes as u64;
        match self.marks.back_mut().filter(|mark| now - mark.1 < TOGETHER) {
            Some(mark) => mark.0 = self.come,
            None => self.marks.push_back((self.come, now)),
        }
    }

    /// So many more have passed on. Says when the last of them came.
    pub(super) fn pass(&mut self, bytes: usize) -> Option<Instant> {
        self.passed += bytes as u64;
        while self.marks.front().is_some_and(|mark| mark.0 < self.passed) {
            self.marks.pop_front();
        }
        let came = self.marks.front().map(|mark| mark.1);
        if self.passed == self.come {
            self.marks.clear();
        }
        came
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_that_wait_keep_the_time_at_which_they_came() {
        let began = Instant::now();
        let after = |ms| began + Duration::from_millis(ms);
        let mut arrivals = Arrivals::default();
        arrivals.came(10, began);
        arrivals.came(5, after(2));
        arrivals.came(10, after(100));
        assert_eq!(arrivals.pass(12), Some(began), "the first of those that came together counts");
        assert_eq!(arrivals.pass(4), Some(after(100)));
        assert_eq!(arrivals.pass(9), Some(after(100)));
        assert!(arrivals.marks.is_empty(), "nothing is kept of what has passed");
        arrivals.came(1, after(300));
        assert_eq!(arrivals.pass(1), Some(after(300)));
    }
}
