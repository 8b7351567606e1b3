//! Attempts: the choice of a server, the retry decision, and the final answer if no attempt succeeds.

use super::{admission, cold, estimate};
use crate::interface::{Action, Actions, Effect, KeyScope, RequestId, ServerState, Time};
use crate::state::{Attempt, Balancer, Request, Server};

/// Retry tokens that each request adds to the retry budget ...
const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;
/// ... and the size of the budget.
pub(crate) const MAX_RETRY_TOKENS: f64 = 10.0;

/// Whether all rules allow a request's next attempt at this server. Checked before every send.
pub(crate) fn may_send(b: &Balancer, now: Time, r: &Request, s: &Server) -> bool {
    let class = &b.settings.classes[usize::from(r.class.0)];
    let rules = &b.settings.rules;
    if s.state != ServerState::Ready
        || !s.may_serve(class)
        || r.attempts.iter().any(|a| a.server == s.id)
        || (!b.settings.second_copies && !r.is_idle())
        || cold::too_heavy(rules, s.warmth(rules, now), r.work.unwrap_or(0.0))
    {
        return false;
    }
    let Some(uncertain) = r.attempts.iter().find(|a| a.uncertain()) else { return true };
    match class.effect {
        Effect::Safe => true,
        Effect::Unsafe => false,
        // A server runs it once it has the last byte, and has to recognize the key then.
        Effect::Keyed { window, .. } if now + r.transfer >= uncertain.sent + window => false,
        Effect::Keyed { scope: KeyScope::All, .. } => true,
        Effect::Keyed { scope: KeyScope::Zone, .. } => s.zone == uncertain.zone,
        Effect::Keyed { scope: KeyScope::Cell, .. } => s.cell == uncertain.cell,
    }
}

/// Draws a server by share among those allowed for this request. Shares of excluded servers pass to warm
/// servers: a cold server keeps its own share, because its bound was computed for that.
pub(crate) fn draw(b: &mut Balancer, now: Time, id: RequestId, warm_only: bool) -> Option<usize> {
    admission::refresh(b, now);
    let point = b.random();
    let r = b.requests.get(&id)?;
    let m = &b.markets[usize::from(r.class.0)];
    let (mut cold, mut warm, mut cold_sum, mut warm_sum) = (Vec::new(), Vec::new(), 0.0, 0.0);
    for (&i, &share) in b.ready.iter().zip(&m.shares) {
        let s = &b.servers[i];
        // A server with a share limit gets its share of first draws only: as one of several candidates it
        // would be chosen as the best again and again.
        let excluded = r.candidates.iter().any(|a| a.0 == s.id || s.share_limit < 1.0);
        if share <= 0.0 || excluded || !may_send(b, now, r, s) {
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
    // Servers outside the aperture are used only if none inside is allowed, as for a repeat that is bound to
    // a cell.
    if warm.is_empty() && cold.is_empty() && m.aperture_active && r.candidates.is_empty() {
        let warm = |s: &Server| s.warmth(&b.settings.rules, now) >= 1.0;
        let fits = |i: &usize| warm(&b.servers[*i]) && may_send(b, now, r, &b.servers[*i]);
        let beyond: Vec<usize> = b.ready.iter().copied().filter(fits).collect();
        return beyond.get((point * beyond.len() as f64) as usize).copied();
    }
    // Before a first attempt, the admission threshold has already rejected what the bounds leave without a
    // server.
    let first = r.attempts.is_empty() && r.candidates.is_empty();
    let total = if first { m.shares.iter().sum() } else { m.open_count };
    let pick = |l: &[(usize, f64)], at: f64| l.iter().find(|m| m.1 > at).or(l.last()).map(|m| m.0);
    match point * total {
        at if at < cold_sum => pick(&cold, at),
        at => pick(&warm, (at - cold_sum) / (total - cold_sum) * warm_sum),
    }
}

/// Sends the next attempt if the rules allow this server, else gives the final answer.
pub(crate) fn send(b: &mut Balancer, now: Time, id: RequestId, to: Option<usize>, actions: &mut Actions) {
    let fits = |i: &usize| b.requests.get(&id).is_some_and(|r| may_send(b, now, r, &b.servers[*i]));
    let Some(i) = to.filter(fits) else { return finish(b, id, actions) };
    let report_is_fresh = (now - b.servers[i].held_at).as_secs_f64() < estimate::FRESH_REPORT * b.latency;
    let Some((server, limit)) = b.record_send(now, id, i, report_is_fresh) else { return };
    actions.push(Action::Send { request: id, server, limit: Some(limit) });
}

/// Adds a request's contribution to the retry budget.
pub(crate) fn earn_retry_tokens(b: &mut Balancer) {
    b.retry_tokens = (b.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
}

/// Whether class, remaining time and retry budget allow another attempt. The budget keeps retries from
/// amplifying an overload.
pub(crate) fn may_retry(b: &Balancer, now: Time, r: &Request) -> bool {
    let left = b.aim(r.class, r.work) - (now - r.arrived).as_secs_f64();
    !(left < 0.5 * b.latency || r.deadline <= now || !retries_left(b, r, 0))
}

/// Whether attempt limit and retry budget allow another attempt after `unsent` more.
pub(crate) fn retries_left(b: &Balancer, r: &Request, unsent: u32) -> bool {
    r.attempts.len() as u32 + unsent < b.settings.max_attempts && b.retry_tokens >= 1.0 + f64::from(unsent)
}

/// Gives the final answer of a request without a successful attempt: refused if repeating it is safe, else
/// failed.
pub(crate) fn finish(b: &mut Balancer, id: RequestId, actions: &mut Vec<Action>) {
    let Some(r) = b.requests.get_mut(&id).filter(|r| r.answer_due && !r.response_started) else { return };
    r.answer_due = false;
    let safe_to_repeat = match b.settings.classes[usize::from(r.class.0)].effect {
        Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. } => true,
        _ => !r.attempts.iter().any(Attempt::uncertain),
    };
    actions.push(match safe_to_repeat {
        true => Action::Refuse { request: id, wait: b.settings.max_retry_after, why: r.why },
        false => Action::Fail { request: id },
    });
    b.remove_finished(id);
}

#[cfg(test)]
#[path = "tests/attempts.rs"]
mod tests;
