//! The mesh as parts of the program use it, and the thread that it runs on.

use crate::clock::Clock;
use crate::greeting::Greeting;
use crate::line::queue::Ask;
use crate::line::Line;
use crate::listen;
use crate::membership::{MembershipView, ProcessId};
use crate::settings::MeshSettings;
use arc_swap::ArcSwap;
use birchswitch_cluster::{Generation, MemberId};
use bytes::Bytes;
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{oneshot, Semaphore};
use tokio::time::{timeout, Instant};

/// Who a node is on the mesh.
pub struct Identity<'a> {
    /// The cluster's name.
    pub cluster: &'a str,
    /// The node's name among its members.
    pub name: &'a str,
    /// Which process.
    pub generation: Generation,
    /// Its clock.
    pub clock: Clock,
}

/// Why a mesh can't be started.
#[derive(Debug, thiserror::Error)]
pub enum MeshError {
    /// The socket can't be had.
    #[error("mesh: cannot listen on {address}: {source}")]
    Bind {
        /// Where.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// Its thread can't.
    #[error("mesh: cannot start its thread: {0}")]
    Thread(std::io::Error),
}

/// Why a question has no answer. It may have been heard all the same, but where it says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// As many wait for that peer as may: this one was not sent.
    #[error("too many questions wait for that member")]
    QueueFull,
    /// Nothing came in time.
    #[error("no answer came in time")]
    TimedOut,
    /// Nobody serves that there, or not now.
    #[error("that member does not serve it")]
    NotServed,
}

/// Between the answers of two that both say they run a task.
const TOGETHER: Duration = Duration::from_millis(50);

/// What somebody who serves says in the end; none: not now.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Option<Bytes>> + Send>>;
/// Serves the questions of a lane. Has to bear being asked the same twice. Runs on the mesh's thread: it must not block.
pub type RequestHandler = dyn Fn(ProcessId, Bytes) -> ResponseFuture + Send + Sync;
/// Takes the words of a topic, on the mesh's thread.
pub type TopicHandler = dyn Fn(ProcessId, Bytes) + Send + Sync;

/// What was counted since the start.
#[derive(Debug, Default)]
pub struct Counters {
    asked: AtomicU64,
    heard: AtomicU64,
    told: AtomicU64,
    open: AtomicU64,
    connected: AtomicU64,
    unreached: AtomicU64,
    replaced: AtomicU64,
}

macro_rules! counts {
    ($($name:ident $field:ident),*) => {
        $(pub(crate) fn $name(&self) { self.$field.fetch_add(1, Ordering::Relaxed); })*
    };
}

impl Counters {
    counts!(asked asked, heard heard, told told, unreached unreached, replaced replaced);

