//! What a connection's gate tells about its input, and what it may read.

use super::{Client, State};
use crate::gate::{self, Expected, GateHandler, Head, ReadMode, Rejection};
use hyper::StatusCode;
use std::rc::Rc;
use tokio::time::Instant;

impl GateHandler for Rc<Client> {
    const BETWEEN_MESSAGES: Expected = Expected::Head;

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, Rejection> {
        gate::parse_request_head(bytes)
    }

    fn reject(&self, rejection: Rejection) -> std::io::Result<&'static [u8]> {
        self.rejection.set(Some(rejection));
        Ok(b"TURNED-DOWN / HTTP/1.1\r\n\r\n")
    }

    fn head_started(&self) -> Result<(), Rejection> {
        match self.state.get() {
            // The time limit of the first head counts from the acceptance.
            State::New => self.state.set(State::ReadingHead),
            State::Idle => self.enter(State::ReadingHead),
            // The connection was silent, and its request arrived just as it was about to close.
            State::Closing if self.silent_before_close.get().is_some() => self.enter(State::ReadingHead),
            State::HeadTimedOut => return Err((StatusCode::REQUEST_TIMEOUT, "the head took too long")),
            State::ReadingHead
            | State::ReadingBody
            | State::Processing
            | State::Streaming
            | State::Closing => return Ok(()),
        }
        self.input.start();
        Ok(())
    }

    fn read_mode(&self) -> ReadMode {
        let processing = self.requests.get() > self.responses.get();
        match processing {
            _ if self.last_response.get() => ReadMode::Stopped,
            true if self.finishing.get() => ReadMode::Stopped,
            true => ReadMode::Buffer,
            false if self.finishing.get() => ReadMode::Drain,
            false => ReadMode::Forward,
        }
    }

    fn head_parsed(&self, head: &Head) {
        let start = self.arrivals.borrow().next_offset();
        self.request_end.set(match head.next {
            Expected::Body(length) => Some(start + head.length as u64 + length),
            _ => None,
        });
    }

    fn received(&self, bytes: usize) {
        let now = Instant::now();
        self.arrivals.borrow_mut().record_read(bytes, now);
        self.input.received(bytes, now);
        self.body_abandoned.set(false);
    }

    fn caught_up(&self) {
        // While an answer is owed, more may still be coming that the client was unable to send before.
        if self.requests.get() == self.responses.get() {
            self.arrivals.borrow_mut().caught_up(Instant::now());
        }
    }

    fn forwarded(&self, bytes: usize) {
        let arrived = self.arrivals.borrow_mut().forward(bytes);
        self.latest_arrival.set(arrived.or(self.latest_arrival.get()));
    }

    fn body_awaited(&self) {
        self.input.set_awaited(Instant::now());
    }

    fn message_complete(&self) {
        self.requests.set(self.requests.get() + 1);
        self.last_byte.set(self.latest_arrival.get());
    }

    fn buffered_ahead(&self, bytes: usize) {
        self.read_ahead.set(bytes);
    }

    fn buffer_full(&self) {
        self.set_eof_undetectable();
    }

    fn written(&self, all: bool) {
        if all {
            self.flush.flushed();
        }
    }

    fn peer_closed(&self) {
        self.peer_closed.set(true);
        self.disconnect.notify_one();
    }
}
