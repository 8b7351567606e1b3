//! Load balancing decisions of a reverse proxy.
//!
//! Each node keeps a price per server, which moves by a projected dual step on reported load, and draws servers
//! by the shares that maximise concave utility, weighted by speed, less price. The crate does no I/O, reads no
//! clock, starts no threads and has no global state: the node passes in [`Event`]s with its own time and carries
//! out the resulting [`Action`]s. Equal settings, seed and events give equal actions.
//!
//! ```
//! use std::time::Duration;
//! use finchvale::*;
//!
//! let second = Duration::from_secs(1);
//! let settings = Settings {
//!     nodes: 1,
//!     node_index: None,
//!     prices: Prices::default(),
//!     zone: ZoneId(0),
//!     zones: 1,
//!     classes: vec![Class {
//!         effect: Effect::Safe,
//!         aim: second,
//!         aim_stretch: 0.0,
//!         deadline: 2 * second,
//!         worth: 1.0,
//!         late_worth: 0.0,
//!         streamed: false,
//!         zones: None,
//!         kinds: None,
//!     }],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     worth_by_work: false,
//!     use_listed_weights: false,
//!     reports: Reports::WithAnswers,
//!     reports_rate: true,
//!     subscribe_to_lists: false,
//!     max_attempts: 3,
//!     may_cancel: true,
//!     may_probe: false,
//!     second_copies: false,
//!     conn_idle: 60 * second,
//!     connect_timeout: second / 4,
//!     max_retry_after: None,
//!     rules: Rules {
//!         drain_grace: second,
//!         cold_from: 0.2,
//!         warm_up: 20 * second,
//!         fall_multiple: 3.0,
//!         fall_time: second,
//!         list_poll_interval: 10 * second,
//!     },
//! };
//! let mut balancer = Balancer::new(settings, 42, Time(0))?;
//! let mut actions = Vec::new();
//! let entry = ServerEntry {
//!     server: ServerId(7),
//!     name: 7,
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     cell: CellId(0),
//!     state: ServerState::Ready,
//!     weight: 1.0,
//!     started: None,
//! };
//! balancer.handle(Time(1), Event::List { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//! let arrival = Arrival {
//!     request: RequestId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     remaining: second,
//!     work: None,
//!     body_complete: true,
//! };
//! balancer.handle(Time(2), Event::Arrival(arrival), &mut actions);
//! assert!(matches!(actions[..], [Action::Send { server: ServerId(7), .. }]));
//! # Ok::<(), SettingsError>(())
//! ```

#![forbid(unsafe_code)]
#![deny(missing_docs)]

#[cfg(test)]
extern crate self as finchvale;

mod interface;
mod policy;
mod state;

pub use interface::*;
pub use state::Balancer;
