//! The aperture: the subset of servers that a node sends to.
//!
//! All nodes see the same ring of servers. Each node starts at its own position and takes as many servers as
//! it
//! needs (Finagle's deterministic aperture), so that every server lies in the same number of apertures.
//! Servers
//! closed by their price do not count, and if few others are left, cold servers count for their bounded share
//! only: the aperture then widens at once and narrows gradually.

use super::estimate::{distribution::WorthDistribution, Estimate};
use crate::interface::Reports;
use crate::state::{Balancer, ShareInput};

/// Seconds within which a node should hear from each server of its aperture, without and with probes ...
const CONTACT_INTERVAL: [f64; 2] = [1.0, 0.5];
/// ... and the minimum number of servers per class.
pub(crate) const MIN_APERTURE: f64 = 5.0;
/// Part of its normal share from which a server counts in full.
const COUNTED_SHARE: f64 = 0.5;
/// Number of earlier probes to assume when evaluating whether one more pays off.
const ASSUMED_PROBES: usize = 4;
/// Time constant in seconds with which a widened aperture narrows.
const SHRINK_TIME: f64 = 5.0;

/// Limits a class's servers, in ring order, to the aperture.
pub(crate) fn limit(
    b: &mut Balancer,
    class: usize,
    open: &mut Vec<usize>,
    inputs: &[ShareInput],
    flow: f64,
    dt: f64,
) {
    let aperture_active =
        b.capacity_unknown || b.settings.reports == Reports::ByProbe && !probing_pays_everywhere(b);
    let (all, wanted) =
        (open.len(), (CONTACT_INTERVAL[usize::from(!b.capacity_unknown)] * flow).max(MIN_APERTURE).ceil());
    let m = &mut b.markets[class];
    m.aperture_active = aperture_active;
    if !aperture_active {
        return;
    }
    // The share left by its price, relative to a server with the usual price: [1/(price + 1/2) - 1].
    let usual = b.market_price.min(b.mean_price);
    let share = |k: usize| 1.0 / (0.5 + (inputs[k].price - usual).max(0.0)) - 1.0;
    let (mut full_count, mut bounded_count) = (0.0, 0.0);
    let enough = |k: &usize| {
        full_count += (share(*k) / COUNTED_SHARE).clamp(0.0, 1.0);
        bounded_count += share(*k).min(inputs[*k].max_share).clamp(0.0, 1.0);
        full_count > wanted - 1e-9 && bounded_count > MIN_APERTURE.min(wanted) - 1e-9
    };
    let needed = open.iter().position(enough).map_or(all, |last| last + 1) as f64;
    m.aperture_size = needed
        .max(m.aperture_size - (m.aperture_size - needed) * (dt / SHRINK_TIME).min(1.0))
        .min(all as f64);
    open.truncate(m.aperture_size.ceil() as usize);
}

/// Whether one more probe pays off even after several others, with nothing known of any server. A small
/// aperture has no advantage then.
fn probing_pays_everywhere(b: &Balancer) -> bool {
    let (work, aims) = (b.mean_work, b.settings.classes.iter().map(|c| c.aim.as_secs_f64()));
    let aim = aims.fold(f64::MAX, f64::min);
    let usual = b.loads[0].usual().iter().enumerate();
    let usual =
        usual.map(|(held, p)| (Estimate::queued(b, held as f64, work).worth(work, aim, aim, false), *p));
    let one = WorthDistribution::new(usual);
    let many = (1..ASSUMED_PROBES).fold(one, |many, _| many.max(&one));
    many.max(&one).expected(0.0) - many.expected(0.0) >= b.settings.prices.probe
}

#[cfg(test)]
#[path = "tests/aperture.rs"]
mod tests;
