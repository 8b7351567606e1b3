//! Prepaid accounts of a fleet: all nodes debit a tenant's balance, and the tenant's traffic pauses when the balance runs out.
//!
//! ```text
//!   a request ── reserve, settle ── LocalAllotments: the node's thread (client/allotments.rs)
//!                                     │ report        ▲ allotments
//!   client/renewal ───────────────────┴── renewal ──> leader ── account: allocator, entries (plain functions)
//!   (each node)                       <── response ──   │ entries, committed before the response
//!                                                   ledger: a log on the disks of 3 or 5 nodes, one writer by lease and token
//! ```
//!
//! Guarantees, which hold under any failure:
//!
//! - **No more is spent than the prepaid balance and the agreed overdraft.** A node spends only from allotments that were committed to
//!   the disks of a majority before, and an allotment counts against the balance until its node has reported its use, or an operator
//!   has settled it.
//! - **A request is debited once**, however many attempts it takes. A request with an idempotency key is debited once within its
//!   window, even if its client sent it to two nodes: reports carry the keys' hashes, and the ledger refunds the second debit.
//! - **A payment is credited once**, however often it is submitted.
//! - **The accounts always balance:** topped up = balance + outstanding + spent + in doubt, by construction ([`Account::balance`]).
//!
//! `docs/design/wallet.md` derives how soon all nodes pause and resume. The tests in `tests/` cover the ledger, and the node's tests
//! whole processes.

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
