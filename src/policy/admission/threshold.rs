//! Tolls: which requests are worth a place where not all get one.

use crate::interface::{ClassId, TenantId, Time};
use crate::state::Balancer;

const WORTHS: usize = 64; // recent arrivals whose worths set the toll

/// Sets the toll that turns away the part of recent arrivals that shares leave without a place.
pub(super) fn clear(b: &mut Balancer, class: usize, refused: f64) {
    let m = &mut b.markets[class];
    let (mut low, mut high) = (0.0, 2.0 * m.worths.iter().map(|w| w.0).fold(0.0, f64::max));
    let all: f64 = m.worths.iter().map(|w| w.1).sum();
    while refused > 1e-3 && high - low > 1e-3 * high {
        let toll = (low + high) / 2.0;
        let turned: f64 = m.worths.iter().map(|(worth, work)| work * (toll / worth.max(1e-9)).min(1.0)).sum();
        *(if turned < refused * all { &mut low } else { &mut high }) = toll;
    }
    m.toll = if refused > 1e-3 { high } else { 0.0 };
}

/// Worth of a request at its tenant's present rate, for each unit of what it takes, and that.
pub(super) fn worth(b: &mut Balancer, now: Time, class: ClassId, tenant: TenantId) -> (f64, f64) {
    let mut worth = b.settings.classes[usize::from(class.0)].worth;
    if let Some(rate) = b.tenants.get_mut(usize::from(tenant.0)) {
        let rate = rate.add(now, 1.0) * f64::from(b.settings.nodes);
        let within = (b.settings.tenants[usize::from(tenant.0)].quota_per_s / rate).min(1.0);
        worth *= within + (1.0 - within) * b.settings.over_share_worth;
    }
    // Where a request's worth does not go by its work, what it takes is what its class's do.
    let m = &b.markets[usize::from(class.0)];
    let takes = match b.settings.worth_by_work {
        true => 1.0,
        false if m.work > 0.0 => m.work,
        false => b.latency,
    };
    let (worth, leader) = ((worth / takes, takes), m.leader);
    b.markets[leader].note_worth(worth, WORTHS);
    worth
}
