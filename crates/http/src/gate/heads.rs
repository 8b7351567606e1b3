//! Parses message heads as far as a gate needs: the length of the head and the framing of the body.

use super::{Expected, Head, Rejection};
use crate::body::MAX_BODY;
use hyper::StatusCode;

/// Maximum number of header lines in a head.
const MAX_HEADERS: usize = 100;

/// Parses a request head. `None` if it is incomplete.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<Head>, Rejection> {
    let bad = |why| (StatusCode::BAD_REQUEST, why);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            return Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "too many headers"));
        }
        Err(_) => return Err(bad("the head can't be read")),
    };
    if !matches!(request.method, Some("GET" | "POST")) {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "GET and POST are known here"));
    }
    let next = match body_framing(request.headers).map_err(bad)? {
        Framing::Length(body) if body > MAX_BODY => {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        Framing::Length(body) => Expected::Body(body),
        Framing::None => Expected::Body(0),
        Framing::Chunked if request.version != Some(1) => return Err(bad("HTTP/1.0 knows no chunks")),
        Framing::Chunked => Expected::Chunked,
    };
    // Bytes after a request have to be the start of another one. Otherwise the declared length is wrong (request
    // smuggling, for example), and nothing else about the request can be trusted either.
    if let Expected::Body(body) = next {
        let trailing = bytes.get(length + body as usize..).unwrap_or_default();
        let trailing = trailing.strip_prefix(b"\r\n").unwrap_or(trailing);
        let may_start = |method: &[u8]| trailing.iter().zip(method).all(|(a, b)| a == b);
        if !may_start(b"GET ") && !may_start(b"POST ") {
            return Err(bad("more came than the head says"));
        }
    }
    Ok(Some(Head { length, next }))
}

/// Parses a response head. `None` if it is incomplete.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<Head>, Rejection> {
    let bad = |why| (StatusCode::BAD_GATEWAY, why);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(bad("the head can't be read")),
    };
    let next = match (response.code, body_framing(response.headers).map_err(bad)?) {
        (Some(101), _) => return Err(bad("unrequested protocol switch")),
        (Some(100..200), _) => Expected::Head,
        (Some(204 | 304), _) => Expected::Body(0),
        (_, Framing::Length(body)) if body <= MAX_BODY => Expected::Body(body),
        (_, Framing::Length(_)) => return Err(bad("the body is too large")),
        (_, Framing::Chunked) if response.version == Some(1) => Expected::Chunked,
        // The end of the connection ends the body, as the head announces. An aborted connection is reset instead, which
        // hyper reports as an error.
        (_, Framing::None) if has_connection_close(response.headers) => Expected::Chunked,
        // There would be no way to tell a complete body from a truncated one.
        _ => return Err(bad("the body has no length and no Connection: close")),
    };
    Ok(Some(Head { length, next }))
}

/// How the end of a body is found, according to the headers.
enum Framing {
    None,
    Length(u64),
    Chunked,
}

/// Whether the message announces that its connection closes after it.
fn has_connection_close(headers: &[httparse::Header]) -> bool {
    headers
        .iter()
        .any(|h| h.name.eq_ignore_ascii_case("connection") && h.value.eq_ignore_ascii_case(b"close"))
}

/// Determines the body framing. Conflicting, repeated or unsupported headers are errors.
fn body_framing(headers: &[httparse::Header]) -> Result<Framing, &'static str> {
    let values = |name: &'static str| {
        let named = move |h: &&httparse::Header| h.name.eq_ignore_ascii_case(name);
        headers.iter().filter(named).map(|h| h.value.trim_ascii())
    };
    let mut lengths = values("content-length");
    let mut codings = values("transfer-encoding");
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(Framing::None),
        (Some(_), Some(_)) => Err("Content-Length and Transfer-Encoding exclude each other"),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none() => {
            Ok(Framing::Chunked)
        }
        (None, Some(_)) => Err("Transfer-Encoding is not understood"),
        (Some(length), None) if lengths.all(|other| other == length) => {
            let digits = Some(length).filter(|l| !l.is_empty() && l.iter().all(u8::is_ascii_digit));
            let number = digits.and_then(|l| std::str::from_utf8(l).ok()?.parse().ok());
            number.map(Framing::Length).ok_or("Content-Length is no number")
        }
        (Some(_), None) => Err("Content-Length differs from itself"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn request_framing() {
        let next =
            |h: &str| parse_request_head(h.as_bytes()).map(|h| h.map(|h| h.next)).map_err(|r| r.0.as_u16());
        assert_eq!(next("GET / HTTP/1.1\r\n\r\n"), Ok(Some(Expected::Body(0))));
        assert_eq!(next("POST / HTTP/1.1\r\ncontent-LENGTH: 7\r\n\r\n"), Ok(Some(Expected::Body(7))));
        assert_eq!(
            next("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"),
            Ok(Some(Expected::Chunked))
        );
        assert_eq!(
            next("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n.GET / HT"),
            Ok(Some(Expected::Body(1)))
        );
        assert_eq!(next("POST / HTTP/1.1\r\nContent-Le"), Ok(None));
        let both = [
            "Content-Length: 3\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nContent-Length: 3",
        ];
        let bad = [
            "Content-Length: -1",
            "Content-Length: +1",
            "Content-Length:",
            "Content-Length: 1\r\nContent-Length: 2",
            "Content-Length: 99999999999999999999",
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        ];
        for headers in both.iter().chain(&bad) {
            assert_eq!(next(&format!("POST / HTTP/1.1\r\n{headers}\r\n\r\n")), Err(400), "{headers}");
        }
        assert_eq!(next("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"), Err(400));
        assert_eq!(next("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n.and more"), Err(400));
        assert_eq!(next("POST / HTTP/1.1\r\nContent-Length: 41943041\r\n\r\n"), Err(413));
        assert_eq!(next("CONNECT a:1 HTTP/1.1\r\n\r\n"), Err(405));
    }

    #[test]
    fn response_framing() {
        let next =
            |h: &str| parse_response_head(h.as_bytes()).map(|h| h.map(|h| h.next)).map_err(|r| r.0.as_u16());
        assert_eq!(
            next("HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Length: 7\r\n\r\n"),
            Ok(Some(Expected::Body(7)))
        );
        assert_eq!(next("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), Ok(Some(Expected::Head)));
        assert_eq!(next("HTTP/1.1 204 No Content\r\n\r\n"), Ok(Some(Expected::Body(0))));
        for invalid in [
            "200 OK\r\n\r\n",
            "101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
            "200 OK\r\nContent-Length: 3000000000\r\n\r\n",
            "200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "what\r\n\r\n",
        ] {
            assert_eq!(next(&format!("HTTP/1.1 {invalid}")), Err(502), "{invalid}");
        }
        assert_eq!(next("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), Err(502));
    }
}
