//! Stand-ins for everything round a node, on loopback: what a newcomer sees run, and what tests break.
//!
//! Two ways to stand in:
//!
//! - [`scripted`]: neighbours played byte by byte, for a test of one moment.
//! - a modelled fleet: [`server`]s whose work, queue, cold start and freezes come from the laboratory's
//!   [model](birchswitch_lab::model), a [`registry`] that
//!   speaks the platform's discovery, [`client`]s with deadlines and retries, and a fault [`script`] that says what
//!   goes wrong and when. [`fleet`] puts them round real nodes and keeps [`book`] of all that was asked, run and
//!   answered.
//!
//! A model takes time as an argument and does no I/O; the shells round it are thin. Randomness comes from one seed.

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
