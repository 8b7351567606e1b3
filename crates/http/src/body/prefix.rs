//! What is read of a body before it is known whether it is small.

use super::{BodyError, HELD};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// An answer of unknown length is waited for whole for so long. One that breaks after that can't be made good by a further
/// attempt, one that is held back longer may come too late.
const PASS: Duration = Duration::from_millis(10);

/// What has come of a body before it is known whether it is small: all of it, or its first parts.
pub struct BodyPrefix {
    /// The parts.
    pub parts: Vec<Bytes>,
    /// They are all.
    pub whole: bool,
}

impl BodyPrefix {
    /// Reads until a body has ended, or more than [`HELD`] of it has come. `due` says until when to wait after so many bytes;
    /// `pass` says what is then: an error, or what has come.
    pub async fn read(
        body: &mut Incoming,
        due: impl Fn(u64) -> Instant,
        pass: bool,
    ) -> Result<Self, BodyError> {
        let (mut parts, mut bytes) = (Vec::new(), 0);
        loop {
            let next = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx));
            match timeout_at(due(bytes as u64), next).await {
                Err(_) if pass => return Ok(BodyPrefix { parts, whole: false }),
                Err(_) => return Err(BodyError::Silent),
                Ok(None) => return Ok(BodyPrefix { parts, whole: true }),
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        bytes += data.len();
                        parts.push(data);
                    }
                }
            }
            if bytes > HELD {
                return Ok(BodyPrefix { parts, whole: false });
            }
        }
    }

    /// The first of an answer that the node waits for so long. Of one that is large its first bytes count: nothing of it is held.
    /// Of one whose length nobody knows neither, once it could have come.
    pub async fn of_answer(body: &mut Incoming, left: Duration) -> Result<Self, BodyError> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > HELD as u64) {
            return Ok(BodyPrefix { parts: Vec::new(), whole: false });
        }
        let now = Instant::now();
        // The engine ends what takes longer than it has.
        let due = now + if length.is_some() { left * 2 } else { PASS };
        BodyPrefix::read(body, |_| due, length.is_none()).await
    }

    /// The parts as one.
    pub fn joined(mut self) -> Bytes {
        match self.parts.len() {
            0 => Bytes::new(),
            1 => self.parts.swap_remove(0),
            _ => self.parts.concat().into(),
        }
    }
}
