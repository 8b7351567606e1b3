//! An answer's body that is passed on as it comes.

use super::{BodyError, BufferBudget, MOST};
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
use tokio::time::{timeout_at, Instant};

/// A server that is silent for so long in the midst of an answer has ended it.
const SILENCE: Duration = Duration::from_secs(10);

/// An answer's body that still comes. It is read from its server as fast as that gives it, as long as there is [`BufferBudget`] for what
/// the client has not taken yet: a client that reads slowly holds up no server.
pub struct StreamedBody {
    pipe: Rc<Pipe>,
    pump: AbortHandle,
    length: Option<u64>,
}

struct Pipe {
    room: Rc<BufferBudget>,
    state: RefCell<Piped>,
    /// Something was taken out.
    taken: Notify,
}

#[derive(Default)]
struct Piped {
    /// What has come and was not taken, each with what it takes of the room.
    queue: VecDeque<(Bytes, usize)>,
    ended: Option<Result<(), BodyError>>,
    reader: Option<Waker>,
}

impl Pipe {
    fn put(&self, data: Bytes, room: usize) {
        let mut state = self.state.borrow_mut();
        state.queue.push_back((data, room));
        state.reader.take().into_iter().for_each(Waker::wake);
    }

    fn end(&self, ended: Result<(), BodyError>) {
        let mut state = self.state.borrow_mut();
        state.ended = Some(ended);
        state.reader.take().into_iter().for_each(Waker::wake);
    }

    /// Waits until these bytes may be put in. Some always may, so that an answer moves on however little room there is.
    async fn admit(&self, bytes: usize) -> usize {
        loop {
            let taken = self.taken.notified();
            if self.room.take(bytes) {
                return bytes;
            }
            if self.state.borrow().queue.is_empty() {
                return 0;
            }
            taken.await;
        }
    }

    /// Reads what still comes, until `due` at the latest, however steadily it comes.
    async fn fill(&self, mut rest: Incoming, mut read: u64, due: Instant) -> Result<(), BodyError> {
        while !rest.is_end_stream() {
            let next = poll_fn(|cx| Pin::new(&mut rest).poll_frame(cx));
            let patience = due.min(Instant::now() + SILENCE);
            let Some(frame) = timeout_at(patience, next).await.map_err(|_| BodyError::Silent)? else { break };
            // Trailers belong to this connection's message.
            let Ok(data) = frame?.into_data() else { continue };
            read += data.len() as u64;
            if read > MOST {
                return Err(BodyError::TooLong);
            }
            let room = self.admit(data.len()).await;
            self.put(data, room);
        }
        Ok(())
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        self.state.get_mut().queue.iter().for_each(|(_, room)| self.room.give_back(*room));
    }
}

impl StreamedBody {
    /// Of which these first parts have come. Once all has come `end` is called; where it breaks off, or nobody wants it any
    /// more, `end` is dropped, and with it the connection that it holds. What has not come by `due` is not waited for.
    pub fn new(
        first: Vec<Bytes>,
        rest: Incoming,
        room: Rc<BufferBudget>,
        due: Instant,
        end: impl FnOnce() + 'static,
    ) -> Self {
        let read = first.iter().map(|b| b.len() as u64).sum();
        let length = rest.size_hint().exact().map(|rest| rest + read);
        let queue = first.into_iter().map(|data| (data, 0)).collect();
        let state = RefCell::new(Piped { queue, ..Piped::default() });
        let pipe = Rc::new(Pipe { room, state, taken: Notify::new() });
        let filling = pipe.clone();
        let pump = spawn_local(async move {
            let ended = filling.fill(rest, read, due).await;
            if ended.is_ok() {
                end();
            }
            filling.end(ended);
        });
        StreamedBody { pipe, pump: pump.abort_handle(), length }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.pump.abort();
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut state = self.pipe.state.borrow_mut();
        if let Some((data, room)) = state.queue.pop_front() {
            self.pipe.room.give_back(room);
            self.pipe.taken.notify_one();
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match state.ended.take() {
            Some(Ok(())) => {
                state.ended = Some(Ok(()));
                Poll::Ready(None)
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            None => {
                state.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let state = self.pipe.state.borrow();
        state.queue.is_empty() && matches!(state.ended, Some(Ok(())))
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
