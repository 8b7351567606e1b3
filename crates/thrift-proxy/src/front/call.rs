//! One call: parses its header and arguments, submits it to the engine and encodes the reply.

use super::ThriftFrontend;
use crate::decoder::MessageDecoder;
use crate::settings::CompiledMethod;
use crate::upstream::Call;
use birchswitch_engine::{Answer, Incoming};
use birchswitch_host::{key_hash, Request};
use birchswitch_thrift::detect::Dialect;
use birchswitch_thrift::walk::{self, Header, Message, Paths, Value};
use birchswitch_thrift::write::{self, ExceptionType};
use birchswitch_thrift::{frame, transcode, MessageType};
use bytes::Bytes;
use finchvale::{TenantId, Time};
use std::time::Duration;
use tokio::time::Instant;

/// Subtracted from the client's deadline for the network in both directions: at most this long ...
const MAX_DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// ... and at most the deadline divided by this.
const DEADLINE_MARGIN_DIVISOR: u32 = 8;
/// An answer that the policy owes may be later than the deadline by the margin divided by this.
const ANSWER_MARGIN_DIVISOR: u32 = 4;
/// Upper bound on a client's deadline.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// A message that is not forwarded.
pub(super) struct Rejection {
    /// The exception to send, unless the message can have no reply.
    pub(super) reply: Option<Vec<u8>>,
    /// Whether the connection stays open: the message's end is known, so the next message can be read.
    pub(super) keep_open: bool,
}

/// The parameters that a call's arguments and the settings of its method give.
pub(super) struct CallOptions {
    class: finchvale::ClassId,
    tenant: TenantId,
    timeout: Duration,
    work: Option<Duration>,
    key: Option<u64>,
    pub(super) oneway: bool,
}

/// A valid call, ready to be submitted.
pub(super) struct AcceptedCall {
    pub(super) dialect: Dialect,
    pub(super) bytes: Bytes,
    pub(super) options: CallOptions,
    pub(super) external_id: Box<[u8]>,
    pub(super) arrived: Instant,
}

