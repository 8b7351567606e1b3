//! Thrift on the engine: [`ThriftFrontend`] takes clients' calls, [`ThriftUpstream`] makes them on servers, [`Settings`] says
//! what a method is.
//!
//! A call passes as the bytes that the client wrote, under another sequence id and, where clients and servers speak
//! different protocols, transcoded; nothing is decoded but the fields that the settings name.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod decoder;
mod front;
mod settings;
mod upstream;

pub use decoder::MessageDecoder;
pub use front::ThriftFrontend;
pub use settings::{Settings, SettingsError, ThriftSettings};
pub use upstream::{Call, ThriftUpstream};
