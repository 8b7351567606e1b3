//! Limits that hold for a whole fleet.
//!
//! ```text
//!   a request    door ── allowance (one each limit) ──────────── the node's thread
//!                  │ counts          ▲ grants
//!   asker     ─────┴── needs ──> keeper ── books ── fair_share      tasks on the mesh
//!   (each node)     <── word ──  (one node: a lease, number = token)
//! ```
//!
//! Each limit is a rate and a capacity ([`Allocation`]): a rate with its burst, or a number in flight. The keeper parts it into grants; a grant
//! ends by its node's own clock, counted from before it asked, and counts as held at the keeper for as long as the slowest clock may take
//! to that. Who has no grant does as the limit's `when_cut` says.
//!
//! It claims for `strict`, whatever fails: **in no window W do servers get more than L·W + B** (in flight: never more than N), as long as
//! clocks are right to the drift, and a request is on its way to its server for no longer than `transit`. `docs/design/limits.md` derives
//! it; `tests/bound.rs` checks it on the plain functions in virtual time, the node's tests on processes, at the servers.
//!
//! What decides is plain functions ([`fair_share`], [`Allocator`], [`LocalQuota`], [`fallback`]); what talks is `keeper.rs` and `asker.rs`.

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
