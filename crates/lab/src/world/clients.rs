//! Clients: arrivals, evaluation of answers, and retries.

use super::{ClientRequest, Try, World, MARGIN};
use crate::event_queue::SimEvent;
use crate::pool::{since_origin, Lifecycle};
use crate::scenario::{seconds, Clients, EffectSpec, TENANTS};
use crate::stats::{LossCause, Second};
use birchswitch_engine::{Answer, Incoming};
use finchvale::{ClassId, Outcome, ServerId, TenantId, Time};

impl World {
    pub(super) fn next_arrival(&mut self) {
        let rate = self.scenario.rate(self.size) * self.rate * (1.0 + TENANTS[1] * (self.tenant - 1.0));
        let next = self.now + seconds(self.client_rng.exponential(1.0 / rate.max(1e-6)));
        if next < self.ends {
            self.queue.schedule(next, SimEvent::ClientArrival);
        }
    }

    pub(super) fn client_arrival(&mut self) {
        let s = &self.scenario;
        let (class, tenant, node) = (self.client_rng.unit(), self.client_rng.unit(), self.client_rng.unit());
        let heavy = self.client_rng.unit();
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
        let mut work = self.client_rng.lognormal(kind.work, kind.cv);
        if class == 0 && heavy < self.heavy.0 {
            work *= self.heavy.1;
        }
        let worth = kind.worth * if s.hints { work } else { 1.0 };
        let class = class as u8;
        let request = self.client_requests.len();
        self.client_requests.push(ClientRequest {
            at: self.now,
            class,
            tenant,
            place,
            work,
            worth,
            tries: 0,
            started_cells: Vec::new(),
            first_accepted: None,
            refused: false,
            ended: None,
            violated: false,
        });
        self.stats.first_tries += 1;
        self.stats.offered += worth;
        let second = self.second_stats(request);
        second.offered += worth;
        second.first_tries += 1;
        self.next_arrival();
        self.submit_try(request);
    }

    pub(super) fn second_stats(&mut self, request: usize) -> &mut Second {
        let k = since_origin(self.client_requests[request].at).as_secs_f64() as usize;
        let last = self.stats.seconds.len() - 1;
        &mut self.stats.seconds[k.min(last)]
    }

    pub(super) fn submit_try(&mut self, request: usize) {
        let o = &mut self.client_requests[request];
        o.tries += 1;
        o.refused = false;
        let ends = self.now + seconds(self.classes[usize::from(o.class)].deadline);
        let (sent, outcome) = (None, None);
        let try_index = self.tries.len();
        self.tries.push(Try {
            request,
            at: self.now,
            ends,
            answers: 0,
            sent,
            attempts: 0,
            outcome,
            lost: false,
        });
        self.stats.tries += 1;
        let deadline = Time(ends.0.saturating_sub(MARGIN.as_nanos() as u64));
        let incoming = Incoming {
            body_complete: true,
            class: ClassId(o.class),
            tenant: TenantId(o.tenant),
            work: self.scenario.hints.then(|| seconds(o.work)),
            deadline,
            answer_deadline: deadline,
            external_id: try_index.to_be_bytes().into(),
            request: try_index,
        };
        let node = self.places[o.place];
        if self.nodes[node].dead {
            o.ended = Some(Err(LossCause::NodeGone));
            self.tries[try_index].lost = true;
            return;
        }
        self.stats.events += 1;
        if let Ok(id) = self.nodes[node].engine.submit(self.now, incoming) {
            self.nodes[node].requests.insert(id, try_index);
        }
        self.run_commands(node);
    }

    pub(super) fn answered(&mut self, try_index: usize, answer: &Answer<()>) {
        let t = &mut self.tries[try_index];
        t.answers += 1;
        let request = t.request;
        if t.answers > 1 || self.now > t.ends {
            self.stats.violations.answers += 1;
            return;
        }
        let served = matches!(answer, Answer::Served(()));
        let kind = &self.classes[usize::from(self.client_requests[request].class)];
        if served && self.client_requests[request].tries == 1 {
            self.stats.latencies.push((self.now - t.at).as_secs_f64());
        }
        let in_time = served && self.now <= t.at + seconds(kind.aim);
        let may_repeat = kind.effect != EffectSpec::Unsafe;
        let ended = if in_time { Ok(()) } else { Err(self.loss_cause(try_index, answer)) };
        let o = &mut self.client_requests[request];
        o.refused = matches!(answer, Answer::Refused(_));
        // A refused request must not have run, nor run later.
        if o.refused
            && !may_repeat
            && !o.started_cells.is_empty()
            && !std::mem::replace(&mut o.violated, true)
        {
            self.stats.violations.effects += 1;
        }
        o.ended = Some(ended);
        let Clients { retries, backoff, honour } = self.scenario.clients;
        if let (Answer::Refused(wait), true) = (answer, o.tries <= retries) {
            let advised = wait.filter(|_| honour);
            let jitter = 1.0 + 0.2 * self.client_rng.unit();
            let wait = advised.unwrap_or(seconds(backoff)).mul_f64(jitter);
            // With a key a client retries only while servers surely remember it.
            let kind = &self.classes[usize::from(self.client_requests[request].class)];
            let known = seconds(kind.window() - kind.deadline);
            let known = !kind.effect.is_keyed() || self.now + wait < self.client_requests[request].at + known;
            if known && self.now + wait < self.ends {
                self.queue.schedule(self.now + wait, SimEvent::ClientRetry(request));
            }
        }
    }

    /// Why a try earned nothing, by the true state.
    pub(super) fn loss_cause(&self, try_index: usize, answer: &Answer<()>) -> LossCause {
        let t = &self.tries[try_index];
        let o = &self.client_requests[t.request];
        let aim = seconds(self.classes[usize::from(o.class)].aim);
        let hopeless = o.work > aim.as_secs_f64();
        let pool = self.pool.borrow();
        let Some((server, sent, work)) = t.sent.filter(|_| !matches!(answer, Answer::Refused(_))) else {
            if hopeless {
                return LossCause::Hopeless;
            }
            let now = since_origin(self.now);
            let ready = (0..pool.servers.len()).filter(|&s| pool.servers[s].model.warmth(now) >= 1.0);
            let mut done = ready.filter_map(|s| pool.completion_time(self.now, ServerId(s as u32), o.work));
            return match done.any(|d| d <= t.at + aim) {
                false => LossCause::RefusedFull,
                true if t.attempts > 0 => LossCause::RefusedAfterAttempts,
                true if self.now > t.at => LossCause::RefusedAfterProbes,
                true => LossCause::RefusedAtDoor,
            };
        };
        if let Some(Outcome::Error | Outcome::Broken | Outcome::Unreachable | Outcome::Rejected) = t.outcome {
            return LossCause::ServerFailed;
        }
        let m = &pool.servers[server];
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
            () if m.lifecycle != Lifecycle::Up => LossCause::ServerFailed,
            () if frozen > 0.0 && frozen >= 0.9 * late => LossCause::Frozen,
            () if hopeless => LossCause::Hopeless,
            () if m.model.warmth(since_origin(self.now)) < 1.0 => LossCause::Cold,
            () if m.model.slowed(since_origin(self.now)) => LossCause::Neighbour,
            () if (work - o.work) / m.speed >= late => LossCause::Underestimated,
            () if t.outcome == Some(Outcome::Cancelled) => LossCause::GivenUp,
            () => LossCause::Queued,
        }
    }
}
