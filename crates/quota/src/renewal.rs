//! A node's side: it asks whoever says that it keeps the limits, again and again, and hands what it gets to the node's thread.

use crate::demand::DemandEstimator;
use crate::{
    Allocation, Counters, HeldGrant, Limit, LimitRequest, Measure, QuotaTiming, RenewalRequest,
    RenewalResponse, LANE, TASK,
};
use birchswitch_lease::task_id;
use birchswitch_mesh::{Mesh, Time};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Grants for the node's thread: which limit, how much, and until when by its clock.
#[derive(Debug)]
pub struct GrantUpdate {
    /// By the limits' places.
    pub grants: Vec<(usize, Allocation, Time)>,
    /// Told once they hold.
    pub applied: oneshot::Sender<()>,
}

/// Asks for good. What the node may be using is told only once its thread has taken it up.
pub async fn renew_grants(
    mesh: Mesh,
    limits: Vec<Limit>,
    terms: QuotaTiming,
    counts: Vec<Arc<Counters>>,
    apply: mpsc::UnboundedSender<GrantUpdate>,
) {
    let mut demands: Vec<DemandEstimator> = counts.iter().map(|c| DemandEstimator::new(c)).collect();
    let places: BTreeMap<u64, usize> = limits.iter().enumerate().map(|(n, limit)| (limit.id, n)).collect();
    let mut held: Vec<Option<(HeldGrant, Time)>> = vec![None; limits.len()];
    let (mut highest_token, mut looked) = (0, Instant::now());
    let mut every = interval(terms.renew);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        let seconds = looked.elapsed().as_secs_f64();
        looked = Instant::now();
        let asked = mesh.clock().now();
        let need = limits.iter().enumerate().map(|(n, limit)| LimitRequest {
            limit: limit.id,
            demand: demands[n].update(&counts[n], seconds, matches!(limit.measure, Measure::InFlight { .. })),
            // One that has ended may be another's by now.
            held: held[n].filter(|(_, until)| asked < *until).map(|(held, _)| held),
            in_flight: counts[n].totals()[2] as u32,
        });
        let need = RenewalRequest { highest_token, limits: need.collect() };
        let Some(word) = best(&mesh, &need, terms.ttl / 2).await else { continue };
        if word.token < highest_token && terms.safeguards.reject_stale {
            tracing::warn!(target: "quota", kind = "lower", token = word.token, heard = highest_token);
            continue;
        }
        if word.token > highest_token {
            // A later keeper takes up what is held once it is known to have been heard.
            every.reset_immediately();
        }
        highest_token = highest_token.max(word.token);
        let until = asked + terms.ttl;
        let mut grants = Vec::new();
        let mut now_held = held.clone();
        for issue in &word.grants {
            let Some(&n) = places.get(&issue.limit) else { continue };
            if issue.allocation.is_valid() {
                grants.push((n, issue.allocation, until));
                let held =
                    HeldGrant { token: word.token, number: issue.number, allocation: issue.allocation };
                now_held[n] = Some((held, until));
            }
        }
        let (applied, taken_up) = oneshot::channel();
        if apply.send(GrantUpdate { grants, applied }).is_err() || taken_up.await.is_err() {
            // The node's thread is gone: so is the node.
            return;
        }
        held = now_held;
    }
}

/// The word of whoever keeps the limits; of two, while they change hands, the later one's.
async fn best(mesh: &Mesh, need: &RenewalRequest, patience: Duration) -> Option<RenewalResponse> {
    let question: Bytes = postcard::to_stdvec(need).ok()?.into();
    let answers = mesh.request_from_running(task_id(TASK), LANE, question, patience).await;
    let words = answers.into_iter().filter_map(|a| postcard::from_bytes::<RenewalResponse>(&a.ok()?).ok());
    words.max_by_key(|word| word.token)
}
