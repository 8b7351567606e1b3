//! One client connection: reads its calls in order and writes their replies as they arrive.

use super::call::{AcceptedCall, Rejection};
use super::{ThriftFrontend, EVICT_IDLE_AFTER, EVICT_NEW_AFTER};
use crate::decoder::MessageDecoder;
use birchswitch_host::input_progress::InputProgress;
use birchswitch_host::socket::{is_open_and_idle, linger, wait_read_closed};
use rustc_hash::FxHashSet;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify, OwnedSemaphorePermit};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Time from accepting a connection to its first message.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the first byte of a message to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for a client to accept one reply.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long connections are still read after the node closes: a call may have been sent along with the connection.
const CLOSE_DELAY: Duration = Duration::from_millis(100);
/// Interval for polling whether a client's last call has been answered.
const IDLE_POLL: Duration = Duration::from_millis(100);

/// The state of a connection that the listener uses to choose which one to evict.
pub(super) struct Client {
    id: u64,
    /// None while calls are in flight.
    idle_since: Cell<Option<Instant>>,
    /// Whether at least one message was received.
    has_sent: Cell<bool>,
    /// How an incomplete message arrives. Nothing is awaited between messages.
    input: InputProgress,
    evicted: Notify,
}

impl Client {
    pub(super) fn new(id: u64) -> Rc<Self> {
        Rc::new(Client {
            id,
            idle_since: Cell::new(Some(Instant::now())),
            has_sent: Cell::new(false),
            input: InputProgress::default(),
            evicted: Notify::new(),
        })
    }

    /// The order of eviction: connections without an incomplete message first, then the longest unproductive.
    pub(super) fn eviction_order(&self, now: Instant) -> (bool, Reverse<Duration>) {
        match self.input.lag(now) {
            Some(lag) => (true, Reverse(lag.behind)),
            None => (false, Reverse(self.idle_time(now).unwrap_or_default())),
        }
    }

    /// Whether the connection may be evicted in favour of a new one: no call is in flight, and what it sends of one lags
    /// too far behind, or nothing was received for long enough.
    pub(super) fn is_evictable(&self, now: Instant) -> bool {
        let Some(idle_time) = self.idle_time(now) else { return false };
        match (self.input.lag(now), self.has_sent.get()) {
            (Some(lag), _) => lag.is_excessive(),
            (None, true) => idle_time >= EVICT_IDLE_AFTER,
            (None, false) => idle_time >= EVICT_NEW_AFTER,
        }
    }

    /// The time since the last call in flight ended; `None` while calls are in flight.
    fn idle_time(&self, now: Instant) -> Option<Duration> {
        self.idle_since.get().map(|since| now.saturating_duration_since(since))
    }

    /// Records that more of a message is awaited, whose first bytes have just been received if it is `new`.
    fn await_message(&self, new: bool) {
        if new {
            self.input.start();
        }
        self.input.set_awaited(Instant::now());
    }

    /// Requests that the connection be closed, unless bytes have arrived on it.
    pub(super) fn evict(&self) {
        self.evicted.notify_one();
    }
}

/// The calls of one connection that have not been answered yet.
#[derive(Default)]
struct InFlight {
    seqids: RefCell<FxHashSet<i32>>,
    /// Whether one of them is a oneway that has not been sent yet.
    oneway: Cell<bool>,
    changed: Notify,
}

impl InFlight {
    fn begin(&self, oneway: bool, seqid: i32) {
        match oneway {
            true => self.oneway.set(true),
            false => {
                self.seqids.borrow_mut().insert(seqid);
            }
        }
    }

    fn end(&self, oneway: bool, seqid: i32) {
        match oneway {
            true => self.oneway.set(false),
            false => {
                self.seqids.borrow_mut().remove(&seqid);
            }
        }
        self.changed.notify_one();
    }

    fn is_empty(&self) -> bool {
        self.seqids.borrow().is_empty() && !self.oneway.get()
    }
}

/// How a connection is closed.
enum ConnectionEnd {
    /// After its calls in flight have been answered.
    Drain,
    /// Immediately, since the client has disconnected or accepts no replies.
    Abandoned,
    /// Without waiting for the client: no call is in flight, and another client needs the slot.
    Evicted,
}

