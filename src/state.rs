//! What the decision module remembers: plain data, no decisions.

use crate::interface::*;
use crate::policy::Loads;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

const COUNTED: f64 = 0.96; // what a report of requests in work still counts for once the next has come

/// Uniform in [0, 1).
pub(crate) fn uniform(rng: &mut Xoshiro256PlusPlus) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A rate that forgets with time.
pub(crate) struct Rate {
    count: f64,
    began: Time,
    at: Time,
    window: f64,
}

impl Rate {
    pub(crate) fn new(now: Time, window: f64) -> Self {
        Rate { count: 0.0, began: now, at: now, window }
    }

    /// The same for a rate that is still young.
    pub(crate) fn young(&mut self, now: Time) -> f64 {
        let rate = self.add(now, 0.0);
        let seen = (now - self.began).as_secs_f64().max(1.0) / self.window;
        rate / (1.0 - (-seen).exp())
    }

    /// Counts `amount` and returns the rate a second.
    pub(crate) fn add(&mut self, now: Time, amount: f64) -> f64 {
        self.count = self.count * (-(now - self.at).as_secs_f64() / self.window).exp() + amount;
        self.at = now;
        self.count / self.window
    }
}

/// How often attempts came to nothing of late, and when that was learnt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trust {
    /// Attempts, each for less the longer ago it ended.
    pub count: f64,
    /// Of these, turned away unseen.
    pub turned: f64,
    /// Of these, failed otherwise.
    pub failed: f64,
    pub at: Time,
}

impl Trust {
    /// What is left of it now, where it fades in so many seconds.
    pub(crate) fn faded(self, now: Time, time: f64) -> Self {
        let left = fade(now, self.at, time);
        Trust { count: self.count * left, turned: self.turned * left, failed: self.failed * left, at: now }
    }

    /// With one attempt more.
    pub(crate) fn with(self, turned: f64, failed: f64) -> Self {
        let (turned, failed) = (self.turned + turned, self.failed + failed);
        Trust { count: self.count + 1.0, turned, failed, ..self }
    }
}

/// What is left after a while of what was learnt then, as a part.
pub(crate) fn fade(now: Time, then: Time, time: f64) -> f64 {
    (-(now - then).as_secs_f64() / time).exp()
}

pub(crate) struct Server {
    pub id: ServerId,
    /// Place on the ring of servers, the same at every node.
    pub rank: u64,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub state: ServerState,
    /// Its weight in the list, smoothed.
    pub weight: f64,
    /// The same as it was last listed.
    pub listed: f64,
    /// When it was first listed.
    pub since: Time,
    pub started: Option<Time>,
    /// Price over the number of ready servers.
    pub price: f64,
    /// Prices are stepped up to here.
    pub stepped: Time,
    /// Load by the latest report.
    pub load: Option<f64>,
    /// When that report came.
    pub reported: Time,
    /// Requests a second by that report.
    pub rate: f64,
    /// Requests that it works on at once, as far as its reports tell; 0: they have not.
    pub slots: f64,
    /// Sums of its reports' requests in work and rates, each counting for less the more have come since.
    pub worked: (f64, f64),
    /// Smoothed capacity in requests a second, or inverse latency where no rates are reported.
    pub speed: f64,
    /// Samples that `speed` rests on.
    pub evidence: f64,
    /// When the last of them came.
    pub answered: Time,
    /// Part of this node's sends that went there of late, up to a factor.
    pub share: f64,
    /// When this node last had a connection to it.
    pub connected: Option<Time>,
    /// When anything last came back from it.
    pub word: Time,
    /// Send times of the attempts that are out.
    pub out: Vec<Time>,
    /// Requests held by the latest answer to a probe, with what this node has sent and got back since.
    pub held: Option<f64>,
    /// When that answer came.
    pub heard: Time,
    /// When the probe that is out was sent.
    pub probing: Option<Time>,
    /// The most of a mean share that the fleet lets it have; 1: as much as it gets.
    pub open: f64,
    /// What its weight is multiplied by, as the fleet's tails have it, and how far that counts.
    pub tuned: f64,
    pub sure: f64,
    /// How attempts there ended.
    pub met: Trust,
    /// Seconds by which answers took longer than its reports let expect.
    pub surprise: f64,
}

