//! How far a request has been written to a server's connection.

use crate::flush_signal::FlushSignal;
use birchswitch_host::delivery;
use birchswitch_host::socket::discard_unsent;
use std::cell::Cell;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How much of the current request has been written to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Nothing yet.
    NotStarted,
    /// Some bytes, and hyper has more.
    Partial,
    /// Everything that hyper had to write.
    Complete,
}

/// Watches a connection's socket and what is written to it.
#[derive(Clone)]
pub struct SendMonitor {
    /// Weak, so that the socket closes when its driver ends.
    socket: Weak<TcpStream>,
    progress: Rc<Cell<Progress>>,
    /// Holds a streamed request back until what was sent of it is written.
    pub flush: Rc<FlushSignal>,
}

impl SendMonitor {
    /// Watches a connection to which nothing has been written.
    pub fn new(socket: &Rc<TcpStream>) -> Self {
        SendMonitor {
            socket: Rc::downgrade(socket),
            progress: Rc::new(Cell::new(Progress::NotStarted)),
            flush: Rc::default(),
        }
    }

    /// The socket, while the connection is open.
    pub fn socket(&self) -> Option<Rc<TcpStream>> {
        self.socket.upgrade()
    }

    /// Starts with a new request.
    pub fn reset(&self) {
        self.flush.flushed();
        self.progress.set(Progress::NotStarted);
    }

    /// Records that bytes were written; `all`: hyper has nothing left to write.
    pub fn written(&self, all: bool) {
        if all {
            self.flush.flushed();
        }
        match (all, self.progress.get()) {
            (false, _) => self.progress.set(Progress::Partial),
            (true, Progress::Partial) => self.progress.set(Progress::Complete),
            (true, Progress::NotStarted | Progress::Complete) => {}
        }
    }

    /// Whether everything that hyper had of the request was written.
    pub fn is_written(&self) -> bool {
        self.progress.get() == Progress::Complete
    }

    /// Waits until `complete_by`, and returns then if the server's machine has not received everything that was
    /// written.
    pub async fn undelivered(&self, complete_by: Instant) {
        match self.socket() {
            Some(socket) => delivery::undelivered(&socket, complete_by).await,
            None => std::future::pending().await,
        }
    }

    /// Makes the close of the connection discard what the server's machine has not received.
    pub fn discard_unsent(&self) {
        self.socket().iter().for_each(|socket| discard_unsent(socket));
    }
}
