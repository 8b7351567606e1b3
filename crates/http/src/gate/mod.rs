//! The gate between a socket and hyper: parses each message head itself and lets one message through at a time.
//!
//! Hyper drops a `Content-Length` beside a `Transfer-Encoding`, reads a response without a length until the connection
//! ends, and buffers bytes after a message before they can be checked. All of that is decided here, on the raw bytes:
//! bytes after a message reach hyper only once another message is expected, and an invalid head never reaches it.

mod arrivals;
mod heads;

pub use arrivals::ArrivalTimes;
use bytes::{Buf, BufMut, BytesMut};
pub use heads::{parse_request_head, parse_response_head};
use hyper::StatusCode;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of a head, including any interim (1xx) heads before it.
pub const MAX_HEAD: usize = 16 << 10;
/// Buffer space reserved for a read of anything but a body.
const READ_SIZE: usize = 4 << 10;
/// Size in bytes of hyper's initial read buffer. It doubles the size after a read that fills the buffer.
const HYPER_BUFFER: usize = 8 << 10;
/// Bytes that an allocator may need beside a block.
const BLOCK_HEADER: usize = 32;
/// Maximum number of bytes that hyper gets at a time. They do not fill its buffer, nor reach into one more page.
pub const MAX_FORWARD: usize = HYPER_BUFFER - BLOCK_HEADER;
/// Maximum number of bytes read ahead behind the message being processed.
const MAX_READ_AHEAD: usize = 16 << 10;
/// The rejection of a request that was incomplete when the node shut down.
pub const SHUTTING_DOWN: Rejection =
    (StatusCode::SERVICE_UNAVAILABLE, "this node ends: trying again is harmless");

/// Status and text with which a message is rejected.
pub type Rejection = (StatusCode, &'static str);

/// What a connection expects to read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// A message head.
    Head,
    /// This many more bytes of a body.
    Body(u64),
    /// A body whose end only hyper can find.
    Chunked,
    /// Nothing until something has been written.
    Nothing,
    /// No further input: it is never read.
    End,
}

/// A message head, parsed as far as a gate needs.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    /// Length of the head in bytes.
    pub length: usize,
    /// What follows it.
    pub next: Expected,
}

/// How a gate treats input while it expects a message head. The message before was received completely, but may still be
/// in processing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// The next message is forwarded as it arrives.
    Forward,
    /// The message before is being processed: what follows it is read into a bounded buffer, so that the end of the
    /// connection is noticed.
    Buffer,
    /// Buffered messages are forwarded, and nothing more is read.
    Drain,
    /// Nothing more is read or forwarded.
    Stopped,
}

/// Checks message heads and receives events of a gate, for one side of the node.
pub trait GateHandler {
    /// What is expected at the start of a connection and after each message.
    const BETWEEN_MESSAGES: Expected;
    /// Parses a head. `None` if it is incomplete.
    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, Rejection>;
    /// Returns the bytes that hyper reads in place of a rejected message.
    fn reject(&self, rejection: Rejection) -> io::Result<&'static [u8]>;
    /// Called when bytes of a head are buffered. May reject the head before it is complete.
    fn head_started(&self) -> Result<(), Rejection> {
        Ok(())
    }
    /// More bytes than the message were received with it. Hyper learns of them only when it reads on, which may be too
    /// late.
    fn excess_received(&self) {}
    /// How to treat input while a message head is expected.
    fn read_mode(&self) -> ReadMode {
        ReadMode::Forward
    }
    /// A complete head is about to be forwarded.
    fn head_parsed(&self, _head: &Head) {}
    /// This many bytes were received.
    fn received(&self, _bytes: usize) {}
    /// Everything that was received has been read.
    fn caught_up(&self) {}
    /// This many of the bytes received first were forwarded.
    fn forwarded(&self, _bytes: usize) {}
    /// More of the current body is awaited: everything that was received of it has been forwarded.
    fn body_awaited(&self) {}
    /// A message was forwarded completely.
    fn message_complete(&self) {}
    /// This many bytes are buffered behind the message being processed.
    fn buffered_ahead(&self, _bytes: usize) {}
    /// The read-ahead buffer is full: reading can't detect the end of the connection any more.
    fn buffer_full(&self) {}
    /// The peer closed its sending side while a message is being processed.
    fn peer_closed(&self) {}
    /// Bytes were written; if `_all`, hyper has nothing left to write.
    fn written(&self, _all: bool) {}
}

