//! Clients: when requests come, what their answers are worth, when they come again.

use super::{Order, Try, World, MARGIN};
use crate::agenda::Happening;
use crate::book::{Cause, Second};
use crate::hall::{since_origin, Life};
use crate::scenario::{seconds, Clients, EffectOf, TENANTS};
use birchswitch_engine::{Answer, Incoming};
use finchvale::{ClassId, Outcome, ServerId, TenantId, Time};

impl World {
    pub(super) fn next_arrival(&mut self) {
        let rate = self.scenario.rate(self.size) * self.rate * (1.0 + TENANTS[1] * (self.tenant - 1.0));
        let next = self.now + seconds(self.clients.exponential(1.0 / rate.max(1e-6)));
        if next < self.ends {
            self.agenda.put(next, Happening::Arrival);
        }
    }

    pub(super) fn arrival(&mut self) {
        let s = &self.scenario;
        let (class, tenant, node) = (self.clients.unit(), self.clients.unit(), self.clients.unit());
        let heavy = self.clients.unit();
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let mut sum = 0.0;
        let up_to = self.classes.iter().map(|c| {
            sum += c.share / shares;
            sum
        });
        let class = up_to.take_while(|sum| class >= *sum).count().min(self.classes.len() - 1);
        let second = TENANTS[1] * self.tenant;
        let tenant = u16::from(tenant < second / (TENANTS[0] + second));
        let n = self.places.len();
        let all = n as f64 - 1.0 + self.loud;
        let node = match self.weights.last() {
            Some(sum) => self.weights.partition_point(|w| *w <= node * sum),
            None => (node * all - self.loud + 1.0).max(0.0) as usize,
        };
        let place = node.min(n - 1);
        let kind = &self.classes[class];
        let mut work = self.clients.lognormal(kind.work, kind.cv);
        if class == 0 && heavy < self.heavy.0 {
            work *= self.heavy.1;
        }
        let worth = kind.worth * if s.hints { work } else { 1.0 };
        let class = class as u8;
        let order = self.orders.len();
        self.orders.push(Order {
            at: self.now,
            class,
            tenant,
            place,
            work,
            worth,
            tries: 0,
            begun: Vec::new(),
            taken: None,
            refused: false,
            ended: None,
            broken: false,
        });
        self.book.firsts += 1;
        self.book.offered += worth;
        let second = self.second(order);
        second.offered += worth;
        second.firsts += 1;
        self.next_arrival();
        self.try_once(order);
    }

    pub(super) fn second(&mut self, order: usize) -> &mut Second {
        let k = since_origin(self.orders[order].at).as_secs_f64() as usize;
        let last = self.book.seconds.len() - 1;
        &mut self.book.seconds[k.min(last)]
    }

    pub(super) fn try_once(&mut self, order: usize) {
        let o = &mut self.orders[order];
        o.tries += 1;
        o.refused = false;
        let ends = self.now + seconds(self.classes[usize::from(o.class)].deadline);
        let (sent, outcome) = (None, None);
        let of = self.tries.len();
        self.tries.push(Try {
            order,
            at: self.now,
            ends,
            answers: 0,
            sent,
            attempts: 0,
            outcome,
            lost: false,
        });
        self.book.tries += 1;
        let deadline = Time(ends.0.saturating_sub(MARGIN.as_nanos() as u64));
        let incoming = Incoming {
            body_complete: true,
            class: ClassId(o.class),
            tenant: TenantId(o.tenant),
            work: self.scenario.hints.then(|| seconds(o.work)),
            deadline,
            answer_deadline: deadline,
            external_id: of.to_be_bytes().into(),
            request: of,
        };
        let node = self.places[o.place];
        if self.nodes[node].dead {
            o.ended = Some(Err(Cause::NodeGone));
            self.tries[of].lost = true;
            return;
        }
        self.book.events += 1;
        if let Ok(id) = self.nodes[node].engine.submit(self.now, incoming) {
            self.nodes[node].requests.insert(id, of);
        }
        self.pump(node);
    }

