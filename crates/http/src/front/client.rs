//! One client's connection: where it stands, what is owed on it, and what its gate may read.

use crate::gate::{self, Guard, Head, Next, Problem, Reading};
use birchswitch_host::socket::{self, is_open_and_idle};
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection may wait this long for its first request, and a head may take as long; for the first one both count from
/// the connecting. A client that sends nothing useful is owed a word or a close within 3 s of it.
const FIRST: Duration = Duration::from_millis(2500);
/// A client that takes nothing more of an answer for so long is given up.
const TAKING: Duration = Duration::from_secs(10);
/// A connection may wait this long for its next request ...
const IDLE: Duration = Duration::from_secs(5);
/// ... and at least this long, even where places are needed.
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// One that has said nothing so far has less of a claim, but what was sent with the connecting needs a moment to come.
const FIRST_LEAST: Duration = Duration::from_millis(10);
/// So has one that has begun a head.
const HEAD_LEAST: Duration = Duration::from_millis(200);

/// A request that takes the place of one that was turned down, in the row of answers on its connection. No client can
/// send one of this method.
pub(super) const TURNED_DOWN: &str = "TURNED-DOWN";

/// One connection.
pub(super) struct Client {
    pub(super) socket: Rc<TcpStream>,
    stage: Cell<Stage>,
    since: Cell<Instant>,
    /// Why the head under way is turned down, once it is.
    pub(super) problem: Cell<Option<Problem>>,
    /// Tells the connection's task that its stage has changed.
    pub(super) wake: Notify,
    /// Whole requests that were read, and answers that were handed over whole.
    requests: Cell<u64>,
    answers: Cell<u64>,
    /// When the last byte of the latest whole request came.
    last_byte: Cell<Option<Instant>>,
    /// Bytes behind the request in hand that were read already.
    ahead: Cell<usize>,
    /// The gate does not read on, so that it can't see the connection's end.
    unread: Cell<bool>,
    /// It is to close, and nothing had come of a further request when that was decided: where it stood, and since when.
    silent_before: Cell<Option<(Stage, Instant)>>,
    /// The client has ended its sending.
    gone: Cell<bool>,
    leaving: Notify,
    /// The latest answer said that it is the connection's last.
    last: Cell<bool>,
    /// The node ends: nothing that comes from now on is read.
    finishing: Cell<bool>,
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Nothing has come yet.
    New,
    /// A head has begun: since the connecting on the first request, since its first bytes on others.
    Head,
    /// The head under way took too long.
    Late,
    /// A request is in hand.
    Busy,
    /// An answer is passed on as it comes; `since` tells when some of it was last taken.
    Passing,
    /// It waits for the next request.
    Idle,
    /// It is to close.
    Leaving,
}

