//! What goes over a connection once both have greeted: frames with their length before them (`tokio_util`), in postcard's encoding.

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::io::AsyncWrite;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Most bytes of a frame.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// For a frame to be taken by the other side's socket.
const WRITE: Duration = Duration::from_secs(2);

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// Nothing to say.
    Beat,
    /// A question, which an [`Frame::Answer`] of the same number follows.
    Ask {
        /// Counted by whoever asks.
        number: u64,
        /// Which part serves it.
        lane: u8,
        /// What is asked.
        bytes: Bytes,
    },
    /// The answer; none: nobody serves that here, or not now.
    Answer {
        /// The question's.
        number: u64,
        /// What is answered.
        bytes: Option<Bytes>,
    },
    /// A word that takes the place of the last one of its topic.
    Tell {
        /// Which part takes it.
        topic: u8,
        /// What is told.
        bytes: Bytes,
    },
}

/// Why a connection is over.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Ended {
    /// The other side closed it.
    #[error("closed")]
    Closed,
    /// It broke, or a frame was longer than any may be.
    #[error("{0}")]
    Broken(#[from] std::io::Error),
    /// A frame makes no sense.
    #[error("a frame of {0} bytes makes no sense")]
    Senseless(usize),
    /// Nothing whole came for too long.
    #[error("silent")]
    Silent,
    /// What was to be sent was not taken in time.
    #[error("takes nothing")]
    Stuck,
    /// Nothing was to be said for long.
    #[error("idle")]
    Idle,
}

pub(crate) type Reader<R> = FramedRead<R, LengthDelimitedCodec>;
pub(crate) type Writer<W> = FramedWrite<W, LengthDelimitedCodec>;

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

impl Frame {
    pub(crate) fn decode(bytes: &BytesMut) -> Result<Self, Ended> {
        postcard::from_bytes(bytes).map_err(|_| Ended::Senseless(bytes.len()))
    }
}

/// Writes something whole, or ends the connection.
pub(crate) async fn write<W: AsyncWrite + Unpin>(
    writer: &mut Writer<W>,
    what: &impl Serialize,
) -> Result<(), Ended> {
    // Nothing that is written fails to encode but for want of memory.
    let bytes = postcard::to_stdvec(what).map_err(|_| Ended::Senseless(0))?;
    match timeout(WRITE, writer.send(Bytes::from(bytes))).await {
        Ok(sent) => sent.map_err(Ended::Broken),
        Err(_) => Err(Ended::Stuck),
    }
}
