//! What stands between a socket and hyper: reads each message's head itself and lets through that one message.
//!
//! Hyper drops a `Content-Length` beside a `Transfer-Encoding`, reads an answer without a length to the connection's
//! end, and has bytes behind a message in its buffer before anyone can ask. All of that is decided here, on the raw
//! bytes: what is behind a message reaches hyper only once it is expected, and a head that is no good never does.

mod arrivals;
mod heads;

use arrivals::Arrivals;
use bytes::{Buf, BytesMut};
pub use heads::{answer_head, request_head};
use hyper::StatusCode;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Most that a head may hold, interim ones before it included.
const MOST_HEAD: usize = 16 << 10;
/// Room made for one read, and for one where the last one filled its own.
const READ: usize = 4 << 10;
const READ_MORE: usize = 32 << 10;
/// Most that is read behind a message in hand.
const MOST_AHEAD: usize = 16 << 10;
/// What the client of a request is told that was not whole when the node ended.
pub const ENDING: Problem = (StatusCode::SERVICE_UNAVAILABLE, "this node ends: trying again is harmless");

/// Why a message is turned down.
pub type Problem = (StatusCode, &'static str);

/// What comes next on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// A head.
    Head,
    /// So much more of a body.
    Body(u64),
    /// A body of which only hyper finds the end.
    Chunked,
    /// Nothing, unless something is written before.
    Nothing,
    /// Nothing more that anyone wants.
    Over,
}

/// The head of a message, read as far as a gate needs.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    /// Bytes that it takes.
    pub length: usize,
    /// What follows it.
    pub next: Next,
}

/// How a gate goes on between two messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The next message is let through as it comes.
    Through,
    /// A message is in hand: what comes behind it is read and held, up to a bound, so that the connection's end shows.
    Ahead,
    /// What is held is let through, and nothing more is read.
    Held,
    /// Nothing more is read or let through.
    Stopped,
}

/// Decides about heads, for one side of the node.
pub trait Guard {
    /// What comes first, and after each message.
    const BETWEEN: Next;
    /// Reads a head. None: more of it is to come.
    fn head(&self, bytes: &[u8]) -> Result<Option<Head>, Problem>;
    /// What hyper gets in place of a message that is turned down.
    fn turn_down(&self, problem: Problem) -> io::Result<&'static [u8]>;
    /// Bytes of a head are there. Says what is wrong with it even though it is not whole.
    fn begun(&self) -> Result<(), Problem> {
        Ok(())
    }
    /// More than the message came with it. Hyper is told only when it reads on, which may be too late.
    fn more(&self) {}
    /// How to go on between two messages.
    fn reading(&self) -> Reading {
        Reading::Through
    }
    /// A message has passed whole; its last byte came at this time.
    fn whole(&self, _came: Instant) {}
    /// So many bytes are held behind the message in hand.
    fn ahead(&self, _bytes: usize) {}
    /// The bound for what is held is reached: the connection's end will not show by reading.
    fn unread(&self) {}
    /// The other side ended its sending while a message is in hand.
    fn ended(&self) {}
    /// Some bytes went out; if `all`, so did everything that hyper had to write.
    fn wrote(&self, _all: bool) {}
}

/// See the module's own words.
pub struct Gate<G> {
    socket: Rc<TcpStream>,
    guard: G,
    held: BytesMut,
    /// So much of what is held may go to hyper.
    pass: usize,
    next: Next,
    /// Room for the next read.
    read: usize,
    /// Bytes of interim heads since something was written.
    interim: usize,
    arrivals: Arrivals,
    /// The other side has ended its sending.
    ended: bool,
}

impl<G: Guard> Gate<G> {
    /// Around a socket on which nothing was read yet.
    pub fn new(socket: Rc<TcpStream>, guard: G) -> Self {
        Gate {
            socket,
            guard,
            held: BytesMut::new(),
            pass: 0,
            next: G::BETWEEN,
            read: READ,
            interim: 0,
            arrivals: Arrivals::default(),
            ended: false,
        }
    }

