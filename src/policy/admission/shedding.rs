//! Load shedding from the outcomes of attempts, for nodes that cannot tell the servers' remaining capacity.

use crate::interface::{AttemptEnded, ClassId, Outcome, Time};
use crate::policy::market::{EXCESS_LOAD, OVERDUE_LATENCIES};
use crate::state::Balancer;

/// Load, as met by attempts, above which a class's arrivals are shed.
const SHED_FROM: f64 = 1.0;
/// Rate at which the admitted fraction adapts: e-folds per second and unit of excess load. The loop is damped
/// for delays of up to 1.5 s.
const SHED_STEP: f64 = 1.0;
/// Longest time in seconds for which one attempt counts.
const SHED_SAMPLE_TIME: f64 = 0.5;
/// Largest shed fraction; the remaining requests detect when servers have recovered.
pub(super) const MAX_SHED: f64 = 0.98;
/// Shed fraction below which a rise of arrivals is admitted in full.
const MIN_SHED: f64 = 0.005;
/// Time constant in seconds with which shedding decays while servers have spare capacity or no attempts are
/// made.
const SHED_DECAY: f64 = 4.0;

/// Updates load shedding from the load that an attempt met, if nothing else tells it.
pub(crate) fn record_outcome(
    b: &mut Balancer,
    now: Time,
    end: &AttemptEnded,
    class: ClassId,
    work: Option<f64>,
) {
    let aim = b.aim(class, work);
    let fresh = |i: &&usize| b.servers[**i].reported_at == now;
    let load = end.report.and(b.index.get(&end.server)).filter(fresh).and_then(|&i| b.servers[i].load);
    let latency = end.latency.as_secs_f64();
    let load = match end.outcome {
        Outcome::Rejected => Some(1.0 + EXCESS_LOAD),
        Outcome::TimedOut if latency > OVERDUE_LATENCIES * b.latency => Some(1.0 + EXCESS_LOAD),
        Outcome::Served => Some(load.unwrap_or((latency / aim).min(1.0 + EXCESS_LOAD))),
        _ => load,
    };
    if let (Some(load), true) = (load, b.capacity_unknown) {
        update(b, now, usize::from(class.0), load);
    }
}

/// Moves the shed fraction of a class's arrivals according to the load met by one attempt.
fn update(b: &mut Balancer, now: Time, class: usize, load: f64) {
    let representative = b.markets[class].representative;
    let m = &mut b.markets[representative];
    let time = (now - m.shed_updated).as_secs_f64().min(SHED_SAMPLE_TIME);
    m.shed_updated = now;
    m.shed_fraction = 1.0 - (1.0 - m.shed_fraction) * (-SHED_STEP * time * (load - SHED_FROM)).exp();
    m.shed_fraction = m.shed_fraction.clamp(0.0, MAX_SHED);
}

/// Returns the current shed fraction of a placement's arrivals. While some are shed and servers are full, the
/// admitted rate stays constant however many arrive, because rejected clients retry. With spare capacity, or
/// without new information, the fraction decays.
pub(super) fn shed(b: &mut Balancer, now: Time, representative: usize, dt: f64) -> f64 {
    let rate: f64 = b
        .markets
        .iter_mut()
        .filter(|m| m.representative == representative)
        .map(|m| m.arrivals.corrected(now))
        .sum();
    let (has_capacity, m) = (b.mean_load < super::SCARCITY_LOADS[0], &mut b.markets[representative]);
    let before = std::mem::replace(&mut m.arrival_rate, rate);
    if m.shed_fraction > MIN_SHED && rate > 0.0 && (rate < before || !has_capacity) {
        m.shed_fraction = (1.0 - (1.0 - m.shed_fraction) * before / rate).clamp(0.0, MAX_SHED);
    }
    if has_capacity || (now - m.shed_updated).as_secs_f64() > SHED_SAMPLE_TIME {
        m.shed_fraction *= 1.0 - dt.min(1.0) / SHED_DECAY;
    }
    m.shed_fraction
}
