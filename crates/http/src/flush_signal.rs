//! Tells a streamed body when what it gave to hyper has been written to the socket.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// Holds a streamed body back until what it gave to hyper before has been written, so that hyper's write buffer holds
/// one part of it at a time.
#[derive(Debug, Default)]
pub struct FlushSignal {
    unwritten: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl FlushSignal {
    /// Records that hyper was given something to write.
    pub fn set_unwritten(&self) {
        self.unwritten.set(true);
    }

    /// Records that hyper has nothing left to write.
    pub fn flushed(&self) {
        if self.unwritten.replace(false) {
            self.waker.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Whether hyper has nothing left to write.
    pub fn is_flushed(&self) -> bool {
        !self.unwritten.get()
    }

    /// Waits until hyper has nothing left to write.
    pub fn poll_flushed(&self, cx: &Context) -> Poll<()> {
        if !self.unwritten.get() {
            return Poll::Ready(());
        }
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}
