//! What the frontend does about the process's memory: it has it checked as connections and requests come, and logs each
//! change of level with what holds memory at that moment.

use super::client::State;
use super::HttpFrontend;
use birchswitch_memory::MemoryLevel;
use std::fmt;

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
