//! The servers' side: connections to Thrift servers, one call at a time on each.

use crate::decoder::MessageDecoder;
use crate::settings::ThriftSettings;
use birchswitch_engine::{AttemptResult, SendPermit};
use birchswitch_host::pool::{Limits, NewConnection, Pool, PooledConnection, Server};
use birchswitch_host::socket::is_open_and_idle;
use birchswitch_host::{AttemptHandle, Metrics, ProbeHandle, Upstream};
use birchswitch_membership::Target;
use birchswitch_thrift::walk::{self, Header, Paths, Value};
use birchswitch_thrift::write::{self, Writer};
use birchswitch_thrift::{frame, transcode, Error, MessageType, Protocol};
use bytes::Bytes;
use finchvale::{LoadReport, Outcome, ServerId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

/// A call as a client wrote it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The client's protocol.
    pub protocol: Protocol,
    /// The whole message, without its frame.
    pub message: Bytes,
    /// Nobody waits for a reply.
    pub oneway: bool,
}

struct Connection {
    stream: TcpStream,
    messages: MessageDecoder,
    generation: u64,
    _slot: OwnedSemaphorePermit,
}

impl PooledConnection for Connection {
    fn is_usable(&self) -> bool {
        self.messages.is_empty() && is_open_and_idle(&self.stream)
    }

    fn generation(&self) -> u64 {
        self.generation
    }
}

/// All servers of a listener and the connections to them.
pub struct ThriftUpstream {
    settings: Rc<ThriftSettings>,
    pool: Pool<Connection>,
    next_seqid: Cell<i32>,
}

/// How a call over a connection came out.
enum Exchanged {
    /// A whole reply to this call.
    Reply(Bytes),
    /// The server took no more before the last byte was out.
    Unsent,
    /// After that, anything but a good reply.
    Broken,
}

impl ThriftUpstream {
    /// Starts with no servers.
    pub fn new(settings: Rc<ThriftSettings>, connect_timeout: Duration, conn_idle: Duration) -> Rc<Self> {
        let connections = settings.settings.servers.connections as usize;
        // Replies are told apart by their sequence ids: no connection has to rest.
        let limits = Limits { connections, connect_timeout, conn_idle, reuse_delay: Duration::ZERO };
        Rc::new(ThriftUpstream { pool: Pool::new(limits), settings, next_seqid: Cell::new(1) })
    }

    /// Closes connections that have been idle for long, for good.
    pub async fn retire_idle(&self) {
        self.pool.retire_idle().await;
    }

    async fn checkout(&self, server: &Server<Connection>) -> Result<Connection, Outcome> {
        if let Some(connection) = self.pool.take_idle(server) {
            return Ok(connection);
        }
        let NewConnection { stream, slot, generation } = self.pool.connect(server).await?;
        let messages = MessageDecoder::new(Some(self.settings.servers), self.settings.limits);
        Ok(Connection { stream, messages, generation, _slot: slot })
    }

    /// One that no call on its connection has had lately: an old reply is not taken for a new one's.
    fn seqid(&self) -> i32 {
        self.next_seqid.replace(self.next_seqid.get().wrapping_add(1))
    }

    /// The call in the servers' dialect.
    fn outgoing(&self, call: &Call, seqid: i32) -> Result<Vec<u8>, Error> {
        let dialect = self.settings.servers;
        let mut out = Vec::with_capacity(call.message.len() + 16);
        if dialect.framed {
            out.extend_from_slice(&[0; frame::HEADER_LEN]);
        }
        if call.protocol == dialect.protocol {
            let header = walk::header(call.protocol, &call.message, &self.settings.limits)?;
            write::with_seqid(&mut out, call.protocol, &call.message, &header, seqid);
        } else {
            transcode::message(&mut out, call.protocol, &call.message, seqid, true, &self.settings.limits)?;
        }
        if dialect.framed {
            frame::write_length(&mut out);
        }
        Ok(out)
    }

    async fn write(connection: &mut Connection, bytes: &[u8]) -> Result<(), usize> {
        let mut written = 0;
        while written < bytes.len() {
            match connection.stream.write(&bytes[written..]).await {
                Ok(n) if n > 0 => written += n,
                _ => return Err(written),
            }
        }
        Ok(())
    }

    /// Reads the reply to the call of this id and method.
    async fn read(&self, connection: &mut Connection, seqid: i32, method: &str) -> Exchanged {
        loop {
            match connection.messages.next_message() {
                Ok(Some(reply)) => {
                    let protocol = self.settings.servers.protocol;
                    let nothing = Paths::default();
                    let walked = walk::framed_message(protocol, &reply, &nothing, &self.settings.limits);
                    let ours = |h: &Header| {
                        let answers = matches!(h.kind, MessageType::Reply | MessageType::Exception);
                        answers && h.seqid == seqid && h.name == method
                    };
                    // A second reply, or part of one: whose is it?
                    let alone = connection.messages.is_empty();
                    return match walked.is_ok_and(|m| ours(&m.header)) && alone {
                        true => Exchanged::Reply(reply),
                        false => Exchanged::Broken,
                    };
                }
                Ok(None) => {}
                Err(_) => return Exchanged::Broken,
            }
            if !matches!(connection.stream.read_buf(connection.messages.read_buffer()).await, Ok(n) if n > 0)
            {
                return Exchanged::Broken;
            }
        }
    }

