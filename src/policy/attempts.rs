//! Attempts: which server a request goes to, whether it goes again, and the answer of one that is given up.

use super::{admission, cold, estimate};
use crate::interface::{Action, Actions, Effect, KeyScope, RequestId, ServerState, Time};
use crate::state::{Attempt, Balancer, Request, Server};

const RETRY_EARN: f64 = 0.2; // further attempts that each request earns (retry budget) ...
pub(crate) const RETRY_MOST: f64 = 10.0; // ... and the most saved up

/// Whether a request's next attempt may go to this server, by any rule; every send passes here.
pub(crate) fn open(b: &Balancer, now: Time, r: &Request, s: &Server) -> bool {
    let class = &b.settings.classes[usize::from(r.class.0)];
    let rules = &b.settings.rules;
    if s.state != ServerState::Ready
        || !s.may_serve(class)
        || r.attempts.iter().any(|a| a.server == s.id)
        || (!b.settings.second_copies && !r.idle())
        || cold::too_heavy(rules, s.warmth(rules, now), r.work.unwrap_or(0.0))
    {
        return false;
    }
    let Some(risky) = r.attempts.iter().find(|a| a.risky()) else { return true };
    match class.effect {
        Effect::Safe => true,
        Effect::Unsafe => false,
        Effect::Keyed { window, .. } if now - risky.sent >= window => false,
        Effect::Keyed { scope: KeyScope::All, .. } => true,
        Effect::Keyed { scope: KeyScope::Zone, .. } => s.zone == risky.zone,
        Effect::Keyed { scope: KeyScope::Cell, .. } => s.cell == risky.cell,
    }
}

/// Draws a server by share among those open to this request. What closed servers leave goes to warm ones:
/// a cold server keeps its share and no more, since its bound holds for that.
pub(crate) fn draw(b: &mut Balancer, now: Time, id: RequestId, warm_only: bool) -> Option<usize> {
    admission::refresh(b, now);
    let mark = b.random();
    let r = b.requests.get(&id)?;
    let m = &b.markets[usize::from(r.class.0)];
    let (mut cold, mut warm, mut cold_sum, mut warm_sum) = (Vec::new(), Vec::new(), 0.0, 0.0);
    for (&i, &share) in b.ready.iter().zip(&m.shares) {
        let s = &b.servers[i];
        // One that is withheld gets its share of first draws: the best of many would be it again and again.
        let again = r.asked.iter().any(|a| a.0 == s.id || s.open < 1.0);
        if share <= 0.0 || again || !open(b, now, r, s) {
            continue;
        }
        let warmth = s.warmth(&b.settings.rules, now);
        let light = r.work.is_none_or(|work| cold::light(work, b.aim(r.class, r.work), warmth));
        let (list, sum) = match warmth < 1.0 {
            true if warm_only || !light => continue,
            true => (&mut cold, &mut cold_sum),
            false => (&mut warm, &mut warm_sum),
        };
        *sum += share;
        list.push((i, *sum));
    }
    // Beyond the aperture only where nothing inside it is open to this request: a repeat bound to a cell.
    if warm.is_empty() && cold.is_empty() && m.narrow && r.asked.is_empty() {
        let warm = |s: &Server| s.warmth(&b.settings.rules, now) >= 1.0;
        let fits = |i: &usize| warm(&b.servers[*i]) && open(b, now, r, &b.servers[*i]);
        let beyond: Vec<usize> = b.ready.iter().copied().filter(fits).collect();
        return beyond.get((mark * beyond.len() as f64) as usize).copied();
    }
    // The toll has turned away already what bounds leave without a place on a first try.
    let first = r.attempts.is_empty() && r.asked.is_empty();
    let whole = if first { m.shares.iter().sum() } else { m.open };
    let pick = |l: &[(usize, f64)], at: f64| l.iter().find(|m| m.1 > at).or(l.last()).map(|m| m.0);
    match mark * whole {
        at if at < cold_sum => pick(&cold, at),
        at => pick(&warm, (at - cold_sum) / (whole - cold_sum) * warm_sum),
    }
}

pub(crate) fn send(b: &mut Balancer, now: Time, id: RequestId, to: Option<usize>, actions: &mut Actions) {
    let fits = |i: &usize| b.requests.get(&id).is_some_and(|r| open(b, now, r, &b.servers[*i]));
    let Some(i) = to.filter(fits) else { return finish(b, id, actions) };
    let news = (now - b.servers[i].heard).as_secs_f64() < estimate::FRESH * b.latency;
    let Some((server, limit)) = b.sent(now, id, i, news) else { return };
    actions.push(Action::Send { request: id, server, limit: Some(limit) });
}

/// Each request earns a part of a further attempt.
pub(crate) fn earn(b: &mut Balancer) {
    b.further = (b.further + RETRY_EARN).min(RETRY_MOST);
}

/// Whether class, time and the retry budget allow another attempt; the budget keeps collapses unfed.
pub(crate) fn again(b: &Balancer, now: Time, r: &Request) -> bool {
    let left = b.aim(r.class, r.work) - (now - r.arrived).as_secs_f64();
    !(left < 0.5 * b.latency || r.ends <= now || !more(b, r, 0))
}

/// Whether number and budget allow another attempt, after so many that are not yet sent.
pub(crate) fn more(b: &Balancer, r: &Request, coming: u32) -> bool {
    r.attempts.len() as u32 + coming < b.settings.max_attempts && b.further >= 1.0 + f64::from(coming)
}

/// The final answer of a request that is given up: refused where that is true to its class, else failed.
pub(crate) fn finish(b: &mut Balancer, id: RequestId, actions: &mut Vec<Action>) {
    let Some(r) = b.requests.get_mut(&id).filter(|r| r.open && !r.begun) else { return };
    r.open = false;
    let harmless = match b.settings.classes[usize::from(r.class.0)].effect {
        Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. } => true,
        _ => !r.attempts.iter().any(Attempt::risky),
    };
    actions.push(match harmless {
        true => Action::Refuse { request: id, wait: b.settings.max_retry_after, why: r.why },
        false => Action::Fail { request: id },
    });
    b.forget(id);
}

#[cfg(test)]
#[path = "tests/attempts.rs"]
mod tests;
