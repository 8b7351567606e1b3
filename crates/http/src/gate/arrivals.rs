//! Arrival times of a connection's bytes, so that the time a request spent queued behind others is known.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes received within this time of the first byte of a batch count as having arrived with it.
const MERGE_WINDOW: Duration = Duration::from_millis(5);

/// Number of unread bytes from which on the peer may be unable to send more: the receive window that a connection has at
/// first is twice as large.
const MAY_BLOCK_PEER: usize = 32 << 10;

/// How long what a peer was unable to send may take to arrive once there is space for it.
const REFILL_TIME: Duration = Duration::from_millis(50);

/// Arrival times of the bytes that were received on a connection and not yet forwarded.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    /// Bytes read so far, bytes known to be received, and how many of them have been forwarded.
    read: u64,
    received: u64,
    forwarded: u64,
    /// For each batch: the stream offset of its end, and the arrival time of its first byte.
    batches: VecDeque<(u64, Instant)>,
    /// Since when the peer may have been unable to send more, and since when it can again.
    peer_blocked_at: Option<Instant>,
    empty_since: Option<Instant>,
}

impl ArrivalTimes {
    /// Records that `bytes` more bytes were read at `now`.
    pub fn record_read(&mut self, bytes: usize, now: Instant) {
        self.read += bytes as u64;
        self.record_received(self.read, now);
    }

    /// Records that `unread` bytes beyond those that were read had been received at `now`.
    pub fn record_unread(&mut self, unread: usize, now: Instant) {
        self.record_received(self.read + unread as u64, now);
    }

    /// Like [`ArrivalTimes::record_unread`], while a message before is in processing. Where so much is unread that the peer
    /// may be unable to send more, what comes next counts as sent together with what came before it.
    pub fn record_backlog(&mut self, unread: usize, now: Instant) {
        self.record_unread(unread, now);
        if unread >= MAY_BLOCK_PEER {
            self.peer_blocked_at = self.peer_blocked_at.or(self.batches.back().map(|batch| batch.1));
        }
    }

    /// Records that everything that was received has been read.
    pub fn caught_up(&mut self, now: Instant) {
        if self.peer_blocked_at.is_some() {
            self.empty_since.get_or_insert(now);
        }
    }

    /// Returns when what is received at `now` was sent.
    fn sending_time(&mut self, now: Instant) -> Instant {
        let empty_since = self.empty_since.take();
        if empty_since.is_some_and(|since| now.saturating_duration_since(since) >= REFILL_TIME) {
            self.peer_blocked_at = None;
        }
        self.peer_blocked_at.unwrap_or(now)
    }

    /// Returns the stream offset of the next byte to be forwarded.
    pub fn next_offset(&self) -> u64 {
        self.forwarded
    }

    /// Returns when all bytes up to a stream offset that was not forwarded yet had been received. `None`: as far as is
    /// known, they have not been.
    pub fn arrival_of(&self, offset: u64) -> Option<Instant> {
        self.batches.iter().find(|batch| batch.0 >= offset).map(|batch| batch.1)
    }

    /// Records that all bytes up to a stream offset had been received at `now`.
    fn record_received(&mut self, offset: u64, now: Instant) {
        if offset <= self.received {
            return;
        }
        let now = self.sending_time(now);
        self.received = offset;
        match self.batches.back_mut().filter(|batch| now.saturating_duration_since(batch.1) < MERGE_WINDOW) {
            Some(batch) => batch.0 = offset,
            None => self.batches.push_back((offset, now)),
        }
    }

    /// Records that `bytes` more bytes were forwarded. Returns the arrival time of the last of them.
    pub fn forward(&mut self, bytes: usize) -> Option<Instant> {
        self.forwarded += bytes as u64;
        while self.batches.front().is_some_and(|batch| batch.0 < self.forwarded) {
            self.batches.pop_front();
        }
        let arrived = self.batches.front().map(|batch| batch.1);
        if self.forwarded == self.received {
            self.batches.clear();
        }
        arrived
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn queued_bytes_keep_their_arrival_time() {
        let start = Instant::now();
        let after = |ms| start + Duration::from_millis(ms);
        let mut arrivals = ArrivalTimes::default();
        arrivals.record_read(10, start);
        arrivals.record_read(5, after(2));
        arrivals.record_read(10, after(100));
        assert_eq!(arrivals.forward(12), Some(start), "a batch has the arrival time of its first byte");
        assert_eq!(arrivals.forward(4), Some(after(100)));
        assert_eq!(arrivals.forward(9), Some(after(100)));
        assert!(arrivals.batches.is_empty(), "no times are kept for forwarded bytes");
        arrivals.record_read(1, after(300));
        assert_eq!(arrivals.forward(1), Some(after(300)));
    }

    #[test]
    fn bytes_that_had_no_space_count_as_sent_with_those_before() {
        let start = Instant::now();
        let after = |ms| start + Duration::from_millis(ms);
        let mut arrivals = ArrivalTimes::default();
        arrivals.record_read(10, start);
        arrivals.record_backlog(MAY_BLOCK_PEER, after(50));
        arrivals.record_read(MAY_BLOCK_PEER, after(100));
        arrivals.record_backlog(100, after(150));
        assert_eq!(arrivals.arrival_of(10 + MAY_BLOCK_PEER as u64 + 100), Some(after(50)));
        arrivals.record_read(100, after(200));
        arrivals.caught_up(after(200));
        arrivals.record_read(1, after(210));
        assert_eq!(arrivals.arrival_of(10 + MAY_BLOCK_PEER as u64 + 101), Some(after(50)));
        arrivals.caught_up(after(220));
        arrivals.record_read(1, after(300));
        assert_eq!(arrivals.arrival_of(10 + MAY_BLOCK_PEER as u64 + 102), Some(after(300)));
    }

    #[test]
    fn unread_bytes_have_the_time_at_which_they_were_seen() {
        let start = Instant::now();
        let after = |ms| start + Duration::from_millis(ms);
        let mut arrivals = ArrivalTimes::default();
        arrivals.record_read(10, start);
        arrivals.record_unread(20, after(50));
        arrivals.record_unread(20, after(100));
        assert_eq!(arrivals.arrival_of(30), Some(after(50)));
        assert_eq!(arrivals.arrival_of(31), None);
        arrivals.record_read(20, after(900));
        assert_eq!((arrivals.forward(10), arrivals.next_offset()), (Some(start), 10));
        assert_eq!(arrivals.forward(20), Some(after(50)));
    }
}
