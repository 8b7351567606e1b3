//! Heads of messages, read as far as a gate needs: how long the head is, and what follows it.

use super::{Head, Next, Problem};
use crate::body::MOST;
use hyper::StatusCode;

/// Most lines in a head.
const MOST_HEADERS: usize = 100;

/// Reads a request's head.
pub fn request_head(bytes: &[u8]) -> Result<Option<Head>, Problem> {
    let bad = |why| (StatusCode::BAD_REQUEST, why);
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
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
    let next = match framing(request.headers).map_err(bad)? {
        Framing::Length(body) if body > MOST => {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        Framing::Length(body) => Next::Body(body),
        Framing::None => Next::Body(0),
        Framing::Chunked if request.version != Some(1) => return Err(bad("HTTP/1.0 knows no chunks")),
        Framing::Chunked => Next::Chunked,
    };
    // What is behind a request has to begin another. Else its length is wrong, and nothing about it can be trusted.
    if let Next::Body(body) = next {
        let behind = bytes.get(length + body as usize..).unwrap_or_default();
        let behind = behind.strip_prefix(b"\r\n").unwrap_or(behind);
        let begins = |method: &[u8]| behind.iter().zip(method).all(|(a, b)| a == b);
        if !begins(b"GET ") && !begins(b"POST ") {
            return Err(bad("more came than the head says"));
        }
    }
    Ok(Some(Head { length, next }))
}

/// Reads an answer's head.
pub fn answer_head(bytes: &[u8]) -> Result<Option<Head>, Problem> {
    let bad = |why| (StatusCode::BAD_GATEWAY, why);
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let length = match answer.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(bad("the head can't be read")),
    };
    let next = match (answer.code, framing(answer.headers).map_err(bad)?) {
        (Some(101), _) => return Err(bad("nobody asked for another protocol")),
        (Some(100..200), _) => Next::Head,
        (Some(204 | 304), _) => Next::Body(0),
        (_, Framing::Length(body)) if body <= MOST => Next::Body(body),
        (_, Framing::Length(_)) => return Err(bad("the body is too large")),
        (_, Framing::Chunked) if answer.version == Some(1) => Next::Chunked,
        // It ends with its connection, and says so: a break is a reset, and hyper tells the two apart.
        (_, Framing::None) if closes(answer.headers) => Next::Chunked,
        // Whether it is whole could not be told.
        _ => return Err(bad("the body has no length")),
    };
    Ok(Some(Head { length, next }))
}

enum Framing {
    None,
    Length(u64),
    Chunked,
}

/// Whether a message says that it is the last one on its connection.
fn closes(headers: &[httparse::Header]) -> bool {
    headers
        .iter()
        .any(|h| h.name.eq_ignore_ascii_case("connection") && h.value.eq_ignore_ascii_case(b"close"))
}

/// How long a body is, by the one header that may say so.
fn framing(headers: &[httparse::Header]) -> Result<Framing, &'static str> {
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
    fn requests_are_framed() {
        let next =
            |head: &str| request_head(head.as_bytes()).map(|h| h.map(|h| h.next)).map_err(|p| p.0.as_u16());
        assert_eq!(next("GET / HTTP/1.1\r\n\r\n"), Ok(Some(Next::Body(0))));
        assert_eq!(next("POST / HTTP/1.1\r\ncontent-LENGTH: 7\r\n\r\n"), Ok(Some(Next::Body(7))));
        assert_eq!(next("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"), Ok(Some(Next::Chunked)));
        assert_eq!(next("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n.GET / HT"), Ok(Some(Next::Body(1))));
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
    fn answers_are_framed() {
        let next =
            |head: &str| answer_head(head.as_bytes()).map(|h| h.map(|h| h.next)).map_err(|p| p.0.as_u16());
        assert_eq!(
            next("HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Length: 7\r\n\r\n"),
            Ok(Some(Next::Body(7)))
        );
        assert_eq!(next("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), Ok(Some(Next::Head)));
        assert_eq!(next("HTTP/1.1 204 No Content\r\n\r\n"), Ok(Some(Next::Body(0))));
        for spoilt in [
            "200 OK\r\n\r\n",
            "101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
            "200 OK\r\nContent-Length: 3000000000\r\n\r\n",
            "200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "what\r\n\r\n",
        ] {
            assert_eq!(next(&format!("HTTP/1.1 {spoilt}")), Err(502), "{spoilt}");
        }
        assert_eq!(next("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), Err(502));
    }
}
