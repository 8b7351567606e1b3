//! Holding back the last byte of a request until it would reach its server in time.
//!
//! A server runs a request once it has the last byte. A byte that was written to the socket can't be taken back, and a
//! slow server may read it much later. Where a request may run until a certain time only, its last bytes are held back
//! until the server has received everything before them, and is estimated to read that in time.

use crate::tcp_info::{send_state, SendState};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant, Sleep};

/// Requests up to this size in bytes are written at once: they fit into the receive buffer of any server, so that its
/// rate can't be estimated from them.
pub const MAX_UNHELD: usize = 64 << 10;
/// Number of bytes to hold back. One at a time is sent to learn how much space the server's receive buffer has.
pub const HELD_BYTES: usize = 32;
/// Pause before the first check, doubled after each up to ...
const FIRST_PAUSE: Duration = Duration::from_millis(1);
/// ... this one.
const MAX_PAUSE: Duration = Duration::from_millis(32);

/// Estimates how long a server needs to read what it was sent.
///
/// The largest receive window seen, less the current one, is what the server has received and not read.
#[derive(Debug)]
struct DeliveryEstimate {
    started: Instant,
    acknowledged_before: u64,
    largest_window: u64,
}

impl DeliveryEstimate {
    fn new(now: Instant, state: Option<SendState>) -> Self {
        DeliveryEstimate {
            started: now,
            acknowledged_before: state.map_or(0, |state| state.acknowledged),
            largest_window: state.map_or(0, |state| state.peer_window),
        }
    }

    fn observe(&mut self, state: &SendState) {
        self.largest_window = self.largest_window.max(state.peer_window);
    }

    /// Returns the time after which the server is expected to read a byte that is sent at `now`. `None`: it can't be
    /// told, because the server has not received everything or has read nothing yet.
    fn time_to_read(&self, now: Instant, state: &SendState) -> Option<Duration> {
        if !state.all_acknowledged || state.peer_window == 0 {
            return None;
        }
        let unread = self.largest_window.saturating_sub(state.peer_window);
        if unread == 0 {
            return Some(Duration::ZERO);
        }
        let read = (state.acknowledged - self.acknowledged_before).saturating_sub(unread);
        (read > 0).then(|| (now - self.started).mul_f64(unread as f64 / read as f64))
    }
}

/// What to do with the bytes that are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldStep {
    /// Send them all.
    Release,
    /// Send one that is not the last, and ask again.
    SendOne,
}

/// Holds back the last bytes of one request.
#[derive(Debug)]
pub struct DeliveryHold {
    complete_by: Instant,
    estimate: DeliveryEstimate,
    timer: Pin<Box<Sleep>>,
    pause: Duration,
}

impl DeliveryHold {
    /// Starts with a request that is about to be sent over `socket`, and whose last byte the server has to read before
    /// `complete_by`.
    pub fn new(socket: &TcpStream, complete_by: Instant) -> Self {
        DeliveryHold {
            complete_by,
            estimate: DeliveryEstimate::new(Instant::now(), send_state(socket)),
            timer: Box::pin(sleep(FIRST_PAUSE)),
            pause: FIRST_PAUSE,
        }
    }

    /// Takes note of the server's receive window. To be called now and then while the request is sent.
    pub fn observe(&mut self, socket: &TcpStream) {
        send_state(socket).iter().for_each(|state| self.estimate.observe(state));
    }

    /// Waits until the held bytes would be read in time, or until one of them is worth sending to learn more. `written`:
    /// whether everything before them was written to the socket. Stays pending when it is too late.
    pub fn poll_step(&mut self, cx: &mut Context, socket: &TcpStream, written: bool) -> Poll<HoldStep> {
        loop {
            if written && self.is_deliverable(socket) {
                return Poll::Ready(HoldStep::Release);
            }
            ready!(self.timer.as_mut().poll(cx));
            self.pause = (self.pause * 2).min(MAX_PAUSE);
            self.timer.as_mut().reset(Instant::now() + self.pause);
            if written && !self.is_deliverable(socket) {
                return Poll::Ready(HoldStep::SendOne);
            }
        }
    }

    fn is_deliverable(&mut self, socket: &TcpStream) -> bool {
        let now = Instant::now();
        // Without the system's word, only the time counts.
        let time_to_read = match send_state(socket) {
            None => Some(Duration::ZERO),
            Some(state) => {
                self.estimate.observe(&state);
                self.estimate.time_to_read(now, &state)
            }
        };
        time_to_read.is_some_and(|time| now + time < self.complete_by)
    }
}

/// Waits until `complete_by`, and returns then if the peer's machine has not received everything that was written.
pub async fn undelivered(socket: &TcpStream, complete_by: Instant) {
    sleep_until(complete_by).await;
    if send_state(socket).is_none_or(|state| state.all_acknowledged) {
        std::future::pending::<()>().await;
    }
}

/// Waits until the peer's machine has received everything that was written, at most until `complete_by`. Returns whether it
/// has.
pub async fn delivered(socket: &TcpStream, complete_by: Instant) -> bool {
    let mut pause = FIRST_PAUSE;
    loop {
        if send_state(socket).is_none_or(|state| state.all_acknowledged) {
            return true;
        }
        if Instant::now() >= complete_by {
            return false;
        }
        sleep_until(complete_by.min(Instant::now() + pause)).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

#[cfg(test)]
mod tests;
