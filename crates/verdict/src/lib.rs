//! Verdicts on servers that hold for a zone of nodes: evidence in, how open each server stays out.
//!
//! ```text
//!   attempts' ends ── tally (node's thread) ── report ──> judge (one node a zone: a lease, number = token)
//!   decisions <── obey (node's thread) <── word ─────────┘   wilson, judge, ration: plain functions
//! ```
//!
//! It claims, and tests check:
//!
//! - **No node's word alone condemns**: what the node says that tells most against a server is left out, and those left have to be two
//!   at least and still tell against it.
//! - **What breaks everywhere is no verdict**: a server is condemned for failing more than others did, at the same nodes in the same seconds.
//! - **A server always gets a trickle**, and more of it by and by once what the trickle meets is sound.
//! - **Each node holds by itself** to: nothing older than `ttl`, by its own clock from before it asked; no number after a higher one; no
//!   more servers withheld than the stated part of its list, whoever says so.
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