    pub(super) fn answered(&mut self, of: usize, answer: &Answer<()>) {
        let t = &mut self.tries[of];
        t.answers += 1;
        let order = t.order;
        if t.answers > 1 || self.now > t.ends {
            self.book.broken.answers += 1;
            return;
        }
        let served = matches!(answer, Answer::Served(()));
        let kind = &self.classes[usize::from(self.orders[order].class)];
        if served && self.orders[order].tries == 1 {
            self.book.took.push((self.now - t.at).as_secs_f64());
        }
        let in_time = served && self.now <= t.at + seconds(kind.aim);
        let may_repeat = kind.effect != EffectOf::Unsafe;
        let ended = if in_time { Ok(()) } else { Err(self.why(of, answer)) };
        let o = &mut self.orders[order];
        o.refused = matches!(answer, Answer::Refused(_));
        // What was refused must not have run, nor run later.
        if o.refused && !may_repeat && !o.begun.is_empty() && !std::mem::replace(&mut o.broken, true) {
            self.book.broken.effects += 1;
        }
        o.ended = Some(ended);
        let Clients { retries, backoff, honour } = self.scenario.clients;
        if let (Answer::Refused(wait), true) = (answer, o.tries <= retries) {
            let advised = wait.filter(|_| honour);
            let jitter = 1.0 + 0.2 * self.clients.unit();
            let wait = advised.unwrap_or(seconds(backoff)).mul_f64(jitter);
            // Whoever has a key comes again while it is surely remembered.
            let kind = &self.classes[usize::from(self.orders[order].class)];
            let known = seconds(kind.window() - kind.deadline);
            let known = !kind.effect.is_keyed() || self.now + wait < self.orders[order].at + known;
            if known && self.now + wait < self.ends {
                self.agenda.put(self.now + wait, Happening::Retry(order));
            }
        }
    }

    /// Why a try earned nothing, by what was true.
    pub(super) fn why(&self, of: usize, answer: &Answer<()>) -> Cause {
        let t = &self.tries[of];
        let o = &self.orders[t.order];
        let aim = seconds(self.classes[usize::from(o.class)].aim);
        let hopeless = o.work > aim.as_secs_f64();
        let hall = self.hall.borrow();
        let Some((server, sent, work)) = t.sent.filter(|_| !matches!(answer, Answer::Refused(_))) else {
            if hopeless {
                return Cause::Hopeless;
            }
            let now = since_origin(self.now);
            let ready = (0..hall.machines.len()).filter(|&s| hall.machines[s].model.warmth(now) >= 1.0);
            let mut done = ready.filter_map(|s| hall.done(self.now, ServerId(s as u32), o.work));
            return match done.any(|d| d <= t.at + aim) {
                false => Cause::RefusedFull,
                true if t.attempts > 0 => Cause::RefusedAfterAttempts,
                true if self.now > t.at => Cause::RefusedAfterProbes,
                true => Cause::RefusedAtDoor,
            };
        };
        if let Some(Outcome::Error | Outcome::Broken | Outcome::Unreachable | Outcome::Rejected) = t.outcome {
            return Cause::ServerFailed;
        }
        let m = &hall.machines[server];
        let late = (self.now - (t.at + aim)).as_secs_f64();
        let frozen: f64 = m
            .freezes
            .iter()
            .map(|f| {
                let (from, to) = (f.0.max(sent), f.1.min(self.now));
                (to - from).as_secs_f64()
            })
            .sum();
        match () {
            () if m.life != Life::Up => Cause::ServerFailed,
            () if frozen > 0.0 && frozen >= 0.9 * late => Cause::Frozen,
            () if hopeless => Cause::Hopeless,
            () if m.model.warmth(since_origin(self.now)) < 1.0 => Cause::Cold,
            () if m.model.slowed(since_origin(self.now)) => Cause::Neighbour,
            () if (work - o.work) / m.speed >= late => Cause::Underestimated,
            () if t.outcome == Some(Outcome::Cancelled) => Cause::GivenUp,
            () => Cause::Queued,
        }
    }
}