    pub(crate) fn connected(&self) {
        self.connected.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn disconnected(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Connections that are open, and those that ever were.
    pub fn connections(&self) -> [u64; 2] {
        [&self.open, &self.connected].map(|c| c.load(Ordering::Relaxed))
    }

    /// Questions asked and heard, words told, words that a newer one replaced, tries that reached nobody.
    pub fn messages(&self) -> [u64; 5] {
        [&self.asked, &self.heard, &self.told, &self.replaced, &self.unreached]
            .map(|c| c.load(Ordering::Relaxed))
    }
}

pub(crate) struct Inner {
    pub own: ProcessId,
    pub greeting: Greeting,
    pub bind: SocketAddr,
    pub places: Arc<Semaphore>,
    pub runtime: Handle,
    pub counts: Counters,
    roster: ArcSwap<MembershipView>,
    lines: Mutex<BTreeMap<MemberId, Arc<Line>>>,
    serves: RwLock<BTreeMap<u8, Arc<RequestHandler>>>,
    takes: RwLock<BTreeMap<u8, Arc<TopicHandler>>>,
}

impl Inner {
    /// The way to a peer's task, which is started where there is none.
    pub(crate) fn line(mesh: &Arc<Inner>, to: MemberId) -> Arc<Line> {
        let mut lines = mesh.lines.lock().unwrap_or_else(PoisonError::into_inner);
        match lines.get(&to) {
            Some(line) if !line.asks.is_closed() => line.clone(),
            _ => {
                let line = Line::start(mesh, to);
                lines.insert(to, line.clone());
                line
            }
        }
    }

    /// A peer's task ends.
    pub(crate) fn forget(&self, to: MemberId, line: &Weak<Line>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.get(&to).is_some_and(|l| std::ptr::eq(Arc::as_ptr(l), line.as_ptr())) {
            lines.remove(&to);
        }
    }

    pub(crate) fn name(&self, id: MemberId) -> String {
        self.roster.load().name(id)
    }

    pub(crate) fn address(&self, to: MemberId) -> Option<SocketAddr> {
        self.roster.load().members.get(&to)?.address
    }

    pub(crate) fn serve(&self, who: ProcessId, lane: u8, bytes: Bytes) -> ResponseFuture {
        let serves = self.serves.read().unwrap_or_else(PoisonError::into_inner).get(&lane).cloned();
        serves.map_or_else(|| Box::pin(async { None }) as ResponseFuture, |serve| serve(who, bytes))
    }

    pub(crate) fn takes(&self, who: ProcessId, topic: u8, bytes: Bytes) {
        let takes = self.takes.read().unwrap_or_else(PoisonError::into_inner).get(&topic).cloned();
        takes.iter().for_each(|takes| takes(who, bytes.clone()));
    }
}

/// A node's place on the mesh. Its copies are the same; its thread goes with the last.
#[derive(Clone)]
pub struct Mesh {
    inner: Arc<Inner>,
    address: SocketAddr,
    clock: Clock,
    thread: Arc<Thread>,
}

/// Ends the mesh's thread when it is dropped.
struct Thread(Mutex<Option<oneshot::Sender<()>>>);

impl Thread {
    fn end(&self) {
        let end = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        let _ = end.map(|end| end.send(()));
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.end();
    }
}

impl Mesh {
    /// Listens, and starts the thread on which all of it runs.
    pub fn start(compiled: &MeshSettings, who: &Identity) -> Result<Mesh, MeshError> {
        let bind = |source| MeshError::Bind { address: compiled.bind, source };
        let listener = std::net::TcpListener::bind(compiled.bind).map_err(bind)?;
        listener.set_nonblocking(true).map_err(bind)?;
        let local = listener.local_addr().map_err(bind)?;
        let address = compiled.advertise.unwrap_or(local);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(MeshError::Thread)?;
        let inner = Arc::new(Inner {
            own: ProcessId { id: MemberId::of(who.name), generation: who.generation },
            greeting: Greeting::new(who.cluster, who.name, who.generation),
            bind: compiled.bind,
            places: Arc::new(Semaphore::new(compiled.connections)),
            runtime: runtime.handle().clone(),
            counts: Counters::default(),
            roster: ArcSwap::default(),
            lines: Mutex::default(),
            serves: RwLock::default(),
            takes: RwLock::default(),
        });
        let (end, ended) = oneshot::channel();
        let listening = inner.clone();
        let serve = move || {
            runtime.block_on(async move {
                if let Ok(listener) = TcpListener::from_std(listener) {
                    tokio::spawn(listen::listen(listening, listener));
                }
                let _ = ended.await;
            });
            // What blocks still, a file's writing, may come to its end by itself.
            runtime.shutdown_background();
        };
        std::thread::Builder::new().name("mesh".to_owned()).spawn(serve).map_err(MeshError::Thread)?;
        tracing::info!(target: "mesh", kind = "mesh_listening", address = %local);
        Ok(Mesh { inner, address, clock: who.clock, thread: Arc::new(Thread(Mutex::new(Some(end)))) })
    }

    /// Ends its thread, and all tasks on it.
    pub fn stop(&self) {
        self.thread.end();
    }

    /// Where others connect to it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Who this node is.
    pub fn own(&self) -> ProcessId {
        self.inner.own
    }

    /// Its clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Who the fleet's nodes are from now on.
    pub fn set_membership(&self, roster: MembershipView) {
        self.inner.roster.store(Arc::new(roster));
    }

    /// Who they are.
    pub fn membership(&self) -> Arc<MembershipView> {
        self.inner.roster.load_full()
    }

    /// Runs a task on the mesh's thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.inner.runtime.spawn(task);
    }

    /// Questions of that lane are served so from now on.
    pub fn serve(&self, lane: u8, serve: Arc<RequestHandler>) {
        self.inner.serves.write().unwrap_or_else(PoisonError::into_inner).insert(lane, serve);
    }

    /// Words of that topic are taken so from now on.
    pub fn subscribe(&self, topic: u8, takes: Arc<TopicHandler>) {
        self.inner.takes.write().unwrap_or_else(PoisonError::into_inner).insert(topic, takes);
    }

    /// Asks a member, this node too.
    pub async fn request(
        &self,
        to: MemberId,
        lane: u8,
        bytes: Bytes,
        patience: Duration,
    ) -> Result<Bytes, RequestError> {
        let answer = if to == self.inner.own.id {
            timeout(patience, self.inner.serve(self.inner.own, lane, bytes))
                .await
                .map_err(|_| RequestError::TimedOut)?
        } else {
            let (reply, answer) = oneshot::channel();
            let ask = Ask { lane, bytes, until: Instant::now() + patience, reply };
            Inner::line(&self.inner, to).asks.try_send(ask).map_err(|_| RequestError::QueueFull)?;
            let answer = timeout(patience, answer).await.map_err(|_| RequestError::TimedOut)?;
            answer.map_err(|_| RequestError::TimedOut)?
        };
        answer.ok_or(RequestError::NotServed)
    }

    /// Asks all members that say they run a task: one, but while it changes hands. Their answers, or why there are none; whoever is
    /// much later than the first that answers is not waited for.
    pub async fn request_from_running(
        &self,
        task: u32,
        lane: u8,
        question: Bytes,
        patience: Duration,
    ) -> Vec<Result<Bytes, RequestError>> {
        let runs: Vec<MemberId> = self.membership().running(task).collect();
        let mut asked: FuturesUnordered<_> =
            runs.iter().map(|member| self.request(*member, lane, question.clone(), patience)).collect();
        let mut answers = Vec::new();
        while let Some(answer) = asked.next().await {
            let first = answer.is_ok();
            answers.push(answer);
            if first {
                while let Ok(Some(answer)) = timeout(TOGETHER, asked.next()).await {
                    answers.push(answer);
                }
                break;
            }
        }
        answers
    }

    /// Tells a member something; an older word of the same topic that was not sent yet is dropped.
    pub fn publish(&self, to: MemberId, topic: u8, bytes: Bytes) {
        if to == self.inner.own.id {
            return self.inner.takes(self.inner.own, topic, bytes);
        }
        if !Inner::line(&self.inner, to).words.put(topic, bytes) {
            self.inner.counts.replaced();
        }
    }

    /// What was counted.
    pub fn counters(&self) -> &Counters {
        &self.inner.counts
    }
}
