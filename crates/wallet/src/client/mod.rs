//! A node's side of the accounts: its allotments, and the task that renews them.

pub mod allotments;
pub mod renewal;
