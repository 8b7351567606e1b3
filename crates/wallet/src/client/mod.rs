//! A node's side of the accounts: what its requests may spend, and the task that renews it.

pub mod allotments;
pub mod renewal;
