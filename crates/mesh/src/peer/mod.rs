//! A peer's task: waits until there is something to send or the peer connects, runs one connection, and starts over when it ends.

mod connect;
mod connection;
pub(crate) mod queue;

use crate::handshake::Connection;
use crate::mesh::Inner;
use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use birchswitch_cluster::MemberId;
use queue::{LatestMessages, PendingRequest, MAX_QUEUED_REQUESTS};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

/// Accepted connections of a peer that wait for its task.
const MAX_INCOMING: usize = 4;
/// A peer's task without a connection ends when it has had nothing to send for so long.
const TASK_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The sending side of a peer's task.
#[derive(Debug)]
pub(crate) struct PeerHandle {
    pub requests: mpsc::Sender<PendingRequest>,
    pub messages: Arc<LatestMessages>,
    pub incoming: mpsc::Sender<Connection>,
}

/// The state of a peer's task.
struct PeerTask {
    to: MemberId,
    requests: mpsc::Receiver<PendingRequest>,
    messages: Arc<LatestMessages>,
    incoming: mpsc::Receiver<Connection>,
    /// Requests that were taken from the queue and not answered yet, by number.
    pending: BTreeMap<u64, PendingRequest>,
    next: u64,
}

/// Why an idle task wakes up.
enum Wakeup {
    /// There is something to send.
    Send,
    /// The peer has connected.
    Incoming(Box<Connection>),
    /// [`TASK_IDLE_TIMEOUT`] has passed.
    Idle,
}

impl PeerHandle {
    /// Starts a task for a peer.
    pub(crate) fn start(mesh: &Arc<Inner>, to: MemberId) -> Arc<PeerHandle> {
        let ((requests, queued), (incoming, accepted)) =
            (mpsc::channel(MAX_QUEUED_REQUESTS), mpsc::channel(MAX_INCOMING));
        let messages = Arc::new(LatestMessages::default());
        let (pending, next) = (BTreeMap::new(), 0);
        let task =
            PeerTask { to, requests: queued, messages: messages.clone(), incoming: accepted, pending, next };
        let handle = Arc::new(PeerHandle { requests, messages, incoming });
        mesh.runtime.spawn(run(mesh.clone(), task, Arc::downgrade(&handle)));
        handle
    }
}

async fn run(mesh: Arc<Inner>, mut task: PeerTask, own_handle: std::sync::Weak<PeerHandle>) {
    let mut delays = backoff();
    loop {
        let connection = match task.next_wakeup().await {
            Wakeup::Idle => break,
            Wakeup::Incoming(connection) => Ok(*connection),
            Wakeup::Send => connect::connect(&mesh, task.to, &mut task.incoming).await,
        };
        let connection = match connection {
            Ok(connection) => connection,
            Err(why) => {
                tracing::debug!(target: "mesh", kind = "unreached", member = mesh.name(task.to), why = %why);
                mesh.counters.connect_failed();
                let delay = delays.next().unwrap_or(MAX_BACKOFF);
                match task.incoming_within(delay).await {
                    Some(connection) => connection,
                    None => continue,
                }
            }
        };
        delays = backoff();
        let (generation, dialed) = (connection.process.generation, connection.dialed);
        tracing::info!(target: "mesh", kind = "connected", member = mesh.name(task.to), draw = generation.draw, dialed);
        let reason = connection::run(&mesh, connection, &mut task).await;
        tracing::info!(target: "mesh", kind = "disconnected", member = mesh.name(task.to), why = %reason);
    }
    mesh.forget(task.to, &own_handle);
}

/// Longest delay between two attempts to connect to a peer.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

fn backoff() -> ExponentialBackoff {
    let builder = ExponentialBuilder::default().with_min_delay(Duration::from_millis(100));
    builder.with_max_delay(MAX_BACKOFF).with_max_times(usize::MAX).with_jitter().build()
}

impl PeerTask {
    /// Assigns a number to a request and keeps it until its response arrives.
    fn register(&mut self, request: PendingRequest) -> u64 {
        let number = self.next;
        self.next += 1;
        self.pending.insert(number, request);
        number
    }

    /// Drops requests whose senders no longer wait.
    fn drop_expired(&mut self) {
        let now = Instant::now();
        self.pending.retain(|_, request| request.is_awaited(now));
    }

    async fn next_wakeup(&mut self) -> Wakeup {
        self.drop_expired();
        if !self.pending.is_empty() || !self.messages.is_empty() {
            if let Ok(connection) = self.incoming.try_recv() {
                return Wakeup::Incoming(Box::new(connection));
            }
            return Wakeup::Send;
        }
        tokio::select! {
            Some(connection) = self.incoming.recv() => Wakeup::Incoming(Box::new(connection)),
            Some(request) = self.requests.recv() => {
                self.register(request);
                Wakeup::Send
            }
            () = self.messages.wait() => Wakeup::Send,
            () = sleep(TASK_IDLE_TIMEOUT) => Wakeup::Idle,
        }
    }

    async fn incoming_within(&mut self, delay: Duration) -> Option<Connection> {
        tokio::time::timeout(delay, self.incoming.recv()).await.ok().flatten()
    }
}
