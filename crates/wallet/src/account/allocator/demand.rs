//! What all processes need of one account, and the share of each, which is worked out now and then and not for every renewal.

use crate::account::targets::{targets, AccountTerms, NodeDemand};
use birchswitch_mesh::{ProcessId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Shares are worked out again when they are older than this: the shortest time between two renewals of a process.
const MAX_AGE: Duration = Duration::from_millis(20);

/// See the module's documentation.
#[derive(Debug, Default)]
pub(super) struct AccountDemand {
    /// What each process needs, and when it told.
    by_process: BTreeMap<ProcessId, (Time, NodeDemand)>,
    shares: Option<Shares>,
}

/// What processes should hold.
#[derive(Debug)]
struct Shares {
    computed: Time,
    targets: BTreeMap<ProcessId, u64>,
    /// Units that processes lack to their targets.
    lacking: u64,
}

/// What one process should hold, and what it needs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Units that it should hold.
    pub target: u64,
    /// Its demand.
    pub demand: NodeDemand,
    /// Units that all processes lack to their targets.
    pub lacking: u64,
}

impl AccountDemand {
    /// Takes what a process needs in the place of what it needed.
    pub(super) fn note(&mut self, who: ProcessId, now: Time, demand: NodeDemand) {
        self.by_process.insert(who, (now, demand));
    }

    /// A process needs nothing any more.
    pub(super) fn forget(&mut self, who: &ProcessId) {
        self.by_process.remove(who);
    }

    /// Whether no process needs anything.
    pub(super) fn is_empty(&self) -> bool {
        self.by_process.is_empty()
    }

    /// A process's share of what there is: `free` units, and those that processes hold which were heard within `ttl`.
    pub(super) fn share(
        &mut self,
        terms: &AccountTerms,
        free: u64,
        (now, ttl): (Time, Duration),
        who: &ProcessId,
    ) -> Share {
        let demand = self.by_process.get(who).map_or(NodeDemand::default(), |(_, demand)| *demand);
        let fresh = |shares: &Shares| now < shares.computed + MAX_AGE && shares.targets.contains_key(who);
        let shares = match self.shares.take().filter(fresh) {
            Some(shares) => shares,
            None => self.compute(terms, free, (now, ttl)),
        };
        let shares = self.shares.insert(shares);
        Share { target: shares.targets.get(who).copied().unwrap_or(0), demand, lacking: shares.lacking }
    }

    fn compute(&self, terms: &AccountTerms, free: u64, (now, ttl): (Time, Duration)) -> Shares {
        let alive = self.by_process.iter().filter(|(_, (heard, _))| now < *heard + ttl);
        let (processes, demands): (Vec<ProcessId>, Vec<NodeDemand>) =
            alive.map(|(who, (_, demand))| (*who, *demand)).unzip();
        let targets = targets(terms, free, &demands);
        let lacking =
            demands.iter().zip(&targets).map(|(demand, target)| target.saturating_sub(demand.holds));
        let lacking = lacking.fold(0, u64::saturating_add);
        Shares { computed: now, targets: processes.into_iter().zip(targets).collect(), lacking }
    }
}
