//! Settings for tests, and an observer that checks the rules and the validity of actions. It does not
//! simulate servers.
#![allow(dead_code)]

use finchvale::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn at(n: u64) -> Time {
    Time(1_000_000_000 + n * 1_000_000)
}

pub fn class(effect: Effect) -> Class {
    Class {
        effect,
        aim: ms(400),
        aim_stretch: 0.0,
        deadline: ms(1000),
        worth: 3.0,
        late_worth: 0.0,
        streamed: false,
        zones: None,
        kinds: None,
    }
}

/// One class that is safe, one unsafe, and one keyed for each scope.
pub fn settings() -> Settings {
    let keyed = |scope| Effect::Keyed { scope, window: ms(500) };
    Settings {
        nodes: 4,
        node_index: None,
        prices: Prices::default(),
        zone: ZoneId(0),
        zones: 2,
        classes: vec![
            class(Effect::Safe),
            class(Effect::Unsafe),
            class(keyed(KeyScope::All)),
            class(keyed(KeyScope::Zone)),
            class(keyed(KeyScope::Cell)),
        ],
        tenants: vec![],
        over_share_worth: 0.1,
        worth_by_work: false,
        use_listed_weights: false,
        reports: Reports::WithAnswers,
        reports_rate: true,
        subscribe_to_lists: false,
        max_attempts: 3,
        may_cancel: true,
        may_probe: false,
        second_copies: false,
        conn_idle: ms(60_000),
        connect_timeout: ms(250),
        max_retry_after: Some(ms(1000)),
        rules: Rules {
            drain_grace: ms(250),
            cold_from: 0.13,
            warm_up: ms(20_000),
            fall_multiple: 3.0,
            fall_time: ms(1000),
            list_poll_interval: ms(10_000),
        },
    }
}

pub fn entry(server: u32, state: ServerState, started: Option<Time>) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        name: u64::from(server),
        zone: ZoneId((server % 2) as u8),
        kind: KindId((server % 3) as u8),
        cell: CellId((server % 4) as u16),
        state,
        weight: 1.0,
        started,
    }
}

pub fn list(count: u32) -> Event {
    let entries = (0..count).map(|s| entry(s, ServerState::Ready, None)).collect();
    Event::List { kind: ListKind::Full, entries }
}

pub fn arrival(request: u64, class: u8) -> Event {
    Event::Arrival(Arrival {
        request: RequestId(request),
        class: ClassId(class),
        tenant: TenantId(0),
        remaining: ms(1000),
        work: None,
        body_complete: true,
    })
}

pub fn report(busy: f64, rate: f64) -> LoadReport {
    LoadReport { busy: Some(busy), rate: Some(rate), ..LoadReport::default() }
}

pub fn ended(
    request: u64,
    attempt: u32,
    server: ServerId,
    outcome: Outcome,
    report: Option<LoadReport>,
) -> Event {
    Event::AttemptEnded(AttemptEnded {
        request: RequestId(request),
        attempt,
        server,
        outcome,
        latency: ms(100),
        closed: outcome == Outcome::Served,
        report,
    })
}

pub struct ObservedAttempt {
    pub server: ServerId,
    pub sent: Time,
    pub limit: Time,
    pub outcome: Option<Outcome>,
}

pub struct ObservedRequest {
    pub class: ClassId,
    pub deadline: Time,
    pub answer_due: bool,
    pub attempts: Vec<ObservedAttempt>,
}

/// The same settings with classes restricted to a zone, to kinds, to both, and to a kind that does not exist.
pub fn restricted_settings() -> Settings {
    let mut restricted = settings();
    restricted.classes[0].zones = Some(vec![ZoneId(1)]);
    restricted.classes[1].kinds = Some(vec![KindId(0), KindId(2)]);
    restricted.classes[2].zones = Some(vec![ZoneId(0)]);
    restricted.classes[2].kinds = Some(vec![KindId(1)]);
    restricted.classes[3].kinds = Some(vec![KindId(9)]);
    restricted
}

