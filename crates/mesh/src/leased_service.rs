//! Serves a task of which the fleet runs one instance: while this node holds the task's lease, requests go to a handler that is
//! created anew for each fencing token.

use crate::{Clock, Mesh, ProcessId, ResponseFuture, Time};
use arc_swap::ArcSwap;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};

/// A time during which this node runs a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipTerm {
    /// The lease's fencing token.
    pub token: u64,
    /// End of the term by the node's clock: no request is served from then on.
    pub until: Time,
}

/// Handles a task's requests under one token, without I/O.
pub trait TermHandler: Send + 'static {
    /// A request to the task.
    type Request: DeserializeOwned;
    /// The task's response.
    type Response: Serialize;

    /// The highest token that the sender has seen. `None`: the request is invalid.
    fn highest_token(request: &Self::Request) -> Option<u64>;

    /// Handles a request from a process.
    fn handle(&mut self, now: Time, process: ProcessId, request: Self::Request) -> Self::Response;
}

/// Creates the handler for a token, at the time when its first request arrives.
type NewHandler<S> = dyn Fn(u64, Time) -> S + Send + Sync;

/// A task that this node may run. The node's thread sets its term without waiting for requests in progress.
pub struct LeasedService<S> {
    clock: Clock,
    new_handler: Box<NewHandler<S>>,
    term: ArcSwap<Option<LeadershipTerm>>,
    handler: Mutex<Option<(u64, S)>>,
}

impl<S: TermHandler> LeasedService<S> {
    /// Serves a lane of the mesh whenever the node runs the task.
    pub fn serve(
        mesh: &Mesh,
        lane: u8,
        new_handler: impl Fn(u64, Time) -> S + Send + Sync + 'static,
    ) -> Arc<Self> {
        let (clock, new_handler) = (mesh.clock(), Box::new(new_handler));
        let service = Arc::new(LeasedService {
            clock,
            new_handler,
            term: ArcSwap::default(),
            handler: Mutex::new(None),
        });
        let weak = Arc::downgrade(&service);
        let handle = move |process: ProcessId, bytes: Bytes| {
            let response = weak.upgrade().and_then(|service| service.handle(process, &bytes));
            Box::pin(std::future::ready(response)) as ResponseFuture
        };
        mesh.serve(lane, Arc::new(handle));
        service
    }

    /// Sets the term during which the node runs the task. `None`: it does not run it.
    pub fn set_term(&self, term: Option<LeadershipTerm>) {
        self.term.store(Arc::new(term));
    }

    fn handle(&self, process: ProcessId, bytes: &[u8]) -> Option<Bytes> {
        let now = self.clock.now();
        let term = (**self.term.load()).filter(|term| now < term.until)?;
        let request: S::Request = postcard::from_bytes(bytes).ok()?;
        // A sender that has seen a higher token proves that a later runner exists.
        S::highest_token(&request).filter(|token| *token <= term.token)?;
        let mut handler = self.handler.lock().unwrap_or_else(PoisonError::into_inner);
        if handler.as_ref().is_none_or(|s| s.0 != term.token) {
            *handler = Some((term.token, (self.new_handler)(term.token, now)));
        }
        let response = handler.as_mut()?.1.handle(now, process, request);
        Some(postcard::to_stdvec(&response).ok()?.into())
    }
}
