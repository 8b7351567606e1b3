//! What the frontend does about the process's memory: it has it checked as connections and requests come, takes on less
//! while it is short, and logs each change of level with what holds memory at that moment.

use super::client::State;
use super::HttpFrontend;
use crate::body::WHOLE_BODY_LIMIT;
use crate::gate::Rejection;
use birchswitch_memory::MemoryLevel;
use hyper::StatusCode;
use std::fmt;

/// The rejection of a request for which there is no memory. None of it was forwarded.
pub(super) const NO_MEMORY: Rejection = (StatusCode::SERVICE_UNAVAILABLE, "too much memory is in use");

/// Whether a request with a body of this length, if it is known, is accepted at this level.
fn accepts(level: MemoryLevel, body_length: Option<u64>) -> bool {
    match level {
        MemoryLevel::Normal | MemoryLevel::Elevated => true,
        MemoryLevel::High => body_length.is_some_and(|length| length <= WHOLE_BODY_LIMIT as u64),
        MemoryLevel::Critical => false,
    }
}

/// Number of client connections by what they are doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ConnectionCounts {
    heads: usize,
    bodies: usize,
    processing: usize,
    streaming: usize,
    idle: usize,
}

impl ConnectionCounts {
    pub(super) fn of(states: impl Iterator<Item = State>) -> Self {
        let mut counts = ConnectionCounts::default();
        for state in states {
            *match state {
                State::ReadingHead | State::HeadTimedOut => &mut counts.heads,
                State::ReadingBody => &mut counts.bodies,
                State::Processing => &mut counts.processing,
                State::Streaming => &mut counts.streaming,
                State::New | State::Idle | State::Closing => &mut counts.idle,
            } += 1;
        }
        counts
    }
}

impl fmt::Display for ConnectionCounts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ConnectionCounts { heads, bodies, processing, streaming, idle } = self;
        write!(
            f,
            "{heads} receive a head, {bodies} a body, {processing} wait for an answer, {streaming} read one, {idle} idle"
        )
    }
}

/// Bytes in MiB, as text.
fn mib(bytes: usize) -> String {
    format!("{:.1}", bytes as f64 / f64::from(1 << 20))
}

impl HttpFrontend {
    /// Has the memory measured, and logs a change of level.
    pub(super) fn check_memory(&self) {
        if let Some(level) = self.memory.check() {
            self.log_memory(level);
        }
    }

    /// Whether there is memory for a request with a body of this length, if it is known.
    pub(super) fn has_memory_for(&self, body_length: Option<u64>) -> bool {
        accepts(self.memory.pressure().level(), body_length)
    }

    /// Whether connections that hold memory without need are to be closed.
    pub(super) fn is_memory_short(&self) -> bool {
        self.memory.pressure().level() >= MemoryLevel::High
    }

    fn log_memory(&self, level: MemoryLevel) {
        let usage = self.memory.usage();
        let connections = ConnectionCounts::of(self.clients.borrow().values().map(|c| c.state()));
        self.host.log(format_args!(
            "memory {}: {} of {} MiB resident, {} allocated, {} reserved for request bodies; connections: {connections}",
            level.name(),
            mib(usage.resident),
            mib(usage.limit),
            usage.allocated.map_or("?".to_owned(), mib),
            mib(self.budget.reserved()),
        ));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn large_bodies_are_refused_first() {
        let (small, large, unknown) = (Some(0), Some(WHOLE_BODY_LIMIT as u64 + 1), None);
        let accepted = |level| [small, large, unknown].map(|length| accepts(level, length));
        assert_eq!(accepted(MemoryLevel::Elevated), [true, true, true]);
        assert_eq!(accepted(MemoryLevel::High), [true, false, false]);
        assert_eq!(accepted(MemoryLevel::Critical), [false, false, false]);
    }

    #[test]
    fn connections_are_counted_by_what_they_do() {
        let states =
            [State::New, State::ReadingHead, State::ReadingBody, State::ReadingBody, State::Streaming];
        let counts = ConnectionCounts::of(states.into_iter());
        assert_eq!(
            counts.to_string(),
            "1 receive a head, 2 a body, 0 wait for an answer, 1 read one, 1 idle"
        );
    }
}
