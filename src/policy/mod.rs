//! All decisions of the balancer. Settings, events and actions are defined in `src/interface.rs`, state in
//! `src/state.rs`. Each module depends only on those listed after it: event handling (this file), [`probes`],
//! [`attempts`], [`admission`], [`market`], [`aperture`], [`estimate`], and [`cold`] for servers that warm
//! up.

mod admission;
mod aperture;
mod attempts;
mod cold;
mod estimate;
mod market;
mod probes;

#[cfg(test)]
#[path = "tests/helpers.rs"]
mod helpers;

pub(crate) use estimate::staleness::LoadHistory;

use crate::interface::*;
use crate::state::{Balancer, EndedAttempt, InitialParameters, Request};

/// Longest delay in seconds before a failed list call is repeated: one call that times out after 3 s and two
/// that are refused then end within 6 s.
const MAX_RETRY_DELAY: f64 = 0.8;

impl Balancer {
    /// Creates a balancer without servers and requests.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let (rate_window, fleet_share_window, tenant_window) =
            (market::RATE_WINDOW, market::FLEET_SHARE_WINDOW, admission::TENANT_WINDOW);
        let (report_life, retry_tokens) = (market::REPORT_LIFE, attempts::MAX_RETRY_TOKENS);
        Balancer::start(
            settings,
            seed,
            now,
            InitialParameters { rate_window, fleet_share_window, tenant_window, report_life, retry_tokens },
        )
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => list_changed(self, now, kind, &entries, actions),
            Event::Arrival(a) => arrival(self, now, &a, actions),
            Event::ResponseStarted { request, attempt, latency } => {
                if let Some(server) = self.response_started(request, attempt) {
                    market::record_latency(self, now, server, latency.as_secs_f64());
                }
            }
            Event::RequestWritten { request, attempt, transfer } => {
                self.request_written(now, request, attempt, transfer)
            }
            Event::AttemptEnded(end) => attempt_ended(self, now, &end, actions),
            Event::ClientGone { request } => self.client_gone(request),
            Event::Timer { timer } if self.list_timer == Some(timer) => {
                self.list_timer = None;
                actions.push(Action::Watch);
            }
            Event::Timer { timer } => {
                if let Some(c) = self.pending_choices.iter().find(|c| c.1 == timer) {
                    probes::choose(self, now, c.0, actions);
                }
            }
            Event::RingPosition { start, nodes } => self.set_ring_position(start, nodes),
            Event::Adjustments(adjustments) => self.apply_adjustments(&adjustments),
            Event::ProbeEnded(ended) => probes::probe_ended(self, now, &ended, actions),
        }
    }
}

fn list_changed(
    b: &mut Balancer,
    now: Time,
    kind: ListKind,
    entries: &[ServerEntry],
    actions: &mut Vec<Action>,
) {
    // List calls are spread over time: all nodes may have started at once, and a failed discovery service may
    // be overloaded.
    if b.settings.subscribe_to_lists && matches!(kind, ListKind::Cached | ListKind::Failed) {
        let most = b.settings.rules.list_poll_interval.as_secs_f64().clamp(1.0, 30.0) / 5.0;
        let wait = b.random() * if kind == ListKind::Failed { most.min(MAX_RETRY_DELAY) } else { most };
        b.list_timer = Some(b.set_timer(now, wait, actions));
    }
    if kind != ListKind::Failed {
        b.take_list(now, kind, entries);
        b.solved_at = None;
    }
}

fn arrival(b: &mut Balancer, now: Time, a: &Arrival, actions: &mut Vec<Action>) {
    if b.requests.contains_key(&a.request) {
        return;
    }
    let class = ClassId(a.class.0.min(b.settings.classes.len() as u8 - 1));
    b.requests.insert(a.request, Request::new(now, class, a));
    attempts::earn_retry_tokens(b);
    b.markets[usize::from(class.0)].arrivals.add(now, 1.0);
    if admission::rejects(b, now, a, class) {
        return attempts::finish(b, a.request, actions);
    }
    assign(b, now, a.request, actions);
}

/// Chooses a server for a request's next attempt, by probes if load is reported only to them.
fn assign(b: &mut Balancer, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
    if b.settings.reports == Reports::ByProbe && b.settings.may_probe {
        return probes::assign(b, now, id, actions);
    }
    let server = attempts::draw(b, now, id, false);
    attempts::send(b, now, id, server, actions);
    server.is_some()
}

fn attempt_ended(b: &mut Balancer, now: Time, end: &AttemptEnded, actions: &mut Vec<Action>) {
    end.report.iter().for_each(|report| market::record_report(b, now, end.server, report));
    let Some(EndedAttempt { attempt, class, work, body_complete, streamed, finished }) =
        b.end_attempt(now, end)
    else {
        return;
    };
    let (server, sent) = (attempt.server, attempt.sent);
    if let (Outcome::Served, Some(work), true, Some(&i)) =
        (end.outcome, work, body_complete, b.index.get(&server))
    {
        let speed_factor = b.servers[i].warmth(&b.settings.rules, now).max(1e-3);
        b.record_held(i, sent, estimate::held_at_send(b, end.latency.as_secs_f64(), work, speed_factor));
    }
    estimate::record_outcome(b, now, end, &attempt, work);
    admission::record_outcome(b, now, end, class, work);
    match end.outcome {
        Outcome::Served if !streamed && body_complete => {
            market::record_latency(b, now, server, end.latency.as_secs_f64())
        }
        Outcome::Served | Outcome::Cancelled | Outcome::NotSent => {}
        outcome => market::record_failure(b, now, server, outcome),
    }
    if finished {
        return b.remove_finished(end.request);
    }
    b.requests.get_mut(&end.request).iter_mut().for_each(|r| r.why = Refusal::AttemptsExhausted);
    let Some(r) = b.requests.get(&end.request) else { return };
    if !attempts::may_retry(b, now, r) {
        attempts::finish(b, end.request, actions);
    } else if assign(b, now, end.request, actions) {
        b.retry_tokens -= 1.0;
    }
}
