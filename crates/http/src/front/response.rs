//! Handles one request: reads its head and body, submits it to the host, and turns the result into an HTTP response.

use super::client::Client;
use super::events::Reason;
use super::memory::NO_MEMORY;
use super::request_head::{memory_to_reserve, strip_hop_by_hop, RequestHead};
use super::{HttpFrontend, ShutdownPhase};
use crate::body::{self, BodyError, BodyPrefix, RequestBody, ResponseBody, Upload};
use crate::gate::{Rejection, SHUTTING_DOWN};
use crate::upstream::HttpUpstream;
use birchswitch_engine::{Answer, Incoming};
use birchswitch_host::{socket, PendingRequest, Request as Submission};
use bytes::Bytes;
use finchvale::Time;
use hyper::body::{Body as _, Incoming as Body};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Subtracted from the client's timeout for the transit of the request's head and of the response: at most this ...
const MAX_MARGIN: Duration = Duration::from_millis(20);
/// ... and at most this fraction (1/n) of the timeout.
const MARGIN_DIVISOR: u32 = 8;
/// The balancer's own answer is due this fraction (1/n) of the margin after the deadline.
const OVERDUE_DIVISOR: u32 = 4;
/// Provisional deadline of a request whose body is still being received. It is replaced when the last byte arrives, or
/// when the upload stalls.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(24 * 3600);
/// How often an upload is checked for progress.
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(25);

impl HttpFrontend {
    /// Handles a request and returns its response.
    pub(super) async fn handle(&self, client: &Client, request: Request<Body>) -> Response<ResponseBody> {
        let received = Instant::now();
        self.check_memory();
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
        let head = match self.parse_head(&parts.method, &parts.uri, &parts.headers) {
            Ok(head) => head,
            Err((status, why)) => {
                self.events.record(Reason::Malformed, b"");
                return rejection_response(status, why);
            }
        };
        client.set_request_id(&head.id);
        let has_memory = self.has_memory_for(body.size_hint().exact());
        let head_memory = || self.budget.reserve(memory_to_reserve(&parts.headers));
        let Some(_head_memory) = has_memory.then(head_memory).flatten() else {
            client.record(Reason::NoMemory);
            return rejection_response(NO_MEMORY.0, NO_MEMORY.1);
        };
        client.receive_body();
        let prefix = match self.read_body(client, &mut body, received).await {
            Ok(prefix) => prefix,
            Err((status, why)) => {
                client.record(Reason::UploadAbandoned);
                return rejection_response(status, why);
            }
        };
        if prefix.complete {
            client.body_received();
        }
        client.confirm_presence().await;
        if client.is_disconnected().await {
            client.record(Reason::ClientLeft);
            return plain(StatusCode::SERVICE_UNAVAILABLE, "nobody waits for the answer");
        }
        // A request's timeout counts from the arrival of its last byte, which may have been queued behind another
        // request.
        let margin = MAX_MARGIN.min(head.timeout / MARGIN_DIVISOR);
        let deadlines = |last_byte: Instant| {
            let deadline = last_byte + head.timeout - margin;
            (deadline, deadline + margin / OVERDUE_DIVISOR)
        };
        let (payload, upload) = match prefix.complete {
            true => (RequestBody::Whole(prefix.bytes), None),
            false => {
                let upload = Upload::new(prefix.bytes, body, received, self.budget.clone(), head.timeout);
                (RequestBody::Streamed(upload.clone()), Some(upload))
            }
        };
        let (deadline, answer_deadline) = match &upload {
            None => deadlines(client.take_last_byte().unwrap_or_else(Instant::now)),
            Some(_) => (received + UPLOAD_DEADLINE, received + UPLOAD_DEADLINE),
        };
        let mut outgoing = Request::new(payload);
        *outgoing.method_mut() = parts.method;
        *outgoing.uri_mut() = head.target;
        *outgoing.headers_mut() = strip_hop_by_hop(parts.headers);
        let RequestHead { class, tenant, work, key, id: external_id, .. } = head;
        // The host sets the deadlines.
        let (deadline_unset, answer_deadline_unset) = (Time(0), Time(0));
        let body_complete = upload.is_none();
        let incoming = Incoming {
            class,
            tenant,
            work,
            body_complete,
            deadline: deadline_unset,
            answer_deadline: answer_deadline_unset,
            external_id,
            request: outgoing,
        };
        let Ok(mut pending) = self.host.submit(Submission { incoming, deadline, answer_deadline, key })
        else {
            client.record(Reason::DuplicateId);
            return rejection_response(StatusCode::CONFLICT, "a request of this X-Request-ID is open");
        };
        let answer = match upload {
            None => wait_for_answer(&mut pending, client).await,
            Some(upload) => {
                let answer = wait_for_upload_answer(&mut pending, client, &upload, deadlines).await;
                if client.has_abandoned_body() || upload.is_stalled() {
                    client.record(Reason::UploadAbandoned);
                    return closing(into_response(answer, pending.rejection_message()));
                }
                // A client may read the response only after it has written everything.
                spawn_local(upload.drain());
                answer
            }
        };
        match &answer {
            Answer::Served(_) => {}
            Answer::Refused(_) => client.record(Reason::Refused),
            Answer::Failed => client.record(Reason::Failed),
        }
        into_response(answer, pending.rejection_message())
    }

