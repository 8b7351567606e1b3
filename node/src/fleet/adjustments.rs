//! Merges the fleet's ejections and tuned weights of servers, and passes them to the hosts. They reach the engine by no other path.

use birchswitch_host::{Host, NamedServerAdjustment, Upstream};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Accepts adjustments of servers.
trait AdjustmentTarget {
    fn apply(&self, adjustments: &[NamedServerAdjustment]);
}

impl<U: Upstream> AdjustmentTarget for Host<U> {
    fn apply(&self, adjustments: &[NamedServerAdjustment]) {
        Host::set_server_adjustments(self, adjustments);
    }
}

/// Adjustments of servers that apply to all registered hosts.
#[derive(Default)]
pub struct ServerAdjustments {
    hosts: RefCell<Vec<Rc<dyn AdjustmentTarget>>>,
    share_limits: RefCell<Vec<(u64, f64)>>,
    weights: RefCell<Vec<(u64, f64, f64)>>,
}

impl ServerAdjustments {
    /// Registers a host for later adjustments.
    pub fn add_host<U: Upstream>(&self, host: &Rc<Host<U>>) {
        self.hosts.borrow_mut().push(host.clone());
    }

    /// Sets the share limits of ejected servers by name. All other servers are unlimited.
    pub fn set_ejections(&self, share_limits: Vec<(u64, f64)>) {
        if *self.share_limits.borrow() != share_limits {
            tracing::info!(target: "verdict", kind = "obeys", servers = share_limits.len());
            *self.share_limits.borrow_mut() = share_limits;
            self.publish();
        }
    }

    /// Whether a server is ejected now.
    pub fn is_ejected(&self, name: u64) -> bool {
        self.share_limits.borrow().iter().any(|(other, _)| *other == name)
    }

    /// Sets the servers' weight factors and the confidence in each. Without them nodes rely on their own estimates.
    pub fn set_weights(&self, weights: Vec<(u64, f64, f64)>) {
        if *self.weights.borrow() != weights {
            *self.weights.borrow_mut() = weights;
            self.publish();
        }
    }

    fn publish(&self) {
        let neutral =
            |name| NamedServerAdjustment { name, share_limit: 1.0, weight_factor: 1.0, confidence: 0.0 };
        let mut merged: BTreeMap<u64, NamedServerAdjustment> = BTreeMap::new();
        for (name, share_limit) in self.share_limits.borrow().iter() {
            merged.entry(*name).or_insert_with(|| neutral(*name)).share_limit = *share_limit;
        }
        for (name, weight, confidence) in self.weights.borrow().iter() {
            let adjustment = merged.entry(*name).or_insert_with(|| neutral(*name));
            (adjustment.weight_factor, adjustment.confidence) = (*weight, *confidence);
        }
        let merged: Vec<NamedServerAdjustment> = merged.into_values().collect();
        self.hosts.borrow().iter().for_each(|host| host.apply(&merged));
    }
}
