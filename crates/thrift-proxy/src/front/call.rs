//! One call: what its header and arguments say, and its answer from the engine.

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

/// Kept back from the client's time for the ways here and back: at most this ...
const MARGIN: Duration = Duration::from_millis(20);
/// ... and at most this part of the time.
const MARGIN_PART: u32 = 8;
/// The part of the margin that an answer which the decisions owe may take.
const ANSWER_MARGIN_PART: u32 = 4;
/// No client waits for longer.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);

/// A message that is not a call to be served.
pub(super) struct Rejection {
    pub(super) reply: Option<Vec<u8>>,
    /// What is behind it can be trusted.
    pub(super) goes_on: bool,
}

/// What a call's arguments say.
pub(super) struct CallOptions {
    class: finchvale::ClassId,
    tenant: TenantId,
    wait: Duration,
    work: Option<Duration>,
    key: Option<u64>,
    pub(super) oneway: bool,
}

/// A call that is to be answered.
pub(super) struct AcceptedCall {
    pub(super) dialect: Dialect,
    pub(super) bytes: Bytes,
    pub(super) options: CallOptions,
    pub(super) external_id: Box<[u8]>,
    pub(super) arrived: Instant,
}

impl ThriftFrontend {
    /// Reads what a message says of its call, or what to answer instead, and whether the connection goes on.
    pub(super) fn read_call<'a>(
        &'a self,
        dialect: Dialect,
        bytes: &'a Bytes,
    ) -> Result<(Header<'a>, CallOptions), Rejection> {
        let limits = &self.settings.limits;
        let Ok(header) = walk::header(dialect.protocol, bytes, limits) else {
            return Err(Rejection { reply: None, goes_on: false });
        };
        let rejection = |(kind, text): (ExceptionType, String), goes_on| {
            let wants_reply = header.kind != MessageType::Oneway;
            Rejection { reply: wants_reply.then(|| exception(dialect, &header, kind, &text)), goes_on }
        };
        if !matches!(header.kind, MessageType::Call | MessageType::Oneway) {
            let text = "a call or a oneway was wanted".to_owned();
            return Err(rejection((ExceptionType::InvalidMessageType, text), false));
        }
        let (service, name) = header.service_and_method();
        let wanted = self.settings.settings.service.as_deref();
        let method = match wanted.is_some() && service.is_some() && service != wanted {
            true => None,
            false => self.settings.methods.get(name),
        };
        let nothing = Paths::default();
        let paths = method.map_or(&nothing, |m| &m.paths);
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
        Ok(CallOptions {
            class: method.class,
            tenant,
            wait,
            work,
            key,
            oneway: message.header.kind == MessageType::Oneway,
        })
    }

    /// An exception in answer to what can't be read, where its name and sequence id can.
    pub(super) fn spoilt(&self, messages: &MessageDecoder) -> Option<Vec<u8>> {
        let dialect = messages.dialect()?;
        let header = walk::header(dialect.protocol, messages.undecodable(), &self.settings.limits).ok()?;
        let text = "the message can't be read, or is too large";
        (header.kind == MessageType::Call)
            .then(|| exception(dialect, &header, ExceptionType::ProtocolError, text))
    }

    /// Has a call decided on and answered. None: nobody waits for a reply.
    pub(super) async fn call(&self, call: AcceptedCall) -> Option<Vec<u8>> {
        let AcceptedCall { dialect, bytes, options, external_id, arrived } = call;
        let margin = MARGIN.min(options.wait / MARGIN_PART);
        let deadline = arrived + options.wait - margin;
        let call = Call { protocol: dialect.protocol, message: bytes.clone(), oneway: options.oneway };
        // The host fills in the times.
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
        let taken = self.host.submit(Request {
            incoming,
            deadline,
            answer_deadline: deadline + margin / ANSWER_MARGIN_PART,
            key: options.key,
        });
        let answer = match taken {
            Ok(mut taken) => taken.answer().await,
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

    /// A server's reply in the client's dialect and under its sequence id.
    fn reply(&self, dialect: Dialect, call: &Header, reply: &[u8]) -> Option<Vec<u8>> {
        let (limits, from) = (&self.settings.limits, self.settings.servers.protocol);
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
