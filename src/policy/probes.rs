//! Power of a few choices: candidates are drawn by share, some of them are probed, and the best one is
//! chosen.
//!
//! The load known of a server, from probes and answers, remains valid with a probability that decays with its
//! age (`estimate::staleness`). This gives each candidate a distribution of the worth that a request would
//! have
//! there. A probe is worth the increase of the expected maximum over the candidates, and servers are probed
//! while this exceeds the price of a probe (Weitzman 1979, "Optimal search for the best alternative", in the
//! variant where a candidate may be chosen without inspection).

use super::estimate::{distribution::WorthDistribution, estimator, FRESH_REPORT};
use super::{admission, attempts, cold, market};
use crate::interface::{Action, Outcome, ProbeEnded, Refusal, RequestId, ServerState, Time};
use crate::state::{Balancer, ProbeState, Request};

/// Candidates compared for a request, and probes sent for it, at most.
const MAX_PROBES: usize = 5;
/// Excess latency, in mean works, from which load reports are considered misleading ...
const REPORT_ERROR_LIMIT: f64 = 1.0;
/// ... and the number of candidates is reduced to this: with stale reports the best of many servers is the
/// same one for all nodes.
const MIN_CANDIDATES: usize = 2;
/// Time to wait for probe answers, in typical probe latencies.
const PROBE_TIMEOUT: f64 = 4.0;

/// One of a request's candidates.
struct Candidate {
    /// Index in `Request::candidates`.
    at: usize,
    /// Whether a probe could give new information.
    can_probe: bool,
    /// Distribution of the request's value at this server, as a fraction of its worth, and its mean.
    worth: WorthDistribution,
    mean: f64,
}

/// Selects candidates for a request's next attempt. Few of them may be cold, because the choice of the best
/// could overload a cold server.
pub(crate) fn assign(b: &mut Balancer, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
    let most = if b.excess_latency > REPORT_ERROR_LIMIT * b.mean_work { MIN_CANDIDATES } else { MAX_PROBES };
    for k in 0..most {
        let Some(i) = attempts::draw(b, now, id, k >= cold::MAX_COLD_PROBES) else { break };
        let server = b.servers[i].id;
        b.requests.get_mut(&id).iter_mut().for_each(|r| r.candidates.push((server, ProbeState::NotSent)));
    }
    if b.requests.get(&id).is_none_or(|r| r.candidates.is_empty()) {
        attempts::finish(b, id, actions);
        return false;
    }
    proceed(b, now, id, actions);
    true
}

/// Sends the probes that pay off, or chooses a server if none do.
fn proceed(b: &mut Balancer, now: Time, id: RequestId, actions: &mut Vec<Action>) {
    let selected = b.requests.get(&id).map(|r| select_probes(b, now, r)).unwrap_or_default();
    if selected.is_empty() {
        return choose(b, now, id, actions);
    }
    let wait = PROBE_TIMEOUT * b.probe_latency;
    for at in selected {
        let Some(r) = b.requests.get_mut(&id) else { return };
        r.candidates[at].1 = ProbeState::Pending;
        let Some(&i) = b.index.get(&r.candidates[at].0) else { continue };
        let s = &mut b.servers[i];
        if s.probe_sent_at.is_none_or(|at| (now - at).as_secs_f64() >= wait) {
            s.probe_sent_at = Some(now);
            actions.push(Action::Probe { server: s.id });
        }
    }
    let left = b.requests.get(&id).map_or(0.0, |r| (r.deadline - now).as_secs_f64());
    let timer = b.set_timer(now, wait.min(left), actions);
    b.pending_choices.retain(|c| c.0 != id);
    b.pending_choices.push((id, timer));
}

/// Selects the candidates to probe together, by index: greedily adds the best one while it raises the
/// expected maximum by more than the price of a probe.
fn select_probes(b: &Balancer, now: Time, r: &Request) -> Vec<usize> {
    let left = MAX_PROBES - r.candidates.iter().filter(|a| a.1 != ProbeState::NotSent).count();
    let candidates = evaluate_candidates(b, now, r);
    let can_probe = || candidates.iter().filter(|p| p.can_probe);
    let price = b.settings.prices.probe / r.worth.max(1e-9);
    if price <= 0.0 {
        return can_probe().take(left).map(|p| p.at).collect();
    }
    let mut selected: Vec<usize> = Vec::new();
    let mut combined_worth = WorthDistribution::none();
    let best = |excluded: &[usize]| {
        candidates.iter().filter(|p| !excluded.contains(&p.at)).map(|p| p.mean).fold(0.0, f64::max)
    };
    let mut best_so_far = best(&[]);
    while selected.len() < left {
        let more = can_probe().filter(|p| !selected.contains(&p.at)).map(|p| {
            let combined = combined_worth.max(&p.worth);
            let excluded = [&selected[..], &[p.at]].concat();
            (combined.expected(best(&excluded)), p.at, combined)
        });
        let Some((value, at, combined)) = more.max_by(|x, y| x.0.total_cmp(&y.0)) else { break };
        if value - best_so_far <= price {
            break;
        }
        (best_so_far, combined_worth) = (value, combined);
        selected.push(at);
    }
    selected
}

