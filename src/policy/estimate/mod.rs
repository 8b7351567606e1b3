//! Estimates: what an attempt at a server would come to, as far as this node can tell.
//!
//! A report says what a server holds. Whether it takes what it is sent, and how much longer than told an
//! answer takes, only attempts tell. A server that turns everything away looks idle, and a node meets each
//! server too seldom to learn that of each: so it also keeps, for all servers that look idle together, how
//! often they have turned away or failed of late.

pub(crate) mod distribution;
pub(crate) mod staleness;

use crate::interface::{AttemptEnded, Outcome, Time};
use crate::state::{fade, Attempt, Balancer, Request, Server};

const RESIDUAL: f64 = 0.75; // part of a job's work that is left, on average, when another comes
const SPREAD: f64 = 0.7; // of the work of others, as a part of its mean
const HINT_SPREAD: f64 = 0.3; // of a request's work about its hint, likewise
const UNHINTED_SPREAD: f64 = 1.0; // ... and about the mean, where there is no hint
const KIND_PRIOR: f64 = 8.0; // attempts that came to something, taken for known of each kind of servers
const OWN_PRIOR: f64 = 0.2; // attempts for which what all of its kind did stands at one server
const MISLED_STEP: f64 = 0.125; // weight of one answer in how much reports mislead
const TRUST_FADES: f64 = 6.0; // s in which that is forgotten
const MET_FADES: f64 = 4.0; // s in which what an attempt met at one server is forgotten
const SURPRISE_STEP: f64 = 0.5; // weight of one answer's surprise at its server
const SHADOW: f64 = 0.3; // worth of an aim's time, to those who wait behind
pub(crate) const FRESH: f64 = 0.3; // latencies for which news, own sends since counted in, counts as told
const AGAIN: f64 = 0.5; // part of a request's worth that is left once a server has turned it away

/// What an attempt would come to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// Seconds before work on it begins.
    pub wait: f64,
    /// Seconds by which answers came later than told: that ranks, but turns nobody away.
    pub surprise: f64,
    /// Seconds by which the wait may be out (standard deviation), its own work's included.
    pub spread: f64,
    /// The part of its speed that the server surely has.
    pub pace: f64,
    /// Chance that no connection comes up.
    pub shut: f64,
    /// Chance that it is turned away unseen.
    pub turned: f64,
    /// Chance that it fails otherwise.
    pub failed: f64,
}

impl Estimate {
    /// The chance that so much work is done within so many seconds, once the server takes it (logistic for
    /// normal).
    pub(crate) fn in_time(&self, work: f64, within: f64) -> f64 {
        let z = (within - self.wait - work / self.pace) / self.spread.max(1e-6);
        (1.0 - self.shut) / (1.0 + (-1.7 * z).exp())
    }

    /// What a request is worth there, as a part of its worth: its chance of being in time, less what its
    /// waiting takes from those behind it, from 0 to 1.
    pub(crate) fn worth(&self, work: f64, within: f64, aim: f64, again: bool) -> f64 {
        let lost = self.failed + self.turned * if again { 1.0 - AGAIN } else { 1.0 };
        let late = Estimate { wait: self.wait + self.surprise, ..*self };
        let shadow = SHADOW * (late.wait + work / self.pace) / aim;
        (late.in_time(work, within) * (1.0 - lost) + SHADOW - shadow).clamp(0.0, 1.0 + SHADOW)
            / (1.0 + SHADOW)
    }

    /// The same at a warm server without a history that holds so many.
    pub(crate) fn behind(b: &Balancer, held: f64, work: f64) -> Estimate {
        let ahead = ahead(held);
        let spread = (ahead * (SPREAD * b.mean_work).powi(2) + (HINT_SPREAD * work).powi(2)).sqrt();
        Estimate { wait: ahead * b.mean_work, spread, ..alone(work) }
    }
}

