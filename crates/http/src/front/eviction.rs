//! Which connections make room when a new one waits and all slots are taken.
//!
//! A request whose last byte has arrived is owed its answer, and a client that makes progress keeps its connection.
//! What remains is ordered by how little is lost.

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
    /// A body is being received.
    Body {
        /// Time since anything of it was received.
        silence: Duration,
        /// It has come more slowly than the minimum rate.
        behind: bool,
        /// The longest pause after which more of it came.
        longest_pause: Duration,
    },
}

/// Order of eviction: the first variant goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    /// Nothing is owed by either side.
    NothingOwed,
    IncompleteHead,
    BodyBehindRate,
    BodyPaused,
}

/// Kept connections stay for this long even when slots are needed.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// What was sent right after connecting needs a moment to arrive.
const EVICT_NEW_AFTER: Duration = Duration::from_millis(10);
/// A head is small: one that takes longer was stopped.
const EVICT_HEAD_AFTER: Duration = Duration::from_millis(200);
/// Silence of a body that is behind the minimum rate.
const EVICT_BEHIND_AFTER: Duration = Duration::from_millis(300);
/// Silence of a body that has kept up with the minimum rate ...
const EVICT_PAUSED_AFTER: Duration = Duration::from_millis(400);
/// ... and at least this many times the longest pause so far: bodies may come in pieces.
const PAUSE_FACTOR: u32 = 2;

impl Activity {
    /// Returns the priority, if the connection may be evicted at all, and the time for which it has been unproductive.
    fn priority(self) -> Option<(Priority, Duration)> {
        let (priority, age, min_age) = match self {
            Activity::New(age) => (Priority::NothingOwed, age, EVICT_NEW_AFTER),
            Activity::Idle(age) => (Priority::NothingOwed, age, EVICT_IDLE_AFTER),
            Activity::Head(age) => (Priority::IncompleteHead, age, EVICT_HEAD_AFTER),
            Activity::Body { silence, behind: true, .. } => {
                (Priority::BodyBehindRate, silence, EVICT_BEHIND_AFTER)
            }
            Activity::Body { silence, behind: false, longest_pause } => {
                (Priority::BodyPaused, silence, EVICT_PAUSED_AFTER.max(longest_pause * PAUSE_FACTOR))
            }
        };
        (age >= min_age).then_some((priority, age))
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
