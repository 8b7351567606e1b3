//! A peer's task: it waits until something is to be said or the other side comes, has one connection, and begins anew.

pub(crate) mod queue;
mod reach;
mod talk;

use crate::greeting::Connection;
use crate::mesh::Inner;
use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use birchswitch_cluster::MemberId;
use queue::{Ask, Words, MAX_QUEUED_REQUESTS};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

/// Connections of one peer that wait to be looked at.
const CAME: usize = 4;
/// A peer to whom nothing is said for so long has no task.
const REST: Duration = Duration::from_secs(30);

/// The way to a peer's task.
#[derive(Debug)]
pub(crate) struct Line {
    pub asks: mpsc::Sender<Ask>,
    pub words: Arc<Words>,
    pub came: mpsc::Sender<Connection>,
}

/// The task's side of it.
struct Ends {
    to: MemberId,
    asks: mpsc::Receiver<Ask>,
    words: Arc<Words>,
    came: mpsc::Receiver<Connection>,
    /// Questions that were taken up and not answered, by their numbers.
    pending: BTreeMap<u64, Ask>,
    next: u64,
}

/// What a peer's task waits for.
enum Wanted {
    /// Something is to be sent.
    Send,
    /// The other side has connected.
    Came(Box<Connection>),
    /// Nothing for long.
    Rest,
}

impl Line {
    /// Starts a peer's task.
    pub(crate) fn start(mesh: &Arc<Inner>, to: MemberId) -> Arc<Line> {
        let ((asks, ask), (came, come)) = (mpsc::channel(MAX_QUEUED_REQUESTS), mpsc::channel(CAME));
        let words = Arc::new(Words::default());
        let (pending, next) = (BTreeMap::new(), 0);
        let ends = Ends { to, asks: ask, words: words.clone(), came: come, pending, next };
        let line = Arc::new(Line { asks, words, came });
        mesh.runtime.spawn(run(mesh.clone(), ends, Arc::downgrade(&line)));
        line
    }
}

async fn run(mesh: Arc<Inner>, mut ends: Ends, own: std::sync::Weak<Line>) {
    let mut waits = backoff();
    loop {
        let connection = match ends.wanted().await {
            Wanted::Rest => break,
            Wanted::Came(connection) => Ok(*connection),
            Wanted::Send => reach::reach(&mesh, ends.to, &mut ends.came).await,
        };
        let connection = match connection {
            Ok(connection) => connection,
            Err(why) => {
                tracing::debug!(target: "mesh", kind = "unreached", member = mesh.name(ends.to), why = %why);
                mesh.counts.unreached();
                let wait = waits.next().unwrap_or(MOST_WAIT);
                match ends.came_within(wait).await {
                    Some(connection) => connection,
                    None => continue,
                }
            }
        };
        waits = backoff();
        let (generation, dialed) = (connection.who.generation, connection.dialed);
        tracing::info!(target: "mesh", kind = "connected", member = mesh.name(ends.to), draw = generation.draw, dialed);
        let ended = talk::talk(&mesh, connection, &mut ends).await;
        tracing::info!(target: "mesh", kind = "disconnected", member = mesh.name(ends.to), why = %ended);
    }
    mesh.forget(ends.to, &own);
}

/// Longest wait between two tries to reach a peer.
const MOST_WAIT: Duration = Duration::from_secs(2);

fn backoff() -> ExponentialBackoff {
    let builder = ExponentialBuilder::default().with_min_delay(Duration::from_millis(100));
    builder.with_max_delay(MOST_WAIT).with_max_times(usize::MAX).with_jitter().build()
}

impl Ends {
    /// Takes up a question under a number of its own; none where as many wait for answers as may.
    fn take_up(&mut self, ask: Ask) -> u64 {
        let number = self.next;
        self.next += 1;
        self.pending.insert(number, ask);
        number
    }

    /// Drops questions whose answers nobody waits for.
    fn tidy(&mut self) {
        let now = Instant::now();
        self.pending.retain(|_, ask| ask.wanted(now));
    }

    async fn wanted(&mut self) -> Wanted {
        self.tidy();
        if !self.pending.is_empty() || !self.words.is_empty() {
            if let Ok(connection) = self.came.try_recv() {
                return Wanted::Came(Box::new(connection));
            }
            return Wanted::Send;
        }
        tokio::select! {
            Some(connection) = self.came.recv() => Wanted::Came(Box::new(connection)),
            Some(ask) = self.asks.recv() => {
                self.take_up(ask);
                Wanted::Send
            }
            () = self.words.some() => Wanted::Send,
            () = sleep(REST) => Wanted::Rest,
        }
    }

    async fn came_within(&mut self, wait: Duration) -> Option<Connection> {
        tokio::time::timeout(wait, self.came.recv()).await.ok().flatten()
    }
}