impl Server {
    pub(crate) fn new(entry: &ServerEntry, price: f64, now: Time) -> Self {
        let weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        Server {
            id: entry.server,
            rank: Xoshiro256PlusPlus::seed_from_u64(entry.name).next_u64(),
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            state: entry.state,
            weight,
            listed: weight,
            since: now,
            started: entry.started,
            price,
            stepped: now,
            load: None,
            reported: now,
            rate: 0.0,
            slots: 0.0,
            worked: (0.0, 0.0),
            speed: 0.0,
            evidence: 0.0,
            answered: now,
            share: 0.0,
            connected: None,
            word: now,
            out: Vec::new(),
            held: None,
            heard: now,
            probing: None,
            open: 1.0,
            tuned: 1.0,
            sure: 0.0,
            met: Trust::default(),
            surprise: 0.0,
        }
    }

    /// Part of its capacity that it surely has by now.
    pub(crate) fn warmth(&self, rules: &Rules, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now - started).as_secs_f64() / rules.warm_up.as_secs_f64().max(1e-9);
        (rules.cold_from + (1.0 - rules.cold_from) * age).min(1.0)
    }

    /// Whether a class may ever go there: its placement, by zone and kind.
    pub(crate) fn may_serve(&self, class: &Class) -> bool {
        class.zones.as_ref().is_none_or(|open| open.contains(&self.zone))
            && class.kinds.as_ref().is_none_or(|open| open.contains(&self.kind))
    }

    /// Whether a connection is surely open still.
    pub(crate) fn connected(&self, now: Time, idle: Duration) -> bool {
        self.connected.is_some_and(|at| now < at + idle)
    }

    /// Whether something has been out there for longer than this, and nothing at all came back since it was sent.
    pub(crate) fn silent(&self, now: Time, patience: Duration) -> bool {
        self.out.iter().find(|sent| **sent >= self.word).is_some_and(|sent| now > *sent + patience)
    }

    /// The busy part by a report of so many in work and so many waiting. Where any wait all slots are in use, and
    /// before any have there is room for one more. A rate is smoother than a count: what it makes busy is that
    /// rate by the mean time in work (Little's law).
    pub(crate) fn count(&mut self, at_work: f64, waiting: f64, rate: Option<f64>) -> f64 {
        self.slots = match waiting >= 1.0 {
            true if self.slots > 0.0 => self.slots + (at_work - self.slots) / 4.0,
            true => at_work,
            false if self.slots == 0.0 => at_work + 1.0,
            false => self.slots.max(at_work),
        };
        self.slots = self.slots.max(1.0);
        let Some(rate) = rate else { return at_work / self.slots };
        self.worked = (self.worked.0 * COUNTED + at_work, self.worked.1 * COUNTED + rate);
        (rate * self.worked.0 / self.worked.1.max(1e-9) / self.slots).min(1.0)
    }

    pub(crate) fn learn(&mut self, now: Time, sample: f64, memory: f64) {
        self.evidence = (self.evidence + 1.0).min(memory);
        self.speed += (sample - self.speed) / self.evidence;
        self.answered = now;
    }
}

/// Mean requests held and busy part of servers that are not saturated.
#[derive(Default)]
pub(crate) struct UsualHeld {
    held: f64,
    busy: f64,
}

impl UsualHeld {
    pub(crate) fn learn(&mut self, usual: bool, held: f64, busy: f64) {
        if usual {
            self.held += (held - self.held) / 64.0;
            self.busy += (busy - self.busy) / 64.0;
        }
    }

