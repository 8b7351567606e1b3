//! Probes: a few servers are drawn by share, some of them are asked for their load, one of them is chosen.
//!
//! What was heard of a server, from probes and from answers, stands with a chance that falls with its age
//! (`estimate::staleness`). So each candidate has a distribution of what a request would be worth there, asking
//! is worth what it adds to the expected best of them: it is done while that is more than its price
//! (Weitzman 1979, "Optimal search for the best alternative", where what was not asked may be chosen too).

use super::estimate::{distribution::Prospect, estimator, FRESH};
use super::{admission, attempts, cold, market};
use crate::interface::{Action, Outcome, ProbeEnded, Refusal, RequestId, ServerState, Time};
use crate::state::{Asked, Balancer, Request};

const PROBES: usize = 5; // servers compared for a request, and asked at the most
const MISLED: f64 = 1.0; // mean works by which answers come later than told, from which reports mislead ...
const FEWEST: usize = 2; // ... and so few are compared: by old news the best of many is the same for all
const PROBE_WAIT: f64 = 4.0; // usual probes' times for which answers are waited for

/// One of a request's candidates.
struct Candidate {
    /// Its position among them.
    at: usize,
    /// Whether asking it may tell more.
    askable: bool,
    /// What the request would be worth there, as a part of its worth, and the expectation of that.
    worth: Prospect,
    mean: f64,
}

/// Finds candidates for a request's next attempt, few of them cold, lest the best-of draw rush one.
pub(crate) fn ask(b: &mut Balancer, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
    let most = if b.surprise > MISLED * b.mean_work { FEWEST } else { PROBES };
    for k in 0..most {
        let Some(i) = attempts::draw(b, now, id, k >= cold::PROBES) else { break };
        let server = b.servers[i].id;
        b.requests.get_mut(&id).iter_mut().for_each(|r| r.asked.push((server, Asked::Not)));
    }
    if b.requests.get(&id).is_none_or(|r| r.asked.is_empty()) {
        attempts::finish(b, id, actions);
        return false;
    }
    proceed(b, now, id, actions);
    true
}

/// Asks those worth asking, or chooses where there are none.
fn proceed(b: &mut Balancer, now: Time, id: RequestId, actions: &mut Vec<Action>) {
    let asking = b.requests.get(&id).map(|r| worth_asking(b, now, r)).unwrap_or_default();
    if asking.is_empty() {
        return choose(b, now, id, actions);
    }
    let wait = PROBE_WAIT * b.probe_latency;
    for at in asking {
        let Some(r) = b.requests.get_mut(&id) else { return };
        r.asked[at].1 = Asked::Waiting;
        let Some(&i) = b.index.get(&r.asked[at].0) else { continue };
        let s = &mut b.servers[i];
        if s.probing.is_none_or(|at| (now - at).as_secs_f64() >= wait) {
            s.probing = Some(now);
            actions.push(Action::Probe { server: s.id });
        }
    }
    let left = b.requests.get(&id).map_or(0.0, |r| (r.ends - now).as_secs_f64());
    let timer = b.set_timer(now, wait.min(left), actions);
    b.choosing.retain(|c| c.0 != id);
    b.choosing.push((id, timer));
}

/// Which candidates are worth asking together, by their positions: greedily, while one more adds to the
/// expected best more than a probe's price.
fn worth_asking(b: &Balancer, now: Time, r: &Request) -> Vec<usize> {
    let left = PROBES - r.asked.iter().filter(|a| a.1 != Asked::Not).count();
    let candidates = candidates(b, now, r);
    let askable = || candidates.iter().filter(|p| p.askable);
    let price = b.settings.prices.probe / r.worth.max(1e-9);
    if price <= 0.0 {
        return askable().take(left).map(|p| p.at).collect();
    }
    let mut asking: Vec<usize> = Vec::new();
    let mut heard = Prospect::none();
    let best = |but: &[usize]| {
        candidates.iter().filter(|p| !but.contains(&p.at)).map(|p| p.mean).fold(0.0, f64::max)
    };
    let mut now_best = best(&[]);
    while asking.len() < left {
        let more = askable().filter(|p| !asking.contains(&p.at)).map(|p| {
            let both = heard.or(&p.worth);
            let but = [&asking[..], &[p.at]].concat();
            (both.expected(best(&but)), p.at, both)
        });
        let Some((value, at, both)) = more.max_by(|x, y| x.0.total_cmp(&y.0)) else { break };
        if value - now_best <= price {
            break;
        }
        (now_best, heard) = (value, both);
        asking.push(at);
    }
    asking
}