impl Client {
    pub(super) fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(Client {
            socket: Rc::new(stream),
            stage: Cell::new(Stage::New),
            since: Cell::new(Instant::now()),
            problem: Cell::new(None),
            wake: Notify::new(),
            requests: Cell::new(0),
            answers: Cell::new(0),
            last_byte: Cell::new(None),
            ahead: Cell::new(0),
            unread: Cell::new(false),
            silent_before: Cell::new(None),
            gone: Cell::new(false),
            leaving: Notify::new(),
            last: Cell::new(false),
            finishing: Cell::new(false),
        })
    }

    pub(super) fn stage(&self) -> Stage {
        self.stage.get()
    }

    pub(super) fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
    }

    /// When it entered its stage, or last took some of an answer.
    pub(super) fn since(&self) -> Instant {
        self.since.get()
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since.get())
    }

    /// Some of the answer under way was taken.
    pub(super) fn took(&self) {
        if self.stage.get() == Stage::Passing {
            self.since.set(Instant::now());
        }
    }

    /// An answer was handed over whole, or nobody wants the rest.
    pub(super) fn answered(&self) {
        self.answers.set(self.answers.get() + 1);
        if matches!(self.stage.get(), Stage::Busy | Stage::Passing) {
            self.enter(Stage::Idle);
        }
        self.wake.notify_one();
    }

    /// The latest answer tells the client to close: nothing more is read.
    pub(super) fn set_last(&self) {
        self.last.set(true);
    }

    /// Whether the latest answer tells the client to close.
    pub(super) fn is_last(&self) -> bool {
        self.last.get()
    }

    /// Whether more was read than the request in hand: closing would lose it.
    pub(super) fn more_is_owed(&self) -> bool {
        self.ahead.get() > 0
    }

    /// Whether nothing is owed on it and nothing has come on it.
    pub(super) fn rests(&self) -> bool {
        self.stage.get() == Stage::Idle && !self.more_is_owed() && is_open_and_idle(&self.socket)
    }

    /// Whether it may be closed for others that need its place.
    pub(super) fn in_the_way(&self) -> bool {
        let least = match self.stage.get() {
            Stage::New => FIRST_LEAST,
            Stage::Head | Stage::Late => HEAD_LEAST,
            Stage::Idle => IDLE_LEAST,
            Stage::Busy | Stage::Passing | Stage::Leaving => return false,
        };
        self.age(Instant::now()) >= least && is_open_and_idle(&self.socket)
    }

    /// Has the connection closed.
    pub(super) fn leave(&self) {
        let stage = self.stage.get();
        let silent = matches!(stage, Stage::New | Stage::Idle);
        self.silent_before.set(silent.then(|| (stage, self.since.get())));
        self.enter(Stage::Leaving);
        self.wake.notify_one();
    }

    /// Whether it is to close now. Something may have come since that was decided: then it stays, and is served.
    pub(super) fn closes(&self) -> bool {
        if self.stage.get() != Stage::Leaving {
            return false;
        }
        if let Some((stage, since)) = self.silent_before.get().filter(|_| !is_open_and_idle(&self.socket)) {
            self.stage.set(stage);
            self.since.set(since);
            return false;
        }
        true
    }

    /// Ends what has taken too long.
    pub(super) fn sweep(&self, now: Instant) {
        let age = self.age(now);
        match self.stage.get() {
            // Never one on which a request has come that was not read yet.
            Stage::New if age >= FIRST && is_open_and_idle(&self.socket) => self.leave(),
            Stage::Passing if age >= TAKING => self.leave(),
            Stage::Idle if age >= IDLE && is_open_and_idle(&self.socket) => self.leave(),
            Stage::Head if age >= FIRST => {
                self.stage.set(Stage::Late);
                self.wake.notify_one();
            }
            _ => {}
        }
    }

    /// The node ends. From here on nothing is read that has not been read before: a head of which some has come is turned
    /// down, and what has come whole is still answered.
    pub(super) fn finish(&self) {
        self.finishing.set(true);
        self.wake.notify_one();
    }

    /// When the last byte of the request that was just read came, if its gate knows.
    pub(super) fn take_last_byte(&self) -> Option<Instant> {
        self.last_byte.take()
    }

    /// Whether the client has ended its sending, as far as is known at once.
    pub(super) async fn has_gone(&self) -> bool {
        self.gone.get() || socket::is_read_closed(&self.socket).await
    }

    /// Waits until the client has ended its sending.
    pub(super) async fn left(&self) {
        while !self.gone.get() {
            tokio::select! {
                () = self.leaving.notified() => {}
                () = socket::wait_read_closed(&self.socket), if self.unread.get() => return,
            }
        }
    }

    /// From now on its gate can't see the connection's end by reading.
    pub(super) fn set_unread(&self) {
        if !self.unread.replace(true) {
            self.leaving.notify_one();
        }
    }
}

impl Guard for Rc<Client> {
    const BETWEEN: Next = Next::Head;

    fn head(&self, bytes: &[u8]) -> Result<Option<Head>, Problem> {
        gate::request_head(bytes)
    }

    fn turn_down(&self, problem: Problem) -> std::io::Result<&'static [u8]> {
        self.problem.set(Some(problem));
        Ok(b"TURNED-DOWN / HTTP/1.1\r\n\r\n")
    }

    fn begun(&self) -> Result<(), Problem> {
        match self.stage.get() {
            Stage::New => self.stage.set(Stage::Head),
            Stage::Idle => self.enter(Stage::Head),
            // It had said nothing, and does in the moment in which it is to close.
            Stage::Leaving if self.silent_before.get().is_some() => self.enter(Stage::Head),
            Stage::Late => return Err((StatusCode::REQUEST_TIMEOUT, "the head took too long")),
            Stage::Head | Stage::Busy | Stage::Passing | Stage::Leaving => {}
        }
        Ok(())
    }

    fn reading(&self) -> Reading {
        let in_hand = self.requests.get() > self.answers.get();
        match in_hand {
            _ if self.last.get() => Reading::Stopped,
            true if self.finishing.get() => Reading::Stopped,
            true => Reading::Ahead,
            false if self.finishing.get() => Reading::Held,
            false => Reading::Through,
        }
    }

    fn whole(&self, came: Instant) {
        self.requests.set(self.requests.get() + 1);
        self.last_byte.set(Some(came));
    }

    fn ahead(&self, bytes: usize) {
        self.ahead.set(bytes);
    }

    fn unread(&self) {
        self.set_unread();
    }

    fn ended(&self) {
        self.gone.set(true);
        self.leaving.notify_one();
    }
}

#[cfg(test)]
mod tests;
