//! Bodies: held whole while they are small, passed on as they come where they are not.
//!
//! A request's large body ([`Upload`]) comes once. What has come is kept for a further attempt as long as all kept bodies
//! together have [`Room`]; once some of it is forgotten there is none, since nothing could be sent from the start.
//!
//! | body | attempts | what a broken attempt comes to |
//! | --- | --- | --- |
//! | whole, at most [`HELD`] | as the decisions say | as the rules say |
//! | larger, all of it kept so far | the same | never ran if its last byte was not out |
//! | larger, some forgotten | no further one | the same: refused if it surely never ran, else failed |
//!
//! An answer's large body ([`Coming`]) goes to the client as it comes, and leaves its server as fast as there is room for it; its first bytes make the request served.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{timeout, timeout_at, Instant};

/// The most of a body that is held whole before anything is done with it.
pub const HELD: usize = 64 << 10;
/// The most that a body may hold, either way.
pub const MOST: u64 = 40 << 20;
/// What comes more slowly than this, or not at all ...
const LEAST_RATE: f64 = 32.0 * 1024.0;
/// ... is borne for so long.
const PATIENCE: Duration = Duration::from_millis(2500);
/// An answer of unknown length is waited for whole for so long. One that breaks after that can't be made good by a further
/// attempt, one that is held back longer may come too late.
const PASS: Duration = Duration::from_millis(10);
/// A server that is silent for so long in the midst of an answer has ended it.
const SILENCE: Duration = Duration::from_secs(10);

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
pub struct Room(Cell<usize>);

impl Room {
    /// Room for so many.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Room(Cell::new(bytes)))
    }

    fn take(&self, bytes: usize) -> bool {
        let left = self.0.get().checked_sub(bytes);
        left.map(|left| self.0.set(left)).is_some()
    }

    fn give_back(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }
}

/// A request's body that is too large to be held whole.
pub struct Upload {
    state: RefCell<State>,
    room: Rc<Room>,
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
    fn forget(&mut self, room: &Room) {
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
        room: Rc<Room>,
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

/// A request's body.
#[derive(Clone)]
pub enum Payload {
    /// All of it.
    Whole(Bytes),
    /// It still comes.
    Coming(Rc<Upload>),
}

/// A body as it goes to a server.
pub enum Outgoing {
    /// All of it, until it is taken.
    Whole(Option<Bytes>),
    /// It still comes.
    Coming(Reader),
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Outgoing::Whole(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Outgoing::Coming(reader) => Pin::new(reader).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outgoing::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Outgoing::Coming(reader) => reader.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Outgoing::Coming(reader) => reader.size_hint(),
        }
    }
}

/// An answer's body.
pub enum Reply {
    /// All of it.
    Whole(Bytes),
    /// It still comes.
    Coming(Coming),
}

/// An answer's body that still comes. It is read from its server as fast as that gives it, as long as there is [`Room`] for what
/// the client has not taken yet: a client that reads slowly holds up no server.
pub struct Coming {
    pipe: Rc<Pipe>,
    pump: AbortHandle,
    length: Option<u64>,
}

struct Pipe {
    room: Rc<Room>,
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

impl Coming {
    /// Of which these first parts have come. Once all has come `end` is called; where it breaks off, or nobody wants it any
    /// more, `end` is dropped, and with it the connection that it holds. What has not come by `due` is not waited for.
    pub fn new(
        first: Vec<Bytes>,
        rest: Incoming,
        room: Rc<Room>,
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
        Coming { pipe, pump: pump.abort_handle(), length }
    }
}

impl Drop for Coming {
    fn drop(&mut self) {
        self.pump.abort();
    }
}

impl Body for Coming {
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

/// What has come of a body before it is known whether it is small: all of it, or its first parts.
pub struct First {
    /// The parts.
    pub parts: Vec<Bytes>,
    /// They are all.
    pub whole: bool,
}

impl First {
    /// Reads until a body has ended, or more than [`HELD`] of it has come. `due` says until when to wait after so many bytes;
    /// `pass` says what is then: an error, or what has come.
    pub async fn read(
        body: &mut Incoming,
        due: impl Fn(u64) -> Instant,
        pass: bool,
    ) -> Result<Self, BodyError> {
        let (mut parts, mut bytes) = (Vec::new(), 0);
        loop {
            let next = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx));
            match timeout_at(due(bytes as u64), next).await {
                Err(_) if pass => return Ok(First { parts, whole: false }),
                Err(_) => return Err(BodyError::Silent),
                Ok(None) => return Ok(First { parts, whole: true }),
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        bytes += data.len();
                        parts.push(data);
                    }
                }
            }
            if bytes > HELD {
                return Ok(First { parts, whole: false });
            }
        }
    }

    /// The first of an answer that the node waits for so long. Of one that is large its first bytes count: nothing of it is held.
    /// Of one whose length nobody knows neither, once it could have come.
    pub async fn of_answer(body: &mut Incoming, left: Duration) -> Result<Self, BodyError> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > HELD as u64) {
            return Ok(First { parts: Vec::new(), whole: false });
        }
        let now = Instant::now();
        // The engine ends what takes longer than it has.
        let due = now + if length.is_some() { left * 2 } else { PASS };
        First::read(body, |_| due, length.is_none()).await
    }

    /// The parts as one.
    pub fn joined(mut self) -> Bytes {
        match self.parts.len() {
            0 => Bytes::new(),
            1 => self.parts.swap_remove(0),
            _ => self.parts.concat().into(),
        }
    }
}
