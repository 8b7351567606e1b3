//! The task that renews a node's grants: it asks the leader at a fixed interval and passes the grants to the node's thread.

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

/// Renewed grants for the node's thread.
#[derive(Debug)]
pub struct GrantUpdate {
    /// Index of the limit, its allocation, and when the grant expires by the node's clock.
    pub grants: Vec<(usize, Allocation, Time)>,
    /// Notified once the grants are in effect.
    pub applied: oneshot::Sender<()>,
}

/// Renews grants until the node's thread ends. A grant is reported to the leader as held only after that thread has applied it.
pub async fn renew_grants(
    mesh: Mesh,
    limits: Vec<Limit>,
    timing: QuotaTiming,
    counters: Vec<Arc<Counters>>,
    updates: mpsc::UnboundedSender<GrantUpdate>,
) {
    let mut demands: Vec<DemandEstimator> = counters.iter().map(|c| DemandEstimator::new(c)).collect();
    let indexes: BTreeMap<u64, usize> = limits.iter().enumerate().map(|(n, limit)| (limit.id, n)).collect();
    let mut held: Vec<Option<(HeldGrant, Time)>> = vec![None; limits.len()];
    let (mut highest_token, mut sampled_at) = (0, Instant::now());
    let mut ticks = interval(timing.renew);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let seconds = sampled_at.elapsed().as_secs_f64();
        sampled_at = Instant::now();
        let requested_at = mesh.clock().now();
        let requests = limits.iter().enumerate().map(|(n, limit)| LimitRequest {
            limit: limit.id,
            demand: demands[n].update(
                &counters[n],
                seconds,
                matches!(limit.measure, Measure::InFlight { .. }),
            ),
            // The leader may have given an expired grant to another node.
            held: held[n].filter(|(_, expires)| requested_at < *expires).map(|(held, _)| held),
            in_flight: counters[n].totals()[2] as u32,
        });
        let request = RenewalRequest { highest_token, limits: requests.collect() };
        let Some(response) = send(&mesh, &request, timing.ttl / 2).await else { continue };
        if response.token < highest_token && timing.safeguards.reject_stale {
            tracing::warn!(target: "quota", kind = "lower", token = response.token, heard = highest_token);
            continue;
        }
        if response.token > highest_token {
            // A new leader takes over the grants that this node holds once a request carries the new token.
            ticks.reset_immediately();
        }
        highest_token = highest_token.max(response.token);
        let expires = requested_at + timing.ttl;
        let mut grants = Vec::new();
        let mut renewed = held.clone();
        for grant in &response.grants {
            let Some(&n) = indexes.get(&grant.limit) else { continue };
            if grant.allocation.is_valid() {
                grants.push((n, grant.allocation, expires));
                let held =
                    HeldGrant { token: response.token, number: grant.number, allocation: grant.allocation };
                renewed[n] = Some((held, expires));
            }
        }
        let (applied, when_applied) = oneshot::channel();
        if updates.send(GrantUpdate { grants, applied }).is_err() || when_applied.await.is_err() {
            // The node's thread has ended, and the process ends with it.
            return;
        }
        held = renewed;
    }
}

/// Asks every node that claims to lead. While leadership moves two of them may answer: the response with the highest token counts.
async fn send(mesh: &Mesh, request: &RenewalRequest, timeout: Duration) -> Option<RenewalResponse> {
    let request: Bytes = postcard::to_stdvec(request).ok()?.into();
    let answers = mesh.request_from_running(task_id(TASK), LANE, request, timeout).await;
    let responses =
        answers.into_iter().filter_map(|a| postcard::from_bytes::<RenewalResponse>(&a.ok()?).ok());
    responses.max_by_key(|response| response.token)
}
