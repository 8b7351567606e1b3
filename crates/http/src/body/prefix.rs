//! The first part of a body, read to find out whether the body is small.

use super::{BodyError, WHOLE_BODY_LIMIT};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// How long to wait for a complete response body of unknown length before it is streamed. A streamed body that breaks
/// can't be retried; a body that is held back for longer may reach the client too late.
const UNKNOWN_LENGTH_WAIT: Duration = Duration::from_millis(10);

/// What was received of a body before it is known whether it is small: all of it, or its first chunks.
pub struct BodyPrefix {
    /// The received chunks.
    pub chunks: Vec<Bytes>,
    /// The chunks are the complete body.
    pub complete: bool,
}

impl BodyPrefix {
    /// Reads until the body has ended or more than [`WHOLE_BODY_LIMIT`] bytes have been received. `deadline` gives the
    /// time to wait until after that many bytes. When it passes, the result is what was received if
    /// `partial_on_timeout`, else an error.
    pub async fn read(
        body: &mut Incoming,
        deadline: impl Fn(u64) -> Instant,
        partial_on_timeout: bool,
    ) -> Result<Self, BodyError> {
        let (mut chunks, mut bytes) = (Vec::new(), 0);
        loop {
            let next = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx));
            match timeout_at(deadline(bytes as u64), next).await {
                Err(_) if partial_on_timeout => return Ok(BodyPrefix { chunks, complete: false }),
                Err(_) => return Err(BodyError::TimedOut),
                Ok(None) => return Ok(BodyPrefix { chunks, complete: true }),
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        bytes += data.len();
                        chunks.push(data);
                    }
                }
            }
            if bytes > WHOLE_BODY_LIMIT {
                return Ok(BodyPrefix { chunks, complete: false });
            }
        }
    }

    /// Reads the first part of a response body that has `left` time to arrive. Nothing is held back of a body that is
    /// known to be large, nor of one of unknown length after [`UNKNOWN_LENGTH_WAIT`].
    pub async fn of_response(body: &mut Incoming, left: Duration) -> Result<Self, BodyError> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > WHOLE_BODY_LIMIT as u64) {
            return Ok(BodyPrefix { chunks: Vec::new(), complete: false });
        }
        let now = Instant::now();
        // The engine ends attempts that exceed their time; this limit is only a backstop.
        let deadline = now + if length.is_some() { left * 2 } else { UNKNOWN_LENGTH_WAIT };
        BodyPrefix::read(body, |_| deadline, length.is_none()).await
    }

    /// Concatenates the chunks.
    pub fn into_bytes(mut self) -> Bytes {
        match self.chunks.len() {
            0 => Bytes::new(),
            1 => self.chunks.swap_remove(0),
            _ => self.chunks.concat().into(),
        }
    }
}
