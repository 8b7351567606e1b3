//! Message bodies: small ones are read completely before they are forwarded, larger ones are streamed.
//!
//! A large request body ([`Upload`]) is received once, ahead of its server where the [`BufferBudget`] shared by all
//! request bodies allows. What was sent is retained for further attempts as long as the budget allows. Once some of it is
//! discarded there are no further attempts, since the body can't be sent from the start any more.
//!
//! | body | attempts | result of a broken attempt |
//! | --- | --- | --- |
//! | complete, at most [`WHOLE_BODY_LIMIT`] | as decided by the engine | as the rules say |
//! | larger, all of it retained so far | the same | never ran if its last byte was not sent |
//! | larger, some of it discarded | no further one | the same: refused if it certainly never ran, else failed |
//!
//! A large response body ([`StreamedBody`]) is forwarded to the client as it arrives, and is read from the server as
//! fast as the budget allows. Its first bytes make the request served.

mod budget;
mod prefix;
mod streamed;
mod upload;

use birchswitch_host::input_progress::MIN_RATE;
pub use budget::{BufferBudget, Reservation};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
pub use prefix::BodyPrefix;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
pub use streamed::StreamedBody;
use tokio::time::Instant;
pub use upload::{HeldUpload, LastBytePermit, Upload, UploadEnd, UploadReader};

/// Bodies up to this size are read completely before they are forwarded.
pub const WHOLE_BODY_LIMIT: usize = 64 << 10;
/// Maximum size of a request or response body.
pub const MAX_BODY: u64 = 40 << 20;
/// Time during which a body may arrive at less than [`MIN_RATE`].
const MIN_RATE_GRACE: Duration = Duration::from_millis(2500);
/// Why a body ended before it was complete.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The sender closed the connection or violated HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The body exceeds [`MAX_BODY`].
    #[error("body exceeds {MAX_BODY} bytes")]
    TooLong,
    /// The rules do not permit to send its last byte.
    #[error("the last byte may not be sent")]
    NotPermitted,
    /// A later attempt has taken over reading it.
    #[error("body is being read by a later attempt")]
    Superseded,
    /// Nothing was received for too long.
    #[error("timed out waiting for the body")]
    TimedOut,
}

/// The time until which a sender that has sent `bytes` since `start` has kept up with the minimum rate.
pub fn progress_deadline(start: Instant, bytes: u64) -> Instant {
    start + MIN_RATE_GRACE + Duration::from_secs_f64(bytes as f64 / MIN_RATE)
}

/// The body of a client's request.
#[derive(Clone)]
pub enum RequestBody {
    /// The complete body.
    Whole(Bytes),
    /// A body that is still being received.
    Streamed(Rc<Upload>),
}

/// The body of a request to a server.
pub enum OutgoingBody {
    /// The complete body, until hyper takes it.
    Whole(Option<Bytes>),
    /// A body that is still being received. Boxed, since hyper keeps space for many bodies on each connection.
    Streamed(Box<UploadReader>),
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            OutgoingBody::Whole(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            OutgoingBody::Streamed(reader) => Pin::new(&mut **reader).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutgoingBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            OutgoingBody::Streamed(reader) => reader.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            OutgoingBody::Streamed(reader) => reader.size_hint(),
        }
    }
}

/// The body of a response to a client.
pub enum ResponseBody {
    /// The complete body.
    Whole(Bytes),
    /// A body that is still being received.
    Streamed(StreamedBody),
}