    /// The busy part that usually goes with so many held.
    pub(crate) fn load(&self, held: f64) -> f64 {
        held * self.busy / self.held.max(1.0)
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Time,
    pub ended: bool,
    pub may_have_run: bool,
    /// It needed a new connection.
    pub fresh: bool,
    /// What the server held when it was chosen, as far as was told.
    pub told: Option<f64>,
    /// The server was cold then.
    pub cold: bool,
}

impl Attempt {
    /// Whether it may have run, or may yet.
    pub(crate) fn risky(&self) -> bool {
        !self.ended || self.may_have_run
    }
}

pub(crate) struct Request {
    pub class: ClassId,
    pub arrived: Time,
    pub ends: Time,
    pub work: Option<f64>,
    /// A final answer is owed.
    pub open: bool,
    /// A streamed answer has begun.
    pub begun: bool,
    /// Its attempts' servers have all of it as soon as they are sent it.
    pub body_complete: bool,
    pub attempts: Vec<Attempt>,
    /// Its worth, relative to that of a mean request.
    pub worth: f64,
    /// Why it is refused, if it is now.
    pub why: Refusal,
    /// Servers compared for its next attempt.
    pub asked: Vec<(ServerId, Asked)>,
}

/// Whether a server that is compared for a request was asked for its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Asked {
    /// It was not.
    Not,
    /// It was, and has not answered yet.
    Waiting,
    /// It has answered.
    Heard,
    /// It was, to no avail.
    Silent,
}

impl Request {
    /// One that has just come.
    pub(crate) fn new(now: Time, class: ClassId, a: &Arrival) -> Self {
        let (attempts, asked, work) = (Vec::new(), Vec::new(), a.work.map(|w| w.as_secs_f64()));
        let (arrived, ends, body_complete) = (now, now + a.remaining, a.body_complete);
        let (open, begun, worth, why) = (true, false, 1.0, Refusal::NoServer);
        Request { class, arrived, ends, work, open, begun, body_complete, attempts, worth, why, asked }
    }

    pub(crate) fn idle(&self) -> bool {
        self.attempts.iter().all(|a| a.ended)
    }
}

/// An attempt that has ended, and what its request is.
pub(crate) struct Settled {
    pub attempt: Attempt,
    pub class: ClassId,
    pub work: Option<f64>,
    pub body_complete: bool,
    /// The request's answer has begun.
    pub streamed: bool,
    /// Nothing more is to be done for the request.
    pub over: bool,
}

/// What the share solution needs of a server: `most` bounds its share.
pub(crate) struct Line {
    pub price: f64,
    pub speed: f64,
    pub most: f64,
}

/// What a node keeps for each class: it draws from shares over the servers open to the class.
pub(crate) struct Market {
    /// Shares of the ready servers, of sum at most `open`; 0 where the class may not go.
    pub shares: Vec<f64>,
    /// Ready servers open to the class, of those that this node deals with.
    pub open: f64,
    /// This node deals with some of the ready servers only ...
    pub narrow: bool,
    /// ... so many of them, on the ring from where it begins.
    pub reach: f64,
    pub lambda: f64,
    /// When that was last moved.
    pub weighed: Time,
    /// Arrivals a second of all classes of one placement when shares were last solved; kept like `worths`.
    pub rate: f64,
    /// Mean work of a request.
    pub work: f64,
    /// Part of the arrivals that is shed for the load of these servers.
    pub refused: f64,
    /// Worth below which arrivals are turned away, in part; kept like `worths`.
    pub toll: f64,
    /// Worths of recent arrivals, kept for all classes of one placement by the first of them.
    pub worths: VecDeque<(f64, f64)>,
    /// The first class of the same placement.
    pub leader: usize,
    pub arrivals: Rate,
    /// The same over a longer time.
    pub steady: Rate,
}

impl Market {
    /// A market whose rates forget within `window` seconds and, where they should be steady, within `long`.
    pub(crate) fn new(now: Time, leader: usize, [window, long]: [f64; 2]) -> Self {
        let (shares, worths, arrivals) = (Vec::new(), VecDeque::new(), Rate::new(now, window));
        Market {
            shares,
            open: 0.0,
            narrow: false,
            reach: 0.0,
            lambda: 0.5,
            weighed: now,
            rate: 0.0,
            work: 0.0,
            refused: 0.0,
            toll: 0.0,
            worths,
            leader,
            arrivals,
            steady: Rate::new(now, long),
        }
    }

    /// Keeps the mean work of a request: the hinted one or, without hints, the time of an answer.
    pub(crate) fn learn_work(&mut self, sample: f64) {
        self.work += (sample - self.work) * if self.work > 0.0 { 1.0 / 64.0 } else { 1.0 };
    }