/// What an attempt of this request at a server would come to, by what that holds.
pub(crate) fn estimator<'a>(
    b: &'a Balancer,
    now: Time,
    r: &Request,
    s: &Server,
) -> impl Fn(f64) -> Estimate + 'a {
    let pace = s.warmth(&b.settings.rules, now).max(1e-3);
    // What this server did counts by how often it was tried of late, beside what all like it did.
    let met = s.met.faded(now, MET_FADES);
    let chance = move |own: f64, all: f64| (own + all * OWN_PRIOR) / (met.count + OWN_PRIOR);
    let chances = |kind| {
        let usual = trust(b, now, kind);
        (chance(met.turned, usual.0), chance(met.failed, usual.1))
    };
    let [idle, busy] = [0.0, 1.0].map(|held| chances(alike(held, pace < 1.0)));
    let shut = b.shut(s, now);
    let (work, spread) = match r.work {
        Some(work) => (work, HINT_SPREAD),
        None => (b.mean_work, UNHINTED_SPREAD),
    };
    let surprise = s.surprise * fade(now, s.met.at, MET_FADES);
    move |held| {
        let ahead = ahead(held);
        let (turned, failed) = if held >= 1.0 { busy } else { idle };
        Estimate {
            pace,
            wait: ahead * b.mean_work / pace,
            shut,
            surprise,
            spread: (ahead * (SPREAD * b.mean_work).powi(2) + (spread * work).powi(2)).sqrt() / pace,
            turned,
            failed,
        }
    }
}

/// What a server that answered after this long held when it was sent this much work, as far as that tells.
pub(crate) fn held_then(b: &Balancer, latency: f64, work: f64, pace: f64) -> f64 {
    let waited = latency * pace - work;
    // Work that is off its hint by the usual is no wait.
    match waited > HINT_SPREAD * work && b.mean_work > 0.0 {
        true => waited / b.mean_work + 1.0 - RESIDUAL,
        false => 0.0,
    }
}

/// Mean works that a request finds before it at a server that holds so many.
fn ahead(held: f64) -> f64 {
    (held - 1.0 + RESIDUAL).max(0.0)
}

/// The same at an idle server of which nothing is known.
pub(crate) fn alone(work: f64) -> Estimate {
    let spread = HINT_SPREAD * work;
    Estimate { pace: 1.0, wait: 0.0, surprise: 0.0, spread, shut: 0.0, turned: 0.0, failed: 0.0 }
}

/// The kind of servers that such a one is judged with: one that has just started may look idle and be sound
/// where old ones that look idle drain.
fn alike(held: f64, cold: bool) -> usize {
    [usize::from(held >= 1.0), 2][usize::from(cold)]
}

/// How often servers of a kind have turned away and failed.
fn trust(b: &Balancer, now: Time, kind: usize) -> (f64, f64) {
    let t = b.trust[kind].faded(now, TRUST_FADES);
    (t.turned / (t.count + KIND_PRIOR), t.failed / (t.count + KIND_PRIOR))
}

/// Learns from how an attempt ended.
pub(crate) fn learn(b: &mut Balancer, now: Time, end: &AttemptEnded, a: &Attempt, work: Option<f64>) {
    let (turned, failed) = match end.outcome {
        Outcome::NotSent | Outcome::Cancelled => return,
        Outcome::Served | Outcome::TimedOut => (0.0, 0.0),
        Outcome::Rejected | Outcome::Unreachable => (1.0, 0.0),
        Outcome::Error | Outcome::Broken => (0.0, 1.0),
    };
    let mean_work = b.mean_work;
    if let Some(&i) = b.index.get(&end.server) {
        let s = &mut b.servers[i];
        let left = fade(now, s.met.at, MET_FADES);
        let slow = matches!(end.outcome, Outcome::Served | Outcome::TimedOut);
        if let (Some(held), true) = (a.told, slow) {
            let expected = ahead(held) * mean_work + work.unwrap_or(mean_work);
            let surprise = (end.latency.as_secs_f64() - expected).max(0.0);
            b.surprise += (surprise - b.surprise) * MISLED_STEP;
            s.surprise = s.surprise * left * (1.0 - SURPRISE_STEP) + surprise * SURPRISE_STEP;
        }
        s.met = s.met.faded(now, MET_FADES).with(turned, failed);
    }
    let Some(held) = a.told else { return };
    let kind = alike(held, a.cold);
    b.trust[kind] = b.trust[kind].faded(now, TRUST_FADES).with(turned, failed);
}

#[cfg(test)]
#[path = "../tests/estimate.rs"]
mod tests;
