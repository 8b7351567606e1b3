//! The state of one client connection: what it is waiting for, which responses are owed, and what its gate may read.

mod gate_handler;

use super::events::{EventSummary, Reason};
use super::eviction::Activity;
use crate::flush_signal::FlushSignal;
use crate::gate::{ArrivalTimes, Rejection};
use birchswitch_host::delivery;
use birchswitch_host::input_progress::InputProgress;
use birchswitch_host::socket::{self, is_open_and_idle};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// Time limit for the first request to start, and for a head to be received; for the first request both count from the
/// connection's acceptance. A client that sends nothing useful has to get a response or a close within 3 s of it.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// A client that takes nothing more of a response for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection may be idle for this long between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A client that sends nothing of the rest of its body for this long gets its error.
const BODY_TIMEOUT: Duration = Duration::from_millis(2500);

/// How often to look what arrives while nothing is read.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// How long a client's machine may take to acknowledge an answer: systems delay it by up to 40 ms.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(60);

/// The method of the request that hyper reads in place of a rejected one, so that the rejection is sent in the order of
/// the connection's responses. No client can send this method: the gate accepts only GET and POST.
pub(super) const REJECTED_METHOD: &str = "TURNED-DOWN";

/// A client connection.
pub(super) struct Client {
    pub(super) socket: Rc<TcpStream>,
    state: Cell<State>,
    since: Cell<Instant>,
    /// Why the current head is rejected, if it is.
    pub(super) rejection: Cell<Option<Rejection>>,
    /// Notifies the connection's task of a change of state.
    pub(super) wake: Notify,
    /// Complete requests that were read, and responses that were handed to hyper completely.
    requests: Cell<u64>,
    responses: Cell<u64>,
    arrivals: RefCell<ArrivalTimes>,
    /// Arrival time of the latest byte that was forwarded.
    latest_arrival: Cell<Option<Instant>>,
    /// Stream offset of the end of the current request, unless only hyper can find it.
    request_end: Cell<Option<u64>>,
    /// Arrival time of the last byte of the latest complete request.
    last_byte: Cell<Option<Instant>>,
    /// Number of bytes that were read ahead behind the current request.
    read_ahead: Cell<usize>,
    /// The gate does not read on, so it can't detect the end of the connection.
    eof_undetectable: Cell<bool>,
    /// Set when the connection is to close and had received nothing of a further request when that was decided: its
    /// state before, and since when.
    silent_before_close: Cell<Option<(State, Instant)>>,
    /// How the current request arrives.
    input: InputProgress,
    /// The rest of the current body is not waited for any longer.
    body_abandoned: Cell<bool>,
    abandonment: Notify,
    /// The client has closed its sending side.
    peer_closed: Cell<bool>,
    disconnect: Notify,
    /// The latest response told the client that the connection closes.
    last_response: Cell<bool>,
    /// The node is shutting down: further input is not read.
    finishing: Cell<bool>,
    /// Holds a streamed response back until what was sent of it is written.
    pub(super) flush: FlushSignal,
    events: Rc<EventSummary>,
    /// Id of the current request.
    request_id: RefCell<Box<[u8]>>,
}

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Nothing has been received yet.
    New,
    /// A head is being received: since the acceptance for the first request, since its first bytes for others.
    ReadingHead,
    /// The current head took too long.
    HeadTimedOut,
    /// The body of a request is being received. If it is large, it may be on its way to a server.
    ReadingBody,
    /// A request that was received completely is being processed.
    Processing,
    /// A response is being streamed; `since` is the time of the latest progress.
    Streaming,
    /// Waiting for the next request.
    Idle,
    /// To be closed.
    Closing,
}

impl Client {
    pub(super) fn new(stream: TcpStream, events: Rc<EventSummary>) -> Rc<Self> {
        let client = Rc::new(Client {
            socket: Rc::new(stream),
            state: Cell::new(State::New),
            since: Cell::new(Instant::now()),
            rejection: Cell::new(None),
            wake: Notify::new(),
            requests: Cell::new(0),
            responses: Cell::new(0),
            arrivals: RefCell::default(),
            latest_arrival: Cell::new(None),
            request_end: Cell::new(None),
            last_byte: Cell::new(None),
            read_ahead: Cell::new(0),
            eof_undetectable: Cell::new(false),
            silent_before_close: Cell::new(None),
            input: InputProgress::default(),
            body_abandoned: Cell::new(false),
            abandonment: Notify::new(),
            peer_closed: Cell::new(false),
            disconnect: Notify::new(),
            last_response: Cell::new(false),
            finishing: Cell::new(false),
            flush: FlushSignal::default(),
            events,
            request_id: RefCell::default(),
        });
        client.observe_accepted();
        client
    }

