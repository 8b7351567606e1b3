//! Leases for tasks of a whole fleet, granted by a majority of voters that have no disks. No I/O, no clock, no globals.
//!
//! On PaxosLease (Trencséni, Gazsó, Reinhardt 2012), with what diskless voters need laid round it: who starts abstains until
//! everything that it may have granted before is over. [`Voter`] and [`Candidate`] take the time and what came, and append what is to
//! be sent and what changed. The same code runs in a node, under the model checker and in simulated fleets.
//!
//! What it claims, each with a checker (`docs/design/lease.md`):
//!
//! 1. **At no moment two hold** the same [`Key`], through loss, delay, doubling, pauses, crashes and starts from nothing of any number
//!    of processes, if clocks run at rates that differ from true time by no more than [`Terms::drift`] says. Times of day don't count.
//! 2. **Tokens rise** over all grants of a key. Across a loss of a majority of voters at once this asks one thing more: that the floor a
//!    voter starts with ([`Voter::new`]) lies above every earlier token.
//! 3. **A guard ends before its lease does** ([`Held::guard`]), whatever the process was doing meanwhile.
//! 4. **Memory is bounded**: keys, waiting candidates and names have limits, and what is over them is refused.
//!
//! Membership is no part of it: an electorate is a list of addresses, each of which belongs to one process at a time.

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

/// A point on a monotonic clock of the caller's, from any origin.
pub type Time = std::time::Duration;
