//! The admission threshold: which requests are served when there is not enough capacity for all.

use crate::interface::{ClassId, TenantId, Time};
use crate::state::Balancer;

/// Number of recent arrivals whose worth determines the threshold.
const RECENT_WORTHS: usize = 64;

/// Sets the threshold that rejects the given fraction of the work of recent arrivals.
pub(super) fn set(b: &mut Balancer, class: usize, shed_fraction: f64) {
    let m = &mut b.markets[class];
    let (mut low, mut high) = (0.0, 2.0 * m.worths.iter().map(|w| w.0).fold(0.0, f64::max));
    let all: f64 = m.worths.iter().map(|w| w.1).sum();
    while shed_fraction > 1e-3 && high - low > 1e-3 * high {
        let threshold = (low + high) / 2.0;
        let rejected: f64 =
            m.worths.iter().map(|(worth, work)| work * (threshold / worth.max(1e-9)).min(1.0)).sum();
        *(if rejected < shed_fraction * all { &mut low } else { &mut high }) = threshold;
    }
    m.threshold = if shed_fraction > 1e-3 { high } else { 0.0 };
}

/// The worth of a request per unit of expected work at its tenant's current rate, and that work.
pub(super) fn worth(b: &mut Balancer, now: Time, class: ClassId, tenant: TenantId) -> (f64, f64) {
    let mut worth = b.settings.classes[usize::from(class.0)].worth;
    if let Some(rate) = b.tenants.get_mut(usize::from(tenant.0)) {
        let rate = rate.add(now, 1.0) * f64::from(b.settings.nodes);
        let within = (b.settings.tenants[usize::from(tenant.0)].quota_per_s / rate).min(1.0);
        worth *= within + (1.0 - within) * b.settings.over_share_worth;
    }
    // If worth is counted per request, the expected work is the mean of its class.
    let m = &b.markets[usize::from(class.0)];
    let expected_work = match b.settings.worth_by_work {
        true => 1.0,
        false if m.work > 0.0 => m.work,
        false => b.latency,
    };
    let (worth, representative) = ((worth / expected_work, expected_work), m.representative);
    b.markets[representative].record_worth(worth, RECENT_WORTHS);
    worth
}
