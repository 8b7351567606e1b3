//! Prepaid accounts of a fleet: each tenant's balance is debited by all nodes, and its traffic pauses when it runs out.
//!
//! ```text
//!   a request ── reserve, settle ── LocalAllotments: the node's thread (client/allotments.rs)
//!                                     │ report        ▲ allotments
//!   client/renewal ───────────────────┴── renewal ──> leader ── account: allocator, entries (plain functions)
//!   (each node)                       <── response ──   │ entries, committed before the response
//!                                                   ledger: a log on the disks of 3 or 5 nodes, one writer by lease and token
//! ```
//!
//! Guarantees, whatever fails:
//!
//! - **Never is more spent than was prepaid and agreed as overdraft.** A node spends from allotments that were committed to a majority's
//!   disks before, and an allotment counts against the balance until its node has reported what became of it, or an operator has
//!   settled it.
//! - **A request is debited once**, however many attempts it takes. A request with an idempotency key is debited once within its
//!   window, also if its client sent it to two nodes: reports carry the keys' hashes, and the ledger refunds the second debit.
//! - **A payment is credited once**, however often it is sent.
//! - **At every moment** topped up = balance + outstanding + spent + in doubt, by construction ([`Account::balance`]).
//!
//! `docs/design/wallet.md` derives how soon all nodes pause and resume. `tests/` check the ledger, the node's tests processes.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod account;
mod client;
mod leader;
mod ledger;
mod message;
mod price;
mod settings;

pub use account::allocator::{Allocator, AllocatorSettings};
pub use account::{Account, AccountTerms, Allotment, AllotmentReport, Entry, KeyDebit, LedgerState, Report};
pub use client::allotments::{LocalAllotments, RejectionReason, Reservation};
pub use client::renewal::{renew_allotments, send_command, RenewalStep};
pub use leader::{Leader, LeaderSettings, LeadershipTerm, LANE, TASK};
pub use ledger::replica::{serve_replica, Replica};
pub use ledger::store::{Head, Store, StoreError};
pub use ledger::{Record, LEDGER_LANE};
pub use message::{AccountGrant, AdminCommand, Demand, RenewalRequest, RenewalResponse, Request, Response};
pub use price::Prices;
pub use settings::{LedgerTable, WalletSettings, WalletTable};
