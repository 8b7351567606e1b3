//! Stand-ins for what surrounds a node, on loopback, for the demonstration and for tests that inject faults.
//!
//! There are two kinds:
//!
//! - [`scripted`]: peers that a test drives byte by byte.
//! - a modelled fleet: [`server`]s whose work, queue, cold start and freezes follow the laboratory's
//!   [model](birchswitch_lab::model), a [`registry`] that speaks the platform's discovery protocol, [`client`]s with
//!   deadlines and retries, and a fault [`script`] that says what fails and when. [`fleet`] runs them with real nodes
//!   and records in [`results`] what was requested, run and answered.
//!
//! [`rig`] runs many processes of the real node and injects faults into the processes and the network between them.
//!
//! The model takes time as an argument and does no I/O. All randomness is derived from one seed.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod client;
pub mod cost;
pub mod fleet;
pub mod process;
pub mod registry;
pub mod results;
pub mod rig;
pub mod script;
pub mod scripted;
pub mod server;
pub mod site;
