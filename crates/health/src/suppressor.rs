//! Every node's side: whom it found silent, which of its own questions are spared, and whom to ask once it is said to be back.

use crate::{ShortId, Time, MAX_SUPPRESSION};
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::Duration;

/// A server that this node found silent is reported again after this time, for as long as nobody tells of it.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

struct SilentServer {
    /// When this node last looked by itself: asked, or met that silence.
    last_checked: Time,
    last_report: Option<Time>,
}

/// What this node met at servers, and what it was told of them.
#[derive(Default)]
pub struct ProbeSuppressor {
    /// Whose last sign was silence.
    silent: FxHashMap<u64, SilentServer>,
    reported: FxHashSet<ShortId>,
}

impl ProbeSuppressor {
    /// From now on just these are told of as silent. Returns servers of which that was told and is no more, and whose last sign to this
    /// node was silence: one question of its own to each shows it whether they are back.
    pub fn update_silent(&mut self, silent: impl Iterator<Item = ShortId>) -> Vec<u64> {
        let previous = std::mem::replace(&mut self.reported, silent.collect());
        let no_longer_reported =
            |n: &u64| previous.contains(&ShortId::of(*n)) && !self.reported.contains(&ShortId::of(*n));
        let mut recovered: Vec<u64> = self.silent.keys().copied().filter(no_longer_reported).collect();
        recovered.sort_unstable();
        recovered
    }

    /// From now on there are just these servers, by the hashes of their names.
    pub fn retain_listed(&mut self, names: &FxHashSet<u64>) {
        self.silent.retain(|name, _| names.contains(name));
    }

    /// An attempt or a question of this node's own ended: the server said something, or nothing came. True: this is to be
    /// reported.
    pub fn record_outcome(&mut self, now: Time, name: u64, answered: bool) -> bool {
        if answered {
            // Of those that answer nothing need be kept.
            self.silent.remove(&name);
            return false;
        }
        let reported = self.reported.contains(&ShortId::of(name));
        let server = self.silent.entry(name).or_insert(SilentServer { last_checked: now, last_report: None });
        server.last_checked = now;
        if reported || server.last_report.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return false;
        }
        server.last_report = Some(now);
        true
    }

    /// Whether a question to a server is spared. If not it goes out now.
    pub fn should_suppress(&mut self, now: Time, name: u64) -> bool {
        let Some(server) = self.silent.get_mut(&name) else { return false };
        if now < server.last_checked + MAX_SUPPRESSION && self.reported.contains(&ShortId::of(name)) {
            return true;
        }
        server.last_checked = now;
        false
    }
}
