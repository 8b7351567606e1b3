//! One connection to a server: establishing it, and the exchange of one request for its response.

use super::MAX_HYPER_BUFFER;
use crate::body::{
    BodyPrefix, BufferBudget, HeldUpload, LastBytePermit, OutgoingBody, Upload, UploadEnd, UploadReader,
};
use crate::gate::{self, Expected, Gate, GateHandler, Head, Rejection};
use crate::send_monitor::SendMonitor;
use birchswitch_host::delivery::DeliveryHold;
use birchswitch_host::pool::{NewConnection, PooledConnection};
use birchswitch_host::socket::is_open_and_idle;
use finchvale::Outcome;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::http::response;
use hyper::{header, Request, Version};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};

/// A connection to a server without a request in flight. It holds no buffers: hyper's are allocated for each exchange, since
/// many more connections rest than are in use. Dropping it closes it.
pub(super) struct Connection {
    socket: Rc<TcpStream>,
    slot: OwnedSemaphorePermit,
    monitor: SendMonitor,
    /// More bytes than the response were received with it.
    excess: Rc<Cell<bool>>,
    generation: u64,
}

impl PooledConnection for Connection {
    /// Whether the server has neither closed the connection nor sent unsolicited bytes.
    fn is_usable(&self) -> bool {
        !self.excess.get() && is_open_and_idle(&self.socket)
    }

    fn generation(&self) -> u64 {
        self.generation
    }
}

impl Connection {
    /// Wraps a connection that was just opened.
    pub(super) fn new(connection: NewConnection) -> Self {
        let NewConnection { stream, slot, generation } = connection;
        let socket = Rc::new(stream);
        let monitor = SendMonitor::new(&socket);
        Connection { socket, slot, monitor, excess: Rc::default(), generation }
    }

    /// Holds back the last bytes of an upload that is sent over this connection.
    pub(super) fn hold(&self, complete_by: Instant) -> HeldUpload {
        let hold = DeliveryHold::new(&self.socket, complete_by);
        HeldUpload { monitor: self.monitor.clone(), hold }
    }

    /// Returns a reader of an upload that is to be sent over this connection. See [`Upload::new_reader`].
    pub(super) fn reader_of(
        &self,
        upload: &Rc<Upload>,
        permit: LastBytePermit,
        held: Option<HeldUpload>,
    ) -> Option<UploadReader> {
        self.monitor.reset();
        upload.new_reader(self.monitor.clone(), permit, held)
    }

    /// Starts HTTP for one exchange.
    async fn start(self, upload: Option<UploadState>) -> Result<ActiveConnection, Outcome> {
        let Connection { socket, slot, monitor, excess, generation } = self;
        let handler = ResponseHandler { excess: excess.clone(), monitor: monitor.clone() };
        let gate = TokioIo::new(Gate::new(socket, handler));
        let handshake = http1::Builder::new().max_buf_size(MAX_HYPER_BUFFER).handshake(gate).await;
        let (sender, connection) = handshake.map_err(|_| Outcome::Unreachable)?;
        let on_release: Rc<OnRelease> = Rc::default();
        let released = on_release.clone();
        let rest = IdleState { slot, monitor: monitor.clone(), excess, generation };
        let driver = spawn_local(drive_connection(connection, rest, released)).abort_handle();
        Ok(ActiveConnection { sender, driver: Driver(Some(driver)), monitor, upload, on_release })
    }

    /// Sends a request and reads its response, or the first part of a large one. Gives up if the request is not with the
    /// server at `complete_by`.
    pub(super) async fn exchange(
        self,
        request: Request<OutgoingBody>,
        budget: &BufferBudget,
        left: Duration,
        complete_by: Option<Instant>,
    ) -> Result<Exchange, Outcome> {
        let upload = match request.body() {
            OutgoingBody::Whole(_) => None,
            OutgoingBody::Streamed(reader) => {
                Some(UploadState { end: reader.end(), has_length: reader.size_hint().exact().is_some() })
            }
        };
        let mut connection = self.start(upload).await?;
        let monitor = connection.monitor.clone();
        monitor.reset();
        let upload_end = connection.upload.as_ref().map(|upload| upload.end.clone());
        let response = tokio::select! {
            biased;
            response = connection.sender.try_send_request(request) => response,
            outcome = missed_window(&monitor, upload_end.as_deref(), complete_by) => return Err(outcome),
        };
        let response = match response {
            Ok(response) => response,
            // Returned unsent. In any other case some of it may have reached the server and may have run there.
            Err(error) if error.message().is_some() => return Err(Outcome::Unreachable),
            Err(_) => return Err(failure_outcome(upload_end.as_deref(), monitor.is_written())),
        };
        let (head, mut rest) = response.into_parts();
        match BodyPrefix::of_response(&mut rest, budget, left).await {
            Ok(prefix) => Ok(Exchange { head, prefix, rest, connection }),
            Err(_) => Err(Outcome::Broken),
        }
    }
}

/// An upload that is sent in an exchange.
struct UploadState {
    end: Rc<Cell<UploadEnd>>,
    /// Its length was announced.
    has_length: bool,
}

