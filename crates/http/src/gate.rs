//! What stands between a socket and hyper: reads each message's head itself and lets through that one message.
//!
//! Hyper drops a `Content-Length` beside a `Transfer-Encoding`, reads an answer without a length to the connection's
//! end, and has bytes behind a message in its buffer before anyone can ask. All of that is decided here, on the raw
//! bytes: what is behind a message reaches hyper only once it is expected, and a head that is no good never does.

use crate::body::MOST;
use bytes::{Buf, BytesMut};
use hyper::StatusCode;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Most that a head may hold, interim ones before it included.
const MOST_HEAD: usize = 16 << 10;
/// Most lines in a head.
const MOST_HEADERS: usize = 100;
/// Room made for one read, and for one where the last one filled its own.
const READ: usize = 4 << 10;
const READ_MORE: usize = 32 << 10;
/// Most that is read behind a message in hand.
const MOST_AHEAD: usize = 16 << 10;
/// Bytes that come within this time of each other count as come together, with the first of them.
const TOGETHER: Duration = Duration::from_millis(5);
/// What a head is told that was not whole when the node ended.
const ENDING: Problem = (StatusCode::SERVICE_UNAVAILABLE, "this node ends: trying again is harmless");

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

/// When the bytes of a connection came.
#[derive(Debug, Default)]
struct Arrivals {
    /// Bytes that have come so far, and how many of them have passed on.
    come: u64,
    passed: u64,
    /// Up to which byte, and when the first of them since the mark before.
    marks: VecDeque<(u64, Instant)>,
}

impl Arrivals {
    fn came(&mut self, bytes: usize, now: Instant) {
        self.come += bytes as u64;
        match self.marks.back_mut().filter(|mark| now - mark.1 < TOGETHER) {
            Some(mark) => mark.0 = self.come,
            None => self.marks.push_back((self.come, now)),
        }
    }

    /// So many more have passed on. Says when the last of them came.
    fn pass(&mut self, bytes: usize) -> Option<Instant> {
        self.passed += bytes as u64;
        while self.marks.front().is_some_and(|mark| mark.0 < self.passed) {
            self.marks.pop_front();
        }
        let came = self.marks.front().map(|mark| mark.1);
        if self.passed == self.come {
            self.marks.clear();
        }
        came
    }
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

/// Reads a request's head.
pub fn request_head(bytes: &[u8]) -> Result<Option<Head>, Problem> {
    let bad = |why| (StatusCode::BAD_REQUEST, why);
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            return Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "too many headers"));
        }
        Err(_) => return Err(bad("the head can't be read")),
    };
    if !matches!(request.method, Some("GET" | "POST")) {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "GET and POST are known here"));
    }
    let next = match framing(request.headers).map_err(bad)? {
        Framing::Length(body) if body > MOST => {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        Framing::Length(body) => Next::Body(body),
        Framing::None => Next::Body(0),
        Framing::Chunked if request.version != Some(1) => return Err(bad("HTTP/1.0 knows no chunks")),
        Framing::Chunked => Next::Chunked,
    };
    // What is behind a request has to begin another. Else its length is wrong, and nothing about it can be trusted.
    if let Next::Body(body) = next {
        let behind = bytes.get(length + body as usize..).unwrap_or_default();
        let behind = behind.strip_prefix(b"\r\n").unwrap_or(behind);
        let begins = |method: &[u8]| behind.iter().zip(method).all(|(a, b)| a == b);
        if !begins(b"GET ") && !begins(b"POST ") {
            return Err(bad("more came than the head says"));
        }
    }
    Ok(Some(Head { length, next }))
}

/// Reads an answer's head.
pub fn answer_head(bytes: &[u8]) -> Result<Option<Head>, Problem> {
    let bad = |why| (StatusCode::BAD_GATEWAY, why);
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let length = match answer.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(bad("the head can't be read")),
    };
    let next = match (answer.code, framing(answer.headers).map_err(bad)?) {
        (Some(101), _) => return Err(bad("nobody asked for another protocol")),
        (Some(100..200), _) => Next::Head,
        (Some(204 | 304), _) => Next::Body(0),
        (_, Framing::Length(body)) if body <= MOST => Next::Body(body),
        (_, Framing::Length(_)) => return Err(bad("the body is too large")),
        (_, Framing::Chunked) if answer.version == Some(1) => Next::Chunked,
        // It ends with its connection, and says so: a break is a reset, and hyper tells the two apart.
        (_, Framing::None) if closes(answer.headers) => Next::Chunked,
        // Whether it is whole could not be told.
        _ => return Err(bad("the body has no length")),
    };
    Ok(Some(Head { length, next }))
}

