//! Leases for fleet-wide tasks, granted by a majority of diskless voters. No I/O, no clock and no
//! global state.
//!
//! Based on PaxosLease (Trencséni, Gazsó, Reinhardt 2012), extended for voters without disks: a
//! restarted voter abstains until everything that it may have granted before has expired. [`Voter`]
//! and [`Candidate`] take the current time and an input, and append what has to be sent and what
//! changed. The same code runs in a node, under the model checker and in simulated fleets.
//!
//! Guarantees, each with a checker (`docs/design/lease.md`):
//!
//! 1. **At most one holder** of a [`Key`] at any time, despite loss, delay, duplication, pauses,
//!    crashes and restarts without state of any number of processes, provided that clock rates
//!    deviate from true time by no more than [`Terms::drift`]. Wall-clock times do not matter.
//! 2. **Tokens increase** over all grants of a key. If a majority of voters loses its memory at
//!    once, this also requires that the floor a voter starts with ([`Voter::new`]) is above every
//!    earlier token.
//! 3. **A guard ends before its lease** ([`Grant::guard`]), whatever the process was doing in
//!    between.
//! 4. **Bounded memory**: keys, waiting candidates and names are limited, and whatever exceeds a
//!    limit is refused.
//!
//! Leases do not depend on membership: an electorate is a list of addresses, each used by one
//! process at a time.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod candidate;
mod message;
mod slots;
mod tasks;
mod terms;
mod voter;

pub use candidate::{Action, Candidate, Grant, Refusal};
pub use message::{
    Ballot, CandidateId, Key, KeyError, Message, Op, Reply, Request, Response, MAX_NAME_BYTES,
};
pub use slots::SlotRotation;
pub use tasks::{task_id, Decision, Peer, Preference, TakeoverDelays, Task};
pub use terms::{Safeguards, Terms, TermsError};
pub use voter::Voter;

/// A point in time on a monotonic clock that the caller provides, relative to any origin.
pub type Time = std::time::Duration;
