//! A request's body that is too large to be held whole: it comes once, and is kept for further attempts while there is room.

use super::{until, BodyError, BufferBudget, HELD, MOST, PATIENCE};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// The most of a body that is read before an attempt reads it.
const MOST_AHEAD: u64 = 4 * HELD as u64;

/// A request's body that is too large to be held whole.
pub struct Upload {
    state: RefCell<State>,
    room: Rc<BufferBudget>,
    ended: Notify,
    /// How long the client waits from the last byte on.
    pub wait: Duration,
}

struct State {
    source: Incoming,
    began: Instant,
    /// Its length, where the client told.
    length: Option<u64>,
    read: u64,
    /// All that was read, unless `forgotten`.
    kept: Vec<Bytes>,
    kept_bytes: usize,
    forgotten: bool,
    /// The latest attempt's: earlier ones get no more.
    reader: u32,
    /// The last byte has come, or none will.
    over: Option<bool>,
}

impl State {
    fn forget(&mut self, room: &BufferBudget) {
        room.give_back(std::mem::take(&mut self.kept_bytes));
        self.kept = Vec::new();
        self.forgotten = true;
    }
}

impl Upload {
    /// Of a body of which these first parts have come since `began`.
    pub fn new(
        first: Vec<Bytes>,
        source: Incoming,
        began: Instant,
        room: Rc<BufferBudget>,
        wait: Duration,
    ) -> Rc<Self> {
        let bytes: usize = first.iter().map(Bytes::len).sum();
        let length = source.size_hint().exact().map(|rest| rest + bytes as u64);
        // Held already: it may take room that is not there, and is then the first to go.
        let kept_bytes = if room.take(bytes) { bytes } else { 0 };
        let state = State {
            over: (length == Some(bytes as u64)).then_some(true),
            source,
            began,
            length,
            read: bytes as u64,
            kept: first,
            kept_bytes,
            forgotten: false,
            reader: 0,
        };
        Rc::new(Upload { state: RefCell::new(state), room, ended: Notify::new(), wait })
    }

    /// All of it for one more attempt; None: it can't be had from the start any more.
    pub fn reader(self: &Rc<Self>) -> Option<Reader> {
        let mut state = self.state.borrow_mut();
        if state.forgotten || state.over == Some(false) {
            return None;
        }
        state.reader += 1;
        Some(Reader { upload: self.clone(), id: state.reader, at: 0, finished: Rc::default(), written: None })
    }

    /// Waits until the last byte has come. Pending for good where none will.
    pub async fn whole(&self) {
        let mut ended = std::pin::pin!(self.ended.notified());
        while self.state.borrow().over != Some(true) {
            ended.as_mut().await;
            ended.set(self.ended.notified());
        }
    }

    /// Reads ahead as long as no attempt reads: what waits unread hides the end of the client's connection. Returns once an attempt
    /// reads, the last byte has come, or as much is kept as may be. An error: the client broke off.
    pub async fn read_ahead(&self) -> Result<(), BodyError> {
        const NO_ATTEMPT: u32 = 0;
        while self.may_read_ahead() {
            match poll_fn(|cx| self.poll_source(cx, NO_ATTEMPT)).await {
                Some(Ok(_)) => {}
                Some(Err(BodyError::Taken)) | None => break,
                Some(Err(error)) => return Err(error),
            }
        }
        Ok(())
    }

    /// Whether all that one read may bring can be kept.
    fn may_read_ahead(&self) -> bool {
        let state = self.state.borrow();
        !state.forgotten && state.over.is_none() && state.read < MOST_AHEAD && self.room.left() > HELD
    }

    /// Whether what still comes is not waited for any longer: its sender, or who takes it, is too slow.
    pub fn stuck(&self) -> bool {
        let state = self.state.borrow();
        state.over != Some(true) && Instant::now() >= until(state.began, state.read)
    }

    /// Reads what still comes and throws it away, so that the client, which reads nothing before it has written all, comes to
    /// its answer.
    pub async fn drain(self: Rc<Self>) {
        let id = {
            let mut state = self.state.borrow_mut();
            state.reader += 1;
            state.forget(&self.room);
            state.reader
        };
        while !self.stuck() && self.state.borrow().over.is_none() {
            let next = poll_fn(|cx| self.poll_source(cx, id));
            if !matches!(timeout(PATIENCE, next).await, Ok(Some(Ok(_)))) {
                return;
            }
        }
    }

    /// The next bytes that come, for the attempt of this number.
    fn poll_source(&self, cx: &mut Context, id: u32) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut state = self.state.borrow_mut();
        if state.reader != id {
            return Poll::Ready(Some(Err(BodyError::Taken)));
        }
        match state.over {
            Some(true) => return Poll::Ready(None),
            Some(false) => return Poll::Ready(Some(Err(BodyError::Silent))),
            None => {}
        }
        let data = loop {
            match ready!(Pin::new(&mut state.source).poll_frame(cx)) {
                // Trailers belong to this connection's message.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => break Some(data),
                    Err(_) => {}
                },
                Some(Err(error)) => {
                    state.over = Some(false);
                    return Poll::Ready(Some(Err(error.into())));
                }
                None => break None,
            }
        };
        state.read += data.as_ref().map_or(0, |d| d.len() as u64);
        if state.read > MOST {
            state.over = Some(false);
            return Poll::Ready(Some(Err(BodyError::TooLong)));
        }
        if data.is_none() || state.length == Some(state.read) || state.source.is_end_stream() {
            state.over = Some(true);
            self.ended.notify_waiters();
        }
        if let Some(data) = data.as_ref().filter(|_| !state.forgotten) {
            if self.room.take(data.len()) {
                state.kept_bytes += data.len();
                state.kept.push(data.clone());
            } else {
                state.forget(&self.room);
            }
        }
        Poll::Ready(data.map(Ok))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.state.get_mut().forget(&self.room);
    }
}

/// An upload as one attempt sends it.
pub struct Reader {
    upload: Rc<Upload>,
    id: u32,
    /// Parts of what is kept that were sent.
    at: usize,
    /// The last byte was handed over.
    pub finished: Rc<Cell<bool>>,
    /// To be told when that is so.
    pub written: Option<Box<dyn FnOnce()>>,
}

impl Reader {
    fn end(&mut self) {
        if !self.finished.replace(true) {
            self.written.take().into_iter().for_each(|written| written());
        }
    }
}

impl Body for Reader {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let me = self.get_mut();
        let kept = {
            let state = me.upload.state.borrow();
            if state.reader != me.id {
                return Poll::Ready(Some(Err(BodyError::Taken)));
            }
            state.kept.get(me.at).cloned()
        };
        let next = match kept {
            Some(data) => Some(Ok(data)),
            None => ready!(me.upload.poll_source(cx, me.id)),
        };
        // What came and was kept is not sent again by this attempt.
        me.at += 1;
        if next.is_none() || me.is_end_stream() {
            me.end();
        }
        Poll::Ready(next.map(|next| next.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        let state = self.upload.state.borrow();
        state.over == Some(true) && (state.forgotten || self.at >= state.kept.len())
    }

    fn size_hint(&self) -> SizeHint {
        // Asked before anything is sent.
        self.upload.state.borrow().length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
