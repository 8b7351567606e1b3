//! The public interface of the mesh, and the thread that it runs on.

use crate::clock::Clock;
use crate::handshake::Hello;
use crate::listen;
use crate::membership::{MembershipView, ProcessId};
use crate::peer::queue::PendingRequest;
use crate::peer::PeerHandle;
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

/// The identity with which a node starts its mesh.
pub struct Identity<'a> {
    /// The cluster's name.
    pub cluster: &'a str,
    /// The node's member name in the cluster.
    pub name: &'a str,
    /// The process's generation: tells it from earlier processes of the same name.
    pub generation: Generation,
    /// The node's clock.
    pub clock: Clock,
}

/// Why a mesh could not be started.
#[derive(Debug, thiserror::Error)]
pub enum MeshError {
    /// The listening socket could not be bound.
    #[error("mesh: cannot listen on {address}: {source}")]
    Bind {
        /// The address to bind.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The thread or its runtime could not be started.
    #[error("mesh: cannot start its thread: {0}")]
    Thread(std::io::Error),
}

/// Why a request got no response. The peer may have handled it all the same, except where noted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The peer's queue is full. The request was not sent.
    #[error("too many questions wait for that member")]
    QueueFull,
    /// No response arrived within the timeout.
    #[error("no answer came in time")]
    TimedOut,
    /// The member has no handler for this lane, or the handler does not serve now.
    #[error("that member does not serve it")]
    NotServed,
}

/// How long to wait for further responses after the first, when several members claim to run a task.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(50);

/// A handler's eventual response. `None`: not served now.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Option<Bytes>> + Send>>;
/// Handles the requests of a lane. It must be idempotent, as a request may be delivered twice, and must not block, as it runs on the
/// mesh's thread.
pub type RequestHandler = dyn Fn(ProcessId, Bytes) -> ResponseFuture + Send + Sync;
/// Handles the messages of a topic, on the mesh's thread.
pub type TopicHandler = dyn Fn(ProcessId, Bytes) + Send + Sync;

/// Counters since the start.
#[derive(Debug, Default)]
pub struct Counters {
    requests_sent: AtomicU64,
    requests_received: AtomicU64,
    messages_sent: AtomicU64,
    open: AtomicU64,
    connected: AtomicU64,
    failed_connects: AtomicU64,
    replaced: AtomicU64,
}

macro_rules! increments {
    ($($name:ident $field:ident),*) => {
        $(pub(crate) fn $name(&self) { self.$field.fetch_add(1, Ordering::Relaxed); })*
    };
}

impl Counters {
    increments!(
        request_sent requests_sent,
        request_received requests_received,
        message_sent messages_sent,
        connect_failed failed_connects,
        replaced replaced
    );

    pub(crate) fn connected(&self) {
        self.connected.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn disconnected(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// The number of open connections, and of connections ever opened.
    pub fn connections(&self) -> [u64; 2] {
        [&self.open, &self.connected].map(|c| c.load(Ordering::Relaxed))
    }

    /// Requests sent, requests received, messages sent, messages superseded before they were sent, and failed connection attempts.
    pub fn messages(&self) -> [u64; 5] {
        [
            &self.requests_sent,
            &self.requests_received,
            &self.messages_sent,
            &self.replaced,
            &self.failed_connects,
        ]
        .map(|c| c.load(Ordering::Relaxed))
    }
}

pub(crate) struct Inner {
    pub own: ProcessId,
    pub hello: Hello,
    pub bind: SocketAddr,
    pub connection_permits: Arc<Semaphore>,
    pub runtime: Handle,
    pub counters: Counters,
    view: ArcSwap<MembershipView>,
    peers: Mutex<BTreeMap<MemberId, Arc<PeerHandle>>>,
    handlers: RwLock<BTreeMap<u8, Arc<RequestHandler>>>,
    subscribers: RwLock<BTreeMap<u8, Arc<TopicHandler>>>,
}

impl Inner {
    /// The handle of a peer's task, which is started if it does not run.
    pub(crate) fn peer(mesh: &Arc<Inner>, to: MemberId) -> Arc<PeerHandle> {
        let mut peers = mesh.peers.lock().unwrap_or_else(PoisonError::into_inner);
        match peers.get(&to) {
            Some(peer) if !peer.requests.is_closed() => peer.clone(),
            _ => {
                let peer = PeerHandle::start(mesh, to);
                peers.insert(to, peer.clone());
                peer
            }
        }
    }

    /// Removes a peer's task that ends, unless another has taken its place.
    pub(crate) fn forget(&self, to: MemberId, peer: &Weak<PeerHandle>) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if peers.get(&to).is_some_and(|known| std::ptr::eq(Arc::as_ptr(known), peer.as_ptr())) {
            peers.remove(&to);
        }
    }

    pub(crate) fn name(&self, id: MemberId) -> String {
        self.view.load().name(id)
    }

    pub(crate) fn address(&self, to: MemberId) -> Option<SocketAddr> {
        self.view.load().members.get(&to)?.address
    }

    pub(crate) fn handle_request(&self, process: ProcessId, lane: u8, bytes: Bytes) -> ResponseFuture {
        let handler = self.handlers.read().unwrap_or_else(PoisonError::into_inner).get(&lane).cloned();
        handler.map_or_else(|| Box::pin(async { None }) as ResponseFuture, |handler| handler(process, bytes))
    }

    pub(crate) fn deliver(&self, process: ProcessId, topic: u8, bytes: Bytes) {
        let handler = self.subscribers.read().unwrap_or_else(PoisonError::into_inner).get(&topic).cloned();
        handler.iter().for_each(|handler| handler(process, bytes.clone()));
    }
}

/// A handle to a node's mesh. Clones share it, and the mesh's thread stops with the last of them.
#[derive(Clone)]
pub struct Mesh {
    inner: Arc<Inner>,
    address: SocketAddr,
    clock: Clock,
    thread: Arc<ThreadGuard>,
}

/// Stops the mesh's thread when dropped.
struct ThreadGuard(Mutex<Option<oneshot::Sender<()>>>);

impl ThreadGuard {
    fn stop(&self) {
        let stop = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        let _ = stop.map(|stop| stop.send(()));
    }
}

impl Drop for ThreadGuard {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Mesh {
    /// Binds the listening socket, and starts the thread on which the mesh runs.
    pub fn start(settings: &MeshSettings, identity: &Identity) -> Result<Mesh, MeshError> {
        let bind_error = |source| MeshError::Bind { address: settings.bind, source };
        let listener = std::net::TcpListener::bind(settings.bind).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let local = listener.local_addr().map_err(bind_error)?;
        let address = settings.advertise.unwrap_or(local);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(MeshError::Thread)?;
        let inner = Arc::new(Inner {
            own: ProcessId { id: MemberId::of(identity.name), generation: identity.generation },
            hello: Hello::new(identity.cluster, identity.name, identity.generation),
            bind: settings.bind,
            connection_permits: Arc::new(Semaphore::new(settings.connections)),
            runtime: runtime.handle().clone(),
            counters: Counters::default(),
            view: ArcSwap::default(),
            peers: Mutex::default(),
            handlers: RwLock::default(),
            subscribers: RwLock::default(),
        });
        let (stop, stopped) = oneshot::channel();
        let mesh = inner.clone();
        let run = move || {
            runtime.block_on(async move {
                if let Ok(listener) = TcpListener::from_std(listener) {
                    tokio::spawn(listen::listen(mesh, listener));
                }
                let _ = stopped.await;
            });
            // Blocking work that still runs, such as a write to a file, is left to finish by itself.
            runtime.shutdown_background();
        };
        std::thread::Builder::new().name("mesh".to_owned()).spawn(run).map_err(MeshError::Thread)?;
        tracing::info!(target: "mesh", kind = "mesh_listening", address = %local);
        Ok(Mesh {
            inner,
            address,
            clock: identity.clock,
            thread: Arc::new(ThreadGuard(Mutex::new(Some(stop)))),
        })
    }