    pub(super) fn state(&self) -> State {
        self.state.get()
    }

    pub(super) fn enter(&self, state: State) {
        self.state.set(state);
        self.since.set(Instant::now());
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since.get())
    }

    /// Records that the client took some of a streamed response.
    pub(super) fn record_progress(&self) {
        if self.state.get() == State::Streaming {
            self.since.set(Instant::now());
        }
    }

    /// Records that a response was handed to hyper completely, or that the rest of it is not needed.
    pub(super) fn response_done(&self) {
        self.responses.set(self.responses.get() + 1);
        if matches!(self.state.get(), State::ReadingBody | State::Processing | State::Streaming) {
            self.enter(State::Idle);
        }
        self.wake.notify_one();
    }

    /// Records that the latest response tells the client to close: nothing more is read.
    pub(super) fn set_last_response(&self) {
        self.last_response.set(true);
    }

    /// Whether the latest response tells the client to close.
    pub(super) fn is_last_response(&self) -> bool {
        self.last_response.get()
    }

    /// Whether input behind the current request was read, which would be lost if the connection closed.
    pub(super) fn has_read_ahead(&self) -> bool {
        self.read_ahead.get() > 0
    }

    /// Whether no response is owed and nothing was received.
    pub(super) fn is_idle(&self) -> bool {
        self.state.get() == State::Idle && !self.has_read_ahead() && is_open_and_idle(&self.socket)
    }

    /// What the connection is doing, if that is nothing that an answer is owed for.
    pub(super) fn evictable_activity(&self, now: Instant) -> Option<Activity> {
        let age = self.age(now);
        let activity = match self.state.get() {
            State::New => Activity::New(age),
            State::ReadingHead => Activity::Head(age),
            State::Idle => Activity::Idle(age),
            State::ReadingBody if !self.body_abandoned.get() => Activity::Body(self.input.lag(now)?),
            State::HeadTimedOut
            | State::ReadingBody
            | State::Processing
            | State::Streaming
            | State::Closing => return None,
        };
        is_open_and_idle(&self.socket).then_some(activity)
    }

    /// Frees the connection's slot: a client that has sent part of a request gets its error first.
    pub(super) fn evict(&self) {
        match self.state.get() {
            State::ReadingHead => self.abandon_head(),
            State::ReadingBody => self.abandon_body(),
            _ => self.request_close(),
        }
    }

    /// Starts with the request with this id.
    pub(super) fn set_request_id(&self, id: &[u8]) {
        *self.request_id.borrow_mut() = id.into();
    }

    /// Counts an event of the current request.
    pub(super) fn record(&self, reason: Reason) {
        self.events.record(reason, &self.request_id.borrow());
    }

    fn abandon_head(&self) {
        self.state.set(State::HeadTimedOut);
        self.wake.notify_one();
    }

    /// Whether the client stopped in the middle of a request, which was rejected for that.
    pub(super) fn has_stopped(&self) -> bool {
        let head_abandoned = self.rejection.get().is_some_and(|r| r.0 == StatusCode::REQUEST_TIMEOUT);
        head_abandoned || self.has_abandoned_body()
    }

    /// Whether more of the current body is awaited and none of it has arrived.
    pub(super) fn is_body_missing(&self) -> bool {
        self.input.is_awaited() && is_open_and_idle(&self.socket)
    }

    fn abandon_body(&self) {
        self.body_abandoned.set(true);
        self.abandonment.notify_one();
    }

    /// Whether the rest of the latest body was not waited for.
    pub(super) fn has_abandoned_body(&self) -> bool {
        self.body_abandoned.get()
    }

    /// Waits until the rest of the current body is not waited for any longer. What arrives at the last moment keeps the
    /// request going.
    pub(super) async fn body_abandoned(&self) {
        loop {
            self.abandonment.notified().await;
            // The flag is not set if more has been received since the notification, or if that was for an earlier body.
            if self.body_abandoned.get() && self.is_body_missing() {
                return;
            }
            self.body_abandoned.set(false);
        }
    }

    /// Records that a body is being received.
    pub(super) fn receive_body(&self) {
        self.enter(State::ReadingBody);
    }

    /// Records that the current body was received completely.
    pub(super) fn body_received(&self) {
        self.body_abandoned.set(false);
        if self.state.get() == State::ReadingBody {
            self.enter(State::Processing);
        }
    }

    /// Asks the connection's task to close it.
    pub(super) fn request_close(&self) {
        let state = self.state.get();
        let silent = matches!(state, State::New | State::Idle);
        self.silent_before_close.set(silent.then(|| (state, self.since.get())));
        self.enter(State::Closing);
        self.wake.notify_one();
    }

    /// Whether the connection is to close now. If input arrived after that was decided, the connection returns to its
    /// former state and is served.
    pub(super) fn should_close(&self) -> bool {
        if self.state.get() != State::Closing {
            return false;
        }
        if let Some((state, since)) =
            self.silent_before_close.get().filter(|_| !is_open_and_idle(&self.socket))
        {
            self.state.set(state);
            self.since.set(since);
            return false;
        }
        true
    }

    /// Applies the time limits of the current state.
    pub(super) fn check_timeouts(&self, now: Instant) {
        let age = self.age(now);
        let end: fn(&Self) = match self.state.get() {
            // A connection that has received a request that was not read yet is never closed.
            State::New if age >= HEAD_TIMEOUT && is_open_and_idle(&self.socket) => Self::request_close,
            State::Streaming if age >= WRITE_TIMEOUT => Self::request_close,
            State::Idle if age >= IDLE_TIMEOUT && is_open_and_idle(&self.socket) => {
                return self.request_close();
            }
            State::ReadingBody if self.input.pause(now) >= BODY_TIMEOUT && self.is_body_missing() => {
                Self::abandon_body
            }
            State::ReadingHead if age >= HEAD_TIMEOUT => Self::abandon_head,
            _ => return,
        };
        self.record(Reason::TimedOut);
        end(self);
    }

    /// Stops reading because the node shuts down: an incomplete head is rejected, and requests that were received
    /// completely are still answered.
    pub(super) fn finish(&self) {
        self.finishing.set(true);
        self.wake.notify_one();
    }

    /// Arrival time of the last byte of the request that was just read, if the gate knows it.
    pub(super) fn take_last_byte(&self) -> Option<Instant> {
        self.last_byte.take()
    }

    /// Arrival time of the latest byte of the current request that was passed on.
    pub(super) fn latest_arrival(&self) -> Option<Instant> {
        self.latest_arrival.get()
    }

    /// Records when bytes arrived that were not read yet.
    pub(super) fn observe_unread(&self) {
        if let Some(unread) = socket::unread_bytes(&self.socket) {
            self.arrivals.borrow_mut().record_unread(unread, Instant::now());
        }
    }

    /// When the last byte of the current request arrived, if its end is known and it has arrived, read or unread.
    pub(super) fn request_arrival(&self) -> Option<Instant> {
        self.arrivals.borrow().arrival_of(self.request_end.get()?)
    }

    /// Notes when the first bytes arrived of a connection that may have waited to be accepted.
    fn observe_accepted(&self) {
        let now = Instant::now();
        let unread = socket::unread_bytes(&self.socket).filter(|unread| *unread > 0);
        if let (Some(unread), Some(at)) = (unread, socket::last_data_received(&self.socket, now)) {
            self.arrivals.borrow_mut().record_unread(unread, at);
        }
    }

    /// Whether the client has closed its sending side or reset the connection, as far as the system has heard.
    pub(super) async fn is_disconnected(&self) -> bool {
        self.peer_closed.get()
            || socket::is_closed_by_peer(&self.socket)
            || socket::is_read_closed(&self.socket).await
    }

    /// Waits until the client's machine has acknowledged the answers so far, where so much lies unread behind the current
    /// request that a close would not be seen: a client that has gone resets the connection instead.
    pub(super) async fn confirm_presence(&self) {
        if self.eof_undetectable.get() && self.has_read_ahead() {
            delivery::delivered(&self.socket, Instant::now() + ACKNOWLEDGEMENT_TIME).await;
        }
    }

    /// Waits until the client has closed its sending side.
    pub(super) async fn disconnected(&self) {
        while !self.peer_closed.get() {
            tokio::select! {
                () = self.disconnect.notified() => {}
                () = self.watch_unread(), if self.eof_undetectable.get() => return,
            }
        }
    }

    /// Waits until the client has closed its sending side while nothing is read, and notes when unread bytes arrive: they
    /// may be a request, whose time counts from then.
    async fn watch_unread(&self) {
        while !self.is_disconnected().await {
            if let Some(unread) = socket::unread_bytes(&self.socket) {
                self.arrivals.borrow_mut().record_backlog(unread, Instant::now());
            }
            sleep(UNREAD_CHECK_INTERVAL).await;
        }
    }

    /// Records that the gate can't detect the end of the connection by reading any more.
    pub(super) fn set_eof_undetectable(&self) {
        if !self.eof_undetectable.replace(true) {
            self.disconnect.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;