impl ThriftFrontend {
    pub(super) async fn serve_connection(self: Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        let (mut read_half, write_half) = stream.into_split();
        let (replies, queue) = mpsc::channel(self.settings.settings.pipeline as usize + 1);
        let mut writer = spawn_local(write_replies(write_half, queue));
        let mut calls = JoinSet::new();
        let reading_calls = self.clone().read_calls(&mut read_half, client, &replies, &mut calls);
        let end = tokio::select! {
            end = reading_calls => end,
            // The client accepts no replies or has disconnected, so pending replies are dropped.
            _ = &mut writer => ConnectionEnd::Abandoned,
        };
        match end {
            ConnectionEnd::Drain => {
                while calls.join_next().await.is_some() {}
                drop(replies);
                let _ = writer.await;
                linger(read_half.as_ref()).await;
            }
            ConnectionEnd::Evicted => {
                drop(replies);
                let _ = writer.await;
            }
            // Aborting a call's task tells the engine that the client has disconnected.
            ConnectionEnd::Abandoned => {
                calls.abort_all();
                writer.abort();
            }
        }
    }

    /// Reads calls until the client disconnects, sends an invalid message or has to be closed.
    async fn read_calls(
        self: Rc<Self>,
        read_half: &mut OwnedReadHalf,
        client: &Rc<Client>,
        replies: &mpsc::Sender<Vec<u8>>,
        calls: &mut JoinSet<()>,
    ) -> ConnectionEnd {
        let mut decoder = MessageDecoder::new(self.settings.client_dialect, self.settings.limits);
        let in_flight = Rc::new(InFlight::default());
        let (mut call_number, mut message_started) = (0u64, None);
        // Complete messages in the buffer arrived with the latest read or earlier.
        let mut received_at = Instant::now();
        loop {
            let bytes = match decoder.next_message() {
                Ok(Some(bytes)) => bytes,
                Ok(None) => {
                    if decoder.is_empty() {
                        message_started = None;
                    } else {
                        client.await_message(message_started.is_none());
                        message_started = message_started.or(Some(Instant::now()));
                    }
                    if let Some(end) = self.read_more(read_half, &mut decoder, client, message_started).await
                    {
                        return end;
                    }
                    received_at = Instant::now();
                    continue;
                }
                Err(_) => {
                    if let Some(reply) = self.undecodable_reply(&decoder) {
                        let _ = replies.send(reply).await;
                    }
                    return ConnectionEnd::Drain;
                }
            };
            message_started = None;
            client.has_sent.set(true);
            let Some(dialect) = decoder.dialect() else { return ConnectionEnd::Drain };
            let (header, options) = match self.read_call(dialect, &bytes) {
                Ok(call) => call,
                Err(Rejection { reply, keep_open }) => {
                    if let Some(reply) = reply {
                        let _ = replies.send(reply).await;
                    }
                    match keep_open {
                        true => continue,
                        false => return ConnectionEnd::Drain,
                    }
                }
            };
            let (oneway, seqid) = (options.oneway, header.seqid);
            // The connection is not read while the call waits, so a disconnect has to be detected separately.
            let memory_permit = tokio::select! {
                permit = self.wait_for_turn(&in_flight, calls, (oneway, seqid), bytes.len()) => permit,
                () = wait_read_closed(read_half.as_ref()) => None,
            };
            let Some(memory_permit) = memory_permit else { return ConnectionEnd::Abandoned };
            in_flight.begin(oneway, seqid);
            client.idle_since.set(None);
            call_number += 1;
            let external_id = [client.id.to_be_bytes(), call_number.to_be_bytes()].concat();
            let call = AcceptedCall {
                dialect,
                bytes: bytes.clone(),
                options,
                external_id: external_id.into(),
                arrived: received_at,
            };
            let (frontend, client) = (self.clone(), client.clone());
            let (in_flight, replies) = (in_flight.clone(), replies.clone());
            calls.spawn_local(async move {
                if let Some(reply) = frontend.call(call).await {
                    let _ = replies.send(reply).await;
                }
                in_flight.end(oneway, seqid);
                if in_flight.is_empty() {
                    client.idle_since.set(Some(Instant::now()));
                }
                drop(memory_permit);
            });
        }
    }