    /// Reads more into what is held.
    fn fill(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            self.held.reserve(self.read);
            let room = self.held.capacity() - self.held.len();
            let (socket, held) = (&self.socket, &mut self.held);
            let mut read = None;
            // A read that leaves room has emptied the socket. Said so, the runtime waits for the next event; else it would
            // take another read to find out. An end that has come already is not forgotten by that.
            let drained = socket.try_io(Interest::READABLE, || match socket.try_read_buf(held) {
                Ok(n) => {
                    read = Some(n);
                    if n > 0 && n < room {
                        return Err(io::ErrorKind::WouldBlock.into());
                    }
                    Ok(())
                }
                Err(error) => Err(error),
            });
            match (read, drained) {
                (Some(n), _) => {
                    self.read = if n >= READ { READ_MORE } else { READ };
                    self.ended = n == 0;
                    self.arrivals.came(n, Instant::now());
                    return Poll::Ready(Ok(n));
                }
                (None, Err(error)) if error.kind() != io::ErrorKind::WouldBlock => {
                    return Poll::Ready(Err(error));
                }
                (None, _) => {}
            }
        }
    }

    /// A message has passed whole, the last byte of which came at this time.
    fn passed_whole(&mut self, came: Instant) {
        self.next = G::BETWEEN;
        if !self.held.is_empty() {
            self.guard.more();
        } else if self.held.capacity() > READ_MORE / 2 {
            // A connection that rests holds no more than one that is new.
            self.held = BytesMut::new();
        }
        self.guard.ahead(self.held.len());
        self.guard.whole(came);
    }

    /// Reads behind the message in hand. Hyper is given nothing of it yet.
    fn read_ahead(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        while !self.ended && self.held.len() < MOST_AHEAD {
            self.read = READ;
            let read = self.fill(cx)?;
            self.guard.ahead(self.held.len());
            if ready!(read) == 0 {
                self.guard.ended();
            }
        }
        if !self.ended {
            self.guard.unread();
        }
        Poll::Pending
    }

    /// Puts what a guard says in the place of a message that is turned down.
    fn turn_down(&mut self, problem: Problem) -> io::Result<()> {
        let instead = self.guard.turn_down(problem)?;
        self.held.clear();
        self.held.extend_from_slice(instead);
        (self.pass, self.next) = (self.held.len(), Next::Over);
        Ok(())
    }

    /// Looks for a whole head in what is held.
    fn find_head(&mut self) -> Result<bool, Problem> {
        if self.held.is_empty() {
            return Ok(false);
        }
        self.guard.begun()?;
        let too_long = Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long"));
        match self.guard.head(&self.held)? {
            Some(head) if self.interim + head.length <= MOST_HEAD => {
                (self.pass, self.next) = (head.length, head.next);
                self.interim = if head.next == Next::Head { self.interim + head.length } else { 0 };
                Ok(true)
            }
            None if self.held.len() < MOST_HEAD => Ok(false),
            _ => too_long,
        }
    }
}

impl<G: Guard + Unpin> AsyncRead for Gate<G> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        loop {
            if me.pass > 0 {
                let part = me.pass.min(buf.remaining());
                buf.put_slice(&me.held[..part]);
                me.held.advance(part);
                me.pass -= part;
                let came = me.arrivals.pass(part);
                if me.pass == 0 && me.next == Next::Body(0) {
                    me.passed_whole(came.unwrap_or_else(Instant::now));
                }
                return Poll::Ready(Ok(()));
            }
            match me.next {
                Next::Head => match me.guard.reading() {
                    Reading::Stopped => return Poll::Pending,
                    Reading::Ahead => return me.read_ahead(cx),
                    // Whoever has gone is answered no more.
                    _ if me.ended => return Poll::Ready(Ok(())),
                    reading => match me.find_head() {
                        Ok(true) => {}
                        Ok(false) if reading == Reading::Held && me.held.is_empty() => return Poll::Pending,
                        Ok(false) if reading == Reading::Held => me.turn_down(ENDING)?,
                        Ok(false) if ready!(me.fill(cx))? == 0 => return Poll::Ready(Ok(())),
                        Ok(false) => {}
                        Err(problem) => me.turn_down(problem)?,
                    },
                },
                Next::Body(_) | Next::Chunked if me.held.is_empty() => {
                    if ready!(me.fill(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
                Next::Body(left) => {
                    me.pass = me.held.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    me.next = Next::Body(left - me.pass as u64);
                }
                Next::Chunked => me.pass = me.held.len(),
                Next::Nothing => {
                    if me.held.is_empty() && ready!(me.fill(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "bytes out of turn")));
                }
                Next::Over => return Poll::Pending,
            }
        }
    }
}

impl<G: Guard + Unpin> Gate<G> {
    /// A write of hyper's. What comes after it may be an answer to it.
    fn poll_writing(
        self: Pin<&mut Self>,
        cx: &mut Context,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let me = self.get_mut();
        loop {
            ready!(me.socket.poll_write_ready(cx))?;
            match write(&me.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    if written.as_ref().is_ok_and(|n| *n > 0) {
                        me.guard.wrote(false);
                    }
                    if me.next == Next::Nothing && me.held.is_empty() {
                        (me.next, me.interim) = (Next::Head, 0);
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl<G: Guard + Unpin> AsyncWrite for Gate<G> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_writing(cx, |socket| socket.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_writing(cx, |socket| socket.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.guard.wrote(true);
        Poll::Ready(Ok(())) // Nothing is held back.
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
