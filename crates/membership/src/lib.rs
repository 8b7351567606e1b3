//! The set of servers: lists, addresses and discovery.
//!
//! - [`list`]: the format of a list of servers.
//! - [`framing`]: splits a byte stream into JSON objects.
//! - [`Directory`]: turns lists into entries for the engine and changes for connection pools. No I/O.
//! - [`Discovery`]: watches the platform's discovery service.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod directory;
mod discovery;
pub mod framing;
pub mod list;

pub use directory::{Directory, Target, Update};
pub use discovery::{Discovery, DiscoveryEvent, DiscoveryTimeouts, WatchError};
