//! One client's connection: reads its calls in turn, and writes their replies as they come.

use super::call::{AcceptedCall, Rejection};
use super::{ThriftFrontend, EVICT_IDLE_AFTER, EVICT_NEW_AFTER};
use crate::decoder::MessageDecoder;
use birchswitch_host::socket::{is_open_and_idle, linger, wait_read_closed};
use rustc_hash::FxHashSet;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify, OwnedSemaphorePermit};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// From the connecting to the first message.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// From a message's first byte to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// For a client to take a reply.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2500);
/// At the node's end connections are read for so long after it closes: a call may have come with the connection.
const CLOSE_DELAY: Duration = Duration::from_millis(100);
/// How often it is looked whether a client's last call is answered.
const IDLE_POLL: Duration = Duration::from_millis(100);

/// A connection, as the listener sees it.
pub(super) struct Client {
    number: u64,
    /// None while calls are in flight.
    idle_since: Cell<Option<Instant>>,
    /// At least one message came.
    has_sent: Cell<bool>,
    evicted: Notify,
}

impl Client {
    pub(super) fn new(number: u64) -> Rc<Self> {
        Rc::new(Client {
            number,
            idle_since: Cell::new(Some(Instant::now())),
            has_sent: Cell::new(false),
            evicted: Notify::new(),
        })
    }

    /// Since when no call of it is in flight; none: some are.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        self.idle_since.get()
    }

    /// Whether it has been idle for long enough to make room for another.
    pub(super) fn is_evictable(&self) -> bool {
        let least = if self.has_sent.get() { EVICT_IDLE_AFTER } else { EVICT_NEW_AFTER };
        self.idle_since.get().is_some_and(|since| since.elapsed() >= least)
    }

    /// Has the connection closed, unless something has come on it.
    pub(super) fn evict(&self) {
        self.evicted.notify_one();
    }
}

/// The calls of one connection that are not answered yet.
#[derive(Default)]
struct InFlight {
    seqids: RefCell<FxHashSet<i32>>,
    /// A oneway among them has not gone out yet.
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

/// How a connection ends.
enum ConnectionEnd {
    /// After its calls in flight are answered.
    Drain,
    /// At once: the client has gone.
    Abandoned,
}

impl ThriftFrontend {
    pub(super) async fn serve_connection(self: Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        let (mut reading, writing) = stream.into_split();
        let (replies, queue) = mpsc::channel(self.settings.settings.pipeline as usize + 1);
        let mut writer = spawn_local(write_replies(writing, queue));
        let mut calls = JoinSet::new();
        let taken = self.clone().take_calls(&mut reading, client, &replies, &mut calls);
        let end = tokio::select! {
            end = taken => end,
            // It takes no replies, or is gone: nothing is owed to it any more.
            _ = &mut writer => ConnectionEnd::Abandoned,
        };
        match end {
            ConnectionEnd::Drain => {
                while calls.join_next().await.is_some() {}
                drop(replies);
                let _ = writer.await;
                linger(reading.as_ref()).await;
            }
            // The end of a call's task is its client's leaving.
            ConnectionEnd::Abandoned => {
                calls.abort_all();
                writer.abort();
            }
        }
    }

    /// Reads calls until the client leaves, errs or is to go.
    async fn take_calls(
        self: Rc<Self>,
        reading: &mut OwnedReadHalf,
        client: &Rc<Client>,
        replies: &mpsc::Sender<Vec<u8>>,
        calls: &mut JoinSet<()>,
    ) -> ConnectionEnd {
        let mut messages = MessageDecoder::new(self.settings.clients, self.settings.limits);
        let in_flight = Rc::new(InFlight::default());
        let (mut number, mut under_way) = (0u64, None);
        // What is whole came with the latest bytes at the latest.
        let mut came = Instant::now();
        loop {
            let bytes = match messages.next_message() {
                Ok(Some(bytes)) => bytes,
                Ok(None) => {
                    under_way = (!messages.is_empty()).then(|| under_way.unwrap_or_else(Instant::now));
                    if let Some(end) = self.more(reading, &mut messages, client, under_way).await {
                        return end;
                    }
                    came = Instant::now();
                    continue;
                }
                Err(_) => {
                    if let Some(reply) = self.spoilt(&messages) {
                        let _ = replies.send(reply).await;
                    }
                    return ConnectionEnd::Drain;
                }
            };
            under_way = None;
            client.has_sent.set(true);
            let Some(dialect) = messages.dialect() else { return ConnectionEnd::Drain };
            let (header, options) = match self.read_call(dialect, &bytes) {
                Ok(call) => call,
                Err(Rejection { reply, goes_on }) => {
                    if let Some(reply) = reply {
                        let _ = replies.send(reply).await;
                    }
                    match goes_on {
                        true => continue,
                        false => return ConnectionEnd::Drain,
                    }
                }
            };
            let (oneway, seqid) = (options.oneway, header.seqid);
            // Nothing is read meanwhile.
            let room = tokio::select! {
                room = self.turn(&in_flight, calls, (oneway, seqid), bytes.len()) => room,
                () = wait_read_closed(reading.as_ref()) => None,
            };
            let Some(room) = room else { return ConnectionEnd::Abandoned };
            in_flight.begin(oneway, seqid);
            client.idle_since.set(None);
            number += 1;
            let external_id = [client.number.to_be_bytes(), number.to_be_bytes()].concat();
            let call = AcceptedCall {
                dialect,
                bytes: bytes.clone(),
                options,
                external_id: external_id.into(),
                arrived: came,
            };
            let (me, client) = (self.clone(), client.clone());
            let (in_flight, replies) = (in_flight.clone(), replies.clone());
            calls.spawn_local(async move {
                if let Some(reply) = me.call(call).await {
                    let _ = replies.send(reply).await;
                }
                in_flight.end(oneway, seqid);
                if in_flight.is_empty() {
                    client.idle_since.set(Some(Instant::now()));
                }
                drop(room);
            });
        }
    }

