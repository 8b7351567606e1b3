//! A Thrift proxy on the engine: [`ThriftFrontend`] reads clients' calls, [`ThriftUpstream`] sends them to servers, and
//! [`Settings`] assigns each method its request class and parameters.
//!
//! A call is forwarded as the client's bytes with a new sequence id. It is transcoded if clients and servers use different
//! protocols. Only the fields that the settings name are decoded.

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
