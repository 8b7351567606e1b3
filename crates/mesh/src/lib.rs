//! TCP between the nodes of a fleet: who is asked answers, who is told something newer forgets what was older.
//!
//! ```text
//!   parts      ask / tell / serve ............................ Mesh (mesh.rs)
//!   peers      one task each: what waits for it, its one connection ... line/{mod,reach,talk,queue}.rs
//!   sockets    listen.rs takes, line/reach.rs dials; greeting.rs, frame.rs say what goes over them
//! ```
//!
//! It claims, and `tests.rs` and the node's tests with processes check:
//!
//! - **One connection a pair**, also when both dial at once: that of the lesser member stands.
//! - **A peer holds up its own task alone**, whatever it does: it reads a byte a second, stops in the middle of a frame, stands still.
//! - **Nothing is dropped in silence but what is replaced anyway**: a newer word of a topic takes the older one's place, and whoever asks is
//!   told by his deadline that no answer came. A question may be heard twice when a connection broke: whoever serves it bears that.
//! - **What a peer may cost is bounded**: [`MAX_QUEUED_REQUESTS`] questions, [`MAX_TOPICS`] words, two frames of [`MAX_FRAME_BYTES`] bytes and one descriptor.
//!
//! It knows nothing of what it carries. Times are those of [`Clock`].

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod clock;
mod frame;
mod greeting;
mod leased_service;
mod line;
mod listen;
mod membership;
mod mesh;
mod reports;
mod settings;
#[cfg(test)]
mod tests;

pub use clock::{Clock, Time};
pub use frame::MAX_FRAME_BYTES;
pub use leased_service::{LeadershipTerm, LeasedService, TermHandler};
pub use line::queue::{MAX_QUEUED_REQUESTS, MAX_TOPICS};
pub use membership::{Member, MembershipView, ProcessId};
pub use mesh::{
    Counters, Identity, Mesh, MeshError, RequestError, RequestHandler, ResponseFuture, TopicHandler,
};
pub use reports::{report_periodically, ReportSettings, ReportStep};
pub use settings::{MeshSettings, MeshTable};
