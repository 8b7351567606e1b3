//! The simulator's side of finchvale: frames and a table of instances.
//!
//! Nothing here decides anything; each instance owns a [`finchvale::Balancer`] and shares nothing.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod host;
pub mod wire;
