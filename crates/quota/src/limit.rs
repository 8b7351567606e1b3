//! What an operator limits, and what holds where no grant can be had.

/// How a limit counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measure {
    /// Requests a second, and so many at once after a while without any.
    Rate {
        /// Requests a second, for the fleet.
        per_s: f64,
        /// At once, for the fleet.
        burst: f64,
    },
    /// Requests that have not ended.
    InFlight {
        /// For the fleet.
        most: u32,
    },
}

/// What a node does without a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenCut {
    /// It lets nothing in.
    Strict,
    /// It uses its part of the fleet as last agreed.
    Share,
    /// It lets everything in.
    Open,
}

/// Whose requests are counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    /// One tenant's, by its place among the settings' tenants; all where there is none.
    pub tenant: Option<u16>,
    /// One class's, likewise.
    pub class: Option<u8>,
}

impl Scope {
    /// Whether a request counts.
    pub fn matches(&self, tenant: u16, class: u8) -> bool {
        self.tenant.is_none_or(|t| t == tenant) && self.class.is_none_or(|c| c == class)
    }
}

/// One limit of the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// What operators call it.
    pub name: String,
    /// Whose requests are counted.
    pub scope: Scope,
    /// How.
    pub measure: Measure,
    /// What holds without a grant.
    pub when_cut: WhenCut,
    /// Over its name and all that has to be the same on every node.
    pub id: u64,
}
