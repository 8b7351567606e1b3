//! External ids that may not be submitted again for now.

use finchvale::Time;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// How long after its last byte was sent an attempt of unknown outcome may still be running: its id may not come again.
const UNKNOWN_OUTCOME_TIME: Duration = Duration::from_secs(10);
/// Maximum size in bytes of all ids that are kept for that.
const MAX_KEPT_BYTES: usize = 256 << 10;
/// Memory in bytes that an id needs beside its text.
const ID_OVERHEAD: usize = 64;

/// Ids of tracked requests, and of closed ones of which an attempt may still run.
#[derive(Debug, Default)]
pub(crate) struct OpenIds {
    /// Clients choose these ids, so the set keeps the standard, randomly seeded hasher.
    ids: HashSet<Rc<[u8]>>,
    /// Ids of closed requests, each with the time of its release.
    kept: VecDeque<(Time, Rc<[u8]>)>,
    kept_bytes: usize,
}

impl OpenIds {
    /// Opens an id. Returns `false` if it is open already.
    pub(crate) fn open(&mut self, now: Time, id: Rc<[u8]>) -> bool {
        while self.kept.front().is_some_and(|kept| kept.0 <= now) {
            self.release_oldest();
        }
        self.ids.insert(id)
    }

    /// Releases an id.
    pub(crate) fn release(&mut self, id: &Rc<[u8]>) {
        self.ids.remove(id);
    }

    /// Keeps the id of a closed request of which an attempt that was sent completely at `sent` may still run.
    pub(crate) fn keep_closed(&mut self, id: Rc<[u8]>, sent: Time) {
        self.kept_bytes += id.len() + ID_OVERHEAD;
        self.kept.push_back((sent + UNKNOWN_OUTCOME_TIME, id));
        while self.kept_bytes > MAX_KEPT_BYTES {
            self.release_oldest();
        }
    }

    fn release_oldest(&mut self) {
        if let Some((_, id)) = self.kept.pop_front() {
            self.kept_bytes -= id.len() + ID_OVERHEAD;
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