    /// What a reply comes to.
    fn ended(&self, reply: Bytes) -> AttemptResult<Bytes> {
        let (protocol, limits) = (self.settings.servers.protocol, &self.settings.limits);
        let Ok(header) = walk::header(protocol, &reply, limits) else {
            return AttemptResult::from_outcome(Outcome::Broken);
        };
        if header.kind == MessageType::Exception {
            let kind = Paths::new([[2i16]]);
            let read = walk::message(protocol, &reply, &kind, limits);
            let kind = read.ok().and_then(|m| m.values[0]?.integer());
            let proof = |n: &crate::settings::ExceptionName| kind == Some(*n as i64);
            let never_ran = self.settings.settings.servers.never_ran.iter().any(proof);
            return AttemptResult::from_outcome(if never_ran { Outcome::Rejected } else { Outcome::Error });
        }
        let report = self.settings.report.as_ref().and_then(|paths| self.report(&reply, paths));
        AttemptResult { outcome: Outcome::Served, report, answer: Some(reply) }
    }

    fn report(&self, reply: &[u8], paths: &Paths) -> Option<LoadReport> {
        let message =
            walk::message(self.settings.servers.protocol, reply, paths, &self.settings.limits).ok()?;
        let figure = |at: usize| {
            let value: Option<Value> = message.values[at];
            value.and_then(|v| v.number()).filter(|n| n.is_finite() && *n >= 0.0)
        };
        let report =
            LoadReport { held: figure(0), waiting: figure(1), busy: figure(2), ..LoadReport::default() };
        (report != LoadReport::default()).then_some(report)
    }
}

impl Upstream for ThriftUpstream {
    type Request = Call;
    type Answer = Bytes;

    fn update_servers(&self, targets: &[Target]) {
        self.pool.update_servers(targets);
    }

    fn set_metrics(&self, metrics: Rc<Metrics>) {
        self.pool.set_metrics(metrics);
    }

    async fn attempt(self: Rc<Self>, server: ServerId, call: Rc<Call>, ticket: AttemptHandle<Self>) {
        let Some(server) = self.pool.get(server) else {
            return ticket.finish(AttemptResult::from_outcome(Outcome::NotSent));
        };
        let mut connection = match self.checkout(&server).await {
            Ok(connection) => connection,
            Err(outcome) => return ticket.finish(AttemptResult::from_outcome(outcome)),
        };
        let seqid = self.seqid();
        // The front has walked over it: what can't be written here is no call.
        let Ok(bytes) = self.outgoing(&call, seqid) else {
            return ticket.finish(AttemptResult::from_outcome(Outcome::NotSent));
        };
        if ticket.permit_send() == SendPermit::Denied {
            ticket.finish(AttemptResult::from_outcome(Outcome::NotSent));
            return self.pool.give_back(&server, connection);
        }
        let exchanged = match Self::write(&mut connection, &bytes).await {
            // A server begins with a call's last byte. Of a oneway nobody would ever hear that it began after all.
            Err(written) if written == 0 || !call.oneway => Exchanged::Unsent,
            Err(_) => Exchanged::Broken,
            Ok(()) if call.oneway => {
                ticket.written();
                ticket.finish(AttemptResult {
                    outcome: Outcome::Served,
                    report: None,
                    answer: Some(Bytes::new()),
                });
                return self.pool.give_back(&server, connection);
            }
            Ok(()) => {
                ticket.written();
                let header = walk::header(call.protocol, &call.message, &self.settings.limits);
                let name = header.map_or("", |h| h.name);
                let method = name.rsplit(':').next().unwrap_or(name);
                self.read(&mut connection, seqid, method).await
            }
        };
        match exchanged {
            Exchanged::Reply(reply) => {
                ticket.finish(self.ended(reply));
                self.pool.give_back(&server, connection);
            }
            Exchanged::Unsent => ticket.finish(AttemptResult::from_outcome(Outcome::Unreachable)),
            Exchanged::Broken => ticket.finish(AttemptResult::from_outcome(Outcome::Broken)),
        }
    }

    async fn probe(self: Rc<Self>, server: ServerId, ticket: ProbeHandle<Self>) {
        let Some((method, paths)) = &self.settings.load else { return ticket.finish(Outcome::NotSent, None) };
        let Some(server) = self.pool.get(server) else { return ticket.finish(Outcome::NotSent, None) };
        let mut connection = match self.checkout(&server).await {
            Ok(connection) => connection,
            Err(outcome) => return ticket.finish(outcome, None),
        };
        let seqid = self.seqid();
        let dialect = self.settings.servers;
        let mut bytes = vec![0; if dialect.framed { frame::HEADER_LEN } else { 0 }];
        fn ask(writer: &mut impl Writer, method: &str, seqid: i32) {
            writer.header(MessageType::Call, method, seqid, true);
            writer.stop();
        }
        match dialect.protocol {
            Protocol::Binary => ask(&mut write::Binary(&mut bytes), method, seqid),
            Protocol::Compact => ask(&mut write::Compact(&mut bytes), method, seqid),
        }
        if dialect.framed {
            frame::write_length(&mut bytes);
        }
        if Self::write(&mut connection, &bytes).await.is_err() {
            return ticket.finish(Outcome::Unreachable, None);
        }
        let name = method.rsplit(':').next().unwrap_or(method);
        match self.read(&mut connection, seqid, name).await {
            Exchanged::Reply(reply) => {
                let header = walk::header(dialect.protocol, &reply, &self.settings.limits);
                let served = header.is_ok_and(|h| h.kind == MessageType::Reply);
                let report = self.report(&reply, paths).filter(|_| served);
                ticket.finish(if served { Outcome::Served } else { Outcome::Error }, report);
                self.pool.give_back(&server, connection);
            }
            Exchanged::Unsent | Exchanged::Broken => ticket.finish(Outcome::Broken, None),
        }
    }
}