/// What each candidate would come to.
fn candidates(b: &Balancer, now: Time, r: &Request) -> Vec<Candidate> {
    let (work, again) = (r.work.unwrap_or(b.mean_work), attempts::more(b, r, 1));
    let aim = b.aim(r.class, Some(work));
    let within = aim - (now - r.arrived).as_secs_f64();
    let each = r.asked.iter().enumerate().filter(|a| !matches!(a.1 .1, Asked::Waiting | Asked::Silent));
    let each = each.filter_map(|(at, (server, asked))| {
        let s = &b.servers[*b.index.get(server)?];
        let worth = estimator(b, now, r, s);
        let worth = |held: f64| worth(held).worth(work, within, aim, again);
        let (loads, stands) = b.news(s, now);
        let usual = loads.usual().iter().enumerate();
        let usual = usual.map(|(held, p)| (worth((held as f64).max(s.out.len() as f64)), p * (1.0 - stands)));
        let prospect = Prospect::new(s.held.map(|held| (worth(held), stands)).into_iter().chain(usual));
        let fresh = s.held.is_some() && (now - s.heard).as_secs_f64() < FRESH * b.latency;
        let askable = *asked == Asked::Not && !fresh;
        Some(Candidate { at, askable, mean: prospect.expected(0.0), worth: prospect })
    });
    each.collect()
}

pub(crate) fn probed(b: &mut Balancer, now: Time, p: &ProbeEnded, actions: &mut Vec<Action>) {
    let mut asked = Asked::Silent;
    b.probe_ended(now, p);
    match p.outcome {
        Outcome::Served => {
            b.probe_latency += (p.latency.as_secs_f64() - b.probe_latency) / 32.0;
            let report = p.report.unwrap_or_default();
            market::report(b, now, p.server, &report);
            let held = report.held.or(report.busy).filter(|h| h.is_finite() && *h >= 0.0);
            if let (Some(&i), Some(held)) = (b.index.get(&p.server), held) {
                b.heard(i, now, held);
                asked = Asked::Heard;
            }
        }
        Outcome::NotSent => {} // The node's own shortage says nothing of the server.
        outcome => market::failed(b, now, p.server, outcome),
    }
    for k in (0..b.choosing.len()).rev() {
        let Some(&(id, _)) = b.choosing.get(k) else { continue };
        let Some(r) = b.requests.get_mut(&id) else { continue };
        let Some(a) = r.asked.iter_mut().find(|a| a.0 == p.server && a.1 == Asked::Waiting) else { continue };
        a.1 = asked;
        if r.asked.iter().all(|a| a.1 != Asked::Waiting) {
            proceed(b, now, id, actions);
        }
    }
}

/// Sends to the best of the candidates, by what is known of them now.
pub(crate) fn choose(b: &mut Balancer, now: Time, id: RequestId, actions: &mut Vec<Action>) {
    b.choosing.retain(|c| c.0 != id);
    let Some(r) = b.requests.get(&id) else { return };
    let (work, left) = (r.work.unwrap_or(b.mean_work), r.ends - now);
    let within = b.aim(r.class, Some(work)) - (now - r.arrived).as_secs_f64();
    let ready = |p: &Candidate| {
        let &i = b.index.get(&r.asked[p.at].0)?;
        (b.servers[i].state == ServerState::Ready).then_some((p.mean, i))
    };
    let best = candidates(b, now, r).iter().filter_map(ready).max_by(|x, y| x.0.total_cmp(&y.0));
    let server = match best {
        // What would be answered too late only takes room from work that can still be in time.
        Some((_, i)) if in_time(b, now, r, i, work, within) < admission::least_chance(b) => None,
        Some((_, i)) => Some(i),
        None => attempts::draw(b, now, id, false).or_else(|| {
            b.requests.get_mut(&id)?.asked.retain(|a| a.1 != Asked::Waiting); // late answers prove nothing
            attempts::draw(b, now, id, false)
        }),
    };
    let why = if best.is_some() && server.is_none() { Refusal::Unlikely } else { Refusal::NoServer };
    b.requests.get_mut(&id).iter_mut().for_each(|r| (r.why, r.asked) = (why, Vec::new()));
    attempts::send(b, now, id, server.filter(|_| !left.is_zero()), actions);
}

/// The chance of being in time at a server, by all that is known of it.
fn in_time(b: &Balancer, now: Time, r: &Request, i: usize, work: f64, within: f64) -> f64 {
    let s = &b.servers[i];
    let estimate = estimator(b, now, r, s);
    let chance = |held: f64| estimate(held).in_time(work, within);
    let (loads, stands) = b.news(s, now);
    let usual = loads.usual().iter().enumerate();
    let usual: f64 = usual.map(|(held, p)| p * chance((held as f64).max(s.out.len() as f64))).sum();
    s.held.map_or(0.0, chance) * stands + usual * (1.0 - stands)
}

#[cfg(test)]
#[path = "tests/probes.rs"]
mod tests;
