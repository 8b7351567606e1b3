//! Connections to Thrift servers, each with at most one call in flight.

use crate::decoder::MessageDecoder;
use crate::settings::ThriftSettings;
use birchswitch_engine::AttemptResult;
use birchswitch_host::delivery::{self, DeliveryHold, HoldStep};
use birchswitch_host::pool::{Limits, NewConnection, Pool, PooledConnection, Server};
use birchswitch_host::socket::{discard_unsent, is_open_and_idle};
use birchswitch_host::{AttemptHandle, Metrics, ProbeHandle, SendGrant, Upstream};
use birchswitch_membership::Target;
use birchswitch_thrift::walk::{self, Header, Paths, Value};
use birchswitch_thrift::write::{self, Writer};
use birchswitch_thrift::{frame, transcode, Error, MessageType, Protocol};
use bytes::Bytes;
use finchvale::{LoadReport, Outcome, ServerId};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout_at, Instant};

/// A call as the client sent it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The client's protocol.
    pub protocol: Protocol,
    /// The complete message, without its frame header.
    pub message: Bytes,
    /// Whether the call has no reply.
    pub oneway: bool,
}

struct Connection {
    stream: TcpStream,
    decoder: MessageDecoder,
    generation: u64,
    _slot: OwnedSemaphorePermit,
}

impl PooledConnection for Connection {
    fn is_usable(&self) -> bool {
        self.decoder.is_empty() && is_open_and_idle(&self.stream)
    }

    fn generation(&self) -> u64 {
        self.generation
    }
}

/// The servers of a listener and the connections to them.
pub struct ThriftUpstream {
    settings: Rc<ThriftSettings>,
    pool: Pool<Connection>,
    next_seqid: Cell<i32>,
}

/// The outcome of a call on a connection.
enum ExchangeResult {
    /// A complete reply to this call.
    Reply(Bytes),
    /// A oneway was written.
    Oneway,
    /// The connection failed before the last byte was written.
    Unsent,
    /// The server would have got the last byte after it may have forgotten the call's key, so it was not written.
    TooLate,
    /// The call may have been executed: no valid reply followed it, or it is a oneway of which a part was written.
    Broken,
}

/// Why a call was not written completely, and how many bytes of it were.
enum WriteFailure {
    /// The connection failed.
    Broken(usize),
    /// The server may have forgotten the call's key.
    TooLate(usize),
}

impl ThriftUpstream {
    /// Creates an upstream without servers.
    pub fn new(settings: Rc<ThriftSettings>, connect_timeout: Duration, conn_idle: Duration) -> Rc<Self> {
        let connections = settings.settings.servers.connections as usize;
        // Sequence ids tell a late reply from the current one, so a connection can be reused without a delay.
        let limits = Limits { connections, connect_timeout, conn_idle, reuse_delay: Duration::ZERO };
        Rc::new(ThriftUpstream { pool: Pool::new(limits), settings, next_seqid: Cell::new(1) })
    }

    /// Closes connections that have been idle for too long. Never returns.
    pub async fn retire_idle(&self) {
        self.pool.retire_idle().await;
    }

    async fn checkout(&self, server: &Server<Connection>) -> Result<Connection, Outcome> {
        if let Some(connection) = self.pool.take_idle(server) {
            return Ok(connection);
        }
        let NewConnection { stream, slot, generation } = self.pool.connect(server).await?;
        let decoder = MessageDecoder::new(Some(self.settings.server_dialect), self.settings.limits);
        Ok(Connection { stream, decoder, generation, _slot: slot })
    }

    /// A sequence id that no recent call on the same connection has used, so that a late reply is not taken for
    /// the current one.
    fn allocate_seqid(&self) -> i32 {
        self.next_seqid.replace(self.next_seqid.get().wrapping_add(1))
    }

