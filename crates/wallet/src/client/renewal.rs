//! The task that renews a node's allotments with the leader.

use crate::leader::{LANE, TASK};
use crate::message::{AdminCommand, RenewalRequest, RenewalResponse, Request, Response};
use birchswitch_lease::task_id;
use birchswitch_mesh::{Mesh, Time};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::{interval, timeout, MissedTickBehavior};

/// A step that the node's own thread, which owns the allotments, carries out for [`renew_allotments`].
#[derive(Debug)]
pub enum RenewalStep {
    /// Prepare a renewal. `None`: there is nothing to renew.
    Prepare(oneshot::Sender<Option<(Time, RenewalRequest)>>),
    /// Apply the response to the renewal that was prepared at that time.
    Apply(Time, RenewalRequest, RenewalResponse),
}

/// The shortest time between two renewals, even if the node is out of units.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of an operator's command.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Renews until the receiver of `steps` is dropped: every `renew`, and at once when `short` signals that requests are rejected for
/// lack of units.
pub async fn renew_allotments(
    mesh: Mesh,
    (renew, ttl): (Duration, Duration),
    steps: mpsc::UnboundedSender<RenewalStep>,
    short: Arc<Notify>,
) {
    let mut every = interval(renew);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        // Notified or timed out: a renewal is due in both cases.
        let _ = timeout(renew, short.notified()).await;
        tokio::time::sleep(MIN_INTERVAL).await;
        let (reply, prepared) = oneshot::channel();
        let Ok(()) = steps.send(RenewalStep::Prepare(reply)) else { return };
        let Ok(prepared) = prepared.await else { return };
        let Some((prepared_at, request)) = prepared else { continue };
        if let Some(response) = send(&mesh, &request, ttl / 2).await {
            let Ok(()) = steps.send(RenewalStep::Apply(prepared_at, request, response)) else { return };
        }
    }
}

/// Sends a renewal to all nodes that claim to lead. The response with the highest token counts.
async fn send(mesh: &Mesh, request: &RenewalRequest, max_wait: Duration) -> Option<RenewalResponse> {
    let request: Bytes = postcard::to_stdvec(&Request::Renew(request.clone())).ok()?.into();
    let answers = mesh.request_from_running(task_id(TASK), LANE, request, max_wait).await;
    let responses = answers.into_iter().filter_map(|answer| match postcard::from_bytes(&answer.ok()?) {
        Ok(Response::Renewed(response)) => Some(response),
        _ => None,
    });
    responses.max_by_key(|response| response.token)
}

/// Sends an operator's command to the leader and returns its reply.
pub async fn send_command(mesh: &Mesh, command: AdminCommand) -> Result<String, String> {
    let request = postcard::to_stdvec(&Request::Admin(command)).map_err(|e| e.to_string())?;
    let request = Bytes::from(request);
    let mut why = "nobody keeps the wallet now: try again".to_owned();
    for answer in mesh.request_from_running(task_id(TASK), LANE, request, ADMIN_TIMEOUT).await {
        match answer.map(|answer| postcard::from_bytes(&answer)) {
            Ok(Ok(Response::Admin(text))) => return text,
            Ok(_) => why = "the answer makes no sense".to_owned(),
            Err(error) => why = format!("{error}: it may have been carried out all the same"),
        }
    }
    Err(why)
}
