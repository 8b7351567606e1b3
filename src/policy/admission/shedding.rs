//! Evidence of load: what attempts meet, where nothing else tells what servers can still take.

use crate::interface::{AttemptEnded, ClassId, Outcome, Time};
use crate::policy::market::{EXCESS, OVERDUE};
use crate::state::Balancer;

const SHED: f64 = 1.0; // load met by a blind node's attempts above which a class's arrivals are shed
const SHED_STEP: f64 = 1.0; // e-folds of what is let in, per s and unit of excess load: damped up to 1.5 s
const SHED_TIME: f64 = 0.5; // s that one attempt speaks for, at most
pub(super) const SHED_MOST: f64 = 0.98; // the rest goes on asking whether servers are well again
const SHED_LEAST: f64 = 0.005; // part below which arrivals that grow are taken for as many more to let in
const RECOVER: f64 = 4.0; // s in which shedding drifts back by itself, with room and where nothing is sent

/// Takes in the load that an attempt met, where nothing else tells it.
pub(crate) fn met(b: &mut Balancer, now: Time, end: &AttemptEnded, class: ClassId, work: Option<f64>) {
    let aim = b.aim(class, work);
    let fresh = |i: &&usize| b.servers[**i].reported == now;
    let load = end.report.and(b.index.get(&end.server)).filter(fresh).and_then(|&i| b.servers[i].load);
    let latency = end.latency.as_secs_f64();
    let load = match end.outcome {
        Outcome::Rejected => Some(1.0 + EXCESS),
        Outcome::TimedOut if latency > OVERDUE * b.latency => Some(1.0 + EXCESS),
        Outcome::Served => Some(load.unwrap_or((latency / aim).min(1.0 + EXCESS))),
        _ => load,
    };
    if let (Some(load), true) = (load, b.blind) {
        weigh(b, now, usize::from(class.0), load);
    }
}

/// Moves the shed part of a class's arrivals by what one attempt met.
fn weigh(b: &mut Balancer, now: Time, class: usize, load: f64) {
    let leader = b.markets[class].leader;
    let m = &mut b.markets[leader];
    let time = (now - m.weighed).as_secs_f64().min(SHED_TIME);
    m.weighed = now;
    m.refused = 1.0 - (1.0 - m.refused) * (-SHED_STEP * time * (load - SHED)).exp();
    m.refused = m.refused.clamp(0.0, SHED_MOST);
}

/// The shed part of a placement's arrivals now. While any is shed and servers have no room as many are let
/// in as before, however many come: who was turned away comes again. With room, or no news, it drifts back.
pub(super) fn shed(b: &mut Balancer, now: Time, leader: usize, dt: f64) -> f64 {
    let rate: f64 = b.markets.iter_mut().filter(|m| m.leader == leader).map(|m| m.arrivals.young(now)).sum();
    let (room, m) = (b.mean_load < super::SPARE[0], &mut b.markets[leader]);
    let before = std::mem::replace(&mut m.rate, rate);
    if m.refused > SHED_LEAST && rate > 0.0 && (rate < before || !room) {
        m.refused = (1.0 - (1.0 - m.refused) * before / rate).clamp(0.0, SHED_MOST);
    }
    if room || (now - m.weighed).as_secs_f64() > SHED_TIME {
        m.refused *= 1.0 - dt.min(1.0) / RECOVER;
    }
    m.refused
}
