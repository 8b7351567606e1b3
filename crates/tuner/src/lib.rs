//! Weights of servers that lower the tail latency of the whole fleet, within each server's capacity.
//!
//! ```text
//!   attempt outcomes ── sketches (node's thread) ── report ──> leader (one node of the fleet: a lease and its token)
//!   decisions' ζ <── applied weights, faded <── weights ─────┘   curve (fit) ── split ── tuner ── regression guard: plain functions
//! ```
//!
//! The tuner minimises the fraction of all requests that take longer than a threshold, which is the fleet's recent percentile: a lower
//! fraction means a lower percentile. Each server's fraction is fitted as a rising function of its load. In the best split the marginal
//! costs are equal; it is found by bisection. Each step moves the weights a small way towards it. If the tail is worse with weights than
//! without, all weights are withdrawn at once.
//!
//! Guarantees, which tests check: weights carry a version and expire; no node applies a stale version; weights are phased out once they
//! expire, and none jumps; no step moves a server's load by more than the trust region; a wrong fit is rolled back within the documented
//! number of intervals.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod curve;
mod leader;
mod message;
mod regression;
mod session;
mod settings;
mod sketch;
mod split;
mod tuner;
mod weights;

pub use curve::{fit, LoadCurve, LoadSample};
pub use leader::{serve, LANE, TASK};
pub use message::{Report, Weight, WeightList};
pub use regression::{GuardResult, RegressionGuard};
pub use session::{TuningSession, TuningStep};
pub use settings::TunerTable;
pub use sketch::{LatencySketch, ServerSketches};
pub use split::optimal_split;
pub use tuner::{Tuner, TunerSettings};
pub use weights::AppliedWeights;