/// A socket as hyper sees it: reads pass through the checks described in the module documentation.
pub struct Gate<H> {
    socket: Rc<TcpStream>,
    handler: H,
    buffer: BytesMut,
    /// How many of the buffered bytes may go to hyper.
    forwardable: usize,
    expected: Expected,
    /// Bytes of interim heads since the last write.
    interim_bytes: usize,
    /// The peer has closed its sending side.
    peer_closed: bool,
}

impl<H: GateHandler> Gate<H> {
    /// Wraps a socket from which nothing has been read yet.
    pub fn new(socket: Rc<TcpStream>, handler: H) -> Self {
        Gate {
            socket,
            handler,
            buffer: BytesMut::new(),
            forwardable: 0,
            expected: H::BETWEEN_MESSAGES,
            interim_bytes: 0,
            peer_closed: false,
        }
    }

    /// Whether nothing that was received is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the socket.
    pub fn into_socket(self) -> Rc<TcpStream> {
        self.socket
    }

    fn poll_readable(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        let readable = self.socket.poll_read_ready(cx);
        if readable.is_pending() {
            self.handler.caught_up();
        }
        readable
    }

    /// Reads up to `capacity` bytes from the socket by `read`. 0: the peer closed its sending side.
    fn poll_receive(
        &mut self,
        cx: &mut Context,
        capacity: usize,
        mut read: impl FnMut(&mut BytesMut, &TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_readable(cx))?;
            let (socket, buffer) = (&self.socket, &mut self.buffer);
            let mut received = None;
            // A read that does not fill the buffer has emptied the socket. Reporting WouldBlock clears the readiness,
            // which saves another read to find that out. An end of the stream that was already signalled is not lost by
            // this.
            let drained = socket.try_io(Interest::READABLE, || {
                let n = read(buffer, socket)?;
                received = Some(n);
                if n > 0 && n < capacity {
                    return Err(io::ErrorKind::WouldBlock.into());
                }
                Ok(())
            });
            match (received, drained) {
                (Some(n), _) => {
                    self.peer_closed = n == 0;
                    self.handler.received(n);
                    return Poll::Ready(Ok(n));
                }
                (None, Err(error)) if error.kind() != io::ErrorKind::WouldBlock => {
                    return Poll::Ready(Err(error));
                }
                (None, _) => {}
            }
        }
    }

    /// Reads more bytes into the buffer. 0: the peer closed its sending side.
    fn fill_buffer(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        ready!(self.poll_readable(cx))?;
        self.buffer.reserve(READ_SIZE);
        let capacity = self.buffer.capacity() - self.buffer.len();
        self.poll_receive(cx, capacity, |buffer, socket| socket.try_read_buf(buffer))
    }

    /// Reads at most `limit` bytes of a body directly into hyper's buffer.
    fn read_body(&mut self, cx: &mut Context, buf: &mut ReadBuf, limit: u64) -> Poll<io::Result<()>> {
        // The body needs no buffer of its own.
        self.buffer = BytesMut::new();
        let limit = usize::try_from(limit).unwrap_or(usize::MAX).min(MAX_FORWARD).min(buf.remaining());
        // Without initialization, which would touch the pages of a buffer that nothing may come for.
        let polled = self.poll_receive(cx, limit, |_, socket| socket.try_read_buf(&mut buf.limit(limit)))?;
        if polled.is_pending() {
            self.handler.body_awaited();
        }
        let n = ready!(polled);
        self.handler.forwarded(n);
        if let Expected::Body(left) = self.expected {
            self.expected = Expected::Body(left - n as u64);
            if n > 0 && left == n as u64 {
                self.finish_message();
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Forwards buffered bytes to hyper.
    fn forward(&mut self, buf: &mut ReadBuf) {
        let part = self.forwardable.min(buf.remaining()).min(MAX_FORWARD);
        buf.put_slice(&self.buffer[..part]);
        self.buffer.advance(part);
        self.forwardable -= part;
        self.handler.forwarded(part);
        if self.forwardable == 0 && self.expected == Expected::Body(0) {
            self.finish_message();
        }
    }

    /// Completes a message of which everything was forwarded.
    fn finish_message(&mut self) {
        self.expected = H::BETWEEN_MESSAGES;
        if !self.buffer.is_empty() {
            self.handler.excess_received();
        } else {
            // A connection holds no buffer while nothing is in it.
            self.buffer = BytesMut::new();
        }
        self.handler.buffered_ahead(self.buffer.len());
        self.handler.message_complete();
    }

    /// Reads ahead behind the message being processed. Hyper gets none of it yet.
    fn read_ahead(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        while !self.peer_closed && self.buffer.len() < MAX_READ_AHEAD {
            let read = self.fill_buffer(cx)?;
            self.handler.buffered_ahead(self.buffer.len());
            if ready!(read) == 0 {
                self.handler.peer_closed();
            }
        }
        if !self.peer_closed {
            self.handler.buffer_full();
        }
        Poll::Pending
    }

    /// Replaces a rejected message with the handler's bytes.
    fn reject(&mut self, rejection: Rejection) -> io::Result<()> {
        let replacement = self.handler.reject(rejection)?;
        self.buffer.clear();
        self.buffer.extend_from_slice(replacement);
        (self.forwardable, self.expected) = (self.buffer.len(), Expected::End);
        Ok(())
    }

    /// Parses the head at the start of the buffer. `false` if it is incomplete.
    fn try_parse_head(&mut self) -> Result<bool, Rejection> {
        if self.buffer.is_empty() {
            return Ok(false);
        }
        self.handler.head_started()?;
        let too_long = Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long"));
        match self.handler.parse_head(&self.buffer)? {
            Some(head) if self.interim_bytes + head.length <= MAX_HEAD => {
                (self.forwardable, self.expected) = (head.length, head.next);
                self.handler.head_parsed(&head);
                self.interim_bytes =
                    if head.next == Expected::Head { self.interim_bytes + head.length } else { 0 };
                Ok(true)
            }
            None if self.buffer.len() < MAX_HEAD => Ok(false),
            _ => too_long,
        }
    }
}

impl<H: GateHandler + Unpin> AsyncRead for Gate<H> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        loop {
            if me.forwardable > 0 {
                me.forward(buf);
                return Poll::Ready(Ok(()));
            }
            match me.expected {
                Expected::Head => match me.handler.read_mode() {
                    ReadMode::Stopped => return Poll::Pending,
                    ReadMode::Buffer => return me.read_ahead(cx),
                    // A peer that has closed gets no further responses.
                    _ if me.peer_closed => return Poll::Ready(Ok(())),
                    mode => match me.try_parse_head() {
                        Ok(true) => {}
                        Ok(false) if mode == ReadMode::Drain && me.buffer.is_empty() => return Poll::Pending,
                        Ok(false) if mode == ReadMode::Drain => me.reject(SHUTTING_DOWN)?,
                        Ok(false) if ready!(me.fill_buffer(cx))? == 0 => return Poll::Ready(Ok(())),
                        Ok(false) => {}
                        Err(rejection) => me.reject(rejection)?,
                    },
                },
                Expected::Body(left) if me.buffer.is_empty() => return me.read_body(cx, buf, left),
                Expected::Chunked if me.buffer.is_empty() => return me.read_body(cx, buf, u64::MAX),
                Expected::Body(left) => {
                    me.forwardable = me.buffer.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    me.expected = Expected::Body(left - me.forwardable as u64);
                }
                Expected::Chunked => me.forwardable = me.buffer.len(),
                Expected::Nothing => {
                    if me.buffer.is_empty() && ready!(me.fill_buffer(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "unsolicited bytes")));
                }
                Expected::End => return Poll::Pending,
            }
        }
    }
}

impl<H: GateHandler + Unpin> Gate<H> {
    /// Performs a write of hyper's. After it, input is expected: the response to what was written.
    fn poll_write_with(
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
                        me.handler.written(false);
                    }
                    if me.expected == Expected::Nothing && me.buffer.is_empty() {
                        (me.expected, me.interim_bytes) = (Expected::Head, 0);
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl<H: GateHandler + Unpin> AsyncWrite for Gate<H> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.handler.written(true);
        Poll::Ready(Ok(())) // Writes go directly to the socket.
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