    /// Reads a body, or the first part of a large one. Gives up when the client has stopped sending it, when its slot is
    /// needed, or when the node shuts down.
    async fn read_body(
        &self,
        client: &Client,
        body: &mut Body,
        received: Instant,
    ) -> Result<BodyPrefix, Rejection> {
        const TOO_SLOW: Rejection = (StatusCode::REQUEST_TIMEOUT, "the body took too long");
        let mut phase = self.phase.clone();
        tokio::select! {
            biased;
            prefix = BodyPrefix::read(body, &self.budget, |bytes| body::progress_deadline(received, bytes), false) =>
                prefix.map_err(|error| match error {
                BodyError::TimedOut => TOO_SLOW,
                _ => (StatusCode::BAD_REQUEST, "the body is not whole"),
            }),
            () = client.body_abandoned() => Err(TOO_SLOW),
            _ = phase.wait_for(|p| *p == ShutdownPhase::Finishing) => Err(SHUTTING_DOWN),
        }
    }
}

/// Waits for the answer. A client that closes its sending side meanwhile has gone: its request is abandoned and starts
/// no further attempt.
async fn wait_for_answer(
    pending: &mut PendingRequest<HttpUpstream>,
    client: &Client,
) -> Answer<Response<ResponseBody>> {
    tokio::select! {
        biased;
        answer = pending.answer() => return answer,
        () = client.disconnected() => {}
    }
    pending.abandon();
    pending.answer().await
}

/// Converts the final answer to an HTTP response. `why` is the text of a refusal, if there is a specific one.
fn into_response(
    answer: Answer<Response<ResponseBody>>,
    why: Option<&'static str>,
) -> Response<ResponseBody> {
    match answer {
        Answer::Served(response) => {
            let (head, body) = response.into_parts();
            let mut response = Response::new(body);
            *response.headers_mut() = strip_hop_by_hop(head.headers);
            response
        }
        Answer::Refused(wait) => {
            let why = why.unwrap_or("refused: trying again is harmless");
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, why);
            if let Some(wait) = wait {
                let wait = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()));
                let wait = wait.expect("a decimal number is a valid header value");
                response.headers_mut().insert(header::RETRY_AFTER, wait);
            }
            response
        }
        Answer::Failed => plain(StatusCode::GATEWAY_TIMEOUT, "failed: the request may have been carried out"),
    }
}

/// Waits for the answer to a request whose body is still being received. Its timeout starts with the last byte, and
/// ends at once when the upload stalls or is abandoned. The last byte counts from its arrival at the node's machine: where
/// the server reads slowly, it may lie there unread. A client that closes its sending side has gone, whether or not
/// the body was read completely.
async fn wait_for_upload_answer(
    pending: &mut PendingRequest<HttpUpstream>,
    client: &Client,
    upload: &Rc<Upload>,
    deadlines: impl Fn(Instant) -> (Instant, Instant),
) -> Answer<Response<ResponseBody>> {
    let (mut receiving, mut deadline_known) = (true, false);
    let mut reception = std::pin::pin!(upload.receive());
    let mut check = tokio::time::interval(UPLOAD_CHECK_INTERVAL);
    let deadlines =
        |seen: Instant| deadlines(upload.possible_arrival().map_or(seen, |possible| possible.min(seen)));
    loop {
        tokio::select! {
            biased;
            answer = pending.answer() => return answer,
            () = socket::wait_read_closed(&client.socket) => break,
            received = &mut reception, if receiving => {
                receiving = false;
                if received.is_err() {
                    break;
                }
                client.body_received();
                if !deadline_known {
                    let (deadline, answer_deadline) = deadlines(client.latest_arrival().unwrap_or_else(Instant::now));
                    pending.set_deadlines(deadline, answer_deadline);
                }
            }
            _ = check.tick(), if receiving => {
                client.observe_unread();
                if client.is_body_missing() {
                    upload.caught_up();
                }
                if let Some(arrived) = client.request_arrival().filter(|_| !deadline_known) {
                    deadline_known = true;
                    let (deadline, answer_deadline) = deadlines(arrived);
                    pending.set_deadlines(deadline, answer_deadline);
                }
                if !deadline_known && upload.may_be_overdue() || upload.is_stalled() {
                    break;
                }
            }
            () = client.body_abandoned(), if receiving => break,
        }
    }
    pending.abandon();
    pending.answer().await
}

/// The response to a rejected request. It closes the connection: after a malformed request, the start of the next one
/// can't be trusted.
pub(super) fn rejection_response(status: StatusCode, why: &'static str) -> Response<ResponseBody> {
    closing(plain(status, why))
}

/// Makes a response the last of its connection.
fn closing(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A `text/plain` response.
fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