/// Evaluates each candidate.
fn evaluate_candidates(b: &Balancer, now: Time, r: &Request) -> Vec<Candidate> {
    let (work, again) = (r.work.unwrap_or(b.mean_work), attempts::retries_left(b, r, 1));
    let aim = b.aim(r.class, Some(work));
    let within = aim - (now - r.arrived).as_secs_f64();
    let each = r
        .candidates
        .iter()
        .enumerate()
        .filter(|a| !matches!(a.1 .1, ProbeState::Pending | ProbeState::Failed));
    let each = each.filter_map(|(at, (server, state))| {
        let s = &b.servers[*b.index.get(server)?];
        let worth = estimator(b, now, r, s);
        let worth = |held: f64| worth(held).worth(work, within, aim, again);
        let (loads, validity) = b.load_knowledge(s, now);
        let usual = loads.usual().iter().enumerate();
        let usual =
            usual.map(|(held, p)| (worth((held as f64).max(s.in_flight.len() as f64)), p * (1.0 - validity)));
        let distribution =
            WorthDistribution::new(s.held.map(|held| (worth(held), validity)).into_iter().chain(usual));
        let fresh = s.held.is_some() && (now - s.held_at).as_secs_f64() < FRESH_REPORT * b.latency;
        let can_probe = *state == ProbeState::NotSent && !fresh;
        Some(Candidate { at, can_probe, mean: distribution.expected(0.0), worth: distribution })
    });
    each.collect()
}

/// Records the end of a probe, and continues with the requests that waited for it.
pub(crate) fn probe_ended(b: &mut Balancer, now: Time, p: &ProbeEnded, actions: &mut Vec<Action>) {
    let mut state = ProbeState::Failed;
    b.probe_ended(now, p);
    match p.outcome {
        Outcome::Served => {
            b.probe_latency += (p.latency.as_secs_f64() - b.probe_latency) / 32.0;
            let report = p.report.unwrap_or_default();
            market::record_report(b, now, p.server, &report);
            let held = report.held.or(report.busy).filter(|h| h.is_finite() && *h >= 0.0);
            if let (Some(&i), Some(held)) = (b.index.get(&p.server), held) {
                b.record_held(i, now, held);
                state = ProbeState::Answered;
            }
        }
        Outcome::NotSent => {} // The node's own lack of resources says nothing about the server.
        outcome => market::record_failure(b, now, p.server, outcome),
    }
    for k in (0..b.pending_choices.len()).rev() {
        let Some(&(id, _)) = b.pending_choices.get(k) else { continue };
        let Some(r) = b.requests.get_mut(&id) else { continue };
        let Some(a) = r.candidates.iter_mut().find(|a| a.0 == p.server && a.1 == ProbeState::Pending) else {
            continue;
        };
        a.1 = state;
        if r.candidates.iter().all(|a| a.1 != ProbeState::Pending) {
            proceed(b, now, id, actions);
        }
    }
}

/// Sends the request to the best candidate according to current knowledge.
pub(crate) fn choose(b: &mut Balancer, now: Time, id: RequestId, actions: &mut Vec<Action>) {
    b.pending_choices.retain(|c| c.0 != id);
    let Some(r) = b.requests.get(&id) else { return };
    let (work, left) = (r.work.unwrap_or(b.mean_work), r.deadline - now);
    let within = b.aim(r.class, Some(work)) - (now - r.arrived).as_secs_f64();
    let ready = |p: &Candidate| {
        let &i = b.index.get(&r.candidates[p.at].0)?;
        (b.servers[i].state == ServerState::Ready).then_some((p.mean, i))
    };
    let best = evaluate_candidates(b, now, r).iter().filter_map(ready).max_by(|x, y| x.0.total_cmp(&y.0));
    let server = match best {
        // A request that would be answered too late takes capacity from those that can be in time.
        Some((_, i)) if chance_in_time(b, now, r, i, work, within) < admission::min_chance(b) => None,
        Some((_, i)) => Some(i),
        None => attempts::draw(b, now, id, false).or_else(|| {
            // A pending answer does not prove the server unusable.
            b.requests.get_mut(&id)?.candidates.retain(|a| a.1 != ProbeState::Pending);
            attempts::draw(b, now, id, false)
        }),
    };
    let why = if best.is_some() && server.is_none() { Refusal::Unlikely } else { Refusal::NoServer };
    b.requests.get_mut(&id).iter_mut().for_each(|r| (r.why, r.candidates) = (why, Vec::new()));
    attempts::send(b, now, id, server.filter(|_| !left.is_zero()), actions);
}

/// The chance of an answer in time at a server, given the known load and its validity.
fn chance_in_time(b: &Balancer, now: Time, r: &Request, i: usize, work: f64, within: f64) -> f64 {
    let s = &b.servers[i];
    let estimate = estimator(b, now, r, s);
    let chance = |held: f64| estimate(held).chance_in_time(work, within);
    let (loads, validity) = b.load_knowledge(s, now);
    let usual = loads.usual().iter().enumerate();
    let usual: f64 = usual.map(|(held, p)| p * chance((held as f64).max(s.in_flight.len() as f64))).sum();
    s.held.map_or(0.0, chance) * validity + usual * (1.0 - validity)
}

#[cfg(test)]
#[path = "tests/probes.rs"]
mod tests;
