//! The clients' side: takes connections and calls, and writes replies by sequence id as they come.

use crate::messages::Messages;
use crate::settings::{Compiled, CompiledMethod};
use crate::upstream::{Call, ThriftUpstream};
use birchswitch_engine::{Answer, Incoming};
use birchswitch_host::socket::{left, linger, queued, quiet};
use birchswitch_host::{key_hash, Host, Request};
use birchswitch_site::Names;
use birchswitch_thrift::detect::Dialect;
use birchswitch_thrift::walk::{self, Header, Message, Paths, Value};
use birchswitch_thrift::write::{self, ExceptionType};
use birchswitch_thrift::{frame, transcode, MessageType};
use bytes::Bytes;
use finchvale::{TenantId, Time};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Kept back from the client's time for the ways here and back: at most this, and at most an eighth of the time.
const MARGIN: Duration = Duration::from_millis(20);
const MARGIN_PART: u32 = 8;
/// The part of the margin that an answer which the decisions owe may take.
const OVERDUE: u32 = 4;
/// A client may be silent for so long after connecting, and take so long over a message that it has begun.
const FIRST: Duration = Duration::from_secs(2);
const WHOLE: Duration = Duration::from_millis(2500);
/// A client that takes no replies for so long is gone.
const TAKES_REPLIES: Duration = Duration::from_millis(2500);
/// Where places are needed, those silent for so long make room.
const IDLE_LEAST: Duration = Duration::from_secs(2);
const FIRST_LEAST: Duration = Duration::from_millis(10);
/// Where nobody can go yet, this is tried again.
const ROOM: Duration = Duration::from_millis(5);
/// At the end, for what a client may have on its way.
const LAST_CHANCE: Duration = Duration::from_millis(100);
/// How often it is looked whether a client's last call is answered.
const ANSWERED: Duration = Duration::from_millis(100);
/// No client waits for longer.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);
/// A failed `accept` is not tried again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What connections need to know.
pub struct Front {
    host: Rc<Host<ThriftUpstream>>,
    settings: Rc<Compiled>,
    names: Rc<Names>,
    /// Up once the node closes.
    closing: watch::Receiver<bool>,
    slots: Arc<Semaphore>,
    /// In KiB.
    memory: Arc<Semaphore>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    next_client: Cell<u64>,
}

/// One connection.
struct Client {
    number: u64,
    /// Silent since; None while calls are in hand or a message is under way.
    silent: Cell<Option<Instant>>,
    /// It has said something.
    known: Cell<bool>,
    leave: Notify,
}

/// Calls of one connection that are in hand.
#[derive(Default)]
struct InHand {
    seqids: RefCell<FxHashSet<i32>>,
    /// A oneway among them has not gone out yet.
    oneway: Cell<bool>,
    changed: Notify,
}

impl InHand {
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
enum End {
    /// What is in hand is answered first.
    Finish,
    /// Nobody is there to be answered.
    Gone,
}

/// A message that is no call to be taken.
struct TurnedDown {
    reply: Option<Vec<u8>>,
    /// What is behind it can be trusted.
    goes_on: bool,
}

impl Front {
    /// For one listener.
    pub fn new(
        host: Rc<Host<ThriftUpstream>>,
        settings: Rc<Compiled>,
        names: Rc<Names>,
        closing: watch::Receiver<bool>,
    ) -> Rc<Self> {
        let (connections, memory) = (settings.settings.connections, settings.settings.memory_mb);
        Rc::new(Front {
            host,
            names,
            closing,
            slots: Arc::new(Semaphore::new(connections as usize)),
            memory: Arc::new(Semaphore::new(memory as usize * 1024)),
            settings,
            clients: RefCell::default(),
            next_client: Cell::new(0),
        })
    }

    /// Takes connections until the node closes, then waits for the last of them to end.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut closing = self.closing.clone();
        loop {
            let permit = self.slot().await;
            tokio::select! {
                biased; // What the system has taken for us may hold calls.
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.clone().connected(stream, permit),
                    Err(error) => {
                        self.host.log(format_args!("accept: {error}"));
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                _ = closing.wait_for(|c| *c) => break,
            }
        }
        for stream in queued(listener) {
            let permit = self.slot().await;
            self.clone().connected(stream, permit);
        }
        let _ = self.slots.acquire_many(self.settings.settings.connections).await;
    }

    /// Room for one more connection. Where there is none, the one that has been silent the longest goes.
    async fn slot(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(Ok(permit)) = timeout(ROOM, self.slots.clone().acquire_owned()).await {
                return permit;
            }
            let clients = self.clients.borrow();
            let least = |c: &Client| if c.known.get() { IDLE_LEAST } else { FIRST_LEAST };
            let silent = |c: &&Rc<Client>| c.silent.get().is_some_and(|s| s.elapsed() >= least(c));
            let longest = clients.values().filter(silent).min_by_key(|c| c.silent.get());
            longest.iter().for_each(|c| c.leave.notify_one());
        }
    }