enum Framing {
    None,
    Length(u64),
    Chunked,
}

/// Whether a message says that it is the last one on its connection.
fn closes(headers: &[httparse::Header]) -> bool {
    headers
        .iter()
        .any(|h| h.name.eq_ignore_ascii_case("connection") && h.value.eq_ignore_ascii_case(b"close"))
}

/// How long a body is, by the one header that may say so.
fn framing(headers: &[httparse::Header]) -> Result<Framing, &'static str> {
    let values = |name: &'static str| {
        let named = move |h: &&httparse::Header| h.name.eq_ignore_ascii_case(name);
        headers.iter().filter(named).map(|h| h.value.trim_ascii())
    };
    let mut lengths = values("content-length");
    let mut codings = values("transfer-encoding");
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(Framing::None),
        (Some(_), Some(_)) => Err("Content-Length and Transfer-Encoding exclude each other"),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none() => {
            Ok(Framing::Chunked)
        }
        (None, Some(_)) => Err("Transfer-Encoding is not understood"),
        (Some(length), None) if lengths.all(|other| other == length) => {
            let digits = Some(length).filter(|l| !l.is_empty() && l.iter().all(u8::is_ascii_digit));
            let number = digits.and_then(|l| std::str::from_utf8(l).ok()?.parse().ok());
            number.map(Framing::Length).ok_or("Content-Length is no number")
        }
        (Some(_), None) => Err("Content-Length differs from itself"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_are_framed() {
        let next =
            |head: &str| request_head(head.as_bytes()).map(|h| h.map(|h| h.next)).map_err(|p| p.0.as_u16());
        assert_eq!(next("GET / HTTP/1.1\r\n\r\n"), Ok(Some(Next::Body(0))));
        assert_eq!(next("POST / HTTP/1.1\r\ncontent-LENGTH: 7\r\n\r\n"), Ok(Some(Next::Body(7))));
        assert_eq!(next("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"), Ok(Some(Next::Chunked)));
        assert_eq!(next("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n.GET / HT"), Ok(Some(Next::Body(1))));
        assert_eq!(next("POST / HTTP/1.1\r\nContent-Le"), Ok(None));
        let both = [
            "Content-Length: 3\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nContent-Length: 3",
        ];
        let bad = [
            "Content-Length: -1",
            "Content-Length: +1",
            "Content-Length:",
            "Content-Length: 1\r\nContent-Length: 2",
            "Content-Length: 99999999999999999999",
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        ];
        for headers in both.iter().chain(&bad) {
            assert_eq!(next(&format!("POST / HTTP/1.1\r\n{headers}\r\n\r\n")), Err(400), "{headers}");
        }
        assert_eq!(next("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"), Err(400));
        assert_eq!(next("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n.and more"), Err(400));
        assert_eq!(next("POST / HTTP/1.1\r\nContent-Length: 41943041\r\n\r\n"), Err(413));
        assert_eq!(next("CONNECT a:1 HTTP/1.1\r\n\r\n"), Err(405));
    }

    #[test]
    fn answers_are_framed() {
        let next =
            |head: &str| answer_head(head.as_bytes()).map(|h| h.map(|h| h.next)).map_err(|p| p.0.as_u16());
        assert_eq!(
            next("HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Length: 7\r\n\r\n"),
            Ok(Some(Next::Body(7)))
        );
        assert_eq!(next("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), Ok(Some(Next::Head)));
        assert_eq!(next("HTTP/1.1 204 No Content\r\n\r\n"), Ok(Some(Next::Body(0))));
        for spoilt in [
            "200 OK\r\n\r\n",
            "101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
            "200 OK\r\nContent-Length: 3000000000\r\n\r\n",
            "200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "what\r\n\r\n",
        ] {
            assert_eq!(next(&format!("HTTP/1.1 {spoilt}")), Err(502), "{spoilt}");
        }
        assert_eq!(next("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), Err(502));
    }
}
