//! Peers that a test drives byte by byte, and the node under test as a process of its own.
//!
//! [`Peer`] listens in place of a server or the registry, [`Connection`] is a connection to or from the node, and
//! [`Node`] is its process. All waits are for events, the system chooses all ports, and a test that waits in vain
//! panics with the name of what did not arrive.

mod connection;
mod node;

pub use connection::*;
pub use node::*;
