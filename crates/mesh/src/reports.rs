//! Reporting to whoever runs a task, again and again: what the node's thread says goes out, and the word that comes back goes to it.

use crate::{Mesh, Time};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, MissedTickBehavior};

/// What the node's thread does for it.
#[derive(Debug)]
pub enum ReportStep<R, W> {
    /// Say what is to be reported, and when that was so.
    Collect(oneshot::Sender<(Time, R)>),
    /// Take up a word that was asked for then.
    Apply(Time, W),
}

/// To whom, and how often.
#[derive(Clone, Copy, Debug)]
pub struct ReportSettings {
    /// The task that its receiver runs.
    pub task: u32,
    /// The lane on which it serves.
    pub lane: u8,
    /// Between two reports.
    pub interval: Duration,
    /// How long a word is waited for. What was reported in vain is lost: it would be late.
    pub timeout: Duration,
}

/// Reports until the node's thread is gone.
pub async fn report_periodically<R, W>(
    mesh: Mesh,
    to: ReportSettings,
    errands: mpsc::UnboundedSender<ReportStep<R, W>>,
) where
    R: Serialize,
    W: DeserializeOwned,
{
    let mut every = interval(to.interval);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        let (tell, told) = oneshot::channel();
        let Ok(()) = errands.send(ReportStep::Collect(tell)) else { return };
        let Ok((asked, report)) = told.await else { return };
        let Ok(question) = postcard::to_stdvec(&report) else { continue };
        for answer in mesh.request_from_running(to.task, to.lane, Bytes::from(question), to.timeout).await {
            let Ok(answer) = answer else { continue };
            let Ok(word) = postcard::from_bytes::<W>(&answer) else { continue };
            let Ok(()) = errands.send(ReportStep::Apply(asked, word)) else { return };
        }
    }
}
