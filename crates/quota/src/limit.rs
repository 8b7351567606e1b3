//! Limits as an operator configures them.

/// How a limit counts requests. The `Debug` text, with its variants and fields, is hashed into the limit's id, which nodes compare:
/// renaming any of them would stop nodes of different versions from granting each other anything.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measure {
    /// A rate with a burst.
    Rate {
        /// Requests a second of the whole fleet.
        per_s: f64,
        /// Requests at once of the whole fleet, after an idle period.
        burst: f64,
    },
    /// Requests that have not ended.
    InFlight {
        /// The greatest number for the whole fleet.
        most: u32,
    },
}

/// What a node does while it has no grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenCut {
    /// It rejects all requests.
    Strict,
    /// It uses an equal share of the limit, for the fleet size last agreed.
    Share,
    /// It admits all requests.
    Open,
}

/// Which requests a limit counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    /// Index of the tenant in the site's settings; none: all tenants.
    pub tenant: Option<u16>,
    /// Index of the class in the site's settings; none: all classes.
    pub class: Option<u8>,
}

impl Scope {
    /// Whether the limit counts requests of this tenant and class.
    pub fn matches(&self, tenant: u16, class: u8) -> bool {
        self.tenant.is_none_or(|t| t == tenant) && self.class.is_none_or(|c| c == class)
    }
}

/// One limit of the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The operator's name for it.
    pub name: String,
    /// Which requests it counts.
    pub scope: Scope,
    /// How it counts them.
    pub measure: Measure,
    /// What a node does while it has no grant.
    pub when_cut: WhenCut,
    /// A hash of the name and of every setting that must be the same on all nodes.
    pub id: u64,
}
