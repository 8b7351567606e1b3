//! Outlier detection for a zone of nodes: from the evidence of all its nodes to a list of ejected servers.
//!
//! ```text
//!   attempt outcomes ── window (node's thread) ── report ──> leader ── detector (one node of the zone: a lease and its token)
//!   decisions <── active ejections (node's thread) <── list ────┘      wilson, evidence, detection, recovery: plain functions
//! ```
//!
//! Guarantees, which tests check:
//!
//! - **No single node ejects a server**: the report with the most evidence against a server is left out, and at least two others have to show
//!   the same.
//! - **Failures at all servers alike eject none**: a server is ejected for failing more than the others did, at the same nodes in the same
//!   seconds.
//! - **An ejected server keeps a trickle**, which grows in steps once its outcomes are good.
//! - **Each node by itself ignores** lists older than `ttl` by its own clock, counted from before its request; versions lower than one that it
//!   has seen; and ejections beyond the configured fraction of its servers, whoever sent them.
//!
//! `docs/design/verdicts.md` has the derivations.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod active;
mod detection;
mod detector;
mod evidence;
mod leader;
mod message;
mod outcomes;
mod recovery;
mod settings;
pub mod wilson;

pub use active::ActiveEjections;
pub use detection::{detect_outliers, Safeguards, VerdictSettings};
pub use detector::Detector;
pub use evidence::OutlierKind;
pub use leader::{Leader, LANE};
pub use message::{Ejection, EjectionList, Report};
pub use outcomes::{AttemptCounts, AttemptObservation, OutcomeWindow};
pub use recovery::EjectionRecord;
pub use settings::VerdictTable;
