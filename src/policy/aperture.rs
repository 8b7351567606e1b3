//! The aperture: with which servers a node deals.
//!
//! All nodes see the same ring of servers; each begins at its own part of it and goes round as far as it
//! wants (Finagle's deterministic aperture), so that every server lies in as many apertures as any other.
//! Servers that are closed by their price stand for none, and cold ones for what they may get where few are
//! left: the aperture then reaches further at once, and draws in by degrees.

use super::estimate::{distribution::Prospect, Estimate};
use crate::interface::Reports;
use crate::state::{Balancer, Line};

const NEWS: [f64; 2] = [1.0, 0.5]; // s in which a node hears of each server, without and with probes ...
pub(crate) const LEAST_OPEN: f64 = 5.0; // ... and the fewest that it deals with for a class
const CLOSED: f64 = 0.5; // part of its share below which a server stands for less than one
const MANY: usize = 4; // servers asked together where asking costs nothing, but one
const NARROWING: f64 = 5.0; // s in which an aperture that reached further draws in

/// Cuts a class's servers, in ring order, to those that this node deals with.
pub(crate) fn cut(b: &mut Balancer, class: usize, open: &mut Vec<usize>, lines: &[Line], flow: f64, dt: f64) {
    let narrow = b.blind || b.settings.reports == Reports::ByProbe && !all_worth_asking(b);
    let (all, wanted) = (open.len(), (NEWS[usize::from(!b.blind)] * flow).max(LEAST_OPEN).ceil());
    let m = &mut b.markets[class];
    m.narrow = narrow;
    if !narrow {
        return;
    }
    // What its price leaves of a server's share, beside one that costs what all do: [1/(price + 1/2) - 1].
    let usual = b.going_price.min(b.mean_price);
    let share = |k: usize| 1.0 / (0.5 + (lines[k].price - usual).max(0.0)) - 1.0;
    let (mut fit, mut able) = (0.0, 0.0);
    let enough = |k: &usize| {
        fit += (share(*k) / CLOSED).clamp(0.0, 1.0);
        able += share(*k).min(lines[*k].most).clamp(0.0, 1.0);
        fit > wanted - 1e-9 && able > LEAST_OPEN.min(wanted) - 1e-9
    };
    let needed = open.iter().position(enough).map_or(all, |last| last + 1) as f64;
    m.reach = needed.max(m.reach - (m.reach - needed) * (dt / NARROWING).min(1.0)).min(all as f64);
    open.truncate(m.reach.ceil() as usize);
}

/// Whether one more of many servers would be worth asking if nothing were known of any: then it is no use to
/// know few.
fn all_worth_asking(b: &Balancer) -> bool {
    let (work, aims) = (b.mean_work, b.settings.classes.iter().map(|c| c.aim.as_secs_f64()));
    let aim = aims.fold(f64::MAX, f64::min);
    let usual = b.loads[0].usual().iter().enumerate();
    let usual =
        usual.map(|(held, p)| (Estimate::behind(b, held as f64, work).worth(work, aim, aim, false), *p));
    let one = Prospect::new(usual);
    let many = (1..MANY).fold(one, |many, _| many.or(&one));
    many.or(&one).expected(0.0) - many.expected(0.0) >= b.settings.prices.probe
}

#[cfg(test)]
#[path = "tests/aperture.rs"]
mod tests;
