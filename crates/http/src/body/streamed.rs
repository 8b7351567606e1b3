//! A response body that is streamed to the client.

use super::budget::{keep, Reservation};
use super::{BodyError, BufferBudget, MAX_BODY};
use birchswitch_host::input_progress::MIN_RATE;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{timeout, Instant};

/// A response is given up when its server sends nothing for this long in the middle of the body, or lags this far behind
/// the minimum rate: an answer may end later than its client's time, but not never.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a server has been waited for, and how much it sent meanwhile.
#[derive(Debug)]
struct ServerProgress {
    bytes: u64,
    waited: Duration,
}

impl ServerProgress {
    /// How much longer to wait for the next bytes.
    fn time_left(&self) -> Duration {
        let allowed = READ_TIMEOUT + Duration::from_secs_f64(self.bytes as f64 / MIN_RATE);
        allowed.saturating_sub(self.waited).min(READ_TIMEOUT)
    }
}

/// A response body that is still being received. A task reads it from the server as fast as the server sends, as long
/// as the [`BufferBudget`] has space for what the client has not taken yet, so that a slow client does not hold up the
/// server.
pub struct StreamedBody {
    pipe: Rc<Pipe>,
    reader_task: AbortHandle,
    length: Option<u64>,
}

struct Pipe {
    budget: BufferBudget,
    state: RefCell<PipeState>,
    /// Signalled when a chunk is taken out, or waited for.
    space_freed: Notify,
}

#[derive(Default)]
struct PipeState {
    /// Chunks that the client has not taken.
    queue: VecDeque<Bytes>,
    result: Option<Result<(), BodyError>>,
    consumer: Option<Waker>,
}

impl Pipe {
    fn push(&self, data: Bytes) {
        let mut state = self.state.borrow_mut();
        state.queue.push_back(data);
        state.consumer.take().into_iter().for_each(Waker::wake);
    }

    fn finish(&self, result: Result<(), BodyError>) {
        let mut state = self.state.borrow_mut();
        state.result = Some(result);
        state.consumer.take().into_iter().for_each(Waker::wake);
    }

    /// Waits until one more chunk may be read, and reserves memory for it. A chunk that the client waits for needs no
    /// reservation, so that a response progresses even if the budget is used up.
    async fn reserve(&self) -> Option<Reservation> {
        loop {
            let freed = self.space_freed.notified();
            if self.state.borrow().consumer.is_some() {
                return None;
            }
            let reservation = self.budget.reserve_part();
            if reservation.is_some() {
                return reservation;
            }
            freed.await;
        }
    }

    /// Reads the rest of the body, for as long as its server keeps sending.
    async fn copy_from(&self, mut rest: Incoming, received: u64) -> Result<(), BodyError> {
        let mut progress = ServerProgress { bytes: received, waited: Duration::ZERO };
        while !rest.is_end_stream() {
            let reservation = self.reserve().await;
            let started = Instant::now();
            let next = poll_fn(|cx| Pin::new(&mut rest).poll_frame(cx));
            let next = timeout(progress.time_left(), next).await.map_err(|_| BodyError::TimedOut)?;
            let Some(frame) = next else { break };
            // Trailers are hop-by-hop and not forwarded.
            let Ok(data) = frame?.into_data() else { continue };
            progress.waited += started.elapsed();
            progress.bytes += data.len() as u64;
            if progress.bytes > MAX_BODY {
                return Err(BodyError::TooLong);
            }
            self.push(keep(data, reservation));
        }
        Ok(())
    }
}

impl StreamedBody {
    /// Starts streaming a body of which `prefix` has been received. `on_complete` is called once all of it has been
    /// received. If the body breaks off, or the client does not want it any more, `on_complete` is dropped, and with it
    /// the connection that it owns.
    pub fn new(
        prefix: Bytes,
        rest: Incoming,
        budget: BufferBudget,
        on_complete: impl FnOnce() + 'static,
    ) -> Self {
        let received = prefix.len() as u64;
        let length = rest.size_hint().exact().map(|rest| rest + received);
        let queue = Some(prefix).into_iter().filter(|prefix| !prefix.is_empty()).collect();
        let state = RefCell::new(PipeState { queue, ..PipeState::default() });
        let pipe = Rc::new(Pipe { budget, state, space_freed: Notify::new() });
        let writer = pipe.clone();
        let reader_task = spawn_local(async move {
            let result = writer.copy_from(rest, received).await;
            if result.is_ok() {
                on_complete();
            }
            writer.finish(result);
        });
        StreamedBody { pipe, reader_task: reader_task.abort_handle(), length }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.reader_task.abort();
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut state = self.pipe.state.borrow_mut();
        if let Some(data) = state.queue.pop_front() {
            self.pipe.space_freed.notify_one();
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match state.result.take() {
            Some(Ok(())) => {
                state.result = Some(Ok(()));
                Poll::Ready(None)
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            None => {
                state.consumer = Some(cx.waker().clone());
                self.pipe.space_freed.notify_one();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let state = self.pipe.state.borrow();
        state.queue.is_empty() && matches!(state.result, Some(Ok(())))
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

#[cfg(test)]
mod tests;
