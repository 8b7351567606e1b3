//! One request's answer: its head and body are read, the host is asked, and what it says becomes HTTP.

use super::client::Client;
use super::order::{end_to_end, Order};
use super::{HttpFrontend, ShutdownPhase};
use crate::body::{self, BodyError, BodyPrefix, Payload, Reply, Upload};
use crate::gate::{Problem, ENDING};
use crate::upstream::HttpUpstream;
use birchswitch_engine::{Answer, Incoming};
use birchswitch_host::{socket, PendingRequest, Request as Taking};
use bytes::Bytes;
use finchvale::Time;
use hyper::body::Incoming as Body;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Kept back from the client's time, for what lies between its send and the head's arrival here and for the
/// answer's way back: at most this ...
const MARGIN: Duration = Duration::from_millis(20);
/// ... and at most this part of the time.
const MARGIN_PART: u32 = 8;
/// The part of the margin that an answer which the balancer owes may take.
const OVERDUE: u32 = 4;
/// The decisions on a request whose body still comes are over by then; it is set anew with the last byte, or once nothing
/// more comes.
const UPLOAD: Duration = Duration::from_secs(24 * 3600);
/// How often it is looked whether an upload still moves.
const UPLOAD_LOOK: Duration = Duration::from_millis(500);

impl HttpFrontend {
    /// Answers a request.
    pub(super) async fn answer(&self, client: &Client, request: Request<Body>) -> Response<Reply> {
        let head = Instant::now();
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health/ready") => {
                let ready = self.host.ready() && *self.phase.borrow() == ShutdownPhase::Serving;
                return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
            }
            (&Method::GET, "/health/live") => {
                return plain(StatusCode::OK, format!("list {}\n", self.host.revision()));
            }
            _ => {}
        }
        let (parts, mut body) = request.into_parts();
        let order = match self.read_head(&parts.method, &parts.uri, &parts.headers) {
            Ok(order) => order,
            Err((status, why)) => return turned_down(status, why),
        };
        let first = match self.read_body(&mut body, head).await {
            Ok(first) => first,
            Err((status, why)) => return turned_down(status, why),
        };
        if client.has_gone().await {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "nobody waits for the answer");
        }
        // A request's time counts from its last byte, which may have waited behind another request.
        let margin = MARGIN.min(order.wait / MARGIN_PART);
        let times = |last_byte: Instant| {
            let deadline = last_byte + order.wait - margin;
            (deadline, deadline + margin / OVERDUE)
        };
        let (payload, upload) = match first.whole {
            true => (Payload::Whole(first.joined()), None),
            false => {
                let upload = Upload::new(first.parts, body, head, self.room.clone(), order.wait);
                (Payload::Streamed(upload.clone()), Some(upload))
            }
        };
        let (deadline, answer_deadline) = match &upload {
            None => times(client.take_last_byte().unwrap_or_else(Instant::now)),
            Some(_) => (head + UPLOAD, head + UPLOAD),
        };
        let mut outgoing = Request::new(payload);
        *outgoing.method_mut() = parts.method;
        *outgoing.uri_mut() = order.target;
        *outgoing.headers_mut() = end_to_end(parts.headers);
        let Order { class, tenant, work, key, id: external_id, .. } = order;
        // The host fills in the times.
        let (no_due, no_last) = (Time(0), Time(0));
        let body_complete = upload.is_none();
        let incoming = Incoming {
            class,
            tenant,
            work,
            body_complete,
            deadline: no_due,
            answer_deadline: no_last,
            external_id,
            request: outgoing,
        };
        let Ok(mut taken) = self.host.submit(Taking { incoming, deadline, answer_deadline, key }) else {
            return turned_down(StatusCode::CONFLICT, "a request of this X-Request-ID is open");
        };
        let answer = match upload {
            None => while_wanted(&mut taken, client).await,
            Some(upload) => {
                let answer = uploading(&mut taken, client, &upload, times).await;
                // A client reads nothing before it has written all.
                spawn_local(upload.drain());
                answer
            }
        };
        into_response(answer, taken.rejection_message())
    }

    /// Reads a body, or as much of it as is held whole. A node that ends waits no longer.
    async fn read_body(&self, body: &mut Body, head: Instant) -> Result<BodyPrefix, Problem> {
        let mut phase = self.phase.clone();
        tokio::select! {
            biased;
            first = BodyPrefix::read(body, |bytes| body::until(head, bytes), false) => first.map_err(|error| match error {
                BodyError::Silent => (StatusCode::REQUEST_TIMEOUT, "the body took too long"),
                _ => (StatusCode::BAD_REQUEST, "the body is not whole"),
            }),
            _ = phase.wait_for(|p| *p == ShutdownPhase::Finishing) => Err(ENDING),
        }
    }
}

/// Waits for the answer. A client that ends its sending meanwhile has gone: its request is given up, and begins no further
/// attempt.
async fn while_wanted(taken: &mut PendingRequest<HttpUpstream>, client: &Client) -> Answer<Response<Reply>> {
    tokio::select! {
        biased;
        answer = taken.answer() => return answer,
        () = client.left() => {}
    }
    taken.abandon();
    taken.answer().await
}

/// A final answer as HTTP. `why` tells more of a refusal.
fn into_response(answer: Answer<Response<Reply>>, why: Option<&'static str>) -> Response<Reply> {
    match answer {
        Answer::Served(response) => {
            let (head, body) = response.into_parts();
            let mut response = Response::new(body);
            *response.headers_mut() = end_to_end(head.headers);
            response
        }
        Answer::Refused(wait) => {
            let why = why.unwrap_or("refused: trying again is harmless");
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, why);
            if let Some(wait) = wait {
                let wait = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()));
                let wait = wait.expect("a decimal number is valid in a header");
                response.headers_mut().insert(header::RETRY_AFTER, wait);
            }
            response
        }
        Answer::Failed => plain(StatusCode::GATEWAY_TIMEOUT, "failed: the request may have been carried out"),
    }
}

/// Waits for the answer to a request whose body still comes. Its time begins with the last byte, and is over where nothing more
/// comes or is taken. A client that ends its sending has gone, be all of the body read or not. As long as no attempt reads the body,
/// some of it is read ahead, so that the system learns of the connection's end.
async fn uploading(
    taken: &mut PendingRequest<HttpUpstream>,
    client: &Client,
    upload: &Rc<Upload>,
    times: impl Fn(Instant) -> (Instant, Instant),
) -> Answer<Response<Reply>> {
    let (mut open, mut unread) = (true, true);
    loop {
        tokio::select! {
            biased;
            answer = taken.answer() => return answer,
            () = socket::wait_read_closed(&client.socket) => break,
            () = upload.whole(), if open => {
                open = false;
                let (deadline, answer_deadline) = times(Instant::now());
                taken.set_deadlines(deadline, answer_deadline);
            }
            ahead = upload.read_ahead(), if unread => {
                unread = false;
                if ahead.is_err() {
                    break;
                }
            }
            () = tokio::time::sleep(UPLOAD_LOOK), if open => {
                if upload.stuck() {
                    open = false;
                    taken.set_deadlines(Instant::now(), Instant::now());
                }
            }
        }
    }
    taken.abandon();
    taken.answer().await
}

/// The answer to what is malformed. Nothing more is read on its connection: who sends one such thing is not trusted to
/// have begun the next where it seems to.
pub(super) fn turned_down(status: StatusCode, why: &'static str) -> Response<Reply> {
    let mut response = plain(status, why);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Reply> {
    let mut response = Response::new(Reply::Whole(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
