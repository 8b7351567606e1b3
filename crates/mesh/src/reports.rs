//! Periodic reports to the member that runs a task: the node's thread provides each report and applies the responses.

use crate::{Mesh, Time};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, MissedTickBehavior};

/// A step that the node's thread carries out for [`report_periodically`].
#[derive(Debug)]
pub enum ReportStep<R, T> {
    /// Provide a report, and the time at which it was collected.
    Collect(oneshot::Sender<(Time, R)>),
    /// Apply the response to the report that was collected at that time.
    Apply(Time, T),
}

/// Where reports go, and how often.
#[derive(Clone, Copy, Debug)]
pub struct ReportSettings {
    /// The task whose runner receives the reports.
    pub task: u32,
    /// The lane on which it serves them.
    pub lane: u8,
    /// Time between two reports.
    pub interval: Duration,
    /// How long to wait for a response. A report without one is not sent again: it would be stale.
    pub timeout: Duration,
}

/// Sends reports until the receiver of `steps` is dropped.
pub async fn report_periodically<R, T>(
    mesh: Mesh,
    settings: ReportSettings,
    steps: mpsc::UnboundedSender<ReportStep<R, T>>,
) where
    R: Serialize,
    T: DeserializeOwned,
{
    let mut ticks = interval(settings.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (reply, collected) = oneshot::channel();
        let Ok(()) = steps.send(ReportStep::Collect(reply)) else { return };
        let Ok((collected_at, report)) = collected.await else { return };
        let Ok(request) = postcard::to_stdvec(&report) else { continue };
        for response in mesh
            .request_from_running(settings.task, settings.lane, Bytes::from(request), settings.timeout)
            .await
        {
            let Ok(bytes) = response else { continue };
            let Ok(response) = postcard::from_bytes::<T>(&bytes) else { continue };
            let Ok(()) = steps.send(ReportStep::Apply(collected_at, response)) else { return };
        }
    }
}
