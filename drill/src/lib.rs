//! Adapter between finchvale and the simulator: binary frames and the instances they address.
//!
//! It makes no decisions; each instance owns a [`finchvale::Balancer`] and shares no state.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod host;
pub mod wire;
