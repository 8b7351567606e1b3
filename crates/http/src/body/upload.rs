//! A request body that is too large to be read completely first: it is received once, ahead of the server where the
//! budget allows, and retained for further attempts while it allows that too.

mod reader;

use super::budget::{keep, Reservation};
use super::{progress_deadline, BodyError, BufferBudget, MAX_BODY, MIN_RATE_GRACE};
use crate::send_monitor::SendMonitor;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
pub use reader::{HeldUpload, LastBytePermit, UploadEnd, UploadReader};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Maximum number of bytes of a body that are received ahead of the attempt that sends it.
const MAX_READ_AHEAD: usize = 4 << 20;
/// Number of bytes that a client's system may hold as sent while the node does not read: the largest send buffer that
/// Linux gives a connection by default.
const MAX_UNSEEN: u64 = 4 << 20;
/// Rate in bytes per second at which this many bytes are taken up within half a second.
const MIN_BACKLOG_RATE: f64 = 2.0 * MAX_UNSEEN as f64;
/// How often to look whether the budget has space again.
const SPACE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A request body that is too large to be read completely first.
pub struct Upload {
    state: RefCell<State>,
    budget: BufferBudget,
    /// Signalled when a chunk was sent or an attempt starts.
    chunk_sent: Notify,
    /// How long the client waits after its last byte.
    pub client_timeout: Duration,
}

struct State {
    source: Incoming,
    started: Instant,
    /// The body's length, if the client declared it.
    length: Option<u64>,
    received: u64,
    /// What was received, from the chunk with the number `first_chunk` on.
    chunks: VecDeque<Bytes>,
    first_chunk: usize,
    /// Chunks stay after they were sent.
    retains: bool,
    /// Number of the latest reader (earlier ones get no more data) and of the next chunk that it sends.
    current_reader: u32,
    next_chunk: usize,
    reader_waker: Option<Waker>,
    /// Bytes that the current reader has not sent.
    unsent: usize,
    /// `true`: the last byte was received. `false`: it never will be.
    ended: Option<bool>,
    /// Set while there is no space for what the client may have sent already.
    backlog: Option<Backlog>,
}

/// What is waiting in front of the node because there is no space for it.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    since: Instant,
    /// Bytes that had been received when it began.
    received: u64,
}

impl Backlog {
    /// Whether it is taken up so slowly that what a client's system holds as sent arrives clearly later.
    fn is_slow(&self, received: u64) -> bool {
        let bytes = (received - self.received) as f64;
        bytes < MIN_BACKLOG_RATE * self.since.elapsed().as_secs_f64()
    }
}

impl State {
    /// Number of chunks that the current reader has not sent.
    fn unsent_chunks(&self) -> usize {
        self.first_chunk + self.chunks.len() - self.next_chunk
    }

    fn note_backlog(&mut self) {
        let received = self.received;
        self.backlog.get_or_insert_with(|| Backlog { since: Instant::now(), received });
    }

    fn wake_reader(&mut self) {
        self.reader_waker.take().into_iter().for_each(Waker::wake);
    }

    /// Retains nothing more: what was sent is dropped, so that no further attempt can start.
    fn stop_retaining(&mut self) {
        self.retains = false;
        while self.first_chunk < self.next_chunk {
            self.chunks.pop_front();
            self.first_chunk += 1;
        }
    }

    /// Takes the chunk with this number for the current reader.
    fn take_chunk(&mut self, number: usize) -> Option<Bytes> {
        let chunk = self.chunks.get(number.checked_sub(self.first_chunk)?)?.clone();
        self.next_chunk = number + 1;
        self.unsent -= chunk.len();
        if !self.retains {
            self.stop_retaining();
        }
        Some(chunk)
    }

    /// Starts with a new reader, to which nothing was sent yet.
    fn start_reader(&mut self) -> u32 {
        self.wake_reader();
        self.current_reader += 1;
        self.next_chunk = 0;
        self.unsent = self.chunks.iter().map(Bytes::len).sum();
        self.current_reader
    }
}

impl Upload {
    /// Wraps a body of which `prefix` has been received since `started`.
    pub fn new(
        prefix: Bytes,
        source: Incoming,
        started: Instant,
        budget: BufferBudget,
        client_timeout: Duration,
    ) -> Rc<Self> {
        let received = prefix.len();
        let length = source.size_hint().exact().map(|rest| rest + received as u64);
        let state = State {
            ended: (length == Some(received as u64)).then_some(true),
            source,
            started,
            length,
            received: received as u64,
            chunks: Some(prefix).into_iter().filter(|prefix| !prefix.is_empty()).collect(),
            first_chunk: 0,
            retains: true,
            current_reader: 0,
            next_chunk: 0,
            reader_waker: None,
            unsent: received,
            backlog: None,
        };
        Rc::new(Upload { state: RefCell::new(state), budget, chunk_sent: Notify::new(), client_timeout })
    }

    /// Returns a reader of the whole body for one more attempt. `None`: the body can't be read from the start any more.
    /// `permit` is called before the last byte; `held` holds it back until it would reach the server in time.
    pub fn new_reader(
        self: &Rc<Self>,
        monitor: SendMonitor,
        permit: LastBytePermit,
        held: Option<HeldUpload>,
    ) -> Option<UploadReader> {
        let mut state = self.state.borrow_mut();
        if state.first_chunk > 0 || state.ended == Some(false) {
            return None;
        }
        let id = state.start_reader();
        self.chunk_sent.notify_one();
        Some(UploadReader::new(self.clone(), id, monitor, permit, held))
    }