/// A connection during an exchange. Dropping it closes it.
pub(super) struct ActiveConnection {
    sender: http1::SendRequest<OutgoingBody>,
    driver: Driver,
    monitor: SendMonitor,
    upload: Option<UploadState>,
    on_release: Rc<OnRelease>,
}

impl ActiveConnection {
    /// Ends the exchange after the complete response with this head was received. Calls `give_back` with the connection
    /// soon, unless it can't be used again.
    pub(super) fn release(mut self, head: &ResponseHead, give_back: impl FnOnce(Connection) + 'static) {
        if self.is_request_sent() && head.keeps_alive {
            *self.on_release.0.borrow_mut() = Some(Box::new(give_back));
            // Without a sender hyper ends, and the driver has the connection.
            self.driver.detach();
        }
    }

    /// Whether everything of the request was written. Hyper writes the end of a body without a length by itself, unseen.
    fn is_request_sent(&self) -> bool {
        let upload_sent = |upload: &UploadState| upload.has_length && upload.end.get() == UploadEnd::Finished;
        self.monitor.is_written()
            && self.monitor.flush.is_flushed()
            && self.upload.as_ref().is_none_or(upload_sent)
    }
}

/// What a response's head tells about its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseHead {
    keeps_alive: bool,
}

impl ResponseHead {
    pub(super) fn of(head: &response::Parts) -> Self {
        let options = head.headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
        let closes =
            options.flat_map(|value| value.split(',')).any(|o| o.trim().eq_ignore_ascii_case("close"));
        ResponseHead { keeps_alive: head.version == Version::HTTP_11 && !closes }
    }
}

/// The task that drives a connection; it ends when this is dropped.
struct Driver(Option<AbortHandle>);

impl Driver {
    /// Lets the task run to its end.
    fn detach(&mut self) {
        self.0 = None;
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

type GiveBack = Box<dyn FnOnce(Connection)>;

/// Called with a connection after its exchange, if it is to be used again.
#[derive(Default)]
struct OnRelease(RefCell<Option<GiveBack>>);

/// What belongs to a connection beside its socket.
struct IdleState {
    slot: OwnedSemaphorePermit,
    monitor: SendMonitor,
    excess: Rc<Cell<bool>>,
    generation: u64,
}

type HyperConnection = http1::Connection<TokioIo<Gate<ResponseHandler>>, OutgoingBody>;

/// Runs hyper until the exchange ends, then releases the connection, or closes it and frees its slot.
async fn drive_connection(connection: HyperConnection, state: IdleState, on_release: Rc<OnRelease>) {
    let Ok(parts) = connection.without_shutdown().await else { return };
    let Some(give_back) = on_release.0.take() else { return };
    let gate = parts.io.into_inner();
    // Bytes behind the response belong to no request.
    if parts.read_buf.is_empty() && gate.is_empty() {
        let IdleState { slot, monitor, excess, generation } = state;
        give_back(Connection { socket: gate.into_socket(), slot, monitor, excess, generation });
    }
}

/// Checks response heads. An invalid one ends the connection, and with it the attempt.
struct ResponseHandler {
    excess: Rc<Cell<bool>>,
    monitor: SendMonitor,
}

impl GateHandler for ResponseHandler {
    const BETWEEN_MESSAGES: Expected = Expected::Nothing;

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, Rejection> {
        gate::parse_response_head(bytes)
    }

    fn reject(&self, rejection: Rejection) -> std::io::Result<&'static [u8]> {
        Err(std::io::Error::new(std::io::ErrorKind::InvalidData, rejection.1))
    }

    fn excess_received(&self) {
        self.excess.set(true);
    }

    fn written(&self, all: bool) {
        self.monitor.written(all);
    }
}

/// The head of a server's response, the first part of its body, and the connection, from which the rest of the body is
/// read or which can be reused.
pub(super) struct Exchange {
    pub(super) head: response::Parts,
    pub(super) prefix: BodyPrefix,
    pub(super) rest: Incoming,
    pub(super) connection: ActiveConnection,
}

/// The outcome of a request that was handed to hyper and got no response.
fn failure_outcome(upload_end: Option<&Cell<UploadEnd>>, is_written: bool) -> Outcome {
    // No server runs a request before it has received the last byte.
    match upload_end.map(Cell::get) {
        Some(UploadEnd::Denied) => Outcome::NotSent,
        Some(UploadEnd::Pending) => Outcome::Unreachable,
        Some(UploadEnd::Finished) | None if !is_written => Outcome::Unreachable,
        Some(UploadEnd::Finished) | None => Outcome::Broken,
    }
}

/// Waits until `complete_by`, and returns the outcome of the attempt if its request is not with the server then. A server
/// that got the last byte later might not recognize the request's key any more.
async fn missed_window(
    monitor: &SendMonitor,
    upload_end: Option<&Cell<UploadEnd>>,
    complete_by: Option<Instant>,
) -> Outcome {
    let Some(complete_by) = complete_by else { return std::future::pending().await };
    sleep_until(complete_by).await;
    let all_handed_over = upload_end.is_none_or(|end| end.get() == UploadEnd::Finished);
    if !all_handed_over || !monitor.is_written() {
        monitor.discard_unsent();
        return Outcome::NotSent;
    }
    monitor.undelivered(complete_by).await;
    monitor.discard_unsent();
    // What has just arrived may run.
    Outcome::Broken
}
