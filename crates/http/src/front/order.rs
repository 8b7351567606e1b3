//! What a request's head says: checked before anything else is done for it.

use super::HttpFrontend;
use crate::gate::Problem;
use birchswitch_host::key_hash;
use finchvale::{ClassId, Effect, TenantId};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, StatusCode, Uri};
use std::time::Duration;

/// No client waits for longer.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const TENANT: HeaderName = HeaderName::from_static("x-tenant-id");
const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");
const COST: HeaderName = HeaderName::from_static("x-cost");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that belong to one connection, not to the message.
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

/// What a request's head says.
pub(super) struct Order {
    pub(super) class: ClassId,
    pub(super) tenant: TenantId,
    pub(super) work: Option<Duration>,
    /// The hash of its key with its class and tenant.
    pub(super) key: Option<u64>,
    pub(super) wait: Duration,
    pub(super) id: Box<[u8]>,
    pub(super) target: Uri,
}

impl HttpFrontend {
    /// Reads what a request's head says of it, or why it is turned down.
    pub(super) fn read_head(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<Order, Problem> {
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let names = &self.names;
        let class = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = names.classes.iter().position(|c| c == class && !c.is_empty());
        let class = class.ok_or((StatusCode::NOT_FOUND, "unknown class of requests"))?;
        // Of two of a kind it is not known which one counts.
        let single = [&REQUEST_ID, &TENANT, &TIMEOUT, &COST, &KEY];
        if single.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
            return Err(bad("a header that counts once came twice"));
        }
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        let id = text(&REQUEST_ID).filter(|id| !id.is_empty()).ok_or(bad("X-Request-ID is missing"))?;
        let wait = text(&TIMEOUT).and_then(parse_wait);
        let wait = wait.ok_or(bad("X-Timeout is missing or makes no sense"))?;
        let effect = self.effects[class];
        if matches!(effect, Effect::Keyed { .. }) && text(&KEY).is_none_or(str::is_empty) {
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
        let key = text(&KEY).filter(|_| matches!(effect, Effect::Keyed { .. }));
        Ok(Order {
            class,
            tenant,
            work,
            key: key.map(|key| key_hash(class, tenant, key.as_bytes())),
            id: id.as_bytes().into(),
            wait,
            target,
        })
    }
}

/// A number and a unit: `m` for milliseconds, `u` for microseconds.
fn parse_wait(text: &str) -> Option<Duration> {
    let digits = text.get(..text.len().checked_sub(1)?)?;
    if !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let number = digits.parse().ok()?;
    let wait = match text.as_bytes().last()? {
        b'm' => Duration::from_millis(number),
        b'u' => Duration::from_micros(number),
        _ => return None,
    };
    (wait > Duration::ZERO && wait <= LONGEST_WAIT).then_some(wait)
}

/// Leaves out the headers that belong to one connection, and the length, which goes with the body.
pub(super) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named).chain([&header::CONTENT_LENGTH]) {
        headers.remove(name);
    }
    headers
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::HeaderValue;

    #[test]
    fn waits_are_a_number_and_a_unit() {
        assert_eq!(parse_wait("480m"), Some(Duration::from_millis(480)));
        assert_eq!(parse_wait("1500u"), Some(Duration::from_micros(1500)));
        for senseless in
            ["", "m", "0m", "-5m", "+5m", "5", "5s", "4.5m", "99999999999999999999m", "9000000m", "é"]
        {
            assert_eq!(parse_wait(senseless), None, "{senseless}");
        }
    }

    #[test]
    fn headers_of_one_connection_stay_behind() {
        let mut headers = HeaderMap::new();
        for (name, value) in
            [("connection", "X-Mine, close"), ("x-mine", "1"), ("te", "trailers"), ("x-all", "2")]
        {
            headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        let passed = end_to_end(headers);
        assert_eq!(passed.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-all"]);
    }
}
