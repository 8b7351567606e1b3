//! Neighbours that a test scripts byte by byte, and the node between them as a process of its own.
//!
//! [`Peer`] listens where a server or discovery would, [`Connection`] is one connection either way, [`Node`] the process.
//! Everything waits for events, ports are the system's choice, and what never comes ends the test with a panic that
//! names it.

mod connection;
mod node;

pub use connection::*;
pub use node::*;
