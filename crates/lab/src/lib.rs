//! A simulator for load-balancing decisions: any number of nodes and modelled servers, in virtual time and without sockets.
//!
//! A [`scenario`] describes servers, clients and faults as data. The [`world`] runs it: each node is a real
//! [`birchswitch_engine::Engine`] with a policy, each server a [`model::ServerModel`], the network a delay. The
//! [`policy`] is birchswitch's own, a peer from the literature, or an oracle with information that no node has. All of
//! them receive the same arrivals, work and faults. [`stats`] holds the results: worth answered in time, the causes
//! of losses, and rule violations.
//!
//! [`members`] simulates membership in the same way, [`leases`] the election of lease holders, and [`fleet_limit`] a
//! fleet-wide limit.
//!
//! The same scenario, size, seed and policy give the same run to the last event.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod event_queue;
pub mod fleet_limit;
pub mod leases;
pub mod members;
pub mod model;
pub mod policy;
mod pool;
pub mod rng;
pub mod scenario;
pub mod stats;
pub mod world;