    /// Encodes a call in the servers' dialect.
    fn encode_call(&self, call: &Call, seqid: i32) -> Result<Vec<u8>, Error> {
        let dialect = self.settings.server_dialect;
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

    /// Writes a call. On failure, returns the number of bytes written.
    async fn write_call(connection: &mut Connection, bytes: &[u8]) -> Result<(), usize> {
        Self::write_from(connection, bytes, &mut 0).await
    }

    /// Writes what follows the first `written` bytes, and counts it there. On failure, returns that number.
    async fn write_from(connection: &mut Connection, bytes: &[u8], written: &mut usize) -> Result<(), usize> {
        while *written < bytes.len() {
            match connection.stream.write(&bytes[*written..]).await {
                Ok(n) if n > 0 => *written += n,
                _ => return Err(*written),
            }
        }
        Ok(())
    }

    /// Writes a call whose last byte the server has to read before `complete_by`. The last bytes of a large one are held
    /// back until that is expected.
    async fn write_call_in_time(
        connection: &mut Connection,
        bytes: &[u8],
        complete_by: Instant,
    ) -> Result<(), WriteFailure> {
        let mut written = 0;
        let writing = async {
            if bytes.len() <= delivery::MAX_UNHELD {
                return Self::write_from(connection, bytes, &mut written).await;
            }
            let mut hold = DeliveryHold::new(&connection.stream, complete_by);
            let mut unheld = bytes.len() - delivery::HELD_BYTES;
            Self::write_from(connection, &bytes[..unheld], &mut written).await?;
            while poll_fn(|cx| hold.poll_step(cx, &connection.stream, true)).await == HoldStep::SendOne {
                unheld = (unheld + 1).min(bytes.len() - 1);
                Self::write_from(connection, &bytes[..unheld], &mut written).await?;
            }
            Self::write_from(connection, bytes, &mut written).await
        };
        match timeout_at(complete_by, writing).await {
            Ok(result) => result.map_err(WriteFailure::Broken),
            Err(_) => Err(WriteFailure::TooLate(written)),
        }
    }

    /// Reads the reply to the call with this sequence id and method.
    async fn read_reply(
        &self,
        stream: &TcpStream,
        decoder: &mut MessageDecoder,
        seqid: i32,
        method: &str,
    ) -> ExchangeResult {
        loop {
            match decoder.next_message() {
                Ok(Some(reply)) => {
                    let protocol = self.settings.server_dialect.protocol;
                    let no_paths = Paths::default();
                    let walked = walk::framed_message(protocol, &reply, &no_paths, &self.settings.limits);
                    let matches_call = |h: &Header| {
                        let is_reply = matches!(h.kind, MessageType::Reply | MessageType::Exception);
                        is_reply && h.seqid == seqid && h.name == method
                    };
                    // Bytes after the reply belong to no call, so neither can be trusted.
                    let no_trailing_bytes = decoder.is_empty();
                    return match walked.is_ok_and(|m| matches_call(&m.header)) && no_trailing_bytes {
                        true => ExchangeResult::Reply(reply),
                        false => ExchangeResult::Broken,
                    };
                }
                Ok(None) => {}
                Err(_) => return ExchangeResult::Broken,
            }
            match stream.readable().await.and_then(|()| stream.try_read_buf(decoder.read_buffer())) {
                Ok(1..) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return ExchangeResult::Broken,
            }
        }
    }

    /// Reads the reply to a call. Gives up if the server's machine has not received the call at `complete_by`: the server
    /// might read it when it has forgotten the key.
    async fn read_reply_in_time(
        &self,
        connection: &mut Connection,
        call: &Call,
        seqid: i32,
        complete_by: Option<Instant>,
    ) -> ExchangeResult {
        let header = walk::header(call.protocol, &call.message, &self.settings.limits);
        let name = header.map_or("", |h| h.name);
        let method = name.rsplit(':').next().unwrap_or(name);
        let Connection { stream, decoder, .. } = connection;
        let reading = self.read_reply(stream, decoder, seqid, method);
        let Some(complete_by) = complete_by else { return reading.await };
        tokio::select! {
            biased;
            result = reading => result,
            () = delivery::undelivered(stream, complete_by) => {
                discard_unsent(stream);
                // What has just arrived may run.
                ExchangeResult::Broken
            }
        }
    }

    /// Makes sure that a oneway is not received after `complete_by`: nobody watches its connection any more.
    async fn complete_oneway(connection: &Connection, complete_by: Option<Instant>) -> ExchangeResult {
        match complete_by {
            Some(complete_by) if !delivery::delivered(&connection.stream, complete_by).await => {
                discard_unsent(&connection.stream);
                ExchangeResult::Broken
            }
            _ => ExchangeResult::Oneway,
        }
    }

    /// The attempt's result for a reply.
    fn attempt_result(&self, reply: Bytes) -> AttemptResult<Bytes> {
        let (protocol, limits) = (self.settings.server_dialect.protocol, &self.settings.limits);
        let Ok(header) = walk::header(protocol, &reply, limits) else {
            return AttemptResult::from_outcome(Outcome::Broken);
        };
        if header.kind == MessageType::Exception {
            let type_path = Paths::new([[2i16]]);
            let read = walk::message(protocol, &reply, &type_path, limits);
            let kind = read.ok().and_then(|m| m.values[0]?.integer());
            let is_type = |n: &crate::settings::ExceptionName| kind == Some(*n as i64);
            let never_ran = self.settings.settings.servers.never_ran.iter().any(is_type);
            return AttemptResult::from_outcome(if never_ran { Outcome::Rejected } else { Outcome::Error });
        }
        let report = self.settings.report.as_ref().and_then(|paths| self.load_report(&reply, paths));
        AttemptResult { outcome: Outcome::Served, report, answer: Some(reply) }
    }

    /// The load report in a reply, if it has any.
    fn load_report(&self, reply: &[u8], paths: &Paths) -> Option<LoadReport> {
        let message =
            walk::message(self.settings.server_dialect.protocol, reply, paths, &self.settings.limits).ok()?;
        let value_at = |index: usize| {
            let value: Option<Value> = message.values[index];
            value.and_then(|v| v.number()).filter(|n| n.is_finite() && *n >= 0.0)
        };
        let report = LoadReport {
            held: value_at(0),
            waiting: value_at(1),
            busy: value_at(2),
            ..LoadReport::default()
        };
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

    async fn attempt(self: Rc<Self>, server: ServerId, call: Rc<Call>, attempt: AttemptHandle<Self>) {
        let Some(server) = self.pool.get(server) else {
            return attempt.finish(AttemptResult::from_outcome(Outcome::NotSent));
        };
        let mut connection = match self.checkout(&server).await {
            Ok(connection) => connection,
            Err(outcome) => return attempt.finish(AttemptResult::from_outcome(outcome)),
        };
        let seqid = self.allocate_seqid();
        // The frontend has validated the call, so encoding can only fail for a message that is not a call.
        let Ok(bytes) = self.encode_call(&call, seqid) else {
            return attempt.finish(AttemptResult::from_outcome(Outcome::NotSent));
        };
        let Some(SendGrant { complete_by, .. }) = attempt.permit_send() else {
            attempt.finish(AttemptResult::from_outcome(Outcome::NotSent));
            return self.pool.give_back(&server, connection);
        };
        let written = match complete_by {
            None => Self::write_call(&mut connection, &bytes).await.map_err(WriteFailure::Broken),
            Some(at) => Self::write_call_in_time(&mut connection, &bytes, at).await,
        };
        let result = match written {
            // A server executes a call only once it has the last byte. A oneway counts as broken all the same: if the
            // server executed it after all, nothing would ever report that.
            Err(WriteFailure::Broken(1..) | WriteFailure::TooLate(1..)) if call.oneway => {
                ExchangeResult::Broken
            }
            Err(WriteFailure::Broken(_)) => ExchangeResult::Unsent,
            Err(WriteFailure::TooLate(_)) => ExchangeResult::TooLate,
            Ok(()) if call.oneway => {
                attempt.written();
                Self::complete_oneway(&connection, complete_by).await
            }
            Ok(()) => {
                attempt.written();
                self.read_reply_in_time(&mut connection, &call, seqid, complete_by).await
            }
        };
        match result {
            ExchangeResult::Reply(reply) => {
                attempt.finish(self.attempt_result(reply));
                self.pool.give_back(&server, connection);
            }
            ExchangeResult::Oneway => {
                let answer = Some(Bytes::new());
                attempt.finish(AttemptResult { outcome: Outcome::Served, report: None, answer });
                self.pool.give_back(&server, connection);
            }
            ExchangeResult::Unsent => attempt.finish(AttemptResult::from_outcome(Outcome::Unreachable)),
            ExchangeResult::TooLate => attempt.finish(AttemptResult::from_outcome(Outcome::NotSent)),
            ExchangeResult::Broken => attempt.finish(AttemptResult::from_outcome(Outcome::Broken)),
        }
    }

    async fn probe(self: Rc<Self>, server: ServerId, probe: ProbeHandle<Self>) {
        let Some((method, paths)) = &self.settings.load else { return probe.finish(Outcome::NotSent, None) };
        let Some(server) = self.pool.get(server) else { return probe.finish(Outcome::NotSent, None) };
        let mut connection = match self.checkout(&server).await {
            Ok(connection) => connection,
            Err(outcome) => return probe.finish(outcome, None),
        };
        let seqid = self.allocate_seqid();
        let dialect = self.settings.server_dialect;
        let mut bytes = vec![0; if dialect.framed { frame::HEADER_LEN } else { 0 }];
        fn write_probe(writer: &mut impl Writer, method: &str, seqid: i32) {
            writer.header(MessageType::Call, method, seqid, true);
            writer.stop();
        }
        match dialect.protocol {
            Protocol::Binary => write_probe(&mut write::Binary(&mut bytes), method, seqid),
            Protocol::Compact => write_probe(&mut write::Compact(&mut bytes), method, seqid),
        }
        if dialect.framed {
            frame::write_length(&mut bytes);
        }
        if Self::write_call(&mut connection, &bytes).await.is_err() {
            return probe.finish(Outcome::Unreachable, None);
        }
        let name = method.rsplit(':').next().unwrap_or(method);
        let Connection { stream, decoder, .. } = &mut connection;
        match self.read_reply(stream, decoder, seqid, name).await {
            ExchangeResult::Reply(reply) => {
                let header = walk::header(dialect.protocol, &reply, &self.settings.limits);
                let served = header.is_ok_and(|h| h.kind == MessageType::Reply);
                let report = self.load_report(&reply, paths).filter(|_| served);
                probe.finish(if served { Outcome::Served } else { Outcome::Error }, report);
                self.pool.give_back(&server, connection);
            }
            ExchangeResult::Oneway
            | ExchangeResult::Unsent
            | ExchangeResult::TooLate
            | ExchangeResult::Broken => probe.finish(Outcome::Broken, None),
        }
    }
}
