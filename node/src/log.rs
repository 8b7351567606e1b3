//! The structured log: JSON lines with timestamps of the system's monotonic clock, which all processes of a machine share. Disabled
//! without a `[log]` table. A thread of its own writes the lines from a bounded queue; lines that do not fit are dropped, so that
//! logging never blocks.

use crate::operator::{Log, Sink};
use rustix::time::{clock_gettime, ClockId};
use std::error::Error;
use std::fmt;
use std::fs::OpenOptions;
use std::io::Write;
use tracing_appender::non_blocking::{NonBlocking, WorkerGuard};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

/// Writes timestamps as nanoseconds of CLOCK_MONOTONIC.
struct Monotonic;

impl FormatTime for Monotonic {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        let now = clock_gettime(ClockId::Monotonic);
        write!(writer, "{}", now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64)
    }
}

/// Starts the log. Lines still in the queue are written when the guard is dropped.
pub fn start(log: &Log) -> Result<WorkerGuard, Box<dyn Error>> {
    let sink: Box<dyn Write + Send> = match &log.json {
        Sink::Standard => Box::new(std::io::stderr()),
        Sink::File(path) => {
            let file = OpenOptions::new().create(true).append(true).open(path);
            Box::new(file.map_err(|e| format!("log: cannot open {}: {e}", path.display()))?)
        }
    };
    let (writer, guard) = NonBlocking::new(sink);
    let lines =
        tracing_subscriber::fmt().json().flatten_event(true).with_timer(Monotonic).with_writer(writer);
    tracing::subscriber::set_global_default(lines.finish())?;
    Ok(guard)
}