    fn connected(self: Rc<Self>, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let _ = stream.set_nodelay(true);
        let number = self.next_client.replace(self.next_client.get() + 1);
        let (silent, known) = (Cell::new(Some(Instant::now())), Cell::new(false));
        let client = Rc::new(Client { number, silent, known, leave: Notify::new() });
        self.clients.borrow_mut().insert(number, client.clone());
        spawn_local(async move {
            self.clone().serve_connection(stream, &client).await;
            self.clients.borrow_mut().remove(&number);
            drop(permit);
        });
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        let (mut reading, writing) = stream.into_split();
        let (replies, queue) = mpsc::channel(self.settings.settings.pipeline as usize + 1);
        let mut writer = spawn_local(write_replies(writing, queue));
        let mut calls = JoinSet::new();
        let taken = self.clone().take_calls(&mut reading, client, &replies, &mut calls);
        let end = tokio::select! {
            end = taken => end,
            // It takes no replies, or is gone: nothing is owed to it any more.
            _ = &mut writer => End::Gone,
        };
        match end {
            End::Finish => {
                while calls.join_next().await.is_some() {}
                drop(replies);
                let _ = writer.await;
                linger(reading.as_ref()).await;
            }
            // The end of a call's task is its client's leaving.
            End::Gone => {
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
    ) -> End {
        let mut messages = Messages::new(self.settings.clients, self.settings.limits);
        let in_hand = Rc::new(InHand::default());
        let (mut number, mut under_way) = (0u64, None);
        // What is whole came with the latest bytes at the latest.
        let mut came = Instant::now();
        loop {
            let bytes = match messages.message() {
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
                    return End::Finish;
                }
            };
            under_way = None;
            client.known.set(true);
            let Some(dialect) = messages.dialect() else { return End::Finish };
            let (header, order) = match self.read_call(dialect, &bytes) {
                Ok(call) => call,
                Err(TurnedDown { reply, goes_on }) => {
                    if let Some(reply) = reply {
                        let _ = replies.send(reply).await;
                    }
                    match goes_on {
                        true => continue,
                        false => return End::Finish,
                    }
                }
            };
            let (oneway, seqid) = (order.oneway, header.seqid);
            // Nothing is read meanwhile.
            let room = tokio::select! {
                room = self.turn(&in_hand, calls, (oneway, seqid), bytes.len()) => room,
                () = left(reading.as_ref()) => None,
            };
            let Some(room) = room else { return End::Gone };
            in_hand.begin(oneway, seqid);
            client.silent.set(None);
            number += 1;
            let name = [client.number.to_be_bytes(), number.to_be_bytes()].concat();
            let taking = Taking { dialect, bytes: bytes.clone(), order, name: name.into(), arrived: came };
            let (me, client) = (self.clone(), client.clone());
            let (in_hand, replies) = (in_hand.clone(), replies.clone());
            calls.spawn_local(async move {
                if let Some(reply) = me.call(taking).await {
                    let _ = replies.send(reply).await;
                }
                in_hand.end(oneway, seqid);
                if in_hand.is_empty() {
                    client.silent.set(Some(Instant::now()));
                }
                drop(room);
            });
        }
    }

    /// Waits until a call may be taken up: none is in hand that it could be mistaken for, and there is room.
    async fn turn(
        &self,
        in_hand: &InHand,
        calls: &mut JoinSet<()>,
        (oneway, seqid): (bool, i32),
        length: usize,
    ) -> Option<OwnedSemaphorePermit> {
        // Under a sequence id that is open nobody could tell whose a reply is; and what is behind a oneway may rest on it.
        while in_hand.oneway.get() || (!oneway && in_hand.seqids.borrow().contains(&seqid)) {
            in_hand.changed.notified().await;
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
        messages: &mut Messages,
        client: &Client,
        under_way: Option<Instant>,
    ) -> Option<End> {
        let mut closing = self.closing.clone();
        let mut closed = std::pin::pin!(async {
            let _ = closing.wait_for(|c| *c).await;
            // A call may have come with the connection, or cross the closing.
            sleep(LAST_CHANCE).await;
        });
        let (mut overdue, mut ending) = (false, false);
        loop {
            // Never one on which a call has come that was not read yet.
            if (overdue || ending) && (under_way.is_some() || quiet(reading.as_ref())) {
                return Some(End::Finish);
            }
            // While calls are in hand nobody has to say anything.
            let limit = match (under_way, client.silent.get()) {
                (Some(since), _) => Some(since + WHOLE),
                (None, Some(since)) if client.known.get() => {
                    Some(since + Duration::from_millis(self.settings.settings.idle_ms))
                }
                (None, Some(since)) => Some(since + FIRST),
                (None, None) => None,
            };
            tokio::select! {
                biased; // What has come is read before anything ends.
                ready = reading.readable() => {
                    match ready.and_then(|()| reading.try_read_buf(messages.room())) {
                        Ok(0) => return Some(End::Gone),
                        Ok(_) => return None,
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        Err(_) => return Some(End::Gone),
                    }
                }
                () = client.leave.notified() => if under_way.is_none() && quiet(reading.as_ref()) {
                    return Some(End::Finish);
                },
                () = sleep_until(limit.unwrap_or_else(Instant::now)), if limit.is_some() && !overdue => {
                    overdue = true;
                }
                () = &mut closed, if under_way.is_none() && !ending => ending = true,
                // The last answer begins the silence.
                () = self.answered(client), if limit.is_none() => {}
            }
        }
    }

    /// Waits until nothing of a client is in hand.
    async fn answered(&self, client: &Client) {
        while client.silent.get().is_none() {
            sleep(ANSWERED).await;
        }
    }

    /// Reads what a message says of its call, or what to answer instead, and whether the connection goes on.
    fn read_call<'a>(
        &'a self,
        dialect: Dialect,
        bytes: &'a Bytes,
    ) -> Result<(Header<'a>, Order), TurnedDown> {
        let limits = &self.settings.limits;
        let Ok(header) = walk::header(dialect.protocol, bytes, limits) else {
            return Err(TurnedDown { reply: None, goes_on: false });
        };
        let turned_down = |(kind, text): (ExceptionType, String), goes_on| {
            let wants_reply = header.kind != MessageType::Oneway;
            TurnedDown { reply: wants_reply.then(|| exception(dialect, &header, kind, &text)), goes_on }
        };
        if !matches!(header.kind, MessageType::Call | MessageType::Oneway) {
            let text = "a call or a oneway was wanted".to_owned();
            return Err(turned_down((ExceptionType::InvalidMessageType, text), false));
        }
        let (service, name) = header.service_and_method();
        let wanted = self.settings.settings.service.as_deref();
        let method = match wanted.is_some() && service.is_some() && service != wanted {
            true => None,
            false => self.settings.methods.get(name),
        };
        let nothing = Paths::default();
        let paths = method.map_or(&nothing, |m| &m.paths);
        let message = match walk::framed(dialect.protocol, bytes, paths, limits) {
            Ok(message) => message,
            Err(error) => {
                return Err(turned_down((ExceptionType::ProtocolError, error.to_string()), false));
            }
        };
        let Some(method) = method else {
            let text = format!("method {name} is not served here");
            return Err(turned_down((ExceptionType::UnknownMethod, text), true));
        };
        match self.order(method, &message) {
            Ok(order) => Ok((header, order)),
            Err(text) => Err(turned_down((ExceptionType::ProtocolError, text.to_owned()), true)),
        }
    }

    fn order(&self, method: &CompiledMethod, message: &Message) -> Result<Order, &'static str> {
        let [tenant, key, deadline, cost] = method.at.map(|at| message.values[at?]);
        let tenant = match tenant {
            Some(Value::Binary(name)) => {
                let at = self.names.tenants.iter().position(|t| t.as_bytes() == name);
                let at = at.and_then(|at| u16::try_from(at).ok());
                Some(TenantId(at.ok_or("unknown tenant")?))
            }
            Some(_) => return Err("the tenant is no string"),
            None => self.settings.default_tenant,
        };
        let tenant = match tenant {
            _ if self.names.tenants.is_empty() => TenantId(0),
            tenant => tenant.ok_or("the tenant is missing")?,
        };
        let hash = |key: &[u8]| key_hash(method.class, tenant, key);
        let key = match (method.keyed, key) {
            (false, _) => None,
            (true, Some(Value::Binary(key))) if !key.is_empty() => Some(hash(key)),
            (true, Some(number)) => {
                let number = number.integer().ok_or("the order key is missing")?;
                Some(hash(&number.to_le_bytes()))
            }
            (true, None) => return Err("the order key is missing"),
        };
        let wait = match deadline.map(|d| d.number().filter(|ms| *ms > 0.0 && ms.is_finite())) {
            None => method.deadline,
            Some(None) => return Err("the deadline makes no sense"),
            Some(Some(ms)) => Duration::from_secs_f64((ms / 1e3).min(LONGEST_WAIT.as_secs_f64())),
        };
        let work = match cost.map(|c| c.number().filter(|us| (0.0..1e12).contains(us))) {
            None => None,
            Some(None) => return Err("the cost makes no sense"),
            Some(Some(us)) => Some(Duration::from_secs_f64(us / 1e6)),
        };
        Ok(Order {
            class: method.class,
            tenant,
            wait,
            work,
            key,
            oneway: message.header.kind == MessageType::Oneway,
        })
    }

