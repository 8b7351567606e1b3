//! The demand of all processes for one account, and each process's share, which is cached for a short time and not computed for every
//! renewal.

use crate::account::targets::{targets, AccountTerms, NodeDemand};
use birchswitch_mesh::{ProcessId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Shares older than this are computed again: the shortest time between two renewals of a process.
const MAX_AGE: Duration = Duration::from_millis(20);

/// The demand for one account, and the cached shares.
#[derive(Debug, Default)]
pub(super) struct AccountDemand {
    /// Each process's demand, and when it was received.
    by_process: BTreeMap<ProcessId, (Time, NodeDemand)>,
    shares: Option<Shares>,
}

/// The targets of all processes at the time they were computed.
#[derive(Debug)]
struct Shares {
    computed: Time,
    targets: BTreeMap<ProcessId, u64>,
    /// Units that processes lack to reach their targets.
    shortfall: u64,
}

/// One process's target and demand.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Units that the process should hold.
    pub target: u64,
    /// Its demand.
    pub demand: NodeDemand,
    /// Units that all processes together lack to reach their targets.
    pub shortfall: u64,
}

impl AccountDemand {
    /// Replaces a process's demand.
    pub(super) fn update(&mut self, process: ProcessId, now: Time, demand: NodeDemand) {
        self.by_process.insert(process, (now, demand));
    }

    /// Removes a process's demand.
    pub(super) fn forget(&mut self, process: &ProcessId) {
        self.by_process.remove(process);
    }

    /// Whether no process has any demand.
    pub(super) fn is_empty(&self) -> bool {
        self.by_process.is_empty()
    }

    /// A process's share of the pool: the `free` units, and those held by processes that were heard within `ttl`.
    pub(super) fn share(
        &mut self,
        terms: &AccountTerms,
        free: u64,
        (now, ttl): (Time, Duration),
        process: &ProcessId,
    ) -> Share {
        let demand = self.by_process.get(process).map_or(NodeDemand::default(), |(_, demand)| *demand);
        let fresh = |shares: &Shares| now < shares.computed + MAX_AGE && shares.targets.contains_key(process);
        let shares = match self.shares.take().filter(fresh) {
            Some(shares) => shares,
            None => self.compute(terms, free, (now, ttl)),
        };
        let shares = self.shares.insert(shares);
        Share {
            target: shares.targets.get(process).copied().unwrap_or(0),
            demand,
            shortfall: shares.shortfall,
        }
    }

    fn compute(&self, terms: &AccountTerms, free: u64, (now, ttl): (Time, Duration)) -> Shares {
        let alive = self.by_process.iter().filter(|(_, (heard, _))| now < *heard + ttl);
        let (processes, demands): (Vec<ProcessId>, Vec<NodeDemand>) =
            alive.map(|(process, (_, demand))| (*process, *demand)).unzip();
        let targets = targets(terms, free, &demands);
        let shortfall =
            demands.iter().zip(&targets).map(|(demand, target)| target.saturating_sub(demand.holds));
        let shortfall = shortfall.fold(0, u64::saturating_add);
        Shares { computed: now, targets: processes.into_iter().zip(targets).collect(), shortfall }
    }
}
