//! Every node's side: which servers it found silent, which of its own probes are suppressed, and
//! which servers to probe once they are no longer reported.

use crate::{ShortId, Time, MAX_SUPPRESSION};
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::Duration;

/// A server that this node found silent is reported again after this time, for as long as no report
/// contains it.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

struct SilentServer {
    /// When this node last probed the server itself or observed its silence.
    last_checked: Time,
    last_report: Option<Time>,
}

/// What this node observed about servers, and what was reported to it.
#[derive(Default)]
pub struct ProbeSuppressor {
    /// Servers that were silent when this node last contacted them.
    silent: FxHashMap<u64, SilentServer>,
    reported: FxHashSet<ShortId>,
}

impl ProbeSuppressor {
    /// Replaces the set of servers reported as silent. Returns servers that are no longer reported
    /// and were silent when this node last contacted them: a single probe of its own to each shows
    /// whether they have recovered.
    pub fn update_silent(&mut self, silent: impl Iterator<Item = ShortId>) -> Vec<u64> {
        let previous = std::mem::replace(&mut self.reported, silent.collect());
        let no_longer_reported =
            |n: &u64| previous.contains(&ShortId::of(*n)) && !self.reported.contains(&ShortId::of(*n));
        let mut recovered: Vec<u64> = self.silent.keys().copied().filter(no_longer_reported).collect();
        recovered.sort_unstable();
        recovered
    }

    /// Replaces the list of servers, given by the hashes of their names.
    pub fn retain_listed(&mut self, names: &FxHashSet<u64>) {
        self.silent.retain(|name, _| names.contains(name));
    }

    /// Records the outcome of an attempt or probe of this node's own: whether the server sent
    /// anything. Returns true if the server has to be reported as silent.
    pub fn record_outcome(&mut self, now: Time, name: u64, answered: bool) -> bool {
        if answered {
            // Nothing needs to be kept about servers that answer.
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

    /// Whether a probe of a server is suppressed. If not, it is sent now.
    pub fn should_suppress(&mut self, now: Time, name: u64) -> bool {
        let Some(server) = self.silent.get_mut(&name) else { return false };
        if now < server.last_checked + MAX_SUPPRESSION && self.reported.contains(&ShortId::of(name)) {
            return true;
        }
        server.last_checked = now;
        false
    }
}
