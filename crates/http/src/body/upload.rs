//! A request body that is too large to be read completely first: it is received once, and retained for further attempts
//! while the budget allows.

mod reader;

use super::{progress_deadline, BodyError, BufferBudget, MAX_BODY, MIN_RATE_GRACE, WHOLE_BODY_LIMIT};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
pub use reader::{HeldUpload, LastBytePermit, UploadEnd, UploadReader};
use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Maximum number of bytes of a body that are read while no attempt reads it.
const MAX_READ_AHEAD: u64 = 4 * WHOLE_BODY_LIMIT as u64;

/// A request body that is too large to be read completely first.
pub struct Upload {
    state: RefCell<State>,
    budget: Rc<BufferBudget>,
    completed: Notify,
    /// How long the client waits after its last byte.
    pub client_timeout: Duration,
}

struct State {
    source: Incoming,
    started: Instant,
    /// The body's length, if the client declared it.
    length: Option<u64>,
    received: u64,
    /// All that was received, unless `discarded`.
    retained: Vec<Bytes>,
    reserved_bytes: usize,
    discarded: bool,
    /// Number of the latest reader: earlier ones get no more data.
    current_reader: u32,
    /// `true`: the last byte was received. `false`: it never will be.
    ended: Option<bool>,
}

impl State {
    fn discard_retained(&mut self, budget: &BufferBudget) {
        budget.release(std::mem::take(&mut self.reserved_bytes));
        self.retained = Vec::new();
        self.discarded = true;
    }
}

impl Upload {
    /// Wraps a body of which `prefix` has been received since `started`.
    pub fn new(
        prefix: Vec<Bytes>,
        source: Incoming,
        started: Instant,
        budget: Rc<BufferBudget>,
        client_timeout: Duration,
    ) -> Rc<Self> {
        let bytes: usize = prefix.iter().map(Bytes::len).sum();
        let length = source.size_hint().exact().map(|rest| rest + bytes as u64);
        // The prefix is in memory already. If the budget has no space for it, it is retained unreserved, and is
        // discarded when a later chunk finds no space either.
        let reserved_bytes = if budget.try_reserve(bytes) { bytes } else { 0 };
        let state = State {
            ended: (length == Some(bytes as u64)).then_some(true),
            source,
            started,
            length,
            received: bytes as u64,
            retained: prefix,
            reserved_bytes,
            discarded: false,
            current_reader: 0,
        };
        Rc::new(Upload { state: RefCell::new(state), budget, completed: Notify::new(), client_timeout })
    }

    /// Returns a reader of the whole body for one more attempt. `None`: the body can't be read from the start any more.
    /// `permit` is called before the last byte; `held` holds it back until it would reach the server in time.
    pub fn new_reader(
        self: &Rc<Self>,
        permit: LastBytePermit,
        held: Option<HeldUpload>,
    ) -> Option<UploadReader> {
        let mut state = self.state.borrow_mut();
        if state.discarded || state.ended == Some(false) {
            return None;
        }
        state.current_reader += 1;
        Some(UploadReader::new(self.clone(), state.current_reader, permit, held))
    }

    /// Waits until the last byte has been received. Never returns if it can't be.
    pub async fn wait_complete(&self) {
        let mut completed = std::pin::pin!(self.completed.notified());
        while self.state.borrow().ended != Some(true) {
            completed.as_mut().await;
            completed.set(self.completed.notified());
        }
    }

    /// Reads ahead while no attempt reads, because unread bytes hide the end of the client's connection. Returns once
    /// an attempt reads, the last byte has been received, or no more can be retained. An error means that the client
    /// broke off.
    pub async fn read_ahead(&self) -> Result<(), BodyError> {
        const NO_ATTEMPT: u32 = 0;
        while self.can_read_ahead() {
            match poll_fn(|cx| self.poll_source(cx, NO_ATTEMPT)).await {
                Some(Ok(_)) => {}
                Some(Err(BodyError::Superseded)) | None => break,
                Some(Err(error)) => return Err(error),
            }
        }
        Ok(())
    }

    /// Whether everything that one more read may return can be retained.
    fn can_read_ahead(&self) -> bool {
        let state = self.state.borrow();
        !state.discarded
            && state.ended.is_none()
            && state.received < MAX_READ_AHEAD
            && self.budget.available() > WHOLE_BODY_LIMIT
    }

    /// Whether the body is not waited for any longer: the client sends, or the server reads, too slowly.
    pub fn is_stalled(&self) -> bool {
        let state = self.state.borrow();
        state.ended != Some(true) && Instant::now() >= progress_deadline(state.started, state.received)
    }

    /// Reads and discards the rest of the body, because a client may read the response only after it has written
    /// everything.
    pub async fn drain(self: Rc<Self>) {
        let id = {
            let mut state = self.state.borrow_mut();
            state.current_reader += 1;
            state.discard_retained(&self.budget);
            state.current_reader
        };
        while !self.is_stalled() && self.state.borrow().ended.is_none() {
            let next = poll_fn(|cx| self.poll_source(cx, id));
            if !matches!(timeout(MIN_RATE_GRACE, next).await, Ok(Some(Ok(_)))) {
                return;
            }
        }
    }

    /// Polls the client's connection for the next bytes, on behalf of the reader with this number.
    fn poll_source(&self, cx: &mut Context, id: u32) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut state = self.state.borrow_mut();
        if state.current_reader != id {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        match state.ended {
            Some(true) => return Poll::Ready(None),
            Some(false) => return Poll::Ready(Some(Err(BodyError::TimedOut))),
            None => {}
        }
        let data = loop {
            match ready!(Pin::new(&mut state.source).poll_frame(cx)) {
                // Trailers are hop-by-hop and not forwarded.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => break Some(data),
                    Err(_) => {}
                },
                Some(Err(error)) => {
                    state.ended = Some(false);
                    return Poll::Ready(Some(Err(error.into())));
                }
                None => break None,
            }
        };
        state.received += data.as_ref().map_or(0, |d| d.len() as u64);
        if state.received > MAX_BODY {
            state.ended = Some(false);
            return Poll::Ready(Some(Err(BodyError::TooLong)));
        }
        if data.is_none() || state.length == Some(state.received) || state.source.is_end_stream() {
            state.ended = Some(true);
            self.completed.notify_waiters();
        }
        if let Some(data) = data.as_ref().filter(|_| !state.discarded) {
            if self.budget.try_reserve(data.len()) {
                state.reserved_bytes += data.len();
                state.retained.push(data.clone());
            } else {
                state.discard_retained(&self.budget);
            }
        }
        Poll::Ready(data.map(Ok))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.state.get_mut().discard_retained(&self.budget);
    }
}
