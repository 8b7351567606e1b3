//! Every decision of the balancer. Its settings, events and actions are in `src/interface.rs`.
//!
//! Each node keeps a price per server, moved by a projected dual step on reported load, and draws servers
//! from the shares that maximise speed-valued concave utility minus price (symbols: `docs/design/core.md`).
//! Prices, shares and speeds are kept relative to the number n of ready servers: price = φ/n, lambda = λ/n,
//! speed = ζ/n (mean 1) and share = η·n (sum n), so that no constant depends on the size of the fleet.

use crate::interface::*;
use crate::state::{Attempt, Balancer, Line, Request, Server};
use std::time::Duration;

// Prices. Seconds are s, loads are in capacities, prices and speeds relative to the fleet's mean.
const TICK: f64 = 0.05; // s between price steps: well under the age of any report, finer changes nothing
const STEP: f64 = 0.15; // price per s and unit of excess load (ν): well damped at a second's delay
const LOAD_FACTOR: f64 = 0.7; // part of its capacity a server advertises (ρ); lower in an idle fleet
pub(crate) const REPORT_LIFE: f64 = 0.5; // s for which a report moves the price, where reports are frequent
const REPORT_LONGEST: f64 = 4.0; // the same where they are rare: the mean time between them, at most this
const DRIFT: f64 = 6.0; // s in which an unreported price drifts to the going one, a speed to the mean
const FAILED_PRICE: f64 = 0.5; // price of one failure: it closes a server of mean price and speed
const OWN: f64 = 0.5; // price of own attempts out at a server, relative to those usual there
const PRICE_MOST: f64 = 1.0; // above the going price: so that no server is avoided for long
const FLOOR: f64 = 0.1; // least price + lambda: keeps failing servers nearly closed when bounds leave no room
const LOAD_MOST: f64 = 4.0; // the highest that anything counts for
const OVERDUE: f64 = 2.5; // usual latencies after which an unanswered send counts as load
const SATURATED: f64 = 0.85; // busy part above which a report says only "at least" ...
const EXCESS: f64 = 0.5; // ... and the load beyond it that all busy, full or timed out counts for
const LEAST_BUSY: f64 = 0.05; // busy part from which a report tells capacity
const MEMORY: f64 = 6.0; // latencies over which a speed is smoothed
const PRIOR: [f64; 2] = [8.0, 0.3]; // trust in the mean speed, likewise
const NEWS: f64 = 1.0; // s in which a node wants to hear, by answers, of each server it deals with ...
const LEAST_OPEN: f64 = 5.0; // ... and the fewest that it deals with for a class
const ADMIT: f64 = 0.72; // part of its measured capacity that a server is asked for; reports miss the rest
const UNKNOWN: f64 = 0.4; // part of the mean capacity that a server not heard of yet is trusted with
pub(crate) const RATE_WINDOW: f64 = 1.0; // s over which rates of arrivals and sends are measured
pub(crate) const TENANT_WINDOW: f64 = 5.0; // s for tenants: at low rates a shorter one is all chance
pub(crate) const PART_WINDOW: f64 = 10.0; // s over which this node's part of all traffic is learnt
const SHED: f64 = 0.85; // load met by a blind node's attempts above which a class's arrivals are shed
const SHED_STEP: f64 = 2.0; // e-folds of what is let in, per s and unit of excess load
const SHED_TIME: f64 = 0.5; // s that one attempt speaks for, at most
const SHED_MOST: f64 = 0.98; // the rest goes on asking whether servers are well again
const RECOVER: f64 = 24.0; // s in which shedding drifts back by itself, for when nothing is sent
const WORTHS: usize = 64; // recent arrivals whose worths set the toll
const COLD_PART: f64 = 0.2; // part of a cold server's budget that all nodes spend; the rest is for chance
const HEAVY_PART: f64 = 0.25; // part of it that one request may take
const RETRY_EARN: f64 = 0.2; // further attempts that each request earns (retry budget) ...
pub(crate) const RETRY_MOST: f64 = 10.0; // ... and the most saved up
const PROBES: usize = 5; // for one request: each adds to the chance of an idle server, and to the bill
const IN_TIME: f64 = 0.85; // estimated over real waits at their worst: others' work and speeds vary
const FRESH: f64 = 0.3; // latencies for which a probe's answer, own sends since counted in, needs no other
const PROBE_WAIT: f64 = 4.0; // usual probes' times for which answers are waited for

