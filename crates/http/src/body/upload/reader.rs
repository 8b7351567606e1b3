//! An upload as it is sent by one attempt.

use super::Upload;
use crate::body::BodyError;
use crate::send_monitor::SendMonitor;
use birchswitch_host::delivery::{DeliveryHold, HoldStep, HELD_BYTES};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// How the sending of an upload ended, if it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadEnd {
    /// The last byte was not handed to hyper yet.
    Pending,
    /// The last byte was not permitted: it is never sent.
    Denied,
    /// The last byte was handed to hyper.
    Finished,
}

/// Decides whether the last byte may be sent, given the time that the server took to accept the rest.
pub type LastBytePermit = Box<dyn FnOnce(Duration) -> bool>;

/// Holds back the last bytes of an upload that has to be complete by a certain time.
pub struct HeldUpload {
    /// The connection over which the upload is sent.
    pub monitor: SendMonitor,
    /// When the last bytes may follow.
    pub hold: DeliveryHold,
}

impl HeldUpload {
    fn observe(&mut self) {
        self.monitor.socket().iter().for_each(|socket| self.hold.observe(socket));
    }

    fn poll_step(&mut self, cx: &mut Context) -> Poll<HoldStep> {
        // hyper polls the body only while it has the connection.
        let Some(socket) = self.monitor.socket() else { return Poll::Pending };
        self.hold.poll_step(cx, &socket, self.monitor.is_written())
    }
}

/// Measures the time that a server takes to accept an upload, without waits for the client.
struct TransferClock {
    started: Instant,
    waited: Duration,
    waiting_since: Option<Instant>,
}

impl TransferClock {
    fn start() -> Self {
        TransferClock { started: Instant::now(), waited: Duration::ZERO, waiting_since: None }
    }

    /// Records whether the client has to send more before anything can be passed on.
    fn set_waiting(&mut self, waiting: bool) {
        let now = Instant::now();
        self.waited += self.waiting_since.take().map_or(Duration::ZERO, |since| now - since);
        self.waiting_since = waiting.then_some(now);
    }

    fn elapsed(&self) -> Duration {
        self.started.elapsed().saturating_sub(self.waited)
    }
}

/// An upload as it is sent by one attempt.
pub struct UploadReader {
    upload: Rc<Upload>,
    id: u32,
    /// Number of chunks that were taken out of the upload.
    next_chunk: usize,
    /// The connection over which the upload is sent.
    monitor: SendMonitor,
    end: Rc<Cell<UploadEnd>>,
    permit: Option<LastBytePermit>,
    held_upload: Option<HeldUpload>,
    /// The last bytes, while they are held back.
    held: Bytes,
    transfer: TransferClock,
}

impl UploadReader {
    pub(super) fn new(
        upload: Rc<Upload>,
        id: u32,
        monitor: SendMonitor,
        permit: LastBytePermit,
        held_upload: Option<HeldUpload>,
    ) -> Self {
        UploadReader {
            upload,
            id,
            next_chunk: 0,
            monitor,
            end: Rc::new(Cell::new(UploadEnd::Pending)),
            permit: Some(permit),
            held_upload,
            held: Bytes::new(),
            transfer: TransferClock::start(),
        }
    }

    /// Returns how the sending ends, updated as the reader is read.
    pub fn end(&self) -> Rc<Cell<UploadEnd>> {
        self.end.clone()
    }

    /// Whether everything was taken out of the upload.
    fn is_exhausted(&self) -> bool {
        self.upload.is_exhausted(self.next_chunk)
    }

    /// Takes the next bytes out of the upload.
    fn poll_next(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyError>>> {
        let polled = self.upload.poll_chunk(cx, self.id, self.next_chunk);
        self.transfer.set_waiting(polled.is_pending());
        let next = ready!(polled);
        self.next_chunk += 1;
        Poll::Ready(next)
    }

    /// Hands out the bytes that are held back, or the end of a body whose length is not known.
    fn poll_last(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyError>>> {
        while let Some(held_upload) = &mut self.held_upload {
            match ready!(held_upload.poll_step(cx)) {
                HoldStep::Release => break,
                HoldStep::SendOne if self.held.len() > 1 => {
                    return Poll::Ready(Some(Ok(self.held.split_to(1))));
                }
                HoldStep::SendOne => {}
            }
        }
        self.held_upload = None;
        let permitted = self.permit.take().is_some_and(|permit| permit(self.transfer.elapsed()));
        if !permitted {
            self.end.set(UploadEnd::Denied);
            return Poll::Ready(Some(Err(BodyError::NotPermitted)));
        }
        self.end.set(UploadEnd::Finished);
        let last = std::mem::take(&mut self.held);
        Poll::Ready((!last.is_empty()).then_some(Ok(last)))
    }

    /// Polls for the next bytes to send.
    fn poll_bytes(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyError>>> {
        if self.upload.state.borrow().current_reader != self.id {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        if self.end.get() == UploadEnd::Finished {
            return Poll::Ready(None);
        }
        if !self.is_exhausted() {
            match ready!(self.poll_next(cx)) {
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                Some(Ok(data)) => self.held = data,
                None => {}
            }
            self.held_upload.iter_mut().for_each(HeldUpload::observe);
            let hold_back = match (self.is_exhausted(), &self.held_upload) {
                (false, _) => 0,
                (true, Some(_)) => HELD_BYTES,
                (true, None) => self.held.len(),
            };
            let first = self.held.split_to(self.held.len().saturating_sub(hold_back));
            if !first.is_empty() {
                return Poll::Ready(Some(Ok(first)));
            }
        }
        self.poll_last(cx)
    }
}

impl Body for UploadReader {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let me = self.get_mut();
        ready!(me.monitor.flush.poll_flushed(cx));
        let frame = ready!(me.poll_bytes(cx));
        if matches!(frame, Some(Ok(_))) {
            me.monitor.flush.set_unwritten();
        }
        Poll::Ready(frame.map(|bytes| bytes.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.end.get() == UploadEnd::Finished
    }

    fn size_hint(&self) -> SizeHint {
        // hyper asks before anything is sent, so this is the length of the whole body.
        self.upload.state.borrow().length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
