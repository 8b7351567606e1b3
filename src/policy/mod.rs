//! Every decision of the balancer. Settings, events and actions are in `src/interface.rs`, memory in
//! `src/state.rs`. A module for each matter, built on those after it only: what an event leads to (here),
//! [`probes`], [`attempts`], [`admission`], [`market`], [`aperture`], [`estimate`], [`cold`] (fresh servers).

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

pub(crate) use estimate::staleness::Loads;

use crate::interface::*;
use crate::state::{Balancer, First, Request, Settled};

const ASK_AGAIN: f64 = 0.8; // after a failed call, at most: a silent one and two refused end within 6 s

impl Balancer {
    /// Starts with no servers and no requests.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let (rates, parts, tenants) = (market::RATE_WINDOW, market::PART_WINDOW, admission::TENANT_WINDOW);
        let (report_life, further) = (market::REPORT_LIFE, attempts::RETRY_MOST);
        Balancer::start(settings, seed, now, First { rates, parts, tenants, report_life, further })
    }

    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => list(self, now, kind, &entries, actions),
            Event::Arrival(a) => arrival(self, now, &a, actions),
            Event::ResponseStarted { request, attempt, latency } => {
                if let Some(server) = self.begun(request, attempt) {
                    market::answered(self, now, server, latency.as_secs_f64());
                }
            }
            Event::RequestWritten { request, attempt } => self.written(now, request, attempt),
            Event::AttemptEnded(end) => ended(self, now, &end, actions),
            Event::ClientGone { request } => self.client_gone(request),
            Event::Timer { timer } if self.list_timer == Some(timer) => {
                self.list_timer = None;
                actions.push(Action::Watch);
            }
            Event::Timer { timer } => {
                if let Some(c) = self.choosing.iter().find(|c| c.1 == timer) {
                    probes::choose(self, now, c.0, actions);
                }
            }
            Event::RingPosition { start, nodes } => self.place(start, nodes),
            Event::Adjustments(advice) => self.advise(&advice),
            Event::ProbeEnded(probed) => probes::probed(self, now, &probed, actions),
        }
    }
}

fn list(b: &mut Balancer, now: Time, kind: ListKind, entries: &[ServerEntry], actions: &mut Vec<Action>) {
    // Calls for lists are spread: all nodes may have started together, and discovery that failed may be busy.
    if b.settings.subscribe_to_lists && matches!(kind, ListKind::Cached | ListKind::Failed) {
        let most = b.settings.rules.list_poll_interval.as_secs_f64().clamp(1.0, 30.0) / 5.0;
        let wait = b.random() * if kind == ListKind::Failed { most.min(ASK_AGAIN) } else { most };
        b.list_timer = Some(b.set_timer(now, wait, actions));
    }
    if kind != ListKind::Failed {
        b.take_list(now, kind, entries);
        b.solved = None;
    }
}

fn arrival(b: &mut Balancer, now: Time, a: &Arrival, actions: &mut Vec<Action>) {
    if b.requests.contains_key(&a.request) {
        return;
    }
    let class = ClassId(a.class.0.min(b.settings.classes.len() as u8 - 1));
    b.requests.insert(a.request, Request::new(now, class, a));
    attempts::earn(b);
    b.markets[usize::from(class.0)].arrivals.add(now, 1.0);
    if admission::turned_away(b, now, a, class) {
        return attempts::finish(b, a.request, actions);
    }
    place(b, now, a.request, actions);
}

/// Finds a server for a request's next attempt: by probes where load is told only to them.
fn place(b: &mut Balancer, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
    if b.settings.reports == Reports::ByProbe && b.settings.may_probe {
        return probes::ask(b, now, id, actions);
    }
    let server = attempts::draw(b, now, id, false);
    attempts::send(b, now, id, server, actions);
    server.is_some()
}

fn ended(b: &mut Balancer, now: Time, end: &AttemptEnded, actions: &mut Vec<Action>) {
    end.report.iter().for_each(|report| market::report(b, now, end.server, report));
    let Some(Settled { attempt, class, work, body_complete, streamed, over }) = b.settle(now, end) else {
        return;
    };
    let (server, sent) = (attempt.server, attempt.sent);
    if let (Outcome::Served, Some(work), true, Some(&i)) =
        (end.outcome, work, body_complete, b.index.get(&server))
    {
        let pace = b.servers[i].warmth(&b.settings.rules, now).max(1e-3);
        b.heard(i, sent, estimate::held_then(b, end.latency.as_secs_f64(), work, pace));
    }
    estimate::learn(b, now, end, &attempt, work);
    admission::met(b, now, end, class, work);
    match end.outcome {
        Outcome::Served if !streamed && body_complete => {
            market::answered(b, now, server, end.latency.as_secs_f64())
        }
        Outcome::Served | Outcome::Cancelled | Outcome::NotSent => {}
        outcome => market::failed(b, now, server, outcome),
    }
    if over {
        return b.forget(end.request);
    }
    b.requests.get_mut(&end.request).iter_mut().for_each(|r| r.why = Refusal::AttemptsExhausted);
    let Some(r) = b.requests.get(&end.request) else { return };
    if !attempts::again(b, now, r) {
        attempts::finish(b, end.request, actions);
    } else if place(b, now, end.request, actions) {
        b.further -= 1.0;
    }
}