    /// Keeps the worths of the last `most` arrivals.
    pub(crate) fn note_worth(&mut self, worth: (f64, f64), most: usize) {
        if self.worths.len() == most {
            self.worths.pop_front();
        }
        self.worths.push_back(worth);
    }
}

/// What the rooms want a balancer to start with.
pub(crate) struct First {
    /// Seconds over which rates of arrivals and sends are measured, ...
    pub rates: f64,
    /// ... this node's part of all traffic is learnt, ...
    pub parts: f64,
    /// ... and tenants' rates are.
    pub tenants: f64,
    /// Seconds for which a report counts as news.
    pub report_life: f64,
    /// Further attempts that are to be had.
    pub further: f64,
}

/// The balancer of one node.
pub struct Balancer {
    pub(crate) settings: Settings,
    /// Where on the ring of servers this node begins, as a part of it.
    pub(crate) begins: f64,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) servers: Vec<Server>,
    pub(crate) index: FxHashMap<ServerId, usize>,
    pub(crate) ready: Vec<usize>,
    pub(crate) markets: Vec<Market>,
    pub(crate) mean_price: f64,
    pub(crate) going_price: f64,
    pub(crate) mean_load: f64,
    pub(crate) mean_speed: f64,
    pub(crate) solved: Option<Time>,
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) choosing: Vec<(RequestId, TimerId)>,
    pub(crate) next_timer: u32,
    pub(crate) list_timer: Option<TimerId>,
    pub(crate) latency: f64,
    pub(crate) probe_latency: f64,
    /// Part of the new connections to each zone that fail, of late.
    pub(crate) refused: Vec<f64>,
    /// Seconds for which a report counts as news.
    pub(crate) report_life: f64,
    /// Mean requests held and busy part, of servers that are not saturated.
    pub(crate) usual_held: UsualHeld,
    /// Neither probes nor measured capacity tell how much the servers can still take.
    pub(crate) blind: bool,
    pub(crate) mean_work: f64,
    /// Hinted works of recent requests, in seconds.
    pub(crate) works: VecDeque<f64>,
    pub(crate) sends: Rate,
    pub(crate) part: f64,
    pub(crate) began: Time,
    pub(crate) further: f64,
    /// How attempts ended at servers that looked idle, at busy ones, and at cold ones.
    pub(crate) trust: [Trust; 3],
    /// What servers hold, and for how long news of that stands.
    /// Of warm servers, and of cold ones.
    pub(crate) loads: [Loads; 2],
    /// Worth of a request, smoothed.
    pub(crate) mean_worth: f64,
    /// Seconds by which answers took longer than reports let expect, at all servers.
    pub(crate) surprise: f64,
    pub(crate) tenants: Vec<Rate>,
}

impl Balancer {
    /// Starts with no servers and no requests, as the rooms want it.
    pub(crate) fn start(
        settings: Settings,
        seed: u64,
        now: Time,
        first: First,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let aims = settings.classes.iter().map(|c| c.aim.as_secs_f64());
        let shortest = aims.fold(f64::MAX, f64::min);
        let same = |a: &Class, b: &Class| a.zones == b.zones && a.kinds == b.kinds;
        let leader = |c: &Class| settings.classes.iter().position(|other| same(other, c)).unwrap_or(0);
        Ok(Balancer {
            // Without a number of its own a node begins anywhere: even enough where there are many.
            begins: match settings.node_index {
                Some(me) => f64::from(me % settings.nodes) / f64::from(settings.nodes),
                None => uniform(&mut Xoshiro256PlusPlus::seed_from_u64(!seed)),
            },
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            servers: Vec::new(),
            index: FxHashMap::default(),
            ready: Vec::new(),
            markets: settings
                .classes
                .iter()
                .map(|c| Market::new(now, leader(c), [first.rates, first.parts]))
                .collect(),
            mean_price: 0.0,
            going_price: 0.0,
            mean_load: 0.0,
            mean_speed: 1.0,
            solved: None,
            requests: FxHashMap::default(),
            choosing: Vec::new(),
            next_timer: 0,
            list_timer: None,
            latency: (shortest / 2.0).max(1e-3),
            probe_latency: 0.003,
            refused: vec![0.0; usize::from(settings.zones)],
            report_life: first.report_life,
            usual_held: UsualHeld::default(),
            blind: !settings.reports_rate && settings.reports != Reports::ByProbe,
            mean_work: 0.0,
            works: VecDeque::new(),
            sends: Rate::new(now, first.rates),
            part: 1.0 / f64::from(settings.nodes),
            began: now,
            further: first.further,
            trust: Default::default(),
            surprise: 0.0,
            loads: [Loads::new(shortest), Loads::new(shortest)],
            mean_worth: 0.0,
            tenants: settings.tenants.iter().map(|_| Rate::new(now, first.tenants)).collect(),
            settings,
        })
    }

