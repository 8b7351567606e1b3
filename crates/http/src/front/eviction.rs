//! Which connections make room when a new one waits and all slots are taken.
//!
//! A request whose last byte has arrived is owed its answer, and a client that makes progress keeps its connection.
//! What remains is ordered by how little is lost.

use birchswitch_host::input_progress::Lag;
use std::time::Duration;

/// What a connection is doing that may have to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// Nothing was received yet, since this time.
    New(Duration),
    /// It waits for the next request, since this time.
    Idle(Duration),
    /// A head is being received, since this time.
    Head(Duration),
    /// More of a body is awaited.
    Body(Lag),
}

/// Order of eviction: the first variant goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    /// Nothing is owed by either side.
    NothingOwed,
    IncompleteHead,
    LaggingBody,
}

/// Kept connections stay for this long even when slots are needed.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// What was sent right after connecting needs a moment to arrive.
const EVICT_NEW_AFTER: Duration = Duration::from_millis(10);
/// A head is small: one that takes longer was stopped.
const EVICT_HEAD_AFTER: Duration = Duration::from_millis(200);

impl Activity {
    /// Returns the priority, if the connection may be evicted at all, and the time for which it has been unproductive.
    fn priority(self) -> Option<(Priority, Duration)> {
        let (priority, age, evictable) = match self {
            Activity::New(age) => (Priority::NothingOwed, age, age >= EVICT_NEW_AFTER),
            Activity::Idle(age) => (Priority::NothingOwed, age, age >= EVICT_IDLE_AFTER),
            Activity::Head(age) => (Priority::IncompleteHead, age, age >= EVICT_HEAD_AFTER),
            Activity::Body(lag) => (Priority::LaggingBody, lag.behind, lag.is_excessive()),
        };
        evictable.then_some((priority, age))
    }
}

/// Returns which of the connections to evict, at most `count`, in this order.
pub(super) fn select<T>(connections: impl Iterator<Item = (T, Activity)>, count: usize) -> Vec<T> {
    let mut evictable: Vec<_> = connections
        .filter_map(|(connection, activity)| {
            let (priority, age) = activity.priority()?;
            Some((priority, std::cmp::Reverse(age), connection))
        })
        .collect();
    evictable.sort_by_key(|(priority, age, _)| (*priority, *age));
    evictable.into_iter().take(count).map(|(_, _, connection)| connection).collect()
}

#[cfg(test)]
mod tests;