    /// Waits until a call may be taken up: none is in hand that it could be mistaken for, and there is room.
    async fn turn(
        &self,
        in_flight: &InFlight,
        calls: &mut JoinSet<()>,
        (oneway, seqid): (bool, i32),
        length: usize,
    ) -> Option<OwnedSemaphorePermit> {
        // Under a sequence id that is open nobody could tell whose a reply is; and what is behind a oneway may rest on it.
        while in_flight.oneway.get() || (!oneway && in_flight.seqids.borrow().contains(&seqid)) {
            in_flight.changed.notified().await;
        }
        while calls.len() >= self.settings.settings.pipeline as usize {
            calls.join_next().await;
        }
        while calls.try_join_next().is_some() {}
        // As much again for the answer.
        let size = (length as u32).div_ceil(1024) * 2;
        self.memory.clone().acquire_many_owned(size).await.ok()
    }

    /// Reads more. A message that is under way since some time has to be whole soon.
    async fn more(
        &self,
        reading: &mut OwnedReadHalf,
        messages: &mut MessageDecoder,
        client: &Client,
        under_way: Option<Instant>,
    ) -> Option<ConnectionEnd> {
        let mut closing = self.closing.clone();
        let mut closed = std::pin::pin!(async {
            let _ = closing.wait_for(|c| *c).await;
            // A call may have come with the connection, or cross the closing.
            sleep(CLOSE_DELAY).await;
        });
        let (mut overdue, mut ending) = (false, false);
        loop {
            // Never one on which a call has come that was not read yet.
            if (overdue || ending) && (under_way.is_some() || is_open_and_idle(reading.as_ref())) {
                return Some(ConnectionEnd::Drain);
            }
            // While calls are in flight the client need not send anything.
            let limit = match (under_way, client.idle_since.get()) {
                (Some(since), _) => Some(since + MESSAGE_TIMEOUT),
                (None, Some(since)) if client.has_sent.get() => {
                    Some(since + Duration::from_millis(self.settings.settings.idle_ms))
                }
                (None, Some(since)) => Some(since + FIRST_CALL_TIMEOUT),
                (None, None) => None,
            };
            tokio::select! {
                biased; // What has come is read before anything ends.
                ready = reading.readable() => {
                    match ready.and_then(|()| reading.try_read_buf(messages.read_buffer())) {
                        Ok(0) => return Some(ConnectionEnd::Abandoned),
                        Ok(_) => return None,
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        Err(_) => return Some(ConnectionEnd::Abandoned),
                    }
                }
                () = client.evicted.notified() => if under_way.is_none() && is_open_and_idle(reading.as_ref()) {
                    return Some(ConnectionEnd::Drain);
                },
                () = sleep_until(limit.unwrap_or_else(Instant::now)), if limit.is_some() && !overdue => {
                    overdue = true;
                }
                () = &mut closed, if under_way.is_none() && !ending => ending = true,
                // The idle time-out runs from the last answer.
                () = self.idle(client), if limit.is_none() => {}
            }
        }
    }

    /// Waits until no call of a client is in flight.
    async fn idle(&self, client: &Client) {
        while client.idle_since.get().is_none() {
            sleep(IDLE_POLL).await;
        }
    }
}

/// Writes replies as they come, until there can be no more or the client takes none.
async fn write_replies(mut writing: OwnedWriteHalf, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Some(reply) = queue.recv().await {
        if !matches!(timeout(WRITE_TIMEOUT, writing.write_all(&reply)).await, Ok(Ok(()))) {
            return;
        }
    }
    let _ = writing.shutdown().await;
}
