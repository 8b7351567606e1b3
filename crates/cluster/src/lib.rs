//! Cluster membership and failure detection, from the point of view of one node. No I/O, no clock
//! and no global state.
//!
//! The protocol is based on SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips,
//! Currey 2017): randomized probing in rounds, indirect probes through relays, suspicions that
//! their subject refutes with a higher incarnation, updates piggybacked on probes, and a local
//! health score that makes a node doubt itself before it doubts others. [`Core::handle`] takes the
//! current time and an [`Event`] and appends [`Action`]s; [`Core::next_wake`] tells when
//! [`Event::Wake`] is due. The same core runs in a node, in the laboratory's virtual time and in
//! tests.
//!
//! Guarantees, each with a checker (`docs/design/cluster.md`):
//!
//! 1. **A death needs more than one witness.** A node declares another one dead only after its own
//!    probes have stayed unanswered for [`Settings::suspicion`], each failure confirmed by a relay
//!    that got no answer either, and after as many witnesses as [`Settings::witnesses`] requires
//!    for the fleet's size have reported the same.
//! 2. **A node's own silence is never evidence.** A node that receives nothing, was paused, or is
//!    itself suspected declares nobody dead.
//! 3. **A living node does not stay dead.** A node that learns of its own death refutes it, and
//!    dead members are still probed from time to time.
//! 4. **One process per name.** Of two processes under one name, the one that started earlier
//!    yields; other members see a single change.
//! 5. **Constant load**: datagrams per second depend on the settings, not on the number of members.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod core;
mod exchange;
mod local_health;
mod member;
mod probing;
pub mod ring;
mod settings;
mod table;
mod update_queue;
pub mod wire;

pub use crate::core::{Action, Change, Core, Counts, Event, LocalEvent, Standing};
pub use crate::member::{
    fingerprint, Generation, MemberId, Record, State, Topic, Value, MAX_RECORD_BYTES, MAX_VALUES_BYTES,
};
pub use crate::settings::{Settings, SettingsError};
pub use crate::table::Member;

/// A point in time on a monotonic clock that the caller provides, relative to any origin.
pub type Time = std::time::Duration;