    /// Brings the servers in line with a list or with changes to it.
    pub(crate) fn take_list(&mut self, now: Time, kind: ListKind, entries: &[ServerEntry]) {
        if kind != ListKind::Changes {
            self.servers.iter_mut().for_each(|s| s.state = ServerState::Gone);
        }
        for e in entries {
            let fresh = Server::new(e, self.mean_price, now);
            match self.index.get(&e.server) {
                None => {
                    self.index.insert(e.server, self.servers.len());
                    self.servers.push(fresh);
                }
                Some(&i) => {
                    // Of a restarted process nothing is known but what is still out; of others all stays.
                    let s = &mut self.servers[i];
                    if e.started > s.started {
                        *s = Server { out: std::mem::take(&mut s.out), ..fresh };
                    } else {
                        (s.state, s.listed) = (e.state, fresh.listed);
                        (s.zone, s.kind, s.cell) = (e.zone, e.kind, e.cell);
                    }
                }
            }
        }
        self.servers.retain(|s| s.state != ServerState::Gone || !s.out.is_empty());
        self.index = self.servers.iter().enumerate().map(|(i, s)| (s.id, i)).collect();
        self.ready =
            (0..self.servers.len()).filter(|&i| self.servers[i].state == ServerState::Ready).collect();
        self.turn();
    }

    /// Takes up what the whole fleet knows of servers, in the place of all that was said so before.
    pub(crate) fn advise(&mut self, advice: &[ServerAdjustment]) {
        self.servers.iter_mut().for_each(|s| (s.open, s.tuned, s.sure) = (1.0, 1.0, 0.0));
        for a in advice {
            let sound =
                [a.share_limit, a.weight_factor, a.confidence].iter().all(|v| v.is_finite() && *v >= 0.0);
            let Some(&i) = self.index.get(&a.server).filter(|_| sound) else { continue };
            let s = &mut self.servers[i];
            (s.open, s.tuned, s.sure) = (a.share_limit, a.weight_factor.max(0.01), a.confidence.min(1.0));
        }
        self.solved = None;
    }

    /// Takes up another place on the ring, in a fleet of so many nodes: of these none counts for more than it was told.
    pub(crate) fn place(&mut self, begins: f64, nodes: u32) {
        self.part = self.part.min(1.0 / f64::from(nodes.max(1)));
        let before = self.ready.first().copied();
        self.begins = begins.clamp(0.0, 1.0);
        self.turn();
        if self.ready.first().copied() != before {
            self.solved = None;
        }
    }

    /// Puts the ready servers in the ring's order, from where this node begins.
    fn turn(&mut self) {
        self.ready.sort_by_key(|&i| (self.servers[i].rank, self.servers[i].id));
        let first = (self.begins * self.ready.len() as f64) as usize;
        let first = first.min(self.ready.len());
        self.ready.rotate_left(first);
    }

    /// Ready servers open to each class, as positions in `ready`, in this node's order.
    pub(crate) fn placed(&self) -> Vec<Vec<usize>> {
        let open = |c| (0..self.ready.len()).filter(|&k| self.servers[self.ready[k]].may_serve(c)).collect();
        self.settings.classes.iter().map(open).collect()
    }

    /// Takes in that a streamed answer has begun, and says from where.
    pub(crate) fn begun(&mut self, id: RequestId, attempt: u32) -> Option<ServerId> {
        let r = self.requests.get_mut(&id)?;
        let (server, sent) = r.attempts.get(attempt as usize).map(|a| (a.server, a.sent))?;
        r.begun = true;
        self.returned(server, sent);
        Some(server)
    }

