//! Predicts the outcome of an attempt at a server from the information of this node.
//!
//! Reports tell how many requests a server has. Whether it accepts new ones, and how far latency exceeds the
//! expectation, shows in attempts only. A server that rejects everything looks idle, and a node uses each
//! server
//! too rarely to learn this individually: outcomes are therefore also pooled by kind of server, such as all
//! servers that look idle.

pub(crate) mod distribution;
pub(crate) mod staleness;

use crate::interface::{AttemptEnded, Outcome, Time};
use crate::state::{decay_factor, Attempt, Balancer, Request, Server};

/// Mean remaining part of a running request's work when another request arrives.
const RESIDUAL: f64 = 0.75;
/// Standard deviation of the work of other requests, relative to its mean.
const SPREAD: f64 = 0.7;
/// Standard deviation of a request's work around its hint, relative to the hint ...
const HINT_SPREAD: f64 = 0.3;
/// ... and around the mean if there is no hint, relative to the mean.
const UNHINTED_SPREAD: f64 = 1.0;
/// Prior for each kind of server: this many attempts that were neither rejected nor failed.
const KIND_PRIOR: f64 = 8.0;
/// Weight of the kind's outcomes in the estimate for one server, in attempts.
const OWN_PRIOR: f64 = 0.2;
/// Weight of one served or timed-out attempt in the mean excess latency over all servers.
const MEAN_EXCESS_LATENCY_STEP: f64 = 0.125;
/// Time constant in seconds with which the outcomes of a kind of server are forgotten.
const KIND_MEMORY: f64 = 6.0;
/// Time constant in seconds with which the outcomes at one server are forgotten.
const SERVER_MEMORY: f64 = 4.0;
/// Weight of one served or timed-out attempt in its server's excess latency.
const EXCESS_LATENCY_STEP: f64 = 0.5;
/// Cost of delaying the requests that wait behind by one latency target, as a fraction of worth.
const DELAY_COST: f64 = 0.3;
/// Age, in typical latencies, up to which a report that was updated by the node's own sends counts as exact.
pub(crate) const FRESH_REPORT: f64 = 0.3;
/// Fraction of its worth that a request keeps if a server rejects it and it can be retried.
const RETRY_WORTH: f64 = 0.5;

/// Predicted outcome of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// Seconds until the server starts to work on it.
    pub wait: f64,
    /// Seconds by which answers exceeded the expected latency. Used to rank servers, but not to reject
    /// requests.
    pub excess_latency: f64,
    /// Standard deviation of wait and own work, in seconds.
    pub spread: f64,
    /// Lower bound on the server's current speed, relative to its full speed.
    pub speed_factor: f64,
    /// Chance that no connection can be established.
    pub connect_failure: f64,
    /// Chance of a rejection without having run.
    pub rejected: f64,
    /// Chance of any other failure.
    pub failed: f64,
}

impl Estimate {
    /// The chance that the work is done within the given seconds if the server accepts it; the logistic
    /// function approximates the normal distribution.
    pub(crate) fn chance_in_time(&self, work: f64, within: f64) -> f64 {
        let z = (within - self.wait - work / self.speed_factor) / self.spread.max(1e-6);
        (1.0 - self.connect_failure) / (1.0 + (-1.7 * z).exp())
    }

    /// The value of the request at this server from 0 to 1, as a fraction of its worth: its chance of being
    /// in time, less the delay it causes to the requests behind it. `within` is the time left and `aim` the
    /// latency target, both in seconds; `again` tells whether the request can be retried after a rejection.
    pub(crate) fn worth(&self, work: f64, within: f64, aim: f64, again: bool) -> f64 {
        let lost = self.failed + self.rejected * if again { 1.0 - RETRY_WORTH } else { 1.0 };
        let late = Estimate { wait: self.wait + self.excess_latency, ..*self };
        let delay_cost = DELAY_COST * (late.wait + work / self.speed_factor) / aim;
        (late.chance_in_time(work, within) * (1.0 - lost) + DELAY_COST - delay_cost)
            .clamp(0.0, 1.0 + DELAY_COST)
            / (1.0 + DELAY_COST)
    }

    /// The estimate for a warm server without history that has `held` requests.
    pub(crate) fn queued(b: &Balancer, held: f64, work: f64) -> Estimate {
        let works_ahead = works_ahead(held);
        let spread = (works_ahead * (SPREAD * b.mean_work).powi(2) + (HINT_SPREAD * work).powi(2)).sqrt();
        Estimate { wait: works_ahead * b.mean_work, spread, ..idle_estimate(work) }
    }
}

