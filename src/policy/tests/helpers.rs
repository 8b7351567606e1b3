//! Helpers shared by the tests of this module: settings, events, and balancers.

#[path = "../../../tests/common/mod.rs"]
mod common;

use crate::interface::*;
use crate::state::Balancer;
pub(crate) use common::{arrival, at, ended, entry, list, ms, report, restricted_settings, settings};

/// The share of a server for a class.
pub(crate) fn share(b: &Balancer, class: usize, server: u32) -> f64 {
    let k = b.ready.iter().position(|&i| b.servers[i].id == ServerId(server)).expect("ready");
    b.markets[class].shares[k]
}

pub(crate) fn balancer(servers: u32) -> Balancer {
    let mut b = Balancer::new(settings(), 7, at(0)).expect("valid settings");
    b.handle(at(0), list(servers), &mut vec![]);
    b
}

/// Sends one request and returns its server.
pub(crate) fn sent(b: &mut Balancer, now: Time, id: u64) -> Option<ServerId> {
    let mut actions = vec![];
    b.handle(now, arrival(id, 0), &mut actions);
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// A balancer whose reports carry utilization but no rate, so that it cannot measure capacity.
pub(crate) fn capacity_unknown() -> Balancer {
    let settings = Settings { reports_rate: false, ..settings() };
    let mut b = Balancer::new(settings, 7, at(0)).expect("valid settings");
    b.handle(at(0), list(40), &mut vec![]);
    b
}
