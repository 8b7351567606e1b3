//! HTTP/1.1 for the engine: [`HttpFrontend`] receives requests from clients and [`HttpUpstream`] sends them to servers.
//! Between each socket and hyper, a gate validates message heads and lets one message through at a time.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod body;
mod flush_signal;
mod front;
mod gate;
mod send_monitor;
mod upstream;

pub use body::BufferBudget;
pub use front::{HttpFrontend, ShutdownPhase};
pub use upstream::{HttpUpstream, UpstreamLimits};