/// The estimate for an attempt of this request at a server, as a function of the requests in the server.
pub(crate) fn estimator<'a>(
    b: &'a Balancer,
    now: Time,
    r: &Request,
    s: &Server,
) -> impl Fn(f64) -> Estimate + 'a {
    let speed_factor = s.warmth(&b.settings.rules, now).max(1e-3);
    // The server's own outcomes count according to how often it was tried recently; the rest is taken from
    // its kind.
    let outcomes = s.outcomes.decayed(now, SERVER_MEMORY);
    let chance = move |own: f64, all: f64| (own + all * OWN_PRIOR) / (outcomes.count + OWN_PRIOR);
    let chances = |kind| {
        let usual = failure_rates(b, now, kind);
        (chance(outcomes.rejected, usual.0), chance(outcomes.failed, usual.1))
    };
    let [idle, busy] = [0.0, 1.0].map(|held| chances(server_kind(held, speed_factor < 1.0)));
    let connect_failure = b.connect_failure(s, now);
    let (work, spread) = match r.work {
        Some(work) => (work, HINT_SPREAD),
        None => (b.mean_work, UNHINTED_SPREAD),
    };
    let excess_latency = s.excess_latency * decay_factor(now, s.outcomes.at, SERVER_MEMORY);
    move |held| {
        let works_ahead = works_ahead(held);
        let (rejected, failed) = if held >= 1.0 { busy } else { idle };
        Estimate {
            speed_factor,
            wait: works_ahead * b.mean_work / speed_factor,
            connect_failure,
            excess_latency,
            spread: (works_ahead * (SPREAD * b.mean_work).powi(2) + (spread * work).powi(2)).sqrt()
                / speed_factor,
            rejected,
            failed,
        }
    }
}

/// The number of requests in a server when a request was sent to it, derived from the time to answer.
pub(crate) fn held_at_send(b: &Balancer, latency: f64, work: f64, speed_factor: f64) -> f64 {
    let waited = latency * speed_factor - work;
    // A deviation from the hint within the usual spread is not counted as waiting.
    match waited > HINT_SPREAD * work && b.mean_work > 0.0 {
        true => waited / b.mean_work + 1.0 - RESIDUAL,
        false => 0.0,
    }
}

/// Requests ahead of a new one, in mean works, at a server that has `held` requests.
fn works_ahead(held: f64) -> f64 {
    (held - 1.0 + RESIDUAL).max(0.0)
}

/// The estimate for an idle server without history.
pub(crate) fn idle_estimate(work: f64) -> Estimate {
    let spread = HINT_SPREAD * work;
    Estimate {
        speed_factor: 1.0,
        wait: 0.0,
        excess_latency: 0.0,
        spread,
        connect_failure: 0.0,
        rejected: 0.0,
        failed: 0.0,
    }
}

/// Index of the kind of server whose outcomes are pooled. Cold servers are separate: they may look idle and
/// be healthy while other servers that look idle are draining.
fn server_kind(held: f64, cold: bool) -> usize {
    [usize::from(held >= 1.0), 2][usize::from(cold)]
}

/// Recent rates of rejections and failures for a kind of server.
fn failure_rates(b: &Balancer, now: Time, kind: usize) -> (f64, f64) {
    let t = b.outcome_history[kind].decayed(now, KIND_MEMORY);
    (t.rejected / (t.count + KIND_PRIOR), t.failed / (t.count + KIND_PRIOR))
}

/// Updates the statistics from the outcome of an attempt.
pub(crate) fn record_outcome(
    b: &mut Balancer,
    now: Time,
    end: &AttemptEnded,
    a: &Attempt,
    work: Option<f64>,
) {
    let (rejected, failed) = match end.outcome {
        Outcome::NotSent | Outcome::Cancelled => return,
        Outcome::Served | Outcome::TimedOut => (0.0, 0.0),
        Outcome::Rejected | Outcome::Unreachable => (1.0, 0.0),
        Outcome::Error | Outcome::Broken => (0.0, 1.0),
    };
    let mean_work = b.mean_work;
    if let Some(&i) = b.index.get(&end.server) {
        let s = &mut b.servers[i];
        let left = decay_factor(now, s.outcomes.at, SERVER_MEMORY);
        let has_latency = matches!(end.outcome, Outcome::Served | Outcome::TimedOut);
        if let (Some(held), true) = (a.held_when_sent, has_latency) {
            let expected = works_ahead(held) * mean_work + work.unwrap_or(mean_work);
            let excess_latency = (end.latency.as_secs_f64() - expected).max(0.0);
            b.excess_latency += (excess_latency - b.excess_latency) * MEAN_EXCESS_LATENCY_STEP;
            s.excess_latency =
                s.excess_latency * left * (1.0 - EXCESS_LATENCY_STEP) + excess_latency * EXCESS_LATENCY_STEP;
        }
        s.outcomes = s.outcomes.decayed(now, SERVER_MEMORY).with(rejected, failed);
    }
    let Some(held) = a.held_when_sent else { return };
    let kind = server_kind(held, a.cold);
    b.outcome_history[kind] = b.outcome_history[kind].decayed(now, KIND_MEMORY).with(rejected, failed);
}

#[cfg(test)]
#[path = "../tests/estimate.rs"]
mod tests;