    /// Receives the body to its end, as far ahead of the attempt as the budget allows. An error means that the client
    /// broke off or sent too much.
    pub async fn receive(&self) -> Result<(), BodyError> {
        while self.state.borrow().ended.is_none() {
            let reservation = self.wait_for_space().await;
            match poll_fn(|cx| self.poll_source(cx)).await {
                Ok(Some(data)) => self.push(data, reservation),
                Ok(None) => {}
                Err(error) => {
                    self.end(false);
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    /// Waits until one more chunk may be received. Where the budget has no space, what was sent is dropped, and a chunk
    /// is still received once everything before it was sent.
    async fn wait_for_space(&self) -> Option<Reservation> {
        loop {
            if self.state.borrow().unsent < MAX_READ_AHEAD {
                let reservation = self.budget.reserve_part();
                if reservation.is_some() {
                    return reservation;
                }
                let mut state = self.state.borrow_mut();
                if state.current_reader > 0 && state.next_chunk > 0 {
                    state.stop_retaining();
                }
                if state.unsent_chunks() == 0 {
                    state.retains = false;
                    return None;
                }
            }
            self.state.borrow_mut().note_backlog();
            let _ = timeout(SPACE_CHECK_INTERVAL, self.chunk_sent.notified()).await;
        }
    }

    fn push(&self, data: Bytes, reservation: Option<Reservation>) {
        let mut state = self.state.borrow_mut();
        state.received += data.len() as u64;
        state.unsent += data.len();
        state.chunks.push_back(keep(data, reservation));
        if state.length == Some(state.received) || state.source.is_end_stream() {
            state.ended = Some(true);
        }
        state.wake_reader();
    }

    fn end(&self, complete: bool) {
        let mut state = self.state.borrow_mut();
        state.ended = Some(complete);
        state.wake_reader();
    }

    /// Whether the body is not waited for any longer: the client sends, or the server reads, too slowly.
    pub fn is_stalled(&self) -> bool {
        let state = self.state.borrow();
        state.ended != Some(true) && Instant::now() >= progress_deadline(state.started, state.received)
    }

    /// Since when the last byte may have been in front of the node, unseen, because the server reads too slowly. `None`
    /// if it can't have been there for long.
    pub fn possible_arrival(&self) -> Option<Instant> {
        let state = self.state.borrow();
        let missing = state.length.map_or(0, |length| length.saturating_sub(state.received));
        let backlog = state.backlog.filter(|backlog| backlog.is_slow(state.received));
        backlog.filter(|_| missing <= MAX_UNSEEN).map(|backlog| backlog.since)
    }

    /// Whether the client may be past its time, though its last byte has not been seen.
    pub fn may_be_overdue(&self) -> bool {
        self.possible_arrival().is_some_and(|arrival| arrival.elapsed() >= self.client_timeout)
    }

    /// Records that everything that came was received.
    pub fn caught_up(&self) {
        self.state.borrow_mut().backlog = None;
    }

    /// Reads and discards the rest of the body, because a client may read the response only after it has written
    /// everything.
    pub async fn drain(self: Rc<Self>) {
        {
            let mut state = self.state.borrow_mut();
            state.start_reader();
            (state.next_chunk, state.unsent) = (state.first_chunk + state.chunks.len(), 0);
            state.stop_retaining();
        }
        while !self.is_stalled() && self.state.borrow().ended.is_none() {
            let next = poll_fn(|cx| self.poll_source(cx));
            let Ok(Ok(data)) = timeout(MIN_RATE_GRACE, next).await else { return };
            self.state.borrow_mut().received += data.map_or(0, |data| data.len() as u64);
        }
    }

    /// Polls the client's connection for the next bytes. `None`: the body has ended.
    fn poll_source(&self, cx: &mut Context) -> Poll<Result<Option<Bytes>, BodyError>> {
        loop {
            let mut state = self.state.borrow_mut();
            let data = match ready!(Pin::new(&mut state.source).poll_frame(cx)) {
                // Trailers are hop-by-hop and not forwarded.
                Some(frame) => frame?.into_data().unwrap_or_default(),
                None => {
                    drop(state);
                    self.end(true);
                    return Poll::Ready(Ok(None));
                }
            };
            if state.received + data.len() as u64 > MAX_BODY {
                return Poll::Ready(Err(BodyError::TooLong));
            }
            if !data.is_empty() {
                return Poll::Ready(Ok(Some(data)));
            }
        }
    }

    /// Polls for the chunk with this number on behalf of a reader.
    fn poll_chunk(&self, cx: &Context, id: u32, number: usize) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut state = self.state.borrow_mut();
        if state.current_reader != id {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        if let Some(chunk) = state.take_chunk(number) {
            self.chunk_sent.notify_one();
            return Poll::Ready(Some(Ok(chunk)));
        }
        match state.ended {
            Some(true) => Poll::Ready(None),
            Some(false) => Poll::Ready(Some(Err(BodyError::TimedOut))),
            None => {
                state.reader_waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Whether the body has ended and a reader that sends this chunk next has sent all of it.
    fn is_exhausted(&self, next_chunk: usize) -> bool {
        let state = self.state.borrow();
        state.ended == Some(true) && next_chunk >= state.first_chunk + state.chunks.len()
    }
}