impl Balancer {
    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => self.list(now, kind, &entries, actions),
            Event::Arrival(arrival) => self.arrival(now, &arrival, actions),
            Event::Begun { request, attempt, latency } => {
                if let Some(server) = self.begun(request, attempt) {
                    self.answered(now, server, latency.as_secs_f64());
                }
            }
            Event::Ended(end) => self.ended(now, &end, actions),
            Event::ClientGone { request } => self.client_gone(request),
            Event::Timer { timer } if self.list_timer == Some(timer) => {
                self.list_timer = None;
                actions.push(Action::Watch);
            }
            Event::Timer { timer } => {
                if let Some(c) = self.choosing.iter().find(|c| c.1 == timer) {
                    self.choose(now, c.0, true, actions);
                }
            }
            Event::Probed(probed) => self.probed(now, &probed, actions),
        }
    }

    // ---- the list ----
    fn list(&mut self, now: Time, kind: ListKind, entries: &[ServerEntry], actions: &mut Vec<Action>) {
        // Where lists come on request, calls are spread at random: all nodes may have started together, and a
        // failed call means that discovery is busy. The last list stays valid.
        if self.settings.list_on_request && matches!(kind, ListKind::Cached | ListKind::Failed) {
            let spread = self.settings.rules.ask_within.as_secs_f64().clamp(1.0, 30.0) / 5.0;
            let wait = self.random() * spread;
            self.list_timer = Some(self.set_timer(now, wait, actions));
        }
        if kind != ListKind::Failed {
            self.take_list(now, kind, entries);
            self.solved = None;
        }
    }

    // ---- prices and shares ----
    /// Moves a server's price by the ticks since it was last looked at.
    fn step(&mut self, i: usize, now: Time) {
        let load_factor = LOAD_FACTOR.min(self.mean_load);
        let s = &mut self.servers[i];
        let ticks = ((now - s.stepped).as_secs_f64() / TICK).floor();
        if ticks < 1.0 {
            return;
        }
        let since = (s.stepped - s.reported).as_secs_f64();
        s.stepped = s.stepped + Duration::from_secs_f64(ticks * TICK);
        let mut live = s.load.map_or(0.0, |_| (self.report_life - since).clamp(0.0, ticks * TICK));
        let mut load = s.load.unwrap_or(0.0);
        // A hung server reports nothing: its oldest unanswered send speaks for it.
        let overdue = s.out.first().map_or(0.0, |&t| (now - t).as_secs_f64() / (OVERDUE * self.latency));
        if overdue > 1.0 {
            (live, load) = (ticks * TICK, overdue.min(LOAD_MOST));
        }
        s.price = (s.price + STEP * live * (load - load_factor)).clamp(0.0, self.going_price + PRICE_MOST);
        // A server that gets nothing reports nothing: without a way back it would be avoided for ever.
        s.price += (self.going_price - s.price) * ((ticks * TICK - live) / DRIFT).min(1.0);
    }

    /// Brings prices and shares up to date once a tick, when a draw is due.
    fn solve(&mut self, now: Time) {
        let dt = self.solved.map_or(TICK, |at| (now - at).as_secs_f64());
        if dt < TICK || self.ready.is_empty() {
            return;
        }
        self.solved = Some(now);
        self.refused *= 1.0 - (dt / RECOVER).min(1.0);
        let n = self.ready.len() as f64;
        let [mut price, mut load, mut loads, mut speed, mut speeds, mut weight] = [0.0; 6];
        for k in 0..self.ready.len() {
            let i = self.ready[k];
            self.step(i, now);
            let s = &mut self.servers[i];
            price += s.price / n;
            weight += s.weight / n;
            // Old reports fade out of the fleet's mean load: a fleet that refuses much hears little news.
            if let Some(l) = s.load {
                let trust = (self.report_life - (now - s.reported).as_secs_f64()).min(0.0).exp();
                load += l * trust;
                loads += trust;
            }
            if (now - s.answered).as_secs_f64() > DRIFT / 2.0 {
                s.evidence *= 1.0 - (dt / DRIFT).min(1.0);
            }
            speed += s.speed * s.evidence;
            speeds += s.evidence;
        }
        self.mean_price = price;
        self.mean_load = if loads > 0.01 { load / loads } else { 0.0 };
        self.mean_speed = if speeds > 0.0 { speed / speeds } else { 1.0 };
        let flows: Vec<f64> = self.markets.iter_mut().map(|m| m.arrivals.add(now, 0.0)).collect();
        let asked = flows.iter().sum::<f64>().max(1e-9);
        let known = self.settings.reports_rate && speeds > 0.0;
        let prior = PRIOR[usize::from(self.settings.reports_rate)];
        let own_price = if self.blind { OWN } else { 0.0 };
        let own = self.ready.iter().map(|&i| &self.servers[i]);
        let (out, shares) = own.fold((0.0, 1e-9), |sum, s| (sum.0 + s.out.len() as f64, sum.1 + s.share));
        let lines = self.ready.iter().map(|&i| {
            let s = &self.servers[i];
            let speed = if self.settings.weights_given {
                s.weight / weight
            } else {
                (s.speed / self.mean_speed * s.evidence + prior) / (s.evidence + prior)
            };
            // No node asks more of a server than its part of what that can do (the paper's local constraint,
            // eq. 10): else shares gather on one cheap server and break it.
            let mut most = f64::INFINITY;
            if known {
                let capacity = if s.evidence > 0.0 { s.speed } else { self.mean_speed * UNKNOWN };
                most = ADMIT * capacity * self.part * n / asked;
            }
            // A cold server falls over when all nodes together rush it: its share stays within a part of
            // what the rule allows it, measured by what a warm peer takes.
            let warmth = s.warmth(&self.settings.rules, now);
            if warmth < 1.0 {
                most = most.min(warmth * self.settings.rules.fall_multiple * COLD_PART);
            }
            // Reports lag; what this node itself has out beyond the usual is known at once.
            let usual = out * s.share / shares;
            let price = s.price + own_price * (s.out.len() as f64 - usual) / (usual + 1.0);
            // Where new connections fail, a server without an open one is dearer.
            let shut = if known || s.connected(now, self.settings.conn_idle) { 0.0 } else { self.refused };
            Line { price: price + shut, speed: speed.max(0.01), most }
        });
        let lines: Vec<Line> = lines.collect();
        let floor = if known { FLOOR } else { 0.0 };
        self.trade(&lines, &flows, floor, now, dt.min(1.0));
        if known {
            self.learn_part(now, dt);
        }
    }

    /// Solves each class's shares over its open servers. Bounds are on a server's whole flow: a class gets
    /// as much of them as of the flow that equal shares would bring there.
    fn trade(&mut self, lines: &[Line], flows: &[f64], floor: f64, now: Time, dt: f64) {
        let (n, asked) = (lines.len() as f64, flows.iter().sum::<f64>().max(1e-9));
        let mut open = self.placed();
        let (mut density, mut taken) = (vec![0.0; lines.len()], vec![vec![0.0; lines.len()]; flows.len()]);
        let works: Vec<f64> = self.markets.iter().zip(flows).map(|(m, flow)| m.work * flow).collect();
        for (c, placed) in open.iter().enumerate() {
            let count = placed.len() as f64;
            placed.iter().for_each(|&k| density[k] += flows[c] / asked * n / count);
            // What more tightly placed classes bring to a server is no longer there for the others.
            for (g, tight) in open.iter().enumerate().filter(|g| g.1.len() < placed.len() && works[c] > 0.0) {
                let speeds: f64 = tight.iter().map(|&k| lines[k].speed).sum();
                let brought = works[g] / works[c] * count / speeds;
                tight.iter().for_each(|&k| taken[c][k] += brought * lines[k].speed);
            }
        }
        // A blind node deals with as many servers as it can hear of in time.
        for (c, open) in open.iter_mut().enumerate().filter(|_| self.blind) {
            let flow = self.markets[c].steady.young(now);
            open.truncate((NEWS * flow).max(LEAST_OPEN).ceil() as usize);
        }
        self.ready.iter().for_each(|&i| self.servers[i].share *= 0.95);
        let (mut going, mut sums) = (0.0, vec![(0.0, 0.0); flows.len()]);
        for (c, open) in open.iter().enumerate() {
            let m = &mut self.markets[c];
            m.open = open.len() as f64;
            m.shares.clear();
            m.shares.resize(lines.len(), 0.0);
            let left = |k: usize| lines[k].speed / (1.0 + taken[c][k]);
            let mean = open.iter().map(|&k| left(k)).sum::<f64>() / m.open;
            let most = |k: usize| lines[k].most / density[k].max(1e-9);
            let own = |&k: &usize| Line { price: lines[k].price, speed: left(k) / mean, most: most(k) };
            let own: Vec<Line> = open.iter().map(own).collect();
            let mut shares = Vec::new();
            m.lambda = solve_shares(&own, floor, m.lambda, &mut shares);
            let part = flows[c] / asked;
            for (k, share) in open.iter().zip(&shares) {
                m.shares[*k] = *share;
                self.servers[self.ready[*k]].share += part * share / m.open;
                going += part * self.servers[self.ready[*k]].price * share / m.open;
            }
            let leader = &mut sums[m.leader];
            leader.0 += part * (1.0 - shares.iter().sum::<f64>() / m.open.max(1.0));
            leader.1 += part;
        }
        self.going_price = going;
        for (c, (refused, part)) in sums.into_iter().enumerate() {
            let m = &mut self.markets[c];
            if c == m.leader {
                m.refused *= 1.0 - (dt / RECOVER).min(1.0);
                let refused = m.refused.max(refused / part.max(1e-9));
                self.clear(c, refused);
            }
        }
    }

    /// Sets the toll that turns away the part of recent arrivals that shares leave without a place.
    fn clear(&mut self, class: usize, refused: f64) {
        let m = &mut self.markets[class];
        let (mut low, mut high) = (0.0, 2.0 * m.worths.iter().copied().fold(0.0, f64::max));
        while refused > 1e-3 && high - low > 1e-3 * high {
            let toll = (low + high) / 2.0;
            let turned: f64 = m.worths.iter().map(|w| (toll / w.max(1e-9)).min(1.0)).sum();
            *(if turned < refused * m.worths.len() as f64 { &mut low } else { &mut high }) = toll;
        }
        m.toll = if refused > 1e-3 { high } else { 0.0 };
    }

    /// Takes in a server's word on its load.
    fn report(&mut self, now: Time, server: ServerId, report: &LoadReport) {
        let Some(&i) = self.index.get(&server) else { return };
        let usable = |v: Option<f64>| v.filter(|v| v.is_finite() && *v >= 0.0);
        let Some(busy) = usable(report.busy).map(|b| b.min(LOAD_MOST)) else { return };
        self.step(i, now);
        let s = &mut self.servers[i];
        let waiting = usable(report.waiting).unwrap_or(0.0);
        let held = usable(report.held).filter(|_| report.waiting.is_none());
        let mut load = busy + waiting;
        // Held beyond what goes with its busy part waits.
        if let Some(held) = held {
            self.usual_held.learn(busy > LEAST_BUSY && busy < SATURATED, held, busy);
            load = load.max(self.usual_held.load(held));
        }
        let excess = EXCESS * ((busy - SATURATED) / (1.0 - SATURATED)).clamp(0.0, 1.0);
        s.load = Some((load + excess).min(LOAD_MOST));
        s.rate = usable(report.rate).unwrap_or(0.0);
        if s.rate > 0.0 && busy > LEAST_BUSY {
            s.learn(now, s.rate / busy, 1.0); // The latest says more than all before it.
        }
        let gap = (now - std::mem::replace(&mut s.reported, now)).as_secs_f64();
        if self.blind {
            self.report_life += (gap.clamp(REPORT_LIFE, REPORT_LONGEST) - self.report_life) / 64.0;
        }
    }

    fn answered(&mut self, now: Time, server: ServerId, latency: f64) {
        let latency = latency.max(1e-6);
        // A quantile, not a mean: answers of servers in trouble must not pass for usual.
        self.latency *= if latency > self.latency { 1.012 } else { 0.992 };
        if let (Some(&i), false) = (self.index.get(&server), self.settings.reports_rate) {
            self.servers[i].learn(now, 1.0 / latency, MEMORY);
        }
    }

    /// Failures cost: failing fast would look idle. To a blind node full or timed out is at the limit.
    fn failed(&mut self, now: Time, server: ServerId, outcome: Outcome) {
        let Some(&i) = self.index.get(&server) else { return };
        self.step(i, now);
        let s = &mut self.servers[i];
        let full = self.blind && outcome == Outcome::TurnedAway;
        if !full {
            s.price = (s.price + FAILED_PRICE).min(self.going_price + PRICE_MOST);
            self.solved = None;
        }
        let spent = full || self.blind && outcome == Outcome::TimedOut;
        s.load = spent.then(|| s.load.unwrap_or(0.0).max(1.0 + EXCESS));
        s.reported = if spent { now } else { s.reported };
    }

    /// Moves the shed part of a class's arrivals by what one attempt met; without news it drifts back slowly.
    fn weigh(&mut self, now: Time, class: usize, load: f64) {
        let leader = self.markets[class].leader;
        let m = &mut self.markets[leader];
        let time = (now - m.weighed).as_secs_f64().min(SHED_TIME);
        m.weighed = now;
        m.refused = 1.0 - (1.0 - m.refused) * (-SHED_STEP * time * (load - SHED)).exp();
        m.refused = m.refused.clamp(0.0, SHED_MOST);
    }

    // ---- requests ----
    fn arrival(&mut self, now: Time, a: &Arrival, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&a.request) {
            return;
        }
        let class = ClassId(a.class.0.min(self.settings.classes.len() as u8 - 1));
        let work = a.work.map(|w| w.as_secs_f64());
        let (attempts, asked) = (Vec::new(), Vec::new());
        let ends = now + a.remaining;
        let r = Request { class, arrived: now, ends, work, open: true, begun: false, attempts, asked };
        self.requests.insert(a.request, r);
        self.further = (self.further + RETRY_EARN).min(RETRY_MOST);
        self.markets[usize::from(class.0)].arrivals.add(now, 1.0);
        let worth = self.worth(now, class, a.tenant);
        self.solve(now);
        let toll = self.markets[self.markets[usize::from(class.0)].leader].toll;
        // Work beyond the aim can only be late, and takes room from work that can be in time.
        let hopeless = work.is_some_and(|w| w > self.aim(class, work));
        if let (Some(w), false) = (work, hopeless) {
            self.markets[usize::from(class.0)].learn_work(w);
            self.mean_work += (w - self.mean_work) * if self.mean_work > 0.0 { 1.0 / 32.0 } else { 1.0 };
        }
        if hopeless || a.remaining.is_zero() || self.random() * worth < toll {
            self.finish(a.request, actions);
        } else {
            self.place(now, a.request, actions);
        }
    }

    /// Worth of a request at its tenant's present rate.
    fn worth(&mut self, now: Time, class: ClassId, tenant: TenantId) -> f64 {
        let mut worth = self.settings.classes[usize::from(class.0)].worth;
        if let Some(rate) = self.tenants.get_mut(usize::from(tenant.0)) {
            let rate = rate.add(now, 1.0) * f64::from(self.settings.nodes);
            let within = (self.settings.tenants[usize::from(tenant.0)].quota_per_s / rate).min(1.0);
            worth *= within + (1.0 - within) * self.settings.over_share_worth;
        }
        let leader = self.markets[usize::from(class.0)].leader;
        self.markets[leader].note_worth(worth, WORTHS);
        worth
    }

    /// Whether a request's next attempt may go to this server, by any rule; every send passes here.
    fn open(&self, now: Time, r: &Request, s: &Server) -> bool {
        let class = &self.settings.classes[usize::from(r.class.0)];
        let rules = &self.settings.rules;
        let warmth = s.warmth(rules, now);
        // One heavy request can spend a cold server's whole budget.
        let budget = HEAVY_PART * rules.fall_multiple * rules.fall_time.as_secs_f64() * warmth;
        if s.state != ServerState::Ready
            || !placed(class, s)
            || r.attempts.iter().any(|a| a.server == s.id)
            || (!self.settings.second_copies && !r.idle())
            || (warmth < 1.0 && r.work.unwrap_or(0.0) >= budget)
        {
            return false;
        }
        let Some(risky) = r.attempts.iter().find(|a| a.risky()) else { return true };
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { window, .. } if now - risky.sent >= window => false,
            Effect::Keyed { group: Group::All, .. } => true,
            Effect::Keyed { group: Group::Zone, .. } => s.zone == risky.zone,
            Effect::Keyed { group: Group::Cell, .. } => s.cell == risky.cell,
        }
    }

    /// Draws a server by share among those open to this request. What closed servers leave goes to warm ones:
    /// a cold server keeps its share and no more, since its bound holds for that.
    fn draw(&mut self, now: Time, id: RequestId, warm_only: bool) -> Option<usize> {
        self.solve(now);
        let mark = self.random();
        let r = self.requests.get(&id)?;
        let m = &self.markets[usize::from(r.class.0)];
        let (mut cold, mut warm, mut cold_sum, mut warm_sum) = (Vec::new(), Vec::new(), 0.0, 0.0);
        for (&i, &share) in self.ready.iter().zip(&m.shares) {
            let s = &self.servers[i];
            if share <= 0.0 || r.asked.iter().any(|a| a.0 == s.id) || !self.open(now, r, s) {
                continue;
            }
            let (list, sum) = match s.warmth(&self.settings.rules, now) < 1.0 {
                true if warm_only => continue,
                true => (&mut cold, &mut cold_sum),
                false => (&mut warm, &mut warm_sum),
            };
            *sum += share;
            list.push((i, *sum));
        }
        // The toll has turned away already what bounds leave without a place on a first try.
        let first = r.attempts.is_empty() && r.asked.is_empty();
        let whole = if first { m.shares.iter().sum() } else { m.open };
        type Marks = [(usize, f64)];
        let pick = |l: &Marks, at: f64| l.iter().find(|m| m.1 > at).or(l.last()).map(|m| m.0);
        match mark * whole {
            at if at < cold_sum => pick(&cold, at),
            at => pick(&warm, (at - cold_sum) / (whole - cold_sum) * warm_sum),
        }
    }

    /// Finds a server for a request's next attempt: by probes where load is told only to them.
    fn place(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if self.settings.reports == Reports::ByProbe && self.settings.may_probe {
            return self.ask(now, id, actions);
        }
        let server = self.draw(now, id, false);
        self.send(now, id, server, actions);
        server.is_some()
    }

    fn send(&mut self, now: Time, id: RequestId, server: Option<usize>, actions: &mut Vec<Action>) {
        let fits = |i: &usize| self.requests.get(&id).is_some_and(|r| self.open(now, r, &self.servers[*i]));
        let Some(i) = server.filter(fits) else { return self.finish(id, actions) };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let s = &mut self.servers[i];
        let fresh = !s.connected(now, self.settings.conn_idle);
        s.out.push(now);
        s.held = s.held.map(|held| held + 1.0);
        self.sends.add(now, 1.0);
        self.markets[usize::from(r.class.0)].steady.add(now, 1.0);
        let (server, zone, cell) = (s.id, s.zone, s.cell);
        r.attempts.push(Attempt { server, zone, cell, sent: now, ended: false, may_have_run: false, fresh });
        actions.push(Action::Send { request: id, server, limit: Some(r.ends - now) });
    }

    fn ended(&mut self, now: Time, end: &Ended, actions: &mut Vec<Action>) {
        end.report.iter().for_each(|report| self.report(now, end.server, report));
        let Some(r) = self.requests.get_mut(&end.request) else { return };
        let Some(a) = r.attempts.get_mut(end.attempt as usize).filter(|a| !a.ended) else { return };
        a.ended = true;
        a.may_have_run = !end.outcome.never_ran();
        let (server, sent, fresh) = (a.server, a.sent, a.fresh);
        r.open &= !end.closed;
        let (streamed, over) = (r.begun, !r.open || !r.idle());
        let (class, work) = (usize::from(r.class.0), r.work);
        self.returned(server, sent);
        self.learn_connection(now, server, fresh, end.outcome);
        if let (Outcome::Served, None) = (end.outcome, work) {
            self.markets[class].learn_work(end.latency.as_secs_f64());
        }
        let aim = self.aim(ClassId(class as u8), work);
        let load = end.report.and(self.index.get(&server)).and_then(|&i| self.servers[i].load);
        let latency = end.latency.as_secs_f64();
        let load = match end.outcome {
            Outcome::TurnedAway => Some(1.0 + EXCESS),
            Outcome::TimedOut if latency > OVERDUE * self.latency => Some(1.0 + EXCESS),
            Outcome::Served => Some(load.unwrap_or(0.0).max((latency / aim).min(1.0 + EXCESS))),
            _ => load,
        };
        if let (Some(load), true) = (load, self.blind) {
            self.weigh(now, class, load);
        }
        match end.outcome {
            Outcome::Served if !streamed => self.answered(now, server, latency),
            Outcome::Served | Outcome::Cancelled | Outcome::NotSent => {}
            outcome => self.failed(now, server, outcome),
        }
        if over {
            return self.forget(end.request);
        }
        // Another attempt where class, time and the retry budget allow; the budget keeps collapses unfed.
        let Some(r) = self.requests.get(&end.request) else { return };
        let left = self.aim(r.class, r.work) - (now - r.arrived).as_secs_f64();
        let tries = (r.attempts.len() as u32) < self.settings.max_attempts;
        if left < 0.5 * self.latency || r.ends <= now || !tries || self.further < 1.0 {
            self.finish(end.request, actions);
        } else if self.place(now, end.request, actions) {
            self.further -= 1.0;
        }
    }

    /// The final answer of a request that is given up: refused where that is true to its class, else failed.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.open && !r.begun) else { return };
        r.open = false;
        let harmless = match self.settings.classes[usize::from(r.class.0)].effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            _ => !r.attempts.iter().any(Attempt::risky),
        };
        actions.push(match harmless {
            true => Action::Refuse { request: id, wait: self.settings.max_wait },
            false => Action::Fail { request: id },
        });
        self.forget(id);
    }

    // ---- probes ----
    /// Probes a few servers drawn by share; only the first may be cold, lest the best-of draw rush it. What
    /// was heard a moment ago, or is being asked already, is not asked again.
    fn ask(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let wait = PROBE_WAIT * self.probe_latency;
        for k in 0..PROBES {
            let Some(i) = self.draw(now, id, k > 0) else { break };
            let s = &mut self.servers[i];
            let Some(r) = self.requests.get_mut(&id) else { break };
            let fresh = s.held.filter(|_| (now - s.heard).as_secs_f64() < FRESH * self.latency);
            r.asked.push((s.id, fresh));
            if fresh.is_none() && s.probing.is_none_or(|at| (now - at).as_secs_f64() >= wait) {
                s.probing = Some(now);
                actions.push(Action::Probe { server: s.id });
            }
        }
        let Some(r) = self.requests.get(&id).filter(|r| !r.asked.is_empty()) else {
            self.finish(id, actions);
            return false;
        };
        if r.asked.iter().all(|a| a.1.is_some()) {
            self.choose(now, id, true, actions);
            return true;
        }
        let wait = wait.min((r.ends - now).as_secs_f64());
        let timer = self.set_timer(now, wait, actions);
        self.choosing.push((id, timer));
        true
    }

    fn probed(&mut self, now: Time, p: &Probed, actions: &mut Vec<Action>) {
        let mut load = f64::INFINITY;
        if let Some(&i) = self.index.get(&p.server) {
            self.servers[i].probing = None;
        }
        match p.outcome {
            Outcome::Served => {
                self.probe_latency += (p.latency.as_secs_f64() - self.probe_latency) / 32.0;
                let report = p.report.unwrap_or_default();
                self.report(now, p.server, &report);
                load = report.held.or(report.busy).filter(|h| h.is_finite() && *h >= 0.0).unwrap_or(load);
                if let (Some(&i), true) = (self.index.get(&p.server), load.is_finite()) {
                    (self.servers[i].held, self.servers[i].heard) = (Some(load), now);
                }
            }
            Outcome::NotSent => {} // The node's own shortage says nothing of the server.
            outcome => self.failed(now, p.server, outcome),
        }
        for k in (0..self.choosing.len()).rev() {
            let id = self.choosing[k].0;
            let Some(r) = self.requests.get_mut(&id) else { continue };
            if let Some(a) = r.asked.iter_mut().find(|a| a.0 == p.server && a.1.is_none()) {
                a.1 = Some(load);
                self.choose(now, id, false, actions);
            }
        }
    }

    /// Sends to the best of the servers asked, once all have answered or the wait is over.
    fn choose(&mut self, now: Time, id: RequestId, late: bool, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !late && r.asked.iter().any(|a| a.1.is_none()) {
            return;
        }
        let asked = std::mem::take(&mut r.asked);
        let (work, class, left) = (r.work.unwrap_or(self.mean_work), r.class, r.ends - now);
        self.choosing.retain(|c| c.0 != id);
        // Other requests of this node may have gone there since.
        let answers = asked.iter().filter_map(|a| {
            let (load, &i) = (a.1.filter(|l| l.is_finite())?, self.index.get(&a.0)?);
            Some((self.servers[i].held.unwrap_or(load), i))
        });
        let shut = self.refused * self.settings.connect_timeout.as_secs_f64();
        let best = answers
            .filter(|b| self.servers[b.1].state == ServerState::Ready)
            .map(|(load, i)| {
                let open = self.servers[i].connected(now, self.settings.conn_idle);
                (load * self.mean_work + if open { 0.0 } else { shut }, i)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let server = match best {
            // What would be answered too late only takes room from work that can still be in time.
            Some(b) if b.0 / IN_TIME + work > self.aim(class, Some(work)) => None,
            Some(b) => Some(b.1),
            None => self.draw(now, id, false),
        };
        self.send(now, id, server.filter(|_| !left.is_zero()), actions);
    }
}

/// Whether a class may ever go to a server: its placement, by zone and kind.
pub(crate) fn placed(class: &Class, s: &Server) -> bool {
    class.zones.as_ref().is_none_or(|open| open.contains(&s.zone))
        && class.kinds.as_ref().is_none_or(|open| open.contains(&s.kind))
}

/// share = [1/(price + lambda) − 1/speed]₊, at most `most`, of sum n: the maximum of Σ ln(1 + share·speed)
/// − price·share. Newton steps on lambda, kept inside a shrinking bracket. Returns lambda.
fn solve_shares(lines: &[Line], floor: f64, start: f64, shares: &mut Vec<f64>) -> f64 {
    let n = lines.len() as f64;
    let share = |l: &Line, lambda: f64| match l.price + lambda {
        dear if dear > 0.0 => (1.0 / dear - 1.0 / l.speed).clamp(0.0, l.most),
        _ => l.most, // Cheaper than any share can make it: its bound alone holds.
    };
    // Where the bounds leave no room for n the rest is refused: lower, even dear servers would fill up. A
    // bounded server that stays cheap, as an idle cold one does, doesn't count: it would close the others.
    let least = |bounded: bool| lines.iter().filter(move |l| l.most.is_finite() == bounded).map(|l| l.price);
    let least = |bounded| least(bounded).fold(f64::INFINITY, f64::min);
    let cheapest = if least(false).is_finite() { least(false) } else { least(true) };
    let mut low = floor - cheapest;
    let mut high = lines.iter().map(|l| l.speed - l.price).fold(low, f64::max);
    let mut lambda = if start > low && start < high { start } else { (low + high) / 2.0 };
    for _ in 0..60 {
        let (mut sum, mut slope) = (0.0, 0.0);
        for l in lines {
            let s = share(l, lambda);
            sum += s;
            if s > 0.0 && s < l.most {
                slope -= 1.0 / (l.price + lambda).powi(2);
            }
        }
        if (sum - n).abs() < 1e-6 * n || high - low < 1e-9 {
            break;
        }
        *(if sum > n { &mut low } else { &mut high }) = lambda;
        let newton = lambda - (sum - n) / slope;
        lambda = if newton > low && newton < high { newton } else { (low + high) / 2.0 };
    }
    shares.clear();
    shares.extend(lines.iter().map(|l| share(l, lambda)));
    lambda
}

#[cfg(test)]
#[path = "logic_tests.rs"]
mod tests;
