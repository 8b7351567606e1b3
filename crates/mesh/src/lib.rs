//! TCP messaging between the nodes of a fleet: requests with responses, and topics of which only the latest message counts.
//!
//! ```text
//!   API        request / publish / serve / subscribe ......... Mesh (mesh.rs)
//!   peers      one task each, with its queue and its one connection ... peer/{mod,connect,connection,queue}.rs
//!   sockets    listen.rs accepts, peer/connect.rs dials; handshake.rs and frame.rs define the protocol
//! ```
//!
//! Guarantees, which `tests.rs` and the node's tests with processes check:
//!
//! - **One connection per pair of nodes**, also when both dial at once: the one dialed by the member with the lower id is kept.
//! - **A peer delays only its own task**, whatever it does: reading a byte a second, stopping in the middle of a frame, or hanging.
//! - **Nothing is lost silently except what is superseded**: a newer message of a topic replaces an older one, and a request without a
//!   response fails at its deadline. A request may be delivered twice if its connection broke, so handlers must be idempotent.
//! - **A peer's cost is bounded**: [`MAX_QUEUED_REQUESTS`] requests waiting to be sent and as many waiting for their responses,
//!   [`MAX_TOPICS`] messages, two frames of [`MAX_FRAME_BYTES`] bytes and one file descriptor.
//!
//! Payloads are opaque bytes. Times are those of [`Clock`].

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod clock;
mod frame;
mod handshake;
mod leased_service;
mod listen;
mod membership;
mod mesh;
mod peer;
mod reports;
mod settings;
#[cfg(test)]
mod tests;

pub use clock::{Clock, Time};
pub use frame::MAX_FRAME_BYTES;
pub use leased_service::{LeadershipTerm, LeasedService, TermHandler};
pub use membership::{Member, MembershipView, ProcessId};
pub use mesh::{
    Counters, Identity, Mesh, MeshError, RequestError, RequestHandler, ResponseFuture, TopicHandler,
};
pub use peer::queue::{MAX_QUEUED_REQUESTS, MAX_TOPICS};
pub use reports::{report_periodically, ReportSettings, ReportStep};
pub use settings::{MeshSettings, MeshTable};
