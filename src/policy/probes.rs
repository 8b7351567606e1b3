//! Probes: a few servers, drawn by share, are asked for their load before one is chosen.

use super::estimate::estimate;
use super::{admission, attempts, cold, market};
use crate::interface::{Action, Outcome, Probed, RequestId, ServerState, Time};
use crate::state::Balancer;

const PROBES: usize = 5; // for one request: each adds to the chance of an idle server, and to the bill
const MISLED: f64 = 1.0; // mean works by which answers come later than told, from which reports mislead ...
const FEWEST: usize = 2; // ... and so few are compared: by old news the best of many is the same for all
const FRESH: f64 = 0.3; // latencies for which a probe's answer, own sends since counted in, needs no other
const PROBE_WAIT: f64 = 4.0; // usual probes' times for which answers are waited for

/// Probes a few servers drawn by share; few of them cold, lest the best-of draw rush one. What was heard
/// a moment ago, or is being asked already, is not asked again.
pub(crate) fn ask(b: &mut Balancer, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
    let wait = PROBE_WAIT * b.probe_latency;
    let most = if b.surprise > MISLED * b.mean_work { FEWEST } else { PROBES };
    for k in 0..most {
        let Some(i) = attempts::draw(b, now, id, k >= cold::PROBES) else { break };
        let s = &mut b.servers[i];
        let Some(r) = b.requests.get_mut(&id) else { break };
        let fresh = s.held.filter(|_| (now - s.heard).as_secs_f64() < FRESH * b.latency);
        r.asked.push((s.id, fresh));
        if fresh.is_none() && s.probing.is_none_or(|at| (now - at).as_secs_f64() >= wait) {
            s.probing = Some(now);
            actions.push(Action::Probe { server: s.id });
        }
    }
    let Some(r) = b.requests.get(&id).filter(|r| !r.asked.is_empty()) else {
        attempts::finish(b, id, actions);
        return false;
    };
    if r.asked.iter().all(|a| a.1.is_some()) {
        choose(b, now, id, true, actions);
        return true;
    }
    let wait = wait.min((r.ends - now).as_secs_f64());
    let timer = b.set_timer(now, wait, actions);
    b.choosing.push((id, timer));
    true
}

pub(crate) fn probed(b: &mut Balancer, now: Time, p: &Probed, actions: &mut Vec<Action>) {
    let mut load = f64::INFINITY;
    if let Some(&i) = b.index.get(&p.server) {
        b.servers[i].probing = None;
    }
    match p.outcome {
        Outcome::Served => {
            b.probe_latency += (p.latency.as_secs_f64() - b.probe_latency) / 32.0;
            let report = p.report.unwrap_or_default();
            market::report(b, now, p.server, &report);
            load = report.held.or(report.busy).filter(|h| h.is_finite() && *h >= 0.0).unwrap_or(load);
            if let (Some(&i), true) = (b.index.get(&p.server), load.is_finite()) {
                (b.servers[i].held, b.servers[i].heard) = (Some(load), now);
            }
        }
        Outcome::NotSent => {} // The node's own shortage says nothing of the server.
        outcome => market::failed(b, now, p.server, outcome),
    }
    for k in (0..b.choosing.len()).rev() {
        let id = b.choosing[k].0;
        let Some(r) = b.requests.get_mut(&id) else { continue };
        if let Some(a) = r.asked.iter_mut().find(|a| a.0 == p.server && a.1.is_none()) {
            a.1 = Some(load);
            choose(b, now, id, false, actions);
        }
    }
}

/// Sends to the best of the servers asked, once all have answered or the wait is over.
pub(crate) fn choose(b: &mut Balancer, now: Time, id: RequestId, late: bool, actions: &mut Vec<Action>) {
    let Some(r) = b.requests.get_mut(&id) else { return };
    if !late && r.asked.iter().any(|a| a.1.is_none()) {
        return;
    }
    let asked = std::mem::take(&mut r.asked);
    let (work, class, left) = (r.work.unwrap_or(b.mean_work), r.class, r.ends - now);
    b.choosing.retain(|c| c.0 != id);
    // Other requests of this node may have gone there since.
    let answers = asked.iter().filter_map(|a| {
        let (load, &i) = (a.1.filter(|l| l.is_finite())?, b.index.get(&a.0)?);
        Some((b.servers[i].held.unwrap_or(load), i))
    });
    let Some(r) = b.requests.get(&id) else { return };
    let (aim, again) = (b.aim(class, Some(work)), attempts::more(b, r, 1));
    let elapsed = (now - r.arrived).as_secs_f64();
    let best = answers
        .filter(|found| b.servers[found.1].state == ServerState::Ready)
        .map(|(held, i)| (estimate(b, now, r, &b.servers[i], held), i))
        .min_by(|x, y| x.0.cost(work, aim, again).total_cmp(&y.0.cost(work, aim, again)));
    let server = match best {
        // What would be answered too late only takes room from work that can still be in time.
        Some((e, _)) if e.in_time(work, aim - elapsed) < admission::least_chance(b) => None,
        Some((_, i)) => Some(i),
        None => attempts::draw(b, now, id, false),
    };
    attempts::send(b, now, id, server.filter(|_| !left.is_zero()), actions);
}

#[cfg(test)]
#[path = "tests/probes.rs"]
mod tests;
