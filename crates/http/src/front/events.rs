//! What happened to connections and requests, counted by reason and summarized in the log once a second.

use std::cell::{Cell, RefCell};
use std::fmt::Write;

/// Maximum number of characters of a request's id in the log.
const MAX_ID: usize = 64;

/// Why a connection was closed, or a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// A connection made room for another client.
    Evicted,
    /// A connection was silent, or its head, body or answer did not progress.
    TimedOut,
    /// A malformed request.
    Malformed,
    /// The id is open, or its request may still be running.
    DuplicateId,
    /// There is no memory for the request.
    NoMemory,
    /// The client left before its request was sent.
    ClientLeft,
    /// The rest of a large body did not come, or its server read it too slowly.
    UploadAbandoned,
    /// Refused: a retry is harmless.
    Refused,
    /// Failed: the request may have run.
    Failed,
    /// An answer was cut off after it had begun.
    AnswerCutOff,
}

impl Reason {
    const ALL: [(Reason, &'static str); 10] = [
        (Reason::Evicted, "evicted"),
        (Reason::TimedOut, "timed out"),
        (Reason::Malformed, "malformed"),
        (Reason::DuplicateId, "duplicate id"),
        (Reason::NoMemory, "no memory"),
        (Reason::ClientLeft, "client left"),
        (Reason::UploadAbandoned, "upload abandoned"),
        (Reason::Refused, "refused"),
        (Reason::Failed, "failed"),
        (Reason::AnswerCutOff, "answer cut off"),
    ];
}

/// Counts events by reason since the last summary.
#[derive(Debug, Default)]
pub(super) struct EventSummary {
    counts: [Cell<u64>; Reason::ALL.len()],
    /// The latest id of each reason.
    ids: RefCell<[String; Reason::ALL.len()]>,
}

impl EventSummary {
    /// Counts an event of a request with this id, or of a connection without one.
    pub(super) fn record(&self, reason: Reason, id: &[u8]) {
        let index = reason as usize;
        self.counts[index].set(self.counts[index].get() + 1);
        let id = String::from_utf8_lossy(id).escape_default().take(MAX_ID).collect();
        self.ids.borrow_mut()[index] = id;
    }

    /// Returns the counts since the last call, each with the latest id. `None` if nothing happened.
    pub(super) fn take(&self) -> Option<String> {
        let mut text = String::new();
        for (reason, name) in Reason::ALL {
            let count = self.counts[reason as usize].take();
            let id = std::mem::take(&mut self.ids.borrow_mut()[reason as usize]);
            if count > 0 {
                let separator = if text.is_empty() { "" } else { ", " };
                let latest = if id.is_empty() { String::new() } else { format!(" (latest {id})") };
                let _ = write!(text, "{separator}{name} {count}{latest}");
            }
        }
        (!text.is_empty()).then_some(text)
    }
}

#[cfg(test)]
mod tests;