impl ThriftFrontend {
    /// Parses a message as a call. Otherwise returns the reply to send and whether the connection stays open.
    pub(super) fn read_call<'a>(
        &'a self,
        dialect: Dialect,
        bytes: &'a Bytes,
    ) -> Result<(Header<'a>, CallOptions), Rejection> {
        let limits = &self.settings.limits;
        let Ok(header) = walk::header(dialect.protocol, bytes, limits) else {
            return Err(Rejection { reply: None, keep_open: false });
        };
        let rejection = |(kind, text): (ExceptionType, String), keep_open| {
            let wants_reply = header.kind != MessageType::Oneway;
            Rejection { reply: wants_reply.then(|| exception(dialect, &header, kind, &text)), keep_open }
        };
        if !matches!(header.kind, MessageType::Call | MessageType::Oneway) {
            let text = "a call or a oneway was wanted".to_owned();
            return Err(rejection((ExceptionType::InvalidMessageType, text), false));
        }
        let (service, name) = header.service_and_method();
        let expected_service = self.settings.settings.service.as_deref();
        let method = match expected_service.is_some() && service.is_some() && service != expected_service {
            true => None,
            false => self.settings.methods.get(name),
        };
        let no_paths = Paths::default();
        let paths = method.map_or(&no_paths, |m| &m.paths);
        let message = match walk::framed_message(dialect.protocol, bytes, paths, limits) {
            Ok(message) => message,
            Err(error) => {
                return Err(rejection((ExceptionType::ProtocolError, error.to_string()), false));
            }
        };
        let Some(method) = method else {
            let text = format!("method {name} is not served here");
            return Err(rejection((ExceptionType::UnknownMethod, text), true));
        };
        match self.options(method, &message) {
            Ok(options) => Ok((header, options)),
            Err(text) => Err(rejection((ExceptionType::ProtocolError, text.to_owned()), true)),
        }
    }

    fn options(&self, method: &CompiledMethod, message: &Message) -> Result<CallOptions, &'static str> {
        let [tenant, key, deadline, cost] = method.value_indexes.map(|index| message.values[index?]);
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
        let timeout = match deadline.map(|d| d.number().filter(|ms| *ms > 0.0 && ms.is_finite())) {
            None => method.deadline,
            Some(None) => return Err("the deadline makes no sense"),
            Some(Some(ms)) => Duration::from_secs_f64((ms / 1e3).min(MAX_DEADLINE.as_secs_f64())),
        };
        let work = match cost.map(|c| c.number().filter(|us| (0.0..1e12).contains(us))) {
            None => None,
            Some(None) => return Err("the cost makes no sense"),
            Some(Some(us)) => Some(Duration::from_secs_f64(us / 1e6)),
        };
        Ok(CallOptions {
            class: method.class,
            tenant,
            timeout,
            work,
            key,
            oneway: message.header.kind == MessageType::Oneway,
        })
    }

    /// The exception in reply to an invalid message, if its name and sequence id can be read.
    pub(super) fn undecodable_reply(&self, decoder: &MessageDecoder) -> Option<Vec<u8>> {
        let dialect = decoder.dialect()?;
        let header = walk::header(dialect.protocol, decoder.undecodable(), &self.settings.limits).ok()?;
        let text = "the message can't be read, or is too large";
        (header.kind == MessageType::Call)
            .then(|| exception(dialect, &header, ExceptionType::ProtocolError, text))
    }

    /// Submits a call to the engine and waits for its reply; `None` if it is a oneway.
    pub(super) async fn call(&self, call: AcceptedCall) -> Option<Vec<u8>> {
        let AcceptedCall { dialect, bytes, options, external_id, arrived } = call;
        let margin = MAX_DEADLINE_MARGIN.min(options.timeout / DEADLINE_MARGIN_DIVISOR);
        let deadline = arrived + options.timeout - margin;
        let call = Call { protocol: dialect.protocol, message: bytes.clone(), oneway: options.oneway };
        // The host sets the deadlines.
        let incoming = Incoming {
            class: options.class,
            tenant: options.tenant,
            work: options.work,
            body_complete: true,
            deadline: Time(0),
            answer_deadline: Time(0),
            external_id,
            request: call,
        };
        let submitted = self.host.submit(Request {
            incoming,
            deadline,
            answer_deadline: deadline + margin / ANSWER_MARGIN_DIVISOR,
            key: options.key,
        });
        let answer = match submitted {
            Ok(mut pending) => pending.answer().await,
            Err(birchswitch_engine::DuplicateRequest) => Answer::Failed,
        };
        if options.oneway {
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
            Answer::Failed if Instant::now() >= deadline => {
                (ExceptionType::Unknown, "timed out: it may have been carried out".to_owned())
            }
            Answer::Failed => {
                (ExceptionType::InternalError, "failed: it may have been carried out".to_owned())
            }
        };
        Some(exception(dialect, &header, kind, &text))
    }

    /// Encodes a server's reply in the client's dialect with the client's sequence id.
    fn reply(&self, dialect: Dialect, call: &Header, reply: &[u8]) -> Option<Vec<u8>> {
        let (limits, from) = (&self.settings.limits, self.settings.server_dialect.protocol);
        let mut out = Vec::with_capacity(reply.len() + 16);
        if dialect.framed {
            out.extend_from_slice(&[0; frame::HEADER_LEN]);
        }
        if from == dialect.protocol {
            let header = walk::header(from, reply, limits).ok()?;
            write::with_seqid(&mut out, from, reply, &header, call.seqid);
        } else {
            transcode::message(&mut out, from, reply, call.seqid, call.strict, limits).ok()?;
        }
        if dialect.framed {
            frame::write_length(&mut out);
        }
        Some(out)
    }
}

fn exception(dialect: Dialect, call: &Header, kind: ExceptionType, text: &str) -> Vec<u8> {
    let mut out = vec![0; if dialect.framed { frame::HEADER_LEN } else { 0 }];
    write::exception(&mut out, dialect.protocol, call, kind, text);
    if dialect.framed {
        frame::write_length(&mut out);
    }
    out
}