    /// An exception in answer to what can't be read, where its name and sequence id can.
    fn spoilt(&self, messages: &Messages) -> Option<Vec<u8>> {
        let dialect = messages.dialect()?;
        let header = walk::header(dialect.protocol, messages.spoilt(), &self.settings.limits).ok()?;
        let text = "the message can't be read, or is too large";
        (header.kind == MessageType::Call)
            .then(|| exception(dialect, &header, ExceptionType::ProtocolError, text))
    }

    /// Has a call decided on and answered. None: nobody waits for a reply.
    async fn call(&self, taking: Taking) -> Option<Vec<u8>> {
        let Taking { dialect, bytes, order, name, arrived } = taking;
        let margin = MARGIN.min(order.wait / MARGIN_PART);
        let due = arrived + order.wait - margin;
        let call = Call { protocol: dialect.protocol, message: bytes.clone(), oneway: order.oneway };
        // The host fills in the times.
        let incoming = Incoming {
            class: order.class,
            tenant: order.tenant,
            work: order.work,
            whole: true,
            due: Time(0),
            last: Time(0),
            name,
            request: call,
        };
        let taken = self.host.arrive(Request { incoming, due, last: due + margin / OVERDUE, key: order.key });
        let answer = match taken {
            Ok(mut taken) => taken.answer().await,
            Err(birchswitch_engine::Duplicate) => Answer::Failed,
        };
        if order.oneway {
            return None;
        }
        let limits = &self.settings.limits;
        let header = walk::header(dialect.protocol, &bytes, limits).ok()?;
        let (kind, text) = match answer {
            Answer::Served(reply) => match self.reply(dialect, &header, &reply) {
                Some(reply) => return Some(reply),
                None => (ExceptionType::InternalError, "failed: the reply can't be passed on".to_owned()),
            },
            Answer::Refused(Some(wait)) => (
                ExceptionType::MissingResult,
                format!("refused: it was not carried out, try again in {:.3} s", wait.as_secs_f64()),
            ),
            Answer::Refused(None) => {
                (ExceptionType::MissingResult, "refused: it was not carried out, try again".to_owned())
            }
            Answer::Failed if Instant::now() >= due => {
                (ExceptionType::Unknown, "timed out: it may have been carried out".to_owned())
            }
            Answer::Failed => {
                (ExceptionType::InternalError, "failed: it may have been carried out".to_owned())
            }
        };
        Some(exception(dialect, &header, kind, &text))
    }