/// Observes events and actions, and reports the rule that an action violates.
pub struct Observer {
    settings: Settings,
    pub requests: BTreeMap<RequestId, ObservedRequest>,
    /// For each server its zone, its cell, since when it accepts nothing new, and its kind.
    servers: BTreeMap<ServerId, (ZoneId, CellId, Option<Time>, KindId)>,
    pub timers: Vec<(Time, TimerId)>,
    pub probes: Vec<ServerId>,
}

impl Observer {
    pub fn new(settings: Settings) -> Self {
        Observer {
            settings,
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            timers: vec![],
            probes: vec![],
        }
    }

    pub fn event(&mut self, now: Time, event: &Event) {
        match event {
            Event::List { kind, entries } => {
                if matches!(kind, ListKind::Full | ListKind::Cached) {
                    for s in self.servers.values_mut() {
                        s.2.get_or_insert(now);
                    }
                }
                for e in entries {
                    let held = self.servers.get(&e.server).and_then(|s| s.2);
                    let closed_since = (e.state != ServerState::Ready).then(|| held.unwrap_or(now));
                    self.servers.insert(e.server, (e.zone, e.cell, closed_since, e.kind));
                }
            }
            Event::Arrival(a) => {
                let (class, deadline) = (a.class, now + a.remaining);
                self.requests.insert(
                    a.request,
                    ObservedRequest { class, deadline, answer_due: true, attempts: vec![] },
                );
            }
            Event::AttemptEnded(e) => {
                let Some(r) = self.requests.get_mut(&e.request) else { return };
                if let Some(t) = r.attempts.get_mut(e.attempt as usize) {
                    t.outcome = Some(e.outcome);
                }
                r.answer_due &= !e.closed;
            }
            Event::ClientGone { request } => {
                if let Some(r) = self.requests.get_mut(request) {
                    r.answer_due = false;
                }
            }
            Event::ResponseStarted { .. }
            | Event::RequestWritten { .. }
            | Event::Timer { .. }
            | Event::ProbeEnded(_)
            | Event::Adjustments(_)
            | Event::RingPosition { .. } => {}
        }
    }

    pub fn action(&mut self, now: Time, action: &Action) -> Result<(), String> {
        let violation = |message: &str| Err(format!("{message}: {action:?} at {now:?}"));
        match action {
            Action::Send { request, server, limit } => {
                let Some(r) = self.requests.get_mut(request) else { return violation("unknown request") };
                if !r.answer_due || now > r.deadline {
                    return violation("rule 1, sent after the final answer or deadline");
                }
                let Some(place) = self.servers.get(server) else { return violation("unknown server") };
                if place.2.is_some_and(|closed_since| now - closed_since > self.settings.rules.drain_grace) {
                    return violation("rule 3, sent to a draining server");
                }
                let class = &self.settings.classes[usize::from(r.class.0)];
                if class.zones.as_ref().is_some_and(|open| !open.contains(&place.0))
                    || class.kinds.as_ref().is_some_and(|open| !open.contains(&place.3))
                {
                    return violation("rule 5, sent outside its class's placement");
                }
                if r.attempts.len() as u32 >= self.settings.max_attempts {
                    return violation("too many attempts");
                }
                if !self.settings.second_copies && r.attempts.iter().any(|t| t.outcome.is_none()) {
                    return violation("two attempts at once");
                }
                let uncertain = r.attempts.iter().find(|t| t.outcome.is_none_or(|o| !o.never_ran()));
                if let Some(t) = uncertain {
                    let first = self.servers[&t.server];
                    let allowed = match self.settings.classes[usize::from(r.class.0)].effect {
                        Effect::Safe => true,
                        Effect::Unsafe => false,
                        Effect::Keyed { scope, window } => {
                            now - t.sent <= window
                                && match scope {
                                    KeyScope::All => true,
                                    KeyScope::Zone => first.0 == place.0,
                                    KeyScope::Cell => first.1 == place.1,
                                }
                        }
                    };
                    if !allowed {
                        return violation("rule 2, repeated although it may have run");
                    }
                }
                let limit = limit.map_or(r.deadline, |l| (now + l).min(r.deadline));
                r.attempts.push(ObservedAttempt { server: *server, sent: now, limit, outcome: None });
            }
            Action::Refuse { request, .. } => {
                let Some(r) = self.requests.get_mut(request) else { return violation("unknown request") };
                let uncertain = r.attempts.iter().any(|t| t.outcome.is_none_or(|o| !o.never_ran()));
                let allowed = match self.settings.classes[usize::from(r.class.0)].effect {
                    Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. } => true,
                    _ => !uncertain,
                };
                if !allowed {
                    return violation("rule 2, refused although it may have run");
                }
                if !std::mem::take(&mut r.answer_due) {
                    return violation("rule 1, a second answer");
                }
            }
            Action::Fail { request } => {
                let Some(r) = self.requests.get_mut(request) else { return violation("unknown request") };
                if !std::mem::take(&mut r.answer_due) {
                    return violation("rule 1, a second answer");
                }
            }
            Action::Cancel { request, attempt } => {
                let attempts = self.requests.get(request).map_or(0, |r| r.attempts.len());
                if !self.settings.may_cancel || *attempt as usize >= attempts {
                    return violation("cancels an unknown attempt");
                }
            }
            Action::SetTimer { at, timer } => self.timers.push((*at, *timer)),
            Action::Probe { server } => {
                if !self.settings.may_probe || !self.servers.contains_key(server) {
                    return violation("probes a server that may not be probed");
                }
                self.probes.push(*server);
            }
            Action::Watch => {
                if !self.settings.subscribe_to_lists {
                    return violation("subscribes although lists arrive by themselves");
                }
            }
            Action::Log(_) => {}
        }
        Ok(())
    }

    /// Rule 1: a request whose answer is overdue.
    pub fn overdue(&self, now: Time) -> Option<RequestId> {
        self.requests.iter().find(|(_, r)| r.answer_due && now >= r.deadline + ms(20)).map(|(id, _)| *id)
    }
}

