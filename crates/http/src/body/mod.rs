//! Bodies: held whole while they are small, passed on as they come where they are not.
//!
//! A request's large body ([`Upload`]) comes once. What has come is kept for a further attempt as long as all kept bodies
//! together have [`BufferBudget`]; once some of it is forgotten there is none, since nothing could be sent from the start.
//!
//! | body | attempts | what a broken attempt comes to |
//! | --- | --- | --- |
//! | whole, at most [`HELD`] | as the decisions say | as the rules say |
//! | larger, all of it kept so far | the same | never ran if its last byte was not out |
//! | larger, some forgotten | no further one | the same: refused if it surely never ran, else failed |
//!
//! An answer's large body ([`StreamedBody`]) goes to the client as it comes, and leaves its server as fast as there is room for it; its first bytes make the request served.

mod prefix;
mod streamed;
mod upload;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
pub use prefix::BodyPrefix;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
pub use streamed::StreamedBody;
use tokio::time::Instant;
pub use upload::{Reader, Upload};

/// The most of a body that is held whole before anything is done with it.
pub const HELD: usize = 64 << 10;
/// The most that a body may hold, either way.
pub const MOST: u64 = 40 << 20;
/// What comes more slowly than this, or not at all ...
const LEAST_RATE: f64 = 32.0 * 1024.0;
/// ... is borne for so long.
const PATIENCE: Duration = Duration::from_millis(2500);
/// Why a body ends before it is whole.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// Whoever sends it broke off, or broke HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// It is longer than any may be.
    #[error("over {MOST} bytes")]
    TooLong,
    /// Another attempt reads it now.
    #[error("another attempt has it")]
    Taken,
    /// Nothing came for too long.
    #[error("silent for too long")]
    Silent,
}

/// Whether a sender that has sent `bytes` since `since` has kept up. One that has not gets no more time.
pub fn until(since: Instant, bytes: u64) -> Instant {
    since + PATIENCE + Duration::from_secs_f64(bytes as f64 / LEAST_RATE)
}

/// Bytes that all bodies kept for one purpose may take together.
#[derive(Debug)]
pub struct BufferBudget(Cell<usize>);

impl BufferBudget {
    /// Room for so many.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(BufferBudget(Cell::new(bytes)))
    }

    fn take(&self, bytes: usize) -> bool {
        let left = self.0.get().checked_sub(bytes);
        left.map(|left| self.0.set(left)).is_some()
    }

    fn left(&self) -> usize {
        self.0.get()
    }

    fn give_back(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }
}

/// A request's body.
#[derive(Clone)]
pub enum Payload {
    /// All of it.
    Whole(Bytes),
    /// It still comes.
    Streamed(Rc<Upload>),
}

/// A body as it goes to a server.
pub enum Outgoing {
    /// All of it, until it is taken.
    Whole(Option<Bytes>),
    /// It still comes.
    Streamed(Reader),
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Outgoing::Whole(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Outgoing::Streamed(reader) => Pin::new(reader).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outgoing::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Outgoing::Streamed(reader) => reader.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Outgoing::Streamed(reader) => reader.size_hint(),
        }
    }
}

/// An answer's body.
pub enum Reply {
    /// All of it.
    Whole(Bytes),
    /// It still comes.
    Streamed(StreamedBody),
}