    /// A server's reply in the client's dialect and under its sequence id.
    fn reply(&self, dialect: Dialect, call: &Header, reply: &[u8]) -> Option<Vec<u8>> {
        let (limits, from) = (&self.settings.limits, self.settings.servers.protocol);
        let mut out = Vec::with_capacity(reply.len() + 16);
        if dialect.framed {
            out.extend_from_slice(&[0; frame::HEAD]);
        }
        if from == dialect.protocol {
            let header = walk::header(from, reply, limits).ok()?;
            write::with_seqid(&mut out, from, reply, &header, call.seqid);
        } else {
            transcode::message(&mut out, from, reply, call.seqid, call.strict, limits).ok()?;
        }
        if dialect.framed {
            frame::seal(&mut out);
        }
        Some(out)
    }
}

/// What a call's arguments say.
struct Order {
    class: finchvale::ClassId,
    tenant: TenantId,
    wait: Duration,
    work: Option<Duration>,
    key: Option<u64>,
    oneway: bool,
}

/// A call that is being taken.
struct Taking {
    dialect: Dialect,
    bytes: Bytes,
    order: Order,
    name: Box<[u8]>,
    arrived: Instant,
}

fn exception(dialect: Dialect, call: &Header, kind: ExceptionType, text: &str) -> Vec<u8> {
    let mut out = vec![0; if dialect.framed { frame::HEAD } else { 0 }];
    write::exception(&mut out, dialect.protocol, call, kind, text);
    if dialect.framed {
        frame::seal(&mut out);
    }
    out
}

/// Writes replies as they come, until there can be no more or the client takes none.
async fn write_replies(mut writing: OwnedWriteHalf, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Some(reply) = queue.recv().await {
        if !matches!(timeout(TAKES_REPLIES, writing.write_all(&reply)).await, Ok(Ok(()))) {
            return;
        }
    }
    let _ = writing.shutdown().await;
}
