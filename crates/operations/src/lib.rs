//! The operators' interface of a running node: a line protocol with one call per connection, answered with one line or
//! with a table.
//!
//! - [`Call`]: parses a line. No I/O.
//! - [`serve`]: the listener. A silent or slow caller does not block others.
//! - [`Bans`]: servers suspended by hand, stored on disk for the next process.
//!
//! A [`CallHandler`] carries out the calls. See `docs/design/operations.md` for the reasons behind the design and
//! `docs/operate/operations.md` for its use.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod bans;
mod call;
mod server;

pub use bans::{BanChange, BanError, Bans};
pub use call::{Call, CallError};
pub use server::{serve, CallHandler, DeferredReply, LeaseSession};