    /// Stops the mesh's thread and all tasks on it.
    pub fn stop(&self) {
        self.thread.stop();
    }

    /// The address at which other nodes connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// This process.
    pub fn own(&self) -> ProcessId {
        self.inner.own
    }

    /// The node's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Replaces the view of the cluster's members.
    pub fn set_membership(&self, view: MembershipView) {
        self.inner.view.store(Arc::new(view));
    }

    /// The current view of the cluster's members.
    pub fn membership(&self) -> Arc<MembershipView> {
        self.inner.view.load_full()
    }

    /// Spawns a task on the mesh's thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.inner.runtime.spawn(task);
    }

    /// Sets the handler for the requests of a lane.
    pub fn serve(&self, lane: u8, handler: Arc<RequestHandler>) {
        self.inner.handlers.write().unwrap_or_else(PoisonError::into_inner).insert(lane, handler);
    }

    /// Sets the handler for the messages of a topic.
    pub fn subscribe(&self, topic: u8, handler: Arc<TopicHandler>) {
        self.inner.subscribers.write().unwrap_or_else(PoisonError::into_inner).insert(topic, handler);
    }

    /// Sends a request to a member, or handles it here if the member is this node, and waits for the response.
    pub async fn request(
        &self,
        to: MemberId,
        lane: u8,
        bytes: Bytes,
        max_wait: Duration,
    ) -> Result<Bytes, RequestError> {
        let response = if to == self.inner.own.id {
            timeout(max_wait, self.inner.handle_request(self.inner.own, lane, bytes))
                .await
                .map_err(|_| RequestError::TimedOut)?
        } else {
            let (reply, response) = oneshot::channel();
            let request = PendingRequest { lane, bytes, deadline: Instant::now() + max_wait, reply };
            Inner::peer(&self.inner, to).requests.try_send(request).map_err(|_| RequestError::QueueFull)?;
            let response = timeout(max_wait, response).await.map_err(|_| RequestError::TimedOut)?;
            response.map_err(|_| RequestError::TimedOut)?
        };
        response.ok_or(RequestError::NotServed)
    }

    /// Sends a request to all members that claim to run a task: one, except during a handover. Returns each response or error. After
    /// the first response the others are waited for only briefly.
    pub async fn request_from_running(
        &self,
        task: u32,
        lane: u8,
        request: Bytes,
        max_wait: Duration,
    ) -> Vec<Result<Bytes, RequestError>> {
        let running: Vec<MemberId> = self.membership().running(task).collect();
        let mut pending: FuturesUnordered<_> =
            running.iter().map(|member| self.request(*member, lane, request.clone(), max_wait)).collect();
        let mut responses = Vec::new();
        while let Some(response) = pending.next().await {
            let answered = response.is_ok();
            responses.push(response);
            if answered {
                while let Ok(Some(response)) = timeout(LATE_RESPONSE_GRACE, pending.next()).await {
                    responses.push(response);
                }
                break;
            }
        }
        responses
    }

    /// Sends a member a message. An older message of the same topic that was not sent yet is dropped.
    pub fn publish(&self, to: MemberId, topic: u8, bytes: Bytes) {
        if to == self.inner.own.id {
            return self.inner.deliver(self.inner.own, topic, bytes);
        }
        if !Inner::peer(&self.inner, to).messages.put(topic, bytes) {
            self.inner.counters.replaced();
        }
    }

    /// The mesh's counters.
    pub fn counters(&self) -> &Counters {
        &self.inner.counters
    }
}
