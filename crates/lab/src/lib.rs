//! A laboratory of decisions: any number of nodes among modelled servers, in virtual time and without sockets.
//!
//! A [`scenario`] says, as data, what servers, clients and faults there are. The [`world`] plays it: each node is a real
//! [`birchswitch_engine::Engine`] round whatever decides, each server a [`model::ServerModel`], the network a delay. Whatever
//! decides, [`policy`] names it: birchswitch's own decisions, a peer from the literature, or an oracle that sees what no
//! node sees. All of them meet the same arrivals, work and faults. The [`book`] says what came of it: worth answered in
//! time, what became of the rest and why, and which rules were broken.
//!
//! [`members`] plays fleets of members in the same way: who holds whom for alive, through faults of processes and network.
//!
//! The same scenario, size, seed and policy give the same run to the last event.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod agenda;
pub mod allowed;
pub mod book;
mod hall;
pub mod leases;
pub mod members;
pub mod model;
pub mod policy;
pub mod rng;
pub mod scenario;
pub mod world;