    /// Waits until a call may start: no call in flight has the same sequence id, no unsent oneway precedes it, and the
    /// pipeline and the memory budget have room.
    async fn wait_for_turn(
        &self,
        in_flight: &InFlight,
        calls: &mut JoinSet<()>,
        (oneway, seqid): (bool, i32),
        length: usize,
    ) -> Option<OwnedSemaphorePermit> {
        // Replies to two calls in flight with one sequence id could not be told apart, and calls after a oneway may depend
        // on its effects.
        while in_flight.oneway.get() || (!oneway && in_flight.seqids.borrow().contains(&seqid)) {
            in_flight.changed.notified().await;
        }
        while calls.len() >= self.settings.settings.pipeline as usize {
            calls.join_next().await;
        }
        while calls.try_join_next().is_some() {}
        // The reply gets as much memory as the call.
        let size = (length as u32).div_ceil(1024) * 2;
        self.memory.clone().acquire_many_owned(size).await.ok()
    }

    /// Reads more bytes, or returns how to close the connection. A message that has been started has to be complete within
    /// [`MESSAGE_TIMEOUT`].
    async fn read_more(
        &self,
        read_half: &mut OwnedReadHalf,
        decoder: &mut MessageDecoder,
        client: &Client,
        message_started: Option<Instant>,
    ) -> Option<ConnectionEnd> {
        let mut closing = self.closing.clone();
        let mut closed = std::pin::pin!(async {
            let _ = closing.wait_for(|c| *c).await;
            // A call may have been sent with the connection, or may be in flight while the node closes.
            sleep(CLOSE_DELAY).await;
        });
        let (mut overdue, mut closed_by_node) = (false, false);
        loop {
            // A connection with an unread call is never closed.
            if (overdue || closed_by_node)
                && (message_started.is_some() || is_open_and_idle(read_half.as_ref()))
            {
                return Some(ConnectionEnd::Drain);
            }
            // The client may stay silent while its calls are in flight.
            let read_deadline = match (message_started, client.idle_since.get()) {
                (Some(since), _) => Some(since + MESSAGE_TIMEOUT),
                (None, Some(since)) if client.has_sent.get() => {
                    Some(since + Duration::from_millis(self.settings.settings.idle_ms))
                }
                (None, Some(since)) => Some(since + FIRST_CALL_TIMEOUT),
                (None, None) => None,
            };
            tokio::select! {
                biased; // Bytes that have arrived are read before the connection may end.
                ready = read_half.readable() => {
                    match ready.and_then(|()| read_half.try_read_buf(decoder.read_buffer())) {
                        Ok(0) => return Some(ConnectionEnd::Abandoned),
                        Ok(received) => {
                            client.input.received(received, Instant::now());
                            return None;
                        }
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        Err(_) => return Some(ConnectionEnd::Abandoned),
                    }
                }
                () = client.evicted.notified() => if client.is_evictable(Instant::now()) && is_open_and_idle(read_half.as_ref()) {
                    return Some(ConnectionEnd::Evicted);
                },
                () = sleep_until(read_deadline.unwrap_or_else(Instant::now)), if read_deadline.is_some() && !overdue => {
                    overdue = true;
                }
                () = &mut closed, if message_started.is_none() && !closed_by_node => closed_by_node = true,
                // The idle timeout starts when the last call is answered.
                () = self.wait_until_idle(client), if read_deadline.is_none() => {}
            }
        }
    }

    /// Waits until the client has no call in flight.
    async fn wait_until_idle(&self, client: &Client) {
        while client.idle_since.get().is_none() {
            sleep(IDLE_POLL).await;
        }
    }
}

/// Writes replies as they arrive, until the queue is closed or a write fails or times out.
async fn write_replies(mut write_half: OwnedWriteHalf, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Some(reply) = queue.recv().await {
        if !matches!(timeout(WRITE_TIMEOUT, write_half.write_all(&reply)).await, Ok(Ok(()))) {
            return;
        }
    }
    let _ = write_half.shutdown().await;
}