/// A balancer whose events and actions are observed.
pub struct Observed {
    pub balancer: Balancer,
    pub observer: Observer,
    pub now: Time,
    pub log: Vec<Action>,
}

impl Observed {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings.clone(), seed, at(0)).expect("valid settings");
        Observed { balancer, observer: Observer::new(settings), now: at(0), log: vec![] }
    }

    pub fn feed(&mut self, event: Event) -> Result<Vec<Action>, String> {
        self.observer.event(self.now, &event);
        let mut actions = vec![];
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.observer.action(self.now, action)?;
        }
        self.log.extend(actions.iter().cloned());
        Ok(actions)
    }

    /// Advances the time and delivers due timers and timeouts.
    pub fn wait(&mut self, d: Duration) -> Result<(), String> {
        let until = self.now + d;
        loop {
            let timer = self.observer.timers.iter().map(|t| t.0).min();
            let open = self.observer.requests.iter();
            let out = open.flat_map(|(id, r)| {
                r.attempts
                    .iter()
                    .enumerate()
                    .filter(|t| t.1.outcome.is_none())
                    .map(|(n, t)| (t.limit, *id, n, t.server))
            });
            let out = out.min();
            match (timer, out) {
                (Some(t), o) if t <= until && o.is_none_or(|o| t <= o.0) => {
                    self.now = self.now.max(t);
                    let k = self.observer.timers.iter().position(|x| x.0 == t).expect("timer exists");
                    let timer = self.observer.timers.remove(k).1;
                    self.feed(Event::Timer { timer })?;
                }
                (_, Some(o)) if o.0 <= until => {
                    self.now = self.now.max(o.0);
                    self.feed(ended(o.1 .0, o.2 as u32, o.3, Outcome::TimedOut, None))?;
                }
                _ => break,
            }
            if let Some(id) = self.observer.overdue(self.now) {
                return Err(format!("rule 1, request {id} has no answer at its deadline"));
            }
        }
        self.now = until;
        self.observer
            .overdue(self.now)
            .map_or(Ok(()), |id| Err(format!("rule 1, request {id} has no answer at its deadline")))
    }
}
