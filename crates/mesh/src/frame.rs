//! The frames of a connection after its handshake: length-delimited (`tokio_util`), in postcard's encoding.

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::io::AsyncWrite;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Largest size of a frame.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// Most time for a frame to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// One frame. The order of the variants and fields is part of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// Shows that the sender is alive.
    Heartbeat,
    /// A request. A [`Frame::Response`] of the same number answers it.
    Request {
        /// Assigned by the sender of the request.
        number: u64,
        /// Selects the handler.
        lane: u8,
        /// The payload.
        bytes: Bytes,
    },
    /// A response.
    Response {
        /// The request's number.
        number: u64,
        /// The payload. `None`: no handler serves the lane, or not now.
        bytes: Option<Bytes>,
    },
    /// A message that supersedes the last one of its topic.
    Publish {
        /// Selects the handler.
        topic: u8,
        /// The payload.
        bytes: Bytes,
    },
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Disconnect {
    /// The other side closed it.
    #[error("closed")]
    Closed,
    /// An I/O error, or a frame larger than [`MAX_FRAME_BYTES`].
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A frame could not be decoded.
    #[error("a frame of {0} bytes makes no sense")]
    Malformed(usize),
    /// No complete frame arrived for too long.
    #[error("silent")]
    Silent,
    /// The other side did not read what was sent in time.
    #[error("takes nothing")]
    WriteTimeout,
    /// Only heartbeats were exchanged for long.
    #[error("idle")]
    Idle,
}

pub(crate) type Reader<R> = FramedRead<R, LengthDelimitedCodec>;
pub(crate) type Writer<W> = FramedWrite<W, LengthDelimitedCodec>;

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

impl Frame {
    pub(crate) fn decode(bytes: &BytesMut) -> Result<Self, Disconnect> {
        postcard::from_bytes(bytes).map_err(|_| Disconnect::Malformed(bytes.len()))
    }
}

/// Writes a frame. A partial write ends the connection.
pub(crate) async fn write<W: AsyncWrite + Unpin>(
    writer: &mut Writer<W>,
    value: &impl Serialize,
) -> Result<(), Disconnect> {
    // Encoding these types fails only for lack of memory.
    let bytes = postcard::to_stdvec(value).map_err(|_| Disconnect::Malformed(0))?;
    match timeout(WRITE_TIMEOUT, writer.send(Bytes::from(bytes))).await {
        Ok(sent) => sent.map_err(Disconnect::Io),
        Err(_) => Err(Disconnect::WriteTimeout),
    }
}
