//! Rate limits and concurrency limits that hold for a whole fleet.
//!
//! ```text
//!   a request      limiter ── local quota (one for each limit) ─── the node's thread
//!                  │ counters        ▲ grants
//!   renewal   ─────┴─ request ──> leader ── allocator ── fair share    tasks on the mesh
//!   (each node)    <─ response ── (one node: a lease and its token)
//! ```
//!
//! Each limit is a rate with a burst, or a number of requests in flight ([`Allocation`]). The leader divides it into grants. A grant
//! expires by its node's clock, counted from before the node sent its request, and the leader counts it as held for as long as the slowest
//! clock may take to get there. A node without a grant does what the limit's `when_cut` says.
//!
//! The guarantee of a `strict` limit, whatever fails: **in no window of length W do servers receive more than L·W + B requests** (in
//! flight: never more than N), as long as clocks are right to within the drift and a request takes no longer than `transit` to reach its
//! server.
//! `docs/design/limits.md` derives it. `tests/bound.rs` checks it on the plain functions in virtual time, and the node's tests check it on
//! processes, by what the servers receive.
//!
//! The decisions are functions without I/O ([`fair_share`], [`Allocator`], [`LocalQuota`], [`fallback`]). `leader.rs` and `renewal.rs` do
//! the I/O.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod allocation;
mod allocator;
pub mod bound;
mod demand;
pub mod fair_share;
pub mod fallback;
mod leader;
mod limit;
mod limiter;
mod local_quota;
mod message;
mod renewal;
mod settings;
mod timing;

pub use allocation::Allocation;
pub use allocator::Allocator;
pub use demand::{Counters, DemandEstimator};
pub use leader::{Leader, LANE, TASK};
pub use limit::{Limit, Measure, Scope, WhenCut};
pub use limiter::{Limiter, Permit, Rejection};
pub use local_quota::{Grant, LocalQuota};
pub use message::{DemandAtWorth, HeldGrant, IssuedGrant, LimitRequest, RenewalRequest, RenewalResponse};
pub use renewal::{renew_grants, GrantUpdate};
pub use settings::{LimitTable, QuotaSettings, QuotaTable};
pub use timing::{QuotaTiming, Safeguards};