    /// Learns from an attempt which servers it has connections to, and how often new ones fail.
    pub(crate) fn learn_connection(&mut self, now: Time, server: ServerId, fresh: bool, outcome: Outcome) {
        if outcome == Outcome::NotSent {
            return;
        }
        let Some(&i) = self.index.get(&server) else { return };
        if let (true, Some(refused)) = (fresh, self.refused.get_mut(usize::from(self.servers[i].zone.0))) {
            let failed = f64::from(u8::from(outcome == Outcome::Unreachable));
            *refused += (failed - *refused) / 8.0;
        }
        let held = outcome.server_responded();
        self.servers[i].connected = held.then_some(now).or(self.servers[i].connected);
    }

    /// What servers like this one hold, and the chance that what was last heard of it still stands.
    pub(crate) fn news(&self, s: &Server, now: Time) -> (&Loads, f64) {
        let loads = &self.loads[usize::from(s.warmth(&self.settings.rules, now) < 1.0)];
        (loads, s.held.map_or(0.0, |_| loads.stands((now - s.heard).as_secs_f64())))
    }

    /// The chance that a server is not to be had, for want of a connection.
    pub(crate) fn shut(&self, s: &Server, now: Time) -> f64 {
        match s.connected(now, self.settings.conn_idle) {
            true => 0.0,
            false => self.refused.get(usize::from(s.zone.0)).copied().unwrap_or(0.0),
        }
    }

    /// Closes an attempt that has ended; `None` where it is not out.
    pub(crate) fn settle(&mut self, now: Time, end: &AttemptEnded) -> Option<Settled> {
        let r = self.requests.get_mut(&end.request)?;
        let a = r.attempts.get_mut(end.attempt as usize).filter(|a| !a.ended)?;
        a.ended = true;
        a.may_have_run = !end.outcome.never_ran();
        let attempt = *a;
        r.open &= !end.closed;
        let (streamed, over) = (r.begun, !r.open || !r.idle());
        let (class, work, body_complete) = (r.class, r.work, r.body_complete);
        if body_complete {
            self.returned(attempt.server, attempt.sent);
        }
        self.learn_connection(now, attempt.server, attempt.fresh, end.outcome);
        if let (Outcome::Served, None, true) = (end.outcome, work, body_complete) {
            self.markets[usize::from(class.0)].learn_work(end.latency.as_secs_f64());
        }
        if let (true, Some(&i)) = (end.outcome.server_responded(), self.index.get(&attempt.server)) {
            self.servers[i].word = now;
        }
        Some(Settled { attempt, class, work, body_complete, streamed, over })
    }

    /// Keeps an arrival's work, as it was hinted, among the last `most`; what is hopeless counts for no mean.
    pub(crate) fn note(&mut self, class: ClassId, work: Option<f64>, hopeless: bool, most: usize) {
        let Some(work) = work else { return };
        self.works.truncate(most - 1);
        self.works.push_front(work);
        if !hopeless {
            self.markets[usize::from(class.0)].learn_work(work);
            self.mean_work += (work - self.mean_work) * if self.mean_work > 0.0 { 1.0 / 32.0 } else { 1.0 };
        }
    }

    /// Learns over `window` seconds this node's part of all traffic, from its own sends and the rates that servers report.
    pub(crate) fn learn_part(&mut self, now: Time, dt: f64, window: f64) {
        let usual = self.mean_speed * self.mean_load.min(1.0);
        let rates = self.ready.iter().map(|&i| self.servers[i].rate);
        let taken: f64 = rates.map(|r| if r > 0.0 { r } else { usual }).sum();
        let sent = self.sends.add(now, 0.0);
        // Only while nothing is refused do sends and reported rates describe the same traffic.
        let settled = (now - self.began).as_secs_f64() > 4.0 * self.sends.window;
        if settled && taken > 0.0 && self.markets.iter().all(|m| m.toll == 0.0) {
            self.part += (sent / taken - self.part) * (dt / window).min(1.0);
        }
    }

