//! Which servers there are.
//!
//! - [`list`]: a list of servers as discovery writes it.
//! - [`framing`]: the objects in a stream of bytes.
//! - [`Directory`]: turns lists into the decisions' terms and says what became of each server. No I/O.
//! - [`Discovery`]: follows the platform's discovery and hands on what it says.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod directory;
mod discovery;
pub mod framing;
pub mod list;

pub use directory::{Directory, Target, Update};
pub use discovery::{Discovery, DiscoveryEvent, DiscoveryTimeouts, WatchError};
