//! The structured log: JSON lines with the system's monotonic clock, which all processes of a machine share. Off without a `[log]`
//! table. Lines go through a bounded queue to a thread of their own; what does not fit is dropped, so that nobody waits.

use crate::operator::{Log, Sink};
use rustix::time::{clock_gettime, ClockId};
use std::error::Error;
use std::fmt;
use std::fs::OpenOptions;
use std::io::Write;
use tracing_appender::non_blocking::{NonBlocking, WorkerGuard};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

/// Nanoseconds of CLOCK_MONOTONIC.
struct Monotonic;

impl FormatTime for Monotonic {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        let now = clock_gettime(ClockId::Monotonic);
        write!(writer, "{}", now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64)
    }
}

/// Starts it. What is still in the queue when the guard is dropped is written then.
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