    /// A probe has come to its end; the time-out of one that needed a new connection stands for no connection.
    pub(crate) fn probe_ended(&mut self, now: Time, p: &ProbeEnded) {
        let Some(&i) = self.index.get(&p.server) else { return };
        let fresh = !self.servers[i].connected(now, self.settings.conn_idle);
        // A new connection takes longer to fail than a probe is waited for.
        let outcome = if p.outcome == Outcome::TimedOut { Outcome::Unreachable } else { p.outcome };
        self.learn_connection(now, p.server, fresh, outcome);
        let s = &mut self.servers[i];
        s.probing = None;
        s.word = if outcome.server_responded() { now } else { s.word };
    }

    /// An attempt goes to the server at this place; `news`: what that told stands. Returns the server, and the time left.
    pub(crate) fn sent(
        &mut self,
        now: Time,
        id: RequestId,
        at: usize,
        news: bool,
    ) -> Option<(ServerId, Duration)> {
        let r = self.requests.get_mut(&id)?;
        let s = &mut self.servers[at];
        let fresh = !s.connected(now, self.settings.conn_idle);
        let told = s.held.filter(|_| r.body_complete && news);
        let cold = s.warmth(&self.settings.rules, now) < 1.0;
        if r.body_complete {
            s.out.push(now);
            s.held = s.held.map(|held| held + 1.0);
        }
        self.sends.add(now, 1.0);
        self.markets[usize::from(r.class.0)].steady.add(now, 1.0);
        let (server, zone, cell) = (s.id, s.zone, s.cell);
        let (sent, ended, may_have_run) = (now, false, false);
        r.attempts.push(Attempt { server, zone, cell, sent, ended, may_have_run, fresh, told, cold });
        Some((server, r.ends - now))
    }

    /// One send less is out.
    pub(crate) fn returned(&mut self, server: ServerId, sent: Time) {
        let Some(&i) = self.index.get(&server) else { return };
        let s = &mut self.servers[i];
        if let Some(at) = s.out.iter().position(|t| *t == sent) {
            s.out.remove(at);
            s.held = s.held.map(|held| (held - 1.0).max(0.0));
        }
    }

    /// A server held so many then; older news than is there already changes nothing.
    pub(crate) fn heard(&mut self, server: usize, then: Time, held: f64) {
        let cold = self.servers[server].warmth(&self.settings.rules, then) < 1.0;
        let s = &mut self.servers[server];
        if s.held.is_some() && then < s.heard {
            return;
        }
        self.loads[usize::from(cold)]
            .heard(held, s.held.map(|before| (before, (then - s.heard).as_secs_f64())));
        let since = s.out.iter().filter(|sent| **sent > then).count() as f64;
        (s.held, s.heard) = (Some(held + since), then);
    }

    /// A server has all of an attempt from now on: it counts as one that was sent now.
    pub(crate) fn written(&mut self, now: Time, id: RequestId, attempt: u32) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.body_complete) else { return };
        let Some(a) = r.attempts.get_mut(attempt as usize).filter(|a| !a.ended) else { return };
        r.body_complete = true;
        a.sent = now;
        let Some(&i) = self.index.get(&a.server) else { return };
        let s = &mut self.servers[i];
        a.told = s.held;
        s.out.push(now);
        s.held = s.held.map(|held| held + 1.0);
    }

    /// Drops a request that is answered and has nothing out.
    pub(crate) fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.open && r.idle()) {
            self.requests.remove(&id);
            self.choosing.retain(|c| c.0 != id);
        }
    }

    /// Nothing is owed to a client that has left.
    pub(crate) fn client_gone(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.open = false;
            self.forget(id);
        }
    }

    /// Seconds in which an answer earns the full worth.
    pub(crate) fn aim(&self, class: ClassId, work: Option<f64>) -> f64 {
        let class = &self.settings.classes[usize::from(class.0)];
        class.aim.as_secs_f64() + class.aim_stretch * work.unwrap_or(0.0)
    }

    /// Asks for a timer after `wait` seconds.
    pub(crate) fn set_timer(&mut self, now: Time, wait: f64, actions: &mut Vec<Action>) -> TimerId {
        self.next_timer = self.next_timer.wrapping_add(1);
        let timer = TimerId(self.next_timer);
        actions.push(Action::SetTimer { at: now + Duration::from_secs_f64(wait), timer });
        timer
    }

    /// Uniform in [0, 1).
    pub(crate) fn random(&mut self) -> f64 {
        uniform(&mut self.rng)
    }
}
