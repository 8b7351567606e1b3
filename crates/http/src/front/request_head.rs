//! Parses and validates a request's head before anything else is done for the request.

use super::HttpFrontend;
use crate::gate::Rejection;
use birchswitch_host::key_hash;
use finchvale::{ClassId, Effect, TenantId};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, StatusCode, Uri};
use std::time::Duration;

/// Maximum value of the `X-Timeout` header.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const TENANT: HeaderName = HeaderName::from_static("x-tenant-id");
const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");
const COST: HeaderName = HeaderName::from_static("x-cost");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Memory in bytes that one header needs in the head that is kept and in the copy that is sent, beside its text.
const HEADER_MEMORY: usize = 320;
/// Heads that need up to this much memory in bytes are held without a reservation.
const UNRESERVED_HEAD: usize = 8 << 10;

/// Returns how much memory has to be reserved for a head.
pub(super) fn memory_to_reserve(headers: &HeaderMap) -> usize {
    let text: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    (headers.len() * HEADER_MEMORY + text).saturating_sub(UNRESERVED_HEAD)
}

/// The validated contents of a request's head.
pub(super) struct RequestHead {
    pub(super) class: ClassId,
    pub(super) tenant: TenantId,
    /// The declared work, from `X-Cost`.
    pub(super) work: Option<Duration>,
    /// Hash of the idempotency key together with the class and tenant.
    pub(super) key: Option<u64>,
    pub(super) timeout: Duration,
    /// The client's `X-Request-ID`.
    pub(super) id: Box<[u8]>,
    pub(super) target: Uri,
}

impl HttpFrontend {
    /// Parses a request's head, or returns why it is rejected.
    pub(super) fn parse_head(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<RequestHead, Rejection> {
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let names = &self.names;
        let class = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = names.classes.iter().position(|c| c == class && !c.is_empty());
        let class = class.ok_or((StatusCode::NOT_FOUND, "unknown class of requests"))?;
        // With duplicates it would be unclear which one applies.
        let single = [&REQUEST_ID, &TENANT, &TIMEOUT, &COST, &IDEMPOTENCY_KEY];
        if single.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
            return Err(bad("a header that counts once came twice"));
        }
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        let id = text(&REQUEST_ID).filter(|id| !id.is_empty()).ok_or(bad("X-Request-ID is missing"))?;
        let timeout = text(&TIMEOUT).and_then(parse_timeout);
        let timeout = timeout.ok_or(bad("X-Timeout is missing or makes no sense"))?;
        let effect = self.effects[class];
        if matches!(effect, Effect::Keyed { .. }) && text(&IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
            return Err(bad("Idempotency-Key is missing"));
        }
        if (*method == Method::GET) != (effect == Effect::Safe) {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "another method goes with this class"));
        }
        let tenant = match text(&TENANT) {
            _ if names.tenants.is_empty() => 0,
            name => {
                names.tenants.iter().position(|t| Some(t.as_str()) == name).ok_or(bad("unknown tenant"))?
            }
        };
        let target = uri.path_and_query().cloned().map(Uri::from).ok_or(bad("the target has no path"))?;
        let work = match headers.get(COST).map(|v| v.to_str().unwrap_or_default().trim().parse::<f64>()) {
            None => None,
            Some(Ok(us)) if (0.0..1e12).contains(&us) => Some(Duration::from_secs_f64(us / 1e6)),
            Some(_) => return Err(bad("X-Cost makes no sense")),
        };
        let class = ClassId(u8::try_from(class).map_err(|_| bad("unknown class of requests"))?);
        let tenant = TenantId(u16::try_from(tenant).map_err(|_| bad("unknown tenant"))?);
        let key = text(&IDEMPOTENCY_KEY).filter(|_| matches!(effect, Effect::Keyed { .. }));
        Ok(RequestHead {
            class,
            tenant,
            work,
            key: key.map(|key| key_hash(class, tenant, key.as_bytes())),
            id: id.as_bytes().into(),
            timeout,
            target,
        })
    }
}

/// Parses a number with a unit: `m` for milliseconds, `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let digits = text.get(..text.len().checked_sub(1)?)?;
    if !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let number = digits.parse().ok()?;
    let timeout = match text.as_bytes().last()? {
        b'm' => Duration::from_millis(number),
        b'u' => Duration::from_micros(number),
        _ => return None,
    };
    (timeout > Duration::ZERO && timeout <= MAX_TIMEOUT).then_some(timeout)
}

/// Removes hop-by-hop headers, including those that `Connection` names, and `Content-Length`, which hyper derives from
/// the body.
pub(super) fn strip_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&connection_options).chain([&header::CONTENT_LENGTH]) {
        headers.remove(name);
    }
    headers
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::HeaderValue;

    #[test]
    fn timeout_is_a_number_and_a_unit() {
        assert_eq!(parse_timeout("480m"), Some(Duration::from_millis(480)));
        assert_eq!(parse_timeout("1500u"), Some(Duration::from_micros(1500)));
        for invalid in
            ["", "m", "0m", "-5m", "+5m", "5", "5s", "4.5m", "99999999999999999999m", "9000000m", "é"]
        {
            assert_eq!(parse_timeout(invalid), None, "{invalid}");
        }
    }

    #[test]
    fn hop_by_hop_headers_are_removed() {
        let mut headers = HeaderMap::new();
        for (name, value) in
            [("connection", "X-Mine, close"), ("x-mine", "1"), ("te", "trailers"), ("x-all", "2")]
        {
            headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        let forwarded = strip_hop_by_hop(headers);
        assert_eq!(forwarded.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-all"]);
    }
}
