//! The first part of a body, read to find out whether the body is small.

use super::budget::keep;
use super::{BodyError, BufferBudget, Reservation, WHOLE_BODY_LIMIT};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// How long to wait for a complete response body of unknown length before it is streamed. A streamed body that breaks
/// can't be retried; a body that is held back for longer may reach the client too late.
const UNKNOWN_LENGTH_WAIT: Duration = Duration::from_millis(10);
/// Bodies up to this size in bytes are held without a reservation.
const UNRESERVED_BODY: usize = 8 << 10;

/// What was received of a body before it is known whether it is small: all of it, or its first part.
pub struct BodyPrefix {
    /// What was received.
    pub bytes: Bytes,
    /// It is the complete body.
    pub complete: bool,
}

impl BodyPrefix {
    fn none() -> Self {
        BodyPrefix { bytes: Bytes::new(), complete: false }
    }

    /// Reads until the body has ended, more than [`WHOLE_BODY_LIMIT`] bytes have been received, or the budget has no
    /// space for more. `deadline` gives the time to wait until after that many bytes. When it passes, the result is what
    /// was received if `partial_on_timeout`, else an error.
    pub async fn read(
        body: &mut Incoming,
        budget: &BufferBudget,
        deadline: impl Fn(u64) -> Instant,
        partial_on_timeout: bool,
    ) -> Result<Self, BodyError> {
        let Some(mut buffer) = PrefixBuffer::new(body.size_hint().exact(), budget) else {
            return Ok(BodyPrefix::none());
        };
        loop {
            let next = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx));
            match timeout_at(deadline(buffer.len() as u64), next).await {
                Err(_) if partial_on_timeout => return Ok(buffer.finish(false)),
                Err(_) => return Err(BodyError::TimedOut),
                Ok(None) => return Ok(buffer.finish(true)),
                Ok(Some(frame)) => {
                    let data = frame?.into_data().unwrap_or_default();
                    let has_space = buffer.push(data);
                    if body.is_end_stream() {
                        return Ok(buffer.finish(true));
                    }
                    if !has_space {
                        return Ok(buffer.finish(false));
                    }
                }
            }
        }
    }

    /// Reads the first part of a response body that has `left` time to arrive. Nothing is held back of a body that is
    /// known to be large, nor of one of unknown length after [`UNKNOWN_LENGTH_WAIT`].
    pub async fn of_response(
        body: &mut Incoming,
        budget: &BufferBudget,
        left: Duration,
    ) -> Result<Self, BodyError> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > WHOLE_BODY_LIMIT as u64) {
            return Ok(BodyPrefix::none());
        }
        let now = Instant::now();
        // The engine ends attempts that exceed their time; this limit is only a backstop.
        let deadline = now + if length.is_some() { left * 2 } else { UNKNOWN_LENGTH_WAIT };
        BodyPrefix::read(body, budget, |_| deadline, length.is_none()).await
    }
}

/// Collects the first part of a body.
struct PrefixBuffer {
    first: Bytes,
    /// Everything, once there is more than one part.
    all: BytesMut,
    length: Option<usize>,
    reservation: Option<Reservation>,
    budget: BufferBudget,
}

impl PrefixBuffer {
    /// Starts with a body of this length, if it is known. `None`: the budget has no space for it.
    fn new(length: Option<u64>, budget: &BufferBudget) -> Option<Self> {
        let large = length.is_some_and(|length| length > WHOLE_BODY_LIMIT as u64);
        if large && !budget.allows_read_ahead() {
            return None;
        }
        let length = length.map(|length| length.min(WHOLE_BODY_LIMIT as u64 + 1) as usize);
        let reservation = match length {
            Some(length) if length > UNRESERVED_BODY => Some(budget.reserve(length)?),
            _ => None,
        };
        Some(PrefixBuffer {
            first: Bytes::new(),
            all: BytesMut::new(),
            length,
            reservation,
            budget: budget.clone(),
        })
    }

    fn len(&self) -> usize {
        self.first.len() + self.all.len()
    }

    /// Adds a part. Returns whether one more has space.
    fn push(&mut self, data: Bytes) -> bool {
        if self.len() == 0 {
            self.first = keep(data, None);
        } else if !data.is_empty() {
            self.append(&data);
        }
        self.len() <= WHOLE_BODY_LIMIT && (self.length.is_some() || self.reserve_next())
    }

    fn append(&mut self, data: &[u8]) {
        if !self.first.is_empty() {
            self.all.reserve(self.length.unwrap_or(self.first.len() + data.len()));
            self.all.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.all.extend_from_slice(data);
    }

    /// Reserves twice what a body of unknown length has, since its buffer doubles as it grows.
    fn reserve_next(&mut self) -> bool {
        let wanted = 2 * self.len();
        match &mut self.reservation {
            _ if wanted <= UNRESERVED_BODY => true,
            Some(reservation) => reservation.grow_to(wanted),
            none => {
                *none = self.budget.reserve(wanted);
                none.is_some()
            }
        }
    }

    fn finish(self, complete: bool) -> BodyPrefix {
        let bytes = if self.all.is_empty() { self.first } else { self.all.freeze() };
        let bytes = match self.reservation {
            Some(reservation) => reservation.attach(bytes),
            None => bytes,
        };
        BodyPrefix { bytes, complete }
    }
}
