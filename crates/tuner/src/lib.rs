//! Weights of servers that lower the whole fleet's tail under each server's capacity.
//!
//! ```text
//!   attempts' ends ── sketch (node's thread) ── report ──> tuner (one node of the fleet: a lease, number = token)
//!   decisions' ζ <── faded by degrees <── weights ───────┘   curve (fit) ── solve ── step ── guard: plain functions
//! ```
//!
//! What is minimised is the part of all requests that take longer than a threshold, the fleet's own percentile of late: less of that is a
//! lower percentile. Each server's part is fitted against its load, rising; the parts are equal at the margin in the best split, found by
//! bisection; a step goes a small way there; and where the tail is surely worse after it than before any, all of it is taken back at once.
//!
//! It claims, and tests check: weights carry a number and an end; no node obeys a lower one or one beyond its end, and none jumps; no step
//! moves a server's load by more than the trust region; a wrong fit is taken back within the stated number of looks.

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
