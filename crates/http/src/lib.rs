//! HTTP/1.1 on the engine: [`HttpFrontend`] takes clients' requests, [`HttpUpstream`] sends them to servers, and between
//! each socket and hyper stands a gate that lets through one message at a time.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod body;
mod front;
mod gate;
mod upstream;

pub use body::BufferBudget;
pub use front::{HttpFrontend, ShutdownPhase};
pub use upstream::{HttpUpstream, UpstreamLimits};
