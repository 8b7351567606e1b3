//! Where operators call a running node: one line a connection, answered with one line, or with the figures.
//!
//! - [`Call`]: what a line asks for. No I/O.
//! - [`serve`]: the listener. Whoever is silent or slow is in nobody's way.
//! - [`Bans`]: servers taken out by hand, kept where the next process finds them.
//!
//! What the calls come to is a [`CallHandler`]'s to say. `docs/design/operations.md` has the reasons,
//! `docs/operate/operations.md` how to use it.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod bans;
mod call;
mod desk;

pub use bans::{BanChange, BanError, Bans};
pub use call::{Call, CallError};
pub use desk::{serve, CallHandler, DeferredReply, LeaseSession};
