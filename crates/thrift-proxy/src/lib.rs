//! Thrift on the engine: [`Front`] takes clients' calls, [`ThriftUpstream`] makes them on servers, [`Settings`] says
//! what a method is.
//!
//! A call passes as the bytes that the client wrote, under another sequence id and, where clients and servers speak
//! different protocols, transcoded; nothing is decoded but the fields that the settings name.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod front;
mod messages;
mod settings;
mod upstream;

pub use front::Front;
pub use messages::Messages;
pub use settings::{Compiled, Settings, SettingsError};
pub use upstream::{Call, ThriftUpstream};
