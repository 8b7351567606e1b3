//! Who of a fleet's nodes is alive, as each of them sees it. No I/O, no clock, no globals.
//!
//! On the ideas of SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2017): random probing in rounds, probes
//! through third nodes, suspicion that its subject refutes by a higher incarnation, news that rides on probes, and doubt of
//! oneself before others. [`Core::handle`] takes the time and an [`Event`] and appends [`Action`]s; [`Core::next_wake`] says when
//! [`Event::Wake`] is due. The same core runs in a node, in the laboratory's virtual time and in tests.
//!
//! What it claims, each with a checker (`docs/design/cluster.md`):
//!
//! 1. **A death rests on more than one word.** A node declares another dead only after its own probes stayed unanswered for
//!    [`Settings::suspicion`], each confirmed by a third node that tried and heard nothing either, and after as many witnesses
//!    as [`Settings::witnesses`] asks of the fleet's size have said the same.
//! 2. **No verdict from one's own silence.** A node that hears nobody, was paused, or is itself suspected condemns nobody.
//! 3. **A living node is never dead for good.** Whoever hears of its own death refutes it; the dead are asked now and then.
//! 4. **One process a name.** Of two under one name the one that started earlier yields; others see one change.
//! 5. **Load flat in fleet size**: datagrams a second depend on the settings, not on the number of members.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod core;
mod exchange;
mod fitness;
mod member;
mod news;
pub mod ring;
mod rounds;
mod settings;
mod table;
pub mod wire;

pub use crate::core::{Action, Change, Core, Counts, Event, LocalEvent, Standing};
pub use crate::member::{
    fingerprint, Generation, MemberId, Record, State, Topic, Value, RECORD_MOST, VALUES_MOST,
};
pub use crate::settings::{Settings, SettingsError};
pub use crate::table::Member;

/// A point on a monotonic clock of the caller's, from any origin.
pub type Time = std::time::Duration;
